package split

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"archknot/balancer"
	"archknot/internal/contract"
)

// simulatedFleet is a model of many gateways, each with its own ledger and strategy. A load
// balancer distributes the requests by weights. Requests that are admitted at full weight
// run at the replicas for some seconds, and the replicas report the total work. Half of the
// requests that are admitted beyond the rate are shed, as an overloaded fleet does.
type simulatedFleet struct {
	ledgers          []*contract.Ledger
	strategies       []Strategy
	inFlight         [][]float64 // by gateway, the work of the last seconds
	fullWeight       []float64   // units admitted at full weight in the current window, by team
	requested        []float64
	previousCounters [][]contract.Counters
}

const (
	tokensPerRequest = 100
	teamCount        = 3
)

// trafficSplit returns the weight of a gateway for a team's requests.
type trafficSplit func(second float64, team, gateway, gateways int) float64

// evenSplit sends the same traffic to all gateways.
func evenSplit(float64, int, int, int) float64 { return 1 }

// skewedSplit sends up to ten times as much traffic to some gateways as to others. These
// gateways differ by team.
func skewedSplit(_ float64, team, gateway, gateways int) float64 {
	at := (gateway*7 + team*gateways/teamCount) % gateways
	return math.Exp(-2.3 * float64(at) / float64(max(1, gateways-1)))
}

// shiftingSplit shifts the first team's traffic between the two halves of the gateways, with
// a cycle of 120 s.
func shiftingSplit(second float64, team, gateway, gateways int) float64 {
	if team != 0 || gateways == 1 {
		return 1
	}
	w := 1 + 0.8*math.Sin(second*2*math.Pi/120)
	if gateway >= (gateways+1)/2 {
		w = 2 - w
	}
	return w
}

// simulate runs n gateways, and returns the largest error of any team's usage at full
// weight, as a fraction of its contract: without a surge, and in a surge of the first team.
func simulate(n int, split trafficSplit, newStrategy func(i int) Strategy, surge float64) (errs [2]float64) {
	rng := rand.New(rand.NewPCG(7, uint64(n)))
	// Each team's contract in tokens per second, which grows with the number of gateways.
	rate := float64(max(200, 10*n)) * tokensPerRequest
	fleet := &simulatedFleet{fullWeight: []float64{0, 0, 0}, requested: []float64{0, 0, 0}}
	var terms []contract.Terms
	for team := range teamCount {
		terms = append(terms, contract.Terms{Team: fmt.Sprint(team), Tenants: []string{fmt.Sprint(team)}, Rate: rate * float64(contract.Token),
			Burst: contract.Units(rate) * contract.Token, OverQuotaWeight: 0.05})
	}
	for i := range n {
		ledger, err := contract.NewLedger(contract.Settings{BorrowPoolSeconds: 1, UnknownTenantWeight: 0.05}, terms, 0, 0)
		if err != nil {
			panic(err)
		}
		fleet.ledgers, fleet.strategies = append(fleet.ledgers, ledger), append(fleet.strategies, newStrategy(i))
		fleet.inFlight = append(fleet.inFlight, []float64{0, 0, 0})
		fleet.previousCounters = append(fleet.previousCounters, []contract.Counters{{}, {}, {}})
	}
	const seconds, surgeAt = 150, 60
	for s := range seconds {
		sent := make([]float64, n)
		for team := range teamCount {
			demand := 0.9 * rate
			if s >= surgeAt { // the other teams use all of their rates, so that the pool stays empty
				if demand = 1.1 * rate; team == 0 {
					demand = surge * rate
				}
			}
			weights, sum := make([]float64, n), 0.0
			for g := range n {
				weights[g] = split(float64(s), team, g, n)
				sum += weights[g]
			}
			for g := range n {
				for k := poisson(rng, demand/tokensPerRequest*weights[g]/sum); k > 0; k-- {
					now := balancer.Micros((float64(s) + rng.Float64()) * 1e6)
					var c contract.Charge
					v := fleet.ledgers[g].Charge(now, terms[team].Team, "", contract.Usage{OutputTokens: tokensPerRequest}, &c)
					ran := v.PriorityWeight == 1 || !v.Rejected && rng.IntN(2) == 0
					if v.PriorityWeight == 1 {
						fleet.fullWeight[team] += tokensPerRequest
					}
					fleet.requested[team] += tokensPerRequest
					if ran {
						sent[g] += tokensPerRequest
						fleet.ledgers[g].Settle(now, &c, contract.Usage{OutputTokens: tokensPerRequest}, true)
					} else {
						fleet.ledgers[g].Settle(now, &c, contract.Usage{}, false)
					}
				}
			}
		}
		all := 0.0
		for g := range n {
			fleet.inFlight[g] = append(fleet.inFlight[g][1:], sent[g])
			for _, work := range fleet.inFlight[g] {
				all += work
			}
		}
		for g, ledger := range fleet.ledgers {
			own := 0.0
			for _, work := range fleet.inFlight[g] {
				own += work
			}
			observation := Observation{Interval: 1_000_000, OwnInFlight: own, FleetInFlight: all}
			for team, a := range ledger.Accounts() {
				counters := a.Counters
				previous := &fleet.previousCounters[g][team]
				observation.Teams = append(observation.Teams, TeamUsage{Rate: terms[team].Rate, Requested: float64(counters.RequestedUnits() - previous.RequestedUnits()), Used: float64(counters.Used - previous.Used)})
				*previous = counters
			}
			ledger.SetQuotaShares(balancer.Micros(s+1)*1_000_000, fleet.strategies[g].Shares(observation))
		}
		// Errors are measured over windows of 10 s, from 30 s until the surge, and from 20 s
		// after the start of the surge.
		if s%10 == 9 {
			for team := range teamCount {
				expected := min(fleet.requested[team], 10*rate)
				err := math.Abs(fleet.fullWeight[team]-expected) / (10 * rate)
				switch {
				case s >= 30 && s < surgeAt:
					errs[0] = math.Max(errs[0], err)
				case s >= surgeAt+20:
					errs[1] = math.Max(errs[1], err)
				}
				fleet.fullWeight[team], fleet.requested[team] = 0, 0
			}
		}
	}
	return errs
}

