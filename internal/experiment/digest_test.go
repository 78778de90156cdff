package experiment_test

import (
	"bytes"
	"crypto/sha256"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"archknot/internal/config"
	"archknot/internal/fleet/model"
)

const (
	digestFile  = "../../testdata/behavior/digests.txt"
	digestSeeds = 2
)

var updateDigests = flag.Bool("update", false, "rewrite the digests of the fleet model's results")

// TestModelDigests compares digests of the fleet model's encoded results with the checked-in digests. A change
// that must not affect any decision must leave all of them unchanged.
func TestModelDigests(t *testing.T) {
	var got bytes.Buffer
	for _, name := range []string{"testdata/behavior/slow-start.plan", "deploy/no-hedging.plan"} {
		plan, err := config.LoadPlan(filepath.Join("../..", name))
		if err != nil {
			t.Fatal(err)
		}
		for _, variant := range plan.Variants {
			for _, workload := range plan.Workloads {
				for seed := uint64(1); seed <= digestSeeds; seed++ {
					spec, err := plan.Spec(variant, workload, seed)
					if err != nil {
						t.Fatal(err)
					}
					result, err := model.Run(spec)
					if err != nil {
						t.Fatal(err)
					}
					fmt.Fprintf(&got, "%x  %s %s %s %d\n", sha256.Sum256(result.JSON()), name, variant.Name, workload.Name, seed)
				}
			}
		}
	}
	if *updateDigests {
		if err := os.WriteFile(digestFile, got.Bytes(), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(digestFile)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got.String()); diff != "" {
		t.Errorf("the model's results differ from %s (-want +got):\n%s", digestFile, diff)
	}
}
