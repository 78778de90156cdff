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
	// maxKernelQueueTime bounds how long a request is assumed to have waited in the kernel's queues.
	maxKernelQueueTime balancer.Micros = 10_000_000
	// maxMemoryRetries bounds the retries of a read that fails with ENOMEM or ENOBUFS.
	maxMemoryRetries = 20
	// memoryRetryPause is the pause before each of those retries.
	memoryRetryPause = time.Millisecond
)

// clientConn is one client connection. The HTTP server's goroutine reads and closes it; a drain
// or the connection limit may stop its reads concurrently. mu serializes the two: reads are
// stopped only if no request bytes are pending, and no byte is read afterwards. A client whose
// request crossed the close can therefore safely send it elsewhere.
type clientConn struct {
	net.Conn
	raw         syscall.RawConn
	tracker     *clientTracker
	overLimit   bool         // accepted beyond the connection limit: its requests are shed
	lastWriteAt atomic.Int64 // time of the last write; 0: nothing was written
	closeOnce   sync.Once

	mu           sync.Mutex
	readClosed   bool                    // no further byte is read
	peerClosed   bool                    // EOF or an error was read from the client
	lingering    bool                    // closing, while the client may still read the response
	used         bool                    // a request has been answered on it
	requestStart balancer.Micros         // arrival of the current request's first byte; 0: none has arrived
	idleSince    balancer.Micros         // when the connection was accepted or its last request was answered
	answered     int                     // requests answered
	framing      httpwire.RequestFraming // framing of all bytes read
	headMemory   int64                   // reserved for the heads of requests that are not answered
	headError    error                   // why no more of a head is read; nil: nothing is wrong with it
	reason       closeReason             // the first cause of the close
}

// newClientConn wraps an accepted connection. It fails if the connection has no file descriptor.
func newClientConn(conn net.Conn, tracker *clientTracker) (*clientConn, error) {
	withDescriptor, ok := conn.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("client connection of type %T has no file descriptor", conn)
	}
	raw, err := withDescriptor.SyscallConn()
	return &clientConn{Conn: conn, raw: raw, tracker: tracker, idleSince: tracker.clock.now()}, err
}

// Read reads under mu: bytes are either passed to the server or stay unread in the kernel.
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
		// Bytes that arrived just as the idle timeout expired still begin a request.
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

// readAvailable reads without blocking; done is false if nothing has arrived. The caller holds mu.
func (c *clientConn) readAvailable(fd int, p []byte) (n int, done bool, err error) {
	if c.readClosed {
		return 0, true, io.EOF
	}
	if c.headError != nil {
		return c.refuseHead()
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
	n = c.recordRead(fd, p[:n])
	c.headError = c.reserveHeadMemory()
	if c.headError != nil && (n == 0 || !c.hasUnanswered()) {
		return c.refuseHead()
	}
	return n, true, nil
}

// recordRead updates the framing state with the bytes just read. If a request has both a
// Content-Length and a Transfer-Encoding, its end is ambiguous, and so is the start of the next
// one. The HTTP server drops the Content-Length without reporting it, so the pair can only be
// detected here, before the server parses the bytes. It returns how many of the bytes the server
// may parse. The caller holds mu.
func (c *clientConn) recordRead(fd int, p []byte) (accepted int) {
	accepted = c.framing.Write(p)
	// An empty line after a request does not begin a new request.
	if c.requestStart != 0 || c.framing.Ambiguity == "" && !c.framing.RequestStarted(c.answered) {
		return accepted
	}
	c.requestStart = c.arrivalTime(fd, c.tracker.clock.now())
	if c.used { // the idle timeout does not apply once a request has begun
		_ = c.SetReadDeadline(time.Now().Add(requestHeadTimeout))
	}
	return accepted
}

// arrivalTime returns when the bytes just read arrived at this machine. They may have waited in
// the accept queue or the socket buffer while this process was stalled or short of descriptors,
// but the client's deadline runs from its sending. The caller holds mu.
func (c *clientConn) arrivalTime(fd int, now balancer.Micros) balancer.Micros {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return now
	}
	earliest := now - maxKernelQueueTime
	if c.used { // not before the previous request was answered
		earliest = max(earliest, c.idleSince)
	}
	return max(earliest, now-balancer.Micros(info.Last_data_recv)*1000)
}

// readOnce reads the bytes that have arrived. It retries after EINTR and after a temporary lack
// of kernel memory, neither of which is a fault of the connection.
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

// Write writes part of a response and records the time for Close.
func (c *clientConn) Write(p []byte) (int, error) {
	c.lastWriteAt.Store(c.tracker.clock.now())
	return c.Conn.Write(p)
}

// requestAnswered records that a request has been answered. In a drain it closes the connection.
func (c *clientConn) requestAnswered(now balancer.Micros) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.used, c.idleSince = true, now
	c.answered++
	c.requestStart = 0
	c.releaseHeadMemory()
	if c.framing.RequestStarted(c.answered) { // part of the next request was read with it
		c.requestStart = now
		return
	}
	// Checked under mu: a drain that begins after this check closes the idle connections itself.
	if c.tracker.draining() {
		c.stopUnlessPending(closedForDrain)
	}
}

// clientDisconnected reports whether the client has closed the connection, by the socket's state.
func (c *clientConn) clientDisconnected() bool { return connpool.PeerClosed(c.Conn) }

// hasAmbiguousFraming reports whether the length of a request was ambiguous. Nothing more is
// served on such a connection.
func (c *clientConn) hasAmbiguousFraming() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.framing.Ambiguity != ""
}

// hasPipelined reports whether part of a further request has been read, which must be answered
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

// readDeadlineBase returns the time from which requestTimeout counts: when the client connected,
// or for a later request on the connection, when that request arrived.
func (c *clientConn) readDeadlineBase() time.Time {
	at := c.requestArrivedAt()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.used {
		at = c.idleSince
	}
	return c.tracker.clock.timeAt(at)
}
