package balancer

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"archknot/balancer/zonehealth"
)

// Errors of an inconsistent snapshot. They are wrapped with the field and the entry.
var (
	errSessionRingIndex = errors.New("index outside the session ring")
	errNoRow            = errors.New("attempt at a row that does not exist")
	errNoLedgerEntry    = errors.New("ledger entry for an attempt or row that does not exist")
)

// Snapshot returns the complete state of b in protobuf's wire format, as the message State of
// internal/capture/capturepb. Restore with the same settings returns a Balancer that continues
// exactly as b. Equal states give equal bytes.
//
// The snapshot contains neither the settings nor pending timers, which the owner of the sink
// has to keep.
func (b *Balancer) Snapshot() []byte {
	a := &archive{saving: true}
	b.archive(a)
	return a.out
}

// Restore returns a Balancer with the state of a Snapshot and the settings that were in force
// then. An unknown field is an error, since a Balancer with a part of the state would make
// other decisions.
func Restore(settings Settings, state []byte, sink Sink) (*Balancer, error) {
	b, err := New(settings, 0, sink)
	if err != nil {
		return nil, err
	}
	a := &archive{}
	a.parse(state)
	b.zoneIndex, b.kindIndex, b.kinds = map[string]int{}, map[string]int{}, nil
	b.archive(a)
	b.rebuildHashes()
	if a.finish(); a.err != nil {
		return nil, fmt.Errorf("balancer: snapshot: %w", a.err)
	}
	return b, nil
}

// archive encodes or decodes the state of b. A tag must never get another meaning: a new field
// takes a new tag. The stored messages are older than some structs here, so Table and Guard
// each hold the fields of several.
func (b *Balancer) archive(a *archive) {
	a.fixed(1, &b.seed)
	a.fixed(2, &b.rng)
	a.each(3, len(b.stats), func(n int) {
		if n != len(b.stats) {
			a.fail(fmt.Errorf("state has %d classes, settings have %d", n-1, len(b.stats)-1))
		}
	}, func(i int, entry *archive) {
		entry.float(1, &b.stats[i].streamTime)
		entry.float(2, &b.stats[i].cachedFraction)
	})
	a.message(4, b.firstTokenFit.archive)
	a.message(5, b.archiveTable)
	a.message(6, b.archiveControl)
	b.archiveRequests(a)
}

func (f *linearFit) archive(a *archive) {
	a.floatFields(1, &f.n, &f.x, &f.y, &f.xx, &f.xy)
}

// archiveTable encodes or decodes the load table except its rows, and the prompt cache, as the
// message Table.
func (b *Balancer) archiveTable(a *archive) {
	t := &b.loadTable
	a.nameIndex(1, &t.zoneIndex)
	a.nameIndex(2, &t.kindIndex)
	integer(a, 3, &t.ownZone)
	a.each(4, len(t.kinds), func(n int) { t.kinds = make([]kindStats, n) }, func(i int, entry *archive) { t.kinds[i].archive(entry) })
	integer(a, 5, &t.readyCount)
	a.floatFields(6, &t.meanLoad, &t.memoryPerToken, &t.tokensPerLiveLoad, &t.meanLifetime, &t.meanHeldTokens, &t.meanCharge,
		&t.inFlightTokens, &b.prefixTotal, &b.cacheConfidence)
	integer(a, 15, &b.sessionRingNext)
	b.archiveSessions(a)
	sortedMap(a, 17, &b.prefixCounts, func(key *uint64, count *float64, entry *archive) {
		entry.fixed(1, key)
		entry.float(2, count)
	})
	a.float(18, &t.meanSlotFraction)
	integer(a, 19, &t.warmingCount)
	a.float(20, &t.warmUtilization)
	integer(a, 21, &t.fleetSize)
}

func (kind *kindStats) archive(a *archive) {
	a.floatFields(1, &kind.slownessSum, &kind.slownessCount, &kind.slowness, &kind.slownessStep, &kind.idleWeight,
		&kind.firstTokenSum, &kind.firstTokenCount, &kind.firstTokenRatio)
	if kind.firstTokenRatio == 0 { // the state is of a build without this field
		kind.firstTokenRatio = 1
	}
}

