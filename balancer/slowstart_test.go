package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// warmingFleet is a fleet whose cold replicas look empty, before gateways that have all just
// started.
type warmingFleet struct {
	gateways, replicas, cold int
	rate                     float64 // requests a second of the whole fleet
	uneven                   bool    // some gateways get eight times what others do
	hungry                   bool    // cold replicas look empty whatever they have
	util                     float64 // how busy warm replicas say they are; 0: they do not say
	one                      bool    // of the cold replicas all want the same one, the others look full
}

// play gives the times and the work, in requests of mean work, of what cold replicas are sent.
func (f warmingFleet) play(t *testing.T, seed uint64) map[ReplicaID][][2]float64 {
	rnd := rand.New(rand.NewPCG(seed, 1))
	s := eightyGateways()
	s.Gateways = f.gateways
	members := fleet(f.replicas)
	for i := range f.cold {
		members[i].StartedAt = 100 * second
	}
	weights, total := make([]float64, f.gateways), 0.0
	for i := range weights {
		if weights[i] = 1; f.uneven && i%4 == 0 {
			weights[i] = 8
		}
		total += weights[i]
	}
	sent := map[ReplicaID][][2]float64{}
	for self := range f.gateways {
		s.Self = self
		rec := &recorder{}
		b, err := New(s, 1, rec) // the same seed at each: what they share must not add up
		if err != nil {
			t.Fatal(err)
		}
		b.Start(100 * second)
		b.ListChanged(100*second, EndpointList{Kind: ListCached, Endpoints: members})
		type ending struct {
			at Micros
			o  Outcome
		}
		var endings []ending
		lastTick, id := 100*second, RequestID(0)
		for at := 100.0; ; {
			at += rnd.ExpFloat64() * total / weights[self] / f.rate
			now := Micros(at * 1e6)
			for ; lastTick < now; lastTick += tickEvery {
				b.tick(lastTick)
				b.lastHeardAt = lastTick // discovery is well
			}
			for len(endings) > 0 && endings[0].at <= now {
				b.AttemptEnded(endings[0].at, endings[0].o)
				endings = endings[1:]
			}
			if now >= 100*second+s.SlowStartFor {
				break
			}
			id++
			rec.acts = nil
			r := testRequest(id)
			r.PromptTokens = []int{250, 500, 1000, 3000}[rnd.IntN(4)]
			r.Session, r.Prefix, r.PrefixTokens = rnd.Uint64N(2000)+1, rnd.Uint64N(30)+1, 200
			b.RequestArrived(now, r)
			for _, w := range healthChecked(&recorder{acts: slices.Clone(rec.acts)}) {
				row := b.rowByID[w]
				inFlight := 8.0
				if now < row.warmingUntil {
					if inFlight *= b.warmCapacity(now, row); f.hungry && (!f.one || w == 1) {
						inFlight = 0
					}
				}
				report := reportInFlight(inFlight)
				if f.util > 0 {
					report.Has, report.Utilization = report.Has|HasUtilization, f.util
				}
				b.HealthCheckEnded(now+2000, Outcome{Replica: w, Status: Served, Report: report})
			}
			if f.hungry { // and the others full
				full := b.rows[f.cold:]
				if f.one {
					full = b.rows[1:]
				}
				for _, row := range full {
					row.reportedTokens, row.charge, row.reportedAt = 1e6, 1e6, now
				}
			}
			for _, a := range rec.take("dispatch") {
				if int(a.to) <= f.cold {
					mean := (prefillCost + 1) * (250 + 500 + 1000 + 3000) / 4
					sent[a.to] = append(sent[a.to], [2]float64{at, (prefillCost + 1) * float64(r.PromptTokens) / float64(mean)})
				}
				endings = append(endings, ending{now + second, Outcome{ID: id, Replica: a.to, Elapsed: second, Status: Served, Final: true}})
			}
		}
	}
	return sent
}

// strictLimit is the most that may go to a cold replica in a span in the tests of many gateways.
func strictLimit(n float64) float64 { return n + 2*math.Sqrt(n) + 2 }

// operatorLimit is the operators' term, which tells small N apart.
func operatorLimit(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return strictLimit(n)
}

// excess is the most that any cold replica was sent in any span over N, in roots of N; and
// whether it was over the bound, by requests or by their work.
func (f warmingFleet) excess(s Settings, sent map[ReplicaID][][2]float64, bound func(float64) float64) (most float64, over bool, share float64) {
	n := 0
	for _, all := range sent {
		n += len(all)
		slices.SortFunc(all, func(a, b [2]float64) int { return int(math.Copysign(1, a[0]-b[0])) })
		for i, first := range all {
			warm := s.InitialCapacity + (1-s.InitialCapacity)*(first[0]-100)*1e6/float64(s.SlowStartFor)
			allowed := s.OverloadMultiple * warm * f.rate / float64(f.replicas) * float64(s.OverloadWindow) / 1e6
			if f.util > 0 { // a warm one can do more than it is sent
				allowed /= f.util
			}
			count, work := 0.0, 0.0
			for _, next := range all[i:] {
				if next[0] >= first[0]+float64(s.OverloadWindow)/1e6 {
					break
				}
				count, work = count+1, work+next[1]
			}
			got := math.Max(count, work)
			most = math.Max(most, (got-allowed)/math.Sqrt(allowed))
			over = over || got > bound(allowed)
		}
	}
	return most, over, float64(n) / (f.rate * float64(s.SlowStartFor) / 1e6)
}

// The sum of what all gateways send to a cold replica, in any span and counted by requests or
// by their work, stays under what the rule allows and what is chance, however many they are
// and whatever each gets, all of them just started with the same seed, and where each of them
// sees cold replicas empty and the others full. Thirty gateways that each let one request in
// came to three times that.
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

// The same where all want one of many cold replicas, from the first attempt on.
func TestSlowStartLoadOnOnePreferredReplica(t *testing.T) {
	for _, f := range []warmingFleet{{6, 12, 4, 60, true, true, 0, true}, {30, 40, 24, 120, true, true, 0.6, true}} {
		t.Run(fmt.Sprintf("%+v", f), f.holds)
	}
}

// The same for one to ten gateways, and for N from under 1 to over 100: few processes are as bound
// as many, whether all want one cold replica, any of them, or none in particular.
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

func (f warmingFleet) holds(t *testing.T) { f.within(t, strictLimit) }

func (f warmingFleet) within(t *testing.T, bound func(float64) float64) {
	t.Parallel()
	largest, broken, used, seeds := 0.0, 0, 0.0, uint64(8)
	if f.gateways == 300 {
		seeds = 2
	}
	for seed := range seeds {
		most, over, share := f.excess(eightyGateways(), f.play(t, seed), bound)
		largest, used = math.Max(largest, most), used+share/float64(seeds)
		broken += int(boolToFloat(over))
	}
	t.Logf("largest excess %.2f roots of N; %.1f%% of all went to cold ones, %.0f%% of the fleet", largest, 100*used, 100*float64(f.cold)/float64(f.replicas))
	if broken > 0 {
		t.Errorf("over the bound in %d of %d runs; largest excess %.2f roots", broken, seeds, largest)
	}
	if used == 0 {
		t.Error("a cold replica never gets anything")
	}
}
