package balancer

import "math"

const (
	// largeFleetPrefillFactor is how many times as much prefill weighs where each request
	// sees fresh reports of a shortlist, and minCacheTrust the least part of cached tokens
	// that counts there: trust that falls as sessions scatter scattered them more.
	largeFleetPrefillFactor, minCacheTrust = 1.5, 0.9
	// prefillQueueFactor is how many times the time of a replica's prefill weighs against
	// that of its slots: all earlier prompts are prefilled first. maxPrefillWeight bounds
	// prefillWeight.
	prefillQueueFactor, maxPrefillWeight = 6.0, 12 * prefillCost
	// minBelievedLoad is the part of the mean load below which a report is not believed.
	minBelievedLoad = 0.5
	// minErrorRate is the error rate from which a replica is penalized, and avoidedZone
	// the penalty of the zone of a failed connect.
	minErrorRate, avoidedZonePenalty = 0.02, 4
)

// prediction is what one scan knows about its request and the fleet before it looks
// at the rows.
type prediction struct {
	now          Micros
	req          *request
	affinity     affinity
	heldTokens   float64 // what the request will hold
	promptTokens float64
	prefixTokens float64
	prefixHash   uint64
	targetShare  float64 // share of replicas that are affinity targets of the prefix
	prefixRate   float64 // requests a second with this prefix at each of its targets
	replicaRate  float64 // requests a second at each replica, of all gateways
	peerLoad     float64 // load of a replica that comes from other gateways, in the mean
	invLifetime  float64
	reportUsers  float64 // gateways that act on the same report
	prefillCost  float64 // weight of a prompt token that needs prefill, in held tokens
	cacheTrust   float64
	largeFleet   bool
	crossZone    float64 // cost of a dispatch to another zone, the same for all of them
}

// newPrediction prepares a scan for a request.
func (b *Balancer) newPrediction(now Micros, req *request) prediction {
	gateways := b.gatewaysPerReplica()
	p := prediction{
		now:          now,
		req:          req,
		affinity:     b.affinityOf(req),
		heldTokens:   b.expectedHeldTokens(req),
		promptTokens: float64(req.PromptTokens),
		prefixHash:   splitmix(req.Prefix),
		targetShare:  b.prefixTargetShare(req),
		peerLoad:     (gateways - 1) / gateways * b.meanLoad,
		invLifetime:  1 / math.Max(1, b.meanLifetime),
		reportUsers:  gateways,
		prefillCost:  prefillCost,
		cacheTrust:   b.cacheConfidence,
		largeFleet:   b.largeFleet(),
		crossZone:    b.crossZoneCost(req),
	}
	p.prefixTokens = math.Min(p.promptTokens, float64(req.PrefixTokens))
	if b.readyCount > 0 {
		p.replicaRate = b.dispatchRate * gateways / float64(b.readyCount)
	}
	p.prefixRate = (b.prefixCounts[req.Prefix] / math.Max(1, b.prefixTotal)) * p.replicaRate / math.Min(1, p.targetShare)
	if p.largeFleet {
		// A report that reaches all gateways alike is shared among them. Where each polls
		// for its own as it needs them, no two have the same; and moved for every small
		// difference, sessions scatter and nothing is cached.
		p.reportUsers = 1
		p.prefillCost = b.prefillWeight()
		p.cacheTrust = math.Max(p.cacheTrust, minCacheTrust)
	}
	return p
}

// scan predicts the load of all eligible rows with the request, and leaves those of the
// least in the shortlist.
func (b *Balancer) scan(now Micros, req *request) {
	p := b.newPrediction(now, req)
	b.shortlist = [shortlistSize]candidate{}
	lastResort := b.lastResort(now, req)
	for _, row := range b.rows {
		if b.eligible(now, row, req, lastResort) {
			b.scoreRow(&p, row)
		}
	}
}

// scoreRow predicts a row's load with the request and enters it in the shortlist.
func (b *Balancer) scoreRow(p *prediction, row *replicaRow) {
	cached := p.cachedTokens(row)
	reportWeight, arrivals := p.reportWeight(row, b.meanLifetime)
	peerLoad, reported := b.believedLoad(p, row)
	held := (1-reportWeight)*(peerLoad+row.charge) + reportWeight*(reported+row.unreported)
	// Gateways that read one report must not all pick one replica: the dispatches of
	// peers that it cannot show yet are a noise of their own.
	noise := reportWeight * b.random() * b.meanHeldTokens
	prefill := p.prefillCost * b.kinds[row.kind].firstTokenRatio * (p.promptTokens - cached)
	if b.behindShortlist(p, row, held, prefill) {
		return
	}
	if noise > 0 {
		noise *= math.Sqrt(arrivals)
	}
	held += noise
	// A replica's own slowness weighs what is held; weighing the prefill by it would make
	// gateways leave affinity targets for whatever replica seemed fast just then. Its kind's stays.
	penalty := b.penaltyFactor(p.now, row, p.req)
	score := (row.slowness*(held+p.heldTokens) + prefill) * penalty
	if row.zone != b.ownZone {
		score += p.crossZone
	}
	if b.interceptor != nil {
		b.breakdowns = append(b.breakdowns, ScoreBreakdown{
			Replica:        row.id,
			Score:          score,
			ReportWeight:   reportWeight,
			Reported:       reported,
			Unreported:     row.unreported,
			PeerLoad:       peerLoad,
			LedgerLoad:     row.charge,
			Noise:          noise,
			Slowness:       row.slowness,
			RequestTokens:  p.heldTokens,
			PrefillCost:    p.prefillCost,
			PromptTokens:   p.promptTokens,
			CachedTokens:   cached,
			Penalty:        penalty,
			ServedSession:  row == p.affinity.holder,
			AffinityTarget: row == p.affinity.target,
		})
	}
	b.addToShortlist(candidate{row, score, cached})
}

