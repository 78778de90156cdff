package balancer

import "math"

const (
	// minHealthCheckInterval is how often replicas renew their reports.
	minHealthCheckInterval Micros = 1_000_000
	// maxHealthChecks and maxHealthCheckCost bound the health checks of a gateway that
	// shares them with no other: their number and their cost for each request.
	maxHealthChecks, maxHealthCheckCost = 0.25, 0.005
	// overdueIntervals is how many intervals late a health check of another gateway's must
	// be before this one steps in.
	overdueIntervals = 3
)

// sendHealthCheck checks a replica's health, which renews its load report too.
func (b *Balancer) sendHealthCheck(now Micros, row *replicaRow) {
	row.healthCheckPending, row.healthCheckedAt = true, now
	b.sink.HealthCheck(row.id)
}

// runHealthChecks renews load reports where they come in no other way. Gateways that may
// gossip share the replicas by hash and send each other the results.
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
			// Its owner is silent: step in, but not all gateways at once.
			if age < overdueIntervals*interval || b.random() > 2/float64(b.settings.Gateways) {
				continue
			}
		}
		if age >= interval {
			b.sendHealthCheck(now, row)
		}
	}
}

// healthCheckInterval is the time between two health checks of a replica: no less than
// reports take to be renewed. Without gossip health checks are limited to a part of the
// requests, and within their cost.
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

// ownsHealthCheck reports whether this gateway is the one that checks a replica, by
// rendezvous hashing.
func (b *Balancer) ownsHealthCheck(row *replicaRow) bool {
	best, owner := uint64(0), 0
	for i := range b.settings.Gateways {
		if hash := splitmix(row.hash ^ uint64(i+1)); hash > best {
			best, owner = hash, i
		}
	}
	return owner == b.settings.Self
}

// healthCheckOverdue reports whether a replica was polled and has not answered.
func (b *Balancer) healthCheckOverdue(now Micros, row *replicaRow) bool {
	return row.healthCheckPending && b.largeFleet() && now-row.healthCheckedAt >= pollTimeout/2
}

// HealthCheckEnded handles the result of a health check.
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

// healthCheckPassed takes the report of a replica that has passed a health check, and
// shares it with the other gateways.
func (b *Balancer) healthCheckPassed(now Micros, row *replicaRow, report LoadReport) {
	b.applyReport(now, row, report)
	if row.backoffUntil > 0 && row.errorRate < healthyErrorRate {
		row.clearFailures()
	}
	if b.settings.MayGossip && b.settings.Gateways > 1 && row.reportedAt == now {
		b.sink.Gossip(row.packPeerReport(nil))
	}
}
