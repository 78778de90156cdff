package gateway

import (
	"container/heap"
	"context"
	"log/slog"
	"slices"
	"time"

	"archknot/balancer"
	"archknot/internal/capture"
	"archknot/internal/contract"
	"archknot/internal/controlstats"
	"archknot/internal/endpoint"
	"archknot/internal/httpwire"
	"archknot/internal/inflight"
	"archknot/internal/subset"
)

// event is something that happened, to be told to the module by the loop.
type event interface{ apply(l *eventLoop) }

// eventLoop owns the module and all that is kept beside it. Other tasks hand it
// events; its actions reach them by channels that have room, so that no socket
// ever holds it up.
type eventLoop struct {
	gateway           *Gateway
	balancer          *balancer.Balancer
	module            capture.Module    // b, or the recorder before it
	recording         *captureRecording // nil: off
	events            chan event
	pollRequests      chan struct{}   // orders to the watch task
	now               balancer.Micros // read once a turn
	lostZones         []string        // sites, as last told
	nextZoneCheck     balancer.Micros // when they are looked at next
	timers            timerQueue
	requests          *inflight.Table
	endpoints         *endpoint.Registry
	view              *subset.Selector // what of the registry's list the module is told
	listReceivedAt    time.Time        // when the list came that is held
	busy              time.Duration
	reports           controlstats.ReportAge
	discoveryAnswered bool                         // the registry itself has answered
	ledger            *contract.Ledger             // nil: no contracts
	recordedLedger    capture.ContractLedger       // the book, or the recorder before it
	fileContracts     *Contracts                   // that the settings name; nil: none
	versionContracts  []contract.Terms             // a version's, in the place of theirs; nil: it has none
	quotaShares       quotaShares                  // what this gateway's parts of contracts are told from
	deferred          []event                      // that an order brought about; applied at the end of the turn
	listed            map[string]httpwire.Endpoint // the list as the registry has it, without marks
	drainMarks        map[string]bool              // workers that a version drains
	ejected           map[string]struct{}          // replicas that operators have out
	ejectedStart      map[string]int64             // when these had started, as listed when they were first seen out
}

func newEventLoop(g *Gateway) (*eventLoop, error) {
	l := &eventLoop{gateway: g, events: make(chan event, 1024), pollRequests: make(chan struct{}, 1),
		requests: inflight.NewTable(), endpoints: endpoint.NewRegistry(), listed: map[string]httpwire.Endpoint{}, ejectedStart: map[string]int64{}}
	if g.options.Orders != nil {
		l.ejected = g.options.Orders.AllEjected()
	}
	var err error
	if l.balancer, err = balancer.New(g.options.Settings, g.options.Seed, l); err != nil {
		return nil, err
	}
	l.module = l.balancer
	l.view = subset.NewSelector(g.options.Subset, l.balancer)
	return l, nil
}

// post hands the loop an event.
func (l *eventLoop) post(ctx context.Context, e event) {
	select {
	case l.events <- e:
	case <-ctx.Done():
	}
}

func (l *eventLoop) run(ctx context.Context) {
	l.now = l.gateway.clock.now()
	l.module.Start(l.now)
	l.receiveList(l.gateway.options.CachedList, balancer.ListCached)
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
		l.now = l.gateway.clock.now()
		begun := time.Now()
		if first != nil {
			first.apply(l)
		}
		for n := len(l.events); n > 0; n-- {
			(<-l.events).apply(l)
		}
		for len(l.timers) > 0 && l.timers[0].at <= l.now {
			t := heap.Pop(&l.timers).(timer)
			l.module.TimerFired(l.now, t.token)
		}
		for len(l.deferred) > 0 {
			e := l.deferred[0]
			l.deferred = l.deferred[1:]
			e.apply(l)
		}
		l.logZoneChanges()
		l.busy += time.Since(begun)
		if len(l.timers) > 0 {
			wake.Reset(time.Until(l.gateway.clock.timeAt(l.timers[0].at)))
		}
	}
}

// zoneCheckInterval is how often what is lost is looked at, to tell of it.
const zoneCheckInterval balancer.Micros = 250_000

