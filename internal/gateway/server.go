package gateway

import (
	"fmt"
	"log"
	"net/http"
	"strings"
	"time"

	"archknot/internal/httpwire"
)

// Time limits on receiving a request. A client that sends no valid request must get an error
// or a close within 3 s of connecting.
const (
	requestHeadTimeout = 2 * time.Second         // from connecting, or from the head's first bytes
	requestTimeout     = 2500 * time.Millisecond // from the same moment to the body's last byte
)

// maxRequestHeadBytes bounds the head of a client's request.
const maxRequestHeadBytes = 16 << 10

// newServer returns the HTTP server that clients connect to.
func (g *Gateway) newServer() *http.Server {
	return &http.Server{
		Handler:           http.HandlerFunc(g.handle),
		ReadHeaderTimeout: requestHeadTimeout,
		IdleTimeout:       g.options.ClientConnIdleTimeout,
		MaxHeaderBytes:    maxRequestHeadBytes,
		ConnState:         g.clients.connState,
		ConnContext:       g.clients.connContext,
		ErrorLog:          log.New(&serverLogWriter{}, "", 0),
	}
}

// handle routes a client's request. It does not use a ServeMux, which redirects some unknown
// paths.
func (g *Gateway) handle(w http.ResponseWriter, r *http.Request) {
	conn := g.clients.connOf(r.Context())
	w = &drainAwareWriter{ResponseWriter: w, conn: conn}
	// The read deadline applies until the complete request has arrived: after a rejection the
	// server keeps reading for a while, and without a deadline it would wait forever.
	_ = http.NewResponseController(w).SetReadDeadline(conn.readDeadlineBase().Add(requestTimeout))
	isPost := r.Method == http.MethodPost
	switch {
	case conn.hasAmbiguousFraming():
		g.reject(w, rejectAmbiguousFraming)
	case r.URL.Path == httpwire.CompletionsPath && isPost:
		g.serve(w, r)
	case r.URL.Path == httpwire.ReadyPath && !isPost:
		g.serveReady(w, r)
	case r.URL.Path == httpwire.CompletionsPath || r.URL.Path == httpwire.ReadyPath:
		g.reject(w, &rejection{http.StatusMethodNotAllowed, "method: not that one"})
	default:
		g.reject(w, &rejection{http.StatusNotFound, "path: unknown"})
	}
}

// serveReady answers the front's readiness check.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !g.ready.Load() || g.clients.draining() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

// drainAwareWriter writes the response to a client. While the gateway is draining, responses
// carry Connection: close, unless part of a pipelined request has been read, which must be
// answered too.
type drainAwareWriter struct {
	http.ResponseWriter
	conn          *clientConn
	headerWritten bool
}

// Unwrap lets http.ResponseController reach the server's own writer.
func (w *drainAwareWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader writes the status line and the headers, in a drain with Connection: close.
func (w *drainAwareWriter) WriteHeader(status int) {
	if w.conn.tracker.draining() && !w.conn.hasPipelined() {
		w.Header().Set("Connection", "close")
	}
	w.headerWritten = true
	w.ResponseWriter.WriteHeader(status)
}

// Write writes part of the body, after the header if that is not written yet.
func (w *drainAwareWriter) Write(p []byte) (int, error) {
	if !w.headerWritten {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// serverLogWriter passes the HTTP server's own messages to the gateway's log.
type serverLogWriter struct{ log rateLimitedLog }

// Write logs one message, within the log's rate limit.
func (w *serverLogWriter) Write(p []byte) (int, error) {
	w.log.log("http_server", "err", strings.TrimSpace(string(p)))
	return len(p), nil
}
