package contract

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"pgregory.net/rapid"

	"archknot/balancer"
)

// ledgerDriver is a book that a random sequence has worked on, with its open charges.
type ledgerDriver struct {
	ledger *Ledger
	open   map[uint64]*Charge
	next   uint64
	now    balancer.Micros
}

func (w *ledgerDriver) openCharges() (out []OpenCharge) {
	for key, c := range w.open {
		out = append(out, OpenCharge{key, c})
	}
	return out
}

// step does one thing, told by draws: the same draws do the same.
func (w *ledgerDriver) step(what, n, made int) string {
	tenants := []string{"a", "b", "old", "nobody"}
	classes := []string{"agent", "bulk"}
	switch what {
	case 0, 1, 2:
		w.next++
		c := &Charge{}
		class := classes[n/4%2]
		v := w.ledger.Charge(w.now, tenants[n%4], class, w.ledger.Estimate(class, made/2, made), c)
		if c.Open() {
			w.open[w.next] = c
		}
		return fmt.Sprint(v, c.Estimate)
	case 3:
		for key := uint64(0); key <= w.next; key++ { // the oldest
			if c := w.open[key]; c != nil {
				delete(w.open, key)
				return fmt.Sprint(w.ledger.Settle(w.now, c, Usage{n, made}, n%3 > 0))
			}
		}
	case 4:
		w.now += balancer.Micros(made) * 1000
	case 5:
		w.ledger.SetQuotaShares(w.now, []float64{float64(n%10) / 10, 0.5, 1, 1})
	case 6:
		number, list := w.ledger.Checkpoint()
		w.ledger.CheckpointDone(number, n%4 > 0)
		return fmt.Sprint(number, list)
	case 8:
		w.ledger.RecordShed(w.now, tenants[n%4], "bulk", Usage{n, made}, n%7 == 0)
	case 7:
		return fmt.Sprint(w.ledger.ApplyTerms(w.now, variedTerms(float64(1000+made))))
	}
	return ""
}

func variedTerms(rate float64) []Terms {
	a, b, old, heir := testTerms("a", rate), testTerms("b", 500), testTerms("old", 800), testTerms("new", 900)
	a.Floors = map[string]float64{"agent": 100 * float64(Token)}
	a.Budgets = []Budget{{Hour, 20_000 * Token, 40_000 * Token}, {Day, 0, 900_000 * Token}}
	b.Hard, b.Borrow, b.Surge = true, 50*float64(Token), 1.5
	b.Prices = map[string]Price{"bulk": {0.5, 3}}
	old.Until, old.Successor = start+30*second, "new"
	old.Budgets, heir.Budgets = []Budget{{Quarter, 0, 50_000 * Token}}, []Budget{{Quarter, 0, 60_000 * Token}}
	heir.From, heir.Tenants = start+30*second, []string{"heir"}
	return []Terms{a, b, old, heir}
}

// A book goes on from its snapshot as it would have: the same verdicts, and in the
// end the same bytes.
func TestSnapshot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Settings{BorrowPoolSeconds: 1, UnknownTenantWeight: 0.05, ReserveFraction: 0.02, Strict: rapid.Bool().Draw(t, "strict")}
		b, err := NewLedger(s, variedTerms(1000), 0, start)
		if err != nil {
			t.Fatal(err)
		}
		w := &ledgerDriver{ledger: b, open: map[uint64]*Charge{}, now: second}
		draw := func(to ...*ledgerDriver) {
			for range rapid.IntRange(0, 60).Draw(t, "steps") {
				what, n, made := rapid.IntRange(0, 8).Draw(t, "what"), rapid.IntRange(0, 99).Draw(t, "n"), rapid.IntRange(0, 4000).Draw(t, "made")
				first := ""
				for i, w := range to {
					if got := w.step(what, n, made); i == 0 {
						first = got
					} else if got != first {
						t.Fatalf("step %d: %s, the restored one %s", what, first, got)
					}
				}
			}
		}
		draw(w)
		text := w.ledger.Snapshot(w.openCharges())
		agreed, err := UnmarshalAgreement(MarshalAgreement(s, w.ledger.Terms(), 0, false, nil))
		if err != nil {
			t.Fatal(err)
		}
		back, open, err := Restore(agreed, text)
		if err != nil {
			t.Fatal(err)
		}
		other := &ledgerDriver{ledger: back, open: open, next: w.next, now: w.now}
		if again := other.ledger.Snapshot(other.openCharges()); !bytes.Equal(again, text) {
			t.Fatal("the restored book has another state")
		}
		draw(w, other)
		if !bytes.Equal(w.ledger.Snapshot(w.openCharges()), other.ledger.Snapshot(other.openCharges())) {
			t.Fatal("the books have come apart")
		}
	})
}

