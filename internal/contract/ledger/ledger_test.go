package ledger

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"archknot/balancer"
	"archknot/internal/contract"
)

const dailyLimit = 10_000_000 // tokens

// testTerms are the terms of one team with a daily budget.
func testTerms() []contract.Terms {
	return []contract.Terms{{Team: "a", Tenants: []string{"a"}, Rate: 1e12, Burst: 1e12, OverQuotaWeight: 0.05,
		Budgets: []contract.Budget{{Period: contract.Day, Hard: dailyLimit * contract.Token}}}}
}

// chargeUntilKilled makes charges and stores the balances as a gateway does, until its
// process is killed. It prints each charge after it is made.
func chargeUntilKilled(path string) error {
	s, _, err := Open(path)
	if err != nil {
		return err
	}
	stored, err := s.Load()
	if err != nil {
		return err
	}
	teamLedger, err := contract.NewLedger(contract.Settings{BorrowPoolSeconds: 1, ReserveFraction: 0.001, Strict: true}, testTerms(), 0, time.Now().UnixMicro())
	if err != nil {
		return err
	}
	teamLedger.RestoreBalances(stored)
	fmt.Printf("began %d\n", teamLedger.Accounts()[0].Used[contract.Day]/contract.Token)
	type result struct {
		number uint64
		err    error
	}
	results := make(chan result, 1)
	w := NewWriter(s, func(n uint64, err error) { results <- result{n, err} })
	out, busy := bufio.NewWriter(os.Stdout), false
	for i := 0; ; i++ {
		var c contract.Charge
		if v := teamLedger.Charge(balancer.Micros(i), "a", "", contract.Usage{OutputTokens: 10}, &c); !v.Rejected {
			fmt.Fprintln(out, "charged 10")
		}
		out.Flush()
		select {
		case r := <-results:
			teamLedger.CheckpointDone(r.number, r.err == nil)
			busy = false
		default:
		}
		if teamLedger.CheckpointDue() && !busy {
			busy = w.Write(teamLedger.Checkpoint())
		}
	}
}

func TestMain(m *testing.M) {
	if path := os.Getenv("ARCHKNOT_TEST_LEDGER"); path != "" {
		fmt.Fprintln(os.Stderr, chargeUntilKilled(path))
		os.Exit(1)
	}
	os.Exit(m.Run())
}

// A charging process is killed at random points. After each restart every printed charge
// counts as used, and each kill has cost at most one reserve.
func TestKilledProcessLosesNoCharge(t *testing.T) {
	executable, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "balances.db")
	rng := rand.New(rand.NewPCG(3, 3))
	charged, usedAtStart := 0, 0
	const reserve = dailyLimit / 1000
	for round := range 40 {
		cmd := exec.Command(executable)
		cmd.Env = append(os.Environ(), "ARCHKNOT_TEST_LEDGER="+path)
		out, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		lines := bufio.NewScanner(out)
		for stop := rng.IntN(3000); stop > 0 && lines.Scan(); stop-- {
			if lines.Text() == "charged 10" {
				charged += 10
			} else if _, err := fmt.Sscanf(lines.Text(), "began %d", &usedAtStart); err != nil {
				t.Fatal(lines.Text())
			} else if usedAtStart < charged || usedAtStart > charged+round*reserve {
				t.Fatalf("round %d: %d tokens count as used at the start, %d were charged", round, usedAtStart, charged)
			}
		}
		cmd.Process.Kill()
		for lines.Scan() { // charges that were printed before the kill
			if lines.Text() == "charged 10" {
				charged += 10
			}
		}
		cmd.Wait()
	}
	if charged < 1000 {
		t.Errorf("only %d tokens charged, want 1000 or more", charged)
	}
	t.Logf("%d tokens charged over 40 kills; counted at the last start: %d", charged, usedAtStart)
}

// A damaged store is renamed and replaced by an empty one. Writing to a closed store, and
// opening a directory as a store, returns an error.
func TestDamagedStore(t *testing.T) {
	path := filepath.Join(t.TempDir(), "balances.db")
	s, _, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	balances := []contract.Balance{{Team: "a", Used: [3]contract.Units{1, 2, 3}, Clean: true, Level: -4.5, LatestUnix: 7}}
	if err := s.Write(balances); err != nil {
		t.Fatal(err)
	}
	if got, err := s.Load(); err != nil || len(got) != 1 || got[0] != balances[0] {
		t.Errorf("loaded %+v, error %v", got, err)
	}
	s.Close()
	if err := s.Write(balances); err == nil {
		t.Error("write to a closed store succeeded")
	}
	intact, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(1, 2))
	renamed := 0
	for range 60 {
		damagedBytes := append([]byte(nil), intact...)
		for range 1 + rng.IntN(200) {
			damagedBytes[rng.IntN(len(damagedBytes))] ^= byte(1 + rng.IntN(255))
		}
		if err := os.WriteFile(path, damagedBytes[:rng.IntN(len(damagedBytes))+1], 0o600); err != nil {
			t.Fatal(err)
		}
		s, damaged, err := Open(path)
		if err != nil {
			t.Fatal(err)
		}
		if damaged != "" {
			renamed++
			if _, err := os.Stat(damaged); err != nil {
				t.Error(err)
			}
		}
		if err := s.Write(balances); err != nil {
			t.Error(err)
		}
		s.Close()
		os.Remove(path)
	}
	if renamed == 0 {
		t.Error("no damaged file was renamed")
	}
	if _, _, err := Open(filepath.Join(t.TempDir(), "dir", "x")); err != nil {
		t.Error(err)
	}
	var pathError *os.PathError
	if _, _, err := Open(t.TempDir()); !errors.As(err, &pathError) && err == nil {
		t.Error("a directory was opened as a store")
	}
}
