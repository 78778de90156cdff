package balancer

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
)

// slowDiscovery serves calls one after another, each in callTime. Calls that take longer than two
// seconds fail, and occupy it all the same. Before reachableAt it is unreachable.
type slowDiscovery struct {
	reachableAt, callTime, freeAt Micros
}

// call returns when a call ends, and with what kind of list.
func (d *slowDiscovery) call(now Micros) (at Micros, kind ListKind) {
	if now < d.reachableAt {
		return now, ListUnreachable
	}
	d.freeAt = max(d.freeAt, now) + d.callTime
	if d.freeAt > now+2*second {
		return now + 2*second, ListFailed
	}
	return d.freeAt, ListFull
}

// Of gateways that start at the same time without a list, with a discovery that is slow or at
// first unreachable, nine in ten have the list within ten seconds.
func TestNineInTenAreReadyInTime(t *testing.T) {
	for _, c := range []struct {
		gateways         int
		outage, callTime Micros
	}{{3, 8 * second, second / 10}, {20, 6 * second, second / 10}, {30, 0, second / 5}, {80, 0, second / 10}, {300, 0, second / 40}, {300, 5 * second, second / 150}} {
		d := slowDiscovery{reachableAt: 100*second + c.outage, callTime: c.callTime}
		all := startAll(c.gateways, 100*second)
		notified := d.playUntilNotified(all, 100*second, 130*second)
		if len(notified) < c.gateways {
			t.Errorf("%+v: only %d have the list", c, len(notified))
			continue
		}
		nineInTenAfter := float64(notified[(c.gateways*9+9)/10-1]-100*second) / 1e6
		t.Logf("%+v: nine in ten after %.1f s, all after %.1f s", c, nineInTenAfter, float64(notified[len(notified)-1]-100*second)/1e6)
		if nineInTenAfter > 10 {
			t.Errorf("%+v: nine in ten are ready after %.1f s", c, nineInTenAfter)
		}
	}
}

// pollingGateway is a gateway with the state of its call to discovery.
type pollingGateway struct {
	b          *Balancer
	rec        *recorder
	callEndsAt Micros // when its call ends; 0: none is open
	kind       ListKind
	notified   bool
}

// startAll starts gateways at the same time without a list.
func startAll(gateways int, at Micros) (started []*pollingGateway) {
	for i := range gateways {
		s := largeFleetSettings()
		s.PollDiscovery, s.WatchInterval, s.Gateways, s.Self = true, 2*second, gateways, i
		g := &pollingGateway{rec: &recorder{}}
		g.b, _ = New(s, uint64(i+1), g.rec)
		g.b.Start(at)
		started = append(started, g)
	}
	return started
}

// playUntilNotified simulates gateways that poll, between two times, and returns the sorted times
// at which they received their first list.
func (d *slowDiscovery) playUntilNotified(all []*pollingGateway, from, to Micros) (notified []Micros) {
	for now := from; now < to && len(notified) < len(all); now += tickInterval / 5 {
		for i, g := range all {
			if g.callEndsAt > 0 && now >= g.callEndsAt {
				g.callEndsAt = 0
				g.b.ListChanged(now, EndpointList{Kind: g.kind, Endpoints: fleet(2)})
				if g.kind == ListFull && !g.notified {
					g.notified = true
					notified = append(notified, now)
				}
			}
			if now%tickInterval == Micros(i%5)*(tickInterval/5) {
				g.b.tick(now)
			}
			if polled := len(g.rec.take("watch")) > 0; polled && g.callEndsAt == 0 && !g.notified {
				g.callEndsAt, g.kind = d.call(now)
				g.callEndsAt = max(g.callEndsAt, now+1)
			}
		}
	}
	slices.Sort(notified)
	return notified
}

