package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"archknot/balancer"
	"archknot/internal/connpool"
	"archknot/internal/httpwire"
)

// discoveryCall answers a call to discovery; n counts the earlier calls on its connection.
type discoveryCall func(c net.Conn, n int)

// pollOnce starts a gateway's watch of discovery and returns the first event that it posts. The test takes the place
// of the event loop.
func pollOnce(t *testing.T, generation int64, answer discoveryCall, change func(*Options)) (event, *Gateway) {
	t.Helper()
	l := listenOnLoopback(t)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for n := 0; ; n++ {
					if _, err := http.ReadRequest(in); err != nil {
						return
					}
					answer(c, n)
				}
			}()
		}
	}()
	o := testOptions()
	o.Discovery = l.Addr().String()
	o.CachedList = httpwire.EndpointList{Generation: generation}
	o.DiscoveryTimeout = 2 * time.Second
	change(&o)
	g := newTestGateway(t, o)
	go g.watchDiscovery(t.Context())
	g.loop.WatchDiscovery()
	return <-g.loop.events, g
}

func reset(c net.Conn) {
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

const unavailable = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"

// A failed call extends the use of the list only if it shows that discovery served nobody when the call began. Guards
// against a 503 at once that counts as a reachable discovery: gateways would stop serving in an outage of 8 s.
func TestFailuresThatShowDiscoveryUnreachable(t *testing.T) {
	const late = maxUnreachableDelay + 100*time.Millisecond
	for name, c := range map[string]struct {
		answer      discoveryCall
		unreachable bool
	}{
		"503 at once":   {func(c net.Conn, _ int) { io.WriteString(c, unavailable) }, true},
		"reset at once": {func(c net.Conn, _ int) { reset(c) }, true},
		"closed":        {func(c net.Conn, _ int) { c.Close() }, true},
		"503 behind a queue": {func(c net.Conn, _ int) {
			time.Sleep(late)
			io.WriteString(c, unavailable)
		}, false},
		"a watch that is reset": {func(c net.Conn, _ int) {
			time.Sleep(late)
			reset(c)
		}, false},
		"another status": {func(c net.Conn, _ int) { io.WriteString(c, "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n") }, false},
		"malformed":      {func(c net.Conn, _ int) { io.WriteString(c, "noise\n\n") }, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			begun := time.Now()
			e, g := pollOnce(t, 7, c.answer, func(*Options) {})
			failed, ok := e.(listPollFailed)
			if !ok || (failed.kind == balancer.ListUnreachable) != c.unreachable {
				t.Errorf("%#v, want unreachable %t", e, c.unreachable)
			}
			if asOf := g.clock.timeAt(failed.asOf); asOf.After(begun.Add(100 * time.Millisecond)) {
				t.Errorf("as of %v after the call began", asOf.Sub(begun))
			}
		})
	}
}

// The reset of a connection that had been idle says nothing about discovery, nor does a resource shortage on this
// machine. If either counted as an outage, the list would be used after it has expired.
func TestFailuresUnrelatedToDiscovery(t *testing.T) {
	poll := discoveryPoll{begunAt: time.Now()}
	for _, err := range []error{
		fmt.Errorf("%w: %w", errNotConnected, connpool.ErrLocalShortage),
		fmt.Errorf("no answer: %w", markClosed(&connpool.Conn{Reused: true}, io.EOF)),
		context.Canceled,
	} {
		if poll.foundUnreachable(err) {
			t.Errorf("%v counts as unreachable", err)
		}
	}
}

// An answer of discovery is dated by its call, not by its arrival: one that was in transit for long does not have
// the changes since.
func TestListIsDatedByItsCall(t *testing.T) {
	const wait, delay = firstWatchWait, 400 * time.Millisecond // together below maxTransit
	answer := func(text string) discoveryCall {
		return func(c net.Conn, _ int) {
			time.Sleep(wait + delay)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		}
	}
	for name, c := range map[string]struct {
		answer discoveryCall
		latest time.Duration // after the call began
	}{
		"a change":  {answer(`{"generation":8,"reset":false,"instances":[{"instanceId":"s-1","hostPort":"127.0.0.1:1","lifecycle":"ready"}]}`), 0},
		"no change": {answer(`{"generation":7,"reset":false,"instances":[]}`), wait},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			begun := time.Now()
			e, g := pollOnce(t, 7, c.answer, func(*Options) {})
			received, ok := e.(listReceived)
			if asOf := g.clock.timeAt(received.asOf).Sub(begun); !ok || asOf < c.latest || asOf > c.latest+delay/2 {
				t.Errorf("%T as of %v after the call began, want %v", e, asOf, c.latest)
			}
		})
	}
}

// An unanswered first call to an agent on this machine shows that the agent is unresponsive and receives no changes.
// An unanswered call to a shared discovery does not: it may wait in a queue.
func TestUnansweredCallShowsOnlyALocalAgentUnreachable(t *testing.T) {
	for _, local := range []bool{true, false} {
		e, _ := pollOnce(t, 7, func(c net.Conn, _ int) { io.Copy(io.Discard, c) }, func(o *Options) {
			o.WatchWait, o.DiscoveryTimeout = 100*time.Millisecond, 100*time.Millisecond
			o.Settings.LocalDiscovery = local
		})
		if failed, ok := e.(listPollFailed); !ok || (failed.kind == balancer.ListUnreachable) != local {
			t.Errorf("local %t: %#v", local, e)
		}
	}
}

// A call that discovery refuses at once shows an outage only from that call on. After a watch that timed out, or a
// call that failed late, changes may have been missed, and the list must not be used for longer.
func TestRefusedCallAfterGapIsNotUnreachable(t *testing.T) {
	const late = maxUnreachableDelay + 100*time.Millisecond
	for name, c := range map[string]struct {
		first       discoveryCall // answers the process's first call; the later ones are refused
		unreachable bool
	}{
		"answered before": {func(c net.Conn, _ int) {
			const list = `{"generation":7,"reset":false,"instances":[]}`
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
		}, true},
		"silent before":      {func(c net.Conn, _ int) { io.Copy(io.Discard, c) }, false},
		"failed late before": {func(c net.Conn, _ int) { time.Sleep(late); io.WriteString(c, unavailable) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var calls atomic.Int32
			e, g := pollOnce(t, 7, func(conn net.Conn, n int) {
				if calls.Add(1) == 1 {
					c.first(conn, n)
					return
				}
				io.WriteString(conn, unavailable)
			}, func(o *Options) { o.DiscoveryTimeout = 2 * maxUnreachableDelay })
			for failed, ok := e.(listPollFailed); !ok || calls.Load() < 2; failed, ok = e.(listPollFailed) {
				if ok {
					close(failed.handled)
					g.loop.WatchDiscovery()
				}
				e = <-g.loop.events
			}
			if failed, _ := e.(listPollFailed); (failed.kind == balancer.ListUnreachable) != c.unreachable {
				t.Errorf("%d, want unreachable %t", failed.kind, c.unreachable)
			}
		})
	}
}
