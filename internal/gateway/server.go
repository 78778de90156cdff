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

	"archknot/choice"
	"archknot/internal/memory"
	"archknot/internal/wire/socket"
)

// Time limits on what a client sends. Whoever sends nothing that can be served
// is owed an error or a close within 3 s of connecting.
const (
	headTimeout    = 2 * time.Second         // from connecting, or from the head's first bytes
	requestTimeout = 2500 * time.Millisecond // from the same moment to the body's last byte
)

// newServer is the client's side of the gateway.
func (g *Gateway) newServer() *http.Server {
	handler := func(w http.ResponseWriter, r *http.Request) {
		conn := g.clients.of(r.Context())
		w = &answer{ResponseWriter: w, conn: conn}
		// It stands until the whole request has come: for one that is turned
		// away, the server reads on for a while, and would wait for ever.
		_ = http.NewResponseController(w).SetReadDeadline(conn.began().Add(requestTimeout))
		switch post := r.Method == http.MethodPost; {
		case conn.hiding():
			g.turnAway(w, unframed)
		case r.URL.Path == socket.JobPath && post:
			g.serve(w, r)
		case r.URL.Path == socket.ReadyPath && !post:
			g.serveReady(w, r)
		case r.URL.Path == socket.JobPath || r.URL.Path == socket.ReadyPath:
			g.turnAway(w, &problem{http.StatusMethodNotAllowed, "method: not that one"})
		default: // a ServeMux would answer some of these with a redirect
			g.turnAway(w, &problem{http.StatusNotFound, "path: unknown"})
		}
	}
	return &http.Server{Handler: http.HandlerFunc(handler), ReadHeaderTimeout: headTimeout, IdleTimeout: g.o.ClientIdle,
		MaxHeaderBytes: 16 << 10, ConnState: g.clients.state, ConnContext: g.clients.context,
		ErrorLog: log.New(&logWriter{}, "", 0)}
}

// answer is the way to a client. In a drain each answer tells that it is the connection's last,
// unless something of a further request has been read, which is owed one too.
type answer struct {
	http.ResponseWriter
	conn   *clientConn
	headed bool
}

func (a *answer) Unwrap() http.ResponseWriter { return a.ResponseWriter }

func (a *answer) WriteHeader(status int) {
	if a.conn.clients.ending() && !a.conn.ahead() {
		a.Header().Set("Connection", "close")
	}
	a.headed = true
	a.ResponseWriter.WriteHeader(status)
}

func (a *answer) Write(p []byte) (int, error) {
	if !a.headed {
		a.WriteHeader(http.StatusOK)
	}
	return a.ResponseWriter.Write(p)
}

// logWriter gives the server's own messages the form of the log.
type logWriter struct{ rare rare }

func (l *logWriter) Write(p []byte) (int, error) {
	l.rare.log("http_server", "err", strings.TrimSpace(string(p)))
	return len(p), nil
}

// rare keeps lines that any client can cause to one a second; each tells how
// many were left out before it.
type rare struct {
	mu      sync.Mutex
	last    time.Time
	skipped int
}

