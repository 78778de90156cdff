package balancer

import (
	"testing"
)

// No hedge is dispatched if the settings forbid hedging.
func TestNoHedgeWhereForbidden(t *testing.T) {
	s := settings()
	s.MayHedge = false
	b, rec := startBalancer(t, s, fleet(3)...)
	b.hedgeBudget = 8
	b.RequestArrived(101*second, testRequest(1))
	rec.actions = nil
	b.TimerFired(103*second, timerHedge|1<<timerBits)
	if len(rec.take("dispatch")) != 0 {
		t.Fatal("a hedge was dispatched")
	}
}

// The retry budget bounds the retries of requests that all fail.
func TestRetriesAreBounded(t *testing.T) {
	b, rec := startBalancer(t, settings(), fleet(30)...)
	retries := 0
	for i := range RequestID(300) {
		b.RequestArrived(101*second, testRequest(i))
		for n := 0; n < 3; n++ {
			req := b.requests[i]
			if req == nil || req.attempts[n].ended {
				break
			}
			before := len(req.attempts)
			b.AttemptEnded(101*second, Outcome{ID: i, Attempt: n, Replica: req.attempts[n].row.id, Status: Errored})
			if b.requests[i] == nil || len(req.attempts) == before {
				break
			}
			retries++
		}
		rec.actions = nil
	}
	if most := int(budgetCap + defaultRetryRatio*300 + 1); retries > most || retries == 0 {
		t.Fatalf("%d retries for 300 requests that all fail, want 1 to %d", retries, most)
	}
}
