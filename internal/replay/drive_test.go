package replay

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"archknot/choice"
	"archknot/internal/capture"
)

const sec choice.Micros = 1_000_000

func settings() choice.Settings {
	return choice.Settings{
		Gateways: 3, Zone: "a", Zones: []string{"a", "b"}, Kinds: []string{"k", "l"},
		Classes: []choice.Class{
			{Name: "chat", LatencyObjective: sec / 2, TokenObjective: 50_000, Deadline: 3 * sec, PriorityWeight: 2, LateWeightShare: 0.3, Streaming: true},
			{Name: "agent", LatencyObjective: sec, ObjectivePer1000Tokens: 60_000, TokenObjective: 60_000, Deadline: 4 * sec, PriorityWeight: 3, Streaming: true}},
		Tenants:      []choice.Tenant{{Name: "t1", QuotaPerS: 20}, {Name: "t2", QuotaPerS: 10}},
		ReportSource: choice.ReportInline, Tick: 2000, PollDiscovery: true, MayHealthCheck: true, MayCancel: true, MayHedge: true, RetryAfter: true,
		MaxAttempts: 3, MaxRetryAfter: 2 * sec, InitialCapacity: 0.3, OverloadMultiple: 3, SlowStartFor: 8 * sec,
		OverloadWindow: 3 * sec / 2, StreamsPerConn: 1, ConnIdleTimeout: 60 * sec, OverQuotaWeight: 0.05, CrossZoneCost: 0.02, HandshakeCost: 0.02, HealthCheckCost: 0.002,
	}
}

// host owns a module as a gateway does: it has timers, answers orders with
// drawn outcomes, and tells the module in the order of time. It knows no more
// of captures than that the module may be a recorder.
type host struct {
	t        *testing.T
	rng      *rand.Rand
	m        capture.Module
	b        *choice.Balancer
	now      choice.Micros
	todo     schedule
	seq      uint64
	timers   map[uint64]capture.Timer // by sequence
	open     map[choice.RequestID]*hosted
	slow     float64
	events   int
	versions int
	onEvent  func()
}

type hosted struct {
	done  bool
	bound int
	ended []bool
}

func newHost(t *testing.T, seed uint64, clock choice.Micros) *host {
	h := &host{t: t, rng: rand.New(rand.NewPCG(seed, 7)), now: clock, timers: map[uint64]capture.Timer{}, open: map[choice.RequestID]*hosted{}, slow: 1}
	b, err := choice.New(settings(), seed, h)
	if err != nil {
		t.Fatal(err)
	}
	h.b, h.m = b, b
	return h
}

func (h *host) names() capture.Host {
	return capture.Host{
		Timers: func() (out []capture.Timer) {
			for _, t := range h.timers {
				out = append(out, t)
			}
			return out
		},
		WorkerName:  func(id choice.ReplicaID) string { return fmt.Sprintf("s-%d", id) },
		RequestName: func(id choice.RequestID) string { return fmt.Sprintf("req-%d", id) },
	}
}

// record puts a recorder before the module. The writer is closed by the caller.
func (h *host) record(w *capture.Writer, o capture.Options) *capture.Recorder {
	r := capture.Record(h.now, h.b, nil, h, w, h.names(), o)
	h.m = r
	return r
}

func (h *host) after(d choice.Micros, do func()) {
	h.seq++
	heap.Push(&h.todo, task{h.now + max(1, d), h.seq, do})
}

func (h *host) told() {
	if h.events++; h.onEvent != nil {
		h.onEvent()
	}
}

// begin starts the module with a fleet.
func (h *host) begin(workers int) {
	h.m.Start(h.now)
	var all []choice.Endpoint
	for i := range workers {
		all = append(all, member(i, choice.EndpointReady, 0))
	}
	h.m.ListChanged(h.now, choice.EndpointList{Kind: choice.ListCached, Endpoints: all})
	h.m.ListChanged(h.now, choice.EndpointList{Kind: choice.ListFull, Version: 1, Endpoints: all})
	h.after(sec/2, h.churn(workers))
}

func member(i int, state choice.EndpointState, since choice.Micros) choice.Endpoint {
	return choice.Endpoint{Replica: choice.ReplicaID(1000 + i*17), State: state, Weight: 1, Kind: []string{"k", "l"}[i%2], Zone: []string{"a", "b"}[i%3%2],
		Cell: int64(i), StartedAt: since}
}

