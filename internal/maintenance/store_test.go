package maintenance

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// flakyFileSystem fails on demand with the errors that Linux documents, or leaves writes incomplete.
type flakyFileSystem struct {
	osFileSystem
	broken     atomic.Bool // reads and writes fail
	tornWrites atomic.Bool // writes leave half of the content in the file, as after a crash of the machine
}

func (f *flakyFileSystem) fault() error {
	if !f.broken.Load() {
		return nil
	}
	faults := []error{syscall.ENOSPC, syscall.EIO, syscall.EROFS, syscall.EDQUOT, syscall.EFBIG, syscall.EMFILE, syscall.ENFILE, syscall.EINTR, syscall.ENOMEM}
	return &os.PathError{Op: "write", Path: "x", Err: faults[rand.IntN(len(faults))]}
}

func (f *flakyFileSystem) WriteFileAtomic(path string, content []byte) (string, error) {
	if f.tornWrites.Load() {
		_ = os.WriteFile(path, content[:len(content)/2], 0o600)
		return "", syscall.EIO
	}
	if err := f.fault(); err != nil {
		return "", err
	}
	return f.osFileSystem.WriteFileAtomic(path, content)
}

func (f *flakyFileSystem) ReadFile(path string) ([]byte, error) {
	if err := f.fault(); err != nil {
		return nil, err
	}
	return f.osFileSystem.ReadFile(path)
}

// openStore opens a store. If running is set, Run is active until the test ends or the returned function is
// called, and successors can query the store.
func openStore(t *testing.T, dir string, fileSystem FileSystem, running bool) (*Store, func()) {
	t.Helper()
	s := Open(Options{Directory: dir, Name: "n0", Listen: "127.0.0.1:1", FileSystem: fileSystem})
	ctx, cancel := context.WithCancel(context.Background())
	end := func() {}
	if running {
		done := make(chan struct{})
		go func() { s.Run(ctx); close(done) }()
		waitUntil(t, "the store serves successors", s.handoff.listening.Load)
		end = func() { cancel(); <-done }
	}
	t.Cleanup(cancel)
	return s, end
}

func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not in time: %s", what)
		}
	}
}

// hasSavedEjected returns a condition: the file of a store has a complete state with count ejected replicas.
func hasSavedEjected(s *Store, count int) func() bool {
	return func() bool {
		content, _ := os.ReadFile(s.path)
		saved, err := parseState(content)
		return err == nil && saved.ejectedCount() == count
	}
}

// Ejected replicas stay ejected in later processes, until they are reinstated. A drain ends with its process.
func TestOrdersOutliveProcess(t *testing.T) {
	dir, ctx := t.TempDir(), context.Background()
	s, _ := openStore(t, dir, nil, false)
	for _, id := range []string{"s-1", "s-2"} {
		if err := s.SetEjected(ctx, id, true); err != nil || !s.Ejected(id) {
			t.Fatal(id, err)
		}
	}
	if err := s.SetDrained(ctx, true); err != nil {
		t.Fatal(err)
	}
	s, _ = openStore(t, dir, nil, false)
	if !s.Ejected("s-1") || !s.Ejected("s-2") || s.Ejected("s-3") || s.Drained() {
		t.Errorf("in the next process: %v, drained %v", s.AllEjected(), s.Drained())
	}
	if err := s.SetEjected(ctx, "s-1", false); err != nil {
		t.Fatal(err)
	}
	s, _ = openStore(t, dir, nil, false)
	if s.Ejected("s-1") || !s.Ejected("s-2") || !s.HasOrder("s-1") {
		t.Errorf("after one was reinstated: %v", s.AllEjected())
	}
	if other := Open(Options{Directory: dir, Name: "n1", Listen: "127.0.0.1:1"}); other.Ejected("s-2") {
		t.Error("another gateway's orders were loaded")
	}
}

