package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"archknot/balancer"
	"archknot/internal/httpwire"
	"archknot/internal/sockets"
)

// A gateway that operators drain ends its client connections and goes on running; one that is
// shutting down does so for good.

const (
	// drainAdmitPeriod is how long after an operators' drain new requests are still admitted:
	// a request that is in flight 4 s after it may not have arrived in the last 2 s.
	drainAdmitPeriod balancer.Micros = 1_800_000
	// shutdownAdmitPeriod is that time after SIGTERM: a request that arrived later than 0.7 s
	// after it has to be answered completely before the process is killed.
	shutdownAdmitPeriod balancer.Micros = 650_000
	// unusedConnGrace is how long a connection may be open in a drain before its first
	// request: the front hands out new ones for a while.
	unusedConnGrace = 550 * time.Millisecond
	// partialRequestGrace is how long after a drain an incomplete request is waited for.
	partialRequestGrace balancer.Micros = 3_300_000
	// drainCheckInterval is how often connections are checked in a drain.
	drainCheckInterval = 50 * time.Millisecond
	// The platform kills the process at the earliest killDelay and the longest deadline after
	// SIGTERM, where deadlines over maxKillDeadline count as that.
	killDelay       balancer.Micros = 700_000
	maxKillDeadline balancer.Micros = 3_000_000
	// lastAnswerMargin before the kill no connection is accepted any more.
	lastAnswerMargin balancer.Micros = 300_000
)

// draining reports whether connections end as soon as they are idle.
func (t *clientTracker) draining() bool { return t.drainedAt.Load() > 0 || t.shutdownAt.Load() > 0 }

// shedsNewRequests reports whether new requests are no longer admitted.
func (t *clientTracker) shedsNewRequests() bool {
	now, drainedAt, shutdownAt := t.clock.now(), t.drainedAt.Load(), t.shutdownAt.Load()
	return drainedAt > 0 && now-drainedAt >= drainAdmitPeriod || shutdownAt > 0 && now-shutdownAt >= shutdownAdmitPeriod
}

// beginShutdown begins the graceful shutdown of the process.
func (t *clientTracker) beginShutdown() {
	t.shutdownAt.CompareAndSwap(0, t.clock.now())
	t.closeIdle()
}

// setDrained begins or ends an operators' drain, and reports whether that is a change.
func (t *clientTracker) setDrained(drained bool) (changed bool) {
	if !drained {
		return t.drainedAt.Swap(0) != 0
	}
	if !t.drainedAt.CompareAndSwap(0, t.clock.now()) {
		return false
	}
	t.closeIdle()
	return true
}

// closeListener gives the listener up. Connections in its accept queue are accepted first, as long
// as a request on them can be answered before the process is killed. On a shared listener they
// are the other process's.
func (g *Gateway) closeListener(ctx context.Context) {
	if g.options.SharedListener {
		_ = g.listener.Close() // it is given up either way
		slog.Info("listener_closed", "shared", true)
		return
	}
	begun := time.Now()
	ctx, cancel := context.WithDeadline(ctx, g.clients.clock.timeAt(g.lastAcceptAt()))
	defer cancel()
	empty, _ := sockets.CloseWhenEmpty(ctx, g.listener) // it is given up either way
	slog.Info("listener_closed", "shared", false, "queue_empty", empty, "waited_ms", time.Since(begun).Milliseconds())
}

// lastAcceptAt returns until when a shutdown may accept connections.
func (g *Gateway) lastAcceptAt() balancer.Micros {
	longest := balancer.Micros(0)
	for _, class := range g.config.Load().classes {
		longest = max(longest, class.Deadline)
	}
	return g.clients.shutdownAt.Load() + min(longest, maxKillDeadline) + killDelay - lastAnswerMargin
}

// closeIdle ends the connections on which a request was answered and none is arriving.
func (t *clientTracker) closeIdle() {
	for _, conn := range t.connections() {
		conn.closeIfIdle(true)
	}
}

// closeUnused ends the connections that carried nothing in a time since they were opened.
func (t *clientTracker) closeUnused(age time.Duration) {
	before := t.clock.now() - age.Microseconds()
	for _, conn := range t.connections() {
		if conn.idleBefore(before) {
			conn.closeIfIdle(false)
		}
	}
}

// closeForDrain ends the connections that may end in an operators' drain, after
// partialRequestGrace also those with an incomplete request.
func (t *clientTracker) closeForDrain() {
	t.closeIdle()
	t.closeUnused(unusedConnGrace)
	drainedAt := t.drainedAt.Load()
	if drainedAt == 0 || t.clock.now()-drainedAt < partialRequestGrace {
		return
	}
	for _, conn := range t.connections() {
		conn.expirePartialRequest()
	}
}

// shedDraining answers a request that arrived too late in a drain to be admitted.
func shedDraining(w http.ResponseWriter, request *httpwire.ClientRequest, config *liveConfig) {
	writeAtCapacity(w, config)
	slog.Info("request", "id", request.ID, "class", request.Request.Class,
		"outcome", string(outcomeShed), "reason", shedReasonDraining, "attempts", 0)
}
