package contract

import (
	"math"

	"archknot/balancer"
)

// excessLimiter bounds what is admitted beyond contracts once the fleet sheds
// requests that are within them: a slow start to half of the rate that was too much
// (Jacobson, 1988), from there an increase that grows with the time since the last
// decrease (Ha, Rhee and Xu, "CUBIC", 2008), and a multiplicative decrease each time
// (Chiu and Jain, 1989). It does not bound a fleet that serves everything.
type excessLimiter struct {
	active          bool
	rate            float64 // units a second that it admits beyond contracts
	slowStartTarget float64 // the rate up to which slow start goes
	level           float64 // units that it may admit now
	admittedRate    float64 // units a second that it admitted recently
	refilledAt      balancer.Micros
	decreasedAt     balancer.Micros
}

// The factors named "of the total rate" are parts of the sum of all contracts' rates.
const (
	// limiterRetryAfter is the advice to requests that it rejects.
	limiterRetryAfter balancer.Micros = 1_000_000
	// limiterHoldDuration is how long nothing is admitted after a decrease, so that the
	// replicas' queues empty first.
	limiterHoldDuration balancer.Micros = 300_000
	// limiterInitialRate, of the total rate, is what slow start begins with.
	limiterInitialRate = 0.01
	// limiterGrowth, of the total rate, is added to the rate each second beyond slow start.
	limiterGrowth = 0.002
	// limiterOpenThreshold, of the total rate, is the rate from which on it is inactive.
	limiterOpenThreshold = 2.0
	// limiterDecreaseFactor is what remains of the rate after a decrease.
	limiterDecreaseFactor = 0.85
	// limiterAdmittedMargin bounds the rate before a decrease to so many times what
	// was admitted recently.
	limiterAdmittedMargin = 1.2
	// limiterBurstSeconds is the time whose units may be saved up.
	limiterBurstSeconds = 0.2
)

// refill raises the rate, and the level by what it earned since the last time.
func (e *excessLimiter) refill(now balancer.Micros, totalRate float64) {
	elapsed := inSeconds(now - e.refilledAt)
	e.refilledAt = now
	e.admittedRate /= 1 + elapsed
	if !e.active || now < e.decreasedAt+limiterHoldDuration {
		return
	}
	if e.rate < e.slowStartTarget {
		e.rate = math.Min(e.slowStartTarget, e.rate+math.Max(e.rate, limiterInitialRate*totalRate)*elapsed)
	} else {
		sinceDecrease := inSeconds(now - e.decreasedAt) // the longer nothing was shed, the faster it grows
		e.rate += limiterGrowth * totalRate * elapsed * (1 + sinceDecrease*sinceDecrease/4)
	}
	if e.rate > limiterOpenThreshold*totalRate {
		*e = excessLimiter{refilledAt: now, admittedRate: e.admittedRate}
		return
	}
	e.level = math.Min(limiterBurstSeconds*e.rate, e.level+e.rate*elapsed)
}

// admit reports whether so many units beyond contracts are admitted, and takes them
// off the level. A request that costs more than the level can reach is admitted at
// the full level, which then is below 0.
func (e *excessLimiter) admit(cost float64) bool {
	if e.active {
		if e.level < math.Min(cost, limiterBurstSeconds*e.rate) || e.level <= 0 {
			return false
		}
		e.level -= cost
	}
	e.admittedRate += cost
	return true
}

// decrease cuts the rate after the fleet shed a request within its contract.
func (e *excessLimiter) decrease(now balancer.Micros) {
	if e.active && now < e.decreasedAt+limiterHoldDuration {
		return // what was admitted before the last decrease is still being shed
	}
	e.decreasedAt = now
	if e.active {
		e.slowStartTarget = limiterDecreaseFactor * math.Min(e.rate, limiterAdmittedMargin*e.admittedRate)
		e.rate = e.slowStartTarget
	} else {
		e.active, e.slowStartTarget, e.rate = true, e.admittedRate/2, 0
	}
	e.level = 0
}
