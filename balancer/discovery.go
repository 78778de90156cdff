package balancer

import (
	"cmp"
	"math"
)

// The endpoint list of discovery: applying its changes, polling again after failed calls, and
// limiting how long an old list is used.

const (
	// maxNotificationDelay is the time after which a gateway counts as notified of a change of
	// the list, even if its calls fail. It starts when discovery has the change and is reachable.
	maxNotificationDelay Micros = 6_000_000
	// writeDelay is the longest time between the decision for an attempt and its write to the
	// connection. Half of it allows for a pause between reading the clock and writing.
	writeDelay Micros = 300_000
	// minLocalListValidity is the least ListValidity with an agent on this machine. It leaves time
	// for a call to the agent.
	minLocalListValidity Micros = 2_000_000
	// minConfirmedConnAge is the least age of a connection over which a health check confirms a
	// replica. A younger one may lead to a new process at the same address, which answers
	// before it is listed.
	minConfirmedConnAge Micros = 5_000_000
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

// ListValidity returns how long the list may be used after the last time at which it was current.
// An attempt that is written by then is within DrainGrace of every change that the gateway does
// not have yet. The changes of a local agent count as known as soon as the agent has them.
func (s *Settings) ListValidity() Micros {
	grace := max(0, s.DrainGrace-writeDelay)
	if s.LocalDiscovery {
		return max(minLocalListValidity, grace)
	}
	return maxNotificationDelay + grace
}

// discoveryState is the state of the watch of discovery.
type discoveryState struct {
	listReceived  bool // discovery itself has sent a list
	watching      bool
	nextPollAt    Micros // 0: not due
	pollBackoff   Micros
	listCurrentAt Micros // the list includes all changes up to this time
	// unavailableAt is the start of the last call to which discovery answered that it serves
	// no list, because it is down or overloaded.
	unavailableAt Micros
}

// ListChanged handles an endpoint list or a failed call to discovery. A replica that the list
// shows as draining or removed gets no new attempt from this call on.
func (b *Balancer) ListChanged(now Micros, list EndpointList) {
	if list.Kind.Failed() {
		switch list.Kind {
		case ListUnreachable:
			b.recordListCurrent(now, list.AsOf)
		case ListUnavailable:
			b.unavailableAt = max(b.unavailableAt, min(now, cmp.Or(list.AsOf, now)))
		}
		if b.settings.PollDiscovery {
			b.scheduleNextPoll(now, list.Kind == ListUnreachable)
		}
		return
	}
	if list.Kind.FromDiscovery() {
		b.watching, b.pollBackoff, b.nextPollAt = true, 0, 0
		b.recordListCurrent(now, list.AsOf)
	}
	if list.Kind.Complete() {
		b.markAbsentRemoved(list.Endpoints)
	}
	b.fleetSize = list.FleetSize
	for _, endpoint := range list.Endpoints {
		b.applyEndpoint(now, endpoint, !b.listReceived)
	}
	if list.Kind.FromDiscovery() {
		b.listReceived = true
	}
	b.removeDelistedRows()
	b.refreshEstimates(now)
}

// recordListCurrent records that the list includes all changes up to asOf; 0: now.
func (b *Balancer) recordListCurrent(now, asOf Micros) {
	b.listCurrentAt = max(b.listCurrentAt, min(now, cmp.Or(asOf, now)))
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

// ListAge returns the time since the list was last known to include all changes.
func (b *Balancer) ListAge(now Micros) Micros { return now - b.listCurrentAt }

// ListValidUntil returns the time until which attempts may be written according to the list.
// Later a replica may be draining or removed, and its DrainGrace over, without this gateway
// having the change.
func (b *Balancer) ListValidUntil() Micros {
	if b.settings.WatchInterval <= 0 { // discovery sends only changes, so the list does not expire
		return math.MaxInt64
	}
	return max(b.listCurrentAt, b.unavailableAt) + b.settings.ListValidity()
}

// ListStale reports whether the list is too old for new attempts.
func (b *Balancer) ListStale(now Micros) bool { return now >= b.ListValidUntil() }

// ListUnconfirmed reports whether ListValidity has passed since the list was last current. Such a
// list, which logs call doubtful, is used until ListValidUntil, while discovery answers that it
// serves none. If discovery is overloaded rather than down, changes may be missing, so new
// attempts go only to replicas that a health check has confirmed.
func (b *Balancer) ListUnconfirmed(now Micros) bool {
	return b.settings.WatchInterval > 0 && now >= b.listCurrentAt+b.settings.ListValidity()
}

// isConfirmed reports whether a replica may get new attempts while the list is unconfirmed: it has
// recently passed a health check over an old connection, so it accepts work and its process
// is the listed one.
func (b *Balancer) isConfirmed(now Micros, row *replicaRow) bool {
	return now-row.confirmedAt < maxNotificationDelay
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
