package balancer

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"unsafe"

	"archknot/balancer/zonehealth"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// A Balancer that is put down and taken up again every few ticks, in the midst
// of open requests and second copies, orders the same as one that was not.
func TestRestoredBalancerDecidesAlike(t *testing.T) {
	for seed := range int64(4) {
		n := 0
		renew := func(b *Balancer) *Balancer {
			n++
			state := b.Snapshot()
			next, err := Restore(b.Settings(), state, b.sink)
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(next.Snapshot(), state) {
				t.Fatal("the snapshot of a restored Balancer is another")
			}
			return next
		}
		if randomRun(t, seed, renew) != randomRun(t, seed, nil) {
			t.Fatalf("seed %d: the restored one orders otherwise", seed)
		}
		if n < 50 {
			t.Fatalf("restored %d times", n)
		}
	}
}

// fullState is a Balancer in which every part of the state is in use.
func fullState(t *testing.T) *Balancer {
	s := settings()
	s.Gateways, s.PollDiscovery, s.MayHealthCheck = 3, true, true
	s.Tenants = []Tenant{{Name: "t1", QuotaPerS: 1}, {Name: "t2", QuotaPerS: 1}}
	b, _ := startBalancer(t, s, fleet(4)...)
	now := 101 * second
	for i := range RequestID(6) {
		r := testRequest(i + 1)
		r.Session, r.Prefix, r.Tenant = uint64(i+1), uint64(i%2+1), "t1"
		b.RequestArrived(now, r)
	}
	row := b.requests[1].attempts[0].row
	b.FirstToken(now+second/2, Outcome{ID: 1, Replica: row.id, Elapsed: second / 2})
	b.AttemptEnded(now+second, Outcome{ID: 1, Replica: row.id, Elapsed: second, Status: Served, Final: true, CachedTokens: 100, OutputTokens: 50,
		Report: LoadReport{Has: HasMemory | HasInFlight | HasService, MemoryShare: 0.3, InFlight: 2, ServiceMs: 200}})
	b.TimerFired(now+second, timerHedge|2<<timerBits)
	b.TimerFired(now+2*second, timerObjective|3<<timerBits)
	b.AttemptEnded(now+2*second, Outcome{ID: 4, Replica: b.requests[4].attempts[0].row.id, Elapsed: second, Status: ConnectFailed})
	b.TimerFired(now+2*second, timerTick)
	// A worker that leaves the table while a request remembers it.
	gone := b.requests[4].attempts[0].row
	b.ListChanged(now+2*second, EndpointList{Kind: ListDelta, Endpoints: []Endpoint{{Replica: gone.id, State: EndpointGone}}})
	if b.rowByID[gone.id] != nil && len(gone.ledger) == 0 {
		t.Fatal("the worker did not leave")
	}
	// Requests taken on under terms that are in force no more.
	s = b.Settings()
	s.Classes = append([]Class{{Name: "other", Deadline: second}}, s.Classes...)
	if err := b.Reconfigure(now+2*second, s); err != nil {
		t.Fatal(err)
	}
	b.RequestArrived(now+2*second, testRequest(7))
	b.stepFloor[1] = 7
	b.zones.Zones[1] = &zonehealth.Zone{State: zonehealth.Unavailable, MissedReplicas: []uint64{3}, AnsweredReplicas: []uint64{4}}
	b.zones.Zones[0].AnsweredReplicas = []uint64{4}
	return b
}

// derived are fields that are made anew from the settings or from others.
var derived = map[string]bool{
	"Balancer.settings": true, "Balancer.sink": true, "Balancer.classIndex": true, "Balancer.tenantIndex": true,
	"Balancer.policies": true, "Balancer.interceptor": true, "Balancer.breakdowns": true,
	"pickState.shortlist": true, "pickState.mayPoll": true, "pickState.offeredWarming": true, "pickState.homeByKind": true,
	"loadTable.hashes": true, "replicaRow.hash": true,
}

