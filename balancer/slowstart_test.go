package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// Warming replicas are used by the fleet, and get no more than rule 4 allows. Seen: each gateway's
// share of what they may get is a hundredth of a request, which came to none at all, while the
// warm ones bore everything.
func TestWarmingReplicasAreUsedByEighty(t *testing.T) {
	const gateways, warming = 80, 24
	s := largeFleetSettings()
	endpoints := fleet(40)
	for i := range warming {
		endpoints[i].StartedAt = 100 * second
	}
	sent, perWindow := map[ReplicaID]int{}, map[[2]int64]int{}
	id := RequestID(0)
	total := 0
	for self := range gateways {
		s.Self = self
		rec := &recorder{}
		b, _ := New(s, uint64(self+1), rec)
		b.Start(100 * second)
		b.ListChanged(100*second, EndpointList{Kind: ListFull, Endpoints: endpoints})
		b.meanHeldTokens, b.meanLoad, b.meanCharge = 1200, 9600, 5000
		b.dispatchRate, b.meanWork = 0.8, 5000
		// 0.8 requests a second, nine seconds; whatever is polled reports the same load.
		for now := 100*second + Micros(self)*15_000; now < 109*second; now += second * 5 / 4 {
			id++
			rec.actions = nil
			r := testRequest(id)
			r.Session, r.Prefix, r.PrefixTokens = uint64(id)*7919, uint64(id%50+1), 500
			b.RequestArrived(now, r)
			for _, w := range healthChecked(&recorder{actions: slices.Clone(rec.actions)}) {
				b.HealthCheckEnded(now+2000, Outcome{Replica: w, Status: Served, Report: reportInFlight(8 * b.warmCapacity(now, b.rowByID[w]))})
			}
			for _, a := range slices.Clone(rec.actions) {
				if a.kind == "dispatch" {
					total++
					sent[a.to]++
					perWindow[[2]int64{int64(a.to), (now - 100*second) / s.OverloadWindow}]++
					b.FirstToken(now+second/2, Outcome{ID: id, Replica: a.to, Elapsed: second / 2})
					b.AttemptEnded(now+second, Outcome{ID: id, Replica: a.to, Elapsed: second, Status: Served, Final: true, OutputTokens: 50})
				}
			}
		}
	}
	toWarming := 0
	for w, n := range sent {
		if w <= warming {
			toWarming += n
		}
	}
	if share := float64(toWarming) / float64(total); share < 0.08 {
		t.Errorf("%.0f%% of %d requests went to 24 of 40 replicas, which are %.0f%% warm on average", 100*share, total, 65.0)
	}
	mean := float64(total) / 40 / 6 // a warm replica's in a window
	for k, n := range perWindow {
		if k[0] > warming {
			continue
		}
		warm := min(1, s.InitialCapacity+(1-s.InitialCapacity)*(float64(k[1])+0.5)*1.5/9)
		if most := s.OverloadMultiple * warm * mean / 0.6; float64(n) > most+3 { // the fleet is 60% busy; 3 for chance
			t.Errorf("replica %d: %d requests in window %d, at most %.1f may go", k[0], n, k[1], most)
		}
	}
}

// Rule 4: all gateways together stay under the multiple of what a warming replica can do, in any
// window, though each one's share is far under one request and the warming one looks empty.
// Guards against shares saved up and spent at once.
func TestSlowStartShareOfManyGateways(t *testing.T) {
	const gateways, perGateway = 50, 5.0 // requests a second at each
	s := settings()
	s.Gateways = gateways
	endpoints := fleet(80)
	var nodes []*Balancer
	var recs []*recorder
	for self := range gateways {
		s.Self = self
		rec := &recorder{}
		b, err := New(s, uint64(self+1), rec)
		if err != nil {
			t.Fatal(err)
		}
		b.ListChanged(0, EndpointList{Kind: ListFull, Endpoints: endpoints})
		b.dispatchRate, b.meanCharge, b.meanWork = perGateway, 5100, 5100
		nodes, recs = append(nodes, b), append(recs, rec)
	}
	begin := 100 * second
	for _, b := range nodes {
		b.ListChanged(begin, EndpointList{Kind: ListDelta, Endpoints: []Endpoint{
			{Replica: 1, Kind: "k", Zone: "a", StartedAt: begin}}})
	}
	// The first seconds send nothing there: shares that could be saved up.
	capacity := gateways * perGateway / 80 / 0.6 // requests a second of one warm replica, fleet 60% busy
	sent := 0
	for i, b := range nodes {
		for k := range 10 {
			now := begin + 8*second + int64(k)*s.OverloadWindow/10
			r := testRequest(RequestID(k + 1))
			for _, row := range b.rows[1:] { // everything else looks full
				row.charge, row.unreported = 1e9, 1e9
			}
			if dispatched(b, recs[i], now, r) == 1 {
				sent++
			}
		}
	}
	warm := s.InitialCapacity + (1-s.InitialCapacity)*8/24
	most := s.OverloadMultiple * warm * capacity * float64(s.OverloadWindow) / 1e6
	if float64(sent) > most {
		t.Fatalf("%d requests in a span, at most %.1f may go", sent, most)
	}
	if sent == 0 {
		t.Fatal("a warming replica never gets anything")
	}
}

