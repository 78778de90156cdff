package subset_test

import (
	"fmt"
	"testing"

	"archknot/balancer"
	"archknot/internal/subset"
)

// lastDispatchSink receives a balancer's actions and stores the replica of the last dispatch.
type lastDispatchSink struct{ lastDispatched balancer.ReplicaID }

func (n *lastDispatchSink) Dispatch(_ balancer.RequestID, to balancer.ReplicaID, _ balancer.Micros) {
	n.lastDispatched = to
}
func (*lastDispatchSink) Shed(balancer.RequestID, balancer.Micros) {}
func (*lastDispatchSink) Fail(balancer.RequestID)                  {}
func (*lastDispatchSink) Cancel(balancer.RequestID, int)           {}
func (*lastDispatchSink) SetTimer(balancer.Micros, uint64)         {}
func (*lastDispatchSink) HealthCheck(balancer.ReplicaID)           {}
func (*lastDispatchSink) Gossip([]byte)                            {}
func (*lastDispatchSink) WatchDiscovery()                          {}

// BenchmarkRequest measures all decisions for a request, from its arrival to its end: the selection of the
// affinity target, the list that announces it, the choice of a replica, and the update from the outcome. The
// fleet is in one zone or eighteen.
func BenchmarkRequest(b *testing.B) {
	for _, c := range []struct{ replicas, zones, maxReplicas int }{
		{100, 1, 128}, {100, 1, 0}, {1000, 1, 0}, {6000, 1, 0}, {1000, 1, 128}, {6000, 1, 128}, {6000, 18, 128},
	} {
		b.Run(fmt.Sprintf("replicas=%d/zones=%d/max=%d", c.replicas, c.zones, c.maxReplicas), func(b *testing.B) {
			sink := &lastDispatchSink{}
			s := balancer.Settings{Self: 3, Gateways: 1800, Zone: "z3", Kinds: []string{"k"}, MaxAttempts: 3, MayCancel: true, ReportSource: balancer.ReportInline,
				Classes: []balancer.Class{{Name: "chat", LatencyObjective: 1e6, Deadline: 10e6, PriorityWeight: 1, Streaming: true}}, StreamsPerConn: 1, ConnIdleTimeout: 45e6}
			lb, err := balancer.New(s, 7, sink)
			if err != nil {
				b.Fatal(err)
			}
			selector := subset.NewSelector(subset.Settings{MaxReplicas: c.maxReplicas, GatewayIndex: 3, GatewayCount: 1800, Zone: "z3", RemoteFraction: subset.DefaultRemoteFraction, SlowStart: 9e6}, lb)
			list := balancer.EndpointList{Kind: balancer.ListFull}
			for i := range c.replicas {
				list.Endpoints = append(list.Endpoints, balancer.Endpoint{Replica: balancer.ReplicaID(uint32(i+1) * 2654435761), State: balancer.EndpointReady,
					Weight: 1, Kind: "k", Zone: fmt.Sprint("z", i%c.zones), StartedAt: 1})
			}
			now := balancer.Micros(100e6)
			lb.Start(now)
			lb.ListChanged(now, selector.Apply(now, list))
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				now += 27_000
				request := balancer.Request{ID: balancer.RequestID(n + 1), Class: "chat", TimeLeft: 10e6, PromptTokens: 800, MaxTokens: 300,
					Session: uint64(n%20_000) + 1, Prefix: uint64(n%4_000) + 1, PrefixTokens: 400}
				if list, changed := selector.AssignAffinityTarget(now, &request); changed {
					lb.ListChanged(now, list)
				}
				lb.RequestArrived(now, request)
				o := balancer.Outcome{ID: request.ID, Replica: sink.lastDispatched, Elapsed: 400_000}
				lb.FirstToken(now+400_000, o)
				o.Elapsed, o.Status, o.Final, o.OutputTokens = 3_000_000, balancer.Served, true, 90
				o.Report = balancer.LoadReport{Has: balancer.HasInFlight, InFlight: float64(n % 9)}
				lb.AttemptEnded(now+3_000_000, o)
			}
		})
	}
}
