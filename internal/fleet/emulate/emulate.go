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
	Registry string // its address
	Workers  []*Worker
	registry *registry
	spec     *model.Spec
	began    time.Time

	// Worked, if set before any request comes, is told of each attempt that ends at a
	// worker, by many tasks at once.
	Worked func(Attempt)
}

// Attempt is a request as a worker met it. Times are the machine's.
type Attempt struct {
	Root, ID, Worker string
	Class            string
	From, To         time.Time // from its last byte until nothing of it runs there
	Until            time.Time // that the gateway said it would wait for the first token
	Declined         bool      // it never ran
	Whole            bool      // the answer was written to its end
}

// Worker is one on a socket.
type Worker struct {
	Name, Addr string
	group      *model.Group
	mu         sync.Mutex
	w          *replica.Worker // nil: killed
	jobs       map[uint64]*job
	nextJob    uint64
	silent     bool
	spoil      bool // answers are not to be read
	reset      bool // connections break in mid-answer
	life       context.Context
	kill       context.CancelFunc
	server     *http.Server
	clock      func() balancer.Micros
	wake       chan struct{}
	fleet      *Fleet
	place      int
}

// job is a request that a worker has.
type job struct {
	id     uint64
	events chan replica.Event // with room for all: a slow reader holds no step up
}

// Start opens a fleet's sockets. The registry listens at an address, such as
// 127.0.0.1:8500 or one with port 0.
func Start(spec *model.Spec, registryAddr string) (*Fleet, error) {
	f := &Fleet{spec: spec, began: time.Now(), registry: &registry{news: make(chan struct{})}}
	f.registry.list.Generation = 1
	for i := range spec.Groups {
		g := &spec.Groups[i]
		for range g.Count {
			w := &Worker{Name: fmt.Sprintf("%s-%d", g.Name, len(f.Workers)+1), Addr: "127.0.0.1:0", group: g, clock: f.now, fleet: f, place: len(f.Workers)}
			if err := w.start(-3600_000_000); err != nil {
				f.Close()
				return nil, err
			}
			f.Workers = append(f.Workers, w)
			f.registry.list.Endpoints = append(f.registry.list.Endpoints, w.instance("ready", 0))
		}
	}
	l, err := loopback(registryAddr)
	if err != nil {
		f.Close()
		return nil, err
	}
	f.Registry = l.Addr().String()
	f.registry.server = &http.Server{Handler: f.registry, ReadHeaderTimeout: 5 * time.Second}
	go f.registry.server.Serve(l)
	return f, nil
}

// errAddr says that an address is not of this machine alone.
var errAddr = errors.New("expected a loopback address and port, such as 127.0.0.1:8500")

func loopback(addr string) (net.Listener, error) {
	host, _, err := net.SplitHostPort(addr)
	if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
		return nil, fmt.Errorf("%s: %w", addr, errAddr)
	}
	return net.Listen("tcp", addr)
}

func (f *Fleet) now() balancer.Micros { return time.Since(f.began).Microseconds() }

// Close ends all.
func (f *Fleet) Close() {
	for _, w := range f.Workers {
		w.stop()
	}
	if f.registry.server != nil {
		f.registry.server.Close()
	}
}

func (w *Worker) instance(state string, startedMs int64) httpwire.Endpoint {
	return httpwire.Endpoint{ID: w.Name, Addr: w.Addr, Zone: w.group.Zone, Kind: w.group.Name, Lifecycle: state, Weight: w.group.Weight, StartedAtMs: startedMs}
}

// start brings the worker up, at its address of before if it had one.
func (w *Worker) start(takesWork balancer.Micros) error {
	var l net.Listener
	var err error
	// The port may be some other connection's for a moment.
	for end := time.Now().Add(2 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if l, err = loopback(w.Addr); err == nil || time.Now().After(end) {
			break
		}
	}
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Addr = l.Addr().String()
	w.w, w.jobs, w.wake = replica.New(w.group.Params, takesWork), map[uint64]*job{}, make(chan struct{}, 1)
	w.w.Each = true
	w.life, w.kill = context.WithCancel(context.Background())
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: 5 * time.Second, BaseContext: func(net.Listener) context.Context { return w.life }}
	go w.server.Serve(l)
	go w.run(w.life, w.wake)
	return nil
}

