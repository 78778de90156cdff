// Package emulate is the fleet model on real loopback sockets in real time: its
// workers are those of package worker, driven by the clock, and answer as the
// platform's do; a registry lists them. The whole gateway meets them. It listens on
// loopback addresses only.
package emulate

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"archknot/balancer"
	"archknot/internal/fleet/model"
	"archknot/internal/fleet/replica"
	"archknot/internal/httpwire"
)

// Fleet is a registry and workers that run until Close.
type Fleet struct {
	DiscoveryAddr string // its address
	Replicas      []*Replica
	discovery     *discoveryServer
	spec          *model.Spec
	startedAt     time.Time

	// OnAttemptEnd, if set before any request comes, is told of each attempt that ends at a
	// worker, by many tasks at once.
	OnAttemptEnd func(ReplicaAttempt)
}

// ReplicaAttempt is a request as a worker met it. Times are the machine's.
type ReplicaAttempt struct {
	RootID, ID, Replica string
	Class               string
	ReceivedAt, EndedAt time.Time // from its last byte until nothing of it runs there
	FirstTokenBy        time.Time // that the gateway said it would wait for the first token
	Declined            bool      // it never ran
	Complete            bool      // the answer was written to its end
}

// Replica is one on a socket.
type Replica struct {
	Name, Addr     string
	group          *model.Group
	mu             sync.Mutex
	simulator      *replica.Simulator // nil: killed
	jobs           map[uint64]*job
	nextJob        uint64
	silent         bool
	malformed      bool // answers are not to be read
	resetMidAnswer bool // connections break in mid-answer
	ctx            context.Context
	cancel         context.CancelFunc
	server         *http.Server
	clock          func() balancer.Micros
	wake           chan struct{}
	fleet          *Fleet
	index          int
}

// job is a request that a worker has.
type job struct {
	id     uint64
	events chan replica.Event // with room for all: a slow reader holds no step up
}

// Start opens a fleet's sockets. The registry listens at an address, such as
// 127.0.0.1:8500 or one with port 0.
func Start(spec *model.Spec, registryAddr string) (*Fleet, error) {
	f := &Fleet{spec: spec, startedAt: time.Now(), discovery: &discoveryServer{changed: make(chan struct{})}}
	f.discovery.list.Generation = 1
	for i := range spec.Groups {
		g := &spec.Groups[i]
		for range g.Count {
			w := &Replica{Name: fmt.Sprintf("%s-%d", g.Name, len(f.Replicas)+1), Addr: "127.0.0.1:0", group: g, clock: f.now, fleet: f, index: len(f.Replicas)}
			if err := w.start(-3600_000_000); err != nil {
				f.Close()
				return nil, err
			}
			f.Replicas = append(f.Replicas, w)
			f.discovery.list.Endpoints = append(f.discovery.list.Endpoints, w.listEntry("ready", 0))
		}
	}
	l, err := listenLoopback(registryAddr)
	if err != nil {
		f.Close()
		return nil, err
	}
	f.DiscoveryAddr = l.Addr().String()
	f.discovery.server = &http.Server{Handler: f.discovery, ReadHeaderTimeout: 5 * time.Second}
	go f.discovery.server.Serve(l)
	return f, nil
}

// errNotLoopback says that an address is not of this machine alone.
var errNotLoopback = errors.New("expected a loopback address and port, such as 127.0.0.1:8500")

func listenLoopback(addr string) (net.Listener, error) {
	host, _, err := net.SplitHostPort(addr)
	if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
		return nil, fmt.Errorf("%s: %w", addr, errNotLoopback)
	}
	return net.Listen("tcp", addr)
}

func (f *Fleet) now() balancer.Micros { return time.Since(f.startedAt).Microseconds() }

// Close ends all.
func (f *Fleet) Close() {
	for _, w := range f.Replicas {
		w.stop()
	}
	if f.discovery.server != nil {
		f.discovery.server.Close()
	}
}

func (w *Replica) listEntry(state string, startedMs int64) httpwire.Endpoint {
	return httpwire.Endpoint{ID: w.Name, Addr: w.Addr, Zone: w.group.Zone, Kind: w.group.Name, Lifecycle: state, Weight: w.group.Weight, StartedAtMs: startedMs}
}

