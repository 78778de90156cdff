package balancer

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"unsafe"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"archknot/balancer/zonehealth"
)

// A Balancer that is stored and restored every few ticks, with requests and hedges in flight, takes
// the same actions as one that runs through.
func TestRestoredBalancerDecidesAlike(t *testing.T) {
	for seed := range int64(4) {
		restored := 0
		replace := func(b *Balancer) *Balancer {
			restored++
			state := b.Snapshot()
			next, err := Restore(b.Settings(), state, b.sink)
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(next.Snapshot(), state) {
				t.Fatal("the snapshot of a restored Balancer differs")
			}
			return next
		}
		if randomRun(t, seed, replace) != randomRun(t, seed, nil) {
			t.Fatalf("seed %d: the restored Balancer takes other actions", seed)
		}
		if restored < 50 {
			t.Fatalf("restored %d times, expected 50 or more", restored)
		}
	}
}

// fullState returns a Balancer in which no part of the state is empty.
func fullState(t *testing.T) *Balancer {
	t.Helper()
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
	// A replica that leaves the table while an attempt refers to its row.
	removed := b.requests[4].attempts[0].row
	b.ListChanged(now+2*second, EndpointList{Kind: ListDelta, Endpoints: []Endpoint{{Replica: removed.id, State: EndpointRemoved}}})
	if b.rowByID[removed.id] != nil && len(removed.ledger) == 0 {
		t.Fatal("the removed replica is still in the table")
	}
	// Requests accepted under policies that are no longer in force.
	s = b.Settings()
	s.Classes = append([]Class{{Name: "other", Deadline: second}}, s.Classes...)
	if err := b.Reconfigure(now+2*second, s); err != nil {
		t.Fatal(err)
	}
	b.RequestArrived(now+2*second, testRequest(7))
	for _, req := range b.requests {
		req.polled = []ReplicaID{3}
	}
	b.stepFloor[1] = 7
	b.zones.Zones[1] = &zonehealth.Zone{State: zonehealth.Unavailable, MissedReplicas: []uint64{3}, AnsweredReplicas: []uint64{4}}
	b.zones.Zones[0].AnsweredReplicas = []uint64{4}
	return b
}

// derivedFields are fields that are computed from the settings or from other fields.
var derivedFields = map[string]bool{
	"Balancer.settings": true, "Balancer.sink": true, "Balancer.classIndex": true, "Balancer.tenantIndex": true,
	"Balancer.policies": true, "Balancer.interceptor": true, "Balancer.breakdowns": true,
	"pickState.shortlist": true, "pickState.mayPoll": true, "pickState.offeredWarming": true, "pickState.targetByKind": true,
	"loadTable.hashes": true, "replicaRow.hash": true,
}

// fieldWalker changes each field of a Balancer's state in turn, and checks that the snapshot changes.
type fieldWalker struct {
	t       *testing.T
	b       *Balancer
	state   []byte // the snapshot before any change
	visited map[uintptr]bool
	changes int
}

// try makes one change, checks the snapshot and reverts the change.
func (w *fieldWalker) try(path string, v reflect.Value, change func()) {
	old := reflect.New(v.Type()).Elem()
	old.Set(v)
	change()
	w.changes++
	if bytes.Equal(w.b.Snapshot(), w.state) {
		w.t.Errorf("%s is not in the snapshot", path)
	}
	v.Set(old)
}

// walk tries a change of each field that is reachable from a value.
func (w *fieldWalker) walk(path string, v reflect.Value) {
	if v.CanAddr() {
		v = reflect.NewAt(v.Type(), unsafe.Pointer(v.UnsafeAddr())).Elem() // unexported fields too
	}
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() && !w.visited[v.Pointer()] {
			w.visited[v.Pointer()] = true
			w.walk(path, v.Elem())
		}
	case reflect.Struct:
		for i := range v.NumField() {
			name := v.Type().Name() + "." + v.Type().Field(i).Name
			if !derivedFields[name] {
				w.walk(path+"/"+name, v.Field(i))
			}
		}
	case reflect.Slice:
		for i := range min(v.Len(), 3) {
			w.walk(fmt.Sprintf("%s[%d]", path, i), v.Index(i))
		}
		if v.Len() == 0 && !strings.HasSuffix(path, "replicaRow.ledger") && !strings.HasSuffix(path, "request.attempts") {
			w.t.Errorf("%s is empty in this test", path)
		}
	case reflect.Map:
		w.walkMap(path, v)
	default:
		w.walkScalar(path, v)
	}
}

