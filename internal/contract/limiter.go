package contract

import (
	"math"

	"archknot/balancer"
)

// excessLimiter limits the rate of requests beyond contracts once the fleet sheds requests
// that are within them. The rate rises by slow start to half of the rate at which the
// fleet shed (Jacobson, 1988), then faster the longer ago the last decrease was (Ha, Rhee
// and Xu, "CUBIC", 2008), and is multiplied by a factor below 1 each time the fleet sheds
// again (Chiu and Jain, 1989). Until the fleet sheds, the limiter is inactive.
type excessLimiter struct {
	active          bool
	rate            float64 // units per second that may be admitted
	slowStartTarget float64 // rate at which slow start ends
	level           float64 // units that may be admitted now
	admittedRate    float64 // units per second that were admitted in about the last second
	refilledAt      balancer.Micros
	decreasedAt     balancer.Micros
}

// The total rate is the sum of this gateway's shares of all contracts' rates.
const (
	// limiterRetryAfter is the retry delay of requests that the limiter rejects, and the
	// time for which a team does not lend to the pool after one of its requests was shed.
	limiterRetryAfter balancer.Micros = 1_000_000
	// limiterHoldDuration is how long nothing is admitted after a decrease, so that the
	// queues of the replicas can drain.
	limiterHoldDuration balancer.Micros = 300_000
	// limiterMinSlowStartGrowth is the least growth of the rate per second during slow
	// start, as a fraction of the total rate.
	limiterMinSlowStartGrowth = 0.01
	// limiterGrowth is the least growth of the rate per second after slow start, as a
	// fraction of the total rate.
	limiterGrowth = 0.002
	// limiterOpenThreshold is the rate above which the limiter becomes inactive, as a
	// multiple of the total rate.
	limiterOpenThreshold = 2.0
	// limiterDecreaseFactor multiplies the rate at each decrease.
	limiterDecreaseFactor = 0.85
	// limiterAdmittedMargin bounds the rate to this multiple of the recently admitted rate
	// before a decrease.
	limiterAdmittedMargin = 1.2
	// limiterBurstSeconds bounds the level, in seconds of the rate.
	limiterBurstSeconds = 0.2
)

// refill raises the rate and the level for the time since the last call.
func (e *excessLimiter) refill(now balancer.Micros, totalRate float64) {
	elapsed := inSeconds(now - e.refilledAt)
	e.refilledAt = now
	e.admittedRate /= 1 + elapsed
	if !e.active || now < e.decreasedAt+limiterHoldDuration {
		return
	}
	if e.rate < e.slowStartTarget {
		e.rate = math.Min(e.slowStartTarget, e.rate+math.Max(e.rate, limiterMinSlowStartGrowth*totalRate)*elapsed)
	} else {
		sinceDecrease := inSeconds(now - e.decreasedAt)
		e.rate += limiterGrowth * totalRate * elapsed * (1 + sinceDecrease*sinceDecrease/4)
	}
	if e.rate > limiterOpenThreshold*totalRate {
		*e = excessLimiter{refilledAt: now, admittedRate: e.admittedRate}
		return
	}
	e.level = math.Min(limiterBurstSeconds*e.rate, e.level+e.rate*elapsed)
}

// admit reports whether a request beyond contracts is admitted, and takes its cost, in
// units, off the level. A request that costs more than the maximum level is admitted
// when the level is full, and the level becomes negative.
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

// decrease reduces the rate after the fleet shed a request within its contract. A call
// within limiterHoldDuration of the last decrease has no effect.
func (e *excessLimiter) decrease(now balancer.Micros) {
	if e.active && now < e.decreasedAt+limiterHoldDuration {
		return // the shed request may have been admitted before the last decrease
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
