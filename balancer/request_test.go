package balancer

import (
	"fmt"
	"testing"
)

// Attempts made by another gateway count: a request that it lost after two of them gets one more
// and no other.
func TestPriorAttemptsCount(t *testing.T) {
	b, rec := startBalancer(t, settings(), Endpoint{Replica: 1, Zone: "a", Kind: "k"}, Endpoint{Replica: 2, Zone: "a", Kind: "k"}, Endpoint{Replica: 3, Zone: "a", Kind: "k"})
	rec.take("")
	for spent, want := range []int{3, 2, 1, 0} {
		id := RequestID(spent + 1)
		b.RequestArrived(second, Request{ID: id, Class: "chat", TimeLeft: 4 * second, PromptTokens: 10, MaxTokens: 10, PriorAttempts: spent})
		got := 0
		for list := rec.take("dispatch"); len(list) > 0; list = rec.take("dispatch") {
			got++
			b.AttemptEnded(second, Outcome{ID: id, Attempt: got - 1, Replica: list[0].to, Status: ConnectFailed})
		}
		if got != want {
			t.Errorf("%d made elsewhere: %d more, expected %d", spent, got, want)
		}
		if b.requests[id] != nil {
			t.Errorf("%d made elsewhere: still in flight", spent)
		}
	}
}

// Rule 1: every accepted request gets its one answer before its client leaves, also when every
// replica is gone.
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

// Without a ready replica a request is shed at once.
func TestNoReadyReplicaShedsAtOnce(t *testing.T) {
	b, rec := startBalancer(t, settings())
	b.RequestArrived(101*second, testRequest(1))
	if r := rec.take("shed"); len(r) != 1 || r[0].delay <= 0 {
		t.Fatalf("overload replies %v", r)
	}
}

// Rule 2: what may follow an attempt, by idempotency, scope and outcome.
func TestIdempotency(t *testing.T) {
	endpoints := fleet(4)
	endpoints[2].Zone, endpoints[3].Zone = "b", "b"
	endpoints[0].Cell, endpoints[1].Cell = 5, 5
	all := []ReplicaID{2, 3, 4}
	for _, c := range []struct {
		name   string
		effect Idempotency
		scope  DedupScope
		status Status
		after  Micros
		may    []ReplicaID // for a second attempt, after one at 1
		shed   bool
	}{
		{"safe", Idempotent, DedupAll, Errored, 0, all, true},
		{"unsafe ran", NonIdempotent, DedupAll, Errored, 0, nil, false},
		{"unsafe never ran", NonIdempotent, DedupAll, ConnectFailed, 0, all, true},
		{"keyed all", IdempotentWithKey, DedupAll, ConnBroken, 0, all, true},
		{"keyed zone", IdempotentWithKey, DedupZone, Errored, 0, []ReplicaID{2}, false},
		{"keyed cell", IdempotentWithKey, DedupCell, Errored, 0, []ReplicaID{2}, false},
		{"keyed zone never ran", IdempotentWithKey, DedupZone, Shed, 0, all, true},
		{"keyed forgotten", IdempotentWithKey, DedupAll, Errored, 5 * second, nil, true},
		{"keyed zone, cancelled may have run", IdempotentWithKey, DedupZone, Cancelled, 0, []ReplicaID{2}, false},
	} {
		s := settings()
		s.Classes[0].Idempotency, s.Classes[0].DedupScope, s.Classes[0].DedupWindow = c.effect, c.scope, 5*second
		b, _ := startBalancer(t, s, endpoints...)
		req := &request{Request: testRequest(1), policy: b.policies[0], tenantIndex: -1, avoidZone: -1}
		req.attempts = []*attempt{{row: b.rows[0], sentAt: 101 * second, ended: true, status: c.status}}
		var got []ReplicaID
		for _, row := range b.rows[1:] {
			if b.idempotencyAllows(101*second+c.after, req, row) {
				got = append(got, row.id)
			}
		}
		if fmt.Sprint(got) != fmt.Sprint(c.may) || b.mayShed(req) != c.shed {
			t.Errorf("%s: may go to %v, shed %v", c.name, got, b.mayShed(req))
		}
	}
}

// A malformed stream may come from any replica, and a rejected request is itself at fault: neither
// puts the replica in backoff, and the second is tried nowhere else.
func TestMalformedAndRejectedLeaveTheReplicaInUse(t *testing.T) {
	for status, want := range map[Status]string{Malformed: "dispatch", Rejected: "fail"} {
		b, rec := startBalancer(t, settings(), fleet(2)...)
		b.RequestArrived(101*second, testRequest(1))
		row := b.requests[1].attempts[0].row
		rec.actions = nil
		b.AttemptEnded(101*second, Outcome{ID: 1, Replica: row.id, Status: status})
		if n := len(rec.take(want)); n != 1 {
			t.Errorf("status %d: %d times %s", status, n, want)
		}
		if req := (&request{Request: testRequest(2), policy: b.policies[0], tenantIndex: -1, avoidZone: -1}); !b.eligible(101*second, row, req, false) {
			t.Errorf("status %d: the replica is in backoff", status)
		}
	}
}
