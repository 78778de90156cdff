package gateway

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"archknot/choice"
	"archknot/internal/memory"
	"archknot/internal/wire/socket"
)

// clientConn is one connection of a client. The server's task reads and closes it; whoever else
// wants it to end, a drain or the limit of connections, asks. Under mu the one or the other wins:
// bytes of a request that have come, read or not, or the end. On a connection that has ended no
// further byte is read, so that its client may send a request that crossed the end elsewhere.
type clientConn struct {
	net.Conn
	raw     syscall.RawConn
	clients *clients
	over    bool         // accepted past the limit
	wrote   atomic.Int64 // when something was last written
	closed  sync.Once

	mu      sync.Mutex
	ended   bool           // no further byte is read
	left    bool           // the client's end has been read
	linger  bool           // it is being closed, and its client may still read
	used    bool           // a request has been answered on it
	first   choice.Micros  // when a request's first byte was read: the server's handler starts later; 0: none is coming
	quiet   choice.Micros  // since when none has been, or was before first
	served  int            // requests answered
	framing socket.Framing // of all that was read
	why     closeReason    // what ended it first
}

// closeReason is why a client's connection ended.
type closeReason uint8

const (
	closedAnswered closeReason = iota // behind an answer that was said to be the last, or a request turned away
	closedByClient                    // its client closed it or it broke
	closedIdle                        // it rested, or its request did not come, for too long
	closedForRoom                     // another connection needed its place
	closedForDrain                    // this gateway drains
	closeReasons   int         = iota
)

func (r closeReason) String() string {
	return [...]string{"answered", "client", "idle", "room", "drain"}[r]
}

func newClientConn(nc net.Conn, c *clients) (*clientConn, error) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("%T has no descriptor", nc)
	}
	raw, err := sc.SyscallConn()
	return &clientConn{Conn: nc, raw: raw, clients: c, quiet: c.clock.now()}, err
}

// Read reads under mu: the bytes are the server's, or they stay unread.
func (c *clientConn) Read(p []byte) (n int, err error) {
	done := false
	wait := c.raw.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		n, err, done = c.take(int(fd), p)
		return done
	})
	if done {
		return n, err
	}
	// Its time is over, or it was closed.
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended && c.first == 0 && errors.Is(wait, os.ErrDeadlineExceeded) {
		// What has come in this very moment is a request all the same.
		if c.raw.Control(func(fd uintptr) { n, err, done = c.take(int(fd), p) }) == nil && done {
			return n, err
		}
		c.endFor(closedIdle)
	}
	if c.ended {
		return 0, io.EOF
	}
	if errors.Is(wait, os.ErrDeadlineExceeded) {
		c.noteWhy(closedIdle)
	}
	return 0, wait
}

// endFor has no further byte read. It is called under mu.
func (c *clientConn) endFor(why closeReason) {
	c.ended = true
	c.noteWhy(why)
}

// noteWhy keeps the first reason that the connection ends for. It is called under mu.
func (c *clientConn) noteWhy(why closeReason) {
	if c.why == closedAnswered {
		c.why = why
	}
}

// take reads what has come. It is called under mu; done is false where nothing has.
func (c *clientConn) take(fd int, p []byte) (n int, err error, done bool) {
	if c.ended {
		return 0, io.EOF, true
	}
	n, err = readOnce(fd, p)
	switch {
	case err == syscall.EAGAIN:
		return 0, nil, false
	case err != nil:
		c.left = true
		c.noteWhy(closedByClient)
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", err)}, true
	case n == 0:
		c.left = true
		c.noteWhy(closedByClient)
		return 0, io.EOF, true
	}
	// The server drops a Content-Length beside a Transfer-Encoding without a
	// word: which of the two counts is in doubt, and with it where the next
	// request begins. Only here are both seen, and before the server sees them.
	c.framing.Write(p[:n])
	if c.first == 0 && (c.framing.Doubt != "" || c.framing.Begun(c.served)) { // an empty line behind a request begins none
		c.first = c.arrival(fd, c.clients.clock.now())
		if c.used { // the time it may rest is no limit for a request that has begun
			_ = c.Conn.SetReadDeadline(time.Now().Add(headTimeout))
		}
	}
	return n, nil, true
}

// longestQueued bounds how long a request may have waited in the system's queue.
const longestQueued choice.Micros = 10_000_000

// arrival is when what has just been read came to this machine: it may have waited, with its connection
// or on it, while this process was held up or short of descriptors, and its client's time runs from its
// sending. It is called under mu.
func (c *clientConn) arrival(fd int, now choice.Micros) choice.Micros {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return now
	}
	earliest := now - longestQueued
	if c.used { // no sooner than the answer before
		earliest = max(earliest, c.quiet)
	}
	return max(earliest, now-choice.Micros(info.Last_data_recv)*1000)
}

// shortOfMemory is how often a read is tried that fails for want of memory, and shortPause the pause.
const shortOfMemory, shortPause = 20, time.Millisecond

