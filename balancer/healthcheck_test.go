package balancer

import (
	"testing"
)

// Gateways that may gossip check each replica's health once between them.
func TestHealthChecksAreSharedAndGossiped(t *testing.T) {
	s := settings()
	s.ReportSource, s.MayHealthCheck, s.MayGossip, s.Gateways = ReportOnHealthCheck, true, true, 4
	owners := map[ReplicaID]int{}
	for self := range 4 {
		s.Self = self
		b, rec := startBalancer(t, s, fleet(20)...)
		b.runHealthChecks(101 * second)
		for _, p := range rec.take("health check") {
			owners[p.to]++
			b.HealthCheckEnded(102*second, Outcome{Replica: p.to, Status: Served,
				Report: LoadReport{Has: HasMemory, MemoryShare: 0.1}})
			if len(rec.take("gossip")) != 1 {
				t.Fatal("a probed report was not relayed")
			}
		}
	}
	for _, endpoint := range fleet(20) {
		if owners[endpoint.Replica] != 1 {
			t.Fatalf("replica %d probed by %d gateways", endpoint.Replica, owners[endpoint.Replica])
		}
	}
}

// Health checks that gateways do not share stay a part of the requests.
func TestHealthChecksStayWithinTheirCost(t *testing.T) {
	s := settings()
	s.MayHealthCheck, s.HealthCheckCost = true, 0.05
	b, rec := startBalancer(t, s, fleet(50)...)
	b.dispatchRate = 10
	checks := 0
	for now := 101 * second; now < 161*second; now += tickInterval {
		b.runHealthChecks(now)
		for _, p := range rec.take("health check") {
			checks++
			b.HealthCheckEnded(now, Outcome{Replica: p.to, Status: Served, Report: LoadReport{Has: HasMemory, MemoryShare: 0.1}})
		}
	}
	if cost := float64(checks) * s.HealthCheckCost / (10 * 60); checks == 0 || cost > 0.01 {
		t.Fatalf("%d checks cost %v points a request", checks, cost)
	}
}
