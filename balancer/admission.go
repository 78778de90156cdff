package balancer

import (
	"cmp"
	"math"

	"archknot/balancer/zonehealth"
)

const (
	// tickEvery is the rhythm of upkeep: well under the second in which
	// reports are renewed.
	tickEvery Micros = 250_000
	// defaultHedgeRatio and defaultRetryRatio are the further attempts allowed a request.
	defaultHedgeRatio, defaultRetryRatio, budgetCap = 0.02, 0.2, 8.0
	// backoffMin and backoffMax bound the rest of a failing replica.
	backoffMin, backoffMax Micros = 500_000, 16_000_000
	// slowStartMargin is the part of the allowed cold work that is used: the sum of what all gateways
	// send scatters by chance, and traffic has bursts. See docs/design/standing-test.md.
	slowStartMargin = 0.45
	// slowStartPreference is by how much less the score of the cold replica that an attempt is offered
	// weighs: an offer passed by is room that nobody else uses.
	slowStartPreference = 0.35
	// minUtilization bounds what reports of how busy warm replicas are may tell of their room.
	minUtilization = 0.5
	// maxLateShare is the share of late requests from which less is admitted, and
	// minLimitShare the part of the limit that even the least worth may fill.
	maxLateShare, minLimitShare = 0.2, 0.3
	// latenessDecay is over how many seconds what was seen of lateness fades.
	latenessDecay = 12.0
	// limitGrowth is the part by which the limit opens each second.
	limitGrowth = 0.2
	// minLimitPerTick is the part it closes to in a tick: counted one by one, all that a
	// jam makes late closed it to next to nothing.
	minLimitPerTick = 0.9
	// slowStepFactor is how many token aims first tokens may take beyond their reading and
	// the least time seen, at the median, before streams count as too slow.
	slowStepFactor = 1.5
	// minRetryAfter and maxRetryAfter bound the advice to a refused client, in
	// aims: sooner nothing has changed, later the answer would be late.
	minRetryAfter, maxRetryAfter = 0.125, 0.5
)

// warmCapacity is the least share of its capacity that w has by now: the slowest
// even ramp from the least start.
func (b *Balancer) warmCapacity(now Micros, row *replicaRow) float64 {
	if now >= row.warmingUntil || b.settings.SlowStartFor <= 0 {
		return 1
	}
	age := math.Max(0, float64(now-row.warmingSince)/float64(b.settings.SlowStartFor))
	return b.settings.InitialCapacity + (1-b.settings.InitialCapacity)*age
}

// offerWarming draws the cold replica that this attempt of r may go to, nil for none. It is rule 4:
// all gateways together may send a cold replica no more than a multiple of what it can do now, N
// requests of mean work in a span. Each attempt is offered one cold replica at most, by a chance
// that is the same wherever the attempt comes and whatever else it prefers: slowStartMargin * N offers in
// the mean, by chance as a Poisson count has it. How many gateways there are, what each gets, and a
// preference that all of them share change nothing about it, and nothing is learnt or saved up.
func (b *Balancer) offerWarming(now Micros, req *request) *replicaRow {
	if b.warmingCount == 0 {
		return nil
	}
	heavy := math.Max(1, b.workTokens(req)/math.Max(1, b.meanWork))
	// Gateways may be given the same seed: by its number each draws otherwise.
	drawn := splitmix(math.Float64bits(b.random()) ^ splitmix(uint64(b.settings.Self)))
	draw := unitFloat(drawn)
	n := len(b.rows)
	for i, start := 0, int(unitFloat(splitmix(drawn))*float64(n)); i < n; i++ { // chances may be over 1 in all: from any on
		row := b.rows[(start+i)%n]
		if row.state != EndpointReady || now >= row.warmingUntil {
			continue
		}
		if draw -= b.offerChance(now, row) / (heavy * heavy); draw < 0 {
			return row
		}
	}
	return nil
}

