package gateway

import (
	"context"
	"log/slog"

	"archknot/balancer"
	"archknot/internal/endpoint"
	"archknot/internal/inflight"
)

// The events of requests, attempts and health checks.

// requestArrived is posted when a client's request has been read completely.
type requestArrived struct {
	request     *inflight.Request
	config      *liveConfig // in force when the request's head was read
	hasDeadline bool        // the client set its own deadline
}

func (e requestArrived) apply(l *eventLoop) {
	r := e.request
	l.requests.Add(r)
	if err := e.adoptCurrentVersion(l.gateway.config.Load()); err != nil {
		l.sendFinalResponse(r.ID, inflight.Action{Kind: inflight.ActionReject, Reason: err.Error()})
		return
	}
	r.BalancerRequest.TimeLeft = max(0, r.Deadline-l.now)
	if !l.admitByContract(r) {
		return
	}
	if list, changed := l.endpoints.selector.AssignAffinityTarget(l.now, &r.BalancerRequest); changed {
		l.module.ListChanged(l.now, list)
	}
	l.module.RequestArrived(l.now, r.BalancerRequest)
}

// adoptCurrentVersion applies the configuration version in force to a request whose head was
// read under another version, so that one version's class applies to the whole request. It
// returns an error if the version in force does not have the request's class.
func (e requestArrived) adoptCurrentVersion(current *liveConfig) error {
	if current == e.config {
		return nil
	}
	name := e.request.BalancerRequest.Class
	before, _ := e.config.class(name) // exists: the head was checked under that version
	after, err := current.class(name)
	if err != nil {
		return err
	}
	if !e.hasDeadline {
		e.request.Deadline += after.Deadline - before.Deadline
	}
	return nil
}

// requestCancelled is posted when a request's client has closed its connection, or another
// gateway has taken over the request.
type requestCancelled struct{ request *inflight.Request }

func (e requestCancelled) apply(l *eventLoop) {
	r := e.request
	if !r.Finished {
		r.Finished = true
		l.module.ClientGone(l.now, r.ID)
	}
	// The goroutine that reads the actions has ended. Attempts that it did not start must end
	// here, or the module would count them as in flight forever.
	for len(r.Actions) > 0 {
		if action := <-r.Actions; action.Kind == inflight.ActionForward {
			action.Attempt.Cancel()
			attemptEnded{attempt: action.Attempt, status: balancer.NotSent}.apply(l)
		}
	}
	l.accounting.releaseCharge(l.now, r)
	l.requests.RemoveIfFinished(r)
}

// streamOpened is posted when the first event of an attempt's stream is complete. The first
// attempt of a request to get there wins: the client gets its stream, and the others are
// cancelled.
type streamOpened struct{ attempt *inflight.Attempt }

func (e streamOpened) apply(l *eventLoop) {
	r := e.attempt.Request
	if r.Finished || r.Winner != nil {
		e.attempt.Cancel()
		return
	}
	r.Winner = e.attempt
	// The module cancels the other attempts before the stream is relayed: once the client has
	// received data, nothing more is sent to a replica for the request.
	l.module.FirstToken(l.now, balancer.Outcome{
		ID:      r.ID,
		Attempt: e.attempt.Index,
		Replica: e.attempt.Replica.ID,
		Elapsed: l.now - e.attempt.SentAt,
	})
	r.Actions <- inflight.Action{Kind: inflight.ActionStream, Attempt: e.attempt}
}

// attemptEnded is posted exactly once for each attempt, with its outcome.
type attemptEnded struct {
	attempt      *inflight.Attempt
	status       balancer.Status
	cachedTokens int
	outputTokens int
	report       balancer.LoadReport
	reused       bool // the attempt used a cached connection
	httpStatus   int  // of an answer other than 200; 0: none
}

func (e attemptEnded) apply(l *eventLoop) {
	if !l.requests.FinishAttempt(e.attempt) {
		return
	}
	r := e.attempt.Request
	if r.Winner == e.attempt {
		r.Finished = true
	}
	if e.status == balancer.Cancelled && !r.Finished && r.Ctx.Err() != nil {
		// The request's context has ended; the event for that is posted later.
		r.Finished = true
		l.module.ClientGone(l.now, r.ID)
	}
	e.attempt.NeverRan = e.status.NeverRan()
	l.accounting.settleAttempt(l.now, &e)
	l.accounting.quotaShares.recordReplicaLoad(e.attempt.Replica, &e.report)
	elapsed := l.now - e.attempt.SentAt
	r.LastStatus = attemptStatusNames[e.status]
	if e.status != balancer.Served {
		e.log(elapsed)
	}
	l.module.AttemptEnded(l.now, balancer.Outcome{
		ID:           r.ID,
		Attempt:      e.attempt.Index,
		Replica:      e.attempt.Replica.ID,
		Status:       e.status,
		Elapsed:      elapsed,
		Final:        r.Finished,
		CachedTokens: e.cachedTokens,
		OutputTokens: e.outputTokens,
		Report:       e.report,
	})
	l.requests.RemoveIfFinished(r)
}

// attemptStatusNames are the values of status in an attempt's log line.
var attemptStatusNames = map[balancer.Status]string{
	balancer.Served:        "served",
	balancer.Errored:       "error",
	balancer.Shed:          "shed",
	balancer.TimedOut:      "timeout",
	balancer.ConnectFailed: "connect_failed",
	balancer.ConnBroken:    "reset",
	balancer.Cancelled:     "cancelled",
	balancer.NotSent:       "not_sent",
	balancer.Malformed:     "malformed",
	balancer.Rejected:      "rejected",
}

func (e *attemptEnded) log(elapsed balancer.Micros) {
	r := e.attempt.Request
	slog.LogAttrs(context.Background(), slog.LevelInfo, "attempt",
		slog.String("id", r.ClientRequestID),
		slog.Int("attempt", e.attempt.Index),
		slog.String("kind", e.attempt.Cause),
		slog.String("replica", e.attempt.Replica.Endpoint.ID),
		slog.String("status", attemptStatusNames[e.status]),
		slog.Int64("elapsed_ms", elapsed/1000),
		slog.Bool("streamed", r.Winner == e.attempt),
		slog.Bool("reused", e.reused),
		slog.Int("http_status", e.httpStatus),
		slog.String("after", e.attempt.Basis.After),
		slog.Int64("list_version", e.attempt.Basis.ListVersion),
		slog.Int64("list_age_ms", e.attempt.Basis.ListAge/microsPerMilli),
		slog.Int64("report_age_ms", reportAgeMillis(e.attempt.Basis.ReportAge)))
}

// reportAgeMillis returns the age of a load report in milliseconds, or -1 if there is none.
func reportAgeMillis(age balancer.Micros) balancer.Micros {
	if age == inflight.ReportAgeUnknown {
		return -1
	}
	return age / microsPerMilli
}

// healthCheckEnded is posted at the end of a health check, with its outcome.
type healthCheckEnded struct {
	replica *endpoint.Replica
	status  balancer.Status
	elapsed balancer.Micros
	connAge balancer.Micros // age of the connection when the check began
	report  balancer.LoadReport
}

func (e healthCheckEnded) apply(l *eventLoop) {
	l.accounting.quotaShares.recordReplicaLoad(e.replica, &e.report)
	l.module.HealthCheckEnded(l.now, balancer.Outcome{Replica: e.replica.ID, Status: e.status, Elapsed: e.elapsed, ConnAge: e.connAge, Report: e.report})
}
