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
package choice

import (
	"errors"
	"math"
	"slices"
)

// Balancer makes the decisions of one gateway. It is single-threaded,
// deterministic and reads no clock: each event brings its time.
type Balancer struct {
	s     Settings
	out   Sink
	rng   uint64
	seed  uint64
	class map[string]int
	ten   map[string]int
	terms []*terms // by class; the last are for classes on no list

	requests map[RequestID]*request
	stats    []classStats // by class
	firstFit linearFit    // first-token time over unread prompt tokens
	judge    Judge        // nil in service
	weighed  []Terms      // for the judge

	table
	guard
}

// Timer tokens: the low bits tell the purpose, the rest names the request.
const (
	timerTick uint64 = iota
	timerDeadline
	timerHedge
	timerAim
	timerBits = 2
	// timerAsked, above the name, ends a request's wait for reports. The wire of the
	// simulator has tokens below 1<<63.
	timerAsked uint64 = 1 << 62
)

// learnRate is the weight of a new sample in slow averages (about 30 samples).
const learnRate = 1.0 / 32

// New returns a Balancer for the settings, or tells why they cannot be served.
func New(s Settings, seed uint64, out Sink) (*Balancer, error) {
	if out == nil {
		return nil, errors.New("choice: no sink")
	}
	if err := s.check(); err != nil {
		return nil, err
	}
	b := &Balancer{s: s, out: out, seed: seed, rng: mix(seed) | 1,
		class: map[string]int{}, ten: map[string]int{},
		requests: map[RequestID]*request{}, stats: make([]classStats, len(s.Classes)+1)}
	b.setTerms()
	b.initTable()
	b.initGuard()
	return b, nil
}

// Start is called once, before all other events.
func (b *Balancer) Start(now Micros) {
	b.lastTick, b.toldAt = now, now
	if b.s.AskRegistry {
		b.askAt = now + b.askSpread()*int64(b.s.Self)/int64(b.s.Gateways) // each in its turn
		if b.askAt == now {
			b.watch(now)
		}
	}
	b.out.SetTimer(1+int64(b.random()*float64(tickEvery)), timerTick)
}

// RequestArrived takes a request on: from here it is owed one final answer.
func (b *Balancer) RequestArrived(now Micros, in Request) {
	if b.requests[in.ID] != nil {
		return // ids never repeat; a second arrival is not ours to answer twice
	}
	r := &request{Request: in, arrived: now, deadline: now + in.TimeLeft, tenant: -1, avoidZone: -1}
	var ok bool
	if r.class, ok = b.class[in.Class]; !ok {
		r.class = len(b.terms) - 1
	}
	r.terms = b.terms[r.class].less(in.Spent)
	if t, ok := b.ten[in.Tenant]; ok {
		r.tenant = t
	}
	b.requests[in.ID] = r
	b.noteArrival(r)
	// Rule 1: the answer is given two ticks before the client leaves, whatever
	// else happens; without this timer a request whose replicas all vanish is lost.
	b.out.SetTimer(max(1, in.TimeLeft-2*b.s.Tick), timerDeadline|uint64(in.ID)<<timerBits)
	if !b.judgedAdmit(r, b.admit(r)) {
		b.refuse(r)
		return
	}
	b.dispatch(now, r)
	if !r.ended && len(r.attempts) == 0 { // it waits for reports, but not for long
		b.out.SetTimer(askWait, timerAsked|uint64(in.ID)<<timerBits)
	}
	if !r.ended {
		b.out.SetTimer(max(1, b.aim(r)), timerAim|uint64(in.ID)<<timerBits)
	}
}

// cls is the class of r, as it was when r was taken on.
func (b *Balancer) cls(r *request) *Class { return &r.terms.Class }

// aim is when the first token of r is wanted, after its arrival.
func (b *Balancer) aim(r *request) Micros {
	c := b.cls(r)
	return c.Aim + c.AimPer1000*int64(r.PromptTokens)/1000
}

// dispatch sends an attempt of r to the best replica that the rules allow, or
// ends r if there is none and nothing is out.
func (b *Balancer) dispatch(now Micros, r *request) bool {
	if r.ended || len(r.attempts) >= r.terms.maxAttempts || now >= r.deadline-2*b.s.Tick {
		b.settle(r)
		return false
	}
	w, kept, wait := b.pick(now, r)
	if wait {
		return false
	}
	if w == nil {
		b.settle(r)
		return false
	}
	unread := math.Max(0, float64(r.PromptTokens)-kept)
	a := &attempt{row: w, sent: now, unread: unread, read: readCost * unread, hold: b.holdTokens(r)}
	r.attempts = append(r.attempts, a)
	r.live++
	b.charge(now, w, a)
	b.out.Dispatch(r.ID, w.id, r.deadline)
	if d := b.hedgeAfter(r, a); d > 0 {
		b.out.SetTimer(d, timerHedge|uint64(r.ID)<<timerBits)
	}
	return true
}

// resume takes up the requests that wait for reports: those with nothing sent.
func (b *Balancer) resume(now Micros) {
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
		if r := b.requests[id]; !b.awaits(now, r) {
			b.dispatch(now, r)
		}
	}
}

// settle ends r if no attempt is out.
func (b *Balancer) settle(r *request) {
	if r.ended || r.live > 0 || r.opened {
		return
	}
	b.refuse(r)
}

// refuse ends r with a refusal where rule 2 allows one, else with a failure.
func (b *Balancer) refuse(r *request) {
	if r.ended {
		return
	}
	if b.mayRefuse(r) {
		b.out.Refuse(r.ID, b.retryAfter(r))
	} else {
		b.out.Fail(r.ID)
	}
	b.end(r)
}

