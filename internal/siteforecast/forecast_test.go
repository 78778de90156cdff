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

// plan returns the runs of a variant of the site-loss plan.
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

// A forecast is deterministic, within the fluid bound, sheds the lowest weight for its work first, and is worse
// for more traffic.
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
		t.Error("two forecasts of one plan differ")
	}
	if usual.Served.Mean < full.Served.Mean || full.FluidBound >= usual.FluidBound || full.Sites[0].LoadAfterLoss <= 1 || usual.Sites[0].LoadAfterLoss >= 1 {
		t.Errorf("more traffic is no worse: %+v and %+v", usual.Sites, full.Sites)
	}
	if full.Served.Mean > full.FluidBound+0.03 {
		t.Errorf("served %.3f, above the fluid bound %.3f", full.Served.Mean, full.FluidBound)
	}
	for i := 1; i < len(full.Classes); i++ {
		if full.Classes[i].WeightPerWork < full.Classes[i-1].WeightPerWork {
			t.Errorf("the order in which classes are shed: %+v", full.Classes)
		}
	}
	if len(full.Seconds) < 14 || full.SpareFactor < 1.1 || usual.SpareFactor != 1 {
		t.Errorf("%d seconds, spare %.2f and %.2f", len(full.Seconds), full.SpareFactor, usual.SpareFactor)
	}
}

// A loss of an unknown site or without a duration is rejected; the plan's own run stays unchanged.
func TestInvalidLosses(t *testing.T) {
	s, err := plan(t, "usual")(1)
	if err != nil {
		t.Fatal(err)
	}
	for name, l := range map[string]Loss{"no such site": {Site: "east", At: 1, Duration: 1, Observed: 1}, "no time": {Site: "south", At: 1, Observed: 1}} {
		if _, err := l.Spec(s); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	if len(s.Faults) != 0 || len(s.Strikes) != 0 {
		t.Error("the plan's own spec was changed")
	}
}
