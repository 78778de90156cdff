package adminapi

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// connLimiter bounds the number of open connections to MaxConnections. At the limit a new connection
// replaces the oldest one that has not sent a complete call: silent clients lock nobody out. Its methods
// may be called from any goroutine.
type connLimiter struct {
	mu        sync.Mutex
	pending   map[net.Conn]time.Time // connections without a complete call, with the time of their accept
	answering int                    // number of connections whose call is being answered
}

func newConnLimiter() *connLimiter {
	return &connLimiter{pending: map[net.Conn]time.Time{}}
}

// wrap returns a listener whose connections are limited.
func (l *connLimiter) wrap(listener net.Listener) net.Listener {
	return &limitedListener{Listener: listener, limiter: l}
}

// limitedListener closes the connections that its limiter does not admit.
type limitedListener struct {
	net.Listener
	limiter *connLimiter
}

// Accept returns the next connection that the limiter admits.
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

// admit registers a new connection, and closes the oldest pending one to make room for it. It reports
// false if the limit is reached and no connection is pending.
func (l *connLimiter) admit(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending)+l.answering >= MaxConnections {
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

// startAnswer protects a connection from being replaced while its call is answered, until the returned
// function is called.
func (l *connLimiter) startAnswer(conn net.Conn) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, conn)
	l.answering++
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.answering--
	}
}

// trackState forgets connections that have ended; it is the ConnState callback of the HTTP server.
func (l *connLimiter) trackState(conn net.Conn, state http.ConnState) {
	if state == http.StateClosed || state == http.StateHijacked {
		l.mu.Lock()
		delete(l.pending, conn)
		l.mu.Unlock()
	}
}
