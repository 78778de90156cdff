package balancer

// pickState is the state of one pick.
type pickState struct {
	shortlist      [shortlistSize]candidate // by least score
	targetByKind   []candidate              // best affinity target of a key on each kind of machine
	mayPoll        bool                     // load reports may be polled before the dispatch
	offeredWarming *replicaRow              // the one warming replica that the attempt may go to
}

// candidate is a row with its score.
type candidate struct {
	row          *replicaRow
	score        float64
	cachedTokens float64 // prompt tokens expected to be cached
}

// pick chooses a replica for an attempt, nil if there is none, with the number of prompt
// tokens that are expected to be cached there; or it reports that the request is to wait
// for load reports.
func (b *Balancer) pick(now Micros, req *request) (best *replicaRow, cachedTokens float64, wait bool) {
	b.mayPoll = b.largeFleet() && len(req.attempts) == 0 && now == req.arrivedAt && req.deadline-now >= 8*pollTimeout
	b.offeredWarming = b.offerTo(now, req)
	b.scan(now, req)
	if b.pollShortlist(now, req) {
		b.breakdowns = b.breakdowns[:0]
		return nil, 0, true
	}
	if b.mayPoll {
		b.mayPoll = false // from here on the attempt goes out
		if first := b.shortlist[0].row; first != nil && b.needsConfirmation(now, first) {
			// It was accepted to be polled, and cannot be polled now.
			b.breakdowns = b.breakdowns[:0]
			b.scan(now, req)
		}
	}
	best, cachedTokens = b.shortlist[0].row, b.shortlist[0].cachedTokens
	if b.interceptor != nil {
		best, cachedTokens = b.interceptPick(req, best, cachedTokens)
	}
	return best, cachedTokens, false
}

// addToShortlist enters a candidate in the shortlist, by least score.
func (b *Balancer) addToShortlist(next candidate) {
	for i := range b.shortlist {
		if listed := b.shortlist[i]; listed.row == nil || next.score < listed.score {
			b.shortlist[i], next = next, listed
			if next.row == nil {
				return
			}
		}
	}
}

// lastResort reports whether no replica is eligible for a request. Then backoff and
// unavailable zones are ignored: a dispatch somewhere beats none.
func (b *Balancer) lastResort(now Micros, req *request) bool {
	for _, row := range b.rows {
		if b.eligible(now, row, req, false) {
			return false
		}
	}
	return true
}

// eligible reports whether an attempt of a request may go to a replica at all.
func (b *Balancer) eligible(now Micros, row *replicaRow, req *request, lastResort bool) bool {
	if row.state != EndpointReady || b.ListStale(now) || !b.mayPoll && b.needsConfirmation(now, row) { // rule 3
		return false
	}
	if !lastResort && (now < row.backoffUntil || !b.zoneEligible(now, row) || row.onTrial()) {
		return false
	}
	if !lastResort && b.healthCheckOverdue(now, row) {
		return false
	}
	for _, a := range req.attempts {
		if a.row == row && (!lastResort || !a.ended) {
			return false
		}
	}
	if len(req.attempts) > 0 && !b.idempotencyAllows(now, req, row) {
		return false
	}
	return now >= row.warmingUntil || row == b.offeredWarming // rule 4
}
