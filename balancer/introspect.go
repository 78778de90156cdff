package balancer

import (
	"fmt"
	"maps"
	"slices"
)

// What owners, replay and the operators' views may look at. Nothing here changes a decision.

// Settings returns the settings in force.
func (b *Balancer) Settings() Settings { return b.settings }

// SetSink replaces the sink of all further actions.
func (b *Balancer) SetSink(sink Sink) { b.sink = sink }

// InFlightRequests lists the requests that have not ended or have attempts in flight, in order.
func (b *Balancer) InFlightRequests() []RequestID { return slices.Sorted(maps.Keys(b.requests)) }

// Endpoints lists the replicas of the load table, in its order, without their zone and kind.
func (b *Balancer) Endpoints() []Endpoint {
	out := make([]Endpoint, len(b.rows))
	for i, row := range b.rows {
		out[i] = Endpoint{Replica: row.id, State: row.state, Cell: row.cell, StartedAt: row.startedAt, Weight: row.size}
	}
	return out
}

// ReportAge returns the age of a replica's last load report, and whether there is one.
func (b *Balancer) ReportAge(now Micros, id ReplicaID) (age Micros, known bool) {
	row := b.rowByID[id]
	if row == nil || row.reportedAt < 0 {
		return 0, false
	}
	return now - row.reportedAt, true
}

// PrefixShare is a low estimate of a prefix's share of the requests: while few were seen,
// one sight says little.
func (b *Balancer) PrefixShare(prefix uint64) float64 {
	const few = 32.0 // requests
	return b.prefixCounts[prefix] / (b.prefixTotal + few)
}

// Stats are sizes of a Balancer's state, and what it has learned.
type Stats struct {
	Rows, Requests, Sessions, Prefixes, LedgerEntries int
	InFlightTokens                                    float64
	TokenLimit                                        float64 // most tokens in flight; 0: no limit
	LateShare                                         float64 // share of recent requests that came late
}

// Stats returns the present figures.
func (b *Balancer) Stats() Stats {
	stats := Stats{
		Rows:           len(b.rows),
		Requests:       len(b.requests),
		Sessions:       len(b.sessions),
		Prefixes:       len(b.prefixCounts),
		InFlightTokens: b.inFlightTokens,
		TokenLimit:     b.tokenLimit,
		LateShare:      b.lateFraction,
	}
	for _, row := range b.rows {
		stats.LedgerEntries += len(row.ledger)
	}
	return stats
}

// timerPurposes are the names of timers' purposes in replay's output.
var timerPurposes = [...]string{timerTick: "tick", timerDeadline: "deadline", timerHedge: "hedge", timerObjective: "aim"}

// TimerPurpose returns the name of a timer's purpose, and its request.
func TimerPurpose(token uint64) (purpose string, id RequestID) {
	return timerPurposes[token&timerPurposeMask], RequestID(token >> timerBits)
}

// InFlight is what a class or a tenant has in flight.
type InFlight struct {
	Requests int
	// LongestTimeout is the most that a request that waits for its first token was given
	// from its arrival.
	LongestTimeout Micros
}

// add counts a request.
func (f *InFlight) add(req *request) {
	f.Requests++
	if !req.streaming {
		f.LongestTimeout = max(f.LongestTimeout, req.TimeLeft)
	}
}

// InFlight returns what is in flight by the classes and the tenants in force, and the
// number of attempts in flight at each replica that takes no new work.
func (b *Balancer) InFlight() (classes, tenants map[string]InFlight, draining map[ReplicaID]int) {
	byClass, byTenant := make([]InFlight, len(b.policies)), make([]InFlight, len(b.settings.Tenants))
	for _, req := range b.requests {
		if req.ended {
			continue
		}
		byClass[req.classIndex].add(req)
		if req.tenantIndex >= 0 {
			byTenant[req.tenantIndex].add(req)
		}
	}
	classes, tenants, draining = map[string]InFlight{}, map[string]InFlight{}, map[ReplicaID]int{}
	for i, class := range b.settings.Classes { // requests of unknown classes have no entry
		classes[class.Name] = byClass[i]
	}
	for i, tenant := range b.settings.Tenants {
		tenants[tenant.Name] = byTenant[i]
	}
	for _, row := range b.rows {
		if row.state != EndpointReady && len(row.ledger) > 0 {
			draining[row.id] = len(row.ledger)
		}
	}
	return classes, tenants, draining
}

// ExclusionReason says in words why a replica may not take a further attempt of a request
// now, "" if it may. It changes nothing.
func (b *Balancer) ExclusionReason(now Micros, id RequestID, to ReplicaID) string {
	row, req := b.rowByID[to], b.requests[id]
	if row == nil {
		return "not in the endpoint list"
	}
	if req == nil {
		return "the request is not in flight"
	}
	lastResort := b.lastResort(now, req)
	if reason := b.rowExclusion(now, row, lastResort); reason != "" {
		return reason
	}
	for i, a := range req.attempts {
		if a.row == row && (!lastResort || !a.ended) {
			return fmt.Sprintf("attempt %d was sent there", i)
		}
	}
	if len(req.attempts) > 0 && !b.idempotencyAllows(now, req, row) {
		return "the class does not allow a retry there"
	}
	return ""
}

// rowExclusion says why a replica takes no attempt of any request now, "" if it may.
func (b *Balancer) rowExclusion(now Micros, row *replicaRow, lastResort bool) string {
	switch {
	case row.state == EndpointDraining:
		return "draining"
	case row.state != EndpointReady:
		return "gone"
	case !lastResort && now < row.backoffUntil:
		return fmt.Sprintf("in backoff for another %.3f s after %d consecutive failures", float64(row.backoffUntil-now)/microsPerSecond, row.consecutiveFailures)
	case !lastResort && !b.zoneEligible(now, row):
		return "its zone is lost"
	case !lastResort && b.healthCheckOverdue(now, row):
		return "a health check is overdue"
	case b.ListStale(now):
		return fmt.Sprintf("no word of discovery for %.3f s", float64(b.ListAge(now))/microsPerSecond)
	case b.needsConfirmation(now, row):
		return "the list is doubtful, and no health check has confirmed the replica"
	case !lastResort && row.onTrial():
		return "on trial after a failure, with one attempt in flight"
	}
	return ""
}
