package balancer

import "math"

const (
	// largeFleetPrefillFactor is the lower bound of prefillWeight in a large fleet, where
	// the shortlist has fresh load reports, as a multiple of prefillCost.
	largeFleetPrefillFactor = 1.5
	// minCacheConfidence is the lower bound of cacheConfidence in a large fleet. Without it,
	// scattered sessions would lower the confidence, which would scatter sessions further.
	minCacheConfidence = 0.9
	// prefillQueueFactor multiplies prefill time relative to slot time, because a prompt
	// also waits for the prefill of all earlier prompts.
	prefillQueueFactor = 6.0
	// maxPrefillWeight bounds prefillWeight, in held tokens per prompt token.
	maxPrefillWeight = 12 * prefillCost
	// minReportedLoadRatio is the lower bound of a reported load in a large fleet, relative
	// to the estimated load of peers.
	minReportedLoadRatio = 0.5
	// penalizedErrorRate is the error rate above which a replica is penalized.
	penalizedErrorRate = 0.02
	// avoidedZonePenalty multiplies the score of replicas in the zone of a failed connect.
	avoidedZonePenalty = 4
)

// prediction holds the inputs of one scan that are the same for all rows. Held tokens,
// the unit of load, are the prompt and output tokens that a replica keeps in memory.
type prediction struct {
	now               Micros
	req               *request
	affinity          affinity
	heldTokens        float64 // tokens that the request is expected to hold
	promptTokens      float64
	prefixTokens      float64
	prefixHash        uint64
	targetFraction    float64 // fraction of replicas that are affinity targets of the prefix
	prefixRate        float64 // requests per second with this prefix at each of its targets
	replicaRate       float64 // requests per second at each replica, from all gateways
	peerLoad          float64 // mean load of a replica that comes from other gateways
	invLifetime       float64
	gatewaysPerReport float64 // gateways that act on the same report
	prefillCost       float64 // cost of prefilling one prompt token, in held tokens
	cacheConfidence   float64
	largeFleet        bool
	crossZoneCost     float64 // cost of a dispatch to any other zone
}

// newPrediction computes the inputs of a request's scan.
func (b *Balancer) newPrediction(now Micros, req *request) prediction {
	gateways := b.gatewaysPerReplica()
	p := prediction{
		now:               now,
		req:               req,
		affinity:          b.affinityOf(req),
		heldTokens:        b.expectedHeldTokens(req),
		promptTokens:      float64(req.PromptTokens),
		prefixHash:        splitmix(req.Prefix),
		targetFraction:    b.prefixTargetFraction(req),
		peerLoad:          (gateways - 1) / gateways * b.meanLoad,
		invLifetime:       1 / math.Max(1, b.meanLifetime),
		gatewaysPerReport: gateways,
		prefillCost:       prefillCost,
		cacheConfidence:   b.cacheConfidence,
		largeFleet:        b.largeFleet(),
		crossZoneCost:     b.crossZoneCost(req),
	}
	p.prefixTokens = math.Min(p.promptTokens, float64(req.PrefixTokens))
	if b.readyCount > 0 {
		p.replicaRate = b.dispatchRate * gateways / float64(b.readyCount)
	}
	p.prefixRate = (b.prefixCounts[req.Prefix] / math.Max(1, b.prefixTotal)) * p.replicaRate / math.Min(1, p.targetFraction)
	if p.largeFleet {
		// Each gateway polls for reports of its own, so no report is shared. The higher
		// prefill cost keeps sessions at their cached prompts: if small load differences
		// moved them, they would scatter and find nothing cached.
		p.gatewaysPerReport = 1
		p.prefillCost = b.prefillWeight()
		p.cacheConfidence = math.Max(p.cacheConfidence, minCacheConfidence)
	}
	return p
}

// scan predicts the load of each eligible row with the request added, and puts the rows
// with the least predicted load in the shortlist.
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

// scoreRow computes a row's score and enters the row in the shortlist if the score is low
// enough.
func (b *Balancer) scoreRow(p *prediction, row *replicaRow) {
	cached := p.cachedTokens(row)
	reportWeight, arrivals := p.reportWeight(row, b.meanLifetime)
	peerLoad, reported := b.estimateLoads(p, row)
	held := (1-reportWeight)*(peerLoad+row.charge) + reportWeight*(reported+row.unreported)
	// Random noise keeps gateways that read the same report from all picking the same
	// replica. It stands for dispatches of peers that are not in the report yet.
	noise := reportWeight * b.random() * b.meanHeldTokens
	prefill := p.prefillCost * b.kinds[row.kind].firstTokenRatio * (p.promptTokens - cached)
	if b.cannotEnterShortlist(p, row, held, prefill) {
		return
	}
	if noise > 0 {
		noise *= math.Sqrt(arrivals)
	}
	held += noise
	// The replica's own slowness multiplies held tokens only. Applied to prefill as well,
	// it would draw requests from their affinity targets to any replica that is fast for a
	// moment. Prefill is multiplied by the first-token ratio of the replica's kind instead.
	penalty := b.penaltyFactor(p.now, row, p.req)
	score := (row.slowness*(held+p.heldTokens) + prefill) * penalty
	if row.zone != b.ownZone {
		score += p.crossZoneCost
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
			ServedSession:  row == p.affinity.servedBy,
			AffinityTarget: row == p.affinity.target,
		})
	}
	b.addToShortlist(candidate{row, score, cached})
}

