package emulate

import (
	"context"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"archknot/balancer"
	"archknot/internal/fleet/model"
	"archknot/internal/fleet/replica"
	"archknot/internal/gateway"
	"archknot/internal/httpwire"
)

// spec returns a Spec of four replicas with a light load for four seconds.
func spec() *model.Spec {
	p := replica.Params{MaxRunning: 8, MaxQueued: 32, MemoryTokens: 50_000, BlockTokens: 16, ChunkTokens: 512, StepBase: 4000, StepPerSequence: 100, StepPerContext: 20, StepPerPrompt: 20_000,
		StartupTime: 300_000, WarmUpTime: 1_000_000, WarmUpSlowdown: 2}
	return &model.Spec{Seed: 3, Duration: 4_000_000, WarmUp: 500_000, Gateways: 1, SameZoneDelay: 100, CrossZoneDelay: 100, PollWait: 1_000_000, WindowLength: 1_000_000,
		Settings: balancer.Settings{MaxAttempts: 3, Tick: 2000, MayCancel: true, MayHedge: true, PollDiscovery: true, ReportSource: balancer.ReportInline,
			InitialCapacity: 0.3, OverloadMultiple: 3, SlowStartFor: 1_000_000, OverloadWindow: 1_500_000, StreamsPerConn: 1, ConnIdleTimeout: 60_000_000,
			Classes: []balancer.Class{{Name: "chat", LatencyObjective: 600_000, TokenObjective: 50_000, Deadline: 2_000_000, PriorityWeight: 1, LateWeightShare: 0.3, Streaming: true}}},
		Groups:  []model.Group{{Name: "k", Zone: "a", Count: 4, Weight: 1, Params: p}},
		Streams: []model.Stream{{Class: "chat", Tenant: "t", RequestsPerSecond: 40, Turns: 3, ThinkSeconds: 0.3, PromptTokens: 100, AnswerTokens: 20, Spread: 0.4, MaxOutputTokens: 60, Prefixes: 3, PrefixTokens: 128}}}
}

// startGateway runs a gateway in this process until the test ends, and returns its address.
func startGateway(t *testing.T, s *model.Spec, discoveryAddr string) string {
	t.Helper()
	settings := s.Settings
	settings.Gateways, settings.Zone, settings.Zones, settings.Kinds = 1, "a", []string{"a"}, []string{"k"}
	g, err := gateway.New(gateway.Options{Name: "e", Discovery: discoveryAddr, Seed: 1, CachedList: httpwire.EndpointList{Generation: httpwire.NoGeneration}, Settings: settings,
		MaxInFlight: 500, MaxClientConns: 500, OverflowConns: 8, MaxReplicaConns: 500, MaxBodyBytes: 1 << 20, MaxHeadBytes: 1 << 20, ConnectTimeout: time.Second, ReplicaConnIdleTimeout: 10 * time.Second,
		ClientConnIdleTimeout: 10 * time.Second, StreamIdleTimeout: 4 * time.Second, HealthCheckTimeout: time.Second, MaxPollInterval: 10 * time.Second, WatchWait: time.Second,
		DiscoveryTimeout: time.Second, DrainAcceptPeriod: 50 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	go g.Serve(ctx, l)
	t.Cleanup(stop)
	return l.Addr().String()
}

// With a gateway in front of the emulated fleet, each request ends once and most requests are served: without faults,
// and with a kill and a restart at the same address, a drain, slow and unresponsive replicas, connection resets,
// malformed answers, an unresponsive discovery, a burst and a hot prefix. Start refuses non-loopback addresses.
func TestEmulator(t *testing.T) {
	previousLogger := slog.Default()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	defer slog.SetDefault(previousLogger)
	for _, test := range []struct {
		name              string
		minServedFraction float64
		faults            []model.Fault
	}{{"calm", 0.97, nil}, {"faults", 0.6, []model.Fault{{At: 700_000, Duration: 1_000_000, Kind: "kill", Replica: 0}, {At: 1_000_000, Duration: 800_000, Kind: "drain", Replica: 1},
		{At: 1_200_000, Duration: 800_000, Kind: "slow", Replica: 2, Factor: 4}, {At: 2_000_000, Duration: 400_000, Kind: "reset", Replica: 3}, {At: 2_400_000, Duration: 300_000, Kind: "spoil", Replica: 3},
		{At: 2_700_000, Duration: 600_000, Kind: "silent", Replica: 1}, {At: 2_000_000, Duration: 1_000_000, Kind: "registry", Replica: -1}, {At: 3_000_000, Kind: "flush", Replica: -1},
		{At: 3_200_000, Duration: 500_000, Kind: "burst", Factor: 2}, {At: 3_000_000, Kind: "hot", Factor: 0.5}}}} {
		s := spec()
		s.Faults = test.faults
		f, err := Start(s, "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		res, skipped, err := GenerateLoad(t.Context(), f, s, []string{startGateway(t, s, f.DiscoveryAddr)})
		f.Close()
		if err != nil {
			t.Fatal(err)
		}
		ends := int64(0)
		for _, n := range res.All.Ends {
			ends += n
		}
		if skipped > 0 || res.All.Sent < 60 || ends != res.All.Sent || float64(res.All.Ends["served"]) < test.minServedFraction*float64(res.All.Sent) {
			t.Errorf("%s: skipped %d sessions, sent %d: %v", test.name, skipped, res.All.Sent, res.All.Ends)
		}
		modelResult, err := model.Run(s)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%s: the model: sent %d: %v, first token p95 %.0f ms", test.name, modelResult.All.Sent, modelResult.All.Ends, modelResult.All.FirstTokenMs["p95"])
		t.Logf("%s: sent %d: %v, first token p95 %.0f ms", test.name, res.All.Sent, res.All.Ends, res.All.FirstTokenMs["p95"])
	}
	if _, err := Start(spec(), "0.0.0.0:0"); err == nil || !strings.Contains(err.Error(), "loopback") {
		t.Error(err)
	}
}
