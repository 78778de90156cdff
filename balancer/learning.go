package balancer

import "math"

// Estimates that are updated from the outcomes of attempts. No decision is made here.

// learnFromSuccess updates the estimates of lifetime, cached tokens and session location
// from a served attempt.
func (b *Balancer) learnFromSuccess(req *request, a *attempt, outcome Outcome) {
	stats := &b.stats[req.classIndex]
	updateMean(&b.meanLifetime, float64(outcome.Elapsed))
	if a.timeToFirstToken > 0 {
		b.learnStream(req, a, outcome)
	}
	if expected := float64(req.PromptTokens) - a.prefillTokens; expected > float64(req.PromptTokens)/8 {
		undiscounted := expected / math.Max(b.cacheConfidence, 0.1) // expected without the discount by cacheConfidence
		b.cacheConfidence += learnRate * (math.Min(1, float64(outcome.CachedTokens)/undiscounted) - b.cacheConfidence)
	}
	if req.PromptTokens > 0 {
		stats.cachedFraction += learnRate * (math.Min(1, float64(outcome.CachedTokens)/float64(req.PromptTokens)) - stats.cachedFraction)
	}
	if req.Session != 0 {
		b.rememberSession(req.Session, session{replica: a.row.id, tokens: req.PromptTokens})
	}
}

// learnStream updates the estimates that depend on the time from a stream's first token to
// its end.
func (b *Balancer) learnStream(req *request, a *attempt, outcome Outcome) {
	stats := &b.stats[req.classIndex]
	duration := float64(outcome.Elapsed - a.timeToFirstToken)
	if stats.streamTime > 0 {
		kind := &b.kinds[a.row.kind]
		kind.slownessSum += duration / stats.streamTime
		kind.slownessCount++
	}
	updateMean(&stats.streamTime, duration)
	b.recordStreamPace(duration, float64(outcome.OutputTokens)*float64(b.classOf(req).TokenObjective))
}

// learnFirstToken compares an attempt's time to the first token with the time expected for
// its prefill tokens, and updates the replica's slowness and the fit.
func (b *Balancer) learnFirstToken(now Micros, a *attempt) {
	duration := float64(a.timeToFirstToken)
	if expected := b.firstTokenFit.predict(a.prefillTokens); expected > 0 {
		a.row.recordSlowness(now, duration/expected)
	}
	b.firstTokenFit.add(a.prefillTokens, duration)
	b.recordFirstTokenTime(a.row, duration)
}

// slownessWeight returns the weight at now of a replica's slowness observations. It falls
// to 0 within slownessDecay of the last observation.
func (row *replicaRow) slownessWeight(now Micros) float64 {
	return math.Max(0, 1-float64(now-row.slownessAt)/float64(slownessDecay))
}

// recordSlowness adds an observation: the ratio of a replica's time to the expected time.
func (row *replicaRow) recordSlowness(now Micros, ratio float64) {
	weight := row.slownessWeight(now)
	row.slownessSum = row.slownessSum*weight + math.Min(ratio, 10)
	row.slownessCount = row.slownessCount*weight + 1
	row.slownessAt = now
}

// recordFirstTokenTime adds a time to the first token, in microseconds, to the statistics
// of the replica's kind. In small fleets kinds are not distinguished.
func (b *Balancer) recordFirstTokenTime(row *replicaRow, duration float64) {
	if !b.largeFleet() {
		return
	}
	kind := &b.kinds[row.kind]
	kind.firstTokenSum += duration
	kind.firstTokenCount++
}

// recordServiceTime records a reported service time, in milliseconds, as an observation of
// slowness.
func (b *Balancer) recordServiceTime(now Micros, row *replicaRow, ms float64) {
	updateMean(&b.meanServiceMs, ms)
	b.recordFirstTokenTime(row, 1000*ms)
	row.recordSlowness(now, ms/b.meanServiceMs)
}
