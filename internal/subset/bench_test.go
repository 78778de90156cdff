package subset

import (
	"fmt"
	"testing"

	"archknot/balancer"
)

// BenchmarkChange measures one replica's change of state, for several sizes of the fleet.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{1000, 3000, 6000, 12000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			fleet := zonedEndpoints(0, evenCounts(18, n/18)...)
			selector := NewSelector(testSettings(128, 7, "z7"), noPrefixStats{})
			selector.Apply(second, fullList(fleet))
			for i := range b.N {
				e := fleet[i/2%len(fleet)]
				if i%2 == 0 {
					e.State = balancer.EndpointDraining
				}
				selector.Apply(2*second, balancer.EndpointList{Kind: balancer.ListDelta, Endpoints: []balancer.Endpoint{e}})
			}
		})
	}
}

// BenchmarkAssignAffinityTarget measures the selection of a request's affinity target, for several sizes of
// the fleet.
func BenchmarkAssignAffinityTarget(b *testing.B) {
	for _, n := range []int{1000, 6000, 12000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			selector := NewSelector(testSettings(128, 7, "z0"), noPrefixStats{})
			selector.Apply(second, fullList(zonedEndpoints(0, n)))
			for i := range b.N {
				request := balancer.Request{Session: uint64(i) + 1, Prefix: uint64(i%5000) + 1}
				selector.AssignAffinityTarget(20*second, &request)
			}
		})
	}
}
