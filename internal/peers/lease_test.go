package peers

import (
	"context"
	"testing"
	"time"

	"archknot/internal/takeover"
)

// answerDelay is longer than a query takes to start.
const answerDelay = 50 * time.Millisecond

// leaseFixture is a lease with one backup, whose replies the test injects.
type leaseFixture struct {
	*testing.T
	service *Service
	lease   *Lease
	backup  takeover.Member
}

func newLeaseFixture(t *testing.T) *leaseFixture {
	t.Helper()
	service, err := Start(Options{Name: "g1", ListenAddr: "127.0.0.1:0", Backups: 1, Permits: 2, ReplyTimeout: 10 * time.Second, RecordTTL: time.Minute,
		FreezeThreshold: time.Hour, MaxRecords: 10, MaxRecordsPerHolder: 10, RandomSeed: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(service.Close)
	fixture := &leaseFixture{T: t, service: service, backup: takeover.Member{Name: "g2", Incarnation: 7}}
	service.mu.Lock()
	service.syncMembers(service.now())
	service.backupCandidates = []takeover.Member{fixture.backup}
	service.mu.Unlock()
	fixture.lease = service.Acquire("r1", takeover.RetryPolicy{Idempotent: true}, time.Minute, func() {})
	return fixture
}

// answer injects the backup's reply to a query; queries are numbered from 1.
func (r *leaseFixture) answer(kind takeover.MessageKind, query uint32, ok bool) {
	r.service.mu.Lock()
	defer r.service.mu.Unlock()
	now := r.service.now()
	r.service.node.Receive(now, r.backup, takeover.Message{Kind: kind, ToIncarnation: r.service.self.Incarnation, RequestID: "r1", QueryID: query, OK: ok})
	r.service.runOutputs(now)
}

// abandon starts a query whose context ends before the reply.
func (r *leaseFixture) abandon(query func(context.Context) bool) {
	r.Helper()
	ctx, cancel := context.WithTimeout(r.Context(), time.Millisecond)
	defer cancel()
	if query(ctx) {
		r.Fatal("a query without a reply succeeded")
	}
}

// begin starts a query and returns the channel of its result.
func (r *leaseFixture) begin(query func(context.Context) bool) <-chan bool {
	result := make(chan bool, 1)
	go func() { result <- query(r.Context()) }()
	time.Sleep(answerDelay)
	return result
}

func (r *leaseFixture) expect(result <-chan bool, want bool) {
	r.Helper()
	select {
	case got := <-result:
		if got != want {
			r.Errorf("unexpected result of the query: %t", got)
		}
	case <-time.After(time.Second):
		r.Error("the query has no result")
	}
}

func (r *leaseFixture) expectPending(result <-chan bool) {
	r.Helper()
	select {
	case got := <-result:
		r.Errorf("the query ended with %t before its own reply", got)
	case <-time.After(answerDelay):
	}
}

// Guards against two gateways that run the same request because the late reply to a permit query is taken
// for the reply to a lease check.
func TestLatePermitIsNoValidLease(t *testing.T) {
	r := newLeaseFixture(t)
	r.abandon(r.lease.AcquirePermit)
	r.service.freezes.Add(1)
	valid := r.begin(r.lease.Valid)
	r.answer(takeover.MsgPermitReply, 1, true)
	r.expectPending(valid)
	r.answer(takeover.MsgLeaseCheckReply, 2, false)
	r.expect(valid, false)
}

// Guards against an attempt without a permit because the late reply to a lease check is taken for the reply
// to a permit query.
func TestLateLeaseCheckIsNoPermit(t *testing.T) {
	r := newLeaseFixture(t)
	r.service.freezes.Add(1)
	r.abandon(r.lease.Valid)
	permit := r.begin(r.lease.AcquirePermit)
	r.answer(takeover.MsgLeaseCheckReply, 1, true)
	r.expectPending(permit)
	r.answer(takeover.MsgPermitReply, 2, true)
	r.expect(permit, true)
}

// Guards against a lease that is taken as valid after a second freeze because of a reply to the lease check
// from before that freeze.
func TestLeaseIsCheckedAnewAfterAnotherFreeze(t *testing.T) {
	r := newLeaseFixture(t)
	r.service.freezes.Add(1)
	r.abandon(r.lease.Valid)
	r.service.freezes.Add(1)
	valid := r.begin(r.lease.Valid)
	r.answer(takeover.MsgLeaseCheckReply, 1, true)
	r.expectPending(valid)
	r.answer(takeover.MsgLeaseCheckReply, 2, true)
	r.expect(valid, true)
}

// Guards against a request that is not retried because a permit that is granted after its requester has
// stopped waiting is lost.
func TestPermitOfAnEndedAttemptIsKept(t *testing.T) {
	t.Run("granted before the next attempt", func(t *testing.T) {
		r := newLeaseFixture(t)
		r.abandon(r.lease.AcquirePermit)
		r.answer(takeover.MsgPermitReply, 1, true)
		r.expect(r.begin(r.lease.AcquirePermit), true)
	})
	t.Run("granted while the next attempt waits", func(t *testing.T) {
		r := newLeaseFixture(t)
		r.abandon(r.lease.AcquirePermit)
		permit := r.begin(r.lease.AcquirePermit)
		r.answer(takeover.MsgPermitReply, 1, true)
		r.expect(permit, true)
	})
	t.Run("used once", func(t *testing.T) {
		r := newLeaseFixture(t)
		r.abandon(r.lease.AcquirePermit)
		r.answer(takeover.MsgPermitReply, 1, true)
		r.expect(r.begin(r.lease.AcquirePermit), true)
		select {
		case granted := <-r.begin(r.lease.AcquirePermit):
			if granted {
				t.Error("one permit allowed two attempts")
			}
		default: // it waits for the backup
		}
	})
}
