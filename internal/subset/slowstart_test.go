package subset_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"archknot/balancer"
	"archknot/internal/subset"
)

// Guards against a replica in slow start that is overloaded by the sum of all gateways, each of which uses its
// own subset of the fleet and affinity targets outside it. In any window of 1.5 s a replica that is warming up
// receives at most N + 3 sqrt(N) + 3 requests (N + 2 sqrt(N) + 2 from N = 30 on), where N is the number that
// slow start allows in the window. Load reports show replicas that are warming up as empty and all others as
// full, and all gateways receive the same sessions and prefixes.
func TestSlowStartAcrossGatewaysWithSubsets(t *testing.T) {
	const second balancer.Micros = 1_000_000
	for _, c := range []struct {
		gateways, replicas, warming, zones, maxReplicas int
		rate                                            float64 // requests per second of the complete fleet
	}{{60, 240, 80, 1, 40, 400}, {60, 240, 80, 3, 40, 400}, {30, 90, 1, 3, 20, 900}, {12, 400, 390, 2, 50, 1200}} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			t.Parallel()
			s := balancer.Settings{Gateways: c.gateways, Kinds: []string{"k"}, MaxAttempts: 2, MayCancel: true, ReportSource: balancer.ReportInline,
				Classes: []balancer.Class{{Name: "chat", LatencyObjective: second, Deadline: 10 * second, PriorityWeight: 1, Streaming: true}}, StreamsPerConn: 1, ConnIdleTimeout: 45 * second,
				InitialCapacity: 0.3, OverloadMultiple: 3, SlowStartFor: 9 * second, OverloadWindow: 3 * second / 2, Tick: 2000}
			start := 100 * second
			var list []balancer.Endpoint
			for i := range c.replicas {
				e := balancer.Endpoint{Replica: balancer.ReplicaID(i + 1), State: balancer.EndpointReady, Weight: 1, Kind: "k", Zone: fmt.Sprint("z", i%c.zones), StartedAt: 1}
				if i < c.warming {
					e.StartedAt = start
				}
				list = append(list, e)
			}
			sent := map[balancer.ReplicaID][]float64{}
			for self := range c.gateways {
				s.Self, s.Zone = self, fmt.Sprint("z", self%c.zones)
				sink := &lastDispatchSink{}
				lb, err := balancer.New(s, 1, sink) // the same seed at each
				if err != nil {
					t.Fatal(err)
				}
				selector := subset.NewSelector(subset.Settings{MaxReplicas: c.maxReplicas, GatewayIndex: self, GatewayCount: c.gateways, Zone: s.Zone, RemoteFraction: subset.DefaultRemoteFraction, SlowStart: s.SlowStartFor}, lb)
				lb.Start(start)
				lb.ListChanged(start, selector.Apply(start, balancer.EndpointList{Kind: balancer.ListCached, Endpoints: list}))
				rng := rand.New(rand.NewPCG(uint64(self), 5))
				now, id := float64(start), balancer.RequestID(0)
				for tick := start; ; {
					now += rng.ExpFloat64() * 1e6 * float64(c.gateways) / c.rate
					at := balancer.Micros(now)
					if at >= start+s.SlowStartFor {
						break
					}
					for ; tick < at; tick += second / 4 {
						lb.TimerFired(tick, 0)
					}
					id++
					request := balancer.Request{ID: id, Class: "chat", TimeLeft: 10 * second, PromptTokens: 500, MaxTokens: 100,
						Session: rng.Uint64N(3000) + 1, Prefix: rng.Uint64N(50) + 1, PrefixTokens: 200}
					if announced, changed := selector.AssignAffinityTarget(at, &request); changed {
						lb.ListChanged(at, announced)
					}
					sink.lastDispatched = 0
					lb.RequestArrived(at, request)
					if sink.lastDispatched == 0 {
						continue
					}
					report := balancer.LoadReport{Has: balancer.HasInFlight, InFlight: 40}
					if int(sink.lastDispatched) <= c.warming {
						sent[sink.lastDispatched] = append(sent[sink.lastDispatched], now/1e6)
						report.InFlight = 0
					}
					lb.AttemptEnded(at+1, balancer.Outcome{ID: id, Replica: sink.lastDispatched, Status: balancer.Served, Elapsed: second / 2, Final: true, Report: report})
				}
			}
			largestExcess, total, over := 0.0, 0, 0
			for _, times := range sent {
				slices.Sort(times)
				total += len(times)
				for i, first := range times {
					capacity := s.InitialCapacity + (1-s.InitialCapacity)*(first-100)/9
					n := s.OverloadMultiple * capacity * c.rate / float64(c.replicas) * 1.5
					got := 0.0
					for _, next := range times[i:] {
						if next < first+1.5 {
							got++
						}
					}
					limit := n + 3*math.Sqrt(n) + 3
					if n >= 30 {
						limit = n + 2*math.Sqrt(n) + 2
					}
					if largestExcess = max(largestExcess, (got-n)/math.Sqrt(n)); got > limit {
						over++
					}
				}
			}
			t.Logf("largest excess %.2f sqrt(N); %d requests to %d replicas in slow start", largestExcess, total, c.warming)
			if over > 0 || total == 0 {
				t.Errorf("over the limit in %d windows, largest excess %.2f sqrt(N); %d requests", over, largestExcess, total)
			}
		})
	}
}
