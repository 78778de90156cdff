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

// pollingModule is a module that orders a watch in the very moment in which it hears of a failed call.
type pollingModule struct {
	capture.Module
	l   *eventLoop
	off bool
}

func (o *pollingModule) ListChanged(_ balancer.Micros, l balancer.EndpointList) {
	if l.Kind.Failed() && !o.off {
		o.l.WatchDiscovery()
	}
}

// An order to ask discovery that was given while a call ran is answered by the call's failure; one
// given from the failure on counts, however soon: swallowed, discovery was not asked for 5 s.
func TestPollRequestDuringFailedPoll(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	o := options()
	o.Discovery = l.Addr().String()
	g, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	m := &pollingModule{Module: g.loop.module, l: g.loop}
	g.loop.module = m
	l.(*net.TCPListener).SetDeadline(time.Now().Add(5 * time.Second))
	go g.watchDiscovery(t.Context()) // the test stands for the loop
	g.loop.WatchDiscovery()
	for i := range 3 { // no more calls than were ordered, nor fewer
		c, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		g.loop.WatchDiscovery() // while the call runs: void
		c.Close()
		e := (<-g.loop.events).(listPollFailed)
		if i == 2 {
			m.off, e.handled = true, make(chan struct{}) // nobody goes on behind it
		}
		if len(g.loop.pollRequests) != 1 || len(g.loop.events) != 0 {
			t.Errorf("call %d: the failure's order was taken up before it was heard", i)
		}
		e.apply(g.loop)
	}
	if len(g.loop.pollRequests) != 0 {
		t.Error("an order from before the failure stands")
	}
}

// The first event that a client gets is behind the end of all other attempts of its request: when
// the order to pass the stream on stands, the others are called off.
func TestHedgedAttemptStreamsFirst(t *testing.T) {
	g, err := New(options())
	if err != nil {
		t.Fatal(err)
	}
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
			t.Error("the stream is passed on before the others are called off")
		}
		second.Cancel()
	}}
	streamOpened{first}.apply(l)
	if a := <-r.Actions; a.Kind != inflight.ActionStream || second.Ctx.Err() == nil {
		t.Errorf("action %v, the twin's end %v", a.Kind, second.Ctx.Err())
	}
	// The other order: what begins to answer once another's stream is the client's ends at once.
	third := l.requests.StartAttempt(r, l.endpoints.ByName("s-2"), l.now, l.now+4e6)
	streamOpened{third}.apply(l)
	if third.Ctx.Err() == nil || len(r.Actions) != 0 {
		t.Error("a second stream goes on")
	}
}

type cancelObserver struct {
	capture.Module
	off func()
}

func (c cancelObserver) FirstToken(now balancer.Micros, o balancer.Outcome) {
	c.off()
	c.Module.FirstToken(now, o)
}

// What discovery answers oddly is a failed call: no list, no connection kept, and no longer than the
// call's time, however it trickles. A good list comes whole, also indented; a second one behind it
// is nobody's.
func TestMalformedLists(t *testing.T) {
	const list = "{\n \"generation\": 7,\n \"reset\": true,\n \"instances\": [\n  {\"instanceId\": \"s-1\", \"hostPort\": \"127.0.0.1:1\", \"lifecycle\": \"ready\"}]}"
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
	for name, c := range map[string]struct {
		text  string
		hangs bool // the connection stays open behind it
		good  bool
		kept  int
	}{
		"whole, indented": {whole, true, true, 1},
		"in chunks":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(list[:9]) + chunk(list[9:]) + lastChunk, true, true, 1},
		"doubled":         {whole + whole, true, true, 0},
		"then closed":     {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + list, false, true, 0},
		"cut":             {whole[:len(whole)-5], false, false, 0},
		"half, then mute": {whole[:len(whole)-5], true, false, 0},
		"mute":            {"", true, false, 0},
		"half a head":     {"HTTP/1.1 200 OK\r\nContent-Len", true, false, 0},
		"an endless head": {"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 1<<20), true, false, 0},
		"an endless body": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk(strings.Repeat(" ", 60_000)), 40), true, false, 0},
		"a spoilt chunk":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", true, false, 0},
		"spoilt within":   {strings.Replace(whole, "\"reset\"", "\"re}et,", 1), true, false, 1},
		"noise":           {"\x00\x01\x02\x03\x04\x05\x06\x07\n\n", true, false, 0},
		"refused":         {"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", true, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				io.WriteString(conn, c.text)
				if c.hangs {
					io.Copy(io.Discard, conn)
				}
			}()
			g, err := New(options())
			if err != nil {
				t.Fatal(err)
			}
			begun := time.Now()
			got, err := g.requestList(t.Context(), l.Addr().String(), httpwire.ListPath, 300*time.Millisecond)
			if c.good != (err == nil) || c.good && (got.Generation != 7 || len(got.Endpoints) != 1) {
				t.Errorf("%+v, %v", got, err)
			}
			if d := time.Since(begun); d > 2*time.Second {
				t.Errorf("after %v", d)
			}
			if n := g.discovery.pool.OpenCount(); n != c.kept {
				t.Errorf("%d connections kept, want %d", n, c.kept)
			}
		})
	}
}

// Lists of thousands of entries make a gateway ready in any framing: one chunk of over 64 KiB was
// refused, and it never was. A list that is refused is counted, and the last good one stays.
func TestLongLists(t *testing.T) {
	entry := func(i int) string {
		return fmt.Sprintf(`{"instanceId":"s-%d","hostPort":"127.0.0.1:1","zone":"a","machineType":"k","lifecycle":"ready"}`, i)
	}
	entries := make([]string, 6000)
	for i := range entries {
		entries[i] = entry(i)
	}
	list := `{"generation":7,"reset":true,"instances":[` + strings.Join(entries, ",\n  ") + `]}`
	twice := `{"generation":8,"generation":9,"reset":true,"instances":[` + entry(1) + `]}` // refused whole: which of the two counts?
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	many := strings.Builder{}
	for part := list; part != ""; part = part[min(5000, len(part)):] {
		many.WriteString(chunk(part[:min(5000, len(part))]))
	}
	for name, answer := range map[string]string{"one chunk": head + chunk(list) + lastChunk, "many chunks": head + many.String() + lastChunk,
		"length": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			g, err := New(options())
			if err != nil {
				t.Fatal(err)
			}
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
			listReceived{got}.apply(g.loop)
			if !g.ready.Load() || g.loop.endpoints.ReadyCount() != 6000 {
				t.Errorf("ready %t with %d", g.ready.Load(), g.loop.endpoints.ReadyCount())
			}
			if _, err := g.requestList(t.Context(), l.Addr().String(), httpwire.ListPath, 5*time.Second); err == nil || g.rejectedLists.Load() != 1 {
				t.Errorf("%v, %d lists refused", err, g.rejectedLists.Load())
			}
			if g.discovery.pool.OpenCount() != 1 {
				t.Errorf("%d connections kept, want the one on which both came", g.discovery.pool.OpenCount())
			}
		})
	}
}
