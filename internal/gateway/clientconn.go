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

	"archknot/balancer"
	"archknot/internal/connpool"
	"archknot/internal/httpwire"
)

// clientConn is one connection of a client. The server's task reads and closes it; whoever else
// wants it to end, a drain or the limit of connections, asks. Under mu the one or the other wins:
// bytes of a request that have come, read or not, or the end. On a connection that has ended no
// further byte is read, so that its client may send a request that crossed the end elsewhere.
type clientConn struct {
	net.Conn
	raw         syscall.RawConn
	tracker     *clientTracker
	overLimit   bool         // accepted past the limit
	lastWriteAt atomic.Int64 // when something was last written
	closeOnce   sync.Once

	mu           sync.Mutex
	readClosed   bool                    // no further byte is read
	peerClosed   bool                    // the client's end has been read
	lingering    bool                    // it is being closed, and its client may still read
	used         bool                    // a request has been answered on it
	requestStart balancer.Micros         // when a request's first byte was read: the server's handler starts later; 0: none is coming
	idleSince    balancer.Micros         // since when none has been, or was before first
	answered     int                     // requests answered
	framing      httpwire.RequestFraming // of all that was read
	reason       closeReason             // what ended it first
}

// closeReason is why a client's connection ended.
type closeReason uint8

const (
	closedAnswered    closeReason = iota // behind an answer that was said to be the last, or a request turned away
	closedByClient                       // its client closed it or it broke
	closedIdle                           // it rested, or its request did not come, for too long
	closedForCapacity                    // another connection needed its place
	closedForDrain                       // this gateway drains
	closeReasonCount  int         = iota
)

func (r closeReason) String() string {
	return [...]string{"answered", "client", "idle", "room", "drain"}[r]
}

func newClientConn(nc net.Conn, c *clientTracker) (*clientConn, error) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("%T has no descriptor", nc)
	}
	raw, err := sc.SyscallConn()
	return &clientConn{Conn: nc, raw: raw, tracker: c, idleSince: c.clock.now()}, err
}

// Read reads under mu: the bytes are the server's, or they stay unread.
func (c *clientConn) Read(p []byte) (n int, err error) {
	done := false
	wait := c.raw.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		n, err, done = c.readAvailable(int(fd), p)
		return done
	})
	if done {
		return n, err
	}
	// Its time is over, or it was closed.
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.readClosed && c.requestStart == 0 && errors.Is(wait, os.ErrDeadlineExceeded) {
		// What has come in this very moment is a request all the same.
		if c.raw.Control(func(fd uintptr) { n, err, done = c.readAvailable(int(fd), p) }) == nil && done {
			return n, err
		}
		c.stopReading(closedIdle)
	}
	if c.readClosed {
		return 0, io.EOF
	}
	if errors.Is(wait, os.ErrDeadlineExceeded) {
		c.setCloseReason(closedIdle)
	}
	return 0, wait
}

// stopReading has no further byte read. It is called under mu.
func (c *clientConn) stopReading(why closeReason) {
	c.readClosed = true
	c.setCloseReason(why)
}

// setCloseReason keeps the first reason that the connection ends for. It is called under mu.
func (c *clientConn) setCloseReason(why closeReason) {
	if c.reason == closedAnswered {
		c.reason = why
	}
}

// readAvailable reads what has come. It is called under mu; done is false where nothing has.
func (c *clientConn) readAvailable(fd int, p []byte) (n int, err error, done bool) {
	if c.readClosed {
		return 0, io.EOF, true
	}
	n, err = readOnce(fd, p)
	switch {
	case err == syscall.EAGAIN:
		return 0, nil, false
	case err != nil:
		c.peerClosed = true
		c.setCloseReason(closedByClient)
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", err)}, true
	case n == 0:
		c.peerClosed = true
		c.setCloseReason(closedByClient)
		return 0, io.EOF, true
	}
	// The server drops a Content-Length beside a Transfer-Encoding without a
	// word: which of the two counts is in doubt, and with it where the next
	// request begins. Only here are both seen, and before the server sees them.
	c.framing.Write(p[:n])
	if c.requestStart == 0 && (c.framing.Ambiguity != "" || c.framing.RequestStarted(c.answered)) { // an empty line behind a request begins none
		c.requestStart = c.arrivalTime(fd, c.tracker.clock.now())
		if c.used { // the time it may rest is no limit for a request that has begun
			_ = c.Conn.SetReadDeadline(time.Now().Add(requestHeadTimeout))
		}
	}
	return n, nil, true
}

// maxQueueTime bounds how long a request may have waited in the system's queue.
const maxQueueTime balancer.Micros = 10_000_000

// arrivalTime is when what has just been read came to this machine: it may have waited, with its connection
// or on it, while this process was held up or short of descriptors, and its client's time runs from its
// sending. It is called under mu.
func (c *clientConn) arrivalTime(fd int, now balancer.Micros) balancer.Micros {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return now
	}
	earliest := now - maxQueueTime
	if c.used { // no sooner than the answer before
		earliest = max(earliest, c.idleSince)
	}
	return max(earliest, now-balancer.Micros(info.Last_data_recv)*1000)
}

// maxMemoryRetries is how often a read is tried that fails for want of memory, and memoryRetryPause the pause.
const maxMemoryRetries, memoryRetryPause = 20, time.Millisecond

