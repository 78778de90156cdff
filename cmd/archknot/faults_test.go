package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// limit bounds a resource of the running process from outside: its system calls fail from then on.
func (p *process) limit(t *testing.T, resource int, most uint64) {
	t.Helper()
	var was unix.Rlimit
	if err := unix.Prlimit(p.cmd.Process.Pid, resource, nil, &was); err != nil {
		t.Fatal(err)
	}
	if err := unix.Prlimit(p.cmd.Process.Pid, resource, &unix.Rlimit{Cur: min(most, was.Max), Max: was.Max}, nil); err != nil {
		t.Fatal(err)
	}
}

const unlimited = 1 << 62

// While the process can open no descriptor, accepts and connects fail: requests that it has are answered
// all the same, no replica is blamed, and all is well the moment that it can again.
func TestNoDescriptorsForAWhile(t *testing.T) {
	d := newDeployment(t, 3)
	p := d.start()
	d.ready(p)
	f := d.traffic(3)
	until(t, "traffic", func() bool { return f.served.Load() > 50 })
	for range 3 {
		p.limit(t, unix.RLIMIT_NOFILE, 5)
		served, other := f.served.Load(), f.other.Load()
		c := p.dial(t) // waits in the system's queue
		c.send(request(fmt.Sprint("q", requestNumber.Add(1)), "-"))
		until(t, "kept connections serve or refuse", func() bool { return f.served.Load()+f.other.Load() > served+other+50 })
		p.limit(t, unix.RLIMIT_NOFILE, unlimited)
		c.served("the connection that had to wait")
		from := f.other.Load()
		served = f.served.Load()
		until(t, "served again", func() bool { return f.served.Load() > served+100 })
		if n := f.other.Load() - from; n > 3 { // those that were in hand
			t.Errorf("%d requests were refused once descriptors were there", n)
		}
	}
	f.end()
	if n := f.broken.Load(); n > 0 {
		t.Errorf("%d requests had no answer", n)
	}
	p.signal(t, syscall.SIGTERM)
	p.ends(t)
}

// While nothing can be written to disk, what operators order is in force and is not acknowledged, the
// process runs on and serves; what it says yes to outlasts it. A predecessor hands on what it could not save.
func TestNoDiskForAWhile(t *testing.T) {
	d := newDeployment(t, 3)
	p := d.start()
	d.ready(p)
	f := d.traffic(3)
	d.used(d.replicas[0], "before")
	d.used(d.replicas[1], "before")
	p.limit(t, unix.RLIMIT_FSIZE, 0)
	if status := p.call(http.MethodPut, "/-/replicas/s-1/disable"); !no(status) {
		t.Errorf("on a disk that fails: status %d, want no", status)
	}
	d.quiet(d.replicas[0], f, "not saved")
	next := d.start()
	d.ready(next)
	d.quiet(d.replicas[0], f, "handed on")
	p.signal(t, syscall.SIGTERM)
	p.ends(t)
	d.wants(next, http.MethodPut, "/-/replicas/s-2/disable")
	next.signal(t, syscall.SIGKILL)
	<-next.exited
	last := d.start()
	d.ready(last)
	d.quiet(d.replicas[0], f, "over the kill")
	d.quiet(d.replicas[1], f, "over the kill")
	f.end()
	last.signal(t, syscall.SIGTERM)
	last.ends(t)
}

