package balancer

import "slices"

// Events that are reported to zonehealth, and the reactions when a zone becomes unavailable
// or recovers.

// suspectZoneChecks is the maximum number of health checks in a zone after a replica of it
// did not answer.
const suspectZoneChecks = 2

// recordAnswer reports to zonehealth whether a replica answered, according to the status of
// an attempt or a health check.
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
		if b.zones.IsUnavailable(row.zone) { // not used otherwise; counting scans all rows
			ready = b.readyInZone(row.zone)
		}
		if b.zones.RecordAnswer(now, row.zone, uint64(row.id), ready) {
			b.zoneRecovered(row.zone)
		}
	}
}

// recordMiss reports to zonehealth that a replica did not answer. If its zone becomes
// suspect, other replicas of the zone are checked; if it becomes unavailable, the requests
// that wait for it are hedged in other zones.
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
		if !req.ended && !req.streaming && req.inFlight == 1 && req.hasAttemptInZone(zone) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		if req := b.requests[id]; b.mayHedge(req) {
			b.hedgeBudget++ // not charged: the first attempt is lost, so the hedge adds no load
			b.hedge(now, req)
		}
	}
}

// hasAttemptInZone reports whether a request has an attempt in flight in a zone.
func (req *request) hasAttemptInZone(zone int) bool {
	return slices.ContainsFunc(req.attempts, func(a *attempt) bool { return !a.ended && a.row.zone == zone })
}

// zoneRecovered clears the failures of a zone's replicas, because the zone caused them. A
// replica that is still failing is detected again by itself.
func (b *Balancer) zoneRecovered(zone int) {
	for _, row := range b.rows {
		if row.zone == zone {
			row.clearFailures()
		}
	}
}

// readyInZone returns the number of replicas of a zone that are listed as ready.
func (b *Balancer) readyInZone(zone int) (n int) {
	for _, row := range b.rows {
		if row.zone == zone && row.state == EndpointReady {
			n++
		}
	}
	return n
}

// checkZone sends health checks to at most limit replicas of a zone, starting at a random
// row of the table.
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

// tryUnavailableZones sends a health check as a trial to each unavailable zone that is due
// for one. Where health checks are not allowed, the next request to the zone is the trial.
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

// recordUnansweredPolls records a miss for each replica that was polled for a request, or at its
// arrival, and has not answered yet.
func (b *Balancer) recordUnansweredPolls(now Micros, req *request) {
	for _, row := range b.rows {
		polled := row.healthCheckedAt == req.arrivedAt || slices.Contains(req.polled, row.id)
		if polled && row.healthCheckPendingSince(req.arrivedAt) {
			b.recordMiss(now, row)
		}
	}
}

// recordOverdueAttempts records a miss for each attempt that has no first token at the latency
// objective, where health checks are not allowed. In an overload, unlike an outage, other
// replicas of the zone still answer, which clears the misses.
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

// zoneEligible reports whether a replica's zone may receive requests: it is not unavailable, or
// health checks are not allowed and the zone is due for a trial.
func (b *Balancer) zoneEligible(now Micros, row *replicaRow) bool {
	if !b.zones.IsUnavailable(row.zone) {
		return true
	}
	return !b.settings.MayHealthCheck && now >= b.zones.Zones[row.zone].NextTrialAt
}

// zonePenalty returns the score's factor for a replica whose zone recovers from repeated
// outages; 1 for others.
func (b *Balancer) zonePenalty(now Micros, row *replicaRow) float64 {
	return 1 / b.zones.TrafficFraction(now, row.zone)
}

// UnavailableZones lists the named zones with ready replicas that are unavailable to this
// gateway, in order. isolated reports that this gateway itself is more likely isolated, see
// [zonehealth.Tracker.LikelyIsolated].
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
