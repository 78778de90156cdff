package balancer

import (
	"testing"
)

// Backoff doubles up to its bound, and lasts longer after quick errors in large fleets.
func TestBackoff(t *testing.T) {
	if got := backoff(1, true, 30, 0.5); got != 500_000 {
		t.Errorf("silent: %d", got)
	}
	if got := backoff(1, false, 30, 0.5); got != 15_000_000 {
		t.Errorf("quick errors before 300 gateways: %d", got)
	}
	if got := backoff(60, true, 1, 1); got != 20_000_000 {
		t.Errorf("bound: %d", got)
	}
}

// A replica that errs at once looks idle. One of eighty gateways meets it seldom: it must not be
// attracted by the idleness, nor come again half a second after the error.
func TestQuickErrorsDoNotAttractEighty(t *testing.T) {
	b, rec := startBalancer(t, largeFleetSettings(), fleet(40)...)
	b.meanHeldTokens, b.meanLoad = 1200, 9600
	now := 110 * second
	for _, row := range b.rows {
		n := 8.0
		if row.id == 1 {
			n = 0
		}
		b.HealthCheckEnded(now, Outcome{Replica: row.id, Status: Served, Report: reportInFlight(n)})
	}
	b.meanLoad = 9600
	req := &request{Request: testRequest(1), policy: b.policies[0], tenantIndex: -1, avoidZone: -1, arrivedAt: now - second, deadline: now + 3*second}
	b.pick(now, req)
	if next := b.shortlist[0]; next.row.id == 1 && next.score < 0.6*b.shortlist[1].score {
		t.Errorf("the idle one scores %.0f, the next %.0f", next.score, b.shortlist[1].score)
	}
	rec.actions = nil
	b.recordFailure(now, b.rowByID[1], Errored)
	if rest := b.rowByID[1].backoffUntil - now; rest < 3*second || rest > backoffMax*5/4 {
		t.Errorf("backoff of %d us", rest)
	}
}

// Quick errors must not make a replica the emptiest: it gets backoff and comes back one attempt
// at a time.
func TestQuickErrorsBackOff(t *testing.T) {
	b, rec := startBalancer(t, settings(), fleet(2)...)
	id := RequestID(1)
	for ; ; id++ {
		to := dispatched(b, rec, 101*second, testRequest(id))
		if to == 1 {
			break
		}
	}
	b.AttemptEnded(101*second, Outcome{ID: id, Replica: 1, Status: Errored, Elapsed: 1000})
	if d := rec.take("dispatch"); len(d) != 1 || d[0].to != 2 {
		t.Fatalf("retry went to %v", d)
	}
	for i := range RequestID(10) {
		if dispatched(b, rec, 101*second, testRequest(100+i)) == 1 {
			t.Fatal("sent to a replica in backoff")
		}
	}
	sent := 0
	for i := range RequestID(10) {
		if dispatched(b, rec, 110*second, testRequest(200+i)) == 1 {
			sent++
		}
	}
	if sent != 1 {
		t.Fatalf("%d attempts at once to a replica on trial", sent)
	}
}
