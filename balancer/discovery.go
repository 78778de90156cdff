package balancer

// The endpoint list of discovery: applying its changes, and polling again after failed calls. How
// long the list is used is in listvalidity.go.

const (
	// confirmationLead is the time before the list becomes unconfirmed at which replicas are first
	// checked, in fleets in which requests poll no replicas.
	confirmationLead Micros = 1_500_000
	// confirmationInterval is the time between two such checks of a replica.
	confirmationInterval Micros = 500_000
	// pollBackoffMin is the least backoff after a failed call, if discovery can serve the calls
	// of all gateways at once.
	pollBackoffMin Micros = 250_000
	// pollBackoffMax is the longest such backoff. With a short call before and after it, it is
	// well within maxNotificationDelay.
	pollBackoffMax Micros = 1_000_000
	// localPollBackoff is the backoff for an agent on this machine, whose calls are cheap.
	localPollBackoff Micros = 200_000
	// watchRetryInterval is the time after which a watch without any answer is repeated.
	watchRetryInterval Micros = 5_000_000
	// discoveryCallTime is the time that discovery takes to serve a call of one gateway.
	discoveryCallTime Micros = 110_000
	// maxPollSpread bounds the time over which the calls of all gateways are spread.
	maxPollSpread Micros = 8_000_000
	// unspreadCallTime is the total time of the calls of all gateways up to which they are not
	// spread.
	unspreadCallTime Micros = 500_000
)

// discoveryState is the state of the watch of discovery.
type discoveryState struct {
	watching    bool
	nextPollAt  Micros // 0: not due
	pollBackoff Micros
}

// ListChanged handles an endpoint list or a failed call to discovery. A replica that the list
// shows as draining or removed gets no new attempt from this call on.
func (b *Balancer) ListChanged(now Micros, list EndpointList) {
	switch {
	case list.Kind.Failed():
		b.pollFailed(now, list)
		return
	case list.Kind == ListGap:
		b.recordGap(now, list.AsOf)
		return
	}
	firstList := !b.listReceived
	switch {
	case list.Kind.FromDiscovery():
		b.watching, b.pollBackoff, b.nextPollAt = true, 0, 0
		b.recordAnswered(now, list.AsOf)
	case list.Kind == ListCached:
		b.recordStoredList(now, list.AsOf)
	}
	if list.Kind.Complete() {
		b.markAbsentRemoved(list.Endpoints)
	}
	b.fleetSize = list.FleetSize
	for _, endpoint := range list.Endpoints {
		b.applyEndpoint(now, endpoint, firstList)
	}
	b.removeDelistedRows()
	b.refreshEstimates(now)
}

// pollFailed handles a failed call to discovery.
func (b *Balancer) pollFailed(now Micros, list EndpointList) {
	switch list.Kind {
	case ListUnreachable:
		b.recordUnreachable(now, list.AsOf)
	case ListUnavailable:
		b.recordUnavailable(now, list.AsOf)
	}
	if b.settings.PollDiscovery {
		b.scheduleNextPoll(now, list.Kind == ListUnreachable)
	}
}

// markAbsentRemoved marks the replicas as removed that are not in a complete list.
func (b *Balancer) markAbsentRemoved(endpoints []Endpoint) {
	listed := make(map[ReplicaID]bool, len(endpoints))
	for _, endpoint := range endpoints {
		listed[endpoint.Replica] = true
	}
	for _, row := range b.rows {
		if !listed[row.id] {
			row.state = EndpointRemoved
		}
	}
}

// pollSpread returns the time over which the calls of all gateways must be spread for discovery
// to answer them in time; 0: no spread is necessary. Without it discovery would spend its time
// on calls that have timed out.
func (b *Balancer) pollSpread() Micros {
	if totalCallTime := Micros(b.settings.Gateways) * discoveryCallTime; totalCallTime > unspreadCallTime && !b.settings.LocalDiscovery {
		return min(totalCallTime, maxPollSpread)
	}
	return 0
}

// watch requests the endpoint list and its changes from discovery.
func (b *Balancer) watch(now Micros) {
	b.nextPollAt = now + watchRetryInterval
	b.sink.WatchDiscovery()
}

// scheduleNextPoll sets the time of the next poll after a failed call. Calls can fail because
// all gateways call at once, so the next ones are spread. A call that could not connect is no
// sign of such an overload.
func (b *Balancer) scheduleNextPoll(now Micros, unreachable bool) {
	spread := b.pollSpread()
	if b.watching && !unreachable && spread > 0 && b.settings.WatchInterval > 0 {
		// An open watch has ended. Those of all gateways may have ended at once, so the next
		// calls are spread, beginning now.
		b.watching = false
		b.nextPollAt = now + int64(b.random()*float64(spread)/2)
		return
	}
	b.watching = false
	minBackoff, maxBackoff := max(pollBackoffMin, spread), max(pollBackoffMax, spread)
	switch {
	case b.settings.LocalDiscovery:
		minBackoff, maxBackoff = localPollBackoff, localPollBackoff
	case unreachable && !b.listReceived && b.readyCount == 0: // without a list the gateway cannot serve
		minBackoff, maxBackoff = max(pollBackoffMin, spread/8), max(pollBackoffMax, spread/4)
	case unreachable || b.unavailableAt > b.listCurrentAt:
		// The next call must begin before the list is stale. It costs little, since discovery
		// serves no gateway at this time.
		maxBackoff = max(pollBackoffMax, min(spread, b.ListValidUntil()-now-2*tickInterval))
		minBackoff = min(minBackoff, maxBackoff)
	}
	b.pollBackoff = min(maxBackoff, max(minBackoff, 2*b.pollBackoff))
	b.nextPollAt = now + int64(float64(b.pollBackoff)*(0.5+0.5*b.random()))
}

// confirmReplicas checks replicas shortly before and while the list is unconfirmed, in fleets in
// which requests poll no replicas.
func (b *Balancer) confirmReplicas(now Micros) {
	if !b.settings.MayHealthCheck || b.largeFleet() || b.unavailableAt <= b.listCurrentAt || !b.ListUnconfirmed(now+confirmationLead) || b.ListStale(now) {
		return
	}
	for _, row := range b.rows {
		if row.state == EndpointReady && !row.healthCheckPending && now-row.healthCheckedAt >= confirmationInterval {
			b.sendHealthCheck(now, row)
		}
	}
}

// tickDiscovery polls discovery if a poll is due, and confirms replicas.
func (b *Balancer) tickDiscovery(now Micros) {
	if b.nextPollAt > 0 && now >= b.nextPollAt && !b.watching {
		b.watch(now)
	}
	b.confirmReplicas(now)
}
