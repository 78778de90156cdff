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

const (
	// soakDuration is the duration of most soaks of the unchanged program.
	soakDuration = 25 * time.Second
	// mutantDuration is the duration of most soaks of mutants.
	mutantDuration = 18 * time.Second
	// planDuration is the duration in deploy/soak.plan.
	planDuration = 30 * time.Second
)

// runSoak runs the soak of deploy/soak.plan with a seed. The gateways run program, or the test binary if it is empty.
func runSoak(t *testing.T, seed uint64, program string, duration time.Duration) *faulttest.SoakResult {
	t.Helper()
	plan, err := config.LoadPlan("../../deploy/soak.plan")
	if err != nil {
		t.Fatal(err)
	}
	spec, err := plan.Spec(plan.Variants[0], plan.Workloads[0], seed)
	if err != nil {
		t.Fatal(err)
	}
	spec.Duration = duration.Microseconds()
	ctx, stop := context.WithTimeout(t.Context(), time.Minute)
	defer stop()
	result, err := faulttest.Soak(ctx, spec, faulttest.Options{Dir: t.TempDir(), Program: program})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("seed %d: %d requests, %s, %d attempts, %d violations", result.Seed, result.Sent, result.Outcomes, result.Attempts, len(result.Violations))
	return result
}

// Guards against rule violations and crashes under the random events of a few seeds. More seeds are run by hand:
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

// Guards against requests whose connection is closed without a response, which this seed's events can bring about.
func TestSoakOfAClosedRequest(t *testing.T) {
	if testing.Short() {
		t.Skip("it starts processes")
	}
	t.Parallel()
	expectNoViolation(t, 240)
}

// Guards against requests that time out on a shared listening socket, after one process has closed it and before the
// next one accepts connections.
func TestSoakOfASharedSocketThatNobodyAccepts(t *testing.T) {
	if testing.Short() {
		t.Skip("it starts processes")
	}
	t.Parallel()
	expectNoViolationFor(t, 347, planDuration)
}

// Guards against a successor process that gets no endpoint list in the seconds between two faults of discovery.
func TestSoakOfASuccessorBetweenFaultsOfDiscovery(t *testing.T) {
	if testing.Short() {
		t.Skip("it starts processes")
	}
	t.Parallel()
	expectNoViolationFor(t, 331, planDuration)
}

// expectNoViolation expects a soak of soakDuration without rule violations and crashes.
func expectNoViolation(t *testing.T, seed uint64) {
	t.Helper()
	expectNoViolationFor(t, seed, soakDuration)
}

// expectNoViolationFor is expectNoViolation for a soak of another duration.
func expectNoViolationFor(t *testing.T, seed uint64, duration time.Duration) {
	t.Helper()
	result := runSoak(t, seed, "", duration)
	for _, violation := range result.Violations {
		t.Errorf("rule %s, request %s: %s", violation.Rule, violation.RequestID, violation.Details)
	}
	for _, text := range result.Crashes {
		t.Error(text)
	}
	if t.Failed() {
		t.Log(strings.Join(result.Events, "\n"))
	}
	if result.Sent < 300 || len(result.Events) < 10 {
		t.Errorf("soak too small: %d requests, %d events; want at least 300 and 10", result.Sent, len(result.Events))
	}
}

// mutant is a build of the program whose changed source violates a rule.
type mutant struct {
	name, rule string
	seeds      []uint64 // tried in turn, because a seed does not determine the scheduling of processes
	duration   time.Duration
	changes    []change
}

type change struct{ file, from, to string }

