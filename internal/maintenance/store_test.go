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

// flakyFileSystem is a file system that fails while it is told to, in the ways that Linux documents, and leaves
// writes half done.
type flakyFileSystem struct {
	osFileSystem
	broken  atomic.Bool
	tearing atomic.Bool // also leaves half of a text where the whole was to be, as after a crash of the machine
}

func (f *flakyFileSystem) fault() error {
	if !f.broken.Load() {
		return nil
	}
	all := []error{syscall.ENOSPC, syscall.EIO, syscall.EROFS, syscall.EDQUOT, syscall.EFBIG, syscall.EMFILE, syscall.ENFILE, syscall.EINTR, syscall.ENOMEM}
	return &os.PathError{Op: "write", Path: "x", Err: all[rand.IntN(len(all))]}
}

func (f *flakyFileSystem) WriteFileAtomic(path string, text []byte) (string, error) {
	if f.tearing.Load() {
		_ = os.WriteFile(path, text[:len(text)/2], 0o600)
		return "", syscall.EIO
	}
	if err := f.fault(); err != nil {
		return "", err
	}
	return f.osFileSystem.WriteFileAtomic(path, text)
}

func (f *flakyFileSystem) ReadFile(path string) ([]byte, error) {
	if err := f.fault(); err != nil {
		return nil, err
	}
	return f.osFileSystem.ReadFile(path)
}

// openStore opens a store that ends with the test. beside: its task runs, and it tells successors.
func openStore(t *testing.T, dir string, files FileSystem, beside bool) (*Store, func()) {
	t.Helper()
	s := Open(Options{Directory: dir, Name: "n0", Listen: "127.0.0.1:1", FileSystem: files})
	ctx, stop := context.WithCancel(context.Background())
	end := func() {}
	if beside {
		done := make(chan struct{})
		go func() { s.Run(ctx); close(done) }()
		waitUntil(t, "the store tells successors", s.handoff.listening.Load)
		end = func() { stop(); <-done }
	}
	t.Cleanup(stop)
	return s, end
}

func waitUntil(t *testing.T, what string, yes func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !yes(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not in time: %s", what)
		}
	}
}

// What is out stays out in later processes, until it is put back. A drain ends with its process.
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
		t.Errorf("in the next life: %v, drained %v", s.AllEjected(), s.Drained())
	}
	if err := s.SetEjected(ctx, "s-1", false); err != nil {
		t.Fatal(err)
	}
	s, _ = openStore(t, dir, nil, false)
	if s.Ejected("s-1") || !s.Ejected("s-2") || !s.HasOrder("s-1") {
		t.Errorf("after one was put back: %v", s.AllEjected())
	}
	if other := Open(Options{Directory: dir, Name: "n1", Listen: "127.0.0.1:1"}); other.Ejected("s-2") {
		t.Error("another gateway's orders were taken over")
	}
}

// A process beside its predecessor takes over what is in force, the drain too, also where the folder
// cannot be written; what one is told the other hears of, and what was not saved is saved later.
func TestHandoffToSuccessor(t *testing.T) {
	dir, ctx := t.TempDir(), context.Background()
	files := &flakyFileSystem{}
	files.broken.Store(true)
	old, end := openStore(t, dir, files, true)
	begun := time.Now()
	if err := old.SetEjected(ctx, "s-1", true); !errors.Is(err, ErrNotSaved) || !old.Ejected("s-1") {
		t.Errorf("on a broken disk: %v, out %v", err, old.Ejected("s-1"))
	}
	if err := old.SetDrained(ctx, true); !errors.Is(err, ErrNotSaved) {
		t.Errorf("on a broken disk: %v", err)
	}
	if took := time.Since(begun); took > 2*time.Second {
		t.Errorf("two orders took %v", took)
	}
	next := Open(Options{Directory: dir, Name: "n0", Listen: "127.0.0.1:1", FileSystem: files})
	if !next.Ejected("s-1") || !next.Drained() {
		t.Errorf("handed on: %v, drained %v", next.AllEjected(), next.Drained())
	}
	running, stop := context.WithCancel(ctx)
	defer stop()
	go next.Run(running)
	_ = old.SetEjected(ctx, "s-2", true)
	waitUntil(t, "the next hears of the old one's order", func() bool { return next.Ejected("s-2") })
	files.broken.Store(false)
	waitUntil(t, "saved in the end", func() bool { return old.LastError() == nil && next.LastError() == nil })
	if err := next.SetEjected(ctx, "s-1", false); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the old one hears of the next's", func() bool { return !old.Ejected("s-1") })
	end()
	if err := next.SetDrained(ctx, false); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the name is the next one's", next.handoff.listening.Load)
	third, _ := openStore(t, dir, nil, false)
	if third.Ejected("s-1") || !third.Ejected("s-2") || third.Drained() {
		t.Errorf("in the third life: %v, drained %v", third.AllEjected(), third.Drained())
	}
}

