package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// TestMain runs the program instead of the tests if ARCHKNOT_TEST_PROGRAM is set, so that tests can start the test
// binary as a gateway process and send it signals.
func TestMain(m *testing.M) {
	if os.Getenv("ARCHKNOT_TEST_PROGRAM") != "" {
		os.Args = os.Args[:1]
		main()
		return
	}
	os.Exit(m.Run())
}

const (
	waitTimeout  = 10 * time.Second
	firstEvent   = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a\"},\"finish_reason\":null}]}\n\n"
	lastEvent    = "data: [DONE]\n\n"
	configFormat = `{"name":"g","listen":"%s","discovery":"%s","limits":{"cores":1,"memory_mb":32,"sockets":%d},
 %s"settings":{"nInstances":%d,"selfIndex":%d,"zone":"a","zones":["a"],"limits":{"maxAttempts":3,"connIdleUs":60000000,"connectTimeoutUs":500000,"mostHeld":2000},
  "rules":{"askWithinUs":10000000,"startCapacity":0.5},"requestClasses":[{"name":"chat","targetUs":1000000,"deadlineUs":6000000,"effect":"repeatable","streamed":true}]}}`
)

// fakeFleet is discovery and one replica, at which streams with the key "hold" stay open until the test ends them.
type fakeFleet struct {
	replicaAddr, discoveryAddr string
	attempts                   atomic.Int32
	listCalls                  atomic.Int32
	streamStarted              chan struct{} // gets a value for each stream that stays open
	endStreams                 chan struct{} // closed to end the open streams
}

// freeAddress returns a free port on a random loopback IP address, which other processes hardly ever use.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 2+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250)))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// listen listens on an address of freeAddress. It retries, since another process may use the port for a short time.
func listen(t *testing.T, addr string) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", addr)
	for end := time.Now().Add(3 * time.Second); errors.Is(err, syscall.EADDRINUSE) && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
		l, err = net.Listen("tcp", addr)
	}
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// serve serves on an address of freeAddress until the test ends.
func serve(t *testing.T, addr string, h http.HandlerFunc) {
	t.Helper()
	s := &http.Server{Handler: h}
	go s.Serve(listen(t, addr))
	t.Cleanup(func() { s.Close() })
}

// newFleet starts the replica. Discovery is down until startDiscovery is called.
func newFleet(t *testing.T) *fakeFleet {
	t.Helper()
	f := &fakeFleet{replicaAddr: freeAddress(t), discoveryAddr: freeAddress(t), streamStarted: make(chan struct{}, 64), endStreams: make(chan struct{})}
	serve(t, f.replicaAddr, func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			return
		}
		f.attempts.Add(1)
		w.Header().Set("Content-Type", "text/event-stream")
		io.WriteString(w, firstEvent)
		w.(http.Flusher).Flush()
		if r.Header.Get("Req-Key") == "hold" {
			f.streamStarted <- struct{}{}
			<-f.endStreams
		}
		io.WriteString(w, lastEvent)
	})
	return f
}

// endpoint returns the replica as an entry of the endpoint list.
func (f *fakeFleet) endpoint(lifecycle string) string {
	return fmt.Sprintf(`{"instanceId":"s-1","hostPort":"%s","zone":"a","machineType":"m","lifecycle":"%s","weight":1,"startedAtMs":0}`, f.replicaAddr, lifecycle)
}

// startDiscovery starts discovery, which lists the replica with the given lifecycle.
func (f *fakeFleet) startDiscovery(t *testing.T, lifecycle string) {
	t.Helper()
	serve(t, f.discoveryAddr, func(w http.ResponseWriter, r *http.Request) {
		f.listCalls.Add(1)
		if r.URL.Query().Get("since") != "" {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(200 * time.Millisecond):
			}
		}
		fmt.Fprintf(w, `{"generation":1,"reset":true,"instances":[%s]}`, f.endpoint(lifecycle))
	})
}

// program is a process of archknot.
type program struct {
	cmd    *exec.Cmd
	addr   string
	exited chan error
}

// run starts the program with a limit on descriptors, and with or without an endpoint list in its configuration.
func (f *fakeFleet) run(t *testing.T, sockets int, listKnown bool) *program {
	t.Helper()
	return f.runOneOf(t, sockets, listKnown, 0, 1)
}

