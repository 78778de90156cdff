package replay

import (
	"fmt"
	"math/rand/v2"

	"archknot/balancer"
	"archknot/internal/capture"
	pb "archknot/internal/capture/capturepb"
)

// perturbedFleet plays a capture's arrivals and endpoint lists to the module, and answers its actions by the recorded
// outcomes with perturbations. It has timers of its own, since the recorded ones belong to other decisions. Its time is
// the recording's.
type perturbedFleet struct {
	scheduler
	result   *PerturbResult
	kinds    map[Perturbation]bool
	rng      *rand.Rand
	balancer *balancer.Balancer // nil: before the first checkpoint
	midpoint balancer.Micros    // of the run

	replicas    map[balancer.ReplicaID]balancer.EndpointState
	requests    map[balancer.RequestID]*simulatedRequest
	maxAttempts int // the most of any settings so far: requests keep those that they arrived under

	outcomes      map[uint32][]*pb.Outcome // recorded ends of attempts, by request
	firstTokens   map[uint32][]*pb.Outcome // recorded first tokens, by request
	samples       []*pb.Outcome            // recorded ends to draw from where a request has none
	recentReports map[uint32][]*pb.Report  // load reports for LateReports, by replica
}

// noAttempt stands for no attempt of a request.
const noAttempt = -1

// simulatedRequest is a request as its client sees it.
type simulatedRequest struct {
	recorded         uint32 // its number in the recording
	answered         bool
	streamingAttempt int // whose stream the client has, or noAttempt
	attempts         []*simulatedAttempt
}

// simulatedAttempt is an attempt as its replica sees it.
type simulatedAttempt struct {
	request *simulatedRequest
	id      balancer.RequestID
	number  int
	replica balancer.ReplicaID
	sentAt  balancer.Micros

	streaming, ended bool
}

// finished reports whether nothing is in flight for the request.
func (r *simulatedRequest) finished() bool {
	if !r.answered {
		return false
	}
	for _, a := range r.attempts {
		if !a.ended {
			return false
		}
	}
	return true
}

// Probabilities and times of the perturbations and of what the recording does not have.
const (
	lostShare        = 0.1
	delayedShare     = 0.3
	duplicateShare   = 0.2
	maxRecentReports = 16 // of a replica

	meanDelay          = 1e6 // us
	meanDuplicateDelay = 2e6 // us

	defaultElapsed  balancer.Micros = 200_000
	cancelDelay     balancer.Micros = 1000
	healthCheckTime balancer.Micros = 2000
)

// Bounds of the module's memory.
const (
	maxSessions = 4096
	maxPrefixes = 1024 + 1
)

// lossStatuses are how attempts end with LostAttempts.
var lossStatuses = [...]balancer.Status{balancer.ConnBroken, balancer.Errored, balancer.ConnectFailed, balancer.Shed, balancer.Malformed}

// violation notes that something does not hold that must.
func (f *perturbedFleet) violation(format string, args ...any) {
	f.result.violationCount++
	if len(f.result.Violations) < maxViolations {
		f.result.Violations = append(f.result.Violations, fmt.Sprintf("%.6fs: ", float64(f.now)/1e6)+fmt.Sprintf(format, args...))
	}
}

// advanceTo runs what is due up to a time.
func (f *perturbedFleet) advanceTo(at balancer.Micros) {
	for {
		run, ok := f.next(at)
		if !ok {
			break
		}
		f.result.Events++
		run()
		f.checkBounds()
	}
	f.now = max(f.now, at)
}

// checkBounds checks the module's memory.
func (f *perturbedFleet) checkBounds() {
	stats := f.balancer.Stats()
	f.result.MaxInFlight = max(f.result.MaxInFlight, stats.Requests)
	if stats.Sessions > maxSessions || stats.Prefixes > maxPrefixes {
		f.violation("%d sessions and %d prefixes remembered", stats.Sessions, stats.Prefixes)
	}
	if stats.LedgerEntries > stats.Requests*f.maxAttempts {
		f.violation("%d attempts open for %d requests", stats.LedgerEntries, stats.Requests)
	}
}

