package capture

import (
	"testing"
	"time"

	"archknot/balancer"
	"archknot/internal/capturetrigger"
)

// discardSink ignores a module's actions, and counts the timers that it sets.
type discardSink struct{ timers int }

func (n *discardSink) Dispatch(balancer.RequestID, balancer.ReplicaID, balancer.Micros) {}
func (n *discardSink) Shed(balancer.RequestID, balancer.Micros)                         {}
func (n *discardSink) Fail(balancer.RequestID)                                          {}
func (n *discardSink) Cancel(balancer.RequestID, int)                                   {}
func (n *discardSink) SetTimer(balancer.Micros, uint64)                                 { n.timers++ }
func (n *discardSink) HealthCheck(balancer.ReplicaID)                                   {}
func (n *discardSink) Gossip([]byte)                                                    {}
func (n *discardSink) WatchDiscovery()                                                  {}

// newTestBalancer returns a started balancer with 14 replicas.
func newTestBalancer(tb testing.TB) *balancer.Balancer {
	tb.Helper()
	b, err := balancer.New(balancer.Settings{Gateways: 3, Zone: "a", MaxAttempts: 3, Tick: 2000, MayCancel: true, MayHedge: true,
		ReportSource: balancer.ReportInline, StreamsPerConn: 1, ConnIdleTimeout: 60e6,
		Classes: []balancer.Class{{Name: "chat", LatencyObjective: 1e6, TokenObjective: 50_000, Deadline: 4e6, PriorityWeight: 1, Streaming: true}}}, 3, &discardSink{})
	if err != nil {
		tb.Fatal(err)
	}
	b.Start(1000)
	var all []balancer.Endpoint
	for i := range balancer.ReplicaID(14) {
		all = append(all, balancer.Endpoint{Replica: i + 1, Zone: "a", Kind: "k"})
	}
	b.ListChanged(1000, balancer.EndpointList{Kind: balancer.ListFull, Endpoints: all})
	return b
}

// driveRequest passes the four events of one request to a module: arrival, first token, end, and a timer that fires
// too late to matter.
func driveRequest(m Module, i int, now balancer.Micros) {
	id := balancer.RequestID(i)
	m.RequestArrived(now, balancer.Request{ID: id, Class: "chat", Tenant: "island-tax", TimeLeft: 4e6, PromptTokens: 900 + i%300, MaxTokens: 200,
		Session: uint64(i%700) + 1, Prefix: uint64(i%12) + 1})
	o := balancer.Outcome{ID: id, Replica: 1, Elapsed: 150_000}
	m.FirstToken(now+150_000, o)
	o.Status, o.Final, o.Elapsed, o.CachedTokens, o.OutputTokens = balancer.Served, true, 700_000, 300, 90
	o.Report = balancer.LoadReport{Has: balancer.HasMemory | balancer.HasInFlight, MemoryShare: 0.3, InFlight: 4}
	m.AttemptEnded(now+700_000, o)
	m.TimerFired(now+1_000_000, 1|uint64(id)<<2)
}

// BenchmarkModule and BenchmarkRecorded measure the time per event without and with recording. The difference is the
// cost of recording in the owner's goroutine.
func BenchmarkModule(b *testing.B) {
	m := newTestBalancer(b)
	i := 0
	for b.Loop() {
		i++
		driveRequest(m, i, balancer.Micros(i)*1_000_000)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/4, "ns/event")
}

func BenchmarkRecorded(b *testing.B) {
	w, err := NewWriter(WriterOptions{Directory: b.TempDir(), Gateway: "g", BlockWhenFull: true, QueueLength: 8, MaxBytes: 32 << 20, MaxAge: time.Hour})
	if err != nil {
		b.Fatal(err)
	}
	m := newTestBalancer(b)
	r := NewRecorder(1000, m, nil, &discardSink{}, w, Host{RequestName: func(balancer.RequestID) string { return "9b1f03aa5c7e2d41" }},
		Options{CheckpointInterval: 24 * time.Hour, BlockSize: 32 << 10, FlushInterval: 24 * time.Hour, SegmentSize: 8 << 20, SegmentAge: 24 * time.Hour,
			Incident: capturetrigger.Settings{Window: 10e6, MinRequests: 50, UnservedFraction: 0.4, SlowFactor: 2, SlowReplicaFraction: 0.8, DeadlineMargin: 500}})
	i := 0
	for b.Loop() {
		i++
		driveRequest(r, i, balancer.Micros(i)*1_000_000)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/4, "ns/event")
	r.Close()
	w.Close()
	b.ReportMetric(float64(w.Stats.Bytes.Load())/float64(i), "bytes/request")
}
