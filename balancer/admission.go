package balancer

import "math"

const (
	// maxLateShare is the share of late requests from which less is admitted, and
	// minLimitShare the part of the limit that even requests of the least weight may fill.
	maxLateShare, minLimitShare = 0.2, 0.3
	// latenessDecay is the time constant of lateness's decay, in seconds.
	latenessDecay = 12.0
	// limitGrowth is the part by which the limit grows each second.
	limitGrowth = 0.2
	// minLimitPerTick is the part to which the limit may fall in a tick: lowered for each
	// late request of an overload, it fell to next to nothing.
	minLimitPerTick = 0.9
	// slackLimit is how many times the mean of tokens in flight the limit grows to before
	// it is lifted.
	slackLimit = 4
	// slowStepFactor is how many token objectives first tokens may take beyond their
	// prefill and the least time seen, at the median, before streams count as too slow;
	// minFirstTokens is the number of first tokens seen before they are compared.
	slowStepFactor, minFirstTokens = 1.5, 16
	// quotaTolerance is how many times its quota a tenant may send at its full weight.
	quotaTolerance = 1.25
	// minRetryAfter and maxRetryAfter bound the advice to a client whose request was shed,
	// in latency objectives: sooner nothing has changed, later the answer would be late.
	minRetryAfter, maxRetryAfter = 0.125, 0.5
)

// admissionState limits the tokens in flight by how many requests come late.
type admissionState struct {
	lateFraction       float64 // share of recent requests past their latency objective or unserved
	tokenLimit         float64 // most tokens in flight; 0: no limit
	tokenLimitFloor    float64 // the limit does not fall below it before the next tick
	meanInFlightTokens float64 // recent mean
	meanWeightPerToken float64

	stepExcess         float64         // median of first-token times less prefill and stepFloor
	stepFloor          map[int]float64 // the least first-token time less prefill, by stepFloorKey
	lengthsReported    bool            // answers report their length
	slowStreamFraction float64         // share of recent streams slower than their token objectives

	tenantRate     []float64 // requests a second, by tenant
	tenantArrivals []float64 // since the last tick, by tenant
}

func (b *Balancer) initAdmission() {
	b.tenantRate = make([]float64, len(b.settings.Tenants))
	b.tenantArrivals = make([]float64, len(b.settings.Tenants))
	b.stepFloor = map[int]float64{}
}

// countArrival counts a request that has arrived.
func (b *Balancer) countArrival(req *request) {
	b.countPrefix(req)
	updateMean(&b.meanWork, b.workTokens(req))
	if req.tenantIndex >= 0 {
		b.tenantArrivals[req.tenantIndex]++
	}
	b.refillBudgets()
}

// weightPerToken is the priority weight of a request for each token of its expected charge.
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

// admit reports whether a request is admitted. Once this gateway has as many tokens in
// flight as went together with lateness it sheds load, first the requests of the least
// weight for their work. A limit on what is in flight admits again as soon as work ends;
// a limit on the rate of arrivals went on shedding long after the fleet stood idle.
func (b *Balancer) admit(req *request) bool {
	updateMean(&b.meanWeightPerToken, b.weightPerToken(req))
	if b.tokenLimit == 0 {
		return true
	}
	return b.inFlightTokens+b.random()*b.expectedHeldTokens(req) <= b.limitShare(req)*b.tokenLimit
}

// limitShare is the part of the limit that a request may fill, by its weight.
func (b *Balancer) limitShare(req *request) float64 {
	return math.Max(minLimitShare, math.Min(1, b.weightPerToken(req)/b.meanWeightPerToken))
}

// recordFirstToken takes the lateness of a request whose answer begins. One whose latency
// objective had passed was counted then: counted when the answer came, seconds later, the
// past overload went on lowering the limit of an idle fleet.
func (b *Balancer) recordFirstToken(req *request, tooSlow bool) {
	if !req.late {
		b.recordLateness(boolToFloat(tooSlow))
	}
}

