package gateway

import (
	"context"
	"log/slog"

	"archknot/balancer"
	"archknot/internal/endpoint"
	"archknot/internal/inflight"
)

// The events of requests, attempts and health checks.

// requestArrived: a client's request was read completely.
type requestArrived struct {
	request     *inflight.Request
	config      *liveConfig // the version under which its head was read
	hasDeadline bool        // the client set its own deadline
}

func (e requestArrived) apply(l *eventLoop) {
	r := e.request
	l.requests.Add(r)
	if err := e.adoptCurrentVersion(l.gateway.config.Load()); err != nil {
		l.sendFinalAnswer(r.ID, inflight.Action{Kind: inflight.ActionReject, Reason: err.Error()})
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

// adoptCurrentVersion moves the request to the version in force, if another one came into
// force after its head was read: no request is served partly by one version's class and
// partly by another's. It returns an error if the request's class is gone.
func (e requestArrived) adoptCurrentVersion(current *liveConfig) error {
	if current == e.config {
		return nil
	}
	name := e.request.BalancerRequest.Class
	before, _ := e.config.class(name) // the head was checked under that version
	after, err := current.class(name)
	if err != nil {
		return err
	}
	if !e.hasDeadline {
		e.request.Deadline += after.Deadline - before.Deadline
	}
	return nil
}

// requestCancelled: a client has closed its connection, or another gateway has taken over its
// request.
type requestCancelled struct{ request *inflight.Request }

func (e requestCancelled) apply(l *eventLoop) {
	r := e.request
	if !r.Finished {
		r.Finished = true
		l.module.ClientGone(l.now, r.ID)
	}
	// The goroutine that reads the actions has ended: attempts that it did not start end
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

// streamOpened: an attempt's first event is complete. The first such attempt is the winner,
// whose stream the client gets; any other is cancelled.
type streamOpened struct{ attempt *inflight.Attempt }

func (e streamOpened) apply(l *eventLoop) {
	r := e.attempt.Request
	if r.Finished || r.Winner != nil {
		e.attempt.Cancel()
		return
	}
	r.Winner = e.attempt
	// The module cancels the other attempts before the client gets anything: nothing is sent
	// for the request from then on.
	l.module.FirstToken(l.now, balancer.Outcome{
		ID:      r.ID,
		Attempt: e.attempt.Index,
		Replica: e.attempt.Replica.ID,
		Elapsed: l.now - e.attempt.SentAt,
	})
	r.Actions <- inflight.Action{Kind: inflight.ActionStream, Attempt: e.attempt}
}

// attemptEnded is the one outcome of an attempt.
type attemptEnded struct {
	attempt      *inflight.Attempt
	status       balancer.Status
	cachedTokens int
	outputTokens int
	report       balancer.LoadReport
	reused       bool // over a cached connection
	httpStatus   int  // of an answer that was not 200
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
		// The client has gone, and the event that says so comes later.
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

// reportAgeMillis is the age of a load report in milliseconds, and -1 for none.
func reportAgeMillis(age balancer.Micros) balancer.Micros {
	if age == inflight.ReportUnknown {
		return -1
	}
	return age / microsPerMilli
}

// healthCheckEnded is the outcome of a health check.
type healthCheckEnded struct {
	replica *endpoint.Replica
	status  balancer.Status
	elapsed balancer.Micros
	connAge balancer.Micros // of its connection, when it began
	report  balancer.LoadReport
}

func (e healthCheckEnded) apply(l *eventLoop) {
	l.accounting.quotaShares.recordReplicaLoad(e.replica, &e.report)
	l.module.HealthCheckEnded(l.now, balancer.Outcome{Replica: e.replica.ID, Status: e.status, Elapsed: e.elapsed, ConnAge: e.connAge, Report: e.report})
}
