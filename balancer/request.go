// Package choice decides where a gateway sends its requests.
//
// Its interface (Settings, events, actions) stands in api.go. This file holds
// the life of requests and attempts; table.go the report rows, the ledger of
// own dispatches, the prediction and the pick; guard.go health, cold starts,
// refusals and the server list.
//
// The mechanism is the enhanced table-based service-location manager of Roy
// et al., "A System Architecture for Managing Mobile Streaming Media
// Services": dated load reports, corrected by the budgets of the gateway's
// own recent dispatches, and a full scan for the least predicted load.
package balancer

import (
	"errors"
	"math"
	"slices"
)

// Balancer makes the decisions of one gateway. It is single-threaded,
// deterministic and reads no clock: each event brings its time.
type Balancer struct {
	settings    Settings
	sink        Sink
	rng         uint64
	seed        uint64
	classIndex  map[string]int
	tenantIndex map[string]int
	policies    []*requestPolicy // by class; the last are for classes on no list

	requests      map[RequestID]*request
	stats         []classStats     // by class
	firstTokenFit linearFit        // first-token time over unread prompt tokens
	interceptor   Interceptor      // nil in service
	breakdowns    []ScoreBreakdown // for the judge

	loadTable
	guard
}

// Timer tokens: the low bits tell the purpose, the rest names the request.
const (
	timerTick uint64 = iota
	timerDeadline
	timerHedge
	timerObjective
	timerBits = 2
	// timerPoll, above the name, ends a request's wait for reports. The wire of the
	// simulator has tokens below 1<<63.
	timerPoll uint64 = 1 << 62
)

// learnRate is the weight of a new sample in slow averages (about 30 samples).
const learnRate = 1.0 / 32

// New returns a Balancer for the settings, or tells why they cannot be served.
func New(s Settings, seed uint64, out Sink) (*Balancer, error) {
	if out == nil {
		return nil, errors.New("balancer: no sink")
	}
	if err := s.validate(); err != nil {
		return nil, err
	}
	b := &Balancer{settings: s, sink: out, seed: seed, rng: splitmix(seed) | 1,
		classIndex: map[string]int{}, tenantIndex: map[string]int{},
		requests: map[RequestID]*request{}, stats: make([]classStats, len(s.Classes)+1)}
	b.setPolicies()
	b.initTable()
	b.initGuard()
	return b, nil
}

// Start is called once, before all other events.
func (b *Balancer) Start(now Micros) {
	b.lastTickAt, b.lastHeardAt = now, now
	if b.settings.PollDiscovery {
		b.nextPollAt = now + b.pollSpread()*int64(b.settings.Self)/int64(b.settings.Gateways) // each in its turn
		if b.nextPollAt == now {
			b.watch(now)
		}
	}
	b.sink.SetTimer(1+int64(b.random()*float64(tickEvery)), timerTick)
}

// RequestArrived takes a request on: from here it is owed one final answer.
func (b *Balancer) RequestArrived(now Micros, in Request) {
	if b.requests[in.ID] != nil {
		return // ids never repeat; a second arrival is not ours to answer twice
	}
	req := &request{Request: in, arrivedAt: now, deadline: now + in.TimeLeft, tenantIndex: -1, avoidZone: -1}
	var ok bool
	if req.classIndex, ok = b.classIndex[in.Class]; !ok {
		req.classIndex = len(b.policies) - 1
	}
	req.policy = b.policies[req.classIndex].withPriorAttempts(in.PriorAttempts)
	if t, ok := b.tenantIndex[in.Tenant]; ok {
		req.tenantIndex = t
	}
	b.requests[in.ID] = req
	b.countArrival(req)
	// Rule 1: the answer is given two ticks before the client leaves, whatever
	// else happens; without this timer a request whose replicas all vanish is lost.
	b.sink.SetTimer(max(1, in.TimeLeft-2*b.settings.Tick), timerDeadline|uint64(in.ID)<<timerBits)
	if !b.interceptAdmit(req, b.admit(req)) {
		b.shedOrFail(req)
		return
	}
	b.dispatch(now, req)
	if !req.ended && len(req.attempts) == 0 { // it waits for reports, but not for long
		b.sink.SetTimer(pollTimeout, timerPoll|uint64(in.ID)<<timerBits)
	}
	if !req.ended {
		b.sink.SetTimer(max(1, b.latencyObjective(req)), timerObjective|uint64(in.ID)<<timerBits)
	}
}

