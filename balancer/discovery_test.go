package balancer

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
)

// slowDiscovery serves calls in turn, so many a second, and fails those that have waited for two
// seconds, though it has worked for them too. Before upAt it is unreachable.
type slowDiscovery struct {
	upAt, each, free Micros
}

// call returns when a call ends, and with what kind of list.
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

// Of gateways that all start together without a list, before a discovery that is down at first
// or slow, nine in ten can serve within ten seconds.
func TestNineInTenAreReadyInTime(t *testing.T) {
	for _, c := range []struct {
		gateways   int
		down, each Micros
	}{{3, 8 * second, second / 10}, {20, 6 * second, second / 10}, {30, 0, second / 5}, {80, 0, second / 10}, {300, 0, second / 40}, {300, 5 * second, second / 150}} {
		d := slowDiscovery{upAt: 100*second + c.down, each: c.each}
		all := startAll(c.gateways, 100*second)
		notified := d.until(all, 100*second, 130*second)
		if len(notified) < c.gateways {
			t.Errorf("%+v: only %d have the list", c, len(notified))
			continue
		}
		ninth := float64(notified[(c.gateways*9+9)/10-1]-100*second) / 1e6
		t.Logf("%+v: nine in ten after %.1f s, all after %.1f s", c, ninth, float64(notified[len(notified)-1]-100*second)/1e6)
		if ninth > 10 {
			t.Errorf("%+v: nine in ten are ready after %.1f s", c, ninth)
		}
	}
}

// pollingGateway is a gateway that polls discovery.
type pollingGateway struct {
	b        *Balancer
	rec      *recorder
	at       Micros // when its call ends; 0: none is open
	kind     ListKind
	notified bool
}

// startAll starts all gateways of a fleet at once without a list.
func startAll(gateways int, at Micros) (all []*pollingGateway) {
	for i := range gateways {
		s := largeFleetSettings()
		s.PollDiscovery, s.WatchInterval, s.Gateways, s.Self = true, 2*second, gateways, i
		g := &pollingGateway{rec: &recorder{}}
		g.b, _ = New(s, uint64(i+1), g.rec)
		g.b.Start(at)
		all = append(all, g)
	}
	return all
}

// until lets gateways poll between two times, and returns when each has its first list.
func (d *slowDiscovery) until(all []*pollingGateway, from, to Micros) (notified []Micros) {
	for now := from; now < to && len(notified) < len(all); now += tickInterval / 5 {
		for i, g := range all {
			if g.at > 0 && now >= g.at {
				g.at = 0
				g.b.ListChanged(now, EndpointList{Kind: g.kind, Endpoints: fleet(2)})
				if g.kind == ListFull && !g.notified {
					g.notified = true
					notified = append(notified, now)
				}
			}
			if now%tickInterval == Micros(i%5)*(tickInterval/5) {
				g.b.tick(now)
			}
			if polled := len(g.rec.take("watch")) > 0; polled && g.at == 0 && !g.notified {
				g.at, g.kind = d.call(now)
				g.at = max(g.at, now+1)
			}
		}
	}
	slices.Sort(notified)
	return notified
}

// After an outage of eight seconds a few gateways all have the list again well within the six
// seconds after which a change counts as known. Many cannot all have it by then from a
// discovery that serves ten calls a second; they have in the end, and meanwhile trust no entry
// of the old list whose replica does not show itself.
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
				g.rec.actions = nil
			}
			after := d.until(all, down, up+60*second)
			for i := range after {
				after[i] -= up
			}
			if len(after) < c.gateways || after[len(after)-1] > c.within {
				t.Fatalf("%d of %d notified, the last %.1f s after it could be reached", len(after), c.gateways, float64(after[max(0, len(after)-1)])/1e6)
			}
			t.Logf("notified after it could be reached: median %.2f s, 99th percentile %.2f s, worst %.2f s", float64(after[len(after)/2])/1e6,
				float64(after[len(after)*99/100])/1e6, float64(after[len(after)-1])/1e6)
		})
	}
}

// silence returns a Balancer whose calls to discovery have failed since 101 s.
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

