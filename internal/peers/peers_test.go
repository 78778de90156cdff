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
		t.Error("noise is accepted")
	}
}

// Of four gateways in one process, one holds a request's lease and ends. Another continues the
// request, once: the claim of a third is rejected.
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
		until("they do not find each other", func() bool { return service.Stats().Members == 3 })
	}
	var stopped atomic.Bool
	first := all[0].Acquire("r1", takeover.RetryPolicy{Idempotent: true}, time.Second*4, func() { stopped.Store(true) })
	until("not replicated", func() bool {
		n := 0
		for _, service := range all[1:] {
			n += service.Stats().Records
		}
		return n == 3
	})
	if !first.Valid(ctx) || !first.AcquirePermit(ctx) {
		t.Error("the holder has no valid lease or no permit")
	}
	stops[0]() // closes its port, as the end of its process would
	second, grant, err := all[1].Claim(ctx, "r1", 1, func() {})
	if err != nil || grant.AttemptsMade != 2 || grant.TimeLeft <= 0 || !second.Valid(ctx) {
		t.Fatalf("%v, %+v", err, grant)
	}
	var refusal ClaimRejectedError
	if _, _, err := all[2].Claim(ctx, "r1", 1, func() {}); !errors.As(err, &refusal) {
		t.Errorf("a second claim: %v", err)
	}
	if second.AcquirePermit(ctx) {
		t.Error("a fourth attempt")
	}
	if _, _, err := all[2].Claim(ctx, "r2", 1, func() {}); !errors.As(err, &refusal) || refusal.Reason != takeover.ReasonUnknown {
		t.Errorf("a request without a holder: %v", err)
	}
	second.Release(true)
}
