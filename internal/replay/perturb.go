package replay

import (
	"container/heap"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"strings"

	"archknot/choice"
	"archknot/internal/capture"
	pb "archknot/internal/capture/capturepb"
)

// Perturbation is a kind of harm done to what the module is told.
type Perturbation string

const (
	LateReports Perturbation = "late"      // load reports come with later answers, out of order
	VoidPrompts Perturbation = "void"      // from the middle on, kept prompts are gone
	Duplicates  Perturbation = "duplicate" // outcomes come twice, also after the request's end
	LateEnds    Perturbation = "delay"     // outcomes come up to seconds later, some past the deadline
	Lost        Perturbation = "lost"      // some attempts break
)

// Perturbations are all kinds.
var Perturbations = []Perturbation{LateReports, VoidPrompts, Duplicates, LateEnds, Lost}

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
	Requests uint64   `json:"requests"`
	Served   uint64   `json:"served"`
	Refused  uint64   `json:"refused"`
	Failed   uint64   `json:"failed"`
	Left     uint64   `json:"left"`
	Attempts uint64   `json:"attempts"`
	Events   uint64   `json:"events"`
	MostHeld int      `json:"most_in_hand"`
	Faults   []string `json:"faults"` // what must not be
	faults   uint64
}

// Line sums it up.
func (r *PerturbResult) Line() string {
	return fmt.Sprintf("events=%d requests=%d served=%d refused=%d failed=%d left=%d attempts=%d most_in_hand=%d faults=%d",
		r.Events, r.Requests, r.Served, r.Refused, r.Failed, r.Left, r.Attempts, r.MostHeld, r.faults)
}

// world plays a capture's arrivals and lists to the module, and answers its
// orders by the recorded outcomes, harmed. It drives the module's timers, for
// the recorded ones belong to other decisions. Time is the record's.
type world struct {
	res  *PerturbResult
	kind map[Perturbation]bool
	rng  *rand.Rand
	b    *choice.Balancer
	now  choice.Micros
	mid  choice.Micros
	todo schedule
	seq  uint64

	workers  map[choice.ReplicaID]choice.EndpointState
	open     map[choice.RequestID]*play
	outcomes map[uint32][]*pb.Outcome // recorded ends, by the recorded request
	firsts   map[uint32][]*pb.Outcome
	samples  []*pb.Outcome // ends to draw from where the record has none
	late     map[uint32][]*pb.Report
	most     int
	quiet    bool // nothing more arrives
}

// play is one request as the world sees it.
type play struct {
	recorded uint32
	answered bool
	bound    int // the attempt whose stream the client has; -1: none
	attempts []*playAttempt
}

type playAttempt struct {
	worker       choice.ReplicaID
	sent         choice.Micros
	begun, ended bool
}

type task struct {
	at  choice.Micros
	seq uint64
	do  func()
}

type schedule []task

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].seq < s[j].seq
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)   { *s = append(*s, x.(task)) }
func (s *schedule) Pop() any {
	old := *s
	x := old[len(old)-1]
	*s = old[:len(old)-1]
	return x
}

func (w *world) after(d choice.Micros, do func()) {
	w.seq++
	heap.Push(&w.todo, task{w.now + max(1, d), w.seq, do})
}

func (w *world) fault(format string, args ...any) {
	if w.res.faults++; len(w.res.Faults) < 20 {
		w.res.Faults = append(w.res.Faults, fmt.Sprintf("%.6fs: ", float64(w.now)/1e6)+fmt.Sprintf(format, args...))
	}
}

