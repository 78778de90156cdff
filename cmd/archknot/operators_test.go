package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

func newReader(c net.Conn) *bufio.Reader { return bufio.NewReader(c) }

// settled is how long after an operator's yes the last attempt may begin that was decided before it.
const settled = 50 * time.Millisecond

// quiet wants a replica to get nothing for a while, under traffic that others serve.
func (d *deployment) quiet(r *replica, f *traffic, what string) {
	d.t.Helper()
	from, served := time.Now().Add(settled), f.served.Load()
	until(d.t, what+": others serve", func() bool {
		return time.Since(from) > 300*time.Millisecond && f.served.Load() > served+50
	})
	if n := r.since(from); n > 0 {
		d.t.Errorf("%s: %d requests went to %s, which operators have out", what, n, r.id)
	}
}

// used wants a replica to get work again.
func (d *deployment) used(r *replica, what string) {
	d.t.Helper()
	from := time.Now()
	until(d.t, what+": "+r.id+" is used", func() bool { return r.since(from) > 0 })
}

// A replica that operators take out gets nothing, whatever the list says of it: listed anew, listed as
// started anew, over SIGHUP, over an upgrade, over a restart. One call puts it back.
func TestOperatorsTakeAReplicaOut(t *testing.T) {
	d := newDeployment(t, 3)
	p := d.start()
	d.ready(p)
	f := d.traffic(4)
	out := d.replicas[0]
	d.used(out, "before")
	d.wants(p, http.MethodPut, "/-/replicas/s-1/disable")
	d.quiet(out, f, "disabled")
	d.wants(p, http.MethodPut, "/-/replicas/s-1/disable") // may be repeated
	d.registry.tell("s-1", entry("s-1", out.addr, "draining", ""))
	d.registry.tell("s-1", entry("s-1", out.addr, "ready", ""))
	d.quiet(out, f, "listed anew")
	d.registry.tell("s-1", entry("s-1", out.addr, "gone", ""))
	d.registry.tell("s-1", entry("s-1", out.addr, "ready", fmt.Sprintf(`,"startedAtMs":%d`, time.Now().UnixMilli())))
	d.quiet(out, f, "started anew")
	p.signal(t, syscall.SIGHUP)
	d.quiet(out, f, "behind a SIGHUP")
	for i := range 2 {
		next := d.start()
		d.ready(next)
		d.quiet(out, f, "beside the next process")
		p.signal(t, syscall.SIGTERM)
		p.ends(t)
		p = next
		d.quiet(out, f, fmt.Sprintf("over upgrade %d", i+1))
	}
	for _, path := range []string{"/-/replicas/s-9/disable", "/-/replicas/s-9/enable"} {
		if status := p.call(http.MethodPut, path); !no(status) {
			t.Errorf("%s of an id that was never listed: status %d", path, status)
		}
	}
	d.wants(p, http.MethodPut, "/-/replicas/s-1/enable")
	d.used(out, "enabled")
	d.wants(p, http.MethodPut, "/-/replicas/s-2/disable")
	p.signal(t, syscall.SIGKILL)
	<-p.exited
	p = d.start()
	d.ready(p)
	d.quiet(d.replicas[1], f, "over a kill")
	f.end()
	if n := f.other.Load(); n > 0 {
		t.Errorf("%d requests were refused or failed", n)
	}
}

// holding is one client's request whose stream is held, after its first event has come; the rest of it
// is the result's.
func (d *deployment) holding() io.Reader {
	d.t.Helper()
	c := (&program{addr: d.addr}).dial(d.t)
	c.send(request(fmt.Sprint("h", requestNumber.Add(1)), "hold"))
	head, err := http.ReadResponse(c.in, nil)
	if err != nil {
		d.t.Fatal(err)
	}
	if _, err := io.ReadFull(head.Body, make([]byte, len(event))); err != nil {
		d.t.Fatal(err)
	}
	return head.Body
}

