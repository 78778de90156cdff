package balancer

import (
	"math"
	"slices"
)

// requestPolicy is what a request was accepted under. It holds for the request to
// its end, also after a Reconfigure.
type requestPolicy struct {
	Class
	maxAttempts int
	mayHedge    bool
}

// withPriorAttempts is the policy for a request of which another gateway has made
// some attempts.
func (p *requestPolicy) withPriorAttempts(attempts int) *requestPolicy {
	if attempts <= 0 {
		return p
	}
	remaining := *p
	remaining.maxAttempts = max(0, p.maxAttempts-attempts)
	return &remaining
}

// request is a request from its arrival until its last attempt has ended.
type request struct {
	Request
	policy      *requestPolicy
	classIndex  int
	tenantIndex int // -1: none
	arrivedAt   Micros
	deadline    Micros
	attempts    []*attempt
	inFlight    int  // attempts that have not ended
	streaming   bool // the first token has gone to the client
	ended       bool // it has its final answer: nothing more is sent for it
	hedged      bool
	late        bool // its latency objective has passed without a first token
	avoidZone   int  // zone of a failed connect; -1: none

	polled       []ReplicaID // whose load reports it waits for before its first attempt
	warmingDrawn bool        // a warming replica was drawn for its first attempt
	drawnWarming ReplicaID   // the one that was drawn; 0: none
}

// attempt is one dispatch of a request: an entry of a row's ledger until it ends.
type attempt struct {
	row              *replicaRow
	sentAt           Micros
	prefillTokens    float64 // prompt tokens expected not to be in the replica's cache
	prefillCharge    float64 // charged until the first token
	heldTokens       float64 // charged until the end
	status           Status
	ended            bool
	newConn          bool   // it needed a new connection
	timeToFirstToken Micros // 0: no first token yet
}

// RequestArrived accepts a request: from here it is owed one final answer.
func (b *Balancer) RequestArrived(now Micros, in Request) {
	if b.requests[in.ID] != nil {
		return // IDs never repeat; a second arrival is not ours to answer twice
	}
	req := b.newRequest(now, in)
	b.requests[in.ID] = req
	b.countArrival(req)
	// Rule 1: the answer is given two ticks before the client leaves, whatever
	// else happens; without this timer a request whose replicas all vanish is lost.
	b.sink.SetTimer(max(1, in.TimeLeft-2*b.settings.Tick), timerToken(timerDeadline, in.ID))
	if !b.interceptAdmit(req, b.admit(req)) {
		b.shedOrFail(req)
		return
	}
	b.dispatch(now, req)
	if !req.ended && len(req.attempts) == 0 { // it waits for load reports, but not for long
		b.sink.SetTimer(pollTimeout, timerToken(timerPoll, in.ID))
	}
	if !req.ended {
		b.sink.SetTimer(max(1, b.latencyObjective(req)), timerToken(timerObjective, in.ID))
	}
}

// newRequest resolves the names in a request that has arrived.
func (b *Balancer) newRequest(now Micros, in Request) *request {
	req := &request{
		Request:     in,
		arrivedAt:   now,
		deadline:    now + in.TimeLeft,
		classIndex:  indexOr(b.classIndex, in.Class, len(b.policies)-1),
		tenantIndex: indexOr(b.tenantIndex, in.Tenant, -1),
		avoidZone:   -1,
	}
	req.policy = b.policies[req.classIndex].withPriorAttempts(in.PriorAttempts)
	return req
}

// classOf is the class of a request, as it was at the request's arrival.
func (b *Balancer) classOf(req *request) *Class { return &req.policy.Class }

// latencyObjective is the time from a request's arrival to its first token that its
// class asks for.
func (b *Balancer) latencyObjective(req *request) Micros {
	class := b.classOf(req)
	return class.LatencyObjective + class.ObjectivePer1000Tokens*int64(req.PromptTokens)/1000
}

// dispatch sends an attempt of a request to the best replica that the rules allow, and
// reports whether it did. If there is none and no attempt is in flight, the request ends.
func (b *Balancer) dispatch(now Micros, req *request) bool {
	if req.ended || len(req.attempts) >= req.policy.maxAttempts || now >= req.deadline-2*b.settings.Tick {
		b.finishIfIdle(req)
		return false
	}
	row, cachedTokens, wait := b.pick(now, req)
	if wait {
		return false
	}
	if row == nil {
		b.finishIfIdle(req)
		return false
	}
	prefillTokens := math.Max(0, float64(req.PromptTokens)-cachedTokens)
	a := &attempt{
		row:           row,
		sentAt:        now,
		prefillTokens: prefillTokens,
		prefillCharge: prefillCost * prefillTokens,
		heldTokens:    b.expectedHeldTokens(req),
	}
	req.attempts = append(req.attempts, a)
	req.inFlight++
	b.chargeLedger(now, row, a)
	b.sink.Dispatch(req.ID, row.id, req.deadline)
	if delay := b.hedgeDelay(req, a); delay > 0 {
		b.sink.SetTimer(delay, timerToken(timerHedge, req.ID))
	}
	return true
}

