// Package sockets has listeners that outlast what the system does to them.
package sockets

import (
	"errors"
	"log/slog"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	minBackoff, maxBackoff = time.Millisecond, 100 * time.Millisecond
	logInterval            = time.Second
)

// acceptFailures counts the accepts that failed, of all listeners.
var acceptFailures atomic.Int64

// AcceptFailures counts the accepts that the system has failed since the start.
func AcceptFailures() int64 { return acceptFailures.Load() }

// NewRetryListener returns a listener that ends only when it is closed. Whatever else an accept fails with
// is the fault of one connection or passes: the next one is waited for.
func NewRetryListener(l net.Listener) net.Listener { return &retryListener{Listener: l} }

type retryListener struct {
	net.Listener
	lastLogged time.Time
}

// Accept waits for the next connection. It is called by one task.
func (p *retryListener) Accept() (net.Conn, error) {
	for pause := minBackoff; ; pause = min(2*pause, maxBackoff) {
		c, err := p.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) || errors.Is(err, syscall.EBADF) || errors.Is(err, syscall.EINVAL) {
			return c, err
		}
		acceptFailures.Add(1)
		if now := time.Now(); now.Sub(p.lastLogged) >= logInterval {
			p.lastLogged = now
			slog.Warn("accept_failed", "listen", p.Listener.Addr(), "err", err, "failures", acceptFailures.Load())
		}
		time.Sleep(pause)
	}
}
