package siteforecast

import (
	"context"
	"reflect"
	"testing"

	"archknot/balancer"
	"archknot/internal/config"
	"archknot/internal/fleet/model"
)

const second balancer.Micros = 1_000_000

// plan returns a SpecFunc for a variant of the site-loss plan.
func plan(t *testing.T, variant string) SpecFunc {
	t.Helper()
	p, err := config.LoadPlan("../../deploy/site-loss.plan")
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range p.Variants {
		if v.Name == variant {
			return func(seed uint64) (*model.Spec, error) { return p.Spec(v, p.Workloads[0], seed) }
		}
	}
	t.Fatalf("no variant %q", variant)
	return nil
}

// A forecast is deterministic, stays within the fluid bound, sheds the classes with the lowest weight per work
// first, and predicts less goodput for more traffic.
func TestForecast(t *testing.T) {
	l := Loss{Site: "south", At: 4 * second, Duration: 5 * second, NoticedAfter: 6 * second, Observed: 15 * second}
	forecast := func(variant string) *Forecast {
		t.Helper()
		f, err := Run(context.Background(), plan(t, variant), l, Options{Seeds: 4, FirstSeed: 1})
		if err != nil {
			t.Fatal(err)
		}
		return f
	}
	usual, full := forecast("usual"), forecast("full")
	if !reflect.DeepEqual(usual, forecast("usual")) {
		t.Error("two forecasts of the same plan differ")
	}
	if usual.Served.Mean < full.Served.Mean || full.FluidBound >= usual.FluidBound || full.Sites[0].LoadAfterLoss <= 1 || usual.Sites[0].LoadAfterLoss >= 1 {
		t.Errorf("the forecast for more traffic is not worse: %+v and %+v", usual.Sites, full.Sites)
	}
	if full.Served.Mean > full.FluidBound+0.03 {
		t.Errorf("fraction served %.3f is above the fluid bound %.3f", full.Served.Mean, full.FluidBound)
	}
	for i := 1; i < len(full.Classes); i++ {
		if full.Classes[i].WeightPerWork < full.Classes[i-1].WeightPerWork {
			t.Errorf("classes are not in ascending order of weight per work: %+v", full.Classes)
		}
	}
	if len(full.Seconds) < 14 || full.SpareFactor < 1.1 || usual.SpareFactor != 1 {
		t.Errorf("%d seconds, want 14 or more; spare factors %.2f and %.2f, want 1.1 or more and 1", len(full.Seconds), full.SpareFactor, usual.SpareFactor)
	}
}

// Loss.Spec rejects a loss of an unknown site or without a duration, and does not modify the specification that
// it was given.
func TestInvalidLosses(t *testing.T) {
	s, err := plan(t, "usual")(1)
	if err != nil {
		t.Fatal(err)
	}
	for name, l := range map[string]Loss{"no such site": {Site: "east", At: 1, Duration: 1, Observed: 1}, "no time": {Site: "south", At: 1, Observed: 1}} {
		if _, err := l.Spec(s); err == nil {
			t.Errorf("%s: loss accepted, want an error", name)
		}
	}
	if len(s.Faults) != 0 || len(s.GatewayFaults) != 0 {
		t.Error("Loss.Spec modified the plan's specification")
	}
}
