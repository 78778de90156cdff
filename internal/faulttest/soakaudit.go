package faulttest

import (
	"fmt"
	"time"

	"archknot/internal/fleet/emulate"
)

const (
	// auditTolerance is what a busy machine may add to each time.
	auditTolerance = 150 * time.Millisecond
	// propagationAfterOutage is how long a change may take to count as told once discovery can be reached, and
	// usualPropagation where it could be all the time.
	propagationAfterOutage, usualPropagation = 6 * time.Second, 500 * time.Millisecond
	// cancelDelay is how long behind a client's close an attempt for it may begin.
	cancelDelay = 100 * time.Millisecond
	// maxDeadlineExcess is by how much the time that an attempt tells may be over what is left.
	maxDeadlineExcess = 150 * time.Millisecond
	// shutdownAcceptTime is how long behind SIGTERM a request may come that SIGKILL may find unanswered.
	shutdownAcceptTime = 700 * time.Millisecond
)

// newSoakAuditor returns an auditor of what both ends have recorded, and of the times of events.
func newSoakAuditor(s faultIntervals, tries []*soakRequest, attempts []emulate.ReplicaAttempt) *soakAuditor {
	a := &soakAuditor{inOrder: tries, faultIntervals: s, requests: map[string]*soakRequest{}, attempts: map[string][]emulate.ReplicaAttempt{}}
	for _, t := range tries {
		a.requests[t.id] = t
	}
	for _, at := range attempts {
		a.attempts[at.ID] = append(a.attempts[at.ID], at)
	}
	return a
}

// withoutClientRetries leaves out what is the client's doing: it sends a request once more where its kept
// connection was closed, and cannot know that a gateway that was killed had sent it on.
func (a *soakAuditor) withoutClientRetries(breaks []Violation) (out []Violation) {
	for _, b := range breaks {
		if t := a.requests[b.RequestID]; t == nil || t.resentAt.IsZero() || !a.killed(t.gateway, t.resentAt) {
			out = append(out, b)
		}
	}
	return out
}

// audit looks at each attempt and each request.
func (a *soakAuditor) audit(attempts []emulate.ReplicaAttempt) (out []Violation) {
	for _, at := range attempts {
		if t := a.requests[at.ID]; t != nil {
			out = append(out, a.auditAttempt(t, at)...)
		}
	}
	for _, t := range a.inOrder {
		out = append(out, a.auditOutcome(t)...)
	}
	return out
}

type soakAuditor struct {
	faultIntervals
	inOrder  []*soakRequest
	requests map[string]*soakRequest
	attempts map[string][]emulate.ReplicaAttempt
}

// auditAttempt judges one attempt.
func (a *soakAuditor) auditAttempt(t *soakRequest, at emulate.ReplicaAttempt) (out []Violation) {
	for _, b := range a.ejections {
		if b.gateway == t.gateway && b.replica == at.Replica && at.ReceivedAt.After(b.from.Add(drainGrace+auditTolerance)) && at.ReceivedAt.Before(b.to) {
			out = append(out, violationOf("drain", t, "came to %s %v after operators had taken it out", at.Replica, at.ReceivedAt.Sub(b.from)))
		}
	}
	for _, d := range a.drains {
		if told := a.propagatedAt(d); d.replica == at.Replica && at.ReceivedAt.After(told.Add(drainGrace+auditTolerance)) && at.ReceivedAt.Before(d.to) {
			out = append(out, violationOf("drain", t, "came to %s %v after its drain counted as told", at.Replica, at.ReceivedAt.Sub(told)))
		}
	}
	if t.outcome == outcomeCanceled && at.ReceivedAt.After(t.endedAt.Add(cancelDelay+auditTolerance)) {
		out = append(out, violationOf("lost", t, "an attempt at %s began %v after the client had left", at.Replica, at.ReceivedAt.Sub(t.endedAt)))
	}
	if over := at.FirstTokenBy.Sub(t.sentAt.Add(t.timeout)); !at.FirstTokenBy.IsZero() && !t.sentAt.IsZero() && over > maxDeadlineExcess+auditTolerance {
		out = append(out, violationOf("deadline", t, "the attempt at %s was told %v more than is left", at.Replica, over))
	}
	return out
}

// propagatedAt is when a drain counts as told at the latest.
func (a *soakAuditor) propagatedAt(d drainInterval) time.Time {
	told := d.from.Add(usualPropagation)
	for _, o := range a.outages {
		if o.from.Before(told) && o.to.After(d.from.Add(-usualPropagation)) {
			told = o.to.Add(propagationAfterOutage)
		}
	}
	return told
}

// auditOutcome judges what became of a request.
func (a *soakAuditor) auditOutcome(t *soakRequest) (out []Violation) {
	switch t.outcome {
	case outcomeClosed, outcomeTimedOut:
		if !a.excused(t) && !(t.outcome == outcomeClosed && t.sentAt.IsZero()) {
			out = append(out, violationOf("lost", t, "got no answer (%s) %v after it was sent", t.outcome, t.endedAt.Sub(t.sentAt)))
		}
	case outcomeBroken:
		for _, at := range a.attempts[t.id] {
			if at.Complete && !a.excused(t) {
				out = append(out, violationOf("lost", t, "was cut off, though %s had answered to the end", at.Replica))
			}
		}
	}
	for _, at := range a.attempts[t.id] {
		if !t.resentAt.IsZero() && at.ReceivedAt.Before(t.resentAt) && !a.killed(t.gateway, t.resentAt) {
			out = append(out, violationOf("lost", t, "was sent on to %s, and its connection closed without an answer", at.Replica))
		}
	}
	return out
}

// killed tells whether a gateway's process was killed about a time.
func (a *soakAuditor) killed(gateway int, at time.Time) bool {
	for _, e := range a.shutdowns {
		killed := !e.graceful || e.to.Sub(e.from) >= a.deadline+killDelay
		if killed && e.gateway == gateway && at.After(e.from.Add(-auditTolerance)) && at.Before(e.to.Add(auditTolerance)) {
			return true
		}
	}
	return false
}

// excused tells whether the gateway's process was killed under the request. Behind SIGTERM only what came
// soon may be.
func (a *soakAuditor) excused(t *soakRequest) bool {
	for _, e := range a.shutdowns {
		if e.gateway != t.gateway || t.startedAt.After(e.to) || t.endedAt.Before(e.from.Add(-auditTolerance)) {
			continue
		}
		killed := !e.graceful || e.to.Sub(e.from) >= a.deadline+killDelay
		if killed && (!e.graceful || t.sentAt.Before(e.from.Add(shutdownAcceptTime))) && t.endedAt.After(e.to.Add(-auditTolerance-maxFreeze)) {
			return true
		}
	}
	return false
}

func violationOf(rule string, t *soakRequest, format string, args ...any) Violation {
	return Violation{rule, t.id, fmt.Sprintf("%s request to g%d ", t.class, t.gateway+1) + fmt.Sprintf(format, args...)}
}
