package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	// propagationLimit is the latest time at which the gateway has to know a change, counted from when discovery had
	// the change and could be reached.
	propagationLimit = 6 * time.Second
	// drainGrace is stopSendingWithinUs of drainConfigFormat plus the allowance of the protocol for sockets.
	drainGrace = 2500*time.Millisecond + 50*time.Millisecond
	// clockTolerance allows for a delay, on a loaded machine, between an attempt's first byte and the record of it.
	clockTolerance = 100 * time.Millisecond
	// drainDuration is how long a drain lasts in these tests, well beyond propagationLimit and drainGrace.
	drainDuration = propagationLimit + drainGrace + 3*time.Second
)

// drainConfigFormat is the configuration of one of several gateways, in a fleet whose replicas send load reports.
const drainConfigFormat = `{"name":"g","listen":"%s","discovery":"%s","admin":"%s","limits":{"cores":1,"memory_mb":64,"sockets":512},
 "settings":{"nInstances":%d,"selfIndex":0,"discovery":"on_request","zone":"a","zones":["a"],"kinds":["m"],"feedback":{"via":"inline","names":["busy_reqs","cpu_share"]},
  "limits":{"maxAttempts":3,"connIdleUs":60000000,"connectTimeoutUs":50000,"mostHeld":2000,"mayProbe":true,"cancelling":true,"secondCopies":true},
  "rules":{"askWithinUs":10000000,"stopSendingWithinUs":2500000,"startCapacity":1},
  "requestClasses":[{"name":"chat","targetUs":1000000,"deadlineUs":3000000,"effect":"repeatable","streamed":true}]}}`

// drainingReplica is a replica that passes health checks, and serves requests unless it declines them, even while it
// drains.
type drainingReplica struct {
	id, addr string
	mu       sync.Mutex
	server   *http.Server
	attempts []time.Time // start times
	declines atomic.Bool // it turns new work away
}

func newDrainingReplica(t *testing.T, id string) *drainingReplica {
	t.Helper()
	r := &drainingReplica{id: id, addr: freeAddress(t)}
	r.listen(t)
	t.Cleanup(func() { r.server.Close() })
	return r
}

// listen starts the replica's process.
func (r *drainingReplica) listen(t *testing.T) {
	t.Helper()
	l := listen(t, r.addr)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.server = &http.Server{Handler: r}
	go r.server.Serve(l)
}

