package gateway

import (
	"context"
	"net/http"
	"testing"

	"archknot/balancer"
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
			ordered := l.endpoints.ByName("s-1")
			change(&entry)
			l.receiveList(httpwire.EndpointList{Reset: kind == balancer.ListFull, Endpoints: []httpwire.Endpoint{entry}}, kind, l.now)
			store := inflight.NewTable()
			r := inflight.NewRequest(context.Background(), "a1", balancer.Request{}, 0, 3)
			store.Add(r)
			d := store.StartAttempt(r, ordered, l.now, l.now+5_000_000)
			go func() {
				for range d.Events {
				}
			}()
			in, _ := http.NewRequest("POST", httpwire.CompletionsPath, nil)
			in.RequestURI = httpwire.CompletionsPath
			go (&attemptExchange{gateway: g, request: in, body: nil, attempt: d}).run()
			got := attemptEnded{}
			for ok := false; !ok; {
				got, ok = (<-g.loop.events).(attemptEnded)
			}
			_, attempts := w.counts()
			if name == "still there" && (got.status != balancer.Served || attempts != 1) || name != "still there" && (got.status != balancer.NotSent || attempts != 0) {
				t.Errorf("%s, list %d: status %d, %d attempts", name, kind, got.status, attempts)
			}
		}
	}
}