// After an outage of discovery of eight seconds a few gateways all have the list again well within
// maxNotificationDelay. Discovery is too slow to serve many gateways within that time, but all of
// them get the list in the end.
func TestListArrivesAfterDiscoveryOutage(t *testing.T) {
	for _, c := range []struct {
		gateways int
		callTime Micros
		within   Micros // time until all gateways have the list
	}{{3, second / 10, 2 * second}, {10, second / 10, 4 * second}, {30, second / 10, 12 * second}, {300, second / 40, 40 * second}} {
		t.Run(fmt.Sprint(c.gateways), func(t *testing.T) {
			const unreachableAt, reachableAt = 100 * second, 108 * second
			d := slowDiscovery{reachableAt: reachableAt, callTime: c.callTime}
			all := startAll(c.gateways, 90*second)
			for _, g := range all {
				g.b.ListChanged(90*second, EndpointList{Kind: ListFull, Endpoints: fleet(2)})
				g.b.ListChanged(unreachableAt, EndpointList{Kind: ListFailed}) // its watch was reset
				g.rec.actions = nil
			}
			after := d.playUntilNotified(all, unreachableAt, reachableAt+60*second)
			for i := range after {
				after[i] -= reachableAt
			}
			if len(after) < c.gateways || after[len(after)-1] > c.within {
				t.Fatalf("%d of %d gateways have the list, the last %.1f s after discovery was reachable", len(after), c.gateways, float64(after[max(0, len(after)-1)])/1e6)
			}
			t.Logf("list received after discovery was reachable: median %.2f s, 99th percentile %.2f s, maximum %.2f s", float64(after[len(after)/2])/1e6,
				float64(after[len(after)*99/100])/1e6, float64(after[len(after)-1])/1e6)
		})
	}
}

// balancerAfterFailedCalls returns a Balancer with a list of 100 s, whose calls to discovery have
// failed each second from 101 s to now.
func balancerAfterFailedCalls(t *testing.T, s Settings, now Micros, kind ListKind) (*Balancer, *recorder) {
	t.Helper()
	s.PollDiscovery, s.WatchInterval = true, 2*second
	b, rec := startBalancer(t, s, fleet(4)...)
	for at := 101 * second; at <= now; at += second {
		b.ListChanged(at, EndpointList{Kind: kind})
		b.tick(at)
	}
	return b, rec
}

// If calls to a reachable discovery fail, a replica may drain without this gateway having the
// change. Once the list is stale, after maxNotificationDelay and DrainGrace, no replica gets new
// work. A passed health check or a first token is no proof that a replica is not draining, so it
// does not extend this. While discovery is unreachable the list stays valid.
func TestStaleListIsNotUsed(t *testing.T) {
	const grace = 2_500_000
	for _, gateways := range []int{1, 3, 30, 80, 200, 900} {
		s := largeFleetSettings()
		s.Gateways, s.DrainGrace = gateways, grace
		last := 100*second + maxNotificationDelay + grace - writeDelay // the list is of 100 s
		b, rec := balancerAfterFailedCalls(t, s, 107*second, ListFailed)
		if to, _ := dispatchedIfChecksPass(b, rec, last-second, 1); to == 0 {
			t.Errorf("%d gateways: no dispatch before the list is stale", gateways)
		}
		b, rec = balancerAfterFailedCalls(t, s, 107*second, ListFailed)
		passHealthChecks(b, last-second)
		for id := range RequestID(12) {
			if to, shed := dispatchedIfChecksPass(b, rec, last, 10+id); to != 0 || !shed {
				t.Errorf("%d gateways: with a stale list dispatched to %d, shed %t", gateways, to, shed)
			}
		}
		b, rec = balancerAfterFailedCalls(t, s, 130*second, ListUnreachable)
		if to, _ := dispatchedIfChecksPass(b, rec, 130*second+1, 3); to == 0 {
			t.Errorf("%d gateways: no dispatch while discovery is unreachable", gateways)
		}
	}
}

// dispatchedIfChecksPass returns the replica to which a request is sent if all health checks for it
// pass, 0 if none, and whether the request is shed.
func dispatchedIfChecksPass(b *Balancer, rec *recorder, now Micros, id RequestID) (to ReplicaID, shed bool) {
	rec.actions = nil
	b.RequestArrived(now, testRequest(id))
	passHealthChecks(b, now)
	b.TimerFired(now+pollTimeout, timerToken(timerPoll, id))
	for _, a := range rec.actions {
		if a.kind == "dispatch" {
			to = a.to
		}
		shed = shed || a.kind == "shed"
	}
	return to, shed
}

// passHealthChecks plays passed health checks of all replicas, with load reports.
func passHealthChecks(b *Balancer, now Micros) {
	for _, endpoint := range b.Endpoints() {
		b.HealthCheckEnded(now, Outcome{Replica: endpoint.Replica, Status: Served, Report: reportInFlight(1)})
	}
}

