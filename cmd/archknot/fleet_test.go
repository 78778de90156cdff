package main

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"archknot/internal/connpool"
)

// fakeReplica answers each request after serviceTime and records when it arrived. The stream of a request with the
// key "hold" stays open after its first event until the test closes release.
type fakeReplica struct {
	id, addr   string
	mu         sync.Mutex
	receivedAt []time.Time
	deadline   time.Duration // of the last request
	release    chan struct{}
}

// thinkTime is the pause between two requests of a client. Without it, tests that run in parallel get too little CPU.
const thinkTime = 2 * time.Millisecond

// serviceTime is how long a replica takes to answer. Without it one replica would serve all clients.
const serviceTime = time.Millisecond

// attemptsSince returns how many requests have arrived after a time.
func (r *fakeReplica) attemptsSince(at time.Time) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.receivedAt {
		if t.After(at) {
			n++
		}
	}
	return n
}

// lastDeadline returns the deadline of the last request, and when the request arrived.
func (r *fakeReplica) lastDeadline() (deadline time.Duration, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.deadline, r.receivedAt[len(r.receivedAt)-1]
}

// ServeHTTP answers attempts; health checks get an empty response.
func (r *fakeReplica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.Method != http.MethodPost {
		return
	}
	r.mu.Lock()
	r.receivedAt = append(r.receivedAt, time.Now())
	var micros int64
	fmt.Sscanf(req.Header.Get("Req-Deadline"), "%du", &micros)
	r.deadline = time.Duration(micros) * time.Microsecond
	r.mu.Unlock()
	time.Sleep(serviceTime)
	w.Header().Set("Content-Type", "text/event-stream")
	io.WriteString(w, firstEvent)
	w.(http.Flusher).Flush()
	if req.Header.Get("Req-Key") == "hold" {
		<-r.release
	}
	io.WriteString(w, lastEvent)
}

// deployment is a gateway in front of several replicas. The test plays the platform, which opens the listening
// socket for clients, and the operators.
type deployment struct {
	t            *testing.T
	replicas     []*fakeReplica
	discovery    *fakeDiscovery
	listenSocket *os.File
	addr         string // for clients
	tempDir      string // $TMPDIR
	starts       int
	log          *os.File // for the next processes; nil for a file each
	program      string   // path of the gateway's program; "" for that of the test
	// platformConfig returns the configuration of the next process; nil for configFormat.
	platformConfig func(adminAddr string) string
}

// newDeployment starts the replicas and discovery, but no gateway.
func newDeployment(t *testing.T, replicas int) *deployment {
	t.Helper()
	d := &deployment{t: t, discovery: newFakeDiscovery(t), addr: freeAddress(t), tempDir: t.TempDir()}
	for i := range replicas {
		r := &fakeReplica{id: fmt.Sprint("s-", i+1), addr: freeAddress(t), release: make(chan struct{})}
		serve(t, r.addr, r.ServeHTTP)
		d.discovery.publish(r.id, endpointJSON(r.id, r.addr, "ready", ""))
		d.replicas = append(d.replicas, r)
	}
	l := listen(t, d.addr)
	var err error
	if d.listenSocket, err = l.(*net.TCPListener).File(); err != nil {
		t.Fatal(err)
	}
	l.Close()
	t.Cleanup(func() { d.listenSocket.Close() })
	return d
}

// gatewayProcess is one process of the gateway.
type gatewayProcess struct {
	program
	adminAddr  string
	configPath string
	logPath    string
}

// start starts the gateway's next process with additional environment variables.
func (d *deployment) start(env ...string) *gatewayProcess {
	d.t.Helper()
	d.starts++
	p := &gatewayProcess{program: program{addr: d.addr, exited: make(chan error, 1)}, adminAddr: freeAddress(d.t)}
	dir := d.t.TempDir()
	path := filepath.Join(dir, "config.json")
	text := fmt.Sprintf(configFormat, d.addr, d.discovery.addr, 256, fmt.Sprintf(`"admin":"%s",`, p.adminAddr), 1, 0)
	if d.platformConfig != nil {
		text = d.platformConfig(p.adminAddr)
	}
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
	p.configPath, p.logPath = path, filepath.Join(dir, "log")
	log, err := os.Create(p.logPath)
	if err != nil {
		d.t.Fatal(err)
	}
	defer log.Close()
	p.cmd = exec.Command(cmp.Or(d.program, os.Args[0]))
	p.cmd.Env = append(os.Environ(), "ARCHKNOT_TEST_PROGRAM=1", "NODE_CONFIG="+path, "NODE_SOCKET_FD=3", "TMPDIR="+d.tempDir)
	p.cmd.Env = append(p.cmd.Env, env...)
	p.cmd.ExtraFiles = []*os.File{d.listenSocket}
	p.cmd.Stderr = log
	if d.log != nil {
		p.cmd.Stderr = d.log
	}
	if err := p.cmd.Start(); err != nil {
		d.t.Fatal(err)
	}
	go func() { p.exited <- p.cmd.Wait() }()
	d.t.Cleanup(func() {
		p.cmd.Process.Kill()
		if d.t.Failed() {
			text, _ := os.ReadFile(p.logPath)
			d.t.Logf("log of the process at %s:\n%s", p.adminAddr, relevantLines(text))
		}
	})
	return p
}

