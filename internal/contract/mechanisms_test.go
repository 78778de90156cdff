package contract

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"archknot/balancer"
)

// admissionMechanism divides a rate among teams. The implementations are the alternatives
// that are compared, each in the form that a gateway without a queue can use: a request is
// admitted at full weight at once, or not at all.
type admissionMechanism interface {
	admitFullWeight(now balancer.Micros, team int, cost float64) bool
}

// tokenBuckets has a token bucket per team, without borrowing.
type tokenBuckets struct {
	rate, level []float64
	updatedAt   balancer.Micros
}

func (m *tokenBuckets) admitFullWeight(now balancer.Micros, team int, cost float64) bool {
	elapsed := float64(now-m.updatedAt) / 1e6
	m.updatedAt = now
	for i := range m.level {
		m.level[i] = math.Min(m.rate[i], m.level[i]+m.rate[i]*elapsed)
	}
	if m.level[team] < cost {
		return false
	}
	m.level[team] -= cost
	return true
}

// startTimeFairQueue is start-time fair queuing as admission control: a request is admitted
// while its team's start tag is at most a second ahead of the virtual time. The virtual time
// runs faster, the fewer teams have tags ahead of it.
type startTimeFairQueue struct {
	rate, startTags []float64
	virtualTime     float64
	updatedAt       balancer.Micros
}

func (m *startTimeFairQueue) admitFullWeight(now balancer.Micros, team int, cost float64) bool {
	remaining, totalRate := float64(now-m.updatedAt)/1e6, 0.0
	m.updatedAt = now
	for _, r := range m.rate {
		totalRate += r
	}
	for remaining > 1e-12 { // one step up to the next start tag that the virtual time reaches
		busyRate, untilNextTag := 0.0, math.Inf(1)
		for i, t := range m.startTags {
			if t > m.virtualTime {
				busyRate += m.rate[i]
				untilNextTag = math.Min(untilNextTag, t-m.virtualTime)
			}
		}
		if busyRate == 0 {
			m.virtualTime += remaining
			break
		}
		step := math.Min(remaining, untilNextTag*busyRate/totalRate)
		m.virtualTime += step * totalRate / busyRate
		remaining -= step
	}
	start := math.Max(m.virtualTime, m.startTags[team])
	if start > m.virtualTime+1 {
		return false
	}
	m.startTags[team] = start + cost/m.rate[team]
	return true
}

// deficitRoundRobin is deficit round robin as admission control: every 100 ms each team gets
// its quantum, and unused quanta go to the teams with rejected requests, by their weights.
// A team accumulates at most one second of its rate.
type deficitRoundRobin struct {
	rate, level []float64
	rejected    []bool
	lastRound   balancer.Micros
}

func (m *deficitRoundRobin) admitFullWeight(now balancer.Micros, team int, cost float64) bool {
	const roundInterval = 100_000
	for now-m.lastRound >= roundInterval {
		m.lastRound += roundInterval
		spare, weights := 0.0, 0.0
		for i, r := range m.rate {
			m.level[i] += r / 10
			if over := m.level[i] - r; over > 0 {
				spare += over
				m.level[i] = r
			}
			if m.rejected[i] {
				weights += r
			}
		}
		for i, r := range m.rate {
			if m.rejected[i] && weights > 0 {
				m.level[i] += spare * r / weights
			}
			m.rejected[i] = false
		}
	}
	if m.level[team] < cost {
		m.rejected[team] = true
		return false
	}
	m.level[team] -= cost
	return true
}

// pooledBuckets is the mechanism of Ledger.
type pooledBuckets struct{ ledger *Ledger }

func (m pooledBuckets) admitFullWeight(now balancer.Micros, team int, cost float64) bool {
	var c Charge
	v := m.ledger.Charge(now, teamNames[team], "", Usage{OutputTokens: int(cost)}, &c)
	m.ledger.Settle(now, &c, Usage{OutputTokens: int(cost)}, true)
	return v.PriorityWeight == 1
}

var teamNames = []string{"a", "b", "c"}

func mechanisms(tb testing.TB, rate []float64) map[string]admissionMechanism {
	tb.Helper()
	var terms []Terms
	level := make([]float64, len(rate))
	for i, r := range rate {
		terms = append(terms, testTerms(teamNames[i], r))
		level[i] = r
	}
	copyLevels := func() []float64 { return append([]float64(nil), level...) }
	return map[string]admissionMechanism{"1 buckets": &tokenBuckets{rate: rate, level: copyLevels()}, "2 fair time": &startTimeFairQueue{rate: rate, startTags: make([]float64, len(rate))},
		"3 deficit": &deficitRoundRobin{rate: rate, level: copyLevels(), rejected: make([]bool, len(rate))}, "4 buckets with a pool": pooledBuckets{newTestLedger(tb, terms...)}}
}

