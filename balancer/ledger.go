package balancer

// The rows as reports and own dispatches fill them. No decision stands here.

import "math"

// applyReport takes a replica's own account of its load.
func (b *Balancer) applyReport(now Micros, w *replicaRow, in LoadReport) {
	if in.Has == 0 {
		return
	}
	tokens := 0.0
	hasShare := in.Has&HasMemory != 0
	share := in.MemoryShare
	if !hasShare && in.Has&HasUtilization != 0 {
		hasShare, share = true, in.Utilization
	}
	if hasShare {
		b.fitMemoryRatio(w, share, in)
		if w.memoryPerToken > 0 {
			tokens = share / w.memoryPerToken
		}
	}
	if in.Has&HasUtilization != 0 && in.Has&HasInFlight != 0 && in.InFlight >= 1 && in.Utilization > 0 {
		updateMean(&b.meanSlotShare, in.Utilization/in.InFlight)
	}
	if in.Has&HasUtilization != 0 && now >= w.warmingUntil {
		b.warmUtilization += (math.Max(0, math.Min(1, in.Utilization)) - b.warmUtilization) / 8
	}
	// What waits is held soon: prompts still to be read, requests in the queue.
	switch {
	case in.Has&HasPrefillBacklog != 0:
		tokens += prefillCost * 1000 * in.PrefillBacklogK
	case in.Has&HasQueued != 0:
		tokens += in.Queued * b.meanCharge
	case in.Has&HasInFlight != 0:
		tokens = math.Max(tokens, in.InFlight*b.meanHeldTokens)
	}
	if in.Has&HasService != 0 && in.ServiceMs > 0 {
		b.recordServiceTime(now, w, in.ServiceMs)
	}
	if w.liveLoad > 0 && hasShare {
		s := tokens / w.liveLoad
		if b.tokensPerLiveLoad == 0 {
			b.tokensPerLiveLoad = s
		}
		b.tokensPerLiveLoad += learnRate * (s - b.tokensPerLiveLoad)
	}
	b.setReportedLoad(now, w, tokens)
}

// applyLiveWeight takes a registry weight as a dated report of requests held.
func (b *Balancer) applyLiveWeight(now Micros, w *replicaRow, weight float64) {
	k := &b.kinds[w.kind]
	k.idleWeight = math.Max(k.idleWeight, weight)
	load := k.idleWeight/weight - 1
	if b.tokensPerLiveLoad > 0 {
		b.setReportedLoad(now, w, load*b.tokensPerLiveLoad)
	}
	w.liveLoad = load
}

// setReportedLoad dates a report and finds the charges that are too young for it.
func (b *Balancer) setReportedLoad(now Micros, w *replicaRow, tokens float64) {
	w.reportedTokens, w.reportedAt, w.unreported = tokens, now, 0
	for _, a := range w.ledger {
		if a.sentAt > now-reportLag {
			w.unreported += a.charge()
		}
	}
}

// beginSlowStart marks w as freshly started.
func (b *Balancer) beginSlowStart(w *replicaRow, at Micros) {
	w.warmingSince, w.warmingUntil = at, at+b.settings.SlowStartFor
	w.consecutiveFailures, w.errorRate, w.backoffUntil = 0, 0, 0
}

func (a *attempt) charge() float64 {
	if a.timeToFirstToken > 0 {
		return a.heldTokens
	}
	return a.prefillCharge + a.heldTokens
}

// releaseCharge takes the reading part, or with all the whole charge, off the ledger.
func (b *Balancer) releaseCharge(w *replicaRow, a *attempt, all bool) {
	if !all {
		w.charge -= a.prefillCharge
		w.unreported = math.Max(0, w.unreported-a.prefillCharge)
		return
	}
	for i, o := range w.ledger {
		if o == a {
			w.ledger = append(w.ledger[:i], w.ledger[i+1:]...)
			break
		}
	}
	c := a.charge()
	w.charge -= c
	w.unreported = math.Max(0, w.unreported-c)
	b.inFlightTokens -= a.heldTokens
	if len(w.ledger) == 0 {
		w.charge, w.unreported = 0, 0
	}
}

// addToShortlist enters a candidate in the short list, least score first.
func (b *Balancer) addToShortlist(c candidate) {
	for i := range b.shortlist {
		if o := b.shortlist[i]; o.row == nil || c.score < o.score {
			b.shortlist[i], c = c, o
			if c.row == nil {
				return
			}
		}
	}
}
