package ledger_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"archknot/internal/contract"
	"archknot/internal/contract/ledger"
)

// A stored file written by the build of commit b3142ba is read with all its fields.
func TestStoredBalances(t *testing.T) {
	text, err := os.ReadFile("testdata/stored/balances.db")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "balances.db")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	s, damagedPath, err := ledger.Open(path)
	if err != nil || damagedPath != "" {
		t.Fatalf("damaged file renamed to %q, error %v", damagedPath, err)
	}
	defer s.Close()
	got, err := s.Load()
	want := []contract.Balance{
		{Team: "quay", PeriodStarts: [3]int64{1796130000000000, 1796083200000000, 1790812800000000}, Used: [3]contract.Units{1200, 34000, 560000},
			LatestUnix: 1796131234567890},
		{Team: "reef", PeriodStarts: [3]int64{1796130000000001, 1796083200000002, 1790812800000003}, Used: [3]contract.Units{7, 8, 9}, Level: -2.25, Clean: true,
			LatestUnix: 1796131234567891},
	}
	if diff := cmp.Diff(want, got); err != nil || diff != "" {
		t.Error(err, diff)
	}
}