func (r *rare) log(msg string, args ...any) {
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
	if !g.ready.Load() || g.clients.ending() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

// serve is the life of one request, from its head to its answer's last byte.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	conn, live := g.clients.of(r.Context()), g.live.Load() // one version for the whole of its life
	sentAt := conn.sentAt()                                // the deadline runs from the client's sending
	// All that the head tells is checked first: what cannot be served takes up
	// neither memory nor a worker. A worker turns such a request away as an
	// error, and errors count against it.
	job, err := socket.ReadJob(r.Header)
	told := job.Wait > 0
	if err == nil {
		err = live.checkClass(&job)
	}
	if err != nil {
		g.turnAway(w, badRequest(err.Error()))
		return
	}
	body, problem := g.readBody(w, r)
	if problem == noRoom {
		g.rareFull.log("body_memory_exhausted", "bytes", g.clients.bytes.Load())
		full(w, live)
		return
	}
	if problem != nil {
		g.turnAway(w, problem)
		return
	}
	defer g.clients.free(int64(len(body)))
	if conn.hiding() { // seen in what came behind the head
		g.turnAway(w, unframed)
		return
	}
	job.BodyLen(len(body))
	if g.clients.refuses() {
		g.refuseLate(w, &job, live)
		return
	}
	if conn.over || !g.clients.enter(job.ID, live.mostHeld) {
		if g.clients.open(job.ID) {
			// A second copy of what is out: the worker would run it twice.
			g.turnAway(w, inHand)
			return
		}
		g.rareFull.log("at_capacity", "id", job.ID, "in_flight", g.clients.held())
		full(w, live)
		return
	}
	defer g.clients.leave(job.ID)

	hand, problem := g.takeUp(r, &job, sentAt, live)
	if problem != nil {
		g.turnAway(w, problem)
		return
	}
	defer hand.let()
	ctx, end := context.WithCancel(hand.context(r))
	defer end()
	req := memory.NewRequest(ctx, job.ID, job.Request, sentAt+job.Wait, max(mostAttempts, g.o.Settings.MaxAttempts))
	req.ClientClosed, req.Cancel = conn.gone, end
	answer, reason, replica, attempts, first, retryAfter := "client_gone", "", "", 0, choice.Micros(0), choice.Micros(0)
	defer func() {
		if g.o.Ended != nil {
			g.o.Ended(live.bad(&job, answer, first))
		}
		slog.LogAttrs(context.Background(), slog.LevelInfo, "request", slog.String("id", job.ID), slog.String("class", job.Request.Class),
			slog.String("session", fmt.Sprintf("%016x", job.Request.Session)), slog.String("outcome", answer), slog.String("reason", reason),
			slog.Int("attempts", attempts), slog.String("replica", replica), slog.Int64("timeout_ms", job.Wait/1000), slog.Int64("first_token_ms", first/1000),
			slog.Int64("total_ms", (g.clock.now()-sentAt)/1000), slog.Int64("retry_after_ms", retryAfter/1000))
	}()
	g.loop.events <- arrived{req, live, told}
	for {
		var a memory.Action
		select {
		case a = <-req.Actions:
		case <-ctx.Done(): // its attempts end with it
			g.loop.events <- left{req}
			if hand.lost() {
				answer = "taken_over"
				panic(http.ErrAbortHandler)
			}
			return
		}
		switch a.Kind {
		case memory.ActionForward:
			attempts++
			g.send(r, body, a.Attempt, hand)
		case memory.ActionStream:
			replica, first = a.Attempt.Replica.Instance.ID, g.clock.now()-sentAt
			whole := passOn(w, a.Attempt, hand)
			if ctx.Err() != nil || hand.lost() {
				g.loop.events <- left{req}
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
		case memory.ActionShed:
			answer, reason, retryAfter = "shed", a.Reason, a.RetryAfter
			overload(w, a.RetryAfter)
			return
		case memory.ActionDeny:
			answer, reason, retryAfter = "contract_rejected", a.Reason, a.RetryAfter
			notAgreed(w, a.Reason, a.RetryAfter)
			return
		case memory.ActionReject:
			answer, reason = "rejected", a.Reason
			g.turnAway(w, badRequest(a.Reason))
			return
		case memory.ActionFail:
			answer = "failed"
			http.Error(w, "the request failed", http.StatusBadGateway)
			return
		}
	}
}

// passOn gives the client an attempt's events, each as it comes, and tells
// whether the stream came whole. A worker may send one event in several chunks, which are of no
// use to the client alone: they go on together, or as far as they have come once they take too long.
func passOn(w http.ResponseWriter, d *memory.Attempt, hand *hand) bool {
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
			piece, ok = hand.fresh(piece)
			if !ok || !hand.mine() {
				return false
			}
			if len(part) == 0 {
				late.Reset(partFor)
			}
			if part = append(part, piece...); !socket.EndsEvent(part) && len(part) < mostPart {
				continue
			}
		case <-late.C:
		}
		if len(part) == 0 {
			continue
		}
		// A client that reads nothing for so long has as good as left.
		_ = out.SetWriteDeadline(time.Now().Add(clientStall))
		if _, err := w.Write(part); err != nil || out.Flush() != nil {
			return false
		}
		part = part[:0]
	}
	_ = out.SetWriteDeadline(time.Now().Add(clientStall))
	return d.Complete && hand.whole()
}

