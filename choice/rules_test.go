package choice

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
)

// Rule 1: every accepted request gets its one answer before its client leaves,
// also when every replica is gone.
func TestDeadlineAnswersWhateverHappens(t *testing.T) {
	b, rec := start(t, settings(), fleet(2)...)
	b.RequestArrived(101*sec, req(1))
	var deadline action
	for _, a := range rec.take("timer") {
		if a.token&(1<<timerBits-1) == timerDeadline {
			deadline = a
		}
	}
	if deadline.delay <= 0 || deadline.delay >= 4*sec {
		t.Fatalf("deadline timer %+v", deadline)
	}
	b.ListChanged(102*sec, ServerList{Kind: ListFull})
	b.TimerFired(101*sec+deadline.delay, deadline.token)
	if n := len(rec.take("refuse")); n != 1 {
		t.Fatalf("%d answers at the deadline", n)
	}
	b.TimerFired(110*sec, deadline.token)
	b.AttemptEnded(110*sec, Outcome{ID: 1, Status: TimedOut, Final: true})
	b.AttemptEnded(110*sec, Outcome{ID: 99, Status: Served, Final: true})
	if len(rec.acts) != 0 || len(b.requests) != 0 {
		t.Fatalf("after the answer: %v, %d requests", rec.acts, len(b.requests))
	}
}

func TestNoneReadyIsRefusedAtOnce(t *testing.T) {
	b, rec := start(t, settings())
	b.RequestArrived(101*sec, req(1))
	if r := rec.take("refuse"); len(r) != 1 || r[0].delay <= 0 {
		t.Fatalf("refusals %v", r)
	}
}

// Rule 2: what may follow an attempt, by effect, scope and outcome.
func TestEffects(t *testing.T) {
	members := fleet(4)
	members[2].Zone, members[3].Zone = "b", "b"
	members[0].Cell, members[1].Cell = 5, 5
	all := []ReplicaID{2, 3, 4}
	for _, c := range []struct {
		name   string
		effect Effect
		scope  Scope
		status Status
		after  Micros
		may    []ReplicaID // for a second attempt, the first went to 1
		refuse bool
	}{
		{"safe", Safe, ScopeAll, Errored, 0, all, true},
		{"unsafe ran", Unsafe, ScopeAll, Errored, 0, nil, false},
		{"unsafe never ran", Unsafe, ScopeAll, ConnectFailed, 0, all, true},
		{"keyed all", Keyed, ScopeAll, ConnBroken, 0, all, true},
		{"keyed zone", Keyed, ScopeZone, Errored, 0, []ReplicaID{2}, false},
		{"keyed cell", Keyed, ScopeCell, Errored, 0, []ReplicaID{2}, false},
		{"keyed zone never ran", Keyed, ScopeZone, Shed, 0, all, true},
		{"keyed forgotten", Keyed, ScopeAll, Errored, 5 * sec, nil, true},
		{"keyed zone, cancelled may have run", Keyed, ScopeZone, Cancelled, 0, []ReplicaID{2}, false},
	} {
		s := settings()
		s.Classes[0].Effect, s.Classes[0].Scope, s.Classes[0].RepeatsKept = c.effect, c.scope, 5*sec
		b, _ := start(t, s, members...)
		r := &request{Request: req(1), terms: b.terms[0], tenant: -1, avoidZone: -1}
		r.attempts = []*attempt{{row: b.rows[0], sent: 101 * sec, ended: true, status: c.status}}
		var got []ReplicaID
		for _, w := range b.rows[1:] {
			if b.mayRepeat(101*sec+c.after, r, w) {
				got = append(got, w.id)
			}
		}
		if fmt.Sprint(got) != fmt.Sprint(c.may) || b.mayRefuse(r) != c.refuse {
			t.Errorf("%s: may go to %v, refuse %v", c.name, got, b.mayRefuse(r))
		}
	}
}

func TestNoSecondCopyWhereForbidden(t *testing.T) {
	s := settings()
	s.SecondCopies = false
	b, rec := start(t, s, fleet(3)...)
	b.hedges = 8
	b.RequestArrived(101*sec, req(1))
	rec.acts = nil
	b.TimerFired(103*sec, timerHedge|1<<timerBits)
	if len(rec.take("dispatch")) != 0 {
		t.Fatal("a second copy went out")
	}
}

