package balancer

import (
	"math"
	"slices"
)

// requestPolicy are the settings under which a request was accepted. They apply until
// the request ends, also after a Reconfigure.
type requestPolicy struct {
	Class
	maxAttempts int
	mayHedge    bool
}

// withPriorAttempts returns the policy for a request of which another gateway has made
// some attempts.
func (p *requestPolicy) withPriorAttempts(attempts int) *requestPolicy {
	if attempts <= 0 {
		return p
	}
	remaining := *p
	remaining.maxAttempts = max(0, p.maxAttempts-attempts)
	return &remaining
}

// request is the state of a request from its arrival until its last attempt has ended.
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
	ended       bool // answered or abandoned: no further attempt is sent
	hedged      bool
	late        bool // its latency objective has passed without a first token
	avoidZone   int  // zone in which a connect failed; -1: none

	polled       []ReplicaID // replicas whose load reports it waits for before its first attempt
	warmingDrawn bool        // the draw of a warming replica for its first attempt has taken place
	drawnWarming ReplicaID   // the warming replica that was drawn; 0: none
}

// attempt is one dispatch of a request. It is an entry of a row's ledger until it ends.
type attempt struct {
	row              *replicaRow
	sentAt           Micros
	prefillTokens    float64 // prompt tokens expected not to be in the replica's cache
	prefillCharge    float64 // charged to the ledger until the first token
	heldTokens       float64 // expected in the replica's memory; charged until the end
	status           Status
	ended            bool
	newConn          bool   // required a new connection
	timeToFirstToken Micros // 0: no first token yet
}

// RequestArrived handles the arrival of a request. Exactly one final answer follows,
// possibly within this call. A request whose ID is in flight is ignored.
func (b *Balancer) RequestArrived(now Micros, in Request) {
	if b.requests[in.ID] != nil {
		return // a second answer to the same ID would violate rule 1
	}
	req := b.newRequest(now, in)
	b.requests[in.ID] = req
	b.countArrival(req)
	// The request is answered two ticks before its client's deadline at the latest. Without
	// this timer a request whose replicas all disappear would get no answer.
	b.sink.SetTimer(max(1, in.TimeLeft-2*b.settings.Tick), timerToken(timerDeadline, in.ID))
	if !b.interceptAdmit(req, b.admit(req)) {
		b.shedOrFail(req)
		return
	}
	b.dispatch(now, req)
	if !req.ended && len(req.attempts) == 0 { // limit its wait for load reports
		b.sink.SetTimer(pollTimeout, timerToken(timerPoll, in.ID))
	}
	if !req.ended {
		b.sink.SetTimer(max(1, b.latencyObjective(req)), timerToken(timerObjective, in.ID))
	}
}

// newRequest returns the state of a request that has arrived, with its class and tenant looked up.
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

// classOf returns the class of a request as configured when the request arrived.
func (b *Balancer) classOf(req *request) *Class { return &req.policy.Class }

// latencyObjective returns the time from arrival to first token that a request's class
// sets as its objective.
func (b *Balancer) latencyObjective(req *request) Micros {
	class := b.classOf(req)
	return class.LatencyObjective + class.ObjectivePer1000Tokens*int64(req.PromptTokens)/1000
}

// dispatch sends an attempt of a request to the best eligible replica, and reports whether
// it did. If there is none and no attempt is in flight, the request ends.
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

