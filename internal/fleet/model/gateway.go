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
	sim            *sim
	index          int
	zone           string
	balancer       *balancer.Balancer
	module         capture.Module
	selector       *subset.Selector
	ledger         *contract.Ledger
	recordedLedger capture.ContractLedger
	recorder       *capture.Recorder
	writer         *capture.Writer
	requests       map[balancer.RequestID]*request
	nextID         balancer.RequestID
	listVersion    int64 // the registry's version that it has
	watching       bool  // a watch is out
	watchCount     int   // counts them
	timers         capture.Timers
	rng            *rand.Rand
	dead           bool // killed: what comes for it is nobody's
	incarnation    int
}

// discoveryCallTimeout is how long a call may wait for its turn at the registry.
const discoveryCallTimeout balancer.Micros = 2_000_000

// request is one at a gateway.
type request struct {
	balancerRequest balancer.Request
	traffic         *traffic
	session         *Session
	clientRetries   int // by the client, before
	sentAt          balancer.Micros
	deadline        balancer.Micros
	outputTokens    int
	attempts        []*attempt
	winner          *attempt
	finished        bool
	firstTokenAt    balancer.Micros
	charge          contract.Charge
	charges         map[int]*contract.Charge
	estimatedUse    contract.Usage
	overQuota       bool
	counted         bool
	wastedAttempts  int // attempts that may have run and served nobody
}

// kill ends a gateway at once, with all that it has in hand, and has it come back with
// the list that it had.
func (g *gateway) kill(after balancer.Micros) {
	x := g.sim
	if g.dead || x.spec.Capture != "" { // a recording has one life
		return
	}
	g.dead = true
	for _, id := range sortedKeys(g.requests) {
		r := g.requests[id]
		for _, a := range r.attempts {
			if !a.ended {
				a.ended = true
				a.cancel()
			}
		}
		if !r.finished {
			r.finished = true
			x.requestEnded(x.engine.Now(), r, "broken", 0)
		}
	}
	x.engine.After(max(1, after), func(balancer.Micros) {
		next, err := x.newGateway(g.index, x.zones, x.kinds)
		if err != nil {
			panic(err) // the same settings were good before
		}
		next.incarnation, next.listVersion = g.incarnation+1, g.listVersion
		x.gateways[g.index] = next
		next.start()
	})
}

func (x *sim) newGateway(i int, zones, kinds []string) (*gateway, error) {
	s := x.spec.Settings
	s.Self, s.Gateways, s.Zones, s.Kinds = i, x.spec.Gateways, zones, kinds
	s.Zone = zones[i%len(zones)]
	g := &gateway{sim: x, index: i, zone: s.Zone, requests: map[balancer.RequestID]*request{}, nextID: 1, timers: capture.Timers{}, rng: x.engine.Rand(fmt.Sprint("gateway", i))}
	seed := g.rng.Uint64()
	var err error
	if g.balancer, err = balancer.New(s, seed, g); err != nil {
		return nil, err
	}
	g.module = g.balancer
	g.selector = subset.NewSelector(subset.Settings{MaxReplicas: x.spec.SubsetSize, GatewayIndex: i, GatewayCount: x.spec.Gateways, Zone: s.Zone, RemoteFraction: subset.DefaultRemoteFraction,
		WeightIsSize: s.WeightKind == balancer.WeightNominal, SlowStart: s.SlowStartFor}, g.balancer)
	if len(x.spec.Contracts) > 0 {
		if g.ledger, err = contract.NewLedger(x.spec.LedgerSettings, x.spec.Contracts, startTime, startTime); err != nil {
			return nil, err
		}
		parts := make([]float64, len(x.spec.Contracts))
		for i := range parts {
			parts[i] = 1 / float64(x.spec.Gateways)
		}
		g.ledger.SetQuotaShares(startTime, parts)
		g.recordedLedger = capture.UnrecordedLedger{Ledger: g.ledger}
	}
	if x.spec.Capture != "" {
		name := fmt.Sprintf("gateway%d", i)
		if g.writer, err = capture.NewWriter(capture.WriterOptions{Directory: filepath.Join(x.spec.Capture, name), Gateway: name, Build: "model", Seed: seed, QueueLength: 8,
			BlockWhenFull: true, MaxBytes: math.MaxInt64, MaxAge: math.MaxInt64}); err != nil {
			return nil, err
		}
		g.recorder = capture.NewRecorder(startTime, g.balancer, g.ledger, g, g.writer, capture.Host{Timers: g.timers.Pending, OpenCharges: g.openCharges},
			capture.Options{CheckpointInterval: 15 * time.Second, BlockSize: 64 << 10, FlushInterval: time.Minute, SegmentSize: 64 << 20, SegmentAge: time.Hour})
		g.module = g.recorder
		if g.ledger != nil {
			g.recordedLedger = g.recorder
		}
	}
	return g, nil
}