// adminTimeout is the timeout of an operator's call.
const adminTimeout = time.Second

// callAdmin makes an operator's call and returns its status, or 0 if there is no answer within adminTimeout.
func (p *gatewayProcess) callAdmin(method, path string) int {
	client := http.Client{Timeout: adminTimeout, Transport: &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	req, err := http.NewRequest(method, "http://"+p.adminAddr+path, nil)
	if err != nil {
		panic(err) // method and path are constants of the tests
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }
func isError(status int) bool   { return status >= 400 && status < 600 }

// order makes an operator's call that has to succeed.
func (d *deployment) order(p *gatewayProcess, method, path string) {
	d.t.Helper()
	if status := p.callAdmin(method, path); !isSuccess(status) {
		d.t.Fatalf("%s %s: status %d, want success", method, path, status)
	}
}

// testTraffic is a group of clients that send requests one after another on reused connections and count the
// outcomes until the test stops them.
type testTraffic struct {
	stop    atomic.Bool
	clients sync.WaitGroup
	served  atomic.Int64
	failed  atomic.Int64 // any other response
	broken  atomic.Int64 // failed connects, and connections that ended during a request that was not sent again
	resent  atomic.Int64 // requests sent again because the reused connection was closed without a response
}

var lastRequestNumber atomic.Int64

// startTraffic starts clients, which stop at the end of the test at the latest.
func (d *deployment) startTraffic(clients int) *testTraffic {
	traffic := &testTraffic{}
	for range clients {
		traffic.clients.Go(func() {
			var c *testClient
			for !traffic.stop.Load() {
				c = traffic.sendRequest(d, c)
				time.Sleep(thinkTime)
			}
			if c != nil {
				c.Close()
			}
		})
	}
	d.t.Cleanup(traffic.stopAndWait)
	return traffic
}

// stopAndWait stops the clients and waits for their last requests.
func (traffic *testTraffic) stopAndWait() {
	traffic.stop.Store(true)
	traffic.clients.Wait()
}

// sendRequest sends a request and returns the connection if it stays open, otherwise nil. If a reused connection is
// closed without a response, the request is sent again on a new connection.
func (traffic *testTraffic) sendRequest(d *deployment, c *testClient) *testClient {
	n := lastRequestNumber.Add(1)
	text := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nReq-Kind: chat\r\nReq-Id: t%d\r\nReq-Key: %016x\r\n"+
		"Req-Extra: prompt_len=400,max_out=100\r\nContent-Length: 0\r\n\r\n", n, uint64(n)*0x9e3779b97f4a7c15)
	if c != nil && connpool.PeerClosed(c.Conn) { // closed while idle, which a client detects before it sends
		c.Close()
		c = nil
	}
	for range 2 {
		reused := c != nil
		if !reused {
			conn, err := net.Dial("tcp", d.addr)
			if err != nil {
				traffic.broken.Add(1)
				time.Sleep(10 * time.Millisecond)
				return nil
			}
			c = &testClient{Conn: conn, t: d.t}
			c.reader = newReader(conn)
		}
		c.SetDeadline(time.Now().Add(waitTimeout))
		_, err := io.WriteString(c, text)
		var resp *http.Response
		if err == nil {
			resp, err = http.ReadResponse(c.reader, nil)
		}
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		switch {
		case err == nil && resp.StatusCode == http.StatusOK:
			traffic.served.Add(1)
		case err == nil:
			traffic.failed.Add(1)
		case reused && resp == nil:
			traffic.resent.Add(1)
			c.Close()
			c = nil
			continue
		default:
			traffic.broken.Add(1)
		}
		if err != nil || resp.Close {
			c.Close()
			return nil
		}
		return c
	}
	traffic.broken.Add(1)
	return nil
}

// waitUntilReady waits until the operators' readiness check of the process succeeds.
func (d *deployment) waitUntilReady(p *gatewayProcess) {
	d.t.Helper()
	waitUntil(d.t, "GET /-/ready succeeds", func() bool { return isSuccess(p.callAdmin(http.MethodGet, "/-/ready")) })
}

// upgrade starts the next process and terminates the old one as soon as the next is ready.
func (d *deployment) upgrade(old *gatewayProcess, env ...string) *gatewayProcess {
	d.t.Helper()
	next := d.start(env...)
	d.waitUntilReady(next)
	old.signal(d.t, syscall.SIGTERM)
	old.waitForExit(d.t)
	return next
}

// relevantLines returns the last lines of a log, and earlier ones other than of served requests and endpoint lists.
func relevantLines(log []byte) string {
	var out []string
	lines := strings.Split(string(log), "\n")
	for i, line := range lines {
		if i >= len(lines)-15 || !strings.Contains(line, "outcome=served") && !strings.Contains(line, "msg=endpoint_list") && len(out) < 60 {
			out = append(out, line)
		}
	}
	return strings.Join(out, "\n")
}
