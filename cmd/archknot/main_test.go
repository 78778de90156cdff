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

// The program itself, with signals from outside: the test binary is the program where it is told so.
func TestMain(m *testing.M) {
	if os.Getenv("ARCHKNOT_TEST_PROGRAM") != "" {
		os.Args = os.Args[:1]
		main()
		return
	}
	os.Exit(m.Run())
}

const (
	most   = 10 * time.Second // bounds each wait
	event  = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a\"},\"finish_reason\":null}]}\n\n"
	done   = "data: [DONE]\n\n"
	config = `{"name":"g","listen":"%s","discovery":"%s","limits":{"cores":1,"memory_mb":32,"sockets":%d},
 %s"settings":{"nInstances":%d,"selfIndex":%d,"zone":"a","zones":["a"],"limits":{"maxAttempts":3,"connIdleUs":60000000,"connectTimeoutUs":500000,"mostHeld":2000},
  "rules":{"askWithinUs":10000000,"startCapacity":0.5},"requestClasses":[{"name":"chat","targetUs":1000000,"deadlineUs":6000000,"effect":"repeatable","streamed":true}]}}`
)

// fleet is one replica, which may be held before its last chunk, and discovery.
type fleet struct {
	replica, discovery string
	sends              atomic.Int32
	lists              atomic.Int32
	begun              chan struct{} // a stream has begun
	more               chan struct{} // closed: streams end
}

// address is one that no other process uses: on a loopback address of its own.
func address(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 2+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250)))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// serve listens at an address that was found free before: another process may have its port for a moment.
func serve(t *testing.T, addr string, h http.HandlerFunc) {
	t.Helper()
	l, err := net.Listen("tcp", addr)
	for end := time.Now().Add(3 * time.Second); errors.Is(err, syscall.EADDRINUSE) && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
		l, err = net.Listen("tcp", addr)
	}
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: h}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{replica: address(t), discovery: address(t), begun: make(chan struct{}, 64), more: make(chan struct{})}
	serve(t, f.replica, func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			return
		}
		f.sends.Add(1)
		w.Header().Set("Content-Type", "text/event-stream")
		io.WriteString(w, event)
		w.(http.Flusher).Flush()
		if r.Header.Get("Req-Key") == "hold" {
			f.begun <- struct{}{}
			<-f.more
		}
		io.WriteString(w, done)
	})
	return f
}

func (f *fleet) entry(lifecycle string) string {
	return fmt.Sprintf(`{"instanceId":"s-1","hostPort":"%s","zone":"a","machineType":"m","lifecycle":"%s","weight":1,"startedAtMs":0}`, f.replica, lifecycle)
}

// discover starts discovery, which tells the replica in this state to whoever asks.
func (f *fleet) discover(t *testing.T, lifecycle string) {
	serve(t, f.discovery, func(w http.ResponseWriter, r *http.Request) {
		f.lists.Add(1)
		if r.URL.Query().Get("since") != "" {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(200 * time.Millisecond):
			}
		}
		fmt.Fprintf(w, `{"generation":1,"reset":true,"instances":[%s]}`, f.entry(lifecycle))
	})
}

// program is one process of archknot.
type program struct {
	cmd    *exec.Cmd
	addr   string
	exited chan error
}

// run starts the program with so many descriptors, with the list as last held or without.
func (f *fleet) run(t *testing.T, sockets int, known bool) *program {
	t.Helper()
	return f.runOne(t, sockets, known, 0, 1)
}

// runOne starts the self-th of so many programs.
func (f *fleet) runOne(t *testing.T, sockets int, known bool, self, of int) *program {
	t.Helper()
	p := &program{addr: address(t), exited: make(chan error, 1)}
	list := ""
	if known {
		list = fmt.Sprintf(`"known":{"generation":0,"reset":true,"instances":[%s]},`, f.entry("ready"))
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, fmt.Appendf(nil, config, p.addr, f.discovery, sockets, list, of, self), 0o600); err != nil {
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

// ends waits for the process and wants it to have ended in order.
func (p *program) ends(t *testing.T) {
	t.Helper()
	select {
	case err := <-p.exited:
		if err != nil {
			t.Errorf("the process ended with %v", err)
		}
	case <-time.After(most):
		t.Error("the process does not end")
	}
}

func until(t *testing.T, what string, yes func() bool) {
	t.Helper()
	for end := time.Now().Add(most); !yes(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not in time: %s", what)
		}
	}
}

// status is what the program's readiness is answered with; 0: nothing.
func (p *program) status() int {
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}).Get("http://" + p.addr + "/health/ready")
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

type client struct {
	net.Conn
	in *bufio.Reader
	t  *testing.T
}

func (p *program) dial(t *testing.T) *client {
	t.Helper()
	c, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(2 * most))
	return &client{c, bufio.NewReader(c), t}
}

func request(id, key string) string {
	return "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nReq-Kind: chat\r\nReq-Id: " + id + "\r\nReq-Key: " + key + "\r\nContent-Length: 0\r\n\r\n"
}

func (c *client) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Error(err)
	}
}

func (c *client) answer() (status int, body string, last bool) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.in, nil)
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

func (c *client) served(what string) {
	c.t.Helper()
	if status, body, _ := c.answer(); status != 200 || body != event+done {
		c.t.Errorf("%s: status %d, %q", what, status, body)
	}
}

