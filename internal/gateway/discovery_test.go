package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"archknot/balancer"
	"archknot/internal/capture"
	"archknot/internal/httpwire"
	"archknot/internal/inflight"
)

// pollingModule is a module that requests a poll whenever one has failed.
type pollingModule struct {
	capture.Module
	loop     *eventLoop
	disabled bool
}

func (o *pollingModule) ListChanged(_ balancer.Micros, l balancer.EndpointList) {
	if l.Kind.Failed() && !o.disabled {
		o.loop.WatchDiscovery()
	}
}

// A poll requested during a call is answered by the call's failure; one requested while that
// failure is handled, or later, is made. If it were dropped, discovery would not be polled for
// 5 s.
func TestPollRequestDuringFailedPoll(t *testing.T) {
	l := listenOnLoopback(t)
	o := testOptions()
	o.Discovery = l.Addr().String()
	g := newTestGateway(t, o)
	m := &pollingModule{Module: g.loop.module, loop: g.loop}
	g.loop.module = m
	l.(*net.TCPListener).SetDeadline(time.Now().Add(5 * time.Second))
	go g.watchDiscovery(t.Context()) // the test takes the place of the loop
	g.loop.WatchDiscovery()
	for i := range 3 { // exactly as many calls as were requested
		c, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		g.loop.WatchDiscovery() // during the call: discarded
		c.Close()
		e := (<-g.loop.events).(listPollFailed)
		if i == 2 {
			m.disabled, e.handled = true, make(chan struct{}) // nobody waits for it
		}
		if len(g.loop.pollRequests) != 1 || len(g.loop.events) != 0 {
			t.Errorf("call %d: the poll requested by the failure was started before it was handled", i)
		}
		e.apply(g.loop)
	}
	if len(g.loop.pollRequests) != 0 {
		t.Error("a poll requested before the failure is still pending")
	}
}

// The client gets its first event only after all other attempts of its request have ended: when
// the action to relay the stream is posted, the others are cancelled.
func TestHedgedAttemptStreamsFirst(t *testing.T) {
	g := newTestGateway(t, testOptions())
	l := g.loop
	l.now = g.clock.now()
	l.loadCachedList(httpwire.EndpointList{Endpoints: []httpwire.Endpoint{{ID: "s-1", Addr: "127.0.0.1:1", Zone: "a", Kind: "k", Lifecycle: "ready"},
		{ID: "s-2", Addr: "127.0.0.1:2", Zone: "a", Kind: "k", Lifecycle: "ready"}}})
	ctx := t.Context()
	r := inflight.NewRequest(ctx, "w1", balancer.Request{Class: "chat"}, l.now+4e6, 3)
	requestArrived{r, l.gateway.config.Load(), true}.apply(l)
	first := (<-r.Actions).Attempt
	second := l.requests.StartAttempt(r, l.endpoints.ByName("s-2"), l.now, l.now+4e6)
	l.module = cancelObserver{l.module, func() {
		if len(r.Actions) != 0 {
			t.Error("the stream is relayed before the others are cancelled")
		}
		second.Cancel()
	}}
	streamOpened{first}.apply(l)
	if a := <-r.Actions; a.Kind != inflight.ActionStream || second.Ctx.Err() == nil {
		t.Errorf("action %v, the second attempt's context: %v", a.Kind, second.Ctx.Err())
	}
	// The other order: a stream that begins after another one has won ends at once.
	third := l.requests.StartAttempt(r, l.endpoints.ByName("s-2"), l.now, l.now+4e6)
	streamOpened{third}.apply(l)
	if third.Ctx.Err() == nil || len(r.Actions) != 0 {
		t.Error("a second stream is not cancelled")
	}
}

type cancelObserver struct {
	capture.Module
	onFirstToken func()
}

func (c cancelObserver) FirstToken(now balancer.Micros, o balancer.Outcome) {
	c.onFirstToken()
	c.Module.FirstToken(now, o)
}

