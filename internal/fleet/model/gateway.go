package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"path/filepath"
	"time"

	"archknot/balancer"
	"archknot/internal/capture"
	"archknot/internal/contract"
	"archknot/internal/subset"
)

// Gateways: the decision module with the gateway's part of the fleet before it, its timers and calls.

type gateway struct {
	x        *sim
	no       int
	zone     string
	b        *balancer.Balancer
	m        capture.Module
	view     *subset.Selector
	book     *contract.Ledger
	books    capture.ContractLedger
	rec      *capture.Recorder
	writer   *capture.Writer
	requests map[balancer.RequestID]*request
	next     balancer.RequestID
	seen     int64 // the registry's version that it has
	waiting  bool  // a watch is out
	watch    int   // counts them
	timers   capture.Timers
	rng      *rand.Rand
	dead     bool // killed: what comes for it is nobody's
	lives    int
}

// askLimit is how long a call may wait for its turn at the registry.
const askLimit balancer.Micros = 2_000_000

// request is one at a gateway.
type request struct {
	in       balancer.Request
	traffic  *traffic
	session  *Session
	tried    int // by the client, before
	sentAt   balancer.Micros
	deadline balancer.Micros
	out      int
	attempts []*attempt
	bound    *attempt
	done     bool
	firstAt  balancer.Micros
	charge   contract.Charge
	charges  map[int]*contract.Charge
	thought  contract.Usage
	over     bool
	counted  bool
	wasted   int // attempts that may have run and served nobody
}

// kill ends a gateway at once, with all that it has in hand, and has it come back with
// the list that it had.
func (g *gateway) kill(after balancer.Micros) {
	x := g.x
	if g.dead || x.s.Capture != "" { // a recording has one life
		return
	}
	g.dead = true
	for _, id := range sorted(g.requests) {
		r := g.requests[id]
		for _, a := range r.attempts {
			if !a.over {
				a.over = true
				a.cancel()
			}
		}
		if !r.done {
			r.done = true
			x.ends(x.e.Now(), r, "broken", 0)
		}
	}
	x.e.After(max(1, after), func(balancer.Micros) {
		next, err := x.newGateway(g.no, x.zones, x.kinds)
		if err != nil {
			panic(err) // the same settings were good before
		}
		next.lives, next.seen = g.lives+1, g.seen
		x.gateways[g.no] = next
		next.start()
	})
}

func (x *sim) newGateway(i int, zones, kinds []string) (*gateway, error) {
	s := x.s.Settings
	s.Self, s.Gateways, s.Zones, s.Kinds = i, x.s.Gateways, zones, kinds
	s.Zone = zones[i%len(zones)]
	g := &gateway{x: x, no: i, zone: s.Zone, requests: map[balancer.RequestID]*request{}, next: 1, timers: capture.Timers{}, rng: x.e.Rand(fmt.Sprint("gateway", i))}
	seed := g.rng.Uint64()
	var err error
	if g.b, err = balancer.New(s, seed, g); err != nil {
		return nil, err
	}
	g.m = g.b
	g.view = subset.NewSelector(subset.Settings{MaxReplicas: x.s.Subset, GatewayIndex: i, GatewayCount: x.s.Gateways, Zone: s.Zone, RemoteFraction: subset.DefaultRemoteFraction,
		WeightIsSize: s.WeightKind == balancer.WeightNominal, SlowStart: s.SlowStartFor}, g.b)
	if len(x.s.Contracts) > 0 {
		if g.book, err = contract.NewLedger(x.s.Book, x.s.Contracts, start, start); err != nil {
			return nil, err
		}
		parts := make([]float64, len(x.s.Contracts))
		for i := range parts {
			parts[i] = 1 / float64(x.s.Gateways)
		}
		g.book.SetQuotaShares(start, parts)
		g.books = capture.UnrecordedLedger{Ledger: g.book}
	}
	if x.s.Capture != "" {
		name := fmt.Sprintf("gateway%d", i)
		if g.writer, err = capture.NewWriter(capture.WriterOptions{Directory: filepath.Join(x.s.Capture, name), Gateway: name, Build: "model", Seed: seed, QueueLength: 8,
			BlockWhenFull: true, MaxBytes: math.MaxInt64, MaxAge: math.MaxInt64}); err != nil {
			return nil, err
		}
		g.rec = capture.NewRecorder(start, g.b, g.book, g, g.writer, capture.Host{Timers: g.timers.Pending, OpenCharges: g.open},
			capture.Options{CheckpointInterval: 15 * time.Second, BlockSize: 64 << 10, FlushInterval: time.Minute, SegmentSize: 64 << 20, SegmentAge: time.Hour})
		g.m = g.rec
		if g.book != nil {
			g.books = g.rec
		}
	}
	return g, nil
}

