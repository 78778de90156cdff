package balancer

import (
	"testing"
)

// The Retry-After of an overload reply grows with the tokens above the request's fraction of
// the limit, stays within the latency objective and the settings' maximum, and has jitter.
func TestRetryAfter(t *testing.T) {
	s := settings()
	s.Classes = append(s.Classes, Class{Name: "bulk", LatencyObjective: 10 * second, Deadline: 30 * second, PriorityWeight: 1, Streaming: true})
	for _, c := range []struct {
		class           string
		inFlight, limit float64
		least, most     Micros
	}{
		{"chat", 0, 0, second / 8 * 3 / 4, second / 8 * 5 / 4},            // no limit: the minimum
		{"chat", 20_000, 15_000, second / 4 * 3 / 4, second / 2 * 5 / 4},  // a quarter over, requests last 1 s
		{"chat", 90_000, 1_000, second / 2 * 3 / 4, second / 2 * 5 / 4},   // far over: half the objective
		{"bulk", 20_000, 15_000, 10 * second / 8 * 3 / 4, 2 * second},     // no sooner than an eighth of its objective
		{"bulk", 90_000, 1_000, 10 * second / 8 * 3 / 4, s.MaxRetryAfter}, // no later than the maximum
	} {
		b, _ := startBalancer(t, s, fleet(3)...)
		b.inFlightTokens, b.tokenLimit, b.meanWeightPerToken = c.inFlight, c.limit, 1e-9
		req := &request{Request: testRequest(1), classIndex: b.classIndex[c.class], policy: b.policies[b.classIndex[c.class]], tenantIndex: -1}
		seen := map[Micros]bool{}
		for range 100 {
			d := b.retryAfter(req)
			if d < c.least || d > c.most {
				t.Fatalf("%+v: Retry-After of %d", c, d)
			}
			seen[d] = true
		}
		if c.class == "chat" && len(seen) < 50 {
			t.Errorf("%+v: only %d different times of 100", c, len(seen))
		}
	}
	s.RetryAfter = false
	b, _ := startBalancer(t, s, fleet(1)...)
	if d := b.retryAfter(&request{Request: testRequest(1), policy: b.policies[0], tenantIndex: -1}); d != 0 {
		t.Errorf("Retry-After of %d where the settings disable it", d)
	}
}

// tickAndDispatch delivers a request, and a tick before each fifth one. It returns the replica
// of the request's first attempt, or admitted = false if the request is shed.
func tickAndDispatch(b *Balancer, rec *recorder, now Micros, id RequestID) (to ReplicaID, admitted bool) {
	if id%5 == 0 {
		b.tick(now)
	}
	rec.actions = nil
	b.RequestArrived(now, testRequest(id))
	if len(rec.take("shed")) > 0 {
		return 0, false
	}
	return b.requests[id].attempts[0].row.id, true
}

// Streams slower than their token objective count as late although their first tokens are on
// time. Otherwise an overloaded fleet would admit every request.
func TestSlowStreamsLimitAdmission(t *testing.T) {
	shedCount := func(firstTokenTime Micros) (shed int) {
		b, rec := startBalancer(t, settings(), fleet(4)...)
		now := 101 * second
		for i := range RequestID(600) {
			now += 50_000
			wait := firstTokenTime
			if i < 40 {
				wait = 60_000 // fast at first
			}
			to, admitted := tickAndDispatch(b, rec, now, i)
			if !admitted {
				shed++
				continue
			}
			b.FirstToken(now+wait, Outcome{ID: i, Replica: to, Elapsed: wait})
			if j := i - 20; i > 20 && b.requests[j] != nil {
				replica := b.requests[j].attempts[0].row.id
				b.AttemptEnded(now, Outcome{ID: j, Replica: replica, Status: Served, Elapsed: second, Final: true})
			}
		}
		return shed
	}
	if n := shedCount(60_000); n != 0 {
		t.Errorf("%d of 600 requests shed while streams are fast enough", n)
	}
	if n := shedCount(400_000); n < 50 {
		t.Errorf("%d of 600 requests shed while streams are far too slow, want at least 50", n)
	}
}

// After an overload requests are admitted again, although few were admitted during it: load
// shedding must not sustain itself.
func TestSheddingEndsWithTheOverload(t *testing.T) {
	b, rec := startBalancer(t, settings(), fleet(4)...)
	b.meanHeldTokens, b.meanInFlightTokens = 1100, 50000
	for range 200 {
		b.recordLateness(1)
	}
	if b.tokenLimit == 0 || b.tokenLimit > 2000 {
		t.Fatalf("limit %v after 200 late requests", b.tokenLimit)
	}
	low := b.tokenLimit
	for now := 101 * second; now < 102*second; now += tickInterval {
		b.meanInFlightTokens = 50000
		b.tick(now) // no requests arrive: only time raises the limit
	}
	if b.tokenLimit < 1.1*low {
		t.Fatalf("limit %v after a second, was %v", b.tokenLimit, low)
	}
	now, shed := 102*second, 0
	for i := range RequestID(200) { // the fleet is idle and serves each request at once
		now += 50_000
		to, admitted := tickAndDispatch(b, rec, now, i)
		if !admitted {
			shed++
			continue
		}
		b.FirstToken(now, Outcome{ID: i, Replica: to, Elapsed: 50_000})
		b.AttemptEnded(now, Outcome{ID: i, Replica: to, Status: Served, Elapsed: 60_000, Final: true})
	}
	if shed > 20 {
		t.Fatalf("%d of 200 shed by an idle fleet", shed)
	}
}

