package replay

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"archknot/balancer"
	"archknot/internal/capture"
	pb "archknot/internal/capture/capturepb"
)

// A replay reproduces the recorded decisions, from the start and from each checkpoint, for any initial clock.
func TestReplayReproducesDecisions(t *testing.T) {
	for _, clock := range []balancer.Micros{0, 1, 1_780_000_000_000_000} {
		run, h, _ := recordRun(t, uint64(clock)+3, clock, 30)
		a, b := mustReplay(t, run, Options{}), mustReplay(t, run, Options{RestartAtCheckpoints: true})
		if a.Differing != 0 || a.Gaps != 0 || a.Skipped != 0 || a.Digest != b.Digest || b.Differing != 0 {
			t.Fatalf("clock %d: %s and %s, %v", clock, a.Line(), b.Line(), a.ByKind)
		}
		// The host reconfigures the module at random about every 3.5 s. The times depend on the module's decisions, but
		// fewer than three reconfigurations in 30 s are very unlikely.
		if a.Events < 5000 || a.Checkpoints < 10 || a.Decisions < 1000 || int(a.Events) < h.events || h.reconfigurations < 3 {
			t.Fatalf("clock %d: a poor run: %+v of %d events, %d reconfigurations", clock, a, h.events, h.reconfigurations)
		}
		// A replay from any checkpoint gives the recorded decisions, too.
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

// Recording does not affect decisions: a host without a recorder makes the same ones.
func TestRecordingChangesNothing(t *testing.T) {
	_, h, _ := recordRun(t, 5, 77, 12)
	bare := newHost(t, 5, 77)
	bare.begin(10)
	bare.run(12, 60)
	if !bytes.Equal(bare.balancer.Snapshot(), h.balancer.Snapshot()) || bare.events != h.events {
		t.Fatalf("the module's states differ; %d and %d events", bare.events, h.events)
	}
}

// A module that decides differently is reported at its first difference, with the scores of the replicas. It is kept in
// step with the recording, so that a differing pick does not make later decisions differ.
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
	// Only differences at events that match the filter are counted.
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

// A recording can begin while requests and hedges are in flight.
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
	h.run(1, 80) // continues without the recorder
	if res := mustReplay(t, openRun(t, dir), Options{}); res.Differing != 0 || res.Events < 1200 {
		t.Error(res.Line())
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
	if !errors.Is(err, capture.ErrUnsupportedVersion) || !strings.Contains(err.Error(), fmt.Sprintf("version 9.%d", capture.FormatMinor)) {
		t.Errorf("another major version: %v", err)
	}
	// A later minor version: fields that this build does not know are ignored.
	later := withRewrittenHeader(t, path, func(h *pb.Header) {
		h.Minor = capture.FormatMinor + 1
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

// A snapshot is the deterministic encoding of the message State and has no fields that the message lacks.
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

// Replays the saved captures of past incidents. Their decisions must equal the recorded or the accepted ones.
func TestSavedIncidents(t *testing.T) {
	paths, err := filepath.Glob("../../testdata/incidents/*.akcap")
	if err != nil || len(paths) == 0 {
		t.Fatal("there are none", err)
	}
	for _, path := range paths {
		run := openRun(t, path)
		res := mustReplay(t, run, Options{})
		want := ""
		if text, err := os.ReadFile(strings.TrimSuffix(path, capture.SegmentSuffix) + ".accepted"); err == nil {
			want = string(text)
		}
		if res.Gaps != 0 || res.Events == 0 || res.Differing > 0 && !strings.Contains(want, res.Differences) || res.Differing == 0 && want != "" {
			t.Errorf("%s: %s %v\nSee what differs: archknot replay %s; if it is meant to: archknot replay --accept", path, res.Line(), res.ByKind, path)
		}
	}
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
