package gateway

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"archknot/internal/connpool"
	"archknot/internal/httpwire"
)

// pollOutcome is how a poll of discovery ended. Its String is the name in the log and the metrics.
type pollOutcome uint8

// The outcomes of a poll.
const (
	pollChanged      pollOutcome = iota // discovery sent a list or a change of it
	pollUnchanged                       // discovery answered that nothing has changed
	pollTimedOut                        // discovery did not answer within the timeout
	pollFailed                          // the call failed in any other way
	pollMoved                           // a move to another address cancelled the call
	pollOutcomeCount int         = iota
)

func (o pollOutcome) String() string {
	return [...]string{"changed", "unchanged", "silent", "failed", "moved"}[o]
}

// discoveryPoll is one call to discovery.
type discoveryPoll struct {
	addr    string
	since   int64         // the generation that the gateway has
	wait    time.Duration // how long discovery may wait for a change
	timeout time.Duration // of the whole call
	first   bool          // it does not continue a watch
	begunAt time.Time
}

// maxUnreachableDelay is the time within which a call fails if discovery serves none. A call that fails later was
// accepted, or waited in discovery's queue.
const maxUnreachableDelay = 500 * time.Millisecond

// timedOut reports whether discovery accepted the call and did not answer it within the timeout.
func (p *discoveryPoll) timedOut(err error) bool {
	return err != nil && !errors.Is(err, errNotConnected) && time.Since(p.begunAt) >= p.timeout
}

// outcome returns how the call ended.
func (p *discoveryPoll) outcome(list *httpwire.EndpointList, moved bool, err error) pollOutcome {
	switch {
	case moved:
		return pollMoved
	case p.timedOut(err):
		return pollTimedOut
	case err != nil:
		return pollFailed
	case len(list.Endpoints) == 0 && !list.Reset:
		return pollUnchanged
	}
	return pollChanged
}

const (
	// firstWatchWait bounds how long discovery may delay the answer to the call that starts a watch.
	firstWatchWait = 250 * time.Millisecond
	// firstWaitDivisor bounds that delay also by the wait of a watch / firstWaitDivisor.
	firstWaitDivisor = 8
	// openWatchTimeout is how much longer than its wait the answer to a call that continues a watch may take. Unlike
	// the call that starts a watch, it does not wait in discovery's queue.
	openWatchTimeout = 1500 * time.Millisecond
)

// MaxWatchWait returns the longest wait of a watch for a list that may be used up to the age trust. If discovery does
// not answer a call of the watch, that call times out, and the next one is answered, before the list gets that old.
// answerTimeout is how much longer than its wait the answer to a call may take.
func MaxWatchWait(trust, answerTimeout time.Duration) time.Duration {
	return trust - maxTransit - min(answerTimeout, openWatchTimeout) - firstWatchWait - answerTimeout
}

// maxTransit bounds how long an answer of discovery is assumed to be in transit.
const maxTransit = time.Second

// informationAge returns the greatest age of an answer: it has all changes that discovery had that long ago. Discovery
// composed it after the call began, and after the call's wait if nothing has changed.
func (p *discoveryPoll) informationAge(outcome pollOutcome) time.Duration {
	took := time.Since(p.begunAt)
	if outcome == pollUnchanged {
		took = max(0, took-p.wait)
	}
	return min(took, maxTransit)
}

// foundUnreachable reports whether the call's failure shows that discovery could not be reached when the
// call began: the call was refused, reset or answered with 503 at once. A resource shortage on this machine says
// nothing about discovery, nor does the end of a connection that had been idle.
func (p *discoveryPoll) foundUnreachable(err error) bool {
	if time.Since(p.begunAt) >= maxUnreachableDelay || errors.Is(err, connpool.ErrLocalShortage) {
		return false
	}
	return errors.Is(err, errNotConnected) || errors.Is(err, errConnClosed) || errors.Is(err, errUnavailable)
}

// endedByDiscovery reports whether discovery itself ended a call without a list.
func endedByDiscovery(err error) bool { return isConnClosed(err) || errors.Is(err, errUnavailable) }

// log writes a log line with the poll's parameters and its duration so far.
func (p *discoveryPoll) log(ctx context.Context, level slog.Level, msg string, args ...any) {
	slog.Log(ctx, level, msg, append(args, "addr", p.addr, "since", p.since,
		"wait_ms", p.wait.Milliseconds(), "took_ms", time.Since(p.begunAt).Milliseconds())...)
}

// pollCounts counts polls of discovery by outcome. Any goroutine may use it.
type pollCounts [pollOutcomeCount]atomic.Int64

// byOutcome returns the counts by the name of the outcome.
func (c *pollCounts) byOutcome() map[string]int64 {
	counts := make(map[string]int64, pollOutcomeCount)
	for outcome := range pollOutcomeCount {
		counts[pollOutcome(outcome).String()] = c[outcome].Load()
	}
	return counts
}
