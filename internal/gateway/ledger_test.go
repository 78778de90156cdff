package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"archknot/internal/capture"
	pb "archknot/internal/capture/capturepb"
	"archknot/internal/configversion"
	"archknot/internal/configversion/configpb"
	"archknot/internal/contract"
	"archknot/internal/contract/ledger"
	"archknot/internal/contract/split"
	"archknot/internal/fakes/controlservice"
	"archknot/internal/replay"
)

// A capture records the ledger's calls: verdicts, attempts, settlements, contract changes with
// requests in flight, quota shares and checkpoints replay identically, from the beginning and from
// each checkpoint. A changed verdict is detected.
func TestLedgerIsRecorded(t *testing.T) {
	dir := t.TempDir()
	var s2Calls atomic.Int64
	replica1 := newFakeReplica(t, "s-1", answerCompletely)
	replica2 := newFakeReplica(t, "s-2", func(c net.Conn, r *http.Request) bool {
		if s2Calls.Add(1)%2 == 0 {
			return answerCompletely(c, r)
		}
		_, err := io.WriteString(c, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	})
	store, _, err := ledger.Open(filepath.Join(t.TempDir(), "b.db"))
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	c := testContracts(15_000)
	c.Settings.ReserveFraction = 0.05
	c.Split = func() split.Strategy { return split.Equal{Gateways: 1} }
	g := startGateway(t, func(o *Options) {
		o.Capture, o.Contracts, o.Ledger = captureTo(dir), c, store
		o.Capture.Recorder.CheckpointInterval = 3 * time.Millisecond
		o.Capture.Writer.BlockWhenFull = true // a busy machine must not lose records
	}, replica1, replica2)
	rejected := 0
	for i := range 120 {
		cl := dial(t, g.addr)
		cl.sendRequestFor(fmt.Sprint("r", i), []string{"a", "b", "nobody"}[i%3])
		if resp, _ := cl.readAnswer(); resp.StatusCode == http.StatusTooManyRequests {
			rejected++
		}
		switch i {
		case 60:
			next := testContracts(60_000)
			next.Settings.ReserveFraction = 0.05
			if err := g.SetContracts(t.Context(), next); err != nil {
				t.Fatal(err)
			}
		case 80: // removes the contracts; the last request may not be settled yet
			if err := g.SetContracts(t.Context(), nil); err != nil {
				t.Fatal(err)
			}
		case 90:
			if err := g.SetContracts(t.Context(), testContracts(100_000)); err != nil {
				t.Fatal(err)
			}
		}
	}
	if rejected == 0 {
		t.Error("no request was rejected")
	}
	waitUntil(t, "settled", func() bool { return g.accounts(t)["a"].OpenCharges == 0 })
	ctx, stop := context.WithTimeout(t.Context(), 5*time.Second)
	defer stop()
	if err := g.SetCapture(ctx, nil); err != nil {
		t.Fatal(err)
	}
	found, err := capture.FindRuns(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, restart := range []bool{false, true} {
		res, err := replay.Replay(found[0], replay.Options{RestartAtCheckpoints: restart, OnDifference: func(d *replay.Difference) { t.Logf("%+v", *d) }})
		if err != nil {
			t.Fatal(err)
		}
		if res.Differing != 0 || res.Gaps != 0 || res.Skipped != 0 || res.Verdicts < 100 || res.Checkpoints < 3 {
			t.Errorf("restart %v: %s verdicts=%d checkpoints=%d %v", restart, res.Line(), res.Verdicts, res.Checkpoints, res.ByKind)
		}
	}
	// A changed verdict differs from the replayed one.
	r, err := capture.NewReader(found[0], found[0].Begin())
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	var l *capture.ReplayLedger
	for {
		e, err := r.Next()
		if err != nil {
			t.Fatal(err)
		}
		if e.Record.Kind == pb.Kind_KIND_CHECKPOINT && l == nil {
			if l, err = capture.RestoreReplayLedger(e.Record.Checkpoint); err != nil {
				t.Fatal(err)
			}
		}
		if e.Record.Kind == pb.Kind_KIND_CHARGED {
			e.Record.Charged.Worth = 0.7
			if own, recorded, err := l.Apply(e.At, e.Record); err != nil || own == recorded {
				t.Errorf("%q %q %v", own, recorded, err)
			}
			break
		}
	}
}

// After a kill, the restored balance is at least the actual usage; after a graceful shutdown, it
// is exactly that.
func TestBalancesSurviveRestart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "b.db")
	replica := newFakeReplica(t, "s-1", answerCompletely)
	for _, clean := range []bool{true, false} {
		var used, before contract.Units
		for run := range 2 {
			store, _, err := ledger.Open(path)
			if err != nil {
				t.Fatal(err)
			}
			c := testContracts(1_000_000)
			c.Settings.ReserveFraction, c.Settings.Strict = 0.01, true
			g := startGateway(t, func(o *Options) { o.Contracts, o.Ledger = c, store }, replica)
			if before = g.accounts(t)["a"].Used[contract.Quarter]; run == 1 {
				switch {
				case clean && before != used, before < used, before > used+10_000*contract.Token+5320*contract.Token:
					t.Errorf("clean %v: restored usage %d, actual %d", clean, before/contract.Token, used/contract.Token)
				}
			}
			cl := dial(t, g.addr)
			for i := range 5 {
				cl.sendRequestFor(fmt.Sprintf("r%d-%d", run, i), "a")
				if resp, text := cl.readAnswer(); resp.StatusCode == http.StatusTooManyRequests && !strings.Contains(text, "balance_not_kept") {
					t.Error(text)
				}
				waitUntil(t, "settled", func() bool { return g.accounts(t)["a"].OpenCharges == 0 })
			}
			used = g.accounts(t)["a"].Used[contract.Quarter]
			if clean {
				if err := g.CloseLedger(t.Context()); err != nil {
					t.Error(err)
				}
			}
			store.Close() // without CloseLedger, as after a kill: queued checkpoints are lost
		}
	}
}

