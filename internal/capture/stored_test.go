package capture_test

import (
	"errors"
	"io"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"archknot/balancer"
	"archknot/internal/capture"
	pb "archknot/internal/capture/capturepb"
	"archknot/internal/contract"
	"archknot/internal/contract/contractpb"
)

// Values of the stored capture that are specific to its file.
const (
	storedRunName           = "20261202T150710.125Z-9586"
	storedWallUs            = 1796224030125732
	storedSizeBytes         = 4278
	storedSecondBlockOffset = 2607
)

// storedSettings are the decision module's settings that the stored capture began with.
func storedSettings() balancer.Settings {
	return balancer.Settings{
		Self: 1, Gateways: 3, Zone: "a", Zones: []string{"a", "b"}, Kinds: []string{"k", "l"},
		Classes: []balancer.Class{
			{Name: "chat", LatencyObjective: 500000, ObjectivePer1000Tokens: 60000, TokenObjective: 50000, Deadline: 3000000, PriorityWeight: 2, LateWeightShare: 0.25, Streaming: true},
			{Name: "order", LatencyObjective: 1000000, Deadline: 4000000, PriorityWeight: 3, LateWeightShare: 0.5, Idempotency: 1, DedupScope: 1, DedupWindow: 30000000},
		},
		Tenants:         []balancer.Tenant{{Name: "quay", QuotaPerS: 20}, {Name: "reef", QuotaPerS: 12.5}},
		OverQuotaWeight: 0.0625, ReportSource: 1, WeightKind: 1, PollDiscovery: true, LocalDiscovery: true, WatchInterval: 700000, Tick: 2000,
		MayHealthCheck: true, MayGossip: true, MayCancel: true, MayHedge: true, RetryAfter: true, MaxAttempts: 3, MaxRetryAfter: 2000000,
		HedgeRatio: 0.125, RetryRatio: 0.1875, InitialCapacity: 0.375, OverloadMultiple: 3.5, SlowStartFor: 8000000, OverloadWindow: 1500000,
		StreamsPerConn: 2, ConnIdleTimeout: 60000000, CrossZoneCost: 0.25, HandshakeCost: 0.5, HealthCheckCost: 0.75,
	}
}

// storedSettingsJSON is the encoding of storedSettings in the stored capture.
const storedSettingsJSON = `{"Self":1,"Gateways":3,"Zone":"a","Zones":["a","b"],"Kinds":["k","l"],"Classes":[` +
	`{"Name":"chat","Aim":500000,"AimPer1000":60000,"TokenAim":50000,"Deadline":3000000,"Worth":2,"LateWorth":0.25,"Effect":0,"Scope":0,"RepeatsKept":0,"Stream":true},` +
	`{"Name":"order","Aim":1000000,"AimPer1000":0,"TokenAim":0,"Deadline":4000000,"Worth":3,"LateWorth":0.5,"Effect":1,"Scope":1,"RepeatsKept":30000000,"Stream":false}],` +
	`"Tenants":[{"Name":"quay","QuotaPerS":20},{"Name":"reef","QuotaPerS":12.5}],"OverShareWorth":0.0625,"ReportVia":1,"Weights":1,"AskRegistry":true,"ListsPushed":true,` +
	`"WatchWait":700000,"Tick":2000,"MayProbe":true,"MayTellPeers":true,"MayCancel":true,"SecondCopies":true,"RetryAfter":true,"MaxAttempts":3,"MaxRetryAfter":2000000,` +
	`"HedgeShare":0.125,"RetryShare":0.1875,"StartCapacity":0.375,"FallMultiple":3.5,"ColdFor":8000000,"FallSpan":1500000,"ConnStreams":2,"ConnIdle":60000000,` +
	`"PriceCrossZone":0.25,"PriceHandshake":0.5,"PriceProbe":0.75}`

func storedRun(t *testing.T) *capture.Run {
	t.Helper()
	runs, err := capture.FindRuns("testdata/stored")
	if err != nil || len(runs) != 1 {
		t.Fatal(len(runs), err)
	}
	return runs[0]
}

