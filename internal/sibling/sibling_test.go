package sibling

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"
)

// fakeRecords are the records of a process.
type fakeRecords struct {
	mu  sync.Mutex
	ids []string
}

func (r *fakeRecords) HasRequest(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Contains(r.ids, id)
}

func (r *fakeRecords) AddRequests(ids []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ids = append(r.ids, ids...)
}

// startProcess returns a process of a gateway that has had some requests.
func startProcess(t *testing.T, name string, ids ...string) (*Group, *fakeRecords) {
	t.Helper()
	g, records := New(name, "127.0.0.1:1"), &fakeRecords{ids: ids}
	if err := g.Serve(records); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	return g, records
}

// Each process of a gateway knows the requests of the others, in both directions, and none of another gateway. What a
// process hands over is known after its end.
func TestProcessesKnowEachOthersRequests(t *testing.T) {
	name := t.Name() + fmt.Sprint(time.Now().UnixNano())
	old, _ := startProcess(t, name, "a")
	next, _ := startProcess(t, name, "b")
	startProcess(t, name+"2", "c")
	expect := func(g *Group, id string, want bool) {
		t.Helper()
		if known, err := g.HasRequest(id); known != want || err != nil {
			t.Errorf("%s: known %t, %v; want %t", id, known, err, want)
		}
	}
	expect(next, "a", true)
	expect(old, "b", true)
	for _, id := range []string{"b", "c"} { // its own, and another gateway's
		expect(next, id, false)
	}
	old.HandOver([]string{"a", "d"})
	old.Close()
	if !next.records.HasRequest("a") || !next.records.HasRequest("d") {
		t.Error("not handed over")
	}
	expect(next, "a", false) // no other process has it any more; the own records do
}

// A process that doesn't answer is no proof that it has not had a request, and is waited for only for a while.
func TestUnresponsiveProcessIsAnError(t *testing.T) {
	g, _ := startProcess(t, t.Name()+fmt.Sprint(time.Now().UnixNano()))
	silent, err := net.Listen("unix", g.addresses[1])
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	begun := time.Now()
	if known, err := g.HasRequest("a"); known || err == nil {
		t.Errorf("known %t, error %v; want an error", known, err)
	}
	if took := time.Since(begun); took > 10*exchangeTimeout {
		t.Errorf("took %v", took)
	}
}