// ServeHTTP answers attempts and health checks.
func (r *drainingReplica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	if req.Method == http.MethodPost {
		r.attempts = append(r.attempts, time.Now())
	}
	r.mu.Unlock()
	w.Header().Set("Srv-Load", "inflight=1,util=0.1")
	if req.Method != http.MethodPost {
		return
	}
	if r.declines.Load() {
		w.Header().Set("Srv-Declined", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(serviceTime)
	w.Header().Set("Content-Type", "text/event-stream")
	io.WriteString(w, firstEvent+lastEvent)
}

// restart ends the replica's process and starts the next one, which serves requests before discovery lists it.
func (r *drainingReplica) restart(t *testing.T) {
	t.Helper()
	r.mu.Lock()
	r.server.Close()
	r.mu.Unlock()
	r.listen(t)
}

// attemptsAfter returns the attempts that began after a time, each as its delay from that time.
func (r *drainingReplica) attemptsAfter(at time.Time) (delays []time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, begun := range r.attempts {
		if begun.After(at) {
			delays = append(delays, begun.Sub(at))
		}
	}
	return delays
}

// drainCase is a way in which a gateway may miss a drain.
type drainCase struct {
	name     string
	gateways int
	// injectFault makes discovery fail and publishes the drain. It returns the index of that change, and the time
	// from which discovery could be reached; zero if it always could.
	injectFault      func(d *drainDeployment) (change int, reachableFrom time.Time)
	restarts         bool // the replica restarts while it drains, and its next process serves before it is listed
	expectNoFailures bool // every request is served: the endpoint list never gets too old for new requests
}

// drainDeployment is a gateway in front of four replicas, of which the first drains.
type drainDeployment struct {
	*deployment
	draining *drainingReplica
	sound    []*drainingReplica // the other replicas, which do not drain
}

func newDrainDeployment(t *testing.T, gateways int) *drainDeployment {
	t.Helper()
	d := &drainDeployment{deployment: newDeployment(t, 0)}
	for i := range 4 {
		r := newDrainingReplica(t, fmt.Sprint("s-", i+1))
		d.discovery.publish(r.id, endpointJSON(r.id, r.addr, "ready", ""))
		if i == 0 {
			d.draining = r
		} else {
			d.sound = append(d.sound, r)
		}
	}
	d.platformConfig = func(adminAddr string) string {
		return fmt.Sprintf(drainConfigFormat, d.addr, d.discovery.addr, adminAddr, gateways)
	}
	return d
}

// drain lists the first replica as draining and returns the index of the change.
func (d *drainDeployment) drain() (change int) {
	return d.discovery.publish(d.draining.id, endpointJSON(d.draining.id, d.draining.addr, "draining", ""))
}

// awaitWatch waits until the gateway has opened a new watch, and then for openFor.
func (d *drainDeployment) awaitWatch(openFor time.Duration) {
	calls := d.discovery.callCount()
	waitUntil(d.t, "a new watch", func() bool { return d.discovery.callCount() > calls })
	time.Sleep(openFor)
}

// failFor makes discovery fail for a duration and publishes the drain shortly before the end of the outage.
func (d *drainDeployment) failFor(fault discoveryFault, duration time.Duration) (change int, reachableFrom time.Time) {
	const drainBeforeEnd = 200 * time.Millisecond
	d.discovery.setFault(fault)
	time.Sleep(duration - drainBeforeEnd)
	change = d.drain()
	time.Sleep(drainBeforeEnd)
	d.discovery.setFault(discoveryUp)
	return change, time.Now()
}

// unansweredWatch lets the gateway's watch be open for openFor, leaves it without an answer from then on, and then
// publishes the drain.
func unansweredWatch(openFor time.Duration) func(d *drainDeployment) (int, time.Time) {
	return func(d *drainDeployment) (int, time.Time) {
		d.awaitWatch(openFor)
		d.discovery.silenceOpenCalls()
		time.Sleep(100 * time.Millisecond)
		return d.drain(), time.Time{}
	}
}

func outage(fault discoveryFault, duration time.Duration) func(d *drainDeployment) (int, time.Time) {
	return func(d *drainDeployment) (int, time.Time) { return d.failFor(fault, duration) }
}

var drainCases = []drainCase{
	{"silent watch, 3 gateways", 3, unansweredWatch(400 * time.Millisecond), false, true},
	{"silent watch, 30 gateways", 30, unansweredWatch(400 * time.Millisecond), false, true},
	{"silent watch, 200 gateways", 200, unansweredWatch(400 * time.Millisecond), false, true},
	{"silent watch, 900 gateways", 900, unansweredWatch(time.Second), false, true},
	{"silent watch, next process answers unlisted", 200, unansweredWatch(400 * time.Millisecond), true, true},
	{"503 for 6 s, 3 gateways", 3, outage(discoveryUnavailable, 6*time.Second), false, true},
	{"503 for 6 s, 200 gateways", 200, outage(discoveryUnavailable, 6*time.Second), false, true},
	{"503 for 12 s, 900 gateways", 900, outage(discoveryUnavailable, 12*time.Second), false, true},
	{"resets for 12 s, 200 gateways", 200, outage(discoveryResets, 12*time.Second), false, true},
	{"no answers for 10 s, 200 gateways", 200, outage(discoveryUnresponsive, 10*time.Second), false, false},
}

// Guards against requests to a draining replica when a fault of discovery hides the drain from the gateway. None may
// begin later than drainGrace after propagationLimit, although the replica still serves, with any number of gateways.
func TestNoWorkForDrainingReplicaWithoutAList(t *testing.T) {
	for _, c := range drainCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newDrainDeployment(t, c.gateways)
			p := d.start()
			d.waitUntilReady(p)
			traffic := d.startTraffic(3)
			waitUntil(t, "the replica serves requests", func() bool { return len(d.draining.attemptsAfter(time.Time{})) > 20 })
			change, reachableFrom := c.injectFault(d)
			if c.restarts { // while the gateway is idle, as one of many gateways often is
				time.Sleep(propagationLimit / 2)
				traffic.stopAndWait()
				d.draining.restart(t)
				traffic = d.startTraffic(3)
			}
			published, _ := d.discovery.changeTimes(change)
			time.Sleep(time.Until(published.Add(drainDuration)))
			traffic.stopAndWait()
			d.expectDrained(change, reachableFrom)
			if n := traffic.failed.Load(); c.expectNoFailures && n > 0 {
				t.Errorf("%d requests were shed or failed, want 0", n)
			}
			p.signal(t, syscall.SIGTERM)
			p.waitForExit(t)
		})
	}
}

// expectDrained expects no attempts at the draining replica from drainGrace after the time by which the gateway has
// to know the drain: propagationLimit after discovery had it and could be reached, or when it was sent, if earlier.
func (d *drainDeployment) expectDrained(change int, reachableFrom time.Time) {
	d.t.Helper()
	published, sent := d.discovery.changeTimes(change)
	knownBy := published.Add(propagationLimit)
	if reachableFrom.After(published) {
		knownBy = reachableFrom.Add(propagationLimit)
	}
	if !sent.IsZero() && sent.Before(knownBy) {
		knownBy = sent
	}
	late := d.draining.attemptsAfter(knownBy.Add(drainGrace + clockTolerance))
	if len(late) > 0 {
		d.t.Errorf("%d attempts at the draining replica after the grace, the last one %v after it; the drain had to be known %v after it was published, and was sent at %v",
			len(late), late[len(late)-1], knownBy.Sub(published), sent)
	}
}
