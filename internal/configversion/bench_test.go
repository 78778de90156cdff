package configversion

import (
	"fmt"
	"testing"

	"archknot/balancer"
)

// BenchmarkValidate measures the validation of one version, by the number of its tenants.
func BenchmarkValidate(b *testing.B) {
	for _, tenants := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(tenants), func(b *testing.B) {
			c := &Config{Number: 1, HasClasses: true, HasTenants: true, Classes: []balancer.Class{{Name: "chat", LatencyObjective: 1e6, Deadline: 4e6, PriorityWeight: 1, Streaming: true}}}
			for i := range tenants {
				c.Tenants = append(c.Tenants, Tenant{Name: fmt.Sprintf("tenant-%04d", i)})
			}
			b.ReportAllocs()
			for b.Loop() {
				if r := Validate(c, DefaultLimits); len(r) > 0 {
					b.Fatal(r)
				}
			}
		})
	}
}
