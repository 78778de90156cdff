// Package operator serves the address for operators alone: they ask whether the process can serve,
// take replicas out and put them back, and drain the gateway and end that. One call to a connection;
// 2xx is yes, 4xx and 5xx are no.
package adminapi

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
	// MaxConnections bounds the connections of operators that are open at once, the listener not counted.
	MaxConnections = 16
	// callTimeout bounds a call from its connecting to its last byte: who sends nothing, or half a call,
	// holds a connection for no longer.
	callTimeout = 2 * time.Second
	// answerTimeout bounds what a call may wait for: operators are owed an answer within a second.
	answerTimeout = 750 * time.Millisecond
	// maxBodyBytes is what of a call's body is read. It means nothing.
	maxBodyBytes   = 16 << 10
	maxHeaderBytes = 8 << 10
	// bindRetryInterval is the pause before an address that is in use is tried again.
	bindRetryInterval = 200 * time.Millisecond
)

// Errors of a Gateway that have answers of their own.
var (
	ErrUnknownReplica = errors.New("this replica was never listed")
	ErrShuttingDown   = errors.New("this process ends")
	// ErrDiscoveryPending says that discovery has not answered this process yet, so that nobody can tell whether
	// there is such a replica. It gets nothing in case it is listed.
	ErrDiscoveryPending = errors.New("held out, but discovery has not answered yet")
)

// Gateway is what the calls are about.
type Gateway interface {
	// CanServe tells whether this process can serve.
	CanServe() bool
	// Eject takes a replica out, Reinstate puts it back.
	Eject(ctx context.Context, replica string) error
	Reinstate(ctx context.Context, replica string) error
	// DrainClients sends clients away, Resume takes them again.
	DrainClients(ctx context.Context) error
	Resume(ctx context.Context) error
}

// CallCounts are the calls answered, by call and whether the answer was yes.
type CallCounts struct{ succeeded, failed [callKindCount]atomic.Int64 }

// callKind is one of the calls.
type callKind uint8

const (
	callReady callKind = iota
	callDisable
	callEnable
	callDrain
	callResume
	callOther         // none of these
	callKindCount int = iota
)

func (c callKind) String() string {
	return [...]string{"ready", "disable", "enable", "drain", "resume", "other"}[c]
}

// Each tells the counts.
func (c *CallCounts) Each(tell func(call string, yes bool, n int64)) {
	for i := range callKindCount {
		tell(callKind(i).String(), true, c.succeeded[i].Load())
		tell(callKind(i).String(), false, c.failed[i].Load())
	}
}

// Server answers operators until Close.
type Server struct {
	gateway   Gateway
	counts    *CallCounts
	http      *http.Server
	limiter   *connLimiter
	closed    chan struct{}
	closeOnce sync.Once
}

// Listen begins to serve an address. Where that cannot be bound just now, it is tried on until it can:
// the gateway serves its clients meanwhile.
func Listen(addr string, g Gateway, counts *CallCounts) *Server {
	s := &Server{gateway: g, counts: counts, closed: make(chan struct{}), limiter: &connLimiter{pending: map[net.Conn]time.Time{}}}
	s.http = &http.Server{Handler: http.HandlerFunc(s.handle), ReadTimeout: callTimeout, WriteTimeout: callTimeout + answerTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: s.limiter.trackState, ConnContext: withConnection, ErrorLog: log.New(io.Discard, "", 0)}
	s.http.SetKeepAlivesEnabled(false)
	if l, err := net.Listen("tcp", addr); err == nil {
		go s.serveListener(l)
	} else {
		slog.Error("admin_listener", "listen", addr, "err", err)
		go s.retryListen(addr)
	}
	return s
}

// retryListen tries for the address until it has it.
func (s *Server) retryListen(addr string) {
	for {
		select {
		case <-s.closed:
			return
		case <-time.After(bindRetryInterval):
		}
		if l, err := net.Listen("tcp", addr); err == nil {
			slog.Info("admin_listener", "listen", addr)
			s.serveListener(l)
			return
		}
	}
}

func (s *Server) serveListener(l net.Listener) {
	if err := s.http.Serve(s.limiter.wrap(sockets.NewRetryListener(l))); !errors.Is(err, http.ErrServerClosed) {
		slog.Error("admin_listener", "err", err)
	}
}

// Close ends the server.
func (s *Server) Close() {
	s.closeOnce.Do(func() { close(s.closed) })
	s.http.Close()
}

// handle answers one call. A call with a body that does not come whole has no effect.
func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	begun := time.Now()
	w.Header().Set("Connection", "close")
	c, replica, status := parseCall(r)
	if status == 0 {
		if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxBodyBytes)); err != nil {
			status = http.StatusBadRequest
		}
	}
	defer s.limiter.startAnswer(connectionOf(r.Context()))()
	var err error
	if status == 0 {
		ctx, stop := context.WithTimeout(r.Context(), answerTimeout)
		err = s.execute(ctx, c, replica)
		stop()
		status = statusCode(err)
	}
	text := "ok"
	if err != nil {
		text = err.Error()
	} else if status != http.StatusOK {
		text = http.StatusText(status)
	}
	http.Error(w, text, status)
	s.record(r, c, replica, status, text, time.Since(begun))
}

type connectionKey struct{}

func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

func connectionOf(ctx context.Context) net.Conn {
	c, _ := ctx.Value(connectionKey{}).(net.Conn)
	return c
}

// parseCall tells which call a request is; a status above 0 says that it is none.
func parseCall(r *http.Request) (c callKind, replica string, status int) {
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

func (s *Server) execute(ctx context.Context, c callKind, replica string) error {
	switch c {
	case callDisable:
		return s.gateway.Eject(ctx, replica)
	case callEnable:
		return s.gateway.Reinstate(ctx, replica)
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

func statusCode(err error) int {
	switch {
	case err == nil:
		return http.StatusOK
	case errors.Is(err, ErrUnknownReplica):
		return http.StatusNotFound
	case errors.Is(err, ErrShuttingDown):
		return http.StatusConflict
	case errors.Is(err, maintenance.ErrTooManyEjected):
		return http.StatusInsufficientStorage
	}
	return http.StatusServiceUnavailable
}

// record counts a call and logs it. Questions for readiness come many times a second, and change nothing.
func (s *Server) record(r *http.Request, c callKind, replica string, status int, text string, took time.Duration) {
	if status == http.StatusOK {
		s.counts.succeeded[c].Add(1)
	} else {
		s.counts.failed[c].Add(1)
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
