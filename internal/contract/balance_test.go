package contract

import (
	"testing"

	"pgregory.net/rapid"

	"archknot/balancer"
)

// After a kill at any moment, a strict ledger counts at least the charged units as used,
// and at most one reserve more per kill. A kill without charges since the last one costs
// nothing more.
func TestRepeatedKillsCostAtMostTheReserve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1_000_000
		a := testTerms("a", 1e6)
		a.Budgets = []Budget{{Day, 0, limit * Token}}
		s := Settings{BorrowPoolSeconds: 1, ReserveFraction: 0.01, Strict: true}
		const reserve = limit * Token / 100
		var stored []Balance
		charged, lost := Units(0), Units(0) // actual usage, and units counted as used only because of kills
		now := second
		for run := range rapid.IntRange(1, 12).Draw(t, "runs") {
			ledger, err := NewLedger(s, []Terms{a}, now, start+now)
			if err != nil {
				t.Fatal(err)
			}
			ledger.RestoreBalances(stored)
			if used := ledger.Accounts()[0].Used[Day]; used < charged || used > charged+lost+reserve {
				t.Fatalf("run %d: %d units count as used, %d were charged, %d were lost by earlier kills", run, used, charged, lost)
			} else {
				lost = used - charged
			}
			var writing []Balance // passed to the store, not written yet
			number, busy := uint64(0), false
			for range rapid.IntRange(0, 80).Draw(t, "steps") {
				now += 10_000
				switch action := rapid.IntRange(0, 4).Draw(t, "what"); {
				case action < 3:
					var c Charge
					tokens := rapid.IntRange(1, 3000).Draw(t, "output")
					if v := ledger.Charge(now, "a", "", Usage{OutputTokens: tokens}, &c); !v.Rejected {
						charged += Units(tokens) * Token
					} else if v.Reason != ReasonBalanceNotStored && v.Reason != ReasonBudgetSpent {
						t.Fatal(v)
					}
				case !busy && ledger.CheckpointDue():
					number, writing = ledger.Checkpoint()
					busy = true
				case busy:
					if rapid.IntRange(0, 5).Draw(t, "fails") == 0 {
						ledger.CheckpointDone(number, false)
					} else {
						stored = writing
						ledger.CheckpointDone(number, true)
					}
					busy = false
				}
			}
			if busy && rapid.Bool().Draw(t, "written before the kill") {
				stored = writing
			}
		}
	})
}

// A graceful shutdown stores usage and levels exactly. After a restart, a period that has
// ended starts at 0, and a clock that was set back does not start a period again.
func TestRestoreBalances(t *testing.T) {
	a := testTerms("a", 1000)
	a.Budgets = []Budget{{Hour, 0, 10_000 * Token}}
	ledger := newTestLedger(t, a)
	var c Charge
	ledger.Charge(second, "a", "", Usage{OutputTokens: 300}, &c)
	ledger.Settle(second, &c, Usage{OutputTokens: 250}, true)
	stored := ledger.FinalBalances()
	for _, test := range []struct {
		later balancer.Micros
		used  Units
	}{{5 * second, 250 * Token}, {3600 * second, 0}, {-3600 * second, 250 * Token}} {
		restored, err := NewLedger(Settings{BorrowPoolSeconds: 1}, []Terms{a}, 0, start+test.later)
		if err != nil {
			t.Fatal(err)
		}
		if restored.RestoreBalances(stored) != 1 {
			t.Error("the balance was not restored")
		}
		if got := restored.Accounts()[0]; got.Used[Hour] != test.used || got.Level != 750*Token {
			t.Errorf("restored after %v s: %+v", test.later/second, got)
		}
	}
	stored[0].Clean = false
	restored := newTestLedger(t, a)
	restored.RestoreBalances(stored)
	if got := restored.Accounts()[0].Level; got != 0 {
		t.Errorf("level after a kill: got %d, want 0", got)
	}
}
