package adminapi

import (
	"context"
	"errors"
	"io"
	"log"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"archknot/internal/maintenance"
	"archknot/internal/sockets"
)

const (
	// MaxConnections bounds the connections that are open at once, the listening socket not counted.
	MaxConnections = 16
	// callTimeout bounds a call from its connection's accept to the last byte of the request: a client
	// that sends nothing, or half a call, occupies a connection no longer than that.
	callTimeout = 2 * time.Second
	// answerTimeout bounds how long a call waits for the gateway: operators expect an answer within a second.
	answerTimeout = 750 * time.Millisecond
	// closeTimeout bounds how long Close waits for answers.
	closeTimeout = answerTimeout + 100*time.Millisecond
	// maxBodyBytes bounds a request's body, which is read and ignored.
	maxBodyBytes   = 16 << 10
	maxHeaderBytes = 8 << 10
	// bindRetryInterval is the pause between two attempts to bind an address that is in use.
	bindRetryInterval = 200 * time.Millisecond
)

// Errors of a Gateway that have a status or text of their own in the response.
var (
	// ErrUnknownReplica is returned for a replica that no endpoint list ever had.
	ErrUnknownReplica = errors.New("this replica was never listed")
	// ErrShuttingDown is returned when the process is shutting down.
	ErrShuttingDown = errors.New("this process ends")
	// ErrDiscoveryPending is returned when discovery has not answered this process yet, so that it is not
	// known whether the replica exists. The replica is ejected in case it is listed later.
	ErrDiscoveryPending = errors.New("held out, but discovery has not answered yet")
)

// errNotReady is the answer to a query for readiness while the gateway cannot serve.
var errNotReady = errors.New("not ready")

// Gateway carries out the calls. Its methods may be called from any goroutine, and return when their
// context ends.
type Gateway interface {
	// CanServe reports whether this process can serve clients.
	CanServe() bool
	// Eject stops new requests to a replica until Reinstate.
	Eject(ctx context.Context, replica string) error
	// Reinstate ends an ejection.
	Reinstate(ctx context.Context, replica string) error
	// DrainClients sends clients to other gateways, while this process continues to run.
	DrainClients(ctx context.Context) error
	// Resume ends a drain.
	Resume(ctx context.Context) error
}

// Server answers operators until Close.
type Server struct {
	gateway   Gateway
	counts    *CallCounts
	http      *http.Server
	limiter   *connLimiter
	closed    chan struct{}
	closeOnce sync.Once

	mu         sync.Mutex
	listener   net.Listener  // nil: the address is not bound
	acceptDone chan struct{} // closed once the listener accepts no connection any more
}

// Listen begins to serve an address, and counts the calls in counts. If the address cannot be bound at
// the moment, that is logged and retried in the background: the gateway serves its clients meanwhile.
func Listen(addr string, gateway Gateway, counts *CallCounts) *Server {
	s := &Server{gateway: gateway, counts: counts, closed: make(chan struct{}), limiter: newConnLimiter(), acceptDone: make(chan struct{})}
	s.http = &http.Server{
		Handler:        http.HandlerFunc(s.handle),
		ReadTimeout:    callTimeout,
		WriteTimeout:   callTimeout + answerTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ConnState:      s.limiter.trackState,
		ConnContext:    withConnection,
		ErrorLog:       log.New(io.Discard, "", 0),
	}
	s.http.SetKeepAlivesEnabled(false)
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		slog.Error("admin_listener", "listen", addr, "err", err)
		go s.retryListen(addr)
		return s
	}
	go s.serveListener(listener)
	return s
}

// retryListen tries to bind the address until it succeeds or the server is closed, then serves it.
func (s *Server) retryListen(addr string) {
	for {
		select {
		case <-s.closed:
			return
		case <-time.After(bindRetryInterval):
		}
		listener, err := net.Listen("tcp", addr)
		if err == nil {
			slog.Info("admin_listener", "listen", addr)
			s.serveListener(listener)
			return
		}
	}
}

// serveListener serves a listener until the server is closed.
func (s *Server) serveListener(listener net.Listener) {
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	err := s.http.Serve(s.limiter.wrap(sockets.NewRetryListener(listener)))
	close(s.acceptDone)
	if !errors.Is(err, http.ErrServerClosed) && !sockets.IsClosed(err) {
		slog.Error("admin_listener", "err", err)
	}
}

// Close ends the server. Calls that have arrived are answered first, within closeTimeout; connections that
// have sent no complete call are closed. It may be called more than once.
func (s *Server) Close() {
	s.closeOnce.Do(func() { close(s.closed) })
	s.mu.Lock()
	listener := s.listener
	s.mu.Unlock()
	if listener != nil {
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		_, _ = sockets.CloseWhenEmpty(ctx, listener) // it is given up either way
		<-s.acceptDone
		s.limiter.awaitAnswers(ctx)
	}
	s.http.Close()
}

// handle answers one call. A call whose body does not arrive completely has no effect.
func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	w.Header().Set("Connection", "close")
	c, status := parseCall(r)
	if status == 0 && !discardBody(w, r) {
		status = http.StatusBadRequest
	}
	s.limiter.startAnswer(connectionOf(r.Context()))
	var err error
	if status == 0 {
		err = s.execute(r.Context(), c)
		status = statusCode(err)
	}
	text := answerText(status, err)
	http.Error(w, text, status)
	succeeded := status == http.StatusOK
	s.counts.add(c.kind, succeeded)
	slog.Log(r.Context(), logLevel(c.kind, succeeded), "admin_call", "call", c.kind.String(), "replica", c.replica,
		"client", r.RemoteAddr, "request_id", r.Header.Get("Req-Id"),
		"status", status, "answer", text, "took_ms", time.Since(start).Milliseconds())
}

// discardBody reads a request's body, and reports whether it arrived completely and within maxBodyBytes.
func discardBody(w http.ResponseWriter, r *http.Request) bool {
	_, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxBodyBytes))
	return err == nil
}

// connectionKey is the context key of a request's connection.
type connectionKey struct{}

func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

func connectionOf(ctx context.Context) net.Conn {
	conn, _ := ctx.Value(connectionKey{}).(net.Conn) // withConnection has set it on every connection
	return conn
}

// execute carries out a call within answerTimeout.
func (s *Server) execute(ctx context.Context, c call) error {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	switch c.kind {
	case callDisable:
		return s.gateway.Eject(ctx, c.replica)
	case callEnable:
		return s.gateway.Reinstate(ctx, c.replica)
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

// statusCode returns the status of the response to a valid call.
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

// answerText returns the body of the response.
func answerText(status int, err error) string {
	switch {
	case err != nil:
		return err.Error()
	case status == http.StatusOK:
		return "ok"
	}
	return http.StatusText(status)
}

// logLevel returns the level of a call's log line. Queries for readiness come many times a second and
// change nothing.
func logLevel(kind callKind, succeeded bool) slog.Level {
	switch {
	case kind == callReady:
		return slog.LevelDebug
	case succeeded:
		return slog.LevelInfo
	}
	return slog.LevelWarn
}
