package gateway

import (
	"container/heap"
	"context"
	"log/slog"
	"slices"
	"time"

	"archknot/choice"
	"archknot/internal/capture"
	"archknot/internal/contract"
	"archknot/internal/figures"
	"archknot/internal/memory"
	"archknot/internal/subset"
	"archknot/internal/wire/socket"
)

// event is something that happened, to be told to the module by the loop.
type event interface{ apply(l *loop) }

// loop owns the module and all that is kept beside it. Other tasks hand it
// events; its actions reach them by channels that have room, so that no socket
// ever holds it up.
type loop struct {
	g         *Gateway
	b         *choice.Balancer
	m         capture.Module // b, or the recorder before it
	record    *recording     // nil: off
	events    chan event
	watches   chan struct{} // orders to the watch task
	now       choice.Micros // read once a turn
	lost      []string      // sites, as last told
	sitesAt   choice.Micros // when they are looked at next
	timers    timers
	requests  *memory.Table
	registry  *memory.Registry
	view      *subset.Selector // what of the registry's list the module is told
	inForce   time.Time        // when the list came that is held
	busy      time.Duration
	reports   figures.ReportAge
	told      bool                       // the registry itself has answered
	book      *contract.Book             // nil: no contracts
	books     capture.Books              // the book, or the recorder before it
	files     *Contracts                 // that the settings name; nil: none
	versioned []contract.Terms           // a version's, in the place of theirs; nil: it has none
	shares    shares                     // what this gateway's parts of contracts are told from
	later     []event                    // that an order brought about; applied at the end of the turn
	truth     map[string]socket.Instance // the list as the registry has it, without marks
	marks     map[string]bool            // workers that a version drains
	out       map[string]struct{}        // replicas that operators have out
	outStart  map[string]int64           // when these had started, as listed when they were first seen out
}

func newLoop(g *Gateway) (*loop, error) {
	l := &loop{g: g, events: make(chan event, 1024), watches: make(chan struct{}, 1),
		requests: memory.NewTable(), registry: memory.NewRegistry(), truth: map[string]socket.Instance{}, outStart: map[string]int64{}}
	if g.o.Orders != nil {
		l.out = g.o.Orders.AllOut()
	}
	var err error
	if l.b, err = choice.New(g.o.Settings, g.o.Seed, l); err != nil {
		return nil, err
	}
	l.m = l.b
	l.view = subset.NewSelector(g.o.Subset, l.b)
	return l, nil
}

// post hands the loop an event.
func (l *loop) post(ctx context.Context, e event) {
	select {
	case l.events <- e:
	case <-ctx.Done():
	}
}

func (l *loop) run(ctx context.Context) {
	l.now = l.g.clock.now()
	l.m.Start(l.now)
	l.list(l.g.o.Known, choice.ListCached)
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		var first event
		select {
		case first = <-l.events:
		case <-wake.C:
		case <-ctx.Done():
			return
		}
		l.now = l.g.clock.now()
		begun := time.Now()
		if first != nil {
			first.apply(l)
		}
		for n := len(l.events); n > 0; n-- {
			(<-l.events).apply(l)
		}
		for len(l.timers) > 0 && l.timers[0].at <= l.now {
			t := heap.Pop(&l.timers).(timer)
			l.m.TimerFired(l.now, t.token)
		}
		for len(l.later) > 0 {
			e := l.later[0]
			l.later = l.later[1:]
			e.apply(l)
		}
		l.sites()
		l.busy += time.Since(begun)
		if len(l.timers) > 0 {
			wake.Reset(time.Until(l.g.clock.at(l.timers[0].at)))
		}
	}
}

// sitesEvery is how often what is lost is looked at, to tell of it.
const sitesEvery choice.Micros = 250_000

