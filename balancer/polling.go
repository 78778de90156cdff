package balancer

// Asking replicas for reports before a request is sent: where many gateways serve one fleet, each
// hears too seldom of a replica by its own requests. See docs/design/large-fleet.md.

import (
	"math"
	"slices"
)

// largeFleet tells that there are so many gateways that one hears too seldom of a worker
// for its own answers' reports to say how loaded it is now.
func (b *Balancer) largeFleet() bool {
	return b.settings.Gateways > largeFleetGateways && b.settings.MayHealthCheck && b.settings.ReportSource != ReportNone
}

// gatewaysPerReplica is how many gateways send to a replica: all of them, or as many as have it on their
// parts of the list.
func (b *Balancer) gatewaysPerReplica() float64 {
	if b.fleetSize <= b.readyCount {
		return float64(b.settings.Gateways)
	}
	return math.Max(1, float64(b.settings.Gateways)*float64(b.readyCount)/float64(b.fleetSize))
}

// addRandomCandidate puts a replica drawn by chance in the last place of the short list, the cold one
// that is offered before others: of one that no reckoning favours, as of one that is new,
// nothing would ever be heard.
func (b *Balancer) addRandomCandidate(now Micros, req *request) {
	if row := b.offeredWarming; row != nil && b.eligible(now, row, req, false) {
		if row != b.shortlist[0].row && row != b.shortlist[1].row {
			b.shortlist[shortlistSize-1] = candidate{row: row}
		}
		return
	}
	n := len(b.rows)
	for i, k := 0, int(b.random()*float64(n)); i < n; i++ {
		row := b.rows[(k+i)%n]
		if row != b.shortlist[0].row && row != b.shortlist[1].row && b.eligible(now, row, req, false) {
			b.shortlist[shortlistSize-1] = candidate{row: row}
			return
		}
	}
}

// pollShortlist asks the workers on the short list for reports where theirs are old, when r
// has just come, and tells whether r is to wait for answers that are out.
func (b *Balancer) pollShortlist(now Micros, req *request) (wait bool) {
	if !b.mayPoll {
		return b.awaitsReports(now, req)
	}
	left, drawn := b.pollLimit()
	if drawn {
		b.addRandomCandidate(now, req)
	}
	for _, next := range b.shortlist {
		if next.row == nil {
			break
		}
		if left > 0 && !next.row.healthCheckPending && (next.row.reportedAt < 0 || now-next.row.reportedAt > pollReportAge || b.mayBeStale(now, next.row)) {
			b.sendHealthCheck(now, next.row)
			left--
		}
		wait = wait || next.row.healthCheckPending && next.row.healthCheckedAt == now
	}
	return wait
}

// awaitsReports tells whether r waits for an answer that it asked for.
func (b *Balancer) awaitsReports(now Micros, req *request) bool {
	return b.largeFleet() && len(req.attempts) == 0 && now > req.arrivedAt && now < req.arrivedAt+pollTimeout &&
		slices.ContainsFunc(b.rows, func(row *replicaRow) bool { return row.healthCheckPending && row.healthCheckedAt == req.arrivedAt })
}

// pollLimit is how many replicas a request may ask for reports, and whether one of them is drawn by
// chance: all of the short list, one of them drawn. Where lists name a part of the fleet, a gateway
// hears of that part by its own requests, and asks the less the more it hears.
func (b *Balancer) pollLimit() (most int, drawn bool) {
	if b.fleetSize <= b.readyCount {
		return shortlistSize, true
	}
	const drawnOf = 0.25
	if b.dispatchRate*b.meanLifetime/1e6 < float64(b.readyCount)/4 {
		return 2, true
	}
	return 1, b.offeredWarming != nil || b.random() < drawnOf
}
