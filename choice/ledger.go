package choice

// The rows as reports and own dispatches fill them. No decision stands here.

import "math"

// report takes a replica's own account of its load.
func (b *Balancer) report(now Micros, w *row, in Report) {
	if in.Has == 0 {
		return
	}
	tokens := 0.0
	hasShare := in.Has&HasMemory != 0
	share := in.MemoryShare
	if !hasShare && in.Has&HasUtil != 0 {
		hasShare, share = true, in.Util
	}
	if hasShare {
		b.fitRatio(w, share, in)
		if w.ratio > 0 {
			tokens = share / w.ratio
		}
	}
	if in.Has&HasUtil != 0 && in.Has&HasInFlight != 0 && in.InFlight >= 1 && in.Util > 0 {
		mean(&b.slotShare, in.Util/in.InFlight)
	}
	if in.Has&HasUtil != 0 && now >= w.coldUntil {
		b.util += (math.Max(0, math.Min(1, in.Util)) - b.util) / 8
	}
	// What waits is held soon: prompts still to be read, requests in the queue.
	switch {
	case in.Has&HasUnread != 0:
		tokens += readCost * 1000 * in.UnreadK
	case in.Has&HasQueued != 0:
		tokens += in.Queued * b.meanCharge
	case in.Has&HasInFlight != 0:
		tokens = math.Max(tokens, in.InFlight*b.meanHold)
	}
	if in.Has&HasService != 0 && in.ServiceMs > 0 {
		b.noteService(now, w, in.ServiceMs)
	}
	if w.live > 0 && hasShare {
		s := tokens / w.live
		if b.liveScale == 0 {
			b.liveScale = s
		}
		b.liveScale += learnRate * (s - b.liveScale)
	}
	b.setHeld(now, w, tokens)
}

// liveWeight takes a registry weight as a dated report of requests held.
func (b *Balancer) liveWeight(now Micros, w *row, weight float64) {
	k := &b.kinds[w.kind]
	k.idleWeight = math.Max(k.idleWeight, weight)
	load := k.idleWeight/weight - 1
	if b.liveScale > 0 {
		b.setHeld(now, w, load*b.liveScale)
	}
	w.live = load
}

// setHeld dates a report and finds the charges that are too young for it.
func (b *Balancer) setHeld(now Micros, w *row, tokens float64) {
	w.held, w.reportAt, w.unseen = tokens, now, 0
	for _, a := range w.open {
		if a.sent > now-reportLag {
			w.unseen += a.charge()
		}
	}
}

// startCold marks w as freshly started.
func (b *Balancer) startCold(w *row, at Micros) {
	w.coldFrom, w.coldUntil = at, at+b.s.ColdFor
	w.fails, w.errors, w.retryAt = 0, 0, 0
}

func (a *attempt) charge() float64 {
	if a.opened > 0 {
		return a.hold
	}
	return a.read + a.hold
}

// release takes the reading part, or with all the whole charge, off the ledger.
func (b *Balancer) release(w *row, a *attempt, all bool) {
	if !all {
		w.charge -= a.read
		w.unseen = math.Max(0, w.unseen-a.read)
		return
	}
	for i, o := range w.open {
		if o == a {
			w.open = append(w.open[:i], w.open[i+1:]...)
			break
		}
	}
	c := a.charge()
	w.charge -= c
	w.unseen = math.Max(0, w.unseen-c)
	b.openTokens -= a.hold
	if len(w.open) == 0 {
		w.charge, w.unseen = 0, 0
	}
}

// shorten enters a candidate in the short list, least score first.
func (b *Balancer) shorten(c candidate) {
	for i := range b.short {
		if o := b.short[i]; o.row == nil || c.score < o.score {
			b.short[i], c = c, o
			if c.row == nil {
				return
			}
		}
	}
}