// start brings the worker up, at its address of before if it had one.
func (w *Replica) start(takesWork balancer.Micros) error {
	var l net.Listener
	var err error
	// The port may be some other connection's for a moment.
	for end := time.Now().Add(2 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if l, err = listenLoopback(w.Addr); err == nil || time.Now().After(end) {
			break
		}
	}
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Addr = l.Addr().String()
	w.simulator, w.jobs, w.wake = replica.New(w.group.Params, takesWork), map[uint64]*job{}, make(chan struct{}, 1)
	w.simulator.EmitTokens = true
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: 5 * time.Second, BaseContext: func(net.Listener) context.Context { return w.ctx }}
	go w.server.Serve(l)
	go w.runSteps(w.ctx, w.wake)
	return nil
}

func (w *Replica) stop() {
	w.mu.Lock()
	server, kill := w.server, w.cancel
	w.simulator = nil
	w.mu.Unlock()
	if server != nil {
		kill()
		server.Close()
	}
}

// runSteps ends steps when they end.
func (w *Replica) runSteps(life context.Context, wake chan struct{}) {
	t := time.NewTimer(time.Hour)
	defer t.Stop()
	for {
		w.mu.Lock()
		wait := time.Hour
		for w.simulator != nil {
			at := w.simulator.StepEnd()
			if at == 0 {
				break
			}
			now := w.clock()
			if at > now {
				wait = time.Duration(at-now) * time.Microsecond
				break
			}
			// Ended at its own time, not when this task was woken: the model's speed.
			for _, e := range w.simulator.Advance(at) {
				if j := w.jobs[e.Job]; j != nil {
					j.events <- e
				}
			}
		}
		w.mu.Unlock()
		t.Reset(wait)
		select {
		case <-t.C:
		case <-wake:
		case <-life.Done():
			return
		}
	}
}

func (w *Replica) loadHeader() string {
	if w.simulator == nil {
		return ""
	}
	running, waiting, memory, unread := w.simulator.Load()
	return fmt.Sprintf("busy_reqs=%d,pending=%d,x0=%.4f,x1=%.3f", running+waiting, waiting, memory, float64(unread)/1000)
}

func (w *Replica) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	silent := w.silent
	load := w.loadHeader()
	w.mu.Unlock()
	if silent {
		if r.URL.Path == httpwire.CompletionsPath && w.fleet.OnAttemptEnd != nil {
			id := r.Header.Get("Req-Id")
			met := ReplicaAttempt{ID: id, RootID: rootOf(r.Header, id), Replica: w.Name, ReceivedAt: time.Now(), Declined: true}
			defer func() { met.EndedAt = time.Now(); w.fleet.OnAttemptEnd(met) }()
			_, _ = io.Copy(io.Discard, http.MaxBytesReader(out, r.Body, httpwire.MaxBodyBytes)) // then an end of the connection is noticed
		}
		select { // half-open: it takes all and says nothing
		case <-r.Context().Done():
		case <-time.After(time.Minute):
		}
		return
	}
	switch r.URL.Path {
	case httpwire.LivePath:
	case httpwire.StatsPath:
		io.WriteString(out, load)
	case httpwire.CompletionsPath:
		w.serveCompletion(out, r)
	default:
		http.NotFound(out, r)
	}
}

// rootOf is the id of a request's first try: its own, unless it asks for another's rest.
func rootOf(h http.Header, id string) string {
	if rest, asked, err := httpwire.ParseResume(h); asked && err == nil {
		return rest.ID
	}
	return id
}

