package gateway

import (
	"time"

	"archknot/balancer"
	"archknot/internal/endpoint"
	"archknot/internal/inflight"
)

// The actions of the decision module: eventLoop implements balancer.Sink. The module calls these
// methods while the loop applies an event.

// Dispatch starts an attempt of a request at a replica, until timeoutAt or the request's
// deadline, whichever is earlier; 0: until the deadline.
func (l *eventLoop) Dispatch(id balancer.RequestID, to balancer.ReplicaID, timeoutAt balancer.Micros) {
	r, replica := l.requests.Get(id), l.endpoints.ByID(to)
	if r == nil || r.Finished || r.Winner != nil {
		return
	}
	if timeoutAt <= 0 || timeoutAt > r.Deadline {
		timeoutAt = r.Deadline
	}
	if replica == nil { // removed from the list since the decision; without an address the attempt fails
		replica = &endpoint.Replica{ID: to}
	}
	attempt := l.requests.StartAttempt(r, replica, l.now, timeoutAt)
	attempt.Cause, attempt.Basis = attemptCause(r), l.attemptBasis(r, to)
	attempt.EntryValidUntil = l.balancer.EntryValidUntil(to)
	l.recordReportAge(attempt.Basis.ReportAge)
	if !l.accounting.chargeAttempt(l.now, attempt) {
		attempt.Cancel()
		l.deferred = append(l.deferred, attemptEnded{attempt: attempt, status: balancer.NotSent})
		return
	}
	r.Actions <- inflight.Action{Kind: inflight.ActionForward, Attempt: attempt}
}

// Shed answers a request with an overload response; retryAfter 0: without advice.
func (l *eventLoop) Shed(id balancer.RequestID, retryAfter balancer.Micros) {
	l.sendFinalResponse(id, inflight.Action{Kind: inflight.ActionShed, RetryAfter: retryAfter, Reason: l.shedReason(id)})
}

// Fail answers a request with a failure response.
func (l *eventLoop) Fail(id balancer.RequestID) {
	l.sendFinalResponse(id, inflight.Action{Kind: inflight.ActionFail})
}

// Cancel cancels an attempt, unless its stream is being relayed to the client.
func (l *eventLoop) Cancel(id balancer.RequestID, attempt int) {
	r := l.requests.Get(id)
	if r == nil || attempt < 0 || attempt >= len(r.Attempts) {
		return
	}
	if a := r.Attempts[attempt]; a != r.Winner {
		a.Cancel()
	}
}

// SetTimer schedules a call of the module's TimerFired with the token after a delay.
func (l *eventLoop) SetTimer(delay balancer.Micros, token uint64) {
	l.timers.add(l.now+delay, token)
}

// HealthCheck starts a health check of a replica, unless the replica is no longer listed.
func (l *eventLoop) HealthCheck(to balancer.ReplicaID) {
	if replica := l.endpoints.ByID(to); replica != nil {
		go l.gateway.runHealthCheck(replica)
	}
}

// WatchDiscovery requests the next poll of discovery, unless a request is pending.
func (l *eventLoop) WatchDiscovery() {
	select {
	case l.pollRequests <- struct{}{}:
	default:
	}
}

// Gossip is never called: package lifecycle configures the module for gateways that have no
// connection to each other.
func (l *eventLoop) Gossip([]byte) {}

// sendFinalResponse ends a request with a final response, unless it is finished or a stream has begun.
func (l *eventLoop) sendFinalResponse(id balancer.RequestID, action inflight.Action) {
	r := l.requests.Get(id)
	if r == nil || r.Finished || r.Winner != nil {
		return
	}
	r.Finished = true
	r.Actions <- action
	l.accounting.releaseCharge(l.now, r)
	l.accounting.recordShed(l.now, r)
	l.requests.RemoveIfFinished(r)
}

// Reasons for shedding a request, as logged.
const (
	shedReasonDeadline       = "deadline"
	shedReasonNoReplica      = "no_replica"
	shedReasonAttemptsFailed = "attempts_failed"
	shedReasonAdmission      = "admission"
	shedReasonDraining       = "draining"
	shedReasonListStale      = "list_stale"
)

// deadlineShedMargin is the time before a request's deadline within which the deadline is
// logged as the reason for shedding the request.
const deadlineShedMargin balancer.Micros = 20_000

// shedReason returns why the module sheds a request, for the log.
func (l *eventLoop) shedReason(id balancer.RequestID) string {
	r := l.requests.Get(id)
	switch {
	case r == nil:
		return ""
	case l.now >= r.Deadline-deadlineShedMargin:
		return shedReasonDeadline
	case l.endpoints.ReadyCount() == 0:
		return shedReasonNoReplica
	case l.balancer.ListUnconfirmed(l.now):
		return shedReasonListStale
	case len(r.Attempts) > 0:
		return shedReasonAttemptsFailed
	}
	return shedReasonAdmission
}

// Causes of an attempt, as logged.
const (
	attemptFirst = "first"
	attemptHedge = "hedge"
	attemptRetry = "retry"
)

// attemptCause returns why the newest attempt of a request was started.
func attemptCause(r *inflight.Request) string {
	switch {
	case len(r.Attempts) == 1:
		return attemptFirst
	case r.AttemptsInFlight() > 1:
		return attemptHedge
	}
	return attemptRetry
}

// attemptBasis returns the data on which the newest attempt of a request, at a replica, was decided.
func (l *eventLoop) attemptBasis(r *inflight.Request, to balancer.ReplicaID) inflight.Basis {
	reportAge, known := l.balancer.ReportAge(l.now, to)
	if !known {
		reportAge = inflight.ReportAgeUnknown
	}
	return inflight.Basis{ListVersion: l.endpoints.Version(), ListAge: l.balancer.ListAge(l.now), ReportAge: reportAge, After: r.LastStatus}
}

// recordReportAge adds the age of an attempt's load report to the totals.
func (l *eventLoop) recordReportAge(age balancer.Micros) {
	if age == inflight.ReportAgeUnknown {
		l.reportAges.WithoutReport++
		return
	}
	l.reportAges.WithReport++
	l.reportAges.Sum += time.Duration(age) * time.Microsecond
}