// partFor and mostPart are how long the part of an event waits for the rest, and how much of it.
const (
	partFor  = 50 * time.Millisecond
	mostPart = 64 << 10
)

// clientStall is how long a client may read nothing of what is sent to it.
const clientStall = 5 * time.Second

func overload(w http.ResponseWriter, retryAfter choice.Micros) {
	if retryAfter > 0 {
		w.Header().Set("Retry-After", socket.RetryAfter(retryAfter))
	}
	http.Error(w, "overloaded, try again", http.StatusServiceUnavailable)
}

// checkClass turns away classes that the settings do not name, and gives the
// class's deadline to a request that tells none.
func (v *live) checkClass(job *socket.Job) error {
	c, err := v.class(job.Request.Class)
	job.Wait = cmp.Or(job.Wait, c.Deadline)
	return err
}

// full answers where a limit of the gateway's own is reached, of which the
// module knows nothing.
func full(w http.ResponseWriter, v *live) {
	const retryAfter choice.Micros = 500_000
	w.Header().Set("Connection", "close")
	overload(w, min(retryAfter, v.maxRetryAfter))
}

// problem is a request that is not taken on.
type problem struct {
	status int
	text   string
}

func badRequest(text string) *problem { return &problem{http.StatusBadRequest, text} }

var (
	// unframed says that a request's length is in doubt.
	unframed = &problem{http.StatusBadRequest, "Content-Length, Transfer-Encoding: one of them, once"}
	inHand   = &problem{http.StatusConflict, "Req-Id: that of a request in hand"}
	tooLarge = &problem{http.StatusRequestEntityTooLarge, fmt.Sprintf("body: over %d bytes", socket.MaxBody)}
	// noRoom says that the memory set aside for bodies is taken.
	noRoom = &problem{http.StatusServiceUnavailable, "full"}
)

// turnAway answers what is not taken on, and closes the connection: who goes on
// sending such requests has to connect for each.
func (g *Gateway) turnAway(w http.ResponseWriter, p *problem) {
	g.rareAway.log("rejected", "status", p.status, "reason", p.text)
	w.Header().Set("Connection", "close")
	http.Error(w, p.text, p.status)
}

// readBody reads a request's body, within the protocol's size and the memory set
// aside for bodies. What it returns must be given back by clients.free.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *problem) {
	if r.ContentLength > socket.MaxBody {
		return nil, tooLarge
	}
	body, problem := g.clients.read(http.MaxBytesReader(w, r.Body, socket.MaxBody), r.ContentLength, g.o.BodyBytes)
	if problem != nil {
		g.clients.free(int64(cap(body)))
		return nil, problem
	}
	g.clients.free(int64(cap(body) - len(body)))
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return body, nil
}

// read reads to the end. Memory is taken for what has come, no more than half
// ahead: a length that is only promised costs nothing. The caller gives back
// what the slice can hold.
func (c *clients) read(in io.Reader, length, most int64) ([]byte, *problem) {
	var body []byte
	for {
		if len(body) == cap(body) {
			more := max(4<<10, 2*cap(body))
			if length >= 0 {
				more = min(more, int(length)+1) // one more, to see the end
			}
			if !c.take(int64(more-cap(body)), most) {
				return body, noRoom
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
			return body, tooLarge
		case err != nil:
			return body, &problem{http.StatusBadRequest, "body: incomplete"}
		}
	}
}
