package balancer

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
)

// Rule 1: every accepted request gets its one answer before its client leaves,
// also when every replica is gone.
func TestDeadlineAnswersWhateverHappens(t *testing.T) {
	b, rec := startBalancer(t, settings(), fleet(2)...)
	b.RequestArrived(101*second, testRequest(1))
	var deadline recordedAction
	for _, a := range rec.take("timer") {
		if a.token&(1<<timerBits-1) == timerDeadline {
			deadline = a
		}
	}
	if deadline.delay <= 0 || deadline.delay >= 4*second {
		t.Fatalf("deadline timer %+v", deadline)
	}
	b.ListChanged(102*second, EndpointList{Kind: ListFull})
	b.TimerFired(101*second+deadline.delay, deadline.token)
	if n := len(rec.take("refuse")); n != 1 {
		t.Fatalf("%d answers at the deadline", n)
	}
	b.TimerFired(110*second, deadline.token)
	b.AttemptEnded(110*second, Outcome{ID: 1, Status: TimedOut, Final: true})
	b.AttemptEnded(110*second, Outcome{ID: 99, Status: Served, Final: true})
	if len(rec.acts) != 0 || len(b.requests) != 0 {
		t.Fatalf("after the answer: %v, %d requests", rec.acts, len(b.requests))
	}
}

func TestNoReadyReplicaShedsAtOnce(t *testing.T) {
	b, rec := startBalancer(t, settings())
	b.RequestArrived(101*second, testRequest(1))
	if r := rec.take("refuse"); len(r) != 1 || r[0].delay <= 0 {
		t.Fatalf("refusals %v", r)
	}
}

// Rule 2: what may follow an attempt, by effect, scope and outcome.
func TestIdempotency(t *testing.T) {
	members := fleet(4)
	members[2].Zone, members[3].Zone = "b", "b"
	members[0].Cell, members[1].Cell = 5, 5
	all := []ReplicaID{2, 3, 4}
	for _, c := range []struct {
		name   string
		effect Idempotency
		scope  DedupScope
		status Status
		after  Micros
		may    []ReplicaID // for a second attempt, the first went to 1
		refuse bool
	}{
		{"safe", Idempotent, DedupAll, Errored, 0, all, true},
		{"unsafe ran", NonIdempotent, DedupAll, Errored, 0, nil, false},
		{"unsafe never ran", NonIdempotent, DedupAll, ConnectFailed, 0, all, true},
		{"keyed all", IdempotentWithKey, DedupAll, ConnBroken, 0, all, true},
		{"keyed zone", IdempotentWithKey, DedupZone, Errored, 0, []ReplicaID{2}, false},
		{"keyed cell", IdempotentWithKey, DedupCell, Errored, 0, []ReplicaID{2}, false},
		{"keyed zone never ran", IdempotentWithKey, DedupZone, Shed, 0, all, true},
		{"keyed forgotten", IdempotentWithKey, DedupAll, Errored, 5 * second, nil, true},
		{"keyed zone, cancelled may have run", IdempotentWithKey, DedupZone, Cancelled, 0, []ReplicaID{2}, false},
	} {
		s := settings()
		s.Classes[0].Idempotency, s.Classes[0].DedupScope, s.Classes[0].DedupWindow = c.effect, c.scope, 5*second
		b, _ := startBalancer(t, s, members...)
		req := &request{Request: testRequest(1), policy: b.policies[0], tenantIndex: -1, avoidZone: -1}
		req.attempts = []*attempt{{row: b.rows[0], sentAt: 101 * second, ended: true, status: c.status}}
		var got []ReplicaID
		for _, row := range b.rows[1:] {
			if b.idempotencyAllows(101*second+c.after, req, row) {
				got = append(got, row.id)
			}
		}
		if fmt.Sprint(got) != fmt.Sprint(c.may) || b.mayShed(req) != c.refuse {
			t.Errorf("%s: may go to %v, refuse %v", c.name, got, b.mayShed(req))
		}
	}
}

func TestNoHedgeWhereForbidden(t *testing.T) {
	s := settings()
	s.MayHedge = false
	b, rec := startBalancer(t, s, fleet(3)...)
	b.hedgeBudget = 8
	b.RequestArrived(101*second, testRequest(1))
	rec.acts = nil
	b.TimerFired(103*second, timerHedge|1<<timerBits)
	if len(rec.take("dispatch")) != 0 {
		t.Fatal("a second copy went out")
	}
}

