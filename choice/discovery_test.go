package choice

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

// slowDiscovery takes calls in turn, so many a second, and fails those that have waited for two
// seconds though it has worked for them too. Before it is up it takes none.
type slowDiscovery struct {
	upAt, each, free Micros
}

func (d *slowDiscovery) call(now Micros) (at Micros, kind ListKind) {
	if now < d.upAt {
		return now, ListUnreached
	}
	d.free = max(d.free, now) + d.each
	if d.free > now+2*sec {
		return now + 2*sec, ListFailed
	}
	return d.free, ListFull
}

// Gateways that all start together without a list, before a discovery that is down at first
// or slow: nine in ten can serve within ten seconds.
func TestNineInTenAreReadyInTime(t *testing.T) {
	for _, c := range []struct {
		gateways   int
		down, each Micros
	}{{3, 8 * sec, sec / 10}, {20, 6 * sec, sec / 10}, {30, 0, sec / 5}, {80, 0, sec / 10}, {300, 0, sec / 40}, {300, 5 * sec, sec / 150}} {
		d := slowDiscovery{upAt: 100*sec + c.down, each: c.each}
		all := askers(c.gateways, 100*sec)
		told := d.until(all, 100*sec, 130*sec)
		if len(told) < c.gateways {
			t.Errorf("%+v: only %d have the list", c, len(told))
			continue
		}
		ninth := float64(told[(c.gateways*9+9)/10-1]-100*sec) / 1e6
		t.Logf("%+v: nine in ten after %.1f s, all after %.1f s", c, ninth, float64(told[len(told)-1]-100*sec)/1e6)
		if ninth > 10 {
			t.Errorf("%+v: nine in ten are ready after %.1f s", c, ninth)
		}
	}
}

// asker is a gateway that asks discovery.
type asker struct {
	b    *Balancer
	rec  *recorder
	at   Micros // when its call ends; 0: none is out
	kind ListKind
	told bool
}

// askers are all gateways of a fleet, started at a time without a list.
func askers(gateways int, at Micros) (all []*asker) {
	for i := range gateways {
		s := eighty()
		s.AskRegistry, s.WatchWait, s.Gateways, s.Self = true, 2*sec, gateways, i
		g := &asker{rec: &recorder{}}
		g.b, _ = New(s, uint64(i+1), g.rec)
		g.b.Start(at)
		all = append(all, g)
	}
	return all
}

// until has gateways ask between two times, and tells when each has its first list.
func (d *slowDiscovery) until(all []*asker, from, to Micros) (told []Micros) {
	for now := from; now < to && len(told) < len(all); now += tickEvery / 5 {
		for i, g := range all {
			if g.at > 0 && now >= g.at {
				g.at = 0
				g.b.ListChanged(now, ServerList{Kind: g.kind, Members: fleet(2)})
				if g.kind == ListFull && !g.told {
					g.told = true
					told = append(told, now)
				}
			}
			if now%tickEvery == Micros(i%5)*(tickEvery/5) {
				g.b.tick(now)
			}
			if asked := len(g.rec.take("watch")) > 0; asked && g.at == 0 && !g.told {
				g.at, g.kind = d.call(now)
				g.at = max(g.at, now+1)
			}
		}
	}
	slices.Sort(told)
	return told
}

// After an outage of eight seconds a few gateways all have the list again well within the six
// seconds after which what it tells counts as told. Many cannot all have it by then from a
// discovery that answers ten calls a second; they have in the end, and meanwhile trust none of
// the old list that does not show itself.
func TestToldAfterAnOutage(t *testing.T) {
	for _, c := range []struct {
		gateways int
		each     Micros
		within   Micros // all of them
	}{{3, sec / 10, 2 * sec}, {10, sec / 10, 4 * sec}, {30, sec / 10, 12 * sec}, {300, sec / 40, 40 * sec}} {
		t.Run(fmt.Sprint(c.gateways), func(t *testing.T) {
			const down, up = 100 * sec, 108 * sec
			d := slowDiscovery{upAt: up, each: c.each}
			all := askers(c.gateways, 90*sec)
			for _, g := range all {
				g.b.ListChanged(90*sec, ServerList{Kind: ListFull, Members: fleet(2)})
				g.b.ListChanged(down, ServerList{Kind: ListFailed}) // its watch was reset
				g.rec.acts = nil
			}
			after := d.until(all, down, up+60*sec)
			for i := range after {
				after[i] -= up
			}
			if len(after) < c.gateways || after[len(after)-1] > c.within {
				t.Fatalf("%d of %d told, the last %.1f s after it could be reached", len(after), c.gateways, float64(after[max(0, len(after)-1)])/1e6)
			}
			t.Logf("told after it could be reached: median %.2f s, 99th percentile %.2f s, worst %.2f s", float64(after[len(after)/2])/1e6,
				float64(after[len(after)*99/100])/1e6, float64(after[len(after)-1])/1e6)
		})
	}
}

