package gateway

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"archknot/internal/figures"
	"archknot/internal/maintenance"
	"archknot/internal/memory"
	"archknot/internal/operator"
	"archknot/internal/wire/socket"
)

// What operators order: Gateway is an operator.Gateway.

// CanServe tells whether this process can serve clients.
func (g *Gateway) CanServe() bool {
	select {
	case <-g.serving:
		return g.ready.Load() && g.clients.stoppingAt.Load() == 0
	default:
		return false
	}
}

// TakeOut has a replica get nothing new from now on, whatever the list says of it, until PutBack.
func (g *Gateway) TakeOut(ctx context.Context, id string) error {
	if g.wasListed(ctx, id) {
		return g.o.Orders.SetOut(ctx, id, true)
	}
	if g.heard.Load() || !g.unproven.add(id) {
		return operator.ErrUnknownReplica
	}
	g.ordersChanged()
	if g.heard.Load() { // discovery has answered just now, and may have passed it by
		g.prove()
	}
	return operator.ErrNotHeard
}

// prove has the orders that came before discovery had answered in force for good, or forgets them where
// no such replica is listed.
func (g *Gateway) prove() {
	for _, id := range g.unproven.all() {
		if g.listed.has(id) {
			ctx, stop := context.WithTimeout(context.Background(), time.Second)
			_ = g.o.Orders.SetOut(ctx, id, true) // a failure to save is told where it is noted
			stop()
		}
		g.unproven.remove(id)
	}
	g.ordersChanged()
}

// allOut are the replicas that are to get nothing by operators' orders.
func (g *Gateway) allOut() map[string]struct{} {
	ordered, unproven := g.o.Orders.AllOut(), g.unproven.all()
	if len(unproven) == 0 {
		return ordered
	}
	out := maps.Clone(ordered)
	for _, id := range unproven {
		out[id] = struct{}{}
	}
	return out
}

// mostUnproven bounds the orders that wait for discovery's first answer.
const mostUnproven = 64

// unproven are replicas that operators took out before discovery had answered: whether there are such
// replicas is not known yet.
type unproven struct {
	mu  sync.Mutex
	ids map[string]struct{}
}

// add tells whether there was room for it.
func (u *unproven) add(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ids == nil {
		u.ids = map[string]struct{}{}
	}
	if len(u.ids) >= mostUnproven {
		return false
	}
	u.ids[id] = struct{}{}
	return true
}

func (u *unproven) remove(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.ids, id)
}

func (u *unproven) has(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	_, ok := u.ids[id]
	return ok
}

func (u *unproven) all() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Collect(maps.Keys(u.ids))
}

// PutBack ends that. It holds in this process in any case: one call is enough.
func (g *Gateway) PutBack(ctx context.Context, id string) error {
	g.unproven.remove(id)
	if !g.wasListed(ctx, id) {
		return operator.ErrUnknownReplica
	}
	return inForce(g.o.Orders.SetOut(ctx, id, false))
}

// DrainClients sends clients away, and runs on.
func (g *Gateway) DrainClients(ctx context.Context) error {
	if g.clients.stoppingAt.Load() > 0 {
		return operator.ErrStopping
	}
	return inForce(g.o.Orders.SetDrained(ctx, true))
}

// Resume takes clients again.
func (g *Gateway) Resume(ctx context.Context) error {
	if g.clients.stoppingAt.Load() > 0 {
		return operator.ErrStopping
	}
	return inForce(g.o.Orders.SetDrained(ctx, false))
}

// inForce passes over that an order could not be saved, where nothing worse comes of it than that the
// next life of the process errs on the careful side.
func inForce(err error) error {
	if errors.Is(err, maintenance.ErrNotSaved) {
		return nil
	}
	return err
}

// ordersChanged puts what operators ordered in force. Any task may call it.
func (g *Gateway) ordersChanged() {
	drained := g.o.Orders.Drained()
	if g.clients.setDrained(drained) {
		slog.Info("client_drain", "drained", drained, "client_conns", g.clients.count(), "requests", g.clients.held())
	}
	select {
	case g.ordersNews <- struct{}{}:
	default: // the news that waits will do
	}
}

