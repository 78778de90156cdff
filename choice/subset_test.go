package choice

import "testing"

// A replica that leaves a gateway's part of the list while something is out at it, and comes back in
// the same life, is not in slow start for it; one that has started anew is. Where lists name all
// replicas, one that was gone is taken to have started anew, as before.
func TestBackOnThePartOfTheList(t *testing.T) {
	for _, c := range []struct {
		fleet int
		since Micros
		cold  bool
	}{{500, 50 * sec, false}, {500, 104 * sec, true}, {0, 50 * sec, true}} {
		b, rec := start(t, eighty(), fleet(40)...)
		b.fleet = c.fleet
		m := Member{Replica: 7, State: MemberReady, Weight: 1, Since: 50 * sec, Zone: "a", Kind: "k"}
		tell := func(now Micros, state MemberState, since Micros) {
			m.State, m.Since = state, since
			b.ListChanged(now, ServerList{Kind: ListOwn, Fleet: c.fleet, Members: []Member{m}})
		}
		tell(102*sec, MemberReady, 50*sec)
		w := b.byID[7]
		w.coldUntil = 0
		w.open = append(w.open, &attempt{row: w})
		rec.acts = nil
		tell(103*sec, MemberGone, 50*sec)
		if b.byID[7] != w || w.state != MemberGone {
			t.Fatal("with something out its row stays, and takes nothing")
		}
		tell(105*sec, MemberReady, c.since)
		if got := 105*sec < w.coldUntil; got != c.cold {
			t.Errorf("%+v: cold %t", c, got)
		}
	}
}

// Where lists are a part of the fleet, as many gateways share a replica as have it on theirs, and a
// request asks fewer replicas the more of its part the gateway hears of by itself.
func TestPartOfTheFleet(t *testing.T) {
	s := eighty()
	s.Gateways = 1800
	b, _ := start(t, s, fleet(40)...)
	if n, drawn := b.asks(); n != shortList || !drawn || b.sharers() != 1800 {
		t.Errorf("all listed: asks %d, drawn %t, %v share a replica", n, drawn, b.sharers())
	}
	b.fleet, b.ready = 6000, 100
	if got := b.sharers(); got != 30 {
		t.Errorf("%v gateways share a replica, want 30", got)
	}
	for _, c := range []struct {
		rate         float64
		asks         int
		fewest, most int // drawn, of 400
	}{{1, 2, 400, 400}, {37, 1, 60, 140}} {
		b.sendRate, b.lifetime = c.rate, 3e6
		drawn := 0
		for range 400 {
			n, by := b.asks()
			if n != c.asks {
				t.Fatalf("at %v requests a second %d asked, want %d", c.rate, n, c.asks)
			}
			drawn += int(one(by))
		}
		if drawn < c.fewest || drawn > c.most {
			t.Errorf("at %v requests a second one is drawn in %d of 400", c.rate, drawn)
		}
	}
}

// A home that is told goes before what the module would find, and only it has the prefix.
func TestHomeThatIsTold(t *testing.T) {
	b, _ := start(t, eighty(), fleet(40)...)
	b.fleet = 400
	r := &request{Request: req(1), terms: b.terms[0], tenant: -1, avoidZone: -1}
	r.Session, r.Prefix, r.PrefixTokens, r.Home = 77, 5, 500, 31
	if home, second, _, _ := b.holders(r); home != b.byID[31] || second != nil {
		t.Errorf("home %v, second %v", home, second)
	}
	b.byID[31].state = MemberDraining
	if home, _, _, _ := b.holders(r); home != nil {
		t.Errorf("at home at one that drains: %v", home)
	}
}
