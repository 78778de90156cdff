package choice

import (
	"math"
	"sort"
)

const (
	// sparseFrom is the number of gateways above which reports are asked for.
	sparseFrom = 10
	// shortList is of how many workers, askOlder for how old a report, and askWait for
	// how long an answer is waited for.
	shortList                = 3
	askOlder, askWait Micros = 400_000, 60_000
	// readMore is how many times as much reading weighs where each request sees the
	// load of three workers, and trustLeast what is trusted there to be kept: trust that
	// falls as sessions scatter scattered them more.
	readMore, trustLeast = 1.5, 0.9
	// readWaits is how many times the time of a worker's reading weighs against that of
	// its slots: all that came before is read first. readMost bounds readWeight.
	readWaits, readMost = 6.0, 12 * readCost
	// idleMost is the part of the mean load below which a report is not believed.
	idleMost = 0.5
	// readCost is the charge of a prompt token that must be read, in held
	// tokens: reading takes a replica's whole step, holding a part of it.
	readCost = 4.0
	// reportLag is how long before its arrival a report may have been taken:
	// charges younger than that are not in it. Reports are refreshed about
	// once a second.
	reportLag Micros = 1_000_000
	// maxSessions and maxPrefixes bound what is remembered of kept prompts.
	maxSessions = 4096
	maxPrefixes = 1024
	// homeSpread is how many times its share of the traffic a prefix's set of
	// home replicas is larger than needed, so that a jam can be walked around.
	homeSpread = 3.0
)

// listed takes one entry of the server list over into the table.
func (b *Balancer) listed(now Micros, m Member, first bool) *row {
	w := b.byID[m.Replica]
	if m.State == MemberGone {
		if w != nil {
			w.state = MemberGone
		}
		return w
	}
	if w == nil {
		w = &row{id: m.Replica, hash: mix(uint64(m.Replica)), reportAt: -1, slow: 1, since: m.Since}
		w.probed = now // its owner probes it first
		b.byID[m.Replica] = w
		i := sort.Search(len(b.rows), func(i int) bool { return b.rows[i].id >= m.Replica })
		b.rows = append(b.rows, nil)
		copy(b.rows[i+1:], b.rows[i:])
		b.rows[i] = w
		if m.Since > 0 {
			b.startCold(w, m.Since)
		} else if !first {
			b.startCold(w, now)
		}
	} else if b.fleet > 0 && w.state == MemberGone && m.Since == w.since && m.Since > 0 {
		w.reportAt = -1 // on this gateway's part of the list again, in the same life
	} else if m.Since != w.since && m.Since > 0 || w.state == MemberGone {
		b.startCold(w, max(m.Since, w.since))
		if m.Since == w.since || m.Since == 0 {
			b.startCold(w, now) // back on the list with no word of a start: assume one
		}
		w.since, w.reportAt, w.slowNum, w.slowDen = m.Since, -1, 0, 0
	}
	w.state, w.cell, w.zone, w.kind = m.State, m.Cell, b.zone(m.Zone), b.kindOf(m.Kind)
	switch {
	case b.s.Weights == WeightLive && m.Weight > 0:
		b.liveWeight(now, w, m.Weight)
	case b.s.Weights == WeightNominal:
		w.size = m.Weight
	}
	return w
}

// holdTokens is what r will hold while it runs: its prompt and its answer.
func (b *Balancer) holdTokens(r *request) float64 {
	answer := float64(r.MaxTokens) / 4 // limits are seldom reached
	if st := &b.stats[r.class]; st.stream > 0 && b.cls(r).TokenAim > 0 {
		// healthy streams run at about half the token aim
		answer = math.Min(float64(r.MaxTokens), 2*st.stream/float64(b.cls(r).TokenAim))
	}
	return float64(r.PromptTokens) + answer
}

