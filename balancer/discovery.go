package balancer

// Following discovery: the list's news, when discovery is asked again, and for how long what
// it told is trusted. Whom to send to stands in the table and the guard.

const (
	// listGracePeriod is the protocol's clock for discovery: whatever became of a call, a change
	// counts as told so long after discovery had it and could be reached.
	listGracePeriod Micros = 6_000_000
	// pollBackoffMin and pollBackoffMax bound the wait before discovery is asked again after a failed call,
	// where it takes the calls of all gateways at once: with a short call before and one
	// behind it well within listGracePeriod. localPollBackoff is that wait for an agent on this machine,
	// which answers at no cost.
	pollBackoffMin, pollBackoffMax, localPollBackoff Micros = 250_000, 1_000_000, 200_000
	// watchRetryInterval is when an order to watch is repeated if no answer to it comes at all.
	watchRetryInterval Micros = 5_000_000
	// discoveryCallTime is discovery's time for one gateway's call, and maxPollSpread bounds the turns of
	// all of them.
	discoveryCallTime, maxPollSpread Micros = 110_000, 8_000_000
	// unspreadCallTime is what the calls of all gateways may take together without turns.
	unspreadCallTime Micros = 500_000
	// confirmAhead is how long before a replica would be doubted it is asked for a sign, and
	// confirmInterval how often.
	confirmAhead, confirmInterval Micros = 1_500_000, 500_000
)

// ListChanged takes news of the fleet. Rule 3: what drains or is gone gets
// nothing from this moment on, which is within any grace.
func (b *Balancer) ListChanged(now Micros, list EndpointList) {
	if list.Kind.Failed() {
		if b.settings.PollDiscovery {
			b.scheduleNextPoll(now, list.Kind == ListUnreachable)
		}
		return
	}
	if list.Kind.FromDiscovery() {
		b.watching, b.pollBackoff, b.nextPollAt, b.lastHeardAt = true, 0, 0, now
	}
	if list.Kind.Complete() {
		seen := make(map[ReplicaID]bool, len(list.Endpoints))
		for _, endpoint := range list.Endpoints {
			seen[endpoint.Replica] = true
		}
		for _, row := range b.rows {
			if !seen[row.id] {
				row.state = EndpointGone
			}
		}
	}
	b.fleetSize = list.FleetSize
	for _, endpoint := range list.Endpoints {
		b.applyEndpoint(now, endpoint, !b.listReceived)
	}
	if list.Kind.FromDiscovery() {
		b.listReceived = true
	}
	keep := b.rows[:0]
	for _, row := range b.rows {
		if row.state == EndpointGone && len(row.ledger) == 0 {
			delete(b.rowByID, row.id)
			continue
		}
		keep = append(keep, row)
	}
	clear(b.rows[len(keep):])
	b.rows = keep
	b.rebuildHashes()
	b.refreshEstimates(now)
}

// pollSpread is over how long the gateways' calls must be apart for discovery to answer
// all; 0: it takes them at once. It works for calls too that it will not
// answer in time: eighty at once kept it busy for ten seconds with seventeen answers,
// and with all asking again within seconds it answered none.
func (b *Balancer) pollSpread() Micros {
	if all := Micros(b.settings.Gateways) * discoveryCallTime; all > unspreadCallTime && !b.settings.LocalDiscovery {
		return min(all, maxPollSpread)
	}
	return 0
}

func (b *Balancer) watch(now Micros) {
	b.nextPollAt = now + watchRetryInterval
	b.sink.WatchDiscovery()
}

// scheduleNextPoll sets when discovery is asked after a call that failed. Calls fail when all ask at
// once: the wait doubles, and is scattered. One that did not even connect has cost discovery
// nothing, tells nothing of its load, and shows that there was nothing to be told till now.
func (b *Balancer) scheduleNextPoll(now Micros, unreached bool) {
	b.watching = false
	spread := b.pollSpread()
	first, most := max(pollBackoffMin, spread), max(pollBackoffMax, 2*spread)
	switch {
	case b.settings.LocalDiscovery:
		first, most = localPollBackoff, localPollBackoff
	case unreached && !b.listReceived && b.readyCount == 0: // it cannot serve before
		first, most = max(pollBackoffMin, spread/8), max(pollBackoffMax, spread/4)
	case unreached:
		most = max(pollBackoffMax, spread)
	}
	if unreached {
		b.lastHeardAt = now
	}
	b.pollBackoff = min(most, max(first, 2*b.pollBackoff))
	b.nextPollAt = now + int64(float64(b.pollBackoff)*(0.5+0.5*b.random()))
}

// mayBeStale tells that w may be draining or gone by now without this gateway's having heard of
// it: neither has discovery answered for as long as a change may take to count as told, nor
// has w itself taken work or answered a probe, which one that drains does not.
func (b *Balancer) mayBeStale(now Micros, row *replicaRow) bool {
	return b.settings.WatchInterval > 0 && now-max(b.lastHeardAt, row.confirmedReadyAt) >= listGracePeriod
}

// followDiscovery asks discovery when it is time, and replicas for a sign before they are doubted.
// In large fleets requests ask: see inquire.
func (b *Balancer) followDiscovery(now Micros) {
	if b.nextPollAt > 0 && now >= b.nextPollAt && !b.watching {
		b.watch(now)
	}
	if b.settings.WatchInterval <= 0 || !b.settings.MayHealthCheck || b.largeFleet() || now-b.lastHeardAt < listGracePeriod-confirmAhead {
		return
	}
	for _, row := range b.rows {
		if row.state == EndpointReady && !row.healthCheckPending && now-row.confirmedReadyAt >= listGracePeriod-confirmAhead && now-row.healthCheckedAt >= confirmInterval {
			b.sendHealthCheck(now, row)
		}
	}
}
