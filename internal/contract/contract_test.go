package contract

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"archknot/choice"
)

const sec choice.Micros = 1_000_000

var start = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC).UnixMicro()

func book(t testing.TB, terms ...Terms) *Book {
	t.Helper()
	b, err := New(Settings{Pool: 1, Unknown: 0.05}, terms, 0, start)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func team(name string, rate float64) Terms {
	return Terms{Team: name, Tenants: []string{name}, Rate: rate * float64(Token), Burst: Units(rate) * Token, Over: 0.05}
}

// load sends one team's requests at a rate for a while and tells how many tokens
// were taken at full worth.
type load struct {
	tenant, class string
	perS          float64 // tokens a second
	each          int     // tokens a request
	full, over    int
	next          float64
}

func play(b *Book, from choice.Micros, seconds float64, loads ...*load) {
	for us := from; us < from+choice.Micros(seconds*1e6); us += 1000 {
		for _, l := range loads {
			for l.next += l.perS / 1000; l.next >= float64(l.each); l.next -= float64(l.each) {
				var c Charge
				v := b.Take(us, l.tenant, l.class, Use{Made: l.each}, &c)
				switch {
				case v.Refuse || v.Worth < 1:
					l.over += l.each
				default:
					l.full += l.each
				}
				b.Settle(us, &c, Use{Made: l.each}, true)
			}
		}
	}
}

// A surge of ten times the rate takes its own share at full worth and no more,
// and leaves the others theirs.
func TestSurgeKeepsToItsShare(t *testing.T) {
	b := book(t, team("a", 4000), team("b", 3000), team("c", 3000))
	surge, one, two := &load{tenant: "a", perS: 40_000, each: 100}, &load{tenant: "b", perS: 3000, each: 100}, &load{tenant: "c", perS: 3000, each: 100}
	play(b, sec, 5, surge, one, two) // the bursts go
	for w := range 3 {
		surge.full, one.full, two.full, one.over = 0, 0, 0, 0
		play(b, sec+choice.Micros(5+10*w)*sec, 10, surge, one, two)
		for l, want := range map[*load]float64{surge: 40_000, one: 30_000, two: 30_000} {
			if got := float64(l.full); got < 0.97*want || got > 1.03*want {
				t.Errorf("window %d: %s had %.0f tokens at full worth, its share is %.0f", w, l.tenant, got, want)
			}
		}
	}
}

// What others leave idle is not wasted: one team alone may use all rates together.
func TestIdleSharesAreLent(t *testing.T) {
	b := book(t, team("a", 1000), team("b", 5000), team("c", 4000))
	alone := &load{tenant: "a", perS: 20_000, each: 50}
	play(b, sec, 5, alone)
	alone.full = 0
	play(b, 6*sec, 10, alone)
	if got := float64(alone.full); got < 98_000 || got > 102_000 {
		t.Errorf("%.0f tokens of 100000", got)
	}
	// Given back at once: the moment b comes, it has its own.
	back := &load{tenant: "b", perS: 5000, each: 50}
	play(b, 16*sec, 5, alone, back)
	if back.over > 0 {
		t.Errorf("b had %d tokens beyond its rate", back.over)
	}
}

// A floor is the class's own, whatever the team's other classes do.
func TestFloors(t *testing.T) {
	a := team("a", 1000)
	a.Floors = map[string]float64{"agent": 300 * float64(Token)}
	b := book(t, a)
	bulk, agent := &load{tenant: "a", class: "bulk", perS: 9000, each: 30}, &load{tenant: "a", class: "agent", perS: 290, each: 29}
	play(b, sec, 5, bulk, agent)
	bulk.full, agent.full, agent.over = 0, 0, 0
	play(b, 6*sec, 10, bulk, agent)
	if agent.over > 0 || bulk.full > 7200 || bulk.full < 6800 {
		t.Errorf("agent %d and %d beyond, bulk %d", agent.full, agent.over, bulk.full)
	}
}

// A budget is overrun by one request at most, also where estimates are wrong by
// five times, and refused with the time until the period's end.
func TestBudgetInARush(t *testing.T) {
	for _, wrong := range []float64{0.2, 1, 5} {
		a := team("a", 100_000)
		a.Budgets = []Budget{{Hour, 800_000 * Token, 1_000_000 * Token}}
		b := book(t, a)
		rng := rand.New(rand.NewPCG(1, 1))
		var open []Charge
		real, soft, refused, most := Units(0), 0, 0, 0
		for i := range 30_000 {
			now := sec + choice.Micros(i)*1000
			u := Use{Made: 50 + rng.IntN(100)}
			var c Charge
			v := b.Take(now, "a", "", Use{Made: int(float64(u.Made) * wrong)}, &c)
			if v.Refuse {
				refused++
				if v.Reason != OverBudget || v.RetryAfter != 3600*sec-now {
					t.Fatalf("%+v at %d", v, now)
				}
				continue
			}
			if v.Worth < 1 {
				soft++
			}
			most = max(most, u.Made)
			// Ten are in hand at once; the one taken first ends first.
			if open = append(open, c); len(open) > 10 {
				b.Settle(now, &open[0], u, true)
				open = open[1:]
			}
			real += Units(u.Made) * Token
		}
		got := b.Accounts()[0].Used[Hour]
		// Settled wrong by five times, ten requests in hand may be over.
		over := got - 1_000_000*Token
		if refused == 0 || soft == 0 || over > 10_000*Token {
			t.Errorf("estimates times %v: refused %d, soft %d, over by %d tokens", wrong, refused, soft, over/Token)
		}
	}
}

func TestCheck(t *testing.T) {
	for want, change := range map[string]func(*Terms){
		"no tenants": func(a *Terms) { a.Tenants = nil }, "rate": func(a *Terms) { a.Rate = 0 }, "no name": func(a *Terms) { a.Team = "" },
		"floors sum":     func(a *Terms) { a.Floors = map[string]float64{"x": a.Rate * 2} },
		"two budgets":    func(a *Terms) { a.Budgets = []Budget{{Day, 0, 1}, {Day, 0, 2}} },
		"budget by":      func(a *Terms) { a.Budgets = []Budget{{Day, 3, 1}} },
		"ends before":    func(a *Terms) { a.From, a.Until = 5, 4 },
		"price of":       func(a *Terms) { a.Prices = map[string]Price{"x": {-1, 0}} },
		"that it covers": func(a *Terms) { a.Classes, a.Floors = []string{"y"}, map[string]float64{"x": 1} },
	} {
		a := team("a", 10)
		change(&a)
		if err := Check([]Terms{a}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}

// Periods are the calendar's, also where the clock changes, and a clock that is
// set back neither earns twice nor begins a period again.
func TestPeriods(t *testing.T) {
	hobart, err := time.LoadLocation("Australia/Hobart")
	if err != nil {
		t.Skip(err)
	}
	at := func(s string) choice.Micros {
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
			t.Errorf("%v of %s has %v hours", c.p, c.at, got)
		}
	}
	a := team("a", 10)
	a.Budgets = []Budget{{Hour, 0, 100 * Token}}
	b := book(t, a)
	var c, d Charge
	b.Take(sec, "a", "", Use{Made: 90}, &c)
	if v := b.Take(-3600*sec, "a", "", Use{Made: 20}, &d); !v.Refuse {
		t.Error("a clock set back gave the budget anew")
	}
	// Settled after the period's end: the old period's, not the new one's.
	if v := b.Take(3601*sec, "a", "", Use{Made: 20}, &d); v.Refuse {
		t.Error("the new period is refused")
	}
	b.Settle(3602*sec, &c, Use{Made: 500}, true)
	if got := b.Accounts()[0].Used[Hour]; got != 20*Token {
		t.Errorf("the new period has %d units", got)
	}
}

// Contracts change with requests in hand: what was taken is settled at its own
// price, once; nothing is lost or doubled.
func TestAgreeInFlight(t *testing.T) {
	a := team("a", 1000)
	a.Prices = map[string]Price{"agent": {1, 2}}
	a.Budgets = []Budget{{Day, 0, 1_000_000 * Token}}
	b := book(t, a, team("gone", 10))
	var c, g Charge
	b.Take(sec, "a", "agent", Use{Read: 100, Made: 50}, &c)
	b.Take(sec, "gone", "", Use{Made: 5}, &g)
	next := a
	next.Prices = map[string]Price{"agent": {10, 10}}
	next.Budgets = []Budget{{Hour, 0, 500_000 * Token}, {Day, 0, 2_000_000 * Token}}
	if err := b.Agree(2*sec, []Terms{next}); err != nil {
		t.Fatal(err)
	}
	if used := b.Accounts()[0].Used[Day]; used != 200*Token {
		t.Errorf("used %d", used)
	}
	if !b.Settle(3*sec, &c, Use{Read: 100, Made: 80}, true) || b.Settle(3*sec, &c, Use{Read: 100, Made: 80}, true) {
		t.Error("settled other than once")
	}
	if used := b.Accounts()[0].Used[Day]; used != 260*Token {
		t.Errorf("used %d", used)
	}
	if !b.Settle(3*sec, &g, Use{Made: 9}, true) {
		t.Error("a charge of a contract that has gone was not settled")
	}
	if v := b.Take(4*sec, "gone", "", Use{Made: 5}, &g); v.Refuse || v.Worth != 0.05 {
		t.Errorf("a tenant without a contract: %+v", v)
	}
	if n := b.Accounts()[0].Open; n != 0 {
		t.Errorf("%d open", n)
	}
}

// Whatever the order: what is used is the sum of what was settled and of the
// estimates still open, and no charge counts twice.
func TestBooksBalance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := team("a", 1000)
		b, err := New(Settings{Pool: 1}, []Terms{a}, 0, start)
		if err != nil {
			t.Fatal(err)
		}
		type held struct {
			c    *Charge
			cost Units
		}
		var open []held
		sum, now := Units(0), sec
		t.Repeat(map[string]func(*rapid.T){
			"take": func(t *rapid.T) {
				u := Use{rapid.IntRange(0, 500).Draw(t, "read"), rapid.IntRange(0, 500).Draw(t, "made")}
				c := &Charge{}
				if v := b.Take(now, "a", "x", u, c); !v.Refuse {
					open = append(open, held{c, Units(u.Read+u.Made) * Token})
					sum += Units(u.Read+u.Made) * Token
				}
			},
			"settle": func(t *rapid.T) {
				if len(open) == 0 {
					return
				}
				i := rapid.IntRange(0, len(open)-1).Draw(t, "which")
				made := rapid.IntRange(0, 900).Draw(t, "made")
				for range rapid.IntRange(1, 3).Draw(t, "times") {
					b.Settle(now, open[i].c, Use{Made: made}, true)
				}
				sum += Units(made)*Token - open[i].cost
				open = append(open[:i], open[i+1:]...)
			},
			"agree": func(t *rapid.T) {
				if err := b.Agree(now, []Terms{a}); err != nil {
					t.Fatal(err)
				}
			},
			"time": func(t *rapid.T) { now += choice.Micros(rapid.IntRange(-100_000, 300_000).Draw(t, "us")) },
			"": func(t *rapid.T) {
				got := b.Accounts()[0]
				if now-sec < 3500*sec && (got.Used[Hour] != sum || got.Open != len(open)) {
					t.Fatalf("used %d, settled and open make %d; %d open, %d are", got.Used[Hour], sum, got.Open, len(open))
				}
			},
		})
	})
}

func BenchmarkTakeAndSettle(b *testing.B) {
	var terms []Terms
	names := make([]string, 10_000)
	for i := range names {
		names[i] = fmt.Sprint("team", i)
		a := team(names[i], 1000)
		a.Budgets = []Budget{{Hour, 0, 1 << 60}, {Quarter, 0, 1 << 60}}
		a.Floors = map[string]float64{"agent": 100}
		terms = append(terms, a)
	}
	bk := book(b, terms...)
	now, i := sec, 0
	var c Charge
	b.ReportAllocs()
	for b.Loop() {
		now += 10
		i++
		bk.Take(now, names[i%len(names)], "agent", Use{100, 50}, &c)
		bk.Settle(now, &c, Use{100, 60}, true)
	}
}
