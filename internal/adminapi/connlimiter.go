package adminapi

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// answerCheckInterval is the time between two looks at the calls that are being answered.
	answerCheckInterval = 5 * time.Millisecond
	// firstCallGrace is how long after its accept a connection without a call counts as one that sends it.
	firstCallGrace = 100 * time.Millisecond
)

// connLimiter bounds the number of open connections to MaxConnections. At the limit a new connection
// replaces the oldest one that has not sent a complete call: silent clients lock nobody out. Its methods
// may be called from any goroutine.
type connLimiter struct {
	mu        sync.Mutex
	pending   map[net.Conn]time.Time // connections without a complete call, with the time of their accept
	answering map[net.Conn]struct{}  // connections whose call is being answered
}

func newConnLimiter() *connLimiter {
	return &connLimiter{pending: map[net.Conn]time.Time{}, answering: map[net.Conn]struct{}{}}
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

// startAnswer protects a connection from being replaced until it has ended.
func (l *connLimiter) startAnswer(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, conn)
	l.answering[conn] = struct{}{}
}

// awaitAnswers waits until each call that has arrived is answered, or the context ends.
func (l *connLimiter) awaitAnswers(ctx context.Context) {
	ticker := time.NewTicker(answerCheckInterval)
	defer ticker.Stop()
	for l.owesAnswers() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// owesAnswers reports whether a call is being answered, or may be arriving on a connection that is not
// known as silent yet.
func (l *connLimiter) owesAnswers() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.answering) > 0 {
		return true
	}
	for _, since := range l.pending {
		if time.Since(since) < firstCallGrace {
			return true
		}
	}
	return false
}

// trackState forgets connections that have ended; it is the ConnState callback of the HTTP server.
func (l *connLimiter) trackState(conn net.Conn, state http.ConnState) {
	if state == http.StateClosed || state == http.StateHijacked {
		l.mu.Lock()
		delete(l.pending, conn)
		delete(l.answering, conn)
		l.mu.Unlock()
	}
}