// versionRejected reports whether a gateway has rejected a version with an error that contains words.
func versionRejected(s *controlservice.Service, words string) bool {
	for _, a := range s.Acks() {
		if strings.Contains(a.Error, words) {
			return true
		}
	}
	return false
}

// A streamed configuration version replaces the contracts of the file. A version with a budget
// below a team's usage, or with an invalid rate, is rejected.
func TestContractsAreStreamed(t *testing.T) {
	replica := newFakeReplica(t, "s-1", answerCompletely)
	s, err := controlservice.Start("127.0.0.1:0", nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	g := startGateway(t, func(o *Options) { o.Contracts = testContracts(1_000_000) }, replica)
	v := followControlService(t, "n0", s.Addr(), g)
	cl := dial(t, g.addr)
	publish := func(n uint64, teams ...contract.Terms) {
		version := chatVersion(n)
		version.Resources[configversion.TypeContract] = []proto.Message{}
		for i := range teams {
			version.Resources[configversion.TypeContract] = append(version.Resources[configversion.TypeContract], &configpb.Contract{Name: teams[i].Team, Terms: teams[i].ToProto()})
		}
		s.Publish(version)
	}
	expect := func(id string, want int) {
		t.Helper()
		cl.sendRequestFor(id, "a")
		if resp, text := cl.readAnswer(); resp.StatusCode != want {
			t.Errorf("%s: %s %s", id, resp.Status, text)
		}
		waitUntil(t, "settled", func() bool { return g.accounts(t)["a"].OpenCharges == 0 })
	}
	expect("files", http.StatusOK)
	tight := testContracts(7_000).Teams
	publish(1, tight...)
	waitUntil(t, "version 1", func() bool { return v.versionInForce() == 1 })
	expect("streamed", http.StatusOK) // 1224 tokens were used before, and 1224 by this request
	expect("spent", http.StatusTooManyRequests)
	// Valid by itself, but not after version 1: the budget is below the usage.
	publish(2, testContracts(500).Teams...)
	waitUntil(t, "version 2 rejected", func() bool { return v.versionInForce() == 1 && versionRejected(s, "below the") })
	invalid := testContracts(7_000).Teams
	invalid[0].Rate = -1
	publish(3, invalid...)
	waitUntil(t, "version 3 rejected", func() bool { return v.versionInForce() == 1 && versionRejected(s, "rate") })
	publish(4, testContracts(9_000).Teams...)
	waitUntil(t, "version 4", func() bool { return v.versionInForce() == 4 })
	expect("more", http.StatusOK)
	s.Publish(chatVersion(5)) // without contracts: the file's apply again, and earlier usage still counts
	waitUntil(t, "version 5", func() bool { return v.versionInForce() == 5 })
	expect("files-again", http.StatusOK)
	if used := g.accounts(t)["a"].Used[contract.Quarter]; used != 4*1224*contract.Token {
		t.Errorf("used %d", used/contract.Token)
	}
}

// Requests in flight when the contracts are removed are not settled in a later ledger.
func TestLedgerRenewedWithRequestsInFlight(t *testing.T) {
	dir, release := t.TempDir(), make(chan struct{})
	replica := newFakeReplica(t, "s-1", func(c net.Conn, r *http.Request) bool {
		<-release
		return answerCompletely(c, r)
	})
	g := startGateway(t, func(o *Options) { o.Capture, o.Contracts = captureTo(dir), testContracts(100_000) }, replica)
	cl := dial(t, g.addr)
	cl.sendRequestFor("in-flight", "a")
	waitUntil(t, "the request to be charged", func() bool { return g.accounts(t)["a"].OpenCharges == 1 })
	for _, c := range []*Contracts{nil, testContracts(100_000)} {
		if err := g.SetContracts(t.Context(), c); err != nil {
			t.Fatal(err)
		}
	}
	close(release)
	cl.readAnswer()
	waitUntil(t, "the request to end", func() bool { return g.clients.inFlightCount() == 0 })
	if err := g.SetCapture(t.Context(), nil); err != nil {
		t.Fatal(err)
	}
	replayDir(t, dir)
}