// closedBy wants the connection's end within a time.
func (c *client) closedBy(end time.Time, what string) {
	c.t.Helper()
	c.SetReadDeadline(end)
	if _, err := c.in.ReadByte(); err != io.EOF {
		c.t.Errorf("%s: %v, want a clean end", what, err)
	}
}

// A gateway that operators drain says no to the front at once, ends what rests, finishes what it has and
// begins nothing after 2 s that it would hold; it runs on, and is back 2 s after the call that ends it.
func TestOperatorsDrainTheGateway(t *testing.T) {
	d := newDeployment(t, 2)
	p := d.start()
	d.ready(p)
	rested, unused, held := p.dial(t), p.dial(t), d.holding()
	rested.send(request("r", "-"))
	rested.served("before the drain")
	f := d.traffic(2)
	until(t, "traffic", func() bool { return f.served.Load() > 20 })
	d.wants(p, http.MethodPut, "/-/drain")
	drained := time.Now()
	if status := p.status(); status == http.StatusOK {
		t.Errorf("readiness says %d behind the drain call", status)
	}
	if !yes(p.call(http.MethodGet, "/-/ready")) {
		t.Error("the process can serve, and says no to operators")
	}
	rested.closedBy(drained.Add(time.Second), "a connection at rest")
	unused.closedBy(drained.Add(3*time.Second), "an unused connection")
	// Who comes all the same is answered, and its connection ends: served first, refused later.
	early := p.dial(t)
	early.send(request("e", "-"))
	if status, _, last := early.answer(); status != http.StatusOK || !last {
		t.Errorf("early in the drain: status %d, last %v", status, last)
	}
	f.end()
	time.Sleep(time.Until(drained.Add(2100 * time.Millisecond)))
	late := p.dial(t)
	late.send(request("l", "hold"))
	if status, _, last := late.answer(); status != http.StatusServiceUnavailable || !last {
		t.Errorf("late in the drain: status %d, last %v", status, last)
	}
	d.wants(p, http.MethodPut, "/-/resume")
	resumed := time.Now()
	until(t, "ready again", func() bool { return p.status() == http.StatusOK })
	if took := time.Since(resumed); took > 2*time.Second {
		t.Errorf("ready %v after the drain's end", took)
	}
	for _, r := range d.replicas {
		close(r.release)
	}
	if rest, err := io.ReadAll(held); err != nil || string(rest) != done {
		t.Errorf("the stream that was held: %q, %v", rest, err)
	}
	kept := p.dial(t)
	for i := range 2 { // connections are kept again
		kept.send(request(fmt.Sprint("k", i), "-"))
		kept.served("behind the drain")
	}
	p.signal(t, syscall.SIGTERM)
	p.ends(t)
}

// One entry of a list that cannot be understood costs that entry alone: changes in the same list and
// behind it hold.
func TestAnOddEntryCostsItself(t *testing.T) {
	for name, odd := range map[string]string{
		"unknown zone": `{"instanceId":"s-odd","hostPort":"127.0.0.1:1","zone":"elsewhere","lifecycle":"draining"}`,
		"no address":   `{"instanceId":"s-odd","zone":"a","lifecycle":"ready"}`, "no id": `{"hostPort":"127.0.0.1:1","zone":"a","lifecycle":"ready"}`,
		"odd weight": `{"instanceId":"s-odd","hostPort":"127.0.0.1:1","zone":"a","lifecycle":"draining","weight":-1}`,
		"odd type":   `{"instanceId":"s-odd","hostPort":7,"zone":"a","lifecycle":"ready"}`, "no object": `7`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, 3)
			p := d.start()
			until(t, "ready", func() bool { return p.status() == http.StatusOK })
			f := d.traffic(2)
			d.used(d.replicas[0], "before")
			d.registry.tell("s-odd", odd)
			d.registry.tell("s-1", entry("s-1", d.replicas[0].addr, "draining", ""))
			until(t, "the changes are taken", d.registry.taken)
			d.quiet(d.replicas[0], f, "drained behind the odd entry")
		})
	}
}