// archiveSessions encodes or decodes the sessions in the order of sessionRing, which contains
// each session once.
func (c *promptCache) archiveSessions(a *archive) {
	var positions []int
	if a.saving {
		for i, key := range c.sessionRing {
			if key != 0 {
				positions = append(positions, i)
			}
		}
	}
	a.each(16, len(positions), func(n int) { positions = make([]int, n) }, func(i int, entry *archive) {
		var key uint64
		var s session
		if entry.saving {
			key = c.sessionRing[positions[i]]
			s = c.sessions[key]
		}
		integer(entry, 1, &positions[i])
		entry.fixed(2, &key)
		integer(entry, 3, &s.replica)
		integer(entry, 4, &s.tokens)
		if entry.saving {
			return
		}
		if positions[i] < 0 || positions[i] >= len(c.sessionRing) {
			entry.fail(errSessionRingIndex)
			return
		}
		c.sessionRing[positions[i]] = key
		c.sessions[key] = s
	})
}

// archiveControl encodes or decodes discovery, rates, budgets, admission and zones, as the
// message Guard.
func (b *Balancer) archiveControl(a *archive) {
	integer(a, 1, &b.lastTickAt)
	a.bool(2, &b.listReceived)
	a.bool(3, &b.watching)
	integer(a, 4, &b.nextPollAt)
	integer(a, 5, &b.pollBackoff)
	a.floatFields(6, &b.dispatchRate, nil, &b.dispatchesSinceTick, nil, &b.meanServiceMs, &b.hedgeBudget, &b.retryBudget,
		&b.stepExcess, &b.slowStreamFraction, &b.lateFraction, &b.tokenLimit, &b.tokenLimitFloor, &b.meanInFlightTokens, &b.meanWeightPerToken)
	a.bool(20, &b.lengthsReported)
	sortedMap(a, 21, &b.stepFloor, func(key *int, floor *float64, entry *archive) {
		integer(entry, 1, key)
		entry.float(2, floor)
	})
	a.floats(22, &b.tenantRate)
	a.floats(23, &b.tenantArrivals)
	// Fields of older builds: failed connects in a row by zone (before 1.3), work sent to
	// warming replicas (before 1.4) and demand for warming replicas (1.5).
	a.skip(7, 9, 24, 25, 29, 30)
	integer(a, 31, &b.unavailableAt)
	integer(a, 32, &b.gapAt)
	integer(a, 33, &b.unreachableSince)
	integer(a, 34, &b.unreachableAt)
	sortedMap(a, 26, &b.zones.Zones, archiveZone)
	integer(a, 27, &b.listCurrentAt)
	a.float(28, &b.meanWork)
	if !a.saving && (len(b.tenantRate) != len(b.settings.Tenants) || len(b.tenantArrivals) != len(b.settings.Tenants)) {
		a.fail(fmt.Errorf("state has %d tenants, settings have %d", len(b.tenantRate), len(b.settings.Tenants)))
	}
}

func archiveZone(index *int, zone **zonehealth.Zone, a *archive) {
	if !a.saving {
		*zone = &zonehealth.Zone{}
	}
	z := *zone
	integer(a, 1, index)
	integer(a, 2, &z.State)
	integer(a, 3, &z.Since)
	a.uints(4, &z.MissedReplicas)
	integer(a, 5, &z.LastMissAt)
	a.uints(6, &z.AnsweredReplicas)
	integer(a, 7, &z.NextTrialAt)
	integer(a, 8, &z.Trials)
	integer(a, 9, &z.Outages)
	integer(a, 10, &z.UnavailableAt)
	integer(a, 11, &z.Misses)
}

// references number the rows and policies to which stored requests refer.
type references struct {
	// rows are those of the table, followed by those of removed replicas to which only
	// attempts refer.
	rows     []*replicaRow
	rowIndex map[*replicaRow]int
	// policies are those that are no longer in force, to which only requests refer.
	policies    []*requestPolicy
	policyIndex map[*requestPolicy]int
}

// newReferences numbers the rows and policies of a Balancer to be saved, whose requests are ids.
func (b *Balancer) newReferences(ids []RequestID) *references {
	refs := &references{
		rows:        slices.Clone(b.rows),
		rowIndex:    map[*replicaRow]int{},
		policyIndex: map[*requestPolicy]int{},
	}
	for i, row := range refs.rows {
		refs.rowIndex[row] = i
	}
	for _, id := range ids {
		req := b.requests[id]
		if _, ok := refs.policyIndex[req.policy]; !ok && req.policy != b.policies[req.classIndex] {
			refs.policyIndex[req.policy] = len(refs.policies)
			refs.policies = append(refs.policies, req.policy)
		}
		for _, a := range req.attempts {
			if _, ok := refs.rowIndex[a.row]; !ok {
				refs.rowIndex[a.row] = len(refs.rows)
				refs.rows = append(refs.rows, a.row)
			}
		}
	}
	return refs
}

