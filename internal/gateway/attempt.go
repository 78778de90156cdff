package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"archknot/balancer"
	"archknot/internal/connpool"
	"archknot/internal/controlstats"
	"archknot/internal/httpwire"
	"archknot/internal/inflight"
)

const (
	// unresponsiveReplicaAfter is how long a replica may take to respond before its idle
	// connections are assumed to be dead.
	unresponsiveReplicaAfter = time.Second
	// errorReplyTimeout limits the time to read the body of a response other than 200.
	errorReplyTimeout = time.Second
)

// attemptExchange carries out one attempt: it sends the request to the replica and reads the
// response.
type attemptExchange struct {
	gateway *Gateway
	request *http.Request
	body    []byte
	attempt *inflight.Attempt
	lease   *requestLease
}

// run carries out the attempt from its dispatch to its end and posts its single outcome to the
// event loop. It sends the stream to attempt.Events as it arrives.
func (x *attemptExchange) run() {
	defer x.attempt.Cancel()
	result := attemptEnded{attempt: x.attempt, status: balancer.ConnectFailed}
	switch {
	case !x.lease.mayDispatch(x.attempt):
		result.status = balancer.NotSent
	case x.attempt.Replica.Addr != "":
		result.status = x.exchange(&result)
	}
	x.attempt.Complete = result.status == balancer.Served
	close(x.attempt.Events)
	x.gateway.loop.events <- result
}

// exchange sends the request and reads the response over one connection.
func (x *attemptExchange) exchange(result *attemptEnded) (status balancer.Status) {
	attempt, pool := x.attempt, x.gateway.pool
	timeoutAt := x.gateway.clock.timeAt(attempt.TimeoutAt)
	ctx, stop := context.WithDeadline(attempt.Ctx, timeoutAt)
	defer stop()
	conn, err := pool.Get(ctx, attempt.Replica.ConnKey(), attempt.Replica.Addr)
	if err != nil {
		return x.connectStatus(err)
	}
	result.reused = conn.Reused
	conn.StartCall(&x.gateway.meters[controlstats.PurposeAttempt])
	reusable := false
	// Cancelling the attempt closes its connection at once, which ends a pending read or write.
	unhook := context.AfterFunc(attempt.Ctx, func() { conn.Close() })
	defer func() {
		if unhook() && reusable {
			pool.Put(conn)
		} else {
			pool.Drop(conn)
		}
	}()
	// The attempt may have been cancelled, or its client may have disconnected, while the attempt
	// connected or waited to be scheduled. Nothing may be sent after that, and every attempt
	// passes here before it sends.
	attempt.Request.BeginSend()
	if !x.lease.isHolder() || attempt.Request.ClientDisconnected() || attempt.Ctx.Err() != nil {
		attempt.Request.RetractSend()
		return balancer.Cancelled
	}
	if !x.gateway.acceptsWork(attempt) { // ejected or draining since the dispatch
		attempt.Request.RetractSend()
		reusable = true
		return balancer.NotSent
	}
	defer func() {
		if status.NeverRan() {
			attempt.Request.RetractSend()
		}
	}()
	x.lease.markDispatched()
	conn.SetDeadline(timeoutAt)
	err = x.sendRequest(conn)
	x.body = nil // frees the body's memory: a stream may last long
	if err != nil {
		// The request was not written completely, so the replica has not started it.
		return x.failureStatus(err, balancer.ConnectFailed)
	}
	head, err := x.awaitHead(conn, timeoutAt)
	if err != nil {
		return x.failureStatus(err, balancer.ConnBroken)
	}
	body := httpwire.NewBody(conn.Reader, head.Response)
	if head.StatusCode != http.StatusOK {
		status, reusable = x.readErrorReply(conn, head, body, result)
	} else {
		status, reusable = x.readStream(conn, head, body, result)
	}
	return status
}

// connectStatus returns the status of an attempt that got no connection.
func (x *attemptExchange) connectStatus(err error) balancer.Status {
	switch {
	case x.attempt.Ctx.Err() != nil:
		return balancer.Cancelled
	case errors.Is(err, connpool.ErrLocalShortage):
		return balancer.NotSent // the replica is not at fault
	}
	return balancer.ConnectFailed
}

// sendRequest writes the request with the time left until the attempt's timeout as its deadline.
func (x *attemptExchange) sendRequest(conn *connpool.Conn) error {
	timeLeft := x.attempt.TimeoutAt - x.gateway.clock.now()
	head := httpwire.ForwardedHead(x.request, len(x.body), timeLeft)
	return conn.WriteBuffers(net.Buffers{head, x.body})
}

// awaitHead waits for the head of the response. If that fails after unresponsiveReplicaAfter or
// later, it closes the replica's idle connections, unless one was used since the request was sent.
func (x *attemptExchange) awaitHead(conn *connpool.Conn, timeoutAt time.Time) (responseHead, error) {
	sent := time.Now()
	head, err := readHead(conn, timeoutAt)
	if err != nil && time.Since(sent) >= unresponsiveReplicaAfter {
		x.gateway.pool.CloseUnusedSince(x.attempt.Replica.ConnKey(), sent)
	}
	return head, err
}

// readErrorReply reads a response other than 200, and reports whether the connection can be
// reused.
func (x *attemptExchange) readErrorReply(conn *connpool.Conn, head responseHead, body *httpwire.Body, result *attemptEnded) (status balancer.Status, reusable bool) {
	result.report, result.httpStatus = httpwire.LoadReportOf(head.Header), head.StatusCode
	conn.SetDeadline(time.Now().Add(errorReplyTimeout))
	_, err := body.ReadAll(httpwire.MaxBodyBytes)
	status = httpwire.StatusOf(head.Response)
	// A replica that rejects a request may close the connection when the next one arrives.
	return status, err == nil && endsCleanly(conn, head, body) && status != balancer.Rejected
}

// observe copies the usage and the load report of a complete stream. A report in the stream
// takes precedence over one in the header.
func (e *attemptEnded) observe(observer *httpwire.StreamObserver, header http.Header) {
	e.cachedTokens, e.outputTokens, e.report = observer.CachedTokens, observer.OutputTokens, observer.Report
	if e.report.Has == 0 {
		e.report = httpwire.LoadReportOf(header)
	}
}

// failureStatus returns the attempt's status after a connection error. fallback applies if the
// error is neither a cancellation, a malformed response nor a timeout.
func (x *attemptExchange) failureStatus(err error, fallback balancer.Status) balancer.Status {
	switch {
	case x.attempt.Ctx.Err() != nil:
		return balancer.Cancelled
	case errors.Is(err, httpwire.ErrMalformed):
		return balancer.Malformed
	case errors.Is(err, os.ErrDeadlineExceeded):
		return balancer.TimedOut
	}
	return fallback
}