// Replicas that are new or restarted warm up, by their start time or their first listing.
func TestWhichReplicasWarmUp(t *testing.T) {
	b, _ := startBalancer(t, settings(), fleet(2)...)
	now := 200 * second
	old := b.rows[0]
	if old.warmingUntil > now {
		t.Fatal("a replica that has been running for long warms up")
	}
	m := fleet(4)
	m[0].StartedAt = now - second // restarted
	m[2].StartedAt = now - second // new, with a start time
	b.ListChanged(now, EndpointList{Kind: ListDelta, Endpoints: m})
	for _, row := range b.rows {
		warming := now < row.warmingUntil
		if want := row.id != 2; warming != want {
			t.Errorf("replica %d warming: %v", row.id, warming)
		}
	}
	// A gateway that itself restarts judges by the start time alone.
	b, _ = startBalancer(t, settings(), Endpoint{Replica: 1, Zone: "a", StartedAt: 99 * second}, Endpoint{Replica: 2, Zone: "a"})
	if b.rows[0].warmingUntil <= 100*second || b.rows[1].warmingUntil > 100*second {
		t.Fatal("a restarted gateway misjudges warming replicas")
	}
}

// A replica that started lately has cached nothing of the prefixes whose affinity target it is, and
// is slow.
func TestRecentlyStartedReplicas(t *testing.T) {
	endpoints := fleet(2)
	endpoints[1].StartedAt = 100 * second
	b, _ := startBalancer(t, settings(), endpoints...)
	old, young := b.rowByID[1], b.rowByID[2]
	for now, want := range map[Micros]float64{100 * second: 0, 101 * second: 0.39, 160 * second: 1} {
		if got := young.prefixCachedProbability(now, 0.5); math.Abs(got-want) > 0.01 {
			t.Errorf("%d s: has cached %.2f, want %.2f", now/second, got, want)
		}
		if old.prefixCachedProbability(now, 0.5) != 1 {
			t.Errorf("%d s: the old replica has cached nothing", now/second)
		}
	}
	req := &request{Request: testRequest(1), policy: b.policies[0], tenantIndex: -1, avoidZone: -1}
	if f, g := b.penaltyFactor(101*second, young, req), b.penaltyFactor(101*second, old, req); f < 2*g {
		t.Errorf("a warming replica weighs %.2f, a warm one %.2f", f, g)
	}
}

// warmingFleet is a fleet whose warming replicas look empty, before gateways that have all just started.
type warmingFleet struct {
	gateways, replicas, warming int
	rate                        float64 // requests a second of the whole fleet
	uneven                      bool    // some gateways get eight times what others do
	hungry                      bool    // warming replicas look empty whatever they have
	util                        float64 // utilization that warm replicas report; 0: none
	one                         bool    // all prefer the same warming replica, the others look full
}

// dispatchSample is one dispatch to a warming replica: its time in seconds and its work in requests
// of mean work.
type dispatchSample struct{ at, work float64 }

// play returns what warming replicas are sent.
func (f warmingFleet) play(t *testing.T, seed uint64) map[ReplicaID][]dispatchSample {
	t.Helper()
	rnd := rand.New(rand.NewPCG(seed, 1))
	weights, total := make([]float64, f.gateways), 0.0
	for i := range weights {
		if weights[i] = 1; f.uneven && i%4 == 0 {
			weights[i] = 8
		}
		total += weights[i]
	}
	sent := map[ReplicaID][]dispatchSample{}
	for self := range f.gateways {
		f.playGateway(t, rnd, self, total/weights[self]/f.rate, sent)
	}
	return sent
}