// Rule 3: nothing goes to what drains or is gone, from the moment of the news.
func TestDrainingReplicasGetNothing(t *testing.T) {
	for _, change := range []EndpointList{
		{Kind: ListDelta, Endpoints: []Endpoint{{Replica: 1, State: EndpointDraining, Kind: "k", Zone: "a"}}},
		{Kind: ListDelta, Endpoints: []Endpoint{{Replica: 1, State: EndpointGone}}},
		{Kind: ListFull, Endpoints: fleet(2)[1:]},
	} {
		b, rec := startBalancer(t, settings(), fleet(2)...)
		b.ListChanged(101*second, change)
		for i := range RequestID(20) {
			if got := dispatched(b, rec, 101*second, testRequest(i)); got == 1 {
				t.Fatalf("%+v: still sent to 1", change)
			}
		}
	}
}

// Rule 4: all gateways together stay under the multiple of what a cold replica
// can do, in any span, though each one's share is far under one request and
// the cold one looks empty. Guards against shares saved up and spent at once.
func TestSlowStartShareOfManyGateways(t *testing.T) {
	const gateways, perGateway = 50, 5.0 // requests a second at each
	s := settings()
	s.Gateways = gateways
	members := fleet(80)
	var nodes []*Balancer
	var recs []*recorder
	for self := range gateways {
		s.Self = self
		rec := &recorder{}
		b, err := New(s, uint64(self+1), rec)
		if err != nil {
			t.Fatal(err)
		}
		b.ListChanged(0, EndpointList{Kind: ListFull, Endpoints: members})
		b.dispatchRate, b.meanCharge, b.meanWork = perGateway, 5100, 5100
		nodes, recs = append(nodes, b), append(recs, rec)
	}
	begin := 100 * second
	for _, b := range nodes {
		b.ListChanged(begin, EndpointList{Kind: ListDelta, Endpoints: []Endpoint{
			{Replica: 1, Kind: "k", Zone: "a", StartedAt: begin}}})
	}
	// The first seconds send nothing there: shares that could be saved up.
	capacity := gateways * perGateway / 80 / 0.6 // requests a second of one warm replica, fleet 60% busy
	sent := 0
	for i, b := range nodes {
		for k := range 10 {
			now := begin + 8*second + int64(k)*s.OverloadWindow/10
			r := testRequest(RequestID(k + 1))
			for _, row := range b.rows[1:] { // everything else looks full
				row.charge, row.unreported = 1e9, 1e9
			}
			if dispatched(b, recs[i], now, r) == 1 {
				sent++
			}
		}
	}
	warm := s.InitialCapacity + (1-s.InitialCapacity)*8/24
	most := s.OverloadMultiple * warm * capacity * float64(s.OverloadWindow) / 1e6
	if float64(sent) > most {
		t.Fatalf("%d requests in a span, at most %.1f may go", sent, most)
	}
	if sent == 0 {
		t.Fatal("a cold replica never gets anything")
	}
}

func TestWhichReplicasWarmUp(t *testing.T) {
	b, _ := startBalancer(t, settings(), fleet(2)...)
	now := 200 * second
	old := b.rows[0]
	if old.warmingUntil > now {
		t.Fatal("a replica that runs since long ago is cold")
	}
	m := fleet(4)
	m[0].StartedAt = now - second // restarted
	m[2].StartedAt = now - second // new, with a start time
	b.ListChanged(now, EndpointList{Kind: ListDelta, Endpoints: m})
	for _, row := range b.rows {
		cold := now < row.warmingUntil
		if want := row.id != 2; cold != want {
			t.Errorf("replica %d cold: %v", row.id, cold)
		}
	}
	// a gateway that itself restarts judges by the start time alone
	b, _ = startBalancer(t, settings(), Endpoint{Replica: 1, Zone: "a", StartedAt: 99 * second}, Endpoint{Replica: 2, Zone: "a"})
	if b.rows[0].warmingUntil <= 100*second || b.rows[1].warmingUntil > 100*second {
		t.Fatal("a restarted gateway misjudges cold replicas")
	}
}

