package membership

import (
	"fmt"
	"testing"

	"archknot/internal/takeover"
)

// BenchmarkSecond measures one member's work per second for several numbers of members, of which one in a
// hundred changes per second. A second has ten ticks, and each message is answered by an ack.
func BenchmarkSecond(b *testing.B) {
	for _, n := range []int{100, 500, 1000, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			settings := DefaultSettings()
			settings.MaxMembers = 4096
			table := New(MemberInfo{Member: takeover.Member{Name: "self", Incarnation: 1}, Addr: "self"}, nil, settings, 7)
			var members []MemberInfo
			for i := range n {
				members = append(members, MemberInfo{Member: takeover.Member{Name: fmt.Sprintf("g%04d", i), Incarnation: 1}, Addr: fmt.Sprint(i), Zone: fmt.Sprint(i % 18)})
			}
			table.Merge(0, members)
			now, packets := Micros(0), 0
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				for range 10 {
					now += 100_000
					table.Tick(now)
					for _, o := range table.Outputs() {
						packets++
						if m, ok := table.Member(nameAt(members, o.To)); ok {
							table.Receive(now, m.Member, Message{Kind: MsgAck, Seq: o.Message.Seq})
						}
					}
				}
				for k := range n / 100 {
					update := members[(i*7+k*100)%n]
					update.Refutations, update.State = uint32(i+1), Alive
					table.Merge(now, []MemberInfo{update})
				}
			}
			b.ReportMetric(float64(packets)/float64(b.N), "packets/op")
		})
	}
}

// nameAt returns the name of the member at an address.
func nameAt(members []MemberInfo, addr string) string {
	var i int
	if _, err := fmt.Sscan(addr, &i); err != nil {
		return ""
	}
	return members[i].Name
}