// startGateway starts one gateway before the fleet.
func (f warmingFleet) startGateway(t *testing.T, self int) (*Balancer, *recorder) {
	t.Helper()
	s := largeFleetSettings()
	s.Gateways, s.Self = f.gateways, self
	endpoints := fleet(f.replicas)
	for i := range f.warming {
		endpoints[i].StartedAt = 100 * second
	}
	rec := &recorder{}
	b, err := New(s, 1, rec) // the same seed at each: what they have in common must not add up
	if err != nil {
		t.Fatal(err)
	}
	b.Start(100 * second)
	b.ListChanged(100*second, EndpointList{Kind: ListCached, Endpoints: endpoints})
	return b, rec
}

// playGateway plays one gateway during slow start, with requests at a mean interval in seconds.
func (f warmingFleet) playGateway(t *testing.T, rnd *rand.Rand, self int, interval float64, sent map[ReplicaID][]dispatchSample) {
	t.Helper()
	const meanPrompt = (250 + 500 + 1000 + 3000) / 4.0
	b, rec := f.startGateway(t, self)
	type ending struct {
		at      Micros
		outcome Outcome
	}
	var endings []ending
	lastTick, id := 100*second, RequestID(0)
	for at := 100.0; ; {
		at += rnd.ExpFloat64() * interval
		now := Micros(at * 1e6)
		for ; lastTick < now; lastTick += tickInterval {
			b.tick(lastTick)
			b.lastHeardAt = lastTick // discovery answers
		}
		for len(endings) > 0 && endings[0].at <= now {
			b.AttemptEnded(endings[0].at, endings[0].outcome)
			endings = endings[1:]
		}
		if now >= 100*second+b.settings.SlowStartFor {
			return
		}
		id++
		rec.actions = nil
		req := testRequest(id)
		req.PromptTokens = []int{250, 500, 1000, 3000}[rnd.IntN(4)]
		req.Session, req.Prefix, req.PrefixTokens = rnd.Uint64N(2000)+1, rnd.Uint64N(30)+1, 200
		b.RequestArrived(now, req)
		f.answerPolls(b, rec, now)
		for _, a := range rec.take("dispatch") {
			if int(a.to) <= f.warming {
				sent[a.to] = append(sent[a.to], dispatchSample{at, float64(req.PromptTokens) / meanPrompt})
			}
			endings = append(endings, ending{now + second, Outcome{ID: id, Replica: a.to, Elapsed: second, Status: Served, Final: true}})
		}
	}
}

// answerPolls reports the load of the replicas that a request polls, and for a hungry fleet has the
// others look full.
func (f warmingFleet) answerPolls(b *Balancer, rec *recorder, now Micros) {
	for _, id := range healthChecked(&recorder{actions: slices.Clone(rec.actions)}) {
		row := b.rowByID[id]
		inFlight := 8.0
		if now < row.warmingUntil {
			if inFlight *= b.warmCapacity(now, row); f.hungry && (!f.one || id == 1) {
				inFlight = 0
			}
		}
		report := reportInFlight(inFlight)
		if f.util > 0 {
			report.Has, report.Utilization = report.Has|HasUtilization, f.util
		}
		b.HealthCheckEnded(now+2000, Outcome{Replica: id, Status: Served, Report: report})
	}
	if !f.hungry {
		return
	}
	full := b.rows[f.warming:]
	if f.one {
		full = b.rows[1:]
	}
	for _, row := range full {
		row.reportedTokens, row.charge, row.reportedAt = 1e6, 1e6, now
	}
}

// strictLimit is the most that may go to a warming replica in a window in the tests of many gateways.
func strictLimit(n float64) float64 { return n + 2*math.Sqrt(n) + 2 }

// operatorLimit is the operators' bound, which has another form for small n.
func operatorLimit(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return strictLimit(n)
}

