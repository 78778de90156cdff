package balancer

import (
	"math"
	"testing"
)

// The memory of a token starts at the fleet's mean and follows the replica's own reports.
func TestRatioStartsAtFleetMeanAndFitsReplica(t *testing.T) {
	b, _ := startBalancer(t, settings(), fleet(2)...)
	b.meanHeldTokens = 1000
	rep := func(row *replicaRow, share float64) {
		b.applyReport(101*second, row, LoadReport{Has: HasMemory | HasInFlight, MemoryShare: share, InFlight: 10})
	}
	rep(b.rows[0], 0.2)
	rep(b.rows[1], 0.2)
	if math.Abs(b.rows[1].reportedTokens-10000) > 1 {
		t.Fatalf("held %v tokens by the fleet's ratio, want 10000", b.rows[1].reportedTokens)
	}
	for range 200 {
		rep(b.rows[1], 0.4) // half the memory: the same requests take twice the share
	}
	if h := b.rows[1].reportedTokens; math.Abs(h-10000) > 500 {
		t.Fatalf("held %v tokens by the replica's own ratio, want about 10000", h)
	}
}

// A report with any one field sets a load.
func TestReportsOfEveryShape(t *testing.T) {
	for name, report := range map[string]LoadReport{
		"memory":   {Has: HasMemory, MemoryShare: 0.5},
		"util":     {Has: HasUtilization, Utilization: 0.5},
		"inflight": {Has: HasInFlight, InFlight: 9},
		"queue":    {Has: HasQueued, Queued: 9},
		"unread":   {Has: HasPrefillBacklog, PrefillBacklogK: 20},
	} {
		b, rec := startBalancer(t, settings(), fleet(2)...)
		dispatched(b, rec, 101*second, testRequest(1))
		b.applyReport(101*second, b.rows[0], report)
		if b.rows[0].reportedTokens <= 0 || b.rows[0].reportedAt != 101*second {
			t.Errorf("%s: held %v", name, b.rows[0].reportedTokens)
		}
	}
	b, _ := startBalancer(t, settings(), fleet(1)...)
	b.applyReport(101*second, b.rows[0], LoadReport{})
	if b.rows[0].reportedAt != -1 {
		t.Error("an absent report was dated")
	}
}

// Live weights are reports that all gateways get: a lower one means that more is held.
func TestLiveWeightsAreReports(t *testing.T) {
	s := settings()
	s.WeightKind = WeightLive
	m := fleet(3)
	b, _ := startBalancer(t, s, m...)
	b.tokensPerLiveLoad = 1000
	m[1].Weight = 0.25
	b.ListChanged(101*second, EndpointList{Kind: ListDelta, Endpoints: m[1:2]})
	if row := b.rows[1]; row.reportedTokens != 3000 || row.reportedAt != 101*second {
		t.Fatalf("held %v at %v", row.reportedTokens, row.reportedAt)
	}
}