// Perturb plays a run, harmed, to this build's module and checks what must hold
// whatever comes: each request gets one final answer, none more attempts than
// allowed, nothing goes to a worker told as draining or gone, and what the
// module remembers stays bounded. Equal seeds harm alike.
func Perturb(run *capture.Run, kinds map[Perturbation]bool, seed uint64) (res *PerturbResult, err error) {
	w := &world{res: &PerturbResult{Faults: []string{}}, kind: kinds, rng: rand.New(rand.NewPCG(seed, 1)), most: run.Settings.MaxAttempts,
		workers: map[choice.ReplicaID]choice.EndpointState{}, open: map[choice.RequestID]*play{}, outcomes: map[uint32][]*pb.Outcome{},
		firsts: map[uint32][]*pb.Outcome{}, late: map[uint32][]*pb.Report{}, mid: run.Begin() + (run.End()-run.Begin())/2}
	entries, err := w.read(run)
	if err != nil {
		return nil, err
	}
	defer func() {
		if p := recover(); p != nil {
			w.fault("panic: %v", p)
			res, err = w.res, nil
		}
	}()
	for _, e := range entries {
		w.until(e.At)
		if err := w.entry(run, e); err != nil {
			return nil, err
		}
	}
	// All that is in hand must end by itself: the longest deadline, and what is
	// on its way.
	w.quiet = true
	w.until(w.now + 120_000_000)
	if f := w.b.Stats(); f.Requests > 0 || f.LedgerEntries > 0 {
		w.fault("%d requests and %d attempts remembered after all has ended", f.Requests, f.LedgerEntries)
	}
	for id, p := range w.open {
		if !p.answered {
			w.fault("request %d (recorded as %d) was never answered", id, p.recorded)
		}
	}
	return w.res, nil
}

// read takes in the run: its arrivals and lists in order, and its outcomes.
func (w *world) read(run *capture.Run) (out []capture.Entry, err error) {
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
			if rec.Outcome.Status == uint32(choice.Served) && len(w.samples) < 4096 {
				w.samples = append(w.samples, rec.Outcome)
			}
		}
	}
	if !begun {
		return nil, fmt.Errorf("no checkpoint to begin at")
	}
	return out, nil
}

func (w *world) entry(run *capture.Run, e capture.Entry) error {
	rec := e.Record
	if w.b != nil {
		w.res.Events++
	}
	switch rec.Kind {
	case pb.Kind_KIND_CHECKPOINT:
		w.now = e.At
		b, settings, err := run.Restore(rec.Checkpoint, w)
		if err != nil {
			return err
		}
		w.b, w.most = b, max(w.most, settings.MaxAttempts)
		for _, m := range b.Endpoints() {
			w.workers[m.Replica] = m.State
		}
		for _, t := range rec.Checkpoint.Timers {
			w.after(t.AtUs-w.now, func() { w.b.TimerFired(w.now, t.Token) })
		}
		// What is in hand at the beginning is over: its workers say nothing more.
		for _, id := range b.InFlightRequests() {
			w.open[id] = &play{recorded: uint32(id), bound: -1, answered: true}
			b.ClientGone(w.now, id)
		}
		w.endOld(b)
		return nil
	case pb.Kind_KIND_LIST:
		l := rec.List
		if choice.ListKind(l.Kind).Complete() {
			for id := range w.workers {
				w.workers[id] = choice.EndpointGone
			}
		}
		for _, m := range l.Members {
			w.workers[choice.ReplicaID(m.Worker)] = choice.EndpointState(m.State)
		}
	case pb.Kind_KIND_ARRIVED:
		id := choice.RequestID(rec.Request)
		if p := w.open[id]; p != nil && !p.over() {
			return nil // the record's number is still in use here
		}
		w.open[id] = &play{recorded: rec.Request, bound: -1}
		w.res.Requests++
	case pb.Kind_KIND_RECONFIGURE:
		if s, err := capture.GetSettings(rec.Settings); err == nil {
			w.most = max(w.most, s.MaxAttempts) // what is in hand keeps its own
		}
	case pb.Kind_KIND_LEFT:
		p := w.open[choice.RequestID(rec.Request)]
		if p == nil || p.answered {
			return nil
		}
		p.answered = true
		w.res.Left++
	}
	if err := capture.Apply(w.b, w.now, rec); err != nil {
		return err
	}
	w.bounds()
	return nil
}

