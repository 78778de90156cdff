package replay

import (
	"fmt"
	"math/rand/v2"

	"archknot/balancer"
	"archknot/internal/capture"
	pb "archknot/internal/capture/capturepb"
)

// perturbedFleet plays a capture's arrivals and endpoint lists to the module, and answers its actions with the recorded
// outcomes and perturbations. It runs timers of its own, since the recorded ones follow from other decisions. Its clock
// is that of the recording.
type perturbedFleet struct {
	scheduler
	result   *PerturbResult
	kinds    map[Perturbation]bool
	rng      *rand.Rand
	balancer *balancer.Balancer // nil before the first checkpoint
	midpoint balancer.Micros    // of the run

	replicas    map[balancer.ReplicaID]balancer.EndpointState
	requests    map[balancer.RequestID]*simulatedRequest
	maxAttempts int // largest of all settings so far: a request keeps the limit in force at its arrival

	outcomes      map[uint32][]*pb.Outcome // recorded ends of attempts, by request
	firstTokens   map[uint32][]*pb.Outcome // recorded first tokens, by request
	samples       []*pb.Outcome            // recorded ends, one of which is drawn for a request that has none
	recentReports map[uint32][]*pb.Report  // latest load reports for LateReports, by replica
}

// noAttempt is the streamingAttempt of a request of which no attempt streams.
const noAttempt = -1

// simulatedRequest is the client's view of a request.
type simulatedRequest struct {
	recorded         uint32 // request number in the recording
	answered         bool
	streamingAttempt int // attempt that streams to the client, or noAttempt
	attempts         []*simulatedAttempt
}

// simulatedAttempt is the replica's view of an attempt.
type simulatedAttempt struct {
	request *simulatedRequest
	id      balancer.RequestID
	number  int
	replica balancer.ReplicaID
	sentAt  balancer.Micros

	streaming, ended bool
}

// finished reports whether the request is answered and all its attempts have ended.
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

// Probabilities and times of the perturbations, and of events that the recording lacks.
const (
	lossProbability      = 0.1
	delayProbability     = 0.3
	duplicateProbability = 0.2
	maxRecentReports     = 16 // of a replica

	meanDelayUs          = 1e6
	meanDuplicateDelayUs = 2e6

	defaultElapsed  balancer.Micros = 200_000
	cancelDelay     balancer.Micros = 1000
	healthCheckTime balancer.Micros = 2000
)

// Bounds of the module's memory.
const (
	maxSessions = 4096
	// maxPrefixes is one above the module's limit, which the module applies before it adds a prefix.
	maxPrefixes = 1024 + 1
)

// lossStatuses are the statuses of attempts that LostAttempts fails.
var lossStatuses = [...]balancer.Status{balancer.ConnBroken, balancer.Errored, balancer.ConnectFailed, balancer.Shed, balancer.Malformed}

// addViolation records the violation of an invariant.
func (f *perturbedFleet) addViolation(format string, args ...any) {
	f.result.violationCount++
	if len(f.result.Violations) < maxViolations {
		f.result.Violations = append(f.result.Violations, fmt.Sprintf("%.6fs: ", float64(f.now)/1e6)+fmt.Sprintf(format, args...))
	}
}

// advanceTo runs the tasks that are due up to a time and advances the clock to it.
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

// checkBounds checks that the module's sessions, prefixes and open attempts stay within their bounds.
func (f *perturbedFleet) checkBounds() {
	stats := f.balancer.Stats()
	f.result.MaxInFlight = max(f.result.MaxInFlight, stats.Requests)
	if stats.Sessions > maxSessions || stats.Prefixes > maxPrefixes {
		f.addViolation("%d sessions and %d prefixes remembered", stats.Sessions, stats.Prefixes)
	}
	if stats.LedgerEntries > stats.Requests*f.maxAttempts {
		f.addViolation("%d attempts open for %d requests", stats.LedgerEntries, stats.Requests)
	}
}

// checkDrained checks that all requests have ended and that the module has none left.
func (f *perturbedFleet) checkDrained() {
	if stats := f.balancer.Stats(); stats.Requests > 0 || stats.LedgerEntries > 0 {
		f.addViolation("%d requests and %d attempts remembered after all has ended", stats.Requests, stats.LedgerEntries)
	}
	for id, r := range f.requests {
		if !r.answered {
			f.addViolation("request %d (recorded as %d) was never answered", id, r.recorded)
		}
	}
}

// playEntry plays one recorded event. It skips an arrival whose request number is still in use here, and a client's
// disconnection from a request that is already answered.
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

// restore starts the module with the state of a checkpoint and ends the requests that were in flight.
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
	for _, id := range b.InFlightRequests() { // requests that still have attempts in flight
		for n := range f.maxAttempts {
			b.AttemptEnded(f.now, balancer.Outcome{ID: id, Attempt: n, Status: balancer.Cancelled, Final: true})
		}
	}
	return nil
}

// updateReplicas updates the states of the replicas from an endpoint list.
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

// The following methods implement balancer.Sink.

