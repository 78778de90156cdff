package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"archknot/choice"
	"archknot/internal/wire/socket"
)

// Whether clients are taken: a gateway that operators drain sends its clients away and runs on, one
// that is told to end does so for good.

const (
	// drainTakes is how long behind an operators' drain requests are still taken: what is in hand 4 s
	// behind it may not have come in the last 2 s. stopTakes is that time behind the order to end: what
	// came later than 0.7 s behind it has to be answered whole before the process is killed.
	drainTakes, stopTakes choice.Micros = 1_800_000, 650_000
	// unusedFor is how long a connection may be open in a drain before its first request: the front
	// hands out new ones for a while.
	unusedFor = 550 * time.Millisecond
	// halfFor is how long behind a drain half a request is waited for.
	halfFor choice.Micros = 3_300_000
	// awayEach is how often connections are looked at in a drain.
	awayEach = 50 * time.Millisecond
)

// ending tells whether connections end once they rest.
func (c *clients) ending() bool { return c.drainedAt.Load() > 0 || c.stoppingAt.Load() > 0 }

// refuses tells whether requests that come now are no longer taken.
func (c *clients) refuses() bool {
	now, drained, stopping := c.clock.now(), c.drainedAt.Load(), c.stoppingAt.Load()
	return drained > 0 && now-drained >= drainTakes || stopping > 0 && now-stopping >= stopTakes
}

// stop is the beginning of the process's end.
func (c *clients) stop() {
	c.stoppingAt.CompareAndSwap(0, c.clock.now())
	c.endRested()
}

// setDrained begins an operators' drain or ends it, and tells whether that is news.
func (c *clients) setDrained(drained bool) (news bool) {
	if !drained {
		return c.drainedAt.Swap(0) != 0
	}
	if !c.drainedAt.CompareAndSwap(0, c.clock.now()) {
		return false
	}
	c.endRested()
	return true
}

// endRested ends connections on which a request was answered and none is coming.
func (c *clients) endRested() {
	for _, conn := range c.all() {
		conn.end(true)
	}
}

// endUnused ends connections on which nothing was ever sent, of those that are open for so long.
func (c *clients) endUnused(open time.Duration) {
	before := c.clock.now() - open.Microseconds()
	for _, conn := range c.all() {
		if conn.quietBefore(before) {
			conn.end(false)
		}
	}
}

// sendAway ends what may end in a drain. Half a request is no longer waited for when that has lasted.
func (c *clients) sendAway() {
	c.endRested()
	c.endUnused(unusedFor)
	if drained := c.drainedAt.Load(); drained == 0 || c.clock.now()-drained < halfFor {
		return
	}
	for _, conn := range c.all() {
		conn.expireHalf()
	}
}

// quietBefore tells whether no request has come since a time.
func (c *clientConn) quietBefore(at choice.Micros) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quiet <= at
}

// expireHalf has the server take half a request for one that does not come.
func (c *clientConn) expireHalf() {
	c.mu.Lock()
	half := c.first > 0 && c.framing.Ends <= c.served
	c.mu.Unlock()
	if half {
		_ = c.Conn.SetReadDeadline(time.Now())
	}
}

// refuseLate answers a request that has come whole too late in a drain to be taken.
func (g *Gateway) refuseLate(w http.ResponseWriter, job *socket.Job, v *live) {
	full(w, v)
	slog.Info("request", "id", job.ID, "class", job.Request.Class, "outcome", "shed", "reason", "draining", "attempts", 0)
}

// Where processes share the listening socket, what one accepts the others don't get. A process that
// cannot serve yet leaves connections to its predecessor, as long as there is one, or else in the
// system's queue: for a moment only, since clients wait there.
const (
	awaitAlone  = time.Second
	awaitBeside = 6 * time.Second
	awaitEach   = 10 * time.Millisecond
)

// awaitReady waits until the gateway can serve.
func (g *Gateway) awaitReady(ctx context.Context) {
	begun := time.Now()
	for look := begun; !g.CanServe() && g.clients.stoppingAt.Load() == 0; {
		if now := time.Now(); now.Sub(begun) >= awaitAlone && now.Sub(look) >= time.Second {
			if look = now; now.Sub(begun) >= awaitBeside || g.o.Orders == nil || !g.o.Orders.Beside() {
				break
			}
		}
		select {
		case <-time.After(awaitEach):
		case <-ctx.Done():
			return
		}
	}
	slog.Info("accepting", "ready", g.CanServe(), "waited_ms", time.Since(begun).Milliseconds())
}
