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
	r := &request{Request: in, arrivedAt: now, deadline: now + in.TimeLeft, tenantIndex: -1, avoidZone: -1}
	var ok bool
	if r.classIndex, ok = b.classIndex[in.Class]; !ok {
		r.classIndex = len(b.policies) - 1
	}
	r.policy = b.policies[r.classIndex].withPriorAttempts(in.PriorAttempts)
	if t, ok := b.tenantIndex[in.Tenant]; ok {
		r.tenantIndex = t
	}
	b.requests[in.ID] = r
	b.countArrival(r)
	// Rule 1: the answer is given two ticks before the client leaves, whatever
	// else happens; without this timer a request whose replicas all vanish is lost.
	b.sink.SetTimer(max(1, in.TimeLeft-2*b.settings.Tick), timerDeadline|uint64(in.ID)<<timerBits)
	if !b.interceptAdmit(r, b.admit(r)) {
		b.shedOrFail(r)
		return
	}
	b.dispatch(now, r)
	if !r.ended && len(r.attempts) == 0 { // it waits for reports, but not for long
		b.sink.SetTimer(pollTimeout, timerPoll|uint64(in.ID)<<timerBits)
	}
	if !r.ended {
		b.sink.SetTimer(max(1, b.latencyObjective(r)), timerObjective|uint64(in.ID)<<timerBits)
	}
}

// classOf is the class of r, as it was when r was taken on.
func (b *Balancer) classOf(r *request) *Class { return &r.policy.Class }

// latencyObjective is when the first token of r is wanted, after its arrival.
func (b *Balancer) latencyObjective(r *request) Micros {
	c := b.classOf(r)
	return c.LatencyObjective + c.ObjectivePer1000Tokens*int64(r.PromptTokens)/1000
}

// dispatch sends an attempt of r to the best replica that the rules allow, or
// ends r if there is none and nothing is out.
func (b *Balancer) dispatch(now Micros, r *request) bool {
	if r.ended || len(r.attempts) >= r.policy.maxAttempts || now >= r.deadline-2*b.settings.Tick {
		b.finishIfIdle(r)
		return false
	}
	w, kept, wait := b.pick(now, r)
	if wait {
		return false
	}
	if w == nil {
		b.finishIfIdle(r)
		return false
	}
	unread := math.Max(0, float64(r.PromptTokens)-kept)
	a := &attempt{row: w, sentAt: now, prefillTokens: unread, prefillCharge: prefillCost * unread, heldTokens: b.expectedHeldTokens(r)}
	r.attempts = append(r.attempts, a)
	r.inFlight++
	b.chargeLedger(now, w, a)
	b.sink.Dispatch(r.ID, w.id, r.deadline)
	if d := b.hedgeDelay(r, a); d > 0 {
		b.sink.SetTimer(d, timerHedge|uint64(r.ID)<<timerBits)
	}
	return true
}

// resumeWaiting takes up the requests that wait for reports: those with nothing sent.
func (b *Balancer) resumeWaiting(now Micros) {
	var ids []RequestID
	for id, r := range b.requests {
		if len(r.attempts) == 0 && !r.ended {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		// One that goes on waiting is not weighed anew: with many of them each answer would cost
		// as many scans, and an overloaded gateway fell ever further behind.
		if r := b.requests[id]; !b.awaitsReports(now, r) {
			b.dispatch(now, r)
		}
	}
}

// finishIfIdle ends r if no attempt is out.
func (b *Balancer) finishIfIdle(r *request) {
	if r.ended || r.inFlight > 0 || r.streaming {
		return
	}
	b.shedOrFail(r)
}

// shedOrFail ends r with a refusal where rule 2 allows one, else with a failure.
func (b *Balancer) shedOrFail(r *request) {
	if r.ended {
		return
	}
	if b.mayShed(r) {
		b.sink.Shed(r.ID, b.retryAfter(r))
	} else {
		b.sink.Fail(r.ID)
	}
	b.finish(r)
}

// mayShed is rule 2 for refusals: they say that a repeat is harmless.
func (b *Balancer) mayShed(r *request) bool {
	c := b.classOf(r)
	if c.Idempotency == Idempotent || (c.Idempotency == IdempotentWithKey && c.DedupScope == DedupAll) {
		return true
	}
	for _, a := range r.attempts {
		if !a.ended || !a.status.NeverRan() {
			return false
		}
	}
	return true
}

// idempotencyAllows is rule 2 for a further attempt of r on w.
func (b *Balancer) idempotencyAllows(now Micros, r *request, w *replicaRow) bool {
	c := b.classOf(r)
	for _, a := range r.attempts {
		if !a.ended && !r.policy.mayHedge {
			return false
		}
		if c.Idempotency == Idempotent || (a.ended && a.status.NeverRan()) {
			continue
		}
		if c.Idempotency == NonIdempotent || now-a.sentAt >= c.DedupWindow-2*b.settings.Tick ||
			(c.DedupScope == DedupZone && w.zone != a.row.zone) ||
			(c.DedupScope == DedupCell && w.cell != a.row.cell) {
			return false
		}
	}
	return true
}

// finish marks r as answered and calls off what is still out, except a stream
// that is the client's already.
func (b *Balancer) finish(r *request) {
	r.ended = true
	b.cancelOthers(r, nil)
	b.dropIfDone(r)
}

// cancelOthers cancels the attempts of r that are out and not begun, but for keep.
func (b *Balancer) cancelOthers(r *request, keep *attempt) {
	for i, a := range r.attempts {
		if b.settings.MayCancel && !a.ended && a.timeToFirstToken == 0 && a != keep {
			b.sink.Cancel(r.ID, i)
		}
	}
}

// dropIfDone drops an ended request once its last attempt is accounted for.
func (b *Balancer) dropIfDone(r *request) {
	if r.ended && r.inFlight == 0 {
		delete(b.requests, r.ID)
	}
}

// FirstToken tells that a stream has begun: the client has it from here on.
func (b *Balancer) FirstToken(now Micros, o Outcome) {
	r := b.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) {
		return
	}
	a := r.attempts[o.Attempt]
	if a.ended || a.timeToFirstToken > 0 {
		return
	}
	a.timeToFirstToken = max(1, o.Elapsed)
	b.releaseCharge(a.row, a, false)
	b.recordAnswer(now, a.row, Served, false)
	a.row.confirmedReadyAt = max(a.row.confirmedReadyAt, a.sentAt)
	b.learnFirstToken(now, a)
	if !r.streaming && !r.ended {
		r.streaming = true
		b.recordFirstToken(r, b.streamsTooSlow(r, a))
		b.cancelOthers(r, a)
	}
}

