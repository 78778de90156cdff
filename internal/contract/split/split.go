// Package split tells a gateway which part of each contract is its own, where
// several gateways serve the same teams. Ways that need no talk go by what the
// gateway sees itself; where gateways may talk, shared counters can be plugged in.
// It is free of I/O and clocks; see docs/design/contracts.md, "Many gateways".
package split

import (
	"math"

	"archknot/choice"
)

// Team is what a gateway saw of one team since it last looked.
type Team struct {
	Rate  float64 // units a second that the whole contract has
	Asked float64 // units that were asked of this gateway
	Used  float64 // units that were used of them
}

// Seen is what a gateway saw since it last looked.
type Seen struct {
	Span  choice.Micros // since then
	Teams []Team        // in the contracts' order
	// Own and All are the work in hand at the workers: what this gateway sent, and
	// what the workers report of all. All 0: nothing was reported.
	Own, All float64
}

// Way tells the gateway's part of each contract, in their order, from 0 to 1.
type Way interface{ Parts(Seen) []float64 }

// Equal gives each of so many gateways the same part: right where the front
// spreads each team evenly, and wrong by as much as it does not.
type Equal struct{ Gateways int }

func (w Equal) Parts(s Seen) []float64 {
	return fill(s, 1/float64(max(1, w.Gateways)))
}

func fill(s Seen, part float64) []float64 {
	out := make([]float64, len(s.Teams))
	for i := range out {
		out[i] = part
	}
	return out
}

// Front gives the gateway of each contract the part that it has of all work: right
// where the front skews all teams alike.
type Front struct{ part average }

func (w *Front) Parts(s Seen) []float64 {
	if s.All > 0 && s.Own >= 0 {
		w.part.add(math.Min(1, s.Own/s.All), s.Span)
	}
	if !w.part.any {
		return fill(s, 1)
	}
	return fill(s, w.part.v)
}

// smooth is the time over which figures are averaged, in seconds: some of the
// front's shifts are quicker, but at hundreds of gateways each one sees only a few
// requests of a team in a second.
const smooth = 5.0

// average is an exponential one, that starts as a plain one.
type average struct {
	v, n float64
	any  bool
}

func (a *average) add(v float64, span choice.Micros) {
	dt := float64(span) / 1e6
	a.n = math.Min(smooth, a.n+dt)
	if !a.any {
		a.v, a.any, a.n = v, true, dt
		return
	}
	a.v += (v - a.v) * math.Min(1, dt/math.Max(a.n, dt))
}

// Alone estimates what each team uses elsewhere, and gives the gateway the part
// that its own use is of the sum. Of all teams together it can see what is used
// elsewhere, for workers report all their work. How that divides among teams it
// must tell from changes: what changes here and elsewhere at once is taken for the
// same team's. It is a Kalman filter of one observation, the sum, over states that
// wander as much as each team's own traffic does.
type Alone struct {
	teams []teamElsewhere
	own   average // of the work in hand
	all   average
}

type teamElsewhere struct {
	used  average
	was   float64 // used, at the last look
	other float64 // estimated units a second elsewhere
}

const (
	// wander is how much the part of a team elsewhere may change in a second by
	// itself, in parts of what it is.
	wander = 0.02
	// doubt is how far off the sum elsewhere may be seen, in parts of it.
	doubt = 0.05
	// lean is how much of what a team seems to use beyond its contract is taken for
	// that of teams that seem to use less than theirs, in a second: most teams
	// keep to their contracts most of the time.
	lean = 0.02
)

func (w *Alone) Parts(s Seen) []float64 {
	dt := float64(s.Span) / 1e6
	if len(w.teams) != len(s.Teams) { // others are in force: begin anew
		w.teams = make([]teamElsewhere, len(s.Teams))
	}
	if dt <= 0 {
		return w.parts()
	}
	used := 0.0
	for i := range w.teams {
		t := &w.teams[i]
		t.was = t.used.v
		t.used.add(s.Teams[i].Used/dt, s.Span)
		used += t.used.v
	}
	if s.All > 0 {
		w.own.add(math.Max(0, s.Own), s.Span)
		w.all.add(math.Max(s.Own, s.All), s.Span)
	}
	if !w.all.any || w.own.v <= 0 || used <= 0 {
		return w.parts()
	}
	elsewhere := used * math.Max(0, w.all.v-w.own.v) / w.own.v
	w.observe(elsewhere, elsewhere/used, dt)
	w.leanOn(s.Teams, dt)
	return w.parts()
}

// observe corrects the estimates by the sum that is seen.
func (w *Alone) observe(sum, ratio, dt float64) {
	known := 0.0
	for i := range w.teams {
		known += w.teams[i].other
	}
	if known == 0 { // the first look: as the front spreads all work
		for i := range w.teams {
			w.teams[i].other = w.teams[i].used.v * ratio
		}
		return
	}
	off := sum - known
	noise := doubt * sum
	total := noise * noise * dt
	vary := func(t *teamElsewhere) float64 {
		moved := (t.used.v - t.was) * math.Max(1, ratio)
		own := wander * (t.other + t.used.v) * dt
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
		t.other = math.Max(0, t.other+off*vary(t)/total)
	}
}

// leanOn moves a little of what seems beyond contracts to teams with room in theirs.
func (w *Alone) leanOn(teams []Team, dt float64) {
	beyond, room := 0.0, 0.0
	for i := range w.teams {
		t := &w.teams[i]
		d := t.used.v + t.other - teams[i].Rate
		if d > 0 {
			beyond += math.Min(d, t.other)
		} else {
			room -= d
		}
	}
	move := lean * dt * math.Min(beyond, room)
	if move <= 0 {
		return
	}
	for i := range w.teams {
		t := &w.teams[i]
		if d := t.used.v + t.other - teams[i].Rate; d > 0 {
			t.other -= move * math.Min(d, t.other) / beyond
		} else {
			t.other -= move * d / room
		}
	}
}

func (w *Alone) parts() []float64 {
	out := make([]float64, len(w.teams))
	for i := range w.teams {
		t := &w.teams[i]
		switch sum := t.used.v + t.other; {
		case sum > 0:
			out[i] = t.used.v / sum
		case w.all.any && w.all.v > 0:
			out[i] = math.Min(1, w.own.v/w.all.v)
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
	alone    Alone
	failing  bool
}

// Failing tells whether the counters could not be had the last time.
func (w *Shared) Failing() bool { return w.failing }

func (w *Shared) Parts(s Seen) []float64 {
	out := w.alone.Parts(s) // kept warm
	dt := float64(s.Span) / 1e6
	if dt <= 0 {
		return out
	}
	own := make([]float64, len(s.Teams))
	for i, t := range s.Teams {
		own[i] = t.Asked / dt
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
