package contract

import (
	"math"

	"archknot/choice"
)

// Surges of a team, and the gate that holds them.

// surgeSpan is the time over which it is told what a team asks for, in seconds.
const surgeSpan = 8.0

// surgeStep is how often what a team asks for is averaged, where the host does not say.
const surgeStep choice.Micros = 1_000_000

// Step averages what teams ask for, up to now. A host that decides at moments of its
// own, as the decision module does at its ticks, has the book step along with them.
func (b *Book) Step(now choice.Micros) {
	b.refill(now)
	for _, a := range b.accounts {
		a.step(now)
	}
}

func (a *account) step(now choice.Micros) {
	dt := math.Max(1e-3, float64(now-a.askedAt)/1e6)
	a.asking += math.Min(1, dt/surgeSpan) * (a.asked/dt - a.asking)
	a.asked, a.askedAt = 0, now
}

// surges notes what is asked for, and tells whether it is lately too much.
func (a *account) surges(now choice.Micros, cost Units) bool {
	if a.t.Surge <= 0 {
		return false
	}
	if now-a.askedAt >= surgeStep {
		a.step(now)
	}
	a.asked += float64(cost)
	return a.asking > a.t.Surge*a.t.Rate*a.part
}

// gate bounds what is let in beyond contracts, once the fleet turns away what is
// within them: a slow start to half of what was too much (Jacobson, 1988), from there
// on an increase that grows with the time since the last cut (Ha, Rhee and Xu, "CUBIC",
// 2008), and multiplicative decrease for each time (Chiu and Jain, 1989). A fleet that serves all is never bounded.
type gate struct {
	on    bool
	rate  float64 // units a second beyond contracts
	goal  float64 // up to which the rate grows quickly
	level float64 // of them that may be let in now
	seen  float64 // units a second that were let in lately
	at    choice.Micros
	cutAt choice.Micros
}

const (
	gateWait  choice.Micros = 1_000_000 // the advice to those that it stops
	gateHold  choice.Micros = 300_000   // after a cut nothing is let in: what waits at the workers goes first
	gateFirst               = 0.01      // of all contracts' rates, that it begins with
	gateRise                = 0.002     // of all contracts' rates, in a second, beyond the goal
	gateOpen                = 2.0       // of all contracts' rates: from there on it bounds nothing
	gateCut                 = 0.85      // what stays of the rate
	gateSave                = 0.2       // seconds that may be saved up
)

func (g *gate) earn(now choice.Micros, rates float64) {
	dt := float64(now-g.at) / 1e6
	g.at = now
	g.seen /= 1 + dt
	if !g.on || now < g.cutAt+gateHold {
		return
	}
	if g.rate < g.goal {
		g.rate = math.Min(g.goal, g.rate+math.Max(g.rate, gateFirst*rates)*dt)
	} else {
		since := float64(now-g.cutAt) / 1e6 // the longer nothing was turned away, the quicker
		g.rate += gateRise * rates * dt * (1 + since*since/4)
	}
	if g.rate > gateOpen*rates {
		*g = gate{at: now, seen: g.seen}
		return
	}
	g.level = math.Min(gateSave*g.rate, g.level+g.rate*dt)
}

// let tells whether so many units beyond contracts may come in. What is dearer than
// all that may be saved up waits till that is there, and is owed then.
func (g *gate) let(cost float64) bool {
	if g.on {
		if g.level < math.Min(cost, gateSave*g.rate) || g.level <= 0 {
			return false
		}
		g.level -= cost
	}
	g.seen += cost
	return true
}

func (g *gate) cut(now choice.Micros) {
	if g.on && now < g.cutAt+gateHold {
		return // what was let in before still comes back
	}
	g.cutAt = now
	if g.on {
		g.goal = gateCut * math.Min(g.rate, 1.2*g.seen)
		g.rate = g.goal
	} else {
		g.on, g.goal, g.rate = true, g.seen/2, 0
	}
	g.level = 0
}
