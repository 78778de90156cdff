package balancer

import "math"

// applyReport enters a replica's load report in its row. An empty report is ignored.
func (b *Balancer) applyReport(now Micros, row *replicaRow, report LoadReport) {
	if report.Has == 0 {
		return
	}
	tokens := 0.0
	capacity, hasCapacity := report.usedCapacity()
	if hasCapacity {
		b.fitMemoryRatio(row, capacity, report)
		if row.memoryPerToken > 0 {
			tokens = capacity / row.memoryPerToken
		}
	}
	b.learnUtilization(now, row, report)
	tokens = b.addBacklog(tokens, report)
	if report.Has&HasService != 0 && report.ServiceMs > 0 {
		b.recordServiceTime(now, row, report.ServiceMs)
	}
	if row.liveLoad > 0 && hasCapacity {
		ratio := tokens / row.liveLoad
		if b.tokensPerLiveLoad == 0 {
			b.tokensPerLiveLoad = ratio
		}
		b.tokensPerLiveLoad += learnRate * (ratio - b.tokensPerLiveLoad)
	}
	b.setReportedLoad(now, row, tokens)
}

// usedCapacity returns the fraction of a replica that is in use according to a report: its
// memory, or else its utilization.
func (r *LoadReport) usedCapacity() (fraction float64, ok bool) {
	switch {
	case r.Has&HasMemory != 0:
		return r.MemoryShare, true
	case r.Has&HasUtilization != 0:
		return r.Utilization, true
	}
	return 0, false
}

// learnUtilization updates the means of utilization per request and of warm replicas.
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

// addBacklog adds the load that waits at a replica to the tokens that it holds, since it will
// be held soon: prompts that wait for prefill, or queued requests. A report of neither implies
// at least the load of its requests in flight.
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

// applyLiveWeight treats a live weight of the endpoint list as a report of requests in flight.
func (b *Balancer) applyLiveWeight(now Micros, row *replicaRow, weight float64) {
	kind := &b.kinds[row.kind]
	kind.idleWeight = math.Max(kind.idleWeight, weight)
	load := kind.idleWeight/weight - 1
	if b.tokensPerLiveLoad > 0 {
		b.setReportedLoad(now, row, load*b.tokensPerLiveLoad)
	}
	row.liveLoad = load
}

// setReportedLoad records a report of held tokens that arrives now, and sums the charges that
// are too recent to be in it.
func (b *Balancer) setReportedLoad(now Micros, row *replicaRow, tokens float64) {
	row.reportedTokens, row.reportedAt, row.unreported = tokens, now, 0
	for _, a := range row.ledger {
		if a.sentAt > now-reportLag {
			row.unreported += a.charge()
		}
	}
}

// fitMemoryRatio fits the fraction of a replica's memory that a token takes, starting from
// the fleet's mean.
func (b *Balancer) fitMemoryRatio(row *replicaRow, memoryFraction float64, report LoadReport) {
	if memoryFraction <= 0 || b.meanHeldTokens <= 0 {
		return
	}
	tokens := 0.0
	if report.Has&HasInFlight != 0 {
		tokens = report.InFlight * b.meanHeldTokens
	} else if b.readyCount > 0 { // assume that all gateways send equally, and evenly to all replicas
		tokens = b.inFlightTokens * b.gatewaysPerReplica() / float64(b.readyCount)
	}
	if tokens < b.meanHeldTokens/2 {
		return
	}
	ratio := memoryFraction / tokens
	if b.memoryPerToken == 0 {
		b.memoryPerToken = ratio
	}
	b.memoryPerToken += learnRate * (ratio - b.memoryPerToken)
	if report.Has&HasInFlight == 0 {
		row.memoryPerToken = b.memoryPerToken // without a count of the replica's requests, use the fleet's mean
		return
	}
	const prior = 4 // weight of the fleet's ratio, in reports
	row.memoryPerTokenSamples = math.Min(row.memoryPerTokenSamples+1, 1/learnRate)
	if row.memoryPerToken == 0 {
		row.memoryPerToken = b.memoryPerToken
	}
	row.memoryPerToken += (ratio - row.memoryPerToken) / (row.memoryPerTokenSamples + prior)
}
