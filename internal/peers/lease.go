package peers

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"archknot/internal/takeover"
)

// Lease is a request that this gateway holds, under its first try's id.
type Lease struct {
	service        *Service
	id             string
	cancel         func() // ends its attempts and its client's connection; may be called twice
	Lost           atomic.Bool
	checkedFreezes atomic.Int64 // freezes after which it was still this gateway's
	queryMu        sync.Mutex   // one question at a time
	replies        chan takeover.Output
}

// Grant is a request that was given to this gateway to go on with.
type Grant struct {
	AttemptsMade int           // attempts counted as made
	TimeLeft     time.Duration // of the first try's wait
}

// RefusalError says why a request cannot be gone on with.
type RefusalError struct{ Reason takeover.Reason }

func (r RefusalError) Error() string { return r.Reason.String() }

// deliver hands a waiting task its answer. The lock is held.
func (h *Lease) deliver(o takeover.Output) {
	select {
	case h.replies <- o:
	default: // nobody waits any more
	}
}

func (s *Service) addLease(id string, stop func()) *Lease {
	h := &Lease{service: s, id: id, cancel: stop, replies: make(chan takeover.Output, 1)}
	h.checkedFreezes.Store(s.freezes.Load())
	s.leases[id] = h
	return h
}

// Acquire takes a request into this gateway's hands and has its keepers told. Nothing is
// waited for. It ends with Done.
func (s *Service) Acquire(id string, terms takeover.RetryPolicy, left time.Duration, stop func()) *Lease {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] != nil {
		return nil
	}
	now := s.now()
	s.syncMembers(now)
	h := s.addLease(id, stop)
	s.node.Acquire(now, id, terms, left.Microseconds(), s.selectBackups(id, s.options.Backups))
	if len(s.backupCandidates) == 0 {
		s.unreplicated[id] = true
	}
	s.runOutputs(now)
	return h
}

func (s *Service) selectBackups(id string, most int) []takeover.Member {
	return takeover.SelectBackups(id, s.self, func(m takeover.Member) string { return s.zones[m.Name] }, s.backupCandidates, most)
}

// Claim asks the others for a request that a client wants the rest of. An error is a
// Refusal, or the context's.
func (s *Service) Claim(ctx context.Context, id string, ask uint32, stop func()) (*Lease, Grant, error) {
	c := &pendingClaim{result: make(chan takeover.Output, 1), cancel: stop}
	s.mu.Lock()
	now := s.now()
	if s.claims[id] != nil {
		s.mu.Unlock()
		return nil, Grant{}, RefusalError{takeover.ReasonAlreadyClaimed}
	}
	s.syncMembers(now)
	s.claims[id] = c
	// Some ranks more than there are keepers: the holder may have known others, and
	// this gateway itself may be one.
	s.node.Claim(now, id, ask, append(s.selectBackups(id, s.options.Backups+3), s.self))
	s.runOutputs(now)
	s.mu.Unlock()
	select {
	case o := <-c.result:
		if !o.OK {
			return nil, Grant{}, RefusalError{o.Reason}
		}
		return c.lease, Grant{AttemptsMade: o.AttemptsMade, TimeLeft: time.Duration(o.TimeLeft) * time.Microsecond}, nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	if s.claims[id] == c {
		delete(s.claims, id)
		s.node.AbandonClaim(id)
	}
	s.mu.Unlock()
	if c.lease != nil { // granted in this very moment
		c.lease.Release(false)
	}
	return nil, Grant{}, ctx.Err()
}

// query puts one to the keepers and waits for the answer.
func (h *Lease) query(ctx context.Context, put func(now int64)) bool {
	h.queryMu.Lock()
	defer h.queryMu.Unlock()
	h.service.mu.Lock()
	select {
	case <-h.replies: // of a question that was given up
	default:
	}
	now := h.service.now()
	put(now)
	h.service.runOutputs(now)
	h.service.mu.Unlock()
	select {
	case o := <-h.replies:
		return o.OK
	case <-ctx.Done():
		return false
	}
}

// AcquirePermit asks for a further attempt: false is no.
func (h *Lease) AcquirePermit(ctx context.Context) bool {
	return !h.Lost.Load() && h.query(ctx, func(now int64) { h.service.node.RequestPermit(now, h.id) })
}

// Valid tells whether the request is still this gateway's: asked before anything of it is
// sent or passed on. It costs a look at the clock, but after a freeze of the process an
// exchange with the keepers.
func (h *Lease) Valid(ctx context.Context) bool {
	if h.Lost.Load() {
		return false
	}
	s := h.service
	if s.now()-s.lastHeartbeat.Load() >= s.options.FreezeThreshold.Microseconds() {
		s.recordHeartbeat()
	}
	n := s.freezes.Load()
	if h.checkedFreezes.Load() == n {
		return true
	}
	if !h.query(ctx, func(now int64) { s.node.CheckLease(now, h.id) }) {
		return false
	}
	h.checkedFreezes.Store(n)
	return true
}

// Release ends the hold: nothing of it runs here any more. ran tells whether an attempt may
// have run.
func (h *Lease) Release(ran bool) {
	s := h.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[h.id] == h {
		delete(s.leases, h.id)
		delete(s.unreplicated, h.id)
	} else {
		return // a later hold of the same request has the name
	}
	now := s.now()
	if h.Lost.Load() {
		s.node.Stopped(now, h.id, ran)
	} else {
		s.node.Release(now, h.id, ran)
	}
	s.runOutputs(now)
}
