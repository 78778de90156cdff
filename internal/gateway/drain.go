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

// After an operators' drain, the gateway closes its client connections and keeps running until
// operators resume it. A shutdown closes them for good.

const (
	// drainAdmitPeriod is how long after the start of an operators' drain new requests are
	// admitted: a request in flight 4 s after the start must not have arrived in the last 2 s.
	drainAdmitPeriod balancer.Micros = 1_800_000
	// shutdownAdmitPeriod is how long after SIGTERM new requests are admitted: a request that
	// arrives more than 0.7 s after SIGTERM must be answered completely before the process is
	// killed.
	shutdownAdmitPeriod balancer.Micros = 650_000
	// unusedConnGrace is how long a connection may be open in a drain before its first
	// request: the front still opens connections for a while.
	unusedConnGrace = 550 * time.Millisecond
	// partialRequestGrace is how long after the start of a drain an incomplete request may
	// still be completed.
	partialRequestGrace balancer.Micros = 3_300_000
	// drainCheckInterval is how often connections are checked in a drain.
	drainCheckInterval = 50 * time.Millisecond
	// killDelay is the least time from SIGTERM to the platform's kill of the process, beyond
	// the longest deadline.
	killDelay balancer.Micros = 700_000
	// maxKillDeadline bounds the longest deadline in that time.
	maxKillDeadline balancer.Micros = 3_000_000
	// lastAnswerMargin is how long before the kill the gateway stops accepting connections.
	lastAnswerMargin balancer.Micros = 300_000
)

// draining reports whether a drain or the shutdown has begun: connections are closed as soon
// as they are idle.
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

// closeListener closes the listener. It first waits until all connections in the accept queue
// are accepted, as long as a request on them can be answered before the process is killed. On
// a shared listener the other process accepts them.
func (g *Gateway) closeListener(ctx context.Context) {
	if g.options.SharedListener {
		_ = g.listener.Close() // not used any more, even if the close fails
		slog.Info("listener_closed", "shared", true)
		return
	}
	begun := time.Now()
	ctx, cancel := context.WithDeadline(ctx, g.clients.clock.timeAt(g.lastAcceptAt()))
	defer cancel()
	empty, _ := sockets.CloseWhenEmpty(ctx, g.listener) // not used any more, even if the close fails
	slog.Info("listener_closed", "shared", false, "queue_empty", empty, "waited_ms", time.Since(begun).Milliseconds())
}

// lastAcceptAt returns the time at which a shutdown stops accepting connections.
func (g *Gateway) lastAcceptAt() balancer.Micros {
	longest := balancer.Micros(0)
	for _, class := range g.config.Load().classes {
		longest = max(longest, class.Deadline)
	}
	return g.clients.shutdownAt.Load() + min(longest, maxKillDeadline) + killDelay - lastAnswerMargin
}

// closeIdle closes the connections on which a request was answered and none is arriving.
func (t *clientTracker) closeIdle() {
	for _, conn := range t.connections() {
		conn.closeIfIdle(true)
	}
}

// closeUnused closes the connections that were opened at least age ago and have carried no
// request.
func (t *clientTracker) closeUnused(age time.Duration) {
	before := t.clock.now() - age.Microseconds()
	for _, conn := range t.connections() {
		if conn.idleBefore(before) {
			conn.closeIfIdle(false)
		}
	}
}

// closeForDrain closes the connections that an operators' drain may close by now: idle and
// unused ones, and after partialRequestGrace also those with an incomplete request.
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

// shedDraining answers a request that arrived after the admission period of a drain.
func shedDraining(w http.ResponseWriter, request *httpwire.ClientRequest, config *liveConfig) {
	writeAtCapacity(w, config)
	slog.Info("request", "id", request.ID, "class", request.Request.Class,
		"outcome", string(outcomeShed), "reason", shedReasonDraining, "attempts", 0)
}
