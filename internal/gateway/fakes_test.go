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

	"archknot/balancer"
	"archknot/internal/httpwire"
)

// Scripted replicas and a scripted discovery on loopback sockets.

// listenOnLoopback listens on a free port until the test ends.
func listenOnLoopback(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// fakeReplica answers each request as its script says; the script returns false to
// end the connection.
type fakeReplica struct {
	id, addr        string
	listener        net.Listener
	mu              sync.Mutex
	conns           int
	requests        []*http.Request
	closedByGateway chan struct{} // signals each connection that the gateway has closed
	connEnded       chan struct{} // signals each connection that has ended
	script          func(c net.Conn, r *http.Request) bool
}

func newFakeReplica(t *testing.T, id string, script func(net.Conn, *http.Request) bool) *fakeReplica {
	t.Helper()
	l := listenOnLoopback(t)
	w := &fakeReplica{id: id, addr: l.Addr().String(), listener: l, script: script, closedByGateway: make(chan struct{}, 16), connEnded: make(chan struct{}, 64)}
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

func (w *fakeReplica) serve(c net.Conn) {
	defer func() {
		c.Close()
		w.connEnded <- struct{}{}
	}()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			w.closedByGateway <- struct{}{}
			return
		}
		io.Copy(io.Discard, r.Body)
		w.mu.Lock()
		w.requests = append(w.requests, r)
		w.mu.Unlock()
		if !w.script(c, r) {
			return
		}
	}
}

// counts returns the number of connections and requests so far.
func (w *fakeReplica) counts() (conns, requests int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.conns, len(w.requests)
}

const (
	streamHead     = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	informational  = "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"
	lastChunk      = "0\r\n\r\n"
	event1         = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"oqvh\"},\"finish_reason\":null}]}\n\n"
	event2         = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":5120,\"completion_tokens\":200,\"prompt_tokens_details\":{\"cached_tokens\":4096}}}\n\ndata: [DONE]\n\n"
	loadReportLine = ": Srv-Load: svc_ms=12.5,busy_reqs=7,x0=0.4\n\n"
	shedReply      = "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"
)

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

// answerCompletely answers with a complete stream.
func answerCompletely(c net.Conn, _ *http.Request) bool {
	_, err := io.WriteString(c, streamHead+chunk(event1)+chunk(event2)+chunk(loadReportLine)+lastChunk)
	return err == nil
}

// replyWith answers with the text and then keeps the connection open or ends it.
func replyWith(text string, keepOpen bool) func(net.Conn, *http.Request) bool {
	return func(c net.Conn, _ *http.Request) bool {
		io.WriteString(c, text)
		return keepOpen
	}
}

// neverAnswer never answers.
func neverAnswer(c net.Conn, _ *http.Request) bool {
	io.Copy(io.Discard, c)
	return false
}

// fakeDiscovery serves a list and its changes.
type fakeDiscovery struct {
	addr            string
	listener        net.Listener
	server          *http.Server
	mu              sync.Mutex
	list            httpwire.EndpointList
	delta           []httpwire.Endpoint
	changed         chan struct{}
	calls           []string
	failingCalls    int // next calls to fail
	unansweredCalls int // next calls that are not answered
}

func newFakeDiscovery(t *testing.T, list httpwire.EndpointList) *fakeDiscovery {
	t.Helper()
	l := listenOnLoopback(t)
	d := &fakeDiscovery{addr: l.Addr().String(), list: list, changed: make(chan struct{}, 16)}
	d.serve(l)
	t.Cleanup(func() { d.server.Close() })
	return d
}

func (d *fakeDiscovery) serve(l net.Listener) {
	d.listener, d.server = l, &http.Server{Handler: d}
	go d.server.Serve(l)
}

// restart starts a closed discovery again at its address.
func (d *fakeDiscovery) restart(t *testing.T) {
	t.Helper()
	l, err := net.Listen("tcp", d.addr)
	if err != nil {
		t.Fatal(err)
	}
	d.serve(l)
}

// ServeHTTP answers a poll; a watch waits for a change.
func (d *fakeDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	d.calls = append(d.calls, r.URL.String())
	fail := d.failingCalls > 0
	if fail {
		d.failingCalls--
	}
	unanswered := d.unansweredCalls > 0
	if unanswered {
		d.unansweredCalls--
	}
	version := d.list.Generation
	d.mu.Unlock()
	if unanswered {
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
		case <-d.changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	out := httpwire.EndpointList{Generation: d.list.Generation, Reset: true, Endpoints: d.list.Endpoints}
	if since >= 0 {
		out.Reset, out.Endpoints = false, nil
		if since < d.list.Generation {
			out.Endpoints = d.delta
		}
	}
	json.NewEncoder(w).Encode(out)
}

// change publishes changed entries as the next generation.
func (d *fakeDiscovery) change(entries ...httpwire.Endpoint) {
	d.mu.Lock()
	d.list.Generation++
	d.delta = entries
	d.mu.Unlock()
	d.changed <- struct{}{}
}

// leaveNextCallUnanswered leaves the next call unanswered, and waits until it has arrived.
func (d *fakeDiscovery) leaveNextCallUnanswered(t *testing.T) {
	t.Helper()
	d.mu.Lock()
	d.unansweredCalls = 1
	d.mu.Unlock()
	waitUntil(t, "a call that is not answered", func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.unansweredCalls == 0
	})
}