// cachedTokens returns the number of prompt tokens that a replica is expected to have
// cached.
func (p *prediction) cachedTokens(row *replicaRow) float64 {
	cached := 0.0
	if p.isPrefixTarget(row) {
		cached = p.prefixTokens * row.prefixCachedProbability(p.now, p.prefixRate)
	}
	switch {
	case row == p.affinity.servedBy:
		cached = math.Min(p.promptTokens, p.affinity.servedTokens)
	case p.affinity.servedBy != nil || p.req.Session == 0:
	case row == p.affinity.target, p.largeFleet && row == p.affinity.second:
		cached = p.prefixTokens + (p.promptTokens-p.prefixTokens)/2
	}
	return cached * p.cacheConfidence
}

// isPrefixTarget reports whether a replica is an affinity target of the request's prefix.
func (p *prediction) isPrefixTarget(row *replicaRow) bool {
	if p.req.Prefix == 0 {
		return false
	}
	return row == p.affinity.target ||
		p.req.AffinityTarget == 0 && (p.targetFraction >= 1 || unitFloat(splitmix(p.prefixHash^row.hash)) < p.targetFraction)
}

// reportWeight returns the weight of a row's report relative to the fleet's mean, and the
// number of requests that have arrived at the replica since the report. The weight falls
// with the report's age and is divided among the gateways that act on the report. For the
// remaining weight, peers are assumed to spread their load evenly.
func (p *prediction) reportWeight(row *replicaRow, meanLifetime float64) (weight, arrivals float64) {
	arrivals = p.replicaRate * meanLifetime / microsPerSecond
	if row.reportedAt < 0 {
		return 0, arrivals
	}
	age := float64(p.now-row.reportedAt) + float64(reportLag)/2
	weight = math.Max(0, 1-age*p.invLifetime/2) / p.gatewaysPerReport
	return weight, math.Min(arrivals, p.replicaRate*age/microsPerSecond)
}

// estimateLoads returns the load that peers are estimated to have at a replica, and its
// reported load, corrected for replicas that look idle because they fail fast.
func (b *Balancer) estimateLoads(p *prediction, row *replicaRow) (peerLoad, reported float64) {
	peerLoad, reported = p.peerLoad/row.slowness, row.reportedTokens
	switch {
	case !p.largeFleet:
	case p.now < row.warmingUntil: // peers send it less; at the full mean it would get nothing
		peerLoad *= b.warmCapacity(p.now, row)
	default: // a replica that fails fast reports little load
		reported = math.Max(reported, minReportedLoadRatio*peerLoad)
	}
	return peerLoad, reported
}

// cannotEnterShortlist reports whether a row's score without noise and penalty is already
// too high for the shortlist. Both only raise the score, except for slowStartPreference,
// which is included here. The check saves computing them for most rows.
func (b *Balancer) cannotEnterShortlist(p *prediction, row *replicaRow, held, prefill float64) bool {
	worst := &b.shortlist[shortlistSize-1]
	if worst.row == nil || b.interceptor != nil {
		return false
	}
	minScore := row.slowness*(held+p.heldTokens) + prefill
	if p.now < row.warmingUntil {
		minScore *= slowStartPreference
	}
	return minScore >= worst.score
}

// prefillWeight returns the cost of prefilling one prompt token, in held tokens: the
// prefill time that the latency objectives allow per token, divided by the slot time per
// held token.
func (b *Balancer) prefillWeight() float64 {
	weight := 0.0
	if timePerHeldToken := b.meanLifetime * b.meanSlotFraction / math.Max(1, b.meanHeldTokens); timePerHeldToken > 0 {
		weight = math.Min(maxPrefillWeight, prefillQueueFactor*b.settings.prefillTimePerToken()/timePerHeldToken)
	}
	return math.Max(weight, prefillCost*largeFleetPrefillFactor)
}

// penaltyFactor returns the factor for an eligible row's predicted load. It penalizes
// replicas that return errors, need a new connection, or are in another, avoided or
// recovering zone, and combines the preference and the reduced capacity of slow start.
func (b *Balancer) penaltyFactor(now Micros, row *replicaRow, req *request) float64 {
	factor := 1.0
	if now < row.warmingUntil { // prefill and decode are slower in proportion
		factor = slowStartPreference / b.warmCapacity(now, row)
	}
	if row.errorRate > penalizedErrorRate {
		factor /= (1 - row.errorRate) * (1 - row.errorRate)
	}
	if row.zone != b.ownZone && b.firstTokenFit.mean() <= 0 {
		factor *= 1 + b.settings.CrossZoneCost // crossZoneCost is 0 without first-token times
	}
	if b.settings.HandshakeCost > 0 && b.needsConnection(now, row) {
		factor *= 1 + b.settings.HandshakeCost
	}
	if row.zone == req.avoidZone {
		factor *= avoidedZonePenalty
	}
	return factor * b.zonePenalty(now, row)
}

// crossZoneCost returns the load that a dispatch to another zone adds to a request's
// score. The setting is a fraction of the request's weight, which is lost when the first
// token is later than the latency objective. The load that would delay it that far is
// (objective - mean first-token time) / mean first-token time * load, or 0 if the mean
// first-token time is at the objective or above. The load is the mean load plus one mean
// request. The cost is 0 until first-token times are known; until then penaltyFactor
// includes the crossing.
func (b *Balancer) crossZoneCost(req *request) float64 {
	if usual := b.firstTokenFit.mean(); usual > 0 {
		return b.settings.CrossZoneCost * math.Max(0, float64(b.latencyObjective(req))-usual) / usual * (b.meanLoad + b.meanHeldTokens)
	}
	return 0
}
