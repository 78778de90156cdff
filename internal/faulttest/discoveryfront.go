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

// frontMode is what a discovery front does with the calls of its gateway.
type frontMode uint8

// The modes of a front.
const (
	frontPass            frontMode = iota
	frontIndented                  // passes lists on in another layout
	frontCrowded                   // calls are served in turn, behind others
	frontUnavailable               // answers 503 at once
	frontLateUnavailable           // answers 503 after a wait
	frontResets                    // resets connections
	frontMalformed                 // answers with lists that cannot be read
	frontModeCount       int       = iota
)

// String returns the mode's name in a timeline.
func (m frontMode) String() string {
	return [...]string{"passes", "indents", "is crowded", "answers 503", "answers 503 late", "resets", "answers malformed"}[m]
}

// reachable reports whether the gateway can reach discovery in this mode.
func (m frontMode) reachable() bool { return m <= frontCrowded }

const (
	// crowdedCallTime is how long others' calls take before a call in a crowd.
	crowdedCallTime = 600 * time.Millisecond
	// lateUnavailableAfter is how long a call waits in vain: what the platform's discovery lets it wait.
	lateUnavailableAfter = 2 * time.Second
	// frontCallTimeout bounds a call behind a front; polls wait for less.
	frontCallTimeout = 30 * time.Second
)

// discoveryFront stands between one gateway and discovery. It plays faults and records what it has sent.
type discoveryFront struct {
	target   string
	listener net.Listener
	server   *http.Server
	client   *http.Client
	// written is called with each generation that has been written to the gateway.
	written func(generation int64)

	mu         sync.Mutex
	mode       frontMode
	changed    chan struct{} // closed at the next change of mode
	silencedAt time.Time     // calls that began before get no answer
	turn       sync.Mutex    // held by the call that is served in a crowd
}

// newDiscoveryFront starts a front before discovery. It ends with close.
func newDiscoveryFront(target string, written func(generation int64)) (*discoveryFront, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &discoveryFront{
		target:   target,
		listener: listener,
		client:   &http.Client{Timeout: frontCallTimeout, Transport: &http.Transport{}},
		written:  written,
		changed:  make(chan struct{}),
	}
	f.server = &http.Server{Handler: f, ReadHeaderTimeout: time.Second}
	go func() { _ = f.server.Serve(listener) }() // it ends with close
	return f, nil
}

func (f *discoveryFront) addr() string { return f.listener.Addr().String() }

func (f *discoveryFront) close() { f.server.Close() }

// setMode changes the mode, also of open calls.
func (f *discoveryFront) setMode(mode frontMode) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mode = mode
	close(f.changed)
	f.changed = make(chan struct{})
}

// silenceCalls leaves the calls that begin before a time without an answer.
func (f *discoveryFront) silenceCalls(before time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silencedAt = before
}

// state returns the mode, a channel that is closed when it changes, and whether a call that began at a time is
// silenced.
func (f *discoveryFront) state(begun time.Time) (mode frontMode, changed <-chan struct{}, silenced bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mode, f.changed, begun.Before(f.silencedAt)
}

// ServeHTTP passes a call on to discovery, or plays the mode's fault.
func (f *discoveryFront) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	begun := time.Now()
	mode, changed, _ := f.state(begun)
	if mode == frontCrowded && !f.awaitTurn(r.Context()) {
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
			if _, _, silenced := f.state(begun); silenced {
				<-r.Context().Done()
				return
			}
			f.sendList(w, text)
			return
		case <-changed:
			mode, changed, _ = f.state(begun)
			if !mode.reachable() { // watches end when discovery goes down
				f.playFault(w, r, mode)
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}

// awaitTurn waits for the calls of others, and reports whether the caller is still there.
func (f *discoveryFront) awaitTurn(ctx context.Context) bool {
	f.turn.Lock()
	defer f.turn.Unlock()
	pause(ctx, crowdedCallTime)
	return ctx.Err() == nil
}

// playFault ends a call as discovery does that cannot be reached.
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

// call gets discovery's answer, nil if there is none.
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

// sendList writes an answer to the gateway and records its generation.
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
		f.written(list.Generation)
	}
}
