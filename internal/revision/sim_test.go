package revision

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"archknot/choice"
)

const sec choice.Micros = 1_000_000

// fleet is a control service and its gateways in virtual time: the machines are
// the real ones, streams are delays. A script is what the service publishes.
type fleet struct {
	t    testing.TB
	rng  *rand.Rand
	now  choice.Micros
	todo plan
	seq  int

	gates    []*gate
	current  *published // what the service has; nil: nothing yet
	up       bool
	opens    int // streams opened since the service came back
	openedAt []choice.Micros
	stepBad  map[Number]bool // refused as a step by every gateway
	worse    map[Number]bool // in force, requests go badly
	lastSent choice.Micros
}

type published struct {
	number Number
	fill   func(*Config)
	types  map[Type]string
	broken Type // this type comes truncated
	cutAt  int  // the stream ends after so many messages of it; 0: not
	stage  Stage
}

type due struct {
	at  choice.Micros
	seq int
	do  func()
}

type plan []due

func (p plan) Len() int { return len(p) }
func (p plan) Less(i, j int) bool {
	return p[i].at < p[j].at || p[i].at == p[j].at && p[i].seq < p[j].seq
}
func (p plan) Swap(i, j int) { p[i], p[j] = p[j], p[i] }
func (p *plan) Push(x any)   { *p = append(*p, x.(due)) }
func (p *plan) Pop() any {
	old := *p
	x := old[len(old)-1]
	*p = old[:len(old)-1]
	return x
}

func (f *fleet) after(d choice.Micros, do func()) {
	f.seq++
	heap.Push(&f.todo, due{f.now + max(0, d), f.seq, do})
}

// until plays on to a time.
func (f *fleet) until(at choice.Micros) {
	for len(f.todo) > 0 && f.todo[0].at <= at {
		d := heap.Pop(&f.todo).(due)
		f.now = d.at
		d.do()
	}
	f.now = at
}

// gate is one gateway: its machine, and the world it acts on.
type gate struct {
	f       *fleet
	m       *Machine
	name    string
	stream  int // counts streams; messages of old ones are dropped
	open    bool
	nonce   int
	force   *Config // what is applied
	kept    *Config
	never   []Number
	history []Entry
	acks    map[string]bool // nonces answered, and by what
	applied []Number
	wake    choice.Micros
}

func newFleet(t testing.TB, seed uint64, gateways int) *fleet {
	f := &fleet{t: t, rng: rand.New(rand.NewPCG(seed, 3)), up: true, now: sec, stepBad: map[Number]bool{}, worse: map[Number]bool{}}
	for i := range gateways {
		g := &gate{f: f, name: fmt.Sprintf("n%d", i), acks: map[string]bool{}}
		f.gates = append(f.gates, g)
		g.start(uint64(i) + seed)
	}
	return f
}

// start makes the gateway's machine, as after a restart: from what was kept.
func (g *gate) start(seed uint64) {
	g.m = New(DefaultOptions(g.name, seed), g, g.kept, g.never)
	g.force = g.kept
	g.m.Start(g.f.now)
	g.rouse()
}

// turn is every entry into the machine: afterwards its next wake is planned.
func (g *gate) turn(do func()) {
	do()
	g.rouse()
}

func (g *gate) rouse() {
	at := g.m.Next()
	if at == 0 || g.wake != 0 && g.wake <= at && g.wake >= g.f.now {
		return
	}
	g.wake = at
	m := g.m
	g.f.after(at-g.f.now, func() {
		if g.wake = 0; g.m == m {
			g.turn(func() { m.Tick(g.f.now) })
		}
	})
}

func (g *gate) Connect(after choice.Micros) {
	g.stream++
	stream, m := g.stream, g.m
	g.f.after(after+1000, func() {
		if g.stream != stream || m != g.m && g.m != nil {
			return
		}
		if !g.f.up {
			g.turn(func() { g.m.Closed(g.f.now, "refused") })
			return
		}
		g.open = true
		g.f.opens++
		g.f.openedAt = append(g.f.openedAt, g.f.now)
		g.turn(func() { g.m.Connected(g.f.now) })
		if g.f.current != nil {
			g.f.publishTo(g, g.f.current)
		}
	})
}

func (g *gate) Close(string) { g.stream, g.open = g.stream+1, false }

