package balancer

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"

	"google.golang.org/protobuf/encoding/protowire"

	"archknot/balancer/zonehealth"
)

// Snapshot is the whole state of b in protobuf's wire form: the message State
// of internal/capture/capturepb. Restore of the settings and of this makes a
// Balancer that goes on exactly as b does. Equal states give equal bytes.
//
// The settings are not in it, nor are pending timers: whoever calls SetTimer's
// sink holds those.
func (b *Balancer) Snapshot() []byte {
	a := &archive{saving: true}
	b.archive(a)
	return a.out
}

// Restore makes a Balancer from a Snapshot. Fields that this build does not
// know are an error: a state that is understood in part would decide otherwise.
func Restore(s Settings, state []byte, out Sink) (*Balancer, error) {
	b, err := New(s, 0, out)
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

// archive carries fields to or from protobuf's wire form. The functions below
// name each field once, and serve both ways.
type archive struct {
	saving bool
	out    []byte
	got    map[protowire.Number][]wireField // what was read and not yet asked for
	err    error
}

type wireField struct {
	number uint64 // a varint or a fixed value
	bytes  []byte
}

func (a *archive) fail(err error) {
	if a.err == nil {
		a.err = err
	}
}

func (a *archive) parse(in []byte) {
	a.got = map[protowire.Number][]wireField{}
	for len(in) > 0 {
		tag, typ, n := protowire.ConsumeTag(in)
		if n < 0 {
			a.fail(protowire.ParseError(n))
			return
		}
		in = in[n:]
		var f wireField
		switch typ {
		case protowire.VarintType:
			f.number, n = protowire.ConsumeVarint(in)
		case protowire.Fixed64Type:
			f.number, n = protowire.ConsumeFixed64(in)
		case protowire.BytesType:
			f.bytes, n = protowire.ConsumeBytes(in)
		default:
			a.fail(fmt.Errorf("field %d: unexpected wire type %d", tag, typ))
			return
		}
		if n < 0 {
			a.fail(protowire.ParseError(n))
			return
		}
		a.got[tag] = append(a.got[tag], f)
		in = in[n:]
	}
}

// finish tells of fields that nobody asked for.
func (a *archive) finish() {
	if a.err == nil && len(a.got) > 0 {
		a.fail(fmt.Errorf("field %d is not known to this build", slices.Min(slices.Collect(maps.Keys(a.got)))))
	}
}

func (a *archive) take(tag protowire.Number) (wireField, bool) {
	all := a.got[tag]
	if len(all) == 0 {
		return wireField{}, false
	}
	delete(a.got, tag)
	return all[len(all)-1], true
}

// skip passes over fields of earlier builds.
func (a *archive) skip(tags ...protowire.Number) {
	for _, tag := range tags {
		if !a.saving {
			a.take(tag)
		}
	}
}

func (a *archive) uint(tag protowire.Number, v *uint64) {
	if a.saving {
		if *v != 0 {
			a.out = protowire.AppendVarint(protowire.AppendTag(a.out, tag, protowire.VarintType), *v)
		}
	} else if f, ok := a.take(tag); ok {
		*v = f.number
	} else {
		*v = 0
	}
}

func integer[T ~int | ~int64 | ~uint8 | ~uint32](a *archive, tag protowire.Number, v *T) {
	u := protowire.EncodeZigZag(int64(*v))
	a.uint(tag, &u)
	if *v = T(protowire.DecodeZigZag(u)); !a.saving && int64(*v) != protowire.DecodeZigZag(u) {
		a.fail(fmt.Errorf("field %d: out of range", tag))
	}
}

func (a *archive) bool(tag protowire.Number, v *bool) {
	u := uint64(boolToFloat(*v))
	a.uint(tag, &u)
	*v = u != 0
}

func (a *archive) fixed(tag protowire.Number, v *uint64) {
	if a.saving {
		if *v != 0 {
			a.out = protowire.AppendFixed64(protowire.AppendTag(a.out, tag, protowire.Fixed64Type), *v)
		}
	} else if f, ok := a.take(tag); ok {
		*v = f.number
	} else {
		*v = 0
	}
}

// float keeps every bit, the sign of a zero included.
func (a *archive) float(tag protowire.Number, v *float64) {
	u := math.Float64bits(*v)
	a.fixed(tag, &u)
	*v = math.Float64frombits(u)
}

func (a *archive) floats(tag protowire.Number, v *[]float64) {
	a.each(tag, len(*v), func(n int) { *v = make([]float64, n) }, func(i int, a *archive) { a.float(1, &(*v)[i]) })
}

func (a *archive) uints(tag protowire.Number, v *[]uint64) {
	a.each(tag, len(*v), func(n int) {
		if *v = nil; n > 0 {
			*v = make([]uint64, n)
		}
	}, func(i int, a *archive) { a.uint(1, &(*v)[i]) })
}

func (a *archive) string(tag protowire.Number, v *string) {
	if a.saving {
		if *v != "" {
			a.out = protowire.AppendString(protowire.AppendTag(a.out, tag, protowire.BytesType), *v)
		}
	} else if f, ok := a.take(tag); ok {
		*v = string(f.bytes)
	}
}

// message carries one message.
func (a *archive) message(tag protowire.Number, fields func(*archive)) {
	a.each(tag, 1, func(n int) {
		if n > 1 {
			a.fail(fmt.Errorf("field %d: given %d times", tag, n))
		}
	}, func(i int, sub *archive) { fields(sub) })
}

// each carries n messages; when loading, room is told first how many there are.
func (a *archive) each(tag protowire.Number, n int, room func(n int), fields func(i int, sub *archive)) {
	if a.saving {
		sub := archive{saving: true}
		for i := range n {
			sub.out = sub.out[:0]
			fields(i, &sub)
			a.out = protowire.AppendBytes(protowire.AppendTag(a.out, tag, protowire.BytesType), sub.out)
		}
		return
	}
	all := a.got[tag]
	delete(a.got, tag)
	room(len(all))
	for i, f := range all {
		if a.err != nil {
			return
		}
		sub := archive{}
		sub.parse(f.bytes)
		if sub.err == nil {
			fields(i, &sub)
		}
		if sub.finish(); sub.err != nil {
			a.fail(fmt.Errorf("field %d, entry %d: %w", tag, i, sub.err))
		}
	}
}

// sortedMap carries a map's entries in the order of their keys.
func sortedMap[K cmp.Ordered, V any](a *archive, tag protowire.Number, m *map[K]V, fields func(k *K, v *V, sub *archive)) {
	var keys []K
	if a.saving {
		keys = slices.Sorted(maps.Keys(*m))
	}
	a.each(tag, len(keys), func(n int) {
		*m = make(map[K]V, n)
		keys = make([]K, n)
	}, func(i int, sub *archive) {
		v := (*m)[keys[i]]
		if fields(&keys[i], &v, sub); !sub.saving {
			(*m)[keys[i]] = v
		}
	})
}

// archive names the state: tags are for ever, new fields take new ones.
func (b *Balancer) archive(a *archive) {
	a.fixed(1, &b.seed)
	a.fixed(2, &b.rng)
	a.each(3, len(b.stats), func(n int) {
		if n != len(b.stats) {
			a.fail(fmt.Errorf("%d classes, the settings have %d", n-1, len(b.stats)-1))
		}
	}, func(i int, s *archive) {
		s.float(1, &b.stats[i].streamTime)
		s.float(2, &b.stats[i].cachedShare)
	})
	a.message(4, func(s *archive) {
		f := &b.firstTokenFit
		for i, v := range []*float64{&f.n, &f.x, &f.y, &f.xx, &f.xy} {
			s.float(protowire.Number(i+1), v)
		}
	})
	a.message(5, b.archiveTable)
	a.message(6, b.archiveGuard)
	b.archiveRequests(a)
}

func (b *Balancer) archiveTable(a *archive) {
	t := &b.loadTable
	names := func(tag protowire.Number, no *map[string]int) {
		var list []string
		if a.saving {
			list = make([]string, len(*no))
			for name, i := range *no {
				list[i] = name
			}
		}
		a.each(tag, len(list), func(n int) { list = make([]string, n) }, func(i int, s *archive) {
			s.string(1, &list[i])
			(*no)[list[i]] = i
		})
	}
	names(1, &t.zoneIndex)
	names(2, &t.kindIndex)
	integer(a, 3, &t.ownZone)
	a.each(4, len(t.kinds), func(n int) { t.kinds = make([]kindStats, n) }, func(i int, s *archive) {
		kind := &t.kinds[i]
		for i, v := range []*float64{&kind.slownessSum, &kind.slownessCount, &kind.slowness, &kind.slownessStep, &kind.idleWeight, &kind.firstTokenSum, &kind.firstTokenCount, &kind.firstTokenRatio} {
			s.float(protowire.Number(i+1), v)
		}
		if kind.firstTokenRatio == 0 { // of a build that did not know it
			kind.firstTokenRatio = 1
		}
	})
	integer(a, 5, &t.readyCount)
	for i, v := range []*float64{&t.meanLoad, &t.memoryPerToken, &t.tokensPerLiveLoad, &t.meanLifetime, &t.meanHeldTokens, &t.meanCharge,
		&t.inFlightTokens, &t.prefixTotal, &t.cacheTrust} {
		a.float(protowire.Number(6+i), v)
	}
	integer(a, 15, &t.sessionRingNext)
	// The ring has each remembered session once: the map's order and its own in one.
	var at []int
	if a.saving {
		for i, key := range t.sessionRing {
			if key != 0 {
				at = append(at, i)
			}
		}
	}
	a.each(16, len(at), func(n int) { at = make([]int, n) }, func(i int, s *archive) {
		var key uint64
		var v session
		if s.saving {
			key = t.sessionRing[at[i]]
			v = t.sessions[key]
		}
		integer(s, 1, &at[i])
		s.fixed(2, &key)
		integer(s, 3, &v.replica)
		integer(s, 4, &v.tokens)
		if !s.saving {
			if at[i] < 0 || at[i] >= len(t.sessionRing) {
				s.fail(errors.New("no such place in the ring"))
				return
			}
			t.sessionRing[at[i]] = key
			t.sessions[key] = v
		}
	})
	sortedMap(a, 17, &t.prefixCounts, func(k *uint64, v *float64, s *archive) {
		s.fixed(1, k)
		s.float(2, v)
	})
	a.float(18, &t.meanSlotShare)
	integer(a, 19, &t.warmingCount)
	a.float(20, &t.warmUtilization)
	integer(a, 21, &t.fleetSize)
}

func (b *Balancer) archiveGuard(a *archive) {
	g := &b.guard
	integer(a, 1, &g.lastTickAt)
	a.bool(2, &g.listReceived)
	a.bool(3, &g.watching)
	integer(a, 4, &g.nextPollAt)
	integer(a, 5, &g.pollBackoff)
	for i, v := range []*float64{&g.dispatchRate, nil, &g.dispatchesSinceTick, nil, &g.meanServiceMs, &g.hedgeBudget,
		&g.retryBudget, &g.stepExcess, &g.slowStreamShare, &g.lateShare, &g.tokenLimit, &g.tokenLimitFloor, &g.meanInFlightTokens, &g.meanWeightPerToken} {
		if v != nil {
			a.float(protowire.Number(6+i), v)
		}
	}
	a.bool(20, &g.lengthsReported)
	sortedMap(a, 21, &g.stepFloor, func(k *int, v *float64, s *archive) {
		integer(s, 1, k)
		s.float(2, v)
	})
	a.floats(22, &g.tenantRate)
	a.floats(23, &g.tenantArrivals)
	// Builds before 1.3 knew zones by failed connects in a row; those before 1.4 counted what
	// cold replicas were sent, and those of 1.5 what they were wanted for.
	a.skip(7, 9, 24, 25, 29, 30)
	sortedMap(a, 26, &g.zones.Zones, func(k *int, v **zonehealth.Zone, s *archive) {
		if !s.saving {
			*v = &zonehealth.Zone{}
		}
		zone := *v
		integer(s, 1, k)
		integer(s, 2, &zone.State)
		integer(s, 3, &zone.Since)
		s.uints(4, &zone.MissedReplicas)
		integer(s, 5, &zone.LastMissAt)
		s.uints(6, &zone.AnsweredReplicas)
		integer(s, 7, &zone.NextTrialAt)
		integer(s, 8, &zone.Trials)
		integer(s, 9, &zone.Outages)
		integer(s, 10, &zone.UnavailableAt)
		integer(s, 11, &zone.Misses)
	})
	integer(a, 27, &g.lastHeardAt)
	a.float(28, &g.meanWork)
	if !a.saving && (len(g.tenantRate) != len(b.settings.Tenants) || len(g.tenantArrivals) != len(b.settings.Tenants)) {
		a.fail(fmt.Errorf("%d tenants, the settings have %d", len(g.tenantRate), len(b.settings.Tenants)))
	}
}

// archiveRequests carries the rows and the requests with their attempts. Rows
// that left the table stay known to attempts made there; they follow the
// table's. Attempts name their row by its place, ledgers their attempts by
// request and number, in the ledger's order: sums of floats depend on it.
func (b *Balancer) archiveRequests(a *archive) {
	var ids []RequestID
	rows := append([]*replicaRow(nil), b.rows...)
	place := map[*replicaRow]int{}
	// Requests may hold terms that are in force no more: those go with them.
	var old []*requestPolicy
	oldPlace := map[*requestPolicy]int{}
	if a.saving {
		ids = slices.Sorted(maps.Keys(b.requests))
		for i, row := range rows {
			place[row] = i
		}
		for _, id := range ids {
			req := b.requests[id]
			if _, ok := oldPlace[req.policy]; !ok && req.policy != b.policies[req.classIndex] {
				oldPlace[req.policy] = len(old)
				old = append(old, req.policy)
			}
			for _, a := range req.attempts {
				if _, ok := place[a.row]; !ok {
					place[a.row] = len(rows)
					rows = append(rows, a.row)
				}
			}
		}
	}
	a.each(7, len(rows), func(n int) {
		rows = make([]*replicaRow, n)
		for i := range rows {
			rows[i] = &replicaRow{}
		}
	}, func(i int, s *archive) {
		row := rows[i]
		listed := s.saving && b.rowByID[row.id] == row
		s.bool(1, &listed)
		archiveRow(s, row)
		if listed && !s.saving {
			b.rows = append(b.rows, row)
			b.rowByID[row.id] = row
		}
	})
	oldTerms := func() {
		a.each(10, len(old), func(n int) {
			for range n {
				old = append(old, &requestPolicy{})
			}
		}, func(i int, s *archive) { archiveTerms(s, old[i]) })
	}
	if !a.saving {
		oldTerms()
	}
	a.each(8, len(ids), func(n int) { ids = make([]RequestID, n) }, func(i int, s *archive) {
		req := &request{}
		if s.saving {
			req = b.requests[ids[i]]
		}
		archiveRequest(s, req, rows, place)
		at := 0 // 0: the terms in force
		if i, ok := oldPlace[req.policy]; ok {
			at = i + 1
		}
		integer(s, 21, &at)
		s.float(22, &req.PriorityFactor)
		integer(s, 23, &req.PriorAttempts)
		integer(s, 24, &req.HomeReplica)
		if !s.saving {
			b.requests[req.ID] = req
			switch {
			case at > 0 && at <= len(old):
				req.policy = old[at-1]
			case at == 0 && req.classIndex >= 0 && req.classIndex < len(b.policies):
				req.policy = b.policies[req.classIndex]
			default:
				s.fail(fmt.Errorf("request %d: no such terms", req.ID))
			}
			if req.classIndex < 0 || req.classIndex >= len(b.policies) || req.tenantIndex >= len(b.settings.Tenants) {
				s.fail(fmt.Errorf("request %d: no such class or tenant", req.ID))
			}
		}
	})
	if a.saving {
		b.saveLedgers(a, ids, rows)
		oldTerms()
		return
	}
	a.each(9, 0, func(int) {}, func(_ int, s *archive) {
		var at, n int
		var id RequestID
		integer(s, 1, &at)
		integer(s, 2, &id)
		integer(s, 3, &n)
		req := b.requests[id]
		if req == nil || n < 0 || n >= len(req.attempts) || at < 0 || at >= len(rows) {
			s.fail(errors.New("a ledger names what is not there"))
			return
		}
		rows[at].ledger = append(rows[at].ledger, req.attempts[n])
	})
}

func (b *Balancer) saveLedgers(a *archive, ids []RequestID, rows []*replicaRow) {
	type name struct {
		id RequestID
		n  int
	}
	names := map[*attempt]name{}
	for _, id := range ids {
		for n, a := range b.requests[id].attempts {
			names[a] = name{id, n}
		}
	}
	for at, row := range rows {
		a.each(9, len(row.ledger), nil, func(i int, s *archive) {
			nm := names[row.ledger[i]]
			integer(s, 1, &at)
			integer(s, 2, &nm.id)
			integer(s, 3, &nm.n)
		})
	}
}

func archiveTerms(a *archive, t *requestPolicy) {
	a.string(1, &t.Name)
	integer(a, 2, &t.LatencyObjective)
	integer(a, 3, &t.ObjectivePer1000Tokens)
	integer(a, 4, &t.TokenObjective)
	integer(a, 5, &t.Deadline)
	a.float(6, &t.PriorityWeight)
	a.float(7, &t.LateWeightShare)
	integer(a, 8, &t.Idempotency)
	integer(a, 9, &t.DedupScope)
	integer(a, 10, &t.DedupWindow)
	a.bool(11, &t.Streaming)
	integer(a, 12, &t.maxAttempts)
	a.bool(13, &t.mayHedge)
}

func archiveRow(a *archive, row *replicaRow) {
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
	for i, v := range []*float64{&row.memoryPerToken, &row.memoryPerTokenSamples, &row.charge, &row.unreported, &row.slownessSum, &row.slownessCount, &row.slowness, &row.liveLoad,
		&row.errorRate} {
		a.float(protowire.Number(14+i), v)
	}
	integer(a, 24, &row.consecutiveFailures)
	integer(a, 25, &row.backoffUntil)
	a.bool(26, &row.healthCheckPending)
	integer(a, 27, &row.healthCheckedAt)
	integer(a, 28, &row.warmingSince)
	integer(a, 29, &row.warmingUntil)
	integer(a, 31, &row.confirmedReadyAt)
	a.skip(23, 30, 32) // what a cold one was sent, in builds before 1.4, or wanted for, in those of 1.5
	row.hash = splitmix(uint64(row.id))
}

func archiveRequest(a *archive, req *request, rows []*replicaRow, place map[*replicaRow]int) {
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
	}, func(i int, s *archive) {
		a := req.attempts[i]
		at := place[a.row]
		integer(s, 1, &at)
		if !s.saving {
			if at < 0 || at >= len(rows) {
				s.fail(errors.New("an attempt at no row"))
				return
			}
			a.row = rows[at]
		}
		integer(s, 2, &a.sentAt)
		s.float(3, &a.prefillTokens)
		s.float(4, &a.prefillCharge)
		s.float(5, &a.heldTokens)
		integer(s, 6, &a.status)
		s.bool(7, &a.ended)
		s.bool(8, &a.newConn)
		integer(s, 9, &a.timeToFirstToken)
	})
}