// Quick errors must not make a replica the emptiest: it rests and comes back
// one attempt at a time.
func TestQuickErrorsBackOff(t *testing.T) {
	b, rec := startBalancer(t, settings(), fleet(2)...)
	id := RequestID(1)
	for ; ; id++ {
		to := dispatched(b, rec, 101*second, testRequest(id))
		if to == 1 {
			break
		}
	}
	b.AttemptEnded(101*second, Outcome{ID: id, Replica: 1, Status: Errored, Elapsed: 1000})
	if d := rec.take("dispatch"); len(d) != 1 || d[0].to != 2 {
		t.Fatalf("retry went to %v", d)
	}
	for i := range RequestID(10) {
		if dispatched(b, rec, 101*second, testRequest(100+i)) == 1 {
			t.Fatal("sent to a resting replica")
		}
	}
	sent := 0
	for i := range RequestID(10) {
		if dispatched(b, rec, 110*second, testRequest(200+i)) == 1 {
			sent++
		}
	}
	if sent != 1 {
		t.Fatalf("%d attempts at once to a replica on trial", sent)
	}
}

func TestRetriesAreBounded(t *testing.T) {
	b, rec := startBalancer(t, settings(), fleet(30)...)
	extra := 0
	for i := range RequestID(300) {
		b.RequestArrived(101*second, testRequest(i))
		for n := 0; n < 3; n++ {
			req := b.requests[i]
			if req == nil || req.attempts[n].ended {
				break
			}
			before := len(req.attempts)
			b.AttemptEnded(101*second, Outcome{ID: i, Attempt: n, Replica: req.attempts[n].row.id, Status: Errored})
			if b.requests[i] == nil || len(req.attempts) == before {
				break
			}
			extra++
		}
		rec.acts = nil
	}
	if most := int(budgetCap + defaultRetryRatio*300 + 1); extra > most || extra == 0 {
		t.Fatalf("%d further attempts for 300 requests that all fail, at most %d", extra, most)
	}
}

// Streams that run slower than their token aim count as late though their
// first tokens come in time: else a jammed fleet takes on all that comes.
func TestSlowStreamsLimitAdmission(t *testing.T) {
	serve := func(first Micros) (refused int) {
		b, rec := startBalancer(t, settings(), fleet(4)...)
		now := 101 * second
		for i := range RequestID(600) {
			now += 50_000
			wait := first
			if i < 40 {
				wait = 60_000 // at first all is well
			}
			if i%5 == 0 {
				b.tick(now)
			}
			rec.acts = nil
			b.RequestArrived(now, testRequest(i))
			if len(rec.take("refuse")) > 0 {
				refused++
				continue
			}
			to := b.requests[i].attempts[0].row.id
			b.FirstToken(now+wait, Outcome{ID: i, Replica: to, Elapsed: wait})
			if j := i - 20; i > 20 && b.requests[j] != nil {
				w := b.requests[j].attempts[0].row.id
				b.AttemptEnded(now, Outcome{ID: j, Replica: w, Status: Served, Elapsed: second, Final: true})
			}
		}
		return refused
	}
	if n := serve(60_000); n != 0 {
		t.Errorf("%d refused while all is well", n)
	}
	if n := serve(400_000); n < 50 {
		t.Errorf("only %d refused while streams are far too slow", n)
	}
}

// Once the jam is over, requests are let in again though few had been
// admitted: refusals must not feed themselves.
func TestSheddingEndsWithTheOverload(t *testing.T) {
	b, rec := startBalancer(t, settings(), fleet(4)...)
	b.meanHeldTokens, b.meanInFlightTokens = 1100, 50000
	for range 200 {
		b.recordLateness(1)
	}
	if b.tokenLimit == 0 || b.tokenLimit > 2000 {
		t.Fatalf("limit %v after 200 late requests", b.tokenLimit)
	}
	low := b.tokenLimit
	for now := 101 * second; now < 102*second; now += tickEvery {
		b.meanInFlightTokens = 50000
		b.tick(now) // nothing comes: only time opens it
	}
	if b.tokenLimit < 1.1*low {
		t.Fatalf("limit %v after a second, was %v", b.tokenLimit, low)
	}
	now, refused := 102*second, 0
	for i := range RequestID(200) { // the fleet is idle: each is served at once
		now += 50_000
		if i%5 == 0 {
			b.tick(now)
		}
		rec.acts = nil
		b.RequestArrived(now, testRequest(i))
		if len(rec.take("refuse")) > 0 {
			refused++
			continue
		}
		to := b.requests[i].attempts[0].row.id
		b.FirstToken(now, Outcome{ID: i, Replica: to, Elapsed: 50_000})
		b.AttemptEnded(now, Outcome{ID: i, Replica: to, Status: Served, Elapsed: 60_000, Final: true})
	}
	if refused > 20 {
		t.Fatalf("%d of 200 refused by an idle fleet", refused)
	}
}

