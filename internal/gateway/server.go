package gateway

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"time"

	"archknot/balancer"
	"archknot/internal/httpwire"
	"archknot/internal/inflight"
)

// Time limits on what a client sends. Whoever sends nothing that can be served
// is owed an error or a close within 3 s of connecting.
const (
	requestHeadTimeout = 2 * time.Second         // from connecting, or from the head's first bytes
	requestTimeout     = 2500 * time.Millisecond // from the same moment to the body's last byte
)

// newServer is the client's side of the gateway.
func (g *Gateway) newServer() *http.Server {
	handler := func(w http.ResponseWriter, r *http.Request) {
		conn := g.clients.connOf(r.Context())
		w = &drainAwareWriter{ResponseWriter: w, conn: conn}
		// It stands until the whole request has come: for one that is turned
		// away, the server reads on for a while, and would wait for ever.
		_ = http.NewResponseController(w).SetReadDeadline(conn.readDeadlineBase().Add(requestTimeout))
		switch post := r.Method == http.MethodPost; {
		case conn.framingInDoubt():
			g.reject(w, rejectAmbiguousFraming)
		case r.URL.Path == httpwire.CompletionsPath && post:
			g.serve(w, r)
		case r.URL.Path == httpwire.ReadyPath && !post:
			g.serveReady(w, r)
		case r.URL.Path == httpwire.CompletionsPath || r.URL.Path == httpwire.ReadyPath:
			g.reject(w, &rejection{http.StatusMethodNotAllowed, "method: not that one"})
		default: // a ServeMux would answer some of these with a redirect
			g.reject(w, &rejection{http.StatusNotFound, "path: unknown"})
		}
	}
	return &http.Server{Handler: http.HandlerFunc(handler), ReadHeaderTimeout: requestHeadTimeout, IdleTimeout: g.options.ClientConnIdle,
		MaxHeaderBytes: 16 << 10, ConnState: g.clients.connState, ConnContext: g.clients.connContext,
		ErrorLog: log.New(&serverLogWriter{}, "", 0)}
}

// drainAwareWriter is the way to a client. In a drain each answer tells that it is the connection's last,
// unless something of a further request has been read, which is owed one too.
type drainAwareWriter struct {
	http.ResponseWriter
	conn          *clientConn
	headerWritten bool
}

func (a *drainAwareWriter) Unwrap() http.ResponseWriter { return a.ResponseWriter }

func (a *drainAwareWriter) WriteHeader(status int) {
	if a.conn.tracker.draining() && !a.conn.hasPipelined() {
		a.Header().Set("Connection", "close")
	}
	a.headerWritten = true
	a.ResponseWriter.WriteHeader(status)
}

func (a *drainAwareWriter) Write(p []byte) (int, error) {
	if !a.headerWritten {
		a.WriteHeader(http.StatusOK)
	}
	return a.ResponseWriter.Write(p)
}

// serverLogWriter gives the server's own messages the form of the log.
type serverLogWriter struct{ log rateLimitedLog }

func (l *serverLogWriter) Write(p []byte) (int, error) {
	l.log.log("http_server", "err", strings.TrimSpace(string(p)))
	return len(p), nil
}

// rateLimitedLog keeps lines that any client can cause to one a second; each tells how
// many were left out before it.
type rateLimitedLog struct {
	mu      sync.Mutex
	last    time.Time
	skipped int
}

func (r *rateLimitedLog) log(msg string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); now.Sub(r.last) < time.Second {
		r.skipped++
		return
	} else {
		r.last = now
	}
	slog.Info(msg, append(args, "suppressed", r.skipped)...)
	r.skipped = 0
}

func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !g.ready.Load() || g.clients.draining() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

