package gateway

import (
	"log/slog"

	"archknot/balancer"
	"archknot/internal/httpwire"
)

// Logging of the endpoint list: lists, their changes, and whether the list in force is current.

// maxStateChangeLines bounds the log lines about changed replicas for each list.
const maxStateChangeLines = 32

// microsPerMilli converts balancer.Micros to milliseconds.
const microsPerMilli = 1000

// listKindNames are the values of kind in the log line of a list.
var listKindNames = map[balancer.ListKind]string{
	balancer.ListDelta:    "delta",
	balancer.ListFull:     "full",
	balancer.ListCached:   "saved",
	balancer.ListOverride: "override",
}

// logList logs a list that was applied.
func (l *eventLoop) logList(list httpwire.EndpointList, kind balancer.ListKind, args ...any) {
	stats := l.endpoints.selector.Stats()
	slog.Info("endpoint_list", append([]any{"kind", listKindNames[kind], "version", list.Generation, "entries", len(list.Endpoints),
		"ready", l.endpoints.ReadyCount(), "subset", stats.Subset, "joined", stats.Joined, "left", stats.Left}, args...)...)
}

// logStateChanges logs the replicas whose state a list is about to change. It does nothing for the first list.
func (l *eventLoop) logStateChanges(list httpwire.EndpointList) {
	if l.endpoints.Len() == 0 {
		return
	}
	changes := 0
	for i := range list.Endpoints {
		entry := &list.Endpoints[i]
		from, restarted := "unlisted", false
		if replica := l.endpoints.ByName(entry.ID); replica != nil {
			from, restarted = replica.Lifecycle, replica.StartedAtMs != entry.StartedAtMs
		}
		if from == entry.Lifecycle && !restarted {
			continue
		}
		if changes++; changes <= maxStateChangeLines {
			slog.Info("endpoint_state", "replica", entry.ID, "from", from, "to", entry.Lifecycle, "restarted", restarted, "version", list.Generation)
		}
	}
	if changes > maxStateChangeLines {
		slog.Info("endpoint_states_omitted", "omitted", changes-maxStateChangeLines, "version", list.Generation)
	}
}

// listState is the extent to which the list in force may be used, by its name in the log.
type listState string

const (
	listCurrent     listState = "current"
	listUnconfirmed listState = "doubtful" // only for replicas that passed a health check recently
	listStale       listState = "stale"    // not for new attempts
)

// listMonitor logs changes of the list's state. The event loop owns it.
type listMonitor struct {
	state     listState // at the last check; empty: none yet
	nextCheck balancer.Micros
}

// listCheckInterval is how often the event loop checks the list's state.
const listCheckInterval balancer.Micros = 250_000

// logChanges logs a change since the last check, once per listCheckInterval.
func (m *listMonitor) logChanges(now balancer.Micros, b *balancer.Balancer, version int64) {
	if now < m.nextCheck {
		return
	}
	m.nextCheck = now + listCheckInterval
	state := listStateOf(now, b)
	if m.state != "" && m.state != state {
		slog.Warn("endpoint_list_state", "from", string(m.state), "to", string(state), "version", version, "age_ms", b.ListAge(now)/microsPerMilli)
	}
	m.state = state
}

func listStateOf(now balancer.Micros, b *balancer.Balancer) listState {
	switch {
	case b.ListStale(now):
		return listStale
	case b.ListUnconfirmed(now):
		return listUnconfirmed
	}
	return listCurrent
}
