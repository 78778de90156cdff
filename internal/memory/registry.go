// Package memory holds what the gateway remembers: the workers that the
// registry names, the connections to them, the requests and attempts out.
package memory

import (
	"fmt"
	"hash/fnv"
	"slices"
	"sync/atomic"

	"archknot/choice"
	"archknot/internal/wire/socket"
)

// Worker is one replica as the registry names it.
type Worker struct {
	socket.Instance
	ID    choice.ReplicaID
	Since choice.Micros // its last start on the gateway's clock; 0: long ago
	out   *int          // own attempts that are out on it; kept while the list changes
	gate  *atomic.Bool  // closed once this very process may get nothing new; nil: there is none
}

// Admits tells whether the worker may get new work as of now, also for an attempt that was ordered
// before the list changed. Any task may ask.
func (w *Worker) Admits() bool { return w.gate == nil || w.gate.Load() }

// leave says that this very process gets nothing any more.
func (w *Worker) leave() {
	if w.gate != nil {
		w.gate.Store(false)
	}
}

// Key stands for this very process at its address: connections kept under it
// are never used for another that comes there later.
func (w *Worker) Key() string {
	return fmt.Sprintf("%s@%s/%d", w.Instance.ID, w.Addr, w.StartedAtMs)
}

// Out is how many attempts are out on it. The loop counts them.
func (w *Worker) Out() int {
	if w.out == nil {
		return 0
	}
	return *w.out
}

func (w *Worker) count(n int) {
	if w.out != nil {
		*w.out += n
	}
}

// Registry is the registry's list as the gateway holds it. The loop owns it.
type Registry struct {
	version int64
	workers map[string]*Worker // by instanceId
	byID    map[choice.ReplicaID]*Worker
	ready   int // workers that take work
	salted  int // workers whose number is not their name's first hash
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{workers: map[string]*Worker{}, byID: map[choice.ReplicaID]*Worker{}}
}

// Worker is the worker with the module's number, nil if the list has none.
func (r *Registry) Worker(id choice.ReplicaID) *Worker { return r.byID[id] }

// Named is the worker with the registry's own name, nil if the list has none.
func (r *Registry) Named(name string) *Worker { return r.workers[name] }

// Version is the list's, as it was told last.
func (r *Registry) Version() int64 { return r.version }

// Len counts the workers on the list.
func (r *Registry) Len() int { return len(r.workers) }

// Ready counts the workers that take work.
func (r *Registry) Ready() int { return r.ready }

// Apply enters a list and returns the module's form of it, and the keys that
// workers have left behind, by their end or a restart. sinceOf converts a
// start in Unix milliseconds; it is asked once for each start, because a worker
// whose start seems to move by a few microseconds would seem to start anew.
func (r *Registry) Apply(l socket.List, kind choice.ListKind, sinceOf func(int64) choice.Micros) (choice.EndpointList, []string) {
	out := choice.EndpointList{Kind: kind, Version: l.Generation}
	r.version = l.Generation
	if kind == choice.ListDelta && r.plain(l) {
		return r.change(l, out, sinceOf)
	}
	old := r.workers
	next := map[string]*Worker{}
	if kind == choice.ListDelta {
		for id, w := range old {
			next[id] = w
		}
	}
	changed, left := map[string]*Worker{}, []string{}
	for _, in := range l.Instances {
		w := newWorker(in, old[in.ID], sinceOf)
		changed[in.ID] = w
		if w.State() == choice.EndpointGone {
			delete(next, in.ID)
		} else {
			next[in.ID] = w
		}
	}
	for id, was := range old {
		if now := next[id]; now == nil || now.Key() != was.Key() {
			left = append(left, was.Key())
			was.leave()
		}
	}
	r.workers = next
	moved := r.number(old)
	if moved && kind == choice.ListDelta {
		out.Kind, changed = choice.ListFull, next // numbers changed hands: tell everything
	}
	for id, w := range changed {
		if w.State() == choice.EndpointGone {
			if old[id] == nil {
				continue
			}
			w.ID = old[id].ID
		}
		out.Endpoints = append(out.Endpoints, w.member())
	}
	sortMembers(out.Endpoints)
	return out, left
}