// checkDrained checks that all requests have ended.
func (f *perturbedFleet) checkDrained() {
	if stats := f.balancer.Stats(); stats.Requests > 0 || stats.LedgerEntries > 0 {
		f.violation("%d requests and %d attempts remembered after all has ended", stats.Requests, stats.LedgerEntries)
	}
	for id, r := range f.requests {
		if !r.answered {
			f.violation("request %d (recorded as %d) was never answered", id, r.recorded)
		}
	}
}

// playEntry plays one recorded event, unless it belongs to a request that is different here.
func (f *perturbedFleet) playEntry(run *capture.Run, e capture.Entry) error {
	if f.balancer != nil {
		f.result.Events++
	}
	record := e.Record
	switch record.Kind {
	case pb.Kind_KIND_CHECKPOINT:
		return f.restore(run, e)
	case pb.Kind_KIND_LIST:
		f.updateReplicas(record.List)
	case pb.Kind_KIND_ARRIVED:
		id := balancer.RequestID(record.Request)
		if r := f.requests[id]; r != nil && !r.finished() {
			return nil // the recorded number is still in use here
		}
		f.requests[id] = &simulatedRequest{recorded: record.Request, streamingAttempt: noAttempt}
		f.result.Requests++
	case pb.Kind_KIND_RECONFIGURE:
		if s, err := capture.UnmarshalSettings(record.Settings); err == nil {
			f.maxAttempts = max(f.maxAttempts, s.MaxAttempts)
		}
	case pb.Kind_KIND_LEFT:
		r := f.requests[balancer.RequestID(record.Request)]
		if r == nil || r.answered {
			return nil
		}
		r.answered = true
		f.result.Disconnected++
	}
	if err := capture.Apply(f.balancer, f.now, record); err != nil {
		return err
	}
	f.checkBounds()
	return nil
}

// restore begins with the module's state of a checkpoint. The requests that were in flight are ended.
func (f *perturbedFleet) restore(run *capture.Run, e capture.Entry) error {
	checkpoint := e.Record.Checkpoint
	f.now = e.At
	b, settings, err := run.RestoreBalancer(checkpoint, f)
	if err != nil {
		return err
	}
	f.balancer, f.maxAttempts = b, max(f.maxAttempts, settings.MaxAttempts)
	for _, endpoint := range b.Endpoints() {
		f.replicas[endpoint.Replica] = endpoint.State
	}
	for _, t := range checkpoint.Timers {
		f.after(t.AtUs-f.now, func() { f.balancer.TimerFired(f.now, t.Token) })
	}
	for _, id := range b.InFlightRequests() {
		f.requests[id] = &simulatedRequest{recorded: uint32(id), streamingAttempt: noAttempt, answered: true}
		b.ClientGone(f.now, id)
	}
	for _, id := range b.InFlightRequests() { // those with attempts in flight
		for n := range f.maxAttempts {
			b.AttemptEnded(f.now, balancer.Outcome{ID: id, Attempt: n, Status: balancer.Cancelled, Final: true})
		}
	}
	return nil
}

// updateReplicas takes the replicas' states from a list.
func (f *perturbedFleet) updateReplicas(l *pb.List) {
	if balancer.ListKind(l.Kind).Complete() {
		for id := range f.replicas {
			f.replicas[id] = balancer.EndpointRemoved
		}
	}
	for _, m := range l.Members {
		f.replicas[balancer.ReplicaID(m.Worker)] = balancer.EndpointState(m.State)
	}
}

// The following methods are the balancer.Sink of the module.