func (w *Replica) serveCompletion(out http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(out, r.Body, httpwire.MaxBodyBytes))
	if err != nil {
		http.Error(out, err.Error(), http.StatusBadRequest)
		return
	}
	in, err := httpwire.ParseRequest(r.Header)
	if err != nil {
		http.Error(out, err.Error(), http.StatusBadRequest)
		return
	}
	in.EstimatePrompt(len(body))
	q := &in.Request
	// What it will make is the client's own secret, told beside the request.
	made, err := strconv.Atoi(r.Header.Get("X-Emulate-Out"))
	if err != nil || made < 1 || made > 1<<20 {
		made = max(1, q.MaxTokens/4)
	}
	met := ReplicaAttempt{ID: in.ID, RootID: rootOf(r.Header, in.ID), Replica: w.Name, Class: q.Class, ReceivedAt: time.Now(), FirstTokenBy: time.Now().Add(time.Duration(in.Timeout) * time.Microsecond)}
	defer func() {
		if met.EndedAt = time.Now(); w.fleet.OnAttemptEnd != nil {
			w.fleet.OnAttemptEnd(met)
		}
	}()
	w.mu.Lock()
	if w.simulator == nil {
		w.mu.Unlock()
		return
	}
	w.nextJob++
	j := &job{w.nextJob, make(chan replica.Event, made+3)}
	taken := w.simulator.Offer(w.clock(), replica.Job{ID: j.id, PromptTokens: max(1, q.PromptTokens), OutputTokens: made, Prefix: q.Prefix, PrefixTokens: min(q.PrefixTokens, q.PromptTokens), Session: q.Session})
	load := w.loadHeader()
	spoil, reset := w.malformed, w.resetMidAnswer
	if taken {
		w.jobs[j.id] = j
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
	w.mu.Unlock()
	if met.Declined = !taken; !taken {
		out.Header().Set("Srv-Declined", "1")
		out.Header().Set("Srv-Load", load)
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		w.mu.Lock()
		if w.jobs[j.id] == j {
			delete(w.jobs, j.id)
			if w.simulator != nil {
				w.simulator.Cancel(j.id)
			}
		}
		w.mu.Unlock()
	}()
	met.Complete = w.streamTokens(out, r, j, q.PromptTokens, spoil, reset)
}

// streamTokens streams a job's tokens as they are made, and tells whether it came to the end.
func (w *Replica) streamTokens(out http.ResponseWriter, r *http.Request, j *job, prompt int, spoil, reset bool) (whole bool) {
	flush := http.NewResponseController(out)
	begun, kept := false, 0
	for {
		var e replica.Event
		select {
		case e = <-j.events:
		case <-r.Context().Done():
			return false
		}
		w.mu.Lock()
		silent := w.silent
		w.mu.Unlock()
		if silent { // an answer in the midst falls silent too
			<-r.Context().Done()
			return false
		}
		if !begun {
			begun = true
			out.Header().Set("Content-Type", "text/event-stream")
		}
		switch e.Kind {
		case replica.FirstToken:
			kept = e.CachedTokens
		case replica.TokenMade:
			if reset && e.OutputTokens > 2 {
				if c, _, err := flush.Hijack(); err == nil {
					if tcp, ok := c.(*net.TCPConn); ok {
						tcp.SetLinger(0)
					}
					c.Close()
				}
				return false
			}
			if spoil && e.OutputTokens > 2 {
				fmt.Fprint(out, "data: {\"choices\":[{\"index\":0,\"del\n\n")
			} else {
				fmt.Fprintf(out, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"%s \"},\"finish_reason\":null}]}\n\n", tokenText(e.OutputTokens))
			}
			if flush.Flush() != nil {
				return false
			}
		case replica.Completed:
			w.mu.Lock()
			load := w.loadHeader()
			w.mu.Unlock()
			fmt.Fprintf(out, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"prompt_tokens_details\":{\"cached_tokens\":%d}}}\n\n"+
				"data: [DONE]\n\n: Srv-Load: %s\n\n", prompt, e.OutputTokens, kept, load)
			return true
		}
	}
}

func tokenText(n int) string { return "word" + strconv.Itoa(n) }

// discoveryServer tells the list, and waits for changes where it is asked to.
type discoveryServer struct {
	mu           sync.Mutex
	list         httpwire.EndpointList
	changed      chan struct{} // closed at the next change
	unresponsive bool
	server       *http.Server
}