// silence has a gateway whose calls fail since so long.
func silence(t *testing.T, s Settings, now Micros, kind ListKind) (*Balancer, *recorder) {
	t.Helper()
	s.AskRegistry, s.WatchWait = true, 2*sec
	b, rec := start(t, s, fleet(4)...)
	for at := 101 * sec; at <= now; at += sec {
		b.ListChanged(at, ServerList{Kind: kind})
		b.tick(at)
	}
	return b, rec
}

// Where discovery can be reached and its calls fail all the same, a replica may drain unheard
// of: six seconds after the last word only those get new work that have shown themselves by a
// probe or by work that they took. Where it is not there at all the list stands.
func TestOldListIsTrustedForSixSeconds(t *testing.T) {
	for _, gateways := range []int{3, 80} {
		s := eighty()
		s.Gateways = gateways
		b, rec := silence(t, s, 105*sec, ListFailed)
		if dispatched(b, rec, 105*sec+1, req(1)) == 0 && gateways == 3 {
			t.Fatal("nothing is sent within the six seconds")
		}
		b, rec = silence(t, s, 107*sec, ListFailed)
		probes := asked(rec)
		if gateways == 3 && len(probes) < 4 {
			t.Errorf("%d replicas asked for a sign", len(probes))
		}
		now := 107*sec + 1
		r := req(2)
		rec.acts = nil
		b.RequestArrived(now, r)
		acts := slices.Clone(rec.acts)
		if got := rec.take("dispatch"); len(got) > 0 {
			t.Errorf("%d gateways: sent to %d of an old list", gateways, got[0].to)
		}
		if gateways == 80 {
			probes = asked(&recorder{acts: acts})
		}
		if len(probes) == 0 {
			t.Fatal("nobody is asked")
		}
		for i, w := range probes { // the first drains: it answers with 503
			b.ProbeEnded(now+sec/100, Outcome{Replica: w, Status: []Status{Errored, Served}[min(i, 1)], Report: load(1)})
		}
		for id := range RequestID(12) {
			rec.acts = nil
			b.RequestArrived(now+sec/50, req(10+id))
			b.TimerFired(now+sec/50+askWait, uint64(10+id)<<timerBits|timerAsked)
			got := append(rec.take("dispatch"), action{})[0].to
			if got == probes[0] || got != 0 && !slices.Contains(probes, got) {
				t.Errorf("%d gateways: sent to %d, of which there was no sign", gateways, got)
			}
		}
		b, rec = silence(t, s, 130*sec, ListUnreached)
		rec.acts = nil
		b.RequestArrived(130*sec+1, req(3))
		if len(rec.acts) == 0 || slices.ContainsFunc(rec.acts, func(a action) bool { return a.what == "refuse" }) {
			t.Errorf("%d gateways: nothing is sent while discovery is not there", gateways)
		}
	}
}

// An attempt that a cold replica does not let in goes to none that is doubted either, also where
// its request has just come and asks about replicas.
func TestNoDoubtedReplicaInAColdOnesPlace(t *testing.T) {
	s := eighty()
	s.AskRegistry, s.WatchWait = true, 2*sec
	members := fleet(4)
	for i := range 3 { // the fourth is long up, and doubted
		members[i].Since = 105 * sec
	}
	for seed := range RequestID(40) {
		b, rec := start(t, s, members...)
		b.refresh(107 * sec)
		for _, w := range b.rows {
			w.reportAt = 107 * sec // nobody is asked: all reports are fresh
		}
		for _, w := range b.rows[:3] {
			w.slow = 1e9 // is offered to nobody
			w.provedAt = 106 * sec
		}
		b.rows[3].probing, b.rows[3].probed = true, 106*sec+900_000 // nor can the fourth be
		b.rows[3].held, b.rows[3].retryAt = 1e9, 0
		rec.acts = nil
		b.rng = uint64(seed)*2 + 1
		b.RequestArrived(107*sec, req(seed+1))
		for _, a := range rec.take("dispatch") {
			if a.to == 4 {
				t.Fatal("sent to a replica of an old list that gave no sign")
			}
		}
	}
}

// An agent on this machine is asked at once again, however many gateways there are. The
// operators' own marks are no word of discovery: it goes on being asked.
func TestWhenDiscoveryIsAskedAgain(t *testing.T) {
	s := eighty()
	s.Gateways, s.Self, s.AskRegistry, s.ListsPushed = 300, 299, true, true
	rec := &recorder{}
	b, _ := New(s, 3, rec)
	b.Start(100 * sec)
	if len(rec.take("watch")) != 1 {
		t.Error("the agent is not asked at the start")
	}
	for range 8 {
		b.ListChanged(100*sec, ServerList{Kind: ListFailed})
	}
	if wait := b.askAt - 100*sec; wait > askPushed {
		t.Errorf("the agent is asked again after %d", wait)
	}
	b.ListChanged(100*sec, ServerList{Kind: ListOwn, Members: []Member{{Replica: 1, State: MemberDraining}}})
	if b.watching || b.askAt == 0 || math.Abs(float64(b.toldAt-100*sec)) > 0 {
		t.Errorf("after a mark: watching %t, asked at %d", b.watching, b.askAt)
	}
}