// charge enters a dispatch in the ledger.
func (b *Balancer) charge(now Micros, w *row, a *attempt) {
	if a.connected = b.connects(now, w); a.connected {
		w.conns = len(w.open)/max(1, b.s.ConnStreams) + 1
	}
	w.usedAt = now
	w.open = append(w.open, a)
	c := a.charge()
	w.charge += c
	w.unseen += c
	b.openTokens += a.hold
	mean(&b.meanHold, a.hold)
	mean(&b.meanCharge, c)
	b.noteSent(now, w)
}

// pick chooses a replica for r and tells how many prompt tokens are expected to be kept
// there, or that r is to wait for reports.
func (b *Balancer) pick(now Micros, r *request) (best *row, kept float64, wait bool) {
	b.asking = b.sparse() && len(r.attempts) == 0 && now == r.arrived && r.deadline-now >= 8*askWait
	b.offered = b.offerCold(now, r)
	b.scan(now, r)
	if b.inquire(now, r) {
		b.weighed = b.weighed[:0]
		return nil, 0, true
	}
	asked := b.asking
	b.asking = false                                                          // from here on r is sent, and to none that is doubted
	if best := b.short[0].row; asked && best != nil && b.doubted(now, best) { // nor can it be asked now
		b.weighed = b.weighed[:0]
		b.scan(now, r)
	}
	best, kept = b.short[0].row, b.short[0].kept
	if b.judge != nil {
		best, kept = b.judged(r, best, kept)
	}
	return best, kept, false
}

// scan goes over all rows for those of the least predicted load: the short list.
func (b *Balancer) scan(now Micros, r *request) {
	home, second, holder, holderTokens := b.holders(r)
	hold := b.holdTokens(r)
	prompt := float64(r.PromptTokens)
	prefix := math.Min(prompt, float64(r.PrefixTokens))
	threshold := b.prefixThreshold(r)
	phash := mix(r.Prefix)
	perReplica := 0.0
	if b.ready > 0 {
		perReplica = b.sendRate * b.sharers() / float64(b.ready)
	}
	sights := (b.popular[r.Prefix] / math.Max(1, b.popTotal)) * perReplica / math.Min(1, threshold)
	sharers := b.sharers()
	peers := (sharers - 1) / sharers * b.meanLoad
	invLife := 1 / math.Max(1, b.lifetime)
	// A report that reaches all gateways alike is shared among them. Where each asks for
	// its own as it needs them, no two have the same; and moved for every small
	// difference, sessions scatter and nothing is kept.
	sparse, crowd, read, trust := b.sparse(), sharers, readCost, b.keptTrust
	if sparse {
		crowd, read, trust = 1, b.readWeight(), math.Max(trust, trustLeast)
	}
	b.short = [shortList]candidate{}
	last := b.lastResort(now, r)
	cross := b.crossCost(r) // the same for every worker in another zone
	for _, w := range b.rows {
		if !b.usable(now, w, r, last) {
			continue
		}
		kept := 0.0
		if r.Prefix != 0 && (w == home || r.Home == 0 && (threshold >= 1 || unit(mix(phash^w.hash)) < threshold)) {
			kept = prefix * b.seen(now, w, sights)
		}
		if w == holder {
			kept = math.Min(prompt, holderTokens)
		} else if w == home && holder == nil && r.Session != 0 {
			kept = prefix + (prompt-prefix)/2
		} else if sparse && w == second && holder == nil && r.Session != 0 {
			kept = prefix + (prompt-prefix)/2
		}
		kept *= trust
		// A report fades with age: old, the row says no more than that peers
		// share their load as we do.
		fresh, arrivals := 0.0, perReplica*b.lifetime/1e6
		if w.reportAt >= 0 {
			age := float64(now-w.reportAt) + float64(reportLag)/2
			fresh = math.Max(0, 1-age*invLife/2) / crowd
			arrivals = math.Min(arrivals, perReplica*age/1e6)
		}
		usual, reported := peers/w.slow, w.held
		switch {
		case !sparse:
		case now < w.coldUntil: // it holds what it can bear, or nothing would go there
			usual *= b.warmth(now, w)
		default: // idle for its quick errors, may be
			reported = math.Max(reported, idleMost*usual)
		}
		held := (1-fresh)*(usual+w.charge) + fresh*(reported+w.unseen)
		// Gateways that read one report must not all pick one replica: the
		// sends of peers that it cannot show yet are a noise of their own.
		noise := fresh * b.random() * b.meanHold
		reading := read * b.kinds[w.kind].first * (prompt - kept)
		// Noise and guard only add, but for the favour: most rows need neither to be behind the short list.
		least := w.slow*(held+hold) + reading
		if now < w.coldUntil {
			least *= coldFavor
		}
		if worst := &b.short[shortList-1]; worst.row != nil && b.judge == nil && least >= worst.score {
			continue
		}
		if noise > 0 {
			noise *= math.Sqrt(arrivals)
		}
		held += noise
		// A worker's own slowness weighs what is held; weighing the reading by it would make
		// gateways leave homes for whatever worker seemed fast just then. Its kind's stays.
		guard := b.guardFactor(now, w, r)
		score := (w.slow*(held+hold) + reading) * guard
		if w.zone != b.myZone {
			score += cross
		}
		if b.judge != nil {
			b.weighed = append(b.weighed, Terms{Worker: w.id, Score: score, Fresh: fresh, Reported: reported, Unseen: w.unseen,
				Peers: usual, Charge: w.charge, Noise: noise, Slow: w.slow, Hold: hold, Read: read, Prompt: prompt,
				Kept: kept, Guard: guard, Holder: w == holder, Home: w == home})
		}
		b.shorten(candidate{w, score, kept})
	}
}

