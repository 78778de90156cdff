package balancer

// What outcomes and reports teach: means and fits. No decision stands here.

import "math"

// learnFromSuccess takes what a served attempt tells: its session's place, what was
// kept, how long it ran.
func (b *Balancer) learnFromSuccess(req *request, a *attempt, outcome Outcome) {
	stats := &b.stats[req.classIndex]
	updateMean(&b.meanLifetime, float64(outcome.Elapsed))
	if a.timeToFirstToken > 0 {
		stream := float64(outcome.Elapsed - a.timeToFirstToken)
		if stats.streamTime > 0 {
			kind := &b.kinds[a.row.kind]
			kind.slownessSum += stream / stats.streamTime
			kind.slownessCount++
		}
		updateMean(&stats.streamTime, stream)
		b.recordStreamPace(stream, float64(outcome.OutputTokens)*float64(b.classOf(req).TokenObjective))
	}
	if expected := float64(req.PromptTokens) - a.prefillTokens; expected > float64(req.PromptTokens)/8 {
		full := expected / math.Max(b.cacheTrust, 0.1) // before it was tempered
		b.cacheTrust += learnRate * (math.Min(1, float64(outcome.CachedTokens)/full) - b.cacheTrust)
	}
	if req.PromptTokens > 0 {
		stats.cachedShare += learnRate * (math.Min(1, float64(outcome.CachedTokens)/float64(req.PromptTokens)) - stats.cachedShare)
	}
	if req.Session == 0 {
		return
	}
	if _, ok := b.sessions[req.Session]; !ok {
		delete(b.sessions, b.sessionRing[b.sessionRingNext])
		b.sessionRing[b.sessionRingNext] = req.Session
		b.sessionRingNext = (b.sessionRingNext + 1) % maxSessions
	}
	b.sessions[req.Session] = session{replica: a.row.id, tokens: req.PromptTokens}
}

// learnFirstToken compares a first token with what so many unread tokens usually take.
func (b *Balancer) learnFirstToken(now Micros, a *attempt) {
	if usual := b.firstTokenFit.predict(a.prefillTokens); usual > 0 {
		b.recordSlowness(now, a.row, float64(a.timeToFirstToken)/usual)
	}
	b.firstTokenFit.add(a.prefillTokens, float64(a.timeToFirstToken))
	b.recordFirstTokenTime(a.row, float64(a.timeToFirstToken))
}

// slownessDecay is how long an observation of slowness counts.
const slownessDecay Micros = 20_000_000

// recordSlowness takes one observation of w's slowness against the usual.
func (b *Balancer) recordSlowness(now Micros, row *replicaRow, ratio float64) {
	keep := math.Max(0, 1-float64(now-row.slownessAt)/float64(slownessDecay))
	row.slownessSum = row.slownessSum*keep + math.Min(ratio, 10)
	row.slownessCount = row.slownessCount*keep + 1
	row.slownessAt = now
}

// recordFirstTokenTime takes a first-token time at w, in microseconds, for its kind, in large fleets.
func (b *Balancer) recordFirstTokenTime(row *replicaRow, took float64) {
	if !b.largeFleet() {
		return // kinds stay alike
	}
	kind := &b.kinds[row.kind]
	kind.firstTokenSum += took
	kind.firstTokenCount++
}

// updateKindRatios sets how long first tokens take on each kind against all, within four times,
// and lets what was seen fade.
func (t *loadTable) updateKindRatios() {
	const prior = 8 // first tokens before a kind's own count half
	num, den := 0.0, 0.0
	for _, k := range t.kinds {
		num, den = num+k.firstTokenSum, den+k.firstTokenCount
	}
	for i := range t.kinds {
		kind := &t.kinds[i]
		if num > 0 {
			all := num / den
			kind.firstTokenRatio = math.Max(0.25, math.Min(4, (prior*all+kind.firstTokenSum)/(prior+kind.firstTokenCount)/all))
		}
		kind.firstTokenSum, kind.firstTokenCount = kind.firstTokenSum*0.99, kind.firstTokenCount*0.99
	}
}

// recordServiceTime takes a reported service time as an observation of slowness.
func (b *Balancer) recordServiceTime(now Micros, row *replicaRow, ms float64) {
	updateMean(&b.meanServiceMs, ms)
	b.recordFirstTokenTime(row, 1000*ms)
	b.recordSlowness(now, row, ms/b.meanServiceMs)
}

// fitMemoryRatio fits the memory share that one token takes on w, starting from the
// fleet's mean.
func (b *Balancer) fitMemoryRatio(row *replicaRow, share float64, report LoadReport) {
	if share <= 0 || b.meanHeldTokens <= 0 {
		return
	}
	tokens := 0.0
	if report.Has&HasInFlight != 0 {
		tokens = report.InFlight * b.meanHeldTokens
	} else if b.readyCount > 0 { // own tokens out, times the gateways, spread evenly
		tokens = b.inFlightTokens * b.gatewaysPerReplica() / float64(b.readyCount)
	}
	if tokens < b.meanHeldTokens/2 {
		return
	}
	r := share / tokens
	if b.memoryPerToken == 0 {
		b.memoryPerToken = r
	}
	b.memoryPerToken += learnRate * (r - b.memoryPerToken)
	if report.Has&HasInFlight == 0 {
		row.memoryPerToken = b.memoryPerToken // nothing tells this replica's own count: the fleet's mean serves
		return
	}
	const prior = 4 // reports before a replica's own figure outweighs the fleet's
	row.memoryPerTokenSamples = math.Min(row.memoryPerTokenSamples+1, 1/learnRate)
	if row.memoryPerToken == 0 {
		row.memoryPerToken = b.memoryPerToken
	}
	row.memoryPerToken += (r - row.memoryPerToken) / (row.memoryPerTokenSamples + prior)
}