var mutants = []mutant{
	{"ejections are ignored", "drain", []uint64{1, 2}, mutantDuration, []change{
		{"internal/gateway/endpointtracker.go", "return ejected || t.drainMarks[id]", "_ = ejected; return t.drainMarks[id]"},
		{"internal/gateway/orders.go", "return g.options.Orders == nil || !g.options.Orders.Ejected(id) && !g.pendingEjections.has(id)", "return id != \"\""}}},
	{"a drained gateway keeps its clients", "drained", []uint64{1, 2}, mutantDuration, []change{
		{"internal/gateway/drain.go", "return t.drainedAt.Load() > 0 || t.shutdownAt.Load() > 0", "return t.shutdownAt.Load() > 0"}}},
	{"SIGTERM drops requests in flight", "lost", []uint64{5, 6, 1}, mutantDuration, []change{
		{"internal/gateway/gateway.go", "return g.clients.waitUntilEmpty(ctx)", "return nil"}}},
	{"the listener is closed with connections in its accept queue", "lost", []uint64{8, 18, 38}, soakDuration, []change{
		{"internal/sockets/closeempty.go", "empty = !hasWaiting(int(fd)); empty", "empty = true; empty"}}},
	{"a second SIGTERM ends the process at once", "lost", []uint64{4, 28, 18, 14}, soakDuration, []change{
		{"internal/lifecycle/run.go", "			if draining {\n				continue\n			}", "			if draining {\n				return nil\n			}"}}},
	{"requests are admitted until SIGKILL", "lost", []uint64{4, 18, 28}, soakDuration, []change{
		{"internal/gateway/drain.go", "return t.drainedAt.Load() > 0 || t.shutdownAt.Load() > 0", "return t.drainedAt.Load() > 0"},
		{"internal/gateway/drain.go", "|| shutdownAt > 0 && now-shutdownAt >= shutdownAdmitPeriod", "&& shutdownAt == 0"}}},
	{"a stale list is used, and poll intervals grow with the fleet", "drain", []uint64{1, 7, 13}, mutantDuration, []change{
		{"balancer/listvalidity.go", "return now >= b.ListValidUntil() }", "_ = now; return false }"},
		{"balancer/listvalidity.go", "return max(b.listCurrentAt, b.unavailableAt, b.unreachableAt) + b.settings.ListValidity()", "return math.MaxInt64"},
		{"balancer/listvalidity.go", "if b.settings.WatchInterval > 0 && b.mayLackChanges() {", "if false {"},
		{"balancer/listvalidity.go", "return b.settings.WatchInterval > 0 && now >= b.listCurrentAt+b.settings.ListValidity()", "_ = now; return false"},
		{"balancer/discovery.go", "max(pollBackoffMin, spread), max(pollBackoffMax, spread)", "max(pollBackoffMin, spread), max(pollBackoffMax, 2*spread)"},
		{"balancer/discovery.go", "b.nextPollAt = now + int64(b.random()*float64(spread)/2)", "b.nextPollAt = now + spread"},
		{"internal/gateway/discoverypoll.go", "return trust - maxTransit - min(answerTimeout, openWatchTimeout) - firstWatchWait - answerTimeout", "_ = trust; return 7500 * time.Millisecond"},
		{"internal/gateway/discoverypoll.go", "openWatchTimeout = 1500 * time.Millisecond", "openWatchTimeout = 2500 * time.Millisecond"}}},
	{"a stale list is used", "drain", []uint64{2, 5}, mutantDuration, []change{
		{"balancer/listvalidity.go", "return now >= b.ListValidUntil() }", "_ = now; return false }"},
		{"balancer/listvalidity.go", "return max(b.listCurrentAt, b.unavailableAt, b.unreachableAt) + b.settings.ListValidity()", "return math.MaxInt64"},
		{"balancer/listvalidity.go", "if b.settings.WatchInterval > 0 && b.mayLackChanges() {", "if false {"},
		{"balancer/listvalidity.go", "return b.settings.WatchInterval > 0 && now >= b.listCurrentAt+b.settings.ListValidity()", "_ = now; return false"}}},
	{"drains of the list are ignored", "drain", []uint64{1, 2}, mutantDuration, []change{
		{"internal/endpoint/replica.go", "State:     r.State(),", "State:     balancer.EndpointReady,"},
		{"internal/endpoint/replica.go", "return r.accepting == nil || r.accepting.Load()", "return true"}}},
	{"attempts get a deadline 0.4 s too late", "deadline", []uint64{1, 2}, mutantDuration, []change{
		{"internal/gateway/attempt.go", "timeLeft := x.attempt.TimeoutAt - x.gateway.clock.now()", "timeLeft := x.attempt.TimeoutAt - x.gateway.clock.now() + 400_000"}}},
	{"time in the kernel's receive queue does not count", "deadline", []uint64{1, 6}, mutantDuration, []change{
		{"internal/gateway/clientconn.go", "return max(earliest, now-balancer.Micros(info.Last_data_recv)*1000)", "_, _ = earliest, info; return now"}}},
}

// build builds the mutant's program and returns its path.
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
		source := cmp.Or(replace[path], path) // with earlier changes of the same file
		text, err := os.ReadFile(source)
		if err != nil {
			t.Fatal(err)
		}
		if strings.Count(string(text), c.from) != 1 {
			t.Fatalf("%s: %q does not occur exactly once: the mutant needs an update for the changed source", c.file, c.from)
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
		t.Fatalf("build the mutant: %v\n%s", err, text)
	}
	return program
}

// Guards against an audit that misses violations: builds mutants of the program, and expects the soak of one of their
// seeds to report the violated rule.
func TestSoakCatchesMutants(t *testing.T) {
	if testing.Short() {
		t.Skip("it builds programs and starts processes")
	}
	for _, m := range mutants {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			program := m.build(t)
			for _, seed := range m.seeds {
				result := runSoak(t, seed, program, m.duration)
				isRule := func(v faulttest.Violation) bool { return v.Rule == m.rule }
				if slices.ContainsFunc(result.Violations, isRule) {
					return
				}
				t.Logf("seed %d: no violation of rule %s; violations found: %v\n%s", seed, m.rule, result.Violations, strings.Join(result.Events, "\n"))
			}
			t.Errorf("rule %s: no violation found with any of the seeds %v", m.rule, m.seeds)
		})
	}
}
