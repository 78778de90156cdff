package balancer

import (
	"math"
	"slices"
)

// Polling replicas for load reports before a request is dispatched: where many gateways
// serve one fleet, each hears too seldom of a replica by its own requests. See
// docs/design/large-fleet.md.

const (
	// largeFleetGateways is the number of gateways above which load reports are polled.
	largeFleetGateways = 10
	// shortlistSize is the number of replicas that a pick compares.
	shortlistSize = 3
	// pollReportAge is the age from which a load report is renewed, and pollTimeout how
	// long a request waits for one.
	pollReportAge, pollTimeout Micros = 400_000, 60_000
)

// largeFleet reports whether there are so many gateways that one hears too seldom of a
// replica for the reports in its own answers to say how loaded it is now.
func (b *Balancer) largeFleet() bool {
	return b.settings.Gateways > largeFleetGateways && b.settings.MayHealthCheck && b.settings.ReportSource != ReportNone
}

// gatewaysPerReplica is how many gateways send to a replica: all of them, or as many as
// have it in their subset of the fleet.
func (b *Balancer) gatewaysPerReplica() float64 {
	if b.fleetSize <= b.readyCount {
		return float64(b.settings.Gateways)
	}
	return math.Max(1, float64(b.settings.Gateways)*float64(b.readyCount)/float64(b.fleetSize))
}

// pollShortlist polls the replicas of the shortlist for load reports where theirs are
// old, if the request has just arrived, and reports whether the request is to wait for
// answers: also for those that another request has polled.
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

// needsPoll reports whether what is known of a replica is too old for a pick.
func (b *Balancer) needsPoll(now Micros, row *replicaRow) bool {
	return !row.healthCheckPending && (row.reportedAt < 0 || now-row.reportedAt > pollReportAge || b.needsConfirmation(now, row))
}

// needsConfirmation reports whether the list alone does not allow new attempts at a replica.
func (b *Balancer) needsConfirmation(now Micros, row *replicaRow) bool {
	return b.ListUnconfirmed(now) && !b.isConfirmed(now, row)
}

// addRandomCandidate puts a random replica, or the warming one on offer, in the last place
// of the shortlist: of a replica that no prediction favours nothing would ever be heard.
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

// leadsShortlist reports whether a row has one of the first two places of the shortlist.
func (b *Balancer) leadsShortlist(row *replicaRow) bool {
	return row == b.shortlist[0].row || row == b.shortlist[1].row
}

// awaitsReports reports whether a request waits for load reports of the replicas that it
// has polled.
func (b *Balancer) awaitsReports(now Micros, req *request) bool {
	return b.largeFleet() && len(req.attempts) == 0 && now > req.arrivedAt && now < req.arrivedAt+pollTimeout &&
		slices.ContainsFunc(req.polled, func(id ReplicaID) bool {
			row := b.rowByID[id]
			return row != nil && row.healthCheckPendingSince(req.arrivedAt)
		})
}

// healthCheckPendingSince reports whether a health check that was sent by then has no answer yet.
func (row *replicaRow) healthCheckPendingSince(then Micros) bool {
	return row.healthCheckPending && row.healthCheckedAt <= then
}

// pollLimit is how many replicas a request may poll, and whether one of them is random:
// all of the shortlist, one of them random. Where lists name a subset of the fleet, a
// gateway hears of its replicas by its own requests, and polls the less the more it hears.
func (b *Balancer) pollLimit() (limit int, withRandom bool) {
	const randomShare = 0.25 // of the requests that poll one replica
	if b.fleetSize <= b.readyCount {
		return shortlistSize, true
	}
	if b.dispatchRate*b.meanLifetime/microsPerSecond < float64(b.readyCount)/4 {
		return 2, true
	}
	return 1, b.offeredWarming != nil || b.random() < randomShare
}
