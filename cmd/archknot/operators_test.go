package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

func newReader(c net.Conn) *bufio.Reader { return bufio.NewReader(c) }

// decisionTime is how long after the acknowledgement of an order an attempt dispatched before it may still begin.
const decisionTime = 50 * time.Millisecond

// expectNoAttempts expects a replica to get no attempts while the other replicas serve traffic.
func (d *deployment) expectNoAttempts(r *fakeReplica, traffic *testTraffic, what string) {
	d.t.Helper()
	from, served := time.Now().Add(decisionTime), traffic.served.Load()
	waitUntil(d.t, what+": others serve", func() bool {
		return time.Since(from) > 300*time.Millisecond && traffic.served.Load() > served+50
	})
	if n := r.attemptsSince(from); n > 0 {
		d.t.Errorf("%s: %d attempts at %s, want 0", what, n, r.id)
	}
}

// expectAttempts expects a replica to get attempts.
func (d *deployment) expectAttempts(r *fakeReplica, what string) {
	d.t.Helper()
	from := time.Now()
	waitUntil(d.t, what+": "+r.id+" gets attempts", func() bool { return r.attemptsSince(from) > 0 })
}

// A replica that operators have ejected gets no attempts after it is listed again, even as restarted, nor after a
// SIGHUP, an upgrade or a restart of the gateway. One call reinstates it.
func TestEjectedReplicaGetsNoAttempts(t *testing.T) {
	d := newDeployment(t, 3)
	p := d.start()
	d.waitUntilReady(p)
	traffic := d.startTraffic(4)
	ejected := d.replicas[0]
	d.expectAttempts(ejected, "before")
	d.order(p, http.MethodPut, "/-/replicas/s-1/disable")
	d.expectNoAttempts(ejected, traffic, "disabled")
	d.order(p, http.MethodPut, "/-/replicas/s-1/disable") // may be repeated
	d.discovery.publish("s-1", endpointJSON("s-1", ejected.addr, "draining", ""))
	d.discovery.publish("s-1", endpointJSON("s-1", ejected.addr, "ready", ""))
	d.expectNoAttempts(ejected, traffic, "listed again")
	d.discovery.publish("s-1", endpointJSON("s-1", ejected.addr, "gone", ""))
	d.discovery.publish("s-1", endpointJSON("s-1", ejected.addr, "ready", fmt.Sprintf(`,"startedAtMs":%d`, time.Now().UnixMilli())))
	d.expectNoAttempts(ejected, traffic, "restarted")
	p.signal(t, syscall.SIGHUP)
	d.expectNoAttempts(ejected, traffic, "after a SIGHUP")
	for i := range 2 {
		next := d.start()
		d.waitUntilReady(next)
		d.expectNoAttempts(ejected, traffic, "beside the next process")
		p.signal(t, syscall.SIGTERM)
		p.waitForExit(t)
		p = next
		d.expectNoAttempts(ejected, traffic, fmt.Sprintf("after upgrade %d", i+1))
	}
	for _, path := range []string{"/-/replicas/s-9/disable", "/-/replicas/s-9/enable"} {
		if status := p.callAdmin(http.MethodPut, path); !isError(status) {
			t.Errorf("%s of an id that was never listed: status %d, want an error", path, status)
		}
	}
	d.order(p, http.MethodPut, "/-/replicas/s-1/enable")
	d.expectAttempts(ejected, "enabled")
	d.order(p, http.MethodPut, "/-/replicas/s-2/disable")
	p.signal(t, syscall.SIGKILL)
	<-p.exited
	p = d.start()
	d.waitUntilReady(p)
	d.expectNoAttempts(d.replicas[1], traffic, "after a kill")
	traffic.stopAndWait()
	if n := traffic.failed.Load(); n > 0 {
		t.Errorf("%d requests were rejected or failed, want 0", n)
	}
}

// startOpenStream sends a request whose stream stays open after its first event, and returns a reader of the rest
// of the stream.
func (d *deployment) startOpenStream() io.Reader {
	d.t.Helper()
	c := (&program{addr: d.addr}).dial(d.t)
	c.send(requestText(fmt.Sprint("h", lastRequestNumber.Add(1)), "hold"))
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		d.t.Fatal(err)
	}
	if _, err := io.ReadFull(resp.Body, make([]byte, len(firstEvent))); err != nil {
		d.t.Fatal(err)
	}
	return resp.Body
}

// expectClosedBy expects the gateway to close the connection by a time.
func (c *testClient) expectClosedBy(end time.Time, what string) {
	c.t.Helper()
	c.SetReadDeadline(end)
	if _, err := c.reader.ReadByte(); !errors.Is(err, io.EOF) {
		c.t.Errorf("%s: error %v, want EOF", what, err)
	}
}

