package contract

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"archknot/balancer"
)

const second balancer.Micros = 1_000_000

var start = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC).UnixMicro()

func newTestLedger(tb testing.TB, terms ...Terms) *Ledger {
	tb.Helper()
	ledger, err := NewLedger(Settings{BorrowPoolSeconds: 1, UnknownTenantWeight: 0.05}, terms, 0, start)
	if err != nil {
		tb.Fatal(err)
	}
	return ledger
}

// testTerms returns terms with a rate in tokens per second, and a burst of one second.
func testTerms(name string, rate float64) Terms {
	return Terms{Team: name, Tenants: []string{name}, Rate: rate * float64(Token), Burst: Units(rate) * Token, OverQuotaWeight: 0.05}
}

// trafficLoad generates requests of one tenant at a constant rate. It counts the tokens of
// requests that were admitted at full weight, and of all others.
type trafficLoad struct {
	tenant, class         string
	tokensPerSecond       float64
	tokensPerRequest      int
	fullWeight, overQuota int
	next                  float64
}

// playLoads charges and settles the requests of loads for a number of seconds.
func playLoads(ledger *Ledger, from balancer.Micros, seconds float64, loads ...*trafficLoad) {
	for us := from; us < from+balancer.Micros(seconds*1e6); us += 1000 {
		for _, l := range loads {
			for l.next += l.tokensPerSecond / 1000; l.next >= float64(l.tokensPerRequest); l.next -= float64(l.tokensPerRequest) {
				var c Charge
				v := ledger.Charge(us, l.tenant, l.class, Usage{OutputTokens: l.tokensPerRequest}, &c)
				switch {
				case v.Rejected || v.PriorityWeight < 1:
					l.overQuota += l.tokensPerRequest
				default:
					l.fullWeight += l.tokensPerRequest
				}
				ledger.Settle(us, &c, Usage{OutputTokens: l.tokensPerRequest}, true)
			}
		}
	}
}

// A team that requests ten times its rate gets no more than its quota at full weight, and
// the other teams get theirs.
func TestSurgeKeepsToItsQuota(t *testing.T) {
	ledger := newTestLedger(t, testTerms("a", 4000), testTerms("b", 3000), testTerms("c", 3000))
	surge, one, two := &trafficLoad{tenant: "a", tokensPerSecond: 40_000, tokensPerRequest: 100}, &trafficLoad{tenant: "b", tokensPerSecond: 3000, tokensPerRequest: 100}, &trafficLoad{tenant: "c", tokensPerSecond: 3000, tokensPerRequest: 100}
	playLoads(ledger, second, 5, surge, one, two) // use up the bursts
	for w := range 3 {
		surge.fullWeight, one.fullWeight, two.fullWeight, one.overQuota = 0, 0, 0, 0
		playLoads(ledger, second+balancer.Micros(5+10*w)*second, 10, surge, one, two)
		for l, want := range map[*trafficLoad]float64{surge: 40_000, one: 30_000, two: 30_000} {
			if got := float64(l.fullWeight); got < 0.97*want || got > 1.03*want {
				t.Errorf("window %d: team %s: got %.0f tokens at full weight, quota %.0f", w, l.tenant, got, want)
			}
		}
	}
}

// A team may borrow the idle rates of all others, and the others get their own rates back
// as soon as they send requests.
func TestIdleSharesAreLent(t *testing.T) {
	ledger := newTestLedger(t, testTerms("a", 1000), testTerms("b", 5000), testTerms("c", 4000))
	alone := &trafficLoad{tenant: "a", tokensPerSecond: 20_000, tokensPerRequest: 50}
	playLoads(ledger, second, 5, alone)
	alone.fullWeight = 0
	playLoads(ledger, 6*second, 10, alone)
	if got := float64(alone.fullWeight); got < 98_000 || got > 102_000 {
		t.Errorf("single busy team: got %.0f tokens at full weight, want about 100000", got)
	}
	returning := &trafficLoad{tenant: "b", tokensPerSecond: 5000, tokensPerRequest: 50}
	playLoads(ledger, 16*second, 5, alone, returning)
	if returning.overQuota > 0 {
		t.Errorf("returning team b: %d tokens over quota, want 0", returning.overQuota)
	}
}

