package balancer

import (
	"bytes"
	"testing"
)

// A request in flight keeps its policy, and later requests get the new one. Statistics follow the
// names of classes and tenants. Rejected settings change nothing.
func TestReconfigure(t *testing.T) {
	s := settings()
	s.Classes = append(s.Classes, Class{Name: "docs", LatencyObjective: second, Deadline: 5 * second, PriorityWeight: 1, Streaming: true})
	s.Tenants = []Tenant{{Name: "t1", QuotaPerS: 1}, {Name: "t2", QuotaPerS: 9}}
	b, rec := startBalancer(t, s, fleet(4)...)
	now := 101 * second
	r := testRequest(1)
	r.Tenant = "t2"
	b.RequestArrived(now, r)
	b.stats[0].streamTime, b.stats[1].streamTime, b.tenantRate[0], b.tenantRate[1] = 11, 22, 1, 2
	changed := s
	changed.Classes = []Class{{Name: "docs", LatencyObjective: second, Deadline: 5 * second, PriorityWeight: 1, Streaming: true}, {Name: "new", Deadline: second}}
	changed.Tenants = []Tenant{{Name: "t2", QuotaPerS: 3}}
	changed.MaxAttempts, changed.MayHedge = 1, false
	if err := b.Reconfigure(now, changed); err != nil {
		t.Fatal(err)
	}
	if b.stats[0].streamTime != 22 || b.stats[1].streamTime != 0 || b.tenantRate[0] != 2 || len(b.tenantRate) != 1 {
		t.Errorf("statistics after the change: %v %v", b.stats, b.tenantRate)
	}
	// The old request keeps its policy of three attempts.
	for n := range 3 {
		if got := len(b.requests[1].attempts); got != n+1 {
			t.Fatalf("%d attempts, expected %d", got, n+1)
		}
		b.AttemptEnded(now+second/10, Outcome{ID: 1, Attempt: n, Replica: b.requests[1].attempts[n].row.id, Status: ConnectFailed})
	}
	if len(rec.take("shed")) != 1 {
		t.Error("the old request was not shed exactly once")
	}
	// A new request gets one attempt.
	r = testRequest(2)
	r.Class = "docs"
	b.RequestArrived(now, r)
	b.AttemptEnded(now+second/10, Outcome{ID: 2, Replica: b.requests[2].attempts[0].row.id, Status: ConnectFailed})
	if n := len(rec.take("shed")); n != 1 {
		t.Errorf("the new request was shed %d times, expected 1", n)
	}
	for name, invalidate := range map[string]func(*Settings){
		"gateways": func(s *Settings) { s.Gateways = 9 }, "zone": func(s *Settings) { s.Zone = "z" },
		"classes": func(s *Settings) { s.Classes = nil }, "reports": func(s *Settings) { s.ReportSource = ReportNone }} {
		invalid := changed
		invalidate(&invalid)
		state := b.Snapshot()
		if err := b.Reconfigure(now, invalid); err == nil || !bytes.Equal(state, b.Snapshot()) {
			t.Errorf("%s: accepted, or the state has changed: %v", name, err)
		}
	}
}

func BenchmarkReconfigure(bench *testing.B) {
	s := settings()
	b, _ := startBalancer(&testing.T{}, s, fleet(1000)...)
	for i := range RequestID(10_000) {
		r := testRequest(i + 1)
		r.Session = uint64(i + 1)
		b.RequestArrived(101*second, r)
	}
	if len(b.requests) < 9_000 {
		bench.Fatal(len(b.requests))
	}
	for bench.Loop() {
		s.Classes[0].PriorityWeight++
		if err := b.Reconfigure(102*second, s); err != nil {
			bench.Fatal(err)
		}
	}
}
