package adminapi

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// connLimiter bounds the operators' connections. Where all are taken, one that has sent no whole call gives
// way to the next: callers that send nothing keep no one out.
type connLimiter struct {
	mu        sync.Mutex
	pending   map[net.Conn]time.Time // those that have sent no whole call, and since when
	answering int                    // connections that are being answered
}

// wrap bounds what a listener accepts.
func (s *connLimiter) wrap(l net.Listener) net.Listener { return &limitedListener{l, s} }

type limitedListener struct {
	net.Listener
	limiter *connLimiter
}

// Accept returns the next connection once there is a place for it.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.limiter.admit(c) {
			return c, nil
		}
		c.Close()
	}
}

// admit finds a place for a connection.
func (s *connLimiter) admit(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending)+s.answering >= MaxConnections {
		oldest := s.oldestPending()
		if oldest == nil {
			return false
		}
		delete(s.pending, oldest)
		oldest.Close()
	}
	s.pending[c] = time.Now()
	return true
}

func (s *connLimiter) oldestPending() (oldest net.Conn) {
	for c, since := range s.pending {
		if oldest == nil || since.Before(s.pending[oldest]) {
			oldest = c
		}
	}
	return oldest
}

// startAnswer keeps a connection from giving way while its call is being answered; the result ends that.
func (s *connLimiter) startAnswer(c net.Conn) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, c)
	s.answering++
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.answering--
	}
}

// trackState keeps the places by the server's word on its connections.
func (s *connLimiter) trackState(c net.Conn, state http.ConnState) {
	if state == http.StateClosed || state == http.StateHijacked {
		s.mu.Lock()
		delete(s.pending, c)
		s.mu.Unlock()
	}
}