// A process that starts while its predecessor runs takes over its orders, including a drain, even if the
// directory is not writable. Later orders to either process reach the other, and unsaved orders are saved later.
func TestHandoffToSuccessor(t *testing.T) {
	dir, ctx := t.TempDir(), context.Background()
	fileSystem := &flakyFileSystem{}
	fileSystem.broken.Store(true)
	old, stop := openStore(t, dir, fileSystem, true)
	start := time.Now()
	if err := old.SetEjected(ctx, "s-1", true); !errors.Is(err, ErrNotSaved) || !old.Ejected("s-1") {
		t.Errorf("on a broken disk: %v, ejected %v", err, old.Ejected("s-1"))
	}
	if err := old.SetDrained(ctx, true); !errors.Is(err, ErrNotSaved) {
		t.Errorf("on a broken disk: %v", err)
	}
	if elapsed := time.Since(start); elapsed > 2*time.Second {
		t.Errorf("two orders took %v", elapsed)
	}
	next := Open(Options{Directory: dir, Name: "n0", Listen: "127.0.0.1:1", FileSystem: fileSystem})
	if !next.Ejected("s-1") || !next.Drained() {
		t.Errorf("handed over: %v, drained %v", next.AllEjected(), next.Drained())
	}
	running, cancel := context.WithCancel(ctx)
	defer cancel()
	go next.Run(running)
	_ = old.SetEjected(ctx, "s-2", true)
	waitUntil(t, "the successor receives the predecessor's order", func() bool { return next.Ejected("s-2") })
	fileSystem.broken.Store(false)
	waitUntil(t, "both have saved", func() bool { return old.LastError() == nil && next.LastError() == nil })
	if err := next.SetEjected(ctx, "s-1", false); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the predecessor receives the successor's order", func() bool { return !old.Ejected("s-1") })
	stop()
	if err := next.SetDrained(ctx, false); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the successor owns the handoff address", next.handoff.listening.Load)
	third, _ := openStore(t, dir, nil, false)
	if third.Ejected("s-1") || !third.Ejected("s-2") || third.Drained() {
		t.Errorf("in the third process: %v, drained %v", third.AllEjected(), third.Drained())
	}
}

// Guards against a drain that ends by itself in upgrades in a row: a process that started right after the end of the one
// before the present found no other process, since the present one had not taken the address yet (issue 74, review/8).
func TestDrainHoldsOverUpgradesInARow(t *testing.T) {
	dir := t.TempDir()
	old, end := openStore(t, dir, nil, true)
	if err := old.SetDrained(context.Background(), true); err != nil {
		t.Fatal(err)
	}
	for i := range 5 {
		next := Open(old.options)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { next.Run(ctx); close(done) }()
		time.Sleep(syncInterval / 5) // its first check has passed, and the next one is not due
		end()
		if !next.Drained() || !Open(old.options).Drained() {
			t.Fatalf("upgrade %d: the drain has ended", i+1)
		}
		end = func() { cancel(); <-done }
	}
	end()
	if Open(old.options).Drained() {
		t.Error("the drain holds after the last process has ended")
	}
}

// A process stays known to those of earlier versions, which ask the first address only: it takes that one when its owner ends.
func TestFirstHandoffAddressIsTaken(t *testing.T) {
	old, end := openStore(t, t.TempDir(), nil, true)
	next := Open(old.options)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go next.Run(ctx)
	waitUntil(t, "the successor listens beside its predecessor", func() bool { return next.handoff.owns(1) })
	end()
	waitUntil(t, "the successor takes the first address", func() bool { return next.handoff.owns(0) })
}

