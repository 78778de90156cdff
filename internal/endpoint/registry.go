// Package endpoint holds the gateway's copy of the endpoint list that discovery sends.
package endpoint

import (
	"fmt"
	"hash/fnv"
	"slices"
	"sync/atomic"

	"archknot/balancer"
	"archknot/internal/httpwire"
)

// Replica is one replica as the registry names it.
type Replica struct {
	httpwire.Endpoint
	ID        balancer.ReplicaID
	StartedAt balancer.Micros // its last start on the gateway's clock; 0: long ago
	inFlight  *int            // own attempts that are out on it; kept while the list changes
	accepting *atomic.Bool    // closed once this very process may get nothing new; nil: there is none
}

// Accepting tells whether the worker may get new work as of now, also for an attempt that was ordered
// before the list changed. Any task may ask.
func (w *Replica) Accepting() bool { return w.accepting == nil || w.accepting.Load() }

// stopAccepting says that this very process gets nothing any more.
func (w *Replica) stopAccepting() {
	if w.accepting != nil {
		w.accepting.Store(false)
	}
}

// ConnKey stands for this very process at its address: connections kept under it
// are never used for another that comes there later.
func (w *Replica) ConnKey() string {
	return fmt.Sprintf("%s@%s/%d", w.Endpoint.ID, w.Addr, w.StartedAtMs)
}

// InFlight is how many attempts are out on it. The loop counts them.
func (w *Replica) InFlight() int {
	if w.inFlight == nil {
		return 0
	}
	return *w.inFlight
}

func (w *Replica) AddInFlight(n int) {
	if w.inFlight != nil {
		*w.inFlight += n
	}
}

// Registry is the registry's list as the gateway holds it. The loop owns it.
type Registry struct {
	version    int64
	byName     map[string]*Replica // by instanceId
	byID       map[balancer.ReplicaID]*Replica
	readyCount int // workers that take work
	rehashed   int // workers whose number is not their name's first hash
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{byName: map[string]*Replica{}, byID: map[balancer.ReplicaID]*Replica{}}
}

// ByID is the worker with the module's number, nil if the list has none.
func (r *Registry) ByID(id balancer.ReplicaID) *Replica { return r.byID[id] }

// ByName is the worker with the registry's own name, nil if the list has none.
func (r *Registry) ByName(name string) *Replica { return r.byName[name] }

// Version is the list's, as it was told last.
func (r *Registry) Version() int64 { return r.version }

// Len counts the workers on the list.
func (r *Registry) Len() int { return len(r.byName) }

// ReadyCount counts the workers that take work.
func (r *Registry) ReadyCount() int { return r.readyCount }

// Apply enters a list and returns the module's form of it, and the keys that
// workers have left behind, by their end or a restart. sinceOf converts a
// start in Unix milliseconds; it is asked once for each start, because a worker
// whose start seems to move by a few microseconds would seem to start anew.
func (r *Registry) Apply(l httpwire.EndpointList, kind balancer.ListKind, sinceOf func(int64) balancer.Micros) (balancer.EndpointList, []string) {
	out := balancer.EndpointList{Kind: kind, Version: l.Generation}
	r.version = l.Generation
	if kind == balancer.ListDelta && r.canApplyInPlace(l) {
		return r.applyInPlace(l, out, sinceOf)
	}
	old := r.byName
	next := map[string]*Replica{}
	if kind == balancer.ListDelta {
		for id, w := range old {
			next[id] = w
		}
	}
	changed, left := map[string]*Replica{}, []string{}
	for _, in := range l.Endpoints {
		w := newReplica(in, old[in.ID], sinceOf)
		changed[in.ID] = w
		if w.State() == balancer.EndpointGone {
			delete(next, in.ID)
		} else {
			next[in.ID] = w
		}
	}
	for id, was := range old {
		if now := next[id]; now == nil || now.ConnKey() != was.ConnKey() {
			left = append(left, was.ConnKey())
			was.stopAccepting()
		}
	}
	r.byName = next
	moved := r.assignIDs(old)
	if moved && kind == balancer.ListDelta {
		out.Kind, changed = balancer.ListFull, next // numbers changed hands: tell everything
	}
	for id, w := range changed {
		if w.State() == balancer.EndpointGone {
			if old[id] == nil {
				continue
			}
			w.ID = old[id].ID
		}
		out.Endpoints = append(out.Endpoints, w.toMember())
	}
	sortMembers(out.Endpoints)
	return out, left
}

