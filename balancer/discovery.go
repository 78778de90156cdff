package balancer

import (
	"cmp"
	"math"
)

// Following discovery: applying its endpoint lists, polling it again after failures, and
// how long a list is trusted.

const (
	// notifiedWithin is the protocol's term for a change of the list: whatever became of a
	// call, a gateway counts as notified so long after discovery had the change and could
	// be reached.
	notifiedWithin Micros = 6_000_000
	// writeDelay is how much later than its decision an attempt may be written: a gateway may
	// be held up for half of it between reading its clock and writing.
	writeDelay Micros = 300_000
	// minLocalTrust is how long the list of an agent on this machine is trusted at least.
	minLocalTrust Micros = 2_000_000
	// minConfirmedConnAge is how long a connection must have been open for a health check over it
	// to show that a replica was not started in the meantime: the next process at its address
	// answers before it is listed.
	minConfirmedConnAge Micros = 5_000_000
	// confirmAhead is how long before it is needed a replica is checked where requests poll none,
	// and confirmInterval how often.
	confirmAhead, confirmInterval Micros = 1_500_000, 500_000
	// pollBackoffMin and pollBackoffMax bound the backoff after a failed call where
	// discovery takes the calls of all gateways at once: with a short call before and one
	// after it well within notifiedWithin. localPollBackoff is the backoff for an agent on
	// this machine, which answers at no cost.
	pollBackoffMin, pollBackoffMax, localPollBackoff Micros = 250_000, 1_000_000, 200_000
	// watchRetryInterval is when a watch is repeated that has no answer at all.
	watchRetryInterval Micros = 5_000_000
	// discoveryCallTime is discovery's time for one gateway's call, and maxPollSpread
	// bounds the time over which the calls of all of them are spread.
	discoveryCallTime, maxPollSpread Micros = 110_000, 8_000_000
	// unspreadCallTime is what the calls of all gateways may take together without a spread.
	unspreadCallTime Micros = 500_000
)

// ListTrust is how long the list may be used from the time up to which all its changes are
// known: an attempt that is written by then is within the grace of any change. An agent's
// changes count as known once the agent has them.
func (s *Settings) ListTrust() Micros {
	grace := max(0, s.DrainGrace-writeDelay)
	if s.LocalDiscovery {
		return max(minLocalTrust, grace)
	}
	return notifiedWithin + grace
}

// discoveryState is the state of the watch of discovery.
type discoveryState struct {
	listReceived bool // discovery itself has sent a list
	watching     bool
	nextPollAt   Micros // 0: not due
	pollBackoff  Micros
	lastHeardAt  Micros // up to when changes of the list are known
	// unavailableAt is when the last call began that discovery answered with that it serves none;
	// since lastHeardAt all calls have ended so. It is down, or has too many callers.
	unavailableAt Micros
}