// classOf is the class of r, as it was when r was taken on.
func (b *Balancer) classOf(req *request) *Class { return &req.policy.Class }

// latencyObjective is when the first token of r is wanted, after its arrival.
func (b *Balancer) latencyObjective(req *request) Micros {
	class := b.classOf(req)
	return class.LatencyObjective + class.ObjectivePer1000Tokens*int64(req.PromptTokens)/1000
}

// dispatch sends an attempt of r to the best replica that the rules allow, or
// ends r if there is none and nothing is out.
func (b *Balancer) dispatch(now Micros, req *request) bool {
	if req.ended || len(req.attempts) >= req.policy.maxAttempts || now >= req.deadline-2*b.settings.Tick {
		b.finishIfIdle(req)
		return false
	}
	row, kept, wait := b.pick(now, req)
	if wait {
		return false
	}
	if row == nil {
		b.finishIfIdle(req)
		return false
	}
	unread := math.Max(0, float64(req.PromptTokens)-kept)
	a := &attempt{row: row, sentAt: now, prefillTokens: unread, prefillCharge: prefillCost * unread, heldTokens: b.expectedHeldTokens(req)}
	req.attempts = append(req.attempts, a)
	req.inFlight++
	b.chargeLedger(now, row, a)
	b.sink.Dispatch(req.ID, row.id, req.deadline)
	if d := b.hedgeDelay(req, a); d > 0 {
		b.sink.SetTimer(d, timerHedge|uint64(req.ID)<<timerBits)
	}
	return true
}

