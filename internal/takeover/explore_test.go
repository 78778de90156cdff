package takeover

import (
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"

	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"
)

// exploration is the result of explore.
type exploration struct {
	states    int
	complete  bool // all reachable states were visited
	violation string
	trace     []string // the transitions that lead to the violation
}

// visit is a reached state and the path to it.
type visit struct {
	model      *model // nil after its successors have been computed
	from       *visit
	transition string
	key        uint64
}

// trace returns the transitions that lead to a state.
func (v *visit) trace() (names []string) {
	for ; v != nil; v = v.from {
		names = append(names, v.transition)
	}
	slices.Reverse(names)
	return names
}

// successors returns the states that one transition leads to.
func (v *visit) successors() (out []*visit) {
	for _, transition := range v.model.transitions() {
		next := v.model.clone()
		transition.apply(next)
		out = append(out, &visit{next, v, transition.name, next.stateKey()})
	}
	v.model = nil
	return out
}

// explore visits the reachable states breadth first, on all cores, until it has visited limit of
// them or one violates an invariant.
func explore(start *model, limit int) exploration {
	first := &visit{model: start, transition: "start", key: start.stateKey()}
	seen := map[uint64]bool{first.key: true}
	level := []*visit{first}
	for len(level) > 0 {
		const chunk = 64
		next := make([][]*visit, (len(level)+chunk-1)/chunk)
		var group errgroup.Group
		group.SetLimit(runtime.GOMAXPROCS(0))
		for i := range next {
			group.Go(func() error {
				for _, v := range level[i*chunk : min(len(level), (i+1)*chunk)] {
					next[i] = append(next[i], v.successors()...)
				}
				return nil
			})
		}
		_ = group.Wait()
		level = level[:0]
		for _, v := range slices.Concat(next...) {
			if v.model.violation != "" {
				return exploration{states: len(seen), violation: v.model.violation, trace: v.trace()}
			}
			if seen[v.key] {
				continue
			}
			seen[v.key] = true
			if len(seen) >= limit {
				return exploration{states: len(seen)}
			}
			level = append(level, v)
		}
	}
	return exploration{states: len(seen), complete: true}
}

var (
	hedgeable     = RetryPolicy{Idempotent: true, Hedgeable: true}
	idempotent    = RetryPolicy{Idempotent: true}
	notIdempotent = RetryPolicy{}
)

// stateLimit is how many states TestExhaustiveExploration visits for each case.
func stateLimit() int {
	if v, err := strconv.Atoi(os.Getenv("TAKEOVER_STATES")); err == nil {
		return v
	}
	return 20_000
}

// withRecordsReplicated delivers all messages, so that the backups have their records.
func withRecordsReplicated(m *model) *model {
	for len(m.network) > 0 {
		message := m.network[0]
		m.network = m.network[1:]
		m.deliver(message)
	}
	return m
}

