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

// pollOutcome is how a poll of discovery ended, as the log and the metrics name it.
type pollOutcome uint8

// The outcomes of a poll.
const (
	pollChanged      pollOutcome = iota // discovery sent a list or a change of it
	pollUnchanged                       // discovery answered that nothing has changed
	pollTimedOut                        // discovery did not answer within the timeout
	pollFailed                          // the call failed in any other way
	pollMoved                           // the gateway left discovery's address meanwhile
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

// maxUnreachableDelay is how soon a call fails where discovery serves none. One that was accepted, or that
// waited in discovery's queue, fails later.
const maxUnreachableDelay = 500 * time.Millisecond

// timedOut reports whether discovery accepted the call and did not answer it within the timeout.
func (p *discoveryPoll) timedOut(err error) bool {
	return err != nil && !errors.Is(err, errNotConnected) && time.Since(p.begunAt) >= p.timeout
}

// outcome returns how the call ended.
func (p *discoveryPoll) outcome(list *httpwire.EndpointList, newAddr string, err error) pollOutcome {
	switch {
	case newAddr != "":
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
	// firstWatchWait is how long discovery may delay the answer to the first call of a watch, and
	// firstWaitDivisor the part of a watch's wait that it may be at most.
	firstWatchWait, firstWaitDivisor = 250 * time.Millisecond, 8
	// openWatchTimeout is how much longer than its wait the answer to an open watch may take: unlike a first call
	// it is in no queue.
	openWatchTimeout = 1500 * time.Millisecond
)

// MaxWatchWait returns the longest wait of a watch with which a list that is trusted for a time does not get older
// than that if the watch falls silent: its silence is noticed, and a first call answered, before.
func MaxWatchWait(trust, answerTimeout time.Duration) time.Duration {
	return trust - maxTransit - min(answerTimeout, openWatchTimeout) - firstWatchWait - answerTimeout
}

// maxTransit is how long an answer of discovery's may be under way.
const maxTransit = time.Second

// informationAge returns how long ago all changes were known that discovery had, by an answer. Discovery composed
// the answer after it had the call, and after its wait if nothing has changed.
func (p *discoveryPoll) informationAge(outcome pollOutcome) time.Duration {
	took := time.Since(p.begunAt)
	if outcome == pollUnchanged {
		took = max(0, took-p.wait)
	}
	return min(took, maxTransit)
}

// foundUnreachable reports whether the call's failure shows that discovery could not be reached when the
// call began: it was refused, reset or answered with 503 at once. A shortage on this machine shows nothing of
// discovery, nor does a connection that had been idle.
func (p *discoveryPoll) foundUnreachable(err error) bool {
	if time.Since(p.begunAt) >= maxUnreachableDelay || errors.Is(err, connpool.ErrLocalShortage) {
		return false
	}
	return errors.Is(err, errNotConnected) || errors.Is(err, errConnClosed) || errors.Is(err, errUnavailable)
}

// endedByDiscovery reports whether discovery itself ended a call without a list.
func endedByDiscovery(err error) bool { return isConnClosed(err) || errors.Is(err, errUnavailable) }

// log writes a line about the poll.
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