// Rule 3: nothing goes to what drains or is gone, from the moment of the news.
func TestDrainsAreKept(t *testing.T) {
	for _, change := range []ServerList{
		{Kind: ListDelta, Members: []Member{{Replica: 1, State: MemberDraining, Kind: "k", Zone: "a"}}},
		{Kind: ListDelta, Members: []Member{{Replica: 1, State: MemberGone}}},
		{Kind: ListFull, Members: fleet(2)[1:]},
	} {
		b, rec := start(t, settings(), fleet(2)...)
		b.ListChanged(101*sec, change)
		for i := range RequestID(20) {
			if got := dispatched(b, rec, 101*sec, req(i)); got == 1 {
				t.Fatalf("%+v: still sent to 1", change)
			}
		}
	}
}

// Rule 4: all gateways together stay under the multiple of what a cold replica
// can do, in any span, though each one's share is far under one request and
// the cold one looks empty. Guards against shares saved up and spent at once.
func TestColdShareOfManyGateways(t *testing.T) {
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
		b.ListChanged(0, ServerList{Kind: ListFull, Members: members})
		b.sendRate, b.meanCharge, b.meanWork = perGateway, 5100, 5100
		nodes, recs = append(nodes, b), append(recs, rec)
	}
	begin := 100 * sec
	for _, b := range nodes {
		b.ListChanged(begin, ServerList{Kind: ListDelta, Members: []Member{
			{Replica: 1, Kind: "k", Zone: "a", Since: begin}}})
	}
	// The first seconds send nothing there: shares that could be saved up.
	capacity := gateways * perGateway / 80 / 0.6 // requests a second of one warm replica, fleet 60% busy
	sent := 0
	for i, b := range nodes {
		for k := range 10 {
			now := begin + 8*sec + int64(k)*s.FallSpan/10
			r := req(RequestID(k + 1))
			for _, w := range b.rows[1:] { // everything else looks full
				w.charge, w.unseen = 1e9, 1e9
			}
			if dispatched(b, recs[i], now, r) == 1 {
				sent++
			}
		}
	}
	warm := s.StartCapacity + (1-s.StartCapacity)*8/24
	most := s.FallMultiple * warm * capacity * float64(s.FallSpan) / 1e6
	if float64(sent) > most {
		t.Fatalf("%d requests in a span, at most %.1f may go", sent, most)
	}
	if sent == 0 {
		t.Fatal("a cold replica never gets anything")
	}
}

func TestWhatCountsAsCold(t *testing.T) {
	b, _ := start(t, settings(), fleet(2)...)
	now := 200 * sec
	old := b.rows[0]
	if old.coldUntil > now {
		t.Fatal("a replica that runs since long ago is cold")
	}
	m := fleet(4)
	m[0].Since = now - sec // restarted
	m[2].Since = now - sec // new, with a start time
	b.ListChanged(now, ServerList{Kind: ListDelta, Members: m})
	for _, w := range b.rows {
		cold := now < w.coldUntil
		if want := w.id != 2; cold != want {
			t.Errorf("replica %d cold: %v", w.id, cold)
		}
	}
	// a gateway that itself restarts judges by the start time alone
	b, _ = start(t, settings(), Member{Replica: 1, Zone: "a", Since: 99 * sec}, Member{Replica: 2, Zone: "a"})
	if b.rows[0].coldUntil <= 100*sec || b.rows[1].coldUntil > 100*sec {
		t.Fatal("a restarted gateway misjudges cold replicas")
	}
}

// Quick errors must not make a replica the emptiest: it rests and comes back
// one attempt at a time.
func TestQuickErrorsRest(t *testing.T) {
	b, rec := start(t, settings(), fleet(2)...)
	id := RequestID(1)
	for ; ; id++ {
		to := dispatched(b, rec, 101*sec, req(id))
		if to == 1 {
			break
		}
	}
	b.AttemptEnded(101*sec, Outcome{ID: id, Replica: 1, Status: Errored, Elapsed: 1000})
	if d := rec.take("dispatch"); len(d) != 1 || d[0].to != 2 {
		t.Fatalf("retry went to %v", d)
	}
	for i := range RequestID(10) {
		if dispatched(b, rec, 101*sec, req(100+i)) == 1 {
			t.Fatal("sent to a resting replica")
		}
	}
	sent := 0
	for i := range RequestID(10) {
		if dispatched(b, rec, 110*sec, req(200+i)) == 1 {
			sent++
		}
	}
	if sent != 1 {
		t.Fatalf("%d attempts at once to a replica on trial", sent)
	}
}

