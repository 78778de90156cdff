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

// connCheckInterval is how often a wait for connections to close re-checks without a signal.
const connCheckInterval = 50 * time.Millisecond

// clientTracker tracks the clients' connections, the requests in flight on them and the
// memory of their bodies. Any goroutine may call its methods.
type clientTracker struct {
	clock         monotonicClock
	maxConns      atomic.Int64
	overflowConns int          // connections accepted beyond maxConns
	bodyBytes     atomic.Int64 // memory reserved for request bodies
	headBytes     atomic.Int64 // memory reserved for large request heads
	maxHeadBytes  int64        // limit of headBytes
	headMemoryLog rateLimitedLog

	drainedAt  atomic.Int64 // when operators drained the gateway; 0: not drained
	shutdownAt atomic.Int64 // when the shutdown of the process began; 0: not begun
	lingering  atomic.Int64 // connections closing while their clients read the response

	closedCounts [closeReasonCount]atomic.Int64

	mu          sync.Mutex
	conns       map[*clientConn]struct{}
	inFlightIDs map[string]struct{} // client-assigned ids of the requests in flight
	recentIDs   recentIDs
	connClosed  chan struct{} // signals that a connection was removed
}

func newClientTracker(maxConns, overflowConns int, maxHeadBytes int64, clock monotonicClock) *clientTracker {
	t := &clientTracker{
		clock:         clock,
		overflowConns: overflowConns,
		maxHeadBytes:  maxHeadBytes,
		conns:         map[*clientConn]struct{}{},
		inFlightIDs:   map[string]struct{}{},
		connClosed:    make(chan struct{}, 1),
	}
	t.maxConns.Store(int64(maxConns))
	return t
}

// requestAdmission is the result of beginRequest.
type requestAdmission uint8

const (
	requestAdmitted  requestAdmission = iota
	requestDuplicate                  // a request with this id is in flight
	requestRepeated                   // an earlier request with this id may have run and must not run again
	requestOverLimit                  // as many requests are in flight as may be
)

// beginRequest registers a request as in flight, if it is admitted.
func (t *clientTracker) beginRequest(id string, maxInFlight int) requestAdmission {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, duplicate := t.inFlightIDs[id]
	switch {
	case duplicate:
		return requestDuplicate
	case t.recentIDs.has(t.clock.now(), id):
		return requestRepeated
	case len(t.inFlightIDs) >= maxInFlight:
		return requestOverLimit
	}
	t.inFlightIDs[id] = struct{}{}
	return requestAdmitted
}

// HasRequest implements sibling.Records.
func (t *clientTracker) HasRequest(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, inFlight := t.inFlightIDs[id]
	return inFlight || t.recentIDs.has(t.clock.now(), id)
}

// AddRequests implements sibling.Records.
func (t *clientTracker) AddRequests(ids []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range ids {
		t.recentIDs.add(t.clock.now(), id)
	}
}

// recentRequests returns the ids of the requests that have ended and must not run again.
func (t *clientTracker) recentRequests() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.recentIDs.queue)
}

// endRequest ends a request. Its id is remembered if the request must not run again.
func (t *clientTracker) endRequest(id string, mustNotRunAgain bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.inFlightIDs, id)
	if mustNotRunAgain {
		t.recentIDs.add(t.clock.now(), id)
	}
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

// remove ends the tracking of a connection and signals connClosed.
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

// waitUntilEmpty waits until no connection is tracked any more.
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

// recordClose counts a closed connection by its reason. It logs at debug level only, since there
// is one line per connection.
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

// connContext is the HTTP server's ConnContext hook: it adds the connection to the context.
func (t *clientTracker) connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, conn)
}

// connOf returns the connection of a request. It is never nil, since the HTTP server serves only
// connections of a clientListener.
func (t *clientTracker) connOf(ctx context.Context) *clientConn {
	conn, _ := ctx.Value(connContextKey{}).(*clientConn)
	return conn
}

// connState is the HTTP server's ConnState hook: a connection becomes idle when its request has
// been answered.
func (t *clientTracker) connState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*clientConn); ok && state == http.StateIdle {
		c.requestAnswered(t.clock.now())
	}
}

// evictOne closes the connection with the lowest eviction rank and reports whether there was one.
// Clients that open many connections and send nothing, or never complete a request, therefore
// cannot keep other clients out.
func (t *clientTracker) evictOne() bool {
	var skip map[*clientConn]bool // connections on which bytes arrived before they could be evicted
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

// evictionCandidate returns the connection with the lowest rank, among equals the one that has had
// the rank longest, or nil if none may be evicted.
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
