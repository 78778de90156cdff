package replay

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"archknot/internal/capture"
)

// countEvents returns the number of events in the readable blocks of a run.
func countEvents(run *capture.Run) (events uint64) {
	for _, s := range run.Segments {
		for _, b := range s.Blocks {
			events += uint64(b.Records)
		}
	}
	return events
}

// A segment that a crash has truncated within a block loses only that block, and the loss is reported as a gap.
func TestTruncatedSegment(t *testing.T) {
	run, _, dir := recordRun(t, 9, 0, 8)
	path := run.Segments[0].Path
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	all := run.Segments[0].Blocks
	for _, cut := range []int{len(text) - 20, int(all[len(all)-1].Offset) + 60, int(all[5].Offset) + 10, int(all[5].Offset) + 48, int(all[1].Offset) - 1} {
		if err := os.WriteFile(path, text[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		short := openRun(t, dir)
		n := countEvents(short)
		var want uint64
		for i, b := range all {
			end := len(text)
			if i+1 < len(all) {
				end = int(all[i+1].Offset)
			}
			if i+1 == len(all) {
				end = int(b.Offset) + 61 // the index after it does not matter
			}
			if cut >= end {
				want += uint64(b.Records)
			}
		}
		res := mustReplay(t, short, Options{})
		if cut > int(all[len(all)-1].Offset)+61 {
			want = countEvents(run)
		}
		if n != want || res.Events != want || res.Differing != 0 {
			t.Errorf("cut at %d: %d of %d events can be read, replayed %s", cut, n, want, res.Line())
		}
		if lost := cut < int(all[len(all)-1].Offset)+100; lost && res.Gaps == 0 {
			t.Errorf("cut at %d: not reported: %s", cut, res.Line())
		}
	}
}

// A corrupted block in the middle of a segment loses the events up to the next checkpoint, and the loss is reported.
func TestDamageInTheMiddle(t *testing.T) {
	run, _, dir := recordRun(t, 10, 0, 9)
	s := run.Segments[0]
	text, err := os.ReadFile(s.Path)
	if err != nil {
		t.Fatal(err)
	}
	at := s.Blocks[3].Offset
	for name, corrupt := range map[string]func([]byte) []byte{
		"contents": func(b []byte) []byte { b[at+60] ^= 1; return b },
		"head":     func(b []byte) []byte { b[at+20] ^= 1; return b },
		"index":    func(b []byte) []byte { b[len(b)-40] ^= 1; b[at+60] ^= 1; return b },
		"cut out":  func(b []byte) []byte { return append(b[:at+5:at+5], b[at+33:]...) },
	} {
		if err := os.WriteFile(s.Path, corrupt(bytes.Clone(text)), 0o600); err != nil {
			t.Fatal(err)
		}
		res := mustReplay(t, openRun(t, dir), Options{})
		if res.Differing != 0 || res.Gaps == 0 || res.Skipped == 0 || res.Events == 0 {
			t.Errorf("%s: %s skipped=%d missing=%d", name, res.Line(), res.Skipped, res.Missing)
		}
		if res.Events+res.Skipped+res.Missing != countEvents(run) {
			t.Errorf("%s: %d replayed, %d skipped, %d missing of %d", name, res.Events, res.Skipped, res.Missing, countEvents(run))
		}
	}
}

// faultyDisk creates files whose writes fail while it is full, and block until writeGate is closed if it is set.
type faultyDisk struct {
	mu        sync.Mutex
	full      bool
	writeGate chan struct{}
}

type faultyFile struct {
	*os.File
	disk *faultyDisk
}

func (d *faultyDisk) set(full bool) {
	d.mu.Lock()
	d.full = full
	d.mu.Unlock()
}

func (d *faultyDisk) create(path string) (capture.File, error) {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return nil, err
	}
	return &faultyFile{f, d}, nil
}

func (f *faultyFile) Write(p []byte) (int, error) {
	if f.disk.writeGate != nil {
		<-f.disk.writeGate
	}
	f.disk.mu.Lock()
	full := f.disk.full
	f.disk.mu.Unlock()
	if full {
		n, _ := f.File.Write(p[:len(p)/2]) // a full disk writes a part of the data
		return n, errors.New("no space left on device")
	}
	return f.File.Write(p)
}

// waitForDisk waits until the writer's queue is empty, for at most limit.
func waitForDisk(w *capture.Writer, limit time.Duration) {
	for end := time.Now().Add(limit); w.QueuedTasks() > 0 && time.Now().Before(end); time.Sleep(100 * time.Microsecond) {
	}
}

// While the disk is full, events are lost: the capture records and counts the gap, and a checkpoint ends it.
func TestDiskFull(t *testing.T) {
	dir, disk := t.TempDir(), &faultyDisk{}
	writerOptions := testWriterOptions(dir)
	writerOptions.CreateFile = disk.create
	var mu sync.Mutex
	logged := map[string]int{}
	writerOptions.Log = func(msg string, _ ...any) { mu.Lock(); logged[msg]++; mu.Unlock() }
	w, err := capture.NewWriter(writerOptions)
	if err != nil {
		t.Fatal(err)
	}
	h := newHost(t, 12, 50)
	r := h.record(w, testRecorderOptions())
	h.begin(10)
	// The host generates events much faster than real time. It waits for the writer after each half second of them,
	// since a queue that fills up on a busy machine would cause other gaps.
	run := func(seconds int) {
		for range 2 * seconds {
			h.run(0.5, 60)
			waitForDisk(w, 5*time.Second)
		}
	}
	run(5)
	disk.set(true)
	run(5)
	disk.set(false)
	run(6)
	r.Close()
	w.Close()
	res := mustReplay(t, openRun(t, dir), Options{})
	if res.Differing != 0 || res.Gaps == 0 || res.Missing < 500 || res.Events < 2000 {
		t.Errorf("%s missing=%d skipped=%d", res.Line(), res.Missing, res.Skipped)
	}
	if n := int(res.Events + res.Missing + res.Skipped); n < h.events || n > h.events+10 {
		t.Errorf("%d events are accounted for, there were %d", n, h.events)
	}
	if logged["capture_gap"] == 0 || logged["capture_failed"] == 0 || logged["capture_resumed"] == 0 {
		t.Errorf("logged: %v", logged)
	}
}

// A blocked disk does not block the host. The bounded queue overflows, and the events are lost in a gap.
func TestQueueOverflow(t *testing.T) {
	dir, disk := t.TempDir(), &faultyDisk{writeGate: make(chan struct{})}
	writerOptions := testWriterOptions(dir)
	writerOptions.CreateFile, writerOptions.BlockWhenFull, writerOptions.QueueLength = disk.create, false, 3
	w, err := capture.NewWriter(writerOptions)
	if err != nil {
		t.Fatal(err)
	}
	h := newHost(t, 12, 50)
	o := testRecorderOptions()
	r := h.record(w, o)
	h.begin(10)
	h.run(10, 60)
	if w.Stats.Gaps.Load() == 0 {
		t.Error("no gap")
	}
	close(disk.writeGate)
	// Recording resumes once the writer has emptied the queue.
	waitForDisk(w, 5*time.Second)
	for range 40 { // the host may overflow the queue again; the recording only has to resume
		h.run(0.5, 60)
		waitForDisk(w, time.Second)
	}
	r.Close()
	w.Close()
	res := mustReplay(t, openRun(t, dir), Options{})
	if res.Differing != 0 || res.Gaps == 0 || res.Missing == 0 || res.Events < 2000 {
		t.Errorf("%s missing=%d", res.Line(), res.Missing)
	}
}

func TestDiskLimits(t *testing.T) {
	dir := t.TempDir()
	writerOptions := testWriterOptions(dir)
	writerOptions.MaxBytes = 300 << 10
	w, err := capture.NewWriter(writerOptions)
	if err != nil {
		t.Fatal(err)
	}
	h := newHost(t, 14, 0)
	o := testRecorderOptions()
	o.SegmentSize, o.SegmentAge = 64<<10, time.Hour
	r := h.record(w, o)
	h.begin(10)
	h.run(60, 100)
	saved := make(chan capture.SavedIncident, 8)
	for i := range 5 {
		h.run(1, 60)
		r.SaveIncident(h.now, fmt.Sprint("reason ", i), saved)
	}
	r.Close()
	w.Close()
	run := openRun(t, dir)
	if n := run.Bytes(); n > writerOptions.MaxBytes+200<<10 || w.Stats.DeletedSegments.Load() == 0 {
		t.Errorf("%d bytes on disk, %d segments deleted", n, w.Stats.DeletedSegments.Load())
	}
	if res := mustReplay(t, run, Options{}); res.Differing != 0 || res.Gaps != 0 || res.Events == 0 {
		t.Error(res.Line())
	}
	for range 5 {
		if s := <-saved; s.Err != nil || s.Segments == 0 {
			t.Errorf("%+v", s)
		}
	}
	manifests, _ := filepath.Glob(filepath.Join(dir, "incidents", "*", "incident.json"))
	if len(manifests) != 3 {
		t.Errorf("saved incidents: %v", manifests)
	}
	for _, manifest := range manifests {
		if res := mustReplay(t, openRun(t, filepath.Dir(manifest)), Options{}); res.Differing != 0 || res.Events == 0 {
			t.Error(res.Line())
		}
		info, err := os.Stat(filepath.Join(filepath.Dir(manifest), "incident.json"))
		if err != nil || info.Mode().Perm() != 0o600 {
			t.Errorf("%v %v", info.Mode(), err)
		}
	}
	for _, s := range run.Segments {
		if info, err := os.Stat(s.Path); err != nil || info.Mode().Perm() != 0o600 {
			t.Errorf("%v %v", info.Mode(), err)
		}
	}
}

func FuzzReader(f *testing.F) {
	dir := f.TempDir()
	w, err := capture.NewWriter(testWriterOptions(dir))
	if err != nil {
		f.Fatal(err)
	}
	h := newHost(&testing.T{}, 3, 0)
	r := h.record(w, testRecorderOptions())
	h.begin(4)
	h.run(2, 20)
	r.Close()
	w.Close()
	files, _ := filepath.Glob(filepath.Join(dir, "*.akcap"))
	intact, err := os.ReadFile(files[0])
	if err != nil {
		f.Fatal(err)
	}
	f.Add(intact)
	f.Add(intact[:len(intact)/2])
	f.Fuzz(func(t *testing.T, text []byte) {
		path := filepath.Join(t.TempDir(), "f.akcap")
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		runs, err := capture.FindRuns(path)
		if err != nil {
			return
		}
		_, _ = Replay(runs[0], Options{})
	})
}
