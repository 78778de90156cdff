package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"archknot/balancer"
	"archknot/internal/httpwire"
)

// errUnavailable marks a call that discovery answered with 503: it serves no calls.
var errUnavailable = errors.New("discovery answered with status 503")

// discoveryWatch follows the endpoint list. The goroutine of watchDiscovery owns it.
type discoveryWatch struct {
	gateway              *Gateway
	addr                 string
	generation           int64 // of the list in force; httpwire.NoGeneration: the next call requests the full list
	lastCallAnswered     bool  // discovery answered the last call, and so serves the next one without a queue
	noChangeMissed       bool  // since its last answer, or the first call to it, discovery was watched or could not be reached
	onlyExplicitFailures bool  // as noChangeMissed, but discovery may also have ended first calls itself after a wait
}

// discoveryMove is an order to follow discovery at another address.
type discoveryMove struct {
	addr      string
	orderedAt time.Time
}

// watchDiscovery polls discovery when the module requests it, and repeatedly until a poll
// fails; then the module decides when to poll again. A process that replaces another one polls at
// once. A move cancels the call at the old address, and the new one is polled at once.
func (g *Gateway) watchDiscovery(ctx context.Context) {
	w := discoveryWatch{gateway: g, addr: g.options.Discovery, generation: g.options.CachedList.Generation, noChangeMissed: true, onlyExplicitFailures: true}
	if g.replacesProcess { // the changes that the other process has count as known soon
		w.follow(ctx)
	}
	for {
		select {
		case <-g.loop.pollRequests:
		case move := <-g.discoveryMoves:
			w.moveTo(ctx, move)
		case <-ctx.Done():
			return
		}
		w.follow(ctx)
	}
}

// follow polls discovery repeatedly until a poll fails.
func (w *discoveryWatch) follow(ctx context.Context) {
	g := w.gateway
	for previousTimedOut := false; ; {
		poll := w.newPoll()
		list, move, err := g.pollList(ctx, &poll)
		moved := move.addr != ""
		outcome := poll.outcome(&list, moved, err)
		g.polls[outcome].Add(1)
		poll.log(ctx, slog.LevelDebug, "discovery_poll", "outcome", outcome.String())
		w.lastCallAnswered = err == nil && !moved
		w.onlyExplicitFailures = w.lastCallAnswered || w.onlyExplicitFailures && (w.missesNoChange(&poll, err) || endedByDiscovery(err))
		w.noChangeMissed = w.lastCallAnswered || w.noChangeMissed && w.missesNoChange(&poll, err)
		switch {
		case outcome == pollMoved:
			w.moveTo(ctx, move)
		case outcome == pollTimedOut && !previousTimedOut && (!poll.first || !g.options.Settings.LocalDiscovery):
			// Discovery accepted the call and did not answer within the timeout. By now it
			// counts changes that the gateway missed as notified, so the gateway polls again at
			// once, but only once. All gateways' polls are as spread out as their watches were.
			// An agent on this machine answers a first call at once or not at all.
			previousTimedOut = true
			poll.log(ctx, slog.LevelWarn, "discovery_silent", "err", err)
		case err != nil:
			w.reportFailure(ctx, &poll, err)
			return
		default:
			previousTimedOut, w.generation = false, list.Generation
			asOf := g.clock.readingAgo(poll.informationAge(outcome))
			g.loop.post(ctx, listReceived{list, time.Since(poll.begunAt), asOf})
		}
	}
}

// newPoll returns the next call. It requests the full list, or starts a watch, or continues one. The call that
// starts a watch waits for a short time only, so that the list's age is known soon.
func (w *discoveryWatch) newPoll() discoveryPoll {
	config := w.gateway.config.Load()
	poll := discoveryPoll{addr: w.addr, since: w.generation, first: !w.lastCallAnswered, begunAt: time.Now()}
	answerTimeout := config.discoveryTimeout
	switch {
	case w.generation == httpwire.NoGeneration: // the full list: the call does not wait for a change
	case poll.first:
		poll.wait = min(config.watchWait/firstWaitDivisor, firstWatchWait)
	default:
		poll.wait = jitter(config.watchWait)
		answerTimeout = min(answerTimeout, openWatchTimeout)
	}
	poll.timeout = poll.wait + answerTimeout
	return poll
}

// jitter returns a random duration between three quarters of d and d. A change answers the watches of all gateways
// at once; without jitter, all their next calls would also time out at once if discovery became unresponsive.
func jitter(d time.Duration) time.Duration {
	return d - time.Duration(rand.Float64()*float64(d)/4)
}

