package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"archknot/balancer"
	"archknot/internal/connpool"
	"archknot/internal/endpoint"
	"archknot/internal/httpwire"
	"archknot/internal/inflight"
)

// PeerClosed detects from the socket's state that a client has closed, half-closed or reset its
// connection. It is checked before an attempt is sent, since the HTTP server may detect that late.
func TestClientGoneByKernelState(t *testing.T) {
	l := listenOnLoopback(t)
	for name, c := range map[string]struct {
		end        func(*net.TCPConn)
		wantClosed bool
	}{
		"stays":              {func(c *net.TCPConn) {}, false},
		"sends more, stays":  {func(c *net.TCPConn) { io.WriteString(c, "GET /") }, false},
		"closes":             {func(c *net.TCPConn) { c.Close() }, true},
		"closes its half":    {func(c *net.TCPConn) { c.CloseWrite() }, true},
		"resets":             {func(c *net.TCPConn) { c.SetLinger(0); c.Close() }, true},
		"sends more, closes": {func(c *net.TCPConn) { io.WriteString(c, "GET /"); c.Close() }, true},
	} {
		client, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		accepted, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		c.end(client.(*net.TCPConn))
		if c.wantClosed {
			waitUntil(t, name+": detected as closed", func() bool { return connpool.PeerClosed(accepted) })
		} else if time.Sleep(20 * time.Millisecond); connpool.PeerClosed(accepted) {
			t.Errorf("%s: taken for closed", name)
		}
		accepted.Close()
		client.Close()
	}
}

// No attempt is sent later than 0.1 s after its client has disconnected. All clients disconnect
// while their first attempt is in flight, in one case after bytes beyond the request, which keep
// the HTTP server from detecting it. The attempts are then shed, which calls for a retry.
func TestNoAttemptStartsForGoneClient(t *testing.T) {
	for name, more := range map[string]string{"plain": "", "more after it": "GET /health/ready HTTP/1.1\r\n"} {
		t.Run(name, func(t *testing.T) {
			var begun, late atomic.Int32
			var disconnectedAt atomic.Int64
			releaseFirst := make(chan struct{})
			replica := newFakeReplica(t, "s-1", func(c net.Conn, r *http.Request) bool {
				if at := disconnectedAt.Load(); at > 0 && time.Now().UnixNano() > at+int64(100*time.Millisecond) {
					late.Add(1)
				}
				begun.Add(1)
				<-releaseFirst // the first attempt is shed after its client has disconnected, which calls for a retry
				io.WriteString(c, shedReply)
				return true
			})
			other := newFakeReplica(t, "s-2", replica.script)
			g := startGateway(t, nil, replica, other)
			var clients []*testClient
			for i := range 20 {
				c := dial(t, g.addr)
				c.sendRequest("gone"+name[:1]+string(rune('a'+i)), "4000m")
				clients = append(clients, c)
			}
			waitUntil(t, "attempts", func() bool { return begun.Load() == 20 })
			for _, c := range clients {
				if more != "" {
					c.sendRaw(more)
				}
				c.Close()
			}
			disconnectedAt.Store(time.Now().UnixNano())
			time.Sleep(150 * time.Millisecond) // past the 0.1 s: an attempt that begins from now on is late
			close(releaseFirst)
			waitUntil(t, "nothing in flight", func() bool { return g.clients.inFlightCount() == 0 && len(g.loop.events) == 0 || late.Load() > 0 })
			if n := late.Load(); n > 0 {
				t.Errorf("%d attempts sent for disconnected clients", n)
			}
		})
	}
}

// No request is written for a client that disconnected while its attempt was connecting.
func TestNothingIsWrittenAfterLateConnect(t *testing.T) {
	l := listenOnLoopback(t)
	g := newTestGateway(t, testOptions())
	table := inflight.NewTable()
	ctx, cancel := context.WithCancel(t.Context())
	r := inflight.NewRequest(ctx, "late", balancer.Request{}, 0, 3)
	r.ClientClosed, r.Cancel = func() bool { return true }, cancel // closed by the socket's state, not yet detected by the HTTP server
	table.Add(r)
	now := g.clock.now()
	attempt := table.StartAttempt(r, &endpoint.Replica{}, now, now+1e6)
	attempt.Replica.Addr = l.Addr().String()
	in, _ := http.NewRequest("POST", "/v1/chat/completions", nil)
	go (&attemptExchange{gateway: g, request: in, body: []byte("{}"), attempt: attempt}).run()
	if e := (<-g.loop.events).(attemptEnded); e.status != balancer.Cancelled {
		t.Errorf("status %v", e.status)
	}
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c.SetReadDeadline(time.Now().Add(2 * time.Second))
	if b, err := io.ReadAll(c); len(b) > 0 || err != nil && !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read %q, %v", b, err)
	}
}

// A client's disconnect closes the connection to the replica at once, before and during the
// stream.
func TestClientDisconnectFreesReplica(t *testing.T) {
	for name, text := range map[string]string{"before": "", "during": streamHead + chunk(event1)} {
		replica := newFakeReplica(t, "s-1", replyWith(text, true))
		g := startGateway(t, nil, replica)
		c := dial(t, g.addr)
		c.sendRequest("c1", "4000m")
		waitUntil(t, "the attempt", func() bool { _, n := replica.counts(); return n == 1 })
		if text != "" {
			c.readHead()
		}
		c.Close()
		select {
		case <-replica.closedByGateway:
		case <-time.After(2 * time.Second):
			t.Errorf("%s: the connection to the replica stayed open", name)
		}
		waitUntil(t, name+": nothing in flight", func() bool { return g.clients.inFlightCount() == 0 && g.pool.OpenCount() == 0 })
	}
}