// A field of the state that the snapshot leaves out makes a replay from a
// checkpoint go astray: each is changed by itself, and must change the bytes.
func TestSnapshotHoldsEveryField(t *testing.T) {
	b := fullState(t)
	state := b.Snapshot()
	seen, n := map[uintptr]bool{}, 0
	for _, t := range b.policies { // made anew from the settings
		seen[reflect.ValueOf(t).Pointer()] = true
	}
	var walk func(path string, v reflect.Value)
	try := func(path string, v reflect.Value, change func()) {
		old := reflect.New(v.Type()).Elem()
		old.Set(v)
		change()
		if n++; bytes.Equal(b.Snapshot(), state) {
			t.Errorf("%s is not in the snapshot", path)
		}
		v.Set(old)
	}
	walk = func(path string, v reflect.Value) {
		if v.CanAddr() {
			v = reflect.NewAt(v.Type(), unsafe.Pointer(v.UnsafeAddr())).Elem() // unexported fields too
		}
		switch v.Kind() {
		case reflect.Pointer:
			if !v.IsNil() && !seen[v.Pointer()] {
				seen[v.Pointer()] = true
				walk(path, v.Elem())
			}
		case reflect.Struct:
			for i := range v.NumField() {
				name := v.Type().Name() + "." + v.Type().Field(i).Name
				if !derived[name] {
					walk(path+"/"+name, v.Field(i))
				}
			}
		case reflect.Slice:
			for i := range min(v.Len(), 3) {
				walk(fmt.Sprintf("%s[%d]", path, i), v.Index(i))
			}
			if v.Len() == 0 && !strings.HasSuffix(path, "replicaRow.ledger") && !strings.HasSuffix(path, "request.attempts") {
				t.Errorf("%s is empty in this test", path)
			}
		case reflect.Map:
			if v.Len() == 0 {
				t.Errorf("%s is empty in this test", path)
			}
			for _, k := range v.MapKeys() {
				e := v.MapIndex(k)
				if e.Kind() == reflect.Pointer {
					walk(fmt.Sprintf("%s[%v]", path, k), e)
					continue
				}
				try(fmt.Sprintf("%s[%v]", path, k), v, func() {
					less := reflect.MakeMap(v.Type())
					for _, other := range v.MapKeys() {
						if other.Interface() != k.Interface() {
							less.SetMapIndex(other, v.MapIndex(other))
						}
					}
					v.Set(less)
				})
				break
			}
		case reflect.Bool:
			try(path, v, func() { v.SetBool(!v.Bool()) })
		case reflect.String:
			try(path, v, func() { v.SetString(v.String() + "x") })
		case reflect.Float64:
			try(path, v, func() { v.SetFloat(v.Float() + 1.5) })
		case reflect.Int, reflect.Int64:
			try(path, v, func() { v.SetInt(v.Int() + 1) })
		case reflect.Uint8, reflect.Uint32, reflect.Uint64:
			if strings.HasSuffix(path, "sessionRing[0]") || strings.HasSuffix(path, "sessionRing[1]") || strings.HasSuffix(path, "sessionRing[2]") {
				return // a ring's place without its session cannot be; tried with the map
			}
			try(path, v, func() { v.SetUint(v.Uint() + 1) })
		default:
			t.Errorf("%s: a %s, which this test does not know", path, v.Kind())
		}
	}
	walk("", reflect.ValueOf(b))
	if n < 250 {
		t.Fatalf("%d fields tried", n)
	}
}

// The values come back as they were, each in its place.
func TestRestoreReturnsEveryField(t *testing.T) {
	b := fullState(t)
	got, err := Restore(b.Settings(), b.Snapshot(), b.sink)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(b, got,
		cmp.AllowUnexported(Balancer{}, loadTable{}, promptCache{}, pickState{}, discoveryState{}, trafficRates{}, attemptBudgets{}, admissionState{},
			replicaRow{}, request{}, requestPolicy{}, attempt{}, session{}, classStats{}, kindStats{}, linearFit{}),
		cmpopts.IgnoreFields(Balancer{}, "sink", "interceptor", "breakdowns"),
		cmpopts.IgnoreFields(pickState{}, "shortlist", "homeByKind"), cmpopts.EquateEmpty()); diff != "" {
		t.Fatal(diff)
	}
}

