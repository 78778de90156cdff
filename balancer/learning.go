package balancer

// What outcomes and reports teach: means and fits. No decision stands here.

import "math"

// learnFromSuccess takes what a served attempt tells: its session's place, what was
// kept, how long it ran.
func (b *Balancer) learnFromSuccess(r *request, a *attempt, o Outcome) {
	st := &b.stats[r.classIndex]
	updateMean(&b.meanLifetime, float64(o.Elapsed))
	if a.timeToFirstToken > 0 {
		stream := float64(o.Elapsed - a.timeToFirstToken)
		if st.streamTime > 0 {
			k := &b.kinds[a.row.kind]
			k.slownessSum += stream / st.streamTime
			k.slownessCount++
		}
		updateMean(&st.streamTime, stream)
		b.recordStreamPace(stream, float64(o.OutputTokens)*float64(b.classOf(r).TokenObjective))
	}
	if expected := float64(r.PromptTokens) - a.prefillTokens; expected > float64(r.PromptTokens)/8 {
		full := expected / math.Max(b.cacheTrust, 0.1) // before it was tempered
		b.cacheTrust += learnRate * (math.Min(1, float64(o.CachedTokens)/full) - b.cacheTrust)
	}
	if r.PromptTokens > 0 {
		st.cachedShare += learnRate * (math.Min(1, float64(o.CachedTokens)/float64(r.PromptTokens)) - st.cachedShare)
	}
	if r.Session == 0 {
		return
	}
	if _, ok := b.sessions[r.Session]; !ok {
		delete(b.sessions, b.sessionRing[b.sessionRingNext])
		b.sessionRing[b.sessionRingNext] = r.Session
		b.sessionRingNext = (b.sessionRingNext + 1) % maxSessions
	}
	b.sessions[r.Session] = session{replica: a.row.id, tokens: r.PromptTokens}
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
func (b *Balancer) recordSlowness(now Micros, w *replicaRow, ratio float64) {
	keep := math.Max(0, 1-float64(now-w.slownessAt)/float64(slownessDecay))
	w.slownessSum = w.slownessSum*keep + math.Min(ratio, 10)
	w.slownessCount = w.slownessCount*keep + 1
	w.slownessAt = now
}

// recordFirstTokenTime takes a first-token time at w, in microseconds, for its kind, in large fleets.
func (b *Balancer) recordFirstTokenTime(w *replicaRow, took float64) {
	if !b.largeFleet() {
		return // kinds stay alike
	}
	k := &b.kinds[w.kind]
	k.firstTokenSum += took
	k.firstTokenCount++
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
		k := &t.kinds[i]
		if num > 0 {
			all := num / den
			k.firstTokenRatio = math.Max(0.25, math.Min(4, (prior*all+k.firstTokenSum)/(prior+k.firstTokenCount)/all))
		}
		k.firstTokenSum, k.firstTokenCount = k.firstTokenSum*0.99, k.firstTokenCount*0.99
	}
}

// recordServiceTime takes a reported service time as an observation of slowness.
func (b *Balancer) recordServiceTime(now Micros, w *replicaRow, ms float64) {
	updateMean(&b.meanServiceMs, ms)
	b.recordFirstTokenTime(w, 1000*ms)
	b.recordSlowness(now, w, ms/b.meanServiceMs)
}

// fitMemoryRatio fits the memory share that one token takes on w, starting from the
// fleet's mean.
func (b *Balancer) fitMemoryRatio(w *replicaRow, share float64, in LoadReport) {
	if share <= 0 || b.meanHeldTokens <= 0 {
		return
	}
	tokens := 0.0
	if in.Has&HasInFlight != 0 {
		tokens = in.InFlight * b.meanHeldTokens
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
	if in.Has&HasInFlight == 0 {
		w.memoryPerToken = b.memoryPerToken // nothing tells this replica's own count: the fleet's mean serves
		return
	}
	const prior = 4 // reports before a replica's own figure outweighs the fleet's
	w.memoryPerTokenSamples = math.Min(w.memoryPerTokenSamples+1, 1/learnRate)
	if w.memoryPerToken == 0 {
		w.memoryPerToken = b.memoryPerToken
	}
	w.memoryPerToken += (r - w.memoryPerToken) / (w.memoryPerTokenSamples + prior)
}