func (g *discoveryServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != httpwire.ListPath {
		http.NotFound(w, r)
		return
	}
	since, err := strconv.ParseInt(r.FormValue("since"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("timeout_ms"))
	g.mu.Lock()
	version, news, deaf := g.list.Generation, g.changed, g.unresponsive
	g.mu.Unlock()
	if deaf {
		select {
		case <-r.Context().Done():
		case <-time.After(time.Minute):
		}
		return
	}
	if err == nil && since == version {
		select {
		case <-news:
		case <-time.After(time.Duration(min(wait, 60_000)) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	g.mu.Lock()
	out := httpwire.EndpointList{Generation: g.list.Generation, Reset: true, Endpoints: g.list.Endpoints}
	if err == nil && since == out.Generation {
		out.Reset, out.Endpoints = false, nil
	}
	var b bytes.Buffer
	json.NewEncoder(&b).Encode(out)
	g.mu.Unlock()
	w.Write(b.Bytes())
}

func (g *discoveryServer) update(do func(*httpwire.EndpointList)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := g.list
	list.Endpoints = append([]httpwire.Endpoint(nil), list.Endpoints...)
	do(&list)
	list.Generation++
	g.list = list
	close(g.changed)
	g.changed = make(chan struct{})
}

// StartFault begins one now, and End ends it.
func (f *Fleet) StartFault(x model.Fault) { f.setFault(x, true) }

// EndFault ends a fault.
func (f *Fleet) EndFault(x model.Fault) { f.setFault(x, false) }

func (f *Fleet) setFault(x model.Fault, on bool) {
	if x.Kind == "registry" {
		f.discovery.mu.Lock()
		f.discovery.unresponsive = on
		f.discovery.mu.Unlock()
		return
	}
	for i, w := range f.Replicas {
		if x.Replica >= 0 && x.Replica != i || x.Zone != "" && x.Zone != w.group.Zone {
			continue
		}
		switch x.Kind {
		case "kill":
			f.killOrRestart(w, on)
			continue
		case "lose":
			f.loseMachine(w, on, time.Duration(x.Factor*float64(time.Second)))
			continue
		case "drain":
			state := "ready"
			if on {
				state = "draining"
			}
			f.discovery.update(func(l *httpwire.EndpointList) { l.Endpoints[i].Lifecycle = state })
			continue
		}
		w.mu.Lock()
		switch x.Kind {
		case "slow":
			if w.simulator != nil {
				w.simulator.SetSlowdown(map[bool]float64{true: x.Factor, false: 1}[on])
			}
		case "silent":
			w.silent = on
		case "flush":
			if on && w.simulator != nil {
				w.simulator.FlushCache()
			}
		case "spoil":
			w.malformed = on
		case "reset":
			w.resetMidAnswer = on
		}
		w.mu.Unlock()
	}
}

// loseMachine takes a worker's machine away without a word, or brings it back cold with what was
// open to it reset. A connection is taken on still, for a loopback address cannot be
// silent before that.
func (f *Fleet) loseMachine(w *Replica, on bool, told time.Duration) {
	w.mu.Lock()
	w.silent = on
	w.mu.Unlock()
	if !on {
		w.stop()
		f.killOrRestart(w, false)
		return
	}
	time.AfterFunc(told, func() {
		w.mu.Lock()
		still := w.silent
		w.mu.Unlock()
		if still {
			f.discovery.update(func(l *httpwire.EndpointList) { l.Endpoints[w.index].Lifecycle = "gone" })
		}
	})
}

// killOrRestart ends a worker at once, or brings it back cold at the same address.
func (f *Fleet) killOrRestart(w *Replica, on bool) {
	i := w.index
	if on {
		w.stop()
		time.AfterFunc(500*time.Millisecond, func() { // the registry learns of it a little later
			w.mu.Lock()
			gone := w.simulator == nil
			w.mu.Unlock()
			if gone {
				f.discovery.update(func(l *httpwire.EndpointList) { l.Endpoints[i].Lifecycle = "gone" })
			}
		})
		return
	}
	if err := w.start(f.now() + w.group.Params.StartupTime); err != nil {
		return // its port was taken: it stays gone
	}
	began := time.Now().UnixMilli()
	time.AfterFunc(time.Duration(w.group.Params.StartupTime)*time.Microsecond, func() {
		f.discovery.update(func(l *httpwire.EndpointList) { l.Endpoints[i] = w.listEntry("ready", began) })
	})
}
