package gateway

import (
	"context"
	"log/slog"
	"time"
)

// If processes share the listening socket, only the one that accepts a connection can serve it.
// A process that cannot serve yet therefore waits before it accepts.
const (
	// readyWaitAlone is the longest wait of a process without a predecessor: clients wait in
	// the kernel's accept queue meanwhile.
	readyWaitAlone = time.Second
	// readyWaitWithPredecessor is the longest wait while a predecessor still accepts.
	readyWaitWithPredecessor = 6 * time.Second
	// readyCheckInterval is how often readiness is checked.
	readyCheckInterval = 10 * time.Millisecond
	// predecessorCheckInterval is how often it is checked that the predecessor is running.
	predecessorCheckInterval = time.Second
)

// CanServe reports whether this process can serve clients: it has a listener, a replica could
// take work, and no shutdown has begun. Any goroutine may call it.
func (g *Gateway) CanServe() bool {
	select {
	case <-g.listening:
		return g.ready.Load() && g.clients.shutdownAt.Load() == 0
	default:
		return false
	}
}

// awaitReady waits until the gateway can serve, for readyWaitAlone or, while a predecessor
// runs, readyWaitWithPredecessor at most.
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
