package balancer

import (
	"slices"
	"testing"
)

// largeFleetSettings are the settings of one of the eighty gateways of a large fleet.
func largeFleetSettings() Settings {
	s := settings()
	s.Gateways, s.MayHealthCheck, s.InitialCapacity, s.OverloadMultiple, s.SlowStartFor, s.OverloadWindow = 80, true, 0.3, 3, 9*second, second*3/2
	return s
}

// healthChecked lists the replicas that were sent a health check.
func healthChecked(rec *recorder) []ReplicaID {
	var out []ReplicaID
	for _, a := range rec.take("health check") {
		out = append(out, a.to)
	}
	return out
}

// reportInFlight is a report of so many requests in flight.
func reportInFlight(inFlight float64) LoadReport {
	return LoadReport{Has: HasInFlight | HasMemory, InFlight: inFlight, MemoryShare: inFlight / 20}
}

// One of eighty gateways hears of a replica once in a minute. Before a request is dispatched, the
// likeliest replicas are polled, and the least loaded of them gets it; one of three gateways
// dispatches at once. Guards against requests placed without any view of the load.
func TestOneOfEightyPollsBeforeItSends(t *testing.T) {
	s := largeFleetSettings()
	b, rec := startBalancer(t, s, fleet(40)...)
	for i, row := range b.rows { // reported long ago, all alike
		b.HealthCheckEnded(100*second, Outcome{Replica: row.id, Status: Served, Report: reportInFlight(8)})
		row.lastUsedAt = Micros(i)
	}
	b.meanHeldTokens, b.meanLoad = 1200, 9600
	rec.actions = nil
	now := 110 * second
	b.RequestArrived(now, testRequest(1))
	if got := len(rec.actions); got == 0 || slices.ContainsFunc(rec.actions, func(a recordedAction) bool { return a.kind == "dispatch" }) {
		t.Fatalf("%d actions, a send among them: %v", got, rec.actions)
	}
	for _, a := range rec.actions {
		if a.token >= 1<<63 {
			t.Errorf("a timer's token %d, which the simulator's wire does not know", a.token)
		}
	}
	polled := healthChecked(rec)
	if len(polled) != shortlistSize {
		t.Fatalf("polled %v, want %d replicas", polled, shortlistSize)
	}
	for i, id := range polled {
		in := 20.0
		if i == 1 {
			in = 5
		}
		b.HealthCheckEnded(now+5000, Outcome{Replica: id, Status: Served, Report: reportInFlight(in)})
		sent := rec.take("dispatch")
		if last := i == len(polled)-1; last != (len(sent) == 1) || last && sent[0].to != polled[1] {
			t.Fatalf("after answer %d: sent %v, the least loaded is %d", i, sent, polled[1])
		}
	}
	// A fresh report is not polled again; one that does not come is not waited for.
	b.RequestArrived(now+6000, testRequest(2))
	healthChecked(rec)
	b.RequestArrived(now+6000, testRequest(3))
	healthChecked(rec)
	for range 2 { // the second time as one whose reports came: it gets no hedge
		for _, id := range []uint64{2, 3} {
			b.TimerFired(now+6000+pollTimeout, timerPoll|id<<timerBits)
			if req := b.requests[RequestID(id)]; req == nil || len(req.attempts) != 1 {
				t.Fatal("a request waits for a report that does not come")
			}
		}
	}
	s.Gateways = 3
	few, rec := startBalancer(t, s, fleet(14)...)
	if dispatched(few, rec, 110*second, testRequest(1)) == 0 {
		t.Fatal("one of three gateways waits")
	}
}

// Gateways that have not had a request yet do not poll. Seen: eighty polled every replica each
// second, three thousand times in the first second.
func TestEightyDoNotPollWhenIdle(t *testing.T) {
	b, rec := startBalancer(t, largeFleetSettings(), fleet(40)...)
	for i := range Micros(40) {
		b.tick(100*second + i*tickInterval)
	}
	if n := len(healthChecked(rec)); n != 0 {
		t.Fatalf("%d replicas polled without a request", n)
	}
}

// Of the three that are polled one is random: a warming replica is behind all others in any
// prediction, and no gateway would ever hear that it is idle.
func TestOneOfThePolledIsRandom(t *testing.T) {
	endpoints := fleet(40)
	endpoints[39].StartedAt = 95 * second
	random := 0
	for seed := range uint64(400) {
		rec := &recorder{}
		b, _ := New(largeFleetSettings(), seed, rec)
		b.Start(100 * second)
		b.ListChanged(100*second, EndpointList{Kind: ListFull, Endpoints: endpoints})
		b.meanHeldTokens, b.meanLoad = 1200, 9600
		b.RequestArrived(101*second, testRequest(1))
		if slices.Contains(healthChecked(rec), 40) {
			random++
		}
	}
	if random < 2 || random > 40 { // one in forty, of the times in which it is offered
		t.Errorf("a warming replica was polled by %d of 400", random)
	}
}

func (breakdownChecker) Admit(_ RequestID, own bool) bool { return own }

func (breakdownChecker) Retry(_ RequestID, own bool) bool { return own }

// A request whose best replica was polled by another request just before waits for that answer too. Guards against
// requests sent to a replica that has just died, on a report from before.
func TestRequestJoinsAPollThatIsPending(t *testing.T) {
	s := largeFleetSettings()
	b, rec := startBalancer(t, s, fleet(40)...)
	for i, row := range b.rows { // the first ones are idle, and their reports are old
		b.HealthCheckEnded(100*second, Outcome{Replica: row.id, Status: Served, Report: reportInFlight(float64(8 + 2*i))})
	}
	b.meanHeldTokens, b.meanLoad = 1200, 9600
	rec.actions = nil
	now := 110 * second
	b.RequestArrived(now, testRequest(1))
	silent := healthChecked(rec)
	for id := RequestID(2); id < 12; id++ {
		now += pollTimeout / 20
		rec.actions = nil
		b.RequestArrived(now, testRequest(id))
		for _, to := range healthChecked(rec) {
			b.HealthCheckEnded(now+1, Outcome{Replica: to, Status: Served, Report: reportInFlight(60)})
		}
		for _, sent := range rec.take("dispatch") {
			if slices.Contains(silent, sent.to) {
				t.Fatalf("request %d was sent to %d while a poll of it was pending, %d us old", id, sent.to, now-110*second)
			}
		}
	}
	for id := uint64(1); id < 12; id++ {
		b.TimerFired(now+pollTimeout, timerPoll|id<<timerBits)
		if req := b.requests[RequestID(id)]; req == nil || len(req.attempts) != 1 || slices.Contains(silent, req.attempts[0].row.id) {
			t.Fatalf("request %d is not sent to a replica that answers: %+v", id, req)
		}
	}
}

// The warming replica that a request may go to is drawn once an attempt: it is the one that was polled. Guards against
// requests sent to a replica that nothing has been heard of since it started.
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
				t.Errorf("seed %d: sent to the warming replica %d, polled were %v", seed, sent.to, polled)
			}
		}
	}
	if sentToWarming == 0 {
		t.Error("no warming replica got anything")
	}
}