// sites logs that a site was lost or is back.
func (l *loop) sites() {
	if l.now < l.sitesAt {
		return
	}
	l.sitesAt = l.now + sitesEvery
	lost, alone := l.b.UnavailableZones()
	for _, name := range lost {
		if !slices.Contains(l.lost, name) {
			slog.Warn("zone_lost", "zone", name, "isolated", alone)
		}
	}
	for _, name := range l.lost {
		if !slices.Contains(lost, name) {
			slog.Info("zone_recovered", "zone", name)
		}
	}
	l.lost = lost
}

// The events.

type arrived struct {
	r    *memory.Request
	live *live // the version by which its head was read
	told bool  // its client has told its deadline
}

func (e arrived) apply(l *loop) {
	l.requests.Add(e.r)
	// A version that came in force behind its head has it whole or not at all: under the one its class
	// was known, and the other would have served it as of no class, or by two classes' times.
	if now := l.g.live.Load(); now != e.live {
		was, _ := e.live.class(e.r.BalancerRequest.Class)
		is, err := now.class(e.r.BalancerRequest.Class)
		if err != nil {
			l.answer(e.r.ID, memory.Action{Kind: memory.ActionReject, Reason: err.Error()})
			return
		}
		if !e.told {
			e.r.Deadline += is.Deadline - was.Deadline
		}
	}
	e.r.BalancerRequest.TimeLeft = max(0, e.r.Deadline-l.now)
	if !l.admitted(e.r) {
		return
	}
	if home, tell := l.view.AssignAffinityTarget(l.now, &e.r.BalancerRequest); tell {
		l.m.ListChanged(l.now, home)
	}
	l.m.RequestArrived(l.now, e.r.BalancerRequest)
}

// left says that a client has gone.
type left struct{ r *memory.Request }

func (e left) apply(l *loop) {
	if !e.r.Finished {
		e.r.Finished = true
		l.m.ClientGone(l.now, e.r.ID)
	}
	// Its task has ended: orders that it did not take up have no other end, and
	// the module would count them as out for ever.
	for len(e.r.Actions) > 0 {
		if a := <-e.r.Actions; a.Kind == memory.ActionForward {
			a.Attempt.Cancel()
			ended{d: a.Attempt, status: choice.NotSent}.apply(l)
		}
	}
	l.release(e.r)
	l.requests.RemoveIfFinished(e.r)
}

// opened says that an attempt's stream has begun. The first one is the
// client's; any other is of no more use.
type opened struct{ d *memory.Attempt }

func (e opened) apply(l *loop) {
	r := e.d.Request
	if r.Finished || r.Winner != nil {
		e.d.Cancel()
		return
	}
	r.Winner = e.d
	// The others are called off before the client gets anything: nothing is sent for it from then on.
	l.m.FirstToken(l.now, choice.Outcome{ID: r.ID, Attempt: e.d.Index, Replica: e.d.Replica.ID, Elapsed: l.now - e.d.SentAt})
	r.Actions <- memory.Action{Kind: memory.ActionStream, Attempt: e.d}
}

// ended is an attempt's one outcome.
type ended struct {
	d      *memory.Attempt
	status choice.Status
	kept   int
	tokens int
	report choice.LoadReport
	reused bool // over a kept connection
	code   int  // the answer's status, where it was not 200
}

var statusWords = map[choice.Status]string{choice.Served: "served", choice.Errored: "error", choice.Shed: "shed",
	choice.TimedOut: "timeout", choice.ConnectFailed: "connect_failed", choice.ConnBroken: "reset",
	choice.Cancelled: "cancelled", choice.NotSent: "not_sent", choice.Malformed: "malformed", choice.Rejected: "rejected"}

