package replay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"archknot/balancer"
	"archknot/internal/capture"
)

const second balancer.Micros = 1_000_000

func testSettings() balancer.Settings {
	return balancer.Settings{
		Gateways: 3, Zone: "a", Zones: []string{"a", "b"}, Kinds: []string{"k", "l"},
		Classes: []balancer.Class{
			{Name: "chat", LatencyObjective: second / 2, TokenObjective: 50_000, Deadline: 3 * second, PriorityWeight: 2, LateWeightShare: 0.3, Streaming: true},
			{Name: "agent", LatencyObjective: second, ObjectivePer1000Tokens: 60_000, TokenObjective: 60_000, Deadline: 4 * second, PriorityWeight: 3, Streaming: true}},
		Tenants:      []balancer.Tenant{{Name: "t1", QuotaPerS: 20}, {Name: "t2", QuotaPerS: 10}},
		ReportSource: balancer.ReportInline, Tick: 2000, PollDiscovery: true, MayHealthCheck: true, MayCancel: true, MayHedge: true, RetryAfter: true,
		MaxAttempts: 3, MaxRetryAfter: 2 * second, InitialCapacity: 0.3, OverloadMultiple: 3, SlowStartFor: 8 * second,
		OverloadWindow: 3 * second / 2, StreamsPerConn: 1, ConnIdleTimeout: 60 * second, OverQuotaWeight: 0.05, CrossZoneCost: 0.02, HandshakeCost: 0.02, HealthCheckCost: 0.002,
	}
}

// testHost runs a module as a gateway does: it keeps timers, answers actions with random outcomes, and passes the events
// to the module in the order of time. Its module is the balancer, or a recorder in front of it.
type testHost struct {
	scheduler
	t                *testing.T
	rng              *rand.Rand
	module           capture.Module
	balancer         *balancer.Balancer
	timers           map[uint64]capture.Timer // by sequence number of the task
	requests         map[balancer.RequestID]*hostedRequest
	latencyFactor    float64
	events           int
	reconfigurations int
	onEvent          func()
}

type hostedRequest struct {
	done             bool
	streamingAttempt int
	ended            []bool
}

func newHost(t *testing.T, seed uint64, clock balancer.Micros) *testHost {
	t.Helper()
	h := &testHost{
		scheduler:     scheduler{now: clock},
		t:             t,
		rng:           rand.New(rand.NewPCG(seed, 7)),
		timers:        map[uint64]capture.Timer{},
		requests:      map[balancer.RequestID]*hostedRequest{},
		latencyFactor: 1,
	}
	b, err := balancer.New(testSettings(), seed, h)
	if err != nil {
		t.Fatal(err)
	}
	h.balancer, h.module = b, b
	return h
}

func (h *testHost) captureHost() capture.Host {
	return capture.Host{
		Timers: func() (out []capture.Timer) {
			for _, t := range h.timers {
				out = append(out, t)
			}
			return out
		},
		ReplicaName: func(id balancer.ReplicaID) string { return fmt.Sprintf("s-%d", id) },
		RequestName: func(id balancer.RequestID) string { return fmt.Sprintf("req-%d", id) },
	}
}

// record puts a recorder in front of the module. The caller closes the recorder and the writer.
func (h *testHost) record(w *capture.Writer, o capture.Options) *capture.Recorder {
	r := capture.NewRecorder(h.now, h.balancer, nil, h, w, h.captureHost(), o)
	h.module = r
	return r
}

func (h *testHost) countEvent() {
	h.events++
	if h.onEvent != nil {
		h.onEvent()
	}
}

// begin starts the module with a number of replicas.
func (h *testHost) begin(replicas int) {
	h.module.Start(h.now)
	var all []balancer.Endpoint
	for i := range replicas {
		all = append(all, testEndpoint(i, balancer.EndpointReady, 0))
	}
	h.module.ListChanged(h.now, balancer.EndpointList{Kind: balancer.ListCached, Endpoints: all})
	h.module.ListChanged(h.now, balancer.EndpointList{Kind: balancer.ListFull, Version: 1, Endpoints: all})
	h.after(second/2, h.churn(replicas))
}

func testEndpoint(i int, state balancer.EndpointState, since balancer.Micros) balancer.Endpoint {
	return balancer.Endpoint{Replica: balancer.ReplicaID(1000 + i*17), State: state, Weight: 1, Kind: []string{"k", "l"}[i%2], Zone: []string{"a", "b"}[i%3%2],
		Cell: int64(i), StartedAt: since}
}

