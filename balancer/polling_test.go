package balancer

import (
	"slices"
	"testing"
)

// largeFleetSettings returns the settings of one of eighty gateways, which form a large fleet.
func largeFleetSettings() Settings {
	s := settings()
	s.Gateways, s.MayHealthCheck, s.InitialCapacity, s.OverloadMultiple, s.SlowStartFor, s.OverloadWindow = 80, true, 0.3, 3, 9*second, second*3/2
	return s
}

// healthChecked returns the replicas that were sent a health check, and clears all actions.
func healthChecked(rec *recorder) []ReplicaID {
	var out []ReplicaID
	for _, a := range rec.take("health check") {
		out = append(out, a.to)
	}
	return out
}

// reportInFlight returns a load report with a number of requests in flight.
func reportInFlight(inFlight float64) LoadReport {
	return LoadReport{Has: HasInFlight | HasMemory, InFlight: inFlight, MemoryShare: inFlight / 20}
}

// One of eighty gateways gets a report from a replica about once a minute in its own answers. So it
// polls the shortlist before it dispatches a request, and the least loaded of these replicas gets
// it. One of three gateways dispatches at once. Guards against dispatches on outdated reports.
func TestOneOfEightyPollsBeforeItSends(t *testing.T) {
	s := largeFleetSettings()
	b, rec := startBalancer(t, s, fleet(40)...)
	for i, row := range b.rows { // old reports of equal load
		b.HealthCheckEnded(100*second, Outcome{Replica: row.id, Status: Served, Report: reportInFlight(8)})
		row.lastUsedAt = Micros(i)
	}
	b.meanHeldTokens, b.meanLoad = 1200, 9600
	rec.actions = nil
	now := 110 * second
	b.RequestArrived(now, testRequest(1))
	if got := len(rec.actions); got == 0 || slices.ContainsFunc(rec.actions, func(a recordedAction) bool { return a.kind == "dispatch" }) {
		t.Fatalf("%d actions before the answers to polls, or a dispatch among them: %v", got, rec.actions)
	}
	for _, a := range rec.actions {
		if a.token >= 1<<63 {
			t.Errorf("timer token %d exceeds the limit of the simulator's protocol", a.token)
		}
	}
	polled := healthChecked(rec)
	if len(polled) != shortlistSize {
		t.Fatalf("polled %v, want %d replicas", polled, shortlistSize)
	}
	for i, id := range polled {
		inFlight := 20.0
		if i == 1 {
			inFlight = 5
		}
		b.HealthCheckEnded(now+5000, Outcome{Replica: id, Status: Served, Report: reportInFlight(inFlight)})
		sent := rec.take("dispatch")
		if last := i == len(polled)-1; last != (len(sent) == 1) || last && sent[0].to != polled[1] {
			t.Fatalf("after answer %d: dispatches %v, the least loaded is %d", i, sent, polled[1])
		}
	}
	// A poll without an answer delays a request by pollTimeout at most.
	b.RequestArrived(now+6000, testRequest(2))
	healthChecked(rec)
	b.RequestArrived(now+6000, testRequest(3))
	healthChecked(rec)
	for range 2 { // a second firing of the timer must not dispatch again
		for _, id := range []uint64{2, 3} {
			b.TimerFired(now+6000+pollTimeout, timerPoll|id<<timerBits)
			if req := b.requests[RequestID(id)]; req == nil || len(req.attempts) != 1 {
				t.Fatal("a request was not dispatched exactly once after pollTimeout")
			}
		}
	}
	s.Gateways = 3
	small, rec := startBalancer(t, s, fleet(14)...)
	if dispatched(small, rec, 110*second, testRequest(1)) == 0 {
		t.Fatal("one of three gateways did not dispatch at once")
	}
}

// Gateways without requests do not poll. Guards against eighty gateways that poll all replicas each
// second, which would be over three thousand health checks a second.
func TestEightyDoNotPollWhenIdle(t *testing.T) {
	b, rec := startBalancer(t, largeFleetSettings(), fleet(40)...)
	for i := range Micros(40) {
		b.tick(100*second + i*tickInterval)
	}
	if n := len(healthChecked(rec)); n != 0 {
		t.Fatalf("%d replicas polled without a request", n)
	}
}