// Handshakes of several round trips must not look like slow steps.
func TestConnectionsDoNotLookSlow(t *testing.T) {
	b, _ := startBalancer(t, settings(), fleet(1)...)
	b.firstTokenFit.n = 100
	req := &request{Request: testRequest(1), policy: b.policies[0]}
	slow := false
	for i := range 400 {
		a := &attempt{row: b.rows[0], timeToFirstToken: 50_000, newConn: i%8 != 0}
		if a.newConn {
			a.timeToFirstToken = 150_000
		}
		slow = b.streamsTooSlow(req, a) || slow
	}
	if slow {
		t.Fatal("handshakes counted as slow streams")
	}
}

func TestOverQuotaWeighsLess(t *testing.T) {
	s := settings()
	s.Tenants, s.OverQuotaWeight = []Tenant{{Name: "x", QuotaPerS: 10}, {Name: "y", QuotaPerS: 10}}, 0.1
	b, _ := startBalancer(t, s, fleet(1)...)
	b.tenantRate[0], b.tenantRate[1] = 30, 5
	over := b.weightPerToken(&request{Request: testRequest(1), policy: b.policies[0], tenantIndex: 0})
	within := b.weightPerToken(&request{Request: testRequest(1), policy: b.policies[0], tenantIndex: 1})
	if over > within*0.11 {
		t.Fatalf("over share %v, within %v", over, within)
	}
}

// queue is a registry that answers calls in turn, a tenth of a second each. Those
// that would wait for over two seconds fail then, and it has worked for them too.
type queue struct{ free Micros }

func (q *queue) call(now Micros) (at Micros, ok bool) {
	q.free = max(q.free, now) + second/10
	return min(q.free, now+2*second), q.free <= now+2*second
}

// Eighty gateways that all start at once, as after a mass kill, have the list of a
// registry that answers ten of them a second within twelve seconds, and hardly a
// call fails. All at once, one in five had it.
func TestEightyGatewaysDoNotStallDiscovery(t *testing.T) {
	const gateways = 80
	var q queue
	type one struct {
		b    *Balancer
		rec  *recorder
		at   Micros // when its call ends; 0: none is out
		ok   bool
		told bool
	}
	var all []*one
	for i := range gateways {
		s := settings()
		s.PollDiscovery, s.Gateways, s.Self = true, gateways, i
		g := &one{rec: &recorder{}}
		g.b, _ = New(s, uint64(i+1), g.rec)
		g.b.Start(0)
		all = append(all, g)
	}
	failed := 0
	for now := Micros(0); now < 12*second; now += tickEvery {
		for _, g := range all {
			if g.at > 0 && now >= g.at {
				g.at, g.told = 0, g.ok
				kind := ListFull
				if !g.ok {
					kind = ListFailed
					failed++
				}
				g.b.ListChanged(now, EndpointList{Kind: kind, Endpoints: fleet(2)})
			}
			g.b.tick(now)
			if asked := len(g.rec.take("watch")) > 0; asked && g.at == 0 && !g.told {
				g.at, g.ok = q.call(now)
			}
		}
	}
	told := 0
	for _, g := range all {
		if g.told {
			told++
		}
	}
	if told < gateways || failed > gateways/10 {
		t.Errorf("%d of %d gateways were answered, %d calls failed", told, gateways, failed)
	}
}