// newWorker is a worker as a list names it, with what is known of it from before.
func newWorker(in socket.Instance, was *Worker, sinceOf func(int64) choice.Micros) *Worker {
	w := &Worker{Instance: in}
	switch {
	case was != nil && was.StartedAtMs == in.StartedAtMs:
		w.Since, w.out = was.Since, was.out
	case in.StartedAtMs > 0:
		w.Since = sinceOf(in.StartedAtMs)
	}
	if w.out == nil {
		w.out = new(int)
	}
	if was != nil && was.gate != nil && was.Key() == w.Key() {
		w.gate = was.gate
	} else {
		w.gate = new(atomic.Bool)
	}
	w.gate.Store(w.State() == choice.EndpointReady)
	return w
}

// AssumeStart has a worker count as started now, where nothing told of a start.
func (r *Registry) AssumeStart(name string, now choice.Micros) {
	if w := r.workers[name]; w != nil {
		w.Since = now
	}
}

// member is the module's form of the worker.
func (w *Worker) member() choice.Endpoint {
	return choice.Endpoint{Replica: w.ID, State: w.State(), Weight: w.Weight, Cell: w.Cell, Kind: w.Kind, Zone: w.Zone, StartedAt: w.Since}
}

func sortMembers(list []choice.Endpoint) {
	slices.SortFunc(list, func(a, b choice.Endpoint) int { return int(int64(a.Replica) - int64(b.Replica)) })
}

// plain tells whether changes can be entered one by one: no two names share a number, before or after.
func (r *Registry) plain(l socket.List) bool {
	if r.salted > 0 {
		return false
	}
	names := make(map[choice.ReplicaID]string, len(l.Instances))
	for _, in := range l.Instances {
		id := replicaID(in.ID, 0)
		if w := r.byID[id]; w != nil && w.Instance.ID != in.ID {
			return false
		}
		if name, ok := names[id]; ok && name != in.ID {
			return false
		}
		names[id] = in.ID
	}
	return true
}

// change enters changes one by one: what it takes follows the changes and not the list.
func (r *Registry) change(l socket.List, out choice.EndpointList, sinceOf func(int64) choice.Micros) (choice.EndpointList, []string) {
	before := map[string]*Worker{} // as they were, of those that change
	after := map[string]*Worker{}
	for _, in := range l.Instances {
		was := r.workers[in.ID]
		if _, seen := before[in.ID]; !seen {
			before[in.ID] = was
		}
		w := newWorker(in, was, sinceOf)
		w.ID = replicaID(in.ID, 0)
		after[in.ID] = w
		r.put(was, w)
	}
	var left []string
	for name, was := range before {
		now := r.workers[name]
		if was != nil && (now == nil || now.Key() != was.Key()) {
			left = append(left, was.Key())
			was.leave()
		}
		if now != nil || was != nil {
			out.Endpoints = append(out.Endpoints, after[name].member())
		}
	}
	sortMembers(out.Endpoints)
	return out, left
}

// put has a worker take the place of what was there under its name.
func (r *Registry) put(was, w *Worker) {
	if was != nil && was.State() == choice.EndpointReady {
		r.ready--
	}
	if w.State() == choice.EndpointGone {
		delete(r.workers, w.Instance.ID)
		delete(r.byID, w.ID)
		return
	}
	if w.State() == choice.EndpointReady {
		r.ready++
	}
	r.workers[w.Instance.ID] = w
	r.byID[w.ID] = w
}

// number gives each worker the module's number for it. The module ranks homes
// by these, so every gateway must come to the same ones whatever the order in
// which it heard of the workers: a hash of the name, and where two names share
// one, the later in the alphabet takes the next hash. It tells whether a worker
// that stays has changed its number.
func (r *Registry) number(old map[string]*Worker) bool {
	names := make([]string, 0, len(r.workers))
	for id := range r.workers {
		names = append(names, id)
	}
	slices.Sort(names)
	clear(r.byID)
	r.ready, r.salted = 0, 0
	moved := false
	for _, name := range names {
		id := replicaID(name, 0)
		for salt := byte(1); r.byID[id] != nil; salt++ {
			id = replicaID(name, salt)
		}
		w := r.workers[name]
		moved = moved || old[name] != nil && old[name].ID != id
		w.ID = id
		r.byID[id] = w
		if w.State() == choice.EndpointReady {
			r.ready++
		}
		if id != replicaID(name, 0) {
			r.salted++
		}
	}
	return moved
}

// replicaID is a variable so that a test can make names collide.
var replicaID = func(name string, salt byte) choice.ReplicaID {
	h := fnv.New32a()
	h.Write([]byte(name))
	if salt > 0 {
		h.Write([]byte{0, salt})
	}
	return choice.ReplicaID(h.Sum32())
}