// runOneOf is run for one gateway of several.
func (f *fakeFleet) runOneOf(t *testing.T, sockets int, listKnown bool, index, gateways int) *program {
	t.Helper()
	p := &program{addr: freeAddress(t), exited: make(chan error, 1)}
	knownList := ""
	if listKnown {
		knownList = fmt.Sprintf(`"known":{"generation":0,"reset":true,"instances":[%s]},`, f.endpoint("ready"))
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, fmt.Appendf(nil, configFormat, p.addr, f.discoveryAddr, sockets, knownList, gateways, index), 0o600); err != nil {
		t.Fatal(err)
	}
	p.cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d; exec %s", sockets, os.Args[0]))
	p.cmd.Env = append(os.Environ(), "ARCHKNOT_TEST_PROGRAM=1", "NODE_CONFIG="+path)
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.exited <- p.cmd.Wait() }()
	t.Cleanup(func() { p.cmd.Process.Kill() })
	return p
}

func (p *program) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// waitForExit waits for the process to end with success.
func (p *program) waitForExit(t *testing.T) {
	t.Helper()
	select {
	case err := <-p.exited:
		if err != nil {
			t.Errorf("the process ended with %v, want success", err)
		}
	case <-time.After(waitTimeout):
		t.Error("the process did not exit within the timeout")
	}
}

// waitUntil waits until a condition holds.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// readyStatus returns the status of the clients' readiness check, or 0 if there is no answer.
func (p *program) readyStatus() int {
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}).Get("http://" + p.addr + "/health/ready")
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// testClient is a client's connection.
type testClient struct {
	net.Conn
	reader *bufio.Reader
	t      *testing.T
}

// dial opens a client's connection.
func (p *program) dial(t *testing.T) *testClient {
	t.Helper()
	c, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(2 * waitTimeout))
	return &testClient{c, bufio.NewReader(c), t}
}

// requestText returns a request. The key "hold" keeps its stream open at the replica.
func requestText(id, key string) string {
	return "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nReq-Kind: chat\r\nReq-Id: " + id + "\r\nReq-Key: " + key + "\r\nContent-Length: 0\r\n\r\n"
}

func (c *testClient) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Error(err)
	}
}

// readResponse reads a response. last reports whether the gateway closes the connection after it.
func (c *testClient) readResponse() (status int, body string, last bool) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Error(err)
		return 0, "", false
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Error(err)
	}
	return resp.StatusCode, string(b), resp.Close
}

// expectServed reads a response and expects it to be complete.
func (c *testClient) expectServed(what string) {
	c.t.Helper()
	if status, body, _ := c.readResponse(); status != 200 || body != firstEvent+lastEvent {
		c.t.Errorf("%s: status %d, body %q; want 200 and a complete stream", what, status, body)
	}
}

// Guards against lost requests at SIGTERM, sent once, twice, before and after a SIGHUP, with connections that are
// idle, within a request, just accepted, and within a stream. Every accepted request gets its complete response, its
// connection is closed afterwards, and the process ends with success.
func TestTerm(t *testing.T) {
	for name, signals := range map[string][]syscall.Signal{
		"once": {syscall.SIGTERM}, "twice": {syscall.SIGTERM, syscall.SIGTERM},
		"after a SIGHUP": {syscall.SIGHUP, syscall.SIGTERM}, "before a SIGHUP": {syscall.SIGTERM, syscall.SIGHUP},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.startDiscovery(t, "ready")
			p := f.run(t, 256, true)
			waitUntil(t, "ready", func() bool { return p.readyStatus() == 200 })
			idle, streaming, half, next := p.dial(t), p.dial(t), p.dial(t), p.dial(t)
			idle.send(requestText("r", "-"))
			idle.expectServed("before the signal")
			streaming.send(requestText("h", "hold"))
			<-f.streamStarted
			half.send(requestText("p", "-")[:40])
			next.send(requestText("n0", "-"))
			next.expectServed("the first on a connection")
			next.send(requestText("n1", "-")[:40])
			accepted := p.dial(t)
			for _, s := range signals {
				p.signal(t, s)
			}
			if _, err := idle.reader.ReadByte(); !errors.Is(err, io.EOF) { // the drain has begun
				t.Errorf("the idle connection: error %v, want EOF", err)
			}
			half.send(requestText("p", "-")[40:])
			half.expectServed("half a request")
			next.send(requestText("n1", "-")[40:])
			next.expectServed("half a request after another")
			accepted.send(requestText("a", "-"))
			accepted.expectServed("a connection just accepted")
			close(f.endStreams)
			streaming.expectServed("the stream")
			for _, c := range []*testClient{half, next, accepted, streaming} {
				if _, err := c.reader.ReadByte(); !errors.Is(err, io.EOF) {
					t.Errorf("after the last response: error %v, want EOF", err)
				}
			}
			p.waitForExit(t)
			if n := f.attempts.Load(); n != 6 {
				t.Errorf("%d attempts, want 6 for 6 requests", n)
			}
		})
	}
}