// A folder for orders that is not there, or is none, keeps no gateway from starting or serving.
func TestNoFolderForOrders(t *testing.T) {
	d := newDeployment(t, 2)
	d.temp = filepath.Join(d.temp, "file")
	if err := os.WriteFile(d.temp, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	p := d.start()
	d.ready(p)
	f := d.traffic(2)
	d.used(d.replicas[0], "before")
	if status := p.call(http.MethodPut, "/-/replicas/s-1/disable"); !no(status) {
		t.Errorf("status %d, want no", status)
	}
	d.quiet(d.replicas[0], f, "without a folder")
	if status := p.call(http.MethodPut, "/-/replicas/s-1/enable"); !yes(status) {
		t.Errorf("a call back: status %d, want yes", status)
	}
	d.used(d.replicas[0], "back")
	f.end()
}

// Before discovery has answered nobody can tell which replicas there are: an order is in force and not
// acknowledged. Once it has, the order holds for a replica that is listed, and is forgotten for one that is not.
func TestOrdersBeforeDiscoveryAnswers(t *testing.T) {
	d := newDeployment(t, 3)
	d.registry.hush(true)
	p := d.start()
	until(t, "it answers operators", func() bool { return p.call(http.MethodGet, "/-/ready") != 0 })
	for _, id := range []string{"s-1", "s-none"} {
		if status := p.call(http.MethodPut, "/-/replicas/"+id+"/disable"); !no(status) {
			t.Errorf("%s before discovery has answered: status %d, want no", id, status)
		}
	}
	d.registry.hush(false)
	d.ready(p)
	f := d.traffic(3)
	d.quiet(d.replicas[0], f, "ordered before discovery answered")
	d.wants(p, http.MethodPut, "/-/replicas/s-1/disable")
	if status := p.call(http.MethodPut, "/-/replicas/s-none/disable"); !no(status) {
		t.Errorf("never listed: status %d, want no", status)
	}
	d.wants(p, http.MethodPut, "/-/replicas/s-1/enable")
	d.used(d.replicas[0], "put back")
	f.end()
	p.signal(t, syscall.SIGTERM)
	p.ends(t)
}

// A log that nobody reads holds up no request, and one whose reader has gone ends no process.
func TestNobodyReadsTheLog(t *testing.T) {
	d := newDeployment(t, 2)
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer read.Close()
	d.log = write
	p := d.start()
	write.Close()
	d.log = nil
	d.ready(p)
	f := d.traffic(4)
	// A pipe holds 64 KiB: a hundred times as much is logged while nobody reads.
	until(t, "requests without a reader", func() bool { return f.served.Load() > 4000 })
	read.Close()
	served := f.served.Load()
	until(t, "requests behind the reader's end", func() bool { return f.served.Load() > served+1000 })
	f.end()
	if n := f.broken.Load() + f.other.Load(); n > 0 {
		t.Errorf("%d requests were not served", n)
	}
	p.signal(t, syscall.SIGTERM)
	p.ends(t)
}

// The address of the clients that is in use for a moment, as behind a process that has just been killed,
// keeps no gateway from starting.
func TestAddressInUseForAMoment(t *testing.T) {
	f := newFleet(t)
	f.discover(t, "ready")
	p := f.run(t, 256, true)
	until(t, "ready", func() bool { return p.status() == http.StatusOK })
	path := ""
	for _, e := range p.cmd.Env {
		if len(e) > 12 && e[:12] == "NODE_CONFIG=" {
			path = e
		}
	}
	next := &program{addr: p.addr, exited: make(chan error, 1)}
	next.cmd = exec.Command(os.Args[0])
	next.cmd.Env = append(os.Environ(), "ARCHKNOT_TEST_PROGRAM=1", path)
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	next.cmd.Stderr = log
	if err := next.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { next.cmd.Process.Kill() })
	go func() { next.exited <- next.cmd.Wait() }()
	until(t, "it waits for the address", func() bool {
		text, _ := os.ReadFile(log.Name())
		return strings.Contains(string(text), "msg=retrying")
	})
	p.cmd.Process.Kill()
	<-p.exited
	until(t, "ready in its place", func() bool { return next.status() == http.StatusOK })
	c := next.dial(t)
	c.send(request("a", "-"))
	c.served("behind the kill")
	next.signal(t, syscall.SIGTERM)
	next.ends(t)
}

// lateRequests keeps a client sending on a connection on which a stream runs, in pieces, until the process
// is killed at the earliest time that the platform may: longest deadline and 0.7 s behind SIGTERM.
func TestKilledAtTheEarliest(t *testing.T) {
	d := newDeployment(t, 2)
	p := d.start()
	d.ready(p)
	half := p.dial(t)
	text := request("half", "hold")
	half.send(text[:len(text)-10])
	p.signal(t, syscall.SIGTERM)
	told := time.Now()
	<-time.After(time.Until(told.Add(750 * time.Millisecond))) // what comes now may be under way at the kill
	half.send(text[len(text)-10:])
	if status, _, last := half.answer(); status != http.StatusServiceUnavailable || !last {
		t.Errorf("a request that came whole 0.75 s behind SIGTERM: status %d, last %v; want it refused", status, last)
	}
	p.ends(t)
	for _, r := range d.replicas {
		if n := r.since(told); n > 0 {
			t.Errorf("%d attempts at %s", n, r.id)
		}
	}
}

// The time that a request has waited in the system's queue is its client's: while the process could take
// no connection, that ran on, and attempts are told what is left of it.
func TestTimeInTheQueueCounts(t *testing.T) {
	const waits, wait, slack = 700 * time.Millisecond, 3 * time.Second, 150 * time.Millisecond
	d := newDeployment(t, 1)
	p := d.start()
	d.ready(p)
	p.limit(t, unix.RLIMIT_NOFILE, 5)
	c := p.dial(t)
	c.send(fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nReq-Kind: chat\r\nReq-Id: q\r\nReq-Deadline: %dm\r\nContent-Length: 0\r\n\r\n", wait.Milliseconds()))
	sent := time.Now()
	<-time.After(waits)
	p.limit(t, unix.RLIMIT_NOFILE, unlimited)
	c.served("the request that had to wait")
	told, at := d.replicas[0].told()
	if left := wait - at.Sub(sent); told > left+slack || told < left-time.Second {
		t.Errorf("the replica was told %v, the client has %v left", told, left)
	}
	p.signal(t, syscall.SIGTERM)
	p.ends(t)
}
