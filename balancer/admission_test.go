package balancer

import (
	"testing"
)

// The advice of an overload reply grows with what stands over its request's share of the
// limit, stays within the latency objective and the settings' maximum, and scatters.
func TestRetryAfter(t *testing.T) {
	s := settings()
	s.Classes = append(s.Classes, Class{Name: "bulk", LatencyObjective: 10 * second, Deadline: 30 * second, PriorityWeight: 1, Streaming: true})
	for _, c := range []struct {
		class       string
		open, limit float64
		least, most Micros
	}{
		{"chat", 0, 0, second / 8 * 3 / 4, second / 8 * 5 / 4},            // nothing says how long: soon
		{"chat", 20_000, 15_000, second / 4 * 3 / 4, second / 2 * 5 / 4},  // a quarter over, requests last 1 s
		{"chat", 90_000, 1_000, second / 2 * 3 / 4, second / 2 * 5 / 4},   // far over: half the objective
		{"bulk", 20_000, 15_000, 10 * second / 8 * 3 / 4, 2 * second},     // no sooner than an eighth of its objective
		{"bulk", 90_000, 1_000, 10 * second / 8 * 3 / 4, s.MaxRetryAfter}, // no later than the maximum
	} {
		b, _ := startBalancer(t, s, fleet(3)...)
		b.inFlightTokens, b.tokenLimit, b.meanWeightPerToken = c.open, c.limit, 1e-9
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
		t.Errorf("advice %d where the wire has none", d)
	}
}

// tickAndDispatch sends a request, each fifth one after a tick. It returns the replica of
// the request's first attempt, or admitted = false if the request is shed.
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

// Streams slower than their token objective count as late though their first tokens come
// in time: else an overloaded fleet admits every request.
func TestSlowStreamsLimitAdmission(t *testing.T) {
	serve := func(first Micros) (shed int) {
		b, rec := startBalancer(t, settings(), fleet(4)...)
		now := 101 * second
		for i := range RequestID(600) {
			now += 50_000
			wait := first
			if i < 40 {
				wait = 60_000 // at first all is well
			}
			to, admitted := tickAndDispatch(b, rec, now, i)
			if !admitted {
				shed++
				continue
			}
			b.FirstToken(now+wait, Outcome{ID: i, Replica: to, Elapsed: wait})
			if j := i - 20; i > 20 && b.requests[j] != nil {
				w := b.requests[j].attempts[0].row.id
				b.AttemptEnded(now, Outcome{ID: j, Replica: w, Status: Served, Elapsed: second, Final: true})
			}
		}
		return shed
	}
	if n := serve(60_000); n != 0 {
		t.Errorf("%d shed while all is well", n)
	}
	if n := serve(400_000); n < 50 {
		t.Errorf("only %d shed while streams are far too slow", n)
	}
}

// Once an overload is over, requests are admitted again though few had been: shedding must
// not feed itself.
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
		b.tick(now) // nothing arrives: only time raises it
	}
	if b.tokenLimit < 1.1*low {
		t.Fatalf("limit %v after a second, was %v", b.tokenLimit, low)
	}
	now, shed := 102*second, 0
	for i := range RequestID(200) { // the fleet is idle: each is served at once
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

// Handshakes of several round trips must not look like slow steps.
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

// Requests over their tenant's quota weigh less.
func TestOverQuotaWeighsLess(t *testing.T) {
	s := settings()
	s.Tenants, s.OverQuotaWeight = []Tenant{{Name: "x", QuotaPerS: 10}, {Name: "y", QuotaPerS: 10}}, 0.1
	b, _ := startBalancer(t, s, fleet(1)...)
	b.tenantRate[0], b.tenantRate[1] = 30, 5
	over := b.weightPerToken(&request{Request: testRequest(1), policy: b.policies[0], tenantIndex: 0})
	within := b.weightPerToken(&request{Request: testRequest(1), policy: b.policies[0], tenantIndex: 1})
	if over > within*0.11 {
		t.Fatalf("over share %v, within %v", over, within)
	}
}

// Lateness is counted once, when the latency objective passes: counted when the answer came,
// an overload went on lowering the limit long after it was over.
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
		t.Fatal("not counted when the objective passed")
	}
	b.FirstToken(104*second, Outcome{ID: 1, Replica: b.requests[1].attempts[0].row.id, Elapsed: 3 * second})
	if b.lateFraction != late {
		t.Fatal("counted again when the answer came")
	}
}

// All that an overload makes late is one overload: the limit falls by a part in each tick, not
// by as much for each request. Counted one by one, 60 late requests left a seventh of it, and
// a gateway shed load for seconds after the overload was over.
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
		t.Errorf("from %.0f to %.0f by one overload", before, b.tokenLimit)
	}
	for range 20 { // an overload that lasts still lowers it
		b.inFlightTokens, b.lateFraction = b.tokenLimit, 1
		b.tick(b.lastTickAt + tickInterval)
		for range 100 {
			b.recordLateness(1)
		}
	}
	if b.tokenLimit > before/2 {
		t.Errorf("%.0f of %.0f after five seconds", b.tokenLimit, before)
	}
}

// A gateway that takes over another's traffic has more in flight than its recent mean: the
// limit starts from what is in flight.
func TestLimitStartsFromInFlightTokens(t *testing.T) {
	b, _ := startBalancer(t, settings(), fleet(2)...)
	b.inFlightTokens, b.meanInFlightTokens, b.lateFraction = 100_000, 5_000, 1
	if b.recordLateness(1); b.tokenLimit < 90_000 {
		t.Errorf("limit %.0f with 100000 open", b.tokenLimit)
	}
}

// The pace estimated from first tokens counts only if ended streams confirm it, where they
// report their length.
func TestSlowPaceIsConfirmedByStreams(t *testing.T) {
	b, _ := startBalancer(t, settings(), fleet(1)...)
	a := &attempt{row: b.rows[0], timeToFirstToken: 400_000}
	req := &request{Request: testRequest(1), policy: b.policies[0], tenantIndex: -1}
	b.firstTokenFit.n, b.stepExcess, b.stepFloor[2*a.row.zone] = 20, 1e6, 1000
	if !b.streamsTooSlow(req, a) {
		t.Error("not too slow where lengths are not reported")
	}
	b.recordStreamPace(2e6, 100*50_000) // 100 tokens in 2 s: well within 50 ms each
	if b.streamsTooSlow(req, a) {
		t.Error("too slow, although streams are quick")
	}
	for range 20 {
		b.recordStreamPace(9e6, 100*50_000)
	}
	if !b.streamsTooSlow(req, a) {
		t.Error("not too slow, although streams are")
	}
}