func (d *fakeDiscovery) callCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.calls)
}

func listEntry(w *fakeReplica, lifecycle string) httpwire.Endpoint {
	return httpwire.Endpoint{ID: w.id, Addr: w.addr, Zone: "a", Kind: "k", Lifecycle: lifecycle, Weight: 1}
}

func testOptions() Options {
	return Options{Name: "t", Seed: 7, CachedList: httpwire.EndpointList{Generation: httpwire.NoGeneration},
		Settings: balancer.Settings{Gateways: 1, Zone: "a", Zones: []string{"a"}, Kinds: []string{"k"},
			Classes: []balancer.Class{{Name: "chat", LatencyObjective: 1e6, TokenObjective: 50_000, Deadline: 4e6, PriorityWeight: 1, Streaming: true}},
			Tick:    2000, PollDiscovery: true, ReportSource: balancer.ReportInline, MayCancel: true, MayHedge: true, RetryAfter: true, MaxAttempts: 3,
			MaxRetryAfter: 2e6, InitialCapacity: 0.3, OverloadMultiple: 3, SlowStartFor: 8e6, OverloadWindow: 1.5e6, StreamsPerConn: 1, ConnIdleTimeout: 60e6},
		MaxInFlight: 50, MaxClientConns: 50, OverflowConns: 5, MaxReplicaConns: 50, MaxBodyBytes: 8 << 20, MaxHeadBytes: 1 << 20,
		ConnectTimeout: time.Second, ReplicaConnIdleTimeout: 45 * time.Second, ClientConnIdleTimeout: time.Minute, StreamIdleTimeout: 4 * time.Second,
		HealthCheckTimeout: time.Second, WatchWait: 8 * time.Second, DiscoveryTimeout: 2 * time.Second,
		DrainAcceptPeriod: time.Second}
}

// newTestGateway returns a gateway that does not run yet.
func newTestGateway(tb testing.TB, o Options) *Gateway {
	tb.Helper()
	g, err := New(o)
	if err != nil {
		tb.Fatal(err)
	}
	return g
}

// testGateway is a gateway that serves on loopback.
type testGateway struct {
	*Gateway
	addr            string
	discoveryServer *fakeDiscovery
	served          chan error
}

// startGateway runs a gateway in front of replicas and waits until it is ready.
func startGateway(t *testing.T, tweak func(*Options), replicas ...*fakeReplica) *testGateway {
	t.Helper()
	return startGatewayOn(t, listenOnLoopback(t), tweak, replicas...)
}

func startGatewayOn(t *testing.T, l net.Listener, tweak func(*Options), replicas ...*fakeReplica) *testGateway {
	t.Helper()
	o := testOptions()
	if tweak != nil {
		tweak(&o)
	}
	list := httpwire.EndpointList{Generation: 0}
	for _, w := range replicas {
		list.Endpoints = append(list.Endpoints, listEntry(w, "ready"))
	}
	discovery := newFakeDiscovery(t, list)
	o.Discovery = discovery.addr
	g := newTestGateway(t, o)
	ctx, stop := context.WithCancel(context.Background())
	r := &testGateway{Gateway: g, addr: l.Addr().String(), discoveryServer: discovery, served: make(chan error, 1)}
	go func() { r.served <- g.Serve(ctx, l) }()
	t.Cleanup(func() { g.server.Close(); stop() })
	if len(replicas) > 0 {
		waitUntil(t, "ready", func() bool { return g.ready.Load() })
	}
	return r
}

// waitUntil waits for a condition that another goroutine brings about.
func waitUntil(t *testing.T, condition string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not in time: %s", condition)
		}
	}
}

// testClient is one client connection, written and read explicitly.
type testClient struct {
	net.Conn
	reader *bufio.Reader
	t      *testing.T
}

func dial(t *testing.T, addr string) *testClient {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(8 * time.Second))
	return &testClient{c, bufio.NewReader(c), t}
}

// sendRequest sends a request with an id and a timeout.
func (c *testClient) sendRequest(id, timeout string) {
	c.t.Helper()
	const body = `{"model":"chat","stream":true}`
	c.sendRaw(fmt.Sprintf("POST /v1/chat/completions?x=1 HTTP/1.1\r\nHost: app.svc\r\nReq-Id: %s\r\nReq-Kind: chat\r\n"+
		"Req-Deadline: %s\r\nContent-Length: %d\r\n\r\n%s", id, timeout, len(body), body))
}

// exchange sends n requests with the same id one after another, and reads their answers.
func (c *testClient) exchange(n int, id string) {
	c.t.Helper()
	for range n {
		c.sendRequest(id, "4000m")
		c.readAnswer()
	}
}

func (c *testClient) sendRaw(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

func (c *testClient) readHead() *http.Response {
	c.t.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	return resp
}

// readAnswer reads a complete answer.
func (c *testClient) readAnswer() (*http.Response, string) {
	c.t.Helper()
	resp := c.readHead()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	return resp, strings.TrimSpace(string(body))
}
