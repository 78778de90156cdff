package configversion

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"archknot/balancer"
)

const sec balancer.Micros = 1_000_000

// fleet is a control service and its gateways in virtual time: the machines are real,
// streams are delays. A script is what the service publishes.
type fleet struct {
	tb       testing.TB
	rng      *rand.Rand
	now      balancer.Micros
	schedule schedule
	seq      int

	gateways      []*gatewaySim
	current       *published // what the service has; nil: nothing yet
	up            bool
	opens         int // streams opened since the service came back
	openedAt      []balancer.Micros
	badTransition map[Number]bool // refused as a step by every gateway
	worse         map[Number]bool // in force, requests go badly
	lastSent      balancer.Micros
}

type published struct {
	number          Number
	mergeInto       func(*Config)
	types           map[ResourceType]string
	truncated       ResourceType // this type comes truncated
	disconnectAfter int          // the stream ends after so many messages of it; 0: not
	rollout         Rollout
}

type scheduledTask struct {
	at  balancer.Micros
	seq int
	run func()
}

type schedule []scheduledTask

func (p schedule) Len() int { return len(p) }
func (p schedule) Less(i, j int) bool {
	return p[i].at < p[j].at || p[i].at == p[j].at && p[i].seq < p[j].seq
}
func (p schedule) Swap(i, j int) { p[i], p[j] = p[j], p[i] }
func (p *schedule) Push(x any)   { *p = append(*p, x.(scheduledTask)) }
func (p *schedule) Pop() any {
	old := *p
	x := old[len(old)-1]
	*p = old[:len(old)-1]
	return x
}

func (f *fleet) after(d balancer.Micros, do func()) {
	f.seq++
	heap.Push(&f.schedule, scheduledTask{f.now + max(0, d), f.seq, do})
}

// runUntil runs the scheduled tasks up to a time.
func (f *fleet) runUntil(at balancer.Micros) {
	for len(f.schedule) > 0 && f.schedule[0].at <= at {
		d := heap.Pop(&f.schedule).(scheduledTask)
		f.now = d.at
		d.run()
	}
	f.now = at
}

// gatewaySim is one gateway: its machine, and the Host that it acts on.
type gatewaySim struct {
	fleet     *fleet
	machine   *Machine
	name      string
	stream    int // counts streams; messages of old ones are dropped
	open      bool
	nonce     int
	inForce   *Config // what was applied last
	persisted *Config
	rejected  []Number
	history   []Event
	acks      map[string]bool // answers by nonce: true is an acknowledgement
	applied   []Number
	wake      balancer.Micros

	storeFails bool
	onAck      func() // called when a version is acknowledged; may be nil
}

var errStoreFails = errors.New("no space left on device")

func newFleet(tb testing.TB, seed uint64, gateways int) *fleet {
	tb.Helper()
	f := &fleet{tb: tb, rng: rand.New(rand.NewPCG(seed, 3)), up: true, now: sec, badTransition: map[Number]bool{}, worse: map[Number]bool{}}
	for i := range gateways {
		g := &gatewaySim{fleet: f, name: fmt.Sprintf("n%d", i), acks: map[string]bool{}}
		f.gateways = append(f.gateways, g)
		g.start(uint64(i) + seed)
	}
	return f
}

// start makes the gateway's machine, as after a restart: from what was persisted.
func (g *gatewaySim) start(seed uint64) {
	g.machine = New(DefaultOptions(g.name, seed), g, g.persisted, g.rejected)
	g.inForce = g.persisted
	g.machine.Start(g.fleet.now)
	g.scheduleTick()
}

// call makes a call of the machine, and schedules its next tick.
func (g *gatewaySim) call(do func()) {
	do()
	g.scheduleTick()
}

func (g *gatewaySim) scheduleTick() {
	at := g.machine.NextTick()
	if at == 0 || g.wake != 0 && g.wake <= at && g.wake >= g.fleet.now {
		return
	}
	g.wake = at
	m := g.machine
	g.fleet.after(at-g.fleet.now, func() {
		if g.wake = 0; g.machine == m {
			g.call(func() { m.Tick(g.fleet.now) })
		}
	})
}

func (g *gatewaySim) Connect(after balancer.Micros) {
	g.stream++
	stream, m := g.stream, g.machine
	g.fleet.after(after+1000, func() {
		if g.stream != stream || m != g.machine && g.machine != nil {
			return
		}
		if !g.fleet.up {
			g.call(func() { g.machine.Closed(g.fleet.now, "refused") })
			return
		}
		g.open = true
		g.fleet.opens++
		g.fleet.openedAt = append(g.fleet.openedAt, g.fleet.now)
		g.call(func() { g.machine.Connected(g.fleet.now) })
		if g.fleet.current != nil {
			g.fleet.publishTo(g, g.fleet.current)
		}
	})
}