func TestDiscoveryPollsAreSpread(t *testing.T) {
	s := settings()
	s.PollDiscovery = true
	rec := &recorder{}
	b, _ := New(s, 3, rec)
	b.Start(0)
	if len(rec.take("watch")) != 1 {
		t.Fatal("not asked at the start")
	}
	last := Micros(0)
	for range 6 {
		b.ListChanged(last, EndpointList{Kind: ListFailed})
		wait := b.nextPollAt - last
		if wait <= 0 || wait > pollBackoffMax {
			t.Fatalf("waits %d", wait)
		}
		b.tick(b.nextPollAt - 1)
		if len(rec.take("watch")) != 0 {
			t.Fatal("asked too early")
		}
		last = b.nextPollAt
		b.tick(last)
		if len(rec.take("watch")) != 1 {
			t.Fatal("not asked again")
		}
	}
	b.ListChanged(last, EndpointList{Kind: ListFull, Endpoints: fleet(1)})
	b.tick(last + 60*second)
	if len(rec.take("watch")) != 0 {
		t.Fatal("asked while subscribed")
	}
}

// checker holds what the four rules need to judge a random run.
type checker struct {
	t        *testing.T
	s        Settings
	now      Micros
	class    map[RequestID]*Class
	answered map[RequestID]bool
	over     map[RequestID]bool
	sent     map[RequestID][]sentAttempt
	deadline map[RequestID]Micros
	blocked  map[ReplicaID]bool
	member   map[ReplicaID]Endpoint
}

type sentAttempt struct {
	to     ReplicaID
	at     Micros
	ended  bool
	status Status
}

func (c *checker) take(acts []recordedAction) {
	for _, a := range acts {
		switch a.what {
		case "dispatch":
			cl := c.class[a.id]
			if c.answered[a.id] || c.over[a.id] {
				c.t.Fatalf("request %d: sent after its end", a.id)
			}
			if c.blocked[a.to] {
				c.t.Fatalf("request %d: sent to %d, which drains or is gone", a.id, a.to)
			}
			for _, e := range c.sent[a.id] {
				if !e.ended && !c.s.MayHedge {
					c.t.Fatalf("request %d: two attempts out", a.id)
				}
				if cl.Idempotency == Idempotent || e.ended && e.status.NeverRan() {
					continue
				}
				endpoint, n := c.member[e.to], c.member[a.to]
				if cl.Idempotency == NonIdempotent || c.now-e.at > cl.DedupWindow || cl.DedupScope == DedupZone && endpoint.Zone != n.Zone ||
					cl.DedupScope == DedupCell && endpoint.Cell != n.Cell {
					c.t.Fatalf("request %d (%s): a second effect", a.id, cl.Name)
				}
			}
			c.sent[a.id] = append(c.sent[a.id], sentAttempt{to: a.to, at: c.now})
		case "refuse", "fail":
			if c.answered[a.id] || c.over[a.id] {
				c.t.Fatalf("request %d: a second answer", a.id)
			}
			if cl := c.class[a.id]; a.what == "refuse" && cl.Idempotency != Idempotent && !(cl.Idempotency == IdempotentWithKey && cl.DedupScope == DedupAll) {
				for _, e := range c.sent[a.id] {
					if !e.ended || !e.status.NeverRan() {
						c.t.Fatalf("request %d (%s): refused though it may have run", a.id, cl.Name)
					}
				}
			}
			c.answered[a.id] = true
		}
	}
}