// endOld ends the attempts that were out at the beginning.
func (w *world) endOld(b *choice.Balancer) {
	for _, id := range b.InFlightRequests() {
		for n := range w.most {
			b.AttemptEnded(w.now, choice.Outcome{ID: id, Attempt: n, Status: choice.Cancelled, Final: true})
		}
	}
}

func (p *play) over() bool {
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

// until does what is due up to a time.
func (w *world) until(at choice.Micros) {
	for len(w.todo) > 0 && w.todo[0].at <= at {
		t := heap.Pop(&w.todo).(task)
		w.now = t.at
		w.res.Events++
		t.do()
		w.bounds()
	}
	w.now = max(w.now, at)
}

// bounds checks what the module remembers.
func (w *world) bounds() {
	f := w.b.Stats()
	w.res.MostHeld = max(w.res.MostHeld, f.Requests)
	if f.Sessions > 4096 || f.Prefixes > 1024+1 {
		w.fault("%d sessions and %d prefixes remembered", f.Sessions, f.Prefixes)
	}
	if f.LedgerEntries > f.Requests*w.most {
		w.fault("%d attempts open for %d requests", f.LedgerEntries, f.Requests)
	}
}

// The module's orders: choice.Sink.

func (w *world) Dispatch(id choice.RequestID, to choice.ReplicaID, cutAt choice.Micros) {
	p := w.open[id]
	if p == nil {
		w.fault("an attempt for request %d, which nobody sent", id)
		return
	}
	a := &playAttempt{worker: to, sent: w.now}
	n := len(p.attempts)
	p.attempts = append(p.attempts, a)
	w.res.Attempts++
	switch {
	case p.answered || p.bound >= 0:
		w.fault("an attempt for request %d, which has its answer", id)
	case len(p.attempts) > w.most:
		w.fault("attempt %d for request %d: %d are allowed", n, id, w.most)
	case w.workers[to] != choice.EndpointReady:
		w.fault("an attempt to worker %d, told as draining or gone", to)
	}
	w.answerLater(id, p, n, a, cutAt)
}

// answerLater plans an attempt's stream and end by a recorded one, harmed.
func (w *world) answerLater(id choice.RequestID, p *play, n int, a *playAttempt, cutAt choice.Micros) {
	var o *pb.Outcome
	if ends := w.outcomes[p.recorded]; len(ends) > 0 {
		o = ends[min(n, len(ends)-1)]
	} else if len(w.samples) > 0 {
		o = w.samples[w.rng.IntN(len(w.samples))]
	}
	status, elapsed, first := choice.Served, choice.Micros(200_000), choice.Micros(50_000)
	out := choice.Outcome{ID: id, Attempt: n, Replica: a.worker}
	if o != nil {
		status, elapsed = choice.Status(o.Status), o.ElapsedUs
		out.CachedTokens, out.OutputTokens = int(o.Kept), int(o.Tokens)
		out.Report = w.report(o)
	}
	first = elapsed / 4
	if f := w.firsts[p.recorded]; len(f) > 0 {
		first = min(elapsed, f[0].ElapsedUs)
	}
	if status == choice.Cancelled || status == choice.TimedOut { // by decisions that are not these
		status = choice.Served
	}
	if w.kind[VoidPrompts] && w.now >= w.mid {
		out.CachedTokens = 0
		first += first / 2
	}
	if w.kind[Lost] && w.rng.Float64() < 0.1 {
		status = [...]choice.Status{choice.ConnBroken, choice.Errored, choice.ConnectFailed, choice.Shed, choice.Malformed}[w.rng.IntN(5)]
		first = elapsed + 1
	}
	if w.kind[LateEnds] && w.rng.Float64() < 0.3 {
		first += choice.Micros(w.rng.ExpFloat64() * 1e6)
	}
	end := max(elapsed, first+1)
	out.Status = status
	if status == choice.Served {
		w.after(first, func() { w.begin(p, n, a, out, cutAt) })
	}
	w.after(end, func() { w.end(p, n, a, out) })
	if cutAt > 0 { // unless its stream has begun by then
		w.after(cutAt-w.now, func() {
			if !a.begun {
				o := out
				o.Status, o.CachedTokens, o.OutputTokens, o.Report = choice.TimedOut, 0, 0, choice.LoadReport{}
				w.end(p, n, a, o)
			}
		})
	}
}

// report is that of a recorded outcome, or with LateReports an earlier one of the
// same worker, in no order.
func (w *world) report(o *pb.Outcome) choice.LoadReport {
	r := o.Report
	if w.kind[LateReports] && r != nil {
		kept := append(w.late[o.Worker], r)
		if len(kept) > 16 {
			kept = kept[1:]
		}
		w.late[o.Worker] = kept
		r = kept[w.rng.IntN(len(kept))]
	}
	return capture.GetReport(r)
}

// begin is a stream's first token; the first of a request is the client's.
func (w *world) begin(p *play, n int, a *playAttempt, out choice.Outcome, cutAt choice.Micros) {
	if a.ended || p.answered || p.bound >= 0 {
		return
	}
	a.begun, p.bound = true, n
	o := choice.Outcome{ID: out.ID, Attempt: n, Replica: a.worker, Elapsed: w.now - a.sent}
	w.b.FirstToken(w.now, o)
	if w.kind[Duplicates] && w.rng.Float64() < 0.2 {
		w.b.FirstToken(w.now, o)
	}
}

// end is an attempt's end, told once, or with Duplicates again.
func (w *world) end(p *play, n int, a *playAttempt, out choice.Outcome) {
	if a.ended {
		return
	}
	a.ended = true
	if p.bound >= 0 && p.bound != n && out.Status == choice.Served {
		out.Status = choice.Cancelled
	}
	if p.bound == n || p.bound < 0 && !p.answered && out.Status == choice.Served {
		if !p.answered {
			p.answered = true
			w.res.Served++
		}
	}
	out.Elapsed, out.Final = w.now-a.sent, p.answered
	w.b.AttemptEnded(w.now, out)
	if w.kind[Duplicates] && w.rng.Float64() < 0.2 {
		w.b.AttemptEnded(w.now, out)
		w.after(choice.Micros(w.rng.ExpFloat64()*2e6), func() { w.b.AttemptEnded(w.now, out) })
	}
}

func (w *world) answer(id choice.RequestID, count *uint64) {
	p := w.open[id]
	if p == nil || p.answered {
		w.fault("a second answer for request %d", id)
		return
	}
	if p.bound >= 0 {
		w.fault("an answer for request %d, whose stream the client has", id)
	}
	p.answered = true
	*count++
}

func (w *world) Shed(id choice.RequestID, _ choice.Micros) { w.answer(id, &w.res.Refused) }
func (w *world) Fail(id choice.RequestID)                  { w.answer(id, &w.res.Failed) }

func (w *world) Cancel(id choice.RequestID, n int) {
	p := w.open[id]
	if p == nil || n >= len(p.attempts) || p.bound == n || p.attempts[n].ended {
		return
	}
	a := p.attempts[n]
	w.after(1000, func() {
		if p.bound != n {
			w.end(p, n, a, choice.Outcome{ID: id, Attempt: n, Replica: a.worker, Status: choice.Cancelled})
		}
	})
}

func (w *world) SetTimer(delay choice.Micros, token uint64) {
	w.after(delay, func() { w.b.TimerFired(w.now, token) })
}

func (w *world) HealthCheck(to choice.ReplicaID) {
	w.after(2000, func() {
		w.b.HealthCheckEnded(w.now, choice.Outcome{Replica: to, Status: choice.Served, Elapsed: 2000})
	})
}

func (w *world) Gossip([]byte) {}

func (w *world) WatchDiscovery() {}
