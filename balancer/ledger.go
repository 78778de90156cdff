package balancer

// The rows as reports and own dispatches fill them. No decision stands here.

import "math"

// applyReport takes a replica's own account of its load.
func (b *Balancer) applyReport(now Micros, row *replicaRow, report LoadReport) {
	if report.Has == 0 {
		return
	}
	tokens := 0.0
	hasShare := report.Has&HasMemory != 0
	share := report.MemoryShare
	if !hasShare && report.Has&HasUtilization != 0 {
		hasShare, share = true, report.Utilization
	}
	if hasShare {
		b.fitMemoryRatio(row, share, report)
		if row.memoryPerToken > 0 {
			tokens = share / row.memoryPerToken
		}
	}
	if report.Has&HasUtilization != 0 && report.Has&HasInFlight != 0 && report.InFlight >= 1 && report.Utilization > 0 {
		updateMean(&b.meanSlotShare, report.Utilization/report.InFlight)
	}
	if report.Has&HasUtilization != 0 && now >= row.warmingUntil {
		b.warmUtilization += (math.Max(0, math.Min(1, report.Utilization)) - b.warmUtilization) / 8
	}
	// What waits is held soon: prompts still to be read, requests in the queue.
	switch {
	case report.Has&HasPrefillBacklog != 0:
		tokens += prefillCost * 1000 * report.PrefillBacklogK
	case report.Has&HasQueued != 0:
		tokens += report.Queued * b.meanCharge
	case report.Has&HasInFlight != 0:
		tokens = math.Max(tokens, report.InFlight*b.meanHeldTokens)
	}
	if report.Has&HasService != 0 && report.ServiceMs > 0 {
		b.recordServiceTime(now, row, report.ServiceMs)
	}
	if row.liveLoad > 0 && hasShare {
		s := tokens / row.liveLoad
		if b.tokensPerLiveLoad == 0 {
			b.tokensPerLiveLoad = s
		}
		b.tokensPerLiveLoad += learnRate * (s - b.tokensPerLiveLoad)
	}
	b.setReportedLoad(now, row, tokens)
}

// applyLiveWeight takes a registry weight as a dated report of requests held.
func (b *Balancer) applyLiveWeight(now Micros, row *replicaRow, weight float64) {
	kind := &b.kinds[row.kind]
	kind.idleWeight = math.Max(kind.idleWeight, weight)
	load := kind.idleWeight/weight - 1
	if b.tokensPerLiveLoad > 0 {
		b.setReportedLoad(now, row, load*b.tokensPerLiveLoad)
	}
	row.liveLoad = load
}

// setReportedLoad dates a report and finds the charges that are too young for it.
func (b *Balancer) setReportedLoad(now Micros, row *replicaRow, tokens float64) {
	row.reportedTokens, row.reportedAt, row.unreported = tokens, now, 0
	for _, a := range row.ledger {
		if a.sentAt > now-reportLag {
			row.unreported += a.charge()
		}
	}
}

// beginSlowStart marks w as freshly started.
func (b *Balancer) beginSlowStart(row *replicaRow, at Micros) {
	row.warmingSince, row.warmingUntil = at, at+b.settings.SlowStartFor
	row.consecutiveFailures, row.errorRate, row.backoffUntil = 0, 0, 0
}

func (a *attempt) charge() float64 {
	if a.timeToFirstToken > 0 {
		return a.heldTokens
	}
	return a.prefillCharge + a.heldTokens
}

// releaseCharge takes the reading part, or with all the whole charge, off the ledger.
func (b *Balancer) releaseCharge(row *replicaRow, a *attempt, all bool) {
	if !all {
		row.charge -= a.prefillCharge
		row.unreported = math.Max(0, row.unreported-a.prefillCharge)
		return
	}
	for i, o := range row.ledger {
		if o == a {
			row.ledger = append(row.ledger[:i], row.ledger[i+1:]...)
			break
		}
	}
	c := a.charge()
	row.charge -= c
	row.unreported = math.Max(0, row.unreported-c)
	b.inFlightTokens -= a.heldTokens
	if len(row.ledger) == 0 {
		row.charge, row.unreported = 0, 0
	}
}

// addToShortlist enters a candidate in the short list, least score first.
func (b *Balancer) addToShortlist(next candidate) {
	for i := range b.shortlist {
		if o := b.shortlist[i]; o.row == nil || next.score < o.score {
			b.shortlist[i], next = next, o
			if next.row == nil {
				return
			}
		}
	}
}
