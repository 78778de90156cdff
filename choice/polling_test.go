package choice

import (
	"math"
	"slices"
	"testing"
)

// eighty are the settings of one of eighty gateways, as a large fleet's.
func eighty() Settings {
	s := settings()
	s.Gateways, s.MayProbe, s.StartCapacity, s.FallMultiple, s.ColdFor, s.FallSpan = 80, true, 0.3, 3, 9*sec, sec*3/2
	return s
}

// asked are the workers that were asked for a report.
func asked(rec *recorder) []ReplicaID {
	var out []ReplicaID
	for _, a := range rec.take("probe") {
		out = append(out, a.to)
	}
	return out
}

func load(inFlight float64) Report {
	return Report{Has: HasInFlight | HasMemory, InFlight: inFlight, MemoryShare: inFlight / 20}
}

// One of eighty gateways hears of a worker once in a minute. Before a request goes
// out, the likeliest workers are asked, and the least loaded of them gets it; three
// gateways send at once. Guards against requests placed without any view of the load.
func TestOneOfEightyAsksBeforeItSends(t *testing.T) {
	s := eighty()
	b, rec := start(t, s, fleet(40)...)
	for i, w := range b.rows { // told long ago, all alike
		b.ProbeEnded(100*sec, Outcome{Replica: w.id, Status: Served, Report: load(8)})
		w.usedAt = Micros(i)
	}
	b.meanHold, b.meanLoad = 1200, 9600
	rec.acts = nil
	now := 110 * sec
	b.RequestArrived(now, req(1))
	if got := len(rec.acts); got == 0 || slices.ContainsFunc(rec.acts, func(a action) bool { return a.what == "dispatch" }) {
		t.Fatalf("%d actions, a send among them: %v", got, rec.acts)
	}
	for _, a := range rec.acts {
		if a.token >= 1<<63 {
			t.Errorf("a timer's token %d, which the simulator's wire does not know", a.token)
		}
	}
	ask := asked(rec)
	if len(ask) != shortList {
		t.Fatalf("asked %v, want %d workers", ask, shortList)
	}
	for i, id := range ask {
		in := 20.0
		if i == 1 {
			in = 5
		}
		b.ProbeEnded(now+5000, Outcome{Replica: id, Status: Served, Report: load(in)})
		sent := rec.take("dispatch")
		if last := i == len(ask)-1; last != (len(sent) == 1) || last && sent[0].to != ask[1] {
			t.Fatalf("after answer %d: sent %v, the least loaded is %d", i, sent, ask[1])
		}
	}
	// What was told a moment ago is not asked again; what does not answer is not waited for.
	b.RequestArrived(now+6000, req(2))
	asked(rec)
	b.RequestArrived(now+6000, req(3))
	asked(rec)
	for range 2 { // the second time as one whose reports came: it gets no second copy
		for _, id := range []uint64{2, 3} {
			b.TimerFired(now+6000+askWait, timerAsked|id<<timerBits)
			if r := b.requests[RequestID(id)]; r == nil || len(r.attempts) != 1 {
				t.Fatal("a request waits for a report that does not come")
			}
		}
	}
	s.Gateways = 3
	few, rec := start(t, s, fleet(14)...)
	if dispatched(few, rec, 110*sec, req(1)) == 0 {
		t.Fatal("one of three gateways waits")
	}
}

// Gateways that have not had a request yet asked every worker each second: eighty
// did so three thousand times in the first second.
func TestEightyDoNotAskInIdleness(t *testing.T) {
	b, rec := start(t, eighty(), fleet(40)...)
	for i := range Micros(40) {
		b.tick(100*sec + i*tickEvery)
	}
	if n := len(asked(rec)); n != 0 {
		t.Fatalf("%d workers asked without a request", n)
	}
}

