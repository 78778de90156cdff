package choice

import (
	"fmt"
	"testing"
)

// busy is a Balancer before so many workers, with some of everything: reports of all
// ages, own sends, sessions, errors, rests, cold ones, two zones and kinds.
func busy(t testing.TB, gateways, workers int) *Balancer {
	s := settings()
	s.Gateways, s.Kinds, s.PriceCrossZone, s.PriceHandshake, s.MayProbe = gateways, []string{"k", "older"}, 0.022, 0.02, true
	b, err := New(s, 7, &recorder{})
	if err != nil {
		t.Fatal(err)
	}
	members := fleet(workers)
	for i := range members {
		members[i].Kind = s.Kinds[i%3%2]
		members[i].Zone = s.Zones[i%2]
		if i%17 == 0 {
			members[i].Since = 90 * sec
		}
	}
	b.Start(100 * sec)
	b.ListChanged(100*sec, ServerList{Kind: ListFull, Members: members})
	b.meanHold, b.meanLoad, b.sendRate = 1500, 9000, 20
	for i, w := range b.rows {
		if i%3 > 0 {
			w.held, w.reportAt = float64(i%23)*900, 100*sec-Micros(i%29)*200_000
		}
		if i%41 == 0 {
			w.errors, w.retryAt = 0.3, 100*sec+Micros(i%5)*sec/4
		}
		w.usedAt = 100*sec - Micros(i%7)*sec
		w.conns = i % 2
	}
	b.refresh(100 * sec)
	return b
}

func BenchmarkPick(b *testing.B) {
	for _, gateways := range []int{3, 80} {
		for _, workers := range []int{14, 60, 1000, 10_000} {
			b.Run(fmt.Sprintf("gateways=%d/workers=%d", gateways, workers), func(b *testing.B) {
				g := busy(b, gateways, workers)
				r := &request{Request: req(1), terms: g.terms[0], tenant: -1, avoidZone: -1, deadline: 200 * sec}
				for n := 0; b.Loop(); n++ {
					r.Session, r.Prefix, r.PrefixTokens = uint64(n%997+1), uint64(n%31+1), 600
					g.popular[r.Prefix], g.popTotal = 5, 200
					g.pick(101*sec, r)
				}
			})
		}
	}
}
