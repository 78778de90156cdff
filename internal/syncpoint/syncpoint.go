// Package syncpoint lets tests enforce the order of two events: the first goroutine that reaches a Point blocks
// there until the test releases it. A Listener can block before an accept, and its connections before or after
// a read. Only tests import this package.
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

// maxWait bounds each wait, so that a test fails if the expected event does not happen.
const maxWait = 5 * time.Second

// Point blocks the first goroutine that reaches it until it is released.
type Point struct {
	blockOnce         sync.Once
	reached, released chan struct{}
	releaseOnce       sync.Once
}

// NewPoint returns a Point. The end of the test releases it if the test has not.
func NewPoint(t *testing.T) *Point {
	t.Helper()
	p := &Point{reached: make(chan struct{}), released: make(chan struct{})}
	t.Cleanup(p.Release)
	return p
}

// Block blocks the first caller until Release, and all callers in the meantime. Callers after Release return at
// once.
func (p *Point) Block() {
	p.blockOnce.Do(func() {
		close(p.reached)
		<-p.released
	})
}

// WaitReached waits until a caller of Block blocks, and fails the test after maxWait.
func (p *Point) WaitReached(t *testing.T) {
	t.Helper()
	select {
	case <-p.reached:
	case <-time.After(maxWait):
		t.Fatal("no goroutine reached the sync point in time")
	}
}

// Release unblocks the callers of Block. It may be called more than once.
func (p *Point) Release() { p.releaseOnce.Do(func() { close(p.released) }) }

// Listener wraps each connection that it accepts in a Conn. Its Accept can be blocked.
type Listener struct {
	*net.TCPListener
	accepted     chan *Conn
	beforeAccept atomic.Pointer[Point]
}

// NewListener listens on a free port of 127.0.0.1.
func NewListener(t *testing.T) *Listener {
	t.Helper()
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	return &Listener{TCPListener: l, accepted: make(chan *Conn, 256)}
}

// BlockBeforeAccept makes the next Accept block at the point, so that connections stay in the accept queue.
func (l *Listener) BlockBeforeAccept(p *Point) { l.beforeAccept.Store(p) }

// Accept returns the next connection as a *Conn. NextConn returns the same *Conn to the test.
func (l *Listener) Accept() (net.Conn, error) {
	if p := l.beforeAccept.Load(); p != nil {
		p.Block()
	}
	tcp, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	wrapped := &Conn{TCPConn: tcp}
	l.accepted <- wrapped
	return wrapped, nil
}

// NextConn waits for the next accepted connection, and fails the test after maxWait.
func (l *Listener) NextConn(t *testing.T) *Conn {
	t.Helper()
	select {
	case c := <-l.accepted:
		return c
	case <-time.After(maxWait):
		t.Fatal("no connection was accepted in time")
		return nil
	}
}

// Conn is an accepted connection whose reader can be blocked before or after it reads bytes that have arrived.
type Conn struct {
	*net.TCPConn
	beforeRead, afterRead atomic.Pointer[Point]
}

// BlockBeforeRead makes the reader block at the point when bytes have arrived, before it reads them.
func (c *Conn) BlockBeforeRead(p *Point) { c.beforeRead.Store(p) }

// BlockAfterRead makes the reader block at the point when it has read bytes, before it uses them.
func (c *Conn) BlockAfterRead(p *Point) { c.afterRead.Store(p) }

// SyscallConn returns the raw connection, through which the code under test reads. Its Read blocks at the
// connection's points.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return &rawConn{raw, c}, err
}

type rawConn struct {
	syscall.RawConn
	conn *Conn
}

// Read blocks at the connection's points before and after a read of bytes that have arrived.
func (r *rawConn) Read(f func(uintptr) bool) error {
	bytesRead := false
	err := r.RawConn.Read(func(fd uintptr) bool {
		if p := r.conn.beforeRead.Load(); p != nil && hasUnreadBytes(fd) {
			p.Block()
		}
		arrived := hasUnreadBytes(fd)
		done := f(fd)
		bytesRead = done && arrived
		return done
	})
	if p := r.conn.afterRead.Load(); p != nil && bytesRead {
		p.Block()
	}
	return err
}

// hasUnreadBytes reports whether a socket has received bytes that are not read yet.
func hasUnreadBytes(fd uintptr) bool {
	n, err := connpool.PeekDescriptor(int(fd))
	return err == nil && n > 0
}