func TestRetriesAreBounded(t *testing.T) {
	b, rec := start(t, settings(), fleet(30)...)
	extra := 0
	for i := range RequestID(300) {
		b.RequestArrived(101*sec, req(i))
		for n := 0; n < 3; n++ {
			r := b.requests[i]
			if r == nil || r.attempts[n].ended {
				break
			}
			before := len(r.attempts)
			b.AttemptEnded(101*sec, Outcome{ID: i, Attempt: n, Replica: r.attempts[n].row.id, Status: Errored})
			if b.requests[i] == nil || len(r.attempts) == before {
				break
			}
			extra++
		}
		rec.acts = nil
	}
	if most := int(budgetCap + retryShare*300 + 1); extra > most || extra == 0 {
		t.Fatalf("%d further attempts for 300 requests that all fail, at most %d", extra, most)
	}
}

// Streams that run slower than their token aim count as late though their
// first tokens come in time: else a jammed fleet takes on all that comes.
func TestSlowStreamsLimitAdmission(t *testing.T) {
	serve := func(first Micros) (refused int) {
		b, rec := start(t, settings(), fleet(4)...)
		now := 101 * sec
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
			b.RequestArrived(now, req(i))
			if len(rec.take("refuse")) > 0 {
				refused++
				continue
			}
			to := b.requests[i].attempts[0].row.id
			b.FirstToken(now+wait, Outcome{ID: i, Replica: to, Elapsed: wait})
			if j := i - 20; i > 20 && b.requests[j] != nil {
				w := b.requests[j].attempts[0].row.id
				b.AttemptEnded(now, Outcome{ID: j, Replica: w, Status: Served, Elapsed: sec, Final: true})
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
func TestRefusalsEndWithTheJam(t *testing.T) {
	b, rec := start(t, settings(), fleet(4)...)
	b.meanHold, b.openMean = 1100, 50000
	for range 200 {
		b.noteLate(1)
	}
	if b.openLimit == 0 || b.openLimit > 2000 {
		t.Fatalf("limit %v after 200 late requests", b.openLimit)
	}
	low := b.openLimit
	for now := 101 * sec; now < 102*sec; now += tickEvery {
		b.openMean = 50000
		b.tick(now) // nothing comes: only time opens it
	}
	if b.openLimit < 1.1*low {
		t.Fatalf("limit %v after a second, was %v", b.openLimit, low)
	}
	now, refused := 102*sec, 0
	for i := range RequestID(200) { // the fleet is idle: each is served at once
		now += 50_000
		if i%5 == 0 {
			b.tick(now)
		}
		rec.acts = nil
		b.RequestArrived(now, req(i))
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
	b, _ := start(t, settings(), fleet(1)...)
	b.firstFit.n = 100
	r := &request{Request: req(1), terms: b.terms[0]}
	slow := false
	for i := range 400 {
		a := &attempt{row: b.rows[0], opened: 50_000, connected: i%8 != 0}
		if a.connected {
			a.opened = 150_000
		}
		slow = b.tooSlow(r, a) || slow
	}
	if slow {
		t.Fatal("handshakes counted as slow streams")
	}
}

func TestOverShareIsWorthLess(t *testing.T) {
	s := settings()
	s.Tenants, s.OverShareWorth = []Tenant{{Name: "x", QuotaPerS: 10}, {Name: "y", QuotaPerS: 10}}, 0.1
	b, _ := start(t, s, fleet(1)...)
	b.usage[0], b.usage[1] = 30, 5
	over := b.worth(&request{Request: req(1), terms: b.terms[0], tenant: 0})
	within := b.worth(&request{Request: req(1), terms: b.terms[0], tenant: 1})
	if over > within*0.11 {
		t.Fatalf("over share %v, within %v", over, within)
	}
}

// queue is a registry that answers calls in turn, a tenth of a second each. Those
// that would wait for over two seconds fail then, and it has worked for them too.
type queue struct{ free Micros }

func (q *queue) call(now Micros) (at Micros, ok bool) {
	q.free = max(q.free, now) + sec/10
	return min(q.free, now+2*sec), q.free <= now+2*sec
}

// Eighty gateways that all start at once, as after a mass kill, have the list of a
// registry that answers ten of them a second within twelve seconds, and hardly a
// call fails. All at once, one in five had it.
func TestEightyGatewaysDoNotStallTheRegistry(t *testing.T) {
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
		s.AskRegistry, s.Gateways, s.Self = true, gateways, i
		g := &one{rec: &recorder{}}
		g.b, _ = New(s, uint64(i+1), g.rec)
		g.b.Start(0)
		all = append(all, g)
	}
	failed := 0
	for now := Micros(0); now < 12*sec; now += tickEvery {
		for _, g := range all {
			if g.at > 0 && now >= g.at {
				g.at, g.told = 0, g.ok
				kind := ListFull
				if !g.ok {
					kind = ListFailed
					failed++
				}
				g.b.ListChanged(now, ServerList{Kind: kind, Members: fleet(2)})
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

func TestRegistryIsAskedAgainApart(t *testing.T) {
	s := settings()
	s.AskRegistry = true
	rec := &recorder{}
	b, _ := New(s, 3, rec)
	b.Start(0)
	if len(rec.take("watch")) != 1 {
		t.Fatal("not asked at the start")
	}
	last := Micros(0)
	for range 6 {
		b.ListChanged(last, ServerList{Kind: ListFailed})
		wait := b.askAt - last
		if wait <= 0 || wait > askMost {
			t.Fatalf("waits %d", wait)
		}
		b.tick(b.askAt - 1)
		if len(rec.take("watch")) != 0 {
			t.Fatal("asked too early")
		}
		last = b.askAt
		b.tick(last)
		if len(rec.take("watch")) != 1 {
			t.Fatal("not asked again")
		}
	}
	b.ListChanged(last, ServerList{Kind: ListFull, Members: fleet(1)})
	b.tick(last + 60*sec)
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
	member   map[ReplicaID]Member
}

type sentAttempt struct {
	to     ReplicaID
	at     Micros
	ended  bool
	status Status
}

func (c *checker) take(acts []action) {
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
				if !e.ended && !c.s.SecondCopies {
					c.t.Fatalf("request %d: two attempts out", a.id)
				}
				if cl.Effect == Safe || e.ended && e.status.NeverRan() {
					continue
				}
				m, n := c.member[e.to], c.member[a.to]
				if cl.Effect == Unsafe || c.now-e.at > cl.RepeatsKept || cl.Scope == ScopeZone && m.Zone != n.Zone ||
					cl.Scope == ScopeCell && m.Cell != n.Cell {
					c.t.Fatalf("request %d (%s): a second effect", a.id, cl.Name)
				}
			}
			c.sent[a.id] = append(c.sent[a.id], sentAttempt{to: a.to, at: c.now})
		case "refuse", "fail":
			if c.answered[a.id] || c.over[a.id] {
				c.t.Fatalf("request %d: a second answer", a.id)
			}
			if cl := c.class[a.id]; a.what == "refuse" && cl.Effect != Safe && !(cl.Effect == Keyed && cl.Scope == ScopeAll) {
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
	s.Gateways, s.SecondCopies, s.MayCancel = 1+rng.Intn(40), rng.Intn(2) == 0, rng.Intn(2) == 0
	s.AskRegistry = rng.Intn(2) == 0
	s.Classes = nil
	for i, e := range []Effect{Safe, Keyed, Keyed, Keyed, Unsafe, Safe} {
		s.Classes = append(s.Classes, Class{Name: fmt.Sprint(i), Aim: sec / 2, Deadline: 3 * sec, Worth: float64(1 + i),
			Effect: e, Scope: Scope(i % 4 % 3), RepeatsKept: sec, Stream: i < 5, TokenAim: 50_000})
	}
	c := &checker{t: t, s: s, class: map[RequestID]*Class{}, answered: map[RequestID]bool{}, over: map[RequestID]bool{},
		sent: map[RequestID][]sentAttempt{}, deadline: map[RequestID]Micros{}, blocked: map[ReplicaID]bool{},
		member: map[ReplicaID]Member{}}
	rec := &recorder{}
	b, err := New(s, uint64(seed), rec)
	if err != nil {
		t.Fatal(err)
	}
	var log []action
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
	member := func(id int) Member {
		m := Member{Replica: ReplicaID(id), Weight: 1, Kind: "k", Zone: []string{"a", "b"}[id%2], Cell: int64(id % 4)}
		c.member[m.Replica] = m
		return m
	}
	var all []Member
	for i := range 12 {
		all = append(all, member(i+1))
	}
	b.Start(0)
	b.ListChanged(0, ServerList{Kind: ListFull, Members: all})
	flush()
	next := RequestID(1)
	var live []RequestID
	for c.now = s.Tick; c.now < 30*sec; c.now += s.Tick {
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
			r := Request{ID: next, Class: fmt.Sprint(rng.Intn(6)), TimeLeft: int64(1+rng.Intn(3)) * sec,
				PromptTokens: rng.Intn(4000), MaxTokens: 400, Session: uint64(rng.Intn(50)), Prefix: uint64(rng.Intn(9))}
			c.class[next], c.deadline[next] = &s.Classes[r.Class[0]-'0'], c.now+r.TimeLeft
			live = append(live, next)
			next++
			b.RequestArrived(c.now, r)
			flush()
		}
		if rng.Intn(100) == 0 {
			m := member(1 + rng.Intn(16))
			m.State = MemberState(rng.Intn(3))
			if rng.Intn(2) == 0 {
				m.Since = c.now
			}
			c.blocked[m.Replica] = m.State != MemberReady
			b.ListChanged(c.now, ServerList{Kind: ListDelta, Members: []Member{m}})
			flush()
		}
		keep := live[:0]
		for _, id := range live {
			for n := range c.sent[id] {
				e := &c.sent[id][n]
				if e.ended || rng.Intn(60) != 0 {
					continue
				}
				if rng.Intn(2) == 0 && c.class[id].Stream && !c.over[id] {
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
					Elapsed: c.now - e.at, Final: final, Report: Report{Has: HasMemory, MemoryShare: rng.Float64()}})
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
func TestLatenessCountsWhenTheAimPasses(t *testing.T) {
	b, rec := start(t, settings(), fleet(2)...)
	b.RequestArrived(101*sec, req(1))
	var aim action
	for _, a := range rec.take("timer") {
		if a.token&(1<<timerBits-1) == timerAim {
			aim = a
		}
	}
	if aim.delay != sec {
		t.Fatalf("aim timer %+v", aim)
	}
	b.TimerFired(101*sec+aim.delay, aim.token)
	late := b.late
	if late == 0 {
		t.Fatal("not counted when the aim passed")
	}
	b.FirstToken(104*sec, Outcome{ID: 1, Replica: b.requests[1].attempts[0].row.id, Elapsed: 3 * sec})
	if b.late != late {
		t.Fatal("counted again when the answer came")
	}
}

// A lost zone is tried as a whole: else each of its replicas must fail on its
// own, a connect time-out each.
func TestLostZoneIsTriedAsAWhole(t *testing.T) {
	members := fleet(20)
	for i := range 10 {
		members[i].Zone = "b"
	}
	b, rec := start(t, settings(), members...)
	fail := func(i int) {
		b.hear(101*sec, b.rows[i], ConnectFailed, false)
		b.failed(101*sec, b.rows[i], ConnectFailed)
	}
	inZone := func(now Micros, from RequestID) (n int) {
		for i := range RequestID(15) {
			if dispatched(b, rec, now, req(from+i)) <= 10 {
				n++
			}
		}
		return n
	}
	for i := range 3 {
		fail(i)
	}
	if b.sites.Lost(b.rows[0].zone) || inZone(101*sec, 50) == 0 {
		t.Fatal("three bad workers of ten took their site out of use")
	}
	fail(3)
	if n := inZone(101*sec, 1); n != 0 {
		t.Fatalf("%d sent to the zone right after", n)
	}
	rec.acts = nil
	b.tick(103 * sec)
	if n := len(rec.take("probe")); b.s.MayProbe != (n >= 1) {
		t.Fatalf("%d trials by probes", n)
	}
	if n := inZone(103*sec, 100); b.s.MayProbe != (n == 0) || n > 1 {
		t.Fatalf("%d trials by requests in the zone", n)
	}
	b.hear(103*sec, b.rows[5], Served, false)
	if n := inZone(103*sec+settle, 200); n < 2 {
		t.Fatalf("%d sent to the zone after a success there", n)
	}
	if w := b.rows[1]; w.retryAt > 0 || w.fails > 0 {
		t.Fatal("what was the site's stands against a worker")
	}
}

const settle = 3 * sec

// A spoilt stream may come from any worker, and a rejected request speaks of
// itself: neither has a worker rest, and the second is tried nowhere else.
func TestSpoiltAndRejectedLeaveTheWorkerInUse(t *testing.T) {
	for status, want := range map[Status]string{Spoilt: "dispatch", Rejected: "fail"} {
		b, rec := start(t, settings(), fleet(2)...)
		b.RequestArrived(101*sec, req(1))
		w := b.requests[1].attempts[0].row
		rec.acts = nil
		b.AttemptEnded(101*sec, Outcome{ID: 1, Replica: w.id, Status: status})
		if n := len(rec.take(want)); n != 1 {
			t.Errorf("status %d: %d times %s", status, n, want)
		}
		if r := (&request{Request: req(2), terms: b.terms[0], tenant: -1, avoidZone: -1}); !b.usable(101*sec, w, r, false) {
			t.Errorf("status %d: the worker rests", status)
		}
	}
}

// All that a jam makes late is one jam: the limit closes by a part a tick, and
// not by as much for each. Counted one by one, 60 late requests left a seventh of
// it, and a gateway refused for seconds after the jam was over.
func TestOneJamClosesTheLimitSlowly(t *testing.T) {
	b, _ := start(t, settings(), fleet(2)...)
	b.openTokens, b.openMean, b.meanHold, b.late = 100_000, 100_000, 1000, 1
	b.noteLate(1)
	b.tick(101 * sec)
	before := b.openLimit
	for range 100 {
		b.noteLate(1)
	}
	if b.openLimit < closesMost*before || b.openLimit > 0.95*before {
		t.Errorf("from %.0f to %.0f by one jam", before, b.openLimit)
	}
	for range 20 { // a jam that lasts still closes it
		b.openTokens, b.late = b.openLimit, 1
		b.tick(b.lastTick + tickEvery)
		for range 100 {
			b.noteLate(1)
		}
	}
	if b.openLimit > before/2 {
		t.Errorf("%.0f of %.0f after five seconds", b.openLimit, before)
	}
}

// A gateway that takes over another's traffic has more open than its mean of
// late: the limit starts from what is open.
func TestLimitStartsFromWhatIsOpen(t *testing.T) {
	b, _ := start(t, settings(), fleet(2)...)
	b.openTokens, b.openMean, b.late = 100_000, 5_000, 1
	if b.noteLate(1); b.openLimit < 90_000 {
		t.Errorf("limit %.0f with 100000 open", b.openLimit)
	}
}

// What first tokens make one guess of the pace counts only if ended streams bear
// it out, where they tell their length.
func TestSlowPaceIsBorneOut(t *testing.T) {
	b, _ := start(t, settings(), fleet(1)...)
	a := &attempt{row: b.rows[0], opened: 400_000}
	r := &request{Request: req(1), terms: b.terms[0], tenant: -1}
	b.firstFit.n, b.pace, b.paceFloor[2*a.row.zone] = 20, 1e6, 1000
	if !b.tooSlow(r, a) {
		t.Error("not too slow where lengths are not told")
	}
	b.notePace(2e6, 100*50_000) // 100 tokens in 2 s: well within 50 ms each
	if b.tooSlow(r, a) {
		t.Error("too slow, although streams are quick")
	}
	for range 20 {
		b.notePace(9e6, 100*50_000)
	}
	if !b.tooSlow(r, a) {
		t.Error("not too slow, although streams are")
	}
}

// A worker that started lately has read nothing of what its place is home to,
// and is slow: one replaced at the same place inherits neither.
func TestYoungWorkers(t *testing.T) {
	members := fleet(2)
	members[1].Since = 100 * sec
	b, _ := start(t, settings(), members...)
	old, young := b.byID[1], b.byID[2]
	for now, want := range map[Micros]float64{100 * sec: 0, 101 * sec: 0.39, 160 * sec: 1} {
		if got := b.seen(now, young, 0.5); math.Abs(got-want) > 0.01 {
			t.Errorf("%d s: has read %.2f, want %.2f", now/sec, got, want)
		}
		if b.seen(now, old, 0.5) != 1 {
			t.Errorf("%d s: the old worker has read nothing", now/sec)
		}
	}
	r := &request{Request: req(1), terms: b.terms[0], tenant: -1, avoidZone: -1}
	if f, g := b.guardFactor(101*sec, young, r), b.guardFactor(101*sec, old, r); f < 2*g {
		t.Errorf("a cold worker weighs %.2f, a warm one %.2f", f, g)
	}
}
