package maintenance_test

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"archknot/internal/maintenance"
)

// orders is the file format, declared independently of the package's own types.
type orders struct {
	Format   int              `json:"format"`
	Drain    order            `json:"drain"`
	Replicas map[string]order `json:"replicas"`
}

type order struct {
	Number uint64 `json:"number"`
	Active bool   `json:"on"`
}

// baseName returns the name of a gateway's orders file and handoff socket, without the suffix and the @.
func baseName(dir string) string {
	id := fnv.New64a()
	fmt.Fprintf(id, "%d\x00n0\x00127.0.0.1:1\x00%s", os.Geteuid(), dir)
	return fmt.Sprintf("archknot-n0-%016x", id.Sum64())
}

func openStored(dir string) *maintenance.Store {
	return maintenance.Open(maintenance.Options{Directory: dir, Name: "n0", Listen: "127.0.0.1:1"})
}

// directoryWith returns a directory that has a file of testdata as a gateway's orders.
func directoryWith(t *testing.T, stored string) string {
	t.Helper()
	content, err := os.ReadFile(filepath.Join("testdata/stored", stored))
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, baseName(dir)+".orders"), content, 0o600); err != nil {
		t.Fatal(err)
	}
	return dir
}

// An orders file written by the build of commit b3142ba is read, and further orders are saved in
// the same format. The drain in it has ended with its process.
func TestStoredOrders(t *testing.T) {
	dir := directoryWith(t, "orders.json")
	s := openStored(dir)
	if diff := cmp.Diff(map[string]struct{}{"s-1": {}, "s-3": {}}, s.AllEjected()); diff != "" || s.Drained() || !s.HasOrder("s-2") || s.HasOrder("s-4") {
		t.Errorf("drained %v, s-2 known %v, s-4 known %v, ejected: %s", s.Drained(), s.HasOrder("s-2"), s.HasOrder("s-4"), diff)
	}
	if err := s.SetEjected(context.Background(), "s-3", false); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(filepath.Join(dir, baseName(dir)+".orders"))
	if err != nil {
		t.Fatal(err)
	}
	var got orders
	if err := json.Unmarshal(text, &got); err != nil {
		t.Fatal(err)
	}
	want := orders{Format: 1, Drain: order{Number: 6}, Replicas: map[string]order{"s-1": {1, true}, "s-2": {4, false}, "s-3": {7, false}}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	const form = `{"format":1,"drain":{"number":6,"on":false},"replicas":{"s-1":{"number":1,"on":true},"s-2":{"number":4,"on":false},"s-3":{"number":7,"on":false}}}` + "\n"
	if string(text) != form {
		t.Errorf("saved as %s", text)
	}
}

// The state that a process of the build of commit b3142ba hands over to its successor is
// merged: orders newer than the file, and the drain.
func TestStoredHandoff(t *testing.T) {
	dir := directoryWith(t, "orders.json")
	text, err := os.ReadFile("testdata/stored/handoff.json")
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("unix", "@"+baseName(dir))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = c.Write(text)
			c.Close()
		}
	}()
	s := openStored(dir)
	if diff := cmp.Diff(map[string]struct{}{"s-1": {}, "s-3": {}, "s-4": {}}, s.AllEjected()); diff != "" || !s.Drained() || !s.HasOrder("s-2") {
		t.Errorf("drained %v, s-2 known %v, ejected: %s", s.Drained(), s.HasOrder("s-2"), diff)
	}
}