// readOnce reads what has come. A signal, or memory that the system lacks for a moment, says nothing of
// the connection.
func readOnce(fd int, p []byte) (n int, err error) {
	for short := 0; ; {
		n, err = syscall.Read(fd, p)
		switch {
		case err == syscall.EINTR:
		case (err == syscall.ENOMEM || err == syscall.ENOBUFS) && short < maxMemoryRetries:
			short++
			time.Sleep(memoryRetryPause)
		default:
			return n, err
		}
	}
}

func (c *clientConn) Write(p []byte) (int, error) {
	c.lastWriteAt.Store(c.tracker.clock.now())
	return c.Conn.Write(p)
}

// closeIfIdle ends a connection on which nothing of a request has come, of those that were used before or
// of those that were not, and tells whether it did. Its task then reads its end and closes it.
func (c *clientConn) closeIfIdle(used bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.used == used && c.requestStart == 0 && c.stopUnlessPending(closedForDrain)
}

// stopUnlessPending ends the connection unless something waits to be read. It is called under mu.
func (c *clientConn) stopUnlessPending(why closeReason) bool {
	if c.readClosed {
		return true
	}
	if connpool.HasUnreadData(c.Conn) {
		return false
	}
	c.stopReading(why)
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // wakes its task
	return true
}

// evict ends the connection for another's sake, and at once: also one on which a request has
// begun and does not go on. One that has come whole is never ended.
func (c *clientConn) evict() bool {
	c.mu.Lock()
	won := c.lingering || c.framing.CompleteRequests <= c.answered && c.stopUnlessPending(closedForCapacity)
	c.mu.Unlock()
	if won {
		c.tracker.remove(c)
		c.Conn.Close()
	}
	return won
}

// requestAnswered notes that a request has been answered. In a drain the connection ends here.
func (c *clientConn) requestAnswered(now balancer.Micros) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.used, c.idleSince = true, now
	c.answered++
	// Some of the next request may have been read with the one before.
	if c.requestStart = 0; c.framing.RequestStarted(c.answered) {
		c.requestStart = now
	} else if c.tracker.draining() { // read under mu: drain asks each connection behind it
		c.stopUnlessPending(closedForDrain)
	}
}

// lingerTimeout is how long a closed connection's client may take to read the end of its answer, and
// lingerFraction of all connections may be waited for so.
const (
	lingerTimeout  = 500 * time.Millisecond
	lingerFraction = 4
)

// Close closes the connection. A close over unread bytes resets it, and takes what the client has
// not got of its answer with it: where one has just been written, the sending side is ended first
// and the client's end waited for, with nothing read.
func (c *clientConn) Close() error {
	var err error
	c.closeOnce.Do(func() {
		if c.beginLinger() {
			c.awaitPeerClose()
		}
		c.tracker.remove(c)
		c.tracker.recordClose(c)
		err = c.Conn.Close()
	})
	return err
}

// beginLinger tells whether the close has to wait; from now on nothing is read.
func (c *clientConn) beginLinger() bool {
	cs := c.tracker
	wrote := c.lastWriteAt.Load()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readClosed = true
	if c.peerClosed || wrote == 0 || cs.clock.now()-wrote >= lingerTimeout.Microseconds() {
		return false
	}
	if cs.lingering.Add(1) > cs.maxConns.Load()/lingerFraction {
		cs.lingering.Add(-1)
		return false
	}
	c.lingering = true
	return true
}

func (c *clientConn) awaitPeerClose() {
	defer c.tracker.lingering.Add(-1)
	until := time.Now().Add(lingerTimeout)
	if c.CloseWrite() != nil || c.Conn.SetReadDeadline(until) != nil {
		return
	}
	ended := false
	err := c.raw.Read(func(fd uintptr) bool {
		n, err := connpool.PeekDescriptor(int(fd))
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

// peerGone asks the system whether the client has closed the connection.
func (c *clientConn) peerGone() bool { return connpool.PeerClosed(c.Conn) }

// framingInDoubt tells whether the framing has a doubt: nothing more is taken from the connection.
func (c *clientConn) framingInDoubt() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.framing.Ambiguity != ""
}

// hasPipelined tells whether something of a further request has been read, which is owed an answer too.
func (c *clientConn) hasPipelined() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.framing.RequestStarted(c.answered + 1)
}

func (c *clientConn) requestSentAt() balancer.Micros {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requestStart > 0 {
		return c.requestStart
	}
	return c.tracker.clock.now()
}

// readDeadlineBase is when the client connected, or when its further request began.
func (c *clientConn) readDeadlineBase() time.Time {
	at := c.requestSentAt()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.used {
		at = c.idleSince
	}
	return c.tracker.clock.timeAt(at)
}

// evictionRank tells how soon a connection may be ended, 1 the soonest, 0 never, and
// for how long it has been so.
func (c *clientConn) evictionRank(now balancer.Micros) (int, balancer.Micros) {
	c.mu.Lock()
	defer c.mu.Unlock()
	quiet := now - c.idleSince
	switch {
	case c.lingering:
		return 1, quiet
	case c.framing.CompleteRequests > c.answered: // a request has come whole
		return 0, 0
	case c.requestStart > 0 && now-c.requestStart > slowRequestAfter:
		return 4, now - c.requestStart
	case c.requestStart > 0:
		return 0, 0
	case c.used:
		return 3, quiet
	case quiet > firstByteGrace:
		return 2, quiet
	}
	return 5, quiet
}
