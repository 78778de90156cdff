package scaletest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"archknot/internal/config"
	"archknot/internal/httpwire"
)

// DiscoverySpec is the specification of a process with RoleDiscovery: the initial endpoint list and the
// framing of its responses, one of the config.Framing constants.
type DiscoverySpec struct {
	Endpoints []httpwire.Endpoint `json:"instances"`
	Framing   string              `json:"framing"`
}

// discovery is a fake discovery service. It serves complete endpoint lists, the changes since a version, and
// long polls, in any framing that the protocol allows.
type discovery struct {
	framing   string
	server    *http.Server
	meter     connMeter
	listCalls atomic.Int64

	mu         sync.Mutex
	version    int64
	endpoints  []httpwire.Endpoint
	changedIn  []int64       // version of each endpoint's last change, in the order of endpoints
	nextChange chan struct{} // closed and replaced at each change of the list
}

func startDiscovery(spec DiscoverySpec) (*discovery, Greeting, error) {
	d := &discovery{
		framing:    spec.Framing,
		version:    1,
		endpoints:  spec.Endpoints,
		changedIn:  make([]int64, len(spec.Endpoints)),
		nextChange: make(chan struct{}),
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, Greeting{}, err
	}
	d.server = &http.Server{Handler: d}
	serveInBackground(d.server, countedListener{l, &d.meter})
	return d, Greeting{Address: l.Addr().String()}, nil
}

// ServeHTTP serves the endpoint list. The form value "since" requests the changes since a version, and
// "timeout_ms" makes the request a long poll of at most a minute.
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

// waitForChange returns at once if the list's version differs from since, and otherwise waits for the next
// change for at most wait. It reports false if the context ends first, since the client has then left.
func (d *discovery) waitForChange(ctx context.Context, since int64, wait time.Duration) bool {
	d.mu.Lock()
	version, nextChange := d.version, d.nextChange
	d.mu.Unlock()
	if since != version {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-nextChange:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// listSince returns the changes since a version, or the complete list if that version is unknown.
func (d *discovery) listSince(since int64) httpwire.EndpointList {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := httpwire.EndpointList{Generation: d.version, Reset: since < 0 || since > d.version}
	for i, endpoint := range d.endpoints {
		if list.Reset || d.changedIn[i] > since {
			list.Endpoints = append(list.Endpoints, endpoint)
		}
	}
	return list
}

// chunkSize is the size in bytes of a chunk with config.FramingChunks.
const chunkSize = 4096

// The values of Endpoint.Lifecycle that the list contains.
const (
	lifecycleReady    = "ready"
	lifecycleDraining = "draining"
)

// writeList writes a list in the configured framing. A failed write means that the gateway has closed
// the connection.
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
		for part := range slices.Chunk(text, chunkSize) {
			_, _ = w.Write(part)
			_ = flush.Flush()
		}
	default:
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = w.Write(text)
	}
}

// writeOneChunk writes a response whose body is one chunk and closes the connection. It hijacks the
// connection because net/http chooses the chunks of a response by itself.
func writeOneChunk(w http.ResponseWriter, text []byte) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	var response bytes.Buffer
	fmt.Fprintf(&response, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(text), text)
	_, _ = io.Copy(conn, &response)
}

// Handle carries out a command: CommandMeasure, or CommandChangeList, whose reply has the new version.
func (d *discovery) Handle(_ context.Context, command Command) Reply {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch command.Name {
	case CommandMeasure:
	case CommandChangeList:
		d.changeNext()
	default:
		return Reply{Error: "discovery: unknown command " + command.Name}
	}
	return Reply{
		Version: d.version,
		At:      time.Now(),
		Usage:   ownUsage(),
		Calls:   Calls{Lists: d.listCalls.Load(), BytesIn: d.meter.in.Load(), BytesOut: d.meter.out.Load()},
	}
}

// changeNext switches the lifecycle of one endpoint between ready and draining. Each endpoint is switched by
// two successive versions, then the next endpoint is.
func (d *discovery) changeNext() {
	d.version++
	i := int(d.version/2) % len(d.endpoints)
	if endpoint := &d.endpoints[i]; endpoint.Lifecycle == lifecycleReady {
		endpoint.Lifecycle = lifecycleDraining
	} else {
		endpoint.Lifecycle = lifecycleReady
	}
	d.changedIn[i] = d.version
	close(d.nextChange)
	d.nextChange = make(chan struct{})
}

// Close stops the service and closes its connections.
func (d *discovery) Close() { d.server.Close() }
