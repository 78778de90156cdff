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

// limitResource sets a resource limit of the running process, to make its system calls fail or succeed again.
func (p *gatewayProcess) limitResource(t *testing.T, resource int, limit uint64) {
	t.Helper()
	var usual unix.Rlimit
	if err := unix.Prlimit(p.cmd.Process.Pid, resource, nil, &usual); err != nil {
		t.Fatal(err)
	}
	if err := unix.Prlimit(p.cmd.Process.Pid, resource, &unix.Rlimit{Cur: min(limit, usual.Max), Max: usual.Max}, nil); err != nil {
		t.Fatal(err)
	}
}

const noLimit = 1 << 62

// Guards against lost service when the process is out of descriptors, so that accepts and connects fail. Requests on
// open connections still get a response, no replica is treated as faulty, and service returns with the descriptors.
func TestNoDescriptorsForAWhile(t *testing.T) {
	d := newDeployment(t, 3)
	p := d.start()
	d.waitUntilReady(p)
	traffic := d.startTraffic(3)
	waitUntil(t, "traffic", func() bool { return traffic.served.Load() > 50 })
	for range 3 {
		p.limitResource(t, unix.RLIMIT_NOFILE, 5)
		served, failed := traffic.served.Load(), traffic.failed.Load()
		c := p.dial(t) // stays in the accept queue
		c.send(requestText(fmt.Sprint("q", lastRequestNumber.Add(1)), "-"))
		waitUntil(t, "open connections get responses", func() bool { return traffic.served.Load()+traffic.failed.Load() > served+failed+50 })
		p.limitResource(t, unix.RLIMIT_NOFILE, noLimit)
		c.expectServed("the connection from the accept queue")
		from := traffic.failed.Load()
		served = traffic.served.Load()
		waitUntil(t, "served again", func() bool { return traffic.served.Load() > served+100 })
		if n := traffic.failed.Load() - from; n > 3 { // requests that were in flight
			t.Errorf("%d requests failed while descriptors were available, want at most 3", n)
		}
	}
	traffic.stopAndWait()
	if n := traffic.broken.Load(); n > 0 {
		t.Errorf("%d requests got no response, want 0", n)
	}
	p.signal(t, syscall.SIGTERM)
	p.waitForExit(t)
}

// While the process cannot write to disk, maintenance orders apply but are not acknowledged, and requests are
// served. The process hands unsaved orders over to its successor, and an acknowledged order survives a kill.
func TestNoDiskForAWhile(t *testing.T) {
	d := newDeployment(t, 3)
	p := d.start()
	d.waitUntilReady(p)
	traffic := d.startTraffic(3)
	d.expectAttempts(d.replicas[0], "before")
	d.expectAttempts(d.replicas[1], "before")
	p.limitResource(t, unix.RLIMIT_FSIZE, 0)
	if status := p.callAdmin(http.MethodPut, "/-/replicas/s-1/disable"); !isError(status) {
		t.Errorf("order without a writable disk: status %d, want an error", status)
	}
	d.expectNoAttempts(d.replicas[0], traffic, "not saved")
	next := d.start()
	d.waitUntilReady(next)
	d.expectNoAttempts(d.replicas[0], traffic, "handed over")
	p.signal(t, syscall.SIGTERM)
	p.waitForExit(t)
	d.order(next, http.MethodPut, "/-/replicas/s-2/disable")
	next.signal(t, syscall.SIGKILL)
	<-next.exited
	last := d.start()
	d.waitUntilReady(last)
	d.expectNoAttempts(d.replicas[0], traffic, "after the kill")
	d.expectNoAttempts(d.replicas[1], traffic, "after the kill")
	traffic.stopAndWait()
	last.signal(t, syscall.SIGTERM)
	last.waitForExit(t)
}

