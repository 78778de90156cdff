package gateway

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"archknot/internal/adminapi"
	"archknot/internal/controlstats"
	"archknot/internal/inflight"
	"archknot/internal/maintenance"
)

// Operators' maintenance orders: Gateway implements adminapi.Gateway.

// discoveryCheckInterval is how often a call that needs discovery's first answer checks for
// that answer.
const discoveryCheckInterval = 20 * time.Millisecond

// saveEjectionTimeout bounds the saving of an ejection that waited for discovery.
const saveEjectionTimeout = time.Second

// Eject excludes a replica from new work until Reinstate, whatever its state in discovery's
// list. The error is adminapi.ErrUnknownReplica if the replica was never listed, or if too many
// ejections are pending. It is adminapi.ErrDiscoveryPending if discovery has not answered yet:
// then the ejection is in force, and is saved or dropped at discovery's first answer. Any
// goroutine may call it.
func (g *Gateway) Eject(ctx context.Context, id string) error {
	if g.isKnownReplica(ctx, id) {
		return g.options.Orders.SetEjected(ctx, id, true)
	}
	if g.discoveryAnswered.Load() || !g.pendingEjections.add(id) {
		return adminapi.ErrUnknownReplica
	}
	g.onOrdersChanged()
	if g.discoveryAnswered.Load() { // answered meanwhile: confirmEjections may have missed this ejection
		g.confirmEjections(ctx)
	}
	return adminapi.ErrDiscoveryPending
}

// Reinstate ends an ejection. It takes effect in this process even if it cannot be saved. The
// error is adminapi.ErrUnknownReplica if the replica was never listed. Any goroutine may call
// it.
func (g *Gateway) Reinstate(ctx context.Context, id string) error {
	g.pendingEjections.remove(id)
	if !g.isKnownReplica(ctx, id) {
		return adminapi.ErrUnknownReplica
	}
	return ignoreNotSaved(g.options.Orders.SetEjected(ctx, id, false))
}

// DrainClients stops serving clients; the process keeps running. The error is
// adminapi.ErrShuttingDown after SIGTERM. Any goroutine may call it.
func (g *Gateway) DrainClients(ctx context.Context) error {
	if g.clients.shutdownAt.Load() > 0 {
		return adminapi.ErrShuttingDown
	}
	return ignoreNotSaved(g.options.Orders.SetDrained(ctx, true))
}

// Resume ends DrainClients. The error is adminapi.ErrShuttingDown after SIGTERM. Any goroutine
// may call it.
func (g *Gateway) Resume(ctx context.Context) error {
	if g.clients.shutdownAt.Load() > 0 {
		return adminapi.ErrShuttingDown
	}
	return ignoreNotSaved(g.options.Orders.SetDrained(ctx, false))
}

// ignoreNotSaved returns nil for an order that is in force but not saved yet: saving is retried
// in the background. If the process ends before that, the next one has the previous orders. A
// lost reinstatement or resume then only makes it more cautious than ordered.
func ignoreNotSaved(err error) error {
	if errors.Is(err, maintenance.ErrNotSaved) {
		return nil
	}
	return err
}

// AdminCalls returns the counters of the operators' calls.
func (g *Gateway) AdminCalls() *adminapi.CallCounts { return &g.adminCalls }

// addOrderStats adds the operators' orders in force and the counts of their calls.
func (g *Gateway) addOrderStats(stats *controlstats.Stats) {
	orders := g.options.Orders
	if orders == nil {
		return
	}
	stats.EjectedReplicas = len(orders.AllEjected())
	stats.Drained = orders.Drained()
	stats.OrdersNotSaved = orders.LastError() != nil
	g.adminCalls.Each(func(call string, accepted bool, count int64) {
		stats.OperatorCalls = append(stats.OperatorCalls, controlstats.OperatorCallCount{Call: call, Accepted: accepted, Count: count})
	})
}

// isKnownReplica reports whether a replica was ever listed, to this process or an earlier one, or has an order. If discovery has
// not answered yet, it waits for the first answer until the context ends.
func (g *Gateway) isKnownReplica(ctx context.Context, id string) bool {
	for {
		if g.options.Orders.WasListed(id) || g.options.Orders.HasOrder(id) {
			return true
		}
		if g.discoveryAnswered.Load() {
			return g.options.Orders.WasListed(id) // the list may have arrived after the check above
		}
		select {
		case <-time.After(discoveryCheckInterval):
		case <-ctx.Done():
			return false
		}
	}
}

// confirmEjections saves the ejections from before discovery's first answer, and drops those
// of replicas that are not listed. It completes even if the context ends.
func (g *Gateway) confirmEjections(ctx context.Context) {
	for _, id := range g.pendingEjections.all() {
		if g.options.Orders.WasListed(id) {
			ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), saveEjectionTimeout)
			_ = g.options.Orders.SetEjected(ctx, id, true) // the store logs a failure
			stop()
		}
		g.pendingEjections.remove(id)
	}
	g.onOrdersChanged()
}

// ejectedReplicas returns the replicas that operators ejected, saved or pending.
func (g *Gateway) ejectedReplicas() map[string]struct{} {
	return g.pendingEjections.addTo(g.options.Orders.AllEjected())
}

// onOrdersChanged puts the operators' orders in force. Any goroutine may call it.
func (g *Gateway) onOrdersChanged() {
	drained := g.options.Orders.Drained()
	if g.clients.setDrained(drained) {
		slog.Info("client_drain", "drained", drained, "client_conns", g.clients.connCount(), "requests", g.clients.inFlightCount())
	}
	select {
	case g.orderUpdates <- struct{}{}:
	default: // the pending update covers this one
	}
}

// followOrders posts changed ejections to the event loop, and closes client connections while
// the gateway is drained, until the context ends.
func (g *Gateway) followOrders(ctx context.Context) {
	if g.options.Orders == nil {
		return
	}
	drainCheck := time.NewTicker(drainCheckInterval)
	defer drainCheck.Stop()
	for {
		select {
		case <-g.orderUpdates:
			g.loop.post(ctx, ejectionsChanged{g.ejectedReplicas()})
			drainCheck.Stop()
			if g.clients.drainedAt.Load() > 0 {
				drainCheck.Reset(drainCheckInterval)
			}
		case <-drainCheck.C:
			if g.clients.drainedAt.Load() > 0 {
				g.clients.closeForDrain()
			}
		case <-ctx.Done():
			return
		}
	}
}

// acceptsWork reports whether the replica of an attempt may get new work now. It is called right
// before the attempt is sent; any goroutine may call it.
func (g *Gateway) acceptsWork(attempt *inflight.Attempt) bool {
	listValidUntil := max(g.listValidUntil.Load(), attempt.EntryValidUntil)
	if g.clock.now() >= listValidUntil || !attempt.Replica.Accepting() {
		return false
	}
	id := attempt.Replica.Endpoint.ID
	return g.options.Orders == nil || !g.options.Orders.Ejected(id) && !g.pendingEjections.has(id)
}

// ejectionsChanged is posted when operators have ejected or reinstated replicas.
type ejectionsChanged struct{ ejected map[string]struct{} }

func (e ejectionsChanged) apply(l *eventLoop) {
	l.endpoints.assumeReinstatedRestarted(e.ejected, l.now)
	l.setExclusions(l.endpoints.drainMarks, e.ejected)
	l.endpoints.recordEjectedStarts()
	l.updateReady()
}