// Dispatch checks that the attempt is allowed, and schedules its outcome.
func (f *perturbedFleet) Dispatch(id balancer.RequestID, to balancer.ReplicaID, timeoutAt balancer.Micros) {
	r := f.requests[id]
	if r == nil {
		f.addViolation("an attempt for request %d, which nobody sent", id)
		return
	}
	a := &simulatedAttempt{request: r, id: id, number: len(r.attempts), replica: to, sentAt: f.now}
	r.attempts = append(r.attempts, a)
	f.result.Attempts++
	switch {
	case r.answered || r.streamingAttempt >= 0:
		f.addViolation("an attempt for request %d, which has its answer", id)
	case len(r.attempts) > f.maxAttempts:
		f.addViolation("attempt %d for request %d: %d are allowed", a.number, id, f.maxAttempts)
	case f.replicas[to] != balancer.EndpointReady:
		f.addViolation("an attempt to worker %d, told as draining or gone", to)
	}
	f.scheduleOutcome(a, timeoutAt)
}

// scheduleOutcome schedules an attempt's first token, end and timeout, from recorded outcomes and the perturbations.
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
	if out.Status == balancer.Cancelled || out.Status == balancer.TimedOut { // follows from recorded decisions that are not made here
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

// recordedOutcome returns the recorded end for an attempt: that of the same attempt, else the last one of the request,
// else a random served one of another request; nil if the recording has none.
func (f *perturbedFleet) recordedOutcome(a *simulatedAttempt) *pb.Outcome {
	if ends := f.outcomes[a.request.recorded]; len(ends) > 0 {
		return ends[min(a.number, len(ends)-1)]
	}
	if len(f.samples) > 0 {
		return f.samples[f.rng.IntN(len(f.samples))]
	}
	return nil
}

// perturbOutcome perturbs an outcome. It returns the new delay until the first token; first is the original one.
func (f *perturbedFleet) perturbOutcome(out *balancer.Outcome, first, elapsed balancer.Micros) balancer.Micros {
	if f.kinds[EvictedPrompts] && f.now >= f.midpoint {
		out.CachedTokens = 0
		first += first / 2
	}
	if f.kinds[LostAttempts] && f.rng.Float64() < lossProbability {
		out.Status = lossStatuses[f.rng.IntN(len(lossStatuses))]
		first = elapsed + 1
	}
	if f.kinds[DelayedOutcomes] && f.rng.Float64() < delayProbability {
		first += balancer.Micros(f.rng.ExpFloat64() * meanDelayUs)
	}
	return first
}

// reportFor returns the load report of a recorded outcome. With LateReports it returns a random recent report of the
// same replica instead.
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

// beginStream delivers an attempt's first token to the module, unless another attempt streams or has answered already.
func (f *perturbedFleet) beginStream(a *simulatedAttempt) {
	r := a.request
	if a.ended || r.answered || r.streamingAttempt >= 0 {
		return
	}
	a.streaming, r.streamingAttempt = true, a.number
	o := balancer.Outcome{ID: a.id, Attempt: a.number, Replica: a.replica, Elapsed: f.now - a.sentAt}
	f.balancer.FirstToken(f.now, o)
	if f.kinds[DuplicateOutcomes] && f.rng.Float64() < duplicateProbability {
		f.balancer.FirstToken(f.now, o)
	}
}

// endAttempt delivers an attempt's end to the module: once, or with DuplicateOutcomes up to three times.
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
	if f.kinds[DuplicateOutcomes] && f.rng.Float64() < duplicateProbability {
		f.balancer.AttemptEnded(f.now, out)
		f.after(balancer.Micros(f.rng.ExpFloat64()*meanDuplicateDelayUs), func() { f.balancer.AttemptEnded(f.now, out) })
	}
}

// completeRequest counts an answer that comes from the module itself, and checks that it is the request's only one.
func (f *perturbedFleet) completeRequest(id balancer.RequestID, count *uint64) {
	r := f.requests[id]
	if r == nil || r.answered {
		f.addViolation("a second answer for request %d", id)
		return
	}
	if r.streamingAttempt >= 0 {
		f.addViolation("an answer for request %d, whose stream the client has", id)
	}
	r.answered = true
	*count++
}

// Shed answers a request as shed.
func (f *perturbedFleet) Shed(id balancer.RequestID, _ balancer.Micros) {
	f.completeRequest(id, &f.result.Shed)
}

// Fail answers a request as failed.
func (f *perturbedFleet) Fail(id balancer.RequestID) { f.completeRequest(id, &f.result.Failed) }

// Cancel ends an attempt after cancelDelay, unless the attempt streams to the client.
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

// SetTimer schedules the firing of a timer.
func (f *perturbedFleet) SetTimer(delay balancer.Micros, token uint64) {
	f.after(delay, func() { f.balancer.TimerFired(f.now, token) })
}

// HealthCheck schedules a successful result of a health check.
func (f *perturbedFleet) HealthCheck(to balancer.ReplicaID) {
	f.after(healthCheckTime, func() {
		f.balancer.HealthCheckEnded(f.now, balancer.Outcome{Replica: to, Status: balancer.Served, Elapsed: healthCheckTime})
	})
}

// Gossip has no effect: there are no other gateways.
func (f *perturbedFleet) Gossip([]byte) {}

// WatchDiscovery has no effect: the endpoint lists come from the recording.
func (f *perturbedFleet) WatchDiscovery() {}