// mayRefuse is rule 2 for refusals: they say that a repeat is harmless.
func (b *Balancer) mayRefuse(r *request) bool {
	c := b.cls(r)
	if c.Effect == Safe || (c.Effect == Keyed && c.Scope == ScopeAll) {
		return true
	}
	for _, a := range r.attempts {
		if !a.ended || !a.status.NeverRan() {
			return false
		}
	}
	return true
}

// mayRepeat is rule 2 for a further attempt of r on w.
func (b *Balancer) mayRepeat(now Micros, r *request, w *row) bool {
	c := b.cls(r)
	for _, a := range r.attempts {
		if !a.ended && !r.terms.secondCopies {
			return false
		}
		if c.Effect == Safe || (a.ended && a.status.NeverRan()) {
			continue
		}
		if c.Effect == Unsafe || now-a.sent >= c.RepeatsKept-2*b.s.Tick ||
			(c.Scope == ScopeZone && w.zone != a.row.zone) ||
			(c.Scope == ScopeCell && w.cell != a.row.cell) {
			return false
		}
	}
	return true
}

// end marks r as answered and calls off what is still out, except a stream
// that is the client's already.
func (b *Balancer) end(r *request) {
	r.ended = true
	b.callOff(r, nil)
	b.forget(r)
}

// callOff cancels the attempts of r that are out and not begun, but for keep.
func (b *Balancer) callOff(r *request, keep *attempt) {
	for i, a := range r.attempts {
		if b.s.MayCancel && !a.ended && a.opened == 0 && a != keep {
			b.out.Cancel(r.ID, i)
		}
	}
}

// forget drops an ended request once its last attempt is accounted for.
func (b *Balancer) forget(r *request) {
	if r.ended && r.live == 0 {
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
	if a.ended || a.opened > 0 {
		return
	}
	a.opened = max(1, o.Elapsed)
	b.release(a.row, a, false)
	b.hear(now, a.row, Served, false)
	a.row.provedAt = max(a.row.provedAt, a.sent)
	b.learnFirst(now, a)
	if !r.opened && !r.ended {
		r.opened = true
		b.noteFirst(r, b.tooSlow(r, a))
		b.callOff(r, a)
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
	r.live--
	b.discharge(now, a, o)
	b.report(now, a.row, o.Report)
	if o.Status == Served {
		b.learnServed(r, a, o)
	}
	if o.Final {
		if !r.ended {
			if !r.opened && o.Status == Served {
				b.noteFirst(r, false) // a class that is not streamed: its answer is its first token
			}
			b.callOff(r, a)
		}
		r.ended = true
		b.forget(r)
		return
	}
	if r.ended || r.opened || r.live > 0 {
		b.forget(r)
		return
	}
	if o.Status == ConnectFailed {
		r.avoidZone = a.row.zone
	}
	switch {
	case o.Status == Rejected: // no worker is at fault, and none would take it
		b.out.Fail(r.ID)
		b.end(r)
	case o.Status != TimedOut && b.judgedAgain(r, b.mayRetry(o.Status)):
		b.dispatch(now, r)
	default:
		b.settle(r)
	}
}

// ClientGone tells that the client of a request left; nothing is owed.
func (b *Balancer) ClientGone(now Micros, id RequestID) {
	if r := b.requests[id]; r != nil && !r.ended {
		b.end(r)
	}
}

// TimerFired takes a timer that was set. Those of ended requests do nothing.
func (b *Balancer) TimerFired(now Micros, token uint64) {
	if token == timerTick {
		b.tick(now)
		b.out.SetTimer(int64(tickEvery), timerTick)
		return
	}
	r := b.requests[RequestID(token>>timerBits)]
	if r == nil || r.ended || r.opened {
		return
	}
	switch token & (1<<timerBits - 1 | timerAsked) {
	case timerAsked:
		if len(r.attempts) == 0 {
			b.silent(now, r)
			b.dispatch(now, r)
		}
	case timerDeadline:
		b.refuse(r)
	case timerHedge:
		b.hedge(now, r)
	case timerAim:
		r.late = true
		b.noteLate(1)
		b.overdue(now, r)
	}
}

// hedgeAfter is how long an attempt may go without a first token before a
// second copy is considered; 0: never.
func (b *Balancer) hedgeAfter(r *request, a *attempt) Micros {
	if !b.mayHedge(r) {
		return 0
	}
	// Long past what is usual for so many tokens, and late enough in the aim
	// that waiting is likely to lose the worth.
	return max(int64(3*b.firstFit.at(a.unread)), b.aim(r)/2)
}

// mayHedge tells whether r's class and settings let a copy run beside an attempt.
func (b *Balancer) mayHedge(r *request) bool {
	c := b.cls(r)
	return r.terms.secondCopies && c.Effect == Safe && c.Stream && len(r.attempts) < r.terms.maxAttempts
}

// hedge sends a second copy of r if the budget for them allows.
func (b *Balancer) hedge(now Micros, r *request) {
	if r.hedged || r.live != 1 {
		return
	}
	for _, a := range r.attempts {
		if !a.ended { // what has not come yet is at least so slow
			b.noteSlow(now, a.row, float64(now-a.sent)/math.Max(1, b.firstFit.at(a.unread)))
		}
	}
	if !b.judgedAgain(r, b.hedges >= 1) {
		return
	}
	r.hedged = true
	if b.dispatch(now, r) {
		b.hedges--
	}
}