func (g *gateway) close() error {
	if g.rec != nil {
		g.rec.Close()
		g.writer.Close()
	}
	return nil
}

func (g *gateway) start() {
	now := g.x.e.Now()
	g.m.Start(now)
	list := balancer.EndpointList{Kind: balancer.ListFull, Version: g.x.version}
	for _, h := range g.x.workers {
		list.Endpoints = append(list.Endpoints, g.x.member(h))
	}
	if !g.waiting { // its turn at the registry has not come
		list.Kind = balancer.ListCached
	}
	if g.lives == 0 {
		g.seen = g.x.version
	} else { // what has changed since it does not know
		for _, c := range g.x.changed {
			if c.version > g.seen {
				list.Endpoints[c.member.Replica-1].State = balancer.EndpointReady
				list.Endpoints[c.member.Replica-1].StartedAt = 0
			}
		}
	}
	g.m.ListChanged(now, g.view.Apply(now, list))
}

// changed answers a watch that is out.
func (g *gateway) changed() {
	if g.waiting && !g.x.deaf && g.seen < g.x.version {
		g.waiting = false
		g.x.e.After(2*g.x.s.Near, func(now balancer.Micros) { g.answer(now) })
	}
}

func (g *gateway) answer(now balancer.Micros) {
	if g.dead {
		return
	}
	l := balancer.EndpointList{Kind: balancer.ListDelta, Version: g.x.version}
	for _, c := range g.x.changed {
		if c.version > g.seen {
			l.Endpoints = append(l.Endpoints, c.member)
		}
	}
	g.seen = g.x.version
	g.m.ListChanged(now, g.view.Apply(now, l))
	g.waiting = true // the gateway's watch goes on by itself
	g.watched()
}

// WatchDiscovery: choice.Sink.
func (g *gateway) WatchDiscovery() {
	if g.waiting {
		return
	}
	g.waiting = true
	if each := g.x.s.AskEach; each > 0 {
		// Calls are answered in turn; it works for those too that it then fails.
		now := g.x.e.Now()
		g.x.askFree = max(g.x.askFree, now) + each
		if g.x.askFree > now+askLimit {
			g.x.res.AsksFailed++
			g.x.e.After(askLimit, func(now balancer.Micros) {
				if g.waiting = false; !g.dead {
					g.m.ListChanged(now, balancer.EndpointList{Kind: balancer.ListFailed})
				}
			})
			return
		}
		g.x.e.At(g.x.askFree, func(balancer.Micros) { g.watched() })
		return
	}
	g.watched()
}

// watched is a watch that has begun.
func (g *gateway) watched() {
	g.watch++
	watch := g.watch
	g.x.e.After(0, func(balancer.Micros) { g.changed() })
	g.x.e.After(g.x.s.PollWait, func(now balancer.Micros) {
		if !g.waiting || g.watch != watch {
			return
		}
		g.waiting = false
		if g.x.deaf && !g.dead {
			g.m.ListChanged(now, balancer.EndpointList{Kind: balancer.ListFailed})
			return
		}
		g.answer(now)
	})
}

func (g *gateway) open() (out []contract.OpenCharge) {
	for id, r := range g.requests {
		if r.charge.Open() {
			out = append(out, contract.OpenCharge{Key: capture.ChargeKey(id, 0), Charge: &r.charge})
		}
		for n, c := range r.charges {
			if c.Open() {
				out = append(out, contract.OpenCharge{Key: capture.ChargeKey(id, n), Charge: c})
			}
		}
	}
	return out
}

