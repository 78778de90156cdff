package faulttest_test

import (
	"context"
	"os"
	"testing"
	"time"

	"archknot/balancer"
	"archknot/internal/cli"
	"archknot/internal/config"
	"archknot/internal/faulttest"
	"archknot/internal/fleet/emulate"
	"archknot/internal/fleet/model"
	"archknot/internal/siteforecast"
)

// TestMain runs the command line instead of the tests if the test binary was started as a gateway of a drill.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == "serve" {
		cli.Exec()
	}
	os.Exit(m.Run())
}

// Guards against rule violations, crashes and lost requests when gateways are killed, stopped, partitioned and
// restarted. Most requests in flight at lost gateways must be completely served.
func TestDrills(t *testing.T) {
	if testing.Short() {
		t.Skip("it starts processes")
	}
	for _, c := range []struct {
		plan, variant string
		minRecovered  float64 // fraction of the interrupted requests that are completely served in time
	}{
		{"states", "strict", 0.7}, {"many", "beside", 0.7}, {"frozen", "strict", 0}, {"cut", "strict", 0}, {"cut", "beside", 0},
		{"rolling", "strict", 0.8}, {"full", "strict", 0},
	} {
		t.Run(c.plan+"/"+c.variant, func(t *testing.T) {
			t.Parallel()
			result := run(t, "testdata/"+c.plan+".plan", c.variant)
			for _, violation := range result.Violations {
				t.Errorf("rule %s, request %s: %s", violation.Rule, violation.RequestID, violation.Details)
			}
			for _, text := range result.Crashes {
				t.Error(text)
			}
			if result.Sent < 100 || result.Outcomes["served"] < result.Sent/2 {
				t.Errorf("outcomes of %d requests: %v", result.Sent, result.Outcomes)
			}
			if result.Interrupted >= 5 && float64(result.Recovered) < c.minRecovered*float64(result.Interrupted) {
				t.Errorf("in flight at lost gateways: %d, completely served: %d", result.Interrupted, result.Recovered)
			}
		})
	}
}

// Guards against a drill that does not detect lost requests: the gateways are not connected, so that requests at a
// lost gateway are lost.
func TestDrillDetectsLoss(t *testing.T) {
	if testing.Short() {
		t.Skip("it starts processes")
	}
	t.Parallel()
	if r := run(t, "testdata/many.plan", "off"); r.Interrupted < 5 || r.Recovered*2 > r.Interrupted {
		t.Errorf("in flight at lost gateways: %d, completely served: %d", r.Interrupted, r.Recovered)
	}
}

func run(t *testing.T, planPath, variant string) *faulttest.Result {
	t.Helper()
	loaded, err := config.LoadPlan(planPath)
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range loaded.Variants {
		if v.Name == variant {
			spec, err := loaded.Spec(v, loaded.Workloads[0], 1)
			if err != nil {
				t.Fatal(err)
			}
			ctx, stop := context.WithTimeout(t.Context(), time.Minute)
			defer stop()
			result, err := faulttest.Run(ctx, spec, faulttest.Options{Dir: t.TempDir()})
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("sent=%d %v interrupted=%d recovered=%d", result.Sent, result.Outcomes, result.Interrupted, result.Recovered)
			return result
		}
	}
	t.Fatalf("%s has no variant %s", planPath, variant)
	return nil
}

