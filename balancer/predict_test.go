package balancer

import (
	"testing"
)

// The predicted load is the report, plus own charges that are not in it yet, plus the request's own
// tokens; pick takes the replica with the least.
func TestPickLeastPredicted(t *testing.T) {
	type rowState struct {
		held     float64
		age      Micros // of the report; -1: none
		charge   float64
		slowness float64
	}
	// One gateway: the report counts with 1 - (age + lag/2) / (2 x lifetime),
	// lifetime 10 s, and the mean load is 10000.
	for _, c := range []struct {
		name string
		rows []rowState
		want ReplicaID
	}{
		{"least report", []rowState{{9000, 0, 0, 1}, {3000, 0, 0, 1}, {6000, 0, 0, 1}}, 2},
		{"own charges are added", []rowState{{9000, 0, 0, 1}, {3000, 0, 8000, 1}, {6000, 0, 0, 1}}, 3},
		{"slowness weighs", []rowState{{9000, 0, 0, 0.5}, {3000, 0, 0, 4}, {6000, 0, 0, 2}}, 1},
		{"no reports: own ledger decides", []rowState{{0, -1, 500, 1}, {0, -1, 200, 1}, {0, -1, 900, 1}}, 2},
		{"an outdated report of a full replica expires", []rowState{{90000, 60 * second, 0, 1}, {8000, 0, 0, 1}}, 1},
		{"an outdated report of an idle replica expires", []rowState{{100, 60 * second, 5000, 1}, {1000, 0, 0, 1}}, 2},
	} {
		b, _ := startBalancer(t, settings(), fleet(len(c.rows))...)
		now := 200 * second
		b.meanLifetime, b.meanLoad = float64(10*second), 10000
		for i, in := range c.rows {
			row := b.rows[i]
			row.reportedTokens, row.charge, row.unreported, row.slowness, row.reportedAt = in.held, in.charge, in.charge, in.slowness, now-in.age
			if in.age < 0 {
				row.reportedAt = -1
			}
		}
		req := &request{Request: testRequest(1), policy: b.policies[0], tenantIndex: -1, avoidZone: -1}
		if got, _, _ := b.pick(now, req); got == nil || got.id != c.want {
			t.Errorf("%s: picked %v, want %d", c.name, got, c.want)
		}
	}
}

// With many gateways, a report's weight is divided among them, so the least loaded replica does not
// attract the dispatches of all gateways at once.
func TestManyGatewaysDoNotHerd(t *testing.T) {
	s := settings()
	s.Gateways = 50
	b, _ := startBalancer(t, s, fleet(10)...)
	now := 101 * second
	b.meanLifetime, b.meanLoad, b.meanHeldTokens, b.dispatchRate = float64(5*second), 50000, 1100, 5
	for i, row := range b.rows {
		b.setReportedLoad(now, row, 50000)
		if i == 3 {
			b.setReportedLoad(now, row, 20000)
		}
	}
	hits := 0
	for i := range 40 {
		r := testRequest(RequestID(i + 1))
		r.Session = splitmix(uint64(i)) // sessions with different affinity targets
		row, _, _ := b.pick(now, &request{Request: r, policy: b.policies[0], tenantIndex: -1, avoidZone: -1})
		if row.id == 4 {
			hits++
		}
	}
	if hits > 20 {
		t.Fatalf("%d of 40 went to the replica whose report was lowest", hits)
	}
}

// A new connection has a cost: of equally loaded replicas, one with an idle connection is preferred.
func TestIdleConnectionPreferred(t *testing.T) {
	s := settings()
	s.HandshakeCost = 0.12
	b, rec := startBalancer(t, s, fleet(5)...)
	first := ReplicaID(4) // not the first of the scan
	b.rowByID[first].openConns, b.rowByID[first].lastUsedAt = 1, 102*second
	for i := range RequestID(5) {
		if got := dispatched(b, rec, 103*second, testRequest(i+2)); got != first {
			t.Fatalf("request %d opened a connection to %d beside the idle one to %d", i+2, got, first)
		}
		b.AttemptEnded(103*second, Outcome{ID: i + 2, Replica: first, Status: Served, Final: true, Elapsed: second})
	}
	if row := b.rowByID[first]; !b.needsConnection(200*second, row) {
		t.Fatal("the connection is assumed open after its idle timeout")
	}
}