// showsUnreachable reports whether a failed call shows that discovery could not be reached when the call began.
func (w *discoveryWatch) showsUnreachable(poll *discoveryPoll, err error) bool {
	// An agent on this machine answers a first call at once, unless it is unresponsive and receives no changes.
	agentTimedOut := poll.first && poll.timedOut(err) && w.gateway.options.Settings.LocalDiscovery
	return agentTimedOut || poll.foundUnreachable(err)
}

// missesNoChange reports whether no change can have been missed during a failed call: discovery could not be
// reached, or it ended an open watch, which worked until then. The watch of a local agent times out only if the
// agent is unresponsive, and then the agent receives no changes.
func (w *discoveryWatch) missesNoChange(poll *discoveryPoll, err error) bool {
	openWatchEnded := !poll.first && endedByDiscovery(err)
	agentWatchTimedOut := poll.timedOut(err) && w.gateway.options.Settings.LocalDiscovery
	return openWatchEnded || agentWatchTimedOut || w.showsUnreachable(poll, err)
}

// failureKind returns the kind of list event that a failed call causes.
func (w *discoveryWatch) failureKind(poll *discoveryPoll, err error) balancer.ListKind {
	switch {
	case w.noChangeMissed && w.showsUnreachable(poll, err):
		return balancer.ListUnreachable
	case w.onlyExplicitFailures && poll.first && (endedByDiscovery(err) || w.showsUnreachable(poll, err)):
		return balancer.ListUnavailable
	}
	return balancer.ListFailed
}

// reportFailure posts a failed poll, and waits until the loop has applied it. Applying it
// discards a poll that was requested during the call; polls requested later are made.
func (w *discoveryWatch) reportFailure(ctx context.Context, poll *discoveryPoll, err error) {
	kind := w.failureKind(poll, err)
	poll.log(ctx, slog.LevelInfo, "discovery_failed", "err", err, "unreachable", kind == balancer.ListUnreachable)
	failed := listPollFailed{kind, w.gateway.clock.readingAgo(time.Since(poll.begunAt)), make(chan struct{})}
	w.gateway.loop.post(ctx, failed)
	select {
	case <-failed.handled:
	case <-ctx.Done():
	}
}

// moveTo switches to another address of discovery. Generations cannot be compared between
// addresses, so the next call requests the full list. What discovery at the new address has may
// be newer, so the list may lack changes until it answers.
func (w *discoveryWatch) moveTo(ctx context.Context, move discoveryMove) {
	w.gateway.discovery.pool.CloseIdle(w.addr)
	slog.Info("discovery_moved", "from", w.addr, "to", move.addr)
	w.addr, w.generation = move.addr, httpwire.NoGeneration
	w.noChangeMissed, w.onlyExplicitFailures = true, true
	w.gateway.loop.post(ctx, listGap{asOf: w.gateway.clock.readingAgo(time.Since(move.orderedAt))})
}

// pollList makes one call. A move ends it early, and is returned; its address is empty if there was none.
func (g *Gateway) pollList(ctx context.Context, poll *discoveryPoll) (list httpwire.EndpointList, move discoveryMove, err error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		list, err = g.requestList(ctx, poll.addr, httpwire.ListQuery(poll.since, poll.wait.Milliseconds()), poll.timeout)
	}()
	select {
	case <-done:
	case move = <-g.discoveryMoves:
		stop()
		<-done
	}
	return list, move, err
}

// requestList fetches a list. It counts and logs invalid entries and a rejected list.
func (g *Gateway) requestList(ctx context.Context, addr, path string, timeout time.Duration) (httpwire.EndpointList, error) {
	var list httpwire.EndpointList
	limits := httpwire.ListLimits{Endpoints: g.options.MaxListEntries, Zones: g.options.Settings.Zones}
	_, err := g.discovery.get(ctx, addr, addr, path, timeout, func(status int, _ http.Header, body io.Reader) (err error) {
		if status == http.StatusServiceUnavailable {
			return errUnavailable
		}
		if status != http.StatusOK {
			return fmt.Errorf("discovery answered with status %d, expected 200", status)
		}
		list, err = httpwire.ReadList(body, limits)
		return err
	})
	if err == nil {
		g.recordInvalidEntries(&list)
	}
	var invalid *httpwire.InvalidListError
	if errors.As(err, &invalid) {
		rejected := g.rejectedLists.Add(1)
		slog.Error("endpoint_list_rejected", "err", invalid.Reason, "rejected_lists", rejected)
	}
	return list, err
}

func (g *Gateway) recordInvalidEntries(list *httpwire.EndpointList) {
	if list.InvalidEntryCount == 0 {
		return
	}
	g.invalidEntries.Add(int64(list.InvalidEntryCount))
	for _, entry := range list.InvalidEntries {
		g.invalidEntryLog.log("endpoint_list_invalid_entry", "index", entry.Index, "replica", entry.ID,
			"reason", entry.Reason, "invalid_entries", g.invalidEntries.Load())
	}
}