// Checks that the audit finds a violation of each rule, and none in valid records.
func TestAuditFindsViolations(t *testing.T) {
	began := time.Now()
	at := func(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }
	attempt := func(root string, from, to int, change func(*emulate.ReplicaAttempt)) emulate.ReplicaAttempt {
		a := emulate.ReplicaAttempt{RootID: root, ID: root, Replica: "k-1", Class: "chat", ReceivedAt: at(from), EndedAt: at(to), FirstTokenDeadline: at(4000)}
		if change != nil {
			change(&a)
		}
		return a
	}
	class := &balancer.Class{Name: "chat"}
	request := func(id string, resumeIndex int, complete bool) emulate.ClientAttempt {
		return emulate.ClientAttempt{RootID: "a", ID: id, ResumeIndex: resumeIndex, Class: class, FirstTokenTimeout: 4_000_000, FirstTokenAt: 1, EndedAt: 100_000, Status: 200, Complete: complete}
	}
	rules := faulttest.Rules{MaxAttempts: 3, NonIdempotent: map[string]bool{"once": true}, Tolerance: 50 * time.Millisecond, DrainedBy: map[string]time.Time{"k-9": at(1000)}}
	once := func(a *emulate.ReplicaAttempt) { a.Class = "once" }
	for _, c := range []struct {
		rule     string // "": no rule is violated
		requests []emulate.ClientAttempt
		attempts []emulate.ReplicaAttempt
	}{
		{"", []emulate.ClientAttempt{request("a", 0, false), request("b", 1, true)}, []emulate.ReplicaAttempt{attempt("a", 0, 100, nil), attempt("a", 140, 300, nil)}},
		{"attempts", nil, []emulate.ReplicaAttempt{attempt("a", 0, 1, nil), attempt("a", 100, 101, nil), attempt("a", 200, 201, nil), attempt("a", 300, 301, nil)}},
		{"at_once", nil, []emulate.ReplicaAttempt{attempt("a", 0, 200, nil), attempt("a", 100, 300, nil)}},
		{"once", nil, []emulate.ReplicaAttempt{attempt("a", 0, 10, once), attempt("a", 100, 110, once)}},
		{"", nil, []emulate.ReplicaAttempt{attempt("a", 0, 10, func(a *emulate.ReplicaAttempt) { a.Class, a.Declined = "once", true }), attempt("a", 100, 110, once)}},
		{"deadline", nil, []emulate.ReplicaAttempt{attempt("a", 4100, 4200, nil)}},
		{"drain", nil, []emulate.ReplicaAttempt{attempt("a", 1100, 1200, func(a *emulate.ReplicaAttempt) { a.Replica = "k-9" })}},
		{"answers", []emulate.ClientAttempt{request("a", 0, true), request("b", 1, true)}, nil},
		{"answers", []emulate.ClientAttempt{request("a", 0, false), request("a", 0, false)}, nil},
		{"late_answer", []emulate.ClientAttempt{{RootID: "a", ID: "a", Class: class, FirstTokenTimeout: 1_000_000, EndedAt: 1_100_000, Status: 503}}, nil},
	} {
		got := faulttest.Audit(rules, c.requests, c.attempts)
		switch {
		case c.rule == "" && len(got) > 0:
			t.Errorf("valid records: found violations %v", got)
		case c.rule != "" && (len(got) == 0 || got[0].Rule != c.rule):
			t.Errorf("violation of rule %s not found first; found: %v", c.rule, got)
		}
	}
}

// Guards against lost requests when one of three zones is lost with its gateways and returns with empty caches, is
// lost repeatedly, or is slow. The other zones must take over the load: very few attempts go to vanished machines, no
// rule is violated, and most of the priority weight is served.
func TestSiteLost(t *testing.T) {
	if testing.Short() {
		t.Skip("it starts processes")
	}
	second := balancer.Micros(1_000_000)
	again := model.Fault{At: 5 * second, Duration: 2 * second, Kind: "lose", Replica: -1, Zone: "south", Factor: 9}
	for name, c := range map[string]struct {
		lostFor       balancer.Micros
		moreFaults    []model.Fault
		minServed     float64 // share of the priority weight
		maxToVanished float64 // share of the attempts
	}{
		"lost":     {3 * second, nil, 0.9, 0.01},
		"flapping": {2 * second, []model.Fault{again}, 0.85, 0.05}, // two losses, whose first 1.5 s do not count
		"slow":     {0, []model.Fault{{At: 2 * second, Duration: 4 * second, Kind: "slow", Replica: -1, Zone: "south", Factor: 3}}, 0.85, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p, err := config.LoadPlan("../../deploy/site-loss.plan")
			if err != nil {
				t.Fatal(err)
			}
			spec, err := p.Spec(p.Variants[0], p.Workloads[0], 3)
			if err != nil {
				t.Fatal(err)
			}
			spec, err = siteforecast.Loss{Site: "south", At: 2 * second, Duration: max(1, c.lostFor), NoticedAfter: 9 * second, Observed: 7 * second}.Spec(spec)
			if err != nil {
				t.Fatal(err)
			}
			if c.lostFor == 0 {
				spec.Faults, spec.GatewayFaults = nil, nil
			}
			spec.Faults = append(spec.Faults, c.moreFaults...)
			ctx, stop := context.WithTimeout(t.Context(), time.Minute)
			defer stop()
			r, err := faulttest.Run(ctx, spec, faulttest.Options{})
			if err != nil {
				t.Fatal(err)
			}
			for _, b := range r.Violations {
				t.Errorf("rule %s, request %s: %s", b.Rule, b.RequestID, b.Details)
			}
			for _, text := range r.Crashes {
				t.Error(text)
			}
			t.Logf("%d requests, %.3f of the priority weight served, %.4f of the attempts to the lost zone", r.Sent, r.WeightServed/r.WeightOffered, r.ToVanishedFraction)
			if served := r.WeightServed / r.WeightOffered; r.Sent < 150 || served < c.minServed || r.ToVanishedFraction > c.maxToVanished {
				t.Errorf("of %d requests %.3f of the priority weight served, %.3f of the attempts to the lost zone", r.Sent, served, r.ToVanishedFraction)
			}
		})
	}
}
