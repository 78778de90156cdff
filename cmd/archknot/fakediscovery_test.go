package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// discoveryFault is the state of a fakeDiscovery: up, or the way in which it fails.
type discoveryFault int

const (
	discoveryUp           discoveryFault = iota
	discoveryUnavailable                 // calls get a 503
	discoveryResets                      // each connection is reset without an answer
	discoveryUnresponsive                // calls are accepted and get no answer
	discoveryBusy                        // calls get a 503 after busyDelay, as from an overloaded service
)

// busyDelay is how long a call waits for its answer in the state discoveryBusy.
const busyDelay = time.Second

// fakeDiscovery is a discovery service with long polls.
type fakeDiscovery struct {
	addr        string
	mu          sync.Mutex
	entries     map[string]string // by id: JSON text of the endpoint list's entry
	order       []string          // ids in the order of their first publication
	removed     map[string]bool   // ids that the full list lacks; changes show them as "gone"
	changes     []string          // the id that each version changed, from version 2
	publishedAt []time.Time       // of each change
	sentAt      []time.Time       // when each change was first sent to a gateway; zero if never
	polledSince int               // the highest version that a poll has sent in its parameter "since"
	calls       int
	fault       discoveryFault
	silencedAt  time.Time     // calls that began earlier get no answer, or a reset in the state discoveryResets
	changed     chan struct{} // closed at the next change of the entries or of fault
}

func newFakeDiscovery(t *testing.T) *fakeDiscovery {
	t.Helper()
	d := &fakeDiscovery{addr: freeAddress(t), entries: map[string]string{}, removed: map[string]bool{}, changed: make(chan struct{})}
	serve(t, d.addr, d.serve)
	return d
}

// endpointJSON returns an entry of the endpoint list. extraFields is empty or further JSON members after a comma.
func endpointJSON(id, addr, lifecycle, extraFields string) string {
	return fmt.Sprintf(`{"instanceId":"%s","hostPort":"%s","zone":"a","machineType":"m","lifecycle":"%s","weight":1%s}`, id, addr, lifecycle, extraFields)
}

// publish adds or changes an entry and returns the index of the change.
func (d *fakeDiscovery) publish(id, text string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.entries[id]; !ok {
		d.order = append(d.order, id)
	}
	d.entries[id] = text
	delete(d.removed, id)
	d.changes = append(d.changes, id)
	d.publishedAt, d.sentAt = append(d.publishedAt, time.Now()), append(d.sentAt, time.Time{})
	d.wakeAll()
	return len(d.changes) - 1
}

// remove publishes that a replica is gone. The full list lacks it until it is published again.
func (d *fakeDiscovery) remove(id, addr string) {
	d.publish(id, endpointJSON(id, addr, "gone", ""))
	d.mu.Lock()
	defer d.mu.Unlock()
	d.removed[id] = true
}

// wakeAll makes the waiting calls check the state again. The caller holds the lock.
func (d *fakeDiscovery) wakeAll() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// fullList returns the list as discovery would send it now.
func (d *fakeDiscovery) fullList() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	text, _ := d.answer(false, 0)
	return text
}

// copyEntries publishes the entries of another discovery.
func (d *fakeDiscovery) copyEntries(from *fakeDiscovery) {
	from.mu.Lock()
	defer from.mu.Unlock()
	for _, id := range from.order {
		d.publish(id, from.entries[id])
	}
}

// setFault sets the state of the service, for open calls as well as new ones.
func (d *fakeDiscovery) setFault(fault discoveryFault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault = fault
	d.wakeAll()
}

// silenceOpenCalls leaves the calls that are open now without an answer. Later calls are answered.
func (d *fakeDiscovery) silenceOpenCalls() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silencedAt = time.Now()
}

// callCount returns the number of calls so far.
func (d *fakeDiscovery) callCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls
}

// changeTimes returns when a change was published, and when it was first sent; zero if never.
func (d *fakeDiscovery) changeTimes(change int) (published, sent time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.publishedAt[change], d.sentAt[change]
}

// allDelivered reports whether the gateway has all changes, which holds once it polls for later versions.
func (d *fakeDiscovery) allDelivered() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.polledSince > len(d.changes)
}

// serve handles a call for the list, or a long poll for changes since a version.
func (d *fakeDiscovery) serve(w http.ResponseWriter, r *http.Request) {
	begun := time.Now()
	since, err := strconv.Atoi(r.FormValue("since"))
	watches := err == nil
	waitMs, _ := strconv.Atoi(r.FormValue("timeout_ms")) // missing: 0
	d.mu.Lock()
	d.calls++
	d.polledSince = max(d.polledSince, since)
	d.mu.Unlock()
	for end := time.After(time.Duration(waitMs) * time.Millisecond); ; {
		d.mu.Lock()
		fault, changed := d.fault, d.changed
		silenced := begun.Before(d.silencedAt)
		if silenced && fault != discoveryResets {
			fault = discoveryUnresponsive
		}
		answer, hasChanges := "", false
		if fault == discoveryUp {
			answer, hasChanges = d.answer(watches, since)
		}
		version := len(d.changes) + 1
		d.mu.Unlock()
		switch {
		case fault == discoveryUnavailable:
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		case fault == discoveryResets:
			resetConn(w)
			return
		case fault == discoveryBusy:
			time.Sleep(busyDelay)
			http.Error(w, "too many callers", http.StatusServiceUnavailable)
			return
		case silenced:
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			}
		case fault == discoveryUnresponsive:
			<-r.Context().Done()
			return
		case hasChanges:
			fmt.Fprint(w, answer)
			d.recordSent(version)
			return
		}
		select {
		case <-changed:
		case <-end:
			fmt.Fprint(w, answer)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// answer returns the body of the response to a poll, and whether it holds changes or the whole list. The caller holds
// the lock.
func (d *fakeDiscovery) answer(watches bool, since int) (text string, hasChanges bool) {
	version := len(d.changes) + 1
	changesOnly := watches && since <= version
	ids := d.order
	if changesOnly {
		ids = d.changes[max(0, since-1):]
	}
	var list []string
	for _, id := range ids {
		if !changesOnly && d.removed[id] {
			continue
		}
		list = append(list, d.entries[id])
	}
	text = fmt.Sprintf(`{"generation":%d,"reset":%t,"instances":[%s]}`, version, !changesOnly, strings.Join(list, ","))
	return text, !changesOnly || len(list) > 0
}

// resetConn resets the connection of a call.
func resetConn(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}

// recordSent records that the changes up to a version have been sent.
func (d *fakeDiscovery) recordSent(version int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range version - 1 {
		if d.sentAt[i].IsZero() {
			d.sentAt[i] = time.Now()
		}
	}
}