// churn returns a repeating task that drains, removes and adds replicas at random, and sometimes makes discovery fail.
func (h *testHost) churn(replicas int) func() {
	var next func()
	next = func() {
		i := h.rng.IntN(replicas)
		switch h.rng.IntN(5) {
		case 0:
			h.module.ListChanged(h.now, balancer.EndpointList{Kind: balancer.ListDelta, Endpoints: []balancer.Endpoint{testEndpoint(i, balancer.EndpointDraining, 0)}})
		case 1:
			h.module.ListChanged(h.now, balancer.EndpointList{Kind: balancer.ListDelta, Endpoints: []balancer.Endpoint{testEndpoint(i, balancer.EndpointRemoved, 0)}})
		case 2:
			h.module.ListChanged(h.now, balancer.EndpointList{Kind: balancer.ListFailed})
			h.reconfigure()
		default:
			h.module.ListChanged(h.now, balancer.EndpointList{Kind: balancer.ListDelta, Endpoints: []balancer.Endpoint{testEndpoint(i, balancer.EndpointReady, h.now-second)}})
		}
		h.countEvent()
		h.after(balancer.Micros(h.rng.ExpFloat64()*0.7e6), next)
	}
	return next
}

// reconfigure applies random settings while requests are in flight.
func (h *testHost) reconfigure() {
	s := testSettings()
	h.reconfigurations++
	s.MaxAttempts, s.OverQuotaWeight = 1+h.rng.IntN(3), h.rng.Float64()
	s.Classes[h.rng.IntN(2)].LatencyObjective = second/4 + balancer.Micros(h.rng.IntN(1_000_000))
	if h.rng.IntN(3) == 0 {
		s.Classes = s.Classes[h.rng.IntN(2):][:1]
	}
	s.Tenants = s.Tenants[:1+h.rng.IntN(2)]
	if err := h.module.Reconfigure(h.now, s); err != nil {
		h.t.Error(err)
	}
	h.countEvent()
}

// run simulates some seconds, in which requests arrive at a mean rate per second.
func (h *testHost) run(seconds float64, rate float64) {
	end := h.now + balancer.Micros(seconds*1e6)
	id := balancer.RequestID(h.seq)
	var arrive func()
	arrive = func() {
		if h.now >= end {
			return
		}
		id++
		if h.requests[id] == nil {
			h.requests[id] = &hostedRequest{streamingAttempt: -1}
			class := []string{"chat", "agent", "unknown"}[min(h.rng.IntN(20)/9, 2)]
			h.module.RequestArrived(h.now, balancer.Request{ID: id, Class: class, Tenant: []string{"t1", "t2", "t\xff3"}[h.rng.IntN(3)], TimeLeft: 2*second + balancer.Micros(h.rng.IntN(2000000)),
				PromptTokens: 100 + h.rng.IntN(5000), PrefixTokens: 90, MaxTokens: 300, Session: uint64(1 + h.rng.IntN(300)), Prefix: uint64(1 + h.rng.IntN(12))})
			h.countEvent()
			if h.rng.IntN(60) == 0 {
				h.after(balancer.Micros(h.rng.IntN(1000000)), func() { h.disconnect(id) })
			}
		}
		h.after(balancer.Micros(h.rng.ExpFloat64()*1e6/rate), arrive)
	}
	arrive()
	for {
		run, ok := h.next(end)
		if !ok {
			break
		}
		run()
	}
	h.now = end
}

func (h *testHost) disconnect(id balancer.RequestID) {
	if r := h.requests[id]; r != nil && !r.done {
		r.done = true
		h.module.ClientGone(h.now, id)
		h.countEvent()
	}
}

func (h *testHost) report() balancer.LoadReport {
	return balancer.LoadReport{Has: balancer.HasMemory | balancer.HasInFlight | balancer.HasService, MemoryShare: h.rng.Float64(), InFlight: float64(h.rng.IntN(9)),
		ServiceMs: 50 + 200*h.rng.Float64()}
}

