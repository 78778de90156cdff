package gateway

import (
	"context"
	"errors"
	"hash"
	"hash/crc32"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"archknot/balancer"
	"archknot/internal/httpwire"
	"archknot/internal/inflight"
	"archknot/internal/peers"
	"archknot/internal/takeover"
)

// requestLease is this gateway's lease on a request, if gateways take over each other's
// requests. Its methods accept a nil lease: there are no take-overs, and everything is allowed.
type requestLease struct {
	lease    *peers.Lease
	ctx      context.Context // the request's; it also ends when the lease is lost
	cancel   context.CancelFunc
	attempts sync.WaitGroup

	// The part of the answer that the client of a resumed request received from another
	// gateway. The goroutine of the client's connection owns these fields.
	resume   httpwire.ResumeRequest
	offset   int64 // bytes of this answer that were compared with that part
	checksum hash.Hash32

	mu         sync.Mutex
	dispatched bool // an attempt may have run
}

// takeoverRetryPolicy returns which further attempts a class allows once a first one has run.
func (g *Gateway) takeoverRetryPolicy(class string, config *liveConfig) takeover.RetryPolicy {
	c, err := config.class(class)
	idempotent := err == nil && c.Idempotency == balancer.Idempotent
	return takeover.RetryPolicy{Idempotent: idempotent, Hedgeable: idempotent && g.options.Settings.MayHedge}
}

// acquireLease acquires the lease on a new request, or claims the lease on a resumed one from
// another gateway. It returns the context of the request, which ends when the lease is lost.
func (h *requestHandler) acquireLease(ctx context.Context, r *http.Request) (context.Context, *rejection) {
	if h.gateway.options.Peers == nil {
		return ctx, nil
	}
	resume, resumes, err := httpwire.ParseResume(r.Header)
	if err != nil {
		return nil, badRequest(err.Error())
	}
	ctx, cancel := context.WithCancel(ctx)
	lease := &requestLease{ctx: ctx, cancel: cancel}
	var rejected *rejection
	if resumes {
		rejected = h.claimLease(ctx, lease, resume)
	} else {
		rejected = h.acquireNewLease(lease)
	}
	if rejected != nil {
		cancel()
		return nil, rejected
	}
	h.lease = lease
	return ctx, nil
}

// acquireNewLease acquires the lease on a request that no gateway serves yet.
func (h *requestHandler) acquireNewLease(lease *requestLease) *rejection {
	g := h.gateway
	timeLeft := time.Duration(h.arrivedAt+h.request.Timeout-g.clock.now()) * time.Microsecond
	policy := g.takeoverRetryPolicy(h.request.Request.Class, h.config)
	lease.lease = g.options.Peers.Acquire(h.request.ID, policy, max(0, timeLeft), lease.cancel)
	if lease.lease == nil {
		return rejectDuplicateID
	}
	return nil
}

// claimLease claims the lease on a request from another gateway, and deducts the attempts that
// were made and the time that was used there.
func (h *requestHandler) claimLease(ctx context.Context, lease *requestLease, resume httpwire.ResumeRequest) *rejection {
	g := h.gateway
	ctx, stop := context.WithDeadline(ctx, g.clock.timeAt(h.arrivedAt+h.request.Timeout))
	defer stop()
	claimed, grant, err := g.options.Peers.Claim(ctx, resume.ID, resume.Sequence, lease.cancel)
	slog.Info("takeover", "id", h.request.ID, "of", resume.ID, "claim", resume.Sequence,
		"received_bytes", resume.ReceivedBytes, "attempts", grant.AttemptsMade,
		"remaining_ms", grant.TimeLeft.Milliseconds(), "err", err)
	if err != nil {
		return rejectClaim(err)
	}
	lease.lease, lease.resume, lease.checksum = claimed, resume, crc32.NewIEEE()
	h.request.Request.PriorAttempts = grant.AttemptsMade
	if resume.ReceivedBytes == 0 { // no first token yet: the first attempt's deadline still runs
		h.request.Timeout = min(h.request.Timeout, g.clock.now()-h.arrivedAt+grant.TimeLeft.Microseconds())
	}
	return nil
}

// rejectClaim returns the answer to a claim that failed.
func rejectClaim(err error) *rejection {
	var refused peers.ClaimRejectedError
	if errors.As(err, &refused) {
		switch refused.Reason {
		case takeover.ReasonAlreadyClaimed:
			return &rejection{http.StatusConflict, "Req-Rest: asked for elsewhere"}
		case takeover.ReasonUnknown: // the client may send it as a new request
			return &rejection{http.StatusNotFound, "Req-Rest: not known"}
		}
	}
	return &rejection{http.StatusBadGateway, "Req-Rest: " + err.Error()}
}

// lost reports whether another gateway has taken over the request.
func (l *requestLease) lost() bool { return l != nil && l.lease.Lost.Load() }

// release cancels the request's attempts, and releases the lease once all of them have ended.
// It waits for them in the background, since a cancelled attempt takes a moment to close its
// connection.
func (l *requestLease) release() {
	if l == nil {
		return
	}
	l.cancel()
	go func() {
		l.attempts.Wait()
		l.mu.Lock()
		dispatched := l.dispatched
		l.mu.Unlock()
		l.lease.Release(dispatched)
	}()
}

// startAttempt runs an attempt in a goroutine, for which release waits.
func (l *requestLease) startAttempt(run func()) {
	if l == nil {
		go run()
		return
	}
	l.attempts.Go(run)
}

// mayDispatch reports whether an attempt may be sent: the first one needs a valid lease, any
// other a permit.
func (l *requestLease) mayDispatch(attempt *inflight.Attempt) bool {
	if l == nil {
		return true
	}
	if attempt.Index == 0 {
		return l.lease.Valid(attempt.Ctx)
	}
	return l.lease.AcquirePermit(attempt.Ctx)
}

// isHolder reports whether this gateway still holds the lease.
func (l *requestLease) isHolder() bool { return l == nil || l.lease.Valid(l.ctx) }

// markDispatched records that an attempt is about to be sent.
func (l *requestLease) markDispatched() {
	if l == nil {
		return
	}
	l.mu.Lock()
	l.dispatched = true
	l.mu.Unlock()
}

// skipDelivered returns the part of the next events that the client has not received yet. It
// returns false if this answer does not begin with the bytes that the client has.
func (l *requestLease) skipDelivered(events []byte) ([]byte, bool) {
	if l == nil || l.offset >= l.resume.ReceivedBytes {
		return events, true
	}
	n := min(int64(len(events)), l.resume.ReceivedBytes-l.offset)
	l.checksum.Write(events[:n])
	l.offset += n
	if l.offset == l.resume.ReceivedBytes && l.checksum.Sum32() != l.resume.Checksum {
		return nil, false
	}
	return events[n:], true
}

// prefixDelivered reports whether this answer has passed the part that the client has.
func (l *requestLease) prefixDelivered() bool { return l == nil || l.offset >= l.resume.ReceivedBytes }

// handOverRequests announces to the other gateways that this one leaves, and after
// HandOverDelay hands over to them the requests that are still in flight.
func (g *Gateway) handOverRequests(ctx context.Context) {
	if g.options.Peers == nil {
		return
	}
	g.options.Peers.Leave()
	select {
	case <-time.After(g.options.Peers.HandOverDelay()):
		if n := g.options.Peers.HandOver(); n > 0 {
			slog.Info("requests_handed_over", "requests", n)
		}
	case <-ctx.Done():
	}
}
