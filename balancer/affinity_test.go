package balancer

import (
	"testing"
)

// affinityTargetsOf returns the first and the second affinity target of a request.
func affinityTargetsOf(b *Balancer, req *request) (target, second *replicaRow) {
	found := b.affinityOf(req)
	return found.target, found.second
}

// A session's turns find its affinity target by hashing, also at gateways that never saw the
// session, and load can outweigh that.
func TestSessionAffinityTarget(t *testing.T) {
	r := testRequest(1)
	r.Session, r.PromptTokens = 0xabcdef, 6000
	var target ReplicaID
	for self := range 3 {
		s := settings()
		s.Self, s.Gateways = self, 3
		b, _ := startBalancer(t, s, fleet(8)...)
		row, cached, _ := b.pick(101*second, &request{Request: r, policy: b.policies[0], tenantIndex: -1, avoidZone: -1})
		if target != 0 && row.id != target || cached <= 0 {
			t.Fatalf("gateway %d picked %d (cached %v), another %d", self, row.id, cached, target)
		}
		target = row.id
		row.charge, row.unreported = 1e6, 1e6
		if w2, _, _ := b.pick(101*second, &request{Request: r, policy: b.policies[0], tenantIndex: -1, avoidZone: -1}); w2.id == target {
			t.Fatal("an overloaded target is still picked")
		}
	}
}

// What is remembered of sessions and prefixes is bounded.
func TestSessionAndPrefixTablesAreBounded(t *testing.T) {
	b, rec := startBalancer(t, settings(), fleet(1)...)
	for i := range 3 * maxSessions {
		r := testRequest(RequestID(i))
		r.Session, r.Prefix = uint64(i+1), uint64(i+1)
		b.RequestArrived(101*second, r)
		b.AttemptEnded(101*second, Outcome{ID: r.ID, Replica: 1, Status: Served, Final: true})
		rec.actions = nil
	}
	if len(b.sessions) > maxSessions || len(b.prefixCounts) > maxPrefixes || len(b.requests) != 0 {
		t.Fatalf("%d sessions, %d prefixes, %d requests", len(b.sessions), len(b.prefixCounts), len(b.requests))
	}
}

// A session whose affinity target is full goes to the same second target from all gateways.
func TestEightyAgreeOnTheSecondTarget(t *testing.T) {
	agreed := 0
	for session := range uint64(50) {
		var first ReplicaID
		for self := range 2 {
			s := largeFleetSettings()
			s.Self = self
			b, rec := startBalancer(t, s, fleet(40)...)
			b.meanHeldTokens, b.meanLoad = 1200, 9600
			in := testRequest(1)
			in.Session, in.Prefix, in.PrefixTokens, in.PromptTokens = 1000+session, 7, 500, 6000
			now := 101 * second
			b.RequestArrived(now, in)
			target, second := affinityTargetsOf(b, b.requests[1])
			for _, id := range healthChecked(rec) {
				n := 4.0
				if id == target.id {
					n = 60
				}
				b.HealthCheckEnded(now+2000, Outcome{Replica: id, Status: Served, Report: reportInFlight(n)})
			}
			to := b.requests[1].attempts[0].row.id
			if to == target.id {
				t.Fatalf("sent to the full target")
			}
			if self == 0 {
				first = to
			} else if to == first && to == second.id {
				agreed++
			}
		}
	}
	if agreed < 40 {
		t.Errorf("%d of 50 sessions went to one second target", agreed)
	}
}

// Eighty gateways, each of which has seen a few requests, agree on where a session's prompt is
// cached: with a share counted from so few, affinity targets were anywhere.
func TestEightyAgreeOnAffinityTargets(t *testing.T) {
	var all []*Balancer
	for self := range 40 {
		s := largeFleetSettings()
		s.Self = self
		b, _ := startBalancer(t, s, fleet(40)...)
		for i := range 1 + self%12 { // what it has seen so far
			b.countPrefix(&request{Request: Request{Prefix: uint64(100 + (self*7+i*3)%25)}})
		}
		all = append(all, b)
	}
	agreed, n := 0, 0
	for session := range uint64(60) {
		count := map[ReplicaID]int{}
		for _, b := range all {
			in := testRequest(1)
			in.Session, in.Prefix, in.PrefixTokens = 1000+session, 100+session%25, 800
			req := &request{Request: in, policy: b.policies[0]}
			target, _ := affinityTargetsOf(b, req)
			count[target.id]++
			n++
		}
		most := 0
		for _, c := range count {
			most = max(most, c)
		}
		agreed += most
	}
	if share := float64(agreed) / float64(n); share < 0.7 {
		t.Errorf("%.0f%% of gateways agree on a session's affinity target", 100*share)
	}
}

