package balancer

import "math"

// The ledger of this gateway's dispatches. Each attempt is charged to its replica's row
// from dispatch to end: the prefill until the first token, the held tokens throughout.

const (
	// prefillCost is the charge for prefilling one prompt token, in held tokens. Prefill
	// occupies a replica's whole step, a held token only part of it.
	prefillCost = 4.0
	// reportLag is the maximum age of a load report on arrival: newer charges are not
	// included in it. Reports are refreshed about once a second.
	reportLag Micros = 1_000_000
)

// expectedHeldTokens returns the tokens that a request is expected to hold while it runs,
// its prompt and its answer.
func (b *Balancer) expectedHeldTokens(req *request) float64 {
	answer := float64(req.MaxTokens) / 4 // answers are usually shorter than the limit
	objective := b.classOf(req).TokenObjective
	if stats := &b.stats[req.classIndex]; stats.streamTime > 0 && objective > 0 {
		// Healthy streams take about half of the token objective.
		answer = math.Min(float64(req.MaxTokens), 2*stats.streamTime/float64(objective))
	}
	return float64(req.PromptTokens) + answer
}

// workTokens returns the cost of a request at a replica that has none of its prompt
// cached, in held tokens.
func (b *Balancer) workTokens(req *request) float64 {
	return prefillCost*float64(req.PromptTokens) + b.expectedHeldTokens(req)
}

// charge returns the ledger's present charge for an attempt, in held tokens.
func (a *attempt) charge() float64 {
	if a.timeToFirstToken > 0 {
		return a.heldTokens
	}
	return a.prefillCharge + a.heldTokens
}

// chargeLedger adds a dispatch to the ledger and updates the averages over dispatches.
func (b *Balancer) chargeLedger(now Micros, row *replicaRow, a *attempt) {
	a.newConn = b.needsConnection(now, row)
	if a.newConn {
		row.openConns = len(row.ledger)/max(1, b.settings.StreamsPerConn) + 1
	}
	row.lastUsedAt = now
	row.ledger = append(row.ledger, a)
	charge := a.charge()
	row.charge += charge
	row.unreported += charge
	b.inFlightTokens += a.heldTokens
	updateMean(&b.meanHeldTokens, a.heldTokens)
	updateMean(&b.meanCharge, charge)
	b.dispatchesSinceTick++
	b.zones.TakeTrial(now, row.zone, 0.5) // without health checks, requests are the trials of an unavailable zone
}

// needsConnection reports whether a dispatch to a replica needs a new connection.
func (b *Balancer) needsConnection(now Micros, row *replicaRow) bool {
	if len(row.ledger) == 0 && now-row.lastUsedAt > b.settings.ConnIdleTimeout {
		return true
	}
	return len(row.ledger) >= row.openConns*max(1, b.settings.StreamsPerConn)
}

// releasePrefill removes an attempt's prefill charge at its first token.
func (b *Balancer) releasePrefill(a *attempt) {
	row := a.row
	row.charge -= a.prefillCharge
	row.unreported = math.Max(0, row.unreported-a.prefillCharge)
}

// releaseCharge removes an attempt and its charge from the ledger at its end.
func (b *Balancer) releaseCharge(a *attempt) {
	row := a.row
	for i, entry := range row.ledger {
		if entry == a {
			row.ledger = append(row.ledger[:i], row.ledger[i+1:]...)
			break
		}
	}
	charge := a.charge()
	row.charge -= charge
	row.unreported = math.Max(0, row.unreported-charge)
	b.inFlightTokens -= a.heldTokens
	if len(row.ledger) == 0 {
		row.charge, row.unreported = 0, 0 // clears accumulated rounding errors
	}
}

// closeLedgerEntry removes an ended attempt from the ledger and records its status in the
// health of the replica and its zone.
func (b *Balancer) closeLedgerEntry(now Micros, a *attempt, status Status) {
	row := a.row
	b.releaseCharge(a)
	b.recordAnswer(now, row, status, false)
	row.lastUsedAt = now
	if status == ConnectFailed || status == ConnBroken {
		row.openConns = 0
	}
	switch status {
	case Served:
		row.clearFailures()
		row.errorRate *= errorRateDecay
	case Errored, ConnectFailed, ConnBroken:
		b.recordFailure(now, row, status)
	case Malformed: // counted without backoff, because a healthy replica may send one too
		row.countError()
	case Shed:
		// The replica is full, so its last report is out of date. Until the next report,
		// assume at least twice the fleet's mean load.
		b.setReportedLoad(now, row, math.Max(row.reportedTokens, 2*b.meanLoad/row.slowness))
	}
}
