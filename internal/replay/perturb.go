package replay

import (
	"container/heap"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"strings"

	"archknot/balancer"
	"archknot/internal/capture"
	pb "archknot/internal/capture/capturepb"
)

// Perturbation is a kind of harm done to what the module is told.
type Perturbation string

const (
	LateReports       Perturbation = "late"      // load reports come with later answers, out of order
	EvictedPrompts    Perturbation = "void"      // from the middle on, kept prompts are gone
	DuplicateOutcomes Perturbation = "duplicate" // outcomes come twice, also after the request's end
	DelayedOutcomes   Perturbation = "delay"     // outcomes come up to seconds later, some past the deadline
	LostAttempts      Perturbation = "lost"      // some attempts break
)

// Perturbations are all kinds.
var Perturbations = []Perturbation{LateReports, EvictedPrompts, DuplicateOutcomes, DelayedOutcomes, LostAttempts}

// ParsePerturbations reads kinds set apart by commas, or `all`.
func ParsePerturbations(text string) (map[Perturbation]bool, error) {
	out := map[Perturbation]bool{}
	for _, word := range strings.Split(text, ",") {
		known := false
		for _, p := range Perturbations {
			if word == "all" || word == string(p) {
				out[p], known = true, true
			}
		}
		if !known {
			return nil, fmt.Errorf("no perturbation %q; there are all, late, void, duplicate, delay, lost", word)
		}
	}
	return out, nil
}

// PerturbResult tells whether the module bore it.
type PerturbResult struct {
	Requests       uint64   `json:"requests"`
	Served         uint64   `json:"served"`
	Shed           uint64   `json:"refused"`
	Failed         uint64   `json:"failed"`
	Disconnected   uint64   `json:"left"`
	Attempts       uint64   `json:"attempts"`
	Events         uint64   `json:"events"`
	MaxInFlight    int      `json:"most_in_hand"`
	Violations     []string `json:"faults"` // what must not be
	violationCount uint64
}

// Line sums it up.
func (r *PerturbResult) Line() string {
	return fmt.Sprintf("events=%d requests=%d served=%d refused=%d failed=%d left=%d attempts=%d most_in_hand=%d faults=%d",
		r.Events, r.Requests, r.Served, r.Shed, r.Failed, r.Disconnected, r.Attempts, r.MaxInFlight, r.violationCount)
}

// perturbedFleet plays a capture's arrivals and lists to the module, and answers its
// orders by the recorded outcomes, harmed. It drives the module's timers, for
// the recorded ones belong to other decisions. Time is the record's.
type perturbedFleet struct {
	result   *PerturbResult
	kinds    map[Perturbation]bool
	rng      *rand.Rand
	balancer *balancer.Balancer
	now      balancer.Micros
	midpoint balancer.Micros
	pending  taskQueue
	seq      uint64

	replicas    map[balancer.ReplicaID]balancer.EndpointState
	requests    map[balancer.RequestID]*simulatedRequest
	outcomes    map[uint32][]*pb.Outcome // recorded ends, by the recorded request
	firsts      map[uint32][]*pb.Outcome
	samples     []*pb.Outcome // ends to draw from where the record has none
	heldReports map[uint32][]*pb.Report
	maxAttempts int
	quiet       bool // nothing more arrives
}

// simulatedRequest is one request as the world sees it.
type simulatedRequest struct {
	recorded         uint32
	answered         bool
	streamingAttempt int // the attempt whose stream the client has; -1: none
	attempts         []*simulatedAttempt
}

type simulatedAttempt struct {
	replica      balancer.ReplicaID
	sent         balancer.Micros
	begun, ended bool
}

type scheduledTask struct {
	at  balancer.Micros
	seq uint64
	run func()
}

type taskQueue []scheduledTask

func (s taskQueue) Len() int { return len(s) }
func (s taskQueue) Less(i, j int) bool {
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].seq < s[j].seq
}
func (s taskQueue) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *taskQueue) Push(x any)   { *s = append(*s, x.(scheduledTask)) }
func (s *taskQueue) Pop() any {
	old := *s
	x := old[len(old)-1]
	*s = old[:len(old)-1]
	return x
}

func (w *perturbedFleet) after(d balancer.Micros, do func()) {
	w.seq++
	heap.Push(&w.pending, scheduledTask{w.now + max(1, d), w.seq, do})
}

func (w *perturbedFleet) violation(format string, args ...any) {
	if w.result.violationCount++; len(w.result.Violations) < 20 {
		w.result.Violations = append(w.result.Violations, fmt.Sprintf("%.6fs: ", float64(w.now)/1e6)+fmt.Sprintf(format, args...))
	}
}