// serve is the life of one request, from its head to its answer's last byte.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	conn, live := g.clients.connOf(r.Context()), g.config.Load() // one version for the whole of its life
	sentAt := conn.requestSentAt()                               // the deadline runs from the client's sending
	// All that the head tells is checked first: what cannot be served takes up
	// neither memory nor a worker. A worker turns such a request away as an
	// error, and errors count against it.
	job, err := httpwire.ParseRequest(r.Header)
	told := job.Timeout > 0
	if err == nil {
		err = live.checkClass(&job)
	}
	if err != nil {
		g.reject(w, badRequest(err.Error()))
		return
	}
	body, problem := g.readBody(w, r)
	if problem == bodyMemoryExhausted {
		g.capacityLog.log("body_memory_exhausted", "bytes", g.clients.bodyBytes.Load())
		writeAtCapacity(w, live)
		return
	}
	if problem != nil {
		g.reject(w, problem)
		return
	}
	defer g.clients.releaseBytes(int64(len(body)))
	if conn.framingInDoubt() { // seen in what came behind the head
		g.reject(w, rejectAmbiguousFraming)
		return
	}
	job.EstimatePrompt(len(body))
	if g.clients.shedsNewRequests() {
		g.shedDraining(w, &job, live)
		return
	}
	if conn.overLimit || !g.clients.beginRequest(job.ID, live.maxInFlight) {
		if g.clients.inFlight(job.ID) {
			// A second copy of what is out: the worker would run it twice.
			g.reject(w, rejectDuplicateID)
			return
		}
		g.capacityLog.log("at_capacity", "id", job.ID, "in_flight", g.clients.inFlightCount())
		writeAtCapacity(w, live)
		return
	}
	defer g.clients.endRequest(job.ID)

	hand, problem := g.acquireLease(r, &job, sentAt, live)
	if problem != nil {
		g.reject(w, problem)
		return
	}
	defer hand.release()
	ctx, end := context.WithCancel(hand.context(r))
	defer end()
	req := inflight.NewRequest(ctx, job.ID, job.Request, sentAt+job.Timeout, max(protocolMaxAttempts, g.options.Settings.MaxAttempts))
	req.ClientClosed, req.Cancel = conn.peerGone, end
	answer, reason, replica, attempts, first, retryAfter := "client_gone", "", "", 0, balancer.Micros(0), balancer.Micros(0)
	defer func() {
		if g.options.RequestEnded != nil {
			g.options.RequestEnded(live.missedObjective(&job, answer, first))
		}
		slog.LogAttrs(context.Background(), slog.LevelInfo, "request", slog.String("id", job.ID), slog.String("class", job.Request.Class),
			slog.String("session", fmt.Sprintf("%016x", job.Request.Session)), slog.String("outcome", answer), slog.String("reason", reason),
			slog.Int("attempts", attempts), slog.String("replica", replica), slog.Int64("timeout_ms", job.Timeout/1000), slog.Int64("first_token_ms", first/1000),
			slog.Int64("total_ms", (g.clock.now()-sentAt)/1000), slog.Int64("retry_after_ms", retryAfter/1000))
	}()
	g.loop.events <- requestArrived{req, live, told}
	for {
		var a inflight.Action
		select {
		case a = <-req.Actions:
		case <-ctx.Done(): // its attempts end with it
			g.loop.events <- clientGone{req}
			if hand.lost() {
				answer = "taken_over"
				panic(http.ErrAbortHandler)
			}
			return
		}
		switch a.Kind {
		case inflight.ActionForward:
			attempts++
			g.startAttempt(r, body, a.Attempt, hand)
		case inflight.ActionStream:
			replica, first = a.Attempt.Replica.Endpoint.ID, g.clock.now()-sentAt
			whole := relayStream(w, a.Attempt, hand)
			if ctx.Err() != nil || hand.lost() {
				g.loop.events <- clientGone{req}
			} else if whole {
				answer = "served"
			} else {
				answer = "stream_broken"
			}
			if !whole {
				// Closes the connection without the last chunk: the client can
				// tell that the stream broke, and asks for the rest.
				panic(http.ErrAbortHandler)
			}
			return
		case inflight.ActionShed:
			answer, reason, retryAfter = "shed", a.Reason, a.RetryAfter
			writeOverload(w, a.RetryAfter)
			return
		case inflight.ActionDeny:
			answer, reason, retryAfter = "contract_rejected", a.Reason, a.RetryAfter
			writeContractRejection(w, a.Reason, a.RetryAfter)
			return
		case inflight.ActionReject:
			answer, reason = "rejected", a.Reason
			g.reject(w, badRequest(a.Reason))
			return
		case inflight.ActionFail:
			answer = "failed"
			http.Error(w, "the request failed", http.StatusBadGateway)
			return
		}
	}
}

// relayStream gives the client an attempt's events, each as it comes, and tells
// whether the stream came whole. A worker may send one event in several chunks, which are of no
// use to the client alone: they go on together, or as far as they have come once they take too long.
func relayStream(w http.ResponseWriter, d *inflight.Attempt, hand *requestLease) bool {
	defer d.Cancel()
	out := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	var part []byte // of an event
	late := time.NewTimer(0)
	defer late.Stop()
	for more := true; more; {
		select {
		case piece, ok := <-d.Events:
			if more = ok; !ok {
				break
			}
			piece, ok = hand.skipDelivered(piece)
			if !ok || !hand.isHolder() {
				return false
			}
			if len(part) == 0 {
				late.Reset(partialEventWait)
			}
			if part = append(part, piece...); !httpwire.EndsEvent(part) && len(part) < maxPartialEvent {
				continue
			}
		case <-late.C:
		}
		if len(part) == 0 {
			continue
		}
		// A client that reads nothing for so long has as good as left.
		_ = out.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
		if _, err := w.Write(part); err != nil || out.Flush() != nil {
			return false
		}
		part = part[:0]
	}
	_ = out.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
	return d.Complete && hand.prefixDelivered()
}

