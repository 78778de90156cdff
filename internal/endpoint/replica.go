package endpoint

import (
	"fmt"
	"sync/atomic"

	"archknot/balancer"
	"archknot/internal/httpwire"
)

// Replica is a replica as the endpoint list names it, with what the gateway knows of it beside the list.
// It belongs to the gateway's event loop; only Accepting and ConnKey may be called by other goroutines.
type Replica struct {
	httpwire.Endpoint
	ID        balancer.ReplicaID
	StartedAt balancer.Micros // its last start on the gateway's clock; 0: long ago

	// inFlight counts the gateway's own attempts at the replica. Successive entries of one process share it.
	inFlight *int
	// accepting becomes false once this process may get no new attempts. Attempts hold an entry that may be
	// out of date, hence the entries of one process share it. It is nil where there is no such state.
	accepting *atomic.Bool
}

// newReplica returns the replica of a list entry. It takes over the state of the replica's previous entry,
// nil if there is none, as far as both are of the same process.
func newReplica(entry httpwire.Endpoint, previous *Replica, sinceOf func(int64) balancer.Micros) *Replica {
	r := &Replica{Endpoint: entry}
	switch {
	case previous != nil && previous.StartedAtMs == entry.StartedAtMs:
		r.StartedAt = previous.StartedAt
		r.inFlight = previous.inFlight
	case entry.StartedAtMs > 0:
		r.StartedAt = sinceOf(entry.StartedAtMs)
	}
	if r.inFlight == nil {
		r.inFlight = new(int)
	}
	if previous != nil && previous.accepting != nil && previous.ConnKey() == r.ConnKey() {
		r.accepting = previous.accepting
	} else {
		r.accepting = new(atomic.Bool)
	}
	r.accepting.Store(r.State() == balancer.EndpointReady)
	return r
}

// Accepting reports whether the replica may get new attempts by the current list, also for an attempt
// that was decided before the list changed. It may be called by any goroutine.
func (r *Replica) Accepting() bool { return r.accepting == nil || r.accepting.Load() }

// stopAccepting marks that this process gets no new attempts any more.
func (r *Replica) stopAccepting() {
	if r.accepting != nil {
		r.accepting.Store(false)
	}
}

// ConnKey identifies this process at its address. Connections pooled under it are never used for another
// process that listens there later.
func (r *Replica) ConnKey() string {
	return fmt.Sprintf("%s@%s/%d", r.Endpoint.ID, r.Addr, r.StartedAtMs)
}

// InFlight returns the number of the gateway's attempts at the replica that have not ended.
func (r *Replica) InFlight() int {
	if r.inFlight == nil {
		return 0
	}
	return *r.inFlight
}

// AddInFlight changes the number of attempts in flight by delta.
func (r *Replica) AddInFlight(delta int) {
	if r.inFlight != nil {
		*r.inFlight += delta
	}
}

// balancerEndpoint returns the balancer's form of the replica.
func (r *Replica) balancerEndpoint() balancer.Endpoint {
	return balancer.Endpoint{
		Replica:   r.ID,
		State:     r.State(),
		Weight:    r.Weight,
		Cell:      r.Cell,
		Kind:      r.Kind,
		Zone:      r.Zone,
		StartedAt: r.StartedAt,
	}
}

// retire stops new attempts at a previous entry if the current one, nil if there is none, is of another
// process. It then returns the key of the connections to close.
func retire(previous, current *Replica) (connKey string, retired bool) {
	if previous == nil {
		return "", false
	}
	connKey = previous.ConnKey()
	if current != nil && current.ConnKey() == connKey {
		return "", false
	}
	previous.stopAccepting()
	return connKey, true
}
