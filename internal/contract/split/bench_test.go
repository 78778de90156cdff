package split

import (
	"fmt"
	"testing"
)

// BenchmarkLocalEstimate measures one computation of the shares, which a gateway makes once
// per second, by the number of teams.
func BenchmarkLocalEstimate(b *testing.B) {
	for _, teams := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(teams), func(b *testing.B) {
			s := Observation{Interval: 1_000_000, OwnInFlight: 100, FleetInFlight: 180_000}
			for i := range teams {
				s.Teams = append(s.Teams, TeamUsage{Rate: 1e6, Requested: float64(i % 7), Used: float64(i % 5)})
			}
			w := &LocalEstimate{}
			b.ReportAllocs()
			for b.Loop() {
				w.Shares(s)
			}
		})
	}
}
