package experiment_test

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"archknot/internal/experiment"
	"archknot/internal/fleet/model"
)

// Results that the build of commit b3142ba stored are read with all their fields, and are rejected for another
// plan than theirs.
func TestStoredResults(t *testing.T) {
	text, err := os.ReadFile("testdata/stored/results.db")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "results.db"), text, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, _, err := experiment.OpenStore(dir, []byte("another plan")); !errors.Is(err, experiment.ErrOtherPlan) {
		t.Errorf("opened with another plan: %v, want ErrOtherPlan", err)
	}
	s, setAside, err := experiment.OpenStore(dir, []byte("a plan"))
	if err != nil || setAside != "" {
		t.Fatalf("stored results set aside as %q, error %v", setAside, err)
	}
	defer s.Close()
	got, err := s.Records()
	if err != nil {
		t.Fatal(err)
	}
	count := func(sent, served, inTime, outputTokens int64, weightServed, weightOffered float64) *model.Count {
		return &model.Count{Sent: sent, Ends: map[string]int64{"served": served, "late": 3, "refused": 1}, InTime: inTime, WeightServed: weightServed, WeightOffered: weightOffered, Retried: 2, OutputTokens: outputTokens,
			FirstTokenMs: map[string]float64{"p50": 210.5, "p99": 1900.25}, ResponseMs: map[string]float64{"p50": 1210.5, "max": 4100}}
	}
	result := func(busy float64) *model.Result {
		return &model.Result{
			All:      count(60, 56, 54, 6000, 55.5, 60),
			Classes:  map[string]*model.Count{"chat": count(40, 36, 34, 4000, 35.5, 40)},
			Tenants:  map[string]*model.Count{"quay": count(20, 16, 14, 2000, 15.5, 20)},
			Windows:  []model.Window{{At: 0, Sent: 30, Served: 28, InTime: 27, WeightServed: 27.5, WeightOffered: 30}, {At: 10.5, Sent: 31, Served: 29, InTime: 26, WeightServed: 26.25, WeightOffered: 32}},
			Attempts: 71, Wasted: 5, Events: 1234, DiscoveryCallsFailed: 6, Steps: 789, OutputTokens: 6000, PromptTokensRead: 7000, PromptTokensReused: 800, Preempted: 9, Declined: 10, HealthChecks: 11, BusyFraction: busy,
		}
	}
	want := []experiment.Record{
		{Run: experiment.Run{Variant: "base", Workload: "day", Seed: 1}, Result: result(1.375)},
		{Run: experiment.Run{Variant: "base", Workload: "day", Seed: 2}, Result: result(2.375)},
	}
	if diff := cmp.Diff(want, got, cmpopts.IgnoreUnexported(model.Result{}, model.Count{})); diff != "" {
		t.Error(diff)
	}
}