func (e ended) apply(l *loop) {
	if !l.requests.FinishAttempt(e.d) {
		return
	}
	r := e.d.Request
	if r.Winner == e.d {
		r.Finished = true
	}
	e.d.NeverRan = e.status.NeverRan()
	l.settle(&e)
	l.reported(e.d.Replica, &e.report)
	if e.status != choice.Served {
		slog.LogAttrs(context.Background(), slog.LevelInfo, "attempt", slog.String("id", r.ClientRequestID), slog.Int("attempt", e.d.Index),
			slog.String("kind", e.d.Cause), slog.String("replica", e.d.Replica.Instance.ID), slog.String("status", statusWords[e.status]),
			slog.Int64("elapsed_ms", (l.now-e.d.SentAt)/1000), slog.Bool("streamed", r.Winner == e.d), slog.Bool("reused", e.reused),
			slog.Int("http_status", e.code))
	}
	l.m.AttemptEnded(l.now, choice.Outcome{ID: r.ID, Attempt: e.d.Index, Replica: e.d.Replica.ID, Status: e.status,
		Elapsed: l.now - e.d.SentAt, Final: r.Finished, CachedTokens: e.kept, OutputTokens: e.tokens, Report: e.report})
	l.requests.RemoveIfFinished(r)
}

type probed struct {
	w       *memory.Replica
	status  choice.Status
	elapsed choice.Micros
	report  choice.LoadReport
}

func (e probed) apply(l *loop) {
	l.reported(e.w, &e.report)
	l.m.HealthCheckEnded(l.now, choice.Outcome{Replica: e.w.ID, Status: e.status, Elapsed: e.elapsed, Report: e.report})
}

// listed is an answer of the registry; failed, the lack of one.
type listed struct{ list socket.List }

func (e listed) apply(l *loop) {
	kind := choice.ListDelta
	if e.list.Reset {
		kind = choice.ListFull
	}
	l.list(e.list, kind)
}

type listFailed struct {
	err       error
	unreached bool // discovery was not there at all
	heard     chan struct{}
}

func (e listFailed) apply(l *loop) {
	slog.Info("discovery_failed", "err", e.err)
	kind := choice.ListFailed
	if e.unreached {
		kind = choice.ListUnreachable
	}
	select { // ordered while the call ran: answered by its failure
	case <-l.watches:
	default:
	}
	l.m.ListChanged(l.now, choice.EndpointList{Kind: kind})
	close(e.heard)
}

func (l *loop) list(in socket.List, kind choice.ListKind) {
	l.take(in, kind, false)
	if kind != choice.ListCached && !l.told {
		l.told = true
		l.g.heard.Store(true)
		if l.g.o.Orders != nil {
			go l.g.prove()
		}
	}
	l.setReady()
}

// take enters a list, or what this gateway's own marks change about it.
func (l *loop) take(in socket.List, kind choice.ListKind, own bool) {
	in = l.completed(in)
	l.noteListed(in)
	in = l.marked(in, kind)
	out, left := l.registry.Apply(in, kind, l.g.clock.since)
	if own {
		out.Kind = choice.ListOverride
	}
	for _, key := range left {
		l.g.pool.CloseIdle(key)
	}
	l.m.ListChanged(l.now, l.view.Apply(l.now, out))
	l.inForce = l.g.clock.at(l.now)
	if len(in.Instances) > 0 {
		of := l.view.Stats()
		slog.Info("endpoint_list", "kind", kindWords[kind], "version", in.Generation, "entries", len(in.Instances), "ready", l.registry.ReadyCount(),
			"subset", of.Subset, "joined", of.Joined, "left", of.Left)
	}
}

// completed has odd entries of a list complete by what was known of their replicas; those of replicas
// that were not known are left out.
func (l *loop) completed(in socket.List) socket.List {
	if in.OddEntries == 0 {
		return in
	}
	out := in
	out.Instances = nil
	for _, i := range in.Instances {
		if i.Partial {
			known, ok := l.truth[i.ID]
			if !ok {
				continue
			}
			i = i.Over(known)
		}
		out.Instances = append(out.Instances, i)
	}
	return out
}

var kindWords = map[choice.ListKind]string{choice.ListDelta: "delta", choice.ListFull: "full", choice.ListCached: "saved"}

