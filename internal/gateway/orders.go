package gateway

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"archknot/internal/adminapi"
	"archknot/internal/controlstats"
	"archknot/internal/endpoint"
	"archknot/internal/httpwire"
	"archknot/internal/maintenance"
)

// What operators order: Gateway is an operator.Gateway.

// CanServe tells whether this process can serve clients.
func (g *Gateway) CanServe() bool {
	select {
	case <-g.listening:
		return g.ready.Load() && g.clients.shutdownAt.Load() == 0
	default:
		return false
	}
}

// Eject has a replica get nothing new from now on, whatever the list says of it, until Reinstate.
func (g *Gateway) Eject(ctx context.Context, id string) error {
	if g.isKnownReplica(ctx, id) {
		return g.options.Orders.SetEjected(ctx, id, true)
	}
	if g.discoveryAnswered.Load() || !g.pendingEjections.add(id) {
		return adminapi.ErrUnknownReplica
	}
	g.onOrdersChanged()
	if g.discoveryAnswered.Load() { // discovery has answered just now, and may have passed it by
		g.confirmEjections()
	}
	return adminapi.ErrDiscoveryPending
}

// confirmEjections has the orders that came before discovery had answered in force for good, or forgets them where
// no such replica is listed.
func (g *Gateway) confirmEjections() {
	for _, id := range g.pendingEjections.all() {
		if g.recentReplicas.has(id) {
			ctx, stop := context.WithTimeout(context.Background(), time.Second)
			_ = g.options.Orders.SetEjected(ctx, id, true) // a failure to save is told where it is noted
			stop()
		}
		g.pendingEjections.remove(id)
	}
	g.onOrdersChanged()
}

// ejectedReplicas are the replicas that are to get nothing by operators' orders.
func (g *Gateway) ejectedReplicas() map[string]struct{} {
	ordered, unproven := g.options.Orders.AllEjected(), g.pendingEjections.all()
	if len(unproven) == 0 {
		return ordered
	}
	out := maps.Clone(ordered)
	for _, id := range unproven {
		out[id] = struct{}{}
	}
	return out
}

// maxPendingEjections bounds the orders that wait for discovery's first answer.
const maxPendingEjections = 64

// pendingEjections are replicas that operators took out before discovery had answered: whether there are such
// replicas is not known yet.
type pendingEjections struct {
	mu  sync.Mutex
	ids map[string]struct{}
}

// add tells whether there was room for it.
func (u *pendingEjections) add(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ids == nil {
		u.ids = map[string]struct{}{}
	}
	if len(u.ids) >= maxPendingEjections {
		return false
	}
	u.ids[id] = struct{}{}
	return true
}

func (u *pendingEjections) remove(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.ids, id)
}

func (u *pendingEjections) has(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	_, ok := u.ids[id]
	return ok
}

func (u *pendingEjections) all() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Collect(maps.Keys(u.ids))
}

// Reinstate ends that. It holds in this process in any case: one call is enough.
func (g *Gateway) Reinstate(ctx context.Context, id string) error {
	g.pendingEjections.remove(id)
	if !g.isKnownReplica(ctx, id) {
		return adminapi.ErrUnknownReplica
	}
	return ignoreNotSaved(g.options.Orders.SetEjected(ctx, id, false))
}

// DrainClients sends clients away, and runs on.
func (g *Gateway) DrainClients(ctx context.Context) error {
	if g.clients.shutdownAt.Load() > 0 {
		return adminapi.ErrShuttingDown
	}
	return ignoreNotSaved(g.options.Orders.SetDrained(ctx, true))
}

// Resume takes clients again.
func (g *Gateway) Resume(ctx context.Context) error {
	if g.clients.shutdownAt.Load() > 0 {
		return adminapi.ErrShuttingDown
	}
	return ignoreNotSaved(g.options.Orders.SetDrained(ctx, false))
}

// ignoreNotSaved passes over that an order could not be saved, where nothing worse comes of it than that the
// next life of the process errs on the careful side.
func ignoreNotSaved(err error) error {
	if errors.Is(err, maintenance.ErrNotSaved) {
		return nil
	}
	return err
}

// onOrdersChanged puts what operators ordered in force. Any task may call it.
func (g *Gateway) onOrdersChanged() {
	drained := g.options.Orders.Drained()
	if g.clients.setDrained(drained) {
		slog.Info("client_drain", "drained", drained, "client_conns", g.clients.connCount(), "requests", g.clients.inFlightCount())
	}
	select {
	case g.orderUpdates <- struct{}{}:
	default: // the news that waits will do
	}
}

