package metrics

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"

	"archknot/internal/controlstats"
)

// controlCollector collects the statistics of a gateway's control plane: discovery, health
// checks, connections and operators' calls.
type controlCollector struct{ source Source }

func controlDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("archknot_control_"+name, help, labels, nil)
}

var (
	replicasDesc         = controlDesc("replicas", "Replicas: listed by discovery, ready, in the gateway's subset, and homes of requests beside it.", "set")
	subsetChangesDesc    = controlDesc("subset_moved_total", "Replicas that have come into the gateway's subset, and out of it.", "way")
	rejectedListsDesc    = controlDesc("refused_lists_total", "Lists of discovery's that were not taken.")
	malformedEntriesDesc = controlDesc("odd_entries_total", "Entries of discovery's lists that could not be taken as they stood.")
	unknownKeysDesc      = controlDesc("config_unknown_keys", "Keys of the platform's configuration in force that the program does not serve.")
	closedClientsDesc    = controlDesc("client_closed_total", "Clients' connections that were closed, by reason.", "reason")
	ejectedDesc          = controlDesc("replicas_out", "Replicas that operators have taken out.")
	drainedDesc          = controlDesc("drained", "1 while operators have the gateway drained.")
	unsavedOrdersDesc    = controlDesc("orders_not_saved", "1 while what operators ordered cannot be read or saved.")
	operatorCallsDesc    = controlDesc("operator_calls_total", "Operators' calls, by call and answer.", "call", "answer")
	listVersionDesc      = controlDesc("list_version", "The version of the list in force.")
	listAgeDesc          = controlDesc("list_age_seconds", "Time since discovery's last word on the list in force.")
	listStaleDesc        = controlDesc("list_stale", "1 while the list in force is too old to be trusted.")
	pollsDesc            = controlDesc("polls_total", "Polls of discovery that have ended, by outcome.", "outcome")
	connectionsDesc      = controlDesc("connections", "Connections to replicas that are open.")
	loopBusyDesc         = controlDesc("decide_seconds_total", "Time that the task that decides was busy.")
	attemptsDesc         = controlDesc("attempts_total", "Attempts, by whether there was a report of the replica's load.", "report")
	reportAgeDesc        = controlDesc("report_age_seconds_total", "Ages of the reports that attempts went by, summed up.")
	callsDesc            = controlDesc("calls_total", "Calls over connections, by purpose.", "purpose")
	openedDesc           = controlDesc("opened_total", "Connections that were opened, by purpose.", "purpose")
	bytesDesc            = controlDesc("bytes_total", "Bytes over connections, by purpose and way.", "purpose", "way")
)

// Describe sends the descriptions of all control plane metrics.
func (c *controlCollector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{replicasDesc, subsetChangesDesc, rejectedListsDesc, malformedEntriesDesc, unknownKeysDesc, closedClientsDesc, ejectedDesc, drainedDesc, unsavedOrdersDesc, operatorCallsDesc, listVersionDesc, listAgeDesc, listStaleDesc, pollsDesc, connectionsDesc, loopBusyDesc, attemptsDesc,
		reportAgeDesc, callsDesc, openedDesc, bytesDesc} {
		ch <- d
	}
}

// Collect sends the statistics. If the source fails, it sends an invalid metric, so that the scrape fails.
func (c *controlCollector) Collect(ch chan<- prometheus.Metric) {
	ctx, cancel := context.WithTimeout(context.Background(), scrapeTimeout)
	defer cancel()
	stats, err := c.source.Control(ctx)
	if err != nil {
		ch <- prometheus.NewInvalidMetric(replicasDesc, err)
		return
	}
	e := emitter{ch, nil}
	emitEndpoints(e, &stats)
	emitOperators(e, &stats)
	emitTraffic(e, &stats)
}

// emitEndpoints sends the metrics of the endpoint list, discovery, the subset and client connections.
func emitEndpoints(e emitter, stats *controlstats.Stats) {
	e.gauge(replicasDesc, float64(stats.Listed), "listed")
	e.gauge(replicasDesc, float64(stats.Ready), "ready")
	e.gauge(replicasDesc, float64(stats.Subset), "subset")
	e.gauge(replicasDesc, float64(stats.OutsideTargets), "home")
	e.counter(subsetChangesDesc, float64(stats.Joined), "in")
	e.counter(subsetChangesDesc, float64(stats.Left), "out")
	e.counter(rejectedListsDesc, float64(stats.RejectedLists))
	e.counter(malformedEntriesDesc, float64(stats.MalformedEntries))
	e.gauge(unknownKeysDesc, float64(stats.UnknownKeys))
	for reason, n := range stats.ClosedConnections {
		e.counter(closedClientsDesc, float64(n), reason)
	}
	e.gauge(listVersionDesc, float64(stats.ListVersion))
	e.gauge(listAgeDesc, stats.ListAge.Seconds())
	e.gauge(listStaleDesc, boolValue(stats.ListStale))
	for outcome, n := range stats.Polls {
		e.counter(pollsDesc, float64(n), outcome)
	}
}

// emitOperators sends the metrics of maintenance orders and operators' calls.
func emitOperators(e emitter, stats *controlstats.Stats) {
	e.gauge(ejectedDesc, float64(stats.EjectedReplicas))
	e.gauge(drainedDesc, boolValue(stats.Drained))
	e.gauge(unsavedOrdersDesc, boolValue(stats.OrdersNotSaved))
	for _, c := range stats.OperatorCalls {
		answer := "no"
		if c.Accepted {
			answer = "yes"
		}
		e.counter(operatorCallsDesc, float64(c.Count), c.Call, answer)
	}
}

// emitTraffic sends the metrics of connections, the event loop and load reports.
func emitTraffic(e emitter, stats *controlstats.Stats) {
	e.gauge(connectionsDesc, float64(stats.Connections))
	e.counter(loopBusyDesc, stats.LoopBusy.Seconds())
	e.counter(attemptsDesc, float64(stats.Reports.WithReport), "known")
	e.counter(attemptsDesc, float64(stats.Reports.WithoutReport), "none")
	e.counter(reportAgeDesc, stats.Reports.Sum.Seconds())
	for p := range controlstats.PurposeCount {
		t, purpose := stats.Traffic[p], controlstats.Purpose(p).String()
		e.counter(callsDesc, float64(t.Calls), purpose)
		e.counter(openedDesc, float64(t.ConnectionsOpened), purpose)
		e.counter(bytesDesc, float64(t.BytesIn), purpose, "in")
		e.counter(bytesDesc, float64(t.BytesOut), purpose, "out")
	}
}

// boolValue returns 1 for true and 0 for false.
func boolValue(on bool) float64 {
	if on {
		return 1
	}
	return 0
}
