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

// flaky is a file system that fails while it is told to, in the ways that Linux documents, and leaves
// writes half done.
type flaky struct {
	disk
	broken atomic.Bool
	half   atomic.Bool // also leaves half of a text where the whole was to be, as after a crash of the machine
}

func (f *flaky) fails() error {
	if !f.broken.Load() {
		return nil
	}
	all := []error{syscall.ENOSPC, syscall.EIO, syscall.EROFS, syscall.EDQUOT, syscall.EFBIG, syscall.EMFILE, syscall.ENFILE, syscall.EINTR, syscall.ENOMEM}
	return &os.PathError{Op: "write", Path: "x", Err: all[rand.IntN(len(all))]}
}

func (f *flaky) Replace(path string, text []byte) (string, error) {
	if f.half.Load() {
		_ = os.WriteFile(path, text[:len(text)/2], 0o600)
		return "", syscall.EIO
	}
	if err := f.fails(); err != nil {
		return "", err
	}
	return f.disk.Replace(path, text)
}

func (f *flaky) Read(path string) ([]byte, error) {
	if err := f.fails(); err != nil {
		return nil, err
	}
	return f.disk.Read(path)
}

// open opens a store that ends with the test. beside: its task runs, and it tells successors.
func open(t *testing.T, dir string, files Files, beside bool) (*Store, func()) {
	t.Helper()
	s := Open(Options{Folder: dir, Name: "n0", Listen: "127.0.0.1:1", Files: files})
	ctx, stop := context.WithCancel(context.Background())
	end := func() {}
	if beside {
		done := make(chan struct{})
		go func() { s.Run(ctx); close(done) }()
		until(t, "the store tells successors", s.handoff.holds.Load)
		end = func() { stop(); <-done }
	}
	t.Cleanup(stop)
	return s, end
}

func until(t *testing.T, what string, yes func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !yes(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not in time: %s", what)
		}
	}
}

// What is out stays out in later processes, until it is put back. A drain ends with its process.
func TestOrdersOutlastTheProcess(t *testing.T) {
	dir, ctx := t.TempDir(), context.Background()
	s, _ := open(t, dir, nil, false)
	for _, id := range []string{"s-1", "s-2"} {
		if err := s.SetOut(ctx, id, true); err != nil || !s.Out(id) {
			t.Fatal(id, err)
		}
	}
	if err := s.SetDrained(ctx, true); err != nil {
		t.Fatal(err)
	}
	s, _ = open(t, dir, nil, false)
	if !s.Out("s-1") || !s.Out("s-2") || s.Out("s-3") || s.Drained() {
		t.Errorf("in the next life: %v, drained %v", s.AllOut(), s.Drained())
	}
	if err := s.SetOut(ctx, "s-1", false); err != nil {
		t.Fatal(err)
	}
	s, _ = open(t, dir, nil, false)
	if s.Out("s-1") || !s.Out("s-2") || !s.Known("s-1") {
		t.Errorf("after one was put back: %v", s.AllOut())
	}
	if other := Open(Options{Folder: dir, Name: "n1", Listen: "127.0.0.1:1"}); other.Out("s-2") {
		t.Error("another gateway's orders were taken over")
	}
}

// A process beside its predecessor takes over what is in force, the drain too, also where the folder
// cannot be written; what one is told the other hears of, and what was not saved is saved later.
func TestOrdersAreHandedOn(t *testing.T) {
	dir, ctx := t.TempDir(), context.Background()
	files := &flaky{}
	files.broken.Store(true)
	old, end := open(t, dir, files, true)
	begun := time.Now()
	if err := old.SetOut(ctx, "s-1", true); !errors.Is(err, ErrNotSaved) || !old.Out("s-1") {
		t.Errorf("on a broken disk: %v, out %v", err, old.Out("s-1"))
	}
	if err := old.SetDrained(ctx, true); !errors.Is(err, ErrNotSaved) {
		t.Errorf("on a broken disk: %v", err)
	}
	if took := time.Since(begun); took > 2*time.Second {
		t.Errorf("two orders took %v", took)
	}
	next := Open(Options{Folder: dir, Name: "n0", Listen: "127.0.0.1:1", Files: files})
	if !next.Out("s-1") || !next.Drained() {
		t.Errorf("handed on: %v, drained %v", next.AllOut(), next.Drained())
	}
	running, stop := context.WithCancel(ctx)
	defer stop()
	go next.Run(running)
	_ = old.SetOut(ctx, "s-2", true)
	until(t, "the next hears of the old one's order", func() bool { return next.Out("s-2") })
	files.broken.Store(false)
	until(t, "saved in the end", func() bool { return old.Failed() == nil && next.Failed() == nil })
	if err := next.SetOut(ctx, "s-1", false); err != nil {
		t.Fatal(err)
	}
	until(t, "the old one hears of the next's", func() bool { return !old.Out("s-1") })
	end()
	if err := next.SetDrained(ctx, false); err != nil {
		t.Fatal(err)
	}
	until(t, "the name is the next one's", next.handoff.holds.Load)
	third, _ := open(t, dir, nil, false)
	if third.Out("s-1") || !third.Out("s-2") || third.Drained() {
		t.Errorf("in the third life: %v, drained %v", third.AllOut(), third.Drained())
	}
}

