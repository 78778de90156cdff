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

const (
	// maxKernelQueueTime bounds how long a request may have waited in the kernel's queue.
	maxKernelQueueTime balancer.Micros = 10_000_000
	// maxMemoryRetries bounds the retries of a read that fails for want of memory, and
	// memoryRetryPause is the pause before each.
	maxMemoryRetries = 20
	memoryRetryPause = time.Millisecond
)

// clientConn is one connection of a client. The HTTP server's goroutine reads and closes it;
// a drain or the limit of connections may want it to end. Under mu one of the two wins: the
// bytes of a request that have arrived, read or not, or the end. After the end no byte is
// read, so that the client may send a request that crossed the end elsewhere.
type clientConn struct {
	net.Conn
	raw         syscall.RawConn
	tracker     *clientTracker
	overLimit   bool         // accepted beyond the limit: its requests are shed
	lastWriteAt atomic.Int64 // 0: nothing was written
	closeOnce   sync.Once

	mu           sync.Mutex
	readClosed   bool                    // no byte is read any more
	peerClosed   bool                    // the client's end was read
	lingering    bool                    // it is being closed, and its client may still read
	used         bool                    // a request has been answered on it
	requestStart balancer.Micros         // when the first byte of a request arrived, before the server's handler starts; 0: none has
	idleSince    balancer.Micros         // of the time before requestStart
	answered     int                     // requests answered
	framing      httpwire.RequestFraming // of all that was read
	reason       closeReason             // the first cause of its end
}

// newClientConn wraps an accepted connection. It fails if the connection has no descriptor.
func newClientConn(conn net.Conn, tracker *clientTracker) (*clientConn, error) {
	withDescriptor, ok := conn.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("%T has no descriptor", conn)
	}
	raw, err := withDescriptor.SyscallConn()
	return &clientConn{Conn: conn, raw: raw, tracker: tracker, idleSince: tracker.clock.now()}, err
}

// Read reads under mu: the bytes belong to the server, or they stay unread.
func (c *clientConn) Read(p []byte) (n int, err error) {
	done := false
	waitErr := c.raw.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		n, done, err = c.readAvailable(int(fd), p)
		return done
	})
	if done {
		return n, err
	}
	// The read deadline has passed, or the connection was closed.
	c.mu.Lock()
	defer c.mu.Unlock()
	timedOut := errors.Is(waitErr, os.ErrDeadlineExceeded)
	if !c.readClosed && c.requestStart == 0 && timedOut {
		// What has arrived at this very moment is a request all the same.
		controlErr := c.raw.Control(func(fd uintptr) { n, done, err = c.readAvailable(int(fd), p) })
		if controlErr == nil && done {
			return n, err
		}
		c.stopReading(closedIdle)
	}
	if c.readClosed {
		return 0, io.EOF
	}
	if timedOut {
		c.setCloseReason(closedIdle)
	}
	return 0, waitErr
}

// readAvailable reads what has arrived; done is false if nothing has. The caller holds mu.
func (c *clientConn) readAvailable(fd int, p []byte) (n int, done bool, err error) {
	if c.readClosed {
		return 0, true, io.EOF
	}
	n, err = readOnce(fd, p)
	switch {
	case errors.Is(err, syscall.EAGAIN):
		return 0, false, nil
	case err != nil:
		c.peerClosed = true
		c.setCloseReason(closedByClient)
		return 0, true, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", err)}
	case n == 0:
		c.peerClosed = true
		c.setCloseReason(closedByClient)
		return 0, true, io.EOF
	}
	c.recordRead(fd, p[:n])
	return n, true, nil
}

// recordRead follows the framing of what was read. The HTTP server silently drops a
// Content-Length beside a Transfer-Encoding: which of the two counts is ambiguous, and with it
// where the next request begins. Only here both are seen, and before the server sees them.
// The caller holds mu.
func (c *clientConn) recordRead(fd int, p []byte) {
	c.framing.Write(p)
	// An empty line after a request does not begin another one.
	if c.requestStart != 0 || c.framing.Ambiguity == "" && !c.framing.RequestStarted(c.answered) {
		return
	}
	c.requestStart = c.arrivalTime(fd, c.tracker.clock.now())
	if c.used { // the idle timeout is no limit for a request that has begun
		_ = c.SetReadDeadline(time.Now().Add(requestHeadTimeout))
	}
}

// arrivalTime returns when the bytes just read arrived at this machine. They may have waited,
// with their connection or on it, while this process was stalled or short of descriptors; the
// client's deadline runs from its sending. The caller holds mu.
func (c *clientConn) arrivalTime(fd int, now balancer.Micros) balancer.Micros {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return now
	}
	earliest := now - maxKernelQueueTime
	if c.used { // not before the previous answer
		earliest = max(earliest, c.idleSince)
	}
	return max(earliest, now-balancer.Micros(info.Last_data_recv)*1000)
}

// readOnce reads what has arrived. An interrupt, or memory that the system lacks for a moment,
// says nothing about the connection: such a read is retried.
func readOnce(fd int, p []byte) (n int, err error) {
	for retries := 0; ; {
		n, err = syscall.Read(fd, p)
		outOfMemory := errors.Is(err, syscall.ENOMEM) || errors.Is(err, syscall.ENOBUFS)
		switch {
		case errors.Is(err, syscall.EINTR):
		case outOfMemory && retries < maxMemoryRetries:
			retries++
			time.Sleep(memoryRetryPause)
		default:
			return n, err
		}
	}
}

// Write writes a part of an answer.
func (c *clientConn) Write(p []byte) (int, error) {
	c.lastWriteAt.Store(c.tracker.clock.now())
	return c.Conn.Write(p)
}

// requestAnswered notes that a request has been answered. In a drain the connection ends here.
func (c *clientConn) requestAnswered(now balancer.Micros) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.used, c.idleSince = true, now
	c.answered++
	c.requestStart = 0
	if c.framing.RequestStarted(c.answered) { // part of the next one was read with it
		c.requestStart = now
		return
	}
	// Read under mu: a drain that begins now ends each idle connection after this.
	if c.tracker.draining() {
		c.stopUnlessPending(closedForDrain)
	}
}

// clientDisconnected reports whether the client has closed the connection, by the kernel's state.
func (c *clientConn) clientDisconnected() bool { return connpool.PeerClosed(c.Conn) }

// hasAmbiguousFraming reports whether the length of a request is ambiguous: nothing more is served
// on the connection.
func (c *clientConn) hasAmbiguousFraming() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.framing.Ambiguity != ""
}

// hasPipelined reports whether part of a further request has been read, which is owed an answer
// too.
func (c *clientConn) hasPipelined() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.framing.RequestStarted(c.answered + 1)
}

// requestArrivedAt returns when the current request's first byte arrived.
func (c *clientConn) requestArrivedAt() balancer.Micros {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requestStart > 0 {
		return c.requestStart
	}
	return c.tracker.clock.now()
}

// readDeadlineBase returns when the client connected, or when its further request began.
func (c *clientConn) readDeadlineBase() time.Time {
	at := c.requestArrivedAt()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.used {
		at = c.idleSince
	}
	return c.tracker.clock.timeAt(at)
}
