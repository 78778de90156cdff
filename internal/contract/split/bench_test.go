package split

import (
	"fmt"
	"testing"
)

// BenchmarkAlone is one look at the parts over the number of teams: a gateway looks once a second.
func BenchmarkAlone(b *testing.B) {
	for _, teams := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(teams), func(b *testing.B) {
			s := Seen{Span: 1_000_000, Own: 100, All: 180_000}
			for i := range teams {
				s.Teams = append(s.Teams, Team{Rate: 1e6, Asked: float64(i % 7), Used: float64(i % 5)})
			}
			w := &Alone{}
			b.ReportAllocs()
			for b.Loop() {
				w.Parts(s)
			}
		})
	}
}