// logZoneChanges logs that a site was lost or is back.
func (l *eventLoop) logZoneChanges() {
	if l.now < l.nextZoneCheck {
		return
	}
	l.nextZoneCheck = l.now + zoneCheckInterval
	lost, alone := l.balancer.UnavailableZones()
	for _, name := range lost {
		if !slices.Contains(l.lostZones, name) {
			slog.Warn("zone_lost", "zone", name, "isolated", alone)
		}
	}
	for _, name := range l.lostZones {
		if !slices.Contains(lost, name) {
			slog.Info("zone_recovered", "zone", name)
		}
	}
	l.lostZones = lost
}

// The events.

type requestArrived struct {
	request     *inflight.Request
	config      *liveConfig // the version by which its head was read
	hasDeadline bool        // its client has told its deadline
}

func (e requestArrived) apply(l *eventLoop) {
	l.requests.Add(e.request)
	// A version that came in force behind its head has it whole or not at all: under the one its class
	// was known, and the other would have served it as of no class, or by two classes' times.
	if now := l.gateway.config.Load(); now != e.config {
		was, _ := e.config.class(e.request.BalancerRequest.Class)
		is, err := now.class(e.request.BalancerRequest.Class)
		if err != nil {
			l.sendFinalAnswer(e.request.ID, inflight.Action{Kind: inflight.ActionReject, Reason: err.Error()})
			return
		}
		if !e.hasDeadline {
			e.request.Deadline += is.Deadline - was.Deadline
		}
	}
	e.request.BalancerRequest.TimeLeft = max(0, e.request.Deadline-l.now)
	if !l.admitByContract(e.request) {
		return
	}
	if home, tell := l.view.AssignAffinityTarget(l.now, &e.request.BalancerRequest); tell {
		l.module.ListChanged(l.now, home)
	}
	l.module.RequestArrived(l.now, e.request.BalancerRequest)
}

// clientGone says that a client has gone.
type clientGone struct{ request *inflight.Request }

func (e clientGone) apply(l *eventLoop) {
	if !e.request.Finished {
		e.request.Finished = true
		l.module.ClientGone(l.now, e.request.ID)
	}
	// Its task has ended: orders that it did not take up have no other end, and
	// the module would count them as out for ever.
	for len(e.request.Actions) > 0 {
		if a := <-e.request.Actions; a.Kind == inflight.ActionForward {
			a.Attempt.Cancel()
			attemptEnded{attempt: a.Attempt, status: balancer.NotSent}.apply(l)
		}
	}
	l.releaseCharge(e.request)
	l.requests.RemoveIfFinished(e.request)
}

// streamOpened says that an attempt's stream has begun. The first one is the
// client's; any other is of no more use.
type streamOpened struct{ attempt *inflight.Attempt }

func (e streamOpened) apply(l *eventLoop) {
	r := e.attempt.Request
	if r.Finished || r.Winner != nil {
		e.attempt.Cancel()
		return
	}
	r.Winner = e.attempt
	// The others are called off before the client gets anything: nothing is sent for it from then on.
	l.module.FirstToken(l.now, balancer.Outcome{ID: r.ID, Attempt: e.attempt.Index, Replica: e.attempt.Replica.ID, Elapsed: l.now - e.attempt.SentAt})
	r.Actions <- inflight.Action{Kind: inflight.ActionStream, Attempt: e.attempt}
}

// attemptEnded is an attempt's one outcome.
type attemptEnded struct {
	attempt      *inflight.Attempt
	status       balancer.Status
	cachedTokens int
	outputTokens int
	report       balancer.LoadReport
	reused       bool // over a kept connection
	httpStatus   int  // the answer's status, where it was not 200
}

var attemptStatusNames = map[balancer.Status]string{balancer.Served: "served", balancer.Errored: "error", balancer.Shed: "shed",
	balancer.TimedOut: "timeout", balancer.ConnectFailed: "connect_failed", balancer.ConnBroken: "reset",
	balancer.Cancelled: "cancelled", balancer.NotSent: "not_sent", balancer.Malformed: "malformed", balancer.Rejected: "rejected"}