// The floor of a class is available to it while other classes of the team exceed the rate.
func TestFloors(t *testing.T) {
	a := testTerms("a", 1000)
	a.Floors = map[string]float64{"agent": 300 * float64(Token)}
	ledger := newTestLedger(t, a)
	bulk, agent := &trafficLoad{tenant: "a", class: "bulk", tokensPerSecond: 9000, tokensPerRequest: 30}, &trafficLoad{tenant: "a", class: "agent", tokensPerSecond: 290, tokensPerRequest: 29}
	playLoads(ledger, second, 5, bulk, agent)
	bulk.fullWeight, agent.fullWeight, agent.overQuota = 0, 0, 0
	playLoads(ledger, 6*second, 10, bulk, agent)
	if agent.overQuota > 0 || bulk.fullWeight > 7200 || bulk.fullWeight < 6800 {
		t.Errorf("agent: %d tokens at full weight, %d over quota; bulk: %d at full weight", agent.fullWeight, agent.overQuota, bulk.fullWeight)
	}
}

// A budget is exceeded at most by the requests in flight, even if estimates are wrong by a
// factor of five. Requests beyond it are rejected until the period ends.
func TestBudgetUnderBurst(t *testing.T) {
	for _, estimateFactor := range []float64{0.2, 1, 5} {
		a := testTerms("a", 100_000)
		a.Budgets = []Budget{{Hour, 800_000 * Token, 1_000_000 * Token}}
		ledger := newTestLedger(t, a)
		rng := rand.New(rand.NewPCG(1, 1))
		var open []Charge
		actual, soft, rejected, maxTokens := Units(0), 0, 0, 0
		for i := range 30_000 {
			now := second + balancer.Micros(i)*1000
			u := Usage{OutputTokens: 50 + rng.IntN(100)}
			var c Charge
			v := ledger.Charge(now, "a", "", Usage{OutputTokens: int(float64(u.OutputTokens) * estimateFactor)}, &c)
			if v.Rejected {
				rejected++
				if v.Reason != ReasonBudgetSpent || v.RetryAfter != 3600*second-now {
					t.Fatalf("rejected with %+v at %d", v, now)
				}
				continue
			}
			if v.PriorityWeight < 1 {
				soft++
			}
			maxTokens = max(maxTokens, u.OutputTokens)
			// Ten requests are in flight; they end in the order of admission.
			if open = append(open, c); len(open) > 10 {
				ledger.Settle(now, &open[0], u, true)
				open = open[1:]
			}
			actual += Units(u.OutputTokens) * Token
		}
		got := ledger.Accounts()[0].Used[Hour]
		// With estimates that are too low, the requests in flight may exceed the budget.
		over := got - 1_000_000*Token
		if rejected == 0 || soft == 0 || over > 10_000*Token {
			t.Errorf("estimates times %v: %d requests rejected, %d beyond the soft limit, hard limit exceeded by %d tokens", estimateFactor, rejected, soft, over/Token)
		}
	}
}

