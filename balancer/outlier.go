package balancer

// Outlier replicas: one that fails gets nothing for a while, longer after each failure in
// a row, and then comes back one attempt at a time.

const (
	// backoffMin and backoffMax bound the backoff of a failing replica, and
	// maxBackoffDoublings its growth.
	backoffMin, backoffMax Micros = 500_000, 16_000_000
	maxBackoffDoublings           = 5
	// errorRateGain is the weight of one error in a replica's error rate, errorRateDecay
	// what a success leaves of the rate, and healthyErrorRate the rate below which a passed
	// health check ends the backoff.
	errorRateGain, errorRateDecay, healthyErrorRate = 0.2, 0.8, 0.1
)

// countError counts a failed attempt in a replica's error rate.
func (row *replicaRow) countError() {
	row.errorRate += errorRateGain * (1 - row.errorRate)
}

// clearFailures ends a replica's backoff.
func (row *replicaRow) clearFailures() {
	row.consecutiveFailures, row.backoffUntil = 0, 0
}

// onTrial reports whether a replica has failed and has its one attempt in flight.
func (row *replicaRow) onTrial() bool {
	return row.consecutiveFailures > 0 && len(row.ledger) > 0
}

// recordFailure begins the backoff of a replica that has failed. Quick errors free its
// memory, and without backoff it would lead each scan.
func (b *Balancer) recordFailure(now Micros, row *replicaRow, status Status) {
	if b.zones.IsUnavailable(row.zone) {
		return // its zone's failure, not its own
	}
	row.countError()
	row.consecutiveFailures++
	blindness := 1.0
	if b.largeFleet() {
		blindness = b.gatewaysPerReplica() / largeFleetGateways
	}
	row.backoffUntil = now + backoff(row.consecutiveFailures, status != Errored, blindness, b.random())
}

// backoff is how long a replica gets nothing after so many failures in a row. One that
// answers with quick errors is idle and leads any prediction: a gateway that meets it
// seldom, as one of many, has to remember it for longer. A silent one is not held back for
// longer: it is checked before anything is sent there, and once it is back it is wanted
// soon. blindness is the number of gateways against those that see enough by themselves, 1
// or more; jitter, from 0 to 1, sets gateways apart.
func backoff(failures int, silent bool, blindness, jitter float64) Micros {
	first := backoffMin
	if !silent {
		first = Micros(float64(backoffMin) * max(1, blindness))
	}
	wait := min(backoffMax, first<<max(0, min(failures-1, maxBackoffDoublings)))
	return Micros(float64(wait) * (0.75 + 0.5*jitter))
}