func (e attemptEnded) apply(l *eventLoop) {
	if !l.requests.FinishAttempt(e.attempt) {
		return
	}
	r := e.attempt.Request
	if r.Winner == e.attempt {
		r.Finished = true
	}
	e.attempt.NeverRan = e.status.NeverRan()
	l.settleAttempt(&e)
	l.recordReplicaLoad(e.attempt.Replica, &e.report)
	if e.status != balancer.Served {
		slog.LogAttrs(context.Background(), slog.LevelInfo, "attempt", slog.String("id", r.ClientRequestID), slog.Int("attempt", e.attempt.Index),
			slog.String("kind", e.attempt.Cause), slog.String("replica", e.attempt.Replica.Endpoint.ID), slog.String("status", attemptStatusNames[e.status]),
			slog.Int64("elapsed_ms", (l.now-e.attempt.SentAt)/1000), slog.Bool("streamed", r.Winner == e.attempt), slog.Bool("reused", e.reused),
			slog.Int("http_status", e.httpStatus))
	}
	l.module.AttemptEnded(l.now, balancer.Outcome{ID: r.ID, Attempt: e.attempt.Index, Replica: e.attempt.Replica.ID, Status: e.status,
		Elapsed: l.now - e.attempt.SentAt, Final: r.Finished, CachedTokens: e.cachedTokens, OutputTokens: e.outputTokens, Report: e.report})
	l.requests.RemoveIfFinished(r)
}

type healthCheckEnded struct {
	replica *endpoint.Replica
	status  balancer.Status
	elapsed balancer.Micros
	report  balancer.LoadReport
}

func (e healthCheckEnded) apply(l *eventLoop) {
	l.recordReplicaLoad(e.replica, &e.report)
	l.module.HealthCheckEnded(l.now, balancer.Outcome{Replica: e.replica.ID, Status: e.status, Elapsed: e.elapsed, Report: e.report})
}

// listReceived is an answer of the registry; failed, the lack of one.
type listReceived struct{ list httpwire.EndpointList }

func (e listReceived) apply(l *eventLoop) {
	kind := balancer.ListDelta
	if e.list.Reset {
		kind = balancer.ListFull
	}
	l.receiveList(e.list, kind)
}

type listPollFailed struct {
	err         error
	unreachable bool // discovery was not there at all
	handled     chan struct{}
}

func (e listPollFailed) apply(l *eventLoop) {
	slog.Info("discovery_failed", "err", e.err)
	kind := balancer.ListFailed
	if e.unreachable {
		kind = balancer.ListUnreachable
	}
	select { // ordered while the call ran: answered by its failure
	case <-l.pollRequests:
	default:
	}
	l.module.ListChanged(l.now, balancer.EndpointList{Kind: kind})
	close(e.handled)
}

func (l *eventLoop) receiveList(in httpwire.EndpointList, kind balancer.ListKind) {
	l.applyList(in, kind, false)
	if kind != balancer.ListCached && !l.discoveryAnswered {
		l.discoveryAnswered = true
		l.gateway.discoveryAnswered.Store(true)
		if l.gateway.options.Orders != nil {
			go l.gateway.confirmEjections()
		}
	}
	l.updateReady()
}

// applyList enters a list, or what this gateway's own marks change about it.
func (l *eventLoop) applyList(in httpwire.EndpointList, kind balancer.ListKind, own bool) {
	in = l.fillPartialEntries(in)
	l.recordListed(in)
	in = l.overlayWithheld(in, kind)
	out, left := l.endpoints.Apply(in, kind, l.gateway.clock.fromUnixMillis)
	if own {
		out.Kind = balancer.ListOverride
	}
	for _, key := range left {
		l.gateway.pool.CloseIdle(key)
	}
	l.module.ListChanged(l.now, l.view.Apply(l.now, out))
	l.listReceivedAt = l.gateway.clock.timeAt(l.now)
	if len(in.Endpoints) > 0 {
		of := l.view.Stats()
		slog.Info("endpoint_list", "kind", listKindNames[kind], "version", in.Generation, "entries", len(in.Endpoints), "ready", l.endpoints.ReadyCount(),
			"subset", of.Subset, "joined", of.Joined, "left", of.Left)
	}
}

// fillPartialEntries has odd entries of a list complete by what was known of their replicas; those of replicas
// that were not known are left out.
func (l *eventLoop) fillPartialEntries(in httpwire.EndpointList) httpwire.EndpointList {
	if in.InvalidEntryCount == 0 {
		return in
	}
	out := in
	out.Endpoints = nil
	for _, i := range in.Endpoints {
		if i.Partial {
			known, ok := l.listed[i.ID]
			if !ok {
				continue
			}
			i = i.ApplyStateTo(known)
		}
		out.Endpoints = append(out.Endpoints, i)
	}
	return out
}

