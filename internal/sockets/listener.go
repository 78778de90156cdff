// Package sockets provides listeners that retry failed accepts and that close without losing connections, and
// classifies errors of system calls on sockets and files.
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
	minBackoff  = time.Millisecond
	maxBackoff  = 100 * time.Millisecond
	logInterval = time.Second // minimum time between two log lines of a listener's failed accepts
)

// acceptFailures counts the failed accepts of all listeners.
var acceptFailures atomic.Int64

// AcceptFailures returns the number of failed accepts since the process started.
func AcceptFailures() int64 { return acceptFailures.Load() }

// NewRetryListener returns a listener whose Accept fails only if l is closed. Any other error of accept
// concerns a single connection or is transient, so Accept retries with backoff.
func NewRetryListener(l net.Listener) net.Listener { return &retryListener{Listener: l} }

type retryListener struct {
	net.Listener
	lastLogged time.Time
}

// Accept returns the next connection. Only one goroutine may call it.
func (l *retryListener) Accept() (net.Conn, error) {
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		conn, err := l.Listener.Accept()
		if err == nil || IsClosed(err) {
			return conn, err
		}
		acceptFailures.Add(1)
		l.logFailure(err)
		time.Sleep(backoff)
	}
}

// IsClosed reports whether an accept failed because its listener is closed.
func IsClosed(err error) bool {
	return errors.Is(err, net.ErrClosed) || errors.Is(err, syscall.EBADF) || errors.Is(err, syscall.EINVAL)
}

func (l *retryListener) logFailure(err error) {
	now := time.Now()
	if now.Sub(l.lastLogged) < logInterval {
		return
	}
	l.lastLogged = now
	slog.Warn("accept_failed", "listen", l.Addr(), "err", err, "failures", acceptFailures.Load())
}
