package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"archknot/choice"
	"archknot/internal/wire/socket"
)

// The scripted peers: workers and a registry on loopback sockets.

// worker answers each request as its script says; the script returns false to
// end the connection.
type worker struct {
	id, addr string
	l        net.Listener
	mu       sync.Mutex
	conns    int
	got      []*http.Request
	closed   chan struct{} // a connection that the other side ended
	ended    chan struct{} // one that the worker ended
	script   func(c net.Conn, r *http.Request) bool
}

func newWorker(t *testing.T, id string, script func(net.Conn, *http.Request) bool) *worker {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &worker{id: id, addr: l.Addr().String(), l: l, script: script, closed: make(chan struct{}, 16), ended: make(chan struct{}, 64)}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			w.conns++
			w.mu.Unlock()
			go w.serve(c)
		}
	}()
	return w
}

func (w *worker) serve(c net.Conn) {
	defer func() {
		c.Close()
		w.ended <- struct{}{}
	}()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			w.closed <- struct{}{}
			return
		}
		io.Copy(io.Discard, r.Body)
		w.mu.Lock()
		w.got = append(w.got, r)
		w.mu.Unlock()
		if !w.script(c, r) {
			return
		}
	}
}

// seen tells how many connections and requests came.
func (w *worker) seen() (conns, requests int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.conns, len(w.got)
}

const (
	streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	info       = "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"
	lastChunk  = "0\r\n\r\n"
	event1     = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"oqvh\"},\"finish_reason\":null}]}\n\n"
	event2     = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":5120,\"completion_tokens\":200,\"prompt_tokens_details\":{\"cached_tokens\":4096}}}\n\ndata: [DONE]\n\n"
	loadLine   = ": Srv-Load: svc_ms=12.5,busy_reqs=7,x0=0.4\n\n"
	declined   = "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"
)

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

// whole answers with a whole stream.
func whole(c net.Conn, _ *http.Request) bool {
	_, err := io.WriteString(c, streamHead+chunk(event1)+chunk(event2)+chunk(loadLine)+lastChunk)
	return err == nil
}

// says answers with the text and ends the connection if told to.
func says(text string, goOn bool) func(net.Conn, *http.Request) bool {
	return func(c net.Conn, _ *http.Request) bool {
		io.WriteString(c, text)
		return goOn
	}
}

// silent never answers.
func silent(c net.Conn, _ *http.Request) bool {
	io.Copy(io.Discard, c)
	return false
}

// registry serves a list and its changes.
type registry struct {
	addr   string
	l      net.Listener
	server *http.Server
	mu     sync.Mutex
	list   socket.List
	delta  []socket.Instance
	news   chan struct{}
	calls  []string
	fail   int // so many calls fail
	mute   int // so many calls are never answered
}

func newRegistry(t *testing.T, list socket.List) *registry {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := &registry{addr: l.Addr().String(), list: list, news: make(chan struct{}, 16)}
	g.serve(l)
	t.Cleanup(func() { g.server.Close() })
	return g
}

func (g *registry) serve(l net.Listener) {
	g.l, g.server = l, &http.Server{Handler: g}
	go g.server.Serve(l)
}

// back has a registry that was closed serve again at its address.
func (g *registry) back(t *testing.T) {
	t.Helper()
	l, err := net.Listen("tcp", g.addr)
	if err != nil {
		t.Fatal(err)
	}
	g.serve(l)
}