// First-token times vary, so only a replica that is much slower than its kind counts as slow.
func TestOwnSlownessMustStandOut(t *testing.T) {
	b, _ := startBalancer(t, settings(), fleet(2)...)
	now := 101 * second
	for range 10 {
		b.rows[0].recordSlowness(now, 1.4)
		b.rows[1].recordSlowness(now, 6)
	}
	b.refreshEstimates(now)
	if b.rows[0].slowness != 1 || b.rows[1].slowness < 3 {
		t.Fatalf("slowness %v and %v", b.rows[0].slowness, b.rows[1].slowness)
	}
	b.refreshEstimates(now + slownessDecay)
	if b.rows[1].slowness != 1 {
		t.Fatal("slowness did not expire after slownessDecay")
	}
}

// When all replicas slow down at once, none is excluded.
func TestSharedSlownessExcludesNoReplica(t *testing.T) {
	b, rec := startBalancer(t, settings(), fleet(4)...)
	now := 101 * second
	for range 50 {
		for _, row := range b.rows {
			row.recordSlowness(now, 8)
		}
	}
	b.refreshEstimates(now)
	if dispatched(b, rec, now, testRequest(1)) == 0 {
		t.Fatal("no dispatch while all replicas are equally slow")
	}
}

// Where discovery reports sizes, a larger replica receives more requests.
func TestNominalSizesWeigh(t *testing.T) {
	s := settings()
	s.WeightKind = WeightNominal
	endpoints := fleet(2)
	endpoints[1].Weight = 3
	b, rec := startBalancer(t, s, endpoints...)
	count := map[ReplicaID]int{}
	for i := range RequestID(80) {
		count[dispatched(b, rec, 101*second, testRequest(i))]++
	}
	if count[2] < 50 || count[1] < 10 {
		t.Fatalf("sent %v to replicas of sizes 1 and 3", count)
	}
}

// The cost of a dispatch to another zone is a fraction of the request's weight, which is lost only
// when the first token is late. A slightly higher load in the own zone does not justify the cost, a
// much higher load does.
func TestCrossZoneCostFollowsTheLatencyObjective(t *testing.T) {
	for _, c := range []struct {
		name       string
		own, other float64 // held load by report, in the own zone and in the other
		learned    bool    // first-token times are known
		want       ReplicaID
	}{
		{"a little more in the own zone stays there", 5600, 5000, true, 1},
		{"far more in the own zone goes to the other", 20000, 5000, true, 2},
		{"no first-token times: the cost is a factor", 6000, 5000, false, 2},
		{"first tokens close to the objective: the cost is small", 5000, 4900, true, 2},
	} {
		s := settings()
		s.CrossZoneCost = 0.03
		endpoints := fleet(2)
		endpoints[1].Zone = "b"
		b, _ := startBalancer(t, s, endpoints...)
		now := 200 * second
		b.meanLifetime, b.meanLoad = float64(10*second), 10000
		b.rows[0].reportedTokens, b.rows[1].reportedTokens = c.own, c.other
		for _, row := range b.rows {
			row.reportedAt, row.slowness = now, 1
		}
		first := 50_000.0 // first tokens in 0.25 s, an objective of 1 s: a crossing weighs 0.03 x 3 x usual load
		if c.own-c.other < 200 {
			first = 800_000 // most of the objective is used up already
		}
		for x := 0.0; c.learned && x <= 4000; x += 1000 {
			b.firstTokenFit.add(x, first+100*x)
		}
		req := &request{Request: testRequest(1), policy: b.policies[0], tenantIndex: -1, avoidZone: -1}
		if got, _, _ := b.pick(now, req); got == nil || got.id != c.want {
			t.Errorf("%s: picked %v, want %d", c.name, got, c.want)
		}
	}
}

