// Toy is a fleet to try the gateway with: a registry on 127.0.0.1:8500 and
// three workers that answer every chat with a few words, one event each.
// An enter on standard input drains the first worker, or readies it again.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"log"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"archknot/internal/wire/socket"
)

const registryAddr = "127.0.0.1:8500"

var workerAddrs = []string{"127.0.0.1:9001", "127.0.0.1:9002", "127.0.0.1:9003"}

func main() {
	reg := &registry{news: make(chan struct{})}
	reg.list.Generation = 1
	for i, addr := range workerAddrs {
		name := fmt.Sprintf("toy-%d", i+1)
		reg.list.Instances = append(reg.list.Instances, socket.Instance{ID: name, Addr: addr, Zone: "here", Kind: "toy",
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
	load := fmt.Sprintf("busy_reqs=%d,x0=%.2f", w.in.Load(), float64(w.in.Load())/20)
	switch {
	case r.URL.Path == socket.LivePath:
		return
	case r.URL.Path == socket.StatsPath:
		fmt.Fprint(out, load)
		return
	case r.URL.Path != socket.JobPath || r.Header.Get("Req-Id") == "":
		http.NotFound(out, r)
		return
	}
	w.in.Add(1)
	defer w.in.Add(-1)
	log.Printf("msg=request worker=%s id=%q", w.name, r.Header.Get("Req-Id"))
	out.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(out)
	words := strings.Fields(fmt.Sprintf("Hello from %s, this is my answer number %d.", w.name, w.count.Add(1)))
	for _, word := range words {
		text, _ := json.Marshal(word + " ")
		fmt.Fprintf(out, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%s},\"finish_reason\":null}]}\n\n", text)
		if flush.Flush() != nil {
			return
		}
		time.Sleep(150 * time.Millisecond)
	}
	fmt.Fprintf(out, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":0,\"completion_tokens\":%d,"+
		"\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\ndata: [DONE]\n\n: Srv-Load: %s\n\n", len(words), load)
}

// registry tells the list, and waits for changes where it is asked to.
type registry struct {
	mu   sync.Mutex
	list socket.List
	news chan struct{} // closed at the next change
}

func (g *registry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != socket.ListPath {
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
	out := socket.List{Generation: g.list.Generation, Reset: true, Instances: g.list.Instances}
	if err == nil && since == out.Generation {
		out.Reset, out.Instances = false, nil
	}
	json.NewEncoder(w).Encode(out)
}

// switchFirst drains and readies the first worker by turns.
func (g *registry) switchFirst() {
	for in := bufio.NewScanner(os.Stdin); in.Scan(); {
		g.mu.Lock()
		first := &g.list.Instances[0]
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