// walkMap tries to remove one entry of a map, or walks the entries if they are pointers.
func (w *fieldWalker) walkMap(path string, v reflect.Value) {
	if v.Len() == 0 {
		w.t.Errorf("%s is empty in this test", path)
	}
	for _, key := range v.MapKeys() {
		entry := v.MapIndex(key)
		if entry.Kind() == reflect.Pointer {
			w.walk(fmt.Sprintf("%s[%v]", path, key), entry)
			continue
		}
		w.try(fmt.Sprintf("%s[%v]", path, key), v, func() {
			others := reflect.MakeMap(v.Type())
			for _, other := range v.MapKeys() {
				if other.Interface() != key.Interface() {
					others.SetMapIndex(other, v.MapIndex(other))
				}
			}
			v.Set(others)
		})
		break
	}
}

// walkScalar tries another value of a scalar.
func (w *fieldWalker) walkScalar(path string, v reflect.Value) {
	switch v.Kind() {
	case reflect.Bool:
		w.try(path, v, func() { v.SetBool(!v.Bool()) })
	case reflect.String:
		w.try(path, v, func() { v.SetString(v.String() + "x") })
	case reflect.Float64:
		w.try(path, v, func() { v.SetFloat(v.Float() + 1.5) })
	case reflect.Int, reflect.Int64:
		w.try(path, v, func() { v.SetInt(v.Int() + 1) })
	case reflect.Uint8, reflect.Uint32, reflect.Uint64:
		if strings.Contains(path, "sessionRing[") {
			return // ring entries cannot change without their session; the map of sessions covers them
		}
		w.try(path, v, func() { v.SetUint(v.Uint() + 1) })
	default:
		w.t.Errorf("%s: unexpected kind %s", path, v.Kind())
	}
}

// A field that the snapshot omits would make replay from a checkpoint diverge. The test changes each
// field of the state in turn, which must change the snapshot.
func TestSnapshotHoldsEveryField(t *testing.T) {
	b := fullState(t)
	w := &fieldWalker{t: t, b: b, state: b.Snapshot(), visited: map[uintptr]bool{}}
	for _, policy := range b.policies { // computed from the settings
		w.visited[reflect.ValueOf(policy).Pointer()] = true
	}
	w.walk("", reflect.ValueOf(b))
	if w.changes < 250 {
		t.Fatalf("%d changes tried, expected 250 or more", w.changes)
	}
}

// Restore sets every field to the value in the snapshot.
func TestRestoreReturnsEveryField(t *testing.T) {
	b := fullState(t)
	got, err := Restore(b.Settings(), b.Snapshot(), b.sink)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(b, got,
		cmp.AllowUnexported(Balancer{}, loadTable{}, promptCache{}, pickState{}, discoveryState{}, listValidity{}, trafficRates{}, attemptBudgets{}, admissionState{},
			replicaRow{}, request{}, requestPolicy{}, attempt{}, session{}, classStats{}, kindStats{}, linearFit{}),
		cmpopts.IgnoreFields(Balancer{}, "sink", "interceptor", "breakdowns"),
		cmpopts.IgnoreFields(pickState{}, "shortlist", "targetByKind"), cmpopts.EquateEmpty()); diff != "" {
		t.Fatal(diff)
	}
}

// Restore does not panic on damaged snapshots, and rejects unknown fields and other settings.
func TestRestoreRejectsUnknownState(t *testing.T) {
	b := fullState(t)
	state := b.Snapshot()
	for i := 0; i < len(state); i += 7 {
		for _, damaged := range [][]byte{state[:i], append(bytes.Clone(state[:i]), append([]byte{state[i] ^ 0x55}, state[i+1:]...)...)} {
			got, err := Restore(b.Settings(), damaged, b.sink)
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
		t.Error("no error for a snapshot with other classes")
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