func (g *gate) Send(t Type, version, nonce, why string) {
	if !g.open {
		g.f.t.Errorf("%s: sent on no stream", g.name)
	}
	if nonce == "" {
		return
	}
	if !strings.HasPrefix(nonce, fmt.Sprintf("%s/%d/", g.name, g.stream)) {
		g.f.t.Errorf("%s: answered %s on stream %d", g.name, nonce, g.stream)
	}
	g.acks[nonce] = why == ""
}

func (g *gate) Apply(c *Config) {
	n := numberOf(c)
	// The gateway's loop answers a little later.
	m := g.m
	g.f.after(choice.Micros(g.f.rng.IntN(3000)), func() {
		if g.m != m {
			return // it was restarted meanwhile
		}
		var r Refusals
		if g.f.stepBad[n] {
			r.add(TypeClass, "chat", "", "taken out with 3 requests in hand")
		} else {
			g.force = c
			g.applied = append(g.applied, n)
		}
		g.turn(func() { m.Applied(g.f.now, r) })
	})
}

func (g *gate) Keep(c *Config, never []Number) { g.kept, g.never = c, slices.Clone(never) }

func (g *gate) Tell(e Entry) {
	if g.history = append(g.history, e); len(g.history) > 10_000 {
		g.f.t.Fatal("the history does not end")
	}
}

// publish makes a version the service's current one.
func (f *fleet) publish(p *published) {
	f.current, f.lastSent = p, f.now
	for _, g := range f.gates {
		if g.open {
			f.publishTo(g, p)
		}
	}
}

// publishTo sends a version's messages, in an order of its own, with delays.
func (f *fleet) publishTo(g *gate, p *published) {
	types := []Type{TypeVersion}
	for t := range p.types {
		types = append(types, t)
	}
	slices.Sort(types)
	f.rng.Shuffle(len(types), func(i, j int) { types[i], types[j] = types[j], types[i] })
	stream, delay := g.stream, choice.Micros(0)
	for i, t := range types {
		delay += choice.Micros(f.rng.IntN(20_000))
		f.after(delay, func() {
			if g.stream != stream || !g.open {
				return
			}
			if p.cutAt > 0 && i >= p.cutAt {
				f.cut(g, "the service vanished")
				return
			}
			g.nonce++
			r := Response{Type: t, Version: p.types[t], Nonce: fmt.Sprintf("%s/%d/%d", g.name, g.stream, g.nonce)}
			switch {
			case t == p.broken:
				r.Err = "cannot be read: unexpected end"
			case t == TypeVersion:
				r.Version = fmt.Sprint("v", p.number)
				r.Part = &Part{Manifest: &Manifest{Number: p.number, Types: p.types, Stage: p.stage}}
			default:
				r.Part = &Part{Fill: p.fill}
			}
			g.turn(func() { g.m.Received(f.now, r) })
		})
	}
}

func (f *fleet) cut(g *gate, why string) {
	if !g.open {
		return
	}
	g.stream, g.open = g.stream+1, false
	g.turn(func() { g.m.Closed(f.now, why) })
}

// version is a good one with classes and attempts.
func version(n Number) *published {
	return &published{number: n, types: map[Type]string{TypeClass: fmt.Sprint("c", n), TypeAttempts: fmt.Sprint("a", n)}, fill: func(c *Config) {
		c.HasClasses = true
		c.Classes = []choice.Class{{Name: "chat", LatencyObjective: sec, Deadline: 3 * sec, PriorityWeight: float64(n)}}
		c.Attempts = &Attempts{Most: 1 + int(n%3), SecondCopies: true}
	}}
}

// script plays a seeded script and returns the version that all must end on.
func (f *fleet) script(steps int) Number {
	good, n := Number(0), Number(0)
	stepRefused := Number(0)
	for range steps {
		n++
		p := version(n)
		what := f.rng.IntN(11)
		isGood := true
		switch what {
		case 0: // bad by itself
			fill := p.fill
			p.fill = func(c *Config) { fill(c); c.Attempts = &Attempts{Most: 7} }
			isGood = false
		case 1: // truncated
			p.broken, isGood = TypeClass, false
		case 2: // good alone, not as a step
			f.stepBad[n], isGood = true, false
			stepRefused = n
		case 3: // vanishes between two resources, then the service has it whole
			p.cutAt = 1 + f.rng.IntN(2)
			f.publish(p)
			f.after(200_000, func() { p.cutAt = 0 })
			f.until(f.now + 300_000)
			good = n
			continue
		case 4: // flood
			for range 20 {
				f.publish(p)
				f.until(f.now + choice.Micros(f.rng.IntN(3000)))
				n++
				p = version(n)
			}
		case 5: // an old version again
			if good > 1 {
				f.publish(version(good - 1))
				f.until(f.now + 100_000)
			}
		case 6: // the service goes down and comes back
			f.up = false
			for _, g := range f.gates {
				f.cut(g, "reset")
			}
			f.until(f.now + choice.Micros(f.rng.IntN(5_000_000)))
			f.up, f.opens, f.openedAt = true, 0, nil
		case 7: // a gateway is killed and starts again
			g := f.gates[f.rng.IntN(len(f.gates))]
			g.stream, g.open, g.wake = g.stream+1, false, 0
			g.start(uint64(n))
		case 8: // the same once more
			f.publish(p)
			f.until(f.now + choice.Micros(f.rng.IntN(200_000)))
		}
		f.publish(p)
		if isGood {
			good = n
		}
		f.until(f.now + choice.Micros(f.rng.IntN(1_500_000)))
	}
	// The last word is a good version, or the one before stays.
	_ = stepRefused
	return good
}