func TestValidateTerms(t *testing.T) {
	for want, change := range map[string]func(*Terms){
		"no tenants": func(a *Terms) { a.Tenants = nil }, "rate": func(a *Terms) { a.Rate = 0 }, "no name": func(a *Terms) { a.Team = "" },
		"floors sum":     func(a *Terms) { a.Floors = map[string]float64{"x": a.Rate * 2} },
		"two budgets":    func(a *Terms) { a.Budgets = []Budget{{Day, 0, 1}, {Day, 0, 2}} },
		"budget by":      func(a *Terms) { a.Budgets = []Budget{{Day, 3, 1}} },
		"ends before":    func(a *Terms) { a.From, a.Until = 5, 4 },
		"price of":       func(a *Terms) { a.Prices = map[string]Price{"x": {-1, 0}} },
		"that it covers": func(a *Terms) { a.Classes, a.Floors = []string{"y"}, map[string]float64{"x": 1} },
	} {
		a := testTerms("a", 10)
		change(&a)
		var invalid *TermsError
		if err := ValidateTerms([]Terms{a}); !errors.As(err, &invalid) || invalid.Team != a.Team || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}

// Periods follow the calendar across changes of daylight saving time. A clock that is set
// back does not grant a budget again, and a charge that is settled after the end of its
// period does not count in the next one.
func TestPeriods(t *testing.T) {
	hobart, err := time.LoadLocation("Australia/Hobart")
	if err != nil {
		t.Skip(err)
	}
	at := func(s string) balancer.Micros {
		v, err := time.ParseInLocation("2006-01-02 15:04", s, hobart)
		if err != nil {
			t.Fatal(err)
		}
		return v.UnixMicro()
	}
	for _, c := range []struct {
		p     Period
		at    string
		hours float64
	}{{Day, "2026-10-04 12:00", 23}, {Day, "2027-04-04 12:00", 25}, {Day, "2026-12-01 00:00", 24}, {Hour, "2026-12-01 00:30", 1},
		{Quarter, "2026-12-31 23:59", 92*24 - 1}, {Quarter, "2027-01-01 00:00", 90 * 24}} {
		from, to := c.p.Bounds(at(c.at), hobart)
		if got := float64(to-from) / 3600e6; got != c.hours || from > at(c.at) || to <= at(c.at) {
			t.Errorf("%v that contains %s: got %v hours", c.p, c.at, got)
		}
	}
	a := testTerms("a", 10)
	a.Budgets = []Budget{{Hour, 0, 100 * Token}}
	ledger := newTestLedger(t, a)
	var c, d Charge
	ledger.Charge(second, "a", "", Usage{OutputTokens: 90}, &c)
	if v := ledger.Charge(-3600*second, "a", "", Usage{OutputTokens: 20}, &d); !v.Rejected {
		t.Error("a clock that was set back granted the budget again")
	}
	if v := ledger.Charge(3601*second, "a", "", Usage{OutputTokens: 20}, &d); v.Rejected {
		t.Error("request in the new period was rejected")
	}
	ledger.Settle(3602*second, &c, Usage{OutputTokens: 500}, true)
	if got := ledger.Accounts()[0].Used[Hour]; got != 20*Token {
		t.Errorf("used units of the new period: got %d, want 20 tokens", got)
	}
}

// When contracts change with requests in flight, each charge is settled once, at the price
// at which it was made, and usage is neither lost nor counted twice. Charges of a removed
// contract are settled too.
func TestApplyTermsInFlight(t *testing.T) {
	a := testTerms("a", 1000)
	a.Prices = map[string]Price{"agent": {1, 2}}
	a.Budgets = []Budget{{Day, 0, 1_000_000 * Token}}
	ledger := newTestLedger(t, a, testTerms("gone", 10))
	var c, g Charge
	ledger.Charge(second, "a", "agent", Usage{PromptTokens: 100, OutputTokens: 50}, &c)
	ledger.Charge(second, "gone", "", Usage{OutputTokens: 5}, &g)
	next := a
	next.Prices = map[string]Price{"agent": {10, 10}}
	next.Budgets = []Budget{{Hour, 0, 500_000 * Token}, {Day, 0, 2_000_000 * Token}}
	if err := ledger.ApplyTerms(2*second, []Terms{next}); err != nil {
		t.Fatal(err)
	}
	if used := ledger.Accounts()[0].Used[Day]; used != 200*Token {
		t.Errorf("used units before the charge was settled: got %d, want 200 tokens", used)
	}
	if !ledger.Settle(3*second, &c, Usage{PromptTokens: 100, OutputTokens: 80}, true) || ledger.Settle(3*second, &c, Usage{PromptTokens: 100, OutputTokens: 80}, true) {
		t.Error("charge was not settled exactly once")
	}
	if used := ledger.Accounts()[0].Used[Day]; used != 260*Token {
		t.Errorf("used units after the charge was settled: got %d, want 260 tokens", used)
	}
	if !ledger.Settle(3*second, &g, Usage{OutputTokens: 9}, true) {
		t.Error("charge of a removed contract was not settled")
	}
	if v := ledger.Charge(4*second, "gone", "", Usage{OutputTokens: 5}, &g); v.Rejected || v.PriorityWeight != 0.05 {
		t.Errorf("tenant whose contract was removed: got %+v, want weight 0.05", v)
	}
	if n := ledger.Accounts()[0].OpenCharges; n != 0 {
		t.Errorf("%d open charges, want 0", n)
	}
}

// After any sequence of calls, the usage is the sum of the settled usage and the estimates
// of open charges, and no charge counts twice.
func TestLedgerBalances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := testTerms("a", 1000)
		ledger, err := NewLedger(Settings{BorrowPoolSeconds: 1}, []Terms{a}, 0, start)
		if err != nil {
			t.Fatal(err)
		}
		type openCharge struct {
			c    *Charge
			cost Units
		}
		var open []openCharge
		sum, now := Units(0), second
		t.Repeat(map[string]func(*rapid.T){
			"charge": func(t *rapid.T) {
				u := Usage{rapid.IntRange(0, 500).Draw(t, "prompt"), rapid.IntRange(0, 500).Draw(t, "output")}
				c := &Charge{}
				if v := ledger.Charge(now, "a", "x", u, c); !v.Rejected {
					open = append(open, openCharge{c, Units(u.PromptTokens+u.OutputTokens) * Token})
					sum += Units(u.PromptTokens+u.OutputTokens) * Token
				}
			},
			"settle": func(t *rapid.T) {
				if len(open) == 0 {
					return
				}
				i := rapid.IntRange(0, len(open)-1).Draw(t, "which")
				output := rapid.IntRange(0, 900).Draw(t, "output")
				for range rapid.IntRange(1, 3).Draw(t, "times") {
					ledger.Settle(now, open[i].c, Usage{OutputTokens: output}, true)
				}
				sum += Units(output)*Token - open[i].cost
				open = append(open[:i], open[i+1:]...)
			},
			"apply terms": func(t *rapid.T) {
				if err := ledger.ApplyTerms(now, []Terms{a}); err != nil {
					t.Fatal(err)
				}
			},
			"time": func(t *rapid.T) { now += balancer.Micros(rapid.IntRange(-100_000, 300_000).Draw(t, "us")) },
			"": func(t *rapid.T) {
				got := ledger.Accounts()[0]
				if now-second < 3500*second && (got.Used[Hour] != sum || got.OpenCharges != len(open)) {
					t.Fatalf("used: got %d, want %d (settled and open); open charges: got %d, want %d", got.Used[Hour], sum, got.OpenCharges, len(open))
				}
			},
		})
	})
}

func BenchmarkChargeAndSettle(b *testing.B) {
	var terms []Terms
	names := make([]string, 10_000)
	for i := range names {
		names[i] = fmt.Sprint("team", i)
		a := testTerms(names[i], 1000)
		a.Budgets = []Budget{{Hour, 0, 1 << 60}, {Quarter, 0, 1 << 60}}
		a.Floors = map[string]float64{"agent": 100}
		terms = append(terms, a)
	}
	ledger := newTestLedger(b, terms...)
	now, i := second, 0
	var c Charge
	b.ReportAllocs()
	for b.Loop() {
		now += 10
		i++
		ledger.Charge(now, names[i%len(names)], "agent", Usage{100, 50}, &c)
		ledger.Settle(now, &c, Usage{100, 60}, true)
	}
}
