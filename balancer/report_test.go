package balancer

import (
	"math"
	"testing"
)

// The memory per token of a replica starts at the fleet's mean and follows the replica's reports.
func TestRatioStartsAtFleetMeanAndFitsReplica(t *testing.T) {
	b, _ := startBalancer(t, settings(), fleet(2)...)
	b.meanHeldTokens = 1000
	applyReport := func(row *replicaRow, share float64) {
		b.applyReport(101*second, row, LoadReport{Has: HasMemory | HasInFlight, MemoryShare: share, InFlight: 10})
	}
	applyReport(b.rows[0], 0.2)
	applyReport(b.rows[1], 0.2)
	if math.Abs(b.rows[1].reportedTokens-10000) > 1 {
		t.Fatalf("held %v tokens by the fleet's ratio, want 10000", b.rows[1].reportedTokens)
	}
	for range 200 {
		applyReport(b.rows[1], 0.4) // half the memory: the same requests take twice the fraction
	}
	if held := b.rows[1].reportedTokens; math.Abs(held-10000) > 500 {
		t.Fatalf("held %v tokens by the replica's own ratio, want about 10000", held)
	}
}

// A report with any single field sets a load, and an empty one is ignored.
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
		t.Error("an empty report set reportedAt")
	}
}

// Live weights of the endpoint list count as reports: a lower weight means a higher load.
func TestLiveWeightsAreReports(t *testing.T) {
	s := settings()
	s.WeightKind = WeightLive
	endpoints := fleet(3)
	b, _ := startBalancer(t, s, endpoints...)
	b.tokensPerLiveLoad = 1000
	endpoints[1].Weight = 0.25
	b.ListChanged(101*second, EndpointList{Kind: ListDelta, Endpoints: endpoints[1:2]})
	if row := b.rows[1]; row.reportedTokens != 3000 || row.reportedAt != 101*second {
		t.Fatalf("held %v at %v", row.reportedTokens, row.reportedAt)
	}
}