// Handshakes of several round trips must not be mistaken for slow decode steps.
func TestConnectionsDoNotLookSlow(t *testing.T) {
	b, _ := startBalancer(t, settings(), fleet(1)...)
	b.firstTokenFit.n = 100
	req := &request{Request: testRequest(1), policy: b.policies[0]}
	slow := false
	for i := range 400 {
		a := &attempt{row: b.rows[0], timeToFirstToken: 50_000, newConn: i%8 != 0}
		if a.newConn {
			a.timeToFirstToken = 150_000
		}
		slow = b.streamsTooSlow(req, a) || slow
	}
	if slow {
		t.Fatal("handshakes counted as slow streams")
	}
}

// Requests above their tenant's quota have a lower weight.
func TestOverQuotaWeighsLess(t *testing.T) {
	s := settings()
	s.Tenants, s.OverQuotaWeight = []Tenant{{Name: "x", QuotaPerS: 10}, {Name: "y", QuotaPerS: 10}}, 0.1
	b, _ := startBalancer(t, s, fleet(1)...)
	b.tenantRate[0], b.tenantRate[1] = 30, 5
	over := b.weightPerToken(&request{Request: testRequest(1), policy: b.policies[0], tenantIndex: 0})
	within := b.weightPerToken(&request{Request: testRequest(1), policy: b.policies[0], tenantIndex: 1})
	if over > within*0.11 {
		t.Fatalf("weight per token %v above the quota, %v within it", over, within)
	}
}

// Lateness is counted once, when the latency objective passes. Counted when the answer comes,
// it would lower the limit after the overload is over.
func TestLatenessCountsWhenTheObjectivePasses(t *testing.T) {
	b, rec := startBalancer(t, settings(), fleet(2)...)
	b.RequestArrived(101*second, testRequest(1))
	timer := rec.takeTimer(timerObjective)
	if timer.delay != second {
		t.Fatalf("objective timer %+v", timer)
	}
	b.TimerFired(101*second+timer.delay, timer.token)
	late := b.lateFraction
	if late == 0 {
		t.Fatal("lateness not counted when the objective passed")
	}
	b.FirstToken(104*second, Outcome{ID: 1, Replica: b.requests[1].attempts[0].row.id, Elapsed: 3 * second})
	if b.lateFraction != late {
		t.Fatal("lateness counted again at the first token")
	}
}

// The fall of the limit is bounded per tick, however many requests are late. If each of 60 late
// requests lowered it, a seventh of the limit would be left, and the gateway would shed load for
// seconds after the overload is over.
func TestOneOverloadLowersTheLimitSlowly(t *testing.T) {
	b, _ := startBalancer(t, settings(), fleet(2)...)
	b.inFlightTokens, b.meanInFlightTokens, b.meanHeldTokens, b.lateFraction = 100_000, 100_000, 1000, 1
	b.recordLateness(1)
	b.tick(101 * second)
	before := b.tokenLimit
	for range 100 {
		b.recordLateness(1)
	}
	if b.tokenLimit < minLimitRatioPerTick*before || b.tokenLimit > 0.95*before {
		t.Errorf("limit fell from %.0f to %.0f within a tick", before, b.tokenLimit)
	}
	for range 20 { // a long overload lowers the limit further
		b.inFlightTokens, b.lateFraction = b.tokenLimit, 1
		b.tick(b.lastTickAt + tickInterval)
		for range 100 {
			b.recordLateness(1)
		}
	}
	if b.tokenLimit > before/2 {
		t.Errorf("limit %.0f after five seconds of overload, was %.0f", b.tokenLimit, before)
	}
}

// A gateway that takes over another's traffic has more tokens in flight than their recent mean.
// The limit starts from the tokens in flight.
func TestLimitStartsFromInFlightTokens(t *testing.T) {
	b, _ := startBalancer(t, settings(), fleet(2)...)
	b.inFlightTokens, b.meanInFlightTokens, b.lateFraction = 100_000, 5_000, 1
	if b.recordLateness(1); b.tokenLimit < 90_000 {
		t.Errorf("limit %.0f with 100000 tokens in flight", b.tokenLimit)
	}
}

// Where streams report their length, the decode speed estimated from first tokens counts only
// if ended streams confirm it.
func TestSlowPaceIsConfirmedByStreams(t *testing.T) {
	b, _ := startBalancer(t, settings(), fleet(1)...)
	a := &attempt{row: b.rows[0], timeToFirstToken: 400_000}
	req := &request{Request: testRequest(1), policy: b.policies[0], tenantIndex: -1}
	b.firstTokenFit.n, b.stepExcess, b.stepFloor[2*a.row.zone] = 20, 1e6, 1000
	if !b.streamsTooSlow(req, a) {
		t.Error("streams not too slow although lengths are not reported")
	}
	b.recordStreamPace(2e6, 100*50_000) // 100 tokens in 2 s: well within 50 ms each
	if b.streamsTooSlow(req, a) {
		t.Error("streams too slow although ended streams were fast")
	}
	for range 20 {
		b.recordStreamPace(9e6, 100*50_000)
	}
	if !b.streamsTooSlow(req, a) {
		t.Error("streams not too slow although ended streams were slow")
	}
}