// followOrders has the decision module hear of the replicas that are out, and sends clients away
// while the gateway is drained.
func (g *Gateway) followOrders(ctx context.Context) {
	if g.options.Orders == nil {
		return
	}
	away := time.NewTicker(drainCheckInterval)
	defer away.Stop()
	for {
		select {
		case <-g.orderUpdates:
			g.loop.post(ctx, ejectionsChanged{g.ejectedReplicas()})
			if away.Stop(); g.clients.drainedAt.Load() > 0 {
				away.Reset(drainCheckInterval)
			}
		case <-away.C:
			if g.clients.drainedAt.Load() > 0 {
				g.clients.closeForDrain()
			}
		case <-ctx.Done():
			return
		}
	}
}

// acceptsWork tells whether a replica may get new work as of now, for an attempt that is about to be written.
func (g *Gateway) acceptsWork(w *endpoint.Replica) bool {
	id := w.Endpoint.ID
	return w.Accepting() && (g.options.Orders == nil || !g.options.Orders.Ejected(id) && !g.pendingEjections.has(id))
}

// ejectionsChanged says which replicas operators have out.
type ejectionsChanged struct{ ejected map[string]struct{} }

func (e ejectionsChanged) apply(l *eventLoop) {
	for id := range l.ejected {
		if _, still := e.ejected[id]; still {
			continue
		}
		// Who was taken out was restarted, as a rule. Where the list has not told of a start, it may be
		// late, and a cold replica falls under what a warm one bears.
		if at, seen := l.ejectedStart[id]; seen && l.listed[id].StartedAtMs == at {
			l.endpoints.AssumeStarted(id, l.now)
		}
		delete(l.ejectedStart, id)
	}
	l.setWithheld(l.drainMarks, e.ejected)
	l.recordEjectedStarts()
	l.updateReady()
}

// recordEjectedStarts remembers when replicas that are out had started.
func (l *eventLoop) recordEjectedStarts() {
	for id := range l.ejected {
		if _, seen := l.ejectedStart[id]; seen {
			continue
		}
		if i, listed := l.listed[id]; listed {
			l.ejectedStart[id] = i.StartedAtMs
		}
	}
}

// allEjected tells whether there are replicas that take work, and operators have all of them out: the
// process can serve all the same.
func (l *eventLoop) allEjected() bool {
	for id := range l.ejected {
		if i, listed := l.listed[id]; listed && i.Lifecycle == "ready" {
			return true
		}
	}
	return false
}

// recordListed remembers the ids of a list, for operators.
func (l *eventLoop) recordListed(in httpwire.EndpointList) {
	if l.gateway.options.Orders == nil {
		return
	}
	for i := range in.Endpoints {
		l.gateway.recentReplicas.add(in.Endpoints[i].ID)
	}
	if len(l.ejectedStart) < len(l.ejected) {
		l.recordEjectedStarts()
	}
}

// maxReplicaIDHistory bounds the ids that are remembered of lists: those noted first are forgotten.
const maxReplicaIDHistory = 16384

// replicaIDHistory are the replicas that were ever listed to this process.
type replicaIDHistory struct {
	mu    sync.Mutex
	known map[string]struct{}
	order []string // a ring, once it is full
	next  int
}

func (l *replicaIDHistory) add(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.known[id]; known {
		return
	}
	if l.known == nil {
		l.known = map[string]struct{}{}
	}
	l.known[id] = struct{}{}
	if len(l.order) < maxReplicaIDHistory {
		l.order = append(l.order, id)
		return
	}
	delete(l.known, l.order[l.next])
	l.order[l.next] = id
	l.next = (l.next + 1) % maxReplicaIDHistory
}

func (l *replicaIDHistory) has(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, known := l.known[id]
	return known
}

// discoveryCheckInterval is how often it is looked whether discovery has answered, for a call that needs it.
const discoveryCheckInterval = 20 * time.Millisecond

// isKnownReplica tells whether a replica was ever listed, or ordered about. Before discovery has answered it
// waits for that as long as the call may take.
func (g *Gateway) isKnownReplica(ctx context.Context, id string) bool {
	for {
		if g.recentReplicas.has(id) || g.options.Orders.HasOrder(id) {
			return true
		}
		if g.discoveryAnswered.Load() {
			return g.recentReplicas.has(id) // its list may have come in between
		}
		select {
		case <-time.After(discoveryCheckInterval):
		case <-ctx.Done():
			return false
		}
	}
}

// AdminCalls are the counts of the operators' calls.
func (g *Gateway) AdminCalls() *adminapi.CallCounts { return &g.adminCalls }

// addOrderStats enters what operators ordered, and how often they called.
func (g *Gateway) addOrderStats(c *controlstats.Stats) {
	if g.options.Orders == nil {
		return
	}
	c.EjectedReplicas, c.Drained, c.OrdersNotSaved = len(g.options.Orders.AllEjected()), g.options.Orders.Drained(), g.options.Orders.LastError() != nil
	g.adminCalls.Each(func(call string, yes bool, n int64) {
		c.OperatorCalls = append(c.OperatorCalls, controlstats.OperatorCallCount{Call: call, Accepted: yes, Count: n})
	})
}
