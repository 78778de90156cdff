package balancer

import "slices"

// What zonehealth is notified of, and what follows when a zone becomes unavailable or recovers.

// suspectZoneChecks is how many other replicas of a zone are checked when one did not answer.
const suspectZoneChecks = 2

// recordAnswer notifies zonehealth whether a replica answered, by how an attempt or a health
// check ended.
func (b *Balancer) recordAnswer(now Micros, row *replicaRow, status Status, healthCheck bool) {
	switch status {
	case ConnectFailed, ConnBroken:
		b.recordMiss(now, row)
	case TimedOut:
		if healthCheck {
			b.recordMiss(now, row)
		}
	case Served, Errored, Shed, Malformed:
		ready := 0
		if b.zones.IsUnavailable(row.zone) { // else it is not used, and each answer would count the fleet
			ready = b.readyInZone(row.zone)
		}
		if b.zones.RecordAnswer(now, row.zone, uint64(row.id), ready) {
			b.zoneRecovered(row.zone)
		}
	}
}

// recordMiss notifies zonehealth that a replica did not answer. Others of its zone are checked,
// and if the zone becomes unavailable by this, its requests are hedged elsewhere.
func (b *Balancer) recordMiss(now Micros, row *replicaRow) {
	suspect, unavailable := b.zones.RecordMiss(now, row.zone, uint64(row.id), b.readyInZone(row.zone))
	if suspect {
		b.checkZone(now, row.zone, suspectZoneChecks)
	}
	if unavailable {
		b.hedgeZone(now, row.zone)
	}
}

// hedgeZone hedges the requests that wait for a first token from an unavailable zone.
func (b *Balancer) hedgeZone(now Micros, zone int) {
	var ids []RequestID
	for id, req := range b.requests {
		if !req.ended && !req.streaming && req.inFlight == 1 && req.waitsForZone(zone) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		if req := b.requests[id]; b.mayHedge(req) {
			b.hedgeBudget++ // beside an attempt that is lost a hedge is no more work
			b.hedge(now, req)
		}
	}
}

// waitsForZone reports whether a request has an attempt in flight in a zone.
func (req *request) waitsForZone(zone int) bool {
	return slices.ContainsFunc(req.attempts, func(a *attempt) bool { return !a.ended && a.row.zone == zone })
}

// zoneRecovered clears the failures of a zone's replicas, which were the zone's: each
// fails by itself again if it is not back.
func (b *Balancer) zoneRecovered(zone int) {
	for _, row := range b.rows {
		if row.zone == zone {
			row.clearFailures()
		}
	}
}

// readyInZone is the number of replicas of a zone that are listed as ready.
func (b *Balancer) readyInZone(zone int) (n int) {
	for _, row := range b.rows {
		if row.zone == zone && row.state == EndpointReady {
			n++
		}
	}
	return n
}

// checkZone sends health checks to up to limit replicas of a zone, from a random one on.
func (b *Balancer) checkZone(now Micros, zone, limit int) {
	if !b.settings.MayHealthCheck {
		return
	}
	n := len(b.rows)
	for i, start := 0, int(b.random()*float64(n)); i < n && limit > 0; i++ {
		if row := b.rows[(start+i)%n]; row.zone == zone && row.state == EndpointReady && !row.healthCheckPending {
			b.sendHealthCheck(now, row)
			limit--
		}
	}
}

// tryUnavailableZones sends the trials that unavailable zones are due: health checks. Where
// those are not allowed the zone's next request is the trial.
func (b *Balancer) tryUnavailableZones(now Micros) {
	if !b.settings.MayHealthCheck {
		return
	}
	for zone := range len(b.zoneIndex) {
		if b.zones.TakeTrial(now, zone, b.random()) {
			b.checkZone(now, zone, 1)
		}
	}
}

// recordUnansweredPolls counts the replicas that were polled in vain, by a request or as it arrived,
// as not answering.
func (b *Balancer) recordUnansweredPolls(now Micros, req *request) {
	for _, row := range b.rows {
		polled := row.healthCheckedAt == req.arrivedAt || slices.Contains(req.polled, row.id)
		if polled && row.healthCheckPendingSince(req.arrivedAt) {
			b.recordMiss(now, row)
		}
	}
}

// recordOverdueAttempts counts an attempt without a first token at its latency objective as not
// answered, where health checks are not allowed: overload is distinguished from an outage by the
// answers that others of the zone still give.
func (b *Balancer) recordOverdueAttempts(now Micros, req *request) {
	if b.settings.MayHealthCheck {
		return
	}
	for _, a := range req.attempts {
		if !a.ended && a.timeToFirstToken == 0 {
			b.recordMiss(now, a.row)
		}
	}
}

// zoneEligible reports whether a replica's zone takes ordinary requests.
func (b *Balancer) zoneEligible(now Micros, row *replicaRow) bool {
	if !b.zones.IsUnavailable(row.zone) {
		return true
	}
	return !b.settings.MayHealthCheck && now >= b.zones.Zones[row.zone].NextTrialAt
}

// zonePenalty multiplies the score of a replica whose zone recovers from repeated outages.
func (b *Balancer) zonePenalty(now Micros, row *replicaRow) float64 {
	return 1 / b.zones.TrafficShare(now, row.zone)
}

// UnavailableZones lists the zones that are unavailable to this gateway, in order, and
// reports whether they are all but its own: then this gateway is more likely to be
// isolated itself.
func (b *Balancer) UnavailableZones() (names []string, isolated bool) {
	if len(b.zones.Zones) == 0 {
		return nil, false
	}
	var all []int
	for name, zone := range b.zoneIndex {
		if name == "" || b.readyInZone(zone) == 0 {
			continue
		}
		all = append(all, zone)
		if b.zones.IsUnavailable(zone) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names, b.zones.LikelyIsolated(b.ownZone, all)
}
