// Package hold forces the order of two events in tests: whoever comes to a Point stops there until
// the test lets it go on. Connections accepted through a Listener, or wrapped, stop at reads.
// Only tests import it.
package syncpoint

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"archknot/internal/connpool"
)

// maxWait bounds each wait of a test.
const maxWait = 5 * time.Second

// Point stops the first who comes to it.
type Point struct {
	stopOnce          sync.Once
	reached, released chan struct{}
	releaseOnce       sync.Once
}

// NewPoint returns a point that lets go at the end of the test at the latest.
func NewPoint(t *testing.T) *Point {
	p := &Point{reached: make(chan struct{}), released: make(chan struct{})}
	t.Cleanup(p.Release)
	return p
}

// Stop is called by who is to stop; only the first one does.
func (p *Point) Stop() {
	p.stopOnce.Do(func() {
		close(p.reached)
		<-p.released
	})
}

// WaitReached waits until somebody stands there.
func (p *Point) WaitReached(t *testing.T) {
	t.Helper()
	select {
	case <-p.reached:
	case <-time.After(maxWait):
		t.Fatal("nobody came to the point")
	}
}

// Release lets it go on.
func (p *Point) Release() { p.releaseOnce.Do(func() { close(p.released) }) }

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

// NextConn is the connection accepted next.
func (l *Listener) NextConn(t *testing.T) *Conn {
	t.Helper()
	select {
	case c := <-l.accepted:
		return c
	case <-time.After(maxWait):
		t.Fatal("nothing was accepted")
		return nil
	}
}

// Conn is an accepted connection whose reader can be stopped, before bytes that have come are
// read or behind that.
type Conn struct {
	*net.TCPConn
	beforeRead, afterRead atomic.Pointer[Point]
}

// StopBeforeRead has the reader stop when bytes have come, with them unread.
func (c *Conn) StopBeforeRead(p *Point) { c.beforeRead.Store(p) }

// StopAfterRead has the reader stop when it has read bytes, before it does anything with them.
func (c *Conn) StopAfterRead(p *Point) { c.afterRead.Store(p) }

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
		if p := r.conn.beforeRead.Load(); p != nil && hasUnreadBytes(fd) {
			p.Stop()
		}
		come := hasUnreadBytes(fd)
		done := f(fd)
		behind = done && come
		return done
	})
	if p := r.conn.afterRead.Load(); p != nil && behind {
		p.Stop()
	}
	return err
}

// hasUnreadBytes tells whether bytes have come that were not read.
func hasUnreadBytes(fd uintptr) bool {
	n, err := connpool.PeekDescriptor(int(fd))
	return err == nil && n > 0
}
