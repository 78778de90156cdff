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
	m := func(name string) takeover.Member { return takeover.Member{Name: name, Life: 7} }
	in := datagram{from: m("a"), gossip: membership.Message{Kind: membership.Ping, Seq: 3, News: []membership.Info{{Member: m("b"), Addr: "127.0.0.1:1", Site: "s", State: membership.Away, Round: 2}}},
		words: []takeover.Message{{Kind: takeover.Claim, To: 9, ID: "r", Op: 1, Holder: m("c"), Epoch: 2, Ask: 3, Next: 4, Terms: takeover.Terms{Repeat: true, Beside: true}, Left: 5,
			Keepers: []takeover.Member{m("d")}, Chain: 1, Given: true, Fresh: true, OK: true, Ran: true, Reason: takeover.Spent, Dead: []takeover.Member{m("e")}}}}
	b, err := in.encode()
	if err != nil {
		t.Fatal(err)
	}
	out, err := decode(b)
	if diff := cmp.Diff(in, out, cmp.AllowUnexported(datagram{})); err != nil || diff != "" {
		t.Error(err, diff)
	}
	for n := range b { // cut short, it is refused or means less, and nothing panics
		_, _ = decode(b[:n])
	}
	if _, err := decode([]byte("noise that no gateway sent")); err == nil {
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
		o := Options{Name: fmt.Sprint("g", i), Listen: "127.0.0.1:0", Copies: 3, Permits: 2, Silence: 300 * time.Millisecond, Remember: 30 * time.Second,
			Frozen: 10 * time.Second, Records: 100, Each: 100, Seed: uint64(i + 1)}
		if i > 0 {
			o.Join = []string{all[0].Addr()}
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
		until("they do not find each other", func() bool { return s.Figures().Members == 3 })
	}
	var stopped atomic.Bool
	h := all[0].Hold("r1", takeover.Terms{Repeat: true}, time.Second*4, func() { stopped.Store(true) })
	until("not kept", func() bool {
		n := 0
		for _, s := range all[1:] {
			n += s.Figures().Records
		}
		return n == 3
	})
	if !h.Mine(ctx) || !h.Permit(ctx) {
		t.Error("the holder has nothing")
	}
	stops[0]() // its port is closed now, as that of a process that ended
	got, grant, err := all[1].Claim(ctx, "r1", 1, func() {})
	if err != nil || grant.Made != 2 || grant.Left <= 0 || !got.Mine(ctx) {
		t.Fatalf("%v, %+v", err, grant)
	}
	var no Refusal
	if _, _, err := all[2].Claim(ctx, "r1", 1, func() {}); !errors.As(err, &no) {
		t.Errorf("a second claim: %v", err)
	}
	if got.Permit(ctx) {
		t.Error("a fourth attempt")
	}
	if _, _, err := all[2].Claim(ctx, "r2", 1, func() {}); !errors.As(err, &no) || no.Reason != takeover.Unknown {
		t.Errorf("one that nobody holds: %v", err)
	}
	got.Done(true)
}
