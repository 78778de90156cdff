package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"archknot/balancer"
	"archknot/internal/httpwire"
)

// Whether clients are taken: a gateway that operators drain sends its clients away and runs on, one
// that is told to end does so for good.

const (
	// drainAdmitPeriod is how long behind an operators' drain requests are still taken: what is in hand 4 s
	// behind it may not have come in the last 2 s. shutdownAdmitPeriod is that time behind the order to end: what
	// came later than 0.7 s behind it has to be answered whole before the process is killed.
	drainAdmitPeriod, shutdownAdmitPeriod balancer.Micros = 1_800_000, 650_000
	// unusedConnGrace is how long a connection may be open in a drain before its first request: the front
	// hands out new ones for a while.
	unusedConnGrace = 550 * time.Millisecond
	// partialRequestGrace is how long behind a drain half a request is waited for.
	partialRequestGrace balancer.Micros = 3_300_000
	// drainCheckInterval is how often connections are looked at in a drain.
	drainCheckInterval = 50 * time.Millisecond
)

// draining tells whether connections end once they rest.
func (c *clientTracker) draining() bool { return c.drainedAt.Load() > 0 || c.shutdownAt.Load() > 0 }

// shedsNewRequests tells whether requests that come now are no longer taken.
func (c *clientTracker) shedsNewRequests() bool {
	now, drained, stopping := c.clock.now(), c.drainedAt.Load(), c.shutdownAt.Load()
	return drained > 0 && now-drained >= drainAdmitPeriod || stopping > 0 && now-stopping >= shutdownAdmitPeriod
}

// beginShutdown is the beginning of the process's end.
func (c *clientTracker) beginShutdown() {
	c.shutdownAt.CompareAndSwap(0, c.clock.now())
	c.closeIdle()
}

// setDrained begins an operators' drain or ends it, and tells whether that is news.
func (c *clientTracker) setDrained(drained bool) (news bool) {
	if !drained {
		return c.drainedAt.Swap(0) != 0
	}
	if !c.drainedAt.CompareAndSwap(0, c.clock.now()) {
		return false
	}
	c.closeIdle()
	return true
}

// closeIdle ends connections on which a request was answered and none is coming.
func (c *clientTracker) closeIdle() {
	for _, conn := range c.connections() {
		conn.closeIfIdle(true)
	}
}

// closeUnused ends connections on which nothing was ever sent, of those that are open for so long.
func (c *clientTracker) closeUnused(open time.Duration) {
	before := c.clock.now() - open.Microseconds()
	for _, conn := range c.connections() {
		if conn.idleBefore(before) {
			conn.closeIfIdle(false)
		}
	}
}

// closeForDrain ends what may end in a drain. Half a request is no longer waited for when that has lasted.
func (c *clientTracker) closeForDrain() {
	c.closeIdle()
	c.closeUnused(unusedConnGrace)
	if drained := c.drainedAt.Load(); drained == 0 || c.clock.now()-drained < partialRequestGrace {
		return
	}
	for _, conn := range c.connections() {
		conn.expirePartialRequest()
	}
}

// idleBefore tells whether no request has come since a time.
func (c *clientConn) idleBefore(at balancer.Micros) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleSince <= at
}

// expirePartialRequest has the server take half a request for one that does not come.
func (c *clientConn) expirePartialRequest() {
	c.mu.Lock()
	half := c.requestStart > 0 && c.framing.CompleteRequests <= c.answered
	c.mu.Unlock()
	if half {
		_ = c.Conn.SetReadDeadline(time.Now())
	}
}

// shedDraining answers a request that has come whole too late in a drain to be taken.
func (g *Gateway) shedDraining(w http.ResponseWriter, job *httpwire.ClientRequest, v *liveConfig) {
	writeAtCapacity(w, v)
	slog.Info("request", "id", job.ID, "class", job.Request.Class, "outcome", "shed", "reason", "draining", "attempts", 0)
}

// Where processes share the listening socket, what one accepts the others don't get. A process that
// cannot serve yet leaves connections to its predecessor, as long as there is one, or else in the
// system's queue: for a moment only, since clients wait there.
const (
	readyWaitAlone           = time.Second
	readyWaitWithPredecessor = 6 * time.Second
	readyCheckInterval       = 10 * time.Millisecond
)

// awaitReady waits until the gateway can serve.
func (g *Gateway) awaitReady(ctx context.Context) {
	begun := time.Now()
	for look := begun; !g.CanServe() && g.clients.shutdownAt.Load() == 0; {
		if now := time.Now(); now.Sub(begun) >= readyWaitAlone && now.Sub(look) >= time.Second {
			if look = now; now.Sub(begun) >= readyWaitWithPredecessor || g.options.Orders == nil || !g.options.Orders.HasPredecessor() {
				break
			}
		}
		select {
		case <-time.After(readyCheckInterval):
		case <-ctx.Done():
			return
		}
	}
	slog.Info("accepting", "ready", g.CanServe(), "waited_ms", time.Since(begun).Milliseconds())
}
