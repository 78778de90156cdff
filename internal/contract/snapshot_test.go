package contract

import (
	"bytes"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"archknot/balancer"
)

// ledgerDriver makes calls on a ledger, and holds its open charges.
type ledgerDriver struct {
	ledger *Ledger
	open   map[uint64]*Charge
	next   uint64
	now    balancer.Micros
}

func (d *ledgerDriver) openCharges() (out []OpenCharge) {
	for key, c := range d.open {
		out = append(out, OpenCharge{key, c})
	}
	return out
}

// step makes the call selected by its arguments, and returns the result as text. Equal
// arguments make equal calls.
func (d *ledgerDriver) step(action, n, output int) string {
	tenants := []string{"a", "b", "old", "nobody"}
	classes := []string{"agent", "bulk"}
	switch action {
	case 0, 1, 2:
		d.next++
		c := &Charge{}
		class := classes[n/4%2]
		v := d.ledger.Charge(d.now, tenants[n%4], class, d.ledger.Estimate(class, output/2, output), c)
		if c.Open() {
			d.open[d.next] = c
		}
		return fmt.Sprint(v, c.Estimate)
	case 3:
		for key := uint64(0); key <= d.next; key++ { // the oldest open charge
			if c := d.open[key]; c != nil {
				delete(d.open, key)
				return fmt.Sprint(d.ledger.Settle(d.now, c, Usage{n, output}, n%3 > 0))
			}
		}
	case 4:
		d.now += balancer.Micros(output) * 1000
	case 5:
		d.ledger.SetQuotaShares(d.now, []float64{float64(n%10) / 10, 0.5, 1, 1})
	case 6:
		number, list := d.ledger.Checkpoint()
		d.ledger.CheckpointDone(number, n%4 > 0)
		return fmt.Sprint(number, list)
	case 8:
		d.ledger.RecordShed(d.now, tenants[n%4], "bulk", Usage{n, output}, n%7 == 0)
	case 7:
		return fmt.Sprint(d.ledger.ApplyTerms(d.now, variedTerms(float64(1000+output))))
	}
	return ""
}

// variedTerms returns contracts that use all kinds of terms, one with a successor.
func variedTerms(rate float64) []Terms {
	a, b, old, successor := testTerms("a", rate), testTerms("b", 500), testTerms("old", 800), testTerms("new", 900)
	a.Floors = map[string]float64{"agent": 100 * float64(Token)}
	a.Budgets = []Budget{{Hour, 20_000 * Token, 40_000 * Token}, {Day, 0, 900_000 * Token}}
	b.Hard, b.MaxBorrowRate, b.SurgeFactor = true, 50*float64(Token), 1.5
	b.Prices = map[string]Price{"bulk": {0.5, 3}}
	old.Until, old.Successor = start+30*second, "new"
	old.Budgets, successor.Budgets = []Budget{{Quarter, 0, 50_000 * Token}}, []Budget{{Quarter, 0, 60_000 * Token}}
	successor.From, successor.Tenants = start+30*second, []string{"heir"}
	return []Terms{a, b, old, successor}
}

// A ledger restored from a snapshot gives the same verdicts as the original, and afterwards
// has the same state, byte for byte.
func TestSnapshot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Settings{BorrowPoolSeconds: 1, UnknownTenantWeight: 0.05, ReserveFraction: 0.02, Strict: rapid.Bool().Draw(t, "strict")}
		ledger, err := NewLedger(s, variedTerms(1000), 0, start)
		if err != nil {
			t.Fatal(err)
		}
		driver := &ledgerDriver{ledger: ledger, open: map[uint64]*Charge{}, now: second}
		runSteps := func(drivers ...*ledgerDriver) {
			for range rapid.IntRange(0, 60).Draw(t, "steps") {
				action, n, output := rapid.IntRange(0, 8).Draw(t, "what"), rapid.IntRange(0, 99).Draw(t, "n"), rapid.IntRange(0, 4000).Draw(t, "output")
				first := ""
				for i, driver := range drivers {
					if got := driver.step(action, n, output); i == 0 {
						first = got
					} else if got != first {
						t.Fatalf("action %d: original ledger returned %s, restored ledger %s", action, first, got)
					}
				}
			}
		}
		runSteps(driver)
		text := driver.ledger.Snapshot(driver.openCharges())
		agreement, err := UnmarshalAppliedContracts(MarshalAppliedContracts(s, driver.ledger.Terms(), 0, false, nil))
		if err != nil {
			t.Fatal(err)
		}
		restored, open, err := Restore(agreement, text)
		if err != nil {
			t.Fatal(err)
		}
		restoredDriver := &ledgerDriver{ledger: restored, open: open, next: driver.next, now: driver.now}
		if again := restoredDriver.ledger.Snapshot(restoredDriver.openCharges()); !bytes.Equal(again, text) {
			t.Fatal("snapshot of the restored ledger differs from the original snapshot")
		}
		runSteps(driver, restoredDriver)
		if !bytes.Equal(driver.ledger.Snapshot(driver.openCharges()), restoredDriver.ledger.Snapshot(restoredDriver.openCharges())) {
			t.Fatal("original and restored ledger differ after the same calls")
		}
	})
}

// The same calls give the same state: floors are summed in a fixed order, since the order
// changes a sum of floats.
func TestFloorsAreSummedInFixedOrder(t *testing.T) {
	var first []byte
	for range 30 {
		a := testTerms("a", 1000)
		a.Floors = map[string]float64{}
		for i := range 9 {
			a.Floors[fmt.Sprint("class", i)] = 100.1 * float64(i+1) / 3 * float64(Token) / 7
		}
		ledger := newTestLedger(t, a)
		playLoads(ledger, second, 1, &trafficLoad{tenant: "a", class: "class3", tokensPerSecond: 3000, tokensPerRequest: 7}, &trafficLoad{tenant: "a", class: "class5", tokensPerSecond: 900, tokensPerRequest: 11})
		if text := ledger.Snapshot(nil); first == nil {
			first = text
		} else if !bytes.Equal(first, text) {
			t.Fatal("the same calls gave different states")
		}
	}
}
