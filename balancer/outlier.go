package balancer

// Outlier detection: a failing replica is in backoff, longer after each consecutive
// failure, and then receives one attempt at a time until an attempt succeeds.

const (
	// backoffMin is the backoff after the first failure, before jitter and gatewayFactor.
	backoffMin Micros = 500_000
	// backoffMax bounds the backoff of a failing replica, before jitter.
	backoffMax Micros = 16_000_000
	// maxBackoffDoublings bounds the exponential growth of the backoff.
	maxBackoffDoublings = 5
	// errorRateGain is the weight of one error in a replica's error rate.
	errorRateGain = 0.2
	// errorRateDecay multiplies a replica's error rate on each success.
	errorRateDecay = 0.8
	// healthyErrorRate is the rate below which a passed health check ends the backoff.
	healthyErrorRate = 0.1
)

// countError raises a replica's error rate by one failed attempt.
func (row *replicaRow) countError() {
	row.errorRate += errorRateGain * (1 - row.errorRate)
}

// clearFailures ends a replica's backoff and resets its failure count.
func (row *replicaRow) clearFailures() {
	row.consecutiveFailures, row.backoffUntil = 0, 0
}

// onTrial reports whether a replica that has failed already has an attempt in flight.
func (row *replicaRow) onTrial() bool {
	return row.consecutiveFailures > 0 && len(row.ledger) > 0
}

// recordFailure begins the backoff of a replica that has failed. A replica that fails fast
// holds few tokens, so without backoff it would come first in each scan.
func (b *Balancer) recordFailure(now Micros, row *replicaRow, status Status) {
	if b.zones.IsUnavailable(row.zone) {
		return // attributed to the zone, not to the replica
	}
	row.countError()
	row.consecutiveFailures++
	gatewayFactor := 1.0
	if b.largeFleet() {
		gatewayFactor = b.gatewaysPerReplica() / largeFleetGateways
	}
	row.backoffUntil = now + backoff(row.consecutiveFailures, status != Errored, gatewayFactor, b.random())
}

// backoff returns the backoff of a replica after a number of consecutive failures. A
// replica that fails fast looks idle and comes first in predictions, but one of many
// gateways sees few of its errors, so gatewayFactor lengthens the backoff there: the number
// of gateways relative to largeFleetGateways; values below 1 count as 1. It does not apply
// to an unresponsive replica, which is health-checked before it receives attempts and should
// be used again soon after its recovery. jitter, from 0 to 1, desynchronizes gateways.
func backoff(failures int, unresponsive bool, gatewayFactor, jitter float64) Micros {
	first := backoffMin
	if !unresponsive {
		first = Micros(float64(backoffMin) * max(1, gatewayFactor))
	}
	wait := min(backoffMax, first<<max(0, min(failures-1, maxBackoffDoublings)))
	return Micros(float64(wait) * (0.75 + 0.5*jitter))
}
