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

// connCheckInterval is how often a wait for the end of a connection looks by itself.
const connCheckInterval = 50 * time.Millisecond

// clientTracker tracks the clients' connections, the requests in flight on them and the
// memory of their bodies. Any goroutine may call its methods.
type clientTracker struct {
	clock         monotonicClock
	maxConns      atomic.Int64
	overflowConns int          // accepted beyond maxConns
	bodyBytes     atomic.Int64 // of request bodies in memory

	drainedAt  atomic.Int64 // when operators drained the gateway; 0: it is not drained
	shutdownAt atomic.Int64 // when the shutdown of the process began; 0: it has not
	lingering  atomic.Int64 // connections that are being closed

	closedCounts [closeReasonCount]atomic.Int64

	mu          sync.Mutex
	conns       map[*clientConn]struct{}
	inFlightIDs map[string]struct{} // the clients' ids of requests in flight
	connClosed  chan struct{}       // signals that a connection has ended
}

func newClientTracker(maxConns, overflowConns int, clock monotonicClock) *clientTracker {
	t := &clientTracker{
		clock:         clock,
		overflowConns: overflowConns,
		conns:         map[*clientConn]struct{}{},
		inFlightIDs:   map[string]struct{}{},
		connClosed:    make(chan struct{}, 1),
	}
	t.maxConns.Store(int64(maxConns))
	return t
}

// beginRequest enters a request among those in flight, unless maxInFlight are or one of them
// has its id.
func (t *clientTracker) beginRequest(id string, maxInFlight int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, duplicate := t.inFlightIDs[id]; duplicate || len(t.inFlightIDs) >= maxInFlight {
		return false
	}
	t.inFlightIDs[id] = struct{}{}
	return true
}

func (t *clientTracker) endRequest(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.inFlightIDs, id)
}

func (t *clientTracker) inFlight(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.inFlightIDs[id]
	return ok
}

func (t *clientTracker) inFlightCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.inFlightIDs)
}

// add tracks a connection.
func (t *clientTracker) add(conn *clientConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns[conn] = struct{}{}
}

// remove ends the tracking of a connection that is closed.
func (t *clientTracker) remove(conn *clientConn) {
	t.mu.Lock()
	delete(t.conns, conn)
	t.mu.Unlock()
	select {
	case t.connClosed <- struct{}{}:
	default:
	}
}

func (t *clientTracker) connCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns)
}

// connections returns the tracked connections in no particular order.
func (t *clientTracker) connections() []*clientConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Collect(maps.Keys(t.conns))
}

// waitUntilEmpty waits until there is no connection any more.
func (t *clientTracker) waitUntilEmpty(ctx context.Context) error {
	for t.connCount() > 0 {
		select {
		case <-t.connClosed:
		case <-time.After(connCheckInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// recordClose counts a closed connection by its reason. It is logged at debug level only: there
// are as many lines as connections.
func (t *clientTracker) recordClose(conn *clientConn) {
	conn.mu.Lock()
	reason, answered, idleSince := conn.reason, conn.answered, conn.idleSince
	conn.mu.Unlock()
	t.closedCounts[reason].Add(1)
	if slog.Default().Enabled(context.Background(), slog.LevelDebug) {
		slog.Debug("client_conn_closed", "reason", reason.String(), "client", conn.RemoteAddr(),
			"requests", answered, "idle_ms", (t.clock.now()-idleSince)/1000)
	}
}

// closedByReason returns the number of closed connections by reason.
func (t *clientTracker) closedByReason() map[string]int64 {
	out := map[string]int64{}
	for r := range closeReasonCount {
		out[closeReason(r).String()] = t.closedCounts[r].Load()
	}
	return out
}

// connContextKey is the key of a request's connection in its context.
type connContextKey struct{}

// connContext is the HTTP server's ConnContext: it puts the connection into the context.
func (t *clientTracker) connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, conn)
}

// connOf returns the connection of a request. The HTTP server serves connections of a
// clientListener only, so there always is one.
func (t *clientTracker) connOf(ctx context.Context) *clientConn {
	conn, _ := ctx.Value(connContextKey{}).(*clientConn)
	return conn
}

// connState is the HTTP server's ConnState: an idle connection's request has been answered.
func (t *clientTracker) connState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*clientConn); ok && state == http.StateIdle {
		c.requestAnswered(t.clock.now())
	}
}

// evictOne ends the connection that is least likely to be missed, and reports whether there
// was one. Clients that open connections by the hundred and send nothing, or begin a request
// and never finish it, hold no connection that others need.
func (t *clientTracker) evictOne() bool {
	var skip map[*clientConn]bool // a request arrived on them before they could be evicted
	for {
		candidate := t.evictionCandidate(skip)
		if candidate == nil {
			return false
		}
		if candidate.evict() {
			return true
		}
		if skip == nil {
			skip = map[*clientConn]bool{}
		}
		skip[candidate] = true
	}
}

// evictionCandidate returns the connection with the lowest rank, the longest in that state; nil:
// there is none.
func (t *clientTracker) evictionCandidate(except map[*clientConn]bool) *clientConn {
	var candidate *clientConn
	var lowest evictionRank
	var longest balancer.Micros
	now := t.clock.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn := range t.conns {
		rank, age := conn.evictionRank(now)
		if rank == rankNever || except[conn] {
			continue
		}
		if candidate == nil || rank < lowest || rank == lowest && age > longest {
			candidate, lowest, longest = conn, rank, age
		}
	}
	return candidate
}