// A file that is no state of ours, whole or half, is kept aside, and what is in force is saved anew.
func TestDamagedFiles(t *testing.T) {
	for name, text := range map[string]string{"empty": "", "half": `{"format":1,"replicas":{"s-1":{"numb`, "another's": "#!/bin/sh\n",
		"no format": `{"replicas":{}}`, "odd": `{"format":"x"}`} {
		dir, ctx := t.TempDir(), context.Background()
		s, _ := open(t, dir, nil, false)
		if err := os.WriteFile(s.path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		s, _ = open(t, dir, nil, false)
		if err := s.SetOut(ctx, "s-2", true); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if kept, err := os.ReadFile(s.path + ".damaged"); err != nil || string(kept) != text {
			t.Errorf("%s: kept aside %q, %v", name, kept, err)
		}
		if s, _ = open(t, dir, nil, false); !s.Out("s-2") {
			t.Errorf("%s: lost", name)
		}
	}
	// A later version's file, with more in it, serves.
	dir := t.TempDir()
	s, _ := open(t, dir, nil, false)
	if err := os.WriteFile(s.path, []byte(`{"format":7,"more":[1],"replicas":{"s-1":{"number":3,"on":true,"why":"x"}}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	if s, _ = open(t, dir, nil, false); !s.Out("s-1") {
		t.Error("a later version's order is lost")
	}
	// Nor is a file believed that is another's or no file.
	if err := os.Rename(s.path, s.path+".x"); err != nil {
		t.Fatal(err)
	}
	if err := os.Symlink(s.path+".x", s.path); err != nil {
		t.Fatal(err)
	}
	if s, _ = open(t, dir, nil, false); s.Out("s-1") {
		t.Error("a link was followed")
	}
}

// A running process that finds its file half written, emptied or gone writes it anew: what was
// acknowledged is still owed.
func TestTheFileIsWrittenAnew(t *testing.T) {
	dir, ctx := t.TempDir(), context.Background()
	files := &flaky{}
	s, end := open(t, dir, files, true)
	if err := s.SetOut(ctx, "s-1", true); err != nil {
		t.Fatal(err)
	}
	files.half.Store(true)
	if err := s.SetOut(ctx, "s-2", true); !errors.Is(err, ErrNotSaved) {
		t.Errorf("half a write: %v", err)
	}
	files.half.Store(false)
	for _, harm := range []func() error{func() error { return nil }, func() error { return os.Remove(s.path) }, func() error { return os.Truncate(s.path, 10) }} {
		until(t, "saved", func() bool {
			text, _ := os.ReadFile(s.path)
			in, err := parse(text)
			return err == nil && in.out() == 2
		})
		if err := harm(); err != nil {
			t.Fatal(err)
		}
	}
	until(t, "saved again", func() bool {
		text, _ := os.ReadFile(s.path)
		in, err := parse(text)
		return err == nil && in.out() == 2
	})
	end()
	if left, _ := filepath.Glob(filepath.Join(dir, "*.new-*")); len(left) > 0 {
		t.Errorf("left behind: %v", left)
	}
}

// damaging truncates a file once, right after it was written.
type damaging struct {
	disk
	once sync.Once
}

func (d *damaging) Replace(path string, text []byte) (string, error) {
	stamp, err := d.disk.Replace(path, text)
	d.once.Do(func() { _ = os.Truncate(path, 10) })
	return stamp, err
}

// Damage that comes before the store has looked at what it wrote does not pass for the written file.
func TestDamageRightAfterAWrite(t *testing.T) {
	s, end := open(t, t.TempDir(), &damaging{}, true)
	defer end()
	if err := s.SetOut(context.Background(), "s-1", true); err != nil {
		t.Fatal(err)
	}
	until(t, "written anew", func() bool {
		text, _ := os.ReadFile(s.path)
		in, err := parse(text)
		return err == nil && in.out() == 1
	})
}

// A file system that hangs holds up no order, and keeps one task at most.
func TestAHangingDisk(t *testing.T) {
	hang := &hanging{free: make(chan struct{})}
	s := Open(Options{Folder: t.TempDir(), Name: "n0", Listen: "127.0.0.1:1", Files: hang})
	begun := time.Now()
	for i := range 3 {
		if err := s.SetOut(context.Background(), fmt.Sprint("s-", i), true); !errors.Is(err, ErrNotSaved) {
			t.Errorf("%v", err)
		}
	}
	if took := time.Since(begun); took > 2700*time.Millisecond {
		t.Errorf("three orders took %v", took)
	}
	if n := hang.in.Load(); n > 1 {
		t.Errorf("%d tasks hang", n)
	}
	close(hang.free)
}

type hanging struct {
	disk
	in   atomic.Int32
	free chan struct{}
}

func (h *hanging) Stamp(string) (string, error) {
	h.in.Add(1)
	<-h.free
	return "", nil
}

// Whatever is ordered where and in whatever order states are merged, all come to the same, and an
// order given after another was seen counts.
func TestMergesAgree(t *testing.T) {
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
				if err := states[i].set(id, last[id]); err != nil {
					t.Fatal(err)
				}
				continue
			}
			delete(last, id) // crossed orders: either may count
			_ = states[i].set(id, rapid.Bool().Draw(t, "out"))
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
	for i := range mostOrders - 5 {
		s.Replicas[fmt.Sprint("a", i)] = order{Number: uint64(i + 1), On: i < 10}
	}
	for i := range 100 {
		if err := s.set(fmt.Sprint("c", i), false); err != nil {
			t.Fatal(err)
		}
	}
	if len(s.Replicas) != mostOrders || s.out() != 10 {
		t.Errorf("%d orders, %d out", len(s.Replicas), s.out())
	}
	for id := range s.Replicas {
		s.Replicas[id] = order{Number: s.Replicas[id].Number, On: true}
	}
	err := s.set("b", true)
	if !errors.Is(err, ErrTooMany) || s.out() != mostOrders || slices.Contains([]bool{s.Replicas["a0"].On, s.Replicas["a9"].On}, false) {
		t.Errorf("%v with %d out", err, s.out())
	}
}
