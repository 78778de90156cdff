package scaletest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"archknot/internal/config"
	"archknot/internal/httpwire"
)

// DiscoverySpec is what the stand-in for discovery starts with.
type DiscoverySpec struct {
	Endpoints []httpwire.Endpoint `json:"instances"`
	Framing   string              `json:"framing"`
}

// discovery is a stand-in for discovery: whole lists, changes since a version, and watches, in any
// legal framing. While it is out it accepts nothing.
type discovery struct {
	framing   string
	server    *http.Server
	meter     connMeter
	listCalls atomic.Int64

	mu         sync.Mutex
	version    int64
	endpoints  []httpwire.Endpoint
	changedIn  []int64       // the version of each instance's last change
	nextChange chan struct{} // closed at the next change
}

func startDiscovery(spec DiscoverySpec) (*discovery, Greeting, error) {
	d := &discovery{framing: spec.Framing, version: 1, endpoints: spec.Endpoints, changedIn: make([]int64, len(spec.Endpoints)), nextChange: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, Greeting{}, err
	}
	d.server = &http.Server{Handler: d}
	go d.server.Serve(countedListener{l, &d.meter})
	return d, Greeting{Address: l.Addr().String()}, nil
}

func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != httpwire.ListPath {
		http.NotFound(w, r)
		return
	}
	d.listCalls.Add(1)
	since, err := strconv.ParseInt(r.FormValue("since"), 10, 64)
	if err != nil {
		since = httpwire.NoGeneration
	}
	wait, _ := strconv.Atoi(r.FormValue("timeout_ms"))
	if !d.waitForChange(r.Context(), since, time.Duration(min(wait, 60_000))*time.Millisecond) {
		return
	}
	d.writeList(w, d.listSince(since))
}

// waitForChange waits until there is a later version, or for as long as the caller allows.
func (d *discovery) waitForChange(ctx context.Context, since int64, wait time.Duration) bool {
	d.mu.Lock()
	version, news := d.version, d.nextChange
	d.mu.Unlock()
	if since != version {
		return true
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-news:
	case <-t.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// listSince is the whole list, or what has changed since a version.
func (d *discovery) listSince(since int64) httpwire.EndpointList {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := httpwire.EndpointList{Generation: d.version, Reset: since < 0 || since > d.version}
	for i, instance := range d.endpoints {
		if list.Reset || d.changedIn[i] > since {
			list.Endpoints = append(list.Endpoints, instance)
		}
	}
	return list
}

// chunkSize is that of a list in many chunks.
const chunkSize = 4096

// writeList writes a list in the framing that was asked for.
func (d *discovery) writeList(w http.ResponseWriter, list httpwire.EndpointList) {
	if list.Endpoints == nil {
		list.Endpoints = []httpwire.Endpoint{}
	}
	text, err := json.Marshal(list)
	if d.framing == config.FramingIndented {
		text, err = json.MarshalIndent(list, "", "  ")
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	switch d.framing {
	case config.FramingOneChunk:
		writeOneChunk(w, text)
	case config.FramingChunks:
		flush := http.NewResponseController(w)
		for part := range chunksOf(text, chunkSize) {
			w.Write(part)
			_ = flush.Flush()
		}
	default:
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		w.Write(text)
	}
}

// chunksOf yields a text in pieces.
func chunksOf(text []byte, size int) func(yield func([]byte) bool) {
	return func(yield func([]byte) bool) {
		for len(text) > 0 {
			n := min(size, len(text))
			if !yield(text[:n]) {
				return
			}
			text = text[n:]
		}
	}
}

// writeOneChunk writes a body as one chunk, which net/http does not by itself, and closes.
func writeOneChunk(w http.ResponseWriter, text []byte) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(text), text)
	_, _ = io.Copy(c, &b)
}

// Handle tells figures, or changes one replica: it begins to drain, or takes work again.
func (d *discovery) Handle(_ context.Context, o Command) Reply {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch o.Name {
	case CommandMeasure:
	case CommandChangeList:
		d.changeNext()
	default:
		return Reply{Error: "discovery: unknown order " + o.Name}
	}
	return Reply{Version: d.version, At: time.Now(), Usage: ownUsage(),
		Calls: Calls{Lists: d.listCalls.Load(), BytesIn: d.meter.in.Load(), BytesOut: d.meter.out.Load()}}
}

func (d *discovery) changeNext() {
	d.version++
	i := int(d.version/2) % len(d.endpoints) // each changes twice in a row
	if next := &d.endpoints[i]; next.Lifecycle == "ready" {
		next.Lifecycle = "draining"
	} else {
		next.Lifecycle = "ready"
	}
	d.changedIn[i] = d.version
	close(d.nextChange)
	d.nextChange = make(chan struct{})
}

// Close ends the stand-in.
func (d *discovery) Close() { d.server.Close() }