// newReplica is a worker as a list names it, with what is known of it from before.
func newReplica(in httpwire.Endpoint, was *Replica, sinceOf func(int64) balancer.Micros) *Replica {
	w := &Replica{Endpoint: in}
	switch {
	case was != nil && was.StartedAtMs == in.StartedAtMs:
		w.StartedAt, w.inFlight = was.StartedAt, was.inFlight
	case in.StartedAtMs > 0:
		w.StartedAt = sinceOf(in.StartedAtMs)
	}
	if w.inFlight == nil {
		w.inFlight = new(int)
	}
	if was != nil && was.accepting != nil && was.ConnKey() == w.ConnKey() {
		w.accepting = was.accepting
	} else {
		w.accepting = new(atomic.Bool)
	}
	w.accepting.Store(w.State() == balancer.EndpointReady)
	return w
}

// AssumeStarted has a worker count as started now, where nothing told of a start.
func (r *Registry) AssumeStarted(name string, now balancer.Micros) {
	if w := r.byName[name]; w != nil {
		w.StartedAt = now
	}
}

// toMember is the module's form of the worker.
func (w *Replica) toMember() balancer.Endpoint {
	return balancer.Endpoint{Replica: w.ID, State: w.State(), Weight: w.Weight, Cell: w.Cell, Kind: w.Kind, Zone: w.Zone, StartedAt: w.StartedAt}
}

func sortMembers(list []balancer.Endpoint) {
	slices.SortFunc(list, func(a, b balancer.Endpoint) int { return int(int64(a.Replica) - int64(b.Replica)) })
}

// canApplyInPlace tells whether changes can be entered one by one: no two names share a number, before or after.
func (r *Registry) canApplyInPlace(l httpwire.EndpointList) bool {
	if r.rehashed > 0 {
		return false
	}
	names := make(map[balancer.ReplicaID]string, len(l.Endpoints))
	for _, in := range l.Endpoints {
		id := hashReplicaID(in.ID, 0)
		if w := r.byID[id]; w != nil && w.Endpoint.ID != in.ID {
			return false
		}
		if name, ok := names[id]; ok && name != in.ID {
			return false
		}
		names[id] = in.ID
	}
	return true
}

// applyInPlace enters changes one by one: what it takes follows the changes and not the list.
func (r *Registry) applyInPlace(l httpwire.EndpointList, out balancer.EndpointList, sinceOf func(int64) balancer.Micros) (balancer.EndpointList, []string) {
	before := map[string]*Replica{} // as they were, of those that change
	after := map[string]*Replica{}
	for _, in := range l.Endpoints {
		was := r.byName[in.ID]
		if _, seen := before[in.ID]; !seen {
			before[in.ID] = was
		}
		w := newReplica(in, was, sinceOf)
		w.ID = hashReplicaID(in.ID, 0)
		after[in.ID] = w
		r.replace(was, w)
	}
	var left []string
	for name, was := range before {
		now := r.byName[name]
		if was != nil && (now == nil || now.ConnKey() != was.ConnKey()) {
			left = append(left, was.ConnKey())
			was.stopAccepting()
		}
		if now != nil || was != nil {
			out.Endpoints = append(out.Endpoints, after[name].toMember())
		}
	}
	sortMembers(out.Endpoints)
	return out, left
}

// replace has a worker take the place of what was there under its name.
func (r *Registry) replace(was, w *Replica) {
	if was != nil && was.State() == balancer.EndpointReady {
		r.readyCount--
	}
	if w.State() == balancer.EndpointGone {
		delete(r.byName, w.Endpoint.ID)
		delete(r.byID, w.ID)
		return
	}
	if w.State() == balancer.EndpointReady {
		r.readyCount++
	}
	r.byName[w.Endpoint.ID] = w
	r.byID[w.ID] = w
}

// assignIDs gives each worker the module's number for it. The module ranks homes
// by these, so every gateway must come to the same ones whatever the order in
// which it heard of the workers: a hash of the name, and where two names share
// one, the later in the alphabet takes the next hash. It tells whether a worker
// that stays has changed its number.
func (r *Registry) assignIDs(old map[string]*Replica) bool {
	names := make([]string, 0, len(r.byName))
	for id := range r.byName {
		names = append(names, id)
	}
	slices.Sort(names)
	clear(r.byID)
	r.readyCount, r.rehashed = 0, 0
	moved := false
	for _, name := range names {
		id := hashReplicaID(name, 0)
		for salt := byte(1); r.byID[id] != nil; salt++ {
			id = hashReplicaID(name, salt)
		}
		w := r.byName[name]
		moved = moved || old[name] != nil && old[name].ID != id
		w.ID = id
		r.byID[id] = w
		if w.State() == balancer.EndpointReady {
			r.readyCount++
		}
		if id != hashReplicaID(name, 0) {
			r.rehashed++
		}
	}
	return moved
}

// hashReplicaID is a variable so that a test can make names collide.
var hashReplicaID = func(name string, salt byte) balancer.ReplicaID {
	h := fnv.New32a()
	h.Write([]byte(name))
	if salt > 0 {
		h.Write([]byte{0, salt})
	}
	return balancer.ReplicaID(h.Sum32())
}
