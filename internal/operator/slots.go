package operator

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// slots bounds the operators' connections. Where all are taken, one that has sent no whole call gives
// way to the next: callers that send nothing keep no one out.
type slots struct {
	mu   sync.Mutex
	open map[net.Conn]time.Time // those that have sent no whole call, and since when
	busy int                    // connections that are being answered
}

// listen bounds what a listener accepts.
func (s *slots) listen(l net.Listener) net.Listener { return &slotListener{l, s} }

type slotListener struct {
	net.Listener
	slots *slots
}

// Accept returns the next connection once there is a place for it.
func (l *slotListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.slots.take(c) {
			return c, nil
		}
		c.Close()
	}
}

// take finds a place for a connection.
func (s *slots) take(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open)+s.busy >= Connections {
		oldest := s.oldest()
		if oldest == nil {
			return false
		}
		delete(s.open, oldest)
		oldest.Close()
	}
	s.open[c] = time.Now()
	return true
}

func (s *slots) oldest() (oldest net.Conn) {
	for c, since := range s.open {
		if oldest == nil || since.Before(s.open[oldest]) {
			oldest = c
		}
	}
	return oldest
}

// answer keeps a connection from giving way while its call is being answered; the result ends that.
func (s *slots) answer(c net.Conn) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
	s.busy++
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.busy--
	}
}

// follow keeps the places by the server's word on its connections.
func (s *slots) follow(c net.Conn, state http.ConnState) {
	if state == http.StateClosed || state == http.StateHijacked {
		s.mu.Lock()
		delete(s.open, c)
		s.mu.Unlock()
	}
}
