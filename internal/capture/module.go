package capture

import (
	"archknot/balancer"
	"archknot/internal/contract"
)

// Module is the interface of a decision module to its owner: a balancer.Balancer, or a Recorder that wraps one. It must
// be used by one goroutine only.
type Module interface {
	Start(now balancer.Micros)
	ListChanged(now balancer.Micros, l balancer.EndpointList)
	RequestArrived(now balancer.Micros, in balancer.Request)
	FirstToken(now balancer.Micros, o balancer.Outcome)
	AttemptEnded(now balancer.Micros, o balancer.Outcome)
	ClientGone(now balancer.Micros, id balancer.RequestID)
	TimerFired(now balancer.Micros, token uint64)
	HealthCheckEnded(now balancer.Micros, o balancer.Outcome)
	PeerMessage(now balancer.Micros, from int, body []byte)
	Reconfigure(now balancer.Micros, s balancer.Settings) error
}

// Timer is a pending timer of the module: one that it has set and that has not fired.
type Timer struct {
	At    balancer.Micros
	Token uint64
}

// Timers tracks the pending timers of a module, for a host that cannot list them. It maps a timer's token to the times
// at which its timers fire, in the order in which they were set.
type Timers map[uint64][]balancer.Micros

// Add adds a timer that the module has set.
func (t Timers) Add(at balancer.Micros, token uint64) { t[token] = append(t[token], at) }

// Remove removes the timer with the given token that was set first. The host calls it when the timer fires.
func (t Timers) Remove(token uint64) {
	if list := t[token]; len(list) > 1 {
		t[token] = list[1:]
	} else {
		delete(t, token)
	}
}

// Pending returns the pending timers in no particular order.
func (t Timers) Pending() (out []Timer) {
	for token, list := range t {
		for _, at := range list {
			out = append(out, Timer{At: at, Token: token})
		}
	}
	return out
}

// Host has the functions by which a Recorder queries the owner of the module. The Recorder calls them only during the
// owner's calls, in the same goroutine. Each of them may be nil.
type Host struct {
	Timers      func() []Timer                  // the pending timers
	ReplicaName func(balancer.ReplicaID) string // discovery's id; "" if there is none
	RequestName func(balancer.RequestID) string // the client's id; "" if there is none
	OpenCharges func() []contract.OpenCharge    // the open charges of the ledger
}
