package balancer

import "math"

const (
	// slowStartMargin is the mean fraction of a warming replica's allowed load that all
	// gateways together offer it. The remainder is a margin for random variation of the sum
	// and bursts of traffic. See docs/design/standing-test.md.
	slowStartMargin = 0.45
	// slowStartPreference multiplies the score of the warming replica that an attempt is
	// offered, because capacity that the attempt declines is not offered to another one.
	slowStartPreference = 0.35
	// minUtilization is the lower bound of warmUtilization in offerProbability, so that a
	// low reported utilization raises the probability by no more than a factor of 2.
	minUtilization = 0.5
)

// beginSlowStart begins a replica's slow start at a time and clears its failures.
func (b *Balancer) beginSlowStart(row *replicaRow, at Micros) {
	row.warmingSince, row.warmingUntil = at, at+b.settings.SlowStartFor
	row.errorRate = 0
	row.clearFailures()
}

// warmCapacity returns the minimum fraction of its full capacity that a replica has at now:
// a linear ramp from InitialCapacity to 1 over SlowStartFor.
func (b *Balancer) warmCapacity(now Micros, row *replicaRow) float64 {
	if now >= row.warmingUntil || b.settings.SlowStartFor <= 0 {
		return 1
	}
	age := math.Max(0, float64(now-row.warmingSince)/float64(b.settings.SlowStartFor))
	return b.settings.InitialCapacity + (1-b.settings.InitialCapacity)*age
}

// warmingReplicaFor returns the warming replica that the next attempt of a request is
// offered, nil for none. The offer of a first attempt is drawn once: if the attempt waits
// for load reports, it may still be sent to the replica that was polled for it.
func (b *Balancer) warmingReplicaFor(now Micros, req *request) *replicaRow {
	if len(req.attempts) > 0 {
		return b.drawWarmingReplica(now, req)
	}
	if !req.warmingDrawn {
		req.warmingDrawn = true
		if row := b.drawWarmingReplica(now, req); row != nil {
			req.drawnWarming = row.id
		}
	}
	return b.rowByID[req.drawnWarming]
}

// drawWarmingReplica picks at random the warming replica that an attempt is offered, nil
// for none. All gateways together may send a warming replica at most a multiple of its
// present capacity: N requests of mean work in a window. Each attempt is offered at most
// one warming replica, with a probability that depends neither on the gateway nor on the
// scores. The number of offers is therefore Poisson distributed with mean
// slowStartMargin * N, for any number of gateways, any distribution of traffic among them
// and any preference that they share. No state is kept, so no unused offers can accumulate.
func (b *Balancer) drawWarmingReplica(now Micros, req *request) *replicaRow {
	if b.warmingCount == 0 {
		return nil
	}
	relativeWork := math.Max(1, b.workTokens(req)/math.Max(1, b.meanWork))
	// Gateways may have the same seed, so the gateway's index is mixed in.
	hash := splitmix(math.Float64bits(b.random()) ^ splitmix(uint64(b.settings.Self)))
	draw := unitFloat(hash)
	n := len(b.rows)
	start := int(unitFloat(splitmix(hash)) * float64(n)) // random, because the probabilities may add up to more than 1
	for i := range n {
		row := b.rows[(start+i)%n]
		if row.state != EndpointReady || now >= row.warmingUntil {
			continue
		}
		if draw -= b.offerProbability(now, row) / (relativeWork * relativeWork); draw < 0 {
			return row
		}
	}
	return nil
}

// offerProbability returns the probability that an attempt of mean work is offered a
// replica. With R attempts in the window to n replicas, the allowed number N is
// OverloadMultiple * warmCapacity * R / n. For requests above mean work the caller divides
// by the square of the relative work: once because each one adds more work, and once so
// that they do not raise the variance of the sum.
func (b *Balancer) offerProbability(now Micros, row *replicaRow) float64 {
	probability := slowStartMargin * b.settings.OverloadMultiple * b.warmCapacity(now, row) / math.Max(1, row.slowness)
	if b.warmUtilization > 0 { // warm replicas have unused capacity
		probability /= math.Max(minUtilization, math.Min(1, b.warmUtilization))
	}
	return probability / float64(max(1, b.readyCount))
}
