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
	// MaxConnections bounds the open connections of a Server, excluding its listening socket.
	MaxConnections = 16
	// callTimeout bounds the time from accept to the last byte of the request, so that a client that sends
	// nothing or an incomplete call occupies a connection no longer than that.
	callTimeout = 2 * time.Second
	// answerTimeout bounds how long the gateway may take for a call: operators expect a response within 1 s.
	answerTimeout = 750 * time.Millisecond
	// closeTimeout bounds how long Close waits for outstanding calls.
	closeTimeout = answerTimeout + 100*time.Millisecond
	// maxBodyBytes bounds a request's body, which is read and discarded.
	maxBodyBytes   = 16 << 10
	maxHeaderBytes = 8 << 10
	// bindRetryInterval is the pause between attempts to bind an address that cannot be bound yet.
	bindRetryInterval = 200 * time.Millisecond
)

// Errors that a Gateway may return. The text of an error is the body of the response.
var (
	// ErrUnknownReplica is returned for a replica that has never been on an endpoint list.
	ErrUnknownReplica = errors.New("this replica was never listed")
	// ErrShuttingDown is returned when the process is shutting down.
	ErrShuttingDown = errors.New("this process ends")
	// ErrDiscoveryPending is returned when this process has no response of discovery yet and cannot check
	// that the replica exists. The ejection takes effect if the replica is listed later.
	ErrDiscoveryPending = errors.New("held out, but discovery has not answered yet")
)

// errNotReady is the result of a readiness query while the gateway cannot serve.
var errNotReady = errors.New("not ready")

// Gateway executes the calls. Its methods must be safe for concurrent use and return when their context
// ends.
type Gateway interface {
	// CanServe reports whether this process can serve clients.
	CanServe() bool
	// Eject stops new requests to a replica until Reinstate.
	Eject(ctx context.Context, replica string) error
	// Reinstate ends an ejection.
	Reinstate(ctx context.Context, replica string) error
	// DrainClients stops serving clients, so that they move to other gateways; the process keeps running.
	DrainClients(ctx context.Context) error
	// Resume ends a drain.
	Resume(ctx context.Context) error
}

// Server serves operators' calls until Close.
type Server struct {
	gateway   Gateway
	counts    *CallCounts
	http      *http.Server
	limiter   *connLimiter
	closed    chan struct{}
	closeOnce sync.Once

	mu         sync.Mutex
	listener   net.Listener  // nil: the address is not bound
	acceptDone chan struct{} // closed once the accept loop has ended
}

// Listen starts to serve an address, and counts the calls in counts. If the address cannot be bound, Listen
// logs the error and retries in the background, so that the gateway serves its clients in the meantime.
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

// retryListen retries to bind the address until the server is closed, and serves the address once bound.
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

// Close stops the server. Calls that have arrived are answered first, within closeTimeout; connections
// without a complete call are closed. It may be called more than once.
func (s *Server) Close() {
	s.closeOnce.Do(func() { close(s.closed) })
	s.mu.Lock()
	listener := s.listener
	s.mu.Unlock()
	if listener != nil {
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		_, _ = sockets.CloseWhenEmpty(ctx, listener) // closed in any case; a failure changes nothing here
		<-s.acceptDone
		s.limiter.waitForOutstandingCalls(ctx)
	}
	s.http.Close()
}

// handle answers one call. A call with an incomplete body has no effect.
func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	w.Header().Set("Connection", "close")
	c, status := parseCall(r)
	if status == 0 && !discardBody(w, r) {
		status = http.StatusBadRequest
	}
	s.limiter.markAnswering(connectionOf(r.Context()))
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

// discardBody reads a request's body, and reports whether it was complete and within maxBodyBytes.
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
	conn, _ := ctx.Value(connectionKey{}).(net.Conn) // set by withConnection on every connection
	return conn
}

// execute passes a call to the gateway, and cancels it after answerTimeout.
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

// logLevel returns the level of a call's log line. Readiness queries are logged at debug level: they arrive
// many times a second and change nothing.
func logLevel(kind callKind, succeeded bool) slog.Level {
	switch {
	case kind == callReady:
		return slog.LevelDebug
	case succeeded:
		return slog.LevelInfo
	}
	return slog.LevelWarn
}
