package emulate

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"archknot/internal/httpwire"
)

// Lifecycle states of a replica on the endpoint list.
const (
	lifecycleReady    = "ready"
	lifecycleDraining = "draining"
	lifecycleGone     = "gone"
)

// maxPollWait limits how long a poll waits for a change.
const maxPollWait = time.Minute

// discoveryServer serves the endpoint list, with long polls for changes.
type discoveryServer struct {
	server   *http.Server
	onChange func(ListChange)

	mu           sync.Mutex
	list         httpwire.EndpointList
	changed      chan struct{} // closed at the next change
	unresponsive bool
}

func newDiscoveryServer() *discoveryServer {
	d := &discoveryServer{changed: make(chan struct{}), list: httpwire.EndpointList{Generation: 1}}
	d.server = &http.Server{Handler: d, ReadHeaderTimeout: readHeaderTimeout}
	return d
}

func (d *discoveryServer) serve(l net.Listener) { go serveHTTP(d.server, l) }

func (d *discoveryServer) close() { d.server.Close() }

// ServeHTTP answers a poll. A poll with the current generation waits for a change.
func (d *discoveryServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != httpwire.ListPath {
		http.NotFound(w, r)
		return
	}
	since, err := strconv.ParseInt(r.FormValue("since"), 10, 64)
	hasSince := err == nil
	waitMs, _ := strconv.Atoi(r.FormValue("timeout_ms")) // missing or malformed: 0
	d.mu.Lock()
	generation, changed, unresponsive := d.list.Generation, d.changed, d.unresponsive
	d.mu.Unlock()
	if unresponsive {
		waitForDisconnect(r)
		return
	}
	if hasSince && since == generation {
		select {
		case <-changed:
		case <-time.After(min(time.Duration(waitMs)*time.Millisecond, maxPollWait)):
		case <-r.Context().Done():
			return
		}
	}
	text, err := d.encodeList(hasSince, since)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(text) // fails only if the client has disconnected
}

// encodeList returns the list as JSON, without entries if the client already has the current generation.
func (d *discoveryServer) encodeList(hasSince bool, since int64) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	response := httpwire.EndpointList{Generation: d.list.Generation, Reset: true, Endpoints: d.list.Endpoints}
	if hasSince && since == response.Generation {
		response.Reset, response.Endpoints = false, nil
	}
	text, err := json.Marshal(response)
	return append(text, '\n'), err
}

// setUnresponsive sets whether the server accepts polls without answering them.
func (d *discoveryServer) setUnresponsive(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unresponsive = on
}

// update changes an entry of the list and completes the waiting polls.
func (d *discoveryServer) update(index int, change func(*httpwire.Endpoint)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list.Endpoints = slices.Clone(d.list.Endpoints) // copy on write
	entry := &d.list.Endpoints[index]
	change(entry)
	d.list.Generation++
	d.onChange(ListChange{d.list.Generation, entry.ID, entry.Lifecycle == lifecycleReady, time.Now()})
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *discoveryServer) setLifecycle(index int, lifecycle string) {
	d.update(index, func(e *httpwire.Endpoint) { e.Lifecycle = lifecycle })
}

// waitForDisconnect keeps a request unanswered until its client disconnects, or for unresponsiveTimeout.
func waitForDisconnect(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-time.After(unresponsiveTimeout):
	}
}