// Whatever the service does, each gateway ends on the last good version, within
// 2 s of the last message that reached it, and holds no version in part.
func TestEveryGatewayEndsOnTheLastGood(t *testing.T) {
	scripts := 250
	if testing.Short() {
		scripts = 40
	}
	worst := choice.Micros(0)
	for seed := range uint64(scripts) {
		f := newFleet(t, seed, 3)
		f.until(2 * sec)
		good := f.script(3 + int(seed%8))
		// A last good version ends each script; the service is up for as long as the
		// longest backoff.
		if f.rng.IntN(2) == 0 {
			f.until(f.now + 40*sec)
		}
		last := version(good + 100)
		f.publish(last)
		reach := f.now
		for i := 0; !f.all(last.number) && f.now < reach+60*sec; i++ {
			f.until(f.now + 10_000)
		}
		if !f.all(last.number) {
			for _, g := range f.gates {
				t.Errorf("seed %d: %s is on %d, not %d: %v", seed, g.name, numberOf(g.force), last.number, tail(g.history))
			}
			return
		}
		connected := true
		for _, g := range f.gates {
			connected = connected && len(g.history) > 0
			// Whole: what is applied is what the version says.
			if g.force.Classes[0].PriorityWeight != float64(last.number) || g.force.Attempts.Most != 1+int(last.number%3) {
				t.Errorf("seed %d: %s has version %d in part: %+v", seed, g.name, g.force.Number, g.force)
			}
			for _, n := range g.applied {
				if f.stepBad[n] {
					t.Errorf("seed %d: %s took version %d", seed, g.name, n)
				}
			}
			if numberOf(g.kept) != last.number {
				t.Errorf("seed %d: %s kept %d", seed, g.name, numberOf(g.kept))
			}
		}
		if took := f.now - reach; f.settled(reach) {
			worst = max(worst, took)
		}
	}
	if worst > 2*sec {
		t.Errorf("the slowest took %d us from the last message", worst)
	}
	t.Logf("slowest of %d scripts, where the stream stood: %d us", scripts, worst)
}

func (f *fleet) all(n Number) bool {
	for _, g := range f.gates {
		if numberOf(g.force) != n || numberOf(g.kept) != n {
			return false
		}
	}
	return true
}

// settled tells whether all streams stood at a time: else the backoff counts too.
func (f *fleet) settled(at choice.Micros) bool {
	for _, o := range f.openedAt {
		if o >= at {
			return false
		}
	}
	return true
}

func tail(h []Entry) []Entry { return h[max(0, len(h)-6):] }

// 300 gateways: all on the last good one in time, and when the service comes
// back after a while they do not come together.
func TestManyGatewaysComeBackApart(t *testing.T) {
	f := newFleet(t, 77, 300)
	f.until(2 * sec)
	f.publish(version(1))
	f.until(f.now + 2*sec)
	if !f.all(1) {
		t.Fatal("not all are on version 1")
	}
	f.up = false
	for _, g := range f.gates {
		f.cut(g, "reset")
	}
	f.until(f.now + 120*sec)
	f.up, f.opens, f.openedAt = true, 0, nil
	back := f.now
	f.until(back + 31*sec)
	if f.opens != 300 {
		t.Fatalf("%d of 300 came back", f.opens)
	}
	most := 0
	for i := range f.openedAt {
		n := 0
		for _, at := range f.openedAt[i:] {
			if at < f.openedAt[i]+sec {
				n++
			}
		}
		most = max(most, n)
	}
	if most > 40 {
		t.Errorf("%d came back within one second", most)
	}
	t.Logf("at most %d of 300 within a second", most)
	f.publish(version(2))
	f.until(f.now + 2*sec)
	if !f.all(2) {
		t.Error("not all are on version 2")
	}
}