func (g *gateway) close() error {
	if g.recorder != nil {
		g.recorder.Close()
		g.writer.Close()
	}
	return nil
}

func (g *gateway) start() {
	now := g.sim.engine.Now()
	g.module.Start(now)
	list := balancer.EndpointList{Kind: balancer.ListFull, Version: g.sim.version}
	for _, h := range g.sim.hosts {
		list.Endpoints = append(list.Endpoints, g.sim.endpoint(h))
	}
	if !g.watching { // its turn at the registry has not come
		list.Kind = balancer.ListCached
	}
	if g.incarnation == 0 {
		g.listVersion = g.sim.version
	} else { // what has changed since it does not know
		for _, c := range g.sim.changeLog {
			if c.version > g.listVersion {
				list.Endpoints[c.endpoint.Replica-1].State = balancer.EndpointReady
				list.Endpoints[c.endpoint.Replica-1].StartedAt = 0
			}
		}
	}
	g.module.ListChanged(now, g.selector.Apply(now, list))
}

// listChanged answers a watch that is out.
func (g *gateway) listChanged() {
	if g.watching && !g.sim.discoveryDown && g.listVersion < g.sim.version {
		g.watching = false
		g.sim.engine.After(2*g.sim.spec.SameZoneDelay, func(now balancer.Micros) { g.answerWatch(now) })
	}
}

func (g *gateway) answerWatch(now balancer.Micros) {
	if g.dead {
		return
	}
	l := balancer.EndpointList{Kind: balancer.ListDelta, Version: g.sim.version}
	for _, c := range g.sim.changeLog {
		if c.version > g.listVersion {
			l.Endpoints = append(l.Endpoints, c.endpoint)
		}
	}
	g.listVersion = g.sim.version
	g.module.ListChanged(now, g.selector.Apply(now, l))
	g.watching = true // the gateway's watch goes on by itself
	g.beginWatch()
}

// WatchDiscovery: choice.Sink.
func (g *gateway) WatchDiscovery() {
	if g.watching {
		return
	}
	g.watching = true
	if each := g.sim.spec.DiscoveryServiceTime; each > 0 {
		// Calls are answered in turn; it works for those too that it then fails.
		now := g.sim.engine.Now()
		g.sim.discoveryFreeAt = max(g.sim.discoveryFreeAt, now) + each
		if g.sim.discoveryFreeAt > now+discoveryCallTimeout {
			g.sim.result.DiscoveryCallsFailed++
			g.sim.engine.After(discoveryCallTimeout, func(now balancer.Micros) {
				if g.watching = false; !g.dead {
					g.module.ListChanged(now, balancer.EndpointList{Kind: balancer.ListFailed})
				}
			})
			return
		}
		g.sim.engine.At(g.sim.discoveryFreeAt, func(balancer.Micros) { g.beginWatch() })
		return
	}
	g.beginWatch()
}

// beginWatch is a watch that has begun.
func (g *gateway) beginWatch() {
	g.watchCount++
	watch := g.watchCount
	g.sim.engine.After(0, func(balancer.Micros) { g.listChanged() })
	g.sim.engine.After(g.sim.spec.PollWait, func(now balancer.Micros) {
		if !g.watching || g.watchCount != watch {
			return
		}
		g.watching = false
		if g.sim.discoveryDown && !g.dead {
			g.module.ListChanged(now, balancer.EndpointList{Kind: balancer.ListFailed})
			return
		}
		g.answerWatch(now)
	})
}

func (g *gateway) openCharges() (out []contract.OpenCharge) {
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
	at := g.sim.engine.Now() + delay
	g.timers.Add(at, token)
	g.sim.engine.At(at, func(now balancer.Micros) {
		if g.dead {
			return
		}
		g.timers.Remove(token)
		g.module.TimerFired(now, token)
	})
}

