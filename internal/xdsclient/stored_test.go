package xdsclient_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"archknot/balancer"
	"archknot/internal/configversion"
	"archknot/internal/contract"
	"archknot/internal/xdsclient"
)

// Guards against a change of the store's format. A store written by the build of commit
// b3142ba must be read with all fields: the last good version with each type of resource,
// the versions that must not be applied again, and the history.
func TestStoredConfiguration(t *testing.T) {
	text, err := os.ReadFile("testdata/stored/config.db")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.db")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	s, aside, err := xdsclient.OpenStore(path)
	if err != nil || aside != "" {
		t.Fatalf("set aside as %q, %v", aside, err)
	}
	defer s.Close()
	got, rejected, err := s.Load()
	if err != nil {
		t.Fatal(err)
	}
	want := &configversion.Config{
		Number: 42, Rollout: configversion.Rollout{FirstPercent: 25, Hold: 60000000, MaxRegression: 0.125},
		HasClasses: true, HasTenants: true, HasReplicaMarks: true, HasContracts: true,
		Classes: []balancer.Class{
			{Name: "chat", LatencyObjective: 800000, ObjectivePer1000Tokens: 90000, TokenObjective: 50000, Deadline: 4000000, PriorityWeight: 2.5, LateWeightShare: 0.25, Streaming: true},
			{Name: "order", LatencyObjective: 1000000, Deadline: 6000000, PriorityWeight: 3, LateWeightShare: 0.5, Idempotency: 1, DedupScope: 2, DedupWindow: 30000000},
			{Name: "mail", LatencyObjective: 1000001, Deadline: 6000001, PriorityWeight: 1, Idempotency: 2, DedupScope: 1},
		},
		Tenants:      []configversion.Tenant{{Name: "quay", QuotaPerS: 12.5, FleetFraction: 0.25}, {Name: "reef", QuotaPerS: 20, FleetFraction: 0.5}},
		ReplicaMarks: []configversion.ReplicaMark{{Name: "s-1", Kind: 0}, {Name: "s-2", Kind: 1}},
		Attempts:     &configversion.Attempts{Max: 3, MayHedge: true, HedgeRatio: 0.0625, RetryRatio: 0.125},
		Admission:    &configversion.Admission{MaxInFlight: 500, OverQuotaWeight: 0.75, MaxRetryAfter: 2000000},
		Connections:  &configversion.Connections{Clients: 300, Replicas: 400, IdleTimeout: 15000000, ConnectTimeout: 250000},
		Watch:        &configversion.Watch{Wait: 5000000, CallTimeout: 1500000},
		Capture:      &configversion.Capture{Record: true, CheckpointInterval: 30000000, MaxBytes: 1048576, MaxAge: 3600000000},
		Log:          &configversion.Log{Level: "warn"},
		Contracts: []contract.Terms{{Team: "quay", Tenants: []string{"a", "b"}, Classes: []string{"chat"}, Rate: 1500.5, Burst: 90000, PriorityWeight: 1.5, OverQuotaWeight: 0.05, Hard: true,
			Prices: map[string]contract.Price{"chat": {PromptToken: 0.5, OutputToken: 2}}, Floors: map[string]float64{"chat": 100},
			Budgets: []contract.Budget{{Period: 1, Soft: 800000, Hard: 1000000}}, From: 1796083200000000, Until: 1796169600000000, Successor: "reef",
			NoBorrow: true, MaxBorrowRate: 250, SurgeFactor: 4}},
	}
	if diff := cmp.Diff(want, got, cmpopts.IgnoreFields(configversion.Config{}, "Resources")); diff != "" {
		t.Error(diff)
	}
	count := map[string]int{}
	for kind, list := range got.Resources {
		count[string(kind)] = len(list)
	}
	wantCount := map[string]int{"Version": 1, "Class": 3, "Tenant": 2, "Attempts": 1, "Admission": 1, "Connections": 1, "Watch": 1, "Worker": 2, "Capture": 1, "Log": 1, "Contract": 1}
	if diff := cmp.Diff(wantCount, count); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]configversion.Number{40, 41}, rejected); diff != "" {
		t.Error(diff)
	}
	lines, err := s.History()
	wantLines := []xdsclient.HistoryEntry{
		{At: time.Date(2026, 12, 2, 9, 30, 0, 123000000, time.UTC), Version: 41, Event: "refused", Reason: "Class chat: aim_us: longer than the deadline"},
		{At: time.Date(2026, 12, 2, 9, 31, 0, 0, time.UTC), Version: 42, Event: "taken"},
	}
	if diff := cmp.Diff(wantLines, lines); err != nil || diff != "" {
		t.Error(err, diff)
	}
}