// resumeWaiting dispatches the requests that wait for load reports and need not wait longer.
func (b *Balancer) resumeWaiting(now Micros) {
	var ids []RequestID
	for id, req := range b.requests {
		if len(req.attempts) == 0 && !req.ended {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		// One that still waits is not scored again: with many of them each answer would
		// cost as many scans, and an overloaded gateway fell ever further behind.
		if req := b.requests[id]; !b.awaitsReports(now, req) {
			b.dispatch(now, req)
		}
	}
}

// finishIfIdle ends a request that has no attempt in flight.
func (b *Balancer) finishIfIdle(req *request) {
	if req.ended || req.inFlight > 0 || req.streaming {
		return
	}
	b.shedOrFail(req)
}

// shedOrFail ends a request with an overload reply if rule 2 allows one, else with a failure.
func (b *Balancer) shedOrFail(req *request) {
	if req.ended {
		return
	}
	if b.mayShed(req) {
		b.sink.Shed(req.ID, b.retryAfter(req))
	} else {
		b.sink.Fail(req.ID)
	}
	b.finish(req)
}

// mayShed applies rule 2 to overload replies: they tell the client that a repeat is harmless.
func (b *Balancer) mayShed(req *request) bool {
	class := b.classOf(req)
	if class.Idempotency == Idempotent || (class.Idempotency == IdempotentWithKey && class.DedupScope == DedupAll) {
		return true
	}
	for _, a := range req.attempts {
		if !a.ended || !a.status.NeverRan() {
			return false
		}
	}
	return true
}

// idempotencyAllows applies rule 2 to a further attempt of a request at a replica.
func (b *Balancer) idempotencyAllows(now Micros, req *request, row *replicaRow) bool {
	class := b.classOf(req)
	for _, a := range req.attempts {
		if !a.ended && !req.policy.mayHedge {
			return false
		}
		if class.Idempotency == Idempotent || (a.ended && a.status.NeverRan()) {
			continue
		}
		if class.Idempotency == NonIdempotent || now-a.sentAt >= class.DedupWindow-2*b.settings.Tick ||
			(class.DedupScope == DedupZone && row.zone != a.row.zone) ||
			(class.DedupScope == DedupCell && row.cell != a.row.cell) {
			return false
		}
	}
	return true
}

// finish marks a request as answered and cancels its attempts in flight, except one
// that streams to the client.
func (b *Balancer) finish(req *request) {
	req.ended = true
	b.cancelOthers(req, nil)
	b.dropIfDone(req)
}

// cancelOthers cancels the attempts of a request that are in flight without a first
// token, except keep.
func (b *Balancer) cancelOthers(req *request, keep *attempt) {
	for i, a := range req.attempts {
		if b.settings.MayCancel && !a.ended && a.timeToFirstToken == 0 && a != keep {
			b.sink.Cancel(req.ID, i)
		}
	}
}

// dropIfDone forgets a request that has its answer once its last attempt has ended.
func (b *Balancer) dropIfDone(req *request) {
	if req.ended && req.inFlight == 0 {
		delete(b.requests, req.ID)
	}
}

// attemptOf finds the request and the attempt that an outcome is about, nil if there
// is none or the attempt has ended.
func (b *Balancer) attemptOf(outcome Outcome) (*request, *attempt) {
	req := b.requests[outcome.ID]
	if req == nil || outcome.Attempt < 0 || outcome.Attempt >= len(req.attempts) {
		return nil, nil
	}
	a := req.attempts[outcome.Attempt]
	if a.ended {
		return nil, nil
	}
	return req, a
}

// FirstToken handles the first token of an attempt: the stream belongs to the client
// from here on.
func (b *Balancer) FirstToken(now Micros, outcome Outcome) {
	req, a := b.attemptOf(outcome)
	if a == nil || a.timeToFirstToken > 0 {
		return
	}
	a.timeToFirstToken = max(1, outcome.Elapsed)
	b.releasePrefill(a)
	b.recordAnswer(now, a.row, Served, false)
	b.learnFirstToken(now, a)
	if !req.streaming && !req.ended {
		req.streaming = true
		b.recordFirstToken(req, b.streamsTooSlow(req, a))
		b.cancelOthers(req, a)
	}
}

// AttemptEnded handles the end of an attempt, of which there is exactly one.
func (b *Balancer) AttemptEnded(now Micros, outcome Outcome) {
	req, a := b.attemptOf(outcome)
	if a == nil {
		return
	}
	a.ended, a.status = true, outcome.Status
	req.inFlight--
	b.closeLedgerEntry(now, a, outcome.Status)
	b.applyReport(now, a.row, outcome.Report)
	if outcome.Status == Served {
		b.learnFromSuccess(req, a, outcome)
	}
	switch {
	case outcome.Final:
		b.finishFinal(req, a)
	case req.ended || req.streaming || req.inFlight > 0:
		b.dropIfDone(req)
	default:
		b.retryOrFinish(now, req, a)
	}
}

// finishFinal ends a request whose client has its answer, by attempt a or before.
func (b *Balancer) finishFinal(req *request, a *attempt) {
	if !req.ended {
		if !req.streaming && a.status == Served {
			b.recordFirstToken(req, false) // a class that does not stream: its answer is its first token
		}
		b.cancelOthers(req, a)
	}
	req.ended = true
	b.dropIfDone(req)
}

// retryOrFinish goes on with a request whose last attempt in flight, a, has ended
// without an answer.
func (b *Balancer) retryOrFinish(now Micros, req *request, a *attempt) {
	if a.status == ConnectFailed {
		req.avoidZone = a.row.zone
	}
	switch {
	case a.status == Rejected: // not the replica's fault, and none would accept it
		b.sink.Fail(req.ID)
		b.finish(req)
	case a.status != TimedOut && b.interceptRetry(req, b.takeRetry(a.status)):
		b.dispatch(now, req)
	default:
		b.finishIfIdle(req)
	}
}

// ClientGone handles a client that has left: its request is owed no answer.
func (b *Balancer) ClientGone(now Micros, id RequestID) {
	if req := b.requests[id]; req != nil && !req.ended {
		b.finish(req)
	}
}
