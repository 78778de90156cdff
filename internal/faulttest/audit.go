package faulttest

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"archknot/internal/fleet/emulate"
)

// Rules are what a run is checked against.
type Rules struct {
	MaxAttempts   int             // of a request, over all gateways
	MayHedge      bool            // second copies are allowed
	NonIdempotent map[string]bool // classes that must not run twice
	Tolerance     time.Duration
	DrainedBy     map[string]time.Time // workers, and from when on nothing new may come
}

// Violation is a rule that did not hold.
type Violation struct {
	Rule      string `json:"rule"`
	RequestID string `json:"request"`
	Details   string `json:"what"`
}

// Audit checks what workers and clients saw.
func Audit(r Rules, tries []emulate.ClientAttempt, attempts []emulate.ReplicaAttempt) (out []Violation) {
	bad := func(rule, root, format string, args ...any) {
		out = append(out, Violation{rule, root, fmt.Sprintf(format, args...)})
	}
	byRoot := map[string][]emulate.ReplicaAttempt{}
	for _, a := range attempts {
		byRoot[a.RootID] = append(byRoot[a.RootID], a)
	}
	for _, root := range sortedKeys(byRoot) {
		list := byRoot[root]
		slices.SortFunc(list, func(a, b emulate.ReplicaAttempt) int { return a.ReceivedAt.Compare(b.ReceivedAt) })
		if len(list) > r.MaxAttempts {
			bad("attempts", root, "%d attempts, %d are allowed", len(list), r.MaxAttempts)
		}
		ran := 0
		for i, a := range list {
			if a.Declined {
				continue
			}
			ran++
			for _, b := range list[:i] {
				if !b.Declined && !r.MayHedge && b.EndedAt.Sub(a.ReceivedAt) > r.Tolerance {
					bad("at_once", root, "an attempt at %s began %v before that at %s ended", a.Replica, b.EndedAt.Sub(a.ReceivedAt), b.Replica)
				}
			}
			if late := a.ReceivedAt.Sub(a.FirstTokenBy); late > r.Tolerance {
				bad("deadline", root, "an attempt at %s began %v after its deadline", a.Replica, late)
			}
			if at, ok := r.DrainedBy[a.Replica]; ok && a.ReceivedAt.Sub(at) > r.Tolerance {
				bad("drain", root, "an attempt came to %s %v too late", a.Replica, a.ReceivedAt.Sub(at))
			}
		}
		if ran > 1 && r.NonIdempotent[list[0].Class] {
			bad("once", root, "ran %d times", ran)
		}
	}
	byTry := map[string][]emulate.ClientAttempt{}
	for _, t := range tries {
		byTry[t.RootID] = append(byTry[t.RootID], t)
	}
	for _, root := range sortedKeys(byTry) {
		list := byTry[root]
		slices.SortFunc(list, func(a, b emulate.ClientAttempt) int { return cmp.Compare(a.ResumeIndex, b.ResumeIndex) })
		whole, ended := 0, map[string]int{}
		for _, t := range list {
			if t.Complete {
				whole++
			}
			ended[t.ID]++
			if t.FirstTokenAt == 0 && t.Status != 0 && t.EndedAt-t.SentAt > t.FirstTokenTimeout+r.Tolerance.Microseconds() {
				bad("late_answer", root, "%s was answered %d ms after its deadline", t.ID, (t.EndedAt-t.SentAt-t.FirstTokenTimeout)/1000)
			}
		}
		if whole > 1 {
			bad("answers", root, "%d whole answers", whole)
		}
		for id, n := range ended {
			if n > 1 {
				bad("answers", root, "%s ended %d times", id, n)
			}
		}
	}
	return out
}

func sortedKeys[T any](m map[string]T) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
