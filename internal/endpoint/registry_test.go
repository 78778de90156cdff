package endpoint

import (
	"slices"
	"testing"

	"archknot/choice"
	"archknot/internal/wire/socket"

	"github.com/google/go-cmp/cmp"
)

func listEntry(id, lifecycle string, started int64) socket.Endpoint {
	return socket.Endpoint{ID: id, Addr: "127.0.0.1:" + id, Lifecycle: lifecycle, StartedAtMs: started}
}

func replicaIDs(r *Registry) map[string]choice.ReplicaID {
	out := map[string]choice.ReplicaID{}
	for name, w := range r.byName {
		out[name] = w.ID
	}
	return out
}

// Gateways that heard of the same workers in another order agree on their
// numbers, also where names collide.
func TestReplicaIDsDoNotDependOnOrder(t *testing.T) {
	real := hashReplicaID
	defer func() { hashReplicaID = real }()
	for name, hash := range map[string]func(string, byte) choice.ReplicaID{
		"real": real,
		"all collide": func(name string, salt byte) choice.ReplicaID {
			if salt == 0 {
				return 5
			}
			return real(name, salt)
		},
	} {
		hashReplicaID = hash
		names := []string{"s-b", "s-a", "s-d", "s-c"}
		var want map[string]choice.ReplicaID
		for range names {
			names = append(names[1:], names[0])
			r := NewRegistry()
			for _, n := range names {
				r.Apply(socket.EndpointList{Endpoints: []socket.Endpoint{listEntry(n, "ready", 0)}}, choice.ListDelta, nil)
			}
			got := replicaIDs(r)
			if want == nil {
				want = got
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("%s, order %v: %s", name, names, diff)
			}
			for _, id := range got {
				if r.ByID(id) == nil {
					t.Errorf("%s: no worker %d", name, id)
				}
			}
		}
	}
}

func TestApplyListsAndDeltas(t *testing.T) {
	conversions := int64(0)
	since := func(ms int64) choice.Micros { conversions++; return ms*1000 + conversions }
	r := NewRegistry()
	apply := func(kind choice.ListKind, in ...socket.Endpoint) (map[choice.ReplicaID]choice.EndpointState, []string) {
		out, left := r.Apply(socket.EndpointList{Endpoints: in}, kind, since)
		states := map[choice.ReplicaID]choice.EndpointState{}
		for _, m := range out.Endpoints {
			states[m.Replica] = m.State
		}
		slices.Sort(left)
		return states, left
	}
	a, b := hashReplicaID("a", 0), hashReplicaID("b", 0)
	for i, step := range []struct {
		kind  choice.ListKind
		in    []socket.Endpoint
		want  map[choice.ReplicaID]choice.EndpointState
		left  []string
		ready int
	}{
		{choice.ListCached, []socket.Endpoint{listEntry("a", "ready", 0), listEntry("b", "ready", 50)},
			map[choice.ReplicaID]choice.EndpointState{a: choice.EndpointReady, b: choice.EndpointReady}, nil, 2},
		{choice.ListDelta, []socket.Endpoint{listEntry("a", "draining", 0)},
			map[choice.ReplicaID]choice.EndpointState{a: choice.EndpointDraining}, nil, 1},
		{choice.ListDelta, []socket.Endpoint{listEntry("a", "gone", 0), listEntry("never", "gone", 0)},
			map[choice.ReplicaID]choice.EndpointState{a: choice.EndpointGone}, []string{"a@127.0.0.1:a/0"}, 1},
		{choice.ListDelta, []socket.Endpoint{listEntry("b", "ready", 50)},
			map[choice.ReplicaID]choice.EndpointState{b: choice.EndpointReady}, nil, 1},
		{choice.ListDelta, []socket.Endpoint{listEntry("b", "ready", 60)}, // it restarted: its connections are dead
			map[choice.ReplicaID]choice.EndpointState{b: choice.EndpointReady}, []string{"b@127.0.0.1:b/50"}, 1},
		{choice.ListFull, []socket.Endpoint{listEntry("a", "odd word", 0)},
			map[choice.ReplicaID]choice.EndpointState{a: choice.EndpointDraining}, []string{"b@127.0.0.1:b/60"}, 0},
	} {
		got, left := apply(step.kind, step.in...)
		if diff := cmp.Diff(step.want, got); diff != "" {
			t.Errorf("step %d: %s", i, diff)
		}
		if !slices.Equal(left, step.left) || r.ReadyCount() != step.ready {
			t.Errorf("step %d: left %v, ready %d", i, left, r.ReadyCount())
		}
	}
	// A start is converted once: one that moved with the clock's drift would
	// look like another start, and the worker like a cold one.
	if conversions != 2 {
		t.Errorf("%d conversions of two starts", conversions)
	}
}
