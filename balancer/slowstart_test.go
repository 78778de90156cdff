package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// Many gateways send requests to warming replicas, but no more than these can serve. A limit that
// is divided among the gateways is a small fraction of one request at each, which rounds to none,
// so that warm replicas would receive everything.
func TestWarmingReplicasAreUsedByManyGateways(t *testing.T) {
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
		// 0.8 requests per second for nine seconds; all polled replicas report the same load.
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
	mean := float64(total) / 40 / 6 // requests to a warm replica in a window
	for key, n := range perWindow {
		if key[0] > warming {
			continue
		}
		warm := min(1, s.InitialCapacity+(1-s.InitialCapacity)*(float64(key[1])+0.5)*1.5/9)
		if most := s.OverloadMultiple * warm * mean / 0.6; float64(n) > most+3 { // the fleet is 60% busy; 3 for chance
			t.Errorf("replica %d: %d requests in window %d, at most %.1f may go", key[0], n, key[1], most)
		}
	}
}

// All gateways together stay within the allowed multiple of a warming replica's capacity in a
// window, although each gateway's fraction is far below one request and the replica looks idle.
// The test fails if gateways accumulate unused allowances and spend them at the same time.
func TestSlowStartShareOfManyGateways(t *testing.T) {
	const gateways, perGateway = 50, 5.0 // requests per second at each
	s := settings()
	s.Gateways = gateways
	endpoints := fleet(80)
	var balancers []*Balancer
	var recorders []*recorder
	for self := range gateways {
		s.Self = self
		rec := &recorder{}
		b, err := New(s, uint64(self+1), rec)
		if err != nil {
			t.Fatal(err)
		}
		b.ListChanged(0, EndpointList{Kind: ListFull, Endpoints: endpoints})
		b.dispatchRate, b.meanCharge, b.meanWork = perGateway, 5100, 5100
		balancers, recorders = append(balancers, b), append(recorders, rec)
	}
	begin := 100 * second
	for _, b := range balancers {
		b.ListChanged(begin, EndpointList{Kind: ListDelta, Endpoints: []Endpoint{
			{Replica: 1, Kind: "k", Zone: "a", StartedAt: begin}}})
	}
	// No requests arrive in the first eight seconds, in which allowances could accumulate.
	capacity := gateways * perGateway / 80 / 0.6 // requests per second of one warm replica, fleet 60% busy
	sent := 0
	for i, b := range balancers {
		for k := range 10 {
			now := begin + 8*second + int64(k)*s.OverloadWindow/10
			r := testRequest(RequestID(k + 1))
			for _, row := range b.rows[1:] { // all other replicas look full
				row.charge, row.unreported = 1e9, 1e9
			}
			if dispatched(b, recorders[i], now, r) == 1 {
				sent++
			}
		}
	}
	warm := s.InitialCapacity + (1-s.InitialCapacity)*8/24
	most := s.OverloadMultiple * warm * capacity * float64(s.OverloadWindow) / 1e6
	if float64(sent) > most {
		t.Fatalf("%d requests to the warming replica in a window, want at most %.1f", sent, most)
	}
	if sent == 0 {
		t.Fatal("the warming replica received no requests")
	}
}

// New and restarted replicas warm up from their start time or, without one, their first listing.
func TestWhichReplicasWarmUp(t *testing.T) {
	b, _ := startBalancer(t, settings(), fleet(2)...)
	now := 200 * second
	running := b.rows[0]
	if running.warmingUntil > now {
		t.Fatal("a replica that has been running for long warms up")
	}
	endpoints := fleet(4)
	endpoints[0].StartedAt = now - second // restarted
	endpoints[2].StartedAt = now - second // new, with a start time
	b.ListChanged(now, EndpointList{Kind: ListDelta, Endpoints: endpoints})
	for _, row := range b.rows {
		warming := now < row.warmingUntil
		if want := row.id != 2; warming != want {
			t.Errorf("replica %d warming: %v", row.id, warming)
		}
	}
	// In a restarted gateway the start time alone decides.
	b, _ = startBalancer(t, settings(), Endpoint{Replica: 1, Zone: "a", StartedAt: 99 * second}, Endpoint{Replica: 2, Zone: "a"})
	if b.rows[0].warmingUntil <= 100*second || b.rows[1].warmingUntil > 100*second {
		t.Fatal("a restarted gateway misjudges warming replicas")
	}
}

// A recently started replica is less likely to have a prefix cached, and has a higher penalty.
func TestRecentlyStartedReplicas(t *testing.T) {
	endpoints := fleet(2)
	endpoints[1].StartedAt = 100 * second
	b, _ := startBalancer(t, settings(), endpoints...)
	warm, recent := b.rowByID[1], b.rowByID[2]
	for now, want := range map[Micros]float64{100 * second: 0, 101 * second: 0.39, 160 * second: 1} {
		if got := recent.prefixCachedProbability(now, 0.5); math.Abs(got-want) > 0.01 {
			t.Errorf("%d s: has cached %.2f, want %.2f", now/second, got, want)
		}
		if warm.prefixCachedProbability(now, 0.5) != 1 {
			t.Errorf("%d s: the old replica has cached nothing", now/second)
		}
	}
	req := &request{Request: testRequest(1), policy: b.policies[0], tenantIndex: -1, avoidZone: -1}
	if f, g := b.penaltyFactor(101*second, recent, req), b.penaltyFactor(101*second, warm, req); f < 2*g {
		t.Errorf("a warming replica weighs %.2f, a warm one %.2f", f, g)
	}
}