func (g *registry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	g.calls = append(g.calls, r.URL.String())
	fail := g.fail > 0
	if fail {
		g.fail--
	}
	mute := g.mute > 0
	if mute {
		g.mute--
	}
	version := g.list.Generation
	g.mu.Unlock()
	if mute {
		<-r.Context().Done()
		return
	}
	if fail {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	since, wait := int64(-1), 0
	fmt.Sscan(r.FormValue("since"), &since)
	fmt.Sscan(r.FormValue("timeout_ms"), &wait)
	if since == version {
		select {
		case <-g.news:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	out := socket.List{Generation: g.list.Generation, Reset: true, Instances: g.list.Instances}
	if since >= 0 {
		out.Reset, out.Instances = false, nil
		if since < g.list.Generation {
			out.Instances = g.delta
		}
	}
	json.NewEncoder(w).Encode(out)
}

func (g *registry) change(i ...socket.Instance) {
	g.mu.Lock()
	g.list.Generation++
	g.delta = i
	g.mu.Unlock()
	g.news <- struct{}{}
}

func (g *registry) seen() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.calls)
}

func instance(w *worker, lifecycle string) socket.Instance {
	return socket.Instance{ID: w.id, Addr: w.addr, Zone: "a", Kind: "k", Lifecycle: lifecycle, Weight: 1}
}

func options() Options {
	return Options{Name: "t", Seed: 7, Known: socket.List{Generation: socket.NoVersion},
		Settings: choice.Settings{Gateways: 1, Zone: "a", Zones: []string{"a"}, Kinds: []string{"k"},
			Classes: []choice.Class{{Name: "chat", LatencyObjective: 1e6, TokenObjective: 50_000, Deadline: 4e6, PriorityWeight: 1, Streaming: true}},
			Tick:    2000, PollDiscovery: true, ReportSource: choice.ReportInline, MayCancel: true, MayHedge: true, RetryAfter: true, MaxAttempts: 3,
			MaxRetryAfter: 2e6, InitialCapacity: 0.3, OverloadMultiple: 3, SlowStartFor: 8e6, OverloadWindow: 1.5e6, StreamsPerConn: 1, ConnIdleTimeout: 60e6},
		MostHeld: 50, ClientConns: 50, SpareConns: 5, WorkerConns: 50, BodyBytes: 8 << 20,
		ConnectTimeout: time.Second, ConnIdle: 45 * time.Second, ClientIdle: time.Minute, Stall: 4 * time.Second,
		ProbeTimeout: time.Second, WatchWait: 8 * time.Second, CallTimeout: 2 * time.Second,
		DrainAccept: time.Second}
}

// running is a gateway that serves on loopback.
type running struct {
	*Gateway
	addr   string
	reg    *registry
	served chan error
}

// start runs a gateway before the workers and waits until it is ready.
func start(t *testing.T, tweak func(*Options), workers ...*worker) *running {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return startAt(t, l, tweak, workers...)
}

func startAt(t *testing.T, l net.Listener, tweak func(*Options), workers ...*worker) *running {
	t.Helper()
	o := options()
	if tweak != nil {
		tweak(&o)
	}
	list := socket.List{Generation: 0}
	for _, w := range workers {
		list.Instances = append(list.Instances, instance(w, "ready"))
	}
	reg := newRegistry(t, list)
	o.Discovery = reg.addr
	g, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	r := &running{Gateway: g, addr: l.Addr().String(), reg: reg, served: make(chan error, 1)}
	go func() { r.served <- g.Serve(ctx, l) }()
	t.Cleanup(func() { g.server.Close(); stop() })
	if len(workers) > 0 {
		until(t, "ready", func() bool { return g.ready.Load() })
	}
	return r
}

// until waits for a condition that another task brings about.
func until(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not in time: %s", what)
		}
	}
}

// client is one client connection, written and read by hand.
type client struct {
	net.Conn
	in *bufio.Reader
	t  *testing.T
}

func dial(t *testing.T, addr string) *client {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(8 * time.Second))
	return &client{c, bufio.NewReader(c), t}
}

// ask sends a request with this id and deadline.
func (c *client) ask(id, wait string) {
	c.t.Helper()
	const body = `{"model":"chat","stream":true}`
	c.raw(fmt.Sprintf("POST /v1/chat/completions?x=1 HTTP/1.1\r\nHost: app.svc\r\nReq-Id: %s\r\nReq-Kind: chat\r\n"+
		"Req-Deadline: %s\r\nContent-Length: %d\r\n\r\n%s", id, wait, len(body), body))
}

func (c *client) raw(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

func (c *client) head() *http.Response {
	c.t.Helper()
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	return resp
}

// answer reads a whole answer.
func (c *client) answer() (*http.Response, string) {
	c.t.Helper()
	resp := c.head()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	return resp, strings.TrimSpace(string(body))
}
