package faulttest

import (
	"slices"
	"time"

	"archknot/internal/fleet/emulate"
)

const (
	// auditTolerance is added to each time limit, for delays on a busy machine.
	auditTolerance = 150 * time.Millisecond
	// maxPropagation is the time after which a gateway has to know a change of the endpoint list, counted from when
	// discovery had the change and the gateway could reach discovery.
	maxPropagation = 6 * time.Second
	// normalPropagation is the time after which a gateway has to know a change if its link had no fault.
	normalPropagation = 500 * time.Millisecond
	// faultFreeTime is the time before a change without faults of the link that normalPropagation requires.
	faultFreeTime = 12 * time.Second
	// cancelDelay is the time after the client closed its connection in which an attempt may still begin.
	cancelDelay = 100 * time.Millisecond
	// maxDeadlineExcess is the time by which an attempt's deadline may exceed the client's.
	maxDeadlineExcess = 150 * time.Millisecond
	// shutdownAcceptTime is the time after SIGTERM in which a request may arrive that SIGKILL leaves unanswered.
	shutdownAcceptTime = 700 * time.Millisecond
)

// soakAuditor audits the records of clients and replicas in a soak against the times of its events.
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

// withoutClientRetries removes the violations that client retries cause: a client resends a request when its
// reused connection was closed, although a gateway that was killed may already have forwarded the request.
func (a *soakAuditor) withoutClientRetries(violations []Violation) (remaining []Violation) {
	for _, violation := range violations {
		request := a.requests[violation.RequestID]
		if request == nil || request.resentAt.IsZero() || !a.killedDuring(request.gateway, request.firstStartedAt, request.resentAt) {
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
			add(ruleDrain, "reached %s %v after operators had ejected it", attempt.Replica, received.Sub(ejection.from))
		}
	}
	if change, ok := a.withdrawnBy(attempt); ok {
		known, reason := a.knownAt(request.gateway, change)
		if late := received.Sub(known.Add(drainGrace + transportGrace)); late > auditTolerance {
			add(ruleDrain, "reached %s %v after the end of the drain grace, at %s; generation %d of %s withdrew the replica; %s", attempt.Replica, late,
				received.Format(auditTimeFormat), change.Generation, change.At.Format(auditTimeFormat), reason)
		}
	}
	if request.outcome == outcomeCanceled && received.After(request.endedAt.Add(cancelDelay+auditTolerance)) {
		add(ruleLost, "an attempt at %s began %v after the client had closed its connection", attempt.Replica, received.Sub(request.endedAt))
	}
	excess := attempt.FirstTokenDeadline.Sub(request.sentAt.Add(request.timeout))
	if !attempt.FirstTokenDeadline.IsZero() && !request.sentAt.IsZero() && excess > maxDeadlineExcess+auditTolerance {
		add(ruleDeadline, "the attempt at %s got a deadline %v after the client's", attempt.Replica, excess)
	}
	return violations
}

// auditTimeFormat is the format of times in violations.
const auditTimeFormat = "15:04:05.000"

// withdrawnBy returns the change of the endpoint list that withdrew the attempt's replica before the attempt reached
// it. ok is false if the replica was ready at that time.
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

// knownAt returns the time from which a gateway has to know a change, and the reason for a violation's text.
func (a *soakAuditor) knownAt(gateway int, change emulate.ListChange) (at time.Time, reason string) {
	link := &a.links[gateway]
	reachable := link.reachableFrom(change.At)
	at = reachable.Add(maxPropagation)
	reason = "known 6 s after discovery was reachable, at " + at.Format(auditTimeFormat)
	if a.pushed {
		at, reason = reachable, "the agent could get the list at "+reachable.Format(auditTimeFormat)
	}
	if link.faultFreeBetween(change.At.Add(-faultFreeTime), change.At.Add(normalPropagation)) && !a.restarted(gateway, change.At) {
		if normal := change.At.Add(normalPropagation); normal.Before(at) {
			at, reason = normal, "the link had no fault"
		}
	}
	if written := link.firstWrite(change.Generation); !written.IsZero() && written.Before(at) {
		at, reason = written, "written at "+written.Format(auditTimeFormat)
	}
	return at, reason
}

