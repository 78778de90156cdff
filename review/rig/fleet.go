package rig

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Instance is an entry of discovery's list.
type Instance struct {
	ID          string  `json:"instanceId"`
	Addr        string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	Kind        string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
}

// answer is discovery's answer.
type answer struct {
	Generation int        `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []Instance `json:"instances"`
}

// Discovery is a stand-in for discovery.
type Discovery struct {
	Addr string

	mu           sync.Mutex
	generation   int
	instances    []Instance
	changed      chan struct{} // closed at the next change
	crowdedUntil time.Time     // until then, calls fail after callWait
	callWait     time.Duration
	server       *http.Server
}

// StartDiscovery starts a discovery service with a list of replicas.
func StartDiscovery(replicas ...*Replica) (*Discovery, error) {
	d := &Discovery{generation: 7, changed: make(chan struct{})}
	for _, replica := range replicas {
		d.instances = append(d.instances, Instance{ID: replica.Name, Addr: replica.Addr, Zone: "here", Kind: "toy", Lifecycle: "ready", Weight: 1})
	}
	var err error
	d.server, d.Addr, err = listenAndServe(d)
	return d, err
}

// listenAndServe serves a handler at a free loopback address.
func listenAndServe(h http.Handler) (server *http.Server, addr string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	server = &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }() // ends with the process, or when it is closed
	return server, l.Addr().String(), nil
}

// Drain lists a replica as draining.
func (d *Discovery) Drain(r *Rig, name string) { d.change(r, name, "draining") }

// Remove takes a replica off the list.
func (d *Discovery) Remove(r *Rig, name string) { d.change(r, name, "gone") }

// Return lists a replica as ready again, started just now.
func (d *Discovery) Return(r *Rig, name string) { d.change(r, name, "ready") }

// change changes the lifecycle of a replica.
func (d *Discovery) change(r *Rig, name, lifecycle string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.instances = append([]Instance(nil), d.instances...)
	for i := range d.instances {
		if d.instances[i].ID != name {
			continue
		}
		d.instances[i].Lifecycle = lifecycle
		if lifecycle == "ready" {
			d.instances[i].StartedAtMs = time.Now().UnixMilli()
		}
	}
	d.generation++
	close(d.changed)
	d.changed = make(chan struct{})
	r.Logf("discovery at %s has: %s is %s", d.Addr, name, lifecycle)
}

// listed returns the entries of the whole list, which has no replica that is gone.
func listed(instances []Instance) []Instance {
	out := []Instance{}
	for _, entry := range instances {
		if entry.Lifecycle != "gone" {
			out = append(out, entry)
		}
	}
	return out
}

// CrowdedFor makes all calls fail after a wait, for some time.
func (d *Discovery) CrowdedFor(callWait, lasting time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.callWait, d.crowdedUntil = callWait, time.Now().Add(lasting)
}

// Close ends the service at an address that is no longer used: it closes its connections after a while.
func (d *Discovery) Close(after time.Duration) {
	time.AfterFunc(after, func() { d.server.Close() })
}

// ServeHTTP answers a call: the whole list, or a watch.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/registry/instances" {
		http.NotFound(w, r)
		return
	}
	d.mu.Lock()
	generation, changed, crowded, callWait := d.generation, d.changed, time.Now().Before(d.crowdedUntil), d.callWait
	d.mu.Unlock()
	if crowded {
		select {
		case <-time.After(callWait):
			http.Error(w, "waited too long", http.StatusServiceUnavailable)
		case <-r.Context().Done():
		}
		return
	}
	since := r.FormValue("since")
	if since == strconv.Itoa(generation) {
		wait, _ := strconv.Atoi(r.FormValue("timeout_ms")) // missing: 0
		select {
		case <-changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	d.mu.Lock()
	out := answer{Generation: d.generation, Reset: true, Instances: listed(d.instances)}
	d.mu.Unlock()
	if since == strconv.Itoa(out.Generation) {
		out.Reset, out.Instances = false, []Instance{}
	}
	_ = json.NewEncoder(w).Encode(out) // fails only if the caller has gone
}

// Arrival is one request that a replica got, at the time of its last byte.
type Arrival struct {
	ID      string
	Replica string
	Number  int // of this id at all replicas, from 1
	At      time.Time
}

// Fleet has what the replicas got.
type Fleet struct {
	rig      *Rig
	mu       sync.Mutex
	arrivals []Arrival
	counts   map[string]int
}

// NewFleet returns a fleet without replicas.
func (r *Rig) NewFleet() *Fleet { return &Fleet{rig: r, counts: map[string]int{}} }

// Arrivals returns what the replicas got until now.
func (f *Fleet) Arrivals() []Arrival {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Arrival(nil), f.arrivals...)
}

func (f *Fleet) add(id, replica string) Arrival {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[id]++
	a := Arrival{ID: id, Replica: replica, Number: f.counts[id], At: time.Now()}
	f.arrivals = append(f.arrivals, a)
	f.rig.Logf("replica %s runs request %s, send %d of it", replica, id, a.Number)
	return a
}

// Replica is a stand-in for a replica.
type Replica struct {
	Name   string
	Addr   string
	fleet  *Fleet
	script func(a Arrival, w http.ResponseWriter, r *http.Request)
}

// StartReplica starts a replica that answers each request with the script.
func (f *Fleet) StartReplica(name string, script func(a Arrival, w http.ResponseWriter, r *http.Request)) (*Replica, error) {
	replica := &Replica{Name: name, fleet: f, script: script}
	var err error
	_, replica.Addr, err = listenAndServe(replica)
	return replica, err
}

// ServeHTTP answers a probe, or a request once its last byte has come.
func (p *Replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/health/live" || r.URL.Path == "/stats":
		fmt.Fprint(w, "busy_reqs=1,x0=0.01")
		return
	case r.URL.Path != "/v1/chat/completions" || r.Header.Get("Req-Id") == "":
		http.NotFound(w, r)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // the request did not come whole
	}
	p.script(p.fleet.add(r.Header.Get("Req-Id"), p.Name), w, r)
}

// Stream answers with a stream: events of one word each, with a pause between two of them, and the usage.
func Stream(w http.ResponseWriter, events int, pause time.Duration, promptTokens, outputTokens int) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for i := range events {
		if i > 0 {
			time.Sleep(pause)
		}
		fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word%d \"},\"finish_reason\":null}]}\n\n", i)
		if control.Flush() != nil {
			return
		}
	}
	fmt.Fprint(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"\"},\"finish_reason\":\"stop\"}]}\n\n")
	fmt.Fprintf(w, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\n", promptTokens, outputTokens)
	fmt.Fprint(w, "data: [DONE]\n\n: Srv-Load: busy_reqs=1,x0=0.01\n\n")
}
