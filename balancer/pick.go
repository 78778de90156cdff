package balancer

import (
	"math"
	"sort"
)

const (
	// largeFleetGateways is the number of gateways above which reports are asked for.
	largeFleetGateways = 10
	// shortlistSize is of how many workers, pollReportAge for how old a report, and pollTimeout for
	// how long an answer is waited for.
	shortlistSize                     = 3
	pollReportAge, pollTimeout Micros = 400_000, 60_000
	// largeFleetPrefillFactor is how many times as much reading weighs where each request sees the
	// load of three workers, and minCacheTrust what is trusted there to be kept: trust that
	// falls as sessions scatter scattered them more.
	largeFleetPrefillFactor, minCacheTrust = 1.5, 0.9
	// prefillQueueFactor is how many times the time of a worker's reading weighs against that of
	// its slots: all that came before is read first. maxPrefillWeight bounds prefillWeight.
	prefillQueueFactor, maxPrefillWeight = 6.0, 12 * prefillCost
	// minBelievedLoad is the part of the mean load below which a report is not believed.
	minBelievedLoad = 0.5
	// prefillCost is the charge of a prompt token that must be read, in held
	// tokens: reading takes a replica's whole step, holding a part of it.
	prefillCost = 4.0
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

// applyEndpoint takes one entry of the server list over into the table.
func (b *Balancer) applyEndpoint(now Micros, endpoint Endpoint, first bool) *replicaRow {
	row := b.rowByID[endpoint.Replica]
	if endpoint.State == EndpointGone {
		if row != nil {
			row.state = EndpointGone
		}
		return row
	}
	if row == nil {
		row = &replicaRow{id: endpoint.Replica, hash: splitmix(uint64(endpoint.Replica)), reportedAt: -1, slowness: 1, startedAt: endpoint.StartedAt}
		row.healthCheckedAt = now // its owner probes it first
		b.rowByID[endpoint.Replica] = row
		i := sort.Search(len(b.rows), func(i int) bool { return b.rows[i].id >= endpoint.Replica })
		b.rows = append(b.rows, nil)
		copy(b.rows[i+1:], b.rows[i:])
		b.rows[i] = row
		if endpoint.StartedAt > 0 {
			b.beginSlowStart(row, endpoint.StartedAt)
		} else if !first {
			b.beginSlowStart(row, now)
		}
	} else if b.fleetSize > 0 && row.state == EndpointGone && endpoint.StartedAt == row.startedAt && endpoint.StartedAt > 0 {
		row.reportedAt = -1 // on this gateway's part of the list again, in the same life
	} else if endpoint.StartedAt != row.startedAt && endpoint.StartedAt > 0 || row.state == EndpointGone {
		b.beginSlowStart(row, max(endpoint.StartedAt, row.startedAt))
		if endpoint.StartedAt == row.startedAt || endpoint.StartedAt == 0 {
			b.beginSlowStart(row, now) // back on the list with no word of a start: assume one
		}
		row.startedAt, row.reportedAt, row.slownessSum, row.slownessCount = endpoint.StartedAt, -1, 0, 0
	}
	row.state, row.cell, row.zone, row.kind = endpoint.State, endpoint.Cell, b.zoneOf(endpoint.Zone), b.kindOf(endpoint.Kind)
	switch {
	case b.settings.WeightKind == WeightLive && endpoint.Weight > 0:
		b.applyLiveWeight(now, row, endpoint.Weight)
	case b.settings.WeightKind == WeightNominal:
		row.size = endpoint.Weight
	}
	return row
}

// expectedHeldTokens is what r will hold while it runs: its prompt and its answer.
func (b *Balancer) expectedHeldTokens(req *request) float64 {
	answer := float64(req.MaxTokens) / 4 // limits are seldom reached
	if stats := &b.stats[req.classIndex]; stats.streamTime > 0 && b.classOf(req).TokenObjective > 0 {
		// healthy streams run at about half the token aim
		answer = math.Min(float64(req.MaxTokens), 2*stats.streamTime/float64(b.classOf(req).TokenObjective))
	}
	return float64(req.PromptTokens) + answer
}

// chargeLedger enters a dispatch in the ledger.
func (b *Balancer) chargeLedger(now Micros, row *replicaRow, a *attempt) {
	if a.newConn = b.needsConnection(now, row); a.newConn {
		row.openConns = len(row.ledger)/max(1, b.settings.StreamsPerConn) + 1
	}
	row.lastUsedAt = now
	row.ledger = append(row.ledger, a)
	c := a.charge()
	row.charge += c
	row.unreported += c
	b.inFlightTokens += a.heldTokens
	updateMean(&b.meanHeldTokens, a.heldTokens)
	updateMean(&b.meanCharge, c)
	b.countDispatch(now, row)
}

// pick chooses a replica for r and tells how many prompt tokens are expected to be kept
// there, or that r is to wait for reports.
func (b *Balancer) pick(now Micros, req *request) (best *replicaRow, kept float64, wait bool) {
	b.mayPoll = b.largeFleet() && len(req.attempts) == 0 && now == req.arrivedAt && req.deadline-now >= 8*pollTimeout
	b.offeredWarming = b.offerWarming(now, req)
	b.scan(now, req)
	if b.pollShortlist(now, req) {
		b.breakdowns = b.breakdowns[:0]
		return nil, 0, true
	}
	asked := b.mayPoll
	b.mayPoll = false                                                                // from here on r is sent, and to none that is doubted
	if best := b.shortlist[0].row; asked && best != nil && b.mayBeStale(now, best) { // nor can it be asked now
		b.breakdowns = b.breakdowns[:0]
		b.scan(now, req)
	}
	best, kept = b.shortlist[0].row, b.shortlist[0].cachedTokens
	if b.interceptor != nil {
		best, kept = b.interceptPick(req, best, kept)
	}
	return best, kept, false
}

// scan goes over all rows for those of the least predicted load: the short list.
func (b *Balancer) scan(now Micros, req *request) {
	home, second, holder, holderTokens := b.sessionHomes(req)
	hold := b.expectedHeldTokens(req)
	prompt := float64(req.PromptTokens)
	prefix := math.Min(prompt, float64(req.PrefixTokens))
	threshold := b.prefixHomeShare(req)
	phash := splitmix(req.Prefix)
	perReplica := 0.0
	if b.readyCount > 0 {
		perReplica = b.dispatchRate * b.gatewaysPerReplica() / float64(b.readyCount)
	}
	sights := (b.prefixCounts[req.Prefix] / math.Max(1, b.prefixTotal)) * perReplica / math.Min(1, threshold)
	sharers := b.gatewaysPerReplica()
	peers := (sharers - 1) / sharers * b.meanLoad
	invLife := 1 / math.Max(1, b.meanLifetime)
	// A report that reaches all gateways alike is shared among them. Where each asks for
	// its own as it needs them, no two have the same; and moved for every small
	// difference, sessions scatter and nothing is kept.
	sparse, crowd, read, trust := b.largeFleet(), sharers, prefillCost, b.cacheTrust
	if sparse {
		crowd, read, trust = 1, b.prefillWeight(), math.Max(trust, minCacheTrust)
	}
	b.shortlist = [shortlistSize]candidate{}
	last := b.lastResort(now, req)
	cross := b.crossZoneCost(req) // the same for every worker in another zone
	for _, row := range b.rows {
		if !b.eligible(now, row, req, last) {
			continue
		}
		kept := 0.0
		if req.Prefix != 0 && (row == home || req.HomeReplica == 0 && (threshold >= 1 || unitFloat(splitmix(phash^row.hash)) < threshold)) {
			kept = prefix * b.prefixCachedChance(now, row, sights)
		}
		if row == holder {
			kept = math.Min(prompt, holderTokens)
		} else if row == home && holder == nil && req.Session != 0 {
			kept = prefix + (prompt-prefix)/2
		} else if sparse && row == second && holder == nil && req.Session != 0 {
			kept = prefix + (prompt-prefix)/2
		}
		kept *= trust
		// A report fades with age: old, the row says no more than that peers
		// share their load as we do.
		fresh, arrivals := 0.0, perReplica*b.meanLifetime/1e6
		if row.reportedAt >= 0 {
			age := float64(now-row.reportedAt) + float64(reportLag)/2
			fresh = math.Max(0, 1-age*invLife/2) / crowd
			arrivals = math.Min(arrivals, perReplica*age/1e6)
		}
		usual, reported := peers/row.slowness, row.reportedTokens
		switch {
		case !sparse:
		case now < row.warmingUntil: // it holds what it can bear, or nothing would go there
			usual *= b.warmCapacity(now, row)
		default: // idle for its quick errors, may be
			reported = math.Max(reported, minBelievedLoad*usual)
		}
		held := (1-fresh)*(usual+row.charge) + fresh*(reported+row.unreported)
		// Gateways that read one report must not all pick one replica: the
		// sends of peers that it cannot show yet are a noise of their own.
		noise := fresh * b.random() * b.meanHeldTokens
		reading := read * b.kinds[row.kind].firstTokenRatio * (prompt - kept)
		// Noise and guard only add, but for the favour: most rows need neither to be behind the short list.
		least := row.slowness*(held+hold) + reading
		if now < row.warmingUntil {
			least *= slowStartPreference
		}
		if worst := &b.shortlist[shortlistSize-1]; worst.row != nil && b.interceptor == nil && least >= worst.score {
			continue
		}
		if noise > 0 {
			noise *= math.Sqrt(arrivals)
		}
		held += noise
		// A worker's own slowness weighs what is held; weighing the reading by it would make
		// gateways leave homes for whatever worker seemed fast just then. Its kind's stays.
		guard := b.penaltyFactor(now, row, req)
		score := (row.slowness*(held+hold) + reading) * guard
		if row.zone != b.ownZone {
			score += cross
		}
		if b.interceptor != nil {
			b.breakdowns = append(b.breakdowns, ScoreBreakdown{Replica: row.id, Score: score, ReportWeight: fresh, Reported: reported, Unreported: row.unreported,
				PeerLoad: usual, LedgerLoad: row.charge, Noise: noise, Slowness: row.slowness, RequestTokens: hold, PrefillCost: read, PromptTokens: prompt,
				CachedTokens: kept, Penalty: guard, ServedSession: row == holder, HomeReplica: row == home})
		}
		b.addToShortlist(candidate{row, score, kept})
	}
}

// prefillWeight is what a prompt token that must be read weighs, in held tokens: the time that
// reading it takes, which the aims allow for, against the part of a slot's time that one holds.
func (b *Balancer) prefillWeight() float64 {
	weight := 0.0
	if held := b.meanLifetime * b.meanSlotShare / math.Max(1, b.meanHeldTokens); held > 0 {
		weight = math.Min(maxPrefillWeight, prefillQueueFactor*b.settings.prefillTimePerToken()/held)
	}
	return math.Max(weight, prefillCost*largeFleetPrefillFactor)
}

// prefixCachedChance tells how likely w, if it started lately, has read what it gets so often.
func (b *Balancer) prefixCachedChance(now Micros, row *replicaRow, perSecond float64) float64 {
	if row.warmingUntil == 0 {
		return 1
	}
	return 1 - math.Exp(-perSecond*math.Max(0, float64(now-row.warmingSince))/1e6)
}

// prefixHomeShare is the share of replicas that are home to r's prefix: as
// much as its share of the traffic needs, and some to spare. The one added
// sight keeps gateways that have seen little near to all replicas, and so near
// to each other: on a few sights, homes moved about with the counts. Of many
// gateways each counts too few to tell a share: what the others have seen stands
// beside it as sights of other prefixes, half as many as they are. There a prefix has
// more homes the longer the prompt is: few save the prefix and crowd all the rest.
func (b *Balancer) prefixHomeShare(req *request) float64 {
	if req.Prefix == 0 || b.prefixTotal <= 0 || b.readyCount == 0 {
		return 1
	}
	unseen := math.Max(1, b.gatewaysPerReplica()/2-1)
	spread := homeSpread
	if b.largeFleet() {
		spread *= math.Max(1, float64(req.PromptTokens)/math.Max(1, float64(req.PrefixTokens)))
	}
	return math.Max(2/float64(b.readyCount), spread*(b.prefixCounts[req.Prefix]+1)/(b.prefixTotal+unseen))
}

// sessionHomes finds the replicas that all gateways take for the first and the second
// home of r's session, by weighted rendezvous within its prefix's homes, and the one that
// this gateway knows to have served the session. Weights are by kind, in coarse
// steps: weighted by what each has learned of a replica, gateways disagreed.
func (b *Balancer) sessionHomes(req *request) (home, second, holder *replicaRow, tokens float64) {
	if req.Session != 0 {
		if s, ok := b.sessions[req.Session]; ok {
			if row := b.rowByID[s.replica]; row != nil && row.state == EndpointReady {
				holder, tokens = row, float64(s.tokens)
			}
		}
	}
	if req.HomeReplica != 0 {
		return b.readyRow(req.HomeReplica), nil, holder, tokens
	}
	key := req.Session
	if key == 0 {
		key = req.Prefix
	}
	if key == 0 {
		return nil, nil, holder, tokens
	}
	khash, phash := splitmix(key), splitmix(req.Prefix)
	threshold := b.prefixHomeShare(req)
	best, next := math.Inf(1), math.Inf(1)
	ofKind := b.homeByKind[:0] // the first home on each kind of machines
	for range b.kinds {
		ofKind = append(ofKind, candidate{score: math.Inf(1)})
	}
	b.homeByKind = ofKind
	enter := func(row *replicaRow, over float64) {
		score := -math.Log(unitFloat(splitmix(khash^row.hash))+1e-18)*b.kinds[row.kind].slownessStep + over
		if score < best {
			second, next = home, best
			best, home = score, row
		} else if score < next {
			second, next = row, score
		}
		if score < ofKind[row.kind].score {
			ofKind[row.kind] = candidate{row: row, score: score}
		}
	}
	for i, hash := range b.hashes {
		if threshold >= 1 || unitFloat(splitmix(phash^hash)) < threshold {
			if row := b.rows[i]; row.state == EndpointReady {
				enter(row, 0)
			}
		}
	}
	if second != nil {
		return home, b.secondHome(home, second), holder, tokens
	}
	for _, row := range b.rows { // no homes of the prefix: only if there are none at all
		if u := unitFloat(splitmix(phash ^ row.hash)); row.state == EndpointReady && threshold < 1 && u >= threshold {
			enter(row, 1e6*(1+u))
		}
	}
	return home, b.secondHome(home, second), holder, tokens
}

// readyRow is the row of a replica that takes work, nil if there is none.
func (b *Balancer) readyRow(id ReplicaID) *replicaRow {
	if row := b.rowByID[id]; row != nil && row.state == EndpointReady {
		return row
	}
	return nil
}

// secondHome is the second home: the first on another kind of machines than home's, if there is
// one. What leaves its home leaves it most often for machines that read faster or are less
// loaded as a kind, from all gateways; each turn at another one of these found nothing kept.
func (b *Balancer) secondHome(home, second *replicaRow) *replicaRow {
	best := math.Inf(1)
	for _, next := range b.homeByKind {
		if next.row != nil && next.row.kind != home.kind && next.score < best {
			best, second = next.score, next.row
		}
	}
	return second
}

// slownessThreshold is how many times slower than its kind a replica must seem to be
// before its own slowness counts.
const slownessThreshold = 1.6

// refreshEstimates renews what scans use: slowness by kind and replica, the fleet's mean load.
func (b *Balancer) refreshEstimates(now Micros) {
	for i := range b.kinds {
		kind := &b.kinds[i]
		const prior = 8 // streams before a kind's own pace counts half
		kind.slowness = math.Max(0.25, math.Min(4, (prior+kind.slownessSum)/(prior+kind.slownessCount)))
		kind.slownessStep = math.Exp2(math.Round(2*math.Log2(kind.slowness)) / 2)
		kind.slownessSum, kind.slownessCount = kind.slownessSum*0.99, kind.slownessCount*0.99
	}
	b.updateKindRatios()
	b.readyCount, b.warmingCount = 0, 0
	load, weight, size, sized := 0.0, 0.0, 0.0, 0.0
	for _, row := range b.rows {
		if row.size > 0 {
			size, sized = size+row.size, sized+1
		}
	}
	for _, row := range b.rows {
		if row.state != EndpointReady {
			continue
		}
		b.readyCount++
		b.warmingCount += int(boolToFloat(now < row.warmingUntil))
		const prior = 6 // observations before a replica's own slowness outweighs its kind's
		keep := math.Max(0, 1-float64(now-row.slownessAt)/float64(slownessDecay))
		row.slowness = b.kinds[row.kind].slowness
		own := (prior*row.slowness + row.slownessSum*keep) / (prior + row.slownessCount*keep)
		// First-token times scatter, and reported ones reach all gateways alike:
		// only what stands out is held against a replica.
		if own > slownessThreshold*row.slowness {
			row.slowness = math.Min(8, own)
		}
		if row.size > 0 { // twice the size bears twice what is held
			row.slowness *= size / sized / row.size
		}
		if row.reportedAt >= 0 {
			if f := 1 - float64(now-row.reportedAt)/(2*math.Max(1, b.meanLifetime)); f > 0 {
				load += f * row.slowness * row.reportedTokens
				weight += f
			}
		}
	}
	if weight > 0 {
		b.meanLoad = load / weight
	}
}
