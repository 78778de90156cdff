package balancer

import (
	"fmt"
	"testing"
)

// busyBalancer returns a Balancer whose replicas are in varied states: reports of different ages
// or none, errors, backoff, slow start, open connections, two zones and two kinds.
func busyBalancer(tb testing.TB, gateways, replicas int) *Balancer {
	tb.Helper()
	s := settings()
	s.Gateways, s.Kinds, s.CrossZoneCost, s.HandshakeCost, s.MayHealthCheck = gateways, []string{"k", "older"}, 0.022, 0.02, true
	b, err := New(s, 7, &recorder{})
	if err != nil {
		tb.Fatal(err)
	}
	endpoints := fleet(replicas)
	for i := range endpoints {
		endpoints[i].Kind = s.Kinds[i%3%2]
		endpoints[i].Zone = s.Zones[i%2]
		if i%17 == 0 {
			endpoints[i].StartedAt = 90 * second
		}
	}
	b.Start(100 * second)
	b.ListChanged(100*second, EndpointList{Kind: ListFull, Endpoints: endpoints})
	b.meanHeldTokens, b.meanLoad, b.dispatchRate = 1500, 9000, 20
	for i, row := range b.rows {
		if i%3 > 0 {
			row.reportedTokens, row.reportedAt = float64(i%23)*900, 100*second-Micros(i%29)*200_000
		}
		if i%41 == 0 {
			row.errorRate, row.backoffUntil = 0.3, 100*second+Micros(i%5)*second/4
		}
		row.lastUsedAt = 100*second - Micros(i%7)*second
		row.openConns = i % 2
	}
	b.refreshEstimates(100 * second)
	return b
}

func BenchmarkPick(b *testing.B) {
	for _, gateways := range []int{3, 80} {
		for _, replicas := range []int{14, 60, 1000, 10_000} {
			b.Run(fmt.Sprintf("gateways=%d/replicas=%d", gateways, replicas), func(b *testing.B) {
				balancer := busyBalancer(b, gateways, replicas)
				req := &request{Request: testRequest(1), policy: balancer.policies[0], tenantIndex: -1, avoidZone: -1, deadline: 200 * second}
				for n := 0; b.Loop(); n++ {
					req.Session, req.Prefix, req.PrefixTokens = uint64(n%997+1), uint64(n%31+1), 600
					balancer.prefixCounts[req.Prefix], balancer.prefixTotal = 5, 200
					balancer.pick(101*second, req)
				}
			})
		}
	}
}
