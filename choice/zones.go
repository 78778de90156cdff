package choice

import "slices"

// What is told to the book of sites, and what follows where a site is lost or comes back.
// Whether it is stands in package site; whom to send to, in the table and the guard.

// doubtAsks is how many others of a site are asked where one did not answer.
const doubtAsks = 2

// hear tells the book of sites whether w answered, by how an attempt or a probe ended.
func (b *Balancer) hear(now Micros, w *row, s Status, probe bool) {
	switch {
	case s == ConnectFailed, s == ConnBroken, probe && s == TimedOut:
		b.missed(now, w)
	case s == Served, s == Errored, s == Shed, s == Spoilt:
		of := 0
		if b.sites.Lost(w.zone) { // else nobody asks, and each answer would count the fleet
			of = b.inSite(w.zone)
		}
		if b.sites.Heard(now, w.zone, uint64(w.id), of) {
			b.zoneBack(w.zone)
		}
	}
}

// missed tells the book that w did not answer. Others of its site are asked, and where
// the site is lost by this, what waits there for a first token is taken up elsewhere.
func (b *Balancer) missed(now Micros, w *row) {
	news, lost := b.sites.Miss(now, w.zone, uint64(w.id), b.inSite(w.zone))
	if news {
		b.askSite(now, w.zone, doubtAsks)
	}
	if !lost {
		return
	}
	var ids []RequestID
	for id, r := range b.requests {
		if !r.ended && !r.opened && r.live == 1 && slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.ended && a.row.zone == w.zone }) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		if r := b.requests[id]; b.mayHedge(r) {
			b.hedges++ // beside an attempt that is lost a copy is no more work
			b.hedge(now, r)
		}
	}
}

// zoneBack forgets what stood against workers of a site for what was the site's: each
// fails by itself again if it is not back.
func (b *Balancer) zoneBack(zone int) {
	for _, w := range b.rows {
		if w.zone == zone {
			w.fails, w.retryAt = 0, 0
		}
	}
}

// inSite is how many workers of a zone are listed as ready.
func (b *Balancer) inSite(zone int) (n int) {
	for _, w := range b.rows {
		if w.zone == zone && w.state == MemberReady {
			n++
		}
	}
	return n
}

// ask probes w.
func (b *Balancer) ask(now Micros, w *row) {
	w.probing, w.probed = true, now
	b.out.Probe(w.id)
}

// askSite probes some workers of a zone, from one drawn by chance on.
func (b *Balancer) askSite(now Micros, zone, most int) {
	if !b.s.MayProbe {
		return
	}
	n := len(b.rows)
	for i, k := 0, int(b.random()*float64(n)); i < n && most > 0; i++ {
		if w := b.rows[(k+i)%n]; w.zone == zone && w.state == MemberReady && !w.probing {
			b.ask(now, w)
			most--
		}
	}
}

// trySites sends the trials that lost sites are due: probes, or where there are none the
// next request of each.
func (b *Balancer) trySites(now Micros) {
	if !b.s.MayProbe {
		return
	}
	for zone := range len(b.zoneNo) {
		if b.sites.Due(now, zone, b.random()) {
			b.askSite(now, zone, 1)
		}
	}
}

// silent takes those that r was to hear from, and did not, for not answering.
func (b *Balancer) silent(now Micros, r *request) {
	for _, w := range b.rows {
		if w.probing && w.probed == r.arrived {
			b.missed(now, w)
		}
	}
}

// unanswered tells that w was asked for its load, and says nothing.
func (b *Balancer) unanswered(now Micros, w *row) bool {
	return w.probing && b.sparse() && now-w.probed >= askWait/2
}

// overdue takes a first token that has not come in its time for a miss where nothing can be
// asked: jams are told from losses by the answers that others of the site still give.
func (b *Balancer) overdue(now Micros, r *request) {
	if b.s.MayProbe {
		return
	}
	for _, a := range r.attempts {
		if !a.ended && a.opened == 0 {
			b.missed(now, a.row)
		}
	}
}

// siteOpen tells whether the zone of w takes ordinary requests.
func (b *Balancer) siteOpen(now Micros, w *row) bool {
	if !b.sites.Lost(w.zone) {
		return true
	}
	return !b.s.MayProbe && now >= b.sites.Places[w.zone].TrialAt
}

// sitePrice weighs a worker of a site that comes back after it was lost more than once.
func (b *Balancer) sitePrice(now Micros, w *row) float64 { return 1 / b.sites.Trust(now, w.zone) }

// LostSites lists the zones that are lost to this gateway, in order, and tells whether they
// are all but its own: then it is likelier that it is cut off itself.
func (b *Balancer) LostSites() (names []string, alone bool) {
	if len(b.sites.Places) == 0 {
		return nil, false
	}
	var all []int
	for name, n := range b.zoneNo {
		if name == "" || b.inSite(n) == 0 {
			continue
		}
		if all = append(all, n); b.sites.Lost(n) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names, b.sites.Alone(b.myZone, all)
}
