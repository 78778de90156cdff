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
	firstPause, longestPause = time.Millisecond, 100 * time.Millisecond
	tellEach                 = time.Second
)

// failures counts the accepts that failed, of all listeners.
var failures atomic.Int64

// AcceptFailures counts the accepts that the system has failed since the start.
func AcceptFailures() int64 { return failures.Load() }

// Persistent returns a listener that ends only when it is closed. Whatever else an accept fails with
// is the fault of one connection or passes: the next one is waited for.
func Persistent(l net.Listener) net.Listener { return &persistent{Listener: l} }

type persistent struct {
	net.Listener
	told time.Time
}

// Accept waits for the next connection. It is called by one task.
func (p *persistent) Accept() (net.Conn, error) {
	for pause := firstPause; ; pause = min(2*pause, longestPause) {
		c, err := p.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) || errors.Is(err, syscall.EBADF) || errors.Is(err, syscall.EINVAL) {
			return c, err
		}
		failures.Add(1)
		if now := time.Now(); now.Sub(p.told) >= tellEach {
			p.told = now
			slog.Warn("accept_failed", "listen", p.Listener.Addr(), "err", err, "failures", failures.Load())
		}
		time.Sleep(pause)
	}
}