// AttemptEnded takes the one outcome of an attempt.
func (b *Balancer) AttemptEnded(now Micros, o Outcome) {
	r := b.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].ended {
		return
	}
	a := r.attempts[o.Attempt]
	a.ended, a.status = true, o.Status
	r.inFlight--
	b.dischargeLedger(now, a, o)
	b.applyReport(now, a.row, o.Report)
	if o.Status == Served {
		b.learnFromSuccess(r, a, o)
	}
	if o.Final {
		if !r.ended {
			if !r.streaming && o.Status == Served {
				b.recordFirstToken(r, false) // a class that is not streamed: its answer is its first token
			}
			b.cancelOthers(r, a)
		}
		r.ended = true
		b.dropIfDone(r)
		return
	}
	if r.ended || r.streaming || r.inFlight > 0 {
		b.dropIfDone(r)
		return
	}
	if o.Status == ConnectFailed {
		r.avoidZone = a.row.zone
	}
	switch {
	case o.Status == Rejected: // no worker is at fault, and none would take it
		b.sink.Fail(r.ID)
		b.finish(r)
	case o.Status != TimedOut && b.interceptRetry(r, b.takeRetry(o.Status)):
		b.dispatch(now, r)
	default:
		b.finishIfIdle(r)
	}
}

// ClientGone tells that the client of a request left; nothing is owed.
func (b *Balancer) ClientGone(now Micros, id RequestID) {
	if r := b.requests[id]; r != nil && !r.ended {
		b.finish(r)
	}
}

// TimerFired takes a timer that was set. Those of ended requests do nothing.
func (b *Balancer) TimerFired(now Micros, token uint64) {
	if token == timerTick {
		b.tick(now)
		b.sink.SetTimer(int64(tickEvery), timerTick)
		return
	}
	r := b.requests[RequestID(token>>timerBits)]
	if r == nil || r.ended || r.streaming {
		return
	}
	switch token & (1<<timerBits - 1 | timerPoll) {
	case timerPoll:
		if len(r.attempts) == 0 {
			b.recordSilence(now, r)
			b.dispatch(now, r)
		}
	case timerDeadline:
		b.shedOrFail(r)
	case timerHedge:
		b.hedge(now, r)
	case timerObjective:
		r.late = true
		b.recordLateness(1)
		b.recordOverdue(now, r)
	}
}

// hedgeDelay is how long an attempt may go without a first token before a
// second copy is considered; 0: never.
func (b *Balancer) hedgeDelay(r *request, a *attempt) Micros {
	if !b.mayHedge(r) {
		return 0
	}
	// Long past what is usual for so many tokens, and late enough in the aim
	// that waiting is likely to lose the worth.
	return max(int64(3*b.firstTokenFit.predict(a.prefillTokens)), b.latencyObjective(r)/2)
}

// mayHedge tells whether r's class and settings let a copy run beside an attempt.
func (b *Balancer) mayHedge(r *request) bool {
	c := b.classOf(r)
	return r.policy.mayHedge && c.Idempotency == Idempotent && c.Streaming && len(r.attempts) < r.policy.maxAttempts
}

// hedge sends a second copy of r if the budget for them allows.
func (b *Balancer) hedge(now Micros, r *request) {
	if r.hedged || r.inFlight != 1 {
		return
	}
	for _, a := range r.attempts {
		if !a.ended { // what has not come yet is at least so slow
			b.recordSlowness(now, a.row, float64(now-a.sentAt)/math.Max(1, b.firstTokenFit.predict(a.prefillTokens)))
		}
	}
	if !b.interceptRetry(r, b.hedgeBudget >= 1) {
		return
	}
	r.hedged = true
	if b.dispatch(now, r) {
		b.hedgeBudget--
	}
}
