package choice

import (
	"cmp"
	"math"

	"archknot/internal/site"
)

const (
	// tickEvery is the rhythm of upkeep: well under the second in which
	// reports are renewed.
	tickEvery Micros = 250_000
	// hedgeShare and retryShare are the further attempts allowed a request.
	hedgeShare, retryShare, budgetCap = 0.02, 0.2, 8.0
	// backoffFirst and backoffMost bound the rest of a failing replica.
	backoffFirst, backoffMost Micros = 500_000, 16_000_000
	// coldCare is the part of the allowed cold work that is used: the sum of what all gateways
	// send scatters by chance, and traffic has bursts. See docs/design/standing-test.md.
	coldCare = 0.45
	// coldFavor is by how much less the score of the cold replica that an attempt is offered
	// weighs: an offer passed by is room that nobody else uses.
	coldFavor = 0.35
	// leastUtil bounds what reports of how busy warm replicas are may tell of their room.
	leastUtil = 0.5
	// lateMost is the share of late requests from which less is admitted, and
	// leastPart the part of the limit that even the least worth may fill.
	lateMost, leastPart = 0.2, 0.3
	// lateFades is over how many seconds what was seen of lateness fades.
	lateFades = 12.0
	// openGrows is the part by which the limit opens each second.
	openGrows = 0.2
	// closesMost is the part it closes to in a tick: counted one by one, all that a
	// jam makes late closed it to next to nothing.
	closesMost = 0.9
	// paceOver is how many token aims first tokens may take beyond their reading and
	// the least time seen, at the median, before streams count as too slow.
	paceOver = 1.5
	// comeBackFirst and comeBackLast bound the advice to a refused client, in
	// aims: sooner nothing has changed, later the answer would be late.
	comeBackFirst, comeBackLast = 0.125, 0.5
)

// warmth is the least share of its capacity that w has by now: the slowest
// even ramp from the least start.
func (b *Balancer) warmth(now Micros, w *row) float64 {
	if now >= w.coldUntil || b.s.ColdFor <= 0 {
		return 1
	}
	age := math.Max(0, float64(now-w.coldFrom)/float64(b.s.ColdFor))
	return b.s.StartCapacity + (1-b.s.StartCapacity)*age
}

// offerCold draws the cold replica that this attempt of r may go to, nil for none. It is rule 4:
// all gateways together may send a cold replica no more than a multiple of what it can do now, N
// requests of mean work in a span. Each attempt is offered one cold replica at most, by a chance
// that is the same wherever the attempt comes and whatever else it prefers: coldCare * N offers in
// the mean, by chance as a Poisson count has it. How many gateways there are, what each gets, and a
// preference that all of them share change nothing about it, and nothing is learnt or saved up.
func (b *Balancer) offerCold(now Micros, r *request) *row {
	if b.cold == 0 {
		return nil
	}
	heavy := math.Max(1, b.work(r)/math.Max(1, b.meanWork))
	// Gateways may be given the same seed: by its number each draws otherwise.
	drawn := mix(math.Float64bits(b.random()) ^ mix(uint64(b.s.Self)))
	draw := unit(drawn)
	n := len(b.rows)
	for i, start := 0, int(unit(mix(drawn))*float64(n)); i < n; i++ { // chances may be over 1 in all: from any on
		w := b.rows[(start+i)%n]
		if w.state != MemberReady || now >= w.coldUntil {
			continue
		}
		if draw -= b.coldChance(now, w) / (heavy * heavy); draw < 0 {
			return w
		}
	}
	return nil
}

// coldChance is the chance by which an attempt of mean work is offered w. Of R attempts in the span
// to n replicas, N is FallMultiple * warmth * R / n. A heavy request is offered it by the square of
// its work less often: by its work, and that it scatters the sum no more than others.
func (b *Balancer) coldChance(now Micros, w *row) float64 {
	share := coldCare * b.s.FallMultiple * b.warmth(now, w) / math.Max(1, w.slow)
	if b.util > 0 { // what replicas can do is more than what they get
		share /= math.Max(leastUtil, math.Min(1, b.util))
	}
	return share / float64(max(1, b.ready))
}

// work is what r takes of a replica that has kept nothing, in held tokens.
func (b *Balancer) work(r *request) float64 {
	return readCost*float64(r.PromptTokens) + b.holdTokens(r)
}

// noteSent counts a dispatch.
func (b *Balancer) noteSent(now Micros, w *row) {
	b.sentNow++
	b.sites.Due(now, w.zone, 0.5) // where nothing else may, this request tries a lost site
}

