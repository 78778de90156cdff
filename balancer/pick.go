package balancer

// pickState holds the working data of one pick.
type pickState struct {
	shortlist      [shortlistSize]candidate // in ascending order of score
	targetByKind   []candidate              // best affinity target of a key, by kindIndex
	mayPoll        bool                     // load reports may be polled before the dispatch
	offeredWarming *replicaRow              // the only warming replica that is eligible; nil: none
}

// candidate is a row with its score.
type candidate struct {
	row          *replicaRow
	score        float64
	cachedTokens float64 // prompt tokens expected to be cached
}

// pick chooses the replica for an attempt, nil if none is eligible, and returns the number
// of prompt tokens expected to be cached there. wait reports instead that the request must
// wait for polled load reports.
func (b *Balancer) pick(now Micros, req *request) (best *replicaRow, cachedTokens float64, wait bool) {
	b.mayPoll = b.largeFleet() && len(req.attempts) == 0 && now == req.arrivedAt && req.deadline-now >= 8*pollTimeout
	b.offeredWarming = b.warmingReplicaFor(now, req)
	b.scan(now, req)
	if b.pollShortlist(now, req) {
		b.breakdowns = b.breakdowns[:0]
		return nil, 0, true
	}
	if b.mayPoll {
		b.mayPoll = false // the attempt is dispatched without a poll
		if first := b.shortlist[0].row; first != nil && b.needsConfirmation(now, first) {
			// The replica was eligible only to be polled, and it was not polled.
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

// addToShortlist inserts a candidate in order of score and drops the last one if the
// shortlist is full.
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

// lastResort reports whether no replica is eligible for a request. In that case backoff,
// trials, unavailable zones and overdue health checks are ignored, because any dispatch is
// better than none.
func (b *Balancer) lastResort(now Micros, req *request) bool {
	for _, row := range b.rows {
		if b.eligible(now, row, req, false) {
			return false
		}
	}
	return true
}

// eligible reports whether an attempt of a request may be sent to a replica.
func (b *Balancer) eligible(now Micros, row *replicaRow, req *request, lastResort bool) bool {
	// A replica that is draining or removed from the endpoint list gets no new attempt.
	if row.state != EndpointReady || now >= b.entryValidUntil(row) || !b.mayPoll && b.needsConfirmation(now, row) {
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
	return now >= row.warmingUntil || row == b.offeredWarming // limits the load on warming replicas
}
