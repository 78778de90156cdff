package peers

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"archknot/internal/takeover"
)

// Lease is this gateway's right to send and answer a request. It is acquired by Service.Acquire
// or Service.Claim and ends with Release. Its methods may be called from any goroutine.
type Lease struct {
	// Lost is true once another gateway may continue the request.
	Lost atomic.Bool

	service        *Service
	id             string
	cancel         func()       // ends the attempts and the client's connection; may be called twice
	checkedFreezes atomic.Int64 // Service.freezes when the lease was last found valid
	queryMu        sync.Mutex   // one query at a time
	replies        chan takeover.Output

	// The fields below are guarded by the service's lock.

	awaited       takeover.Action // result that a goroutine waits for; 0: none does
	permitPending bool            // a permit query has no result yet
	unusedPermit  bool            // a permit was granted after its caller had stopped waiting
}

// Acquire makes this gateway the first holder of a request's lease and sends the record to the
// backups, without waiting for them. It returns nil if this gateway already has the lease. The
// function cancel has to end the request's attempts and its client's connection; it is called
// once the lease is lost, possibly twice.
func (s *Service) Acquire(id string, policy takeover.RetryPolicy, timeLeft time.Duration, cancel func()) *Lease {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] != nil {
		return nil
	}
	now := s.now()
	s.syncMembers(now)
	lease := s.addLease(id, cancel)
	s.node.Acquire(now, id, policy, timeLeft.Microseconds(), s.selectBackups(id, s.options.Backups))
	if len(s.backupCandidates) == 0 {
		s.unreplicated[id] = true
	}
	s.runOutputs(now)
	return lease
}

// addLease creates a lease. The caller holds the lock.
func (s *Service) addLease(id string, cancel func()) *Lease {
	lease := &Lease{service: s, id: id, cancel: cancel, replies: make(chan takeover.Output, 1)}
	lease.checkedFreezes.Store(s.freezes.Load())
	s.leases[id] = lease
	return lease
}

func (s *Service) selectBackups(id string, limit int) []takeover.Member {
	zoneOf := func(m takeover.Member) string { return s.zones[m.Name] }
	return takeover.SelectBackups(id, s.self, zoneOf, s.backupCandidates, limit)
}

// lose marks the lease as lost and starts the cancellation of the request.
func (l *Lease) lose() {
	l.Lost.Store(true)
	go l.cancel()
}

// deliver passes the result of a query to the goroutine that waits for it. A permit whose
// requester no longer waits is stored for the next attempt. The caller holds the service's lock.
func (l *Lease) deliver(o takeover.Output) {
	if o.Action == takeover.ActionPermitResult {
		l.permitPending = false
	}
	switch {
	case o.Action == l.awaited:
		l.awaited = 0
		l.replies <- o // does not block: the buffer has room for the one awaited result
	case o.Action == takeover.ActionPermitResult && o.OK:
		l.unusedPermit = true
	}
}

// query starts a query to the backups and waits for its result, which is false if the context
// ends first. A late result of an abandoned query of the other kind is not taken for it.
func (l *Lease) query(ctx context.Context, result takeover.Action, start func(now int64)) bool {
	l.queryMu.Lock()
	defer l.queryMu.Unlock()
	l.startQuery(result, start)
	select {
	case o := <-l.replies:
		return o.OK
	case <-ctx.Done():
		l.abandonQuery()
		return false
	}
}

func (l *Lease) startQuery(result takeover.Action, start func(now int64)) {
	l.service.mu.Lock()
	defer l.service.mu.Unlock()
	now := l.service.now()
	l.awaited = result
	start(now)
	l.service.runOutputs(now)
}

// abandonQuery stops waiting for a result. A result that has arrived in the meantime is delivered
// again without a waiter, so that a granted permit is stored.
func (l *Lease) abandonQuery() {
	l.service.mu.Lock()
	defer l.service.mu.Unlock()
	l.awaited = 0
	select {
	case o := <-l.replies:
		l.deliver(o)
	default:
	}
}

// AcquirePermit requests a permit for another attempt and reports whether it was granted. It
// returns false if the lease is lost or the context ends.
func (l *Lease) AcquirePermit(ctx context.Context) bool {
	return !l.Lost.Load() && l.query(ctx, takeover.ActionPermitResult, l.requestPermit)
}

// requestPermit uses the permit of an abandoned query, lets the caller wait for the result of an
// abandoned query that is still pending, or requests a permit. The caller holds the service's lock.
func (l *Lease) requestPermit(now int64) {
	switch {
	case l.unusedPermit:
		l.unusedPermit = false
		l.deliver(takeover.Output{Action: takeover.ActionPermitResult, RequestID: l.id, OK: true})
	case !l.permitPending:
		l.permitPending = true
		l.service.node.RequestPermit(now, l.id)
	}
}

// Valid reports whether this gateway still has the lease. It has to be called before any data of
// the request is sent or relayed. It reads the clock, and exchanges messages with the backups only
// after a freeze of the process.
func (l *Lease) Valid(ctx context.Context) bool {
	if l.Lost.Load() {
		return false
	}
	s := l.service
	if s.now()-s.lastHeartbeat.Load() >= s.options.FreezeThreshold.Microseconds() {
		s.recordHeartbeat()
	}
	freezes := s.freezes.Load()
	if l.checkedFreezes.Load() == freezes {
		return true
	}
	if !l.query(ctx, takeover.ActionLeaseCheckResult, func(now int64) { s.node.CheckLease(now, l.id) }) {
		return false
	}
	l.checkedFreezes.Store(freezes)
	return true
}

// Release ends the lease after all attempts of the request here have ended. mayHaveRun reports
// whether an attempt may have run.
func (l *Lease) Release(mayHaveRun bool) {
	s := l.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[l.id] != l {
		return // the id belongs to a later lease of the same request
	}
	delete(s.leases, l.id)
	delete(s.unreplicated, l.id)
	now := s.now()
	if l.Lost.Load() {
		s.node.Stopped(now, l.id, mayHaveRun)
	} else {
		s.node.Release(now, l.id, mayHaveRun)
	}
	s.runOutputs(now)
}
