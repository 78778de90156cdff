package balancer

import "math"

const (
	// maxLateFraction is the fraction of late requests above which the limit falls.
	maxLateFraction = 0.2
	// minLimitFraction is the fraction of the limit that requests of any weight may fill.
	minLimitFraction = 0.3
	// latenessDecaySeconds is the time constant with which lateFraction and stepExcess decay.
	latenessDecaySeconds = 12.0
	// limitGrowthPerSecond is the relative growth of the limit.
	limitGrowthPerSecond = 0.2
	// minLimitRatioPerTick bounds the relative fall of the limit within a tick. Without it,
	// each late request of one overload would lower the limit, to almost nothing.
	minLimitRatioPerTick = 0.9
	// limitLiftFactor is the ratio of the limit to the mean tokens in flight above which the
	// limit is lifted.
	limitLiftFactor = 4
	// slowStepFactor is the median excess of first-token times, in token objectives, above
	// which streams count as too slow; see stepExcess.
	slowStepFactor = 1.5
	// minFirstTokens is the number of first-token times required for that comparison.
	minFirstTokens = 16
	// quotaTolerance is the ratio of a tenant's rate to its quota above which its requests
	// count as over quota.
	quotaTolerance = 1.25
	// minRetryAfter bounds Retry-After from below, as a fraction of the latency objective: an
	// earlier retry would find the same overload.
	minRetryAfter = 0.125
	// maxRetryAfter bounds Retry-After from above, as a fraction of the latency objective: a
	// later retry would be answered too late.
	maxRetryAfter = 0.5
)

// admissionState limits the tokens in flight according to the fraction of late requests.
type admissionState struct {
	lateFraction       float64 // fraction of recent requests past their latency objective or unserved
	tokenLimit         float64 // maximum tokens in flight; 0: no limit
	tokenLimitFloor    float64 // lower bound of the limit until the next tick
	meanInFlightTokens float64 // recent mean
	meanWeightPerToken float64

	stepExcess         float64         // median of first-token time less prefill and stepFloor, in microseconds
	stepFloor          map[int]float64 // minimum first-token time less prefill, by stepFloorKey
	lengthsReported    bool            // answers report their length
	slowStreamFraction float64         // fraction of recent streams slower than their token objectives

	tenantRate     []float64 // requests per second, by tenant
	tenantArrivals []float64 // requests since the last tick, by tenant
}

func (b *Balancer) initAdmission() {
	b.tenantRate = make([]float64, len(b.settings.Tenants))
	b.tenantArrivals = make([]float64, len(b.settings.Tenants))
	b.stepFloor = map[int]float64{}
}

// countArrival updates the prefix, work, tenant and budget statistics for a request that
// has arrived.
func (b *Balancer) countArrival(req *request) {
	b.countPrefix(req)
	updateMean(&b.meanWork, b.workTokens(req))
	if req.tenantIndex >= 0 {
		b.tenantArrivals[req.tenantIndex]++
	}
	b.refillBudgets()
}

// weightPerToken returns a request's priority weight per token of its expected charge.
func (b *Balancer) weightPerToken(req *request) float64 {
	weight := b.classOf(req).PriorityWeight
	if req.PriorityFactor > 0 {
		weight *= req.PriorityFactor
	} else if req.tenantIndex >= 0 {
		quota := b.settings.Tenants[req.tenantIndex].QuotaPerS / float64(b.settings.Gateways)
		if b.tenantRate[req.tenantIndex] > quotaTolerance*quota {
			weight *= b.settings.OverQuotaWeight
		}
	}
	return weight / (prefillCost*float64(req.PromptTokens)*(1-b.stats[req.classIndex].cachedFraction) + b.expectedHeldTokens(req))
}

// admit reports whether a request is admitted. When this gateway's tokens in flight reach
// the limit it sheds requests, first those of the least weight for their work. The limit
// is on tokens in flight because it admits again as soon as work ends, whereas a limit on
// the arrival rate would go on shedding long after the fleet is idle.
func (b *Balancer) admit(req *request) bool {
	updateMean(&b.meanWeightPerToken, b.weightPerToken(req))
	if b.tokenLimit == 0 {
		return true
	}
	return b.inFlightTokens+b.random()*b.expectedHeldTokens(req) <= b.limitFraction(req)*b.tokenLimit
}

// limitFraction returns the fraction of the limit that a request may fill, by its weight.
func (b *Balancer) limitFraction(req *request) float64 {
	return math.Max(minLimitFraction, math.Min(1, b.weightPerToken(req)/b.meanWeightPerToken))
}

// recordFirstToken records the lateness of a request whose answer begins. A request past
// its latency objective was already counted when the objective passed: counted seconds
// later, at its first token, it would lower the limit after the overload has ended.
func (b *Balancer) recordFirstToken(req *request, tooSlow bool) {
	if !req.late {
		b.recordLateness(boolToFloat(tooSlow))
	}
}

