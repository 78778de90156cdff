package balancer

import "math"

const (
	// minHealthCheckInterval is the time after which replicas renew their reports.
	minHealthCheckInterval Micros = 1_000_000
	// maxHealthChecks is the most health checks per request, for a gateway that does not
	// share them with others.
	maxHealthChecks = 0.25
	// maxHealthCheckCost is the highest cost of health checks per request, for such a gateway.
	maxHealthCheckCost = 0.005
	// overdueIntervals is the age of a replica's report, in intervals, from which a gateway
	// takes over health checks that another gateway does not perform.
	overdueIntervals = 3
)

// sendHealthCheck checks a replica's health, which also renews its load report.
func (b *Balancer) sendHealthCheck(now Micros, row *replicaRow) {
	row.healthCheckPending, row.healthCheckedAt = true, now
	b.sink.HealthCheck(row.id)
}

// runHealthChecks sends the health checks that are due. Gateways that may gossip divide the
// replicas among themselves by hash and send each other the results. Large fleets poll
// replicas for requests instead.
func (b *Balancer) runHealthChecks(now Micros) {
	if !b.settings.MayHealthCheck || b.settings.ReportSource == ReportNone || b.largeFleet() {
		return
	}
	for _, row := range b.rows {
		if row.state != EndpointReady || row.healthCheckPending {
			continue
		}
		age := now - max(row.reportedAt, row.healthCheckedAt)
		interval := b.healthCheckInterval()
		if b.settings.MayGossip && !b.ownsHealthCheck(row) {
			// The owner does not check it. Take over, but not from all gateways at once.
			if age < overdueIntervals*interval || b.random() > 2/float64(b.settings.Gateways) {
				continue
			}
		}
		if age >= interval {
			b.sendHealthCheck(now, row)
		}
	}
}

// healthCheckInterval returns the time between two health checks of a replica, no less than
// replicas take to renew their reports. Without gossip the health checks per request, and
// their cost, are bounded too.
func (b *Balancer) healthCheckInterval() Micros {
	if b.settings.MayGossip || b.dispatchRate <= 0 {
		return minHealthCheckInterval
	}
	rate := maxHealthChecks * b.dispatchRate
	if b.settings.HealthCheckCost > 0 {
		rate = math.Min(rate, maxHealthCheckCost/b.settings.HealthCheckCost*b.dispatchRate)
	}
	return max(minHealthCheckInterval, int64(microsPerSecond*float64(b.readyCount)/rate))
}

// ownsHealthCheck reports whether this gateway is responsible for a replica's health checks,
// by rendezvous hashing.
func (b *Balancer) ownsHealthCheck(row *replicaRow) bool {
	bestHash, owner := uint64(0), 0
	for i := range b.settings.Gateways {
		if hash := splitmix(row.hash ^ uint64(i+1)); hash > bestHash {
			bestHash, owner = hash, i
		}
	}
	return owner == b.settings.Self
}

// healthCheckOverdue reports whether a poll of a replica has had no answer for half of
// pollTimeout.
func (b *Balancer) healthCheckOverdue(now Micros, row *replicaRow) bool {
	return row.healthCheckPending && b.largeFleet() && now-row.healthCheckedAt >= pollTimeout/2
}

// HealthCheckEnded handles the result of a health check. Results of replicas that are not in
// the load table are ignored.
func (b *Balancer) HealthCheckEnded(now Micros, outcome Outcome) {
	row := b.rowByID[outcome.Replica]
	if row == nil {
		return
	}
	row.healthCheckPending = false
	if b.largeFleet() {
		defer b.resumeWaiting(now)
	}
	b.recordAnswer(now, row, outcome.Status, true)
	switch status := outcome.Status; {
	case status == Served:
		if outcome.ConnAge >= minConfirmedConnAge {
			row.confirmedAt = row.healthCheckedAt
		}
		b.healthCheckPassed(now, row, outcome.Report)
	case status == ConnectFailed, status == Errored, status == TimedOut && b.largeFleet():
		b.recordFailure(now, row, status)
	}
}

// healthCheckPassed applies the report of a replica that has passed a health check, and
// sends it to the other gateways if gossip is allowed.
func (b *Balancer) healthCheckPassed(now Micros, row *replicaRow, report LoadReport) {
	b.applyReport(now, row, report)
	if row.backoffUntil > 0 && row.errorRate < healthyErrorRate {
		row.clearFailures()
	}
	if b.settings.MayGossip && b.settings.Gateways > 1 && row.reportedAt == now {
		b.sink.Gossip(row.packPeerReport(nil))
	}
}
