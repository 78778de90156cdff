package choice

import (
	"maps"
	"slices"
)

// What others may look at or exchange. No decision stands here.

// Settings are those that the Balancer was made with.
func (b *Balancer) Settings() Settings {
	s := b.s
	s.Classes = s.Classes[:len(s.Classes)-1] // the last is the module's own, for classes on no list
	return s
}

// SetSink has the orders go elsewhere from now on.
func (b *Balancer) SetSink(out Sink) { b.out = out }

// InHand lists the requests that the module remembers, in order.
func (b *Balancer) InHand() []RequestID { return slices.Sorted(maps.Keys(b.requests)) }

// Workers lists the replicas of the table, in its order.
func (b *Balancer) Workers() []Member {
	out := make([]Member, len(b.rows))
	for i, w := range b.rows {
		out[i] = Member{Replica: w.id, State: w.state, Cell: w.cell, Since: w.since, Weight: w.size}
	}
	return out
}

// Figures are sizes of the state, and what the module has learnt.
type Figures struct {
	Rows, Requests, Sessions, Prefixes, Open int
	OpenTokens, OpenLimit, Late              float64
}

// Figures tells them.
func (b *Balancer) Figures() Figures {
	f := Figures{Rows: len(b.rows), Requests: len(b.requests), Sessions: len(b.sessions), Prefixes: len(b.popular),
		OpenTokens: b.openTokens, OpenLimit: b.openLimit, Late: b.late}
	for _, w := range b.rows {
		f.Open += len(w.open)
	}
	return f
}

// TimerPurpose tells what a timer's token is for.
func TimerPurpose(token uint64) (purpose string, id RequestID) {
	return [...]string{timerTick: "tick", timerDeadline: "deadline", timerHedge: "hedge", timerAim: "aim"}[token&(1<<timerBits-1)],
		RequestID(token >> timerBits)
}