// Perturb plays a run, harmed, to this build's module and checks what must hold
// whatever comes: each request gets one final answer, none more attempts than
// allowed, nothing goes to a worker told as draining or gone, and what the
// module remembers stays bounded. Equal seeds harm alike.
func Perturb(run *capture.Run, kinds map[Perturbation]bool, seed uint64) (res *PerturbResult, err error) {
	w := &perturbedFleet{result: &PerturbResult{Violations: []string{}}, kinds: kinds, rng: rand.New(rand.NewPCG(seed, 1)), maxAttempts: run.Settings.MaxAttempts,
		replicas: map[balancer.ReplicaID]balancer.EndpointState{}, requests: map[balancer.RequestID]*simulatedRequest{}, outcomes: map[uint32][]*pb.Outcome{},
		firsts: map[uint32][]*pb.Outcome{}, heldReports: map[uint32][]*pb.Report{}, midpoint: run.Begin() + (run.End()-run.Begin())/2}
	entries, err := w.load(run)
	if err != nil {
		return nil, err
	}
	defer func() {
		if p := recover(); p != nil {
			w.violation("panic: %v", p)
			res, err = w.result, nil
		}
	}()
	for _, e := range entries {
		w.advanceTo(e.At)
		if err := w.playEntry(run, e); err != nil {
			return nil, err
		}
	}
	// All that is in hand must end by itself: the longest deadline, and what is
	// on its way.
	w.quiet = true
	w.advanceTo(w.now + 120_000_000)
	if f := w.balancer.Stats(); f.Requests > 0 || f.LedgerEntries > 0 {
		w.violation("%d requests and %d attempts remembered after all has ended", f.Requests, f.LedgerEntries)
	}
	for id, p := range w.requests {
		if !p.answered {
			w.violation("request %d (recorded as %d) was never answered", id, p.recorded)
		}
	}
	return w.result, nil
}

// load takes in the run: its arrivals and lists in order, and its outcomes.
func (w *perturbedFleet) load(run *capture.Run) (out []capture.Entry, err error) {
	r, err := capture.NewReader(run, math.MinInt64)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	begun := false
	for {
		e, err := r.Next()
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, err
		}
		if e.Record == nil {
			continue
		}
		switch rec := e.Record; rec.Kind {
		case pb.Kind_KIND_CHECKPOINT:
			if !begun {
				out = append(out, e)
			}
			begun = true
		case pb.Kind_KIND_LIST, pb.Kind_KIND_START, pb.Kind_KIND_ARRIVED, pb.Kind_KIND_LEFT, pb.Kind_KIND_MESSAGE, pb.Kind_KIND_RECONFIGURE:
			if begun {
				out = append(out, e)
			}
		case pb.Kind_KIND_FIRST:
			w.firsts[rec.Request] = append(w.firsts[rec.Request], rec.Outcome)
		case pb.Kind_KIND_ENDED:
			w.outcomes[rec.Request] = append(w.outcomes[rec.Request], rec.Outcome)
			if rec.Outcome.Status == uint32(balancer.Served) && len(w.samples) < 4096 {
				w.samples = append(w.samples, rec.Outcome)
			}
		}
	}
	if !begun {
		return nil, fmt.Errorf("no checkpoint to begin at")
	}
	return out, nil
}

func (w *perturbedFleet) playEntry(run *capture.Run, e capture.Entry) error {
	rec := e.Record
	if w.balancer != nil {
		w.result.Events++
	}
	switch rec.Kind {
	case pb.Kind_KIND_CHECKPOINT:
		w.now = e.At
		b, settings, err := run.RestoreBalancer(rec.Checkpoint, w)
		if err != nil {
			return err
		}
		w.balancer, w.maxAttempts = b, max(w.maxAttempts, settings.MaxAttempts)
		for _, m := range b.Endpoints() {
			w.replicas[m.Replica] = m.State
		}
		for _, t := range rec.Checkpoint.Timers {
			w.after(t.AtUs-w.now, func() { w.balancer.TimerFired(w.now, t.Token) })
		}
		// What is in hand at the beginning is over: its workers say nothing more.
		for _, id := range b.InFlightRequests() {
			w.requests[id] = &simulatedRequest{recorded: uint32(id), streamingAttempt: -1, answered: true}
			b.ClientGone(w.now, id)
		}
		w.endInitialAttempts(b)
		return nil
	case pb.Kind_KIND_LIST:
		l := rec.List
		if balancer.ListKind(l.Kind).Complete() {
			for id := range w.replicas {
				w.replicas[id] = balancer.EndpointGone
			}
		}
		for _, m := range l.Members {
			w.replicas[balancer.ReplicaID(m.Worker)] = balancer.EndpointState(m.State)
		}
	case pb.Kind_KIND_ARRIVED:
		id := balancer.RequestID(rec.Request)
		if p := w.requests[id]; p != nil && !p.finished() {
			return nil // the record's number is still in use here
		}
		w.requests[id] = &simulatedRequest{recorded: rec.Request, streamingAttempt: -1}
		w.result.Requests++
	case pb.Kind_KIND_RECONFIGURE:
		if s, err := capture.UnmarshalSettings(rec.Settings); err == nil {
			w.maxAttempts = max(w.maxAttempts, s.MaxAttempts) // what is in hand keeps its own
		}
	case pb.Kind_KIND_LEFT:
		p := w.requests[balancer.RequestID(rec.Request)]
		if p == nil || p.answered {
			return nil
		}
		p.answered = true
		w.result.Disconnected++
	}
	if err := capture.Apply(w.balancer, w.now, rec); err != nil {
		return err
	}
	w.checkBounds()
	return nil
}

