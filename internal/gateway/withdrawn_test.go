package gateway

import (
	"context"
	"net/http"
	"testing"

	"archknot/choice"
	"archknot/internal/inflight"
	"archknot/internal/wire/socket"
)

// An attempt that was ordered before its replica was drained, restarted, moved or lost, and comes to be
// written after that, as where its connection comes up late, is not written: it never ran.
func TestWithdrawnAttemptIsNotWritten(t *testing.T) {
	for name, change := range map[string]func(*socket.Endpoint){
		"drained": func(i *socket.Endpoint) { i.Lifecycle = "draining" }, "gone": func(i *socket.Endpoint) { i.Lifecycle = "gone" },
		"started anew": func(i *socket.Endpoint) { i.StartedAtMs = 5 }, "moved": func(i *socket.Endpoint) { i.Addr = "127.0.0.1:1" },
		"still there": func(i *socket.Endpoint) { i.Weight = 2 },
	} {
		for _, kind := range []choice.ListKind{choice.ListDelta, choice.ListFull} {
			w := newFakeReplica(t, "s-1", answerCompletely)
			g, err := New(options())
			if err != nil {
				t.Fatal(err)
			}
			l := g.loop
			l.now = g.clock.now()
			entry := socket.Endpoint{ID: "s-1", Addr: w.addr, Zone: "a", Kind: "k", Lifecycle: "ready"}
			l.receiveList(socket.EndpointList{Reset: true, Endpoints: []socket.Endpoint{entry}}, choice.ListFull)
			ordered := l.endpoints.ByName("s-1")
			change(&entry)
			l.receiveList(socket.EndpointList{Reset: kind == choice.ListFull, Endpoints: []socket.Endpoint{entry}}, kind)
			store := inflight.NewTable()
			r := inflight.NewRequest(context.Background(), "a1", choice.Request{}, 0, 3)
			store.Add(r)
			d := store.StartAttempt(r, ordered, l.now, l.now+5_000_000)
			go func() {
				for range d.Events {
				}
			}()
			in, _ := http.NewRequest("POST", socket.CompletionsPath, nil)
			in.RequestURI = socket.CompletionsPath
			go g.runAttempt(in, nil, d, nil)
			got := attemptEnded{}
			for ok := false; !ok; {
				got, ok = (<-g.loop.events).(attemptEnded)
			}
			_, sends := w.seen()
			if name == "still there" && (got.status != choice.Served || sends != 1) || name != "still there" && (got.status != choice.NotSent || sends != 0) {
				t.Errorf("%s, list %d: status %d, %d sends", name, kind, got.status, sends)
			}
		}
	}
}