// archiveRequests encodes or decodes the rows and the requests with their attempts. An attempt
// refers to its row by number, and a ledger to its attempts by request and number. Ledgers keep
// their order, because sums of floats depend on it.
func (b *Balancer) archiveRequests(a *archive) {
	var ids []RequestID
	refs := &references{}
	if a.saving {
		ids = slices.Sorted(maps.Keys(b.requests))
		refs = b.newReferences(ids)
	}
	b.archiveRows(a, refs)
	if !a.saving {
		refs.archivePolicies(a)
	}
	a.each(8, len(ids), func(n int) { ids = make([]RequestID, n) }, func(i int, entry *archive) {
		if entry.saving {
			b.archiveRequest(entry, b.requests[ids[i]], refs)
		} else {
			b.loadRequest(entry, refs)
		}
	})
	if a.saving {
		b.saveLedgers(a, ids, refs)
		refs.archivePolicies(a)
	} else {
		b.loadLedgers(a, refs)
	}
}

// archiveRows encodes or decodes the rows, and for each whether it is in the table.
func (b *Balancer) archiveRows(a *archive, refs *references) {
	a.each(7, len(refs.rows), func(n int) {
		refs.rows = make([]*replicaRow, n)
		for i := range refs.rows {
			refs.rows[i] = &replicaRow{}
		}
	}, func(i int, entry *archive) {
		row := refs.rows[i]
		listed := entry.saving && b.rowByID[row.id] == row
		entry.bool(1, &listed)
		row.archive(entry)
		if listed && !entry.saving {
			b.rows = append(b.rows, row)
			b.rowByID[row.id] = row
		}
	})
}

// archivePolicies encodes or decodes the policies that are no longer in force.
func (refs *references) archivePolicies(a *archive) {
	a.each(10, len(refs.policies), func(n int) {
		for range n {
			refs.policies = append(refs.policies, &requestPolicy{})
		}
	}, func(i int, entry *archive) { refs.policies[i].archive(entry) })
}

// archiveRequest encodes or decodes a request with the reference to its policy.
func (b *Balancer) archiveRequest(a *archive, req *request, refs *references) {
	req.archive(a, refs)
	policyNumber := 0 // 0: the policy in force, else from 1
	if i, ok := refs.policyIndex[req.policy]; ok {
		policyNumber = i + 1
	}
	integer(a, 21, &policyNumber)
	a.float(22, &req.PriorityFactor)
	integer(a, 23, &req.PriorAttempts)
	integer(a, 24, &req.AffinityTarget)
	a.bool(25, &req.warmingDrawn)
	integer(a, 26, &req.drawnWarming)
	a.each(27, len(req.polled), func(n int) { req.polled = make([]ReplicaID, n) }, func(i int, entry *archive) { integer(entry, 1, &req.polled[i]) })
	if a.saving {
		return
	}
	knownClass := req.classIndex >= 0 && req.classIndex < len(b.policies)
	switch {
	case policyNumber > 0 && policyNumber <= len(refs.policies):
		req.policy = refs.policies[policyNumber-1]
	case policyNumber == 0 && knownClass:
		req.policy = b.policies[req.classIndex]
	default:
		a.fail(fmt.Errorf("request %d: policy does not exist", req.ID))
	}
	if !knownClass || req.tenantIndex >= len(b.settings.Tenants) {
		a.fail(fmt.Errorf("request %d: class or tenant does not exist", req.ID))
	}
}

func (b *Balancer) loadRequest(a *archive, refs *references) {
	req := &request{}
	b.archiveRequest(a, req, refs)
	b.requests[req.ID] = req
}

// saveLedgers encodes the entries of the rows' ledgers.
func (b *Balancer) saveLedgers(a *archive, ids []RequestID, refs *references) {
	type attemptRef struct {
		id     RequestID
		number int
	}
	attemptRefs := map[*attempt]attemptRef{}
	for _, id := range ids {
		for number, entry := range b.requests[id].attempts {
			attemptRefs[entry] = attemptRef{id, number}
		}
	}
	for rowNumber, row := range refs.rows {
		a.each(9, len(row.ledger), nil, func(i int, entry *archive) {
			ref := attemptRefs[row.ledger[i]]
			integer(entry, 1, &rowNumber)
			integer(entry, 2, &ref.id)
			integer(entry, 3, &ref.number)
		})
	}
}

