package metrics

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"

	"archknot/internal/controlstats"
)

// controlCollector collects a gateway's account of its control work.
type controlCollector struct{ source Source }

func controlDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("archknot_control_"+name, help, labels, nil)
}

var (
	replicasDesc      = controlDesc("replicas", "Replicas: listed by discovery, ready, in the gateway's subset, and homes of requests beside it.", "set")
	subsetChangesDesc = controlDesc("subset_moved_total", "Replicas that have come into the gateway's subset, and out of it.", "way")
	rejectedListsDesc = controlDesc("refused_lists_total", "Lists of discovery's that were not taken.")
	oddEntriesDesc    = controlDesc("odd_entries_total", "Entries of discovery's lists that could not be taken as they stood.")
	unknownKeysDesc   = controlDesc("config_unknown_keys", "Keys of the platform's configuration in force that the program does not serve.")
	closedDesc        = controlDesc("client_closed_total", "Clients' connections that were closed, by reason.", "reason")
	ejectedDesc       = controlDesc("replicas_out", "Replicas that operators have taken out.")
	drainedDesc       = controlDesc("drained", "1 while operators have the gateway drained.")
	unsavedOrdersDesc = controlDesc("orders_not_saved", "1 while what operators ordered cannot be read or saved.")
	operatorDesc      = controlDesc("operator_calls_total", "Operators' calls, by call and answer.", "call", "answer")
	versionDesc       = controlDesc("list_version", "The version of the list in force.")
	connectionsDesc   = controlDesc("connections", "Connections to replicas that are open.")
	busyDesc          = controlDesc("decide_seconds_total", "Time that the task that decides was busy.")
	attemptsDesc      = controlDesc("attempts_total", "Attempts, by whether there was a report of the replica's load.", "report")
	reportAgeDesc     = controlDesc("report_age_seconds_total", "Ages of the reports that attempts went by, summed up.")
	callsDesc         = controlDesc("calls_total", "Calls over connections, by purpose.", "purpose")
	openedDesc        = controlDesc("opened_total", "Connections that were opened, by purpose.", "purpose")
	bytesDesc         = controlDesc("bytes_total", "Bytes over connections, by purpose and way.", "purpose", "way")
)

func (c *controlCollector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{replicasDesc, subsetChangesDesc, rejectedListsDesc, oddEntriesDesc, unknownKeysDesc, closedDesc, ejectedDesc, drainedDesc, unsavedOrdersDesc, operatorDesc, versionDesc, connectionsDesc, busyDesc, attemptsDesc,
		reportAgeDesc, callsDesc, openedDesc, bytesDesc} {
		ch <- d
	}
}

func (c *controlCollector) Collect(ch chan<- prometheus.Metric) {
	ctx, stop := context.WithTimeout(context.Background(), scrapeTimeout)
	defer stop()
	of, err := c.source.Control(ctx)
	if err != nil {
		ch <- prometheus.NewInvalidMetric(replicasDesc, err)
		return
	}
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	count := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, v, labels...)
	}
	gauge(replicasDesc, float64(of.Listed), "listed")
	gauge(replicasDesc, float64(of.Ready), "ready")
	gauge(replicasDesc, float64(of.Subset), "subset")
	gauge(replicasDesc, float64(of.OutsideTargets), "home")
	count(subsetChangesDesc, float64(of.Joined), "in")
	count(subsetChangesDesc, float64(of.Left), "out")
	count(rejectedListsDesc, float64(of.RejectedLists))
	count(oddEntriesDesc, float64(of.MalformedEntries))
	gauge(unknownKeysDesc, float64(of.UnknownKeys))
	for reason, n := range of.ClosedConnections {
		count(closedDesc, float64(n), reason)
	}
	gauge(ejectedDesc, float64(of.EjectedReplicas))
	gauge(drainedDesc, boolValue(of.Drained))
	gauge(unsavedOrdersDesc, boolValue(of.OrdersNotSaved))
	for _, c := range of.OperatorCalls {
		word := "no"
		if c.Accepted {
			word = "yes"
		}
		count(operatorDesc, float64(c.Count), c.Call, word)
	}
	gauge(versionDesc, float64(of.ListVersion))
	gauge(connectionsDesc, float64(of.Connections))
	count(busyDesc, of.LoopBusy.Seconds())
	count(attemptsDesc, float64(of.Reports.WithReport), "known")
	count(attemptsDesc, float64(of.Reports.WithoutReport), "none")
	count(reportAgeDesc, of.Reports.Sum.Seconds())
	for p := range controlstats.PurposeCount {
		t, word := of.Traffic[p], controlstats.Purpose(p).String()
		count(callsDesc, float64(t.Calls), word)
		count(openedDesc, float64(t.ConnectionsOpened), word)
		count(bytesDesc, float64(t.BytesIn), word, "in")
		count(bytesDesc, float64(t.BytesOut), word, "out")
	}
}

func boolValue(on bool) float64 {
	if on {
		return 1
	}
	return 0
}