// cachedTokens is how many tokens of the prompt a replica is expected to have cached.
func (p *prediction) cachedTokens(row *replicaRow) float64 {
	cached := 0.0
	if p.isPrefixTarget(row) {
		cached = p.prefixTokens * row.prefixCachedChance(p.now, p.prefixRate)
	}
	switch {
	case row == p.affinity.holder:
		cached = math.Min(p.promptTokens, p.affinity.holderTokens)
	case p.affinity.holder != nil || p.req.Session == 0:
	case row == p.affinity.target, p.largeFleet && row == p.affinity.second:
		cached = p.prefixTokens + (p.promptTokens-p.prefixTokens)/2
	}
	return cached * p.cacheTrust
}

// isPrefixTarget reports whether a replica is an affinity target of the request's prefix.
func (p *prediction) isPrefixTarget(row *replicaRow) bool {
	if p.req.Prefix == 0 {
		return false
	}
	return row == p.affinity.target ||
		p.req.AffinityTarget == 0 && (p.targetShare >= 1 || unitFloat(splitmix(p.prefixHash^row.hash)) < p.targetShare)
}

// reportWeight is the weight of a row's report against the mean of the fleet, and how
// many requests have arrived at the replica since. A report fades with age: an old row
// says no more than that peers share their load as we do.
func (p *prediction) reportWeight(row *replicaRow, meanLifetime float64) (weight, arrivals float64) {
	arrivals = p.replicaRate * meanLifetime / microsPerSecond
	if row.reportedAt < 0 {
		return 0, arrivals
	}
	age := float64(p.now-row.reportedAt) + float64(reportLag)/2
	weight = math.Max(0, 1-age*p.invLifetime/2) / p.reportUsers
	return weight, math.Min(arrivals, p.replicaRate*age/microsPerSecond)
}

// believedLoad is the load that peers are taken to have at a replica, and its reported
// load as far as that is believed.
func (b *Balancer) believedLoad(p *prediction, row *replicaRow) (peerLoad, reported float64) {
	peerLoad, reported = p.peerLoad/row.slowness, row.reportedTokens
	switch {
	case !p.largeFleet:
	case p.now < row.warmingUntil: // it holds what it can bear, or nothing would go there
		peerLoad *= b.warmCapacity(p.now, row)
	default: // it may be idle for its quick errors
		reported = math.Max(reported, minBelievedLoad*peerLoad)
	}
	return peerLoad, reported
}

// behindShortlist reports whether a row cannot enter the shortlist whatever its noise and
// penalty, which only add to its score, but for the preference of slow start. It saves
// most rows both.
func (b *Balancer) behindShortlist(p *prediction, row *replicaRow, held, prefill float64) bool {
	worst := &b.shortlist[shortlistSize-1]
	if worst.row == nil || b.interceptor != nil {
		return false
	}
	least := row.slowness*(held+p.heldTokens) + prefill
	if p.now < row.warmingUntil {
		least *= slowStartPreference
	}
	return least >= worst.score
}

// prefillWeight is what a prompt token that needs prefill weighs, in held tokens: the time
// of its prefill, by what the latency objectives allow for it, against the part of a slot's
// time that a held token takes.
func (b *Balancer) prefillWeight() float64 {
	weight := 0.0
	if held := b.meanLifetime * b.meanSlotFraction / math.Max(1, b.meanHeldTokens); held > 0 {
		weight = math.Min(maxPrefillWeight, prefillQueueFactor*b.settings.prefillTimePerToken()/held)
	}
	return math.Max(weight, prefillCost*largeFleetPrefillFactor)
}

// penaltyFactor multiplies an eligible row's predicted load: a replica that errs wastes
// attempts, one in another zone or without a connection costs a little.
func (b *Balancer) penaltyFactor(now Micros, row *replicaRow, req *request) float64 {
	factor := 1.0
	if now < row.warmingUntil { // it prefills and streams as much slower
		factor = slowStartPreference / b.warmCapacity(now, row)
	}
	if row.errorRate > minErrorRate {
		factor /= (1 - row.errorRate) * (1 - row.errorRate)
	}
	if row.zone != b.ownZone && b.firstTokenFit.mean() <= 0 {
		factor *= 1 + b.settings.CrossZoneCost // nothing yet to weigh it by: see crossZoneCost
	}
	if b.settings.HandshakeCost > 0 && b.needsConnection(now, row) {
		factor *= 1 + b.settings.HandshakeCost
	}
	if row.zone == req.avoidZone {
		factor *= avoidedZonePenalty
	}
	return factor * b.zonePenalty(now, row)
}

// crossZoneCost is what a dispatch to another zone adds to a request's score: a share of
// the request's weight, which is lost once the first token is past the latency objective.
// The load that would use up what is left until then is (objective - usual first token
// time) / usual first token time times the usual load, and 0 at the objective. Before
// first-token times are known, penaltyFactor prices the crossing.
func (b *Balancer) crossZoneCost(req *request) float64 {
	if first := b.firstTokenFit.mean(); first > 0 {
		return b.settings.CrossZoneCost * math.Max(0, float64(b.latencyObjective(req))-first) / first * (b.meanLoad + b.meanHeldTokens)
	}
	return 0
}
