package subset

import (
	"fmt"
	"testing"

	"archknot/balancer"
)

// BenchmarkChange is the cost of one replica's change of state, over the size of the fleet.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{1000, 3000, 6000, 12000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			members := zonedMembers(0, evenCounts(18, n/18)...)
			v := NewSelector(testSettings(128, 7, "z7"), noPrefixStats{})
			v.Apply(second, fullListOf(members))
			for i := range b.N {
				m := members[i/2%len(members)]
				if i%2 == 0 {
					m.State = balancer.EndpointDraining
				}
				v.Apply(2*second, balancer.EndpointList{Kind: balancer.ListDelta, Endpoints: []balancer.Endpoint{m}})
			}
		})
	}
}

// BenchmarkAssignAffinityTarget is the cost of finding a request's home, over the size of the fleet.
func BenchmarkAssignAffinityTarget(b *testing.B) {
	for _, n := range []int{1000, 6000, 12000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v := NewSelector(testSettings(128, 7, "z0"), noPrefixStats{})
			v.Apply(second, fullListOf(zonedMembers(0, n)))
			for i := range b.N {
				in := balancer.Request{Session: uint64(i) + 1, Prefix: uint64(i%5000) + 1}
				v.AssignAffinityTarget(20*second, &in)
			}
		})
	}
}
