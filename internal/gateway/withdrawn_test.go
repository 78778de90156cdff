package gateway

import (
	"context"
	"net/http"
	"testing"

	"archknot/balancer"
	"archknot/internal/endpoint"
	"archknot/internal/httpwire"
	"archknot/internal/inflight"
)

// An attempt that was dispatched before its replica was drained, restarted, moved or removed,
// and is about to be written after that, as after a slow connect, is not written: it never ran.
func TestWithdrawnAttemptIsNotWritten(t *testing.T) {
	for name, change := range map[string]func(*httpwire.Endpoint){
		"drained": func(i *httpwire.Endpoint) { i.Lifecycle = "draining" }, "gone": func(i *httpwire.Endpoint) { i.Lifecycle = "gone" },
		"started anew": func(i *httpwire.Endpoint) { i.StartedAtMs = 5 }, "moved": func(i *httpwire.Endpoint) { i.Addr = "127.0.0.1:1" },
		"still there": func(i *httpwire.Endpoint) { i.Weight = 2 },
	} {
		for _, kind := range []balancer.ListKind{balancer.ListDelta, balancer.ListFull} {
			w := newFakeReplica(t, "s-1", answerCompletely)
			g := newTestGateway(t, testOptions())
			l := g.loop
			l.now = g.clock.now()
			entry := httpwire.Endpoint{ID: "s-1", Addr: w.addr, Zone: "a", Kind: "k", Lifecycle: "ready"}
			l.receiveList(httpwire.EndpointList{Reset: true, Endpoints: []httpwire.Endpoint{entry}}, balancer.ListFull, l.now)
			dispatchedTo := l.endpoints.ByName("s-1")
			change(&entry)
			l.receiveList(httpwire.EndpointList{Reset: kind == balancer.ListFull, Endpoints: []httpwire.Endpoint{entry}}, kind, l.now)
			got := runAttempt(g, dispatchedTo)
			_, attempts := w.counts()
			if name == "still there" && (got.status != balancer.Served || attempts != 1) || name != "still there" && (got.status != balancer.NotSent || attempts != 0) {
				t.Errorf("%s, list %d: status %d, %d attempts", name, kind, got.status, attempts)
			}
		}
	}
}

// An attempt that was dispatched while the list could be used, but whose connection was opened after the list had
// expired, is not written: its replica may be draining, and the grace period may be over.
func TestAttemptIsNotWrittenWithAStaleList(t *testing.T) {
	for trustLeft, want := range map[balancer.Micros]balancer.Status{5_000_000: balancer.Served, 0: balancer.NotSent} {
		w := newFakeReplica(t, "s-1", answerCompletely)
		g := newTestGateway(t, testOptions())
		l := g.loop
		l.now = g.clock.now()
		entry := httpwire.Endpoint{ID: "s-1", Addr: w.addr, Zone: "a", Kind: "k", Lifecycle: "ready"}
		l.receiveList(httpwire.EndpointList{Reset: true, Endpoints: []httpwire.Endpoint{entry}}, balancer.ListFull, l.now)
		g.listValidUntil.Store(l.now + trustLeft)
		got := runAttempt(g, l.endpoints.ByName("s-1"))
		if _, attempts := w.counts(); got.status != want || (attempts == 1) != (want == balancer.Served) {
			t.Errorf("with %d us left: status %d, %d attempts", trustLeft, got.status, attempts)
		}
	}
}

// runAttempt carries out an attempt at a replica, and returns its outcome.
func runAttempt(g *Gateway, replica *endpoint.Replica) attemptEnded {
	table := inflight.NewTable()
	r := inflight.NewRequest(context.Background(), "a1", balancer.Request{}, 0, 3)
	table.Add(r)
	attempt := table.StartAttempt(r, replica, g.loop.now, g.loop.now+5_000_000)
	go func() {
		for range attempt.Events {
		}
	}()
	in, _ := http.NewRequest(http.MethodPost, httpwire.CompletionsPath, nil)
	in.RequestURI = httpwire.CompletionsPath
	go (&attemptExchange{gateway: g, request: in, body: nil, attempt: attempt}).run()
	for {
		if ended, ok := (<-g.loop.events).(attemptEnded); ok {
			return ended
		}
	}
}