// arrive is a request of a client.
func (g *gateway) arrive(now balancer.Micros, r *request) {
	if g.dead {
		g.sim.requestEnded(now, r, "failed", 0)
		return
	}
	for g.requests[g.nextID] != nil || g.nextID == 0 {
		g.nextID++
	}
	r.balancerRequest.ID = g.nextID
	g.nextID++
	r.balancerRequest.TimeLeft = r.deadline - now
	g.requests[r.balancerRequest.ID] = r
	if g.recordedLedger != nil {
		v := g.recordedLedger.Charge(now, &r.balancerRequest, 0, &r.charge)
		g.ledger.TakeNotices()
		if v.Rejected {
			r.finished = true
			g.sim.requestEnded(now, r, "contract", v.RetryAfter)
			g.removeIfFinished(r)
			return
		}
		r.balancerRequest.PriorityFactor, r.overQuota, r.estimatedUse = max(1e-6, v.PriorityWeight), v.OverQuota, r.charge.Estimate
	}
	g.sim.engine.At(r.deadline, func(now balancer.Micros) { g.clientTimedOut(now, r) })
	if home, tell := g.selector.AssignAffinityTarget(now, &r.balancerRequest); tell {
		g.module.ListChanged(now, home)
	}
	g.module.RequestArrived(now, r.balancerRequest)
}

// clientTimedOut is a client whose patience has ended before its first token.
func (g *gateway) clientTimedOut(now balancer.Micros, r *request) {
	if r.finished || r.winner != nil {
		return
	}
	r.finished = true
	g.module.ClientGone(now, r.balancerRequest.ID)
	for _, a := range r.attempts {
		if !a.ended {
			a.ended = true
			a.cancel()
			g.reportOutcome(now, a, balancer.Cancelled, balancer.LoadReport{})
		}
	}
	g.sim.requestEnded(now, r, "late", 0)
	g.removeIfFinished(r)
}

func (g *gateway) removeIfFinished(r *request) {
	if !r.finished {
		return
	}
	for _, a := range r.attempts {
		if !a.ended {
			return
		}
	}
	if g.recordedLedger != nil {
		g.recordedLedger.Settle(g.sim.engine.Now(), r.balancerRequest.ID, 0, &r.charge, contract.Usage{}, false)
	}
	delete(g.requests, r.balancerRequest.ID)
}

// Dispatch: choice.Sink.
func (g *gateway) Dispatch(id balancer.RequestID, to balancer.ReplicaID, cutAt balancer.Micros) {
	r, now := g.requests[id], g.sim.engine.Now()
	if r == nil || r.finished || r.winner != nil {
		return
	}
	h := g.sim.hosts[to-1]
	g.sim.lastJobID++
	a := &attempt{gateway: g, request: r, index: len(r.attempts), host: h, jobID: g.sim.lastJobID, sentAt: now}
	r.attempts = append(r.attempts, a)
	if g.recordedLedger != nil {
		c := &contract.Charge{}
		if a.index == 0 {
			*c, r.charge = r.charge, contract.Charge{}
		} else if v := g.recordedLedger.Charge(now, &r.balancerRequest, a.index, c); v.Rejected {
			g.sim.engine.After(0, func(now balancer.Micros) { g.attemptEnded(now, a, balancer.NotSent, balancer.LoadReport{}) })
			return
		}
		if r.charges == nil {
			r.charges = map[int]*contract.Charge{}
		}
		r.charges[a.index] = c
	}
	if cutAt <= 0 || cutAt > r.deadline {
		cutAt = r.deadline
	}
	g.sim.engine.At(cutAt, func(now balancer.Micros) {
		if !a.ended && r.winner != a && !r.finished {
			a.cancel()
			g.attemptEnded(now, a, balancer.TimedOut, balancer.LoadReport{})
		}
	})
	g.sim.engine.After(g.sim.networkDelay(g.zone, h.zone)+h.group.Params.ConnectTime, a.arrive)
}

// firstToken is a first token that has come.
func (g *gateway) firstToken(now balancer.Micros, a *attempt) {
	r := a.request
	if a.ended || a.firstTokenSeen {
		return
	}
	a.firstTokenSeen = true
	if r.finished || r.winner != nil { // nobody's any more
		a.cancel()
		g.attemptEnded(now, a, balancer.Cancelled, balancer.LoadReport{})
		return
	}
	r.winner, r.firstTokenAt = a, now
	g.module.FirstToken(now, balancer.Outcome{ID: r.balancerRequest.ID, Attempt: a.index, Replica: balancer.ReplicaID(a.host.index + 1), Elapsed: now - a.sentAt})
}

