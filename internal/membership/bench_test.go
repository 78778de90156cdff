package membership

import (
	"fmt"
	"testing"

	"archknot/internal/takeover"
)

// BenchmarkSecond is a second of one member's work over the number of members, with one of a hundred
// whose state changes in it: ten rounds of ticks, with what they send read by nobody.
func BenchmarkSecond(b *testing.B) {
	for _, n := range []int{100, 500, 1000, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := DefaultSettings()
			s.MaxMembers = 4096
			t := New(MemberInfo{Member: takeover.Member{Name: "self", Incarnation: 1}, Addr: "self"}, nil, s, 7)
			var list []MemberInfo
			for i := range n {
				list = append(list, MemberInfo{Member: takeover.Member{Name: fmt.Sprintf("g%04d", i), Incarnation: 1}, Addr: fmt.Sprint(i), Zone: fmt.Sprint(i % 18)})
			}
			t.Merge(0, list)
			now, packets := Micros(0), 0
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				for range 10 {
					now += 100_000
					t.Tick(now)
					for _, o := range t.Outputs() { // each answers
						packets++
						if m, ok := t.Member(nameAt(list, o.To)); ok {
							t.Receive(now, m.Member, Message{Kind: MsgAck, Seq: o.Message.Seq})
						}
					}
				}
				for k := range n / 100 {
					in := list[(i*7+k*100)%n]
					in.Refutations, in.State = uint32(i+1), Alive
					t.Merge(now, []MemberInfo{in})
				}
			}
			b.ReportMetric(float64(packets)/float64(b.N), "packets/op")
		})
	}
}

func nameAt(list []MemberInfo, addr string) string {
	var i int
	if _, err := fmt.Sscan(addr, &i); err != nil {
		return ""
	}
	return list[i].Name
}
