package faulttest

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"archknot/balancer"
	"archknot/internal/fleet/emulate"
	"archknot/internal/fleet/model"
)

// The rules that Audit checks, as Violation.Rule.
const (
	ruleAttempts   = "attempts"    // a request has at most Rules.MaxAttempts attempts
	ruleConcurrent = "at_once"     // attempts of a request do not overlap, unless hedging is allowed
	ruleDeadline   = "deadline"    // no attempt begins after the request's deadline
	ruleDrain      = "drain"       // no attempt reaches a draining replica
	ruleOnce       = "once"        // a non-idempotent request runs at most once
	ruleAnswers    = "answers"     // a request gets at most one complete response
	ruleLateAnswer = "late_answer" // an error response does not arrive after the deadline
)

// Rules are the parameters of an audit.
type Rules struct {
	MaxAttempts   int                  // per request, over all gateways
	MayHedge      bool                 // attempts of a request may overlap
	NonIdempotent map[string]bool      // by class
	Tolerance     time.Duration        // by which a time limit may be exceeded
	DrainedBy     map[string]time.Time // by replica: the last time at which an attempt may reach it
}

// newRules returns the rules for a specification. DrainedBy is left empty.
func newRules(spec *model.Spec, tolerance time.Duration) Rules {
	rules := Rules{
		MaxAttempts:   spec.Settings.MaxAttempts,
		MayHedge:      spec.Settings.MayHedge,
		NonIdempotent: map[string]bool{},
		Tolerance:     tolerance,
	}
	for _, class := range spec.Settings.Classes {
		rules.NonIdempotent[class.Name] = class.Idempotency == balancer.NonIdempotent
	}
	return rules
}

// Violation reports that a rule did not hold. RequestID is empty if the rule is not about a request.
type Violation struct {
	Rule      string `json:"rule"`
	RequestID string `json:"request"`
	Details   string `json:"what"`
}

// Audit checks the records of clients and replicas against the rules. Violations found in the replicas'
// records come first; each part is sorted by request.
func Audit(rules Rules, requests []emulate.ClientAttempt, attempts []emulate.ReplicaAttempt) []Violation {
	a := &audit{rules: rules}
	attemptsByRoot := map[string][]emulate.ReplicaAttempt{}
	for _, attempt := range attempts {
		attemptsByRoot[attempt.RootID] = append(attemptsByRoot[attempt.RootID], attempt)
	}
	for _, root := range sortedKeys(attemptsByRoot) {
		a.checkAttempts(root, attemptsByRoot[root])
	}
	requestsByRoot := map[string][]emulate.ClientAttempt{}
	for _, request := range requests {
		requestsByRoot[request.RootID] = append(requestsByRoot[request.RootID], request)
	}
	for _, root := range sortedKeys(requestsByRoot) {
		a.checkResponses(root, requestsByRoot[root])
	}
	return a.violations
}

// audit collects the violations of one call of Audit.
type audit struct {
	rules      Rules
	violations []Violation
}

func (a *audit) add(rule, root, format string, args ...any) {
	a.violations = append(a.violations, Violation{rule, root, fmt.Sprintf(format, args...)})
}

// checkAttempts checks all attempts of one request.
func (a *audit) checkAttempts(root string, attempts []emulate.ReplicaAttempt) {
	slices.SortFunc(attempts, func(a, b emulate.ReplicaAttempt) int { return a.ReceivedAt.Compare(b.ReceivedAt) })
	if len(attempts) > a.rules.MaxAttempts {
		a.add(ruleAttempts, root, "%d attempts, %d are allowed", len(attempts), a.rules.MaxAttempts)
	}
	ran := 0
	for i, attempt := range attempts {
		if attempt.Declined {
			continue
		}
		ran++
		a.checkConcurrency(root, attempt, attempts[:i])
		a.checkTimes(root, attempt)
	}
	if ran > 1 && a.rules.NonIdempotent[attempts[0].Class] {
		a.add(ruleOnce, root, "ran %d times", ran)
	}
}

func (a *audit) checkConcurrency(root string, attempt emulate.ReplicaAttempt, earlier []emulate.ReplicaAttempt) {
	if a.rules.MayHedge {
		return
	}
	for _, other := range earlier {
		if overlap := other.EndedAt.Sub(attempt.ReceivedAt); !other.Declined && overlap > a.rules.Tolerance {
			a.add(ruleConcurrent, root, "an attempt at %s began %v before that at %s ended", attempt.Replica, overlap, other.Replica)
		}
	}
}

func (a *audit) checkTimes(root string, attempt emulate.ReplicaAttempt) {
	if late := attempt.ReceivedAt.Sub(attempt.FirstTokenDeadline); late > a.rules.Tolerance {
		a.add(ruleDeadline, root, "an attempt at %s began %v after its deadline", attempt.Replica, late)
	}
	drainedBy, drains := a.rules.DrainedBy[attempt.Replica]
	if late := attempt.ReceivedAt.Sub(drainedBy); drains && late > a.rules.Tolerance {
		a.add(ruleDrain, root, "an attempt reached %s %v after the limit for its drain", attempt.Replica, late)
	}
}

// checkResponses checks the responses to a request and to its resume requests.
func (a *audit) checkResponses(root string, requests []emulate.ClientAttempt) {
	slices.SortFunc(requests, func(a, b emulate.ClientAttempt) int { return cmp.Compare(a.ResumeIndex, b.ResumeIndex) })
	complete := 0
	ends := map[string]int{}
	for _, request := range requests {
		if request.Complete {
			complete++
		}
		ends[request.ID]++
		answered := request.Status != 0
		late := request.EndedAt - request.SentAt - request.FirstTokenTimeout
		if request.FirstTokenAt == 0 && answered && late > a.rules.Tolerance.Microseconds() {
			a.add(ruleLateAnswer, root, "%s was answered %d ms after its deadline", request.ID, late/1000)
		}
	}
	if complete > 1 {
		a.add(ruleAnswers, root, "%d complete responses", complete)
	}
	for id, n := range ends {
		if n > 1 {
			a.add(ruleAnswers, root, "%s ended %d times", id, n)
		}
	}
}

func sortedKeys[T any](m map[string]T) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