// readOnce reads what has come. A signal, or memory that the system lacks for a moment, says nothing of
// the connection.
func readOnce(fd int, p []byte) (n int, err error) {
	for short := 0; ; {
		n, err = syscall.Read(fd, p)
		switch {
		case err == syscall.EINTR:
		case (err == syscall.ENOMEM || err == syscall.ENOBUFS) && short < shortOfMemory:
			short++
			time.Sleep(shortPause)
		default:
			return n, err
		}
	}
}

func (c *clientConn) Write(p []byte) (int, error) {
	c.wrote.Store(c.clients.clock.now())
	return c.Conn.Write(p)
}

// end ends a connection on which nothing of a request has come, of those that were used before or
// of those that were not, and tells whether it did. Its task then reads its end and closes it.
func (c *clientConn) end(used bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.used == used && c.first == 0 && c.endNow(closedForDrain)
}

// endNow ends the connection unless something waits to be read. It is called under mu.
func (c *clientConn) endNow(why closeReason) bool {
	if c.ended {
		return true
	}
	if memory.HasUnreadData(c.Conn) {
		return false
	}
	c.endFor(why)
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // wakes its task
	return true
}

// giveWay ends the connection for another's sake, and at once: also one on which a request has
// begun and does not go on. One that has come whole is never ended.
func (c *clientConn) giveWay() bool {
	c.mu.Lock()
	won := c.linger || c.framing.Ends <= c.served && c.endNow(closedForRoom)
	c.mu.Unlock()
	if won {
		c.clients.drop(c)
		c.Conn.Close()
	}
	return won
}

// rested notes that a request has been answered. In a drain the connection ends here.
func (c *clientConn) rested(now choice.Micros) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.used, c.quiet = true, now
	c.served++
	// Some of the next request may have been read with the one before.
	if c.first = 0; c.framing.Begun(c.served) {
		c.first = now
	} else if c.clients.ending() { // read under mu: drain asks each connection behind it
		c.endNow(closedForDrain)
	}
}

// lingerFor is how long a closed connection's client may take to read the end of its answer, and
// lingerPart of all connections may be waited for so.
const (
	lingerFor  = 500 * time.Millisecond
	lingerPart = 4
)

// Close closes the connection. A close over unread bytes resets it, and takes what the client has
// not got of its answer with it: where one has just been written, the sending side is ended first
// and the client's end waited for, with nothing read.
func (c *clientConn) Close() error {
	var err error
	c.closed.Do(func() {
		if c.lingers() {
			c.waitForEnd()
		}
		c.clients.drop(c)
		c.clients.tellClosed(c)
		err = c.Conn.Close()
	})
	return err
}

// lingers tells whether the close has to wait; from now on nothing is read.
func (c *clientConn) lingers() bool {
	cs := c.clients
	wrote := c.wrote.Load()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	if c.left || wrote == 0 || cs.clock.now()-wrote >= lingerFor.Microseconds() {
		return false
	}
	if cs.lingering.Add(1) > cs.most.Load()/lingerPart {
		cs.lingering.Add(-1)
		return false
	}
	c.linger = true
	return true
}

func (c *clientConn) waitForEnd() {
	defer c.clients.lingering.Add(-1)
	until := time.Now().Add(lingerFor)
	if c.CloseWrite() != nil || c.Conn.SetReadDeadline(until) != nil {
		return
	}
	ended := false
	err := c.raw.Read(func(fd uintptr) bool {
		n, err := memory.PeekDescriptor(int(fd))
		ended = err != syscall.EAGAIN && (err != nil || n == 0)
		return ended || n > 0
	})
	if err == nil && !ended { // behind unread bytes no end shows
		time.Sleep(time.Until(until))
	}
}

// CloseWrite ends the sending side.
func (c *clientConn) CloseWrite() error {
	if t, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return t.CloseWrite()
	}
	return nil
}

// gone asks the system whether the client has closed the connection.
func (c *clientConn) gone() bool { return memory.PeerClosed(c.Conn) }

// hiding tells whether the framing has a doubt: nothing more is taken from the connection.
func (c *clientConn) hiding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.framing.Doubt != ""
}

// ahead tells whether something of a further request has been read, which is owed an answer too.
func (c *clientConn) ahead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.framing.Begun(c.served + 1)
}

func (c *clientConn) sentAt() choice.Micros {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.first > 0 {
		return c.first
	}
	return c.clients.clock.now()
}

// began is when the client connected, or when its further request began.
func (c *clientConn) began() time.Time {
	at := c.sentAt()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.used {
		at = c.quiet
	}
	return c.clients.clock.at(at)
}

// rank tells how soon a connection may be ended, 1 the soonest, 0 never, and
// for how long it has been so.
func (c *clientConn) rank(now choice.Micros) (int, choice.Micros) {
	c.mu.Lock()
	defer c.mu.Unlock()
	quiet := now - c.quiet
	switch {
	case c.linger:
		return 1, quiet
	case c.framing.Ends > c.served: // a request has come whole
		return 0, 0
	case c.first > 0 && now-c.first > slow:
		return 4, now - c.first
	case c.first > 0:
		return 0, 0
	case c.used:
		return 3, quiet
	case quiet > quick:
		return 2, quiet
	}
	return 5, quiet
}