// churn drains, replaces and fails to hear of workers.
func (h *host) churn(workers int) func() {
	var next func()
	next = func() {
		i := h.rng.IntN(workers)
		switch h.rng.IntN(5) {
		case 0:
			h.m.ListChanged(h.now, choice.EndpointList{Kind: choice.ListDelta, Endpoints: []choice.Endpoint{member(i, choice.EndpointDraining, 0)}})
		case 1:
			h.m.ListChanged(h.now, choice.EndpointList{Kind: choice.ListDelta, Endpoints: []choice.Endpoint{member(i, choice.EndpointGone, 0)}})
		case 2:
			h.m.ListChanged(h.now, choice.EndpointList{Kind: choice.ListFailed})
			h.reconfigure()
		default:
			h.m.ListChanged(h.now, choice.EndpointList{Kind: choice.ListDelta, Endpoints: []choice.Endpoint{member(i, choice.EndpointReady, h.now-sec)}})
		}
		h.told()
		h.after(choice.Micros(h.rng.ExpFloat64()*0.7e6), next)
	}
	return next
}

// reconfigure puts other settings in force, in the midst of what is in hand.
func (h *host) reconfigure() {
	s := settings()
	h.versions++
	s.MaxAttempts, s.OverQuotaWeight = 1+h.rng.IntN(3), h.rng.Float64()
	s.Classes[h.rng.IntN(2)].LatencyObjective = sec/4 + choice.Micros(h.rng.IntN(1_000_000))
	if h.rng.IntN(3) == 0 {
		s.Classes = s.Classes[h.rng.IntN(2):][:1]
	}
	s.Tenants = s.Tenants[:1+h.rng.IntN(2)]
	if err := h.m.Reconfigure(h.now, s); err != nil {
		h.t.Error(err)
	}
	h.told()
}

// run tells the module seconds of requests at a rate.
func (h *host) run(seconds float64, rate float64) {
	end := h.now + choice.Micros(seconds*1e6)
	id := choice.RequestID(h.seq)
	var arrive func()
	arrive = func() {
		if h.now >= end {
			return
		}
		id++
		if h.open[id] == nil {
			h.open[id] = &hosted{bound: -1}
			class := []string{"chat", "agent", "unknown"}[min(h.rng.IntN(20)/9, 2)]
			h.m.RequestArrived(h.now, choice.Request{ID: id, Class: class, Tenant: []string{"t1", "t2", "t\xff3"}[h.rng.IntN(3)], TimeLeft: 2*sec + choice.Micros(h.rng.IntN(2000000)),
				PromptTokens: 100 + h.rng.IntN(5000), PrefixTokens: 90, MaxTokens: 300, Session: uint64(1 + h.rng.IntN(300)), Prefix: uint64(1 + h.rng.IntN(12))})
			h.told()
			if h.rng.IntN(60) == 0 {
				h.after(choice.Micros(h.rng.IntN(1000000)), func() { h.leave(id) })
			}
		}
		h.after(choice.Micros(h.rng.ExpFloat64()*1e6/rate), arrive)
	}
	arrive()
	for len(h.todo) > 0 && h.todo[0].at <= end {
		t := heap.Pop(&h.todo).(task)
		h.now = t.at
		t.do()
	}
	h.now = end
}

func (h *host) leave(id choice.RequestID) {
	if r := h.open[id]; r != nil && !r.done {
		r.done = true
		h.m.ClientGone(h.now, id)
		h.told()
	}
}

func (h *host) report() choice.LoadReport {
	return choice.LoadReport{Has: choice.HasMemory | choice.HasInFlight | choice.HasService, MemoryShare: h.rng.Float64(), InFlight: float64(h.rng.IntN(9)),
		ServiceMs: 50 + 200*h.rng.Float64()}
}

