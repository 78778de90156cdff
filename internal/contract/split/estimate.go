package split

import "math"

// LocalEstimate estimates each team's usage at other gateways. The gateway's share of a
// contract is its own usage divided by the total. The usage of all teams together at other
// gateways is observable, because replicas report all their work. Its division among the
// teams is inferred from changes: a change in the total that coincides with a change of a
// team's own usage is attributed to that team. The method is a Kalman filter with the sum
// as its only observation, and states that vary as much as each team's own traffic.
type LocalEstimate struct {
	teams         []teamEstimate
	ownInFlight   movingAverage
	fleetInFlight movingAverage
}

// teamEstimate is the state of one team.
type teamEstimate struct {
	used      movingAverage // units per second at this gateway
	previous  float64       // used.value at the last observation
	elsewhere float64       // estimated units per second at other gateways
}

// surplus returns the team's estimated usage above its rate, negative if it is within the
// rate.
func (t *teamEstimate) surplus(rate float64) float64 { return t.used.value + t.elsewhere - rate }

const (
	// processNoise is the expected change of a team's usage at other gateways within a
	// second, as a fraction of its usage.
	processNoise = 0.02
	// observationNoise is the expected error of the observed sum, as a fraction of it.
	observationNoise = 0.05
	// rebalanceRate is the fraction of the usage above contracts that is moved, per second,
	// to the estimates of teams below their contracts. Most teams stay within their
	// contracts most of the time, so usage above a contract is probably a wrong estimate.
	rebalanceRate = 0.02
)

// Shares implements Strategy.
func (e *LocalEstimate) Shares(o Observation) []float64 {
	if len(e.teams) != len(o.Teams) { // the contracts have changed
		e.teams = make([]teamEstimate, len(o.Teams))
	}
	elapsed := o.seconds()
	if elapsed <= 0 {
		return e.shares()
	}
	used := e.observeUsage(&o)
	if o.FleetInFlight > 0 {
		e.ownInFlight.add(math.Max(0, o.OwnInFlight), o.Interval)
		e.fleetInFlight.add(math.Max(o.OwnInFlight, o.FleetInFlight), o.Interval)
	}
	if !e.fleetInFlight.started || e.ownInFlight.value <= 0 || used <= 0 {
		return e.shares()
	}
	elsewhere := used * math.Max(0, e.fleetInFlight.value-e.ownInFlight.value) / e.ownInFlight.value
	e.correct(elsewhere, elsewhere/used, elapsed)
	e.rebalance(o.Teams, elapsed)
	return e.shares()
}

// observeUsage updates the mean usage of each team at this gateway, and returns the sum.
func (e *LocalEstimate) observeUsage(o *Observation) (sum float64) {
	for i := range e.teams {
		team := &e.teams[i]
		team.previous = team.used.value
		team.used.add(o.Teams[i].Used/o.seconds(), o.Interval)
		sum += team.used.value
	}
	return sum
}

// correct updates the estimates with sum, the observed usage of all teams at other
// gateways. ratio is the sum divided by the usage at this gateway.
func (e *LocalEstimate) correct(sum, ratio, elapsed float64) {
	estimated := 0.0
	for i := range e.teams {
		estimated += e.teams[i].elsewhere
	}
	if estimated == 0 { // the first observation: assume that each team is distributed as all work is
		for i := range e.teams {
			e.teams[i].elsewhere = e.teams[i].used.value * ratio
		}
		return
	}
	innovation := sum - estimated
	noise := observationNoise * sum
	total := noise * noise * elapsed
	variance := func(t *teamEstimate) float64 {
		change := (t.used.value - t.previous) * math.Max(1, ratio)
		drift := processNoise * (t.elsewhere + t.used.value) * elapsed
		return change*change + drift*drift
	}
	for i := range e.teams {
		total += variance(&e.teams[i])
	}
	if total <= 0 {
		return
	}
	for i := range e.teams {
		team := &e.teams[i]
		team.elsewhere = math.Max(0, team.elsewhere+innovation*variance(team)/total)
	}
}

// rebalance moves a part of the estimated usage above contracts to teams that are below
// their contracts.
func (e *LocalEstimate) rebalance(teams []TeamUsage, elapsed float64) {
	excess, headroom := 0.0, 0.0
	for i := range e.teams {
		team := &e.teams[i]
		if surplus := team.surplus(teams[i].Rate); surplus > 0 {
			excess += math.Min(surplus, team.elsewhere)
		} else {
			headroom -= surplus
		}
	}
	moved := rebalanceRate * elapsed * math.Min(excess, headroom)
	if moved <= 0 {
		return
	}
	for i := range e.teams {
		team := &e.teams[i]
		if surplus := team.surplus(teams[i].Rate); surplus > 0 {
			team.elsewhere -= moved * math.Min(surplus, team.elsewhere) / excess
		} else {
			team.elsewhere -= moved * surplus / headroom
		}
	}
}

// shares returns the shares by the current estimates. For a team without usage it is the
// gateway's share of all work, and 1 before that is known.
func (e *LocalEstimate) shares() []float64 {
	shares := make([]float64, len(e.teams))
	for i := range e.teams {
		team := &e.teams[i]
		switch sum := team.used.value + team.elsewhere; {
		case sum > 0:
			shares[i] = team.used.value / sum
		case e.fleetInFlight.started && e.fleetInFlight.value > 0:
			shares[i] = math.Min(1, e.ownInFlight.value/e.fleetInFlight.value)
		default:
			shares[i] = 1
		}
	}
	return shares
}