// An attempt that was never started because its client disconnected still ends. Otherwise the
// module would count it as in flight forever.
func TestPendingAttemptOfGoneClientEnds(t *testing.T) {
	g := newTestGateway(t, testOptions())
	l := g.loop
	l.now = g.clock.now()
	l.loadCachedList(httpwire.EndpointList{Endpoints: []httpwire.Endpoint{{ID: "s-1", Addr: "127.0.0.1:1", Zone: "a", Kind: "k", Lifecycle: "ready"}}})
	r := inflight.NewRequest(context.Background(), "l1", balancer.Request{Class: "chat"}, l.now+1e6, 3)
	requestArrived{r, l.gateway.config.Load(), true}.apply(l)
	if len(r.Actions) != 1 {
		t.Fatalf("%d actions", len(r.Actions))
	}
	requestCancelled{r}.apply(l)
	if l.requests.Len() != 0 {
		t.Error("the request is still in flight")
	}
}

// No retry is dispatched for an attempt that was cancelled because its client disconnected. Its end
// may reach the event loop before requestCancelled does; a retry would use up the retry budget.
func TestNoRetryIsPlannedForGoneClient(t *testing.T) {
	g := newTestGateway(t, testOptions())
	l := g.loop
	l.now = g.clock.now()
	l.loadCachedList(httpwire.EndpointList{Endpoints: []httpwire.Endpoint{{ID: "s-1", Addr: "127.0.0.1:1", Zone: "a", Kind: "k", Lifecycle: "ready"},
		{ID: "s-2", Addr: "127.0.0.1:2", Zone: "a", Kind: "k", Lifecycle: "ready"}}})
	ctx, cancel := context.WithCancel(t.Context())
	r := inflight.NewRequest(ctx, "g1", balancer.Request{Class: "chat"}, l.now+4e6, 3)
	requestArrived{r, g.config.Load(), true}.apply(l)
	attempt := (<-r.Actions).Attempt
	cancel()
	attemptEnded{attempt: attempt, status: balancer.Cancelled}.apply(l)
	if len(r.Actions) > 0 || len(r.Attempts) != 1 {
		t.Errorf("%d attempts, %d actions for a disconnected client", len(r.Attempts), len(r.Actions))
	}
	requestCancelled{r}.apply(l)
	if l.requests.Len() != 0 {
		t.Errorf("%d requests stay in flight", l.requests.Len())
	}
}

// Guards against a request that runs twice when its id comes again after its client has left (issue 74, picture d). One that
// is proved not to have run is served again, and so is one of a class that may be repeated.
func TestIDOfAGoneClientDoesNotRunAgain(t *testing.T) {
	for name, c := range map[string]struct {
		idempotency balancer.Idempotency
		script      func(net.Conn, *http.Request) bool
		leaves      bool // the client leaves while the replica runs its request; else it waits for the answer
		runs        int
		status      int // of the second request
	}{
		"once, client leaves":       {balancer.NonIdempotent, neverAnswer, true, 1, http.StatusConflict},
		"by key, client leaves":     {balancer.IdempotentWithKey, neverAnswer, true, 1, http.StatusConflict},
		"once, served":              {balancer.NonIdempotent, answerCompletely, false, 1, http.StatusConflict},
		"once, never ran":           {balancer.NonIdempotent, replyWith(shedReply, true), false, 2, http.StatusServiceUnavailable},
		"repeatable, client leaves": {balancer.Idempotent, neverAnswer, true, 2, 0},
	} {
		t.Run(name, func(t *testing.T) {
			replica := newFakeReplica(t, "s-1", c.script)
			g := startGateway(t, func(o *Options) {
				o.Settings.Classes[0].Idempotency = c.idempotency
				o.Settings.Classes[0].DedupWindow = 5e6
				o.Settings.MaxAttempts = 1
			}, replica)
			first := dial(t, g.addr)
			first.sendRequest("same", "1000m")
			waitUntil(t, "the replica has the request", func() bool { _, n := replica.counts(); return n == 1 })
			if c.leaves {
				first.Close()
			} else {
				first.readAnswer()
			}
			waitUntil(t, "the request has ended", func() bool { return g.clients.inFlightCount() == 0 })
			second := dial(t, g.addr)
			second.sendRequest("same", "300m")
			if resp, _ := second.readAnswer(); c.status != 0 && resp.StatusCode != c.status {
				t.Errorf("the second request: status %d, want %d", resp.StatusCode, c.status)
			}
			if _, runs := replica.counts(); runs != c.runs {
				t.Errorf("the replica got it %d times, want %d", runs, c.runs)
			}
		})
	}
}

// The ids that are remembered are bounded in number and time.
func TestRecentIDsAreBounded(t *testing.T) {
	var r recentIDs
	for i := range maxRecentIDs + 10 {
		r.add(1, fmt.Sprint(i))
	}
	if r.has(2, "9") || !r.has(2, "10") || len(r.queue) != maxRecentIDs || len(r.expiresAt) != maxRecentIDs {
		t.Errorf("%d and %d ids are remembered", len(r.queue), len(r.expiresAt))
	}
	if r.has(1+recentIDPeriod.Microseconds(), "10") || len(r.queue) != 0 || len(r.expiresAt) != 0 {
		t.Errorf("%d ids are remembered for too long", len(r.queue))
	}
}