// A malformed answer of discovery is a failed call: no list, no connection kept for reuse, and
// no longer than the call's timeout, however slowly it arrives. A valid list is applied
// completely, also an indented one; a second one after it is discarded.
func TestMalformedLists(t *testing.T) {
	const list = "{\n \"generation\": 7,\n \"reset\": true,\n \"instances\": [\n  {\"instanceId\": \"s-1\", \"hostPort\": \"127.0.0.1:1\", \"lifecycle\": \"ready\"}]}"
	complete := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
	for name, c := range map[string]struct {
		reply  string
		hangs  bool // the connection stays open after it
		valid  bool
		cached int
	}{
		"complete, indented": {complete, true, true, 1},
		"in chunks":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(list[:9]) + chunk(list[9:]) + lastChunk, true, true, 1},
		"doubled":            {complete + complete, true, true, 0},
		"then closed":        {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + list, false, true, 0},
		"cut":                {complete[:len(complete)-5], false, false, 0},
		"half, then silent":  {complete[:len(complete)-5], true, false, 0},
		"silent":             {"", true, false, 0},
		"half a head":        {"HTTP/1.1 200 OK\r\nContent-Len", true, false, 0},
		"an endless head":    {"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 1<<20), true, false, 0},
		"an endless body":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk(strings.Repeat(" ", 60_000)), 40), true, false, 0},
		"a malformed chunk":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", true, false, 0},
		"malformed within":   {strings.Replace(complete, "\"reset\"", "\"re}et,", 1), true, false, 1},
		"noise":              {"\x00\x01\x02\x03\x04\x05\x06\x07\n\n", true, false, 0},
		"refused":            {"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", true, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := listenOnLoopback(t)
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				io.WriteString(conn, c.reply)
				if c.hangs {
					io.Copy(io.Discard, conn)
				}
			}()
			g := newTestGateway(t, testOptions())
			begun := time.Now()
			got, err := g.requestList(t.Context(), l.Addr().String(), httpwire.ListPath, 300*time.Millisecond)
			if c.valid != (err == nil) || c.valid && (got.Generation != 7 || len(got.Endpoints) != 1) {
				t.Errorf("%+v, %v", got, err)
			}
			if d := time.Since(begun); d > 2*time.Second {
				t.Errorf("after %v", d)
			}
			if n := g.discovery.pool.OpenCount(); n != c.cached {
				t.Errorf("%d connections cached, want %d", n, c.cached)
			}
		})
	}
}

// Lists of thousands of entries make a gateway ready in any framing. Guards against rejecting
// a chunk of over 64 KiB, after which the gateway never becomes ready. A rejected list is
// counted, and the last valid one stays in force.
func TestLongLists(t *testing.T) {
	entry := func(i int) string {
		return fmt.Sprintf(`{"instanceId":"s-%d","hostPort":"127.0.0.1:1","zone":"a","machineType":"k","lifecycle":"ready"}`, i)
	}
	entries := make([]string, 6000)
	for i := range entries {
		entries[i] = entry(i)
	}
	list := `{"generation":7,"reset":true,"instances":[` + strings.Join(entries, ",\n  ") + `]}`
	twice := `{"generation":8,"generation":9,"reset":true,"instances":[` + entry(1) + `]}` // rejected: the key occurs twice
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	many := strings.Builder{}
	for part := list; part != ""; part = part[min(5000, len(part)):] {
		many.WriteString(chunk(part[:min(5000, len(part))]))
	}
	for name, answer := range map[string]string{"one chunk": head + chunk(list) + lastChunk, "many chunks": head + many.String() + lastChunk,
		"length": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := listenOnLoopback(t)
			g := newTestGateway(t, testOptions())
			g.options.MaxListEntries = 6000
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				in := bufio.NewReader(conn)
				for _, text := range []string{answer, head + chunk(twice) + lastChunk} {
					if _, err := http.ReadRequest(in); err != nil {
						return
					}
					io.WriteString(conn, text)
				}
			}()
			got, err := g.requestList(t.Context(), l.Addr().String(), httpwire.ListPath, 5*time.Second)
			if err != nil {
				t.Fatal(err)
			}
			listReceived{list: got}.apply(g.loop)
			if !g.ready.Load() || g.loop.endpoints.ReadyCount() != 6000 {
				t.Errorf("ready %t with %d", g.ready.Load(), g.loop.endpoints.ReadyCount())
			}
			if _, err := g.requestList(t.Context(), l.Addr().String(), httpwire.ListPath, 5*time.Second); err == nil || g.rejectedLists.Load() != 1 {
				t.Errorf("%v, %d lists rejected", err, g.rejectedLists.Load())
			}
			if g.discovery.pool.OpenCount() != 1 {
				t.Errorf("%d connections cached, want the one that carried both", g.discovery.pool.OpenCount())
			}
		})
	}
}
