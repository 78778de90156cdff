package balancer

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
		return now, ListUnreachable
	}
	d.free = max(d.free, now) + d.each
	if d.free > now+2*second {
		return now + 2*second, ListFailed
	}
	return d.free, ListFull
}

// Gateways that all start together without a list, before a discovery that is down at first
// or slow: nine in ten can serve within ten seconds.
func TestNineInTenAreReadyInTime(t *testing.T) {
	for _, c := range []struct {
		gateways   int
		down, each Micros
	}{{3, 8 * second, second / 10}, {20, 6 * second, second / 10}, {30, 0, second / 5}, {80, 0, second / 10}, {300, 0, second / 40}, {300, 5 * second, second / 150}} {
		d := slowDiscovery{upAt: 100*second + c.down, each: c.each}
		all := startAll(c.gateways, 100*second)
		told := d.until(all, 100*second, 130*second)
		if len(told) < c.gateways {
			t.Errorf("%+v: only %d have the list", c, len(told))
			continue
		}
		ninth := float64(told[(c.gateways*9+9)/10-1]-100*second) / 1e6
		t.Logf("%+v: nine in ten after %.1f s, all after %.1f s", c, ninth, float64(told[len(told)-1]-100*second)/1e6)
		if ninth > 10 {
			t.Errorf("%+v: nine in ten are ready after %.1f s", c, ninth)
		}
	}
}

// pollingGateway is a gateway that asks discovery.
type pollingGateway struct {
	b    *Balancer
	rec  *recorder
	at   Micros // when its call ends; 0: none is out
	kind ListKind
	told bool
}

// startAll are all gateways of a fleet, started at a time without a list.
func startAll(gateways int, at Micros) (all []*pollingGateway) {
	for i := range gateways {
		s := eightyGateways()
		s.PollDiscovery, s.WatchInterval, s.Gateways, s.Self = true, 2*second, gateways, i
		g := &pollingGateway{rec: &recorder{}}
		g.b, _ = New(s, uint64(i+1), g.rec)
		g.b.Start(at)
		all = append(all, g)
	}
	return all
}

