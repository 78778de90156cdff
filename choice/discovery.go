package choice

// Following discovery: the list's news, when discovery is asked again, and for how long what
// it told is trusted. Whom to send to stands in the table and the guard.

const (
	// toldWithin is the protocol's clock for discovery: whatever became of a call, a change
	// counts as told so long after discovery had it and could be reached.
	toldWithin Micros = 6_000_000
	// askFirst and askMost bound the wait before discovery is asked again after a failed call,
	// where it takes the calls of all gateways at once: with a short call before and one
	// behind it well within toldWithin. askPushed is that wait for an agent on this machine,
	// which answers at no cost.
	askFirst, askMost, askPushed Micros = 250_000, 1_000_000, 200_000
	// askSilence is when an order to watch is repeated if no answer to it comes at all.
	askSilence Micros = 5_000_000
	// askEach is discovery's time for one gateway's call, and spreadMost bounds the turns of
	// all of them.
	askEach, spreadMost Micros = 110_000, 8_000_000
	// fewCalls is what the calls of all gateways may take together without turns.
	fewCalls Micros = 500_000
	// proveAhead is how long before a replica would be doubted it is asked for a sign, and
	// proveEach how often.
	proveAhead, proveEach Micros = 1_500_000, 500_000
)

// ListChanged takes news of the fleet. Rule 3: what drains or is gone gets
// nothing from this moment on, which is within any grace.
func (b *Balancer) ListChanged(now Micros, l ServerList) {
	if l.Kind.Failed() {
		if b.s.AskRegistry {
			b.askAgain(now, l.Kind == ListUnreached)
		}
		return
	}
	if l.Kind.Heard() {
		b.watching, b.askBackoff, b.askAt, b.toldAt = true, 0, 0, now
	}
	if l.Kind.Whole() {
		seen := make(map[ReplicaID]bool, len(l.Members))
		for _, m := range l.Members {
			seen[m.Replica] = true
		}
		for _, w := range b.rows {
			if !seen[w.id] {
				w.state = MemberGone
			}
		}
	}
	b.fleet = l.Fleet
	for _, m := range l.Members {
		b.listed(now, m, !b.firstList)
	}
	if l.Kind.Heard() {
		b.firstList = true
	}
	keep := b.rows[:0]
	for _, w := range b.rows {
		if w.state == MemberGone && len(w.open) == 0 {
			delete(b.byID, w.id)
			continue
		}
		keep = append(keep, w)
	}
	clear(b.rows[len(keep):])
	b.rows = keep
	b.rehash()
	b.refresh(now)
}

// askSpread is over how long the gateways' calls must be apart for discovery to answer
// all; 0: it takes them at once. It works for calls too that it will not
// answer in time: eighty at once kept it busy for ten seconds with seventeen answers,
// and with all asking again within seconds it answered none.
func (b *Balancer) askSpread() Micros {
	if all := Micros(b.s.Gateways) * askEach; all > fewCalls && !b.s.ListsPushed {
		return min(all, spreadMost)
	}
	return 0
}

func (b *Balancer) watch(now Micros) {
	b.askAt = now + askSilence
	b.out.WatchRegistry()
}

// askAgain sets when discovery is asked after a call that failed. Calls fail when all ask at
// once: the wait doubles, and is scattered. One that did not even connect has cost discovery
// nothing, tells nothing of its load, and shows that there was nothing to be told till now.
func (b *Balancer) askAgain(now Micros, unreached bool) {
	b.watching = false
	spread := b.askSpread()
	first, most := max(askFirst, spread), max(askMost, 2*spread)
	switch {
	case b.s.ListsPushed:
		first, most = askPushed, askPushed
	case unreached && !b.firstList && b.ready == 0: // it cannot serve before
		first, most = max(askFirst, spread/8), max(askMost, spread/4)
	case unreached:
		most = max(askMost, spread)
	}
	if unreached {
		b.toldAt = now
	}
	b.askBackoff = min(most, max(first, 2*b.askBackoff))
	b.askAt = now + int64(float64(b.askBackoff)*(0.5+0.5*b.random()))
}

// doubted tells that w may be draining or gone by now without this gateway's having heard of
// it: neither has discovery answered for as long as a change may take to count as told, nor
// has w itself taken work or answered a probe, which one that drains does not.
func (b *Balancer) doubted(now Micros, w *row) bool {
	return b.s.WatchWait > 0 && now-max(b.toldAt, w.provedAt) >= toldWithin
}

// followList asks discovery when it is time, and replicas for a sign before they are doubted.
// In large fleets requests ask: see inquire.
func (b *Balancer) followList(now Micros) {
	if b.askAt > 0 && now >= b.askAt && !b.watching {
		b.watch(now)
	}
	if b.s.WatchWait <= 0 || !b.s.MayProbe || b.sparse() || now-b.toldAt < toldWithin-proveAhead {
		return
	}
	for _, w := range b.rows {
		if w.state == MemberReady && !w.probing && now-w.provedAt >= toldWithin-proveAhead && now-w.probed >= proveEach {
			b.ask(now, w)
		}
	}
}