// One of the three polled replicas is random. Otherwise a warming replica, which ranks last in every
// prediction, would never be polled.
func TestOneOfThePolledIsRandom(t *testing.T) {
	endpoints := fleet(40)
	endpoints[39].StartedAt = 95 * second
	drawn := 0
	for seed := range uint64(400) {
		rec := &recorder{}
		b, _ := New(largeFleetSettings(), seed, rec)
		b.Start(100 * second)
		b.ListChanged(100*second, EndpointList{Kind: ListFull, Endpoints: endpoints})
		b.meanHeldTokens, b.meanLoad = 1200, 9600
		b.RequestArrived(101*second, testRequest(1))
		if slices.Contains(healthChecked(rec), 40) {
			drawn++
		}
	}
	if drawn < 2 || drawn > 40 { // one in forty of the requests for which it is drawn
		t.Errorf("the warming replica was polled for %d of 400 requests", drawn)
	}
}

func (breakdownChecker) Admit(_ RequestID, own bool) bool { return own }

func (breakdownChecker) Retry(_ RequestID, own bool) bool { return own }

// A request waits for the answers to polls of its shortlist that earlier requests have sent. Guards against dispatches
// to a replica that has just died, on its last report.
func TestRequestJoinsAPollThatIsPending(t *testing.T) {
	s := largeFleetSettings()
	b, rec := startBalancer(t, s, fleet(40)...)
	for i, row := range b.rows { // old reports; the first replicas have the least load
		b.HealthCheckEnded(100*second, Outcome{Replica: row.id, Status: Served, Report: reportInFlight(float64(8 + 2*i))})
	}
	b.meanHeldTokens, b.meanLoad = 1200, 9600
	rec.actions = nil
	now := 110 * second
	b.RequestArrived(now, testRequest(1))
	polled := healthChecked(rec)
	for id := RequestID(2); id < 12; id++ {
		now += pollTimeout / 20
		rec.actions = nil
		b.RequestArrived(now, testRequest(id))
		for _, to := range healthChecked(rec) {
			b.HealthCheckEnded(now+1, Outcome{Replica: to, Status: Served, Report: reportInFlight(60)})
		}
		for _, sent := range rec.take("dispatch") {
			if slices.Contains(polled, sent.to) {
				t.Fatalf("request %d was dispatched to %d while a poll of it was pending, %d us old", id, sent.to, now-110*second)
			}
		}
	}
	for id := uint64(1); id < 12; id++ {
		b.TimerFired(now+pollTimeout, timerPoll|id<<timerBits)
		if req := b.requests[RequestID(id)]; req == nil || len(req.attempts) != 1 || slices.Contains(polled, req.attempts[0].row.id) {
			t.Fatalf("request %d was not dispatched once to a replica that answers: %+v", id, req)
		}
	}
}

// The warming replica for a request is drawn once, so that it is the one that was polled. Guards against dispatches to
// a replica of which there is no report since its start.
func TestWarmingReplicaOnOfferIsTheOnePolled(t *testing.T) {
	endpoints := fleet(40)
	for i := range 20 {
		endpoints[20+i].StartedAt = 95 * second
	}
	sentToWarming := 0
	for seed := range uint64(400) {
		rec := &recorder{}
		b, _ := New(largeFleetSettings(), seed, rec)
		b.Start(100 * second)
		b.ListChanged(100*second, EndpointList{Kind: ListFull, Endpoints: endpoints})
		b.meanHeldTokens, b.meanLoad = 1200, 9600
		now := 101 * second
		b.RequestArrived(now, testRequest(1))
		polled := healthChecked(rec)
		for _, id := range polled {
			b.HealthCheckEnded(now+1000, Outcome{Replica: id, Status: Served, Report: reportInFlight(12)})
		}
		for _, sent := range rec.take("dispatch") {
			if sent.to <= 20 {
				continue
			}
			sentToWarming++
			if !slices.Contains(polled, sent.to) {
				t.Errorf("seed %d: dispatched to the warming replica %d, polled were %v", seed, sent.to, polled)
			}
		}
	}
	if sentToWarming == 0 {
		t.Error("no request was dispatched to a warming replica")
	}
}