// A file that is no state of ours, whole or half, is kept aside, and what is in force is saved anew.
func TestCorruptedFiles(t *testing.T) {
	for name, text := range map[string]string{"empty": "", "half": `{"format":1,"replicas":{"s-1":{"numb`, "another's": "#!/bin/sh\n",
		"no format": `{"replicas":{}}`, "odd": `{"format":"x"}`} {
		dir, ctx := t.TempDir(), context.Background()
		s, _ := openStore(t, dir, nil, false)
		if err := os.WriteFile(s.path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		s, _ = openStore(t, dir, nil, false)
		if err := s.SetEjected(ctx, "s-2", true); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if kept, err := os.ReadFile(s.path + ".damaged"); err != nil || string(kept) != text {
			t.Errorf("%s: kept aside %q, %v", name, kept, err)
		}
		if s, _ = openStore(t, dir, nil, false); !s.Ejected("s-2") {
			t.Errorf("%s: lost", name)
		}
	}
	// A later version's file, with more in it, serves.
	dir := t.TempDir()
	s, _ := openStore(t, dir, nil, false)
	if err := os.WriteFile(s.path, []byte(`{"format":7,"more":[1],"replicas":{"s-1":{"number":3,"on":true,"why":"x"}}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	if s, _ = openStore(t, dir, nil, false); !s.Ejected("s-1") {
		t.Error("a later version's order is lost")
	}
	// Nor is a file believed that is another's or no file.
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

// A running process that finds its file half written, emptied or gone writes it anew: what was
// acknowledged is still owed.
func TestFileIsRewritten(t *testing.T) {
	dir, ctx := t.TempDir(), context.Background()
	files := &flakyFileSystem{}
	s, end := openStore(t, dir, files, true)
	if err := s.SetEjected(ctx, "s-1", true); err != nil {
		t.Fatal(err)
	}
	files.tearing.Store(true)
	if err := s.SetEjected(ctx, "s-2", true); !errors.Is(err, ErrNotSaved) {
		t.Errorf("half a write: %v", err)
	}
	files.tearing.Store(false)
	for _, harm := range []func() error{func() error { return nil }, func() error { return os.Remove(s.path) }, func() error { return os.Truncate(s.path, 10) }} {
		waitUntil(t, "saved", func() bool {
			text, _ := os.ReadFile(s.path)
			in, err := parseState(text)
			return err == nil && in.ejectedCount() == 2
		})
		if err := harm(); err != nil {
			t.Fatal(err)
		}
	}
	waitUntil(t, "saved again", func() bool {
		text, _ := os.ReadFile(s.path)
		in, err := parseState(text)
		return err == nil && in.ejectedCount() == 2
	})
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

func (d *damagingFileSystem) WriteFileAtomic(path string, text []byte) (string, error) {
	stamp, err := d.osFileSystem.WriteFileAtomic(path, text)
	d.once.Do(func() { _ = os.Truncate(path, 10) })
	return stamp, err
}

// Damage that comes before the store has looked at what it wrote does not pass for the written file.
func TestCorruptionRightAfterWrite(t *testing.T) {
	s, end := openStore(t, t.TempDir(), &damagingFileSystem{}, true)
	defer end()
	if err := s.SetEjected(context.Background(), "s-1", true); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "written anew", func() bool {
		text, _ := os.ReadFile(s.path)
		in, err := parseState(text)
		return err == nil && in.ejectedCount() == 1
	})
}

// A file system that hangs holds up no order, and keeps one task at most.
func TestHangingFileSystem(t *testing.T) {
	hang := &hangingFileSystem{release: make(chan struct{})}
	s := Open(Options{Directory: t.TempDir(), Name: "n0", Listen: "127.0.0.1:1", FileSystem: hang})
	begun := time.Now()
	for i := range 3 {
		if err := s.SetEjected(context.Background(), fmt.Sprint("s-", i), true); !errors.Is(err, ErrNotSaved) {
			t.Errorf("%v", err)
		}
	}
	if took := time.Since(begun); took > 2700*time.Millisecond {
		t.Errorf("three orders took %v", took)
	}
	if n := hang.entered.Load(); n > 1 {
		t.Errorf("%d tasks hang", n)
	}
	close(hang.release)
}

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

// Whatever is ordered where and in whatever order states are merged, all come to the same, and an
// order given after another was seen counts.
func TestMergeIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		states := []state{newState(), newState(), newState()}
		last := map[string]bool{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			i := rapid.IntRange(0, 2).Draw(t, "process")
			id := fmt.Sprint("s-", rapid.IntRange(0, 3).Draw(t, "id"))
			if rapid.Bool().Draw(t, "hears first") {
				for _, o := range states {
					states[i].merge(o)
				}
				last[id] = rapid.Bool().Draw(t, "out")
				if err := states[i].setEjected(id, last[id]); err != nil {
					t.Fatal(err)
				}
				continue
			}
			delete(last, id) // crossed orders: either may count
			_ = states[i].setEjected(id, rapid.Bool().Draw(t, "out"))
		}
		var all []state
		for _, order := range [][]int{{0, 1, 2}, {2, 1, 0}, {1, 0, 2}} {
			sum := newState()
			for _, i := range order {
				sum.merge(states[i])
			}
			all = append(all, sum)
		}
		if !all[0].equal(all[1]) || !all[0].equal(all[2]) {
			t.Fatalf("%v, %v, %v", all[0], all[1], all[2])
		}
	})
}

// However many replicas come and go, so much is remembered, and what is out is not forgotten.
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
		t.Errorf("%d orders, %d out", len(s.Replicas), s.ejectedCount())
	}
	for id := range s.Replicas {
		s.Replicas[id] = order{Number: s.Replicas[id].Number, Active: true}
	}
	err := s.setEjected("b", true)
	if !errors.Is(err, ErrTooManyEjected) || s.ejectedCount() != maxOrders || slices.Contains([]bool{s.Replicas["a0"].Active, s.Replicas["a9"].Active}, false) {
		t.Errorf("%v with %d out", err, s.ejectedCount())
	}
}
