package endpoint

import (
	"fmt"
	"sync/atomic"

	"archknot/balancer"
	"archknot/internal/httpwire"
)

// Replica is an entry of the endpoint list with the gateway's own state of the replica. Only the gateway's
// event loop may use it, except for Accepting and ConnKey, which any goroutine may call.
type Replica struct {
	httpwire.Endpoint
	ID        balancer.ReplicaID
	StartedAt balancer.Micros // last start on the gateway's clock; 0: long ago

	// inFlight counts the gateway's own attempts at the replica. Successive entries of one process share the
	// counter. It is nil in a Replica that newReplica did not create.
	inFlight *int
	// accepting is false while the process may get no new attempts. The entries of one process share it,
	// because an attempt may hold an outdated entry. It is nil in a Replica that newReplica did not create.
	accepting *atomic.Bool
}

// newReplica returns the replica of a list entry. It takes over the state of the replica's previous entry,
// nil if there is none, if both entries are of the same process.
func newReplica(entry httpwire.Endpoint, previous *Replica, toGatewayTime func(int64) balancer.Micros) *Replica {
	r := &Replica{Endpoint: entry}
	switch {
	case previous != nil && previous.StartedAtMs == entry.StartedAtMs:
		r.StartedAt = previous.StartedAt
		r.inFlight = previous.inFlight
	case entry.StartedAtMs > 0:
		r.StartedAt = toGatewayTime(entry.StartedAtMs)
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

// Accepting reports whether the replica may get new attempts according to the current list, even if the
// caller's entry is from an earlier list. Any goroutine may call it.
func (r *Replica) Accepting() bool { return r.accepting == nil || r.accepting.Load() }

// stopAccepting ends new attempts at this process.
func (r *Replica) stopAccepting() {
	if r.accepting != nil {
		r.accepting.Store(false)
	}
}

// ConnKey identifies this process at its address. Connections pooled under the key are never used for another
// process that later listens on the same address.
func (r *Replica) ConnKey() string {
	return fmt.Sprintf("%s@%s/%d", r.Endpoint.ID, r.Addr, r.StartedAtMs)
}

// InFlight returns the number of the gateway's unfinished attempts at the replica.
func (r *Replica) InFlight() int {
	if r.inFlight == nil {
		return 0
	}
	return *r.inFlight
}

// AddInFlight adds delta, which may be negative, to the number of attempts in flight.
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

// retire stops new attempts at a replica's previous entry if its current entry, nil if there is none, is of
// another process. It then returns the ConnKey of the connections to close.
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