// randomRun plays seeded random events against one Balancer under the checker
// of rules 1 to 3 and returns all its actions as text. Now and then renew, if
// there is one, gives a Balancer to go on with.
func randomRun(t *testing.T, seed int64, renew func(*Balancer) *Balancer) string {
	rng := rand.New(rand.NewSource(seed))
	s := settings()
	s.Gateways, s.MayHedge, s.MayCancel = 1+rng.Intn(40), rng.Intn(2) == 0, rng.Intn(2) == 0
	s.PollDiscovery = rng.Intn(2) == 0
	s.Classes = nil
	for i, e := range []Idempotency{Idempotent, IdempotentWithKey, IdempotentWithKey, IdempotentWithKey, NonIdempotent, Idempotent} {
		s.Classes = append(s.Classes, Class{Name: fmt.Sprint(i), LatencyObjective: second / 2, Deadline: 3 * second, PriorityWeight: float64(1 + i),
			Idempotency: e, DedupScope: DedupScope(i % 4 % 3), DedupWindow: second, Streaming: i < 5, TokenObjective: 50_000})
	}
	c := &checker{t: t, s: s, class: map[RequestID]*Class{}, answered: map[RequestID]bool{}, over: map[RequestID]bool{},
		sent: map[RequestID][]sentAttempt{}, deadline: map[RequestID]Micros{}, blocked: map[ReplicaID]bool{},
		member: map[ReplicaID]Endpoint{}}
	rec := &recorder{}
	b, err := New(s, uint64(seed), rec)
	if err != nil {
		t.Fatal(err)
	}
	var log []recordedAction
	timers := map[Micros][]uint64{}
	flush := func() {
		c.take(rec.acts)
		for _, a := range rec.acts {
			if a.what == "timer" {
				at := (c.now + max(1, a.delay) + s.Tick - 1) / s.Tick * s.Tick
				timers[at] = append(timers[at], a.token)
			}
		}
		log = append(log, rec.acts...)
		rec.acts = nil
	}
	member := func(id int) Endpoint {
		endpoint := Endpoint{Replica: ReplicaID(id), Weight: 1, Kind: "k", Zone: []string{"a", "b"}[id%2], Cell: int64(id % 4)}
		c.member[endpoint.Replica] = endpoint
		return endpoint
	}
	var all []Endpoint
	for i := range 12 {
		all = append(all, member(i+1))
	}
	b.Start(0)
	b.ListChanged(0, EndpointList{Kind: ListFull, Endpoints: all})
	flush()
	next := RequestID(1)
	var live []RequestID
	for c.now = s.Tick; c.now < 30*second; c.now += s.Tick {
		due := timers[c.now]
		delete(timers, c.now)
		if renew != nil && int64(c.now)%(37*s.Tick) == 0 {
			b = renew(b)
		}
		for _, token := range due {
			b.TimerFired(c.now, token)
			flush()
		}
		if rng.Intn(3) == 0 {
			r := Request{ID: next, Class: fmt.Sprint(rng.Intn(6)), TimeLeft: int64(1+rng.Intn(3)) * second,
				PromptTokens: rng.Intn(4000), MaxTokens: 400, Session: uint64(rng.Intn(50)), Prefix: uint64(rng.Intn(9))}
			c.class[next], c.deadline[next] = &s.Classes[r.Class[0]-'0'], c.now+r.TimeLeft
			live = append(live, next)
			next++
			b.RequestArrived(c.now, r)
			flush()
		}
		if rng.Intn(100) == 0 {
			endpoint := member(1 + rng.Intn(16))
			endpoint.State = EndpointState(rng.Intn(3))
			if rng.Intn(2) == 0 {
				endpoint.StartedAt = c.now
			}
			c.blocked[endpoint.Replica] = endpoint.State != EndpointReady
			b.ListChanged(c.now, EndpointList{Kind: ListDelta, Endpoints: []Endpoint{endpoint}})
			flush()
		}
		keep := live[:0]
		for _, id := range live {
			for n := range c.sent[id] {
				e := &c.sent[id][n]
				if e.ended || rng.Intn(60) != 0 {
					continue
				}
				if rng.Intn(2) == 0 && c.class[id].Streaming && !c.over[id] {
					b.FirstToken(c.now, Outcome{ID: id, Attempt: n, Replica: e.to, Elapsed: c.now - e.at})
					flush()
					c.deadline[id] = 1 << 60
				}
				e.ended, e.status = true, Status(rng.Intn(8))
				if c.answered[id] || c.over[id] {
					e.status = NotSent
				}
				final := e.status == Served || c.over[id] || c.answered[id] || c.deadline[id] == 1<<60
				if final {
					c.over[id] = true
				}
				b.AttemptEnded(c.now, Outcome{ID: id, Attempt: n, Replica: e.to, Status: e.status,
					Elapsed: c.now - e.at, Final: final, Report: LoadReport{Has: HasMemory, MemoryShare: rng.Float64()}})
				flush()
			}
			if !c.over[id] && !c.answered[id] {
				if rng.Intn(4000) == 0 {
					c.over[id] = true
					b.ClientGone(c.now, id)
					flush()
				} else if c.now > c.deadline[id] {
					t.Fatalf("request %d had no answer in time", id)
				}
			}
			open := !c.over[id] && !c.answered[id]
			for _, e := range c.sent[id] {
				open = open || !e.ended
			}
			if open {
				keep = append(keep, id)
			}
		}
		live = keep
	}
	if len(b.requests) > len(live) {
		t.Fatalf("%d requests held, %d open", len(b.requests), len(live))
	}
	return fmt.Sprint(log)
}

