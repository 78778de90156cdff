package balancer

import (
	"fmt"
	"math/rand"
	"testing"
)

// ruleChecker checks actions for violations of rules 1 to 3 of the package comment.
type ruleChecker struct {
	t        *testing.T
	settings Settings
	now      Micros
	class    map[RequestID]*Class
	answered map[RequestID]bool // shed or failed by the Balancer
	finished map[RequestID]bool // answered by a replica, or abandoned by its client
	sent     map[RequestID][]sentAttempt
	deadline map[RequestID]Micros
	blocked  map[ReplicaID]bool // draining or removed
	endpoint map[ReplicaID]Endpoint
}

// sentAttempt is an attempt that the Balancer has dispatched.
type sentAttempt struct {
	to     ReplicaID
	at     Micros
	ended  bool
	status Status
}

func newRuleChecker(t *testing.T, s Settings) ruleChecker {
	t.Helper()
	return ruleChecker{t: t, settings: s, class: map[RequestID]*Class{}, answered: map[RequestID]bool{}, finished: map[RequestID]bool{},
		sent: map[RequestID][]sentAttempt{}, deadline: map[RequestID]Micros{}, blocked: map[ReplicaID]bool{},
		endpoint: map[ReplicaID]Endpoint{}}
}

func (c *ruleChecker) check(actions []recordedAction) {
	for _, a := range actions {
		switch a.kind {
		case "dispatch":
			c.checkDispatch(a)
		case "shed", "fail":
			c.checkAnswer(a)
		}
	}
}

// checkDispatch checks that the request may have another attempt, at the replica of the action.
func (c *ruleChecker) checkDispatch(a recordedAction) {
	class := c.class[a.id]
	if c.answered[a.id] || c.finished[a.id] {
		c.t.Fatalf("request %d: dispatched after its end", a.id)
	}
	if c.blocked[a.to] {
		c.t.Fatalf("request %d: dispatched to %d, which is draining or removed", a.id, a.to)
	}
	for _, earlier := range c.sent[a.id] {
		if !earlier.ended && !c.settings.MayHedge {
			c.t.Fatalf("request %d: two attempts in flight without hedging", a.id)
		}
		if class.Idempotency == Idempotent || earlier.ended && earlier.status.NeverRan() {
			continue
		}
		from, to := c.endpoint[earlier.to], c.endpoint[a.to]
		if class.Idempotency == NonIdempotent || c.now-earlier.at > class.DedupWindow || class.DedupScope == DedupZone && from.Zone != to.Zone ||
			class.DedupScope == DedupCell && from.Cell != to.Cell {
			c.t.Fatalf("request %d (%s): may take effect twice", a.id, class.Name)
		}
	}
	c.sent[a.id] = append(c.sent[a.id], sentAttempt{to: a.to, at: c.now})
}

// checkAnswer checks that an answer is the only one of its request, and that an overload reply is
// sent only if a repeat is harmless.
func (c *ruleChecker) checkAnswer(a recordedAction) {
	if c.answered[a.id] || c.finished[a.id] {
		c.t.Fatalf("request %d: a second answer", a.id)
	}
	class := c.class[a.id]
	repeatable := class.Idempotency == Idempotent || class.Idempotency == IdempotentWithKey && class.DedupScope == DedupAll
	if a.kind == "shed" && !repeatable {
		for _, earlier := range c.sent[a.id] {
			if !earlier.ended || !earlier.status.NeverRan() {
				c.t.Fatalf("request %d (%s): shed though it may have run", a.id, class.Name)
			}
		}
	}
	c.answered[a.id] = true
}

// noDeadline is the deadline of a request whose stream has begun.
const noDeadline Micros = 1 << 60

// randomFleet plays seeded random events against one Balancer.
type randomFleet struct {
	ruleChecker
	rng    *rand.Rand
	b      *Balancer
	rec    *recorder
	log    []recordedAction
	timers map[Micros][]uint64
	nextID RequestID
	open   []RequestID // requests that have not ended
}

// randomRun plays random events, checks the rules, and returns all actions as text. From time to
// time replace, unless it is nil, gets the Balancer and returns one to continue with.
func randomRun(t *testing.T, seed int64, replace func(*Balancer) *Balancer) string {
	t.Helper()
	f := newRandomFleet(t, seed)
	tick := f.settings.Tick
	for f.now = tick; f.now < 30*second; f.now += tick {
		due := f.timers[f.now]
		delete(f.timers, f.now)
		if replace != nil && f.now%(37*tick) == 0 {
			f.b = replace(f.b)
		}
		for _, token := range due {
			f.b.TimerFired(f.now, token)
			f.flush()
		}
		if f.rng.Intn(3) == 0 {
			f.arrive()
		}
		if f.rng.Intn(100) == 0 {
			f.changeList()
		}
		f.progress()
	}
	if len(f.b.requests) > len(f.open) {
		t.Fatalf("the Balancer has %d requests, %d are open", len(f.b.requests), len(f.open))
	}
	return fmt.Sprint(f.log)
}

