package peers

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"archknot/internal/membership"
	"archknot/internal/takeover"
)

func TestDatagramRoundTrip(t *testing.T) {
	m := func(name string) takeover.Member { return takeover.Member{Name: name, Incarnation: 7} }
	in := datagram{from: m("a"), gossip: membership.Message{Kind: membership.MsgPing, Seq: 3, Updates: []membership.MemberInfo{{Member: m("b"), Addr: "127.0.0.1:1", Zone: "s", State: membership.Unreachable, Refutations: 2}}},
		messages: []takeover.Message{{Kind: takeover.MsgClaim, ToIncarnation: 9, RequestID: "r", QueryID: 1, Holder: m("c"), Epoch: 2, ResumeSeq: 3, NextResumeSeq: 4, Policy: takeover.RetryPolicy{Idempotent: true, Hedgeable: true}, TimeLeft: 5,
			Backups: []takeover.Member{m("d")}, Chain: 1, PermitGranted: true, Initial: true, OK: true, MayHaveRun: true, Reason: takeover.ReasonAttemptsExhausted, ProvenDead: []takeover.Member{m("e")}}}}
	b, err := in.encode()
	if err != nil {
		t.Fatal(err)
	}
	out, err := decodeDatagram(b)
	if diff := cmp.Diff(in, out, cmp.AllowUnexported(datagram{})); err != nil || diff != "" {
		t.Error(err, diff)
	}
	for n := range b { // cut short, it is refused or means less, and nothing panics
		_, _ = decodeDatagram(b[:n])
	}
	if _, err := decodeDatagram([]byte("noise that no gateway sent")); err == nil {
		t.Error("noise is taken")
	}
}

// Three links in one process: one holds a request and ends, another goes on with it,
// once; the claim of a third is refused.
func TestClaimOverSockets(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var all []*Service
	var stops []context.CancelFunc
	for i := range 4 {
		o := Options{Name: fmt.Sprint("g", i), ListenAddr: "127.0.0.1:0", Backups: 3, Permits: 2, ReplyTimeout: 300 * time.Millisecond, RecordTTL: 30 * time.Second,
			FreezeThreshold: 10 * time.Second, MaxRecords: 100, MaxRecordsPerHolder: 100, RandomSeed: uint64(i + 1)}
		if i > 0 {
			o.Seeds = []string{all[0].Addr()}
		}
		s, err := Start(o)
		if err != nil {
			t.Fatal(err)
		}
		own, end := context.WithCancel(ctx)
		go s.Run(own)
		all, stops = append(all, s), append(stops, end)
	}
	until := func(what string, ok func() bool) {
		t.Helper()
		for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal(what)
			}
		}
	}
	for _, s := range all {
		until("they do not find each other", func() bool { return s.Stats().Members == 3 })
	}
	var stopped atomic.Bool
	h := all[0].Acquire("r1", takeover.RetryPolicy{Idempotent: true}, time.Second*4, func() { stopped.Store(true) })
	until("not kept", func() bool {
		n := 0
		for _, s := range all[1:] {
			n += s.Stats().Records
		}
		return n == 3
	})
	if !h.Valid(ctx) || !h.AcquirePermit(ctx) {
		t.Error("the holder has nothing")
	}
	stops[0]() // its port is closed now, as that of a process that ended
	got, grant, err := all[1].Claim(ctx, "r1", 1, func() {})
	if err != nil || grant.AttemptsMade != 2 || grant.TimeLeft <= 0 || !got.Valid(ctx) {
		t.Fatalf("%v, %+v", err, grant)
	}
	var no RefusalError
	if _, _, err := all[2].Claim(ctx, "r1", 1, func() {}); !errors.As(err, &no) {
		t.Errorf("a second claim: %v", err)
	}
	if got.AcquirePermit(ctx) {
		t.Error("a fourth attempt")
	}
	if _, _, err := all[2].Claim(ctx, "r2", 1, func() {}); !errors.As(err, &no) || no.Reason != takeover.ReasonUnknown {
		t.Errorf("one that nobody holds: %v", err)
	}
	got.Release(true)
}