// readWeight is what a prompt token that must be read weighs, in held tokens: the time that
// reading it takes, which the aims allow for, against the part of a slot's time that one holds.
func (b *Balancer) readWeight() float64 {
	weight := 0.0
	if held := b.lifetime * b.slotShare / math.Max(1, b.meanHold); held > 0 {
		weight = math.Min(readMost, readWaits*b.s.readPace()/held)
	}
	return math.Max(weight, readCost*readMore)
}

// seen tells how likely w, if it started lately, has read what it gets so often.
func (b *Balancer) seen(now Micros, w *row, perSecond float64) float64 {
	if w.coldUntil == 0 {
		return 1
	}
	return 1 - math.Exp(-perSecond*math.Max(0, float64(now-w.coldFrom))/1e6)
}

// prefixThreshold is the share of replicas that are home to r's prefix: as
// much as its share of the traffic needs, and some to spare. The one added
// sight keeps gateways that have seen little near to all replicas, and so near
// to each other: on a few sights, homes moved about with the counts. Of many
// gateways each counts too few to tell a share: what the others have seen stands
// beside it as sights of other prefixes, half as many as they are. There a prefix has
// more homes the longer the prompt is: few save the prefix and crowd all the rest.
func (b *Balancer) prefixThreshold(r *request) float64 {
	if r.Prefix == 0 || b.popTotal <= 0 || b.ready == 0 {
		return 1
	}
	unseen := math.Max(1, b.sharers()/2-1)
	spread := homeSpread
	if b.sparse() {
		spread *= math.Max(1, float64(r.PromptTokens)/math.Max(1, float64(r.PrefixTokens)))
	}
	return math.Max(2/float64(b.ready), spread*(b.popular[r.Prefix]+1)/(b.popTotal+unseen))
}

