package faulttest

import (
	"fmt"
	"time"

	"archknot/internal/fleet/emulate"
)

const (
	// auditTolerance is what a busy machine may add to each time.
	auditTolerance = 150 * time.Millisecond
	// propagationAfterOutage is how long a change of the endpoint list may take from the end of an outage of
	// discovery, usualPropagation how long without one.
	propagationAfterOutage, usualPropagation = 6 * time.Second, 500 * time.Millisecond
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
		if request == nil || request.resentAt.IsZero() || !a.killed(request.gateway, request.resentAt) {
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
		if applies && received.After(ejection.from.Add(drainGrace+auditTolerance)) && received.Before(ejection.to) {
			add(ruleDrain, "came to %s %v after operators had ejected it", attempt.Replica, received.Sub(ejection.from))
		}
	}
	for _, drain := range a.drains {
		propagated := a.propagatedAt(drain)
		if drain.replica == attempt.Replica && received.After(propagated.Add(drainGrace+auditTolerance)) && received.Before(drain.to) {
			add(ruleDrain, "came to %s %v after its drain counted as propagated", attempt.Replica, received.Sub(propagated))
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

// propagatedAt returns when a drain must have reached all gateways.
func (a *soakAuditor) propagatedAt(drain drainInterval) time.Time {
	propagated := drain.from.Add(usualPropagation)
	for _, outage := range a.outages {
		if outage.from.Before(propagated) && outage.to.After(drain.from.Add(-usualPropagation)) {
			propagated = outage.to.Add(propagationAfterOutage)
		}
	}
	return propagated
}

// auditOutcome audits whether a request got its response.
func (a *soakAuditor) auditOutcome(request *soakRequest) (violations []Violation) {
	switch request.outcome {
	case outcomeClosed, outcomeTimedOut:
		neverSent := request.outcome == outcomeClosed && request.sentAt.IsZero()
		if !neverSent && !a.excused(request) {
			violations = append(violations, violationOf(ruleLost, request, "got no answer (%s) %v after it was sent", request.outcome, request.endedAt.Sub(request.sentAt)))
		}
	case outcomeBroken:
		for _, attempt := range a.attempts[request.id] {
			if attempt.Complete && !a.excused(request) {
				violations = append(violations, violationOf(ruleLost, request, "was cut off, though %s had answered to the end", attempt.Replica))
			}
		}
	}
	return violations
}

// auditResend audits whether a request that its client sent again had been forwarded before.
func (a *soakAuditor) auditResend(request *soakRequest) (violations []Violation) {
	if request.resentAt.IsZero() || a.killed(request.gateway, request.resentAt) {
		return nil
	}
	for _, attempt := range a.attempts[request.id] {
		if attempt.ReceivedAt.Before(request.resentAt) {
			violations = append(violations, violationOf(ruleLost, request, "was forwarded to %s, and its connection closed without an answer", attempt.Replica))
		}
	}
	return violations
}

// wasKilled reports whether a process ended by SIGKILL.
func (a *soakAuditor) wasKilled(shutdown shutdownInterval) bool {
	return !shutdown.graceful || shutdown.to.Sub(shutdown.from) >= a.deadline+killDelay
}

// killed reports whether a gateway's process was killed at about a time.
func (a *soakAuditor) killed(gateway int, at time.Time) bool {
	for _, shutdown := range a.shutdowns {
		near := at.After(shutdown.from.Add(-auditTolerance)) && at.Before(shutdown.to.Add(auditTolerance))
		if near && shutdown.gateway == gateway && a.wasKilled(shutdown) {
			return true
		}
	}
	return false
}

// excused reports whether the gateway's process was killed while it had the request. After SIGTERM that
// excuses only requests that arrived soon.
func (a *soakAuditor) excused(request *soakRequest) bool {
	for _, shutdown := range a.shutdowns {
		if shutdown.gateway != request.gateway || request.startedAt.After(shutdown.to) || request.endedAt.Before(shutdown.from.Add(-auditTolerance)) {
			continue
		}
		accepted := !shutdown.graceful || request.sentAt.Before(shutdown.from.Add(shutdownAcceptTime))
		if accepted && a.wasKilled(shutdown) && request.endedAt.After(shutdown.to.Add(-auditTolerance-maxFreeze)) {
			return true
		}
	}
	return false
}

// violationOf returns a violation by a request.
func violationOf(rule string, request *soakRequest, format string, args ...any) Violation {
	details := fmt.Sprintf("%s request to g%d ", request.class, request.gateway+1) + fmt.Sprintf(format, args...)
	return Violation{Rule: rule, RequestID: request.id, Details: details}
}
