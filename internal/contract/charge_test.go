package contract

import (
	"testing"
)

// A team without permission to borrow gets its own rate only, one with a limit gets its
// rate plus the limit, and one without a limit may use the entire pool.
func TestBorrowing(t *testing.T) {
	for _, test := range []struct {
		noBorrow  bool
		maxBorrow float64
		low, high float64
	}{{true, 0, 9_900, 10_200}, {false, 500, 14_000, 15_600}, {false, 0, 58_000, 61_500}} {
		a, idle := testTerms("a", 1000), testTerms("idle", 5000)
		a.NoBorrow, a.MaxBorrowRate = test.noBorrow, test.maxBorrow*float64(Token)
		ledger := newTestLedger(t, a, idle)
		alone := &trafficLoad{tenant: "a", tokensPerSecond: 20_000, tokensPerRequest: 50}
		playLoads(ledger, second, 5, alone)
		alone.fullWeight = 0
		playLoads(ledger, 6*second, 10, alone)
		if got := float64(alone.fullWeight); got < test.low || got > test.high {
			t.Errorf("NoBorrow %v, Borrow %v tokens per second: got %v tokens at full weight in 10 s", test.noBorrow, test.maxBorrow, got)
		}
	}
}
