// Package operator serves the address for operators alone: they ask whether the process can serve,
// take replicas out and put them back, and drain the gateway and end that. One call to a connection;
// 2xx is yes, 4xx and 5xx are no.
package operator

import (
	"context"
	"errors"
	"io"
	"log"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"archknot/internal/maintenance"
	"archknot/internal/sockets"
)

const (
	// Connections bounds the connections of operators that are open at once, the listener not counted.
	Connections = 16
	// callWithin bounds a call from its connecting to its last byte: who sends nothing, or half a call,
	// holds a connection for no longer.
	callWithin = 2 * time.Second
	// answerWithin bounds what a call may wait for: operators are owed an answer within a second.
	answerWithin = 750 * time.Millisecond
	// mostBody is what of a call's body is read. It means nothing.
	mostBody = 16 << 10
	mostHead = 8 << 10
	// bindEach is the pause before an address that is in use is tried again.
	bindEach = 200 * time.Millisecond
)

// Errors of a Gateway that have answers of their own.
var (
	ErrUnknownReplica = errors.New("this replica was never listed")
	ErrStopping       = errors.New("this process ends")
	// ErrNotHeard says that discovery has not answered this process yet, so that nobody can tell whether
	// there is such a replica. It gets nothing in case it is listed.
	ErrNotHeard = errors.New("held out, but discovery has not answered yet")
)

// Gateway is what the calls are about.
type Gateway interface {
	// CanServe tells whether this process can serve.
	CanServe() bool
	// TakeOut takes a replica out, PutBack puts it back.
	TakeOut(ctx context.Context, replica string) error
	PutBack(ctx context.Context, replica string) error
	// DrainClients sends clients away, Resume takes them again.
	DrainClients(ctx context.Context) error
	Resume(ctx context.Context) error
}

// Counts are the calls answered, by call and whether the answer was yes.
type Counts struct{ yes, no [calls]atomic.Int64 }

// call is one of the calls.
type call uint8

const (
	callReady call = iota
	callDisable
	callEnable
	callDrain
	callResume
	callOther     // none of these
	calls     int = iota
)

func (c call) String() string {
	return [...]string{"ready", "disable", "enable", "drain", "resume", "other"}[c]
}

// Each tells the counts.
func (c *Counts) Each(tell func(call string, yes bool, n int64)) {
	for i := range calls {
		tell(call(i).String(), true, c.yes[i].Load())
		tell(call(i).String(), false, c.no[i].Load())
	}
}

// Server answers operators until Close.
type Server struct {
	gateway Gateway
	counts  *Counts
	http    *http.Server
	slots   *slots
	ended   chan struct{}
	once    sync.Once
}

// Listen begins to serve an address. Where that cannot be bound just now, it is tried on until it can:
// the gateway serves its clients meanwhile.
func Listen(addr string, g Gateway, counts *Counts) *Server {
	s := &Server{gateway: g, counts: counts, ended: make(chan struct{}), slots: &slots{open: map[net.Conn]time.Time{}}}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), ReadTimeout: callWithin, WriteTimeout: callWithin + answerWithin, MaxHeaderBytes: mostHead,
		ConnState: s.slots.follow, ConnContext: withConnection, ErrorLog: log.New(io.Discard, "", 0)}
	s.http.SetKeepAlivesEnabled(false)
	if l, err := net.Listen("tcp", addr); err == nil {
		go s.run(l)
	} else {
		slog.Error("admin_listener", "listen", addr, "err", err)
		go s.bind(addr)
	}
	return s
}

// bind tries for the address until it has it.
func (s *Server) bind(addr string) {
	for {
		select {
		case <-s.ended:
			return
		case <-time.After(bindEach):
		}
		if l, err := net.Listen("tcp", addr); err == nil {
			slog.Info("admin_listener", "listen", addr)
			s.run(l)
			return
		}
	}
}