// lastResort tells whether every replica that r may use is resting: then the
// rest is cut short, for sending somewhere beats sending nowhere.
func (b *Balancer) lastResort(now Micros, r *request) bool {
	for _, w := range b.rows {
		if b.usable(now, w, r, false) {
			return false
		}
	}
	return true
}

// usable tells whether r may go to w at all.
func (b *Balancer) usable(now Micros, w *row, r *request, last bool) bool {
	if w.state != MemberReady {
		return false
	}
	if !last && (now < w.retryAt || !b.siteOpen(now, w) || w.fails > 0 && len(w.open) > 0) {
		return false
	}
	if !last && b.unanswered(now, w) || b.doubted(now, w) && !b.asking && (b.s.MayProbe || !last) {
		return false
	}
	for _, a := range r.attempts {
		if a.row == w && (!last || !a.ended) {
			return false
		}
	}
	if len(r.attempts) > 0 && !b.mayRepeat(now, r, w) {
		return false
	}
	return now >= w.coldUntil || w == b.offered
}

// guardFactor weighs a usable row's predicted load: a replica that errs wastes
// attempts, one in another zone or without a connection costs a little.
func (b *Balancer) guardFactor(now Micros, w *row, r *request) float64 {
	f := 1.0
	if now < w.coldUntil { // it reads and streams as much slower
		f = coldFavor / b.warmth(now, w)
	}
	if w.errors > 0.02 {
		f /= (1 - w.errors) * (1 - w.errors)
	}
	if w.zone != b.myZone && b.firstFit.mean() <= 0 {
		f *= 1 + b.s.PriceCrossZone // nothing yet to weigh it by: see crossCost
	}
	if b.s.PriceHandshake > 0 && b.connects(now, w) {
		f *= 1 + b.s.PriceHandshake
	}
	if w.zone == r.avoidZone {
		f *= 4
	}
	return f * b.sitePrice(now, w)
}

// crossCost is what a crossing adds to r's score: a share of r's worth, lost once the
// first token is past the aim. The load that would use up what is left to the aim is
// (aim - usual first) / usual first times the usual load; 0 at the aim. Before first
// tokens are known, guardFactor prices a crossing.
func (b *Balancer) crossCost(r *request) float64 {
	if first := b.firstFit.mean(); first > 0 {
		return b.s.PriceCrossZone * math.Max(0, float64(b.aim(r))-first) / first * (b.meanLoad + b.meanHold)
	}
	return 0
}

// connects tells whether a dispatch to w needs a new connection.
func (b *Balancer) connects(now Micros, w *row) bool {
	if len(w.open) == 0 && now-w.usedAt > b.s.ConnIdle {
		return true
	}
	return len(w.open) >= w.conns*max(1, b.s.ConnStreams)
}

// discharge takes the end of an attempt off the ledger and into the health.
func (b *Balancer) discharge(now Micros, a *attempt, o Outcome) {
	w := a.row
	b.release(w, a, true)
	b.hear(now, w, o.Status, false)
	w.usedAt = now
	if o.Status == ConnectFailed || o.Status == ConnBroken {
		w.conns = 0
	}
	switch o.Status {
	case Served:
		b.answered(w)
		w.errors *= 0.8
	case Errored, ConnectFailed, ConnBroken:
		b.failed(now, w, o.Status)
	case Spoilt: // from a good worker too: weighs, but is no reason to rest
		w.errors += 0.2 * (1 - w.errors)
	case Shed:
		// Full: what its last report said is wrong. Take it for as loaded as
		// twice the fleet until a newer report comes.
		b.setHeld(now, w, math.Max(w.held, 2*b.meanLoad/w.slow))
	}
}

// answered clears what stood against w.
func (b *Balancer) answered(w *row) {
	w.fails, w.retryAt = 0, 0
}

// failed notes a failure. Quick errors free memory and would top the scan: the
// replica rests, longer each time, and comes back one attempt at a time.
func (b *Balancer) failed(now Micros, w *row, s Status) {
	if b.sites.Lost(w.zone) {
		return // its site's failure, not its own
	}
	w.errors += 0.2 * (1 - w.errors)
	w.fails++
	many := 1.0
	if b.sparse() {
		many = b.sharers() / sparseFrom
	}
	rests := site.Rests{First: backoffFirst, Most: backoffMost}
	w.retryAt = now + rests.Rest(w.fails, s != Errored, many, b.random())
}