// Workers that are new are used by the fleet: each gateway's share of what they may
// get is a hundredth of a request, which came to none at all, while the warm ones
// bore everything. And they do not get more than the rule allows.
func TestColdWorkersAreUsedByEighty(t *testing.T) {
	const gateways, cold = 80, 24
	s := eighty()
	members := fleet(40)
	for i := range cold {
		members[i].Since = 100 * sec
	}
	sent, perSpan := map[ReplicaID]int{}, map[[2]int64]int{}
	id := RequestID(0)
	total := 0
	for self := range gateways {
		s.Self = self
		rec := &recorder{}
		b, _ := New(s, uint64(self+1), rec)
		b.Start(100 * sec)
		b.ListChanged(100*sec, ServerList{Kind: ListFull, Members: members})
		b.meanHold, b.meanLoad, b.meanCharge = 1200, 9600, 5000
		b.sendRate, b.meanWork = 0.8, 5000
		// 0.8 requests a second, nine seconds; whatever is asked answers as loaded as all.
		for now := 100*sec + Micros(self)*15_000; now < 109*sec; now += sec * 5 / 4 {
			id++
			rec.acts = nil
			r := req(id)
			r.Session, r.Prefix, r.PrefixTokens = uint64(id)*7919, uint64(id%50+1), 500
			b.RequestArrived(now, r)
			for _, w := range asked(&recorder{acts: slices.Clone(rec.acts)}) {
				b.ProbeEnded(now+2000, Outcome{Replica: w, Status: Served, Report: load(8 * b.warmth(now, b.byID[w]))})
			}
			for _, a := range slices.Clone(rec.acts) {
				if a.what == "dispatch" {
					total++
					sent[a.to]++
					perSpan[[2]int64{int64(a.to), (now - 100*sec) / s.FallSpan}]++
					b.FirstToken(now+sec/2, Outcome{ID: id, Replica: a.to, Elapsed: sec / 2})
					b.AttemptEnded(now+sec, Outcome{ID: id, Replica: a.to, Elapsed: sec, Status: Served, Final: true, Tokens: 50})
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
		warm := min(1, s.StartCapacity+(1-s.StartCapacity)*(float64(k[1])+0.5)*1.5/9)
		if most := s.FallMultiple * warm * mean / 0.6; float64(n) > most+3 { // the fleet is 60% busy; 3 for chance
			t.Errorf("worker %d: %d requests in span %d, at most %.1f may go", k[0], n, k[1], most)
		}
	}
}

// A worker that errs at once looks idle. One of eighty gateways meets it seldom: it
// must not be drawn by the idleness, nor come again half a second after the error.
func TestEightyAreNotDrawnByQuickErrors(t *testing.T) {
	b, rec := start(t, eighty(), fleet(40)...)
	b.meanHold, b.meanLoad = 1200, 9600
	now := 110 * sec
	for _, w := range b.rows {
		n := 8.0
		if w.id == 1 {
			n = 0
		}
		b.ProbeEnded(now, Outcome{Replica: w.id, Status: Served, Report: load(n)})
	}
	b.meanLoad = 9600
	r := &request{Request: req(1), terms: b.terms[0], tenant: -1, avoidZone: -1, arrived: now - sec, deadline: now + 3*sec}
	b.pick(now, r)
	if c := b.short[0]; c.row.id == 1 && c.score < 0.6*b.short[1].score {
		t.Errorf("the idle one scores %.0f, the next %.0f", c.score, b.short[1].score)
	}
	rec.acts = nil
	b.failed(now, b.byID[1], Errored)
	if rest := b.byID[1].retryAt - now; rest < 3*sec || rest > backoffMost*5/4 {
		t.Errorf("rests for %d us", rest)
	}
}

// Of the three that are asked one is drawn by chance: a worker that is new is behind
// all others in any reckoning, and no gateway would ever hear that it is idle.
func TestOneOfTheAskedIsDrawn(t *testing.T) {
	members := fleet(40)
	members[39].Since = 95 * sec
	drawn := 0
	for seed := range uint64(400) {
		rec := &recorder{}
		b, _ := New(eighty(), seed, rec)
		b.Start(100 * sec)
		b.ListChanged(100*sec, ServerList{Kind: ListFull, Members: members})
		b.meanHold, b.meanLoad = 1200, 9600
		b.RequestArrived(101*sec, req(1))
		if slices.Contains(asked(rec), 40) {
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
			s := eighty()
			s.Self = self
			b, rec := start(t, s, fleet(40)...)
			b.meanHold, b.meanLoad = 1200, 9600
			in := req(1)
			in.Session, in.Prefix, in.PrefixTokens, in.PromptTokens = 1000+session, 7, 500, 6000
			now := 101 * sec
			b.RequestArrived(now, in)
			home, second, _, _ := b.holders(b.requests[1])
			for _, id := range asked(rec) {
				n := 4.0
				if id == home.id {
					n = 60
				}
				b.ProbeEnded(now+2000, Outcome{Replica: id, Status: Served, Report: load(n)})
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
		s := eighty()
		s.Self = self
		b, _ := start(t, s, fleet(40)...)
		for i := range 1 + self%12 { // what it has seen so far
			b.notePrefix(&request{Request: Request{Prefix: uint64(100 + (self*7+i*3)%25)}})
		}
		all = append(all, b)
	}
	agreed, n := 0, 0
	for session := range uint64(60) {
		count := map[ReplicaID]int{}
		for _, b := range all {
			in := req(1)
			in.Session, in.Prefix, in.PrefixTokens = 1000+session, 100+session%25, 800
			r := &request{Request: in, terms: b.terms[0]}
			home, _, _, _ := b.holders(r)
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

// adds is a judge that checks that a pick's terms make up its scores.
type adds struct {
	t *testing.T
	n int
}

func (adds) Admit(_ RequestID, own bool) bool { return own }
func (adds) Again(_ RequestID, own bool) bool { return own }
func (j *adds) Pick(_ RequestID, own ReplicaID, any bool, weighed []Terms) (ReplicaID, bool) {
	for _, w := range weighed {
		held := (1-w.Fresh)*(w.Peers+w.Charge) + w.Fresh*(w.Reported+w.Unseen) + w.Noise
		score := (w.Slow*(held+w.Hold) + w.Read*(w.Prompt-w.Kept)) * w.Guard
		if math.Abs(score-w.Score) > 1e-9*w.Score {
			j.t.Errorf("worker %d: terms make %.1f, its score is %.1f", w.Worker, score, w.Score)
		}
		j.n++
	}
	return own, any
}

// What replay explains is what was weighed, also where a report is not believed.
func TestTermsMakeUpTheScore(t *testing.T) {
	b, _ := start(t, eighty(), fleet(40)...)
	j := &adds{t: t}
	b.SetJudge(j)
	b.meanHold, b.meanLoad = 1200, 9600
	for _, w := range b.rows { // a third of them idle
		b.ProbeEnded(110*sec, Outcome{Replica: w.id, Status: Served, Report: load(float64(w.id % 3 * 6))})
	}
	b.meanLoad = 9600
	b.RequestArrived(110*sec, req(1))
	if j.n != 40 {
		t.Errorf("%d workers were weighed", j.n)
	}
}
