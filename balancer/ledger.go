package balancer

import "math"

// The ledger of own dispatches: each attempt is charged to its replica's row from
// its dispatch to its end, first with its prefill and what it holds, after the first
// token with what it holds.

const (
	// prefillCost is the charge of a prompt token that needs prefill, in held tokens:
	// prefill takes a replica's whole step, holding a part of it.
	prefillCost = 4.0
	// reportLag is how long before its arrival a report may have been taken: charges
	// younger than that are not in it. Reports are refreshed about once a second.
	reportLag Micros = 1_000_000
)

// expectedHeldTokens is what a request will hold while it runs: its prompt and its answer.
func (b *Balancer) expectedHeldTokens(req *request) float64 {
	answer := float64(req.MaxTokens) / 4 // limits are seldom reached
	objective := b.classOf(req).TokenObjective
	if stats := &b.stats[req.classIndex]; stats.streamTime > 0 && objective > 0 {
		// Healthy streams take about half of the token objective.
		answer = math.Min(float64(req.MaxTokens), 2*stats.streamTime/float64(objective))
	}
	return float64(req.PromptTokens) + answer
}

// workTokens is what a request takes of a replica that has nothing of it cached, in
// held tokens.
func (b *Balancer) workTokens(req *request) float64 {
	return prefillCost*float64(req.PromptTokens) + b.expectedHeldTokens(req)
}

// charge is what the ledger has for an attempt, in held tokens.
func (a *attempt) charge() float64 {
	if a.timeToFirstToken > 0 {
		return a.heldTokens
	}
	return a.prefillCharge + a.heldTokens
}

// chargeLedger enters a dispatch in the ledger.
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
	b.zones.TakeTrial(now, row.zone, 0.5) // without health checks this dispatch is the trial of an unavailable zone
}

// needsConnection reports whether a dispatch to a replica needs a new connection.
func (b *Balancer) needsConnection(now Micros, row *replicaRow) bool {
	if len(row.ledger) == 0 && now-row.lastUsedAt > b.settings.ConnIdleTimeout {
		return true
	}
	return len(row.ledger) >= row.openConns*max(1, b.settings.StreamsPerConn)
}

// releasePrefill takes an attempt's prefill off the ledger, at its first token.
func (b *Balancer) releasePrefill(a *attempt) {
	row := a.row
	row.charge -= a.prefillCharge
	row.unreported = math.Max(0, row.unreported-a.prefillCharge)
}

// releaseCharge takes an attempt off the ledger, at its end.
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
		row.charge, row.unreported = 0, 0 // no rounding errors stay
	}
}

// closeLedgerEntry takes an attempt that has ended off the ledger, and its end into
// the replica's health.
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
	case Malformed: // a healthy replica may send one too: it counts, but without backoff
		row.countError()
	case Shed:
		// The replica is full, so its last report is wrong. Until a newer one comes it
		// counts as loaded as twice the fleet.
		b.setReportedLoad(now, row, math.Max(row.reportedTokens, 2*b.meanLoad/row.slowness))
	}
}
