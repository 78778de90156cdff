package gateway

import (
	"context"
	"time"

	"archknot/balancer"
	"archknot/internal/controlstats"
)

// recordReportAge counts the age of the report that an attempt at a replica goes by.
func (l *eventLoop) recordReportAge(to balancer.ReplicaID) {
	age, known := l.balancer.ReportAge(l.now, to)
	if !known {
		l.reports.WithoutReport++
		return
	}
	l.reports.WithReport++
	l.reports.Sum += time.Duration(age) * time.Microsecond
}

// controlQuery asks the loop for its figures.
type controlQuery struct{ result chan controlstats.Stats }

func (e controlQuery) apply(l *eventLoop) {
	of := l.view.Stats()
	if l.gateway.options.Subset.MaxReplicas <= 0 { // there is no bound
		of.Subset = l.endpoints.ReadyCount()
	}
	c := controlstats.Stats{Listed: l.endpoints.Len(), Ready: l.endpoints.ReadyCount(), Subset: of.Subset, OutsideTargets: of.OutsideTargets, Joined: of.Joined, Left: of.Left,
		ListVersion: l.endpoints.Version(), ListSince: l.listReceivedAt, LoopBusy: l.busy, Reports: l.reports}
	e.result <- c // it has room
}

// Control tells the gateway's account of its control work.
func (g *Gateway) Control(ctx context.Context) (controlstats.Stats, error) {
	ask := controlQuery{make(chan controlstats.Stats, 1)}
	g.loop.post(ctx, ask)
	select {
	case c := <-ask.result:
		c.RejectedLists, c.MalformedEntries, c.Connections = g.rejectedLists.Load(), g.invalidEntries.Load(), g.pool.OpenCount()
		g.addOrderStats(&c)
		c.UnknownKeys, c.ClosedConnections = g.unknownKeys.Load(), g.clients.closedByReason()
		for i := range g.meters {
			c.Traffic[i] = g.meters[i].Snapshot()
		}
		return c, nil
	case <-ctx.Done():
		return controlstats.Stats{}, ctx.Err()
	}
}

// SetUnknownKeys notes how many keys of the configuration in force the program does not serve.
func (g *Gateway) SetUnknownKeys(n int) { g.unknownKeys.Store(int64(n)) }
