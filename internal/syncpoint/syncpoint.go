// Package syncpoint forces the order of two events in tests: the first goroutine that reaches a Point blocks there
// until the test releases it. Connections that a Listener has accepted can block before or after a read.
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

// maxWait bounds each wait of a test, so that one whose event does not happen fails.
const maxWait = 5 * time.Second

// Point blocks the first goroutine that reaches it until it is released.
type Point struct {
	stopOnce          sync.Once
	reached, released chan struct{}
	releaseOnce       sync.Once
}

// NewPoint returns a Point that is released at the end of the test at the latest.
func NewPoint(t *testing.T) *Point {
	t.Helper()
	p := &Point{reached: make(chan struct{}), released: make(chan struct{})}
	t.Cleanup(p.Release)
	return p
}

// Stop blocks the first caller until Release. Callers in the meantime wait with it; later ones return at once.
func (p *Point) Stop() {
	p.stopOnce.Do(func() {
		close(p.reached)
		<-p.released
	})
}

// WaitReached waits until a caller of Stop blocks, and fails the test after maxWait.
func (p *Point) WaitReached(t *testing.T) {
	t.Helper()
	select {
	case <-p.reached:
	case <-time.After(maxWait):
		t.Fatal("the point was not reached")
	}
}

// Release unblocks the callers of Stop. It may be called several times.
func (p *Point) Release() { p.releaseOnce.Do(func() { close(p.released) }) }

// Listener wraps the connections that it accepts. Its Accept can be blocked.
type Listener struct {
	*net.TCPListener
	accepted     chan *Conn
	beforeAccept atomic.Pointer[Point]
}

// NewListener listens on a free port of the loopback address.
func NewListener(t *testing.T) *Listener {
	t.Helper()
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	return &Listener{TCPListener: l, accepted: make(chan *Conn, 256)}
}

// StopBeforeAccept makes the next Accept stop at the point: connections wait in the accept queue.
func (l *Listener) StopBeforeAccept(p *Point) { l.beforeAccept.Store(p) }

// Accept returns the next connection as a *Conn, which NextConn returns too.
func (l *Listener) Accept() (net.Conn, error) {
	if p := l.beforeAccept.Load(); p != nil {
		p.Stop()
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
		t.Fatal("nothing was accepted")
		return nil
	}
}

// Conn is an accepted connection whose reader can be blocked: before it reads bytes that have arrived, or after.
type Conn struct {
	*net.TCPConn
	beforeRead, afterRead atomic.Pointer[Point]
}

// StopBeforeRead makes the reader stop at the point when bytes have arrived, before it reads them.
func (c *Conn) StopBeforeRead(p *Point) { c.beforeRead.Store(p) }

// StopAfterRead makes the reader stop at the point when it has read bytes, before it uses them.
func (c *Conn) StopAfterRead(p *Point) { c.afterRead.Store(p) }

// SyscallConn returns the raw connection, through which the program reads, with the points in its Read.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return &rawConn{raw, c}, err
}

type rawConn struct {
	syscall.RawConn
	conn *Conn
}

// Read stops at the connection's points before and after a read of bytes that have arrived.
func (r *rawConn) Read(f func(uintptr) bool) error {
	bytesRead := false
	err := r.RawConn.Read(func(fd uintptr) bool {
		if p := r.conn.beforeRead.Load(); p != nil && hasUnreadBytes(fd) {
			p.Stop()
		}
		arrived := hasUnreadBytes(fd)
		done := f(fd)
		bytesRead = done && arrived
		return done
	})
	if p := r.conn.afterRead.Load(); p != nil && bytesRead {
		p.Stop()
	}
	return err
}

// hasUnreadBytes reports whether the descriptor has bytes to read.
func hasUnreadBytes(fd uintptr) bool {
	n, err := connpool.PeekDescriptor(int(fd))
	return err == nil && n > 0
}
