package contract

import (
	"math"

	"archknot/balancer"
)

// Surges of a team, and the gate that holds them.

// demandWindow is the time over which it is told what a team asks for, in seconds.
const demandWindow = 8.0

// demandInterval is how often what a team asks for is averaged, where the host does not say.
const demandInterval balancer.Micros = 1_000_000

// UpdateDemand averages what teams ask for, up to now. A host that decides at moments of its
// own, as the decision module does at its ticks, has the book step along with them.
func (b *Ledger) UpdateDemand(now balancer.Micros) {
	b.advance(now)
	for _, a := range b.accounts {
		a.updateDemand(now)
	}
}

func (a *account) updateDemand(now balancer.Micros) {
	dt := math.Max(1e-3, float64(now-a.demandUpdatedAt)/1e6)
	a.demandRate += math.Min(1, dt/demandWindow) * (a.demandSinceUpdate/dt - a.demandRate)
	a.demandSinceUpdate, a.demandUpdatedAt = 0, now
}

// recordDemand notes what is asked for, and tells whether it is lately too much.
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

// excessLimiter bounds what is let in beyond contracts, once the fleet turns away what is
// within them: a slow start to half of what was too much (Jacobson, 1988), from there
// on an increase that grows with the time since the last cut (Ha, Rhee and Xu, "CUBIC",
// 2008), and multiplicative decrease for each time (Chiu and Jain, 1989). A fleet that serves all is never bounded.
type excessLimiter struct {
	active          bool
	rate            float64 // units a second beyond contracts
	slowStartTarget float64 // up to which the rate grows quickly
	level           float64 // of them that may be let in now
	admittedRate    float64 // units a second that were let in lately
	refilledAt      balancer.Micros
	decreasedAt     balancer.Micros
}

const (
	limiterRetryAfter     balancer.Micros = 1_000_000 // the advice to those that it stops
	limiterHoldTime       balancer.Micros = 300_000   // after a cut nothing is let in: what waits at the workers goes first
	limiterInitialRate                    = 0.01      // of all contracts' rates, that it begins with
	limiterGrowth                         = 0.002     // of all contracts' rates, in a second, beyond the goal
	limiterOpenThreshold                  = 2.0       // of all contracts' rates: from there on it bounds nothing
	limiterDecreaseFactor                 = 0.85      // what stays of the rate
	limiterBurstSeconds                   = 0.2       // seconds that may be saved up
)

func (g *excessLimiter) refill(now balancer.Micros, rates float64) {
	dt := float64(now-g.refilledAt) / 1e6
	g.refilledAt = now
	g.admittedRate /= 1 + dt
	if !g.active || now < g.decreasedAt+limiterHoldTime {
		return
	}
	if g.rate < g.slowStartTarget {
		g.rate = math.Min(g.slowStartTarget, g.rate+math.Max(g.rate, limiterInitialRate*rates)*dt)
	} else {
		since := float64(now-g.decreasedAt) / 1e6 // the longer nothing was turned away, the quicker
		g.rate += limiterGrowth * rates * dt * (1 + since*since/4)
	}
	if g.rate > limiterOpenThreshold*rates {
		*g = excessLimiter{refilledAt: now, admittedRate: g.admittedRate}
		return
	}
	g.level = math.Min(limiterBurstSeconds*g.rate, g.level+g.rate*dt)
}

// admit tells whether so many units beyond contracts may come in. What is dearer than
// all that may be saved up waits till that is there, and is owed then.
func (g *excessLimiter) admit(cost float64) bool {
	if g.active {
		if g.level < math.Min(cost, limiterBurstSeconds*g.rate) || g.level <= 0 {
			return false
		}
		g.level -= cost
	}
	g.admittedRate += cost
	return true
}

func (g *excessLimiter) decrease(now balancer.Micros) {
	if g.active && now < g.decreasedAt+limiterHoldTime {
		return // what was let in before still comes back
	}
	g.decreasedAt = now
	if g.active {
		g.slowStartTarget = limiterDecreaseFactor * math.Min(g.rate, 1.2*g.admittedRate)
		g.rate = g.slowStartTarget
	} else {
		g.active, g.slowStartTarget, g.rate = true, g.admittedRate/2, 0
	}
	g.level = 0
}
