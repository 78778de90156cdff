package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Plan says how a replica answers a request.
type Plan struct {
	FirstToken    time.Duration // from the request's last byte
	Events        int           // of the answer's text
	Gap           time.Duration // between two events
	Prompt        int           // prompt_tokens of the usage; nothing of it was found kept
	OutputPerText int           // completion_tokens for each event of the text
	Declines      bool          // it drains: it turns the request away
}

// Arrival is a request as a replica got it.
type Arrival struct {
	ID   string
	At   time.Time
	Done bool // its answer was written to the end
}

// Replica is a stand-in replica.
type Replica struct {
	ID, Addr string

	c        *Case
	plan     func(id string) Plan
	mu       sync.Mutex
	arrivals []*Arrival
}

// StartReplica starts a replica. plan says how it answers the request of an id.
func (c *Case) StartReplica(id string, plan func(id string) Plan) *Replica {
	r := &Replica{ID: id, c: c, plan: plan}
	r.Addr = c.serve(r)
	return r
}

// serve serves a handler at a free loopback address until the process ends.
func (c *Case) serve(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.Abort("%v", err)
	}
	go func() { _ = http.Serve(l, h) }() // until the process ends
	return l.Addr().String()
}

// Arrivals returns the requests so far.
func (r *Replica) Arrivals() (out []Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.arrivals {
		out = append(out, *a)
	}
	return out
}

