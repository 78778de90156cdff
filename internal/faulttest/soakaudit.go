package faulttest

import (
	"slices"
	"time"

	"archknot/internal/fleet/emulate"
)

const (
	// auditTolerance is what a busy machine may add to each time.
	auditTolerance = 150 * time.Millisecond
	// maxPropagation is when a change of the endpoint list counts as known at the latest, from when discovery
	// had it and could be reached by the gateway; usualPropagation is how long it takes where nothing was wrong
	// with the gateway's link for undisturbedTime.
	maxPropagation, usualPropagation = 6 * time.Second, 500 * time.Millisecond
	undisturbedTime                  = 12 * time.Second
	// cancelDelay is how long after its client closed the connection an attempt may begin.
	cancelDelay = 100 * time.Millisecond
	// maxDeadlineExcess is by how much an attempt's deadline may exceed the client's.
	maxDeadlineExcess = 150 * time.Millisecond
	// shutdownAcceptTime is how long after SIGTERM a request may arrive that SIGKILL leaves unanswered.
	shutdownAcceptTime = 700 * time.Millisecond
)

// soakAuditor audits what clients and replicas recorded in a soak, by the times of its events.
type soakAuditor struct {
	faultIntervals
	inOrder  []*soakRequest
	requests map[string]*soakRequest             // by id
	attempts map[string][]emulate.ReplicaAttempt // by request id
}

func newSoakAuditor(intervals faultIntervals, requests []*soakRequest, attempts []emulate.ReplicaAttempt) *soakAuditor {
	a := &soakAuditor{
		faultIntervals: intervals,
		inOrder:        requests,
		requests:       map[string]*soakRequest{},
		attempts:       map[string][]emulate.ReplicaAttempt{},
	}
	for _, request := range requests {
		a.requests[request.id] = request
	}
	for _, attempt := range attempts {
		a.attempts[attempt.ID] = append(a.attempts[attempt.ID], attempt)
	}
	return a
}

// withoutClientRetries removes the violations that a client has caused: it sends a request again when its
// reused connection was closed, and cannot know that a killed gateway had forwarded it.
func (a *soakAuditor) withoutClientRetries(violations []Violation) (remaining []Violation) {
	for _, violation := range violations {
		request := a.requests[violation.RequestID]
		if request == nil || request.resentAt.IsZero() || !a.killedUnder(request.gateway, request.firstStartedAt, request.resentAt) {
			remaining = append(remaining, violation)
		}
	}
	return remaining
}

// audit audits each attempt, then each request.
func (a *soakAuditor) audit(attempts []emulate.ReplicaAttempt) (violations []Violation) {
	for _, attempt := range attempts {
		if request := a.requests[attempt.ID]; request != nil {
			violations = append(violations, a.auditAttempt(request, attempt)...)
		}
	}
	for _, request := range a.inOrder {
		violations = append(violations, a.auditOutcome(request)...)
		violations = append(violations, a.auditResend(request)...)
	}
	return violations
}

// auditAttempt audits one attempt.
func (a *soakAuditor) auditAttempt(request *soakRequest, attempt emulate.ReplicaAttempt) (violations []Violation) {
	add := func(rule, format string, args ...any) {
		violations = append(violations, violationOf(rule, request, format, args...))
	}
	received := attempt.ReceivedAt
	for _, ejection := range a.ejections {
		applies := ejection.gateway == request.gateway && ejection.replica == attempt.Replica
		if applies && received.After(ejection.from.Add(ejectionGrace+auditTolerance)) && received.Before(ejection.to) {
			add(ruleDrain, "came to %s %v after operators had ejected it", attempt.Replica, received.Sub(ejection.from))
		}
	}
	if change, ok := a.withdrawnBy(attempt); ok {
		known, how := a.knownAt(request.gateway, change)
		if late := received.Sub(known.Add(drainGrace + socketGrace)); late > auditTolerance {
			add(ruleDrain, "came to %s %v past the grace, at %s; generation %d of %s withdrew it; %s", attempt.Replica, late,
				received.Format(auditTimeFormat), change.Generation, change.At.Format(auditTimeFormat), how)
		}
	}
	if request.outcome == outcomeCanceled && received.After(request.endedAt.Add(cancelDelay+auditTolerance)) {
		add(ruleLost, "an attempt at %s began %v after the client had left", attempt.Replica, received.Sub(request.endedAt))
	}
	excess := attempt.FirstTokenBy.Sub(request.sentAt.Add(request.timeout))
	if !attempt.FirstTokenBy.IsZero() && !request.sentAt.IsZero() && excess > maxDeadlineExcess+auditTolerance {
		add(ruleDeadline, "the attempt at %s got %v more time than was left", attempt.Replica, excess)
	}
	return violations
}

// auditTimeFormat is how violations give times.
const auditTimeFormat = "15:04:05.000"

