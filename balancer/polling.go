package balancer

import (
	"math"
	"slices"
)

// Polling replicas for load reports before a request is dispatched. Where many gateways
// serve one fleet, the reports in a gateway's own answers are too old. See
// docs/design/large-fleet.md.

const (
	// largeFleetGateways is the number of gateways above which requests poll load reports.
	largeFleetGateways = 10
	// shortlistSize is the number of least-loaded replicas that a pick polls and compares.
	shortlistSize = 3
	// pollReportAge is the age above which a load report is renewed.
	pollReportAge Micros = 400_000
	// pollTimeout is the longest time that a request waits for a load report.
	pollTimeout Micros = 60_000
)

// largeFleet reports whether there are so many gateways that each gets reports in its own
// answers too seldom to know a replica's current load.
func (b *Balancer) largeFleet() bool {
	return b.settings.Gateways > largeFleetGateways && b.settings.MayHealthCheck && b.settings.ReportSource != ReportNone
}

// gatewaysPerReplica returns the number of gateways that send to a replica: all of them, or
// the expected number that have it in their subset of the fleet.
func (b *Balancer) gatewaysPerReplica() float64 {
	if b.fleetSize <= b.readyCount {
		return float64(b.settings.Gateways)
	}
	return math.Max(1, float64(b.settings.Gateways)*float64(b.readyCount)/float64(b.fleetSize))
}

// pollShortlist polls the replicas of the shortlist whose load reports are old, if the request
// has just arrived, and reports whether the request must wait for answers. It also waits for
// the answers to polls of other requests.
func (b *Balancer) pollShortlist(now Micros, req *request) bool {
	if !b.mayPoll {
		return b.awaitsReports(now, req)
	}
	remaining, withRandom := b.pollLimit()
	if withRandom {
		b.addRandomCandidate(now, req)
	}
	req.polled = req.polled[:0]
	for _, next := range b.shortlist {
		row := next.row
		if row == nil {
			break
		}
		if remaining > 0 && b.needsPoll(now, row) {
			b.sendHealthCheck(now, row)
			remaining--
		}
		if row.healthCheckPending {
			req.polled = append(req.polled, row.id)
		}
	}
	return len(req.polled) > 0
}

// needsPoll reports whether a replica's load report or confirmation is too old for a pick, and
// no health check is pending.
func (b *Balancer) needsPoll(now Micros, row *replicaRow) bool {
	return !row.healthCheckPending && (row.reportedAt < 0 || now-row.reportedAt > pollReportAge || b.needsConfirmation(now, row))
}

// addRandomCandidate puts the warming replica that was drawn for the attempt, or else a random
// replica, in the last place of the shortlist. Otherwise a replica that no prediction favours
// would never be polled.
func (b *Balancer) addRandomCandidate(now Micros, req *request) {
	if row := b.offeredWarming; row != nil && b.eligible(now, row, req, false) {
		if !b.leadsShortlist(row) {
			b.shortlist[shortlistSize-1] = candidate{row: row}
		}
		return
	}
	n := len(b.rows)
	for i, start := 0, int(b.random()*float64(n)); i < n; i++ {
		row := b.rows[(start+i)%n]
		if !b.leadsShortlist(row) && b.eligible(now, row, req, false) {
			b.shortlist[shortlistSize-1] = candidate{row: row}
			return
		}
	}
}

// leadsShortlist reports whether a row is in one of the first two places of the shortlist.
func (b *Balancer) leadsShortlist(row *replicaRow) bool {
	return row == b.shortlist[0].row || row == b.shortlist[1].row
}

// awaitsReports reports whether a request still waits for load reports of the replicas in
// req.polled.
func (b *Balancer) awaitsReports(now Micros, req *request) bool {
	return b.largeFleet() && len(req.attempts) == 0 && now > req.arrivedAt && now < req.arrivedAt+pollTimeout &&
		slices.ContainsFunc(req.polled, func(id ReplicaID) bool {
			row := b.rowByID[id]
			return row != nil && row.healthCheckPendingSince(req.arrivedAt)
		})
}

// healthCheckPendingSince reports whether a health check that was sent at or before sentBy is pending.
func (row *replicaRow) healthCheckPendingSince(sentBy Micros) bool {
	return row.healthCheckPending && row.healthCheckedAt <= sentBy
}

// pollLimit returns how many replicas a request may poll, and whether one of them is random:
// the whole shortlist, one of them random. Where lists name a subset of the fleet, a gateway
// gets more reports with its own answers, and its requests poll fewer replicas.
func (b *Balancer) pollLimit() (limit int, withRandom bool) {
	const randomPollFraction = 0.25 // fraction of the requests that poll one replica
	if b.fleetSize <= b.readyCount {
		return shortlistSize, true
	}
	if b.dispatchRate*b.meanLifetime/microsPerSecond < float64(b.readyCount)/4 {
		return 2, true
	}
	return 1, b.offeredWarming != nil || b.random() < randomPollFraction
}
