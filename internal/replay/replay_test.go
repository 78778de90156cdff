package replay

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"archknot/balancer"
	"archknot/internal/capture"
	pb "archknot/internal/capture/capturepb"
)

// A capture that is replayed twice gives the decisions that were recorded, from the start and from each checkpoint,
// whatever the clock begins at.
func TestReplayReproducesDecisions(t *testing.T) {
	for _, clock := range []balancer.Micros{0, 1, 1_780_000_000_000_000} {
		run, h, _ := recordRun(t, uint64(clock)+3, clock, 30)
		a, b := mustReplay(t, run, Options{}), mustReplay(t, run, Options{RestartAtCheckpoints: true})
		if a.Differing != 0 || a.Gaps != 0 || a.Skipped != 0 || a.Digest != b.Digest || b.Differing != 0 {
			t.Fatalf("clock %d: %s and %s, %v", clock, a.Line(), b.Line(), a.ByKind)
		}
		// Reconfigurations are drawn with the outcomes, about one in 3.5 s: a change of
		// decisions draws them anew, and fewer than three in 30 s hardly ever come.
		if a.Events < 5000 || a.Checkpoints < 10 || a.Decisions < 1000 || int(a.Events) < h.events || h.versions < 3 {
			t.Fatalf("clock %d: a poor run: %+v of %d events, %d versions", clock, a, h.events, h.versions)
		}
		// From each checkpoint on, the remainder is decided as from the start.
		var remaining uint64
		for at := clock; at < run.End(); at += 3 * second {
			c := mustReplay(t, run, Options{From: max(1, at)})
			if c.Differing != 0 || c.Gaps != 0 || remaining != 0 && c.Events > remaining {
				t.Fatalf("clock %d: from %d: %s", clock, at, c.Line())
			}
			remaining = c.Events
		}
		if remaining == 0 || remaining >= a.Events/2 {
			t.Fatalf("the last checkpoint leads to %d of %d events", remaining, a.Events)
		}
	}
}

// Recording changes nothing: a host makes the same decisions without it.
func TestRecordingChangesNothing(t *testing.T) {
	_, h, _ := recordRun(t, 5, 77, 12)
	bare := newHost(t, 5, 77)
	bare.begin(10)
	bare.run(12, 60)
	if !bytes.Equal(bare.balancer.Snapshot(), h.balancer.Snapshot()) || bare.events != h.events {
		t.Fatalf("the module's states differ; %d and %d events", bare.events, h.events)
	}
}

// A module that decides differently is flagged at its first difference, with the scores of the replicas, and kept in
// step: recorded requests that it would have sent elsewhere do not make later decisions differ.
func TestChangedModuleIsFlagged(t *testing.T) {
	run, _, _ := recordRun(t, 8, 0, 20)
	changed := map[string]func(*balancer.Settings){
		"price":    func(s *balancer.Settings) { s.CrossZoneCost = 0.5 },
		"attempts": func(s *balancer.Settings) { s.MaxAttempts = 1 },
		"hedges":   func(s *balancer.Settings) { s.MayHedge = false },
		"weight":   func(s *balancer.Settings) { s.OverQuotaWeight = 1 },
		"retry":    func(s *balancer.Settings) { s.MaxRetryAfter = 1000 },
		"objective": func(s *balancer.Settings) {
			s.Classes = append([]balancer.Class(nil), s.Classes...)
			s.Classes[0].LatencyObjective = second / 4
		},
	}
	want := map[string]string{"price": KindPick, "attempts": KindPick, "hedges": KindPick, "retry": KindRetryAfter, "objective": KindTimer}
	for name, change := range changed {
		other := *run
		change(&other.Settings)
		var first *Difference
		var scores string
		names := NewNames()
		res := mustReplay(t, &other, Options{OnStep: func(s *Step) { names = s.Names }, OnDifference: func(d *Difference) {
			if first == nil {
				first = d
			}
			if d.Pick != nil {
				scores = d.Pick.FormatTable(names)
			}
		}})
		if kind := want[name]; kind != "" && res.ByKind[kind] == 0 {
			t.Errorf("%s: %v", name, res.ByKind)
		}
		if res.Differing > 0 && (first.Own == first.Recorded || first.Event == "") {
			t.Errorf("%s: %+v", name, first)
		}
		if name == "price" && (!strings.Contains(scores, "s-1017") || !strings.Contains(scores, "<- chosen") || res.ByClass["chat"] == 0 || len(res.ByReplica) < 3) {
			t.Errorf("%s: %s\n%s\n%v", name, res.Line(), scores, res.ByReplica)
		}
		if name == "price" && res.Differing > res.Decisions/2 {
			t.Errorf("%s: %d of %d decisions: it was not kept in step", name, res.Differing, res.Decisions)
		}
		again := mustReplay(t, &other, Options{})
		if again.Differences != res.Differences || again.Digest != res.Digest {
			t.Errorf("%s: two replays differ", name)
		}
	}
	// Only differences that match the filter count.
	other := *run
	other.Settings.CrossZoneCost = 0.5
	f, err := ParseFilter("class == agent")
	if err != nil {
		t.Fatal(err)
	}
	if res := mustReplay(t, &other, Options{Where: f}); res.ByClass["chat"] != 0 || res.ByClass["agent"] == 0 {
		t.Errorf("filtered: %v", res.ByClass)
	}
}

