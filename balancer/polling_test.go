package balancer

import (
	"math"
	"slices"
	"testing"
)

// eightyGateways are the settings of one of eighty gateways, as a large fleet's.
func eightyGateways() Settings {
	s := settings()
	s.Gateways, s.MayHealthCheck, s.InitialCapacity, s.OverloadMultiple, s.SlowStartFor, s.OverloadWindow = 80, true, 0.3, 3, 9*second, second*3/2
	return s
}

// healthChecked are the workers that were asked for a report.
func healthChecked(rec *recorder) []ReplicaID {
	var out []ReplicaID
	for _, a := range rec.take("probe") {
		out = append(out, a.to)
	}
	return out
}

func reportInFlight(inFlight float64) LoadReport {
	return LoadReport{Has: HasInFlight | HasMemory, InFlight: inFlight, MemoryShare: inFlight / 20}
}

// One of eighty gateways hears of a worker once in a minute. Before a request goes
// out, the likeliest workers are asked, and the least loaded of them gets it; three
// gateways send at once. Guards against requests placed without any view of the load.
func TestOneOfEightyPollsBeforeItSends(t *testing.T) {
	s := eightyGateways()
	b, rec := startBalancer(t, s, fleet(40)...)
	for i, row := range b.rows { // told long ago, all alike
		b.HealthCheckEnded(100*second, Outcome{Replica: row.id, Status: Served, Report: reportInFlight(8)})
		row.lastUsedAt = Micros(i)
	}
	b.meanHeldTokens, b.meanLoad = 1200, 9600
	rec.acts = nil
	now := 110 * second
	b.RequestArrived(now, testRequest(1))
	if got := len(rec.acts); got == 0 || slices.ContainsFunc(rec.acts, func(a recordedAction) bool { return a.what == "dispatch" }) {
		t.Fatalf("%d actions, a send among them: %v", got, rec.acts)
	}
	for _, a := range rec.acts {
		if a.token >= 1<<63 {
			t.Errorf("a timer's token %d, which the simulator's wire does not know", a.token)
		}
	}
	ask := healthChecked(rec)
	if len(ask) != shortlistSize {
		t.Fatalf("asked %v, want %d workers", ask, shortlistSize)
	}
	for i, id := range ask {
		in := 20.0
		if i == 1 {
			in = 5
		}
		b.HealthCheckEnded(now+5000, Outcome{Replica: id, Status: Served, Report: reportInFlight(in)})
		sent := rec.take("dispatch")
		if last := i == len(ask)-1; last != (len(sent) == 1) || last && sent[0].to != ask[1] {
			t.Fatalf("after answer %d: sent %v, the least loaded is %d", i, sent, ask[1])
		}
	}
	// What was told a moment ago is not asked again; what does not answer is not waited for.
	b.RequestArrived(now+6000, testRequest(2))
	healthChecked(rec)
	b.RequestArrived(now+6000, testRequest(3))
	healthChecked(rec)
	for range 2 { // the second time as one whose reports came: it gets no second copy
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

// Gateways that have not had a request yet asked every worker each second: eighty
// did so three thousand times in the first second.
func TestEightyDoNotPollWhenIdle(t *testing.T) {
	b, rec := startBalancer(t, eightyGateways(), fleet(40)...)
	for i := range Micros(40) {
		b.tick(100*second + i*tickEvery)
	}
	if n := len(healthChecked(rec)); n != 0 {
		t.Fatalf("%d workers asked without a request", n)
	}
}

// Workers that are new are used by the fleet: each gateway's share of what they may
// get is a hundredth of a request, which came to none at all, while the warm ones
// bore everything. And they do not get more than the rule allows.
func TestWarmingReplicasAreUsedByEighty(t *testing.T) {
	const gateways, cold = 80, 24
	s := eightyGateways()
	members := fleet(40)
	for i := range cold {
		members[i].StartedAt = 100 * second
	}
	sent, perSpan := map[ReplicaID]int{}, map[[2]int64]int{}
	id := RequestID(0)
	total := 0
	for self := range gateways {
		s.Self = self
		rec := &recorder{}
		b, _ := New(s, uint64(self+1), rec)
		b.Start(100 * second)
		b.ListChanged(100*second, EndpointList{Kind: ListFull, Endpoints: members})
		b.meanHeldTokens, b.meanLoad, b.meanCharge = 1200, 9600, 5000
		b.dispatchRate, b.meanWork = 0.8, 5000
		// 0.8 requests a second, nine seconds; whatever is asked answers as loaded as all.
		for now := 100*second + Micros(self)*15_000; now < 109*second; now += second * 5 / 4 {
			id++
			rec.acts = nil
			r := testRequest(id)
			r.Session, r.Prefix, r.PrefixTokens = uint64(id)*7919, uint64(id%50+1), 500
			b.RequestArrived(now, r)
			for _, w := range healthChecked(&recorder{acts: slices.Clone(rec.acts)}) {
				b.HealthCheckEnded(now+2000, Outcome{Replica: w, Status: Served, Report: reportInFlight(8 * b.warmCapacity(now, b.rowByID[w]))})
			}
			for _, a := range slices.Clone(rec.acts) {
				if a.what == "dispatch" {
					total++
					sent[a.to]++
					perSpan[[2]int64{int64(a.to), (now - 100*second) / s.OverloadWindow}]++
					b.FirstToken(now+second/2, Outcome{ID: id, Replica: a.to, Elapsed: second / 2})
					b.AttemptEnded(now+second, Outcome{ID: id, Replica: a.to, Elapsed: second, Status: Served, Final: true, OutputTokens: 50})
				}
			}
		}
	}
	toCold := 0
	for w, n := range sent {
		if w <= cold {
			toCold += n
		}
	}
	if share := float64(toCold) / float64(total); share < 0.08 {
		t.Errorf("%.0f%% of %d requests went to 24 of 40 workers, which are %.0f%% warm on average", 100*share, total, 65.0)
	}
	mean := float64(total) / 40 / 6 // a warm worker's in a span
	for k, n := range perSpan {
		if k[0] > cold {
			continue
		}
		warm := min(1, s.InitialCapacity+(1-s.InitialCapacity)*(float64(k[1])+0.5)*1.5/9)
		if most := s.OverloadMultiple * warm * mean / 0.6; float64(n) > most+3 { // the fleet is 60% busy; 3 for chance
			t.Errorf("worker %d: %d requests in span %d, at most %.1f may go", k[0], n, k[1], most)
		}
	}
}

// A worker that errs at once looks idle. One of eighty gateways meets it seldom: it
// must not be drawn by the idleness, nor come again half a second after the error.
func TestQuickErrorsDoNotAttractEighty(t *testing.T) {
	b, rec := startBalancer(t, eightyGateways(), fleet(40)...)
	b.meanHeldTokens, b.meanLoad = 1200, 9600
	now := 110 * second
	for _, row := range b.rows {
		n := 8.0
		if row.id == 1 {
			n = 0
		}
		b.HealthCheckEnded(now, Outcome{Replica: row.id, Status: Served, Report: reportInFlight(n)})
	}
	b.meanLoad = 9600
	req := &request{Request: testRequest(1), policy: b.policies[0], tenantIndex: -1, avoidZone: -1, arrivedAt: now - second, deadline: now + 3*second}
	b.pick(now, req)
	if next := b.shortlist[0]; next.row.id == 1 && next.score < 0.6*b.shortlist[1].score {
		t.Errorf("the idle one scores %.0f, the next %.0f", next.score, b.shortlist[1].score)
	}
	rec.acts = nil
	b.recordFailure(now, b.rowByID[1], Errored)
	if rest := b.rowByID[1].backoffUntil - now; rest < 3*second || rest > backoffMax*5/4 {
		t.Errorf("rests for %d us", rest)
	}
}

// Of the three that are asked one is drawn by chance: a worker that is new is behind
// all others in any reckoning, and no gateway would ever hear that it is idle.
func TestOneOfThePolledIsRandom(t *testing.T) {
	members := fleet(40)
	members[39].StartedAt = 95 * second
	drawn := 0
	for seed := range uint64(400) {
		rec := &recorder{}
		b, _ := New(eightyGateways(), seed, rec)
		b.Start(100 * second)
		b.ListChanged(100*second, EndpointList{Kind: ListFull, Endpoints: members})
		b.meanHeldTokens, b.meanLoad = 1200, 9600
		b.RequestArrived(101*second, testRequest(1))
		if slices.Contains(healthChecked(rec), 40) {
			drawn++
		}
	}
	if drawn < 2 || drawn > 40 { // one in forty, of the spans in which it is open
		t.Errorf("a cold worker was asked by %d of 400", drawn)
	}
}

// A session whose home is full goes to the same second one from all gateways.
func TestEightyAgreeOnTheSecondHome(t *testing.T) {
	agreed := 0
	for session := range uint64(50) {
		var first ReplicaID
		for self := range 2 {
			s := eightyGateways()
			s.Self = self
			b, rec := startBalancer(t, s, fleet(40)...)
			b.meanHeldTokens, b.meanLoad = 1200, 9600
			in := testRequest(1)
			in.Session, in.Prefix, in.PrefixTokens, in.PromptTokens = 1000+session, 7, 500, 6000
			now := 101 * second
			b.RequestArrived(now, in)
			home, second := homesOf(b, b.requests[1])
			for _, id := range healthChecked(rec) {
				n := 4.0
				if id == home.id {
					n = 60
				}
				b.HealthCheckEnded(now+2000, Outcome{Replica: id, Status: Served, Report: reportInFlight(n)})
			}
			to := b.requests[1].attempts[0].row.id
			if to == home.id {
				t.Fatalf("sent to the full home")
			}
			if self == 0 {
				first = to
			} else if to == first && to == second.id {
				agreed++
			}
		}
	}
	if agreed < 40 {
		t.Errorf("%d of 50 sessions went to one second home", agreed)
	}
}

// Eighty gateways, each with a few sights of its own, agree on where a session's
// prompt is kept: with a share counted from so few, homes were anywhere.
func TestEightyAgreeOnHomes(t *testing.T) {
	var all []*Balancer
	for self := range 40 {
		s := eightyGateways()
		s.Self = self
		b, _ := startBalancer(t, s, fleet(40)...)
		for i := range 1 + self%12 { // what it has seen so far
			b.countPrefix(&request{Request: Request{Prefix: uint64(100 + (self*7+i*3)%25)}})
		}
		all = append(all, b)
	}
	agreed, n := 0, 0
	for session := range uint64(60) {
		count := map[ReplicaID]int{}
		for _, b := range all {
			in := testRequest(1)
			in.Session, in.Prefix, in.PrefixTokens = 1000+session, 100+session%25, 800
			req := &request{Request: in, policy: b.policies[0]}
			home, _ := homesOf(b, req)
			count[home.id]++
			n++
		}
		most := 0
		for _, c := range count {
			most = max(most, c)
		}
		agreed += most
	}
	if share := float64(agreed) / float64(n); share < 0.7 {
		t.Errorf("%.0f%% of gateways agree on a session's home", 100*share)
	}
}

// breakdownChecker is a judge that checks that a pick's terms make up its scores.
type breakdownChecker struct {
	t *testing.T
	n int
}

func (breakdownChecker) Admit(_ RequestID, own bool) bool { return own }
func (breakdownChecker) Retry(_ RequestID, own bool) bool { return own }
func (j *breakdownChecker) Pick(_ RequestID, own ReplicaID, any bool, weighed []ScoreBreakdown) (ReplicaID, bool) {
	for _, w := range weighed {
		held := (1-w.ReportWeight)*(w.PeerLoad+w.LedgerLoad) + w.ReportWeight*(w.Reported+w.Unreported) + w.Noise
		score := (w.Slowness*(held+w.RequestTokens) + w.PrefillCost*(w.PromptTokens-w.CachedTokens)) * w.Penalty
		if math.Abs(score-w.Score) > 1e-9*w.Score {
			j.t.Errorf("worker %d: terms make %.1f, its score is %.1f", w.Replica, score, w.Score)
		}
		j.n++
	}
	return own, any
}

// What replay explains is what was weighed, also where a report is not believed.
func TestBreakdownAddsUpToTheScore(t *testing.T) {
	b, _ := startBalancer(t, eightyGateways(), fleet(40)...)
	j := &breakdownChecker{t: t}
	b.SetInterceptor(j)
	b.meanHeldTokens, b.meanLoad = 1200, 9600
	for _, row := range b.rows { // a third of them idle
		b.HealthCheckEnded(110*second, Outcome{Replica: row.id, Status: Served, Report: reportInFlight(float64(row.id % 3 * 6))})
	}
	b.meanLoad = 9600
	b.RequestArrived(110*second, testRequest(1))
	if j.n != 40 {
		t.Errorf("%d workers were weighed", j.n)
	}
}