// A list that becomes stale while a request is in flight is not used for its retries and hedges.
func TestStaleListIsNotUsedForRetriesAndHedges(t *testing.T) {
	s := largeFleetSettings()
	s.Gateways, s.DrainGrace, s.MayHedge = 3, 2_500_000, true
	b, rec := balancerAfterFailedCalls(t, s, 107*second, ListFailed)
	now := b.ListValidUntil() - 1
	first := dispatched(b, rec, now, testRequest(1))
	if first == 0 {
		t.Fatal("no dispatch before the list is stale")
	}
	b.TimerFired(now+2, timerToken(timerHedge, 1))
	b.AttemptEnded(now+3, Outcome{ID: 1, Replica: first, Status: ConnBroken})
	for _, a := range rec.actions[1:] {
		if a.kind == "dispatch" {
			t.Errorf("with a stale list a further attempt was dispatched to %d", a.to)
		}
	}
	if last := rec.actions[len(rec.actions)-1]; last.kind != "shed" {
		t.Errorf("the request ended with %q", last.kind)
	}
}

// Changes count as known as soon as an agent on this machine has them, so its list is valid for
// DrainGrace only, and no less than the time of a call to the agent. Guards against a bound that is longer than the
// grace of a deployment: its draining replicas got work up to the difference after it.
func TestTrustFollowsTheSettings(t *testing.T) {
	for _, c := range []struct {
		local           bool
		grace, validity Micros
	}{{false, 0, 6_000_000}, {false, 2_500_000, 8_200_000}, {true, 2_500_000, 2_200_000}, {true, 1_500_000, 1_200_000}, {true, 0, minLocalListValidity}} {
		s := Settings{LocalDiscovery: c.local, DrainGrace: c.grace}
		if got := s.ListValidity(); got != c.validity {
			t.Errorf("%+v: ListValidity is %d", c, got)
		}
	}
}

// A local agent is polled again after localPollBackoff, however many gateways there are. An
// operator's override is no answer of discovery: polling continues.
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
	if b.watching || b.nextPollAt == 0 || math.Abs(float64(b.listCurrentAt-100*second)) > 0 {
		t.Errorf("after an override: watching %t, next poll at %d", b.watching, b.nextPollAt)
	}
}

// A replica that is draining or removed gets no attempt after the change of the list.
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
				t.Fatalf("%+v: still dispatched to 1", change)
			}
		}
	}
}

// queuedDiscovery is a discovery that serves calls one after another, each in a tenth of a second.
// Calls that take longer than two seconds fail, and occupy it all the same.
type queuedDiscovery struct{ freeAt Micros }

func (q *queuedDiscovery) call(now Micros) (at Micros, ok bool) {
	q.freeAt = max(q.freeAt, now) + second/10
	return min(q.freeAt, now+2*second), q.freeAt <= now+2*second
}