// warmingFleet describes a fleet with warming replicas and gateways that have all just started.
type warmingFleet struct {
	gateways, replicas, warming int
	requestRate                 float64 // requests per second of the whole fleet
	unevenTraffic               bool    // some gateways receive eight times the traffic of others
	warmingLooksIdle            bool    // warming replicas report no load, and the others look full
	utilization                 float64 // utilization that warm replicas report; 0: none
	onePreferred                bool    // only one warming replica reports no load, so all gateways prefer it
}

// dispatchSample is one dispatch to a warming replica: its time in seconds, and its work relative to
// the mean request.
type dispatchSample struct{ at, work float64 }

// simulate runs all gateways and returns the dispatches to each warming replica.
func (f warmingFleet) simulate(t *testing.T, seed uint64) map[ReplicaID][]dispatchSample {
	t.Helper()
	rnd := rand.New(rand.NewPCG(seed, 1))
	weights, total := make([]float64, f.gateways), 0.0
	for i := range weights {
		if weights[i] = 1; f.unevenTraffic && i%4 == 0 {
			weights[i] = 8
		}
		total += weights[i]
	}
	sent := map[ReplicaID][]dispatchSample{}
	for self := range f.gateways {
		f.simulateGateway(t, rnd, self, total/weights[self]/f.requestRate, sent)
	}
	return sent
}

// startGateway starts one gateway that has the fleet's endpoint list.
func (f warmingFleet) startGateway(t *testing.T, self int) (*Balancer, *recorder) {
	t.Helper()
	s := largeFleetSettings()
	s.Gateways, s.Self = f.gateways, self
	endpoints := fleet(f.replicas)
	for i := range f.warming {
		endpoints[i].StartedAt = 100 * second
	}
	rec := &recorder{}
	b, err := New(s, 1, rec) // the same seed at each gateway, so that correlated draws would add up
	if err != nil {
		t.Fatal(err)
	}
	b.Start(100 * second)
	b.ListChanged(100*second, EndpointList{Kind: ListCached, Endpoints: endpoints})
	return b, rec
}

// simulateGateway runs one gateway during slow start, with random arrivals at a mean interval in
// seconds.
func (f warmingFleet) simulateGateway(t *testing.T, rnd *rand.Rand, self int, interval float64, sent map[ReplicaID][]dispatchSample) {
	t.Helper()
	const meanPrompt = (250 + 500 + 1000 + 3000) / 4.0
	b, rec := f.startGateway(t, self)
	type scheduledEnd struct {
		at      Micros
		outcome Outcome
	}
	var scheduledEnds []scheduledEnd
	lastTick, id := 100*second, RequestID(0)
	for at := 100.0; ; {
		at += rnd.ExpFloat64() * interval
		now := Micros(at * 1e6)
		for ; lastTick < now; lastTick += tickInterval {
			b.tick(lastTick)
			b.listCurrentAt = lastTick // the endpoint list stays current
		}
		for len(scheduledEnds) > 0 && scheduledEnds[0].at <= now {
			b.AttemptEnded(scheduledEnds[0].at, scheduledEnds[0].outcome)
			scheduledEnds = scheduledEnds[1:]
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
			scheduledEnds = append(scheduledEnds, scheduledEnd{now + second, Outcome{ID: id, Replica: a.to, Elapsed: second, Status: Served, Final: true}})
		}
	}
}

// answerPolls answers the health checks that a request has sent, and with warmingLooksIdle makes all
// other replicas look full.
func (f warmingFleet) answerPolls(b *Balancer, rec *recorder, now Micros) {
	for _, id := range healthChecked(&recorder{actions: slices.Clone(rec.actions)}) {
		row := b.rowByID[id]
		inFlight := 8.0
		if now < row.warmingUntil {
			if inFlight *= b.warmCapacity(now, row); f.warmingLooksIdle && (!f.onePreferred || id == 1) {
				inFlight = 0
			}
		}
		report := reportInFlight(inFlight)
		if f.utilization > 0 {
			report.Has, report.Utilization = report.Has|HasUtilization, f.utilization
		}
		b.HealthCheckEnded(now+2000, Outcome{Replica: id, Status: Served, Report: report})
	}
	if !f.warmingLooksIdle {
		return
	}
	full := b.rows[f.warming:]
	if f.onePreferred {
		full = b.rows[1:]
	}
	for _, row := range full {
		row.reportedTokens, row.charge, row.reportedAt = 1e6, 1e6, now
	}
}

// strictLimit returns the maximum load on a warming replica in a window, in tests of many gateways: the
// allowed load n and an allowance for random variation.
func strictLimit(n float64) float64 { return n + 2*math.Sqrt(n) + 2 }