// mayRetry tells whether the budget allows a further attempt after s. What
// never ran cost no work.
func (b *Balancer) mayRetry(s Status) bool {
	if s.NeverRan() {
		return true
	}
	if b.retries < 1 {
		return false
	}
	b.retries--
	return true
}

// noteArrival counts a request.
func (b *Balancer) noteArrival(r *request) {
	b.notePrefix(r)
	mean(&b.meanWork, b.work(r))
	if r.tenant >= 0 {
		b.usedNow[r.tenant]++
	}
	calm := 1 - b.late // budgets of further attempts shrink as the fleet falls behind
	b.hedges = math.Min(budgetCap, b.hedges+cmp.Or(b.s.HedgeShare, hedgeShare)*calm)
	b.retries = math.Min(budgetCap, b.retries+cmp.Or(b.s.RetryShare, retryShare)*calm)
}

// worth is what r is worth a token of its charge.
func (b *Balancer) worth(r *request) float64 {
	v := b.cls(r).Worth
	if r.Factor > 0 {
		v *= r.Factor
	} else if r.tenant >= 0 {
		quota := b.s.Tenants[r.tenant].QuotaPerS / float64(b.s.Gateways)
		if b.usage[r.tenant] > 1.25*quota {
			v *= b.s.OverShareWorth
		}
	}
	return v / (readCost*float64(r.PromptTokens)*(1-b.stats[r.class].kept) + b.holdTokens(r))
}

// admit refuses early, what is worth least for its work first, once this
// gateway holds as many tokens open as went together with lateness. A limit on
// what is open lets in again as soon as work ends; a limit on what comes in
// kept refusing long after the fleet stood idle.
func (b *Balancer) admit(r *request) bool {
	mean(&b.worthPerToken, b.worth(r))
	if b.openLimit == 0 {
		return true
	}
	return b.openTokens+b.random()*b.holdTokens(r) <= b.part(r)*b.openLimit
}

// part is the part of the limit that r may fill, by its worth.
func (b *Balancer) part(r *request) float64 {
	return math.Max(leastPart, math.Min(1, b.worth(r)/b.worthPerToken))
}

// noteFirst takes the lateness of a request whose answer begins. One whose aim
// passed before was counted then: counted when its answer came, seconds later,
// the jam of before went on closing the limit of an idle fleet.
func (b *Balancer) noteFirst(r *request, tooSlow bool) {
	if !r.late {
		b.noteLate(one(tooSlow))
	}
}

// noteLate moves the limit by one request's lateness, down from what is open. It
// holds still where a share of lateMost comes late.
func (b *Balancer) noteLate(late float64) {
	b.late += learnRate * (late - b.late)
	if late > 0 && (b.openLimit > 0 || b.late > lateMost) {
		if most := math.Max(b.openMean, b.openTokens); b.openLimit == 0 || b.openLimit > most {
			b.openLimit = most
		}
		b.openLimit = math.Max(math.Max(b.meanHold, b.openFloor), b.openLimit*(1-learnRate))
	} else {
		b.openLimit *= 1 + learnRate*lateMost/(1-lateMost)
	}
}

// tooSlow tells whether streams like r's now run slower than their token aim.
// Nobody tells the length of an answer, so a stream's end does not show its
// pace; but a first token waits for about one step beside its own reading, and
// each further token takes a step. What a step takes with nothing else to do
// stands in the least time seen, with the network's, and is put at a third of
// the aim. Without this, a fleet that answers at once but streams too slowly
// for its aims takes on all that comes.
func (b *Balancer) tooSlow(r *request, a *attempt) bool {
	aim := float64(b.cls(r).TokenAim)
	if aim == 0 || b.firstFit.n < 16 {
		return false
	}
	step := float64(a.opened) - a.unread*b.firstFit.slope()
	at := 2 * a.row.zone // the least differs by zone and, by the handshake, for new connections
	if a.connected {
		at++
	}
	floor := b.paceFloor[at]
	if floor == 0 || step > 0 && step < floor {
		floor = math.Max(1, step)
		b.paceFloor[at] = floor
	}
	if step-floor > b.pace { // follows the median
		b.pace += learnRate * aim
	} else {
		b.pace -= learnRate * aim
	}
	// Streams that tell their length must bear it out: a new gateway guesses badly.
	return b.pace > aim*paceOver && (!b.told || b.slowStreams > lateMost)
}

// notePace takes the time of a whole stream against what its tokens may take.
func (b *Balancer) notePace(took, most float64) {
	if most > 0 {
		b.told = true
		b.slowStreams += 2 * learnRate * (one(took > most) - b.slowStreams)
	}
}

