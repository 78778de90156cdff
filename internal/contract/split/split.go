// Package split tells a gateway which part of each contract is its own, where
// several gateways serve the same teams. Ways that need no talk go by what the
// gateway sees itself; where gateways may talk, shared counters can be plugged in.
// It is free of I/O and clocks; see docs/design/contracts.md, "Many gateways".
package split

import (
	"math"

	"archknot/balancer"
)

// TeamUsage is what a gateway saw of one team since it last looked.
type TeamUsage struct {
	Rate      float64 // units a second that the whole contract has
	Requested float64 // units that were asked of this gateway
	Used      float64 // units that were used of them
}

// Observation is what a gateway saw since it last looked.
type Observation struct {
	Interval balancer.Micros // since then
	Teams    []TeamUsage     // in the contracts' order
	// OwnInFlight and All are the work in hand at the workers: what this gateway sent, and
	// what the workers report of all. All 0: nothing was reported.
	OwnInFlight, FleetInFlight float64
}

// Strategy tells the gateway's part of each contract, in their order, from 0 to 1.
type Strategy interface{ Shares(Observation) []float64 }

// Equal gives each of so many gateways the same part: right where the front
// spreads each team evenly, and wrong by as much as it does not.
type Equal struct{ Gateways int }

func (w Equal) Shares(s Observation) []float64 {
	return equalShares(s, 1/float64(max(1, w.Gateways)))
}

func equalShares(s Observation, part float64) []float64 {
	out := make([]float64, len(s.Teams))
	for i := range out {
		out[i] = part
	}
	return out
}

// Proportional gives the gateway of each contract the part that it has of all work: right
// where the front skews all teams alike.
type Proportional struct{ workShare movingAverage }

func (w *Proportional) Shares(s Observation) []float64 {
	if s.FleetInFlight > 0 && s.OwnInFlight >= 0 {
		w.workShare.add(math.Min(1, s.OwnInFlight/s.FleetInFlight), s.Interval)
	}
	if !w.workShare.started {
		return equalShares(s, 1)
	}
	return equalShares(s, w.workShare.value)
}

// smoothingSeconds is the time over which figures are averaged, in seconds: some of the
// front's shifts are quicker, but at hundreds of gateways each one sees only a few
// requests of a team in a second.
const smoothingSeconds = 5.0

// movingAverage is an exponential one, that starts as a plain one.
type movingAverage struct {
	value, seconds float64
	started        bool
}

func (a *movingAverage) add(v float64, span balancer.Micros) {
	dt := float64(span) / 1e6
	a.seconds = math.Min(smoothingSeconds, a.seconds+dt)
	if !a.started {
		a.value, a.started, a.seconds = v, true, dt
		return
	}
	a.value += (v - a.value) * math.Min(1, dt/math.Max(a.seconds, dt))
}

// LocalEstimate estimates what each team uses elsewhere, and gives the gateway the part
// that its own use is of the sum. Of all teams together it can see what is used
// elsewhere, for workers report all their work. How that divides among teams it
// must tell from changes: what changes here and elsewhere at once is taken for the
// same team's. It is a Kalman filter of one observation, the sum, over states that
// wander as much as each team's own traffic does.
type LocalEstimate struct {
	teams         []teamEstimate
	ownInFlight   movingAverage // of the work in hand
	fleetInFlight movingAverage
}

type teamEstimate struct {
	used      movingAverage
	previous  float64 // used, at the last look
	elsewhere float64 // estimated units a second elsewhere
}

const (
	// processNoise is how much the part of a team elsewhere may change in a second by
	// itself, in parts of what it is.
	processNoise = 0.02
	// observationNoise is how far off the sum elsewhere may be seen, in parts of it.
	observationNoise = 0.05
	// rebalanceRate is how much of what a team seems to use beyond its contract is taken for
	// that of teams that seem to use less than theirs, in a second: most teams
	// keep to their contracts most of the time.
	rebalanceRate = 0.02
)

