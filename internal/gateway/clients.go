package gateway

import (
	"context"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"archknot/balancer"
)

// clientTracker are the connections that the server holds, and what their requests
// take up.
type clientTracker struct {
	clock         monotonicClock
	maxConns      atomic.Int64 // connections held
	overflowConns int          // and so many past them
	bodyBytes     atomic.Int64 // of bodies held

	drainedAt  atomic.Int64 // when operators drained the gateway; 0: they have not
	shutdownAt atomic.Int64 // when the process was told to end; 0: it was not
	lingering  atomic.Int64 // connections that are being closed

	closedCounts [closeReasonCount]atomic.Int64

	mu          sync.Mutex
	conns       map[*clientConn]struct{}
	inFlightIDs map[string]struct{} // requests in hand
	connClosed  chan struct{}       // a connection has ended
}

func newClientTracker(most, spare int, c monotonicClock) *clientTracker {
	cs := &clientTracker{clock: c, overflowConns: spare, conns: map[*clientConn]struct{}{}, inFlightIDs: map[string]struct{}{}, connClosed: make(chan struct{}, 1)}
	cs.maxConns.Store(int64(most))
	return cs
}

// beginRequest takes a request in hand, unless there are too many or one has its id.
func (c *clientTracker) beginRequest(id string, most int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, twice := c.inFlightIDs[id]; twice || len(c.inFlightIDs) >= most {
		return false
	}
	c.inFlightIDs[id] = struct{}{}
	return true
}

func (c *clientTracker) endRequest(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.inFlightIDs, id)
}

func (c *clientTracker) inFlight(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.inFlightIDs[id]
	return ok
}

func (c *clientTracker) inFlightCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.inFlightIDs)
}

func (c *clientTracker) reserveBytes(n, most int64) bool {
	if c.bodyBytes.Add(n) > most {
		c.bodyBytes.Add(-n)
		return false
	}
	return true
}

func (c *clientTracker) releaseBytes(n int64) { c.bodyBytes.Add(-n) }

// closedByReason counts the connections that were closed, by reason.
func (c *clientTracker) closedByReason() map[string]int64 {
	out := map[string]int64{}
	for r := range closeReasonCount {
		out[closeReason(r).String()] = c.closedCounts[r].Load()
	}
	return out
}

// recordClose counts a connection that is closed, and tells why: in the log where it is at debug level,
// for there are as many lines as connections.
func (c *clientTracker) recordClose(conn *clientConn) {
	conn.mu.Lock()
	why, served, quiet := conn.reason, conn.answered, conn.idleSince
	conn.mu.Unlock()
	c.closedCounts[why].Add(1)
	if slog.Default().Enabled(context.Background(), slog.LevelDebug) {
		slog.Debug("client_conn_closed", "reason", why.String(), "client", conn.RemoteAddr(), "requests", served, "idle_ms", (c.clock.now()-quiet)/1000)
	}
}

type connContextKey struct{}

func (c *clientTracker) connContext(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, nc)
}

func (c *clientTracker) connOf(ctx context.Context) *clientConn {
	return ctx.Value(connContextKey{}).(*clientConn)
}

// connState follows a connection for the server.
func (c *clientTracker) connState(nc net.Conn, s http.ConnState) {
	if s == http.StateIdle {
		nc.(*clientConn).requestAnswered(c.clock.now())
	}
}

func (c *clientTracker) connections() []*clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Keys(c.conns))
}

// remove takes a connection out that is closed.
func (c *clientTracker) remove(conn *clientConn) {
	c.mu.Lock()
	delete(c.conns, conn)
	c.mu.Unlock()
	select {
	case c.connClosed <- struct{}{}:
	default:
	}
}

// waitUntilEmpty waits until there is no connection any more.
func (c *clientTracker) waitUntilEmpty(ctx context.Context) error {
	for c.connCount() > 0 {
		select {
		case <-c.connClosed:
		case <-time.After(50 * time.Millisecond):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

type clientListener struct {
	net.Listener
	clients *clientTracker
}

func (c *clientTracker) wrapListener(l net.Listener) net.Listener { return &clientListener{l, c} }

// Accept takes the next connection. At the limit it ends one on which no
// request is coming, as the protocol allows between requests; where all are
// busy, the new one is told that the gateway is full.
func (l *clientListener) Accept() (net.Conn, error) {
	c := l.clients
	conn, err := l.acceptUsable()
	if err != nil {
		return nil, err
	}
	for c.connCount() >= int(c.maxConns.Load()) && !conn.overLimit {
		conn.overLimit = !c.evictOne()
	}
	for c.connCount() >= int(c.maxConns.Load())+c.overflowConns && !c.evictOne() {
		// Not even for that is there a descriptor: the next ones wait in the
		// system's queue.
		select {
		case <-c.connClosed:
		case <-time.After(50 * time.Millisecond):
		}
	}
	c.mu.Lock()
	c.conns[conn] = struct{}{}
	c.mu.Unlock()
	return conn, nil
}

// acceptUsable is the next connection that can be used. The fault of one ends that one alone.
func (l *clientListener) acceptUsable() (*clientConn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn, err := newClientConn(nc, l.clients)
		if err == nil {
			return conn, nil
		}
		slog.Debug("client_conn_unusable", "err", err)
		nc.Close()
	}
}

func (c *clientTracker) connCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// How soon after connecting the usual client sends something, and how long
// after that it has sent all.
const firstByteGrace, slowRequestAfter balancer.Micros = 100_000, 500_000

// evictOne ends the connection that is least likely to be missed and tells
// whether there was any. Those who open connections by hundreds and say nothing,
// or begin to and never end, hold none that others need.
func (c *clientTracker) evictOne() bool {
	var lost map[*clientConn]bool // a request had come since they were looked at
	for {
		var least *clientConn
		var leastRank int
		var leastAge balancer.Micros
		now := c.clock.now()
		c.mu.Lock()
		for conn := range c.conns {
			rank, age := conn.evictionRank(now)
			if rank > 0 && (least == nil || rank < leastRank || rank == leastRank && age > leastAge) && !lost[conn] {
				least, leastRank, leastAge = conn, rank, age
			}
		}
		c.mu.Unlock()
		if least == nil {
			return false
		}
		if least.evict() {
			return true
		}
		if lost == nil {
			lost = map[*clientConn]bool{}
		}
		lost[least] = true
	}
}