// partialEventWait and maxPartialEvent are how long the part of an event waits for the rest, and how much of it.
const (
	partialEventWait = 50 * time.Millisecond
	maxPartialEvent  = 64 << 10
)

// clientWriteTimeout is how long a client may read nothing of what is sent to it.
const clientWriteTimeout = 5 * time.Second

func writeOverload(w http.ResponseWriter, retryAfter balancer.Micros) {
	if retryAfter > 0 {
		w.Header().Set("Retry-After", httpwire.FormatRetryAfter(retryAfter))
	}
	http.Error(w, "overloaded, try again", http.StatusServiceUnavailable)
}

// checkClass turns away classes that the settings do not name, and gives the
// class's deadline to a request that tells none.
func (v *liveConfig) checkClass(job *httpwire.ClientRequest) error {
	c, err := v.class(job.Request.Class)
	job.Timeout = cmp.Or(job.Timeout, c.Deadline)
	return err
}

// writeAtCapacity answers where a limit of the gateway's own is reached, of which the
// module knows nothing.
func writeAtCapacity(w http.ResponseWriter, v *liveConfig) {
	const retryAfter balancer.Micros = 500_000
	w.Header().Set("Connection", "close")
	writeOverload(w, min(retryAfter, v.maxRetryAfter))
}

// rejection is a request that is not taken on.
type rejection struct {
	status int
	reason string
}

func badRequest(text string) *rejection { return &rejection{http.StatusBadRequest, text} }

var (
	// rejectAmbiguousFraming says that a request's length is in doubt.
	rejectAmbiguousFraming = &rejection{http.StatusBadRequest, "Content-Length, Transfer-Encoding: one of them, once"}
	rejectDuplicateID      = &rejection{http.StatusConflict, "Req-Id: that of a request in hand"}
	rejectBodyTooLarge     = &rejection{http.StatusRequestEntityTooLarge, fmt.Sprintf("body: over %d bytes", httpwire.MaxBodyBytes)}
	// bodyMemoryExhausted says that the memory set aside for bodies is taken.
	bodyMemoryExhausted = &rejection{http.StatusServiceUnavailable, "full"}
)

// reject answers what is not taken on, and closes the connection: who goes on
// sending such requests has to connect for each.
func (g *Gateway) reject(w http.ResponseWriter, p *rejection) {
	g.rejectLog.log("rejected", "status", p.status, "reason", p.reason)
	w.Header().Set("Connection", "close")
	http.Error(w, p.reason, p.status)
}

// readBody reads a request's body, within the protocol's size and the memory set
// aside for bodies. What it returns must be given back by clients.releaseBytes.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *rejection) {
	if r.ContentLength > httpwire.MaxBodyBytes {
		return nil, rejectBodyTooLarge
	}
	body, problem := g.clients.readBody(http.MaxBytesReader(w, r.Body, httpwire.MaxBodyBytes), r.ContentLength, g.options.MaxBodyBytes)
	if problem != nil {
		g.clients.releaseBytes(int64(cap(body)))
		return nil, problem
	}
	g.clients.releaseBytes(int64(cap(body) - len(body)))
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return body, nil
}

// readBody reads to the end. Memory is taken for what has come, no more than half
// ahead: a length that is only promised costs nothing. The caller gives back
// what the slice can hold.
func (c *clientTracker) readBody(in io.Reader, length, most int64) ([]byte, *rejection) {
	var body []byte
	for {
		if len(body) == cap(body) {
			more := max(4<<10, 2*cap(body))
			if length >= 0 {
				more = min(more, int(length)+1) // one more, to see the end
			}
			if !c.reserveBytes(int64(more-cap(body)), most) {
				return body, bodyMemoryExhausted
			}
			grown := make([]byte, len(body), more)
			copy(grown, body)
			body = grown
		}
		n, err := in.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		var over *http.MaxBytesError
		switch {
		case err == io.EOF:
			return body, nil
		case errors.As(err, &over):
			return body, rejectBodyTooLarge
		case err != nil:
			return body, &rejection{http.StatusBadRequest, "body: incomplete"}
		}
	}
}
