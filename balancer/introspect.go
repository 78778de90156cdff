package balancer

import (
	"maps"
	"slices"
)

// What others may look at or exchange. No decision stands here.

// Settings are those in force.
func (b *Balancer) Settings() Settings { return b.settings }

// SetSink has the orders go elsewhere from now on.
func (b *Balancer) SetSink(out Sink) { b.sink = out }

// InFlightRequests lists the requests that the module remembers, in order.
func (b *Balancer) InFlightRequests() []RequestID { return slices.Sorted(maps.Keys(b.requests)) }

// Endpoints lists the replicas of the table, in its order.
func (b *Balancer) Endpoints() []Endpoint {
	out := make([]Endpoint, len(b.rows))
	for i, row := range b.rows {
		out[i] = Endpoint{Replica: row.id, State: row.state, Cell: row.cell, StartedAt: row.startedAt, Weight: row.size}
	}
	return out
}

// ReportAge is how old the last report of a replica's load is, if there is one.
func (b *Balancer) ReportAge(now Micros, id ReplicaID) (age Micros, known bool) {
	row := b.rowByID[id]
	if row == nil || row.reportedAt < 0 {
		return 0, false
	}
	return now - row.reportedAt, true
}

// PrefixShare is a low estimate of a prefix's share of the requests: while few were seen, one sight
// says little.
func (b *Balancer) PrefixShare(prefix uint64) float64 {
	const few = 32.0 // requests
	return b.prefixCounts[prefix] / (b.prefixTotal + few)
}

// Stats are sizes of the state, and what the module has learnt.
type Stats struct {
	Rows, Requests, Sessions, Prefixes, LedgerEntries int
	InFlightTokens, TokenLimit, LateShare             float64
}

// Stats tells them.
func (b *Balancer) Stats() Stats {
	f := Stats{Rows: len(b.rows), Requests: len(b.requests), Sessions: len(b.sessions), Prefixes: len(b.prefixCounts),
		InFlightTokens: b.inFlightTokens, TokenLimit: b.tokenLimit, LateShare: b.lateShare}
	for _, row := range b.rows {
		f.LedgerEntries += len(row.ledger)
	}
	return f
}

// TimerPurpose tells what a timer's token is for.
func TimerPurpose(token uint64) (purpose string, id RequestID) {
	return [...]string{timerTick: "tick", timerDeadline: "deadline", timerHedge: "hedge", timerObjective: "aim"}[token&(1<<timerBits-1)],
		RequestID(token >> timerBits)
}

// InFlight is what a class, or a tenant, has in hand.
type InFlight struct {
	Requests       int
	LongestTimeout Micros // the most that one that waits for its first token was given from its arrival
}

// InFlight tells what is in hand, by the classes and tenants in force,
// and how many attempts are out on each worker that does not take work.
func (b *Balancer) InFlight() (classes, tenants map[string]InFlight, emptying map[ReplicaID]int) {
	byClass, byTenant := make([]InFlight, len(b.policies)), make([]InFlight, len(b.settings.Tenants))
	count := func(in *InFlight, req *request) {
		if in.Requests++; !req.streaming {
			in.LongestTimeout = max(in.LongestTimeout, req.TimeLeft)
		}
	}
	for _, req := range b.requests {
		if req.ended {
			continue
		}
		if count(&byClass[req.classIndex], req); req.tenantIndex >= 0 {
			count(&byTenant[req.tenantIndex], req)
		}
	}
	classes, tenants, emptying = map[string]InFlight{}, map[string]InFlight{}, map[ReplicaID]int{}
	for i, class := range b.settings.Classes { // what is of no class of the list has no place there to lose
		classes[class.Name] = byClass[i]
	}
	for i, t := range b.settings.Tenants {
		tenants[t.Name] = byTenant[i]
	}
	for _, row := range b.rows {
		if row.state != EndpointReady && len(row.ledger) > 0 {
			emptying[row.id] = len(row.ledger)
		}
	}
	return classes, tenants, emptying
}