// A version that makes requests late is given back by the gateways that took it
// first; the service is told, the others never take it, and nobody takes it again.
func TestWorseVersionIsGivenBack(t *testing.T) {
	f := newFleet(t, 5, 40)
	f.until(2 * sec)
	f.publish(version(1))
	f.until(f.now + 2*sec)
	serve := func(seconds int) {
		for range seconds * 10 {
			f.until(f.now + sec/10)
			for _, g := range f.gates {
				for i := range 3 {
					g.turn(func() { g.m.Ended(f.worse[numberOf(g.force)] && i > 0) })
				}
			}
		}
	}
	serve(20)
	bad := version(2)
	bad.stage = Stage{FirstPercent: 25, Hold: 10 * sec, WorseBy: 0.1}
	f.worse[2] = true
	f.publish(bad)
	serve(5)
	first := 0
	for _, g := range f.gates {
		if slices.Contains(g.applied, 2) {
			first++
		}
	}
	if first < 3 || first > 20 {
		t.Fatalf("%d of 40 took it first", first)
	}
	serve(5)
	// The service hears of it and goes back to the old contents under a new number.
	nacked := 0
	for _, g := range f.gates {
		for _, e := range g.history {
			if e.What == GivenBack {
				nacked++
			}
		}
		if numberOf(g.force) == 2 {
			t.Errorf("%s is still on it", g.name)
		}
	}
	if nacked != first {
		t.Errorf("%d took it, %d gave it back", first, nacked)
	}
	next := version(3)
	next.stage = Stage{FirstPercent: 50, Hold: 5 * sec, WorseBy: 0.1}
	f.publish(next)
	serve(3)
	for _, g := range f.gates {
		if n := numberOf(g.force); n == 2 {
			t.Errorf("%s took version 2 after its hold", g.name)
		}
	}
	f.publish(bad) // the old one again: nobody
	serve(2)
	f.publish(next)
	serve(14)
	if !f.all(3) {
		for _, g := range f.gates {
			if numberOf(g.kept) != 3 {
				t.Fatalf("%s: kept %d, %v", g.name, numberOf(g.kept), tail(g.history))
			}
		}
	}
	for _, g := range f.gates {
		if slices.Contains(g.applied, 2) && g.applied[len(g.applied)-1] != 3 {
			t.Errorf("%s: %v", g.name, g.applied)
		}
	}
}

// A stream that stops in the midst of a version is dropped, and opened again.
func TestStallIsDropped(t *testing.T) {
	f := newFleet(t, 6, 1)
	f.until(2 * sec)
	g := f.gates[0]
	p := version(1)
	stream := g.stream
	g.turn(func() {
		g.m.Received(f.now, Response{Type: TypeVersion, Version: "v1", Nonce: fmt.Sprintf("%s/%d/1", g.name, g.stream),
			Part: &Part{Manifest: &Manifest{Number: 1, Types: p.types}}})
	})
	f.until(f.now + 9*sec)
	if g.stream != stream {
		t.Fatal("dropped too soon")
	}
	f.until(f.now + 3*sec)
	if g.stream == stream {
		t.Fatal("not dropped")
	}
	f.publish(p)
	f.until(f.now + 2*sec)
	if !f.all(1) {
		t.Error("not on version 1")
	}
}

// A restart begins with what was kept, whether or not the service is there.
func TestRestartKeepsTheLastGood(t *testing.T) {
	f := newFleet(t, 8, 1)
	f.until(2 * sec)
	f.publish(version(4))
	f.until(f.now + 2*sec)
	f.up = false
	g := f.gates[0]
	f.cut(g, "gone")
	g.stream, g.open, g.wake = g.stream+1, false, 0
	g.start(9)
	f.until(f.now + 5*sec)
	if numberOf(g.force) != 4 || g.m.InForce().Number != 4 {
		t.Errorf("on %d", numberOf(g.force))
	}
	if !g.m.Rollback(f.now, "ordered") {
		t.Error("there is a version to go back from")
	}
	f.until(f.now + sec)
	if g.force != nil || !slices.Contains(g.m.Never(), 4) {
		t.Errorf("after the rollback: %v, never %v", g.force, g.m.Never())
	}
}