// Many sessions that share a short prefix of long prompts have affinity targets all over the
// fleet. Seen: a prefix of 500 tokens of prompts of 12,000, with a quarter of all traffic, had four
// targets of a hundred, for each of 300 gateways had seen little of it.
func TestShortPrefixesSpreadLongPrompts(t *testing.T) {
	s := largeFleetSettings()
	s.Gateways = 300
	targetCount := func(prefix, prompt int) int {
		seen := map[ReplicaID]bool{}
		b, _ := startBalancer(t, s, fleet(100)...)
		for i := range RequestID(200) {
			in := testRequest(i + 1)
			in.Session, in.Prefix, in.PrefixTokens, in.PromptTokens = 1000+uint64(i), 7, prefix, prompt
			req := &request{Request: in, policy: b.policies[0]}
			if i < 5 { // what a gateway has seen of it
				b.countPrefix(req)
			}
			target, _ := affinityTargetsOf(b, req)
			seen[target.id] = true
		}
		return len(seen)
	}
	if n := targetCount(500, 12_000); n < 70 {
		t.Errorf("200 sessions of 12,000 tokens that share 500 have %d affinity targets of 100", n)
	}
	if n := targetCount(10_000, 12_000); n > 40 {
		t.Errorf("200 sessions of 12,000 tokens that share 10,000 have %d affinity targets of 100", n)
	}
}

// Requests that leave a session's affinity target for machines of another kind go to one and the
// same of them from all gateways: when each turn went to another one, nothing was cached there.
func TestSecondTargetIsOfAnotherKind(t *testing.T) {
	endpoints := fleet(40)
	for i := range endpoints {
		if i%4 == 0 {
			endpoints[i].Kind = "fast"
		}
	}
	var all []*Balancer
	for self := range 3 {
		s := largeFleetSettings()
		s.Self, s.Kinds = self, []string{"k", "fast"}
		b, _ := startBalancer(t, s, endpoints...)
		all = append(all, b)
	}
	spread := map[ReplicaID]int{}
	for session := range uint64(400) {
		req := &request{Request: testRequest(1)}
		req.Session = session + 1
		target, second := affinityTargetsOf(all[0], req)
		if target.kind == second.kind {
			t.Fatalf("session %d: both targets are of one kind", session)
		}
		for _, b := range all[1:] {
			if first, next := affinityTargetsOf(b, req); first.id != target.id || next.id != second.id {
				t.Fatalf("session %d: targets %d and %d, elsewhere %d and %d", session, target.id, second.id, first.id, next.id)
			}
		}
		if second.id%4 == 1 {
			spread[second.id]++
		}
	}
	for id, n := range spread { // about 300 sessions over the ten fast ones
		if n > 60 {
			t.Errorf("%d sessions have their second target at %d", n, id)
		}
	}
	if len(spread) != 10 {
		t.Errorf("%d of ten fast replicas are second targets", len(spread))
	}
}

// An affinity target named by the request comes before what the module would find, and it alone has
// the prefix.
func TestRequestedAffinityTarget(t *testing.T) {
	b, _ := startBalancer(t, largeFleetSettings(), fleet(40)...)
	b.fleetSize = 400
	req := &request{Request: testRequest(1), policy: b.policies[0], tenantIndex: -1, avoidZone: -1}
	req.Session, req.Prefix, req.PrefixTokens, req.AffinityTarget = 77, 5, 500, 31
	if target, second := affinityTargetsOf(b, req); target != b.rowByID[31] || second != nil {
		t.Errorf("target %v, second %v", target, second)
	}
	b.rowByID[31].state = EndpointDraining
	if target, _ := affinityTargetsOf(b, req); target != nil {
		t.Errorf("a draining target: %v", target)
	}
}
