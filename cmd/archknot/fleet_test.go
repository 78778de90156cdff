package main

import (
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

// replica is a stand-in that answers each request at once and remembers when it came. A request
// with the key "hold" is answered with its first event, and ends when the test releases it.
type replica struct {
	id, addr string
	mu       sync.Mutex
	got      []time.Time
	deadline time.Duration // that the last one told
	release  chan struct{}
}

// thinkTime is a client's pause between two requests: without one the tests beside these starve.
const thinkTime = 2 * time.Millisecond

// serviceTime is what a replica takes for a request: at once, all clients would be served by one replica.
const serviceTime = time.Millisecond

// since counts the requests that have come after a time.
func (r *replica) since(at time.Time) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.got {
		if t.After(at) {
			n++
		}
	}
	return n
}

// told is the time that the last request told, and when it came.
func (r *replica) told() (deadline time.Duration, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.deadline, r.got[len(r.got)-1]
}

func (r *replica) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	if in.Method != http.MethodPost {
		return
	}
	r.mu.Lock()
	r.got = append(r.got, time.Now())
	var micros int64
	fmt.Sscanf(in.Header.Get("Req-Deadline"), "%du", &micros)
	r.deadline = time.Duration(micros) * time.Microsecond
	r.mu.Unlock()
	time.Sleep(serviceTime)
	w.Header().Set("Content-Type", "text/event-stream")
	io.WriteString(w, event)
	w.(http.Flusher).Flush()
	if in.Header.Get("Req-Key") == "hold" {
		<-r.release
	}
	io.WriteString(w, done)
}

// registry is a stand-in of discovery: it answers watches when the list changes.
type registry struct {
	addr    string
	mu      sync.Mutex
	entries map[string]string // by id, as they stand in the list
	order   []string
	changes []string // the id that each version changed, from version 2 on
	asked   int      // the newest version that a watch was told to go on from
	hushed  bool     // it answers nothing
	news    chan struct{}
}

func newRegistry(t *testing.T) *registry {
	d := &registry{addr: address(t), entries: map[string]string{}, news: make(chan struct{})}
	serve(t, d.addr, d.answer)
	return d
}

// entry is the text of a list's entry.
func entry(id, addr, lifecycle, rest string) string {
	return fmt.Sprintf(`{"instanceId":"%s","hostPort":"%s","zone":"a","machineType":"m","lifecycle":"%s","weight":1%s}`, id, addr, lifecycle, rest)
}

// tell changes an entry.
func (d *registry) tell(id, text string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.entries[id]; !ok {
		d.order = append(d.order, id)
	}
	d.entries[id] = text
	d.changes = append(d.changes, id)
	close(d.news)
	d.news = make(chan struct{})
}

// hush has it answer nothing, or answer again.
func (d *registry) hush(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hushed = on
}

// taken tells whether the gateway has taken all changes: it asks for what comes behind them.
func (d *registry) taken() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.asked > len(d.changes)
}

