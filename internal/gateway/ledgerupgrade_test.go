package gateway

import (
	"errors"
	"path/filepath"
	"testing"
	"time"

	"archknot/internal/contract"
	"archknot/internal/contract/ledger"
)

// Guards against usage that is forgotten in an upgrade: the new process starts while the old one has the store, and what the
// old one stores until its end counts at the new one, on disk and in its ledger (issue 74, review/9).
func TestUsageOfBothProcessesOfAnUpgradeCounts(t *testing.T) {
	path := filepath.Join(t.TempDir(), "b.db")
	old, _, err := ledger.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	c := testContracts(1_000_000)
	c.Settings.ReserveFraction = 0.001
	opened, err := contract.NewLedger(c.Settings, c.Teams, 0, time.Now().UnixMicro())
	if err != nil {
		t.Fatal(err)
	}
	balances := opened.FinalBalances()
	const stored, storedLater = 1_000 * contract.Token, 7_000 * contract.Token
	write := func(s *ledger.Store, used contract.Units) {
		t.Helper()
		balances[0].Used[contract.Quarter] = used
		if err := s.Write(balances); err != nil {
			t.Fatal(err)
		}
	}
	write(old, stored)
	next, _, err := ledger.OpenBesidePredecessor(path)
	if err != nil {
		t.Fatal(err)
	}
	g := startGateway(t, func(o *Options) { o.Contracts, o.Ledger = c, next }, newFakeReplica(t, "s-1", answerCompletely))
	used := func() contract.Units { return g.accounts(t)[balances[0].Team].Used[contract.Quarter] }
	if got := used(); got != stored {
		t.Errorf("the new process starts with %d, want %d", got, stored)
	}
	cl := dial(t, g.addr)
	cl.sendRequestFor("r", balances[0].Team)
	cl.readAnswer()
	waitUntil(t, "settled", func() bool { return g.accounts(t)[balances[0].Team].OpenCharges == 0 })
	own := used() - stored
	if own <= 0 {
		t.Fatalf("own usage %d", own)
	}
	if err := next.Write(nil); !errors.Is(err, ledger.ErrBusy) {
		t.Errorf("a write beside the old process: %v", err)
	}
	write(old, storedLater)
	if err := old.Close(); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the ledger has the usage of both", func() bool { return used() == storedLater+own })
	if err := g.CloseLedger(t.Context()); err != nil {
		t.Fatal(err)
	}
	next.Close()
	last, _, err := ledger.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer last.Close()
	if final, err := last.Load(); err != nil || len(final) == 0 || final[0].Used[contract.Quarter] != storedLater+own {
		t.Errorf("on disk %+v, %v; want %d", final, err, storedLater+own)
	}
}