func TestRandomRunsKeepTheRules(t *testing.T) {
	for seed := range int64(12) {
		randomRun(t, seed, nil)
	}
}

func TestSameEventsSameActions(t *testing.T) {
	for seed := range int64(3) {
		first, again := randomRun(t, seed, nil), randomRun(t, seed, nil)
		if first != again {
			t.Fatalf("seed %d: two runs differ", seed)
		}
	}
}

// Lateness is counted once, when the aim passes: counted when the answer came,
// a jam went on closing the limit long after it was over.
func TestLatenessCountsWhenTheObjectivePasses(t *testing.T) {
	b, rec := startBalancer(t, settings(), fleet(2)...)
	b.RequestArrived(101*second, testRequest(1))
	var aim recordedAction
	for _, a := range rec.take("timer") {
		if a.token&(1<<timerBits-1) == timerObjective {
			aim = a
		}
	}
	if aim.delay != second {
		t.Fatalf("aim timer %+v", aim)
	}
	b.TimerFired(101*second+aim.delay, aim.token)
	late := b.lateShare
	if late == 0 {
		t.Fatal("not counted when the aim passed")
	}
	b.FirstToken(104*second, Outcome{ID: 1, Replica: b.requests[1].attempts[0].row.id, Elapsed: 3 * second})
	if b.lateShare != late {
		t.Fatal("counted again when the answer came")
	}
}

// A lost zone is tried as a whole: else each of its replicas must fail on its
// own, a connect time-out each.
func TestUnavailableZoneIsTriedAsAWhole(t *testing.T) {
	members := fleet(20)
	for i := range 10 {
		members[i].Zone = "b"
	}
	b, rec := startBalancer(t, settings(), members...)
	fail := func(i int) {
		b.recordAnswer(101*second, b.rows[i], ConnectFailed, false)
		b.recordFailure(101*second, b.rows[i], ConnectFailed)
	}
	inZone := func(now Micros, from RequestID) (n int) {
		for i := range RequestID(15) {
			if dispatched(b, rec, now, testRequest(from+i)) <= 10 {
				n++
			}
		}
		return n
	}
	for i := range 3 {
		fail(i)
	}
	if b.zones.IsUnavailable(b.rows[0].zone) || inZone(101*second, 50) == 0 {
		t.Fatal("three bad workers of ten took their site out of use")
	}
	fail(3)
	if n := inZone(101*second, 1); n != 0 {
		t.Fatalf("%d sent to the zone right after", n)
	}
	rec.acts = nil
	b.tick(103 * second)
	if n := len(rec.take("probe")); b.settings.MayHealthCheck != (n >= 1) {
		t.Fatalf("%d trials by probes", n)
	}
	if n := inZone(103*second, 100); b.settings.MayHealthCheck != (n == 0) || n > 1 {
		t.Fatalf("%d trials by requests in the zone", n)
	}
	b.recordAnswer(103*second, b.rows[5], Served, false)
	if n := inZone(103*second+settleTime, 200); n < 2 {
		t.Fatalf("%d sent to the zone after a success there", n)
	}
	if row := b.rows[1]; row.backoffUntil > 0 || row.consecutiveFailures > 0 {
		t.Fatal("what was the site's stands against a worker")
	}
}

const settleTime = 3 * second

// A spoilt stream may come from any worker, and a rejected request speaks of
// itself: neither has a worker rest, and the second is tried nowhere else.
func TestMalformedAndRejectedLeaveTheReplicaInUse(t *testing.T) {
	for status, want := range map[Status]string{Malformed: "dispatch", Rejected: "fail"} {
		b, rec := startBalancer(t, settings(), fleet(2)...)
		b.RequestArrived(101*second, testRequest(1))
		row := b.requests[1].attempts[0].row
		rec.acts = nil
		b.AttemptEnded(101*second, Outcome{ID: 1, Replica: row.id, Status: status})
		if n := len(rec.take(want)); n != 1 {
			t.Errorf("status %d: %d times %s", status, n, want)
		}
		if req := (&request{Request: testRequest(2), policy: b.policies[0], tenantIndex: -1, avoidZone: -1}); !b.eligible(101*second, row, req, false) {
			t.Errorf("status %d: the worker rests", status)
		}
	}
}