// countEvents returns the number of events in blocks that can be read.
func countEvents(run *capture.Run) (events uint64) {
	for _, s := range run.Segments {
		for _, b := range s.Blocks {
			events += uint64(b.Records)
		}
	}
	return events
}

// A crash in the middle of a block loses that block and no more.
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

// Corruption in the middle loses what no later checkpoint leads to, and is reported.
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

// faultyDisk fails or blocks on request.
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
		n, _ := f.File.Write(p[:len(p)/2]) // as a full disk does
		return n, errors.New("no space left on device")
	}
	return f.File.Write(p)
}

// waitForDisk waits until the writer's queue is empty, at most for a limit.
func waitForDisk(w *capture.Writer, limit time.Duration) {
	for end := time.Now().Add(limit); w.QueuedTasks() > 0 && time.Now().Before(end); time.Sleep(100 * time.Microsecond) {
	}
}

// A full disk is a gap: recorded, counted, and ended by a checkpoint.
func TestDiskFull(t *testing.T) {
	dir, disk := t.TempDir(), &faultyDisk{}
	l := testWriterOptions(dir)
	l.CreateFile = disk.create
	var mu sync.Mutex
	logged := map[string]int{}
	l.Log = func(msg string, _ ...any) { mu.Lock(); logged[msg]++; mu.Unlock() }
	w, err := capture.NewWriter(l)
	if err != nil {
		t.Fatal(err)
	}
	h := newHost(t, 12, 50)
	r := h.record(w, testRecorderOptions())
	h.begin(10)
	// The host generates seconds of events in milliseconds. They are written before more are generated: a busy
	// machine's full queue would cause gaps that this test is not about.
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

// A disk that blocks does not block the host, and nothing grows.
func TestQueueOverflow(t *testing.T) {
	dir, disk := t.TempDir(), &faultyDisk{writeGate: make(chan struct{})}
	l := testWriterOptions(dir)
	l.CreateFile, l.BlockWhenFull, l.QueueLength = disk.create, false, 3
	w, err := capture.NewWriter(l)
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
	// The queue empties by itself; then the recording resumes.
	waitForDisk(w, 5*time.Second)
	for range 40 { // the host may run ahead of the disk again: what counts is that it resumes
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

// A recording begins while requests and hedges are in flight.
func TestRecordingStartedMidRun(t *testing.T) {
	dir := t.TempDir()
	h := newHost(t, 13, 1000)
	h.begin(10)
	h.run(5, 80)
	if h.balancer.Stats().LedgerEntries < 5 {
		t.Fatal("nothing is in flight")
	}
	w, err := capture.NewWriter(testWriterOptions(dir))
	if err != nil {
		t.Fatal(err)
	}
	r := h.record(w, testRecorderOptions())
	h.run(5, 80)
	r.Close()
	w.Close()
	h.module = h.balancer
	h.run(1, 80) // goes on without
	if res := mustReplay(t, openRun(t, dir), Options{}); res.Differing != 0 || res.Events < 1200 {
		t.Error(res.Line())
	}
}

func TestDiskLimits(t *testing.T) {
	dir := t.TempDir()
	l := testWriterOptions(dir)
	l.MaxBytes = 300 << 10
	w, err := capture.NewWriter(l)
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
	if n := run.Bytes(); n > l.MaxBytes+200<<10 || w.Stats.Dropped.Load() == 0 {
		t.Errorf("%d bytes on disk, %d segments deleted", n, w.Stats.Dropped.Load())
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

// withRewrittenHeader writes a copy of a segment with another header and returns its path.
func withRewrittenHeader(t *testing.T, path string, change func(*pb.Header)) string {
	t.Helper()
	out := filepath.Join(t.TempDir(), filepath.Base(path))
	if err := capture.RewriteHeader(path, out, change); err != nil {
		t.Fatal(err)
	}
	return out
}

func TestVersions(t *testing.T) {
	run, _, _ := recordRun(t, 15, 0, 4)
	path := run.Segments[0].Path
	_, err := capture.FindRuns(withRewrittenHeader(t, path, func(h *pb.Header) { h.Major = 9 }))
	if !errors.Is(err, capture.ErrUnsupportedVersion) || !strings.Contains(err.Error(), "version 9.6") {
		t.Errorf("another major version: %v", err)
	}
	// A later minor version: fields that this build does not know are ignored.
	later := withRewrittenHeader(t, path, func(h *pb.Header) {
		h.Minor = 7
		h.ProtoReflect().SetUnknown(protowire.AppendVarint(protowire.AppendTag(nil, 999, protowire.VarintType), 5))
	})
	if res := mustReplay(t, openRun(t, later), Options{}); res.Differing != 0 || res.Events == 0 {
		t.Error(res.Line())
	}
	if _, err := capture.FindRuns(withRewrittenHeader(t, path, func(h *pb.Header) { h.Settings = []byte(`{"NoSuchSetting":1}`) })); err == nil || !strings.Contains(err.Error(), "NoSuchSetting") {
		t.Errorf("an unknown setting: %v", err)
	}
	rec := &pb.Record{Kind: 99}
	if err := capture.Apply(nil, 0, rec); err == nil {
		t.Error("an unknown kind was accepted")
	}
}

// The state as the module writes it is the message State, without other fields.
func TestSnapshotMatchesStateMessage(t *testing.T) {
	_, h, _ := recordRun(t, 16, 0, 6)
	var st pb.State
	text := h.balancer.Snapshot()
	if err := proto.Unmarshal(text, &st); err != nil {
		t.Fatal(err)
	}
	check := func(m proto.Message) {
		if n := len(m.ProtoReflect().GetUnknown()); n > 0 {
			t.Errorf("%s: %d bytes of fields that the message lacks", m.ProtoReflect().Descriptor().Name(), n)
		}
	}
	check(&st)
	check(st.Table)
	check(st.Guard)
	check(st.FirstFit)
	for _, x := range st.Terms {
		check(x)
	}
	for _, w := range st.Rows {
		check(w)
	}
	for _, r := range st.Requests {
		check(r)
		for _, a := range r.Attempts {
			check(a)
		}
	}
	for _, s := range st.Table.Sessions {
		check(s)
	}
	again, err := proto.MarshalOptions{Deterministic: true}.Marshal(&st)
	if err != nil || !bytes.Equal(again, text) {
		t.Error("the message is marshalled differently than the module writes it")
	}
	if len(st.Rows) < 5 || len(st.Requests) == 0 || len(st.Ledgers) == 0 || len(st.Table.Sessions) == 0 {
		t.Error("a poor state")
	}
}

func TestCopySpanAndSeek(t *testing.T) {
	run, _, _ := recordRun(t, 17, 0, 20)
	out := filepath.Join(t.TempDir(), "cut.akcap")
	n, err := capture.CopySpan(run, 8*second, 12*second, out)
	if err != nil {
		t.Fatal(err)
	}
	cut := openRun(t, out)
	res := mustReplay(t, cut, Options{})
	if res.Differing != 0 || res.Events != n || n < 500 || res.Events > countEvents(run)/2 {
		t.Errorf("%s of %d", res.Line(), n)
	}
	if !cut.Segments[0].Closed {
		t.Error("it has no index")
	}
	to := mustReplay(t, run, Options{From: 8 * second, To: 9 * second})
	if to.Differing != 0 || to.Events == 0 || to.Events > res.Events {
		t.Errorf("a span: %s", to.Line())
	}
}

func TestExplain(t *testing.T) {
	run, _, _ := recordRun(t, 18, 0, 6)
	var id string
	mustReplay(t, run, Options{OnStep: func(s *Step) {
		if id == "" && s.Record.Kind == pb.Kind_KIND_ARRIVED && s.At > 2*second && len(s.Record.Actions) > 2 {
			id = s.Names.Request(s.Record.Request)
		}
	}})
	var out strings.Builder
	found, err := Explain(run, id, &out)
	if err != nil || !found {
		t.Fatal(found, err)
	}
	for _, want := range []string{"arrived request=" + id, "chose s-", "next is s-", "<- chosen", "in hand: ", "ordered: dispatch " + id, "ended request=" + id} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %q in\n%s", want, out.String())
		}
	}
	if found, _ := Explain(run, "nobody", &out); found {
		t.Error("found one that is not there")
	}
}

// Whatever arrives late, twice or not at all, each request gets one answer within the allowed attempts, and the state
// stays bounded.
func TestPerturb(t *testing.T) {
	run, _, _ := recordRun(t, 19, 1_780_000_000_000_000, 20)
	for _, kinds := range []string{"late", "void", "duplicate", "delay", "lost", "all"} {
		k, err := ParsePerturbations(kinds)
		if err != nil {
			t.Fatal(err)
		}
		var lines [2]string
		for i := range lines {
			res, err := Perturb(run, k, 4)
			if err != nil {
				t.Fatal(err)
			}
			lines[i] = res.Line()
			if len(res.Violations) > 0 || res.Served < 300 || res.Requests < 1000 {
				t.Errorf("%s: %s %v", kinds, res.Line(), res.Violations)
			}
			if res.Served+res.Shed+res.Failed+res.Disconnected != res.Requests {
				t.Errorf("%s: the answers do not add up: %s", kinds, res.Line())
			}
		}
		if lines[0] != lines[1] {
			t.Errorf("%s: equal seeds, %s and %s", kinds, lines[0], lines[1])
		}
	}
	if _, err := ParsePerturbations("late,odd"); err == nil {
		t.Error("an unknown perturbation was accepted")
	}
}

func TestFilter(t *testing.T) {
	run, _, _ := recordRun(t, 20, 0, 10)
	count := func(text string) (n int) {
		t.Helper()
		f, err := ParseFilter(text)
		if err != nil {
			t.Fatal(err)
		}
		mustReplay(t, run, Options{OnStep: func(s *Step) {
			if f.Match(s.Names, s.Record, s.At-run.Begin()) {
				n++
			}
		}})
		return n
	}
	all := count("orders >= 0")
	arrived := count("kind == arrived")
	for text, want := range map[string]int{
		"not kind == arrived":                                     all - arrived,
		`kind == "arrived" or kind != arrived`:                    all,
		"kind == arrived and not (class == chat or class==agent)": count(`kind == arrived and class == "unknown"`),
		"kind == arrived and wait >= 2s":                          arrived,
		"kind == arrived and wait < 2000000":                      0,
		"at < 0s":                                                 0,
		`worker =~ "^s-10"`:                                       count(`worker == "s-1000" or worker == "s-1017" or worker == "s-1034" or worker == "s-1051" or worker == "s-1068" or worker =~ "s-108."`),
		"final":                                                   count("final == true"),
		"attempt >= 0 and kind == timer":                          0,
	} {
		if got := count(text); got != want {
			t.Errorf("%s: %d events, not %d", text, got, want)
		}
	}
	if count("elapsed > 300ms and status == served") == 0 || count("timer == deadline") == 0 || count("order == refuse") > all/2 {
		t.Error("matches too few or too many")
	}
	for text, want := range map[string]string{
		"clas == x": "no field \"clas\"", "elapsed > fast": "a time such as", "class > x": "is text", "attempt =~ 1": "is no text",
		"worker =~ \"(\"": "missing closing", "kind ==": "unexpected", "(kind": "unexpected", "final == 3": "true or false", "class == 3s": "with text",
	} {
		if _, err := ParseFilter(text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", text, err)
		}
	}
}

// The saved incidents are past failures: each is replayed from then on.
func TestSavedIncidents(t *testing.T) {
	paths, err := filepath.Glob("../../testdata/incidents/*.akcap")
	if err != nil || len(paths) == 0 {
		t.Fatal("there are none", err)
	}
	for _, path := range paths {
		run := openRun(t, path)
		res := mustReplay(t, run, Options{})
		want := ""
		if text, err := os.ReadFile(strings.TrimSuffix(path, capture.Suffix) + ".accepted"); err == nil {
			want = string(text)
		}
		if res.Gaps != 0 || res.Events == 0 || res.Differing > 0 && !strings.Contains(want, res.Differences) || res.Differing == 0 && want != "" {
			t.Errorf("%s: %s %v\nSee what differs: archknot replay %s; if it is meant to: archknot replay --accept", path, res.Line(), res.ByKind, path)
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
	good, err := os.ReadFile(files[0])
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add(good[:len(good)/2])
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

func FuzzOrder(f *testing.F) {
	f.Add(uint64(1), "all")
	f.Add(uint64(2), "late,duplicate")
	f.Fuzz(func(t *testing.T, seed uint64, kinds string) {
		k, err := ParsePerturbations(kinds)
		if err != nil {
			return
		}
		run, _, _ := recordRun(t, seed, 0, 3)
		if res, err := Perturb(run, k, seed); err != nil || len(res.Violations) > 0 {
			t.Fatal(res, err)
		}
	})
}

func BenchmarkReplay(b *testing.B) {
	dir := b.TempDir()
	w, err := capture.NewWriter(testWriterOptions(dir))
	if err != nil {
		b.Fatal(err)
	}
	h := newHost(&testing.T{}, 3, 0)
	r := h.record(w, testRecorderOptions())
	h.begin(14)
	h.run(60, 100)
	r.Close()
	w.Close()
	runs, err := capture.FindRuns(dir)
	if err != nil {
		b.Fatal(err)
	}
	events := uint64(0)
	for b.Loop() {
		res, err := Replay(runs[0], Options{})
		if err != nil || res.Differing != 0 {
			b.Fatal(res, err)
		}
		events += res.Events
	}
	b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
	b.ReportMetric(float64(runs[0].Bytes())/float64(h.events), "bytes/event")
}
