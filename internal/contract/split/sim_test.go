package split

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"archknot/choice"
	"archknot/internal/contract"
)

// A model of many gateways, each with a book and a way of its own: requests come
// by a front's weights, all that is taken at full worth is used for a while at the
// workers, which report the sum, and what is beyond the rate is turned away half
// of the time, as a full fleet would.

type field struct {
	books []*contract.Book
	ways  []Way
	hand  [][]float64 // by gateway, the work of the last seconds
	full  []float64   // units taken at full worth in the window at hand, by team
	asked []float64
	last  [][]contract.Count
}

const (
	each  = 100 // tokens a request
	teams = 3
)

type front func(second float64, team, gateway, gateways int) float64 // weight

func even(float64, int, int, int) float64 { return 1 }

// skewed gives some gateways ten times the traffic of others, each team at others.
func skewed(_ float64, team, gateway, gateways int) float64 {
	at := (gateway*7 + team*gateways/teams) % gateways
	return math.Exp(-2.3 * float64(at) / float64(max(1, gateways-1)))
}

// shifting moves the first team's traffic from one half of the gateways to the
// other, to and fro.
func shifting(second float64, team, gateway, gateways int) float64 {
	if team != 0 || gateways == 1 {
		return 1
	}
	w := 1 + 0.8*math.Sin(second*2*math.Pi/120)
	if gateway >= (gateways+1)/2 {
		w = 2 - w
	}
	return w
}

func play(n int, f front, newWay func(i int) Way, surge float64) (errs [2]float64) {
	rng := rand.New(rand.NewPCG(7, uint64(n)))
	// Of each team's contract, in tokens a second: what many gateways are there for.
	rate := float64(max(200, 10*n)) * each
	x := &field{full: []float64{0, 0, 0}, asked: []float64{0, 0, 0}}
	var terms []contract.Terms
	for t := range teams {
		terms = append(terms, contract.Terms{Team: fmt.Sprint(t), Tenants: []string{fmt.Sprint(t)}, Rate: rate * float64(contract.Token),
			Burst: contract.Units(rate) * contract.Token, Over: 0.05})
	}
	for i := range n {
		b, err := contract.New(contract.Settings{Pool: 1, Unknown: 0.05}, terms, 0, 0)
		if err != nil {
			panic(err)
		}
		x.books, x.ways = append(x.books, b), append(x.ways, newWay(i))
		x.hand = append(x.hand, []float64{0, 0, 0})
		x.last = append(x.last, []contract.Count{{}, {}, {}})
	}
	const seconds, surgeAt = 150, 60
	served := [2]float64{}
	for s := range seconds {
		sent := make([]float64, n)
		for t := range teams {
			want := 0.9 * rate
			if s >= surgeAt { // the others use all that is theirs, so that nothing is to be lent
				if want = 1.1 * rate; t == 0 {
					want = surge * rate
				}
			}
			weights, sum := make([]float64, n), 0.0
			for g := range n {
				weights[g] = f(float64(s), t, g, n)
				sum += weights[g]
			}
			for g := range n {
				for k := poisson(rng, want/each*weights[g]/sum); k > 0; k-- {
					now := choice.Micros((float64(s) + rng.Float64()) * 1e6)
					var c contract.Charge
					v := x.books[g].Take(now, terms[t].Team, "", contract.Use{Made: each}, &c)
					took := v.Worth == 1 || !v.Refuse && rng.IntN(2) == 0
					if v.Worth == 1 {
						x.full[t] += each
					}
					x.asked[t] += each
					if took {
						sent[g] += each
						x.books[g].Settle(now, &c, contract.Use{Made: each}, true)
					} else {
						x.books[g].Settle(now, &c, contract.Use{}, false)
					}
				}
			}
		}
		all := 0.0
		for g := range n {
			x.hand[g] = append(x.hand[g][1:], sent[g])
			for _, h := range x.hand[g] {
				all += h
			}
		}
		for g, b := range x.books {
			own := 0.0
			for _, h := range x.hand[g] {
				own += h
			}
			seen := Seen{Span: 1_000_000, Own: own, All: all}
			for t, a := range b.Accounts() {
				d := a.Count
				l := &x.last[g][t]
				seen.Teams = append(seen.Teams, Team{Rate: terms[t].Rate, Asked: float64(d.Asked() - l.Asked()), Used: float64(d.Used - l.Used)})
				*l = d
			}
			b.SetParts(choice.Micros(s+1)*1_000_000, x.ways[g].Parts(seen))
		}
		// Windows of ten seconds: calm from the 30th second, surge from 10 s after it began.
		if s%10 == 9 {
			for t := range teams {
				due := min(x.asked[t], 10*rate)
				err := math.Abs(x.full[t]-due) / (10 * rate)
				switch {
				case s >= 30 && s < surgeAt:
					served[0] = math.Max(served[0], err)
				case s >= surgeAt+20:
					served[1] = math.Max(served[1], err)
				}
				x.full[t], x.asked[t] = 0, 0
			}
		}
	}
	return served
}

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

// shared is what talk among gateways would give, a second old.
type shared struct {
	now, before [teams]float64
	told, n     int
	down        bool
}

func (c *shared) Add(own []float64) ([]float64, error) {
	if c.down {
		return nil, errors.New("no talk")
	}
	for i, v := range own {
		c.now[i] += v
	}
	if c.told++; c.told == c.n {
		c.before, c.now, c.told = c.now, [teams]float64{}, 0
	}
	out := c.before
	return out[:], nil
}

// The error of the whole, as the most that all gateways together gave a team at
// full worth too much or too little in any 10 s, in parts of its contract.
func TestErrorOfTheWhole(t *testing.T) {
	counts := []int{1, 3, 30, 300}
	if testing.Short() {
		counts = counts[:3]
	}
	for _, fr := range []struct {
		name string
		f    front
	}{{"even", even}, {"skewed", skewed}, {"shifting", shifting}} {
		for _, n := range counts {
			line := fmt.Sprintf("%-8s %3d gateways:", fr.name, n)
			var calm, surge = map[string]float64{}, map[string]float64{}
			for _, way := range []string{"equal", "front", "alone", "shared"} {
				c := &shared{n: n}
				e := play(n, fr.f, func(int) Way {
					switch way {
					case "equal":
						return Equal{n}
					case "front":
						return &Front{}
					case "alone":
						return &Alone{}
					}
					return &Shared{Counters: c}
				}, 10)
				calm[way], surge[way] = e[0], e[1]
				line += fmt.Sprintf("  %s %5.1f%% calm %5.1f%% surge", way, 100*e[0], 100*e[1])
			}
			t.Log(line)
			// What docs/measurements/contracts.md says, with some room.
			if calm["alone"] > 0.12 || surge["alone"] > 0.40 || surge["shared"] > 0.15 {
				t.Error("the error has grown")
			}
			if fr.name == "skewed" && n > 1 && surge["alone"] > 0.7*surge["equal"] {
				t.Error("a skewed front is followed no better than by equal parts")
			}
		}
	}
}