// followOrders has the decision module hear of the replicas that are out, and sends clients away
// while the gateway is drained.
func (g *Gateway) followOrders(ctx context.Context) {
	if g.o.Orders == nil {
		return
	}
	away := time.NewTicker(awayEach)
	defer away.Stop()
	for {
		select {
		case <-g.ordersNews:
			g.loop.post(ctx, outChanged{g.allOut()})
			if away.Stop(); g.clients.drainedAt.Load() > 0 {
				away.Reset(awayEach)
			}
		case <-away.C:
			if g.clients.drainedAt.Load() > 0 {
				g.clients.sendAway()
			}
		case <-ctx.Done():
			return
		}
	}
}

// admits tells whether a replica may get new work as of now, for an attempt that is about to be written.
func (g *Gateway) admits(w *memory.Replica) bool {
	id := w.Instance.ID
	return w.Accepting() && (g.o.Orders == nil || !g.o.Orders.Out(id) && !g.unproven.has(id))
}

// outChanged says which replicas operators have out.
type outChanged struct{ out map[string]struct{} }

func (e outChanged) apply(l *loop) {
	for id := range l.out {
		if _, still := e.out[id]; still {
			continue
		}
		// Who was taken out was restarted, as a rule. Where the list has not told of a start, it may be
		// late, and a cold replica falls under what a warm one bears.
		if at, seen := l.outStart[id]; seen && l.truth[id].StartedAtMs == at {
			l.registry.AssumeStarted(id, l.now)
		}
		delete(l.outStart, id)
	}
	l.withhold(l.marks, e.out)
	l.noteStarts()
	l.setReady()
}

// noteStarts remembers when replicas that are out had started.
func (l *loop) noteStarts() {
	for id := range l.out {
		if _, seen := l.outStart[id]; seen {
			continue
		}
		if i, listed := l.truth[id]; listed {
			l.outStart[id] = i.StartedAtMs
		}
	}
}

// onlyOut tells whether there are replicas that take work, and operators have all of them out: the
// process can serve all the same.
func (l *loop) onlyOut() bool {
	for id := range l.out {
		if i, listed := l.truth[id]; listed && i.Lifecycle == "ready" {
			return true
		}
	}
	return false
}

// noteListed remembers the ids of a list, for operators.
func (l *loop) noteListed(in socket.List) {
	if l.g.o.Orders == nil {
		return
	}
	for i := range in.Instances {
		l.g.listed.add(in.Instances[i].ID)
	}
	if len(l.outStart) < len(l.out) {
		l.noteStarts()
	}
}

// mostListed bounds the ids that are remembered of lists: those noted first are forgotten.
const mostListed = 16384

// listedIDs are the replicas that were ever listed to this process.
type listedIDs struct {
	mu    sync.Mutex
	known map[string]struct{}
	order []string // a ring, once it is full
	next  int
}

func (l *listedIDs) add(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.known[id]; known {
		return
	}
	if l.known == nil {
		l.known = map[string]struct{}{}
	}
	l.known[id] = struct{}{}
	if len(l.order) < mostListed {
		l.order = append(l.order, id)
		return
	}
	delete(l.known, l.order[l.next])
	l.order[l.next] = id
	l.next = (l.next + 1) % mostListed
}

func (l *listedIDs) has(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, known := l.known[id]
	return known
}

// heardEach is how often it is looked whether discovery has answered, for a call that needs it.
const heardEach = 20 * time.Millisecond

// wasListed tells whether a replica was ever listed, or ordered about. Before discovery has answered it
// waits for that as long as the call may take.
func (g *Gateway) wasListed(ctx context.Context, id string) bool {
	for {
		if g.listed.has(id) || g.o.Orders.Known(id) {
			return true
		}
		if g.heard.Load() {
			return g.listed.has(id) // its list may have come in between
		}
		select {
		case <-time.After(heardEach):
		case <-ctx.Done():
			return false
		}
	}
}

// OperatorCalls are the counts of the operators' calls.
func (g *Gateway) OperatorCalls() *operator.Counts { return &g.calls }

// accountOrders enters what operators ordered, and how often they called.
func (g *Gateway) accountOrders(c *figures.Stats) {
	if g.o.Orders == nil {
		return
	}
	c.EjectedReplicas, c.Drained, c.OrdersNotSaved = len(g.o.Orders.AllOut()), g.o.Orders.Drained(), g.o.Orders.Failed() != nil
	g.calls.Each(func(call string, yes bool, n int64) {
		c.OperatorCalls = append(c.OperatorCalls, figures.OperatorCallCount{Call: call, Accepted: yes, Count: n})
	})
}