// A file that is not a complete state is quarantined, and the orders in force are saved to a new file.
func TestCorruptedFiles(t *testing.T) {
	for name, content := range map[string]string{"empty": "", "half": `{"format":1,"replicas":{"s-1":{"numb`, "another's": "#!/bin/sh\n",
		"no format": `{"replicas":{}}`, "format of another type": `{"format":"x"}`} {
		dir, ctx := t.TempDir(), context.Background()
		s, _ := openStore(t, dir, nil, false)
		if err := os.WriteFile(s.path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		s, _ = openStore(t, dir, nil, false)
		if err := s.SetEjected(ctx, "s-2", true); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if quarantined, err := os.ReadFile(s.path + ".damaged"); err != nil || string(quarantined) != content {
			t.Errorf("%s: quarantined %q, %v", name, quarantined, err)
		}
		if s, _ = openStore(t, dir, nil, false); !s.Ejected("s-2") {
			t.Errorf("%s: lost", name)
		}
	}
	// The file of a later version, with more fields, is read.
	dir := t.TempDir()
	s, _ := openStore(t, dir, nil, false)
	if err := os.WriteFile(s.path, []byte(`{"format":7,"more":[1],"replicas":{"s-1":{"number":3,"on":true,"why":"x"}}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	if s, _ = openStore(t, dir, nil, false); !s.Ejected("s-1") {
		t.Error("a later version's order is lost")
	}
	// A symbolic link is not followed.
	if err := os.Rename(s.path, s.path+".x"); err != nil {
		t.Fatal(err)
	}
	if err := os.Symlink(s.path+".x", s.path); err != nil {
		t.Fatal(err)
	}
	if s, _ = openStore(t, dir, nil, false); s.Ejected("s-1") {
		t.Error("a link was followed")
	}
}

// A running process that finds its file half written, truncated or removed writes it again: acknowledged
// orders must not be lost.
func TestFileIsRewritten(t *testing.T) {
	dir, ctx := t.TempDir(), context.Background()
	fileSystem := &flakyFileSystem{}
	s, end := openStore(t, dir, fileSystem, true)
	if err := s.SetEjected(ctx, "s-1", true); err != nil {
		t.Fatal(err)
	}
	fileSystem.tornWrites.Store(true)
	if err := s.SetEjected(ctx, "s-2", true); !errors.Is(err, ErrNotSaved) {
		t.Errorf("half a write: %v", err)
	}
	fileSystem.tornWrites.Store(false)
	for _, damage := range []func() error{func() error { return nil }, func() error { return os.Remove(s.path) }, func() error { return os.Truncate(s.path, 10) }} {
		waitUntil(t, "saved", hasSavedEjected(s, 2))
		if err := damage(); err != nil {
			t.Fatal(err)
		}
	}
	waitUntil(t, "saved again", hasSavedEjected(s, 2))
	end()
	if left, _ := filepath.Glob(filepath.Join(dir, "*.new-*")); len(left) > 0 {
		t.Errorf("left behind: %v", left)
	}
}

// damagingFileSystem truncates a file once, right after it was written.
type damagingFileSystem struct {
	osFileSystem
	once sync.Once
}

func (d *damagingFileSystem) WriteFileAtomic(path string, content []byte) (string, error) {
	fingerprint, err := d.osFileSystem.WriteFileAtomic(path, content)
	d.once.Do(func() { _ = os.Truncate(path, 10) })
	return fingerprint, err
}

// A file that is damaged right after the store has written it is detected as changed and written again.
func TestCorruptionRightAfterWrite(t *testing.T) {
	s, end := openStore(t, t.TempDir(), &damagingFileSystem{}, true)
	defer end()
	if err := s.SetEjected(context.Background(), "s-1", true); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "written again", hasSavedEjected(s, 1))
}

// A file system that hangs delays no order beyond its timeout, and blocks one goroutine at most.
func TestHangingFileSystem(t *testing.T) {
	hang := &hangingFileSystem{release: make(chan struct{})}
	s := Open(Options{Directory: t.TempDir(), Name: "n0", Listen: "127.0.0.1:1", FileSystem: hang})
	start := time.Now()
	for i := range 3 {
		if err := s.SetEjected(context.Background(), fmt.Sprint("s-", i), true); !errors.Is(err, ErrNotSaved) {
			t.Errorf("%v", err)
		}
	}
	if elapsed := time.Since(start); elapsed > 2700*time.Millisecond {
		t.Errorf("three orders took %v", elapsed)
	}
	if n := hang.entered.Load(); n > 1 {
		t.Errorf("%d goroutines hang", n)
	}
	close(hang.release)
}

// hangingFileSystem blocks in Fingerprint until released.
type hangingFileSystem struct {
	osFileSystem
	entered atomic.Int32
	release chan struct{}
}

func (h *hangingFileSystem) Fingerprint(string) (string, error) {
	h.entered.Add(1)
	<-h.release
	return "", nil
}

// States merged in any sequence give the same result, whether their orders are concurrent or follow a merge.
func TestMergeIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		states := []state{newState(), newState(), newState()}
		last := map[string]bool{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			i := rapid.IntRange(0, 2).Draw(t, "process")
			id := fmt.Sprint("s-", rapid.IntRange(0, 3).Draw(t, "id"))
			if rapid.Bool().Draw(t, "merges first") {
				for _, o := range states {
					states[i].merge(o)
				}
				last[id] = rapid.Bool().Draw(t, "ejected")
				if err := states[i].setEjected(id, last[id]); err != nil {
					t.Fatal(err)
				}
				continue
			}
			delete(last, id) // concurrent orders: either may take precedence
			_ = states[i].setEjected(id, rapid.Bool().Draw(t, "ejected"))
		}
		var merged []state
		for _, sequence := range [][]int{{0, 1, 2}, {2, 1, 0}, {1, 0, 2}} {
			sum := newState()
			for _, i := range sequence {
				sum.merge(states[i])
			}
			merged = append(merged, sum)
		}
		if !merged[0].equal(merged[1]) || !merged[0].equal(merged[2]) {
			t.Fatalf("%v, %v, %v", merged[0], merged[1], merged[2])
		}
	})
}

// The number of stored orders is bounded however many replicas come and go, and no ejection is removed.
func TestOrdersAreBounded(t *testing.T) {
	s := newState()
	for i := range maxOrders - 5 {
		s.Replicas[fmt.Sprint("a", i)] = order{Number: uint64(i + 1), Active: i < 10}
	}
	for i := range 100 {
		if err := s.setEjected(fmt.Sprint("c", i), false); err != nil {
			t.Fatal(err)
		}
	}
	if len(s.Replicas) != maxOrders || s.ejectedCount() != 10 {
		t.Errorf("%d orders, %d ejected", len(s.Replicas), s.ejectedCount())
	}
	for id := range s.Replicas {
		s.Replicas[id] = order{Number: s.Replicas[id].Number, Active: true}
	}
	err := s.setEjected("b", true)
	if !errors.Is(err, ErrTooManyEjected) || s.ejectedCount() != maxOrders || slices.Contains([]bool{s.Replicas["a0"].Active, s.Replicas["a9"].Active}, false) {
		t.Errorf("%v with %d ejected", err, s.ejectedCount())
	}
}