// operatorLimit returns the operators' limit, which allows more random variation for small n.
func operatorLimit(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return strictLimit(n)
}

// excess returns the maximum load of any warming replica in any window above the allowed load N, in
// units of the square root of N; whether the load, by requests or by work, exceeded the limit; and the
// fraction of all requests that warming replicas received.
func (f warmingFleet) excess(s Settings, sent map[ReplicaID][]dispatchSample, limit func(float64) float64) (maxExcess float64, exceeded bool, warmingFraction float64) {
	n := 0
	for _, all := range sent {
		n += len(all)
		slices.SortFunc(all, func(a, b dispatchSample) int { return int(math.Copysign(1, a.at-b.at)) })
		for i, start := range all {
			warm := s.InitialCapacity + (1-s.InitialCapacity)*(start.at-100)*1e6/float64(s.SlowStartFor)
			allowed := s.OverloadMultiple * warm * f.requestRate / float64(f.replicas) * float64(s.OverloadWindow) / 1e6
			if f.utilization > 0 { // a warm replica has unused capacity
				allowed /= f.utilization
			}
			count, work := 0.0, 0.0
			for _, next := range all[i:] {
				if next.at >= start.at+float64(s.OverloadWindow)/1e6 {
					break
				}
				count, work = count+1, work+next.work
			}
			load := math.Max(count, work)
			maxExcess = math.Max(maxExcess, (load-allowed)/math.Sqrt(allowed))
			exceeded = exceeded || load > limit(allowed)
		}
	}
	return maxExcess, exceeded, float64(n) / (f.requestRate * float64(s.SlowStartFor) / 1e6)
}

// The load that all gateways together send to a warming replica stays within the allowed load, plus
// random variation, in any window, by requests and by work. It holds for any number of gateways and any
// distribution of traffic, with gateways that have just started with the same seed and see warming
// replicas idle and the others full. If each of thirty gateways allowed itself one request, the load
// would be three times the limit.
func TestSlowStartLoadOfManyGateways(t *testing.T) {
	for _, f := range []warmingFleet{
		{3, 12, 4, 25, false, true, 0, false}, {3, 12, 4, 25, true, false, 0, false}, {20, 16, 5, 60, true, true, 0, false}, {20, 40, 1, 80, false, true, 0, false},
		{30, 12, 6, 30, true, true, 0, false}, {30, 40, 24, 120, true, true, 0, false}, {30, 40, 24, 120, false, false, 0.6, false}, {30, 40, 24, 120, true, true, 0.6, false},
		{300, 60, 36, 300, true, true, 0, false}, {300, 60, 6, 300, true, false, 0.6, false},
		{30, 12, 6, 60, true, true, 0, true},
	} {
		t.Run(fmt.Sprintf("%+v", f), f.checkStrictLimit)
	}
}

// The limit also holds where all gateways prefer the same warming replica from the first attempt on.
func TestSlowStartLoadOnOnePreferredReplica(t *testing.T) {
	for _, f := range []warmingFleet{{6, 12, 4, 60, true, true, 0, true}, {30, 40, 24, 120, true, true, 0.6, true}} {
		t.Run(fmt.Sprintf("%+v", f), f.checkStrictLimit)
	}
}

// The limit also holds for one to ten gateways, for N from below 1 to above 100, whether all gateways
// prefer one warming replica, any of them, or none.
func TestSlowStartLoadOfFewGateways(t *testing.T) {
	for _, gateways := range []int{1, 2, 3, 5, 8, 10} {
		for _, perReplica := range []float64{0.5, 4, 25} {
			for _, f := range []warmingFleet{
				{gateways, 12, 4, 12 * perReplica, true, true, 0, true},
				{gateways, 12, 11, 12 * perReplica, false, true, 0, false},
				{gateways, 6, 1, 6 * perReplica, true, false, 0.6, false},
			} {
				t.Run(fmt.Sprintf("%+v", f), func(t *testing.T) { f.checkLimit(t, operatorLimit) })
			}
		}
	}
}

func (f warmingFleet) checkStrictLimit(t *testing.T) { f.checkLimit(t, strictLimit) }

// checkLimit checks the load of warming replicas against a limit, over several seeds.
func (f warmingFleet) checkLimit(t *testing.T, limit func(float64) float64) {
	t.Helper()
	t.Parallel()
	largest, violations, warmingFraction, seeds := 0.0, 0, 0.0, uint64(8)
	if f.gateways == 300 {
		seeds = 2
	}
	for seed := range seeds {
		most, over, share := f.excess(largeFleetSettings(), f.simulate(t, seed), limit)
		largest, warmingFraction = math.Max(largest, most), warmingFraction+share/float64(seeds)
		violations += int(boolToFloat(over))
	}
	t.Logf("largest excess %.2f * sqrt(N); warming replicas received %.1f%% of requests and are %.0f%% of the fleet", largest, 100*warmingFraction, 100*float64(f.warming)/float64(f.replicas))
	if violations > 0 {
		t.Errorf("load above the limit in %d of %d runs; largest excess %.2f * sqrt(N)", violations, seeds, largest)
	}
	if warmingFraction == 0 {
		t.Error("warming replicas received no requests")
	}
}
