package choice

import (
	"maps"
	"slices"
)

// What others may look at or exchange. No decision stands here.

// Settings are those in force.
func (b *Balancer) Settings() Settings { return b.s }

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

// ReportAge is how old the last report of a replica's load is, if there is one.
func (b *Balancer) ReportAge(now Micros, id ReplicaID) (age Micros, known bool) {
	w := b.byID[id]
	if w == nil || w.reportAt < 0 {
		return 0, false
	}
	return now - w.reportAt, true
}

// PrefixShare is a low estimate of a prefix's share of the requests: while few were seen, one sight
// says little.
func (b *Balancer) PrefixShare(prefix uint64) float64 {
	const few = 32.0 // requests
	return b.popular[prefix] / (b.popTotal + few)
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

// InHand is what a class, or a tenant, has in hand.
type InHand struct {
	Requests int
	Longest  Micros // the most that one that waits for its first token was given from its arrival
}

// Load tells what is in hand, by the classes and tenants in force,
// and how many attempts are out on each worker that does not take work.
func (b *Balancer) Load() (classes, tenants map[string]InHand, emptying map[ReplicaID]int) {
	byClass, byTenant := make([]InHand, len(b.terms)), make([]InHand, len(b.s.Tenants))
	count := func(in *InHand, r *request) {
		if in.Requests++; !r.opened {
			in.Longest = max(in.Longest, r.TimeLeft)
		}
	}
	for _, r := range b.requests {
		if r.ended {
			continue
		}
		if count(&byClass[r.class], r); r.tenant >= 0 {
			count(&byTenant[r.tenant], r)
		}
	}
	classes, tenants, emptying = map[string]InHand{}, map[string]InHand{}, map[ReplicaID]int{}
	for i, c := range b.s.Classes { // what is of no class of the list has no place there to lose
		classes[c.Name] = byClass[i]
	}
	for i, t := range b.s.Tenants {
		tenants[t.Name] = byTenant[i]
	}
	for _, w := range b.rows {
		if w.state != MemberReady && len(w.open) > 0 {
			emptying[w.id] = len(w.open)
		}
	}
	return classes, tenants, emptying
}