// offerChance is the chance by which an attempt of mean work is offered w. Of R attempts in the span
// to n replicas, N is OverloadMultiple * warmth * R / n. A heavy request is offered it by the square of
// its work less often: by its work, and that it scatters the sum no more than others.
func (b *Balancer) offerChance(now Micros, row *replicaRow) float64 {
	share := slowStartMargin * b.settings.OverloadMultiple * b.warmCapacity(now, row) / math.Max(1, row.slowness)
	if b.warmUtilization > 0 { // what replicas can do is more than what they get
		share /= math.Max(minUtilization, math.Min(1, b.warmUtilization))
	}
	return share / float64(max(1, b.readyCount))
}

// workTokens is what r takes of a replica that has kept nothing, in held tokens.
func (b *Balancer) workTokens(req *request) float64 {
	return prefillCost*float64(req.PromptTokens) + b.expectedHeldTokens(req)
}

// countDispatch counts a dispatch.
func (b *Balancer) countDispatch(now Micros, row *replicaRow) {
	b.dispatchesSinceTick++
	b.zones.TrialDue(now, row.zone, 0.5) // where nothing else may, this request tries a lost site
}

// lastResort tells whether every replica that r may use is resting: then the
// rest is cut short, for sending somewhere beats sending nowhere.
func (b *Balancer) lastResort(now Micros, req *request) bool {
	for _, row := range b.rows {
		if b.eligible(now, row, req, false) {
			return false
		}
	}
	return true
}

// eligible tells whether r may go to w at all.
func (b *Balancer) eligible(now Micros, row *replicaRow, req *request, last bool) bool {
	if row.state != EndpointReady {
		return false
	}
	if !last && (now < row.backoffUntil || !b.zoneOpen(now, row) || row.consecutiveFailures > 0 && len(row.ledger) > 0) {
		return false
	}
	if !last && b.healthCheckOverdue(now, row) || b.mayBeStale(now, row) && !b.mayPoll && (b.settings.MayHealthCheck || !last) {
		return false
	}
	for _, a := range req.attempts {
		if a.row == row && (!last || !a.ended) {
			return false
		}
	}
	if len(req.attempts) > 0 && !b.idempotencyAllows(now, req, row) {
		return false
	}
	return now >= row.warmingUntil || row == b.offeredWarming
}

// penaltyFactor weighs a usable row's predicted load: a replica that errs wastes
// attempts, one in another zone or without a connection costs a little.
func (b *Balancer) penaltyFactor(now Micros, row *replicaRow, req *request) float64 {
	f := 1.0
	if now < row.warmingUntil { // it reads and streams as much slower
		f = slowStartPreference / b.warmCapacity(now, row)
	}
	if row.errorRate > 0.02 {
		f /= (1 - row.errorRate) * (1 - row.errorRate)
	}
	if row.zone != b.ownZone && b.firstTokenFit.mean() <= 0 {
		f *= 1 + b.settings.CrossZoneCost // nothing yet to weigh it by: see crossZoneCost
	}
	if b.settings.HandshakeCost > 0 && b.needsConnection(now, row) {
		f *= 1 + b.settings.HandshakeCost
	}
	if row.zone == req.avoidZone {
		f *= 4
	}
	return f * b.zonePenalty(now, row)
}

// crossZoneCost is what a crossing adds to r's score: a share of r's worth, lost once the
// first token is past the aim. The load that would use up what is left to the aim is
// (aim - usual first) / usual first times the usual load; 0 at the aim. Before first
// tokens are known, penaltyFactor prices a crossing.
func (b *Balancer) crossZoneCost(req *request) float64 {
	if first := b.firstTokenFit.mean(); first > 0 {
		return b.settings.CrossZoneCost * math.Max(0, float64(b.latencyObjective(req))-first) / first * (b.meanLoad + b.meanHeldTokens)
	}
	return 0
}

// needsConnection tells whether a dispatch to w needs a new connection.
func (b *Balancer) needsConnection(now Micros, row *replicaRow) bool {
	if len(row.ledger) == 0 && now-row.lastUsedAt > b.settings.ConnIdleTimeout {
		return true
	}
	return len(row.ledger) >= row.openConns*max(1, b.settings.StreamsPerConn)
}