// Where discovery can be reached and its calls fail all the same, a replica may drain without a
// gateway's knowledge: from six seconds and the grace after the last word no replica gets new
// work, also none that has passed a health check or taken work since, which a draining one may
// do. While discovery cannot be reached the list stands. (Incident 49: a first token and a
// passed health check counted as proof that a replica does not drain.)
func TestStaleListIsNotUsed(t *testing.T) {
	const grace = 2_500_000
	for _, gateways := range []int{1, 3, 30, 80, 200, 900} {
		s := largeFleetSettings()
		s.Gateways, s.DrainGrace = gateways, grace
		last := 100*second + notifiedWithin + grace - writeDelay // the list is of 100 s
		b, rec := silence(t, s, 107*second, ListFailed)
		if to, _ := placed(b, rec, last-second, 1); to == 0 {
			t.Errorf("%d gateways: nothing is sent while the list is trusted", gateways)
		}
		b, rec = silence(t, s, 107*second, ListFailed)
		giveSignsOfLife(b, last-second)
		for id := range RequestID(12) {
			if to, shed := placed(b, rec, last, 10+id); to != 0 || !shed {
				t.Errorf("%d gateways: with a stale list sent to %d, shed %t", gateways, to, shed)
			}
		}
		b, rec = silence(t, s, 130*second, ListUnreachable)
		if to, _ := placed(b, rec, 130*second+1, 3); to == 0 {
			t.Errorf("%d gateways: nothing is sent while discovery is unreachable", gateways)
		}
	}
}

// placed returns where a request goes whose health checks all pass, 0 if nowhere, and whether it is shed.
func placed(b *Balancer, rec *recorder, now Micros, id RequestID) (to ReplicaID, shed bool) {
	rec.actions = nil
	b.RequestArrived(now, testRequest(id))
	giveSignsOfLife(b, now)
	b.TimerFired(now+pollTimeout, timerToken(timerPoll, id))
	for _, a := range rec.actions {
		if a.kind == "dispatch" {
			to = a.to
		}
		shed = shed || a.kind == "shed"
	}
	return to, shed
}

// giveSignsOfLife has all replicas pass a health check, with a fresh report.
func giveSignsOfLife(b *Balancer, now Micros) {
	for _, endpoint := range b.Endpoints() {
		b.HealthCheckEnded(now, Outcome{Replica: endpoint.Replica, Status: Served, Report: reportInFlight(1)})
	}
}

// A stale list is used for no further attempt either: a retry and a hedge choose late.
func TestStaleListIsNotUsedForRetriesAndHedges(t *testing.T) {
	s := largeFleetSettings()
	s.Gateways, s.DrainGrace, s.MayHedge = 3, 2_500_000, true
	b, rec := silence(t, s, 107*second, ListFailed)
	now := b.ListTrustedUntil() - 1
	first := dispatched(b, rec, now, testRequest(1))
	if first == 0 {
		t.Fatal("nothing is sent while the list is trusted")
	}
	b.TimerFired(now+2, timerToken(timerHedge, 1))
	b.AttemptEnded(now+3, Outcome{ID: 1, Replica: first, Status: ConnBroken})
	for _, a := range rec.actions[1:] {
		if a.kind == "dispatch" {
			t.Errorf("a further attempt went to %d", a.to)
		}
	}
	if last := rec.actions[len(rec.actions)-1]; last.kind != "shed" {
		t.Errorf("the request ended with %q", last.kind)
	}
}

// The list of an agent on this machine counts as known at once: it is trusted for the grace
// alone. Without a grace in the settings there is time for a call to the agent.
func TestTrustFollowsTheSettings(t *testing.T) {
	for _, c := range []struct {
		local        bool
		grace, trust Micros
	}{{false, 0, 6_000_000}, {false, 2_500_000, 8_200_000}, {true, 2_500_000, 2_200_000}, {true, 0, minLocalTrust}} {
		s := Settings{LocalDiscovery: c.local, DrainGrace: c.grace}
		if got := s.ListTrust(); got != c.trust {
			t.Errorf("%+v: trusted for %d", c, got)
		}
	}
}

// A local agent is polled again at once, however many gateways there are. The operators' own
// marks do not come from discovery: polling continues.
func TestDiscoveryPollBackoff(t *testing.T) {
	s := largeFleetSettings()
	s.Gateways, s.Self, s.PollDiscovery, s.LocalDiscovery = 300, 299, true, true
	rec := &recorder{}
	b, _ := New(s, 3, rec)
	b.Start(100 * second)
	if len(rec.take("watch")) != 1 {
		t.Error("the agent is not polled at the start")
	}
	for range 8 {
		b.ListChanged(100*second, EndpointList{Kind: ListFailed})
	}
	if wait := b.nextPollAt - 100*second; wait > localPollBackoff {
		t.Errorf("the agent is polled again after %d", wait)
	}
	b.ListChanged(100*second, EndpointList{Kind: ListOverride, Endpoints: []Endpoint{{Replica: 1, State: EndpointDraining}}})
	if b.watching || b.nextPollAt == 0 || math.Abs(float64(b.lastHeardAt-100*second)) > 0 {
		t.Errorf("after a mark: watching %t, polled at %d", b.watching, b.nextPollAt)
	}
}

