package siteforecast

import (
	"context"
	"reflect"
	"testing"

	"archknot/internal/config"
	"archknot/internal/fleet/model"
)

const sec = 1_000_000

func plan(t *testing.T, variant string) func(uint64) (*model.Spec, error) {
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

func TestForecast(t *testing.T) {
	l := Loss{Site: "south", At: 4 * sec, For: 5 * sec, Told: 6 * sec, Watch: 15 * sec}
	make := func(variant string) *Forecast {
		f, err := Run(context.Background(), plan(t, variant), l, Options{Seeds: 4, FirstSeed: 1})
		if err != nil {
			t.Fatal(err)
		}
		return f
	}
	usual, full := make("usual"), make("full")
	if !reflect.DeepEqual(usual, make("usual")) {
		t.Error("two forecasts of one plan differ")
	}
	if usual.Served.Mean < full.Served.Mean || full.FluidBound >= usual.FluidBound || full.Sites[0].LoadAfterLoss <= 1 || usual.Sites[0].LoadAfterLoss >= 1 {
		t.Errorf("more traffic is no worse: %+v and %+v", usual.Sites, full.Sites)
	}
	if full.Served.Mean > full.FluidBound+0.03 {
		t.Errorf("served %.3f, above the oracle's bound %.3f", full.Served.Mean, full.FluidBound)
	}
	for i := 1; i < len(full.Classes); i++ {
		if full.Classes[i].WeightPerWork < full.Classes[i-1].WeightPerWork {
			t.Errorf("the order of refusals: %+v", full.Classes)
		}
	}
	if len(full.Seconds) < 14 || full.SpareFactor < 1.1 || usual.SpareFactor != 1 {
		t.Errorf("%d seconds, spare %.2f and %.2f", len(full.Seconds), full.SpareFactor, usual.SpareFactor)
	}
}

func TestWrongLosses(t *testing.T) {
	s, err := plan(t, "usual")(1)
	if err != nil {
		t.Fatal(err)
	}
	for name, l := range map[string]Loss{"no such site": {Site: "east", At: 1, For: 1, Watch: 1}, "no time": {Site: "south", At: 1, Watch: 1}} {
		if _, err := l.Spec(s); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
	if len(s.Faults) != 0 || len(s.Strikes) != 0 {
		t.Error("the plan's own spec was changed")
	}
}