func storedEntries(t *testing.T, run *capture.Run) (out []capture.Entry) {
	t.Helper()
	r, err := capture.NewReader(run, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	for {
		e, err := r.Next()
		if errors.Is(err, io.EOF) {
			return out
		}
		if err != nil || e.Missing != nil {
			t.Fatal(err, e.Missing)
		}
		out = append(out, e)
	}
}

// Guards against a change of the stored format: the header, the settings and the index of a
// capture that was written by the build of commit b3142ba must be read as they were written.
func TestStoredCaptureHeader(t *testing.T) {
	run := storedRun(t)
	if run.Gateway != "g" || run.Name != storedRunName || run.Build != "b3142ba" || run.Seed != 3 || len(run.Segments) != 1 || len(run.Unreadable) != 0 {
		t.Errorf("run %q of %q by %q, seed %d, %d segments, damaged %v", run.Name, run.Gateway, run.Build, run.Seed, len(run.Segments), run.Unreadable)
	}
	if diff := cmp.Diff(storedSettings(), run.Settings); diff != "" {
		t.Error(diff)
	}
	s := run.Segments[0]
	header := &pb.Header{Major: 1, Minor: 6, Build: "b3142ba", Gateway: "g", Run: storedRunName, Segment: 1, Seed: 3, Settings: []byte(storedSettingsJSON),
		ClockUs: 1000, WallUs: storedWallUs}
	if !proto.Equal(header, s.Header) {
		t.Errorf("header %v, expected %v", s.Header, header)
	}
	rewritten := proto.Clone(s.Header).(*pb.Header)
	capture.ChangeSettings(func(*balancer.Settings) {})(rewritten)
	if string(rewritten.Settings) != storedSettingsJSON {
		t.Errorf("the settings would be written as %s", rewritten.Settings)
	}
	blocks := []capture.Block{{Offset: 1064, FirstEvent: 1, At: 1000, Checkpoint: true, Records: 20}, {Offset: storedSecondBlockOffset, FirstEvent: 21, At: 12000000, Checkpoint: true, Records: 1}}
	if diff := cmp.Diff(blocks, s.Blocks); diff != "" || !s.Closed || s.Size != storedSizeBytes || len(s.Missing) != 0 {
		t.Errorf("closed %v, %d bytes, missing %v, blocks: %s", s.Closed, s.Size, s.Missing, diff)
	}
	if run.Begin() != 1000 || run.End() != 12000000 || !run.WallTime(1001000).Equal(time.UnixMicro(storedWallUs+1000000)) {
		t.Errorf("from %d to %d, at 1001000 it was %v", run.Begin(), run.End(), run.WallTime(1001000))
	}
}

// storedRecords are the records of the stored capture. They are without settings, contracts
// and the states in checkpoints, which TestStoredSettingsAndStates checks.
var storedRecords = []struct {
	number uint64
	at     balancer.Micros
	json   string
}{
	{1, 1000, `{"kind":"KIND_CHECKPOINT","checkpoint":{"timers":[{"atUs":"5000","token":"9"}]}}`},
	{1, 1000, `{"kind":"KIND_START","actions":[{"kind":"WATCH_REGISTRY"},{"kind":"SET_TIMER","atUs":"60911"}]}`},
	{2, 1100, `{"kind":"KIND_LIST","afterUs":"100","list":{"kind":1,"version":"7","members":[{"worker":1,"weight":1.5,"kind":"aw==","zone":"YQ==","sinceUs":"500","name":"s-1"},{"worker":2,"weight":1.5,"cell":"1","kind":"aw==","zone":"YQ==","sinceUs":"500","name":"s-2"},{"worker":3,"weight":1.5,"cell":"2","kind":"aw==","zone":"YQ==","sinceUs":"500","name":"s-3"},{"worker":4,"state":1,"weight":1.5,"cell":"3","kind":"bA==","zone":"Yg==","sinceUs":"500","name":"s-4"}],"fleet":"40"}}`},
	{3, 1110, `{"kind":"KIND_KEPT","afterUs":"10","kept":{"number":"1"}}`},
	{4, 1120, `{"kind":"KIND_KEPT","afterUs":"10","kept":{"number":"1","stage":1}}`},
	{5, 1200, `{"kind":"KIND_CHARGED","afterUs":"80","request":1,"charged":{"tenant":"cXVheQ==","class":"Y2hhdA==","promptTokens":"900","maxTokens":"200","made":"50","worth":1.5}}`},
	{6, 1300, `{"kind":"KIND_ARRIVED","afterUs":"100","request":1,"arrival":{"class":"Y2hhdA==","tenant":"cXVheQ==","timeLeftUs":"2900000","promptTokens":"900","prefixTokens":"300","maxTokens":"200","session":"17","prefix":"34","name":"name-1","factor":1.5,"spent":"1","home":2},"actions":[{"kind":"SET_TIMER","atUs":"2896000","token":"5"},{"kind":"REFUSE","request":1,"atUs":"84999"}]}`},
	{7, 151300, `{"kind":"KIND_FIRST","afterUs":"150000","request":1,"outcome":{"worker":1,"elapsedUs":"150000"}}`},
	{8, 160000, `{"kind":"KIND_ARRIVED","afterUs":"8700","request":2,"arrival":{"class":"Y2hhdA==","tenant":"cXVheQ==","timeLeftUs":"2900000","promptTokens":"900","prefixTokens":"300","maxTokens":"200","session":"18","prefix":"34","name":"name-2","factor":1.5,"spent":"1","home":2},"actions":[{"kind":"SET_TIMER","atUs":"2896000","token":"9"},{"kind":"DISPATCH","request":2,"worker":2,"atUs":"3060000"},{"kind":"SET_TIMER","atUs":"277000","token":"10"},{"kind":"SET_TIMER","atUs":"554000","token":"11"}]}`},
	{9, 170000, `{"kind":"KIND_LEFT","afterUs":"10000","request":2,"actions":[{"kind":"CANCEL","request":2}]}`},
	{10, 701300, `{"kind":"KIND_ENDED","afterUs":"531300","request":1,"outcome":{"worker":1,"elapsedUs":"700000","final":true,"kept":"250","tokens":"90","report":{"has":63,"memoryShare":0.25,"unreadK":1.5,"inFlight":4,"queued":2,"serviceMs":35.5,"util":0.75}}}`},
	{11, 701300, `{"kind":"KIND_SETTLED","request":1,"settled":{"read":"650","made":"90","served":true,"news":true}}`},
	{12, 800000, `{"kind":"KIND_TURNED","afterUs":"98700","request":3,"turned":{"tenant":"cXVheQ==","class":"Y2hhdA==","read":"900","made":"100","over":true}}`},
	{13, 900000, `{"kind":"KIND_PROBED","afterUs":"100000","outcome":{"worker":3,"status":3,"elapsedUs":"40000","final":true},"actions":[{"kind":"PROBE","worker":3},{"kind":"PROBE","worker":1}]}`},
	{14, 910000, `{"kind":"KIND_MESSAGE","afterUs":"10000","peer":2,"body":"AQID"}`},
	{15, 1001300, `{"kind":"KIND_TIMER","afterUs":"91300","token":"5"}`},
	{16, 1100000, `{"kind":"KIND_RECONFIGURE","afterUs":"98700"}`},
	{17, 1200000, `{"kind":"KIND_AGREED","afterUs":"100000"}`},
	{18, 1300000, `{"kind":"KIND_PARTS","afterUs":"100000","parts":[0.5]}`},
	{19, 1600000, `{"kind":"KIND_CHARGED","afterUs":"300000","request":3,"charged":{"copy":1,"tenant":"cXVheQ==","class":"Y2hhdA==","promptTokens":"900","maxTokens":"200","made":"90","worth":1.5}}`},
	{20, 1700000, `{"kind":"KIND_ARRIVED","afterUs":"100000","request":3,"arrival":{"class":"Y2hhdA==","tenant":"cXVheQ==","timeLeftUs":"2900000","promptTokens":"900","prefixTokens":"300","maxTokens":"200","session":"17","prefix":"34","name":"name-3","factor":1.5,"spent":"1","home":2},"actions":[{"kind":"SET_TIMER","atUs":"2896000","token":"13"},{"kind":"DISPATCH","request":3,"worker":1,"atUs":"4600000"},{"kind":"SET_TIMER","atUs":"554000","token":"15"}]}`},
	{21, 12000000, `{"kind":"KIND_CHECKPOINT","checkpoint":{"timers":[{"atUs":"5000","token":"9"}],"workers":[{"id":1,"name":"s-1"},{"id":2,"name":"s-2"},{"id":3,"name":"s-3"},{"id":4,"name":"s-4"}],"requests":[{"id":2,"name":"name-2"},{"id":3,"name":"name-3"}]}}`},
	{21, 12000000, `{"kind":"KIND_START","actions":[{"kind":"WATCH_REGISTRY"},{"kind":"SET_TIMER","atUs":"135215"}]}`},
}

func TestStoredRecords(t *testing.T) {
	entries := storedEntries(t, storedRun(t))
	if len(entries) != len(storedRecords) {
		t.Fatalf("%d records, expected %d", len(entries), len(storedRecords))
	}
	for i, want := range storedRecords {
		record := &pb.Record{}
		if err := protojson.Unmarshal([]byte(want.json), record); err != nil {
			t.Fatal(err)
		}
		e := entries[i]
		e.Record.Settings, e.Record.Agreed = nil, nil
		if c := e.Record.Checkpoint; c != nil {
			c.State, c.Settings, c.Agreed, c.Book = nil, nil, nil, nil
		}
		if e.Number != want.number || e.At != want.at || !proto.Equal(e.Record, record) {
			t.Errorf("record %d: number %d at %d: %v, expected number %d at %d: %v", i, e.Number, e.At, e.Record, want.number, want.at, record)
		}
	}
}

// call is one call of a decision module.
type call struct {
	Name     string
	At       balancer.Micros
	Argument any
}

// calls is a decision module that records its calls.
type calls struct{ list []call }

func (c *calls) add(name string, at balancer.Micros, argument any) {
	c.list = append(c.list, call{name, at, argument})
}

func (c *calls) Start(now balancer.Micros) { c.add("Start", now, nil) }
func (c *calls) ListChanged(now balancer.Micros, l balancer.EndpointList) {
	c.add("ListChanged", now, l)
}
func (c *calls) RequestArrived(now balancer.Micros, in balancer.Request) {
	c.add("RequestArrived", now, in)
}
func (c *calls) FirstToken(now balancer.Micros, o balancer.Outcome)    { c.add("FirstToken", now, o) }
func (c *calls) AttemptEnded(now balancer.Micros, o balancer.Outcome)  { c.add("AttemptEnded", now, o) }
func (c *calls) ClientGone(now balancer.Micros, id balancer.RequestID) { c.add("ClientGone", now, id) }
func (c *calls) TimerFired(now balancer.Micros, token uint64)          { c.add("TimerFired", now, token) }
func (c *calls) HealthCheckEnded(now balancer.Micros, o balancer.Outcome) {
	c.add("HealthCheckEnded", now, o)
}
func (c *calls) PeerMessage(now balancer.Micros, from int, body []byte) {
	c.add("PeerMessage", now, []any{from, body})
}
func (c *calls) Reconfigure(now balancer.Micros, s balancer.Settings) error {
	c.add("Reconfigure", now, s)
	return nil
}

// Guards against stored records that are decoded differently: applying the stored capture
// must make the calls of the decision module that were made when it was recorded.
func TestStoredCalls(t *testing.T) {
	var got calls
	for _, e := range storedEntries(t, storedRun(t)) {
		if err := capture.Apply(&got, e.At, e.Record); err != nil {
			t.Fatal(err)
		}
	}
	request := func(id balancer.RequestID, session uint64) balancer.Request {
		return balancer.Request{ID: id, Class: "chat", Tenant: "quay", TimeLeft: 2900000, PromptTokens: 900, PrefixTokens: 300, MaxTokens: 200, Session: session, Prefix: 34,
			PriorityFactor: 1.5, PriorAttempts: 1, AffinityTarget: 2}
	}
	reconfigured := storedSettings()
	reconfigured.MaxAttempts = 2
	want := []call{
		{"Start", 1000, nil},
		{"ListChanged", 1100, balancer.EndpointList{Kind: 1, Version: 7, FleetSize: 40, Endpoints: []balancer.Endpoint{
			{Replica: 1, Weight: 1.5, Kind: "k", Zone: "a", StartedAt: 500},
			{Replica: 2, Weight: 1.5, Cell: 1, Kind: "k", Zone: "a", StartedAt: 500},
			{Replica: 3, Weight: 1.5, Cell: 2, Kind: "k", Zone: "a", StartedAt: 500},
			{Replica: 4, State: 1, Weight: 1.5, Cell: 3, Kind: "l", Zone: "b", StartedAt: 500},
		}}},
		{"RequestArrived", 1300, request(1, 17)},
		{"FirstToken", 151300, balancer.Outcome{ID: 1, Replica: 1, Elapsed: 150000}},
		{"RequestArrived", 160000, request(2, 18)},
		{"ClientGone", 170000, balancer.RequestID(2)},
		{"AttemptEnded", 701300, balancer.Outcome{ID: 1, Replica: 1, Status: 0, Elapsed: 700000, Final: true, CachedTokens: 250, OutputTokens: 90,
			Report: balancer.LoadReport{Has: 63, MemoryShare: 0.25, PrefillBacklogK: 1.5, InFlight: 4, Queued: 2, ServiceMs: 35.5, Utilization: 0.75}}},
		{"HealthCheckEnded", 900000, balancer.Outcome{Replica: 3, Status: 3, Elapsed: 40000, Final: true}},
		{"PeerMessage", 910000, []any{2, []byte{1, 2, 3}}},
		{"TimerFired", 1001300, uint64(5)},
		{"Reconfigure", 1100000, reconfigured},
		{"RequestArrived", 1700000, request(3, 17)},
		{"Start", 12000000, nil},
	}
	if diff := cmp.Diff(want, got.list); diff != "" {
		t.Error(diff)
	}
}

// discard ignores a decision module's actions.
type discard struct{}

func (discard) Dispatch(balancer.RequestID, balancer.ReplicaID, balancer.Micros) {}
func (discard) Shed(balancer.RequestID, balancer.Micros)                         {}
func (discard) Fail(balancer.RequestID)                                          {}
func (discard) Cancel(balancer.RequestID, int)                                   {}
func (discard) SetTimer(balancer.Micros, uint64)                                 {}
func (discard) HealthCheck(balancer.ReplicaID)                                   {}
func (discard) Gossip([]byte)                                                    {}
func (discard) WatchDiscovery()                                                  {}

// The settings, the contracts and the states in the checkpoints of the stored capture must be
// restored, and the states must marshal to the same bytes again. If a later build adds a field
// to a state, snapshots grow, and the comparison must be made without that field.
func TestStoredSettingsAndStates(t *testing.T) {
	run := storedRun(t)
	wantLedgers := []string{
		`{"atUs":"1000","unixUs":"1796131234567890","sweptUs":"1000","latestUs":"1796131234567890","accounts":[{"atUs":"1000","level":9000000,"floors":[{"class":"chat","level":1000}],"spans":[{"begunUs":"1796130000000000","endsUs":"1796133600000000"},{"begunUs":"1796083200000000","endsUs":"1796169600000000"},{"begunUs":"1790812800000000","endsUs":"1798761600000000"}],"part":1,"waits":true,"askedUs":"1000"}],"gate":{}}`,
		`{"pool":6695000,"atUs":"1600000","unixUs":"1796131236166890","sweptUs":"1600000","latestUs":"1796131236166890","means":[{"class":"Y2hhdA==","made":90}],"accounts":[{"atUs":"1600000","level":5734961.030678928,"floors":[{"class":"chat"}],"spans":[{"used":"1765000","begunUs":"1796130000000000","endsUs":"1796133600000000"},{"used":"1765000","begunUs":"1796083200000000","endsUs":"1796169600000000","mark":"250000000","kept":"250000000"},{"used":"1765000","begunUs":"1790812800000000","endsUs":"1798761600000000"}],"open":"1","mayBorrow":125,"part":0.5,"taken":"2","takenUnits":"1180000","used":"505000","asking":68750,"askedUs":"1600000","asked":630000}],"open":[{"key":"769","class":"Y2hhdA==","read":"900","made":"90","priceRead":0.5,"priceMade":2,"units":"630000","periodsUs":["1796130000000000","1796083200000000","1790812800000000"],"part":0.5}],"written":"1","gate":{"atUs":"1600000"}}`,
	}
	wantAgreement := &contract.AppliedContracts{Settings: contract.Settings{Location: time.UTC, BorrowPoolSeconds: 2, UnknownTenantWeight: 0.5, ReserveFraction: 0.25, Strict: true},
		Terms: []contract.Terms{{Team: "quay", Tenants: []string{"quay"}, Classes: []string{"chat"}, Rate: 5e6, Burst: 9000000, PriorityWeight: 1.5, OverQuotaWeight: 0.05,
			Prices: map[string]contract.Price{"chat": {PromptToken: 0.5, OutputToken: 2}}, Floors: map[string]float64{"chat": 1000},
			Budgets: []contract.Budget{{Period: 1, Soft: 800000000, Hard: 1000000000}}, From: 1796083200000000, Until: 1896169600000000, MaxBorrowRate: 250, SurgeFactor: 4}}}
	checkAgreement := func(text []byte) {
		t.Helper()
		got, err := contract.UnmarshalAppliedContracts(text)
		sameZone := cmp.Comparer(func(a, b *time.Location) bool { return a.String() == b.String() })
		if diff := cmp.Diff(wantAgreement, got, sameZone); err != nil || diff != "" {
			t.Error(err, diff)
		}
	}
	changed := storedSettings()
	changed.MaxAttempts = 2
	checkpoints := 0
	for _, e := range storedEntries(t, run) {
		if e.Record.Kind == pb.Kind_KIND_AGREED {
			checkAgreement(e.Record.Agreed)
		}
		c := e.Record.Checkpoint
		if c == nil {
			continue
		}
		b, settings, err := run.RestoreBalancer(c, discard{})
		if err != nil {
			t.Fatal(err)
		}
		if !cmp.Equal(b.Snapshot(), c.State) {
			t.Errorf("checkpoint %d: the state is marshalled differently", checkpoints)
		}
		wantSettings, wantInFlight, wantReplicas := storedSettings(), []balancer.RequestID(nil), 0
		if checkpoints == 1 {
			wantSettings, wantInFlight, wantReplicas = changed, []balancer.RequestID{2, 3}, 4
		}
		if diff := cmp.Diff(wantSettings, settings); diff != "" {
			t.Errorf("checkpoint %d: %s", checkpoints, diff)
		}
		if got := b.InFlightRequests(); !cmp.Equal(append([]balancer.RequestID(nil), got...), wantInFlight) || len(b.Endpoints()) != wantReplicas {
			t.Errorf("checkpoint %d: requests %v, %d replicas", checkpoints, got, len(b.Endpoints()))
		}
		checkAgreement(c.Agreed)
		l, err := capture.RestoreReplayLedger(c)
		if err != nil {
			t.Fatal(err)
		}
		if !cmp.Equal(l.Snapshot(), c.Book) {
			t.Errorf("checkpoint %d: the ledger is marshalled differently", checkpoints)
		}
		checkLedger(t, wantLedgers[checkpoints], c.Book)
		checkpoints++
	}
	if checkpoints != 2 {
		t.Errorf("%d checkpoints, expected 2", checkpoints)
	}
}

// checkLedger compares the state of a ledger of contracts to JSON.
func checkLedger(t *testing.T, want string, text []byte) {
	t.Helper()
	var got, expected contractpb.Book
	if err := proto.Unmarshal(text, &got); err != nil {
		t.Fatal(err)
	}
	if err := protojson.Unmarshal([]byte(want), &expected); err != nil {
		t.Fatal(err)
	}
	if !proto.Equal(&expected, &got) {
		t.Errorf("ledger %v, expected %v", &got, &expected)
	}
}