// dischargeLedger takes the end of an attempt off the ledger and into the health.
func (b *Balancer) dischargeLedger(now Micros, a *attempt, outcome Outcome) {
	row := a.row
	b.releaseCharge(row, a, true)
	b.recordAnswer(now, row, outcome.Status, false)
	row.lastUsedAt = now
	if outcome.Status == ConnectFailed || outcome.Status == ConnBroken {
		row.openConns = 0
	}
	switch outcome.Status {
	case Served:
		b.clearFailures(row)
		row.errorRate *= 0.8
	case Errored, ConnectFailed, ConnBroken:
		b.recordFailure(now, row, outcome.Status)
	case Malformed: // from a good worker too: weighs, but is no reason to rest
		row.errorRate += 0.2 * (1 - row.errorRate)
	case Shed:
		// Full: what its last report said is wrong. Take it for as loaded as
		// twice the fleet until a newer report comes.
		b.setReportedLoad(now, row, math.Max(row.reportedTokens, 2*b.meanLoad/row.slowness))
	}
}

// clearFailures clears what stood against w.
func (b *Balancer) clearFailures(row *replicaRow) {
	row.consecutiveFailures, row.backoffUntil = 0, 0
}

// recordFailure notes a failure. Quick errors free memory and would top the scan: the
// replica rests, longer each time, and comes back one attempt at a time.
func (b *Balancer) recordFailure(now Micros, row *replicaRow, s Status) {
	if b.zones.IsUnavailable(row.zone) {
		return // its site's failure, not its own
	}
	row.errorRate += 0.2 * (1 - row.errorRate)
	row.consecutiveFailures++
	many := 1.0
	if b.largeFleet() {
		many = b.gatewaysPerReplica() / largeFleetGateways
	}
	rests := zonehealth.Backoff{Min: backoffMin, Max: backoffMax}
	row.backoffUntil = now + rests.Delay(row.consecutiveFailures, s != Errored, many, b.random())
}

// takeRetry tells whether the budget allows a further attempt after s. What
// never ran cost no work.
func (b *Balancer) takeRetry(s Status) bool {
	if s.NeverRan() {
		return true
	}
	if b.retryBudget < 1 {
		return false
	}
	b.retryBudget--
	return true
}

// countArrival counts a request.
func (b *Balancer) countArrival(req *request) {
	b.countPrefix(req)
	updateMean(&b.meanWork, b.workTokens(req))
	if req.tenantIndex >= 0 {
		b.tenantArrivals[req.tenantIndex]++
	}
	calm := 1 - b.lateShare // budgets of further attempts shrink as the fleet falls behind
	b.hedgeBudget = math.Min(budgetCap, b.hedgeBudget+cmp.Or(b.settings.HedgeRatio, defaultHedgeRatio)*calm)
	b.retryBudget = math.Min(budgetCap, b.retryBudget+cmp.Or(b.settings.RetryRatio, defaultRetryRatio)*calm)
}

// weightPerToken is what r is worth a token of its charge.
func (b *Balancer) weightPerToken(req *request) float64 {
	v := b.classOf(req).PriorityWeight
	if req.PriorityFactor > 0 {
		v *= req.PriorityFactor
	} else if req.tenantIndex >= 0 {
		quota := b.settings.Tenants[req.tenantIndex].QuotaPerS / float64(b.settings.Gateways)
		if b.tenantRate[req.tenantIndex] > 1.25*quota {
			v *= b.settings.OverQuotaWeight
		}
	}
	return v / (prefillCost*float64(req.PromptTokens)*(1-b.stats[req.classIndex].cachedShare) + b.expectedHeldTokens(req))
}

// admit refuses early, what is worth least for its work first, once this
// gateway holds as many tokens open as went together with lateness. A limit on
// what is open lets in again as soon as work ends; a limit on what comes in
// kept refusing long after the fleet stood idle.
func (b *Balancer) admit(req *request) bool {
	updateMean(&b.meanWeightPerToken, b.weightPerToken(req))
	if b.tokenLimit == 0 {
		return true
	}
	return b.inFlightTokens+b.random()*b.expectedHeldTokens(req) <= b.limitShare(req)*b.tokenLimit
}

// limitShare is the part of the limit that r may fill, by its worth.
func (b *Balancer) limitShare(req *request) float64 {
	return math.Max(minLimitShare, math.Min(1, b.weightPerToken(req)/b.meanWeightPerToken))
}

