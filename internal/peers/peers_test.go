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
	member := func(name string) takeover.Member { return takeover.Member{Name: name, Incarnation: 7} }
	in := datagram{
		from: member("a"),
		gossip: membership.Message{
			Kind:    membership.MsgPing,
			Seq:     3,
			Updates: []membership.MemberInfo{{Member: member("b"), Addr: "127.0.0.1:1", Zone: "s", State: membership.Unreachable, Refutations: 2}},
		},
		messages: []takeover.Message{{
			Kind:          takeover.MsgClaim,
			ToIncarnation: 9,
			RequestID:     "r",
			QueryID:       1,
			Holder:        member("c"),
			Epoch:         2,
			ResumeSeq:     3,
			NextResumeSeq: 4,
			Policy:        takeover.RetryPolicy{Idempotent: true, Hedgeable: true},
			TimeLeft:      5,
			Backups:       []takeover.Member{member("d")},
			Chain:         1,
			PermitGranted: true,
			Initial:       true,
			OK:            true,
			MayHaveRun:    true,
			Reason:        takeover.ReasonAttemptsExhausted,
			ProvenDead:    []takeover.Member{member("e")},
		}},
	}
	encoded, err := in.encode()
	if err != nil {
		t.Fatal(err)
	}
	out, err := decodeDatagram(encoded)
	if diff := cmp.Diff(in, out, cmp.AllowUnexported(datagram{})); err != nil || diff != "" {
		t.Error(err, diff)
	}
	for n := range encoded { // a truncated datagram is rejected or has fewer fields, and nothing panics
		_, _ = decodeDatagram(encoded[:n])
	}
	if _, err := decodeDatagram([]byte("noise that no gateway sent")); err == nil {
		t.Error("a datagram of arbitrary bytes is accepted")
	}
}

// Of four gateways in one process, the lease holder of a request ends. A second gateway claims the
// request, and the claim of a third is rejected.
func TestClaimOverSockets(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var all []*Service
	var stops []context.CancelFunc
	for i := range 4 {
		options := Options{Name: fmt.Sprint("g", i), ListenAddr: "127.0.0.1:0", Backups: 3, Permits: 2, ReplyTimeout: 300 * time.Millisecond, RecordTTL: 30 * time.Second,
			FreezeThreshold: 10 * time.Second, MaxRecords: 100, MaxRecordsPerHolder: 100, RandomSeed: uint64(i + 1)}
		if i > 0 {
			options.Seeds = []string{all[0].Addr()}
		}
		service, err := Start(options)
		if err != nil {
			t.Fatal(err)
		}
		runCtx, end := context.WithCancel(ctx)
		go service.Run(runCtx)
		all, stops = append(all, service), append(stops, end)
	}
	until := func(failure string, ok func() bool) {
		t.Helper()
		for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal(failure)
			}
		}
	}
	for _, service := range all {
		until("the gateways do not discover each other", func() bool { return service.Stats().Members == 3 })
	}
	var stopped atomic.Bool
	first := all[0].Acquire("r1", takeover.RetryPolicy{Idempotent: true}, time.Second*4, func() { stopped.Store(true) })
	until("the record is not replicated to all backups", func() bool {
		n := 0
		for _, service := range all[1:] {
			n += service.Stats().Records
		}
		return n == 3
	})
	if !first.Valid(ctx) || !first.AcquirePermit(ctx) {
		t.Error("the holder has no valid lease or no permit")
	}
	stops[0]() // closes the port, as the end of the process would
	second, grant, err := all[1].Claim(ctx, "r1", 1, func() {})
	if err != nil || grant.AttemptsMade != 2 || grant.TimeLeft <= 0 || !second.Valid(ctx) {
		t.Fatalf("%v, %+v", err, grant)
	}
	var rejection ClaimRejectedError
	if _, _, err := all[2].Claim(ctx, "r1", 1, func() {}); !errors.As(err, &rejection) {
		t.Errorf("second claim of the same resume request: %v, expected a rejection", err)
	}
	if second.AcquirePermit(ctx) {
		t.Error("permit granted for a fourth attempt")
	}
	if _, _, err := all[2].Claim(ctx, "r2", 1, func() {}); !errors.As(err, &rejection) || rejection.Reason != takeover.ReasonUnknown {
		t.Errorf("claim of a request without a holder: %v, expected the reason unknown", err)
	}
	second.Release(true)
}