// Dispatch checks that the attempt is allowed, and schedules its outcome.
func (f *perturbedFleet) Dispatch(id balancer.RequestID, to balancer.ReplicaID, timeoutAt balancer.Micros) {
	r := f.requests[id]
	if r == nil {
		f.violation("an attempt for request %d, which nobody sent", id)
		return
	}
	a := &simulatedAttempt{request: r, id: id, number: len(r.attempts), replica: to, sentAt: f.now}
	r.attempts = append(r.attempts, a)
	f.result.Attempts++
	switch {
	case r.answered || r.streamingAttempt >= 0:
		f.violation("an attempt for request %d, which has its answer", id)
	case len(r.attempts) > f.maxAttempts:
		f.violation("attempt %d for request %d: %d are allowed", a.number, id, f.maxAttempts)
	case f.replicas[to] != balancer.EndpointReady:
		f.violation("an attempt to worker %d, told as draining or gone", to)
	}
	f.scheduleOutcome(a, timeoutAt)
}

// scheduleOutcome schedules an attempt's first token and end as recorded ones, with the perturbations.
func (f *perturbedFleet) scheduleOutcome(a *simulatedAttempt, timeoutAt balancer.Micros) {
	out := balancer.Outcome{ID: a.id, Attempt: a.number, Replica: a.replica, Status: balancer.Served}
	elapsed := defaultElapsed
	if o := f.recordedOutcome(a); o != nil {
		out.Status, elapsed = balancer.Status(o.Status), o.ElapsedUs
		out.CachedTokens, out.OutputTokens = int(o.Kept), int(o.Tokens)
		out.Report = f.reportFor(o)
	}
	first := elapsed / 4
	if recorded := f.firstTokens[a.request.recorded]; len(recorded) > 0 {
		first = min(elapsed, recorded[0].ElapsedUs)
	}
	if out.Status == balancer.Cancelled || out.Status == balancer.TimedOut { // by other decisions than these
		out.Status = balancer.Served
	}
	first = f.perturbOutcome(&out, first, elapsed)
	if out.Status == balancer.Served {
		f.after(first, func() { f.beginStream(a) })
	}
	f.after(max(elapsed, first+1), func() { f.endAttempt(a, out) })
	if timeoutAt <= 0 {
		return
	}
	f.after(timeoutAt-f.now, func() {
		if !a.streaming {
			f.endAttempt(a, balancer.Outcome{ID: a.id, Attempt: a.number, Replica: a.replica, Status: balancer.TimedOut})
		}
	})
}

// recordedOutcome returns the recorded end that an attempt gets: that of the same attempt, the last of the request, or
// one of any other; nil if there is none.
func (f *perturbedFleet) recordedOutcome(a *simulatedAttempt) *pb.Outcome {
	if ends := f.outcomes[a.request.recorded]; len(ends) > 0 {
		return ends[min(a.number, len(ends)-1)]
	}
	if len(f.samples) > 0 {
		return f.samples[f.rng.IntN(len(f.samples))]
	}
	return nil
}

// perturbOutcome perturbs an outcome, and returns the time of the first token, which was planned for first.
func (f *perturbedFleet) perturbOutcome(out *balancer.Outcome, first, elapsed balancer.Micros) balancer.Micros {
	if f.kinds[EvictedPrompts] && f.now >= f.midpoint {
		out.CachedTokens = 0
		first += first / 2
	}
	if f.kinds[LostAttempts] && f.rng.Float64() < lostShare {
		out.Status = lossStatuses[f.rng.IntN(len(lossStatuses))]
		first = elapsed + 1
	}
	if f.kinds[DelayedOutcomes] && f.rng.Float64() < delayedShare {
		first += balancer.Micros(f.rng.ExpFloat64() * meanDelay)
	}
	return first
}

// reportFor returns the load report of a recorded outcome, or with LateReports a recent one of the same replica.
func (f *perturbedFleet) reportFor(o *pb.Outcome) balancer.LoadReport {
	report := o.Report
	if f.kinds[LateReports] && report != nil {
		recent := append(f.recentReports[o.Worker], report)
		if len(recent) > maxRecentReports {
			recent = recent[1:]
		}
		f.recentReports[o.Worker] = recent
		report = recent[f.rng.IntN(len(recent))]
	}
	return capture.ReportFromProto(report)
}