// No sequence of events with three gateways and one or two requests violates an invariant. A lost
// message is one that is never delivered. TAKEOVER_STATES=5000000 visits more states than CI does.
func TestExhaustiveExploration(t *testing.T) {
	for _, c := range []struct {
		name            string
		policies        []RetryPolicy
		recordsInFlight bool
		budget          eventBudget
	}{
		{"killed before its record is replicated", []RetryPolicy{idempotent}, true, eventBudget{kills: 1, resumes: 1}},
		{"killed", []RetryPolicy{hedgeable}, false, eventBudget{kills: 1, ticks: 1, resumes: 1}},
		{"killed, one at a time", []RetryPolicy{idempotent}, false, eventBudget{kills: 1, ticks: 1, resumes: 1}},
		{"killed, not idempotent", []RetryPolicy{notIdempotent}, false, eventBudget{kills: 1, ticks: 1, resumes: 1, failures: 1}},
		{"retried and killed", []RetryPolicy{idempotent}, false, eventBudget{kills: 1, resumes: 1, failures: 1}},
		{"frozen", []RetryPolicy{hedgeable}, false, eventBudget{freezes: 1, ticks: 1, resumes: 1}},
		{"frozen, one at a time", []RetryPolicy{idempotent}, false, eventBudget{freezes: 1, ticks: 1, resumes: 1}},
		{"partitioned and healed", []RetryPolicy{idempotent}, false, eventBudget{partitions: 1, ticks: 1, resumes: 1}},
		{"duplicated messages", []RetryPolicy{idempotent}, false, eventBudget{kills: 1, resumes: 1, duplicates: 1}},
		{"restarted", []RetryPolicy{idempotent}, false, eventBudget{kills: 1, starts: 1, resumes: 1}},
		{"rejected, and resumed again", []RetryPolicy{idempotent}, false, eventBudget{kills: 1, resumes: 2, rejections: 1}},
		{"holder and backup killed", []RetryPolicy{idempotent}, false, eventBudget{kills: 2, resumes: 1}},
		{"resumed at two gateways at once", []RetryPolicy{idempotent}, false, eventBudget{resumes: 1}},
		{"resumed twice", []RetryPolicy{idempotent}, false, eventBudget{kills: 1, resumes: 2}},
		{"two requests", []RetryPolicy{idempotent, hedgeable}, false, eventBudget{kills: 1, resumes: 2}},
	} {
		m := newModel(3, c.policies, c.budget, 2)
		if !c.recordsInFlight {
			m = withRecordsReplicated(m)
		}
		result := explore(m, stateLimit())
		t.Logf("%s: %d states, complete=%v", c.name, result.states, result.complete)
		if result.violation != "" {
			t.Errorf("%s: %s\n  %s", c.name, result.violation, strings.Join(result.trace, "\n  "))
		}
	}
}

// The exploration detects nodes without fencing, and nodes that grant claims without proof of death.
func TestExplorationFindsBrokenNodes(t *testing.T) {
	m := withRecordsReplicated(newModel(3, []RetryPolicy{idempotent}, eventBudget{ticks: 1, resumes: 1}, 2))
	for _, n := range m.nodes {
		n.disableDeathProof = true
	}
	if result := explore(m, 200_000); !strings.Contains(result.violation, "at once") {
		t.Errorf("without proof of death: %q", result.violation)
	}
	m = withRecordsReplicated(newModel(3, []RetryPolicy{hedgeable}, eventBudget{freezes: 1, ticks: 1, resumes: 1}, 2))
	for _, n := range m.nodes {
		n.disableFencing = true
	}
	if result := explore(m, 400_000); !strings.Contains(result.violation, "newer holder") {
		t.Errorf("without fencing: %q", result.violation)
	}
}

// Longer random schedules with more gateways and requests violate no invariant.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		allPolicies := []RetryPolicy{hedgeable, idempotent, notIdempotent}
		var policies []RetryPolicy
		for range rapid.IntRange(1, 4).Draw(t, "requests") {
			policies = append(policies, rapid.SampledFrom(allPolicies).Draw(t, "policy"))
		}
		upTo3 := rapid.IntRange(0, 3)
		gateways := rapid.IntRange(3, 6).Draw(t, "gateways")
		m := newModel(gateways, policies, eventBudget{
			kills:      upTo3.Draw(t, "kills"),
			starts:     upTo3.Draw(t, "starts"),
			freezes:    upTo3.Draw(t, "freezes"),
			partitions: upTo3.Draw(t, "partitions"),
			duplicates: upTo3.Draw(t, "duplicates"),
			ticks:      12,
			resumes:    6,
			failures:   4,
			rejections: 2,
		}, 2)
		var trace []string
		for range 120 {
			possible := m.transitions()
			if len(possible) == 0 {
				break
			}
			next := possible[rapid.IntRange(0, len(possible)-1).Draw(t, "transition")]
			trace = append(trace, next.name)
			next.apply(m)
			if m.violation != "" {
				t.Fatalf("%s\n  %s", m.violation, strings.Join(trace, "\n  "))
			}
		}
	})
}
