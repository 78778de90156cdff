package gateway

import (
	"context"
	"errors"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"archknot/internal/capture"
	"archknot/internal/replay"
)

func captureTo(dir string) *Capture {
	return &Capture{
		Writer: capture.WriterOptions{Directory: dir, Gateway: "t", Build: "test", QueueLength: 8, MaxBytes: 64 << 20, MaxAge: time.Hour,
			MaxIncidents: 2, IncidentWindow: time.Hour, IncidentInterval: time.Hour},
		Recorder: capture.Options{CheckpointInterval: 50 * time.Millisecond, BlockSize: 4 << 10, FlushInterval: 10 * time.Millisecond, SegmentSize: 1 << 20, SegmentAge: time.Minute},
	}
}

func replayDir(t *testing.T, dir string) (events uint64, runs int) {
	t.Helper()
	found, err := capture.FindRuns(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, run := range found {
		res, err := replay.Replay(run, replay.Options{})
		if err != nil {
			t.Fatal(err)
		}
		if res.Differing != 0 || res.Gaps != 0 || res.Skipped != 0 {
			t.Errorf("%s %v", res.Line(), res.ByKind)
		}
		events += res.Events
	}
	return events, len(found)
}

// The capture of a gateway on sockets replays identically: served and shed attempts, a replica
// that drains, and discovery that moves.
func TestGatewayRecords(t *testing.T) {
	dir := t.TempDir()
	serving := newFakeReplica(t, "s-1", answerCompletely)
	shedding := newFakeReplica(t, "s-2", replyWith(shedReply, true))
	g := startGateway(t, func(o *Options) { o.Capture = captureTo(dir) }, serving, shedding)
	for i := range 30 {
		c := dial(t, g.addr)
		c.sendRequest(strings.Repeat("x", i+1), "4000m")
		if resp, _ := c.readAnswer(); resp.StatusCode != http.StatusOK {
			t.Fatal(resp.Status)
		}
	}
	g.discoveryServer.change(listEntry(shedding, "draining"))
	next := newFakeDiscovery(t, g.discoveryServer.list)
	g.MoveDiscovery(next.addr, time.Now())
	waitUntil(t, "the move", func() bool { return next.callCount() > 0 })
	s, err := g.SaveIncident(t.Context(), "a test")
	if err != nil || s.Segments == 0 {
		t.Fatalf("%+v %v", s, err)
	}
	if n, _ := replayDir(t, s.Path); n < 60 {
		t.Errorf("the incident has %d events", n)
	}
	// Off and on again while it serves; a request is open meanwhile.
	ctx, stop := context.WithTimeout(t.Context(), 5*time.Second)
	defer stop()
	if err := g.SetCapture(ctx, nil); err != nil {
		t.Fatal(err)
	}
	if _, err := g.SaveIncident(ctx, "x"); !errors.Is(err, ErrNotRecording) {
		t.Errorf("saved without a recording: %v", err)
	}
	c := dial(t, g.addr)
	c.sendRequest("unrecorded", "4000m")
	c.readAnswer()
	if err := g.SetCapture(ctx, captureTo(dir)); err != nil {
		t.Fatal(err)
	}
	c.sendRequest("again", "4000m")
	c.readAnswer()
	waitUntil(t, "its end", func() bool { return g.clients.inFlightCount() == 0 })
	if err := g.SetCapture(ctx, nil); err != nil {
		t.Fatal(err)
	}
	n, runs := replayDir(t, dir)
	if runs != 2 || n < 70 {
		t.Errorf("%d events in %d runs", n, runs)
	}
	found, err := capture.FindRuns(dir)
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if ok, err := replay.Explain(found[1], "again", &out); !ok || err != nil || !strings.Contains(out.String(), "chose s-1") {
		t.Errorf("%v %v\n%s", ok, err, out.String())
	}
	if files, _ := filepath.Glob(filepath.Join(dir, "*")); len(files) < 3 {
		t.Errorf("%v", files)
	}
}
