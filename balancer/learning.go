package balancer

import "math"

// What outcomes teach: means and fits. No decision is made here.

// learnFromSuccess learns from a served attempt: how long it ran, how much of the
// prompt was cached, and where its session now is.
func (b *Balancer) learnFromSuccess(req *request, a *attempt, outcome Outcome) {
	stats := &b.stats[req.classIndex]
	updateMean(&b.meanLifetime, float64(outcome.Elapsed))
	if a.timeToFirstToken > 0 {
		b.learnStream(req, a, outcome)
	}
	if expected := float64(req.PromptTokens) - a.prefillTokens; expected > float64(req.PromptTokens)/8 {
		full := expected / math.Max(b.cacheConfidence, 0.1) // before cacheTrust was applied
		b.cacheConfidence += learnRate * (math.Min(1, float64(outcome.CachedTokens)/full) - b.cacheConfidence)
	}
	if req.PromptTokens > 0 {
		stats.cachedFraction += learnRate * (math.Min(1, float64(outcome.CachedTokens)/float64(req.PromptTokens)) - stats.cachedFraction)
	}
	if req.Session != 0 {
		b.rememberSession(req.Session, session{replica: a.row.id, tokens: req.PromptTokens})
	}
}

// learnStream learns from the time between the first token and the end of a stream.
func (b *Balancer) learnStream(req *request, a *attempt, outcome Outcome) {
	stats := &b.stats[req.classIndex]
	took := float64(outcome.Elapsed - a.timeToFirstToken)
	if stats.streamTime > 0 {
		kind := &b.kinds[a.row.kind]
		kind.slownessSum += took / stats.streamTime
		kind.slownessCount++
	}
	updateMean(&stats.streamTime, took)
	b.recordStreamPace(took, float64(outcome.OutputTokens)*float64(b.classOf(req).TokenObjective))
}

// learnFirstToken compares a time to the first token with what so many prefill tokens
// usually take.
func (b *Balancer) learnFirstToken(now Micros, a *attempt) {
	took := float64(a.timeToFirstToken)
	if usual := b.firstTokenFit.predict(a.prefillTokens); usual > 0 {
		a.row.recordSlowness(now, took/usual)
	}
	b.firstTokenFit.add(a.prefillTokens, took)
	b.recordFirstTokenTime(a.row, took)
}

// slownessKept is the weight at now of the observations of a replica's slowness.
func (row *replicaRow) slownessKept(now Micros) float64 {
	return math.Max(0, 1-float64(now-row.slownessAt)/float64(slownessDecay))
}

// recordSlowness adds one observation of a replica's time against the usual time.
func (row *replicaRow) recordSlowness(now Micros, ratio float64) {
	keep := row.slownessKept(now)
	row.slownessSum = row.slownessSum*keep + math.Min(ratio, 10)
	row.slownessCount = row.slownessCount*keep + 1
	row.slownessAt = now
}

// recordFirstTokenTime adds a time to the first token, in microseconds, to the statistics
// of the replica's kind. In small fleets all kinds count as alike.
func (b *Balancer) recordFirstTokenTime(row *replicaRow, took float64) {
	if !b.largeFleet() {
		return
	}
	kind := &b.kinds[row.kind]
	kind.firstTokenSum += took
	kind.firstTokenCount++
}

// recordServiceTime takes a reported service time, in milliseconds, as an observation of slowness.
func (b *Balancer) recordServiceTime(now Micros, row *replicaRow, ms float64) {
	updateMean(&b.meanServiceMs, ms)
	b.recordFirstTokenTime(row, 1000*ms)
	row.recordSlowness(now, ms/b.meanServiceMs)
}
