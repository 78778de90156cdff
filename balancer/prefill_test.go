package balancer

import "testing"

// Many short prompts, or many sessions, that begin alike by a few tokens have homes all
// over the fleet. Seen: a beginning of 500 tokens before prompts of 12,000, with a quarter of
// all traffic, had four homes of a hundred, for each of 300 gateways had seen little of it.
func TestShortPrefixesSpreadLongPrompts(t *testing.T) {
	s := eightyGateways()
	s.Gateways = 300
	homes := func(prefix, prompt int) int {
		seen := map[ReplicaID]bool{}
		b, _ := startBalancer(t, s, fleet(100)...)
		for i := range RequestID(200) {
			in := testRequest(i + 1)
			in.Session, in.Prefix, in.PrefixTokens, in.PromptTokens = 1000+uint64(i), 7, prefix, prompt
			req := &request{Request: in, policy: b.policies[0]}
			if i < 5 { // what a gateway has seen of it
				b.countPrefix(req)
			}
			home, _ := homesOf(b, req)
			seen[home.id] = true
		}
		return len(seen)
	}
	if n := homes(500, 12_000); n < 70 {
		t.Errorf("200 sessions of 12,000 tokens that share 500 have %d homes of 100", n)
	}
	if n := homes(10_000, 12_000); n > 40 {
		t.Errorf("200 sessions of 12,000 tokens that share 10,000 have %d homes of 100", n)
	}
}

// What a token to be read weighs follows from what is told: without reports as before, then
// the more the smaller a part of a worker a request takes, and never beyond its bound.
func TestPrefillWeightFollowsSlotTime(t *testing.T) {
	s := eightyGateways()
	s.Classes[0].ObjectivePer1000Tokens = 50_000
	b, _ := startBalancer(t, s, fleet(40)...)
	b.meanHeldTokens, b.meanLifetime = 4000, 3e6
	report := func(util, inFlight float64) float64 {
		b.meanSlotShare = 0
		b.HealthCheckEnded(101*second, Outcome{Replica: 1, Status: Served, Report: LoadReport{Has: HasUtilization | HasInFlight, Utilization: util, InFlight: inFlight}})
		return b.prefillWeight()
	}
	least := prefillCost * largeFleetPrefillFactor
	for name, odd := range map[string][2]float64{"nothing in hand": {0, 0}, "no share": {0, 8}, "a negative share": {-1, 8}, "less than one": {0.5, 0.1}} {
		if got := report(odd[0], odd[1]); got != least {
			t.Errorf("%s: %v, want %v", name, got, least)
		}
	}
	few, many, odd := report(0.8, 8), report(0.8, 64), report(1e-9, 1e9)
	if few < least || many <= few || odd != maxPrefillWeight {
		t.Errorf("%v with ten slots, %v with eighty, %v by an odd report", few, many, odd)
	}
	for i := range b.settings.Classes {
		b.settings.Classes[i].ObjectivePer1000Tokens = 0
	}
	if got := b.prefillWeight(); got != least {
		t.Errorf("%v where the aims tell nothing of reading, want %v", got, least)
	}
}

// A kind whose first tokens take longer is given less to read, within four times; one that
// nothing is known of counts as all.
func TestKindRatiosFollowFirstTokenTimes(t *testing.T) {
	members := fleet(40)
	for i := range members {
		members[i].Kind = []string{"old", "new", "unseen"}[i%3]
	}
	b, _ := startBalancer(t, eightyGateways(), members...)
	told := func(ms map[string]float64) {
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
	told(map[string]float64{"old": 900, "new": 150})
	if first("unseen") != 1 || first("new") > 0.7 || first("old") < 1.2 {
		t.Errorf("old %v, new %v, unseen %v", first("old"), first("new"), first("unseen"))
	}
	in := testRequest(1)
	in.PromptTokens = 12_000
	req := &request{Request: in, policy: b.policies[0], tenantIndex: -1, avoidZone: -1}
	for range 20 {
		if row, _, _ := b.pick(101*second, req); row != nil && row.kind == b.kindIndex["old"] {
			t.Fatal("a long prompt goes to a worker that reads slowest, all else being equal")
		}
		req.arrivedAt = 0 // as one that has asked
	}
	for range 50 {
		told(map[string]float64{"old": 1e7, "new": 1e-6})
	}
	if first("old") > 4 || first("new") < 0.25 {
		t.Errorf("out of bounds: old %v, new %v", first("old"), first("new"))
	}
}

// What leaves a session's home for machines of another kind goes to one and the same of them
// from all gateways: turn after turn at another one found nothing kept there.
func TestSecondHomeIsOfAnotherKind(t *testing.T) {
	members := fleet(40)
	for i := range members {
		if i%4 == 0 {
			members[i].Kind = "fast"
		}
	}
	var all []*Balancer
	for self := range 3 {
		s := eightyGateways()
		s.Self, s.Kinds = self, []string{"k", "fast"}
		b, _ := startBalancer(t, s, members...)
		all = append(all, b)
	}
	spread := map[ReplicaID]int{}
	for session := range uint64(400) {
		req := &request{Request: testRequest(1)}
		req.Session = session + 1
		home, second := homesOf(all[0], req)
		if home.kind == second.kind {
			t.Fatalf("session %d: both homes are of one kind", session)
		}
		for _, b := range all[1:] {
			if h, s := homesOf(b, req); h.id != home.id || s.id != second.id {
				t.Fatalf("session %d: homes %d and %d, elsewhere %d and %d", session, home.id, second.id, h.id, s.id)
			}
		}
		if second.id%4 == 1 {
			spread[second.id]++
		}
	}
	for id, n := range spread { // about 300 sessions over the ten fast ones
		if n > 60 {
			t.Errorf("%d sessions have their second home at %d", n, id)
		}
	}
	if len(spread) != 10 {
		t.Errorf("%d of ten fast replicas are second homes", len(spread))
	}
}
