package balancer

import (
	"testing"
)

// affinityTargetsOf returns the first and the second affinity target of a request.
func affinityTargetsOf(b *Balancer, req *request) (target, second *replicaRow) {
	found := b.affinityOf(req)
	return found.target, found.second
}

// All gateways send a session to the same affinity target, also those that have not served the session
// before. An overloaded target is not picked.
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
		if other, _, _ := b.pick(101*second, &request{Request: r, policy: b.policies[0], tenantIndex: -1, avoidZone: -1}); other.id == target {
			t.Fatal("an overloaded target is still picked")
		}
	}
}

// The tables of sessions and prefixes are bounded.
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

// All gateways send a session whose affinity target is full to the same second target.
func TestGatewaysAgreeOnTheSecondTarget(t *testing.T) {
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
				t.Fatalf("sent to the affinity target, which is full")
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

// Gateways that have each seen only a few requests agree on a session's affinity target. If they
// estimated a prefix's fraction of the traffic from so few counts, their targets would differ.
func TestGatewaysAgreeOnAffinityTargets(t *testing.T) {
	var all []*Balancer
	for self := range 40 {
		s := largeFleetSettings()
		s.Self = self
		b, _ := startBalancer(t, s, fleet(40)...)
		for i := range 1 + self%12 { // requests that this gateway has seen
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
		maxCount := 0
		for _, c := range count {
			maxCount = max(maxCount, c)
		}
		agreed += maxCount
	}
	if fraction := float64(agreed) / float64(n); fraction < 0.7 {
		t.Errorf("%.0f%% of gateways agree on a session's affinity target", 100*fraction)
	}
}

// Sessions with long prompts and a short common prefix have affinity targets all over the fleet. Each
// of 300 gateways sees few requests of a prefix. Estimated from these counts and the prefix alone, a
// quarter of all traffic, prompts of 12,000 tokens that share 500, would have four targets of a hundred.
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
			if i < 5 { // requests with the prefix that the gateway has seen
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

// A session's second target is of another kind than its first, and the same at all gateways. Without
// that, each turn that leaves the first target for another kind could go to a different replica, where
// nothing is cached.
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
	sessionsByTarget := map[ReplicaID]int{}
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
			sessionsByTarget[second.id]++
		}
	}
	for id, n := range sessionsByTarget { // about 300 sessions over the ten fast ones
		if n > 60 {
			t.Errorf("%d sessions have their second target at %d", n, id)
		}
	}
	if len(sessionsByTarget) != 10 {
		t.Errorf("%d of ten fast replicas are second targets", len(sessionsByTarget))
	}
}

// An affinity target named by the request replaces the computed targets.
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