// Without reports the prefill weight has its lower bound. With reports it grows as a request takes a
// smaller fraction of a replica, up to maxPrefillWeight.
func TestPrefillWeightFollowsSlotTime(t *testing.T) {
	s := largeFleetSettings()
	s.Classes[0].ObjectivePer1000Tokens = 50_000
	b, _ := startBalancer(t, s, fleet(40)...)
	b.meanHeldTokens, b.meanLifetime = 4000, 3e6
	report := func(util, inFlight float64) float64 {
		b.meanSlotFraction = 0
		b.HealthCheckEnded(101*second, Outcome{Replica: 1, Status: Served, Report: LoadReport{Has: HasUtilization | HasInFlight, Utilization: util, InFlight: inFlight}})
		return b.prefillWeight()
	}
	least := prefillCost * largeFleetPrefillFactor
	for name, values := range map[string][2]float64{"nothing in flight": {0, 0}, "no share": {0, 8}, "a negative share": {-1, 8}, "less than one": {0.5, 0.1}} {
		if got := report(values[0], values[1]); got != least {
			t.Errorf("%s: %v, want %v", name, got, least)
		}
	}
	few, many, extreme := report(0.8, 8), report(0.8, 64), report(1e-9, 1e9)
	if few < least || many <= few || extreme != maxPrefillWeight {
		t.Errorf("%v with ten slots, %v with eighty, %v with an extreme report", few, many, extreme)
	}
	for i := range b.settings.Classes {
		b.settings.Classes[i].ObjectivePer1000Tokens = 0
	}
	if got := b.prefillWeight(); got != least {
		t.Errorf("%v where the objectives allow no time for prefill, want %v", got, least)
	}
}

// A kind with slower first tokens receives less prefill work, with its ratio bounded by a factor of
// four. A kind without observations counts as the mean.
func TestKindRatiosFollowFirstTokenTimes(t *testing.T) {
	endpoints := fleet(40)
	for i := range endpoints {
		endpoints[i].Kind = []string{"old", "new", "unseen"}[i%3]
	}
	b, _ := startBalancer(t, largeFleetSettings(), endpoints...)
	observe := func(ms map[string]float64) {
		for _, row := range b.rows {
			for kind, k := range b.kindIndex {
				if took := ms[kind]; k == row.kind && took > 0 {
					b.applyReport(101*second, row, LoadReport{Has: HasService | HasInFlight, ServiceMs: took, InFlight: 1})
				}
			}
		}
		b.refreshEstimates(101 * second)
	}
	first := func(kind string) float64 { return b.kinds[b.kindIndex[kind]].firstTokenRatio }
	observe(map[string]float64{"old": 900, "new": 150})
	if first("unseen") != 1 || first("new") > 0.7 || first("old") < 1.2 {
		t.Errorf("old %v, new %v, unseen %v", first("old"), first("new"), first("unseen"))
	}
	in := testRequest(1)
	in.PromptTokens = 12_000
	req := &request{Request: in, policy: b.policies[0], tenantIndex: -1, avoidZone: -1}
	for range 20 {
		if row, _, _ := b.pick(101*second, req); row != nil && row.kind == b.kindIndex["old"] {
			t.Fatal("a long prompt was sent to the kind with the slowest prefill, all else being equal")
		}
		req.arrivedAt = 0 // past its wait for load reports
	}
	for range 50 {
		observe(map[string]float64{"old": 1e7, "new": 1e-6})
	}
	if first("old") > 4 || first("new") < 0.25 {
		t.Errorf("out of bounds: old %v, new %v", first("old"), first("new"))
	}
}
