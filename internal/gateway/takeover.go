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

// requestLease is a request that this gateway holds where gateways go on with each other's work;
// nil: they do not, and everything about it is allowed.
type requestLease struct {
	lease      *peers.Lease
	ctx        context.Context
	cancel     context.CancelFunc
	hasPermit  bool // the first attempt here has its permit
	resume     httpwire.ResumeRequest
	offset     int64 // of the answer, in bytes, with what the client had
	checksum   hash.Hash32
	attempts   sync.WaitGroup // attempts
	mu         sync.Mutex
	dispatched bool // one may have run
}

// takeoverTerms tells what a class allows a second run.
func (g *Gateway) takeoverTerms(class string, v *liveConfig) takeover.RetryPolicy {
	c, err := v.class(class)
	safe := err == nil && c.Idempotency == balancer.Idempotent
	return takeover.RetryPolicy{Idempotent: safe, Hedgeable: safe && g.options.Settings.MayHedge}
}

// acquireLease holds a request, or goes on with one that another gateway had. requestSentAt is the
// client's sending. A problem is the answer to a request that cannot be gone on with.
func (g *Gateway) acquireLease(r *http.Request, job *httpwire.ClientRequest, sentAt balancer.Micros, v *liveConfig) (*requestLease, *rejection) {
	if g.options.Peers == nil {
		return nil, nil
	}
	rest, asked, err := httpwire.ParseResume(r.Header)
	if err != nil {
		return nil, &rejection{http.StatusBadRequest, err.Error()}
	}
	h := &requestLease{}
	h.ctx, h.cancel = context.WithCancel(r.Context())
	if !asked {
		left := time.Duration(sentAt+job.Timeout-g.clock.now()) * time.Microsecond
		if h.lease = g.options.Peers.Acquire(job.ID, g.takeoverTerms(job.Request.Class, v), max(0, left), h.cancel); h.lease == nil {
			h.cancel()
			return nil, rejectDuplicateID
		}
		return h, nil
	}
	ctx, stop := context.WithDeadline(h.ctx, g.clock.timeAt(sentAt+job.Timeout))
	defer stop()
	held, grant, err := g.options.Peers.Claim(ctx, rest.ID, rest.Sequence, h.cancel)
	slog.Info("takeover", "id", job.ID, "of", rest.ID, "claim", rest.Sequence, "received_bytes", rest.ReceivedBytes, "attempts", grant.AttemptsMade, "remaining_ms", grant.TimeLeft.Milliseconds(), "err", err)
	if err != nil {
		h.cancel()
		var no peers.RefusalError
		switch errors.As(err, &no); no.Reason {
		case takeover.ReasonAlreadyClaimed:
			return nil, &rejection{http.StatusConflict, "Req-Rest: asked for elsewhere"}
		case takeover.ReasonUnknown: // the client may send it as a new request
			return nil, &rejection{http.StatusNotFound, "Req-Rest: not known"}
		}
		return nil, &rejection{http.StatusBadGateway, "Req-Rest: " + err.Error()}
	}
	h.lease, h.hasPermit, h.resume, h.checksum = held, true, rest, crc32.NewIEEE()
	job.Request.PriorAttempts = grant.AttemptsMade
	if rest.ReceivedBytes == 0 { // no first token yet: the first try's wait goes on
		job.Timeout = min(job.Timeout, g.clock.now()-sentAt+grant.TimeLeft.Microseconds())
	}
	return h, nil
}

// lost tells whether another gateway goes on with the request.
func (h *requestLease) lost() bool { return h != nil && h.lease.Lost.Load() }

// context is the request's, which also ends when it is lost.
func (h *requestLease) context(r *http.Request) context.Context {
	if h == nil {
		return r.Context()
	}
	return h.ctx
}

// release ends the hold once nothing of the request runs here any more.
func (h *requestLease) release() {
	if h == nil {
		return
	}
	h.cancel()
	go func() { // an attempt that is called off takes a moment to close its connection
		h.attempts.Wait()
		h.mu.Lock()
		ran := h.dispatched
		h.mu.Unlock()
		h.lease.Release(ran)
	}()
}

// mayDispatch tells whether an attempt may go out: the first of a hold is its own, any other
// needs a permit.
func (h *requestLease) mayDispatch(d *inflight.Attempt) bool {
	if h == nil {
		return true
	}
	if d.Index == 0 {
		return h.lease.Valid(d.Ctx)
	}
	return h.lease.AcquirePermit(d.Ctx)
}

// isHolder tells whether the request is still this gateway's.
func (h *requestLease) isHolder() bool { return h == nil || h.lease.Valid(h.ctx) }

// markDispatched notes that an attempt goes out now.
func (h *requestLease) markDispatched() {
	if h != nil {
		h.mu.Lock()
		h.dispatched = true
		h.mu.Unlock()
	}
}

// skipDelivered is what of an answer's next events the client does not have. It tells whether
// what the client has is how this answer begins.
func (h *requestLease) skipDelivered(events []byte) ([]byte, bool) {
	if h == nil || h.offset >= h.resume.ReceivedBytes {
		return events, true
	}
	n := min(int64(len(events)), h.resume.ReceivedBytes-h.offset)
	h.checksum.Write(events[:n])
	if h.offset += n; h.offset == h.resume.ReceivedBytes && h.checksum.Sum32() != h.resume.Checksum {
		return nil, false
	}
	return events[n:], true
}

// prefixDelivered tells whether all that the client had has come again.
func (h *requestLease) prefixDelivered() bool { return h == nil || h.offset >= h.resume.ReceivedBytes }

// handOverRequests gives what still is in hand some time after SIGTERM to other gateways.
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