// retryAfter is the hint that goes with a refusal of r: when what stands over
// r's part of the limit will have ended, at the pace at which requests end. It
// is kept within a part of r's aim, for an answer past that is worth little, and
// scattered, so that those refused together do not come back together.
func (b *Balancer) retryAfter(r *request) Micros {
	if !b.s.RetryAfter {
		return 0
	}
	wait := 0.0
	if over := b.openTokens + b.holdTokens(r) - b.part(r)*b.openLimit; b.openLimit > 0 && over > 0 {
		wait = b.lifetime * over / (b.openTokens + b.holdTokens(r))
	}
	aim := float64(b.aim(r))
	wait = math.Max(aim*comeBackFirst, math.Min(aim*comeBackLast, wait)) * (0.75 + 0.5*b.random())
	return min(b.s.MaxRetryAfter, int64(wait))
}

// tick is the upkeep.
func (b *Balancer) tick(now Micros) {
	dt := math.Max(1e-3, float64(now-b.lastTick)/1e6)
	b.lastTick = now
	const span = 8.0 // seconds over which rates are averaged
	g := math.Min(1, dt/span)
	b.sendRate += g * (b.sentNow/dt - b.sendRate)
	b.sentNow = 0
	for i := range b.usage {
		b.usage[i] += g * (b.usedNow[i]/dt - b.usage[i])
		b.usedNow[i] = 0
	}
	// What was seen fades with time too: a gateway that refuses most of what
	// comes sees too little to find out that the jam is over.
	b.late *= 1 - math.Min(1, dt/lateFades)
	b.pace *= 1 - math.Min(1, dt/lateFades)
	b.openMean += math.Min(1, dt/2) * (b.openTokens - b.openMean)
	if b.openLimit > 4*b.openMean+b.meanHold {
		b.openLimit = 0 // far from binding
	}
	b.openLimit *= 1 + openGrows*dt
	b.openFloor = b.openLimit * closesMost
	b.followList(now)
	b.refresh(now)
	b.probe(now)
	b.trySites(now)
}

// probe asks replicas for reports where those come no other way. The gateways
// share the work by hash, and tell each other, where they may.
func (b *Balancer) probe(now Micros) {
	if !b.s.MayProbe || b.s.ReportVia == ReportNone || b.sparse() {
		return
	}
	for _, w := range b.rows {
		if w.state != MemberReady || w.probing {
			continue
		}
		age := now - max(w.reportAt, w.probed)
		due := b.probeInterval()
		if b.s.MayTellPeers && !b.owns(w) {
			// Its owner is silent: step in, but not all of us at once.
			if age < 3*due || b.random() > 2/float64(b.s.Gateways) {
				continue
			}
		}
		if age >= due {
			b.ask(now, w)
		}
	}
}

// probeInterval is no faster than reports are renewed. Where peers do not share
// the work, it keeps probes to a part of the requests, within their price.
func (b *Balancer) probeInterval() Micros {
	const each Micros = 1_000_000
	const mostShare, mostCost = 0.25, 0.005 // probes, and points for them, a request
	if b.s.MayTellPeers || b.sendRate <= 0 {
		return each
	}
	rate := mostShare * b.sendRate
	if b.s.PriceProbe > 0 {
		rate = math.Min(rate, mostCost/b.s.PriceProbe*b.sendRate)
	}
	return max(each, int64(1e6*float64(b.ready)/rate))
}

// owns tells whether this gateway is the one that probes w, by rendezvous.
func (b *Balancer) owns(w *row) bool {
	best, owner := uint64(0), 0
	for i := range b.s.Gateways {
		if h := mix(w.hash ^ uint64(i+1)); h > best {
			best, owner = h, i
		}
	}
	return owner == b.s.Self
}

// ProbeEnded takes a probe's result.
func (b *Balancer) ProbeEnded(now Micros, o Outcome) {
	w := b.byID[o.Replica]
	if w == nil {
		return
	}
	w.probing = false
	if b.sparse() {
		defer b.resume(now)
	}
	b.hear(now, w, o.Status, true)
	if o.Status != Served {
		if o.Status == ConnectFailed || o.Status == Errored || o.Status == TimedOut && b.sparse() {
			b.failed(now, w, o.Status)
		}
		return
	}
	w.provedAt = w.probed
	b.report(now, w, o.Report)
	if w.retryAt > 0 && w.errors < 0.1 {
		b.answered(w)
	}
	if b.s.MayTellPeers && b.s.Gateways > 1 && w.reportAt == now {
		b.out.TellPeers(b.relay(nil, w))
	}
}