// All that a jam makes late is one jam: the limit closes by a part a tick, and
// not by as much for each. Counted one by one, 60 late requests left a seventh of
// it, and a gateway refused for seconds after the jam was over.
func TestOneOverloadLowersTheLimitSlowly(t *testing.T) {
	b, _ := startBalancer(t, settings(), fleet(2)...)
	b.inFlightTokens, b.meanInFlightTokens, b.meanHeldTokens, b.lateShare = 100_000, 100_000, 1000, 1
	b.recordLateness(1)
	b.tick(101 * second)
	before := b.tokenLimit
	for range 100 {
		b.recordLateness(1)
	}
	if b.tokenLimit < minLimitPerTick*before || b.tokenLimit > 0.95*before {
		t.Errorf("from %.0f to %.0f by one jam", before, b.tokenLimit)
	}
	for range 20 { // a jam that lasts still closes it
		b.inFlightTokens, b.lateShare = b.tokenLimit, 1
		b.tick(b.lastTickAt + tickEvery)
		for range 100 {
			b.recordLateness(1)
		}
	}
	if b.tokenLimit > before/2 {
		t.Errorf("%.0f of %.0f after five seconds", b.tokenLimit, before)
	}
}

// A gateway that takes over another's traffic has more open than its mean of
// late: the limit starts from what is open.
func TestLimitStartsFromInFlightTokens(t *testing.T) {
	b, _ := startBalancer(t, settings(), fleet(2)...)
	b.inFlightTokens, b.meanInFlightTokens, b.lateShare = 100_000, 5_000, 1
	if b.recordLateness(1); b.tokenLimit < 90_000 {
		t.Errorf("limit %.0f with 100000 open", b.tokenLimit)
	}
}

// What first tokens make one guess of the pace counts only if ended streams bear
// it out, where they tell their length.
func TestSlowPaceIsConfirmedByStreams(t *testing.T) {
	b, _ := startBalancer(t, settings(), fleet(1)...)
	a := &attempt{row: b.rows[0], timeToFirstToken: 400_000}
	req := &request{Request: testRequest(1), policy: b.policies[0], tenantIndex: -1}
	b.firstTokenFit.n, b.stepExcess, b.stepFloor[2*a.row.zone] = 20, 1e6, 1000
	if !b.streamsTooSlow(req, a) {
		t.Error("not too slow where lengths are not told")
	}
	b.recordStreamPace(2e6, 100*50_000) // 100 tokens in 2 s: well within 50 ms each
	if b.streamsTooSlow(req, a) {
		t.Error("too slow, although streams are quick")
	}
	for range 20 {
		b.recordStreamPace(9e6, 100*50_000)
	}
	if !b.streamsTooSlow(req, a) {
		t.Error("not too slow, although streams are")
	}
}

// A worker that started lately has read nothing of what its place is home to,
// and is slow: one replaced at the same place inherits neither.
func TestRecentlyStartedReplicas(t *testing.T) {
	members := fleet(2)
	members[1].StartedAt = 100 * second
	b, _ := startBalancer(t, settings(), members...)
	old, young := b.rowByID[1], b.rowByID[2]
	for now, want := range map[Micros]float64{100 * second: 0, 101 * second: 0.39, 160 * second: 1} {
		if got := young.prefixCachedChance(now, 0.5); math.Abs(got-want) > 0.01 {
			t.Errorf("%d s: has read %.2f, want %.2f", now/second, got, want)
		}
		if old.prefixCachedChance(now, 0.5) != 1 {
			t.Errorf("%d s: the old worker has read nothing", now/second)
		}
	}
	req := &request{Request: testRequest(1), policy: b.policies[0], tenantIndex: -1, avoidZone: -1}
	if f, g := b.penaltyFactor(101*second, young, req), b.penaltyFactor(101*second, old, req); f < 2*g {
		t.Errorf("a cold worker weighs %.2f, a warm one %.2f", f, g)
	}
}