// poisson draws from a Poisson distribution, approximated by a normal one for large means.
func poisson(r *rand.Rand, mean float64) int {
	if mean > 200 {
		return max(0, int(math.Round(mean+math.Sqrt(mean)*r.NormFloat64())))
	}
	k, p := 0, math.Exp(-mean)
	for u := r.Float64(); u > p; k++ {
		u *= r.Float64()
	}
	return k
}

// delayedCounters are shared counters that return the sums of the last second.
type delayedCounters struct {
	current, previous [teamCount]float64
	reports, gateways int
	unavailable       bool
}

func (c *delayedCounters) Add(own []float64) ([]float64, error) {
	if c.unavailable {
		return nil, errors.New("no communication")
	}
	for i, v := range own {
		c.current[i] += v
	}
	if c.reports++; c.reports == c.gateways {
		c.previous, c.current, c.reports = c.current, [teamCount]float64{}, 0
	}
	out := c.previous
	return out[:], nil
}

// The error of a fleet is the largest deviation, in any 10 s, of the usage that all gateways
// together admitted at full weight from the smaller of a team's requests and its contract.
// It is given as a fraction of the contract. LocalEstimate and Shared must stay below bounds,
// and LocalEstimate must be better than Equal for skewed traffic.
func TestFleetWideError(t *testing.T) {
	counts := []int{1, 3, 30, 300}
	if testing.Short() {
		counts = counts[:3]
	}
	for _, traffic := range []struct {
		name  string
		split trafficSplit
	}{{"even", evenSplit}, {"skewed", skewedSplit}, {"shifting", shiftingSplit}} {
		for _, n := range counts {
			line := fmt.Sprintf("%-8s %3d gateways:", traffic.name, n)
			var calm, surge = map[string]float64{}, map[string]float64{}
			for _, strategy := range []string{"equal", "front", "alone", "shared"} {
				c := &delayedCounters{gateways: n}
				e := simulate(n, traffic.split, func(int) Strategy {
					switch strategy {
					case "equal":
						return Equal{n}
					case "front":
						return &Proportional{}
					case "alone":
						return &LocalEstimate{}
					}
					return &Shared{Counters: c}
				}, 10)
				calm[strategy], surge[strategy] = e[0], e[1]
				line += fmt.Sprintf("  %s %5.1f%% calm %5.1f%% surge", strategy, 100*e[0], 100*e[1])
			}
			t.Log(line)
			// The bounds are the figures of docs/measurements/contracts.md with some margin.
			if calm["alone"] > 0.12 || surge["alone"] > 0.40 || surge["shared"] > 0.15 {
				t.Error("error above its bound")
			}
			if traffic.name == "skewed" && n > 1 && surge["alone"] > 0.7*surge["equal"] {
				t.Error("skewed traffic: error of LocalEstimate is not below 0.7 times that of Equal")
			}
		}
	}
}