// until has gateways ask between two times, and tells when each has its first list.
func (d *slowDiscovery) until(all []*pollingGateway, from, to Micros) (told []Micros) {
	for now := from; now < to && len(told) < len(all); now += tickEvery / 5 {
		for i, g := range all {
			if g.at > 0 && now >= g.at {
				g.at = 0
				g.b.ListChanged(now, EndpointList{Kind: g.kind, Endpoints: fleet(2)})
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
func TestListArrivesAfterDiscoveryOutage(t *testing.T) {
	for _, c := range []struct {
		gateways int
		each     Micros
		within   Micros // all of them
	}{{3, second / 10, 2 * second}, {10, second / 10, 4 * second}, {30, second / 10, 12 * second}, {300, second / 40, 40 * second}} {
		t.Run(fmt.Sprint(c.gateways), func(t *testing.T) {
			const down, up = 100 * second, 108 * second
			d := slowDiscovery{upAt: up, each: c.each}
			all := startAll(c.gateways, 90*second)
			for _, g := range all {
				g.b.ListChanged(90*second, EndpointList{Kind: ListFull, Endpoints: fleet(2)})
				g.b.ListChanged(down, EndpointList{Kind: ListFailed}) // its watch was reset
				g.rec.acts = nil
			}
			after := d.until(all, down, up+60*second)
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
	s.PollDiscovery, s.WatchInterval = true, 2*second
	b, rec := startBalancer(t, s, fleet(4)...)
	for at := 101 * second; at <= now; at += second {
		b.ListChanged(at, EndpointList{Kind: kind})
		b.tick(at)
	}
	return b, rec
}

// Where discovery can be reached and its calls fail all the same, a replica may drain unheard
// of: six seconds after the last word only those get new work that have shown themselves by a
// probe or by work that they took. Where it is not there at all the list stands.
func TestStaleListIsTrustedForSixSeconds(t *testing.T) {
	for _, gateways := range []int{3, 80} {
		s := eightyGateways()
		s.Gateways = gateways
		b, rec := silence(t, s, 105*second, ListFailed)
		if dispatched(b, rec, 105*second+1, testRequest(1)) == 0 && gateways == 3 {
			t.Fatal("nothing is sent within the six seconds")
		}
		b, rec = silence(t, s, 107*second, ListFailed)
		probes := healthChecked(rec)
		if gateways == 3 && len(probes) < 4 {
			t.Errorf("%d replicas asked for a sign", len(probes))
		}
		now := 107*second + 1
		r := testRequest(2)
		rec.acts = nil
		b.RequestArrived(now, r)
		acts := slices.Clone(rec.acts)
		if got := rec.take("dispatch"); len(got) > 0 {
			t.Errorf("%d gateways: sent to %d of an old list", gateways, got[0].to)
		}
		if gateways == 80 {
			probes = healthChecked(&recorder{acts: acts})
		}
		if len(probes) == 0 {
			t.Fatal("nobody is asked")
		}
		for i, w := range probes { // the first drains: it answers with 503
			b.HealthCheckEnded(now+second/100, Outcome{Replica: w, Status: []Status{Errored, Served}[min(i, 1)], Report: reportInFlight(1)})
		}
		for id := range RequestID(12) {
			rec.acts = nil
			b.RequestArrived(now+second/50, testRequest(10+id))
			b.TimerFired(now+second/50+pollTimeout, uint64(10+id)<<timerBits|timerPoll)
			got := append(rec.take("dispatch"), recordedAction{})[0].to
			if got == probes[0] || got != 0 && !slices.Contains(probes, got) {
				t.Errorf("%d gateways: sent to %d, of which there was no sign", gateways, got)
			}
		}
		b, rec = silence(t, s, 130*second, ListUnreachable)
		rec.acts = nil
		b.RequestArrived(130*second+1, testRequest(3))
		if len(rec.acts) == 0 || slices.ContainsFunc(rec.acts, func(a recordedAction) bool { return a.what == "refuse" }) {
			t.Errorf("%d gateways: nothing is sent while discovery is not there", gateways)
		}
	}
}

// An attempt that a cold replica does not let in goes to none that is doubted either, also where
// its request has just come and asks about replicas.
func TestStaleReplicaNeverReplacesAWarmingOne(t *testing.T) {
	s := eightyGateways()
	s.PollDiscovery, s.WatchInterval = true, 2*second
	members := fleet(4)
	for i := range 3 { // the fourth is long up, and doubted
		members[i].StartedAt = 105 * second
	}
	for seed := range RequestID(40) {
		b, rec := startBalancer(t, s, members...)
		b.refreshEstimates(107 * second)
		for _, row := range b.rows {
			row.reportedAt = 107 * second // nobody is asked: all reports are fresh
		}
		for _, row := range b.rows[:3] {
			row.slowness = 1e9 // is offered to nobody
			row.confirmedReadyAt = 106 * second
		}
		b.rows[3].healthCheckPending, b.rows[3].healthCheckedAt = true, 106*second+900_000 // nor can the fourth be
		b.rows[3].reportedTokens, b.rows[3].backoffUntil = 1e9, 0
		rec.acts = nil
		b.rng = uint64(seed)*2 + 1
		b.RequestArrived(107*second, testRequest(seed+1))
		for _, a := range rec.take("dispatch") {
			if a.to == 4 {
				t.Fatal("sent to a replica of an old list that gave no sign")
			}
		}
	}
}

// An agent on this machine is asked at once again, however many gateways there are. The
// operators' own marks are no word of discovery: it goes on being asked.
func TestDiscoveryPollBackoff(t *testing.T) {
	s := eightyGateways()
	s.Gateways, s.Self, s.PollDiscovery, s.LocalDiscovery = 300, 299, true, true
	rec := &recorder{}
	b, _ := New(s, 3, rec)
	b.Start(100 * second)
	if len(rec.take("watch")) != 1 {
		t.Error("the agent is not asked at the start")
	}
	for range 8 {
		b.ListChanged(100*second, EndpointList{Kind: ListFailed})
	}
	if wait := b.nextPollAt - 100*second; wait > localPollBackoff {
		t.Errorf("the agent is asked again after %d", wait)
	}
	b.ListChanged(100*second, EndpointList{Kind: ListOverride, Endpoints: []Endpoint{{Replica: 1, State: EndpointDraining}}})
	if b.watching || b.nextPollAt == 0 || math.Abs(float64(b.lastHeardAt-100*second)) > 0 {
		t.Errorf("after a mark: watching %t, asked at %d", b.watching, b.nextPollAt)
	}
}
