package balancer

import "math"

// applyReport enters a replica's own account of its load in its row.
func (b *Balancer) applyReport(now Micros, row *replicaRow, report LoadReport) {
	if report.Has == 0 {
		return
	}
	tokens := 0.0
	share, hasShare := report.capacityShare()
	if hasShare {
		b.fitMemoryRatio(row, share, report)
		if row.memoryPerToken > 0 {
			tokens = share / row.memoryPerToken
		}
	}
	b.learnUtilization(now, row, report)
	tokens = b.addBacklog(tokens, report)
	if report.Has&HasService != 0 && report.ServiceMs > 0 {
		b.recordServiceTime(now, row, report.ServiceMs)
	}
	if row.liveLoad > 0 && hasShare {
		ratio := tokens / row.liveLoad
		if b.tokensPerLiveLoad == 0 {
			b.tokensPerLiveLoad = ratio
		}
		b.tokensPerLiveLoad += learnRate * (ratio - b.tokensPerLiveLoad)
	}
	b.setReportedLoad(now, row, tokens)
}

// capacityShare is the share of a replica that a report says is in use: its memory,
// else its utilization.
func (r *LoadReport) capacityShare() (share float64, ok bool) {
	switch {
	case r.Has&HasMemory != 0:
		return r.MemoryShare, true
	case r.Has&HasUtilization != 0:
		return r.Utilization, true
	}
	return 0, false
}

// learnUtilization averages what reports say of how busy replicas are.
func (b *Balancer) learnUtilization(now Micros, row *replicaRow, report LoadReport) {
	if report.Has&HasUtilization == 0 {
		return
	}
	if report.Has&HasInFlight != 0 && report.InFlight >= 1 && report.Utilization > 0 {
		updateMean(&b.meanSlotFraction, report.Utilization/report.InFlight)
	}
	if now >= row.warmingUntil {
		b.warmUtilization += (math.Max(0, math.Min(1, report.Utilization)) - b.warmUtilization) / 8
	}
}

// addBacklog adds what waits at a replica to the tokens it holds, for that is held
// soon: prompts that wait for prefill, or requests in the queue.
func (b *Balancer) addBacklog(tokens float64, report LoadReport) float64 {
	switch {
	case report.Has&HasPrefillBacklog != 0:
		tokens += prefillCost * 1000 * report.PrefillBacklogK
	case report.Has&HasQueued != 0:
		tokens += report.Queued * b.meanCharge
	case report.Has&HasInFlight != 0:
		tokens = math.Max(tokens, report.InFlight*b.meanHeldTokens)
	}
	return tokens
}

// applyLiveWeight takes a live weight of the endpoint list as a report of requests in flight.
func (b *Balancer) applyLiveWeight(now Micros, row *replicaRow, weight float64) {
	kind := &b.kinds[row.kind]
	kind.idleWeight = math.Max(kind.idleWeight, weight)
	load := kind.idleWeight/weight - 1
	if b.tokensPerLiveLoad > 0 {
		b.setReportedLoad(now, row, load*b.tokensPerLiveLoad)
	}
	row.liveLoad = load
}

// setReportedLoad dates a report of so many held tokens, and finds the charges that
// are too young to be in it.
func (b *Balancer) setReportedLoad(now Micros, row *replicaRow, tokens float64) {
	row.reportedTokens, row.reportedAt, row.unreported = tokens, now, 0
	for _, a := range row.ledger {
		if a.sentAt > now-reportLag {
			row.unreported += a.charge()
		}
	}
}

// fitMemoryRatio fits the share of its memory that a token takes at a replica, starting
// from the fleet's mean.
func (b *Balancer) fitMemoryRatio(row *replicaRow, share float64, report LoadReport) {
	if share <= 0 || b.meanHeldTokens <= 0 {
		return
	}
	tokens := 0.0
	if report.Has&HasInFlight != 0 {
		tokens = report.InFlight * b.meanHeldTokens
	} else if b.readyCount > 0 { // own tokens in flight, times the gateways, spread evenly
		tokens = b.inFlightTokens * b.gatewaysPerReplica() / float64(b.readyCount)
	}
	if tokens < b.meanHeldTokens/2 {
		return
	}
	ratio := share / tokens
	if b.memoryPerToken == 0 {
		b.memoryPerToken = ratio
	}
	b.memoryPerToken += learnRate * (ratio - b.memoryPerToken)
	if report.Has&HasInFlight == 0 {
		row.memoryPerToken = b.memoryPerToken // the report does not count this replica's requests: the fleet's mean serves
		return
	}
	const prior = 4 // reports before a replica's own ratio outweighs the fleet's
	row.memoryPerTokenSamples = math.Min(row.memoryPerTokenSamples+1, 1/learnRate)
	if row.memoryPerToken == 0 {
		row.memoryPerToken = b.memoryPerToken
	}
	row.memoryPerToken += (ratio - row.memoryPerToken) / (row.memoryPerTokenSamples + prior)
}
