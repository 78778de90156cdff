package gateway

import (
	"context"
	"time"

	"archknot/internal/controlstats"
)

// controlQuery is an event that requests the loop's part of the control statistics.
type controlQuery struct{ result chan controlstats.Stats }

func (e controlQuery) apply(l *eventLoop) {
	subsetStats := l.endpoints.selector.Stats()
	if l.gateway.options.Subset.MaxReplicas <= 0 { // no bound: the subset is the fleet
		subsetStats.Subset = l.endpoints.ReadyCount()
	}
	e.result <- controlstats.Stats{ // the channel has capacity for it
		Listed:         l.endpoints.Len(),
		Ready:          l.endpoints.ReadyCount(),
		Subset:         subsetStats.Subset,
		OutsideTargets: subsetStats.OutsideTargets,
		Joined:         subsetStats.Joined,
		Left:           subsetStats.Left,
		ListVersion:    l.endpoints.Version(),
		ListReceivedAt: l.endpoints.receivedAt,
		ListAge:        time.Duration(l.balancer.ListAge(l.now)) * time.Microsecond,
		ListStale:      l.balancer.ListStale(l.now),
		LoopBusy:       l.busyTime,
		Reports:        l.reportAges,
	}
}

// Control returns statistics of the gateway's control work: endpoint list, connections and
// traffic. The error is the context's. Any goroutine may call it while Serve runs.
func (g *Gateway) Control(ctx context.Context) (controlstats.Stats, error) {
	query := controlQuery{make(chan controlstats.Stats, 1)}
	g.loop.post(ctx, query)
	select {
	case stats := <-query.result:
		stats.Polls = g.polls.byOutcome()
		stats.RejectedLists = g.rejectedLists.Load()
		stats.MalformedEntries = g.invalidEntries.Load()
		stats.Connections = g.pool.OpenCount()
		g.addOrderStats(&stats)
		stats.UnknownKeys = g.unknownKeys.Load()
		stats.ClosedConnections = g.clients.closedByReason()
		for i := range g.meters {
			stats.Traffic[i] = g.meters[i].Snapshot()
		}
		return stats, nil
	case <-ctx.Done():
		return controlstats.Stats{}, ctx.Err()
	}
}

// SetUnknownKeys sets the number of configuration keys that the program does not support, for
// the statistics. Any goroutine may call it.
func (g *Gateway) SetUnknownKeys(n int) { g.unknownKeys.Store(int64(n)) }