// A gateway starts and serves even if the directory for maintenance orders cannot be created.
func TestNoFolderForOrders(t *testing.T) {
	d := newDeployment(t, 2)
	d.tempDir = filepath.Join(d.tempDir, "file")
	if err := os.WriteFile(d.tempDir, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	p := d.start()
	d.waitUntilReady(p)
	traffic := d.startTraffic(2)
	d.expectAttempts(d.replicas[0], "before")
	if status := p.callAdmin(http.MethodPut, "/-/replicas/s-1/disable"); !isError(status) {
		t.Errorf("order without a directory: status %d, want an error", status)
	}
	d.expectNoAttempts(d.replicas[0], traffic, "without a directory")
	if status := p.callAdmin(http.MethodPut, "/-/replicas/s-1/enable"); !isSuccess(status) {
		t.Errorf("reinstating: status %d, want success", status)
	}
	d.expectAttempts(d.replicas[0], "reinstated")
	traffic.stopAndWait()
}

// Before discovery has answered, the replicas are unknown: a maintenance order applies but is not acknowledged.
// After the answer the order stays in force for a listed replica, and is dropped for one that is not listed.
func TestOrdersBeforeDiscoveryAnswers(t *testing.T) {
	d := newDeployment(t, 3)
	d.discovery.setFault(discoveryUnavailable)
	p := d.start()
	waitUntil(t, "the process answers operators' calls", func() bool { return p.callAdmin(http.MethodGet, "/-/ready") != 0 })
	for _, id := range []string{"s-1", "s-none"} {
		if status := p.callAdmin(http.MethodPut, "/-/replicas/"+id+"/disable"); !isError(status) {
			t.Errorf("%s before discovery has answered: status %d, want an error", id, status)
		}
	}
	d.discovery.setFault(discoveryUp)
	d.waitUntilReady(p)
	traffic := d.startTraffic(3)
	d.expectNoAttempts(d.replicas[0], traffic, "ordered before discovery answered")
	d.order(p, http.MethodPut, "/-/replicas/s-1/disable")
	if status := p.callAdmin(http.MethodPut, "/-/replicas/s-none/disable"); !isError(status) {
		t.Errorf("never listed: status %d, want an error", status)
	}
	d.order(p, http.MethodPut, "/-/replicas/s-1/enable")
	d.expectAttempts(d.replicas[0], "reinstated")
	traffic.stopAndWait()
	p.signal(t, syscall.SIGTERM)
	p.waitForExit(t)
}

// A log pipe that is not read delays no request, and a log pipe whose reader has closed it does not end the process.
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
	d.waitUntilReady(p)
	traffic := d.startTraffic(4)
	// A pipe holds 64 KiB; these requests log about a hundred times as much.
	waitUntil(t, "requests while the log is not read", func() bool { return traffic.served.Load() > 4000 })
	read.Close()
	served := traffic.served.Load()
	waitUntil(t, "requests after the log's reader has closed", func() bool { return traffic.served.Load() > served+1000 })
	traffic.stopAndWait()
	if n := traffic.broken.Load() + traffic.failed.Load(); n > 0 {
		t.Errorf("%d requests were not served, want 0", n)
	}
	p.signal(t, syscall.SIGTERM)
	p.waitForExit(t)
}

// A gateway whose listen address is in use retries until the address is free, as after its predecessor was killed.
func TestAddressInUseForAMoment(t *testing.T) {
	f := newFleet(t)
	f.startDiscovery(t, "ready")
	p := f.run(t, 256, true)
	waitUntil(t, "ready", func() bool { return p.readyStatus() == http.StatusOK })
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
	waitUntil(t, "the next process retries to listen", func() bool {
		text, _ := os.ReadFile(log.Name())
		return strings.Contains(string(text), "msg=retrying")
	})
	p.cmd.Process.Kill()
	<-p.exited
	waitUntil(t, "ready after the kill", func() bool { return next.readyStatus() == http.StatusOK })
	c := next.dial(t)
	c.send(requestText("a", "-"))
	c.expectServed("after the kill")
	next.signal(t, syscall.SIGTERM)
	next.waitForExit(t)
}

// A request that is complete only 0.75 s after SIGTERM is rejected without an attempt: the platform may kill the
// process 0.7 s after the longest deadline, when the request could still be in flight.
func TestRequestLateInShutdown(t *testing.T) {
	d := newDeployment(t, 2)
	p := d.start()
	d.waitUntilReady(p)
	half := p.dial(t)
	text := requestText("half", "hold")
	half.send(text[:len(text)-10])
	p.signal(t, syscall.SIGTERM)
	terminatedAt := time.Now()
	<-time.After(time.Until(terminatedAt.Add(750 * time.Millisecond))) // a request that begins now could be in flight at the kill
	half.send(text[len(text)-10:])
	if status, _, last := half.readResponse(); status != http.StatusServiceUnavailable || !last {
		t.Errorf("a request that was complete 0.75 s after SIGTERM: status %d, last %v; want it rejected", status, last)
	}
	p.waitForExit(t)
	for _, r := range d.replicas {
		if n := r.attemptsSince(terminatedAt); n > 0 {
			t.Errorf("%d attempts at %s after SIGTERM, want 0", n, r.id)
		}
	}
}

// The time that a request has waited in the accept queue counts towards its deadline: an attempt gets only the
// remaining time.
func TestTimeInTheQueueCounts(t *testing.T) {
	const queueTime, deadline, tolerance = 700 * time.Millisecond, 3 * time.Second, 150 * time.Millisecond
	d := newDeployment(t, 1)
	p := d.start()
	d.waitUntilReady(p)
	p.limitResource(t, unix.RLIMIT_NOFILE, 5)
	c := p.dial(t)
	c.send(fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nReq-Kind: chat\r\nReq-Id: q\r\nReq-Deadline: %dm\r\nContent-Length: 0\r\n\r\n", deadline.Milliseconds()))
	sent := time.Now()
	<-time.After(queueTime)
	p.limitResource(t, unix.RLIMIT_NOFILE, noLimit)
	c.expectServed("the request from the accept queue")
	got, receivedAt := d.replicas[0].lastDeadline()
	if left := deadline - receivedAt.Sub(sent); got > left+tolerance || got < left-time.Second {
		t.Errorf("the replica got a deadline of %v, the client has %v left", got, left)
	}
	p.signal(t, syscall.SIGTERM)
	p.waitForExit(t)
}
