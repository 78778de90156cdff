// Toy is a fleet to try the gateway with: a registry on 127.0.0.1:8500 and some
// workers that answer every chat with a few words, one event each. On standard
// input, an enter drains the first worker, or readies it again; a number makes
// all workers so many times slower.
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

const registryAddr = "127.0.0.1:8500"

var (
	workers = flag.Int("workers", 3, "how many, at 127.0.0.1:9001 and on")
	pause   = flag.Duration("pause", 150*time.Millisecond, "between two events")
	slots   = flag.Int("slots", 20, "requests at once; beyond them a worker declines")
	factor  atomic.Int64 // how many times slower, in hundredths
)

func main() {
	flag.Parse()
	factor.Store(100)
	reg := &registry{news: make(chan struct{})}
	reg.list.Generation = 1
	for i := range *workers {
		addr := fmt.Sprintf("127.0.0.1:%d", 9001+i)
		name := fmt.Sprintf("toy-%d", i+1)
		reg.list.Endpoints = append(reg.list.Endpoints, httpwire.Endpoint{ID: name, Addr: addr, Zone: "here", Kind: "toy",
			Lifecycle: "ready", Weight: 1})
		go serve(addr, &worker{name: name})
	}
	go reg.switchFirst()
	serve(registryAddr, reg)
}

func serve(addr string, h http.Handler) {
	log.Printf("msg=listening addr=%s", addr)
	log.Fatal(http.ListenAndServe(addr, h))
}

// worker streams a short answer.
type worker struct {
	name  string
	in    atomic.Int64
	count atomic.Int64
}

func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	load := fmt.Sprintf("busy_reqs=%d,x0=%.2f", w.in.Load(), float64(w.in.Load())/float64(*slots))
	switch {
	case r.URL.Path == httpwire.LivePath:
		return
	case r.URL.Path == httpwire.StatsPath:
		fmt.Fprint(out, load)
		return
	case r.URL.Path != httpwire.CompletionsPath || r.Header.Get("Req-Id") == "":
		http.NotFound(out, r)
		return
	}
	defer w.in.Add(-1)
	if w.in.Add(1) > int64(*slots) {
		out.Header().Set("Srv-Declined", "1")
		out.Header().Set("Srv-Load", load)
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if *workers <= 3 {
		log.Printf("msg=request worker=%s id=%q", w.name, r.Header.Get("Req-Id"))
	}
	// A step takes longer the more requests run, as a batch's does.
	wait := func() {
		time.Sleep(time.Duration(float64(*pause) * float64(factor.Load()) / 100 * (1 + float64(w.in.Load())/10)))
	}
	wait()
	out.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(out)
	words := strings.Fields(fmt.Sprintf("Hello from %s, this is my answer number %d.", w.name, w.count.Add(1)))
	for _, word := range words {
		text, _ := json.Marshal(word + " ")
		fmt.Fprintf(out, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%s},\"finish_reason\":null}]}\n\n", text)
		if flush.Flush() != nil {
			return
		}
		wait()
	}
	fmt.Fprintf(out, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":0,\"completion_tokens\":%d,"+
		"\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\ndata: [DONE]\n\n: Srv-Load: %s\n\n", len(words), load)
}

// registry tells the list, and waits for changes where it is asked to.
type registry struct {
	mu   sync.Mutex
	list httpwire.EndpointList
	news chan struct{} // closed at the next change
}

func (g *registry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != httpwire.ListPath {
		http.NotFound(w, r)
		return
	}
	since, err := strconv.ParseInt(r.FormValue("since"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("timeout_ms"))
	g.mu.Lock()
	version, news := g.list.Generation, g.news
	g.mu.Unlock()
	if err == nil && since == version {
		select {
		case <-news:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	out := httpwire.EndpointList{Generation: g.list.Generation, Reset: true, Endpoints: g.list.Endpoints}
	if err == nil && since == out.Generation {
		out.Reset, out.Endpoints = false, nil
	}
	json.NewEncoder(w).Encode(out)
}

// switchFirst drains and readies the first worker by turns.
func (g *registry) switchFirst() {
	for in := bufio.NewScanner(os.Stdin); in.Scan(); {
		if text := strings.TrimSpace(in.Text()); text != "" {
			if v, err := strconv.ParseFloat(text, 64); err == nil && v >= 0.01 && v <= 100 {
				factor.Store(int64(v * 100))
				log.Printf("msg=slow factor=%g", v)
			}
			continue
		}
		g.mu.Lock()
		first := &g.list.Endpoints[0]
		if first.Lifecycle == "ready" {
			first.Lifecycle = "draining"
		} else {
			first.Lifecycle = "ready"
		}
		log.Printf("msg=list worker=%s state=%s", first.ID, first.Lifecycle)
		g.list.Generation++
		close(g.news)
		g.news = make(chan struct{})
		g.mu.Unlock()
	}
}
