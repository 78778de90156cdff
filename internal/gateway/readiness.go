package gateway

import (
	"context"
	"log/slog"
	"time"
)

// Where processes share the listening socket, a connection that one accepts is lost to the
// others. A process that cannot serve yet leaves connections to its predecessor as long as
// there is one, or else in the kernel's queue: for a moment only, since clients wait there.
const (
	readyWaitAlone           = time.Second
	readyWaitWithPredecessor = 6 * time.Second
	readyCheckInterval       = 10 * time.Millisecond
	predecessorCheckInterval = time.Second
)

// CanServe reports whether this process can serve clients. Any goroutine may call it.
func (g *Gateway) CanServe() bool {
	select {
	case <-g.listening:
		return g.ready.Load() && g.clients.shutdownAt.Load() == 0
	default:
		return false
	}
}

// awaitReady waits until the gateway can serve, within the times above.
func (g *Gateway) awaitReady(ctx context.Context) {
	begun := time.Now()
	lastCheck := begun
	for !g.CanServe() && g.clients.shutdownAt.Load() == 0 {
		now := time.Now()
		if now.Sub(begun) >= readyWaitAlone && now.Sub(lastCheck) >= predecessorCheckInterval {
			lastCheck = now
			if now.Sub(begun) >= readyWaitWithPredecessor || !g.hasPredecessor() {
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

// hasPredecessor reports whether another process of this gateway is still running.
func (g *Gateway) hasPredecessor() bool {
	return g.options.Orders != nil && g.options.Orders.HasPredecessor()
}