// beginStream is an attempt's first token. The first one of a request goes to the client.
func (f *perturbedFleet) beginStream(a *simulatedAttempt) {
	r := a.request
	if a.ended || r.answered || r.streamingAttempt >= 0 {
		return
	}
	a.streaming, r.streamingAttempt = true, a.number
	o := balancer.Outcome{ID: a.id, Attempt: a.number, Replica: a.replica, Elapsed: f.now - a.sentAt}
	f.balancer.FirstToken(f.now, o)
	if f.kinds[DuplicateOutcomes] && f.rng.Float64() < duplicateShare {
		f.balancer.FirstToken(f.now, o)
	}
}

// endAttempt is an attempt's end, once, or with DuplicateOutcomes several times.
func (f *perturbedFleet) endAttempt(a *simulatedAttempt, out balancer.Outcome) {
	if a.ended {
		return
	}
	a.ended = true
	r := a.request
	isServed := out.Status == balancer.Served
	if isServed && r.streamingAttempt >= 0 && r.streamingAttempt != a.number {
		isServed, out.Status = false, balancer.Cancelled
	}
	answers := r.streamingAttempt == a.number || r.streamingAttempt < 0 && isServed
	if answers && !r.answered {
		r.answered = true
		f.result.Served++
	}
	out.Elapsed, out.Final = f.now-a.sentAt, r.answered
	f.balancer.AttemptEnded(f.now, out)
	if f.kinds[DuplicateOutcomes] && f.rng.Float64() < duplicateShare {
		f.balancer.AttemptEnded(f.now, out)
		f.after(balancer.Micros(f.rng.ExpFloat64()*meanDuplicateDelay), func() { f.balancer.AttemptEnded(f.now, out) })
	}
}

// answerRequest counts an answer without an attempt.
func (f *perturbedFleet) answerRequest(id balancer.RequestID, count *uint64) {
	r := f.requests[id]
	if r == nil || r.answered {
		f.violation("a second answer for request %d", id)
		return
	}
	if r.streamingAttempt >= 0 {
		f.violation("an answer for request %d, whose stream the client has", id)
	}
	r.answered = true
	*count++
}

// Shed answers a request.
func (f *perturbedFleet) Shed(id balancer.RequestID, _ balancer.Micros) {
	f.answerRequest(id, &f.result.Shed)
}

// Fail answers a request.
func (f *perturbedFleet) Fail(id balancer.RequestID) { f.answerRequest(id, &f.result.Failed) }

// Cancel ends an attempt a little later, unless it is the one that the client has.
func (f *perturbedFleet) Cancel(id balancer.RequestID, attempt int) {
	r := f.requests[id]
	if r == nil || attempt >= len(r.attempts) || r.streamingAttempt == attempt || r.attempts[attempt].ended {
		return
	}
	a := r.attempts[attempt]
	f.after(cancelDelay, func() {
		if r.streamingAttempt != attempt {
			f.endAttempt(a, balancer.Outcome{ID: id, Attempt: attempt, Replica: a.replica, Status: balancer.Cancelled})
		}
	})
}

// SetTimer schedules a timer.
func (f *perturbedFleet) SetTimer(delay balancer.Micros, token uint64) {
	f.after(delay, func() { f.balancer.TimerFired(f.now, token) })
}

// HealthCheck schedules the result of a health check.
func (f *perturbedFleet) HealthCheck(to balancer.ReplicaID) {
	f.after(healthCheckTime, func() {
		f.balancer.HealthCheckEnded(f.now, balancer.Outcome{Replica: to, Status: balancer.Served, Elapsed: healthCheckTime})
	})
}

// Gossip has no effect: there are no other gateways.
func (f *perturbedFleet) Gossip([]byte) {}

// WatchDiscovery has no effect: the recorded lists are played.
func (f *perturbedFleet) WatchDiscovery() {}
