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

// The tests run the program as a process and send it signals: with ARCHKNOT_TEST_PROGRAM set the test binary
// is the program.
func TestMain(m *testing.M) {
	if os.Getenv("ARCHKNOT_TEST_PROGRAM") != "" {
		os.Args = os.Args[:1]
		main()
		return
	}
	os.Exit(m.Run())
}

const (
	waitTimeout  = 10 * time.Second // of each wait
	firstEvent   = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a\"},\"finish_reason\":null}]}\n\n"
	lastEvent    = "data: [DONE]\n\n"
	configFormat = `{"name":"g","listen":"%s","discovery":"%s","limits":{"cores":1,"memory_mb":32,"sockets":%d},
 %s"settings":{"nInstances":%d,"selfIndex":%d,"zone":"a","zones":["a"],"limits":{"maxAttempts":3,"connIdleUs":60000000,"connectTimeoutUs":500000,"mostHeld":2000},
  "rules":{"askWithinUs":10000000,"startCapacity":0.5},"requestClasses":[{"name":"chat","targetUs":1000000,"deadlineUs":6000000,"effect":"repeatable","streamed":true}]}}`
)

// fakeFleet is one replica, whose streams with the key "hold" stay open, and discovery.
type fakeFleet struct {
	replicaAddr, discoveryAddr string
	attempts                   atomic.Int32
	listCalls                  atomic.Int32
	streamStarted              chan struct{} // receives for each open stream
	endStreams                 chan struct{} // closed: the open streams end
}

// freeAddress returns an address that no other process uses: it has a random loopback IP address.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 2+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250)))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// listen listens on an address that was free before. Another process may use its port for a moment.
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

// serve serves on an address that was free before.
func serve(t *testing.T, addr string, h http.HandlerFunc) {
	t.Helper()
	s := &http.Server{Handler: h}
	go s.Serve(listen(t, addr))
	t.Cleanup(func() { s.Close() })
}

// newFleet starts the replica. Discovery is down until startDiscovery.
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

// startDiscovery starts discovery, which lists the replica with a lifecycle.
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

// run starts the program with a limit on descriptors, with or without a known endpoint list in its
// configuration.
func (f *fakeFleet) run(t *testing.T, sockets int, listKnown bool) *program {
	t.Helper()
	return f.runOneOf(t, sockets, listKnown, 0, 1)
}

// runOneOf starts the program as one gateway of several.
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
			t.Errorf("the process ended with %v", err)
		}
	case <-time.After(waitTimeout):
		t.Error("the process does not end")
	}
}

// waitUntil waits until a condition holds.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not in time: %s", what)
		}
	}
}

// readyStatus returns the status of the readiness check for clients, 0 without an answer.
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

// readResponse reads a response. last says that the connection is closed after it.
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
		c.t.Errorf("%s: status %d, %q", what, status, body)
	}
}

// SIGTERM arrives once, twice, before and after a SIGHUP, and at each stage of a connection: idle, within a
// request, just accepted, and within a stream. Every accepted request gets its complete response, its
// connection is closed after it, and the process ends with success.
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
				t.Errorf("the idle connection: %v, want a clean end", err)
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
					t.Errorf("after the last response: %v", err)
				}
			}
			p.waitForExit(t)
			if n := f.attempts.Load(); n != 6 {
				t.Errorf("%d attempts for six requests", n)
			}
		})
	}
}

// SIGTERM ends the process also before discovery has ever answered.
func TestTermBeforeTheFirstList(t *testing.T) {
	f := newFleet(t)
	p := f.run(t, 256, false)
	waitUntil(t, "not ready", func() bool { return p.readyStatus() == 503 })
	p.signal(t, syscall.SIGTERM)
	p.waitForExit(t)
}

// With discovery down, idle clients use all descriptors of the limit. The program serves new clients all the
// same, and gets the endpoint list once discovery is back.
func TestIdleClientsFillTheDescriptors(t *testing.T) {
	f := newFleet(t)
	p := f.run(t, 128, true)
	waitUntil(t, "ready", func() bool { return p.readyStatus() == 200 })
	for i := range 150 {
		c := p.dial(t)
		if i%2 == 0 { // half of them have had a response
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
		t.Errorf("it polled discovery only %v after that was up", d)
	}
	n := f.attempts.Load()
	c := p.dial(t)
	c.send(requestText("late", "-"))
	if status, _, _ := c.readResponse(); status != 503 || f.attempts.Load() != n {
		t.Errorf("status %d, %d attempts at a replica that drains", status, f.attempts.Load()-n)
	}
	fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil || len(fds) > 128 {
		t.Errorf("%d descriptors, %v", len(fds), err)
	}
	p.signal(t, syscall.SIGTERM)
	p.waitForExit(t)
}

// Nine in ten of twenty processes that start without an endpoint list while discovery is down are ready
// within 10 s of its return. With a known list they are ready while it is down.
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
			waitUntil(t, "all up", func() bool { return status(0) == 0 }) // before that SIGTERM would end a process by its default action
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
		waitUntil(t, "the polling of discovery goes on", func() bool { return f.listCalls.Load() > calls+1 })
		c := p.dial(t)
		c.send(requestText(fmt.Sprint("o", i), "-"))
		c.expectServed("after an invalid reload")
	}
	p.signal(t, syscall.SIGTERM)
	p.waitForExit(t)
}