// recordLateness adjusts the limit for one request: late is 1 if the request was late, else
// 0. The limit is stable while a fraction of maxLateFraction is late.
func (b *Balancer) recordLateness(late float64) {
	b.lateFraction += learnRate * (late - b.lateFraction)
	if late > 0 && (b.tokenLimit > 0 || b.lateFraction > maxLateFraction) {
		b.lowerLimit()
	} else {
		b.tokenLimit *= 1 + learnRate*maxLateFraction/(1-maxLateFraction)
	}
}

// lowerLimit lowers the limit by a small factor, starting from at most the tokens in flight.
func (b *Balancer) lowerLimit() {
	inFlight := math.Max(b.meanInFlightTokens, b.inFlightTokens)
	if b.tokenLimit == 0 || b.tokenLimit > inFlight {
		b.tokenLimit = inFlight
	}
	minLimit := math.Max(b.meanHeldTokens, b.tokenLimitFloor)
	b.tokenLimit = math.Max(minLimit, b.tokenLimit*(1-learnRate))
}

// updateLimit raises the limit and decays lateness, elapsed seconds after the last call.
// Lateness also decays with time because a gateway that sheds most of its requests has too
// few results to detect the end of the overload.
func (b *Balancer) updateLimit(elapsed float64) {
	b.lateFraction *= 1 - math.Min(1, elapsed/latenessDecaySeconds)
	b.stepExcess *= 1 - math.Min(1, elapsed/latenessDecaySeconds)
	b.meanInFlightTokens += math.Min(1, elapsed/2) * (b.inFlightTokens - b.meanInFlightTokens)
	if b.tokenLimit > limitLiftFactor*b.meanInFlightTokens+b.meanHeldTokens {
		b.tokenLimit = 0 // the limit has no effect at this load
	}
	b.tokenLimit *= 1 + limitGrowthPerSecond*elapsed
	b.tokenLimitFloor = b.tokenLimit * minLimitRatioPerTick
}

// streamsTooSlow reports whether streams are now slower than the token objective of a
// request's class. Without this check, a fleet that answers at once but streams too slowly
// would admit every request.
//
// The length of an answer may not be reported, so the end of a stream does not show its
// speed. But each output token takes one decode step, and a first token waits for about one
// step in addition to its own prefill. The minimum first-token time seen covers the network
// and the step of an idle replica, which is assumed to be a third of the objective.
func (b *Balancer) streamsTooSlow(req *request, a *attempt) bool {
	objective := float64(b.classOf(req).TokenObjective)
	if objective == 0 || b.firstTokenFit.n < minFirstTokens {
		return false
	}
	step := float64(a.timeToFirstToken) - a.prefillTokens*b.firstTokenFit.slope()
	key := a.stepFloorKey()
	floor := b.stepFloor[key]
	if floor == 0 || step > 0 && step < floor {
		floor = math.Max(1, step)
		b.stepFloor[key] = floor
	}
	if step-floor > b.stepExcess { // equal steps up and down converge to the median
		b.stepExcess += learnRate * objective
	} else {
		b.stepExcess -= learnRate * objective
	}
	// If streams report their length they must confirm the estimate, which is poor at a
	// gateway that has just started.
	return b.stepExcess > objective*slowStepFactor && (!b.lengthsReported || b.slowStreamFraction > maxLateFraction)
}

// stepFloorKey returns the key of an attempt in stepFloor. Minimum first-token times differ
// by zone and, because of the handshake, by whether the connection was new.
func (a *attempt) stepFloorKey() int {
	key := 2 * a.row.zone
	if a.newConn {
		key++
	}
	return key
}

// recordStreamPace compares the duration of a stream with the time allowed for its tokens,
// both in microseconds; allowed is 0 if the length or the objective is unknown.
func (b *Balancer) recordStreamPace(duration, allowed float64) {
	if allowed > 0 {
		b.lengthsReported = true
		b.slowStreamFraction += 2 * learnRate * (boolToFloat(duration > allowed) - b.slowStreamFraction)
	}
}

// retryAfter returns the Retry-After time of an overload reply: the estimated time until
// the tokens above the request's fraction of the limit have ended. It is bounded by
// fractions of the latency objective, because a later answer has little value, and has
// jitter, so that requests shed together are not retried together. It is 0 if the settings
// disable Retry-After.
func (b *Balancer) retryAfter(req *request) Micros {
	if !b.settings.RetryAfter {
		return 0
	}
	wait := 0.0
	heldTokens := b.expectedHeldTokens(req)
	if excess := b.inFlightTokens + heldTokens - b.limitFraction(req)*b.tokenLimit; b.tokenLimit > 0 && excess > 0 {
		wait = b.meanLifetime * excess / (b.inFlightTokens + heldTokens)
	}
	objective := float64(b.latencyObjective(req))
	wait = math.Max(objective*minRetryAfter, math.Min(objective*maxRetryAfter, wait)) * (0.75 + 0.5*b.random())
	return min(b.settings.MaxRetryAfter, int64(wait))
}