// ListChanged handles a change of the endpoint list. Rule 3: a replica that is draining or
// gone gets nothing from this moment on, which is within any grace period.
func (b *Balancer) ListChanged(now Micros, list EndpointList) {
	if list.Kind.Failed() {
		switch list.Kind {
		case ListUnreachable:
			b.renewList(now, list.AsOf)
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
		b.renewList(now, list.AsOf)
	}
	if list.Kind.Complete() {
		b.markAbsentGone(list.Endpoints)
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

// renewList notes up to when changes of the list are known, which dates its lease; 0: now.
func (b *Balancer) renewList(now, asOf Micros) {
	b.lastHeardAt = max(b.lastHeardAt, min(now, cmp.Or(asOf, now)))
}

// markAbsentGone marks the replicas as gone that a complete list does not have.
func (b *Balancer) markAbsentGone(endpoints []Endpoint) {
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

// pollSpread is the time over which the gateways' calls must be spread for discovery to
// answer all; 0: it takes them at once. It works also for calls that it will not answer in
// time.
func (b *Balancer) pollSpread() Micros {
	if all := Micros(b.settings.Gateways) * discoveryCallTime; all > unspreadCallTime && !b.settings.LocalDiscovery {
		return min(all, maxPollSpread)
	}
	return 0
}

// watch asks discovery for its list and changes.
func (b *Balancer) watch(now Micros) {
	b.nextPollAt = now + watchRetryInterval
	b.sink.WatchDiscovery()
}

// scheduleNextPoll sets when discovery is polled after a call that failed. Calls fail when
// all gateways call at once: they are spread. A call that did not even connect has cost
// discovery nothing, and says nothing of its load.
func (b *Balancer) scheduleNextPoll(now Micros, unreachable bool) {
	spread := b.pollSpread()
	if b.watching && !unreachable && spread > 0 && b.settings.WatchInterval > 0 {
		// An open watch has ended. All may have, at once: their next calls are spread, but begin now.
		b.watching = false
		b.nextPollAt = now + int64(b.random()*float64(spread)/2)
		return
	}
	b.watching = false
	least, most := max(pollBackoffMin, spread), max(pollBackoffMax, spread)
	switch {
	case b.settings.LocalDiscovery:
		least, most = localPollBackoff, localPollBackoff
	case unreachable && !b.listReceived && b.readyCount == 0: // it cannot serve before
		least, most = max(pollBackoffMin, spread/8), max(pollBackoffMax, spread/4)
	case unreachable || b.unavailableAt > b.lastHeardAt:
		// The next call begins while the list is still used. Where nobody is served it costs nothing.
		most = max(pollBackoffMax, min(spread, b.ListTrustedUntil()-now-2*tickInterval))
		least = min(least, most)
	}
	b.pollBackoff = min(most, max(least, 2*b.pollBackoff))
	b.nextPollAt = now + int64(float64(b.pollBackoff)*(0.5+0.5*b.random()))
}

// ListAge is the time since discovery's last word: up to then all changes of the list are known.
func (b *Balancer) ListAge(now Micros) Micros { return now - b.lastHeardAt }

// ListTrustedUntil is the time up to which attempts may be written by the list: later a
// replica may drain or be gone, and the grace for it be over, without this gateway's
// knowledge.
func (b *Balancer) ListTrustedUntil() Micros {
	if b.settings.WatchInterval <= 0 { // no word of discovery's means that nothing has changed
		return math.MaxInt64
	}
	return max(b.lastHeardAt, b.unavailableAt) + b.settings.ListTrust()
}

// ListStale reports whether the list is too old for new attempts.
func (b *Balancer) ListStale(now Micros) bool { return now >= b.ListTrustedUntil() }

// ListUnconfirmed reports whether the list is used only because discovery answers that it serves
// none. Nothing can have counted as known if it is down. If it has too many callers, changes
// may have: then only replicas that show themselves unchanged get new attempts.
func (b *Balancer) ListUnconfirmed(now Micros) bool {
	return b.settings.WatchInterval > 0 && now >= b.lastHeardAt+b.settings.ListTrust()
}

// isConfirmed reports whether a replica may get new attempts by a doubtful list: it has passed
// a health check, as one that declines work does not, in a process that ran before.
func (b *Balancer) isConfirmed(now Micros, row *replicaRow) bool {
	return now-row.confirmedAt < notifiedWithin
}

// confirmReplicas checks replicas before the list becomes doubtful, where requests poll none.
func (b *Balancer) confirmReplicas(now Micros) {
	if !b.settings.MayHealthCheck || b.largeFleet() || b.unavailableAt <= b.lastHeardAt || !b.ListUnconfirmed(now+confirmAhead) || b.ListStale(now) {
		return
	}
	for _, row := range b.rows {
		if row.state == EndpointReady && !row.healthCheckPending && now-row.healthCheckedAt >= confirmInterval {
			b.sendHealthCheck(now, row)
		}
	}
}

// followDiscovery polls discovery when that is due.
func (b *Balancer) followDiscovery(now Micros) {
	if b.nextPollAt > 0 && now >= b.nextPollAt && !b.watching {
		b.watch(now)
	}
	b.confirmReplicas(now)
}