// SIGTERM comes at each point: twice, with and behind a SIGHUP, under half a request, right behind an
// accept, and while a stream is before its last chunk. All that was taken is answered whole, on
// the connection that it came on, which ends then, and the process ends in order.
func TestTerm(t *testing.T) {
	for name, signals := range map[string][]syscall.Signal{
		"once": {syscall.SIGTERM}, "twice": {syscall.SIGTERM, syscall.SIGTERM},
		"behind a SIGHUP": {syscall.SIGHUP, syscall.SIGTERM}, "before a SIGHUP": {syscall.SIGTERM, syscall.SIGHUP},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.discover(t, "ready")
			p := f.run(t, 256, true)
			until(t, "ready", func() bool { return p.status() == 200 })
			resting, held, half, next := p.dial(t), p.dial(t), p.dial(t), p.dial(t)
			resting.send(request("r", "-"))
			resting.served("before the signal")
			held.send(request("h", "hold"))
			<-f.begun
			half.send(request("p", "-")[:40])
			next.send(request("n0", "-"))
			next.served("the first on a connection")
			next.send(request("n1", "-")[:40])
			accepted := p.dial(t)
			for _, s := range signals {
				p.signal(t, s)
			}
			if _, err := resting.in.ReadByte(); err != io.EOF { // the drain has begun
				t.Errorf("the resting connection: %v, want a clean end", err)
			}
			half.send(request("p", "-")[40:])
			half.served("half a request")
			next.send(request("n1", "-")[40:])
			next.served("half a further request")
			accepted.send(request("a", "-"))
			accepted.served("a connection just accepted")
			close(f.more)
			held.served("the stream")
			for _, c := range []*client{half, next, accepted, held} {
				if _, err := c.in.ReadByte(); err != io.EOF {
					t.Errorf("behind the last answer: %v", err)
				}
			}
			p.ends(t)
			if n := f.sends.Load(); n != 6 {
				t.Errorf("%d attempts for six requests", n)
			}
		})
	}
}

// SIGTERM before discovery has ever answered ends the process all the same.
func TestTermBeforeTheFirstList(t *testing.T) {
	f := newFleet(t)
	p := f.run(t, 256, false)
	until(t, "not ready", func() bool { return p.status() == 503 })
	p.signal(t, syscall.SIGTERM)
	p.ends(t)
}

// With as many descriptors as it is told and discovery down, idle clients fill all places: the program
// serves new clients nonetheless, and hears of discovery's news once that is back.
func TestIdleClientsFillTheDescriptors(t *testing.T) {
	f := newFleet(t)
	p := f.run(t, 128, true)
	until(t, "ready", func() bool { return p.status() == 200 })
	for i := range 150 {
		c := p.dial(t)
		if i%2 == 0 { // half of them were served once
			c.send(request(fmt.Sprint("i", i), "-"))
			c.served("an idle client's")
		}
	}
	for i := range 10 {
		c := p.dial(t)
		c.send(request(fmt.Sprint("n", i), "-"))
		c.served("a new client's")
	}
	f.discover(t, "draining")
	back := time.Now()
	until(t, "two calls of discovery", func() bool { return f.lists.Load() >= 2 })
	if d := time.Since(back); d > 6*time.Second {
		t.Errorf("told %v after discovery could be reached", d)
	}
	n := f.sends.Load()
	c := p.dial(t)
	c.send(request("late", "-"))
	if status, _, _ := c.answer(); status != 503 || f.sends.Load() != n {
		t.Errorf("status %d, %d sends to a replica that drains", status, f.sends.Load()-n)
	}
	fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil || len(fds) > 128 {
		t.Errorf("%d descriptors, %v", len(fds), err)
	}
	p.signal(t, syscall.SIGTERM)
	p.ends(t)
}

// Twenty processes that all start anew, without a list and with discovery down, are ready, nine in
// ten of them, within 10 s of its return; with the list as last held they are while it is down.
func TestTwentyStartTogether(t *testing.T) {
	for name, known := range map[string]bool{"with the list as last held": true, "without a list": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const all = 20
			f := newFleet(t)
			var programs []*program
			for i := range all {
				programs = append(programs, f.runOne(t, 128, known, i, all))
			}
			status := func(want int) (n int) {
				for _, p := range programs {
					if p.status() == want {
						n++
					}
				}
				return n
			}
			begun := time.Now()
			if !known {
				until(t, "all up, none ready", func() bool { return status(503) == all })
				f.discover(t, "ready")
				begun = time.Now()
			}
			until(t, "nine in ten ready", func() bool { return status(200) >= all*9/10 })
			t.Logf("nine in ten ready after %v", time.Since(begun).Round(10*time.Millisecond))
			until(t, "all up", func() bool { return status(0) == 0 }) // before, the signal's default would end one
			for _, p := range programs {
				p.signal(t, syscall.SIGTERM)
			}
			for _, p := range programs {
				p.ends(t)
			}
		})
	}
}

// A reload with odd settings changes nothing: the running ones go on, and the process with them.
func TestOddReload(t *testing.T) {
	f := newFleet(t)
	f.discover(t, "ready")
	p := f.run(t, 256, true)
	until(t, "ready", func() bool { return p.status() == 200 })
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
		calls := f.lists.Load()
		until(t, "the watch goes on", func() bool { return f.lists.Load() > calls+1 })
		c := p.dial(t)
		c.send(request(fmt.Sprint("o", i), "-"))
		c.served("behind an odd reload")
	}
	p.signal(t, syscall.SIGTERM)
	p.ends(t)
}