// recordFirstToken takes the lateness of a request whose answer begins. One whose aim
// passed before was counted then: counted when its answer came, seconds later,
// the jam of before went on closing the limit of an idle fleet.
func (b *Balancer) recordFirstToken(req *request, tooSlow bool) {
	if !req.late {
		b.recordLateness(boolToFloat(tooSlow))
	}
}

// recordLateness moves the limit by one request's lateness, down from what is open. It
// holds still where a share of maxLateShare comes late.
func (b *Balancer) recordLateness(late float64) {
	b.lateShare += learnRate * (late - b.lateShare)
	if late > 0 && (b.tokenLimit > 0 || b.lateShare > maxLateShare) {
		if most := math.Max(b.meanInFlightTokens, b.inFlightTokens); b.tokenLimit == 0 || b.tokenLimit > most {
			b.tokenLimit = most
		}
		b.tokenLimit = math.Max(math.Max(b.meanHeldTokens, b.tokenLimitFloor), b.tokenLimit*(1-learnRate))
	} else {
		b.tokenLimit *= 1 + learnRate*maxLateShare/(1-maxLateShare)
	}
}

// streamsTooSlow tells whether streams like r's now run slower than their token aim.
// Nobody tells the length of an answer, so a stream's end does not show its
// pace; but a first token waits for about one step beside its own reading, and
// each further token takes a step. What a step takes with nothing else to do
// stands in the least time seen, with the network's, and is put at a third of
// the aim. Without this, a fleet that answers at once but streams too slowly
// for its aims takes on all that comes.
func (b *Balancer) streamsTooSlow(req *request, a *attempt) bool {
	aim := float64(b.classOf(req).TokenObjective)
	if aim == 0 || b.firstTokenFit.n < 16 {
		return false
	}
	step := float64(a.timeToFirstToken) - a.prefillTokens*b.firstTokenFit.slope()
	at := 2 * a.row.zone // the least differs by zone and, by the handshake, for new connections
	if a.newConn {
		at++
	}
	floor := b.stepFloor[at]
	if floor == 0 || step > 0 && step < floor {
		floor = math.Max(1, step)
		b.stepFloor[at] = floor
	}
	if step-floor > b.stepExcess { // follows the median
		b.stepExcess += learnRate * aim
	} else {
		b.stepExcess -= learnRate * aim
	}
	// Streams that tell their length must bear it out: a new gateway guesses badly.
	return b.stepExcess > aim*slowStepFactor && (!b.lengthsReported || b.slowStreamShare > maxLateShare)
}

// recordStreamPace takes the time of a whole stream against what its tokens may take.
func (b *Balancer) recordStreamPace(took, most float64) {
	if most > 0 {
		b.lengthsReported = true
		b.slowStreamShare += 2 * learnRate * (boolToFloat(took > most) - b.slowStreamShare)
	}
}

// retryAfter is the hint that goes with a refusal of r: when what stands over
// r's part of the limit will have ended, at the pace at which requests end. It
// is kept within a part of r's aim, for an answer past that is worth little, and
// scattered, so that those refused together do not come back together.
func (b *Balancer) retryAfter(req *request) Micros {
	if !b.settings.RetryAfter {
		return 0
	}
	wait := 0.0
	if over := b.inFlightTokens + b.expectedHeldTokens(req) - b.limitShare(req)*b.tokenLimit; b.tokenLimit > 0 && over > 0 {
		wait = b.meanLifetime * over / (b.inFlightTokens + b.expectedHeldTokens(req))
	}
	aim := float64(b.latencyObjective(req))
	wait = math.Max(aim*minRetryAfter, math.Min(aim*maxRetryAfter, wait)) * (0.75 + 0.5*b.random())
	return min(b.settings.MaxRetryAfter, int64(wait))
}

