package endpoint

import (
	"fmt"
	"testing"

	"archknot/balancer"
	"archknot/internal/httpwire"
)

// BenchmarkApplyDelta measures a delta with one changed replica, for lists of several sizes.
func BenchmarkApplyDelta(b *testing.B) {
	for _, n := range []int{1000, 6000, 12000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			list := httpwire.EndpointList{Reset: true}
			for i := range n {
				list.Endpoints = append(list.Endpoints, httpwire.Endpoint{ID: fmt.Sprint("replica-", i), Addr: "127.0.0.1:1", Lifecycle: "ready"})
			}
			toGatewayTime := func(int64) balancer.Micros { return 1 }
			r := NewRegistry()
			r.Apply(list, balancer.ListFull, toGatewayTime)
			for i := range b.N {
				entry := list.Endpoints[i/2%n]
				if i%2 == 0 {
					entry.Lifecycle = "draining"
				}
				r.Apply(httpwire.EndpointList{Endpoints: []httpwire.Endpoint{entry}}, balancer.ListDelta, toGatewayTime)
			}
		})
	}
}
