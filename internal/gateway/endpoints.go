package gateway

import (
	"context"
	"log/slog"
	"time"

	"archknot/balancer"
	"archknot/internal/httpwire"
)

// The events of the endpoint list, and how the event loop applies them.

// listReceived is posted when discovery has answered a poll with a list, a change or no change.
type listReceived struct {
	list httpwire.EndpointList
	took time.Duration   // of the call
	asOf balancer.Micros // time up to which the list has all changes
}

func (e listReceived) apply(l *eventLoop) {
	kind := balancer.ListDelta
	if e.list.Reset {
		kind = balancer.ListFull
	}
	age := l.balancer.ListAge(l.now)
	l.receiveList(e.list, kind, e.asOf)
	if len(e.list.Endpoints) > 0 {
		l.logList(e.list, kind, "took_ms", e.took.Milliseconds(), "previous_age_ms", age/microsPerMilli)
	}
}

// listPollFailed is posted when a poll of discovery has failed.
type listPollFailed struct {
	kind    balancer.ListKind // a kind for which Failed returns true
	asOf    balancer.Micros   // when the call began
	handled chan struct{}     // closed once the event is applied
}

func (e listPollFailed) apply(l *eventLoop) {
	select { // the failure also answers a poll that was requested during the call
	case <-l.pollRequests:
	default:
	}
	l.module.ListChanged(l.now, balancer.EndpointList{Kind: e.kind, AsOf: e.asOf})
	l.publishListExpiry()
	close(e.handled)
}

// listGap is posted when changes of the list from before asOf may have been missed, until discovery answers.
type listGap struct{ asOf balancer.Micros }

func (e listGap) apply(l *eventLoop) {
	l.module.ListChanged(l.now, balancer.EndpointList{Kind: balancer.ListGap, AsOf: e.asOf})
	l.publishListExpiry()
}

// loadCachedList applies the list from the configuration, before discovery has answered.
func (l *eventLoop) loadCachedList(list httpwire.EndpointList) {
	l.applyList(list, balancer.ListCached, l.cachedListAsOf())
	if len(list.Endpoints) > 0 {
		l.logList(list, balancer.ListCached)
	}
	l.updateReady()
}

// cachedListAsOf returns the time up to which the list from the configuration counts as current.
func (l *eventLoop) cachedListAsOf() balancer.Micros {
	options := &l.gateway.options
	asOf := l.now
	if !options.StartedAt.IsZero() {
		asOf = l.gateway.clock.readingAgo(time.Since(options.StartedAt))
	}
	return asOf - options.Settings.StoredListAge(l.gateway.replacesProcess)
}

// receiveList applies a list or a change from discovery itself.
func (l *eventLoop) receiveList(list httpwire.EndpointList, kind balancer.ListKind, asOf balancer.Micros) {
	l.applyList(list, kind, asOf)
	if !l.discoveryAnswered {
		l.discoveryAnswered = true
		l.gateway.discoveryAnswered.Store(true)
		if l.gateway.options.Orders != nil {
			go l.gateway.confirmEjections(context.Background())
		}
	}
	l.updateReady()
}

// setExclusions replaces the marks and ejections in force. The module gets the changed replicas
// as list entries, so that a newly excluded one gets no new work from this moment on.
func (l *eventLoop) setExclusions(marks map[string]bool, ejected map[string]struct{}) {
	change := l.endpoints.setExclusions(marks, ejected)
	if len(change.Endpoints) > 0 {
		l.applyList(change, balancer.ListOverride, l.now)
		l.logList(change, balancer.ListOverride)
	}
}

// applyList applies a list, or a ListOverride with the entries that this gateway's own marks
// and ejections change.
func (l *eventLoop) applyList(list httpwire.EndpointList, kind balancer.ListKind, asOf balancer.Micros) {
	source := kind
	if kind == balancer.ListOverride {
		source = balancer.ListDelta
	}
	list = l.endpoints.fillPartialEntries(list)
	l.recordListed(list)
	list = l.endpoints.overlayExclusions(list, source)
	l.logStateChanges(list)
	change, removed := l.endpoints.Apply(list, source, l.gateway.clock.fromUnixMillis)
	if kind == balancer.ListOverride {
		change.Kind = balancer.ListOverride
	}
	for _, connKey := range removed {
		l.gateway.pool.CloseIdle(connKey)
	}
	change = l.endpoints.selector.Apply(l.now, change)
	change.AsOf = asOf
	l.module.ListChanged(l.now, change)
	l.publishListExpiry()
	l.endpoints.receivedAt = l.gateway.clock.timeAt(l.now)
}

// recordListed records the ids of a list, since operators may only order for listed replicas.
func (l *eventLoop) recordListed(list httpwire.EndpointList) {
	if l.gateway.options.Orders == nil {
		return
	}
	ids := make([]string, len(list.Endpoints))
	for i := range list.Endpoints {
		ids[i] = list.Endpoints[i].ID
	}
	l.gateway.options.Orders.RecordListed(ids)
	if len(l.endpoints.ejectedStart) < len(l.endpoints.ejected) {
		l.endpoints.recordEjectedStarts()
	}
}

// publishListExpiry publishes until when the attempts' goroutines may use the list for all replicas.
func (l *eventLoop) publishListExpiry() {
	l.gateway.listValidUntil.Store(l.balancer.CompleteListValidUntil())
}

// updateReady makes the gateway ready once a replica can take work. The cached list is
// sufficient: when all gateways restart at once, discovery takes seconds to answer some of them.
func (l *eventLoop) updateReady() {
	if l.endpoints.ReadyCount() == 0 && !l.endpoints.hasEjectedReady() {
		return
	}
	if !l.gateway.ready.Swap(true) {
		slog.Info("ready", "replicas", l.endpoints.ReadyCount(), "from_discovery", l.discoveryAnswered)
	}
}