// holders finds the replicas that all gateways take for the first and the second
// home of r's session, by weighted rendezvous within its prefix's homes, and the one that
// this gateway knows to have served the session. Weights are by kind, in coarse
// steps: weighted by what each has learned of a replica, gateways disagreed.
func (b *Balancer) holders(r *request) (home, second, holder *row, tokens float64) {
	if r.Session != 0 {
		if s, ok := b.sessions[r.Session]; ok {
			if w := b.byID[s.at]; w != nil && w.state == MemberReady {
				holder, tokens = w, float64(s.tokens)
			}
		}
	}
	if r.Home != 0 {
		return b.readyRow(r.Home), nil, holder, tokens
	}
	key := r.Session
	if key == 0 {
		key = r.Prefix
	}
	if key == 0 {
		return nil, nil, holder, tokens
	}
	khash, phash := mix(key), mix(r.Prefix)
	threshold := b.prefixThreshold(r)
	best, next := math.Inf(1), math.Inf(1)
	ofKind := b.ofKind[:0] // the first home on each kind of machines
	for range b.kinds {
		ofKind = append(ofKind, candidate{score: math.Inf(1)})
	}
	b.ofKind = ofKind
	enter := func(w *row, over float64) {
		score := -math.Log(unit(mix(khash^w.hash))+1e-18)*b.kinds[w.kind].share + over
		if score < best {
			second, next = home, best
			best, home = score, w
		} else if score < next {
			second, next = w, score
		}
		if score < ofKind[w.kind].score {
			ofKind[w.kind] = candidate{row: w, score: score}
		}
	}
	for i, hash := range b.hashes {
		if threshold >= 1 || unit(mix(phash^hash)) < threshold {
			if w := b.rows[i]; w.state == MemberReady {
				enter(w, 0)
			}
		}
	}
	if second != nil {
		return home, b.otherKind(home, second), holder, tokens
	}
	for _, w := range b.rows { // no homes of the prefix: only if there are none at all
		if u := unit(mix(phash ^ w.hash)); w.state == MemberReady && threshold < 1 && u >= threshold {
			enter(w, 1e6*(1+u))
		}
	}
	return home, b.otherKind(home, second), holder, tokens
}

// readyRow is the row of a replica that takes work, nil if there is none.
func (b *Balancer) readyRow(id ReplicaID) *row {
	if w := b.byID[id]; w != nil && w.state == MemberReady {
		return w
	}
	return nil
}

// otherKind is the second home: the first on another kind of machines than home's, if there is
// one. What leaves its home leaves it most often for machines that read faster or are less
// loaded as a kind, from all gateways; each turn at another one of these found nothing kept.
func (b *Balancer) otherKind(home, second *row) *row {
	best := math.Inf(1)
	for _, c := range b.ofKind {
		if c.row != nil && c.row.kind != home.kind && c.score < best {
			best, second = c.score, c.row
		}
	}
	return second
}

// standsOut is how many times slower than its kind a replica must seem to be
// before its own slowness counts.
const standsOut = 1.6

// refresh renews what scans use: slowness by kind and replica, the fleet's mean load.
func (b *Balancer) refresh(now Micros) {
	for i := range b.kinds {
		k := &b.kinds[i]
		const prior = 8 // streams before a kind's own pace counts half
		k.slow = math.Max(0.25, math.Min(4, (prior+k.slowNum)/(prior+k.slowDen)))
		k.share = math.Exp2(math.Round(2*math.Log2(k.slow)) / 2)
		k.slowNum, k.slowDen = k.slowNum*0.99, k.slowDen*0.99
	}
	b.weighKinds()
	b.ready, b.cold = 0, 0
	load, weight, size, sized := 0.0, 0.0, 0.0, 0.0
	for _, w := range b.rows {
		if w.size > 0 {
			size, sized = size+w.size, sized+1
		}
	}
	for _, w := range b.rows {
		if w.state != MemberReady {
			continue
		}
		b.ready++
		b.cold += int(one(now < w.coldUntil))
		const prior = 6 // observations before a replica's own slowness outweighs its kind's
		keep := math.Max(0, 1-float64(now-w.slowAt)/float64(slowFades))
		w.slow = b.kinds[w.kind].slow
		own := (prior*w.slow + w.slowNum*keep) / (prior + w.slowDen*keep)
		// First-token times scatter, and reported ones reach all gateways alike:
		// only what stands out is held against a replica.
		if own > standsOut*w.slow {
			w.slow = math.Min(8, own)
		}
		if w.size > 0 { // twice the size bears twice what is held
			w.slow *= size / sized / w.size
		}
		if w.reportAt >= 0 {
			if f := 1 - float64(now-w.reportAt)/(2*math.Max(1, b.lifetime)); f > 0 {
				load += f * w.slow * w.held
				weight += f
			}
		}
	}
	if weight > 0 {
		b.meanLoad = load / weight
	}
}