// SetTimer: choice.Sink.
func (g *gateway) SetTimer(delay balancer.Micros, token uint64) {
	at := g.x.e.Now() + delay
	g.timers.Add(at, token)
	g.x.e.At(at, func(now balancer.Micros) {
		if g.dead {
			return
		}
		g.timers.Remove(token)
		g.m.TimerFired(now, token)
	})
}

// arrive is a request of a client.
func (g *gateway) arrive(now balancer.Micros, r *request) {
	if g.dead {
		g.x.ends(now, r, "failed", 0)
		return
	}
	for g.requests[g.next] != nil || g.next == 0 {
		g.next++
	}
	r.in.ID = g.next
	g.next++
	r.in.TimeLeft = r.deadline - now
	g.requests[r.in.ID] = r
	if g.books != nil {
		v := g.books.Charge(now, &r.in, 0, &r.charge)
		g.book.TakeNotices()
		if v.Rejected {
			r.done = true
			g.x.ends(now, r, "contract", v.RetryAfter)
			g.forget(r)
			return
		}
		r.in.PriorityFactor, r.over, r.thought = max(1e-6, v.PriorityWeight), v.OverQuota, r.charge.Estimate
	}
	g.x.e.At(r.deadline, func(now balancer.Micros) { g.leave(now, r) })
	if home, tell := g.view.AssignAffinityTarget(now, &r.in); tell {
		g.m.ListChanged(now, home)
	}
	g.m.RequestArrived(now, r.in)
}

// leave is a client whose patience has ended before its first token.
func (g *gateway) leave(now balancer.Micros, r *request) {
	if r.done || r.bound != nil {
		return
	}
	r.done = true
	g.m.ClientGone(now, r.in.ID)
	for _, a := range r.attempts {
		if !a.over {
			a.over = true
			a.cancel()
			g.outcome(now, a, balancer.Cancelled, balancer.LoadReport{})
		}
	}
	g.x.ends(now, r, "late", 0)
	g.forget(r)
}

func (g *gateway) forget(r *request) {
	if !r.done {
		return
	}
	for _, a := range r.attempts {
		if !a.over {
			return
		}
	}
	if g.books != nil {
		g.books.Settle(g.x.e.Now(), r.in.ID, 0, &r.charge, contract.Usage{}, false)
	}
	delete(g.requests, r.in.ID)
}

// Dispatch: choice.Sink.
func (g *gateway) Dispatch(id balancer.RequestID, to balancer.ReplicaID, cutAt balancer.Micros) {
	r, now := g.requests[id], g.x.e.Now()
	if r == nil || r.done || r.bound != nil {
		return
	}
	h := g.x.workers[to-1]
	g.x.jobs++
	a := &attempt{g: g, r: r, n: len(r.attempts), h: h, id: g.x.jobs, sent: now}
	r.attempts = append(r.attempts, a)
	if g.books != nil {
		c := &contract.Charge{}
		if a.n == 0 {
			*c, r.charge = r.charge, contract.Charge{}
		} else if v := g.books.Charge(now, &r.in, a.n, c); v.Rejected {
			g.x.e.After(0, func(now balancer.Micros) { g.ended(now, a, balancer.NotSent, balancer.LoadReport{}) })
			return
		}
		if r.charges == nil {
			r.charges = map[int]*contract.Charge{}
		}
		r.charges[a.n] = c
	}
	if cutAt <= 0 || cutAt > r.deadline {
		cutAt = r.deadline
	}
	g.x.e.At(cutAt, func(now balancer.Micros) {
		if !a.over && r.bound != a && !r.done {
			a.cancel()
			g.ended(now, a, balancer.TimedOut, balancer.LoadReport{})
		}
	})
	g.x.e.After(g.x.way(g.zone, h.zone)+h.group.Params.Connect, a.arrive)
}

// opened is a first token that has come.
func (g *gateway) opened(now balancer.Micros, a *attempt) {
	r := a.r
	if a.over || a.first {
		return
	}
	a.first = true
	if r.done || r.bound != nil { // nobody's any more
		a.cancel()
		g.ended(now, a, balancer.Cancelled, balancer.LoadReport{})
		return
	}
	r.bound, r.firstAt = a, now
	g.m.FirstToken(now, balancer.Outcome{ID: r.in.ID, Attempt: a.n, Replica: balancer.ReplicaID(a.h.no + 1), Elapsed: now - a.sent})
}

