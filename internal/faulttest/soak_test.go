package faulttest_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"archknot/internal/config"
	"archknot/internal/faulttest"
)

// runSoak runs the soak of deploy/soak.plan with a seed, for a program or this one.
func runSoak(t *testing.T, seed uint64, program string, lasts time.Duration) *faulttest.SoakResult {
	t.Helper()
	p, err := config.LoadPlan("../../deploy/soak.plan")
	if err != nil {
		t.Fatal(err)
	}
	spec, err := p.Spec(p.Variants[0], p.Workloads[0], seed)
	if err != nil {
		t.Fatal(err)
	}
	spec.Duration = lasts.Microseconds()
	ctx, stop := context.WithTimeout(t.Context(), time.Minute)
	defer stop()
	r, err := faulttest.Soak(ctx, spec, faulttest.Options{Dir: t.TempDir(), Program: program})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("seed %d: %d requests, %s, %d attempts, %d violations", r.Seed, r.Sent, r.Outcomes, r.Attempts, len(r.Violations))
	return r
}

// No rule is violated and no process ends by itself, whatever a seed draws. More seeds are run by hand:
// archknot drill soak deploy/soak.plan --seeds 50 --jobs 2.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("it starts processes")
	}
	for _, seed := range []uint64{3, 4, 5} { // with and without a shared listening socket, and with idle clients
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r := runSoak(t, seed, "", 10*time.Second)
			for _, b := range r.Violations {
				t.Errorf("rule %s, request %s: %s", b.Rule, b.RequestID, b.Details)
			}
			for _, text := range r.Crashes {
				t.Error(text)
			}
			if t.Failed() {
				t.Log(strings.Join(r.Events, "\n"))
			}
			if r.Sent < 300 || len(r.Events) < 10 {
				t.Errorf("%d requests, %d events", r.Sent, len(r.Events))
			}
		})
	}
}

// mutant is a build that violates a rule, by changes of the program's source.
type mutant struct {
	name, rule string
	seed       uint64
	changes    []change
}

type change struct{ file, from, to string }

var mutants = []mutant{
	{"bans are forgotten", "drain", 2, []change{
		{"internal/gateway/endpoints.go", "return ejected || t.drainMarks[id]", "_ = ejected; return t.drainMarks[id]"},
		{"internal/gateway/orders.go", "return replica.Accepting() && (g.options.Orders == nil || !g.options.Orders.Ejected(id) && !g.pendingEjections.has(id))", "_ = id; return replica.Accepting()"}}},
	{"a drained gateway keeps its clients", "drained", 2, []change{
		{"internal/gateway/drain.go", "return t.drainedAt.Load() > 0 || t.shutdownAt.Load() > 0", "return t.shutdownAt.Load() > 0"}}},
	{"SIGTERM drops requests in flight", "lost", 7, []change{
		{"internal/gateway/gateway.go", "return g.clients.waitUntilEmpty(ctx)", "return nil"}}},
	{"time in the system's queue does not count", "deadline", 15, []change{
		{"internal/gateway/clientconn.go", "return max(earliest, now-balancer.Micros(info.Last_data_recv)*1000)", "_, _ = earliest, info; return now"}}},
}

// build builds the mutant's program.
func (m *mutant) build(t *testing.T) string {
	t.Helper()
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	replace := map[string]string{}
	for i, c := range m.changes {
		path := filepath.Join(root, c.file)
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if strings.Count(string(text), c.from) != 1 {
			t.Fatalf("%s: %q does not occur exactly once: the mutant has to follow the program", c.file, c.from)
		}
		replace[path] = filepath.Join(dir, fmt.Sprint(i, ".go"))
		if err := os.WriteFile(replace[path], []byte(strings.Replace(string(text), c.from, c.to, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	overlay, err := json.Marshal(map[string]any{"Replace": replace})
	if err != nil {
		t.Fatal(err)
	}
	list := filepath.Join(dir, "overlay.json")
	if err := os.WriteFile(list, overlay, 0o600); err != nil {
		t.Fatal(err)
	}
	program := filepath.Join(dir, "archknot")
	cmd := exec.Command("go", "build", "-overlay", list, "-o", program, "./cmd/archknot")
	cmd.Dir = root
	if text, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, text)
	}
	return program
}

// The audit of a soak finds the violations of mutants.
func TestSoakCatchesMutants(t *testing.T) {
	if testing.Short() {
		t.Skip("it builds programs and starts processes")
	}
	for _, m := range mutants {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			r := runSoak(t, m.seed, m.build(t), 12*time.Second)
			for _, b := range r.Violations {
				if b.Rule == m.rule {
					return
				}
			}
			t.Errorf("rule %s: no violation found; found: %v\n%s", m.rule, r.Violations, strings.Join(r.Events, "\n"))
		})
	}
}