// endInitialAttempts ends the attempts that were out at the beginning.
func (w *perturbedFleet) endInitialAttempts(b *balancer.Balancer) {
	for _, id := range b.InFlightRequests() {
		for n := range w.maxAttempts {
			b.AttemptEnded(w.now, balancer.Outcome{ID: id, Attempt: n, Status: balancer.Cancelled, Final: true})
		}
	}
}

func (p *simulatedRequest) finished() bool {
	if !p.answered {
		return false
	}
	for _, a := range p.attempts {
		if !a.ended {
			return false
		}
	}
	return true
}

// advanceTo does what is due up to a time.
func (w *perturbedFleet) advanceTo(at balancer.Micros) {
	for len(w.pending) > 0 && w.pending[0].at <= at {
		t := heap.Pop(&w.pending).(scheduledTask)
		w.now = t.at
		w.result.Events++
		t.run()
		w.checkBounds()
	}
	w.now = max(w.now, at)
}

// checkBounds checks what the module remembers.
func (w *perturbedFleet) checkBounds() {
	f := w.balancer.Stats()
	w.result.MaxInFlight = max(w.result.MaxInFlight, f.Requests)
	if f.Sessions > 4096 || f.Prefixes > 1024+1 {
		w.violation("%d sessions and %d prefixes remembered", f.Sessions, f.Prefixes)
	}
	if f.LedgerEntries > f.Requests*w.maxAttempts {
		w.violation("%d attempts open for %d requests", f.LedgerEntries, f.Requests)
	}
}

// The module's orders: choice.Sink.

func (w *perturbedFleet) Dispatch(id balancer.RequestID, to balancer.ReplicaID, cutAt balancer.Micros) {
	p := w.requests[id]
	if p == nil {
		w.violation("an attempt for request %d, which nobody sent", id)
		return
	}
	a := &simulatedAttempt{replica: to, sent: w.now}
	n := len(p.attempts)
	p.attempts = append(p.attempts, a)
	w.result.Attempts++
	switch {
	case p.answered || p.streamingAttempt >= 0:
		w.violation("an attempt for request %d, which has its answer", id)
	case len(p.attempts) > w.maxAttempts:
		w.violation("attempt %d for request %d: %d are allowed", n, id, w.maxAttempts)
	case w.replicas[to] != balancer.EndpointReady:
		w.violation("an attempt to worker %d, told as draining or gone", to)
	}
	w.scheduleOutcome(id, p, n, a, cutAt)
}

// scheduleOutcome plans an attempt's stream and end by a recorded one, harmed.
func (w *perturbedFleet) scheduleOutcome(id balancer.RequestID, p *simulatedRequest, n int, a *simulatedAttempt, cutAt balancer.Micros) {
	var o *pb.Outcome
	if ends := w.outcomes[p.recorded]; len(ends) > 0 {
		o = ends[min(n, len(ends)-1)]
	} else if len(w.samples) > 0 {
		o = w.samples[w.rng.IntN(len(w.samples))]
	}
	status, elapsed, first := balancer.Served, balancer.Micros(200_000), balancer.Micros(50_000)
	out := balancer.Outcome{ID: id, Attempt: n, Replica: a.replica}
	if o != nil {
		status, elapsed = balancer.Status(o.Status), o.ElapsedUs
		out.CachedTokens, out.OutputTokens = int(o.Kept), int(o.Tokens)
		out.Report = w.reportFor(o)
	}
	first = elapsed / 4
	if f := w.firsts[p.recorded]; len(f) > 0 {
		first = min(elapsed, f[0].ElapsedUs)
	}
	if status == balancer.Cancelled || status == balancer.TimedOut { // by decisions that are not these
		status = balancer.Served
	}
	if w.kinds[EvictedPrompts] && w.now >= w.midpoint {
		out.CachedTokens = 0
		first += first / 2
	}
	if w.kinds[LostAttempts] && w.rng.Float64() < 0.1 {
		status = [...]balancer.Status{balancer.ConnBroken, balancer.Errored, balancer.ConnectFailed, balancer.Shed, balancer.Malformed}[w.rng.IntN(5)]
		first = elapsed + 1
	}
	if w.kinds[DelayedOutcomes] && w.rng.Float64() < 0.3 {
		first += balancer.Micros(w.rng.ExpFloat64() * 1e6)
	}
	end := max(elapsed, first+1)
	out.Status = status
	if status == balancer.Served {
		w.after(first, func() { w.beginStream(p, n, a, out, cutAt) })
	}
	w.after(end, func() { w.endAttempt(p, n, a, out) })
	if cutAt > 0 { // unless its stream has begun by then
		w.after(cutAt-w.now, func() {
			if !a.begun {
				o := out
				o.Status, o.CachedTokens, o.OutputTokens, o.Report = balancer.TimedOut, 0, 0, balancer.LoadReport{}
				w.endAttempt(p, n, a, o)
			}
		})
	}
}

