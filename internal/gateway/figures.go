package gateway

import (
	"context"
	"time"

	"archknot/choice"
	"archknot/internal/figures"
)

// noteReport counts the age of the report that an attempt at a replica goes by.
func (l *loop) noteReport(to choice.ReplicaID) {
	age, known := l.b.ReportAge(l.now, to)
	if !known {
		l.reports.WithoutReport++
		return
	}
	l.reports.WithReport++
	l.reports.Sum += time.Duration(age) * time.Microsecond
}

// account asks the loop for its figures.
type account struct{ out chan figures.Stats }

func (e account) apply(l *loop) {
	of := l.view.Stats()
	if l.g.o.Subset.MaxReplicas <= 0 { // there is no bound
		of.Subset = l.registry.ReadyCount()
	}
	c := figures.Stats{Listed: l.registry.Len(), Ready: l.registry.ReadyCount(), Subset: of.Subset, OutsideTargets: of.OutsideTargets, Joined: of.Joined, Left: of.Left,
		ListVersion: l.registry.Version(), ListSince: l.inForce, LoopBusy: l.busy, Reports: l.reports}
	e.out <- c // it has room
}

// Control tells the gateway's account of its control work.
func (g *Gateway) Control(ctx context.Context) (figures.Stats, error) {
	ask := account{make(chan figures.Stats, 1)}
	g.loop.post(ctx, ask)
	select {
	case c := <-ask.out:
		c.RejectedLists, c.MalformedEntries, c.Connections = g.refusedLists.Load(), g.oddEntries.Load(), g.pool.OpenCount()
		g.accountOrders(&c)
		c.UnknownKeys, c.ClosedConnections = g.unknownKeys.Load(), g.clients.closedBy()
		for i := range g.meters {
			c.Traffic[i] = g.meters[i].Snapshot()
		}
		return c, nil
	case <-ctx.Done():
		return figures.Stats{}, ctx.Err()
	}
}

// SetUnknownKeys notes how many keys of the configuration in force the program does not serve.
func (g *Gateway) SetUnknownKeys(n int) { g.unknownKeys.Store(int64(n)) }
