package balancer

import (
	"testing"
)

// Of the gateways that may gossip, exactly one checks each replica and sends its report to the others.
func TestHealthChecksAreSharedAndGossiped(t *testing.T) {
	s := settings()
	s.ReportSource, s.MayHealthCheck, s.MayGossip, s.Gateways = ReportOnHealthCheck, true, true, 4
	owners := map[ReplicaID]int{}
	for self := range 4 {
		s.Self = self
		b, rec := startBalancer(t, s, fleet(20)...)
		b.runHealthChecks(101 * second)
		for _, check := range rec.take("health check") {
			owners[check.to]++
			b.HealthCheckEnded(102*second, Outcome{Replica: check.to, Status: Served,
				Report: LoadReport{Has: HasMemory, MemoryShare: 0.1}})
			if len(rec.take("gossip")) != 1 {
				t.Fatal("the report of a health check was not sent to the peers")
			}
		}
	}
	for _, endpoint := range fleet(20) {
		if owners[endpoint.Replica] != 1 {
			t.Fatalf("replica %d was checked by %d gateways", endpoint.Replica, owners[endpoint.Replica])
		}
	}
}

// Without gossip, the cost of health checks per request stays bounded.
func TestHealthChecksStayWithinTheirCost(t *testing.T) {
	s := settings()
	s.MayHealthCheck, s.HealthCheckCost = true, 0.05
	b, rec := startBalancer(t, s, fleet(50)...)
	b.dispatchRate = 10
	checks := 0
	for now := 101 * second; now < 161*second; now += tickInterval {
		b.runHealthChecks(now)
		for _, check := range rec.take("health check") {
			checks++
			b.HealthCheckEnded(now, Outcome{Replica: check.to, Status: Served, Report: LoadReport{Has: HasMemory, MemoryShare: 0.1}})
		}
	}
	if cost := float64(checks) * s.HealthCheckCost / (10 * 60); checks == 0 || cost > 0.01 {
		t.Fatalf("%d health checks cost %v per request", checks, cost)
	}
}