// reportFor is that of a recorded outcome, or with LateReports an earlier one of the
// same worker, in no order.
func (w *perturbedFleet) reportFor(o *pb.Outcome) balancer.LoadReport {
	r := o.Report
	if w.kinds[LateReports] && r != nil {
		kept := append(w.heldReports[o.Worker], r)
		if len(kept) > 16 {
			kept = kept[1:]
		}
		w.heldReports[o.Worker] = kept
		r = kept[w.rng.IntN(len(kept))]
	}
	return capture.ReportFromProto(r)
}

// beginStream is a stream's first token; the first of a request is the client's.
func (w *perturbedFleet) beginStream(p *simulatedRequest, n int, a *simulatedAttempt, out balancer.Outcome, cutAt balancer.Micros) {
	if a.ended || p.answered || p.streamingAttempt >= 0 {
		return
	}
	a.begun, p.streamingAttempt = true, n
	o := balancer.Outcome{ID: out.ID, Attempt: n, Replica: a.replica, Elapsed: w.now - a.sent}
	w.balancer.FirstToken(w.now, o)
	if w.kinds[DuplicateOutcomes] && w.rng.Float64() < 0.2 {
		w.balancer.FirstToken(w.now, o)
	}
}

// endAttempt is an attempt's end, told once, or with Duplicates again.
func (w *perturbedFleet) endAttempt(p *simulatedRequest, n int, a *simulatedAttempt, out balancer.Outcome) {
	if a.ended {
		return
	}
	a.ended = true
	if p.streamingAttempt >= 0 && p.streamingAttempt != n && out.Status == balancer.Served {
		out.Status = balancer.Cancelled
	}
	if p.streamingAttempt == n || p.streamingAttempt < 0 && !p.answered && out.Status == balancer.Served {
		if !p.answered {
			p.answered = true
			w.result.Served++
		}
	}
	out.Elapsed, out.Final = w.now-a.sent, p.answered
	w.balancer.AttemptEnded(w.now, out)
	if w.kinds[DuplicateOutcomes] && w.rng.Float64() < 0.2 {
		w.balancer.AttemptEnded(w.now, out)
		w.after(balancer.Micros(w.rng.ExpFloat64()*2e6), func() { w.balancer.AttemptEnded(w.now, out) })
	}
}

func (w *perturbedFleet) answerRequest(id balancer.RequestID, count *uint64) {
	p := w.requests[id]
	if p == nil || p.answered {
		w.violation("a second answer for request %d", id)
		return
	}
	if p.streamingAttempt >= 0 {
		w.violation("an answer for request %d, whose stream the client has", id)
	}
	p.answered = true
	*count++
}

func (w *perturbedFleet) Shed(id balancer.RequestID, _ balancer.Micros) {
	w.answerRequest(id, &w.result.Shed)
}
func (w *perturbedFleet) Fail(id balancer.RequestID) { w.answerRequest(id, &w.result.Failed) }

func (w *perturbedFleet) Cancel(id balancer.RequestID, n int) {
	p := w.requests[id]
	if p == nil || n >= len(p.attempts) || p.streamingAttempt == n || p.attempts[n].ended {
		return
	}
	a := p.attempts[n]
	w.after(1000, func() {
		if p.streamingAttempt != n {
			w.endAttempt(p, n, a, balancer.Outcome{ID: id, Attempt: n, Replica: a.replica, Status: balancer.Cancelled})
		}
	})
}

func (w *perturbedFleet) SetTimer(delay balancer.Micros, token uint64) {
	w.after(delay, func() { w.balancer.TimerFired(w.now, token) })
}

func (w *perturbedFleet) HealthCheck(to balancer.ReplicaID) {
	w.after(2000, func() {
		w.balancer.HealthCheckEnded(w.now, balancer.Outcome{Replica: to, Status: balancer.Served, Elapsed: 2000})
	})
}

func (w *perturbedFleet) Gossip([]byte) {}

func (w *perturbedFleet) WatchDiscovery() {}
