package faulttest_test

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"archknot/internal/config"
	"archknot/internal/faulttest"
)

// soakTime is how long a soak of the program runs, mutantTime one of most mutants, planTime one as the plan has it.
const soakTime, mutantTime, planTime = 25 * time.Second, 18 * time.Second, 30 * time.Second

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
	for _, seed := range []uint64{1, 4, 8, 11, 13} { // 200 and 900 gateways, pushed lists, a shared listening socket, crowds
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			expectNoViolation(t, seed)
		})
	}
}

// Guards against: requests whose connection is closed with no answer, as the soak of this seed saw twice in one run.
func TestSoakOfAClosedRequest(t *testing.T) {
	if testing.Short() {
		t.Skip("it starts processes")
	}
	t.Parallel()
	expectNoViolation(t, 240)
}

// Guards against: requests that wait on a shared listening socket, between a process that has closed it and one that does
// not accept yet, until their clients give up.
func TestSoakOfASharedSocketThatNobodyAccepts(t *testing.T) {
	if testing.Short() {
		t.Skip("it starts processes")
	}
	t.Parallel()
	expectNoViolationIn(t, 347, planTime)
}

// Guards against: a successor that gets no list in the seconds between two faults of discovery.
func TestSoakOfASuccessorBetweenFaultsOfDiscovery(t *testing.T) {
	if testing.Short() {
		t.Skip("it starts processes")
	}
	t.Parallel()
	expectNoViolationIn(t, 331, planTime)
}

// expectNoViolation expects the soak of a seed to violate no rule, and no process to end by itself.
func expectNoViolation(t *testing.T, seed uint64) {
	t.Helper()
	expectNoViolationIn(t, seed, soakTime)
}

// expectNoViolationIn is expectNoViolation for a soak that runs for a time.
func expectNoViolationIn(t *testing.T, seed uint64, lasts time.Duration) {
	t.Helper()
	r := runSoak(t, seed, "", lasts)
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
}

// mutant is a build that violates a rule, by changes of the program's source.
type mutant struct {
	name, rule string
	seeds      []uint64 // tried in turn: when a process is scheduled, no seed decides
	lasts      time.Duration
	changes    []change
}

type change struct{ file, from, to string }

var mutants = []mutant{
	{"bans are forgotten", "drain", []uint64{1, 2}, mutantTime, []change{
		{"internal/gateway/endpoints.go", "return ejected || t.drainMarks[id]", "_ = ejected; return t.drainMarks[id]"},
		{"internal/gateway/orders.go", "replica.Accepting() && (g.options.Orders == nil || !g.options.Orders.Ejected(id) && !g.pendingEjections.has(id))", "(id != \"\" && replica.Accepting())"}}},
	{"a drained gateway keeps its clients", "drained", []uint64{1, 2}, mutantTime, []change{
		{"internal/gateway/drain.go", "return t.drainedAt.Load() > 0 || t.shutdownAt.Load() > 0", "return t.shutdownAt.Load() > 0"}}},
	{"SIGTERM drops requests in flight", "lost", []uint64{5, 6, 1}, mutantTime, []change{
		{"internal/gateway/gateway.go", "return g.clients.waitUntilEmpty(ctx)", "return nil"}}},
	{"the listener is closed over its accept queue", "lost", []uint64{8, 18, 38}, soakTime, []change{
		{"internal/sockets/closeempty.go", "empty = !hasWaiting(int(fd)); empty", "empty = true; empty"}}},
	{"a second SIGTERM ends the process at once", "lost", []uint64{4, 28, 18, 14}, soakTime, []change{
		{"internal/lifecycle/run.go", "			if draining {\n				continue\n			}", "			if draining {\n				return nil\n			}"}}},
	{"requests are admitted until SIGKILL", "lost", []uint64{4, 18, 28}, soakTime, []change{
		{"internal/gateway/drain.go", "return t.drainedAt.Load() > 0 || t.shutdownAt.Load() > 0", "return t.drainedAt.Load() > 0"},
		{"internal/gateway/drain.go", "|| shutdownAt > 0 && now-shutdownAt >= shutdownAdmitPeriod", "&& shutdownAt == 0"}}},
	{"a stale list is used, and waits grow with the fleet", "drain", []uint64{1, 7, 13}, mutantTime, []change{
		{"balancer/discovery.go", "return now >= b.ListTrustedUntil() }", "_ = now; return false }"},
		{"balancer/discovery.go", "return max(b.lastHeardAt, b.unavailableAt) + b.settings.ListTrust()", "return math.MaxInt64"},
		{"balancer/discovery.go", "return b.settings.WatchInterval > 0 && now >= b.lastHeardAt+b.settings.ListTrust()", "_ = now; return false"},
		{"balancer/discovery.go", "max(pollBackoffMin, spread), max(pollBackoffMax, spread)", "max(pollBackoffMin, spread), max(pollBackoffMax, 2*spread)"},
		{"balancer/discovery.go", "b.nextPollAt = now + int64(b.random()*float64(spread)/2)", "b.nextPollAt = now + spread"},
		{"internal/gateway/discoverypoll.go", "return trust - maxTransit - min(answerTimeout, openWatchTimeout) - firstWatchWait - answerTimeout", "_ = trust; return 7500 * time.Millisecond"},
		{"internal/gateway/discoverypoll.go", "openWatchTimeout = 1500 * time.Millisecond", "openWatchTimeout = 2500 * time.Millisecond"}}},
	{"a stale list is used", "drain", []uint64{2, 5}, mutantTime, []change{
		{"balancer/discovery.go", "return now >= b.ListTrustedUntil() }", "_ = now; return false }"},
		{"balancer/discovery.go", "return max(b.lastHeardAt, b.unavailableAt) + b.settings.ListTrust()", "return math.MaxInt64"},
		{"balancer/discovery.go", "return b.settings.WatchInterval > 0 && now >= b.lastHeardAt+b.settings.ListTrust()", "_ = now; return false"}}},
	{"drains of the list are ignored", "drain", []uint64{1, 2}, mutantTime, []change{
		{"internal/endpoint/replica.go", "State:     r.State(),", "State:     balancer.EndpointReady,"},
		{"internal/endpoint/replica.go", "return r.accepting == nil || r.accepting.Load()", "return true"}}},
	{"attempts are told 0.4 s too much", "deadline", []uint64{1, 2}, mutantTime, []change{
		{"internal/gateway/attempt.go", "timeLeft := x.attempt.TimeoutAt - x.gateway.clock.now()", "timeLeft := x.attempt.TimeoutAt - x.gateway.clock.now() + 400_000"}}},
	{"time in the system's queue does not count", "deadline", []uint64{1, 6}, mutantTime, []change{
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
		source := cmp.Or(replace[path], path) // with the changes before
		text, err := os.ReadFile(source)
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
			program := m.build(t)
			for _, seed := range m.seeds {
				r := runSoak(t, seed, program, m.lasts)
				isRule := func(v faulttest.Violation) bool { return v.Rule == m.rule }
				if slices.ContainsFunc(r.Violations, isRule) {
					return
				}
				t.Logf("seed %d: rule %s: no violation found; found: %v\n%s", seed, m.rule, r.Violations, strings.Join(r.Events, "\n"))
			}
			t.Errorf("rule %s: not caught by any of the seeds %v", m.rule, m.seeds)
		})
	}
}
