package faulttest

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"archknot/internal/fleet/emulate"
)

// frontMode selects how a discovery front handles the calls of its gateway.
type frontMode uint8

// The modes of a front.
const (
	frontPass            frontMode = iota
	frontIndented                  // forwards lists with other white space
	frontSerialized                // serves one call at a time, each after serializedCallTime
	frontUnavailable               // responds with 503 at once
	frontLateUnavailable           // responds with 503 after lateUnavailableAfter
	frontResets                    // resets connections
	frontMalformed                 // responds with truncated JSON
	frontModeCount       int       = iota
)

// String returns the mode's name in the timeline of a soak.
func (m frontMode) String() string {
	return [...]string{"passes", "indents", "serves one call at a time", "answers 503", "answers 503 late", "resets", "answers malformed"}[m]
}

// reachable reports whether the gateway gets valid lists from discovery in this mode.
func (m frontMode) reachable() bool { return m <= frontSerialized }

const (
	// serializedCallTime is the delay of each call in the mode frontSerialized.
	serializedCallTime = 600 * time.Millisecond
	// lateUnavailableAfter is the time after which the platform's discovery ends a waiting call with 503.
	lateUnavailableAfter = 2 * time.Second
	// frontCallTimeout bounds a call from the front to discovery. The gateways' polls have shorter timeouts.
	frontCallTimeout = 30 * time.Second
)

// discoveryFront is an HTTP proxy between one gateway and discovery. It injects faults and reports the
// generations of the lists that it sends.
type discoveryFront struct {
	target   string
	listener net.Listener
	server   *http.Server
	client   *http.Client
	// onWritten is called with the generation of each list that has been written to the gateway.
	onWritten func(generation int64)

	mu         sync.Mutex
	mode       frontMode
	changed    chan struct{} // closed at the next change of mode
	hangBefore time.Time     // calls that began earlier get no response
	serialCall sync.Mutex    // held by the call that is served in the mode frontSerialized
}

// newDiscoveryFront starts a front for discovery at target. The caller has to close it.
func newDiscoveryFront(target string, onWritten func(generation int64)) (*discoveryFront, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &discoveryFront{
		target:    target,
		listener:  listener,
		client:    &http.Client{Timeout: frontCallTimeout, Transport: &http.Transport{}},
		onWritten: onWritten,
		changed:   make(chan struct{}),
	}
	f.server = &http.Server{Handler: f, ReadHeaderTimeout: time.Second}
	go func() { _ = f.server.Serve(listener) }() // returns after close
	return f, nil
}

func (f *discoveryFront) addr() string { return f.listener.Addr().String() }

func (f *discoveryFront) close() { f.server.Close() }

// setMode changes the mode, also for calls in progress.
func (f *discoveryFront) setMode(mode frontMode) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mode = mode
	close(f.changed)
	f.changed = make(chan struct{})
}

// hangCallsBefore makes calls that begin before a time hang until the gateway ends them.
func (f *discoveryFront) hangCallsBefore(begunBefore time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hangBefore = begunBefore
}

// state returns the mode, a channel that is closed when the mode changes, and whether a call that began at a time
// hangs.
func (f *discoveryFront) state(begun time.Time) (mode frontMode, changed <-chan struct{}, hangs bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mode, f.changed, begun.Before(f.hangBefore)
}

// ServeHTTP forwards a call to discovery, or responds with the fault of the mode.
func (f *discoveryFront) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	begun := time.Now()
	mode, changed, _ := f.state(begun)
	if mode == frontSerialized && !f.awaitTurn(r.Context()) {
		return
	}
	if !mode.reachable() {
		f.playFault(w, r, mode)
		return
	}
	ctx, stop := context.WithCancel(r.Context())
	defer stop()
	answer := make(chan []byte, 1)
	go func() { answer <- f.call(ctx, r.URL.RequestURI()) }()
	for {
		select {
		case text := <-answer:
			if _, _, hangs := f.state(begun); hangs {
				<-r.Context().Done()
				return
			}
			f.sendList(w, text)
			return
		case <-changed:
			mode, changed, _ = f.state(begun)
			if !mode.reachable() { // open watches fail when discovery goes down
				f.playFault(w, r, mode)
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}

// awaitTurn waits for earlier calls and for the call's own delay, and reports whether the context is still active.
func (f *discoveryFront) awaitTurn(ctx context.Context) bool {
	f.serialCall.Lock()
	defer f.serialCall.Unlock()
	pause(ctx, serializedCallTime)
	return ctx.Err() == nil
}

// playFault ends a call with the response, or the reset, of a mode in which discovery is not reachable.
func (f *discoveryFront) playFault(w http.ResponseWriter, r *http.Request, mode frontMode) {
	switch mode {
	case frontResets:
		emulate.ResetConnection(w)
	case frontMalformed:
		_, _ = io.WriteString(w, `{"generation":1,"instances":[`)
	case frontLateUnavailable:
		pause(r.Context(), lateUnavailableAfter)
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// call returns the body of discovery's response, or nil if the call fails or its status is not 200.
func (f *discoveryFront) call(ctx context.Context, path string) []byte {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.target+path, nil)
	if err != nil {
		return nil
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return nil
	}
	return text
}

// sendList writes a list to the gateway and reports its generation to onWritten. It responds with 503 if there is
// no valid list.
func (f *discoveryFront) sendList(w http.ResponseWriter, text []byte) {
	var list struct {
		Generation int64 `json:"generation"`
	}
	if text == nil || json.Unmarshal(text, &list) != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if mode, _, _ := f.state(time.Now()); mode == frontIndented {
		var indented bytes.Buffer
		if json.Indent(&indented, text, "", "  ") == nil {
			text = indented.Bytes()
		}
	}
	if _, err := w.Write(text); err == nil {
		f.onWritten(list.Generation)
	}
}
