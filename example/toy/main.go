// Command toy is a fleet to try the gateway with: discovery on 127.0.0.1:8500, and replicas that answer every chat
// request with a short sentence, one event per word. On standard input, an empty line drains the first replica or
// makes it ready again; a number sets the factor by which all replicas are slowed down.
package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"log"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"archknot/internal/httpwire"
)

const (
	discoveryAddr    = "127.0.0.1:8500"
	firstReplicaPort = 9001
)

var (
	replicas = flag.Int("workers", 3, "number of replicas, at 127.0.0.1:9001 and the following ports")
	pause    = flag.Duration("pause", 150*time.Millisecond, "between two events")
	slots    = flag.Int("slots", 20, "requests at once; beyond them a replica sheds requests")
	slowdown atomic.Int64 // factor for the pause, in hundredths
)

func main() {
	flag.Parse()
	slowdown.Store(100)
	d := &discovery{changed: make(chan struct{})}
	d.list.Generation = 1
	for i := range *replicas {
		addr := fmt.Sprintf("127.0.0.1:%d", firstReplicaPort+i)
		name := fmt.Sprintf("toy-%d", i+1)
		d.list.Endpoints = append(d.list.Endpoints, httpwire.Endpoint{ID: name, Addr: addr, Zone: "here", Kind: "toy",
			Lifecycle: "ready", Weight: 1})
		go serve(addr, &replica{name: name})
	}
	go d.readCommands()
	serve(discoveryAddr, d)
}

// serve serves h at an address. A failure ends the program.
func serve(addr string, h http.Handler) {
	log.Printf("msg=listening addr=%s", addr)
	log.Fatal(http.ListenAndServe(addr, h))
}

// replica is a fake replica that streams short answers.
type replica struct {
	name     string
	inFlight atomic.Int64
	answers  atomic.Int64
}

// ServeHTTP implements http.Handler with the platform's protocol.
func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	load := fmt.Sprintf("busy_reqs=%d,x0=%.2f", r.inFlight.Load(), float64(r.inFlight.Load())/float64(*slots))
	switch {
	case req.URL.Path == httpwire.LivePath:
		return
	case req.URL.Path == httpwire.StatsPath:
		fmt.Fprint(w, load)
		return
	case req.URL.Path != httpwire.CompletionsPath || req.Header.Get("Req-Id") == "":
		http.NotFound(w, req)
		return
	}
	defer r.inFlight.Add(-1)
	if r.inFlight.Add(1) > int64(*slots) {
		w.Header().Set("Srv-Declined", "1")
		w.Header().Set("Srv-Load", load)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if *replicas <= 3 {
		log.Printf("msg=request replica=%s id=%q", r.name, req.Header.Get("Req-Id"))
	}
	r.streamAnswer(w, load)
}

// streamAnswer streams an answer, one event per word.
func (r *replica) streamAnswer(w http.ResponseWriter, load string) {
	r.pauseStep()
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	words := strings.Fields(fmt.Sprintf("Hello from %s, this is my answer number %d.", r.name, r.answers.Add(1)))
	for _, word := range words {
		text, _ := json.Marshal(word + " ") // a string can always be encoded
		fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%s},\"finish_reason\":null}]}\n\n", text)
		if control.Flush() != nil {
			return
		}
		r.pauseStep()
	}
	fmt.Fprintf(w, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":0,\"completion_tokens\":%d,"+
		"\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\ndata: [DONE]\n\n: Srv-Load: %s\n\n", len(words), load)
}

// pauseStep waits for the duration of a batch step, which grows with the number of requests in flight.
func (r *replica) pauseStep() {
	time.Sleep(time.Duration(float64(*pause) * float64(slowdown.Load()) / 100 * (1 + float64(r.inFlight.Load())/10)))
}

// discovery serves the endpoint list, with long polls that wait for changes.
type discovery struct {
	mu      sync.Mutex
	list    httpwire.EndpointList
	changed chan struct{} // closed at the next change
}

// ServeHTTP answers a poll. A poll that has the current generation waits for a change or its timeout.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != httpwire.ListPath {
		http.NotFound(w, r)
		return
	}
	since, err := strconv.ParseInt(r.FormValue("since"), 10, 64)
	hasSince := err == nil
	waitMs, _ := strconv.Atoi(r.FormValue("timeout_ms")) // missing or malformed: 0
	d.mu.Lock()
	generation, changed := d.list.Generation, d.changed
	d.mu.Unlock()
	if hasSince && since == generation {
		select {
		case <-changed:
		case <-time.After(time.Duration(waitMs) * time.Millisecond):
		case <-r.Context().Done():
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	out := httpwire.EndpointList{Generation: d.list.Generation, Reset: true, Endpoints: d.list.Endpoints}
	if hasSince && since == out.Generation {
		out.Reset, out.Endpoints = false, nil
	}
	_ = json.NewEncoder(w).Encode(out) // fails only if the client has disconnected
}

// readCommands reads and executes commands from standard input until its end.
func (d *discovery) readCommands() {
	for in := bufio.NewScanner(os.Stdin); in.Scan(); {
		text := strings.TrimSpace(in.Text())
		if text == "" {
			d.toggleFirst()
			continue
		}
		if v, err := strconv.ParseFloat(text, 64); err == nil && v >= 0.01 && v <= 100 {
			slowdown.Store(int64(v * 100))
			log.Printf("msg=slow factor=%g", v)
		}
	}
}

// toggleFirst switches the first replica between ready and draining, and wakes waiting polls.
func (d *discovery) toggleFirst() {
	d.mu.Lock()
	defer d.mu.Unlock()
	first := &d.list.Endpoints[0]
	if first.Lifecycle == "ready" {
		first.Lifecycle = "draining"
	} else {
		first.Lifecycle = "ready"
	}
	log.Printf("msg=list replica=%s state=%s", first.ID, first.Lifecycle)
	d.list.Generation++
	close(d.changed)
	d.changed = make(chan struct{})
}