// Two runs of equal events have the same books, also with many floors.
func TestFloorsAddUpAlike(t *testing.T) {
	var first []byte
	for range 30 {
		a := testTerms("a", 1000)
		a.Floors = map[string]float64{}
		for i := range 9 {
			a.Floors[fmt.Sprint("class", i)] = 100.1 * float64(i+1) / 3 * float64(Token) / 7
		}
		b := newTestLedger(t, a)
		playLoads(b, second, 1, &trafficLoad{tenant: "a", class: "class3", tokensPerSecond: 3000, tokensPerRequest: 7}, &trafficLoad{tenant: "a", class: "class5", tokensPerSecond: 900, tokensPerRequest: 11})
		if text := b.Snapshot(nil); first == nil {
			first = text
		} else if !bytes.Equal(first, text) {
			t.Fatal("the same events make another book")
		}
	}
}

// Whatever the moment of a kill: a strict book counts afterwards at least what was
// charged, and at most a reserve more; also when kill follows kill, each costs no
// more than a reserve, and none where nothing was charged in between.
func TestRepeatedKillsCostAtMostTheReserve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1_000_000
		a := testTerms("a", 1e6)
		a.Budgets = []Budget{{Day, 0, limit * Token}}
		s := Settings{BorrowPoolSeconds: 1, ReserveFraction: 0.01, Strict: true}
		reserve := Units(limit * Token / 100)
		var stored []Balance
		charged, lost := Units(0), Units(0) // in truth; and by kills
		now := second
		for life := range rapid.IntRange(1, 12).Draw(t, "lives") {
			b, err := NewLedger(s, []Terms{a}, now, start+now)
			if err != nil {
				t.Fatal(err)
			}
			b.RestoreBalances(stored)
			if used := b.Accounts()[0].Used[Day]; used < charged || used > charged+lost+reserve {
				t.Fatalf("life %d: %d counts as used; %d was charged, and kills had cost %d", life, used, charged, lost)
			} else {
				lost = used - charged
			}
			var wait []Balance // on its way to the disk
			number, on := uint64(0), false
			for range rapid.IntRange(0, 80).Draw(t, "steps") {
				now += 10_000
				switch what := rapid.IntRange(0, 4).Draw(t, "what"); {
				case what < 3:
					var c Charge
					n := rapid.IntRange(1, 3000).Draw(t, "made")
					if v := b.Charge(now, "a", "", Usage{OutputTokens: n}, &c); !v.Rejected {
						charged += Units(n) * Token
					} else if v.Reason != ReasonBalanceNotStored && v.Reason != ReasonBudgetSpent {
						t.Fatal(v)
					}
				case !on && b.CheckpointDue():
					number, wait = b.Checkpoint()
					on = true
				case on:
					if rapid.IntRange(0, 5).Draw(t, "fails") == 0 {
						b.CheckpointDone(number, false)
					} else {
						stored = wait
						b.CheckpointDone(number, true)
					}
					on = false
				}
			}
			if on && rapid.Bool().Draw(t, "written before the kill") {
				stored = wait
			}
		}
	})
}

// An orderly end keeps balances and levels exactly; a period that has ended since
// begins anew; a clock that was set back does not begin one again.
func TestRestoreBalances(t *testing.T) {
	a := testTerms("a", 1000)
	a.Budgets = []Budget{{Hour, 0, 10_000 * Token}}
	b := newTestLedger(t, a)
	var c Charge
	b.Charge(second, "a", "", Usage{OutputTokens: 300}, &c)
	b.Settle(second, &c, Usage{OutputTokens: 250}, true)
	kept := b.FinalBalances()
	for _, x := range []struct {
		later balancer.Micros
		used  Units
	}{{5 * second, 250 * Token}, {3600 * second, 0}, {-3600 * second, 250 * Token}} {
		n, err := NewLedger(Settings{BorrowPoolSeconds: 1}, []Terms{a}, 0, start+x.later)
		if err != nil {
			t.Fatal(err)
		}
		if n.RestoreBalances(kept) != 1 {
			t.Error("not resumed")
		}
		if got := n.Accounts()[0]; got.Used[Hour] != x.used || got.Level != 750*Token {
			t.Errorf("after %v s: %+v", x.later/second, got)
		}
	}
	kept[0].Clean = false
	n := newTestLedger(t, a)
	n.RestoreBalances(kept)
	if got := n.Accounts()[0].Level; got != 0 {
		t.Errorf("after a kill the level is %d", got)
	}
}

