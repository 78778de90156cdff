package contract

import (
	"bytes"
	"testing"
)

// A successor takes over the usage of the current period, and open charges of its
// predecessor are settled on it.
func TestSuccessor(t *testing.T) {
	terms := variedTerms(1000)
	ledger := newTestLedger(t, terms...)
	var c, d Charge
	ledger.Charge(20*second, "old", "", Usage{OutputTokens: 400}, &c)
	if v := ledger.Charge(31*second, "old", "", Usage{OutputTokens: 100}, &d); v.Rejected {
		t.Fatal(v)
	}
	if name, _ := ledger.Team("old", ""); name != "new" {
		t.Error(name)
	}
	ledger.Settle(32*second, &c, Usage{OutputTokens: 500}, true)
	if used := ledger.Accounts()[3].Used[Quarter]; used != 600*Token {
		t.Errorf("used tokens of the successor in the quarter: got %d, want 600", used/Token)
	}
	for want, change := range map[string]func(*Terms){
		"no other contract": func(o *Terms) { o.Successor = "x" }, "expected an end": func(o *Terms) { o.Until = 0 },
		"begins after": func(o *Terms) { o.Until -= 5 },
	} {
		invalid := variedTerms(1000)
		change(&invalid[2])
		if err := ValidateTerms(invalid); err == nil || !bytes.Contains([]byte(err.Error()), []byte(want)) {
			t.Errorf("%s: %v", want, err)
		}
	}
}

// A gateway with a quota share extrapolates its usage to the fleet when it charges budgets,
// by the share at the time of each charge, and is limited to the share of the rate.
func TestQuotaShares(t *testing.T) {
	a := testTerms("a", 1000)
	a.Budgets = []Budget{{Hour, 0, 1_000_000 * Token}}
	ledger := newTestLedger(t, a)
	ledger.SetQuotaShares(second, []float64{0.25})
	var c Charge
	ledger.Charge(2*second, "a", "", Usage{OutputTokens: 100}, &c)
	ledger.SetQuotaShares(3*second, []float64{0.5}) // the open charge keeps the share of 0.25
	ledger.Settle(3*second, &c, Usage{OutputTokens: 50}, true)
	if got := ledger.Accounts()[0]; got.Used[Hour] != 200*Token || got.Counters.Used != 50*Token {
		t.Errorf("account after a change of the quota share: %+v", got)
	}
	l := &trafficLoad{tenant: "a", tokensPerSecond: 5000, tokensPerRequest: 10}
	playLoads(ledger, 4*second, 3, l)
	l.fullWeight = 0
	if playLoads(ledger, 7*second, 10, l); l.fullWeight < 4900 || l.fullWeight > 5100 {
		t.Errorf("got %d tokens at full weight in 10 s, want about 5000 (half of 1000 per second)", l.fullWeight)
	}
	for _, shares := range [][]float64{{}, {0.1, 0.2}, {-1}, {2}} {
		ledger.SetQuotaShares(20*second, shares)
	}
	if share := ledger.Accounts()[0].QuotaShare; share != 0.5 {
		t.Error(share)
	}
}
