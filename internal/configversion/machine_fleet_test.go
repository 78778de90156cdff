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

// fleet simulates a control service and its gateways in virtual time. The machines are
// real; a stream is a sequence of delayed calls.
type fleet struct {
	tb       testing.TB
	rng      *rand.Rand
	now      balancer.Micros
	schedule schedule
	seq      int

	gateways          []*gatewaySim
	current           *published // version that the service publishes; nil: none yet
	up                bool
	opens             int // streams opened since the service became reachable again
	openedAt          []balancer.Micros
	invalidTransition map[Number]bool // versions that every gateway rejects as a transition
	regressed         map[Number]bool // versions under which requests are late or unserved
	lastSent          balancer.Micros
}

type published struct {
	number          Number
	mergeInto       func(*Config)
	types           map[ResourceType]string
	truncated       ResourceType // type whose message is truncated
	disconnectAfter int          // number of messages after which the stream ends; 0: it does not end
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

// gatewaySim simulates one gateway; it is the Host of its machine.
type gatewaySim struct {
	fleet     *fleet
	machine   *Machine
	name      string
	stream    int // number of the current stream; messages of earlier ones are dropped
	open      bool
	nonce     int
	inForce   *Config // version applied last
	persisted *Config
	rejected  []Number
	history   []Event
	acks      map[string]bool // by nonce: true for an ACK, false for a NACK
	applied   []Number
	tickAt    balancer.Micros

	storeFails bool
	onAck      func() // called when a version is acknowledged; may be nil
}

var errStoreFails = errors.New("no space left on device")

func newFleet(tb testing.TB, seed uint64, gateways int) *fleet {
	tb.Helper()
	f := &fleet{tb: tb, rng: rand.New(rand.NewPCG(seed, 3)), up: true, now: sec, invalidTransition: map[Number]bool{}, regressed: map[Number]bool{}}
	for i := range gateways {
		g := &gatewaySim{fleet: f, name: fmt.Sprintf("n%d", i), acks: map[string]bool{}}
		f.gateways = append(f.gateways, g)
		g.start(uint64(i) + seed)
	}
	return f
}

// start creates the gateway's machine from the persisted state, as after a restart.
func (g *gatewaySim) start(seed uint64) {
	g.machine = New(DefaultOptions(g.name, seed), g, g.persisted, g.rejected)
	g.inForce = g.persisted
	g.machine.Start(g.fleet.now)
	g.scheduleTick()
}

// call runs a function that calls the machine, and schedules the next tick.
func (g *gatewaySim) call(do func()) {
	do()
	g.scheduleTick()
}

func (g *gatewaySim) scheduleTick() {
	at := g.machine.NextTick()
	if at == 0 || g.tickAt != 0 && g.tickAt <= at && g.tickAt >= g.fleet.now {
		return
	}
	g.tickAt = at
	m := g.machine
	g.fleet.after(at-g.fleet.now, func() {
		if g.tickAt = 0; g.machine == m {
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
		g.fleet.tb.Errorf("%s: request sent without an open stream", g.name)
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
	// The result follows after a short delay, as from the gateway's event loop.
	m := g.machine
	g.fleet.after(balancer.Micros(g.fleet.rng.IntN(3000)), func() {
		if g.machine != m {
			return // the gateway was restarted meanwhile
		}
		var r Rejections
		if g.fleet.invalidTransition[n] {
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
		g.fleet.tb.Fatal("more than 10000 events in the history")
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

// runScript runs a random sequence of steps and returns the last valid version published.
func (f *fleet) runScript(steps int) Number {
	lastGood, n := Number(0), Number(0)
	for range steps {
		n++
		p := version(n)
		step := f.rng.IntN(11)
		isGood := true
		switch step {
		case 0: // invalid by itself
			mergeValid := p.mergeInto
			p.mergeInto = func(c *Config) { mergeValid(c); c.Attempts = &Attempts{Max: 7} }
			isGood = false
		case 1: // truncated
			p.truncated, isGood = TypeClass, false
		case 2: // valid by itself, rejected as a transition
			f.invalidTransition[n], isGood = true, false
		case 3: // the stream ends between two resources; the service then sends the complete version
			p.disconnectAfter = 1 + f.rng.IntN(2)
			f.publish(p)
			f.after(200_000, func() { p.disconnectAfter = 0 })
			f.runUntil(f.now + 300_000)
			lastGood = n
			continue
		case 4: // many versions in quick succession
			for range 20 {
				f.publish(p)
				f.runUntil(f.now + balancer.Micros(f.rng.IntN(3000)))
				n++
				p = version(n)
			}
		case 5: // an older version is published again
			if lastGood > 1 {
				f.publish(version(lastGood - 1))
				f.runUntil(f.now + 100_000)
			}
		case 6: // the service goes down and comes back
			f.up = false
			for _, g := range f.gateways {
				f.disconnect(g, "reset")
			}
			f.runUntil(f.now + balancer.Micros(f.rng.IntN(5_000_000)))
			f.up, f.opens, f.openedAt = true, 0, nil
		case 7: // a gateway is killed and restarted
			g := f.gateways[f.rng.IntN(len(f.gateways))]
			g.stream, g.open, g.tickAt = g.stream+1, false, 0
			g.start(uint64(n))
		case 8: // the same version is published twice
			f.publish(p)
			f.runUntil(f.now + balancer.Micros(f.rng.IntN(200_000)))
		}
		f.publish(p)
		if isGood {
			lastGood = n
		}
		f.runUntil(f.now + balancer.Micros(f.rng.IntN(1_500_000)))
	}
	return lastGood
}

// Guards against gateways that do not converge on the last good version, or apply a version
// in part, after random sequences of invalid versions, stream failures and restarts. Unless
// streams were reconnecting, they must converge within 2 s of its publication.
func TestEveryGatewayEndsOnTheLastGood(t *testing.T) {
	scripts := 250
	if testing.Short() {
		scripts = 40
	}
	slowest := balancer.Micros(0)
	for seed := range uint64(scripts) {
		f := newFleet(t, seed, 3)
		f.runUntil(2 * sec)
		lastGood := f.runScript(3 + int(seed%8))
		// The service then publishes a valid version. In half of the runs, it has been
		// reachable for longer than the maximum backoff by then.
		if f.rng.IntN(2) == 0 {
			f.runUntil(f.now + 40*sec)
		}
		last := version(lastGood + 100)
		f.publish(last)
		publishedAt := f.now
		for i := 0; !f.allOn(last.number) && f.now < publishedAt+60*sec; i++ {
			f.runUntil(f.now + 10_000)
		}
		if !f.allOn(last.number) {
			for _, g := range f.gateways {
				t.Errorf("seed %d: %s has version %d in force, expected %d: %v", seed, g.name, numberOf(g.inForce), last.number, tail(g.history))
			}
			return
		}
		for _, g := range f.gateways {
			// The applied version is complete.
			if g.inForce.Classes[0].PriorityWeight != float64(last.number) || g.inForce.Attempts.Max != 1+int(last.number%3) {
				t.Errorf("seed %d: %s applied version %d in part: %+v", seed, g.name, g.inForce.Number, g.inForce)
			}
			for _, n := range g.applied {
				if f.invalidTransition[n] {
					t.Errorf("seed %d: %s applied version %d, which it must reject", seed, g.name, n)
				}
			}
			if numberOf(g.persisted) != last.number {
				t.Errorf("seed %d: %s persisted %d", seed, g.name, numberOf(g.persisted))
			}
		}
		if took := f.now - publishedAt; f.noStreamOpenedSince(publishedAt) {
			slowest = max(slowest, took)
		}
	}
	if slowest > 2*sec {
		t.Errorf("the slowest script converged %d us after the last version was published", slowest)
	}
	t.Logf("slowest of %d scripts, where all streams were open: %d us", scripts, slowest)
}

func (f *fleet) allOn(n Number) bool {
	for _, g := range f.gateways {
		if numberOf(g.inForce) != n || numberOf(g.persisted) != n {
			return false
		}
	}
	return true
}

// noStreamOpenedSince reports whether no stream was opened at or after a time. Otherwise the
// time to converge includes a reconnection backoff.
func (f *fleet) noStreamOpenedSince(at balancer.Micros) bool {
	for _, openedAt := range f.openedAt {
		if openedAt >= at {
			return false
		}
	}
	return true
}

func tail(h []Event) []Event { return h[max(0, len(h)-6):] }

// Guards against a reconnection storm: after an outage of the control service, at most 40
// of 300 gateways may reconnect within one second. All must apply each version within 2 s.
func TestReconnectsAreSpread(t *testing.T) {
	f := newFleet(t, 77, 300)
	f.runUntil(2 * sec)
	f.publish(version(1))
	f.runUntil(f.now + 2*sec)
	if !f.allOn(1) {
		t.Fatal("not all gateways have applied version 1")
	}
	f.up = false
	for _, g := range f.gateways {
		f.disconnect(g, "reset")
	}
	f.runUntil(f.now + 120*sec)
	f.up, f.opens, f.openedAt = true, 0, nil
	restoredAt := f.now
	f.runUntil(restoredAt + 31*sec)
	if f.opens != 300 {
		t.Fatalf("%d of 300 gateways reconnected", f.opens)
	}
	maxPerSecond := 0
	for i := range f.openedAt {
		n := 0
		for _, at := range f.openedAt[i:] {
			if at < f.openedAt[i]+sec {
				n++
			}
		}
		maxPerSecond = max(maxPerSecond, n)
	}
	if maxPerSecond > 40 {
		t.Errorf("%d gateways reconnected within one second, expected at most 40", maxPerSecond)
	}
	t.Logf("at most %d of 300 gateways reconnected within one second", maxPerSecond)
	f.publish(version(2))
	f.runUntil(f.now + 2*sec)
	if !f.allOn(2) {
		t.Error("not all gateways have applied version 2")
	}
}

// A version that makes requests late is rolled back by the first group of gateways. The
// others never apply it, and no gateway applies it again when it is published again.
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
					g.call(func() { g.machine.RequestEnded(f.regressed[numberOf(g.inForce)] && i > 0) })
				}
			}
		}
	}
	serve(20)
	regressed := version(2)
	regressed.rollout = Rollout{FirstPercent: 25, Hold: 10 * sec, MaxRegression: 0.1}
	f.regressed[2] = true
	f.publish(regressed)
	serve(5)
	appliedFirst := 0
	for _, g := range f.gateways {
		if slices.Contains(g.applied, 2) {
			appliedFirst++
		}
	}
	if appliedFirst < 3 || appliedFirst > 20 {
		t.Fatalf("%d of 40 gateways are in the first group", appliedFirst)
	}
	serve(5)
	// The service withdraws the version: it publishes a new one.
	rolledBack := 0
	for _, g := range f.gateways {
		for _, e := range g.history {
			if e.Kind == EventRolledBack {
				rolledBack++
			}
		}
		if numberOf(g.inForce) == 2 {
			t.Errorf("%s still has version 2 in force", g.name)
		}
	}
	if rolledBack != appliedFirst {
		t.Errorf("%d gateways applied the version, %d rolled it back", appliedFirst, rolledBack)
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
	f.publish(regressed) // published again; no gateway may apply it
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

// A stream on which a version stays incomplete is closed after the stall timeout, and reopened.
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
		t.Fatal("stream closed before the stall timeout")
	}
	f.runUntil(f.now + 3*sec)
	if g.stream == stream {
		t.Fatal("stream not closed after the stall timeout")
	}
	f.publish(p)
	f.runUntil(f.now + 2*sec)
	if !f.allOn(1) {
		t.Error("version 1 was not applied on the new stream")
	}
}

// A restarted gateway has the persisted version in force without the control service, and can roll it back.
func TestRestartKeepsTheLastGood(t *testing.T) {
	f := newFleet(t, 8, 1)
	f.runUntil(2 * sec)
	f.publish(version(4))
	f.runUntil(f.now + 2*sec)
	f.up = false
	g := f.gateways[0]
	f.disconnect(g, "gone")
	g.stream, g.open, g.tickAt = g.stream+1, false, 0
	g.start(9)
	f.runUntil(f.now + 5*sec)
	if numberOf(g.inForce) != 4 || g.machine.InForce().Number != 4 {
		t.Errorf("version %d is in force, expected 4", numberOf(g.inForce))
	}
	if err := g.machine.Rollback(f.now, "ordered"); err != nil {
		t.Error("rollback of version 4 failed:", err)
	}
	f.runUntil(f.now + sec)
	if g.inForce != nil || !slices.Contains(g.machine.Rejected(), 4) {
		t.Errorf("after the rollback: %v, rejected %v", g.inForce, g.machine.Rejected())
	}
}
