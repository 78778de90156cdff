package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
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

// runAttempt carries out one attempt from its send to its end and reports its
// one outcome. The stream goes to d.Events as it comes.
func (g *Gateway) runAttempt(r *http.Request, body []byte, d *inflight.Attempt, hand *requestLease) {
	defer d.Cancel()
	e := attemptEnded{attempt: d, status: balancer.ConnectFailed}
	switch {
	case !hand.mayDispatch(d):
		e.status = balancer.NotSent
	case d.Replica.Addr != "":
		e.status = g.exchange(r, body, d, &e, hand)
	}
	d.Complete = e.status == balancer.Served
	close(d.Events)
	g.loop.events <- e
}

// startAttempt starts an attempt's task.
func (g *Gateway) startAttempt(r *http.Request, body []byte, d *inflight.Attempt, hand *requestLease) {
	if hand != nil {
		hand.attempts.Go(func() { g.runAttempt(r, body, d, hand) })
		return
	}
	go g.runAttempt(r, body, d, nil)
}

// silentReplicaAfter is how long a worker may say nothing before its kept connections
// are no longer trusted.
const silentReplicaAfter = time.Second

func (g *Gateway) exchange(r *http.Request, body []byte, d *inflight.Attempt, e *attemptEnded, hand *requestLease) balancer.Status {
	cutAt := g.clock.timeAt(d.TimeoutAt)
	ctx, stop := context.WithDeadline(d.Ctx, cutAt)
	defer stop()
	c, err := g.pool.Get(ctx, d.Replica.ConnKey(), d.Replica.Addr)
	if err != nil {
		switch {
		case d.Ctx.Err() != nil:
			return balancer.Cancelled
		case errors.Is(err, connpool.ErrLocalShortage):
			return balancer.NotSent // no replica is at fault
		}
		return balancer.ConnectFailed
	}
	e.reused = c.Reused
	c.StartCall(&g.meters[controlstats.PurposeAttempt])
	keep := false
	// A cancelled attempt frees its connection at once, whatever waits on it.
	unhook := context.AfterFunc(d.Ctx, func() { c.Close() })
	defer func() {
		if unhook() && keep {
			g.pool.Put(c)
		} else {
			g.pool.Drop(c)
		}
	}()
	// Called off while it connected, or its client gone while it waited for the core: here, and
	// nowhere else, an attempt begins, and nothing may go out any more.
	if !hand.isHolder() || d.Request.ClientGone() || d.Ctx.Err() != nil {
		return balancer.Cancelled
	}
	if !g.acceptsWork(d.Replica) { // taken out since it was ordered, while the connection came up
		keep = true
		return balancer.NotSent
	}
	hand.markDispatched()
	c.SetDeadline(cutAt)
	if err := c.WriteBuffers(net.Buffers{httpwire.ForwardedHead(r, len(body), d.TimeoutAt-g.clock.now()), body}); err != nil {
		// The last byte was never written, so the worker did not start.
		return failureStatus(d, err, balancer.ConnectFailed)
	}
	sent := time.Now()
	resp, err := readHead(c, cutAt)
	if err != nil {
		if time.Since(sent) >= silentReplicaAfter {
			g.pool.CloseUnusedSince(d.Replica.ConnKey(), sent)
		}
		return failureStatus(d, err, balancer.ConnBroken)
	}
	in := httpwire.NewBody(c.Reader, resp)
	// Bytes behind an answer would be taken for the next one's.
	whole := func() bool { return in.Delimited() && !resp.Close && c.Reader.Buffered() == 0 }
	if resp.StatusCode != http.StatusOK {
		e.report, e.httpStatus = httpwire.LoadReportOf(resp.Header), resp.StatusCode
		c.SetDeadline(time.Now().Add(time.Second))
		_, err := in.ReadAll(httpwire.MaxBodyBytes)
		status := httpwire.StatusOf(resp)
		// A worker that cannot use a request may close on what follows it.
		keep = err == nil && whole() && status != balancer.Rejected
		return status
	}
	var notes httpwire.StreamObserver
	var first []byte // of the first event: what breaks off before it is whole has given the client nothing
	for begun := false; ; {
		events, err := in.Next()
		notes.Write(events)
		if !begun {
			first = append(first, events...)
			events = nil
			if begun = httpwire.EndsEvent(first) || len(first) >= maxPartialEvent || err == io.EOF; begun {
				events = first
				g.loop.events <- streamOpened{d}
			}
		}
		if len(events) > 0 {
			select {
			case d.Events <- bytes.Clone(events):
			case <-d.Ctx.Done():
				return balancer.Cancelled
			}
			// From the first event on no deadline runs, but a silent machine
			// leaves its connection open: only the clock tells.
			c.SetDeadline(time.Now().Add(g.options.StreamIdleTimeout))
		}
		if err == io.EOF {
			e.cachedTokens, e.outputTokens, e.report = notes.CachedTokens, notes.OutputTokens, notes.Report
			if e.report.Has == 0 {
				e.report = httpwire.LoadReportOf(resp.Header)
			}
			if !in.Delimited() {
				return balancer.ConnBroken
			}
			keep = whole()
			return balancer.Served
		}
		if err != nil {
			return failureStatus(d, err, balancer.ConnBroken)
		}
	}
}

// responseHeadTimeout is how long a head may take from its first byte: it comes in one
// piece, and one that does not end would use up the request's time.
const responseHeadTimeout = 500 * time.Millisecond

// readHead waits for an answer and reads its head.
func readHead(c *connpool.Conn, cutAt time.Time) (*http.Response, error) {
	for infos := 0; ; infos++ {
		if _, err := c.Reader.Peek(1); err != nil {
			return nil, err
		}
		if by := time.Now().Add(responseHeadTimeout); by.Before(cutAt) {
			c.SetDeadline(by)
		}
		resp, err := httpwire.ReadHead(c.Reader)
		if errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(cutAt) {
			err = httpwire.ErrMalformed
		}
		c.SetDeadline(cutAt)
		if err != nil || resp.StatusCode >= 200 {
			return resp, err
		}
		if infos >= maxInformational {
			return nil, fmt.Errorf("%w: over %d answers before the answer", httpwire.ErrMalformed, maxInformational)
		}
	}
}

// maxInformational bounds the 1xx answers before the answer.
const maxInformational = 8

// failureStatus tells what the end of a connection means for an attempt.
func failureStatus(d *inflight.Attempt, err error, otherwise balancer.Status) balancer.Status {
	switch {
	case d.Ctx.Err() != nil:
		return balancer.Cancelled
	case errors.Is(err, httpwire.ErrMalformed):
		return balancer.Malformed
	case errors.Is(err, os.ErrDeadlineExceeded):
		return balancer.TimedOut
	}
	return otherwise
}