// Rule 3: a replica that is draining or gone gets nothing, from the change of the list on.
func TestDrainingReplicasGetNothing(t *testing.T) {
	for _, change := range []EndpointList{
		{Kind: ListDelta, Endpoints: []Endpoint{{Replica: 1, State: EndpointDraining, Kind: "k", Zone: "a"}}},
		{Kind: ListDelta, Endpoints: []Endpoint{{Replica: 1, State: EndpointRemoved}}},
		{Kind: ListFull, Endpoints: fleet(2)[1:]},
	} {
		b, rec := startBalancer(t, settings(), fleet(2)...)
		b.ListChanged(101*second, change)
		for i := range RequestID(20) {
			if got := dispatched(b, rec, 101*second, testRequest(i)); got == 1 {
				t.Fatalf("%+v: still sent to 1", change)
			}
		}
	}
}

// queue is a discovery that serves calls in turn, a tenth of a second each. Those that would wait
// for over two seconds fail then, and it has worked for them too.
type queue struct{ free Micros }

func (q *queue) call(now Micros) (at Micros, ok bool) {
	q.free = max(q.free, now) + second/10
	return min(q.free, now+2*second), q.free <= now+2*second
}

// Eighty gateways that all start at once, as after a mass kill, have the list of a discovery that
// serves ten of them a second within twelve seconds, and hardly a call fails. Without a spread,
// one in five had it.
func TestEightyGatewaysDoNotStallDiscovery(t *testing.T) {
	const gateways = 80
	var q queue
	type one struct {
		b        *Balancer
		rec      *recorder
		at       Micros // when its call ends; 0: none is open
		ok       bool
		notified bool
	}
	var all []*one
	for i := range gateways {
		s := settings()
		s.PollDiscovery, s.Gateways, s.Self = true, gateways, i
		g := &one{rec: &recorder{}}
		g.b, _ = New(s, uint64(i+1), g.rec)
		g.b.Start(0)
		all = append(all, g)
	}
	failed := 0
	for now := Micros(0); now < 12*second; now += tickInterval {
		for _, g := range all {
			if g.at > 0 && now >= g.at {
				g.at, g.notified = 0, g.ok
				kind := ListFull
				if !g.ok {
					kind = ListFailed
					failed++
				}
				g.b.ListChanged(now, EndpointList{Kind: kind, Endpoints: fleet(2)})
			}
			g.b.tick(now)
			if polled := len(g.rec.take("watch")) > 0; polled && g.at == 0 && !g.notified {
				g.at, g.ok = q.call(now)
			}
		}
	}
	notified := 0
	for _, g := range all {
		if g.notified {
			notified++
		}
	}
	if notified < gateways || failed > gateways/10 {
		t.Errorf("%d of %d gateways were answered, %d calls failed", notified, gateways, failed)
	}
}

// After failed calls discovery is polled again with backoff, and not while a watch is open.
func TestDiscoveryPollsAreSpread(t *testing.T) {
	s := settings()
	s.PollDiscovery = true
	rec := &recorder{}
	b, _ := New(s, 3, rec)
	b.Start(0)
	if len(rec.take("watch")) != 1 {
		t.Fatal("not polled at the start")
	}
	last := Micros(0)
	for range 6 {
		b.ListChanged(last, EndpointList{Kind: ListFailed})
		wait := b.nextPollAt - last
		if wait <= 0 || wait > pollBackoffMax {
			t.Fatalf("waits %d", wait)
		}
		b.tick(b.nextPollAt - 1)
		if len(rec.take("watch")) != 0 {
			t.Fatal("polled too early")
		}
		last = b.nextPollAt
		b.tick(last)
		if len(rec.take("watch")) != 1 {
			t.Fatal("not polled again")
		}
	}
	b.ListChanged(last, EndpointList{Kind: ListFull, Endpoints: fleet(1)})
	b.tick(last + 60*second)
	if len(rec.take("watch")) != 0 {
		t.Fatal("polled while watching")
	}
}