func (w *Worker) stop() {
	w.mu.Lock()
	server, kill := w.server, w.kill
	w.w = nil
	w.mu.Unlock()
	if server != nil {
		kill()
		server.Close()
	}
}

// run ends steps when they end.
func (w *Worker) run(life context.Context, wake chan struct{}) {
	t := time.NewTimer(time.Hour)
	defer t.Stop()
	for {
		w.mu.Lock()
		wait := time.Hour
		for w.w != nil {
			at := w.w.Next()
			if at == 0 {
				break
			}
			now := w.clock()
			if at > now {
				wait = time.Duration(at-now) * time.Microsecond
				break
			}
			// Ended at its own time, not when this task was woken: the model's speed.
			for _, e := range w.w.Advance(at) {
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

func (w *Worker) load() string {
	if w.w == nil {
		return ""
	}
	running, waiting, memory, unread := w.w.Load()
	return fmt.Sprintf("busy_reqs=%d,pending=%d,x0=%.4f,x1=%.3f", running+waiting, waiting, memory, float64(unread)/1000)
}

func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	silent := w.silent
	load := w.load()
	w.mu.Unlock()
	if silent {
		if r.URL.Path == httpwire.CompletionsPath && w.fleet.Worked != nil {
			id := r.Header.Get("Req-Id")
			met := Attempt{ID: id, Root: rootOf(r.Header, id), Worker: w.Name, From: time.Now(), Declined: true}
			defer func() { met.To = time.Now(); w.fleet.Worked(met) }()
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
		w.serveJob(out, r)
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

func (w *Worker) serveJob(out http.ResponseWriter, r *http.Request) {
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
	met := Attempt{ID: in.ID, Root: rootOf(r.Header, in.ID), Worker: w.Name, Class: q.Class, From: time.Now(), Until: time.Now().Add(time.Duration(in.Timeout) * time.Microsecond)}
	defer func() {
		if met.To = time.Now(); w.fleet.Worked != nil {
			w.fleet.Worked(met)
		}
	}()
	w.mu.Lock()
	if w.w == nil {
		w.mu.Unlock()
		return
	}
	w.nextJob++
	j := &job{w.nextJob, make(chan replica.Event, made+3)}
	taken := w.w.Offer(w.clock(), replica.Job{ID: j.id, Prompt: max(1, q.PromptTokens), Out: made, Prefix: q.Prefix, Shared: min(q.PrefixTokens, q.PromptTokens), Session: q.Session})
	load := w.load()
	spoil, reset := w.spoil, w.reset
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
			if w.w != nil {
				w.w.Cancel(j.id)
			}
		}
		w.mu.Unlock()
	}()
	met.Whole = w.answer(out, r, j, q.PromptTokens, spoil, reset)
}

// answer streams a job's tokens as they are made, and tells whether it came to the end.
func (w *Worker) answer(out http.ResponseWriter, r *http.Request, j *job, prompt int, spoil, reset bool) (whole bool) {
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
		case replica.First:
			kept = e.Kept
		case replica.Token:
			if reset && e.Made > 2 {
				if c, _, err := flush.Hijack(); err == nil {
					if tcp, ok := c.(*net.TCPConn); ok {
						tcp.SetLinger(0)
					}
					c.Close()
				}
				return false
			}
			if spoil && e.Made > 2 {
				fmt.Fprint(out, "data: {\"choices\":[{\"index\":0,\"del\n\n")
			} else {
				fmt.Fprintf(out, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"%s \"},\"finish_reason\":null}]}\n\n", word(e.Made))
			}
			if flush.Flush() != nil {
				return false
			}
		case replica.Done:
			w.mu.Lock()
			load := w.load()
			w.mu.Unlock()
			fmt.Fprintf(out, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"prompt_tokens_details\":{\"cached_tokens\":%d}}}\n\n"+
				"data: [DONE]\n\n: Srv-Load: %s\n\n", prompt, e.Made, kept, load)
			return true
		}
	}
}

func word(n int) string { return "word" + strconv.Itoa(n) }

// registry tells the list, and waits for changes where it is asked to.
type registry struct {
	mu     sync.Mutex
	list   httpwire.EndpointList
	news   chan struct{} // closed at the next change
	deaf   bool
	server *http.Server
}

func (g *registry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != httpwire.ListPath {
		http.NotFound(w, r)
		return
	}
	since, err := strconv.ParseInt(r.FormValue("since"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("timeout_ms"))
	g.mu.Lock()
	version, news, deaf := g.list.Generation, g.news, g.deaf
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

func (g *registry) change(do func(*httpwire.EndpointList)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := g.list
	list.Endpoints = append([]httpwire.Endpoint(nil), list.Endpoints...)
	do(&list)
	list.Generation++
	g.list = list
	close(g.news)
	g.news = make(chan struct{})
}

// Fault begins one now, and End ends it.
func (f *Fleet) Fault(x model.Fault) { f.set(x, true) }

// End ends a fault.
func (f *Fleet) End(x model.Fault) { f.set(x, false) }

func (f *Fleet) set(x model.Fault, on bool) {
	if x.Kind == "registry" {
		f.registry.mu.Lock()
		f.registry.deaf = on
		f.registry.mu.Unlock()
		return
	}
	for i, w := range f.Workers {
		if x.Worker >= 0 && x.Worker != i || x.Zone != "" && x.Zone != w.group.Zone {
			continue
		}
		switch x.Kind {
		case "kill":
			f.killed(w, on)
			continue
		case "lose":
			f.lost(w, on, time.Duration(x.Factor*float64(time.Second)))
			continue
		case "drain":
			state := "ready"
			if on {
				state = "draining"
			}
			f.registry.change(func(l *httpwire.EndpointList) { l.Endpoints[i].Lifecycle = state })
			continue
		}
		w.mu.Lock()
		switch x.Kind {
		case "slow":
			if w.w != nil {
				w.w.Slow(map[bool]float64{true: x.Factor, false: 1}[on])
			}
		case "silent":
			w.silent = on
		case "flush":
			if on && w.w != nil {
				w.w.Flush()
			}
		case "spoil":
			w.spoil = on
		case "reset":
			w.reset = on
		}
		w.mu.Unlock()
	}
}

// lost takes a worker's machine away without a word, or brings it back cold with what was
// open to it reset. A connection is taken on still, for a loopback address cannot be
// silent before that.
func (f *Fleet) lost(w *Worker, on bool, told time.Duration) {
	w.mu.Lock()
	w.silent = on
	w.mu.Unlock()
	if !on {
		w.stop()
		f.killed(w, false)
		return
	}
	time.AfterFunc(told, func() {
		w.mu.Lock()
		still := w.silent
		w.mu.Unlock()
		if still {
			f.registry.change(func(l *httpwire.EndpointList) { l.Endpoints[w.place].Lifecycle = "gone" })
		}
	})
}

// killed ends a worker at once, or brings it back cold at the same address.
func (f *Fleet) killed(w *Worker, on bool) {
	i := w.place
	if on {
		w.stop()
		time.AfterFunc(500*time.Millisecond, func() { // the registry learns of it a little later
			w.mu.Lock()
			gone := w.w == nil
			w.mu.Unlock()
			if gone {
				f.registry.change(func(l *httpwire.EndpointList) { l.Endpoints[i].Lifecycle = "gone" })
			}
		})
		return
	}
	if err := w.start(f.now() + w.group.Params.Start); err != nil {
		return // its port was taken: it stays gone
	}
	began := time.Now().UnixMilli()
	time.AfterFunc(time.Duration(w.group.Params.Start)*time.Microsecond, func() {
		f.registry.change(func(l *httpwire.EndpointList) { l.Endpoints[i] = w.instance("ready", began) })
	})
}
