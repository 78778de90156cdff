package gateway

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"archknot/internal/httpwire"
)

// The watch goes on after a change, a draining replica gets no new request, and a failed call is
// followed by another. Guards against a watch of generation 0 that polls without waiting.
func TestDiscoveryIsFollowed(t *testing.T) {
	a, b := newFakeReplica(t, "s-1", answerCompletely), newFakeReplica(t, "s-2", answerCompletely)
	g := startGateway(t, nil, a, b)
	waitUntil(t, "the watch", func() bool { return g.discoveryServer.callCount() >= 2 })
	g.discoveryServer.change(listEntry(a, "draining"))
	waitUntil(t, "the watch after a change", func() bool { return g.discoveryServer.callCount() >= 3 })
	dial(t, g.addr).exchange(5, "g")
	if _, n := a.counts(); n != 0 {
		t.Errorf("%d attempts to a draining replica", n)
	}
	g.discoveryServer.mu.Lock()
	g.discoveryServer.failingCalls = 1
	g.discoveryServer.mu.Unlock()
	g.discoveryServer.change() // answered, then the next call fails
	waitUntil(t, "a call after the failed one", func() bool { return g.discoveryServer.callCount() >= 5 })
	if n := g.discoveryServer.callCount(); n > 10 {
		t.Errorf("%d calls", n)
	}
}

// A discovery that does not answer a call is polled again, and the change that it then sends is
// applied.
func TestSilentDiscoveryIsPolledAgain(t *testing.T) {
	a, b := newFakeReplica(t, "s-1", answerCompletely), newFakeReplica(t, "s-2", answerCompletely)
	g := startGateway(t, func(o *Options) { o.WatchWait, o.DiscoveryTimeout = 20*time.Millisecond, 100*time.Millisecond }, a, b)
	g.discoveryServer.leaveNextCallUnanswered(t)
	calls := g.discoveryServer.callCount()
	g.discoveryServer.change(listEntry(a, "draining"))
	waitUntil(t, "calls after the silence", func() bool { return g.discoveryServer.callCount() >= calls+2 })
	dial(t, g.addr).exchange(5, "n")
	if _, n := a.counts(); n != 0 {
		t.Errorf("%d attempts to a replica that drained during the silence", n)
	}
}

// A watch that timed out restarts at once, even with so many gateways that the call after a
// failed one waits for seconds: by then, discovery counts the missed changes as notified.
func TestSilentWatchRestartsImmediately(t *testing.T) {
	a, b := newFakeReplica(t, "s-1", answerCompletely), newFakeReplica(t, "s-2", answerCompletely)
	g := startGateway(t, func(o *Options) {
		o.WatchWait, o.DiscoveryTimeout = 20*time.Millisecond, 100*time.Millisecond
		o.Settings.Gateways = 100 // the call after a failed one waits for 4 s or more
	}, a, b)
	g.discoveryServer.leaveNextCallUnanswered(t)
	calls, begun := g.discoveryServer.callCount(), time.Now()
	waitUntil(t, "the restarted watch", func() bool { return g.discoveryServer.callCount() > calls })
	if d := time.Since(begun); d > 2*time.Second {
		t.Errorf("restarted %v after the silent call", d)
	}
}

// After a move, discovery is polled at its new address at once, although the call at the old one
// has not ended; the full list is requested, and requests in flight continue.
func TestDiscoveryMoves(t *testing.T) {
	finishStream := make(chan struct{})
	a := newFakeReplica(t, "s-1", func(c net.Conn, _ *http.Request) bool {
		io.WriteString(c, streamHead+chunk(event1))
		<-finishStream
		io.WriteString(c, lastChunk)
		return true
	})
	b := newFakeReplica(t, "s-2", answerCompletely)
	g := startGateway(t, nil, a)
	waitUntil(t, "the watch", func() bool { return g.discoveryServer.callCount() >= 2 })
	c := dial(t, g.addr)
	c.sendRequest("r1", "4000m")
	resp := c.readHead()
	next := newFakeDiscovery(t, httpwire.EndpointList{Generation: 3, Endpoints: []httpwire.Endpoint{listEntry(b, "ready")}})
	g.MoveDiscovery("127.0.0.1:1", time.Now()) // replaced before it is polled, or the poll is refused
	g.MoveDiscovery(next.addr, time.Now())
	waitUntil(t, "the watch at the new address", func() bool { return next.callCount() >= 2 })
	if path := next.calls[0]; path != httpwire.ListPath {
		t.Errorf("the first call there: %s", path)
	}
	close(finishStream)
	if got, err := io.ReadAll(resp.Body); err != nil || string(got) != event1 {
		t.Errorf("the stream in flight ended with %q, %v", got, err)
	}
	c.sendRequest("r2", "4000m")
	c.readAnswer()
	if _, n := a.counts(); n != 1 {
		t.Errorf("%d attempts to a replica that the new discovery does not list", n)
	}
}

// Idle clients on all connections while discovery is down block nothing: calls to discovery and
// attempts have descriptors of their own, a new client is served in place of an idle one, and
// once discovery is back its changes are applied.
func TestIdleClientsWhileDiscoveryIsDown(t *testing.T) {
	a, b := newFakeReplica(t, "s-1", answerCompletely), newFakeReplica(t, "s-2", answerCompletely)
	g := startGateway(t, func(o *Options) {
		o.MaxClientConns, o.OverflowConns, o.MaxReplicaConns = 6, 1, 4
		o.WatchWait, o.DiscoveryTimeout = 200*time.Millisecond, 300*time.Millisecond
	}, a, b)
	waitUntil(t, "the watch", func() bool { return g.discoveryServer.callCount() >= 2 })
	g.discoveryServer.server.Close()
	for range 40 { // each has been served once, and stays connected
		idle := dial(t, g.addr)
		idle.sendRaw("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n")
		idle.readAnswer()
	}
	if n := g.clients.connCount(); n > 7 {
		t.Errorf("%d connections of clients", n)
	}
	for _, id := range []string{"q1", "q2", "q3"} {
		c := dial(t, g.addr)
		c.sendRequest(id, "4000m")
		if resp, _ := c.readAnswer(); resp.StatusCode != 200 {
			t.Errorf("status %d while discovery is down", resp.StatusCode)
		}
	}
	g.discoveryServer.change(listEntry(a, "draining"))
	<-g.discoveryServer.changed // nobody waits for it
	calls := g.discoveryServer.callCount()
	g.discoveryServer.restart(t)
	back := time.Now()
	waitUntil(t, "two calls since discovery is back", func() bool { return g.discoveryServer.callCount() >= calls+2 })
	if d := time.Since(back); d > 4*time.Second {
		t.Errorf("applied %v after discovery could be reached", d)
	}
	_, before := a.counts()
	for _, id := range []string{"r1", "r2", "r3"} {
		c := dial(t, g.addr)
		c.sendRequest(id, "4000m")
		c.readAnswer()
	}
	if _, n := a.counts(); n > before {
		t.Errorf("%d attempts to a draining replica", n-before)
	}
}
