package balancer

import (
	"fmt"
	"maps"
	"slices"
)

// Read access for the owner of a Balancer, for replay and for operators. Nothing in this file
// affects a decision.

// Settings returns the settings in force.
func (b *Balancer) Settings() Settings { return b.settings }

// SetSink sets the Sink of all further actions.
func (b *Balancer) SetSink(sink Sink) { b.sink = sink }

// InFlightRequests returns the IDs of the requests that have not ended or have attempts in
// flight, in ascending order.
func (b *Balancer) InFlightRequests() []RequestID { return slices.Sorted(maps.Keys(b.requests)) }

// Endpoints returns the replicas of the load table by ascending ID, without their zone and kind.
func (b *Balancer) Endpoints() []Endpoint {
	out := make([]Endpoint, len(b.rows))
	for i, row := range b.rows {
		out[i] = Endpoint{Replica: row.id, State: row.state, Cell: row.cell, StartedAt: row.startedAt, Weight: row.size}
	}
	return out
}

// ReportAge returns the age of a replica's last load report, and false if there is none.
func (b *Balancer) ReportAge(now Micros, id ReplicaID) (age Micros, known bool) {
	row := b.rowByID[id]
	if row == nil || row.reportedAt < 0 {
		return 0, false
	}
	return now - row.reportedAt, true
}

// PrefixShare returns a conservative estimate of the fraction of requests with a prefix, which
// is low until many requests were counted.
func (b *Balancer) PrefixShare(prefix uint64) float64 {
	const priorRequests = 32.0 // assumed earlier requests without the prefix
	return b.prefixCounts[prefix] / (b.prefixTotal + priorRequests)
}

// Stats are the sizes of a Balancer's state and its admission control.
type Stats struct {
	Rows, Requests, Sessions, Prefixes, LedgerEntries int
	InFlightTokens                                    float64
	TokenLimit                                        float64 // most tokens in flight; 0: no limit
	LateShare                                         float64 // fraction of recent requests that missed their latency objective
}

// Stats returns the current figures.
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

// timerPurposes are the names of timer purposes in the output of replay.
var timerPurposes = [...]string{timerTick: "tick", timerDeadline: "deadline", timerHedge: "hedge", timerObjective: "aim"}

// TimerPurpose returns the name of the purpose in a timer token, and the ID of its request.
func TimerPurpose(token uint64) (purpose string, id RequestID) {
	return timerPurposes[token&timerPurposeMask], RequestID(token >> timerBits)
}

// InFlight summarizes the requests in flight of a class or a tenant.
type InFlight struct {
	Requests int
	// LongestTimeout is the longest TimeLeft of the requests that wait for a first token.
	LongestTimeout Micros
}

func (f *InFlight) add(req *request) {
	f.Requests++
	if !req.streaming {
		f.LongestTimeout = max(f.LongestTimeout, req.TimeLeft)
	}
}

// InFlight returns the requests in flight of each configured class and tenant, and the
// number of attempts in flight at each replica that is draining or removed.
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

// ExclusionReason returns the reason why a replica may not get a further attempt of a request
// now, as text for operators; "" if it may.
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

// rowExclusion returns the reason why a replica may not get an attempt of any request now,
// "" if it may.
func (b *Balancer) rowExclusion(now Micros, row *replicaRow, lastResort bool) string {
	switch {
	case row.state == EndpointDraining:
		return "draining"
	case row.state != EndpointReady:
		return "gone"
	case !lastResort && now < row.backoffUntil:
		return fmt.Sprintf("in backoff for another %.3f s after %d consecutive failures", float64(row.backoffUntil-now)/microsPerSecond, row.consecutiveFailures)
	case !lastResort && !b.zoneEligible(now, row):
		return "its zone is unavailable"
	case !lastResort && b.healthCheckOverdue(now, row):
		return "a health check is overdue"
	case b.ListStale(now):
		return fmt.Sprintf("the endpoint list is stale: last current %.3f s ago", float64(b.ListAge(now))/microsPerSecond)
	case now >= b.entryValidUntil(row):
		return "the endpoint list may lack changes, and the replica has accepted no attempt since"
	case b.needsConfirmation(now, row):
		return "the endpoint list is doubtful, and no health check has confirmed the replica"
	case !lastResort && row.onTrial():
		return "on trial after a failure, with one attempt in flight"
	}
	return ""
}