// A successor goes on with what was used of the period, and what the contract
// before it charged is settled there.
func TestSuccessor(t *testing.T) {
	terms := variedTerms(1000)
	b := newTestLedger(t, terms...)
	var c, d Charge
	b.Charge(20*second, "old", "", Usage{OutputTokens: 400}, &c)
	if v := b.Charge(31*second, "old", "", Usage{OutputTokens: 100}, &d); v.Rejected {
		t.Fatal(v)
	}
	if name, _ := b.Team("old", ""); name != "new" {
		t.Error(name)
	}
	b.Settle(32*second, &c, Usage{OutputTokens: 500}, true)
	if used := b.Accounts()[3].Used[Quarter]; used != 600*Token {
		t.Errorf("the successor has %d", used/Token)
	}
	for want, change := range map[string]func(*Terms){
		"no other contract": func(o *Terms) { o.Successor = "x" }, "expected an end": func(o *Terms) { o.Until = 0 },
		"begins after": func(o *Terms) { o.Until -= 5 },
	} {
		bad := variedTerms(1000)
		change(&bad[2])
		if err := ValidateTerms(bad); err == nil || !bytes.Contains([]byte(err.Error()), []byte(want)) {
			t.Errorf("%s: %v", want, err)
		}
	}
}

// A team that surges competes beyond its rate with all it sends but its floors; one
// that keeps to its rate does not.
func TestSurge(t *testing.T) {
	a := testTerms("a", 1000)
	a.Surge, a.Floors = 1.25, map[string]float64{"agent": 100 * float64(Token)}
	b := newTestLedger(t, a)
	bulk, agent := &trafficLoad{tenant: "a", class: "bulk", tokensPerSecond: 900, tokensPerRequest: 30}, &trafficLoad{tenant: "a", class: "agent", tokensPerSecond: 90, tokensPerRequest: 30}
	playLoads(b, second, 20, bulk, agent)
	if bulk.overQuota+agent.overQuota > 0 {
		t.Errorf("within its rate %d and %d tokens competed beyond it", bulk.overQuota, agent.overQuota)
	}
	bulk.tokensPerSecond = 4000
	playLoads(b, 21*second, 20, bulk, agent)
	bulk.fullWeight, agent.overQuota = 0, 0
	playLoads(b, 41*second, 10, bulk, agent)
	if bulk.fullWeight > 0 || agent.overQuota > 0 {
		t.Errorf("in a surge %d tokens competed in full, and %d of the floor beyond", bulk.fullWeight, agent.overQuota)
	}
}

// Stepped along with the decision module, a book calls a surge what the module's own
// quotas do, request for request: averaged at other moments, some 2% were judged
// otherwise, and the simulator's standard days lost 0.016 by it.
func TestSurgeStepsWithTheModule(t *testing.T) {
	const quota, gateways, span = 11.0, 3.0, 8.0
	a := testTerms("a", 1)
	a.Rate, a.Burst, a.Surge = 1.25*quota*float64(Token), Units(1e6*quota*float64(Token)), 1
	b := newTestLedger(t, a)
	b.SetQuotaShares(second, []float64{1 / gateways})
	rng := rand.New(rand.NewPCG(7, 7))
	usage, since, last, over, n := 0.0, 0.0, second, 0, 0
	for now := second; now < 120*second; now += 2000 + 2000*balancer.Micros(rng.IntN(40)) {
		if now-last >= 250_000 { // the module's tick
			dt := float64(now-last) / 1e6
			usage += dt / span * (since/dt - usage)
			since, last = 0, now
			b.UpdateDemand(now)
		}
		chance := 0.08
		if now/second%30 < 12 {
			chance = 0.35
		}
		if rng.Float64() > chance {
			continue
		}
		since++
		var c Charge
		v := b.Charge(now, "a", "chat", Usage{OutputTokens: 1}, &c)
		b.Settle(now, &c, Usage{OutputTokens: 1}, false)
		if own := usage > 1.25*quota/gateways; v.OverQuota != own {
			t.Fatalf("at %d: beyond %t by the contract, %t by the quota", now, v.OverQuota, own)
		} else if own {
			over++
		}
		n++
	}
	if over < n/10 || over > n*9/10 {
		t.Fatalf("%d of %d beyond: this shows nothing", over, n)
	}
}

// What may be borrowed is bounded where the contract says so.
func TestBorrowing(t *testing.T) {
	for _, x := range []struct {
		none        bool
		most        float64
		least, high float64
	}{{true, 0, 9_900, 10_200}, {false, 500, 14_000, 15_600}, {false, 0, 58_000, 61_500}} {
		a, idle := testTerms("a", 1000), testTerms("idle", 5000)
		a.NoBorrow, a.Borrow = x.none, x.most*float64(Token)
		b := newTestLedger(t, a, idle)
		alone := &trafficLoad{tenant: "a", tokensPerSecond: 20_000, tokensPerRequest: 50}
		playLoads(b, second, 5, alone)
		alone.fullWeight = 0
		playLoads(b, 6*second, 10, alone)
		if got := float64(alone.fullWeight); got < x.least || got > x.high {
			t.Errorf("none %v, most %v: %v tokens in ten seconds", x.none, x.most, got)
		}
	}
}