func (g *gatewaySim) Close(string) { g.stream, g.open = g.stream+1, false }

func (g *gatewaySim) SendRequest(t ResourceType, version, nonce, reason string) {
	if !g.open {
		g.fleet.tb.Errorf("%s: sent on no stream", g.name)
	}
	if nonce == "" {
		return
	}
	if !strings.HasPrefix(nonce, fmt.Sprintf("%s/%d/", g.name, g.stream)) {
		g.fleet.tb.Errorf("%s: answered %s on stream %d", g.name, nonce, g.stream)
	}
	g.acks[nonce] = reason == ""
	if reason == "" && g.onAck != nil {
		g.onAck()
	}
}

func (g *gatewaySim) Apply(c *Config) {
	n := numberOf(c)
	// The gateway's loop answers a little later.
	m := g.machine
	g.fleet.after(balancer.Micros(g.fleet.rng.IntN(3000)), func() {
		if g.machine != m {
			return // it was restarted meanwhile
		}
		var r Rejections
		if g.fleet.badTransition[n] {
			r.addf(TypeClass, "chat", "", "taken out with 3 requests in hand")
		} else {
			g.inForce = c
			g.applied = append(g.applied, n)
		}
		g.call(func() { m.Applied(g.fleet.now, r) })
	})
}

func (g *gatewaySim) Persist(c *Config, rejected []Number) error {
	if g.storeFails {
		return errStoreFails
	}
	g.persisted, g.rejected = c, slices.Clone(rejected)
	return nil
}

func (g *gatewaySim) PersistRollback(c *Config, rejected []Number) error {
	return g.Persist(c, rejected)
}

func (g *gatewaySim) RecordEvent(e Event) {
	if g.history = append(g.history, e); len(g.history) > 10_000 {
		g.fleet.tb.Fatal("the history does not end")
	}
}

// publish makes a version the service's current one.
func (f *fleet) publish(p *published) {
	f.current, f.lastSent = p, f.now
	for _, g := range f.gateways {
		if g.open {
			f.publishTo(g, p)
		}
	}
}

// publishTo sends a version's messages in a random order, with delays.
func (f *fleet) publishTo(g *gatewaySim, p *published) {
	types := []ResourceType{TypeVersion}
	for t := range p.types {
		types = append(types, t)
	}
	slices.Sort(types)
	f.rng.Shuffle(len(types), func(i, j int) { types[i], types[j] = types[j], types[i] })
	stream, delay := g.stream, balancer.Micros(0)
	for i, t := range types {
		delay += balancer.Micros(f.rng.IntN(20_000))
		f.after(delay, func() {
			if g.stream != stream || !g.open {
				return
			}
			if p.disconnectAfter > 0 && i >= p.disconnectAfter {
				f.disconnect(g, "the service vanished")
				return
			}
			g.nonce++
			r := Response{Type: t, Version: p.types[t], Nonce: fmt.Sprintf("%s/%d/%d", g.name, g.stream, g.nonce)}
			switch t {
			case p.truncated:
				r.DecodeError = "cannot be read: unexpected end"
			case TypeVersion:
				r.Version = fmt.Sprint("v", p.number)
				r.Fragment = &Fragment{Manifest: &Manifest{Number: p.number, Types: p.types, Rollout: p.rollout}}
			default:
				r.Fragment = &Fragment{MergeInto: p.mergeInto}
			}
			g.call(func() { g.machine.Received(f.now, r) })
		})
	}
}

func (f *fleet) disconnect(g *gatewaySim, reason string) {
	if !g.open {
		return
	}
	g.stream, g.open = g.stream+1, false
	g.call(func() { g.machine.Closed(f.now, reason) })
}

// version returns a valid version with classes and attempts.
func version(n Number) *published {
	return &published{number: n, types: map[ResourceType]string{TypeClass: fmt.Sprint("c", n), TypeAttempts: fmt.Sprint("a", n)}, mergeInto: func(c *Config) {
		c.HasClasses = true
		c.Classes = []balancer.Class{{Name: "chat", LatencyObjective: sec, Deadline: 3 * sec, PriorityWeight: float64(n)}}
		c.Attempts = &Attempts{Max: 1 + int(n%3), MayHedge: true}
	}}
}