// excess returns the most that any warming replica was sent in any window over N, in roots of N;
// whether it was over the bound, by requests or by their work; and the share of all requests that
// went to warming replicas.
func (f warmingFleet) excess(s Settings, sent map[ReplicaID][]dispatchSample, bound func(float64) float64) (most float64, over bool, share float64) {
	n := 0
	for _, all := range sent {
		n += len(all)
		slices.SortFunc(all, func(a, b dispatchSample) int { return int(math.Copysign(1, a.at-b.at)) })
		for i, first := range all {
			warm := s.InitialCapacity + (1-s.InitialCapacity)*(first.at-100)*1e6/float64(s.SlowStartFor)
			allowed := s.OverloadMultiple * warm * f.rate / float64(f.replicas) * float64(s.OverloadWindow) / 1e6
			if f.util > 0 { // a warm one can do more than it is sent
				allowed /= f.util
			}
			count, work := 0.0, 0.0
			for _, next := range all[i:] {
				if next.at >= first.at+float64(s.OverloadWindow)/1e6 {
					break
				}
				count, work = count+1, work+next.work
			}
			got := math.Max(count, work)
			most = math.Max(most, (got-allowed)/math.Sqrt(allowed))
			over = over || got > bound(allowed)
		}
	}
	return most, over, float64(n) / (f.rate * float64(s.SlowStartFor) / 1e6)
}

// The sum of what all gateways send to a warming replica, in any window and counted by requests or
// by their work, stays under what rule 4 allows and what is chance, however many gateways there
// are and whatever each gets, all of them just started with the same seed, and where each of them
// sees warming replicas empty and the others full. Seen: thirty gateways that each admitted one
// request came to three times that.
func TestSlowStartLoadOfManyGateways(t *testing.T) {
	for _, f := range []warmingFleet{
		{3, 12, 4, 25, false, true, 0, false}, {3, 12, 4, 25, true, false, 0, false}, {20, 16, 5, 60, true, true, 0, false}, {20, 40, 1, 80, false, true, 0, false},
		{30, 12, 6, 30, true, true, 0, false}, {30, 40, 24, 120, true, true, 0, false}, {30, 40, 24, 120, false, false, 0.6, false}, {30, 40, 24, 120, true, true, 0.6, false},
		{300, 60, 36, 300, true, true, 0, false}, {300, 60, 6, 300, true, false, 0.6, false},
		{30, 12, 6, 60, true, true, 0, true},
	} {
		t.Run(fmt.Sprintf("%+v", f), f.holds)
	}
}

// The same where all gateways prefer one of many warming replicas, from the first attempt on.
func TestSlowStartLoadOnOnePreferredReplica(t *testing.T) {
	for _, f := range []warmingFleet{{6, 12, 4, 60, true, true, 0, true}, {30, 40, 24, 120, true, true, 0.6, true}} {
		t.Run(fmt.Sprintf("%+v", f), f.holds)
	}
}

// The same for one to ten gateways, and for N from under 1 to over 100: few gateways are as bound
// as many, whether all prefer one warming replica, any of them, or none in particular.
func TestSlowStartLoadOfFewGateways(t *testing.T) {
	for _, gateways := range []int{1, 2, 3, 5, 8, 10} {
		for _, perReplica := range []float64{0.5, 4, 25} {
			for _, f := range []warmingFleet{
				{gateways, 12, 4, 12 * perReplica, true, true, 0, true},
				{gateways, 12, 11, 12 * perReplica, false, true, 0, false},
				{gateways, 6, 1, 6 * perReplica, true, false, 0.6, false},
			} {
				t.Run(fmt.Sprintf("%+v", f), func(t *testing.T) { f.within(t, operatorLimit) })
			}
		}
	}
}

// holds checks the fleet against strictLimit.
func (f warmingFleet) holds(t *testing.T) { f.within(t, strictLimit) }

// within checks the fleet against a bound over several seeds.
func (f warmingFleet) within(t *testing.T, bound func(float64) float64) {
	t.Helper()
	t.Parallel()
	largest, broken, used, seeds := 0.0, 0, 0.0, uint64(8)
	if f.gateways == 300 {
		seeds = 2
	}
	for seed := range seeds {
		most, over, share := f.excess(largeFleetSettings(), f.play(t, seed), bound)
		largest, used = math.Max(largest, most), used+share/float64(seeds)
		broken += int(boolToFloat(over))
	}
	t.Logf("largest excess %.2f roots of N; %.1f%% of all went to warming ones, %.0f%% of the fleet", largest, 100*used, 100*float64(f.warming)/float64(f.replicas))
	if broken > 0 {
		t.Errorf("over the bound in %d of %d runs; largest excess %.2f roots", broken, seeds, largest)
	}
	if used == 0 {
		t.Error("a warming replica never gets anything")
	}
}
