package choice

// What outcomes and reports teach: means and fits. No decision stands here.

import "math"

// learnServed takes what a served attempt tells: its session's place, what was
// kept, how long it ran.
func (b *Balancer) learnServed(r *request, a *attempt, o Outcome) {
	st := &b.stats[r.class]
	mean(&b.lifetime, float64(o.Elapsed))
	if a.opened > 0 {
		stream := float64(o.Elapsed - a.opened)
		if st.stream > 0 {
			k := &b.kinds[a.row.kind]
			k.slowNum += stream / st.stream
			k.slowDen++
		}
		mean(&st.stream, stream)
		b.notePace(stream, float64(o.Tokens)*float64(b.cls(r).TokenAim))
	}
	if expected := float64(r.PromptTokens) - a.unread; expected > float64(r.PromptTokens)/8 {
		full := expected / math.Max(b.keptTrust, 0.1) // before it was tempered
		b.keptTrust += learnRate * (math.Min(1, float64(o.Kept)/full) - b.keptTrust)
	}
	if r.PromptTokens > 0 {
		st.kept += learnRate * (math.Min(1, float64(o.Kept)/float64(r.PromptTokens)) - st.kept)
	}
	if r.Session == 0 {
		return
	}
	if _, ok := b.sessions[r.Session]; !ok {
		delete(b.sessions, b.sessRing[b.sessNext])
		b.sessRing[b.sessNext] = r.Session
		b.sessNext = (b.sessNext + 1) % maxSessions
	}
	b.sessions[r.Session] = session{at: a.row.id, tokens: r.PromptTokens}
}

// learnFirst compares a first token with what so many unread tokens usually take.
func (b *Balancer) learnFirst(now Micros, a *attempt) {
	if usual := b.firstFit.at(a.unread); usual > 0 {
		b.noteSlow(now, a.row, float64(a.opened)/usual)
	}
	b.firstFit.add(a.unread, float64(a.opened))
	b.noteKind(a.row, float64(a.opened))
}

// slowFades is how long an observation of slowness counts.
const slowFades Micros = 20_000_000

// noteSlow takes one observation of w's slowness against the usual.
func (b *Balancer) noteSlow(now Micros, w *row, ratio float64) {
	keep := math.Max(0, 1-float64(now-w.slowAt)/float64(slowFades))
	w.slowNum = w.slowNum*keep + math.Min(ratio, 10)
	w.slowDen = w.slowDen*keep + 1
	w.slowAt = now
}

// noteKind takes a first-token time at w, in microseconds, for its kind, in large fleets.
func (b *Balancer) noteKind(w *row, took float64) {
	if !b.sparse() {
		return // kinds stay alike
	}
	k := &b.kinds[w.kind]
	k.firstNum += took
	k.firstDen++
}

// weighKinds sets how long first tokens take on each kind against all, within four times,
// and lets what was seen fade.
func (t *table) weighKinds() {
	const prior = 8 // first tokens before a kind's own count half
	num, den := 0.0, 0.0
	for _, k := range t.kinds {
		num, den = num+k.firstNum, den+k.firstDen
	}
	for i := range t.kinds {
		k := &t.kinds[i]
		if num > 0 {
			all := num / den
			k.first = math.Max(0.25, math.Min(4, (prior*all+k.firstNum)/(prior+k.firstDen)/all))
		}
		k.firstNum, k.firstDen = k.firstNum*0.99, k.firstDen*0.99
	}
}

// noteService takes a reported service time as an observation of slowness.
func (b *Balancer) noteService(now Micros, w *row, ms float64) {
	mean(&b.serviceMs, ms)
	b.noteKind(w, 1000*ms)
	b.noteSlow(now, w, ms/b.serviceMs)
}

// fitRatio fits the memory share that one token takes on w, starting from the
// fleet's mean.
func (b *Balancer) fitRatio(w *row, share float64, in Report) {
	if share <= 0 || b.meanHold <= 0 {
		return
	}
	tokens := 0.0
	if in.Has&HasInFlight != 0 {
		tokens = in.InFlight * b.meanHold
	} else if b.ready > 0 { // own tokens out, times the gateways, spread evenly
		tokens = b.openTokens * b.sharers() / float64(b.ready)
	}
	if tokens < b.meanHold/2 {
		return
	}
	r := share / tokens
	if b.shareRatio == 0 {
		b.shareRatio = r
	}
	b.shareRatio += learnRate * (r - b.shareRatio)
	if in.Has&HasInFlight == 0 {
		w.ratio = b.shareRatio // nothing tells this replica's own count: the fleet's mean serves
		return
	}
	const prior = 4 // reports before a replica's own figure outweighs the fleet's
	w.ratioN = math.Min(w.ratioN+1, 1/learnRate)
	if w.ratio == 0 {
		w.ratio = b.shareRatio
	}
	w.ratio += (r - w.ratio) / (w.ratioN + prior)
}