// restarted reports whether a shutdown of a gateway's process was in progress within faultFreeTime before a time.
func (a *soakAuditor) restarted(gateway int, at time.Time) bool {
	for _, shutdown := range a.shutdowns {
		if shutdown.gateway == gateway && shutdown.from.Before(at) && shutdown.to.After(at.Add(-faultFreeTime)) {
			return true
		}
	}
	return false
}

// auditOutcome checks that a request got its complete response, unless a kill of its gateway excuses the loss.
func (a *soakAuditor) auditOutcome(request *soakRequest) (violations []Violation) {
	switch request.outcome {
	case outcomeClosed, outcomeTimedOut:
		neverSent := request.outcome == outcomeClosed && request.sentAt.IsZero()
		if !neverSent && !a.excused(request) {
			violations = append(violations, violationOf(ruleLost, request, "got no response (%s) %v after it was sent%s",
				request.outcome, request.endedAt.Sub(request.sentAt), a.describeEnd(request)))
		}
	case outcomeBroken:
		for _, attempt := range a.attempts[request.id] {
			if attempt.Complete && !a.excused(request) {
				violations = append(violations, violationOf(ruleLost, request, "got a truncated response, although %s had sent a complete one%s", attempt.Replica, a.describeEnd(request)))
			}
		}
	}
	return violations
}

// auditResend checks that a request that its client resent had not been forwarded before, unless a kill of its
// gateway excuses that.
func (a *soakAuditor) auditResend(request *soakRequest) (violations []Violation) {
	if request.resentAt.IsZero() || a.firstSendExcused(request) {
		return nil
	}
	for _, attempt := range a.attempts[request.id] {
		if attempt.ReceivedAt.Before(request.resentAt) {
			violations = append(violations, violationOf(ruleLost, request, "was forwarded to %s, but its connection was closed without a response%s", attempt.Replica, a.describeEnd(request)))
		}
	}
	return violations
}

// killedDuring reports whether a gateway's process was killed while it had a request: the client started the
// request before the process ended, and its connection was closed after SIGKILL had been sent.
func (a *soakAuditor) killedDuring(gateway int, startedAt, closedAt time.Time) bool {
	return slices.ContainsFunc(a.shutdowns, func(shutdown shutdownInterval) bool {
		return shutdown.gateway == gateway && shutdown.killedDuring(startedAt, closedAt)
	})
}

// killedDuring reports whether the process was killed between the start of a request and the end of its connection.
func (s shutdownInterval) killedDuring(startedAt, closedAt time.Time) bool {
	return !s.killedAt.IsZero() && !startedAt.After(s.to) && closedAt.After(s.killedAt)
}

// excuses reports whether the kill of the process excuses the loss of a request. After SIGTERM it excuses only
// requests sent within shutdownAcceptTime.
func (s shutdownInterval) excuses(startedAt, sentAt, closedAt time.Time) bool {
	accepted := !s.graceful || sentAt.Before(s.from.Add(shutdownAcceptTime))
	return accepted && s.killedDuring(startedAt, closedAt)
}

// excused reports whether a kill of its gateway excuses the loss of a request.
func (a *soakAuditor) excused(request *soakRequest) bool {
	return slices.ContainsFunc(a.shutdowns, func(shutdown shutdownInterval) bool {
		return shutdown.gateway == request.gateway && shutdown.excuses(request.startedAt, request.sentAt, request.endedAt)
	})
}

// firstSendExcused is excused for the first connection of a request that was resent.
func (a *soakAuditor) firstSendExcused(request *soakRequest) bool {
	return slices.ContainsFunc(a.shutdowns, func(shutdown shutdownInterval) bool {
		return shutdown.gateway == request.gateway && shutdown.excuses(request.firstStartedAt, request.firstSentAt, request.resentAt)
	})
}