var listKindNames = map[balancer.ListKind]string{balancer.ListDelta: "delta", balancer.ListFull: "full", balancer.ListCached: "saved"}

// updateReady opens the gateway to the front once a worker can be sent to. The list
// as last held will do: where all gateways come back at once, the registry has no
// turn for some of them for seconds.
func (l *eventLoop) updateReady() {
	if (l.endpoints.ReadyCount() > 0 || l.allEjected()) && !l.gateway.ready.Swap(true) {
		slog.Info("ready", "replicas", l.endpoints.ReadyCount(), "from_discovery", l.discoveryAnswered)
	}
}

// The actions: choice.Sink.

func (l *eventLoop) Dispatch(id balancer.RequestID, to balancer.ReplicaID, cutAt balancer.Micros) {
	r, w := l.requests.Get(id), l.endpoints.ByID(to)
	if r == nil || r.Finished || r.Winner != nil {
		return
	}
	if cutAt <= 0 || cutAt > r.Deadline {
		cutAt = r.Deadline
	}
	if w == nil { // the list has changed under the decision: it never ran
		w = &endpoint.Replica{ID: to}
	}
	l.recordReportAge(to)
	d := l.requests.StartAttempt(r, w, l.now, cutAt)
	d.Cause = attemptReason(r)
	if !l.chargeAttempt(d) {
		return
	}
	r.Actions <- inflight.Action{Kind: inflight.ActionForward, Attempt: d}
}

func (l *eventLoop) Shed(id balancer.RequestID, retryAfter balancer.Micros) {
	l.sendFinalAnswer(id, inflight.Action{Kind: inflight.ActionShed, RetryAfter: retryAfter, Reason: l.shedReason(id)})
}

// shedReason tells, for the log, what a refusal of the module's comes from.
func (l *eventLoop) shedReason(id balancer.RequestID) string {
	r := l.requests.Get(id)
	switch {
	case r == nil:
		return ""
	case l.now >= r.Deadline-nearDeadline:
		return "deadline"
	case l.endpoints.ReadyCount() == 0:
		return "no_replica"
	case len(r.Attempts) > 0:
		return "attempts_failed"
	}
	return "admission"
}

// nearDeadline is how long before a client's time is over a refusal is put down to it.
const nearDeadline balancer.Micros = 20_000

// attemptReason tells, for the log, what the newest attempt of a request is.
func attemptReason(r *inflight.Request) string {
	switch {
	case len(r.Attempts) == 1:
		return "first"
	case r.AttemptsInFlight() > 1:
		return "hedge"
	}
	return "retry"
}

func (l *eventLoop) Fail(id balancer.RequestID) {
	l.sendFinalAnswer(id, inflight.Action{Kind: inflight.ActionFail})
}

func (l *eventLoop) sendFinalAnswer(id balancer.RequestID, a inflight.Action) {
	r := l.requests.Get(id)
	if r == nil || r.Finished || r.Winner != nil {
		return
	}
	r.Finished = true
	r.Actions <- a
	l.releaseCharge(r)
	l.recordShed(r)
	l.requests.RemoveIfFinished(r)
}

func (l *eventLoop) Cancel(id balancer.RequestID, attempt int) {
	r := l.requests.Get(id)
	if r == nil || attempt < 0 || attempt >= len(r.Attempts) {
		return
	}
	if d := r.Attempts[attempt]; d != r.Winner { // a begun stream is the client's
		d.Cancel()
	}
}

func (l *eventLoop) SetTimer(delay balancer.Micros, token uint64) {
	heap.Push(&l.timers, timer{at: l.now + delay, token: token})
}

func (l *eventLoop) HealthCheck(to balancer.ReplicaID) {
	if w := l.endpoints.ByID(to); w != nil {
		go l.gateway.runHealthCheck(w)
	}
}

func (l *eventLoop) WatchDiscovery() {
	select {
	case l.pollRequests <- struct{}{}:
	default: // one is ordered already
	}
}

// Gossip is never asked for: lifecycle tells the module that gateways here
// have no way to each other.
func (l *eventLoop) Gossip([]byte) {}

type timer struct {
	at    balancer.Micros
	token uint64
}

type timerQueue []timer

func (t timerQueue) Len() int           { return len(t) }
func (t timerQueue) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timerQueue) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timerQueue) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timerQueue) Pop() any {
	old := *t
	x := old[len(old)-1]
	*t = old[:len(old)-1]
	return x
}