// However many gateways there are, the call after an open watch has ended begins within the half of a spread, and
// those while discovery is unreachable begin before the list is stale: waits grew with the fleet to 8 and 16 s, and the
// term for a change does not.
func TestPollsBeginWithinTheTermAtAnyFleetSize(t *testing.T) {
	for _, gateways := range []int{1, 3, 10, 30, 80, 200, 300, 900} {
		for seed := range uint64(20) {
			s := largeFleetSettings()
			s.Gateways, s.DrainGrace, s.PollDiscovery, s.WatchInterval = gateways, 2_500_000, true, 2*second
			b, _ := New(s, seed+1, &recorder{})
			b.Start(100 * second)
			now := 110 * second
			b.ListChanged(now, EndpointList{Kind: ListFull, Endpoints: fleet(2)})
			b.ListChanged(now+second, EndpointList{Kind: ListFailed})
			if begins := b.nextPollAt + tickInterval; begins > now+second+maxPollSpread/2+tickInterval || begins >= b.ListTrustedUntil() {
				t.Errorf("%d gateways: after an open watch has ended, polled after %d us", gateways, begins-now-second)
			}
			for range 8 {
				now = b.nextPollAt
				b.ListChanged(now, EndpointList{Kind: ListUnreachable})
				if begins := b.nextPollAt + tickInterval; begins >= b.ListTrustedUntil() {
					t.Errorf("%d gateways: while discovery is unreachable, polled after %d us", gateways, begins-now)
				}
			}
			for range 8 {
				now = b.nextPollAt
				b.ListChanged(now, EndpointList{Kind: ListFailed})
				if wait := b.nextPollAt - now; wait > maxPollSpread {
					t.Errorf("%d gateways: after calls that failed late, polled after %d us", gateways, wait)
				}
			}
		}
	}
}

// While discovery answers that it serves none, the list is used only for replicas that show themselves unchanged: that
// pass a health check, as one that declines work does not, over a connection that is older than the next process at
// their address could be before it is listed. (Incident 49: any passed health check and any first token would do, at
// any time.)
func TestDoubtfulListIsUsedOnlyForUnchangedReplicas(t *testing.T) {
	const old, fresh = minConfirmedConnAge, minConfirmedConnAge - 1
	for _, gateways := range []int{3, 80} {
		for name, c := range map[string]struct {
			check Outcome
			used  bool
		}{
			"passed over an old connection": {Outcome{Status: Served, ConnAge: old}, true},
			"passed over a new connection":  {Outcome{Status: Served, ConnAge: fresh}, false},
			"declined":                      {Outcome{Status: Errored, ConnAge: old}, false},
			"no answer":                     {Outcome{Status: TimedOut, ConnAge: old}, false},
		} {
			s := largeFleetSettings()
			s.Gateways, s.DrainGrace = gateways, 2_500_000
			b, rec := silence(t, s, 107*second, ListUnavailable)
			now := 100*second + s.ListTrust()
			if !b.ListUnconfirmed(now) || b.ListStale(now) {
				t.Fatalf("doubtful %t, stale %t", b.ListUnconfirmed(now), b.ListStale(now))
			}
			if to := placedWith(b, rec, now, 1, c.check); (to != 0) != c.used {
				t.Errorf("%d gateways, %s: sent to %d", gateways, name, to)
			}
			stale := 107*second + s.ListTrust()
			if to := placedWith(b, rec, stale, 2, c.check); to != 0 {
				t.Errorf("%d gateways, %s: sent to %d, %d us after the last call", gateways, name, to, stale-107*second)
			}
		}
	}
}

// placedWith returns where a request goes, 0 if nowhere, if all health checks before and for it end in one way.
func placedWith(b *Balancer, rec *recorder, now Micros, id RequestID, check Outcome) (to ReplicaID) {
	answer := func() {
		for _, endpoint := range b.Endpoints() {
			check.Replica = endpoint.Replica
			b.rowByID[endpoint.Replica].healthCheckedAt = now
			b.HealthCheckEnded(now, check)
		}
	}
	if !b.largeFleet() { // checked before they are needed
		answer()
	}
	rec.actions = nil
	b.RequestArrived(now, testRequest(id))
	answer()
	b.TimerFired(now+pollTimeout, timerToken(timerPoll, id))
	for _, a := range rec.actions {
		if a.kind == "dispatch" {
			to = a.to
		}
	}
	return to
}

// Guards against: an explained request gives no reason where a doubtful list kept a replica out.
func TestDoubtfulListIsGivenAsReason(t *testing.T) {
	s := largeFleetSettings()
	s.Gateways, s.DrainGrace = 3, 2_500_000
	b, rec := silence(t, s, 107*second, ListUnavailable)
	now := 100*second + s.ListTrust()
	rec.actions = nil
	b.requests[1] = b.newRequest(now, testRequest(1))
	if reason := b.ExclusionReason(now, 1, b.rows[0].id); !strings.Contains(reason, "doubtful") {
		t.Errorf("the reason is %q", reason)
	}
}
