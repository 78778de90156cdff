package balancer

import (
	"testing"
)

// Backoff grows up to its bound, and is longer after fast errors in large fleets.
func TestBackoff(t *testing.T) {
	if got := backoff(1, true, 30, 0.5); got != 500_000 {
		t.Errorf("unresponsive replica: backoff of %d us, want 500000", got)
	}
	if got := backoff(1, false, 30, 0.5); got != 15_000_000 {
		t.Errorf("fast errors in a fleet of 300 gateways: backoff of %d us, want 15000000", got)
	}
	if got := backoff(60, true, 1, 1); got != 20_000_000 {
		t.Errorf("after 60 failures: backoff of %d us, want 20000000", got)
	}
}

// A replica that fails fast looks idle, and each of eighty gateways sees few of its errors. Its low
// load must not attract requests, and its backoff must be longer than the minimum of half a second.
func TestFastErrorsDoNotAttractManyGateways(t *testing.T) {
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
		t.Errorf("the idle replica scores %.0f, the next one %.0f", next.score, b.shortlist[1].score)
	}
	rec.actions = nil
	b.recordFailure(now, b.rowByID[1], Errored)
	if remaining := b.rowByID[1].backoffUntil - now; remaining < 3*second || remaining > backoffMax*5/4 {
		t.Errorf("backoff of %d us", remaining)
	}
}

// A replica that fails fast looks least loaded, but is in backoff and then receives one attempt at a
// time.
func TestFastErrorsBackOff(t *testing.T) {
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