func (d *registry) answer(w http.ResponseWriter, r *http.Request) {
	var since int
	wait := 200 * time.Millisecond
	watch, _ := fmt.Sscan(r.URL.Query().Get("since"), &since)
	for end := time.After(wait); ; {
		d.mu.Lock()
		if d.hushed {
			d.mu.Unlock()
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		news, version := d.news, len(d.changes)+1
		d.asked = max(d.asked, since)
		var list []string
		if watch == 1 && since <= version {
			for _, id := range d.changes[max(0, since-1):] {
				list = append(list, d.entries[id])
			}
		} else {
			watch = 0
			for _, id := range d.order {
				list = append(list, d.entries[id])
			}
		}
		d.mu.Unlock()
		if watch == 0 || len(list) > 0 {
			fmt.Fprintf(w, `{"generation":%d,"reset":%t,"instances":[%s]}`, version, watch == 0, strings.Join(list, ","))
			return
		}
		select {
		case <-news:
		case <-end:
			fmt.Fprintf(w, `{"generation":%d,"reset":false,"instances":[]}`, version)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// deployment is a gateway before several replicas, whose clients' socket the test holds as a
// platform does, and which operators can call.
type deployment struct {
	t        *testing.T
	replicas []*replica
	registry *registry
	socket   *os.File
	addr     string // for clients
	temp     string // $TMPDIR
	life     int
	log      *os.File // where the next lives log, in the place of a file
}

func newDeployment(t *testing.T, replicas int) *deployment {
	d := &deployment{t: t, registry: newRegistry(t), addr: address(t), temp: t.TempDir()}
	for i := range replicas {
		r := &replica{id: fmt.Sprint("s-", i+1), addr: address(t), release: make(chan struct{})}
		serve(t, r.addr, r.ServeHTTP)
		d.registry.tell(r.id, entry(r.id, r.addr, "ready", ""))
		d.replicas = append(d.replicas, r)
	}
	l, err := net.Listen("tcp", d.addr)
	if err != nil {
		t.Fatal(err)
	}
	if d.socket, err = l.(*net.TCPListener).File(); err != nil {
		t.Fatal(err)
	}
	l.Close()
	t.Cleanup(func() { d.socket.Close() })
	return d
}

// process is one life of the gateway.
type process struct {
	program
	admin string
	log   string // the path of what it logs
}

// start starts the gateway's next life, with further variables of the environment.
func (d *deployment) start(env ...string) *process {
	d.t.Helper()
	d.life++
	p := &process{program: program{addr: d.addr, exited: make(chan error, 1)}, admin: address(d.t)}
	dir := d.t.TempDir()
	path := filepath.Join(dir, "config.json")
	text := fmt.Sprintf(config, d.addr, d.registry.addr, 256, fmt.Sprintf(`"admin":"%s",`, p.admin), 1, 0)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
	p.log = filepath.Join(dir, "log")
	log, err := os.Create(p.log)
	if err != nil {
		d.t.Fatal(err)
	}
	defer log.Close()
	p.cmd = exec.Command(os.Args[0])
	p.cmd.Env = append(os.Environ(), "ARCHKNOT_TEST_PROGRAM=1", "NODE_CONFIG="+path, "NODE_SOCKET_FD=3", "TMPDIR="+d.temp)
	p.cmd.Env = append(p.cmd.Env, env...)
	p.cmd.ExtraFiles = []*os.File{d.socket}
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
			text, _ := os.ReadFile(p.log)
			d.t.Logf("log of life at %s:\n%s", p.admin, tail(text))
		}
	})
	return p
}

// answerWithin is how long an operator's call may take.
const answerWithin = time.Second

// call makes an operator's call and returns the answer's status; 0: none came in time.
func (p *process) call(method, path string) int {
	client := http.Client{Timeout: answerWithin, Transport: &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	in, err := http.NewRequest(method, "http://"+p.admin+path, nil)
	if err != nil {
		panic(err) // the test's own words
	}
	out, err := client.Do(in)
	if err != nil {
		return 0
	}
	out.Body.Close()
	return out.StatusCode
}

func yes(status int) bool { return status >= 200 && status < 300 }
func no(status int) bool  { return status >= 400 && status < 600 }

// wants makes an operator's call that has to be answered with yes.
func (d *deployment) wants(p *process, method, path string) {
	d.t.Helper()
	if status := p.call(method, path); !yes(status) {
		d.t.Fatalf("%s %s: status %d, want yes", method, path, status)
	}
}

// traffic is clients that send one request after another on connections that they keep, and count
// what they get, until the test stops them.
type traffic struct {
	stop   atomic.Bool
	all    sync.WaitGroup
	served atomic.Int64
	other  atomic.Int64 // any other answer
	broken atomic.Int64 // connections that ended under a request, of which none was sent again
	again  atomic.Int64 // requests sent once more since the connection was closed before an answer
}

var requestNumber atomic.Int64

func (d *deployment) traffic(clients int) *traffic {
	f := &traffic{}
	for range clients {
		f.all.Go(func() {
			var c *client
			for !f.stop.Load() {
				c = f.one(d, c)
				time.Sleep(thinkTime)
			}
			if c != nil {
				c.Close()
			}
		})
	}
	d.t.Cleanup(f.end)
	return f
}

func (f *traffic) end() {
	f.stop.Store(true)
	f.all.Wait()
}

// one sends a request and returns the connection, if it stays open. A close that crosses a request
// on a kept connection has the client send it once more on a new one.
func (f *traffic) one(d *deployment, c *client) *client {
	n := requestNumber.Add(1)
	text := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nReq-Kind: chat\r\nReq-Id: t%d\r\nReq-Key: %016x\r\n"+
		"Req-Extra: prompt_len=400,max_out=100\r\nContent-Length: 0\r\n\r\n", n, uint64(n)*0x9e3779b97f4a7c15)
	if c != nil && connpool.PeerClosed(c.Conn) { // closed while it rested: a client sees that before it sends
		c.Close()
		c = nil
	}
	for try := 0; try < 2; try++ {
		kept := c != nil
		if !kept {
			conn, err := net.Dial("tcp", d.addr)
			if err != nil {
				f.broken.Add(1)
				time.Sleep(10 * time.Millisecond)
				return nil
			}
			conn.SetDeadline(time.Now().Add(most))
			c = &client{Conn: conn, t: d.t}
			c.in = newReader(conn)
		}
		_, err := io.WriteString(c, text)
		var out *http.Response
		if err == nil {
			out, err = http.ReadResponse(c.in, nil)
		}
		if err == nil {
			_, err = io.Copy(io.Discard, out.Body)
		}
		switch {
		case err == nil && out.StatusCode == http.StatusOK:
			f.served.Add(1)
		case err == nil:
			f.other.Add(1)
		case kept && out == nil:
			f.again.Add(1)
			c.Close()
			c = nil
			continue
		default:
			f.broken.Add(1)
		}
		if err != nil || out.Close {
			c.Close()
			return nil
		}
		return c
	}
	f.broken.Add(1)
	return nil
}

// ready waits until the process says that it can serve.
func (d *deployment) ready(p *process) {
	d.t.Helper()
	until(d.t, "GET /-/ready says yes", func() bool { return yes(p.call(http.MethodGet, "/-/ready")) })
}

// upgrade replaces the process under load: the next one is started beside it, and once that can
// serve the old one is told to end.
func (d *deployment) upgrade(old *process, env ...string) *process {
	d.t.Helper()
	next := d.start(env...)
	d.ready(next)
	old.signal(d.t, syscall.SIGTERM)
	old.ends(d.t)
	return next
}

// tail is what tells of a failure in a log: the end, and the requests that were not served.
func tail(log []byte) string {
	var out []string
	lines := strings.Split(string(log), "\n")
	for i, line := range lines {
		if i >= len(lines)-15 || !strings.Contains(line, "outcome=served") && !strings.Contains(line, "msg=endpoint_list") && len(out) < 60 {
			out = append(out, line)
		}
	}
	return strings.Join(out, "\n")
}