// When operators drain a gateway, its readiness check for clients fails at once; the gateway closes idle connections,
// completes requests in flight and rejects new ones after 2 s. It is ready within 2 s after it is resumed.
func TestOperatorsDrainTheGateway(t *testing.T) {
	d := newDeployment(t, 2)
	p := d.start()
	d.waitUntilReady(p)
	idle, unused, stream := p.dial(t), p.dial(t), d.startOpenStream()
	idle.send(requestText("r", "-"))
	idle.expectServed("before the drain")
	traffic := d.startTraffic(2)
	waitUntil(t, "traffic", func() bool { return traffic.served.Load() > 20 })
	d.order(p, http.MethodPut, "/-/drain")
	drained := time.Now()
	if status := p.readyStatus(); status == http.StatusOK {
		t.Errorf("status %d of the readiness check after the drain call, want it to fail", status)
	}
	if !isSuccess(p.callAdmin(http.MethodGet, "/-/ready")) {
		t.Error("the operators' readiness check fails although the process can serve")
	}
	idle.expectClosedBy(drained.Add(time.Second), "an idle connection")
	unused.expectClosedBy(drained.Add(3*time.Second), "an unused connection")
	// New clients get a response, at first a served one and later a rejection, and their connection is closed.
	early := p.dial(t)
	early.send(requestText("e", "-"))
	if status, _, last := early.readResponse(); status != http.StatusOK || !last {
		t.Errorf("early in the drain: status %d, last %v; want 200 and the connection closed", status, last)
	}
	traffic.stopAndWait()
	time.Sleep(time.Until(drained.Add(2100 * time.Millisecond)))
	late := p.dial(t)
	late.send(requestText("l", "hold"))
	if status, _, last := late.readResponse(); status != http.StatusServiceUnavailable || !last {
		t.Errorf("late in the drain: status %d, last %v; want 503 and the connection closed", status, last)
	}
	d.order(p, http.MethodPut, "/-/resume")
	resumed := time.Now()
	waitUntil(t, "ready again", func() bool { return p.readyStatus() == http.StatusOK })
	if took := time.Since(resumed); took > 2*time.Second {
		t.Errorf("ready %v after the end of the drain, want at most 2 s", took)
	}
	for _, r := range d.replicas {
		close(r.release)
	}
	if remainder, err := io.ReadAll(stream); err != nil || string(remainder) != lastEvent {
		t.Errorf("the open stream: rest %q, error %v", remainder, err)
	}
	reused := p.dial(t)
	for i := range 2 { // connections stay open again
		reused.send(requestText(fmt.Sprint("k", i), "-"))
		reused.expectServed("after the drain")
	}
	p.signal(t, syscall.SIGTERM)
	p.waitForExit(t)
}

// frontInterval is how often the front checks a gateway.
const frontInterval = 100 * time.Millisecond

// frontChecks asks a gateway as the front does, on a new connection each time, and counts the positive answers.
type frontChecks struct{ end, done chan int }

func newFrontChecks(p *gatewayProcess) *frontChecks {
	f := &frontChecks{end: make(chan int), done: make(chan int, 1)}
	go func() {
		yes := 0
		for {
			if p.readyStatus() == http.StatusOK {
				yes++
			}
			select {
			case <-time.After(frontInterval):
			case <-f.end:
				f.done <- yes
				return
			}
		}
	}()
	return f
}

// stop ends the checks and returns the number of positive answers.
func (f *frontChecks) stop() int {
	close(f.end)
	return <-f.done
}

// Guards against a gateway that operators drained and that serves clients after upgrades in a row (issue 74, review/8).
func TestDrainedGatewayStaysDrainedOverUpgrades(t *testing.T) {
	d := newDeployment(t, 2)
	p := d.start()
	d.waitUntilReady(p)
	d.order(p, http.MethodPut, "/-/drain")
	front := newFrontChecks(p)
	for i := range 4 {
		next := d.start()
		waitUntil(t, "the operators' readiness check", func() bool { return isSuccess(next.callAdmin(http.MethodGet, "/-/ready")) })
		time.Sleep(time.Duration(i) * 45 * time.Millisecond) // another phase of the store's checks each time
		p.signal(t, syscall.SIGTERM)
		p.waitForExit(t)
		p = next
	}
	time.Sleep(frontInterval)
	if yes := front.stop(); yes > 0 {
		t.Errorf("the drained gateway said yes to the front %d times", yes)
	}
	d.order(p, http.MethodPut, "/-/resume")
	waitUntil(t, "ready again", func() bool { return p.readyStatus() == http.StatusOK })
}

// An invalid entry of the endpoint list is skipped: the other changes of the same list and of later lists apply.
func TestInvalidEndpointIsSkipped(t *testing.T) {
	for name, invalid := range map[string]string{
		"unknown zone": `{"instanceId":"s-odd","hostPort":"127.0.0.1:1","zone":"elsewhere","lifecycle":"draining"}`,
		"no address":   `{"instanceId":"s-odd","zone":"a","lifecycle":"ready"}`, "no id": `{"hostPort":"127.0.0.1:1","zone":"a","lifecycle":"ready"}`,
		"invalid weight": `{"instanceId":"s-odd","hostPort":"127.0.0.1:1","zone":"a","lifecycle":"draining","weight":-1}`,
		"invalid type":   `{"instanceId":"s-odd","hostPort":7,"zone":"a","lifecycle":"ready"}`, "no object": `7`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, 3)
			p := d.start()
			waitUntil(t, "ready", func() bool { return p.readyStatus() == http.StatusOK })
			traffic := d.startTraffic(2)
			d.expectAttempts(d.replicas[0], "before")
			d.discovery.publish("s-odd", invalid)
			d.discovery.publish("s-1", endpointJSON("s-1", d.replicas[0].addr, "draining", ""))
			waitUntil(t, "the changes are applied", d.discovery.allDelivered)
			d.expectNoAttempts(d.replicas[0], traffic, "drained after the invalid entry")
		})
	}
}
