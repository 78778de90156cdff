package gateway

import (
	"errors"
	"syscall"
	"time"

	"archknot/balancer"
	"archknot/internal/connpool"
)

// closeReason is why a client's connection ended. Its names are label values of a metric.
type closeReason uint8

const (
	closedAnswered    closeReason = iota // after an answer that was announced as the last, or a rejection
	closedByClient                       // the client closed it, or it broke
	closedIdle                           // it was idle, or its request did not arrive, for too long
	closedForCapacity                    // another connection needed its place
	closedForDrain                       // the gateway is draining
	closeReasonCount  int         = iota
)

// String returns the reason's name in the log and the metrics.
func (r closeReason) String() string {
	return [...]string{"answered", "client", "idle", "room", "drain"}[r]
}

// stopReading has no further byte read. The caller holds mu.
func (c *clientConn) stopReading(reason closeReason) {
	c.readClosed = true
	c.setCloseReason(reason)
}

// setCloseReason notes why the connection ends; the first reason counts. The caller holds mu.
func (c *clientConn) setCloseReason(reason closeReason) {
	if c.reason == closedAnswered {
		c.reason = reason
	}
}

// closeIfIdle ends the connection for a drain if nothing of a request has arrived and it was
// used before, or was not, as given. It reports whether it did. The server's goroutine then
// reads the end and closes the connection.
func (c *clientConn) closeIfIdle(used bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.used == used && c.requestStart == 0 && c.stopUnlessPending(closedForDrain)
}

// stopUnlessPending ends the connection unless bytes wait to be read. The caller holds mu.
func (c *clientConn) stopUnlessPending(reason closeReason) bool {
	if c.readClosed {
		return true
	}
	if connpool.HasUnreadData(c.Conn) {
		return false
	}
	c.stopReading(reason)
	_ = c.SetReadDeadline(time.Unix(1, 0)) // wakes the goroutine that reads
	return true
}

// idleBefore reports whether no request has arrived since a time.
func (c *clientConn) idleBefore(at balancer.Micros) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleSince <= at
}

// expirePartialRequest has the server give up an incomplete request, if there is one.
func (c *clientConn) expirePartialRequest() {
	c.mu.Lock()
	partial := c.requestStart > 0 && c.framing.CompleteRequests <= c.answered
	c.mu.Unlock()
	if partial {
		_ = c.SetReadDeadline(time.Now())
	}
}

// Clients that do not behave as usual are evicted first.
const (
	firstByteGrace   balancer.Micros = 100_000 // the usual client sends something so soon after connecting
	slowRequestAfter balancer.Micros = 500_000 // and its complete request so soon after that
)

// evictionRank is how soon a connection may be evicted, the lowest rank first.
type evictionRank int

const (
	rankNever       evictionRank = iota // a request is arriving or in flight
	rankLingering                       // only its client's reading is waited for
	rankNoData                          // nothing arrived in firstByteGrace
	rankIdle                            // a request was answered, none is arriving
	rankSlowRequest                     // a request did not arrive completely in slowRequestAfter
	rankNew                             // just connected
)

// evictionRank returns the connection's rank, and for how long it has had it.
func (c *clientConn) evictionRank(now balancer.Micros) (evictionRank, balancer.Micros) {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := now - c.idleSince
	switch {
	case c.lingering:
		return rankLingering, idle
	case c.framing.CompleteRequests > c.answered:
		return rankNever, 0
	case c.requestStart > 0 && now-c.requestStart > slowRequestAfter:
		return rankSlowRequest, now - c.requestStart
	case c.requestStart > 0:
		return rankNever, 0
	case c.used:
		return rankIdle, idle
	case idle > firstByteGrace:
		return rankNoData, idle
	}
	return rankNew, idle
}

// evict ends the connection at once, for another's sake: also one with an incomplete request.
// One with a complete request is never ended. It reports whether the connection ended.
func (c *clientConn) evict() bool {
	c.mu.Lock()
	evicted := c.lingering || c.framing.CompleteRequests <= c.answered && c.stopUnlessPending(closedForCapacity)
	c.mu.Unlock()
	if evicted {
		c.tracker.remove(c)
		c.Conn.Close()
	}
	return evicted
}

const (
	// lingerTimeout is how long a closed connection's client may take to read the end of its
	// answer.
	lingerTimeout = 500 * time.Millisecond
	// lingerFraction: at most one in so many connections may be waited for so.
	lingerFraction = 4
)

// Close closes the connection. A close over unread bytes resets it, and the client loses what it
// has not yet received of its answer. So where an answer has just been written, the sending side
// is closed first and the client's end waited for, with nothing read.
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

// beginLinger reports whether the close has to wait. From now on nothing is read.
func (c *clientConn) beginLinger() bool {
	t := c.tracker
	lastWriteAt := c.lastWriteAt.Load()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readClosed = true
	if c.peerClosed || lastWriteAt == 0 || t.clock.now()-lastWriteAt >= lingerTimeout.Microseconds() {
		return false
	}
	if t.lingering.Add(1) > t.maxConns.Load()/lingerFraction {
		t.lingering.Add(-1)
		return false
	}
	c.lingering = true
	return true
}

// awaitPeerClose closes the sending side and waits for the client's end, for lingerTimeout.
func (c *clientConn) awaitPeerClose() {
	defer c.tracker.lingering.Add(-1)
	until := time.Now().Add(lingerTimeout)
	if c.CloseWrite() != nil || c.SetReadDeadline(until) != nil {
		return
	}
	closed := false
	err := c.raw.Read(func(fd uintptr) bool {
		n, err := connpool.PeekDescriptor(int(fd))
		if errors.Is(err, syscall.EAGAIN) {
			return false
		}
		closed = err != nil || n == 0
		return true
	})
	if err == nil && !closed { // unread bytes hide the client's end
		time.Sleep(time.Until(until))
	}
}

// CloseWrite closes the sending side.
func (c *clientConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}