// resumeWaiting dispatches the requests whose wait for load reports is over.
func (b *Balancer) resumeWaiting(now Micros) {
	var ids []RequestID
	for id, req := range b.requests {
		if len(req.attempts) == 0 && !req.ended {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		// Requests that still wait are not scored again: each answer would cost one scan per
		// waiting request, and an overloaded gateway would fall further behind.
		if req := b.requests[id]; !b.awaitsReports(now, req) {
			b.dispatch(now, req)
		}
	}
}

// finishIfIdle ends a request that has no attempt in flight and does not stream.
func (b *Balancer) finishIfIdle(req *request) {
	if req.ended || req.inFlight > 0 || req.streaming {
		return
	}
	b.shedOrFail(req)
}

// shedOrFail ends a request with an overload reply if its idempotency allows one, else with an error.
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

// mayShed reports whether a request may get an overload reply. Such a reply states that a
// repeat is harmless, so no attempt may have had an effect that a repeat would duplicate.
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

// idempotencyAllows reports whether a replica may get a further attempt of a request: the
// request cannot take effect twice, and no attempt is in flight unless hedges are allowed.
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

// finish marks a request as ended and cancels its attempts in flight that have no first
// token.
func (b *Balancer) finish(req *request) {
	req.ended = true
	b.cancelOthers(req, nil)
	b.dropIfDone(req)
}

// cancelOthers cancels the attempts of a request that are in flight without a first
// token, other than except. It does nothing if the settings do not allow cancellation.
func (b *Balancer) cancelOthers(req *request, except *attempt) {
	for i, a := range req.attempts {
		if b.settings.MayCancel && !a.ended && a.timeToFirstToken == 0 && a != except {
			b.sink.Cancel(req.ID, i)
		}
	}
}

// dropIfDone removes a request that has ended and has no attempt in flight.
func (b *Balancer) dropIfDone(req *request) {
	if req.ended && req.inFlight == 0 {
		delete(b.requests, req.ID)
	}
}

// attemptOf returns the request and the attempt of an outcome, nil if the request or the
// attempt is unknown or the attempt has ended.
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

// FirstToken handles the first token of an attempt. The first such attempt streams to the
// client, and the others are cancelled. Unknown and ended attempts are ignored.
func (b *Balancer) FirstToken(now Micros, outcome Outcome) {
	req, a := b.attemptOf(outcome)
	if a == nil || a.timeToFirstToken > 0 {
		return
	}
	a.timeToFirstToken = max(1, outcome.Elapsed)
	b.recordAccepted(a)
	b.releasePrefill(a)
	b.recordAnswer(now, a.row, Served, false)
	b.learnFirstToken(now, a)
	if !req.streaming && !req.ended {
		req.streaming = true
		b.recordFirstToken(req, b.streamsTooSlow(req, a))
		b.cancelOthers(req, a)
	}
}

// AttemptEnded handles the end of an attempt. It must be called exactly once for each
// dispatch; unknown and ended attempts are ignored.
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
		b.recordAccepted(a)
		b.learnFromSuccess(req, a, outcome)
	}
	switch {
	case outcome.Final:
		b.finishAnswered(req, a)
	case req.ended || req.streaming || req.inFlight > 0:
		b.dropIfDone(req)
	default:
		b.retryOrFinish(now, req, a)
	}
}

// finishAnswered ends a request whose client has its answer, from attempt a or an earlier one.
func (b *Balancer) finishAnswered(req *request, a *attempt) {
	if !req.ended {
		if !req.streaming && a.status == Served {
			b.recordFirstToken(req, false) // without streaming the answer counts as the first token
		}
		b.cancelOthers(req, a)
	}
	req.ended = true
	b.dropIfDone(req)
}

// retryOrFinish retries or ends a request whose last attempt in flight, a, has ended
// without an answer.
func (b *Balancer) retryOrFinish(now Micros, req *request, a *attempt) {
	if a.status == ConnectFailed {
		req.avoidZone = a.row.zone
	}
	switch {
	case a.status == Rejected: // the request is invalid at every replica
		b.sink.Fail(req.ID)
		b.finish(req)
	case a.status != TimedOut && b.interceptRetry(req, b.takeRetry(a.status)):
		b.dispatch(now, req)
	default:
		b.finishIfIdle(req)
	}
}

// ClientGone handles the disconnection of a client. Its request ends without an answer, and
// its attempts that have no first token yet are cancelled.
func (b *Balancer) ClientGone(now Micros, id RequestID) {
	if req := b.requests[id]; req != nil && !req.ended {
		b.finish(req)
	}
}
