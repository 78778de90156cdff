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
		l.reports.Unknown++
		return
	}
	l.reports.Known++
	l.reports.Sum += time.Duration(age) * time.Microsecond
}

// account asks the loop for its figures.
type account struct{ out chan figures.Control }

func (e account) apply(l *loop) {
	of := l.view.Stats()
	if l.g.o.Subset.Most <= 0 { // there is no bound
		of.Subset = l.registry.Ready()
	}
	c := figures.Control{Listed: l.registry.Len(), Ready: l.registry.Ready(), Subset: of.Subset, Guests: of.Guests, Joined: of.Joined, Left: of.Left,
		Version: l.registry.Version(), InForce: l.inForce, Busy: l.busy, Reports: l.reports}
	e.out <- c // it has room
}

// Control tells the gateway's account of its control work.
func (g *Gateway) Control(ctx context.Context) (figures.Control, error) {
	ask := account{make(chan figures.Control, 1)}
	g.loop.post(ctx, ask)
	select {
	case c := <-ask.out:
		c.RefusedLists, c.OddEntries, c.Connections = g.refusedLists.Load(), g.oddEntries.Load(), g.pool.Open()
		g.accountOrders(&c)
		c.UnknownKeys, c.Closed = g.unknownKeys.Load(), g.clients.closedBy()
		for i := range g.meters {
			c.Traffic[i] = g.meters[i].Read()
		}
		return c, nil
	case <-ctx.Done():
		return figures.Control{}, ctx.Err()
	}
}

// SetUnknownKeys notes how many keys of the configuration in force the program does not serve.
func (g *Gateway) SetUnknownKeys(n int) { g.unknownKeys.Store(int64(n)) }
