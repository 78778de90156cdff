package balancer

import (
	"fmt"
	"testing"
)

// Attempts that another gateway has made count towards MaxAttempts: after two of three a request
// gets one more.
func TestPriorAttemptsCount(t *testing.T) {
	b, rec := startBalancer(t, settings(), Endpoint{Replica: 1, Zone: "a", Kind: "k"}, Endpoint{Replica: 2, Zone: "a", Kind: "k"}, Endpoint{Replica: 3, Zone: "a", Kind: "k"})
	rec.take("")
	for prior, want := range []int{3, 2, 1, 0} {
		id := RequestID(prior + 1)
		b.RequestArrived(second, Request{ID: id, Class: "chat", TimeLeft: 4 * second, PromptTokens: 10, MaxTokens: 10, PriorAttempts: prior})
		got := 0
		for list := rec.take("dispatch"); len(list) > 0; list = rec.take("dispatch") {
			got++
			b.AttemptEnded(second, Outcome{ID: id, Attempt: got - 1, Replica: list[0].to, Status: ConnectFailed})
		}
		if got != want {
			t.Errorf("%d prior attempts: %d more, expected %d", prior, got, want)
		}
		if b.requests[id] != nil {
			t.Errorf("%d prior attempts: the request is still in flight", prior)
		}
	}
}

// Every accepted request gets exactly one answer before its client's deadline, even if all
// replicas are removed from the endpoint list meanwhile.
func TestDeadlineAnswersWhateverHappens(t *testing.T) {
	b, rec := startBalancer(t, settings(), fleet(2)...)
	b.RequestArrived(101*second, testRequest(1))
	deadline := rec.takeTimer(timerDeadline)
	if deadline.delay <= 0 || deadline.delay >= 4*second {
		t.Fatalf("deadline timer %+v", deadline)
	}
	b.ListChanged(102*second, EndpointList{Kind: ListFull})
	b.TimerFired(101*second+deadline.delay, deadline.token)
	if n := len(rec.take("shed")); n != 1 {
		t.Fatalf("%d answers at the deadline", n)
	}
	b.TimerFired(110*second, deadline.token)
	b.AttemptEnded(110*second, Outcome{ID: 1, Status: TimedOut, Final: true})
	b.AttemptEnded(110*second, Outcome{ID: 99, Status: Served, Final: true})
	if len(rec.actions) != 0 || len(b.requests) != 0 {
		t.Fatalf("after the answer: %v, %d requests", rec.actions, len(b.requests))
	}
}

// A request that arrives while no replica is ready is shed at once, not at its deadline.
func TestNoReadyReplicaShedsAtOnce(t *testing.T) {
	b, rec := startBalancer(t, settings())
	b.RequestArrived(101*second, testRequest(1))
	if r := rec.take("shed"); len(r) != 1 || r[0].delay <= 0 {
		t.Fatalf("overload replies %v", r)
	}
}

// The replicas that may get a second attempt, and whether a request may be shed after the first,
// depend on the idempotency, the deduplication scope and the result of the first attempt.
func TestIdempotency(t *testing.T) {
	endpoints := fleet(4)
	endpoints[2].Zone, endpoints[3].Zone = "b", "b"
	endpoints[0].Cell, endpoints[1].Cell = 5, 5
	all := []ReplicaID{2, 3, 4}
	for _, c := range []struct {
		name        string
		idempotency Idempotency
		scope       DedupScope
		status      Status
		elapsed     Micros
		allowed     []ReplicaID // replicas for a second attempt after one at replica 1
		shed        bool
	}{
		{"idempotent", Idempotent, DedupAll, Errored, 0, all, true},
		{"not idempotent, may have run", NonIdempotent, DedupAll, Errored, 0, nil, false},
		{"not idempotent, never ran", NonIdempotent, DedupAll, ConnectFailed, 0, all, true},
		{"key, all replicas", IdempotentWithKey, DedupAll, ConnBroken, 0, all, true},
		{"key, zone", IdempotentWithKey, DedupZone, Errored, 0, []ReplicaID{2}, false},
		{"key, cell", IdempotentWithKey, DedupCell, Errored, 0, []ReplicaID{2}, false},
		{"key, zone, never ran", IdempotentWithKey, DedupZone, Shed, 0, all, true},
		{"key, all replicas, window over", IdempotentWithKey, DedupAll, Errored, 5 * second, nil, true},
		{"key, zone, cancelled", IdempotentWithKey, DedupZone, Cancelled, 0, []ReplicaID{2}, false},
	} {
		s := settings()
		s.Classes[0].Idempotency, s.Classes[0].DedupScope, s.Classes[0].DedupWindow = c.idempotency, c.scope, 5*second
		b, _ := startBalancer(t, s, endpoints...)
		req := &request{Request: testRequest(1), policy: b.policies[0], tenantIndex: -1, avoidZone: -1}
		req.attempts = []*attempt{{row: b.rows[0], sentAt: 101 * second, ended: true, status: c.status}}
		var got []ReplicaID
		for _, row := range b.rows[1:] {
			if b.idempotencyAllows(101*second+c.elapsed, req, row) {
				got = append(got, row.id)
			}
		}
		if fmt.Sprint(got) != fmt.Sprint(c.allowed) || b.mayShed(req) != c.shed {
			t.Errorf("%s: a second attempt may go to %v, shed %v", c.name, got, b.mayShed(req))
		}
	}
}

// Neither a malformed stream nor a rejected request puts the replica in backoff: any replica may
// send the one, and the other is the request's fault. Only the malformed one is retried.
func TestMalformedAndRejectedLeaveTheReplicaInUse(t *testing.T) {
	for status, want := range map[Status]string{Malformed: "dispatch", Rejected: "fail"} {
		b, rec := startBalancer(t, settings(), fleet(2)...)
		b.RequestArrived(101*second, testRequest(1))
		row := b.requests[1].attempts[0].row
		rec.actions = nil
		b.AttemptEnded(101*second, Outcome{ID: 1, Replica: row.id, Status: status})
		if n := len(rec.take(want)); n != 1 {
			t.Errorf("status %d: %d actions %q, expected 1", status, n, want)
		}
		if req := (&request{Request: testRequest(2), policy: b.policies[0], tenantIndex: -1, avoidZone: -1}); !b.eligible(101*second, row, req, false) {
			t.Errorf("status %d: the replica is in backoff", status)
		}
	}
}
