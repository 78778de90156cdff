package contract

import (
	"math"

	"archknot/balancer"
)

const (
	// demandWindowSeconds is the time over which a team's demand is averaged, in seconds.
	demandWindowSeconds = 8.0
	// demandInterval is how often it is averaged where the caller does not call
	// UpdateDemand.
	demandInterval balancer.Micros = 1_000_000
	// minDemandSeconds is the shortest time that a mean is taken over, in seconds.
	minDemandSeconds = 1e-3
)

// UpdateDemand averages the demand of all teams up to now. A caller that decides at
// moments of its own, as the decision module does at its ticks, calls it at the
// same moments.
func (l *Ledger) UpdateDemand(now balancer.Micros) {
	l.advance(now)
	for _, a := range l.accounts {
		a.updateDemand(now)
	}
}

// updateDemand moves the mean demand towards what was requested since the last
// update.
func (a *account) updateDemand(now balancer.Micros) {
	elapsed := math.Max(minDemandSeconds, inSeconds(now-a.demandUpdatedAt))
	a.demandRate += math.Min(1, elapsed/demandWindowSeconds) * (a.demandSinceUpdate/elapsed - a.demandRate)
	a.demandSinceUpdate, a.demandUpdatedAt = 0, now
}

// recordDemand adds a request to the demand, and reports whether recent demand is
// a surge by the terms.
func (a *account) recordDemand(now balancer.Micros, cost Units) bool {
	if a.terms.Surge <= 0 {
		return false
	}
	if now-a.demandUpdatedAt >= demandInterval {
		a.updateDemand(now)
	}
	a.demandSinceUpdate += float64(cost)
	return a.demandRate > a.terms.Surge*a.terms.Rate*a.quotaShare
}