func (g *gateway) ended(now balancer.Micros, a *attempt, status balancer.Status, rep balancer.LoadReport) {
	if a.over {
		return
	}
	a.over = true
	r := a.r
	if status == balancer.Served && r.bound != a {
		status = balancer.Cancelled
	}
	final := r.bound == a
	if final {
		r.done = true
	}
	g.outcome(now, a, status, rep)
	if final {
		if status == balancer.Served {
			g.x.ends(now, r, "served", 0)
		} else {
			g.x.ends(now, r, "broken", 0)
		}
	}
	g.forget(r)
}

// outcome settles an attempt and tells the module.
func (g *gateway) outcome(now balancer.Micros, a *attempt, status balancer.Status, rep balancer.LoadReport) {
	r := a.r
	if c := r.charges[a.n]; c != nil {
		used := c.ActualUsage(status, r.in.PromptTokens, a.kept, a.made)
		g.books.Settle(now, r.in.ID, a.n, c, used, status == balancer.Served)
		g.book.TakeNotices()
	}
	if !status.NeverRan() && status != balancer.Served {
		r.wasted++
		if r.counted && r.sentAt-start >= g.x.s.Warm { // it ended after its request did
			g.x.res.Wasted++
		}
	}
	g.m.AttemptEnded(now, balancer.Outcome{ID: r.in.ID, Attempt: a.n, Replica: balancer.ReplicaID(a.h.no + 1), Status: status, Elapsed: now - a.sent,
		Final: r.done, CachedTokens: a.kept, OutputTokens: a.made, Report: rep})
}

// Shed: choice.Sink.
func (g *gateway) Shed(id balancer.RequestID, after balancer.Micros) { g.giveUp(id, "refused", after) }

// Fail: choice.Sink.
func (g *gateway) Fail(id balancer.RequestID) { g.giveUp(id, "failed", 0) }

func (g *gateway) giveUp(id balancer.RequestID, how string, after balancer.Micros) {
	r, now := g.requests[id], g.x.e.Now()
	if r == nil || r.done || r.bound != nil {
		return
	}
	r.done = true
	if g.books != nil {
		g.books.Settle(now, id, 0, &r.charge, contract.Usage{}, false)
		g.books.RecordShed(now, &r.in, r.thought, r.over)
	}
	g.x.ends(now, r, how, after)
	g.x.e.After(0, func(balancer.Micros) { g.forget(r) })
}

// Cancel: choice.Sink.
func (g *gateway) Cancel(id balancer.RequestID, n int) {
	r := g.requests[id]
	if r == nil || n >= len(r.attempts) || r.attempts[n] == r.bound || r.attempts[n].over {
		return
	}
	a := r.attempts[n]
	a.cancel()
	g.x.e.After(0, func(now balancer.Micros) { g.ended(now, a, balancer.Cancelled, balancer.LoadReport{}) })
}

// HealthCheck: choice.Sink.
func (g *gateway) HealthCheck(to balancer.ReplicaID) {
	g.x.res.Probes++
	h, began := g.x.workers[to-1], g.x.e.Now()
	g.x.e.After(g.x.way(g.zone, h.zone), func(balancer.Micros) {
		o := balancer.Outcome{Replica: to, Status: balancer.Served, Report: h.report()}
		if h.w == nil && !h.silent {
			o.Status = balancer.ConnectFailed
		}
		back := g.x.way(h.zone, g.zone)
		if h.silent { // as the gateway gives a probe up
			o.Status, o.Report, back = balancer.TimedOut, balancer.LoadReport{}, 250_000
		}
		g.x.e.After(back, func(now balancer.Micros) {
			if o.Elapsed = now - began; !g.dead {
				g.m.HealthCheckEnded(now, o)
			}
		})
	})
}

// Gossip: choice.Sink. The gateways here do not talk.
func (g *gateway) Gossip([]byte) {}