func (h *testHost) Dispatch(id balancer.RequestID, to balancer.ReplicaID, timeoutAt balancer.Micros) {
	r, sent := h.requests[id], h.now
	n := len(r.ended)
	r.ended = append(r.ended, false)
	end := func(status balancer.Status, report balancer.LoadReport, cached int) {
		if r.ended[n] {
			return
		}
		r.ended[n] = true
		if r.streamingAttempt == n || status == balancer.Served && r.streamingAttempt < 0 {
			r.done = true
		} else if r.streamingAttempt >= 0 {
			status = balancer.Cancelled
		}
		h.module.AttemptEnded(h.now, balancer.Outcome{ID: id, Attempt: n, Replica: to, Status: status, Elapsed: h.now - sent, Final: r.done, CachedTokens: cached,
			OutputTokens: 40, Report: report})
		h.countEvent()
	}
	first := balancer.Micros(h.latencyFactor * (50_000 + h.rng.ExpFloat64()*200_000))
	switch h.rng.IntN(12) {
	case 0:
		status := balancer.Status(h.rng.IntN(10))
		h.after(first, func() { end(status, balancer.LoadReport{}, 0) })
	case 1:
		h.after(timeoutAt-h.now, func() { end(balancer.TimedOut, balancer.LoadReport{}, 0) })
	default:
		h.after(first, func() {
			if r.ended[n] || r.done || r.streamingAttempt >= 0 || h.now > timeoutAt {
				return
			}
			r.streamingAttempt = n
			h.module.FirstToken(h.now, balancer.Outcome{ID: id, Attempt: n, Replica: to, Elapsed: h.now - sent})
			h.countEvent()
		})
		h.after(first+balancer.Micros(h.latencyFactor*h.rng.ExpFloat64()*500_000), func() { end(balancer.Served, h.report(), h.rng.IntN(2000)) })
	}
}

func (h *testHost) completeRequest(id balancer.RequestID) {
	if h.requests[id].done {
		h.t.Errorf("request %d: a second answer", id)
	}
	h.requests[id].done = true
}

func (h *testHost) Shed(id balancer.RequestID, _ balancer.Micros) { h.completeRequest(id) }
func (h *testHost) Fail(id balancer.RequestID)                    { h.completeRequest(id) }

func (h *testHost) Cancel(id balancer.RequestID, n int) {
	r := h.requests[id]
	h.after(500, func() {
		if n < len(r.ended) && !r.ended[n] && r.streamingAttempt != n {
			r.ended[n] = true
			h.module.AttemptEnded(h.now, balancer.Outcome{ID: id, Attempt: n, Status: balancer.Cancelled, Final: r.done})
			h.countEvent()
		}
	})
}

func (h *testHost) SetTimer(delay balancer.Micros, token uint64) {
	h.after(delay, nil)
	seq := h.seq
	h.timers[seq] = capture.Timer{At: h.now + max(1, delay), Token: token}
	for i := range h.pending {
		if h.pending[i].seq == seq {
			h.pending[i].run = func() {
				delete(h.timers, seq)
				h.module.TimerFired(h.now, token)
				h.countEvent()
			}
		}
	}
}

func (h *testHost) HealthCheck(to balancer.ReplicaID) {
	h.after(3000, func() {
		h.module.HealthCheckEnded(h.now, balancer.Outcome{Replica: to, Status: balancer.Served, Elapsed: 3000, Report: h.report()})
		h.countEvent()
	})
}

func (h *testHost) Gossip([]byte)   {}
func (h *testHost) WatchDiscovery() {}

func testWriterOptions(dir string) capture.WriterOptions {
	return capture.WriterOptions{Directory: dir, Gateway: "g1", Build: "test", QueueLength: 4, BlockWhenFull: true, MaxBytes: 1 << 40, MaxAge: 1000 * time.Hour,
		MaxIncidents: 3, IncidentWindow: time.Hour, IncidentInterval: time.Hour}
}

func testRecorderOptions() capture.Options {
	return capture.Options{CheckpointInterval: 3 * time.Second, BlockSize: 4 << 10, FlushInterval: 500 * time.Millisecond, SegmentSize: 1 << 30, SegmentAge: 10 * time.Second}
}

// recordRun records a run of a new host and opens the capture. It returns the run, the host and the capture's directory.
func recordRun(t *testing.T, seed uint64, clock balancer.Micros, seconds float64) (*capture.Run, *testHost, string) {
	t.Helper()
	dir := t.TempDir()
	w, err := capture.NewWriter(testWriterOptions(dir))
	if err != nil {
		t.Fatal(err)
	}
	h := newHost(t, seed, clock)
	r := h.record(w, testRecorderOptions())
	h.begin(10)
	h.run(seconds, 60)
	r.Close()
	w.Close()
	return openRun(t, dir), h, dir
}

func openRun(t *testing.T, paths ...string) *capture.Run {
	t.Helper()
	runs, err := capture.FindRuns(paths...)
	if err != nil {
		t.Fatal(err)
	}
	if len(runs) != 1 {
		t.Fatalf("%d runs", len(runs))
	}
	return runs[0]
}

func mustReplay(t *testing.T, run *capture.Run, o Options) *Result {
	t.Helper()
	res, err := Replay(run, o)
	if err != nil {
		t.Fatal(err)
	}
	return res
}
