package contract

import (
	"math"

	"archknot/balancer"
)

const (
	// demandWindowSeconds is the time constant of the mean of a team's demand.
	demandWindowSeconds = 8.0
	// demandInterval is how often the mean is updated if the caller does not call
	// UpdateDemand more often.
	demandInterval balancer.Micros = 1_000_000
	// minDemandSeconds is the shortest time span of an update, to avoid a division by 0.
	minDemandSeconds = 1e-3
)

// UpdateDemand updates the mean demand of all teams. A caller that makes its own decisions
// on demand at certain times, as the decision module does at its ticks, must call it at
// the same times, or the decisions differ.
func (l *Ledger) UpdateDemand(now balancer.Micros) {
	l.advance(now)
	for _, a := range l.accounts {
		a.updateDemand(now)
	}
}

// updateDemand adds the requests since the last update to the mean demand.
func (a *account) updateDemand(now balancer.Micros) {
	elapsed := math.Max(minDemandSeconds, inSeconds(now-a.demandUpdatedAt))
	a.demandRate += math.Min(1, elapsed/demandWindowSeconds) * (a.demandSinceUpdate/elapsed - a.demandRate)
	a.demandSinceUpdate, a.demandUpdatedAt = 0, now
}

// recordDemand adds a request to the demand, and reports whether the mean demand is above
// the surge threshold of the terms.
func (a *account) recordDemand(now balancer.Micros, cost Units) bool {
	if a.terms.SurgeFactor <= 0 {
		return false
	}
	if now-a.demandUpdatedAt >= demandInterval {
		a.updateDemand(now)
	}
	a.demandSinceUpdate += float64(cost)
	return a.demandRate > a.terms.SurgeFactor*a.terms.Rate*a.quotaShare
}