// A damaged state, or one with fields of a later build, is an error and no panic.
func TestRestoreRejectsUnknownState(t *testing.T) {
	b := fullState(t)
	state := b.Snapshot()
	for i := 0; i < len(state); i += 7 {
		for _, bad := range [][]byte{state[:i], append(bytes.Clone(state[:i]), append([]byte{state[i] ^ 0x55}, state[i+1:]...)...)} {
			got, err := Restore(b.Settings(), bad, b.sink)
			if err == nil {
				got.Snapshot()
			}
		}
	}
	if _, err := Restore(b.Settings(), append(bytes.Clone(state), 0xf8, 0x07, 1), b.sink); err == nil || !strings.Contains(err.Error(), "field 127") {
		t.Errorf("a field of a later build: %v", err)
	}
	s := b.Settings()
	s.Classes = append(s.Classes, Class{Name: "x", Deadline: 1})
	if _, err := Restore(s, state, b.sink); err == nil {
		t.Error("a state of other classes was taken")
	}
}

func BenchmarkSnapshot(bench *testing.B) {
	b, _ := startBalancer(&testing.T{}, settings(), fleet(20)...)
	for i := range RequestID(5000) {
		r := testRequest(i + 1)
		r.Session, r.Prefix = uint64(i+1), uint64(i%500+1)
		b.RequestArrived(101*second, r)
		b.AttemptEnded(102*second, Outcome{ID: i + 1, Replica: 1, Elapsed: second, Status: Served, Final: true})
	}
	bench.ReportMetric(float64(len(b.Snapshot())), "bytes")
	for bench.Loop() {
		b.Snapshot()
	}
}

// A request in hand keeps the terms it was taken on under; those that come after
// have the new ones; what was learnt of a class goes by its name.
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
	next := s
	next.Classes = []Class{{Name: "docs", LatencyObjective: second, Deadline: 5 * second, PriorityWeight: 1, Streaming: true}, {Name: "new", Deadline: second}}
	next.Tenants = []Tenant{{Name: "t2", QuotaPerS: 3}}
	next.MaxAttempts, next.MayHedge = 1, false
	if err := b.Reconfigure(now, next); err != nil {
		t.Fatal(err)
	}
	if b.stats[0].streamTime != 22 || b.stats[1].streamTime != 0 || b.tenantRate[0] != 2 || len(b.tenantRate) != 1 {
		t.Errorf("learnt: %v %v", b.stats, b.tenantRate)
	}
	// The old request may still be sent three times, by its class of before.
	for n := range 3 {
		if got := len(b.requests[1].attempts); got != n+1 {
			t.Fatalf("%d attempts, not %d", got, n+1)
		}
		b.AttemptEnded(now+second/10, Outcome{ID: 1, Attempt: n, Replica: b.requests[1].attempts[n].row.id, Status: ConnectFailed})
	}
	if len(rec.take("refuse")) != 1 {
		t.Error("not answered once")
	}
	// A new one has one attempt.
	r = testRequest(2)
	r.Class = "docs"
	b.RequestArrived(now, r)
	b.AttemptEnded(now+second/10, Outcome{ID: 2, Replica: b.requests[2].attempts[0].row.id, Status: ConnectFailed})
	if n := len(rec.take("refuse")); n != 1 {
		t.Errorf("answered %d times", n)
	}
	for name, bad := range map[string]func(*Settings){
		"gateways": func(s *Settings) { s.Gateways = 9 }, "zone": func(s *Settings) { s.Zone = "z" },
		"classes": func(s *Settings) { s.Classes = nil }, "reports": func(s *Settings) { s.ReportSource = ReportNone }} {
		other := next
		bad(&other)
		state := b.Snapshot()
		if err := b.Reconfigure(now, other); err == nil || !bytes.Equal(state, b.Snapshot()) {
			t.Errorf("%s: taken, or changed by halves: %v", name, err)
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