// withdrawnBy returns the change of the endpoint list from which on the attempt's replica was not ready, when the
// attempt came to it. ok is false if the replica was ready, or was withdrawn for less than the grace.
func (a *soakAuditor) withdrawnBy(attempt emulate.ReplicaAttempt) (change emulate.ListChange, ok bool) {
	for _, next := range a.changes {
		switch {
		case next.Replica != attempt.Replica:
		case next.At.After(attempt.ReceivedAt):
			return change, ok
		case next.Ready:
			ok = false
		case !ok:
			change, ok = next, true
		}
	}
	return change, ok
}

// knownAt returns when a change counts as known to a gateway, and why.
func (a *soakAuditor) knownAt(gateway int, change emulate.ListChange) (at time.Time, how string) {
	link := &a.links[gateway]
	reachable := link.reachableFrom(change.At)
	at = reachable.Add(maxPropagation)
	how = "known 6 s after discovery could be reached, at " + at.Format(auditTimeFormat)
	if a.pushed {
		at, how = reachable, "the agent had it at "+reachable.Format(auditTimeFormat)
	}
	if link.undisturbedSince(change.At.Add(-undisturbedTime), change.At.Add(usualPropagation)) && !a.restarted(gateway, change.At) {
		if usual := change.At.Add(usualPropagation); usual.Before(at) {
			at, how = usual, "nothing was wrong with the link"
		}
	}
	if written := link.firstWrite(change.Generation); !written.IsZero() && written.Before(at) {
		at, how = written, "written at "+written.Format(auditTimeFormat)
	}
	return at, how
}

// restarted reports whether a gateway's process ended in the time before.
func (a *soakAuditor) restarted(gateway int, at time.Time) bool {
	for _, shutdown := range a.shutdowns {
		if shutdown.gateway == gateway && shutdown.from.Before(at) && shutdown.to.After(at.Add(-undisturbedTime)) {
			return true
		}
	}
	return false
}

// auditOutcome audits whether a request got its response.
func (a *soakAuditor) auditOutcome(request *soakRequest) (violations []Violation) {
	switch request.outcome {
	case outcomeClosed, outcomeTimedOut:
		neverSent := request.outcome == outcomeClosed && request.sentAt.IsZero()
		if !neverSent && !a.excused(request) {
			violations = append(violations, violationOf(ruleLost, request, "got no answer (%s) %v after it was sent%s",
				request.outcome, request.endedAt.Sub(request.sentAt), a.describeEnd(request)))
		}
	case outcomeBroken:
		for _, attempt := range a.attempts[request.id] {
			if attempt.Complete && !a.excused(request) {
				violations = append(violations, violationOf(ruleLost, request, "was cut off, though %s had answered to the end%s", attempt.Replica, a.describeEnd(request)))
			}
		}
	}
	return violations
}

// auditResend audits whether a request that its client sent again had been forwarded before.
func (a *soakAuditor) auditResend(request *soakRequest) (violations []Violation) {
	if request.resentAt.IsZero() || a.excusedFirst(request) {
		return nil
	}
	for _, attempt := range a.attempts[request.id] {
		if attempt.ReceivedAt.Before(request.resentAt) {
			violations = append(violations, violationOf(ruleLost, request, "was forwarded to %s, and its connection closed without an answer%s", attempt.Replica, a.describeEnd(request)))
		}
	}
	return violations
}

// killedUnder reports whether a gateway's process was killed while it had a request: the request's client
// began before the process ended, and saw the connection's end once the kill had been sent.
func (a *soakAuditor) killedUnder(gateway int, startedAt, closedAt time.Time) bool {
	return slices.ContainsFunc(a.shutdowns, func(shutdown shutdownInterval) bool {
		return shutdown.gateway == gateway && shutdown.killsUnder(startedAt, closedAt)
	})
}

// killsUnder reports whether the process was killed between a request's begin and the end of its connection.
func (s shutdownInterval) killsUnder(startedAt, closedAt time.Time) bool {
	return !s.killedAt.IsZero() && !startedAt.After(s.to) && closedAt.After(s.killedAt)
}

// excuses reports whether the process was killed while it had a request that was sent at a time. After
// SIGTERM that excuses only requests that arrived soon.
func (s shutdownInterval) excuses(startedAt, sentAt, closedAt time.Time) bool {
	accepted := !s.graceful || sentAt.Before(s.from.Add(shutdownAcceptTime))
	return accepted && s.killsUnder(startedAt, closedAt)
}

// excused reports whether a kill excuses the end of a request's connection.
func (a *soakAuditor) excused(request *soakRequest) bool {
	return slices.ContainsFunc(a.shutdowns, func(shutdown shutdownInterval) bool {
		return shutdown.gateway == request.gateway && shutdown.excuses(request.startedAt, request.sentAt, request.endedAt)
	})
}

// excusedFirst is excused for the first connection of a request that was sent again.
func (a *soakAuditor) excusedFirst(request *soakRequest) bool {
	return slices.ContainsFunc(a.shutdowns, func(shutdown shutdownInterval) bool {
		return shutdown.gateway == request.gateway && shutdown.excuses(request.firstStartedAt, request.firstSentAt, request.resentAt)
	})
}
