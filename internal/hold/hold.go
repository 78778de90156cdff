// Package hold forces the order of two events in tests: whoever comes to a Point stops there until
// the test lets it go on. Connections accepted through a Listener, or wrapped, stop at reads.
// Only tests import it.
package hold

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"archknot/internal/memory"
)

// most bounds each wait of a test.
const most = 5 * time.Second

// Point stops the first who comes to it.
type Point struct {
	once          sync.Once
	reached, open chan struct{}
	release       sync.Once
}

// NewPoint returns a point that lets go at the end of the test at the latest.
func NewPoint(t *testing.T) *Point {
	p := &Point{reached: make(chan struct{}), open: make(chan struct{})}
	t.Cleanup(p.Release)
	return p
}

// Stop is called by who is to stop; only the first one does.
func (p *Point) Stop() {
	p.once.Do(func() {
		close(p.reached)
		<-p.open
	})
}

// Await waits until somebody stands there.
func (p *Point) Await(t *testing.T) {
	t.Helper()
	select {
	case <-p.reached:
	case <-time.After(most):
		t.Fatal("nobody came to the point")
	}
}

// Release lets it go on.
func (p *Point) Release() { p.release.Do(func() { close(p.open) }) }

// Listener wraps what it accepts.
type Listener struct {
	net.Listener
	accepted chan *Conn
}

// NewListener listens on loopback.
func NewListener(t *testing.T) *Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return &Listener{l, make(chan *Conn, 256)}
}

func (l *Listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &Conn{TCPConn: nc.(*net.TCPConn)}
	l.accepted <- c
	return c, nil
}

// Next is the connection accepted next.
func (l *Listener) Next(t *testing.T) *Conn {
	t.Helper()
	select {
	case c := <-l.accepted:
		return c
	case <-time.After(most):
		t.Fatal("nothing was accepted")
		return nil
	}
}

// Conn is an accepted connection whose reader can be stopped, before bytes that have come are
// read or behind that.
type Conn struct {
	*net.TCPConn
	before, behind atomic.Pointer[Point]
}

// Before has the reader stop when bytes have come, with them unread.
func (c *Conn) Before(p *Point) { c.before.Store(p) }

// Behind has the reader stop when it has read bytes, before it does anything with them.
func (c *Conn) Behind(p *Point) { c.behind.Store(p) }

// SyscallConn is how the program's connections are read.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return &rawConn{raw, c}, err
}

type rawConn struct {
	syscall.RawConn
	conn *Conn
}

func (r *rawConn) Read(f func(uintptr) bool) error {
	behind := false
	err := r.RawConn.Read(func(fd uintptr) bool {
		if p := r.conn.before.Load(); p != nil && some(fd) {
			p.Stop()
		}
		come := some(fd)
		done := f(fd)
		behind = done && come
		return done
	})
	if p := r.conn.behind.Load(); p != nil && behind {
		p.Stop()
	}
	return err
}

// some tells whether bytes have come that were not read.
func some(fd uintptr) bool {
	n, err := memory.PeekDescriptor(int(fd))
	return err == nil && n > 0
}