// script plays a seeded script and returns the version that all must end on.
func (f *fleet) script(steps int) Number {
	good, n := Number(0), Number(0)
	for range steps {
		n++
		p := version(n)
		what := f.rng.IntN(11)
		isGood := true
		switch what {
		case 0: // invalid by itself
			fill := p.mergeInto
			p.mergeInto = func(c *Config) { fill(c); c.Attempts = &Attempts{Max: 7} }
			isGood = false
		case 1: // truncated
			p.truncated, isGood = TypeClass, false
		case 2: // valid by itself, not as a step
			f.badTransition[n], isGood = true, false
		case 3: // the stream ends between two resources, then the service has the version complete
			p.disconnectAfter = 1 + f.rng.IntN(2)
			f.publish(p)
			f.after(200_000, func() { p.disconnectAfter = 0 })
			f.runUntil(f.now + 300_000)
			good = n
			continue
		case 4: // flood
			for range 20 {
				f.publish(p)
				f.runUntil(f.now + balancer.Micros(f.rng.IntN(3000)))
				n++
				p = version(n)
			}
		case 5: // an old version again
			if good > 1 {
				f.publish(version(good - 1))
				f.runUntil(f.now + 100_000)
			}
		case 6: // the service goes down and comes back
			f.up = false
			for _, g := range f.gateways {
				f.disconnect(g, "reset")
			}
			f.runUntil(f.now + balancer.Micros(f.rng.IntN(5_000_000)))
			f.up, f.opens, f.openedAt = true, 0, nil
		case 7: // a gateway is killed and starts again
			g := f.gateways[f.rng.IntN(len(f.gateways))]
			g.stream, g.open, g.wake = g.stream+1, false, 0
			g.start(uint64(n))
		case 8: // the same again
			f.publish(p)
			f.runUntil(f.now + balancer.Micros(f.rng.IntN(200_000)))
		}
		f.publish(p)
		if isGood {
			good = n
		}
		f.runUntil(f.now + balancer.Micros(f.rng.IntN(1_500_000)))
	}
	return good
}