// tick is the upkeep.
func (b *Balancer) tick(now Micros) {
	dt := math.Max(1e-3, float64(now-b.lastTickAt)/1e6)
	b.lastTickAt = now
	const span = 8.0 // seconds over which rates are averaged
	g := math.Min(1, dt/span)
	b.dispatchRate += g * (b.dispatchesSinceTick/dt - b.dispatchRate)
	b.dispatchesSinceTick = 0
	for i := range b.tenantRate {
		b.tenantRate[i] += g * (b.tenantArrivals[i]/dt - b.tenantRate[i])
		b.tenantArrivals[i] = 0
	}
	// What was seen fades with time too: a gateway that refuses most of what
	// comes sees too little to find out that the jam is over.
	b.lateShare *= 1 - math.Min(1, dt/latenessDecay)
	b.stepExcess *= 1 - math.Min(1, dt/latenessDecay)
	b.meanInFlightTokens += math.Min(1, dt/2) * (b.inFlightTokens - b.meanInFlightTokens)
	if b.tokenLimit > 4*b.meanInFlightTokens+b.meanHeldTokens {
		b.tokenLimit = 0 // far from binding
	}
	b.tokenLimit *= 1 + limitGrowth*dt
	b.tokenLimitFloor = b.tokenLimit * minLimitPerTick
	b.followDiscovery(now)
	b.refreshEstimates(now)
	b.runHealthChecks(now)
	b.tryUnavailableZones(now)
}

// runHealthChecks asks replicas for reports where those come no other way. The gateways
// share the work by hash, and tell each other, where they may.
func (b *Balancer) runHealthChecks(now Micros) {
	if !b.settings.MayHealthCheck || b.settings.ReportSource == ReportNone || b.largeFleet() {
		return
	}
	for _, row := range b.rows {
		if row.state != EndpointReady || row.healthCheckPending {
			continue
		}
		age := now - max(row.reportedAt, row.healthCheckedAt)
		due := b.healthCheckInterval()
		if b.settings.MayGossip && !b.ownsHealthCheck(row) {
			// Its owner is silent: step in, but not all of us at once.
			if age < 3*due || b.random() > 2/float64(b.settings.Gateways) {
				continue
			}
		}
		if age >= due {
			b.sendHealthCheck(now, row)
		}
	}
}

// healthCheckInterval is no faster than reports are renewed. Where peers do not share
// the work, it keeps probes to a part of the requests, within their price.
func (b *Balancer) healthCheckInterval() Micros {
	const each Micros = 1_000_000
	const mostShare, mostCost = 0.25, 0.005 // probes, and points for them, a request
	if b.settings.MayGossip || b.dispatchRate <= 0 {
		return each
	}
	rate := mostShare * b.dispatchRate
	if b.settings.HealthCheckCost > 0 {
		rate = math.Min(rate, mostCost/b.settings.HealthCheckCost*b.dispatchRate)
	}
	return max(each, int64(1e6*float64(b.readyCount)/rate))
}

// ownsHealthCheck tells whether this gateway is the one that probes w, by rendezvous.
func (b *Balancer) ownsHealthCheck(row *replicaRow) bool {
	best, owner := uint64(0), 0
	for i := range b.settings.Gateways {
		if h := splitmix(row.hash ^ uint64(i+1)); h > best {
			best, owner = h, i
		}
	}
	return owner == b.settings.Self
}

// HealthCheckEnded takes a probe's result.
func (b *Balancer) HealthCheckEnded(now Micros, outcome Outcome) {
	row := b.rowByID[outcome.Replica]
	if row == nil {
		return
	}
	row.healthCheckPending = false
	if b.largeFleet() {
		defer b.resumeWaiting(now)
	}
	b.recordAnswer(now, row, outcome.Status, true)
	if outcome.Status != Served {
		if outcome.Status == ConnectFailed || outcome.Status == Errored || outcome.Status == TimedOut && b.largeFleet() {
			b.recordFailure(now, row, outcome.Status)
		}
		return
	}
	row.confirmedReadyAt = row.healthCheckedAt
	b.applyReport(now, row, outcome.Report)
	if row.backoffUntil > 0 && row.errorRate < 0.1 {
		b.clearFailures(row)
	}
	if b.settings.MayGossip && b.settings.Gateways > 1 && row.reportedAt == now {
		b.sink.Gossip(b.packPeerReport(nil, row))
	}
}