// teamTraffic is the traffic of one team, with its rate as a function of the time in seconds.
type teamTraffic struct {
	tokensPerSecond  func(s float64) float64
	tokensPerRequest float64
}

func constantRate(v float64) func(float64) float64 { return func(float64) float64 { return v } }

// playTraffic generates Poisson traffic, and returns the tokens admitted at full weight and
// the requested tokens, by team and second.
func playTraffic(m admissionMechanism, seed uint64, seconds int, traffic [3]teamTraffic) (admitted, requested [3][]float64) {
	rng := rand.New(rand.NewPCG(seed, 9))
	var next [3]float64
	for i := range admitted {
		admitted[i], requested[i] = make([]float64, seconds), make([]float64, seconds)
		next[i] = rng.ExpFloat64() * traffic[i].tokensPerRequest / math.Max(1, traffic[i].tokensPerSecond(0))
	}
	for {
		i := 0
		for j := range next {
			if next[j] < next[i] {
				i = j
			}
		}
		at := next[i]
		if at >= float64(seconds) {
			return admitted, requested
		}
		if rate := traffic[i].tokensPerSecond(at); rate > 0 {
			requested[i][int(at)] += traffic[i].tokensPerRequest
			if m.admitFullWeight(second+balancer.Micros(at*1e6), i, traffic[i].tokensPerRequest) {
				admitted[i][int(at)] += traffic[i].tokensPerRequest
			}
			next[i] = at + rng.ExpFloat64()*traffic[i].tokensPerRequest/rate
		} else {
			next[i] = at + 0.01
		}
	}
}

func total(v []float64) (sum float64) {
	for _, x := range v {
		sum += x
	}
	return sum
}

// Computes the figures of docs/measurements/contracts.md, "Mechanisms": the error of a
// surging team's quota; the fraction of the total rate that a single busy team gets; the
// shortfall of a returning team in its first two seconds; the fraction rejected by chance
// when all teams request 0.9 of their rates; and the error of a surging team's quota with
// requests that each cost about a third of a second of its rate.
func TestMechanisms(t *testing.T) {
	rate := []float64{4000, 3000, 3000}
	type figures struct{ surge, singleTeam, returning, rejectedByChance, largeRequests, nsPerRequest float64 }
	rows := map[string]figures{}
	for name := range mechanisms(t, rate) {
		var f figures
		m := func() admissionMechanism { return mechanisms(t, rate)[name] }
		admitted, _ := playTraffic(m(), 1, 65, [3]teamTraffic{{constantRate(40_000), 50}, {constantRate(3000), 50}, {constantRate(3000), 50}})
		for w := 5; w < 55; w += 10 {
			f.surge = math.Max(f.surge, math.Abs(total(admitted[0][w:w+10])/40_000-1))
		}
		admitted, _ = playTraffic(m(), 2, 30, [3]teamTraffic{{constantRate(30_000), 50}, {constantRate(0), 50}, {constantRate(0), 50}})
		f.singleTeam = total(admitted[0][5:]) / 250_000
		admitted, requested := playTraffic(m(), 3, 30, [3]teamTraffic{{constantRate(40_000), 50}, {func(s float64) float64 {
			if s < 20 {
				return 0
			}
			return 3000
		}, 50}, {constantRate(3000), 50}})
		f.returning = 1 - total(admitted[1][20:22])/math.Min(6000, total(requested[1][20:22]))
		admitted, requested = playTraffic(m(), 4, 60, [3]teamTraffic{{constantRate(3600), 50}, {constantRate(2700), 50}, {constantRate(2700), 50}})
		f.rejectedByChance = 1 - (total(admitted[0])+total(admitted[1])+total(admitted[2]))/(total(requested[0])+total(requested[1])+total(requested[2]))
		admitted, _ = playTraffic(m(), 5, 65, [3]teamTraffic{{constantRate(40_000), 1300}, {constantRate(3000), 50}, {constantRate(3000), 50}})
		f.largeRequests = math.Abs(total(admitted[0][5:])/240_000 - 1)
		mechanism, begin, n := m(), time.Now(), 0
		for ; n < 200_000; n++ {
			mechanism.admitFullWeight(second+balancer.Micros(n*100), n%3, 50)
		}
		f.nsPerRequest = float64(time.Since(begin).Nanoseconds()) / float64(n)
		rows[name] = f
		t.Logf("%-22s surge: quota off by %5.2f%%; single team: %5.1f%% of the total; returning team: short by %5.1f%%; rejected by chance: %5.2f%%; large requests: quota off by %5.2f%%; %4.0f ns per request",
			name, 100*f.surge, 100*f.singleTeam, 100*f.returning, 100*f.rejectedByChance, 100*f.largeRequests, f.nsPerRequest)
	}
	f := rows["4 buckets with a pool"]
	if f.surge > 0.03 || f.singleTeam < 0.98 || f.returning > 0.02 {
		t.Errorf("figures of Ledger out of bounds: %+v", f)
	}
}
