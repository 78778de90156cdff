package balancer

import "math"

const (
	// slowStartMargin is the part of the work allowed by rule 4 that is used: the sum of
	// what all gateways send scatters by chance, and traffic has bursts. See
	// docs/design/standing-test.md.
	slowStartMargin = 0.45
	// slowStartPreference multiplies the score of the warming replica that an attempt is
	// offered: an offer that is passed by is capacity that nobody else uses.
	slowStartPreference = 0.35
	// minUtilization bounds what the reported utilization of warm replicas may say of
	// their capacity.
	minUtilization = 0.5
)

// beginSlowStart marks a replica as started at a time.
func (b *Balancer) beginSlowStart(row *replicaRow, at Micros) {
	row.warmingSince, row.warmingUntil = at, at+b.settings.SlowStartFor
	row.errorRate = 0
	row.clearFailures()
}

// warmCapacity is the least share of its capacity that a replica has by now: the slowest
// even ramp from the least start.
func (b *Balancer) warmCapacity(now Micros, row *replicaRow) float64 {
	if now >= row.warmingUntil || b.settings.SlowStartFor <= 0 {
		return 1
	}
	age := math.Max(0, float64(now-row.warmingSince)/float64(b.settings.SlowStartFor))
	return b.settings.InitialCapacity + (1-b.settings.InitialCapacity)*age
}

// offerTo returns the warming replica that the next attempt of a request may go to, nil for
// none. A first attempt that waits for load reports keeps its offer: what it has polled is
// what it may be sent to.
func (b *Balancer) offerTo(now Micros, req *request) *replicaRow {
	if len(req.attempts) > 0 {
		return b.offerWarming(now, req)
	}
	if !req.warmingDrawn {
		req.warmingDrawn = true
		if row := b.offerWarming(now, req); row != nil {
			req.drawnWarming = row.id
		}
	}
	return b.rowByID[req.drawnWarming]
}

// offerWarming picks at random the warming replica that an attempt of a request may go to, nil for
// none. It is rule 4: all gateways together may send a warming replica no more than a
// multiple of what it can do now, N requests of mean work in a window. Each attempt is
// offered one warming replica at most, with a probability that is the same wherever the
// attempt comes from and whatever else it prefers: slowStartMargin * N offers in the mean, with
// the scatter of a Poisson count. The number of gateways, what each of them gets and a
// preference that all of them share change nothing about it, and nothing is learned or
// saved up.
func (b *Balancer) offerWarming(now Micros, req *request) *replicaRow {
	if b.warmingCount == 0 {
		return nil
	}
	heavy := math.Max(1, b.workTokens(req)/math.Max(1, b.meanWork))
	// Gateways may have the same seed: their index makes their draws differ.
	hash := splitmix(math.Float64bits(b.random()) ^ splitmix(uint64(b.settings.Self)))
	draw := unitFloat(hash)
	n := len(b.rows)
	start := int(unitFloat(splitmix(hash)) * float64(n)) // random, for probabilities may add up to more than 1
	for i := range n {
		row := b.rows[(start+i)%n]
		if row.state != EndpointReady || now >= row.warmingUntil {
			continue
		}
		if draw -= b.offerChance(now, row) / (heavy * heavy); draw < 0 {
			return row
		}
	}
	return nil
}

// offerChance is the probability that an attempt of mean work is offered a replica. Of R
// attempts in the window to n replicas, N is OverloadMultiple * warmCapacity * R / n. A
// heavy request is offered it less often by the square of its work: once for its work, and
// once so that it scatters the sum no more than others.
func (b *Balancer) offerChance(now Micros, row *replicaRow) float64 {
	share := slowStartMargin * b.settings.OverloadMultiple * b.warmCapacity(now, row) / math.Max(1, row.slowness)
	if b.warmUtilization > 0 { // replicas can do more than they are sent
		share /= math.Max(minUtilization, math.Min(1, b.warmUtilization))
	}
	return share / float64(max(1, b.readyCount))
}
