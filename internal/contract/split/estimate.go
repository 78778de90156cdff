package split

import "math"

// LocalEstimate estimates what each team uses at other gateways, and gives the
// gateway the share that its own usage has of the sum. It can observe what all teams
// together use elsewhere, because replicas report all their work. How that divides
// among the teams it must infer from changes: what changes here and elsewhere at the
// same time is attributed to the same team. It is a Kalman filter with one
// observation, the sum, over states that vary as much as each team's own traffic.
type LocalEstimate struct {
	teams         []teamEstimate
	ownInFlight   movingAverage
	fleetInFlight movingAverage
}

// teamEstimate is the state of one team.
type teamEstimate struct {
	used      movingAverage // units a second at this gateway
	previous  float64       // used, at the last observation
	elsewhere float64       // estimated units a second at other gateways
}

// surplus returns what the team seems to use beyond its rate, below 0 if it is
// within it.
func (t *teamEstimate) surplus(rate float64) float64 { return t.used.value + t.elsewhere - rate }

const (
	// processNoise is how much a team's usage elsewhere may change by itself in a
	// second, as a fraction of its usage.
	processNoise = 0.02
	// observationNoise is how far off the observed sum elsewhere may be, as a
	// fraction of it.
	observationNoise = 0.05
	// rebalanceRate is how much of what a team seems to use beyond its contract is
	// attributed, in a second, to teams that seem to use less than theirs: most
	// teams stay within their contracts most of the time.
	rebalanceRate = 0.02
)

// Shares implements Strategy.
func (e *LocalEstimate) Shares(o Observation) []float64 {
	if len(e.teams) != len(o.Teams) { // other contracts are in force: start again
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

// observeUsage averages what each team used here, and returns the sum of all.
func (e *LocalEstimate) observeUsage(o *Observation) (sum float64) {
	for i := range e.teams {
		team := &e.teams[i]
		team.previous = team.used.value
		team.used.add(o.Teams[i].Used/o.seconds(), o.Interval)
		sum += team.used.value
	}
	return sum
}

// correct corrects the estimates by the observed sum of all teams' usage elsewhere.
// ratio is that sum as a multiple of the usage here.
func (e *LocalEstimate) correct(sum, ratio, elapsed float64) {
	estimated := 0.0
	for i := range e.teams {
		estimated += e.teams[i].elsewhere
	}
	if estimated == 0 { // the first observation: each team is spread as all work is
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

// rebalance attributes a little of what seems beyond contracts to teams that are
// within theirs.
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

// shares returns the shares by the present estimates. A team without usage gets the
// gateway's share of all work.
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
