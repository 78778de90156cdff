package gateway

import (
	"errors"
	"syscall"
	"time"

	"archknot/balancer"
	"archknot/internal/connpool"
)

// closeReason is why a client's connection was closed. Its names are label values of a metric.
type closeReason uint8

const (
	closedAnswered    closeReason = iota // by the server, usually after a response with Connection: close
	closedByClient                       // by the client, or by a connection error
	closedIdle                           // idle, or waiting for a request to arrive, for too long
	closedForCapacity                    // evicted in favor of another connection
	closedForDrain                       // the gateway is draining
	closeReasonCount  int         = iota
)

// String returns the reason's name in the log and the metrics.
func (r closeReason) String() string {
	return [...]string{"answered", "client", "idle", "room", "drain"}[r]
}

// stopReading stops all further reads. The caller holds mu.
func (c *clientConn) stopReading(reason closeReason) {
	c.readClosed = true
	c.setCloseReason(reason)
}

// setCloseReason records why the connection is closed; the first reason counts. The caller holds mu.
func (c *clientConn) setCloseReason(reason closeReason) {
	if c.reason == closedAnswered {
		c.reason = reason
	}
}

// closeIfIdle stops reading for a drain if no byte of a request has arrived and c.used equals
// used. It reports whether it did. The server's goroutine then reads EOF and closes the
// connection.
func (c *clientConn) closeIfIdle(used bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.used == used && c.requestStart == 0 && c.stopUnlessPending(closedForDrain)
}

// stopUnlessPending stops reading unless unread bytes are pending. The caller holds mu.
func (c *clientConn) stopUnlessPending(reason closeReason) bool {
	if c.readClosed {
		return true
	}
	if connpool.HasUnreadData(c.Conn) {
		return false
	}
	c.stopReading(reason)
	_ = c.SetReadDeadline(time.Unix(1, 0)) // wakes the reading goroutine
	return true
}

// idleBefore reports whether the connection was accepted, or last answered a request, at or
// before the given time.
func (c *clientConn) idleBefore(at balancer.Micros) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleSince <= at
}

// expirePartialRequest makes the server time out an incomplete request, if there is one.
func (c *clientConn) expirePartialRequest() {
	c.mu.Lock()
	partial := c.requestStart > 0 && c.framing.CompleteRequests <= c.answered
	c.mu.Unlock()
	if partial {
		_ = c.SetReadDeadline(time.Now())
	}
}

// Connections whose clients exceed these times are evicted before newer ones.
const (
	// firstByteGrace is the time within which a normal client sends its first byte.
	firstByteGrace balancer.Micros = 100_000
	// slowRequestAfter is the time within which a normal client completes a request.
	slowRequestAfter balancer.Micros = 500_000
)

// evictionRank is the order of eviction: the lowest rank first, rankNever excepted.
type evictionRank int

const (
	rankNever       evictionRank = iota // a request is arriving or in flight
	rankLingering                       // closing, only waiting for the client to read
	rankNoData                          // no byte arrived within firstByteGrace
	rankIdle                            // a request was answered, none is arriving
	rankSlowRequest                     // a request is incomplete after slowRequestAfter
	rankNew                             // accepted within firstByteGrace
)

// evictionRank returns the connection's rank and how long it has been in that state.
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

// evict closes the connection at once to make room for another, even with an incomplete request.
// It keeps a connection with a complete request or unread bytes. It reports whether it closed the
// connection.
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
	// lingerTimeout is how long a close waits for the client to read the rest of the response.
	lingerTimeout = 500 * time.Millisecond
	// lingerFraction limits lingering connections to 1/lingerFraction of the connection limit.
	lingerFraction = 4
)

// Close closes the connection. Closing a socket with unread bytes resets it, and the client loses
// the part of the response that it has not received. If a response was written recently, Close
// therefore shuts down the sending side first and waits, without reading, for the client to close.
func (c *clientConn) Close() error {
	var err error
	c.closeOnce.Do(func() {
		if c.beginLinger() {
			c.awaitPeerClose()
		}
		c.tracker.remove(c)
		c.tracker.recordClose(c)
		c.mu.Lock()
		c.releaseHeadMemory()
		c.mu.Unlock()
		err = c.Conn.Close()
	})
	return err
}

// beginLinger stops all reads and reports whether the close must wait for the client.
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

// awaitPeerClose shuts down the sending side and waits up to lingerTimeout for the client to close.
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
	if err == nil && !closed { // unread bytes hide the client's FIN
		time.Sleep(time.Until(until))
	}
}

// CloseWrite shuts down the sending side, if the underlying connection supports that.
func (c *clientConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}