// ServeHTTP implements http.Handler with the protocol of replicas.
func (r *Replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	const report = "busy_reqs=1,x0=0.05"
	switch req.URL.Path {
	case "/health/live":
		return
	case "/stats":
		fmt.Fprint(w, report)
		return
	}
	id := req.Header.Get("Req-Id")
	if req.URL.Path != "/v1/chat/completions" || id == "" {
		http.NotFound(w, req)
		return
	}
	if _, err := io.ReadAll(req.Body); err != nil {
		return // it never arrived completely
	}
	arrival := &Arrival{ID: id, At: time.Now()}
	r.mu.Lock()
	r.arrivals = append(r.arrivals, arrival)
	r.mu.Unlock()
	plan := r.plan(id)
	if plan.Declines {
		r.c.Logf("replica %s: turns %s away, told %s", r.ID, id, req.Header.Get("Req-Deadline"))
		w.Header().Set("Srv-Declined", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.c.Logf("replica %s: runs %s, told %s", r.ID, id, req.Header.Get("Req-Deadline"))
	complete := r.answer(w, req, plan, report)
	r.mu.Lock()
	arrival.Done = complete
	r.mu.Unlock()
	r.c.Logf("replica %s: %s written to its end: %t", r.ID, id, complete)
}

// answer streams an answer and reports whether it was written to its end.
func (r *Replica) answer(w http.ResponseWriter, req *http.Request, plan Plan, report string) bool {
	control := http.NewResponseController(w)
	pause := func(d time.Duration) bool {
		select {
		case <-time.After(d):
			return true
		case <-req.Context().Done(): // the gateway has given the attempt up
			return false
		}
	}
	if !pause(plan.FirstToken) {
		return false
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range plan.Events {
		if i > 0 && !pause(plan.Gap) {
			return false
		}
		fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"%s-%d \"},\"finish_reason\":null}]}\n\n", r.ID, i)
		if control.Flush() != nil {
			return false
		}
	}
	_, err := fmt.Fprintf(w, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,"+
		"\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\ndata: [DONE]\n\n: Srv-Load: %s\n\n", plan.Prompt, plan.Events*plan.OutputPerText, report)
	return err == nil && control.Flush() == nil
}

// Entry is a line of discovery's list.
type Entry struct {
	ID          string  `json:"instanceId"`
	Addr        string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	Kind        string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
}

// List is an answer of discovery.
type List struct {
	Generation int64   `json:"generation"`
	Reset      bool    `json:"reset"`
	Instances  []Entry `json:"instances"`
}

// Discovery is a stand-in discovery service, or the agent of one on the gateway's machine.
type Discovery struct {
	Addr string

	c       *Case
	mu      sync.Mutex
	list    List
	silent  bool          // it accepts calls and does not answer
	delay   time.Duration // a call is answered so much later
	changed chan struct{} // closed at the next change
}

// StartDiscovery starts a discovery service that lists the replicas as ready, all in one zone.
func (c *Case) StartDiscovery(replicas ...*Replica) *Discovery {
	d := &Discovery{c: c, list: List{Generation: 41, Reset: true, Instances: []Entry{}}, changed: make(chan struct{})}
	for i, r := range replicas {
		d.list.Instances = append(d.list.Instances, Entry{ID: r.ID, Addr: r.Addr, Zone: "here", Kind: "box", Cell: i, Lifecycle: "ready", Weight: 1})
	}
	d.Addr = c.serve(d)
	return d
}

// ServeHTTP implements http.Handler with the protocol of discovery.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/registry/instances" {
		http.NotFound(w, r)
		return
	}
	d.mu.Lock()
	delay := d.delay
	d.mu.Unlock()
	time.Sleep(delay)
	since, err := strconv.ParseInt(r.FormValue("since"), 10, 64)
	hasSince := err == nil
	wait, _ := strconv.Atoi(r.FormValue("timeout_ms")) // malformed: 0
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		out, changed, silent := d.state()
		unchanged := hasSince && since == out.Generation
		if !silent && (!unchanged || !waiting) {
			if unchanged {
				out.Reset, out.Instances = false, []Entry{}
			}
			_ = json.NewEncoder(w).Encode(out) // a failed write means that the gateway has gone
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// state returns the list, a channel that is closed at the next change, and whether the service is silent.
func (d *Discovery) state() (list List, changed <-chan struct{}, silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list = d.list
	list.Instances = slices.Clone(d.list.Instances)
	return list, d.changed, d.silent
}

func (d *Discovery) change(apply func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	apply()
	close(d.changed)
	d.changed = make(chan struct{})
}

// List returns the list as a gateway has it that has just got it.
func (d *Discovery) List() List {
	list, _, _ := d.state()
	return list
}

// SetLifecycle changes the lifecycle of a replica on the list.
func (d *Discovery) SetLifecycle(id, lifecycle string) {
	d.change(func() {
		d.list.Generation++
		for i := range d.list.Instances {
			if d.list.Instances[i].ID == id {
				d.list.Instances[i].Lifecycle = lifecycle
			}
		}
	})
	d.c.Logf("discovery: %s is %s, generation %d", id, lifecycle, d.List().Generation)
}

// SetDelay sets how much later a call is answered.
func (d *Discovery) SetDelay(delay time.Duration) {
	d.change(func() { d.delay = delay })
}

// SetSilent begins or ends a time in which calls are accepted and not answered.
func (d *Discovery) SetSilent(silent bool) {
	d.change(func() { d.silent = silent })
	d.c.Logf("discovery: silent %t", silent)
}

// Class returns a request class of the settings.
func Class(name, effect string, deadline time.Duration) map[string]any {
	return map[string]any{"name": name, "targetUs": 1_000_000, "deadlineUs": deadline.Microseconds(), "points": 2.0, "lateShare": 0.3,
		"effect": effect, "group": "all", "memorySpanUs": 5_000_000, "streamed": true}
}

// Platform returns the platform's configuration of one gateway, as of a small deployment. change, if it is not nil, may
// change it and its settings.
func (c *Case) Platform(name, listen, discovery string, classes []map[string]any, change func(platform, settings map[string]any)) string {
	perClass := func(v float64) (out []float64) {
		for range classes {
			out = append(out, v)
		}
		return out
	}
	settings := map[string]any{
		"nInstances": 1, "selfIndex": 0, "zone": "here", "zones": []string{"here"}, "kinds": []string{"box"},
		"discovery": "on_request", "weights": "off", "tickUs": 2000, "overShareWorth": 0.05, "family": "llm",
		"feedback": map[string]any{"via": "inline", "names": []string{"busy_reqs", "x0"}},
		"limits": map[string]any{"cancelling": true, "secondCopies": false, "maxAttempts": 3, "mayProbe": true, "peers": false,
			"retryAfter": true, "maxRetryAfterUs": 2_000_000, "connIdleUs": 60_000_000, "connectTimeoutUs": 50_000, "mostHeld": 20_000, "multiplex": 1},
		"rules": map[string]any{"answerSlackUs": 8000, "askWithinUs": 10_000_000, "coldUs": 8_700_000, "fallMultiple": 3.0,
			"startCapacity": 0.3, "stopSendingWithinUs": 2_500_000, "tipAfterUs": 1_500_000},
		"penalties":      map[string]any{"crossZone": 0.022, "handshake": 0.02, "probe": 0.002},
		"requestClasses": classes,
		"extra":          map[string]any{"aimUsPer1000PromptTokens": perClass(40_000), "tokenAimUs": perClass(200_000), "resume": false},
		"tenants":        []map[string]any{{"name": "island-tax", "allowancePerS": 20, "fraction": 1.0}},
	}
	platform := map[string]any{
		"name": name, "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"settings": settings,
	}
	if change != nil {
		change(platform, settings)
	}
	text, err := json.MarshalIndent(platform, "", " ")
	if err != nil {
		c.Abort("%v", err)
	}
	return c.WriteFile(name+".json", string(text))
}
