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

	"archknot/choice"
	"archknot/internal/memory"
	"archknot/internal/peers"
	"archknot/internal/takeover"
	"archknot/internal/wire/socket"
)

// hand is a request that this gateway holds where gateways go on with each other's work;
// nil: they do not, and everything about it is allowed.
type hand struct {
	held    *peers.Held
	ctx     context.Context
	cancel  context.CancelFunc
	granted bool // the first attempt here has its permit
	rest    socket.Rest
	passed  int64 // of the answer, in bytes, with what the client had
	sum     hash.Hash32
	running sync.WaitGroup // attempts
	mu      sync.Mutex
	ran     bool // one may have run
}

// termsOf tells what a class allows a second run.
func (g *Gateway) termsOf(class string, v *live) takeover.Terms {
	c, err := v.class(class)
	safe := err == nil && c.Idempotency == choice.Idempotent
	return takeover.Terms{Repeat: safe, Beside: safe && g.o.Settings.MayHedge}
}

// takeUp holds a request, or goes on with one that another gateway had. sentAt is the
// client's sending. A problem is the answer to a request that cannot be gone on with.
func (g *Gateway) takeUp(r *http.Request, job *socket.Job, sentAt choice.Micros, v *live) (*hand, *problem) {
	if g.o.Peers == nil {
		return nil, nil
	}
	rest, asked, err := socket.ReadRest(r.Header)
	if err != nil {
		return nil, &problem{http.StatusBadRequest, err.Error()}
	}
	h := &hand{}
	h.ctx, h.cancel = context.WithCancel(r.Context())
	if !asked {
		left := time.Duration(sentAt+job.Wait-g.clock.now()) * time.Microsecond
		if h.held = g.o.Peers.Hold(job.ID, g.termsOf(job.Request.Class, v), max(0, left), h.cancel); h.held == nil {
			h.cancel()
			return nil, inHand
		}
		return h, nil
	}
	ctx, stop := context.WithDeadline(h.ctx, g.clock.at(sentAt+job.Wait))
	defer stop()
	held, grant, err := g.o.Peers.Claim(ctx, rest.ID, rest.Ask, h.cancel)
	slog.Info("takeover", "id", job.ID, "of", rest.ID, "claim", rest.Ask, "received_bytes", rest.Bytes, "attempts", grant.Made, "remaining_ms", grant.Left.Milliseconds(), "err", err)
	if err != nil {
		h.cancel()
		var no peers.Refusal
		switch errors.As(err, &no); no.Reason {
		case takeover.Taken:
			return nil, &problem{http.StatusConflict, "Req-Rest: asked for elsewhere"}
		case takeover.Unknown: // the client may send it as a new request
			return nil, &problem{http.StatusNotFound, "Req-Rest: not known"}
		}
		return nil, &problem{http.StatusBadGateway, "Req-Rest: " + err.Error()}
	}
	h.held, h.granted, h.rest, h.sum = held, true, rest, crc32.NewIEEE()
	job.Request.PriorAttempts = grant.Made
	if rest.Bytes == 0 { // no first token yet: the first try's wait goes on
		job.Wait = min(job.Wait, g.clock.now()-sentAt+grant.Left.Microseconds())
	}
	return h, nil
}

// lost tells whether another gateway goes on with the request.
func (h *hand) lost() bool { return h != nil && h.held.Lost.Load() }

// context is the request's, which also ends when it is lost.
func (h *hand) context(r *http.Request) context.Context {
	if h == nil {
		return r.Context()
	}
	return h.ctx
}

// let ends the hold once nothing of the request runs here any more.
func (h *hand) let() {
	if h == nil {
		return
	}
	h.cancel()
	go func() { // an attempt that is called off takes a moment to close its connection
		h.running.Wait()
		h.mu.Lock()
		ran := h.ran
		h.mu.Unlock()
		h.held.Done(ran)
	}()
}

// may tells whether an attempt may go out: the first of a hold is its own, any other
// needs a permit.
func (h *hand) may(d *memory.Attempt) bool {
	if h == nil {
		return true
	}
	if d.Index == 0 {
		return h.held.Mine(d.Ctx)
	}
	return h.held.Permit(d.Ctx)
}

// mine tells whether the request is still this gateway's.
func (h *hand) mine() bool { return h == nil || h.held.Mine(h.ctx) }

// sends notes that an attempt goes out now.
func (h *hand) sends() {
	if h != nil {
		h.mu.Lock()
		h.ran = true
		h.mu.Unlock()
	}
}

// fresh is what of an answer's next events the client does not have. It tells whether
// what the client has is how this answer begins.
func (h *hand) fresh(events []byte) ([]byte, bool) {
	if h == nil || h.passed >= h.rest.Bytes {
		return events, true
	}
	n := min(int64(len(events)), h.rest.Bytes-h.passed)
	h.sum.Write(events[:n])
	if h.passed += n; h.passed == h.rest.Bytes && h.sum.Sum32() != h.rest.Sum {
		return nil, false
	}
	return events[n:], true
}

// whole tells whether all that the client had has come again.
func (h *hand) whole() bool { return h == nil || h.passed >= h.rest.Bytes }

// handOver gives what still is in hand some time after SIGTERM to other gateways.
func (g *Gateway) handOver(ctx context.Context) {
	if g.o.Peers == nil {
		return
	}
	g.o.Peers.Leave()
	select {
	case <-time.After(g.o.Peers.HandOverAfter()):
		if n := g.o.Peers.HandOver(); n > 0 {
			slog.Info("requests_handed_over", "requests", n)
		}
	case <-ctx.Done():
	}
}