// resumeWaiting takes up the requests that wait for reports: those with nothing sent.
func (b *Balancer) resumeWaiting(now Micros) {
	var ids []RequestID
	for id, req := range b.requests {
		if len(req.attempts) == 0 && !req.ended {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		// One that goes on waiting is not weighed anew: with many of them each answer would cost
		// as many scans, and an overloaded gateway fell ever further behind.
		if req := b.requests[id]; !b.awaitsReports(now, req) {
			b.dispatch(now, req)
		}
	}
}

// finishIfIdle ends r if no attempt is out.
func (b *Balancer) finishIfIdle(req *request) {
	if req.ended || req.inFlight > 0 || req.streaming {
		return
	}
	b.shedOrFail(req)
}

// shedOrFail ends r with a refusal where rule 2 allows one, else with a failure.
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

// mayShed is rule 2 for refusals: they say that a repeat is harmless.
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

// idempotencyAllows is rule 2 for a further attempt of r on w.
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

// finish marks r as answered and calls off what is still out, except a stream
// that is the client's already.
func (b *Balancer) finish(req *request) {
	req.ended = true
	b.cancelOthers(req, nil)
	b.dropIfDone(req)
}

// cancelOthers cancels the attempts of r that are out and not begun, but for keep.
func (b *Balancer) cancelOthers(req *request, keep *attempt) {
	for i, a := range req.attempts {
		if b.settings.MayCancel && !a.ended && a.timeToFirstToken == 0 && a != keep {
			b.sink.Cancel(req.ID, i)
		}
	}
}

// dropIfDone drops an ended request once its last attempt is accounted for.
func (b *Balancer) dropIfDone(req *request) {
	if req.ended && req.inFlight == 0 {
		delete(b.requests, req.ID)
	}
}

// FirstToken tells that a stream has begun: the client has it from here on.
func (b *Balancer) FirstToken(now Micros, outcome Outcome) {
	req := b.requests[outcome.ID]
	if req == nil || outcome.Attempt < 0 || outcome.Attempt >= len(req.attempts) {
		return
	}
	a := req.attempts[outcome.Attempt]
	if a.ended || a.timeToFirstToken > 0 {
		return
	}
	a.timeToFirstToken = max(1, outcome.Elapsed)
	b.releaseCharge(a.row, a, false)
	b.recordAnswer(now, a.row, Served, false)
	a.row.confirmedReadyAt = max(a.row.confirmedReadyAt, a.sentAt)
	b.learnFirstToken(now, a)
	if !req.streaming && !req.ended {
		req.streaming = true
		b.recordFirstToken(req, b.streamsTooSlow(req, a))
		b.cancelOthers(req, a)
	}
}

// AttemptEnded takes the one outcome of an attempt.
func (b *Balancer) AttemptEnded(now Micros, outcome Outcome) {
	req := b.requests[outcome.ID]
	if req == nil || outcome.Attempt < 0 || outcome.Attempt >= len(req.attempts) || req.attempts[outcome.Attempt].ended {
		return
	}
	a := req.attempts[outcome.Attempt]
	a.ended, a.status = true, outcome.Status
	req.inFlight--
	b.dischargeLedger(now, a, outcome)
	b.applyReport(now, a.row, outcome.Report)
	if outcome.Status == Served {
		b.learnFromSuccess(req, a, outcome)
	}
	if outcome.Final {
		if !req.ended {
			if !req.streaming && outcome.Status == Served {
				b.recordFirstToken(req, false) // a class that is not streamed: its answer is its first token
			}
			b.cancelOthers(req, a)
		}
		req.ended = true
		b.dropIfDone(req)
		return
	}
	if req.ended || req.streaming || req.inFlight > 0 {
		b.dropIfDone(req)
		return
	}
	if outcome.Status == ConnectFailed {
		req.avoidZone = a.row.zone
	}
	switch {
	case outcome.Status == Rejected: // no worker is at fault, and none would take it
		b.sink.Fail(req.ID)
		b.finish(req)
	case outcome.Status != TimedOut && b.interceptRetry(req, b.takeRetry(outcome.Status)):
		b.dispatch(now, req)
	default:
		b.finishIfIdle(req)
	}
}

// ClientGone tells that the client of a request left; nothing is owed.
func (b *Balancer) ClientGone(now Micros, id RequestID) {
	if req := b.requests[id]; req != nil && !req.ended {
		b.finish(req)
	}
}

// TimerFired takes a timer that was set. Those of ended requests do nothing.
func (b *Balancer) TimerFired(now Micros, token uint64) {
	if token == timerTick {
		b.tick(now)
		b.sink.SetTimer(int64(tickEvery), timerTick)
		return
	}
	req := b.requests[RequestID(token>>timerBits)]
	if req == nil || req.ended || req.streaming {
		return
	}
	switch token & (1<<timerBits - 1 | timerPoll) {
	case timerPoll:
		if len(req.attempts) == 0 {
			b.recordSilence(now, req)
			b.dispatch(now, req)
		}
	case timerDeadline:
		b.shedOrFail(req)
	case timerHedge:
		b.hedge(now, req)
	case timerObjective:
		req.late = true
		b.recordLateness(1)
		b.recordOverdue(now, req)
	}
}

// hedgeDelay is how long an attempt may go without a first token before a
// second copy is considered; 0: never.
func (b *Balancer) hedgeDelay(req *request, a *attempt) Micros {
	if !b.mayHedge(req) {
		return 0
	}
	// Long past what is usual for so many tokens, and late enough in the aim
	// that waiting is likely to lose the worth.
	return max(int64(3*b.firstTokenFit.predict(a.prefillTokens)), b.latencyObjective(req)/2)
}

// mayHedge tells whether r's class and settings let a copy run beside an attempt.
func (b *Balancer) mayHedge(req *request) bool {
	class := b.classOf(req)
	return req.policy.mayHedge && class.Idempotency == Idempotent && class.Streaming && len(req.attempts) < req.policy.maxAttempts
}

// hedge sends a second copy of r if the budget for them allows.
func (b *Balancer) hedge(now Micros, req *request) {
	if req.hedged || req.inFlight != 1 {
		return
	}
	for _, a := range req.attempts {
		if !a.ended { // what has not come yet is at least so slow
			b.recordSlowness(now, a.row, float64(now-a.sentAt)/math.Max(1, b.firstTokenFit.predict(a.prefillTokens)))
		}
	}
	if !b.interceptRetry(req, b.hedgeBudget >= 1) {
		return
	}
	req.hedged = true
	if b.dispatch(now, req) {
		b.hedgeBudget--
	}
}