// setReady opens the gateway to the front once a worker can be sent to. The list
// as last held will do: where all gateways come back at once, the registry has no
// turn for some of them for seconds.
func (l *loop) setReady() {
	if (l.registry.ReadyCount() > 0 || l.onlyOut()) && !l.g.ready.Swap(true) {
		slog.Info("ready", "replicas", l.registry.ReadyCount(), "from_discovery", l.told)
	}
}

// The actions: choice.Sink.

func (l *loop) Dispatch(id choice.RequestID, to choice.ReplicaID, cutAt choice.Micros) {
	r, w := l.requests.Get(id), l.registry.ByID(to)
	if r == nil || r.Finished || r.Winner != nil {
		return
	}
	if cutAt <= 0 || cutAt > r.Deadline {
		cutAt = r.Deadline
	}
	if w == nil { // the list has changed under the decision: it never ran
		w = &memory.Replica{ID: to}
	}
	l.noteReport(to)
	d := l.requests.StartAttempt(r, w, l.now, cutAt)
	d.Cause = whyAttempted(r)
	if !l.charged(d) {
		return
	}
	r.Actions <- memory.Action{Kind: memory.ActionForward, Attempt: d}
}

func (l *loop) Shed(id choice.RequestID, retryAfter choice.Micros) {
	l.answer(id, memory.Action{Kind: memory.ActionShed, RetryAfter: retryAfter, Reason: l.whyRefused(id)})
}

// whyRefused tells, for the log, what a refusal of the module's comes from.
func (l *loop) whyRefused(id choice.RequestID) string {
	r := l.requests.Get(id)
	switch {
	case r == nil:
		return ""
	case l.now >= r.Deadline-nearDeadline:
		return "deadline"
	case l.registry.ReadyCount() == 0:
		return "no_replica"
	case len(r.Attempts) > 0:
		return "attempts_failed"
	}
	return "admission"
}

// nearDeadline is how long before a client's time is over a refusal is put down to it.
const nearDeadline choice.Micros = 20_000

// whyAttempted tells, for the log, what the newest attempt of a request is.
func whyAttempted(r *memory.Request) string {
	switch {
	case len(r.Attempts) == 1:
		return "first"
	case r.AttemptsInFlight() > 1:
		return "hedge"
	}
	return "retry"
}

func (l *loop) Fail(id choice.RequestID) { l.answer(id, memory.Action{Kind: memory.ActionFail}) }

func (l *loop) answer(id choice.RequestID, a memory.Action) {
	r := l.requests.Get(id)
	if r == nil || r.Finished || r.Winner != nil {
		return
	}
	r.Finished = true
	r.Actions <- a
	l.release(r)
	l.turnedAway(r)
	l.requests.RemoveIfFinished(r)
}

func (l *loop) Cancel(id choice.RequestID, attempt int) {
	r := l.requests.Get(id)
	if r == nil || attempt < 0 || attempt >= len(r.Attempts) {
		return
	}
	if d := r.Attempts[attempt]; d != r.Winner { // a begun stream is the client's
		d.Cancel()
	}
}

func (l *loop) SetTimer(delay choice.Micros, token uint64) {
	heap.Push(&l.timers, timer{at: l.now + delay, token: token})
}

func (l *loop) HealthCheck(to choice.ReplicaID) {
	if w := l.registry.ByID(to); w != nil {
		go l.g.probe(w)
	}
}

func (l *loop) WatchDiscovery() {
	select {
	case l.watches <- struct{}{}:
	default: // one is ordered already
	}
}

// Gossip is never asked for: lifecycle tells the module that gateways here
// have no way to each other.
func (l *loop) Gossip([]byte) {}

type timer struct {
	at    choice.Micros
	token uint64
}

type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	x := old[len(old)-1]
	*t = old[:len(old)-1]
	return x
}