func (s *Server) run(l net.Listener) {
	if err := s.http.Serve(s.slots.listen(sockets.NewRetryListener(l))); !errors.Is(err, http.ErrServerClosed) {
		slog.Error("admin_listener", "err", err)
	}
}

// Close ends the server.
func (s *Server) Close() {
	s.once.Do(func() { close(s.ended) })
	s.http.Close()
}

// serve answers one call. A call with a body that does not come whole has no effect.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	begun := time.Now()
	w.Header().Set("Connection", "close")
	c, replica, status := parse(r)
	if status == 0 {
		if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, mostBody)); err != nil {
			status = http.StatusBadRequest
		}
	}
	defer s.slots.answer(connectionOf(r.Context()))()
	var err error
	if status == 0 {
		ctx, stop := context.WithTimeout(r.Context(), answerWithin)
		err = s.do(ctx, c, replica)
		stop()
		status = statusOf(err)
	}
	text := "ok"
	if err != nil {
		text = err.Error()
	} else if status != http.StatusOK {
		text = http.StatusText(status)
	}
	http.Error(w, text, status)
	s.tell(r, c, replica, status, text, time.Since(begun))
}

type connectionKey struct{}

func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

func connectionOf(ctx context.Context) net.Conn {
	c, _ := ctx.Value(connectionKey{}).(net.Conn)
	return c
}

// parse tells which call a request is; a status above 0 says that it is none.
func parse(r *http.Request) (c call, replica string, status int) {
	rest, ok := strings.CutPrefix(r.URL.EscapedPath(), "/-/")
	if !ok {
		return callOther, "", http.StatusNotFound
	}
	method := http.MethodPut
	switch parts := strings.Split(rest, "/"); {
	case rest == "ready":
		c, method = callReady, http.MethodGet
	case rest == "drain":
		c = callDrain
	case rest == "resume":
		c = callResume
	case len(parts) == 3 && parts[0] == "replicas" && (parts[2] == "disable" || parts[2] == "enable"):
		if c = callEnable; parts[2] == "disable" {
			c = callDisable
		}
		id, err := url.PathUnescape(parts[1])
		if err != nil || id == "" {
			return callOther, "", http.StatusBadRequest
		}
		replica = id
	default:
		return callOther, "", http.StatusNotFound
	}
	if r.Method != method {
		return callOther, "", http.StatusMethodNotAllowed
	}
	return c, replica, 0
}

// errNotReady is the no to a question for readiness.
var errNotReady = errors.New("not ready")

func (s *Server) do(ctx context.Context, c call, replica string) error {
	switch c {
	case callDisable:
		return s.gateway.TakeOut(ctx, replica)
	case callEnable:
		return s.gateway.PutBack(ctx, replica)
	case callDrain:
		return s.gateway.DrainClients(ctx)
	case callResume:
		return s.gateway.Resume(ctx)
	}
	if !s.gateway.CanServe() {
		return errNotReady
	}
	return nil
}

func statusOf(err error) int {
	switch {
	case err == nil:
		return http.StatusOK
	case errors.Is(err, ErrUnknownReplica):
		return http.StatusNotFound
	case errors.Is(err, ErrStopping):
		return http.StatusConflict
	case errors.Is(err, maintenance.ErrTooMany):
		return http.StatusInsufficientStorage
	}
	return http.StatusServiceUnavailable
}

// tell counts a call and logs it. Questions for readiness come many times a second, and change nothing.
func (s *Server) tell(r *http.Request, c call, replica string, status int, text string, took time.Duration) {
	if status == http.StatusOK {
		s.counts.yes[c].Add(1)
	} else {
		s.counts.no[c].Add(1)
	}
	level := slog.LevelInfo
	if c == callReady {
		level = slog.LevelDebug
	} else if status != http.StatusOK {
		level = slog.LevelWarn
	}
	slog.Log(r.Context(), level, "admin_call", "call", c.String(), "replica", replica, "client", r.RemoteAddr, "request_id", r.Header.Get("Req-Id"),
		"status", status, "answer", text, "took_ms", took.Milliseconds())
}