// Once the fleet turns away what is within contracts, what is beyond them waits; it
// comes back to what there is room for, and a fleet with room for all bounds nothing.
func TestExcessLimiter(t *testing.T) {
	for _, room := range []float64{10_200, 20_000, 60_000} {
		b := newTestLedger(t, testTerms("a", 4000), testTerms("b", 3000), testTerms("c", 3000))
		loads := []*trafficLoad{{tenant: "a", tokensPerSecond: 40_000, tokensPerRequest: 50}, {tenant: "b", tokensPerSecond: 3000, tokensPerRequest: 50}, {tenant: "c", tokensPerSecond: 3000, tokensPerRequest: 50}}
		level := room / 5 // the fleet: a bucket that holds what a short queue does
		within, lost, over := 0, 0, 0
		for us := second; us < 61*second; us += 1000 {
			level = min(room/5, level+room/1000)
			if us == 31*second {
				within, lost, over = 0, 0, 0
			}
			for _, l := range loads {
				for l.next += l.tokensPerSecond / 1000; l.next >= float64(l.tokensPerRequest); l.next -= float64(l.tokensPerRequest) {
					var c Charge
					v := b.Charge(us, l.tenant, "", Usage{OutputTokens: l.tokensPerRequest}, &c)
					if v.Rejected {
						continue
					}
					if !v.OverQuota {
						within++
					}
					if level < float64(l.tokensPerRequest) {
						b.Settle(us, &c, Usage{}, false)
						b.RecordShed(us, l.tenant, "", Usage{OutputTokens: l.tokensPerRequest}, v.OverQuota)
						if !v.OverQuota {
							lost++
						}
						continue
					}
					level -= float64(l.tokensPerRequest)
					if b.Settle(us, &c, Usage{OutputTokens: l.tokensPerRequest}, true); v.OverQuota {
						over += l.tokensPerRequest
					}
				}
			}
		}
		spare := min(room, 46_000) - 10_000
		if got := float64(over) / 30; lost*200 > within || got < 0.7*spare || got > spare+50 {
			t.Errorf("room %v: %d of %d within contracts were turned away; %.0f tokens a second beyond them, %.0f to spare", room, lost, within, got, spare)
		} else {
			t.Logf("room %v: %d of %d within contracts were turned away; %.0f tokens a second beyond them, %.0f to spare", room, lost, within, got, spare)
		}
	}
}

// A book's size is that of its contracts: a flood of tenants that it does not know
// leaves nothing behind.
func TestUnknownTenantFlood(t *testing.T) {
	var terms []Terms
	for i := range 10_000 {
		terms = append(terms, testTerms(fmt.Sprint("team", i), 100))
	}
	b := newTestLedger(t, terms...)
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	var c Charge
	for i := range 300_000 {
		v := b.Charge(second+balancer.Micros(i)*10, fmt.Sprint("nobody", i), fmt.Sprint("class", i), Usage{OutputTokens: 10}, &c)
		if v.PriorityWeight != 0.05 || c.Open() {
			t.Fatalf("%+v", v)
		}
		b.Settle(second, &c, Usage{OutputTokens: 10}, true)
	}
	if after := heap(); after > before+1<<20 {
		t.Errorf("%d bytes more", after-before)
	}
	runtime.KeepAlive(b)
}

// Budgets count what stands for the whole where a gateway holds a part.
func TestQuotaShares(t *testing.T) {
	a := testTerms("a", 1000)
	a.Budgets = []Budget{{Hour, 0, 1_000_000 * Token}}
	b := newTestLedger(t, a)
	b.SetQuotaShares(second, []float64{0.25})
	var c Charge
	b.Charge(2*second, "a", "", Usage{OutputTokens: 100}, &c)
	b.SetQuotaShares(3*second, []float64{0.5}) // what was charged stays what it stood for
	b.Settle(3*second, &c, Usage{OutputTokens: 50}, true)
	if got := b.Accounts()[0]; got.Used[Hour] != 200*Token || got.Counters.Used != 50*Token {
		t.Errorf("%+v", got)
	}
	l := &trafficLoad{tenant: "a", tokensPerSecond: 5000, tokensPerRequest: 10}
	playLoads(b, 4*second, 3, l)
	l.fullWeight = 0
	if playLoads(b, 7*second, 10, l); l.fullWeight < 4900 || l.fullWeight > 5100 {
		t.Errorf("%d tokens in ten seconds at half of 1000 a second", l.fullWeight)
	}
	for _, bad := range [][]float64{{}, {0.1, 0.2}, {-1}, {2}} {
		b.SetQuotaShares(20*second, bad)
	}
	if p := b.Accounts()[0].QuotaShare; p != 0.5 {
		t.Error(p)
	}
}
