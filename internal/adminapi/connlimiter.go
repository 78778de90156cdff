package adminapi

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// outstandingCheckInterval is how often waitForOutstandingCalls checks for outstanding calls.
	outstandingCheckInterval = 5 * time.Millisecond
	// firstCallGracePeriod is how long after accept a connection is assumed to be still sending its call.
	firstCallGracePeriod = 100 * time.Millisecond
)

// connLimiter bounds the number of open connections to MaxConnections. At the limit a new connection
// replaces the oldest one that has not sent a complete call, so that idle clients cannot block others. Its
// methods may be called from any goroutine.
type connLimiter struct {
	mu        sync.Mutex
	pending   map[net.Conn]time.Time // connections without a complete call -> accept time
	answering map[net.Conn]struct{}  // connections whose call is being answered
}

func newConnLimiter() *connLimiter {
	return &connLimiter{pending: map[net.Conn]time.Time{}, answering: map[net.Conn]struct{}{}}
}

// wrap returns a listener whose connections are limited.
func (l *connLimiter) wrap(listener net.Listener) net.Listener {
	return &limitedListener{Listener: listener, limiter: l}
}

// limitedListener closes connections that its limiter rejects.
type limitedListener struct {
	net.Listener
	limiter *connLimiter
}

// Accept returns the next connection that the limiter admits, and closes those that it rejects.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.limiter.admit(conn) {
			return conn, nil
		}
		conn.Close()
	}
}

// admit registers a new connection. At the limit it closes the oldest pending connection to make room, or
// returns false if none is pending.
func (l *connLimiter) admit(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending)+len(l.answering) >= MaxConnections {
		oldest := l.oldestPending()
		if oldest == nil {
			return false
		}
		delete(l.pending, oldest)
		oldest.Close()
	}
	l.pending[conn] = time.Now()
	return true
}

func (l *connLimiter) oldestPending() net.Conn {
	var oldest net.Conn
	for conn, since := range l.pending {
		if oldest == nil || since.Before(l.pending[oldest]) {
			oldest = conn
		}
	}
	return oldest
}

// markAnswering marks a connection's call as being answered: new connections do not replace it any more.
func (l *connLimiter) markAnswering(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, conn)
	l.answering[conn] = struct{}{}
}

// waitForOutstandingCalls waits until every call that has arrived is answered, or the context ends.
func (l *connLimiter) waitForOutstandingCalls(ctx context.Context) {
	ticker := time.NewTicker(outstandingCheckInterval)
	defer ticker.Stop()
	for l.hasOutstandingCalls() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// hasOutstandingCalls reports whether a call is being answered, or may still arrive on a connection that was
// accepted less than firstCallGracePeriod ago.
func (l *connLimiter) hasOutstandingCalls() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.answering) > 0 {
		return true
	}
	for _, since := range l.pending {
		if time.Since(since) < firstCallGracePeriod {
			return true
		}
	}
	return false
}

// trackState removes closed connections; it is the ConnState callback of the HTTP server.
func (l *connLimiter) trackState(conn net.Conn, state http.ConnState) {
	if state == http.StateClosed || state == http.StateHijacked {
		l.mu.Lock()
		delete(l.pending, conn)
		delete(l.answering, conn)
		l.mu.Unlock()
	}
}