// newRandomFleet starts a Balancer with random settings and twelve replicas.
func newRandomFleet(t *testing.T, seed int64) *randomFleet {
	t.Helper()
	rng := rand.New(rand.NewSource(seed))
	s := settings()
	s.Gateways, s.MayHedge, s.MayCancel = 1+rng.Intn(40), rng.Intn(2) == 0, rng.Intn(2) == 0
	s.PollDiscovery = rng.Intn(2) == 0
	s.Classes = nil
	for i, idempotency := range []Idempotency{Idempotent, IdempotentWithKey, IdempotentWithKey, IdempotentWithKey, NonIdempotent, Idempotent} {
		s.Classes = append(s.Classes, Class{Name: fmt.Sprint(i), LatencyObjective: second / 2, Deadline: 3 * second, PriorityWeight: float64(1 + i),
			Idempotency: idempotency, DedupScope: DedupScope(i % 4 % 3), DedupWindow: second, Streaming: i < 5, TokenObjective: 50_000})
	}
	f := &randomFleet{ruleChecker: newRuleChecker(t, s), rng: rng, rec: &recorder{}, timers: map[Micros][]uint64{}, nextID: 1}
	var err error
	if f.b, err = New(s, uint64(seed), f.rec); err != nil {
		t.Fatal(err)
	}
	var all []Endpoint
	for i := range 12 {
		all = append(all, f.newEndpoint(i+1))
	}
	f.b.Start(0)
	f.b.ListChanged(0, EndpointList{Kind: ListFull, Endpoints: all})
	f.flush()
	return f
}

// flush checks the actions since its last call, and schedules their timers.
func (f *randomFleet) flush() {
	f.check(f.rec.actions)
	tick := f.settings.Tick
	for _, a := range f.rec.actions {
		if a.kind == "timer" {
			at := (f.now + max(1, a.delay) + tick - 1) / tick * tick
			f.timers[at] = append(f.timers[at], a.token)
		}
	}
	f.log = append(f.log, f.rec.actions...)
	f.rec.actions = nil
}

// newEndpoint records a replica, or its new state, in the fleet.
func (f *randomFleet) newEndpoint(id int) Endpoint {
	endpoint := Endpoint{Replica: ReplicaID(id), Weight: 1, Kind: "k", Zone: []string{"a", "b"}[id%2], Cell: int64(id % 4)}
	f.endpoint[endpoint.Replica] = endpoint
	return endpoint
}

// arrive plays the arrival of a random request.
func (f *randomFleet) arrive() {
	req := Request{ID: f.nextID, Class: fmt.Sprint(f.rng.Intn(6)), TimeLeft: int64(1+f.rng.Intn(3)) * second,
		PromptTokens: f.rng.Intn(4000), MaxTokens: 400, Session: uint64(f.rng.Intn(50)), Prefix: uint64(f.rng.Intn(9))}
	f.class[f.nextID], f.deadline[f.nextID] = &f.settings.Classes[req.Class[0]-'0'], f.now+req.TimeLeft
	f.open = append(f.open, f.nextID)
	f.nextID++
	f.b.RequestArrived(f.now, req)
	f.flush()
}

// changeList changes the state of a random replica.
func (f *randomFleet) changeList() {
	endpoint := f.newEndpoint(1 + f.rng.Intn(16))
	endpoint.State = EndpointState(f.rng.Intn(3))
	if f.rng.Intn(2) == 0 {
		endpoint.StartedAt = f.now
	}
	f.blocked[endpoint.Replica] = endpoint.State != EndpointReady
	f.b.ListChanged(f.now, EndpointList{Kind: ListDelta, Endpoints: []Endpoint{endpoint}})
	f.flush()
}

// progress ends random attempts, checks all clients, and removes requests that have ended.
func (f *randomFleet) progress() {
	stillOpen := f.open[:0]
	for _, id := range f.open {
		for n := range f.sent[id] {
			if !f.sent[id][n].ended && f.rng.Intn(60) == 0 {
				f.endAttempt(id, n)
			}
		}
		f.checkClient(id)
		open := !f.finished[id] && !f.answered[id]
		for _, a := range f.sent[id] {
			open = open || !a.ended
		}
		if open {
			stillOpen = append(stillOpen, id)
		}
	}
	f.open = stillOpen
}

// endAttempt ends an attempt with a random status, sometimes after a first token.
func (f *randomFleet) endAttempt(id RequestID, n int) {
	a := &f.sent[id][n]
	if f.rng.Intn(2) == 0 && f.class[id].Streaming && !f.finished[id] {
		f.b.FirstToken(f.now, Outcome{ID: id, Attempt: n, Replica: a.to, Elapsed: f.now - a.at})
		f.flush()
		f.deadline[id] = noDeadline
	}
	a.ended, a.status = true, Status(f.rng.Intn(8))
	if f.answered[id] || f.finished[id] {
		a.status = NotSent
	}
	final := a.status == Served || f.finished[id] || f.answered[id] || f.deadline[id] == noDeadline
	if final {
		f.finished[id] = true
	}
	f.b.AttemptEnded(f.now, Outcome{ID: id, Attempt: n, Replica: a.to, Status: a.status,
		Elapsed: f.now - a.at, Final: final, Report: LoadReport{Has: HasMemory, MemoryShare: f.rng.Float64()}})
	f.flush()
}

// checkClient checks that a client has its answer in time, or disconnects it at random.
func (f *randomFleet) checkClient(id RequestID) {
	if f.finished[id] || f.answered[id] {
		return
	}
	if f.rng.Intn(4000) == 0 {
		f.finished[id] = true
		f.b.ClientGone(f.now, id)
		f.flush()
	} else if f.now > f.deadline[id] {
		f.t.Fatalf("request %d: no answer before its deadline", id)
	}
}

// Random runs violate none of rules 1 to 3 of the package comment.
func TestRandomRunsKeepTheRules(t *testing.T) {
	for seed := range int64(12) {
		randomRun(t, seed, nil)
	}
}

// Equal events give equal actions.
func TestSameEventsSameActions(t *testing.T) {
	for seed := range int64(3) {
		first, again := randomRun(t, seed, nil), randomRun(t, seed, nil)
		if first != again {
			t.Fatalf("seed %d: two runs differ", seed)
		}
	}
}
