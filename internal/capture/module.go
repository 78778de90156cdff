package capture

import (
	"archknot/balancer"
	"archknot/internal/contract"
)

// Module is what the owner of a decision module calls: a balancer.Balancer itself, or a Recorder before it. It
// belongs to one goroutine.
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

// Timer is a timer that the module has set and that has not fired.
type Timer struct {
	At    balancer.Micros
	Token uint64
}

// Timers tracks the pending timers of a module, for a host that does not have them itself: by token, in the order in
// which they were set.
type Timers map[uint64][]balancer.Micros

// Add adds a timer that the module has set.
func (t Timers) Add(at balancer.Micros, token uint64) { t[token] = append(t[token], at) }

// Remove removes the timer of a token that was set first: it has fired.
func (t Timers) Remove(token uint64) {
	if list := t[token]; len(list) > 1 {
		t[token] = list[1:]
	} else {
		delete(t, token)
	}
}

// Pending returns the timers, in no order.
func (t Timers) Pending() (out []Timer) {
	for token, list := range t {
		for _, at := range list {
			out = append(out, Timer{At: at, Token: token})
		}
	}
	return out
}

// Host is what only the owner of the module knows. The recorder calls the functions within the owner's calls. Each of
// them may be nil.
type Host struct {
	Timers      func() []Timer                  // the pending ones
	ReplicaName func(balancer.ReplicaID) string // discovery's id; "" if there is none
	RequestName func(balancer.RequestID) string // the client's id; "" if there is none
	OpenCharges func() []contract.OpenCharge    // those of the ledger
}