func (w *LocalEstimate) Shares(s Observation) []float64 {
	dt := float64(s.Interval) / 1e6
	if len(w.teams) != len(s.Teams) { // others are in force: begin anew
		w.teams = make([]teamEstimate, len(s.Teams))
	}
	if dt <= 0 {
		return w.shares()
	}
	used := 0.0
	for i := range w.teams {
		t := &w.teams[i]
		t.previous = t.used.value
		t.used.add(s.Teams[i].Used/dt, s.Interval)
		used += t.used.value
	}
	if s.FleetInFlight > 0 {
		w.ownInFlight.add(math.Max(0, s.OwnInFlight), s.Interval)
		w.fleetInFlight.add(math.Max(s.OwnInFlight, s.FleetInFlight), s.Interval)
	}
	if !w.fleetInFlight.started || w.ownInFlight.value <= 0 || used <= 0 {
		return w.shares()
	}
	elsewhere := used * math.Max(0, w.fleetInFlight.value-w.ownInFlight.value) / w.ownInFlight.value
	w.correct(elsewhere, elsewhere/used, dt)
	w.rebalance(s.Teams, dt)
	return w.shares()
}

// correct corrects the estimates by the sum that is seen.
func (w *LocalEstimate) correct(sum, ratio, dt float64) {
	known := 0.0
	for i := range w.teams {
		known += w.teams[i].elsewhere
	}
	if known == 0 { // the first look: as the front spreads all work
		for i := range w.teams {
			w.teams[i].elsewhere = w.teams[i].used.value * ratio
		}
		return
	}
	off := sum - known
	noise := observationNoise * sum
	total := noise * noise * dt
	vary := func(t *teamEstimate) float64 {
		moved := (t.used.value - t.previous) * math.Max(1, ratio)
		own := processNoise * (t.elsewhere + t.used.value) * dt
		return moved*moved + own*own
	}
	for i := range w.teams {
		total += vary(&w.teams[i])
	}
	if total <= 0 {
		return
	}
	for i := range w.teams {
		t := &w.teams[i]
		t.elsewhere = math.Max(0, t.elsewhere+off*vary(t)/total)
	}
}

// rebalance moves a little of what seems beyond contracts to teams with room in theirs.
func (w *LocalEstimate) rebalance(teams []TeamUsage, dt float64) {
	beyond, room := 0.0, 0.0
	for i := range w.teams {
		t := &w.teams[i]
		d := t.used.value + t.elsewhere - teams[i].Rate
		if d > 0 {
			beyond += math.Min(d, t.elsewhere)
		} else {
			room -= d
		}
	}
	move := rebalanceRate * dt * math.Min(beyond, room)
	if move <= 0 {
		return
	}
	for i := range w.teams {
		t := &w.teams[i]
		if d := t.used.value + t.elsewhere - teams[i].Rate; d > 0 {
			t.elsewhere -= move * math.Min(d, t.elsewhere) / beyond
		} else {
			t.elsewhere -= move * d / room
		}
	}
}

func (w *LocalEstimate) shares() []float64 {
	out := make([]float64, len(w.teams))
	for i := range w.teams {
		t := &w.teams[i]
		switch sum := t.used.value + t.elsewhere; {
		case sum > 0:
			out[i] = t.used.value / sum
		case w.fleetInFlight.started && w.fleetInFlight.value > 0:
			out[i] = math.Min(1, w.ownInFlight.value/w.fleetInFlight.value)
		default:
			out[i] = 1
		}
	}
	return out
}

// Counters are shared among gateways that may talk: whatever carries them.
type Counters interface {
	// Add tells what was asked here of each team since the last call, in units a
	// second, in the contracts' order, and gives what all gateways told together,
	// this one's included. An error leaves the gateway to what it sees itself.
	Add(own []float64) (all []float64, err error)
}

// Shared goes by shared counters, and by what the gateway sees itself while they
// cannot be had.
type Shared struct {
	Counters Counters
	fallback LocalEstimate
	failing  bool
}

// CountersFailing tells whether the counters could not be had the last time.
func (w *Shared) CountersFailing() bool { return w.failing }

func (w *Shared) Shares(s Observation) []float64 {
	out := w.fallback.Shares(s) // kept warm
	dt := float64(s.Interval) / 1e6
	if dt <= 0 {
		return out
	}
	own := make([]float64, len(s.Teams))
	for i, t := range s.Teams {
		own[i] = t.Requested / dt
	}
	all, err := w.Counters.Add(own)
	if w.failing = err != nil || len(all) != len(own); w.failing {
		return out
	}
	for i := range out {
		if all[i] > 0 {
			out[i] = math.Min(1, own[i]/all[i])
		}
	}
	return out
}