// Whatever the service does, each gateway ends on the last good version, within 2 s of
// the last message that reached it, and never has a version in part.
func TestEveryGatewayEndsOnTheLastGood(t *testing.T) {
	scripts := 250
	if testing.Short() {
		scripts = 40
	}
	worst := balancer.Micros(0)
	for seed := range uint64(scripts) {
		f := newFleet(t, seed, 3)
		f.runUntil(2 * sec)
		good := f.script(3 + int(seed%8))
		// A last good version ends each script; the service is up for as long as the
		// longest backoff.
		if f.rng.IntN(2) == 0 {
			f.runUntil(f.now + 40*sec)
		}
		last := version(good + 100)
		f.publish(last)
		reach := f.now
		for i := 0; !f.allOn(last.number) && f.now < reach+60*sec; i++ {
			f.runUntil(f.now + 10_000)
		}
		if !f.allOn(last.number) {
			for _, g := range f.gateways {
				t.Errorf("seed %d: %s is on %d, not %d: %v", seed, g.name, numberOf(g.inForce), last.number, tail(g.history))
			}
			return
		}
		for _, g := range f.gateways {
			// Complete: what is applied is what the version says.
			if g.inForce.Classes[0].PriorityWeight != float64(last.number) || g.inForce.Attempts.Max != 1+int(last.number%3) {
				t.Errorf("seed %d: %s has version %d in part: %+v", seed, g.name, g.inForce.Number, g.inForce)
			}
			for _, n := range g.applied {
				if f.badTransition[n] {
					t.Errorf("seed %d: %s applied version %d", seed, g.name, n)
				}
			}
			if numberOf(g.persisted) != last.number {
				t.Errorf("seed %d: %s persisted %d", seed, g.name, numberOf(g.persisted))
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

func (f *fleet) allOn(n Number) bool {
	for _, g := range f.gateways {
		if numberOf(g.inForce) != n || numberOf(g.persisted) != n {
			return false
		}
	}
	return true
}

// settled reports whether all streams were open at a time; otherwise the backoff counts too.
func (f *fleet) settled(at balancer.Micros) bool {
	for _, o := range f.openedAt {
		if o >= at {
			return false
		}
	}
	return true
}

func tail(h []Event) []Event { return h[max(0, len(h)-6):] }

// 300 gateways are on the last good version in time, and when the service returns after
// an outage they do not reconnect together.
func TestReconnectsAreSpread(t *testing.T) {
	f := newFleet(t, 77, 300)
	f.runUntil(2 * sec)
	f.publish(version(1))
	f.runUntil(f.now + 2*sec)
	if !f.allOn(1) {
		t.Fatal("not all are on version 1")
	}
	f.up = false
	for _, g := range f.gateways {
		f.disconnect(g, "reset")
	}
	f.runUntil(f.now + 120*sec)
	f.up, f.opens, f.openedAt = true, 0, nil
	back := f.now
	f.runUntil(back + 31*sec)
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
	f.runUntil(f.now + 2*sec)
	if !f.allOn(2) {
		t.Error("not all are on version 2")
	}
}

// A version that makes requests late is rolled back by the gateways that applied it
// first; the service is notified, the others never apply it, and no gateway applies it
// again.
func TestWorseVersionIsRolledBack(t *testing.T) {
	f := newFleet(t, 5, 40)
	f.runUntil(2 * sec)
	f.publish(version(1))
	f.runUntil(f.now + 2*sec)
	serve := func(seconds int) {
		for range seconds * 10 {
			f.runUntil(f.now + sec/10)
			for _, g := range f.gateways {
				for i := range 3 {
					g.call(func() { g.machine.RequestEnded(f.worse[numberOf(g.inForce)] && i > 0) })
				}
			}
		}
	}
	serve(20)
	bad := version(2)
	bad.rollout = Rollout{FirstPercent: 25, Hold: 10 * sec, MaxRegression: 0.1}
	f.worse[2] = true
	f.publish(bad)
	serve(5)
	first := 0
	for _, g := range f.gateways {
		if slices.Contains(g.applied, 2) {
			first++
		}
	}
	if first < 3 || first > 20 {
		t.Fatalf("%d of 40 applied it first", first)
	}
	serve(5)
	// The service learns of it and returns to the old contents under a new number.
	nacked := 0
	for _, g := range f.gateways {
		for _, e := range g.history {
			if e.Kind == EventRolledBack {
				nacked++
			}
		}
		if numberOf(g.inForce) == 2 {
			t.Errorf("%s is still on it", g.name)
		}
	}
	if nacked != first {
		t.Errorf("%d applied it, %d rolled it back", first, nacked)
	}
	next := version(3)
	next.rollout = Rollout{FirstPercent: 50, Hold: 5 * sec, MaxRegression: 0.1}
	f.publish(next)
	serve(3)
	for _, g := range f.gateways {
		if n := numberOf(g.inForce); n == 2 {
			t.Errorf("%s applied version 2 after its hold", g.name)
		}
	}
	f.publish(bad) // the old one again: nobody
	serve(2)
	f.publish(next)
	serve(14)
	if !f.allOn(3) {
		for _, g := range f.gateways {
			if numberOf(g.persisted) != 3 {
				t.Fatalf("%s: persisted %d, %v", g.name, numberOf(g.persisted), tail(g.history))
			}
		}
	}
	for _, g := range f.gateways {
		if slices.Contains(g.applied, 2) && g.applied[len(g.applied)-1] != 3 {
			t.Errorf("%s: %v", g.name, g.applied)
		}
	}
}

// A stream that stops within a version is dropped, and opened again.
func TestStalledStreamIsDropped(t *testing.T) {
	f := newFleet(t, 6, 1)
	f.runUntil(2 * sec)
	g := f.gateways[0]
	p := version(1)
	stream := g.stream
	g.call(func() {
		g.machine.Received(f.now, Response{Type: TypeVersion, Version: "v1", Nonce: fmt.Sprintf("%s/%d/1", g.name, g.stream),
			Fragment: &Fragment{Manifest: &Manifest{Number: 1, Types: p.types}}})
	})
	f.runUntil(f.now + 9*sec)
	if g.stream != stream {
		t.Fatal("dropped too soon")
	}
	f.runUntil(f.now + 3*sec)
	if g.stream == stream {
		t.Fatal("not dropped")
	}
	f.publish(p)
	f.runUntil(f.now + 2*sec)
	if !f.allOn(1) {
		t.Error("not on version 1")
	}
}

// A restart begins with what was persisted, whether or not the service is reachable.
func TestRestartKeepsTheLastGood(t *testing.T) {
	f := newFleet(t, 8, 1)
	f.runUntil(2 * sec)
	f.publish(version(4))
	f.runUntil(f.now + 2*sec)
	f.up = false
	g := f.gateways[0]
	f.disconnect(g, "gone")
	g.stream, g.open, g.wake = g.stream+1, false, 0
	g.start(9)
	f.runUntil(f.now + 5*sec)
	if numberOf(g.inForce) != 4 || g.machine.InForce().Number != 4 {
		t.Errorf("on %d", numberOf(g.inForce))
	}
	if err := g.machine.Rollback(f.now, "ordered"); err != nil {
		t.Error("there is a version to roll back", err)
	}
	f.runUntil(f.now + sec)
	if g.inForce != nil || !slices.Contains(g.machine.Rejected(), 4) {
		t.Errorf("after the rollback: %v, rejected %v", g.inForce, g.machine.Rejected())
	}
}