func (g *gateway) attemptEnded(now balancer.Micros, a *attempt, status balancer.Status, rep balancer.LoadReport) {
	if a.ended {
		return
	}
	a.ended = true
	r := a.request
	if status == balancer.Served && r.winner != a {
		status = balancer.Cancelled
	}
	final := r.winner == a
	if final {
		r.finished = true
	}
	g.reportOutcome(now, a, status, rep)
	if final {
		if status == balancer.Served {
			g.sim.requestEnded(now, r, "served", 0)
		} else {
			g.sim.requestEnded(now, r, "broken", 0)
		}
	}
	g.removeIfFinished(r)
}

// reportOutcome settles an attempt and tells the module.
func (g *gateway) reportOutcome(now balancer.Micros, a *attempt, status balancer.Status, rep balancer.LoadReport) {
	r := a.request
	if c := r.charges[a.index]; c != nil {
		used := c.ActualUsage(status, r.balancerRequest.PromptTokens, a.cachedTokens, a.outputTokens)
		g.recordedLedger.Settle(now, r.balancerRequest.ID, a.index, c, used, status == balancer.Served)
		g.ledger.TakeNotices()
	}
	if !status.NeverRan() && status != balancer.Served {
		r.wastedAttempts++
		if r.counted && r.sentAt-startTime >= g.sim.spec.WarmUp { // it ended after its request did
			g.sim.result.Wasted++
		}
	}
	g.module.AttemptEnded(now, balancer.Outcome{ID: r.balancerRequest.ID, Attempt: a.index, Replica: balancer.ReplicaID(a.host.index + 1), Status: status, Elapsed: now - a.sentAt,
		Final: r.finished, CachedTokens: a.cachedTokens, OutputTokens: a.outputTokens, Report: rep})
}

// Shed: choice.Sink.
func (g *gateway) Shed(id balancer.RequestID, after balancer.Micros) {
	g.endUnserved(id, "refused", after)
}

// Fail: choice.Sink.
func (g *gateway) Fail(id balancer.RequestID) { g.endUnserved(id, "failed", 0) }

func (g *gateway) endUnserved(id balancer.RequestID, how string, after balancer.Micros) {
	r, now := g.requests[id], g.sim.engine.Now()
	if r == nil || r.finished || r.winner != nil {
		return
	}
	r.finished = true
	if g.recordedLedger != nil {
		g.recordedLedger.Settle(now, id, 0, &r.charge, contract.Usage{}, false)
		g.recordedLedger.RecordShed(now, &r.balancerRequest, r.estimatedUse, r.overQuota)
	}
	g.sim.requestEnded(now, r, how, after)
	g.sim.engine.After(0, func(balancer.Micros) { g.removeIfFinished(r) })
}

// Cancel: choice.Sink.
func (g *gateway) Cancel(id balancer.RequestID, n int) {
	r := g.requests[id]
	if r == nil || n >= len(r.attempts) || r.attempts[n] == r.winner || r.attempts[n].ended {
		return
	}
	a := r.attempts[n]
	a.cancel()
	g.sim.engine.After(0, func(now balancer.Micros) { g.attemptEnded(now, a, balancer.Cancelled, balancer.LoadReport{}) })
}

// HealthCheck: choice.Sink.
func (g *gateway) HealthCheck(to balancer.ReplicaID) {
	g.sim.result.HealthChecks++
	h, began := g.sim.hosts[to-1], g.sim.engine.Now()
	g.sim.engine.After(g.sim.networkDelay(g.zone, h.zone), func(balancer.Micros) {
		o := balancer.Outcome{Replica: to, Status: balancer.Served, Report: h.loadReport()}
		if h.simulator == nil && !h.silent {
			o.Status = balancer.ConnectFailed
		}
		back := g.sim.networkDelay(h.zone, g.zone)
		if h.silent { // as the gateway gives a probe up
			o.Status, o.Report, back = balancer.TimedOut, balancer.LoadReport{}, 250_000
		}
		g.sim.engine.After(back, func(now balancer.Micros) {
			if o.Elapsed = now - began; !g.dead {
				g.module.HealthCheckEnded(now, o)
			}
		})
	})
}

// Gossip: choice.Sink. The gateways here do not talk.
func (g *gateway) Gossip([]byte) {}