// loadLedgers decodes the entries of the rows' ledgers.
func (b *Balancer) loadLedgers(a *archive, refs *references) {
	a.each(9, 0, func(int) {}, func(_ int, entry *archive) {
		var rowNumber, number int
		var id RequestID
		integer(entry, 1, &rowNumber)
		integer(entry, 2, &id)
		integer(entry, 3, &number)
		req := b.requests[id]
		if req == nil || number < 0 || number >= len(req.attempts) || rowNumber < 0 || rowNumber >= len(refs.rows) {
			entry.fail(errNoLedgerEntry)
			return
		}
		row := refs.rows[rowNumber]
		row.ledger = append(row.ledger, req.attempts[number])
	})
}

// archive encodes or decodes a policy as the message Terms.
func (p *requestPolicy) archive(a *archive) {
	a.string(1, &p.Name)
	integer(a, 2, &p.LatencyObjective)
	integer(a, 3, &p.ObjectivePer1000Tokens)
	integer(a, 4, &p.TokenObjective)
	integer(a, 5, &p.Deadline)
	a.float(6, &p.PriorityWeight)
	a.float(7, &p.LateWeightShare)
	integer(a, 8, &p.Idempotency)
	integer(a, 9, &p.DedupScope)
	integer(a, 10, &p.DedupWindow)
	a.bool(11, &p.Streaming)
	integer(a, 12, &p.maxAttempts)
	a.bool(13, &p.mayHedge)
}

// archive encodes or decodes a row except its ledger.
func (row *replicaRow) archive(a *archive) {
	integer(a, 2, &row.id)
	integer(a, 3, &row.state)
	integer(a, 4, &row.zone)
	integer(a, 5, &row.kind)
	integer(a, 6, &row.cell)
	a.float(7, &row.size)
	integer(a, 8, &row.startedAt)
	a.float(9, &row.reportedTokens)
	integer(a, 10, &row.reportedAt)
	integer(a, 11, &row.openConns)
	integer(a, 12, &row.lastUsedAt)
	integer(a, 13, &row.slownessAt)
	a.floatFields(14, &row.memoryPerToken, &row.memoryPerTokenSamples, &row.charge, &row.unreported,
		&row.slownessSum, &row.slownessCount, &row.slowness, &row.liveLoad, &row.errorRate)
	integer(a, 24, &row.consecutiveFailures)
	integer(a, 25, &row.backoffUntil)
	a.bool(26, &row.healthCheckPending)
	integer(a, 27, &row.healthCheckedAt)
	integer(a, 28, &row.warmingSince)
	integer(a, 29, &row.warmingUntil)
	integer(a, 31, &row.confirmedAt)
	integer(a, 33, &row.acceptedAt)
	a.skip(23, 30, 32) // work sent to a warming replica (before 1.4) and demand for it (1.5)
	row.hash = splitmix(uint64(row.id))
}

// archive encodes or decodes the fields of a request, except its policy and those that
// archiveRequest handles.
func (req *request) archive(a *archive, refs *references) {
	integer(a, 1, &req.ID)
	a.string(2, &req.Class)
	a.string(3, &req.Tenant)
	integer(a, 4, &req.TimeLeft)
	integer(a, 5, &req.PromptTokens)
	integer(a, 6, &req.PrefixTokens)
	integer(a, 7, &req.MaxTokens)
	a.fixed(8, &req.Session)
	a.fixed(9, &req.Prefix)
	integer(a, 10, &req.classIndex)
	integer(a, 11, &req.tenantIndex)
	integer(a, 12, &req.arrivedAt)
	integer(a, 13, &req.deadline)
	integer(a, 14, &req.inFlight)
	a.bool(15, &req.streaming)
	a.bool(16, &req.ended)
	a.bool(17, &req.hedged)
	a.bool(18, &req.late)
	integer(a, 19, &req.avoidZone)
	a.each(20, len(req.attempts), func(n int) {
		for range n {
			req.attempts = append(req.attempts, &attempt{})
		}
	}, func(i int, entry *archive) { req.attempts[i].archive(entry, refs) })
}

// archive encodes or decodes an attempt with the reference to its row.
func (a *attempt) archive(entry *archive, refs *references) {
	rowNumber := refs.rowIndex[a.row]
	integer(entry, 1, &rowNumber)
	if !entry.saving {
		if rowNumber < 0 || rowNumber >= len(refs.rows) {
			entry.fail(errNoRow)
			return
		}
		a.row = refs.rows[rowNumber]
	}
	integer(entry, 2, &a.sentAt)
	entry.float(3, &a.prefillTokens)
	entry.float(4, &a.prefillCharge)
	entry.float(5, &a.heldTokens)
	integer(entry, 6, &a.status)
	entry.bool(7, &a.ended)
	entry.bool(8, &a.newConn)
	integer(entry, 9, &a.timeToFirstToken)
}