// recordLateness moves the limit by one request's lateness, 0 or 1, down from what is in
// flight. The limit stands still while a share of maxLateShare comes late.
func (b *Balancer) recordLateness(late float64) {
	b.lateFraction += learnRate * (late - b.lateFraction)
	if late > 0 && (b.tokenLimit > 0 || b.lateFraction > maxLateShare) {
		b.lowerLimit()
	} else {
		b.tokenLimit *= 1 + learnRate*maxLateShare/(1-maxLateShare)
	}
}

// lowerLimit lowers the limit a little, from no more than what is in flight.
func (b *Balancer) lowerLimit() {
	inFlight := math.Max(b.meanInFlightTokens, b.inFlightTokens)
	if b.tokenLimit == 0 || b.tokenLimit > inFlight {
		b.tokenLimit = inFlight
	}
	least := math.Max(b.meanHeldTokens, b.tokenLimitFloor)
	b.tokenLimit = math.Max(least, b.tokenLimit*(1-learnRate))
}

// updateLimit lets the limit grow and lateness decay, elapsed seconds after the last time.
// Lateness decays with time too: a gateway that sheds most of its requests sees too little
// to find out that the overload is over.
func (b *Balancer) updateLimit(elapsed float64) {
	b.lateFraction *= 1 - math.Min(1, elapsed/latenessDecay)
	b.stepExcess *= 1 - math.Min(1, elapsed/latenessDecay)
	b.meanInFlightTokens += math.Min(1, elapsed/2) * (b.inFlightTokens - b.meanInFlightTokens)
	if b.tokenLimit > slackLimit*b.meanInFlightTokens+b.meanHeldTokens {
		b.tokenLimit = 0 // far from binding
	}
	b.tokenLimit *= 1 + limitGrowth*elapsed
	b.tokenLimitFloor = b.tokenLimit * minLimitPerTick
}

// streamsTooSlow reports whether streams like a request's now run slower than their token
// objective. The length of an answer may not be reported, so a stream's end does not show
// its pace; but a first token waits for about one step beside its own prefill, and each
// further token takes a step. What a step takes with nothing else to do stands in the least
// time seen, with the network's, and is put at a third of the objective. Without this, a
// fleet that answers at once but streams too slowly admits every request.
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
	if step-floor > b.stepExcess { // follows the median
		b.stepExcess += learnRate * objective
	} else {
		b.stepExcess -= learnRate * objective
	}
	// Streams that report their length must confirm it: a new gateway guesses badly.
	return b.stepExcess > objective*slowStepFactor && (!b.lengthsReported || b.slowStreamFraction > maxLateShare)
}

// stepFloorKey distinguishes attempts whose least first-token times differ: by zone and, for
// the handshake, by whether the connection was new.
func (a *attempt) stepFloorKey() int {
	key := 2 * a.row.zone
	if a.newConn {
		key++
	}
	return key
}

// recordStreamPace compares the duration of a stream with what its tokens may take.
func (b *Balancer) recordStreamPace(took, allowed float64) {
	if allowed > 0 {
		b.lengthsReported = true
		b.slowStreamFraction += 2 * learnRate * (boolToFloat(took > allowed) - b.slowStreamFraction)
	}
}

// retryAfter is the advice that goes with an overload reply: when what stands over the
// request's share of the limit will have ended, at the pace at which requests end. It is
// bounded by a part of the latency objective, for a later answer has little value, and
// scattered, so that requests shed together are not repeated together.
func (b *Balancer) retryAfter(req *request) Micros {
	if !b.settings.RetryAfter {
		return 0
	}
	wait := 0.0
	held := b.expectedHeldTokens(req)
	if over := b.inFlightTokens + held - b.limitShare(req)*b.tokenLimit; b.tokenLimit > 0 && over > 0 {
		wait = b.meanLifetime * over / (b.inFlightTokens + held)
	}
	objective := float64(b.latencyObjective(req))
	wait = math.Max(objective*minRetryAfter, math.Min(objective*maxRetryAfter, wait)) * (0.75 + 0.5*b.random())
	return min(b.settings.MaxRetryAfter, int64(wait))
}