// Eighty gateways that start at the same time all have the list within twelve seconds, from a
// discovery that serves ten calls a second, and at most eight calls fail. Without a spread
// of the calls most time out, and only one gateway in five gets the list.
func TestEightyGatewaysDoNotStallDiscovery(t *testing.T) {
	const gateways = 80
	var discovery queuedDiscovery
	type gateway struct {
		b          *Balancer
		rec        *recorder
		callEndsAt Micros // when its call ends; 0: none is open
		ok         bool
		notified   bool
	}
	var all []*gateway
	for i := range gateways {
		s := settings()
		s.PollDiscovery, s.Gateways, s.Self = true, gateways, i
		g := &gateway{rec: &recorder{}}
		g.b, _ = New(s, uint64(i+1), g.rec)
		g.b.Start(0)
		all = append(all, g)
	}
	failed := 0
	for now := Micros(0); now < 12*second; now += tickInterval {
		for _, g := range all {
			if g.callEndsAt > 0 && now >= g.callEndsAt {
				g.callEndsAt, g.notified = 0, g.ok
				kind := ListFull
				if !g.ok {
					kind = ListFailed
					failed++
				}
				g.b.ListChanged(now, EndpointList{Kind: kind, Endpoints: fleet(2)})
			}
			g.b.tick(now)
			if polled := len(g.rec.take("watch")) > 0; polled && g.callEndsAt == 0 && !g.notified {
				g.callEndsAt, g.ok = discovery.call(now)
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

// Discovery is polled again with backoff after failed calls, and not while a watch is open.
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
			t.Fatalf("backoff of %d us", wait)
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

// For any number of gateways, the next call after the end of an open watch begins within half of maxPollSpread, and
// calls while discovery is unreachable begin before the list is stale. Guards against a backoff that grows with the
// fleet, since maxNotificationDelay does not.
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
			if begins := b.nextPollAt + tickInterval; begins > now+second+maxPollSpread/2+tickInterval || begins >= b.ListValidUntil() {
				t.Errorf("%d gateways: after an open watch has ended, polled after %d us", gateways, begins-now-second)
			}
			for range 8 {
				now = b.nextPollAt
				b.ListChanged(now, EndpointList{Kind: ListUnreachable})
				if begins := b.nextPollAt + tickInterval; begins >= b.ListValidUntil() {
					t.Errorf("%d gateways: while discovery is unreachable, polled after %d us", gateways, begins-now)
				}
			}
			for range 8 {
				now = b.nextPollAt
				b.ListChanged(now, EndpointList{Kind: ListFailed})
				if wait := b.nextPollAt - now; wait > maxPollSpread {
					t.Errorf("%d gateways: after failed calls, polled after %d us", gateways, wait)
				}
			}
		}
	}
}

// While the list is unconfirmed, new attempts go only to replicas that pass a health check over a connection of at least
// minConfirmedConnAge. A draining replica declines health checks, and a younger connection may lead to a new process
// at the same address that is not listed yet.
func TestDoubtfulListIsUsedOnlyForUnchangedReplicas(t *testing.T) {
	const oldConn, youngConn = minConfirmedConnAge, minConfirmedConnAge - 1
	for _, gateways := range []int{3, 80} {
		for name, c := range map[string]struct {
			check   Outcome
			allowed bool
		}{
			"passed over an old connection": {Outcome{Status: Served, ConnAge: oldConn}, true},
			"passed over a new connection":  {Outcome{Status: Served, ConnAge: youngConn}, false},
			"declined":                      {Outcome{Status: Errored, ConnAge: oldConn}, false},
			"no answer":                     {Outcome{Status: TimedOut, ConnAge: oldConn}, false},
		} {
			s := largeFleetSettings()
			s.Gateways, s.DrainGrace = gateways, 2_500_000
			b, rec := balancerAfterFailedCalls(t, s, 107*second, ListUnavailable)
			now := 100*second + s.ListValidity()
			if !b.ListUnconfirmed(now) || b.ListStale(now) {
				t.Fatalf("list unconfirmed %t, stale %t", b.ListUnconfirmed(now), b.ListStale(now))
			}
			if to := dispatchedIfChecksEnd(b, rec, now, 1, c.check); (to != 0) != c.allowed {
				t.Errorf("%d gateways, %s: dispatched to %d", gateways, name, to)
			}
			stale := 107*second + s.ListValidity()
			if to := dispatchedIfChecksEnd(b, rec, stale, 2, c.check); to != 0 {
				t.Errorf("%d gateways, %s: dispatched to %d, %d us after the last call", gateways, name, to, stale-107*second)
			}
		}
	}
}

// dispatchedIfChecksEnd returns the replica to which a request is sent, 0 if none, if all health checks before and for
// it end with the outcome check.
func dispatchedIfChecksEnd(b *Balancer, rec *recorder, now Micros, id RequestID, check Outcome) (to ReplicaID) {
	answer := func() {
		for _, endpoint := range b.Endpoints() {
			check.Replica = endpoint.Replica
			b.rowByID[endpoint.Replica].healthCheckedAt = now
			b.HealthCheckEnded(now, check)
		}
	}
	if !b.largeFleet() { // replicas are checked before the request arrives
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

// ExclusionReason names the doubtful list if that excludes a replica.
func TestDoubtfulListIsGivenAsReason(t *testing.T) {
	s := largeFleetSettings()
	s.Gateways, s.DrainGrace = 3, 2_500_000
	b, rec := balancerAfterFailedCalls(t, s, 107*second, ListUnavailable)
	now := 100*second + s.ListValidity()
	rec.actions = nil
	b.requests[1] = b.newRequest(now, testRequest(1))
	if reason := b.ExclusionReason(now, 1, b.rows[0].id); !strings.Contains(reason, "doubtful") {
		t.Errorf("reason %q does not name the doubtful list", reason)
	}
}