// SIGTERM ends the process even if discovery has never answered.
func TestTermBeforeTheFirstList(t *testing.T) {
	f := newFleet(t)
	p := f.run(t, 256, false)
	waitUntil(t, "not ready", func() bool { return p.readyStatus() == 503 })
	p.signal(t, syscall.SIGTERM)
	p.waitForExit(t)
}

// Guards against idle client connections that take all descriptors while discovery is down: the program still serves
// new clients, and gets the endpoint list once discovery is up.
func TestIdleClientsFillTheDescriptors(t *testing.T) {
	f := newFleet(t)
	p := f.run(t, 128, true)
	waitUntil(t, "ready", func() bool { return p.readyStatus() == 200 })
	for i := range 150 {
		c := p.dial(t)
		if i%2 == 0 { // half of the clients have had a response
			c.send(requestText(fmt.Sprint("i", i), "-"))
			c.expectServed("an idle client's")
		}
	}
	for i := range 10 {
		c := p.dial(t)
		c.send(requestText(fmt.Sprint("n", i), "-"))
		c.expectServed("a new client's")
	}
	f.startDiscovery(t, "draining")
	discoveryStarted := time.Now()
	waitUntil(t, "two calls of discovery", func() bool { return f.listCalls.Load() >= 2 })
	if d := time.Since(discoveryStarted); d > 6*time.Second {
		t.Errorf("discovery polled twice only %v after it was up, want at most 6 s", d)
	}
	n := f.attempts.Load()
	c := p.dial(t)
	c.send(requestText("late", "-"))
	if status, _, _ := c.readResponse(); status != 503 || f.attempts.Load() != n {
		t.Errorf("status %d, %d attempts at a draining replica; want 503 and none", status, f.attempts.Load()-n)
	}
	fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil || len(fds) > 128 {
		t.Errorf("%d open descriptors, want at most 128; error %v", len(fds), err)
	}
	p.signal(t, syscall.SIGTERM)
	p.waitForExit(t)
}

// Twenty processes start together while discovery is down. With an endpoint list in the configuration, nine in ten
// get ready while discovery is down; without one, within 10 s of its return.
func TestTwentyStartTogether(t *testing.T) {
	for name, listKnown := range map[string]bool{"with a known list": true, "without a list": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const all = 20
			f := newFleet(t)
			var programs []*program
			for i := range all {
				programs = append(programs, f.runOneOf(t, 128, listKnown, i, all))
			}
			status := func(want int) (n int) {
				for _, p := range programs {
					if p.readyStatus() == want {
						n++
					}
				}
				return n
			}
			begun := time.Now()
			if !listKnown {
				waitUntil(t, "all up, none ready", func() bool { return status(503) == all })
				f.startDiscovery(t, "ready")
				begun = time.Now()
			}
			waitUntil(t, "nine in ten ready", func() bool { return status(200) >= all*9/10 })
			t.Logf("nine in ten ready after %v", time.Since(begun).Round(10*time.Millisecond))
			waitUntil(t, "all up", func() bool { return status(0) == 0 }) // a process that is not up yet would end by the default action of SIGTERM
			for _, p := range programs {
				p.signal(t, syscall.SIGTERM)
			}
			for _, p := range programs {
				p.waitForExit(t)
			}
		})
	}
}

// A reload of an invalid configuration changes nothing: the process continues with its settings.
func TestReloadOfInvalidConfig(t *testing.T) {
	f := newFleet(t)
	f.startDiscovery(t, "ready")
	p := f.run(t, 256, true)
	waitUntil(t, "ready", func() bool { return p.readyStatus() == 200 })
	path := ""
	for _, e := range p.cmd.Env {
		if v, ok := strings.CutPrefix(e, "NODE_CONFIG="); ok {
			path = v
		}
	}
	for i, text := range []string{"", "{", `{"discovery":"x"}`, `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{"nInstances":0}}`} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		p.signal(t, syscall.SIGHUP)
		calls := f.listCalls.Load()
		waitUntil(t, "polls of discovery continue", func() bool { return f.listCalls.Load() > calls+1 })
		c := p.dial(t)
		c.send(requestText(fmt.Sprint("o", i), "-"))
		c.expectServed("after an invalid reload")
	}
	p.signal(t, syscall.SIGTERM)
	p.waitForExit(t)
}