func (h *host) Dispatch(id choice.RequestID, to choice.ReplicaID, cutAt choice.Micros) {
	r, sent := h.open[id], h.now
	n := len(r.ended)
	r.ended = append(r.ended, false)
	end := func(status choice.Status, report choice.LoadReport, kept int) {
		if r.ended[n] {
			return
		}
		r.ended[n] = true
		if r.bound == n || status == choice.Served && r.bound < 0 {
			r.done = true
		} else if r.bound >= 0 {
			status = choice.Cancelled
		}
		h.m.AttemptEnded(h.now, choice.Outcome{ID: id, Attempt: n, Replica: to, Status: status, Elapsed: h.now - sent, Final: r.done, CachedTokens: kept,
			OutputTokens: 40, Report: report})
		h.told()
	}
	first := choice.Micros(h.slow * (50_000 + h.rng.ExpFloat64()*200_000))
	switch h.rng.IntN(12) {
	case 0:
		status := choice.Status(h.rng.IntN(10))
		h.after(first, func() { end(status, choice.LoadReport{}, 0) })
	case 1:
		h.after(cutAt-h.now, func() { end(choice.TimedOut, choice.LoadReport{}, 0) })
	default:
		h.after(first, func() {
			if r.ended[n] || r.done || r.bound >= 0 || h.now > cutAt {
				return
			}
			r.bound = n
			h.m.FirstToken(h.now, choice.Outcome{ID: id, Attempt: n, Replica: to, Elapsed: h.now - sent})
			h.told()
		})
		h.after(first+choice.Micros(h.slow*h.rng.ExpFloat64()*500_000), func() { end(choice.Served, h.report(), h.rng.IntN(2000)) })
	}
}

func (h *host) answer(id choice.RequestID) {
	if h.open[id].done {
		h.t.Errorf("request %d: a second answer", id)
	}
	h.open[id].done = true
}

func (h *host) Shed(id choice.RequestID, _ choice.Micros) { h.answer(id) }
func (h *host) Fail(id choice.RequestID)                  { h.answer(id) }

func (h *host) Cancel(id choice.RequestID, n int) {
	r := h.open[id]
	h.after(500, func() {
		if n < len(r.ended) && !r.ended[n] && r.bound != n {
			r.ended[n] = true
			h.m.AttemptEnded(h.now, choice.Outcome{ID: id, Attempt: n, Status: choice.Cancelled, Final: r.done})
			h.told()
		}
	})
}

func (h *host) SetTimer(delay choice.Micros, token uint64) {
	h.after(delay, nil)
	seq := h.seq
	h.timers[seq] = capture.Timer{At: h.now + max(1, delay), Token: token}
	for i := range h.todo {
		if h.todo[i].seq == seq {
			h.todo[i].do = func() {
				delete(h.timers, seq)
				h.m.TimerFired(h.now, token)
				h.told()
			}
		}
	}
}

func (h *host) HealthCheck(to choice.ReplicaID) {
	h.after(3000, func() {
		h.m.HealthCheckEnded(h.now, choice.Outcome{Replica: to, Status: choice.Served, Elapsed: 3000, Report: h.report()})
		h.told()
	})
}

func (h *host) Gossip([]byte)   {}
func (h *host) WatchDiscovery() {}

func limits(dir string) capture.Limits {
	return capture.Limits{Directory: dir, Gateway: "g1", Build: "test", Queue: 4, Wait: true, KeepSize: 1 << 40, KeepAge: 1000 * time.Hour,
		KeepIncidents: 3, Window: time.Hour, Pause: time.Hour}
}

func options() capture.Options {
	return capture.Options{Checkpoint: 3 * time.Second, Block: 4 << 10, Flush: 500 * time.Millisecond, SegmentSize: 1 << 30, SegmentAge: 10 * time.Second}
}

// recorded makes a capture of a host's run and opens it.
func recorded(t *testing.T, seed uint64, clock choice.Micros, seconds float64) (*capture.Run, *host, string) {
	t.Helper()
	dir := t.TempDir()
	w, err := capture.NewWriter(limits(dir))
	if err != nil {
		t.Fatal(err)
	}
	h := newHost(t, seed, clock)
	r := h.record(w, options())
	h.begin(10)
	h.run(seconds, 60)
	r.Close()
	w.Close()
	return open(t, dir), h, dir
}

func open(t *testing.T, paths ...string) *capture.Run {
	t.Helper()
	runs, err := capture.Find(paths...)
	if err != nil {
		t.Fatal(err)
	}
	if len(runs) != 1 {
		t.Fatalf("%d runs", len(runs))
	}
	return runs[0]
}

func replayed(t *testing.T, run *capture.Run, o Options) *Result {
	t.Helper()
	res, err := Replay(run, o)
	if err != nil {
		t.Fatal(err)
	}
	return res
}
