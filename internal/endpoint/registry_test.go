package endpoint

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"archknot/balancer"
	"archknot/internal/httpwire"
)

func listEntry(id, lifecycle string, started int64) httpwire.Endpoint {
	return httpwire.Endpoint{ID: id, Addr: "127.0.0.1:" + id, Lifecycle: lifecycle, StartedAtMs: started}
}

func replicaIDs(r *Registry) map[string]balancer.ReplicaID {
	out := map[string]balancer.ReplicaID{}
	for name, replica := range r.byName {
		out[name] = replica.ID
	}
	return out
}

// Gateways that receive the same replicas in different orders assign the same IDs, even if the hashes collide.
func TestReplicaIDsDoNotDependOnOrder(t *testing.T) {
	original := hashReplicaID
	defer func() { hashReplicaID = original }()
	for name, hash := range map[string]func(string, byte) balancer.ReplicaID{
		"real": original,
		"all collide": func(name string, salt byte) balancer.ReplicaID {
			if salt == 0 {
				return 5
			}
			return original(name, salt)
		},
	} {
		hashReplicaID = hash
		names := []string{"s-b", "s-a", "s-d", "s-c"}
		var want map[string]balancer.ReplicaID
		for range names {
			names = append(names[1:], names[0])
			r := NewRegistry()
			for _, n := range names {
				r.Apply(httpwire.EndpointList{Endpoints: []httpwire.Endpoint{listEntry(n, "ready", 0)}}, balancer.ListDelta, nil)
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
					t.Errorf("%s: ByID(%d) = nil", name, id)
				}
			}
		}
	}
}

// Apply returns the changed endpoints and the processes that have ended or restarted, and converts each start
// time once.
func TestApplyListsAndDeltas(t *testing.T) {
	conversions := int64(0)
	toGatewayTime := func(ms int64) balancer.Micros { conversions++; return ms*1000 + conversions }
	r := NewRegistry()
	apply := func(kind balancer.ListKind, in ...httpwire.Endpoint) (map[balancer.ReplicaID]balancer.EndpointState, []string) {
		out, retired := r.Apply(httpwire.EndpointList{Endpoints: in}, kind, toGatewayTime)
		states := map[balancer.ReplicaID]balancer.EndpointState{}
		for _, e := range out.Endpoints {
			states[e.Replica] = e.State
		}
		slices.Sort(retired)
		return states, retired
	}
	a, b := hashReplicaID("a", 0), hashReplicaID("b", 0)
	for i, step := range []struct {
		kind    balancer.ListKind
		in      []httpwire.Endpoint
		want    map[balancer.ReplicaID]balancer.EndpointState
		retired []string
		ready   int
	}{
		{balancer.ListCached, []httpwire.Endpoint{listEntry("a", "ready", 0), listEntry("b", "ready", 50)},
			map[balancer.ReplicaID]balancer.EndpointState{a: balancer.EndpointReady, b: balancer.EndpointReady}, nil, 2},
		{balancer.ListDelta, []httpwire.Endpoint{listEntry("a", "draining", 0)},
			map[balancer.ReplicaID]balancer.EndpointState{a: balancer.EndpointDraining}, nil, 1},
		{balancer.ListDelta, []httpwire.Endpoint{listEntry("a", "gone", 0), listEntry("never", "gone", 0)},
			map[balancer.ReplicaID]balancer.EndpointState{a: balancer.EndpointRemoved}, []string{"a@127.0.0.1:a/0"}, 1},
		{balancer.ListDelta, []httpwire.Endpoint{listEntry("b", "ready", 50)},
			map[balancer.ReplicaID]balancer.EndpointState{b: balancer.EndpointReady}, nil, 1},
		{balancer.ListDelta, []httpwire.Endpoint{listEntry("b", "ready", 60)}, // a restart: the old connections are to be closed
			map[balancer.ReplicaID]balancer.EndpointState{b: balancer.EndpointReady}, []string{"b@127.0.0.1:b/50"}, 1},
		{balancer.ListFull, []httpwire.Endpoint{listEntry("a", "unknown state", 0)},
			map[balancer.ReplicaID]balancer.EndpointState{a: balancer.EndpointDraining}, []string{"b@127.0.0.1:b/60"}, 0},
	} {
		got, retired := apply(step.kind, step.in...)
		if diff := cmp.Diff(step.want, got); diff != "" {
			t.Errorf("step %d: %s", i, diff)
		}
		if !slices.Equal(retired, step.retired) || r.ReadyCount() != step.ready {
			t.Errorf("step %d: retired %v, ready %d", i, retired, r.ReadyCount())
		}
	}
	// A second conversion of the same start could differ because of clock drift. The replica would seem to have
	// restarted and to be warming up.
	if conversions != 2 {
		t.Errorf("%d conversions of 2 start times, want 2", conversions)
	}
}
