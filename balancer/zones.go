package balancer

import "slices"

// What is told to the book of sites, and what follows where a site is lost or comes back.
// Whether it is stands in package site; whom to send to, in the table and the guard.

// suspectZoneChecks is how many others of a site are asked where one did not answer.
const suspectZoneChecks = 2

// recordAnswer tells the book of sites whether w answered, by how an attempt or a probe ended.
func (b *Balancer) recordAnswer(now Micros, row *replicaRow, s Status, probe bool) {
	switch {
	case s == ConnectFailed, s == ConnBroken, probe && s == TimedOut:
		b.recordMiss(now, row)
	case s == Served, s == Errored, s == Shed, s == Malformed:
		of := 0
		if b.zones.IsUnavailable(row.zone) { // else nobody asks, and each answer would count the fleet
			of = b.readyInZone(row.zone)
		}
		if b.zones.RecordAnswer(now, row.zone, uint64(row.id), of) {
			b.zoneRecovered(row.zone)
		}
	}
}

// recordMiss tells the book that w did not answer. Others of its site are asked, and where
// the site is lost by this, what waits there for a first token is taken up elsewhere.
func (b *Balancer) recordMiss(now Micros, row *replicaRow) {
	news, lost := b.zones.RecordMiss(now, row.zone, uint64(row.id), b.readyInZone(row.zone))
	if news {
		b.checkZone(now, row.zone, suspectZoneChecks)
	}
	if !lost {
		return
	}
	var ids []RequestID
	for id, req := range b.requests {
		if !req.ended && !req.streaming && req.inFlight == 1 && slices.ContainsFunc(req.attempts, func(a *attempt) bool { return !a.ended && a.row.zone == row.zone }) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		if req := b.requests[id]; b.mayHedge(req) {
			b.hedgeBudget++ // beside an attempt that is lost a copy is no more work
			b.hedge(now, req)
		}
	}
}

// zoneRecovered forgets what stood against workers of a site for what was the site's: each
// fails by itself again if it is not back.
func (b *Balancer) zoneRecovered(zone int) {
	for _, row := range b.rows {
		if row.zone == zone {
			row.consecutiveFailures, row.backoffUntil = 0, 0
		}
	}
}

// readyInZone is how many workers of a zone are listed as ready.
func (b *Balancer) readyInZone(zone int) (n int) {
	for _, row := range b.rows {
		if row.zone == zone && row.state == EndpointReady {
			n++
		}
	}
	return n
}

// sendHealthCheck probes w.
func (b *Balancer) sendHealthCheck(now Micros, row *replicaRow) {
	row.healthCheckPending, row.healthCheckedAt = true, now
	b.sink.HealthCheck(row.id)
}

// checkZone probes some workers of a zone, from one drawn by chance on.
func (b *Balancer) checkZone(now Micros, zone, most int) {
	if !b.settings.MayHealthCheck {
		return
	}
	n := len(b.rows)
	for i, k := 0, int(b.random()*float64(n)); i < n && most > 0; i++ {
		if row := b.rows[(k+i)%n]; row.zone == zone && row.state == EndpointReady && !row.healthCheckPending {
			b.sendHealthCheck(now, row)
			most--
		}
	}
}

// tryUnavailableZones sends the trials that lost sites are due: probes, or where there are none the
// next request of each.
func (b *Balancer) tryUnavailableZones(now Micros) {
	if !b.settings.MayHealthCheck {
		return
	}
	for zone := range len(b.zoneIndex) {
		if b.zones.TrialDue(now, zone, b.random()) {
			b.checkZone(now, zone, 1)
		}
	}
}

// recordSilence takes those that r was to hear from, and did not, for not answering.
func (b *Balancer) recordSilence(now Micros, req *request) {
	for _, row := range b.rows {
		if row.healthCheckPending && row.healthCheckedAt == req.arrivedAt {
			b.recordMiss(now, row)
		}
	}
}

// healthCheckOverdue tells that w was asked for its load, and says nothing.
func (b *Balancer) healthCheckOverdue(now Micros, row *replicaRow) bool {
	return row.healthCheckPending && b.largeFleet() && now-row.healthCheckedAt >= pollTimeout/2
}

// recordOverdue takes a first token that has not come in its time for a miss where nothing can be
// asked: jams are told from losses by the answers that others of the site still give.
func (b *Balancer) recordOverdue(now Micros, req *request) {
	if b.settings.MayHealthCheck {
		return
	}
	for _, a := range req.attempts {
		if !a.ended && a.timeToFirstToken == 0 {
			b.recordMiss(now, a.row)
		}
	}
}

// zoneOpen tells whether the zone of w takes ordinary requests.
func (b *Balancer) zoneOpen(now Micros, row *replicaRow) bool {
	if !b.zones.IsUnavailable(row.zone) {
		return true
	}
	return !b.settings.MayHealthCheck && now >= b.zones.Zones[row.zone].NextTrialAt
}

// zonePenalty weighs a worker of a site that comes back after it was lost more than once.
func (b *Balancer) zonePenalty(now Micros, row *replicaRow) float64 {
	return 1 / b.zones.TrafficShare(now, row.zone)
}

// UnavailableZones lists the zones that are lost to this gateway, in order, and tells whether they
// are all but its own: then it is likelier that it is cut off itself.
func (b *Balancer) UnavailableZones() (names []string, alone bool) {
	if len(b.zones.Zones) == 0 {
		return nil, false
	}
	var all []int
	for name, n := range b.zoneIndex {
		if name == "" || b.readyInZone(n) == 0 {
			continue
		}
		if all = append(all, n); b.zones.IsUnavailable(n) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names, b.zones.LikelyIsolated(b.ownZone, all)
}
