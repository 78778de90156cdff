package balancer

import (
	"fmt"
	"math"
	"strings"
	"testing"
)

// recordedAction is one recorded action of a Balancer.
type recordedAction struct {
	what  string
	id    RequestID
	to    ReplicaID
	n     int
	delay Micros
	token uint64
	body  []byte
}

type recorder struct{ acts []recordedAction }

func (r *recorder) Dispatch(id RequestID, to ReplicaID, cutAt Micros) {
	r.acts = append(r.acts, recordedAction{what: "dispatch", id: id, to: to, delay: cutAt})
}
func (r *recorder) Shed(id RequestID, after Micros) {
	r.acts = append(r.acts, recordedAction{what: "refuse", id: id, delay: after})
}
func (r *recorder) Fail(id RequestID) { r.acts = append(r.acts, recordedAction{what: "fail", id: id}) }
func (r *recorder) Cancel(id RequestID, n int) {
	r.acts = append(r.acts, recordedAction{what: "cancel", id: id, n: n})
}
func (r *recorder) SetTimer(d Micros, token uint64) {
	r.acts = append(r.acts, recordedAction{what: "timer", delay: d, token: token})
}
func (r *recorder) HealthCheck(to ReplicaID) {
	r.acts = append(r.acts, recordedAction{what: "probe", to: to})
}
func (r *recorder) Gossip(b []byte) { r.acts = append(r.acts, recordedAction{what: "tell", body: b}) }
func (r *recorder) WatchDiscovery() { r.acts = append(r.acts, recordedAction{what: "watch"}) }

// take returns what was recorded of one kind and clears all.
func (r *recorder) take(what string) []recordedAction {
	var out []recordedAction
	for _, a := range r.acts {
		if a.what == what {
			out = append(out, a)
		}
	}
	r.acts = nil
	return out
}

const second Micros = 1_000_000

func settings() Settings {
	return Settings{
		Gateways: 1, Zone: "a", Zones: []string{"a", "b"}, Kinds: []string{"k"},
		Classes:      []Class{{Name: "chat", LatencyObjective: second, TokenObjective: 50_000, Deadline: 4 * second, PriorityWeight: 1, Streaming: true}},
		ReportSource: ReportInline, Tick: 4000, MayCancel: true, MayHedge: true, RetryAfter: true,
		MaxAttempts: 3, MaxRetryAfter: 2 * second, InitialCapacity: 0.12, OverloadMultiple: 4, SlowStartFor: 24 * second,
		OverloadWindow: 2 * second, StreamsPerConn: 1, ConnIdleTimeout: 30 * second,
	}
}

func startBalancer(t *testing.T, s Settings, members ...Endpoint) (*Balancer, *recorder) {
	t.Helper()
	rec := &recorder{}
	b, err := New(s, 7, rec)
	if err != nil {
		t.Fatal(err)
	}
	b.Start(100 * second)
	b.ListChanged(100*second, EndpointList{Kind: ListCached, Endpoints: members})
	b.ListChanged(100*second, EndpointList{Kind: ListFull, Endpoints: members})
	rec.acts = nil
	return b, rec
}

func fleet(n int) []Endpoint {
	var out []Endpoint
	for i := range n {
		out = append(out, Endpoint{Replica: ReplicaID(i + 1), Weight: 1, Kind: "k", Zone: "a", Cell: int64(i)})
	}
	return out
}

func testRequest(id RequestID) Request {
	return Request{ID: id, Class: "chat", TimeLeft: 4 * second, PromptTokens: 1000, MaxTokens: 400}
}

// homesOf are the first and the second home of a request.
func homesOf(b *Balancer, req *request) (home, second *replicaRow) {
	found := b.affinityOf(req)
	return found.home, found.second
}

// dispatched sends one request and tells where it went; 0: nowhere.
func dispatched(b *Balancer, rec *recorder, now Micros, r Request) ReplicaID {
	rec.acts = nil
	b.RequestArrived(now, r)
	if d := rec.take("dispatch"); len(d) > 0 {
		return d[0].to
	}
	return 0
}

func TestNewRejectsInvalidSettings(t *testing.T) {
	for name, spoil := range map[string]func(*Settings){
		"self":     func(s *Settings) { s.Self = 1 },
		"classes":  func(s *Settings) { s.Classes = nil },
		"attempts": func(s *Settings) { s.MaxAttempts = 0 },
		"deadline": func(s *Settings) { s.Classes = []Class{{Name: "x"}} },
		"start":    func(s *Settings) { s.InitialCapacity = 0 },
		"rules":    func(s *Settings) { s.OverloadWindow = -1 },
	} {
		s := settings()
		spoil(&s)
		if _, err := New(s, 1, &recorder{}); err == nil || !strings.HasPrefix(err.Error(), "balancer: ") {
			t.Errorf("%s: got error %v", name, err)
		}
	}
	if _, err := New(settings(), 1, nil); err == nil {
		t.Error("no error for a missing sink")
	}
}

// The ordinary pick, by hand: report + own charges not yet in it + budget.
func TestPickLeastPredicted(t *testing.T) {
	type rowState struct {
		held   float64
		age    Micros // of the report; -1: none
		charge float64
		slow   float64
	}
	// One gateway: the report counts with 1 - (age + lag/2) / (2 x lifetime),
	// lifetime 10 s, and the mean load is 10000.
	for _, c := range []struct {
		name string
		rows []rowState
		want ReplicaID
	}{
		{"least report", []rowState{{9000, 0, 0, 1}, {3000, 0, 0, 1}, {6000, 0, 0, 1}}, 2},
		{"own charges are added", []rowState{{9000, 0, 0, 1}, {3000, 0, 8000, 1}, {6000, 0, 0, 1}}, 3},
		{"slowness weighs", []rowState{{9000, 0, 0, 0.5}, {3000, 0, 0, 4}, {6000, 0, 0, 2}}, 1},
		{"no reports: own ledger decides", []rowState{{0, -1, 500, 1}, {0, -1, 200, 1}, {0, -1, 900, 1}}, 2},
		{"an old full row is tried again", []rowState{{90000, 60 * second, 0, 1}, {8000, 0, 0, 1}}, 1},
		{"an old empty row is no longer crowded", []rowState{{100, 60 * second, 5000, 1}, {1000, 0, 0, 1}}, 2},
	} {
		b, _ := startBalancer(t, settings(), fleet(len(c.rows))...)
		now := 200 * second
		b.meanLifetime, b.meanLoad = float64(10*second), 10000
		for i, in := range c.rows {
			row := b.rows[i]
			row.reportedTokens, row.charge, row.unreported, row.slowness, row.reportedAt = in.held, in.charge, in.charge, in.slow, now-in.age
			if in.age < 0 {
				row.reportedAt = -1
			}
		}
		req := &request{Request: testRequest(1), policy: b.policies[0], tenantIndex: -1, avoidZone: -1}
		if got, _, _ := b.pick(now, req); got == nil || got.id != c.want {
			t.Errorf("%s: picked %v, want %d", c.name, got, c.want)
		}
	}
}

// The ledger: charged on dispatch, its reading part dropped with the first
// token, all of it at the end.
func TestLedger(t *testing.T) {
	b, rec := startBalancer(t, settings(), fleet(1)...)
	if dispatched(b, rec, 101*second, testRequest(1)) != 1 {
		t.Fatal("not sent")
	}
	row := b.rows[0]
	if want := prefillCost*1000 + 1000 + 100; row.charge != want {
		t.Fatalf("charge %v after the dispatch, want %v", row.charge, want)
	}
	b.FirstToken(102*second, Outcome{ID: 1, Replica: 1, Elapsed: second})
	if row.charge != 1100 {
		t.Fatalf("charge %v after the first token, want 1100", row.charge)
	}
	b.AttemptEnded(103*second, Outcome{ID: 1, Replica: 1, Status: Served, Elapsed: 2 * second, Final: true})
	if row.charge != 0 || len(row.ledger) != 0 || len(b.requests) != 0 {
		t.Fatalf("charge %v, %d open, %d requests after the end", row.charge, len(row.ledger), len(b.requests))
	}
}

// A report covers what was sent well before it, not what was sent just now.
func TestReportLag(t *testing.T) {
	b, rec := startBalancer(t, settings(), fleet(1)...)
	dispatched(b, rec, 101*second, testRequest(1))
	b.setReportedLoad(101*second+reportLag/2, b.rows[0], 5)
	if b.rows[0].unreported != b.rows[0].charge {
		t.Fatal("a young charge is taken for reported")
	}
	b.setReportedLoad(101*second+2*reportLag, b.rows[0], 5)
	if b.rows[0].unreported != 0 {
		t.Fatal("an old charge is counted beside the report")
	}
}

func TestRatioStartsAtFleetMeanAndFitsReplica(t *testing.T) {
	b, _ := startBalancer(t, settings(), fleet(2)...)
	b.meanHeldTokens = 1000
	rep := func(row *replicaRow, share float64) {
		b.applyReport(101*second, row, LoadReport{Has: HasMemory | HasInFlight, MemoryShare: share, InFlight: 10})
	}
	rep(b.rows[0], 0.2)
	rep(b.rows[1], 0.2)
	if math.Abs(b.rows[1].reportedTokens-10000) > 1 {
		t.Fatalf("held %v tokens by the fleet's ratio, want 10000", b.rows[1].reportedTokens)
	}
	for range 200 {
		rep(b.rows[1], 0.4) // half the memory: the same requests take twice the share
	}
	if h := b.rows[1].reportedTokens; math.Abs(h-10000) > 500 {
		t.Fatalf("held %v tokens by the replica's own ratio, want about 10000", h)
	}
}

// Guards against herding: with many gateways, each answers for its share of
// what a report shows, so one emptier replica does not draw every send.
func TestManyGatewaysDoNotHerd(t *testing.T) {
	s := settings()
	s.Gateways = 50
	b, _ := startBalancer(t, s, fleet(10)...)
	now := 101 * second
	b.meanLifetime, b.meanLoad, b.meanHeldTokens, b.dispatchRate = float64(5*second), 50000, 1100, 5
	for i, row := range b.rows {
		b.setReportedLoad(now, row, 50000)
		if i == 3 {
			b.setReportedLoad(now, row, 20000)
		}
	}
	hits := 0
	for i := range 40 {
		r := testRequest(RequestID(i + 1))
		r.Session = splitmix(uint64(i)) // sessions with homes of their own
		row, _, _ := b.pick(now, &request{Request: r, policy: b.policies[0], tenantIndex: -1, avoidZone: -1})
		if row.id == 4 {
			hits++
		}
	}
	if hits > 20 {
		t.Fatalf("%d of 40 went to the replica whose report was lowest", hits)
	}
}

// A session's turns find each other through the hash, also at gateways that
// never saw the session, and load can still outweigh that.
func TestSessionHome(t *testing.T) {
	r := testRequest(1)
	r.Session, r.PromptTokens = 0xabcdef, 6000
	var home ReplicaID
	for self := range 3 {
		s := settings()
		s.Self, s.Gateways = self, 3
		b, _ := startBalancer(t, s, fleet(8)...)
		row, kept, _ := b.pick(101*second, &request{Request: r, policy: b.policies[0], tenantIndex: -1, avoidZone: -1})
		if home != 0 && row.id != home || kept <= 0 {
			t.Fatalf("gateway %d picked %d (kept %v), another %d", self, row.id, kept, home)
		}
		home = row.id
		row.charge, row.unreported = 1e6, 1e6
		if w2, _, _ := b.pick(101*second, &request{Request: r, policy: b.policies[0], tenantIndex: -1, avoidZone: -1}); w2.id == home {
			t.Fatal("a jammed home is still picked")
		}
	}
}

func TestSessionAndPrefixTablesAreBounded(t *testing.T) {
	b, rec := startBalancer(t, settings(), fleet(1)...)
	for i := range 3 * maxSessions {
		r := testRequest(RequestID(i))
		r.Session, r.Prefix = uint64(i+1), uint64(i+1)
		b.RequestArrived(101*second, r)
		b.AttemptEnded(101*second, Outcome{ID: r.ID, Replica: 1, Status: Served, Final: true})
		rec.acts = nil
	}
	if len(b.sessions) > maxSessions || len(b.prefixCounts) > maxPrefixes || len(b.requests) != 0 {
		t.Fatalf("%d sessions, %d prefixes, %d requests", len(b.sessions), len(b.prefixCounts), len(b.requests))
	}
}

// A new connection costs points: of like replicas, one with an idle
// connection is taken.
func TestIdleConnectionPreferred(t *testing.T) {
	s := settings()
	s.HandshakeCost = 0.12
	b, rec := startBalancer(t, s, fleet(5)...)
	first := ReplicaID(4) // not the one that the scan's order would favour
	b.rowByID[first].openConns, b.rowByID[first].lastUsedAt = 1, 102*second
	for i := range RequestID(5) {
		if got := dispatched(b, rec, 103*second, testRequest(i+2)); got != first {
			t.Fatalf("request %d opened a connection to %d beside the idle one to %d", i+2, got, first)
		}
		b.AttemptEnded(103*second, Outcome{ID: i + 2, Replica: first, Status: Served, Final: true, Elapsed: second})
	}
	if row := b.rowByID[first]; !b.needsConnection(200*second, row) {
		t.Fatal("the connection is believed open past its idle time")
	}
}

// First-token times scatter: only a replica that stands out is called slow.
func TestOwnSlownessMustStandOut(t *testing.T) {
	b, _ := startBalancer(t, settings(), fleet(2)...)
	now := 101 * second
	for range 10 {
		b.rows[0].recordSlowness(now, 1.4)
		b.rows[1].recordSlowness(now, 6)
	}
	b.refreshEstimates(now)
	if b.rows[0].slowness != 1 || b.rows[1].slowness < 3 {
		t.Fatalf("slowness %v and %v", b.rows[0].slowness, b.rows[1].slowness)
	}
	b.refreshEstimates(now + slownessDecay)
	if b.rows[1].slowness != 1 {
		t.Fatal("slowness never fades")
	}
}

// All slowing at once must not make the module shun everyone.
func TestSharedSlownessExcludesNoReplica(t *testing.T) {
	b, rec := startBalancer(t, settings(), fleet(4)...)
	now := 101 * second
	for range 50 {
		for _, row := range b.rows {
			row.recordSlowness(now, 8)
		}
	}
	b.refreshEstimates(now)
	if dispatched(b, rec, now, testRequest(1)) == 0 {
		t.Fatal("nothing sent while all are slow alike")
	}
}

func TestPeerReportsRoundTrip(t *testing.T) {
	a, _ := startBalancer(t, settings(), fleet(3)...)
	b, _ := startBalancer(t, settings(), fleet(3)...)
	a.setReportedLoad(101*second, a.rows[1], 12345)
	a.rows[1].recordSlowness(101*second, 2)
	b.PeerMessage(102*second, 1, a.rows[1].packPeerReport(nil))
	if row := b.rows[1]; row.reportedAt != 102*second || math.Abs(row.reportedTokens-12345) > 900 || math.Abs(row.slownessSum-2) > 0.2 {
		t.Fatalf("relayed row %+v", row)
	}
	b.PeerMessage(102*second, 1, []byte("odd")) // cut short: harmless
	if b.rows[0].reportedAt != -1 || b.rows[2].reportedAt != -1 {
		t.Fatal("a message touched other rows")
	}
}

func TestHealthChecksAreSharedAndGossiped(t *testing.T) {
	s := settings()
	s.ReportSource, s.MayHealthCheck, s.MayGossip, s.Gateways = ReportOnHealthCheck, true, true, 4
	owners := map[ReplicaID]int{}
	for self := range 4 {
		s.Self = self
		b, rec := startBalancer(t, s, fleet(20)...)
		b.runHealthChecks(101 * second)
		for _, p := range rec.take("probe") {
			owners[p.to]++
			b.HealthCheckEnded(102*second, Outcome{Replica: p.to, Status: Served,
				Report: LoadReport{Has: HasMemory, MemoryShare: 0.1}})
			if len(rec.take("tell")) != 1 {
				t.Fatal("a probed report was not relayed")
			}
		}
	}
	for _, endpoint := range fleet(20) {
		if owners[endpoint.Replica] != 1 {
			t.Fatalf("replica %d probed by %d gateways", endpoint.Replica, owners[endpoint.Replica])
		}
	}
}

func Example() {
	b, err := New(Settings{
		Gateways: 1, Zone: "a", MaxAttempts: 2, Tick: 1000,
		Classes: []Class{{Name: "chat", LatencyObjective: second, Deadline: 4 * second, PriorityWeight: 1, Streaming: true}},
	}, 42, printer{})
	if err != nil {
		fmt.Println(err)
		return
	}
	now := Micros(0)
	b.Start(now)
	b.ListChanged(now, EndpointList{Kind: ListFull, Endpoints: []Endpoint{{Replica: 7, Zone: "a"}}})
	b.RequestArrived(now, Request{ID: 1, Class: "chat", TimeLeft: 4 * second, PromptTokens: 900, MaxTokens: 100})
	b.AttemptEnded(now+second, Outcome{ID: 1, Replica: 7, Status: Served, Elapsed: second, Final: true})
	// Output: send request 1 to replica 7
}

// printer is a Sink that prints dispatches; a node would act on all of these.
type printer struct{}

func (printer) Dispatch(id RequestID, to ReplicaID, _ Micros) {
	fmt.Printf("send request %d to replica %d\n", id, to)
}
func (printer) Shed(RequestID, Micros)  {}
func (printer) Fail(RequestID)          {}
func (printer) Cancel(RequestID, int)   {}
func (printer) SetTimer(Micros, uint64) {}
func (printer) HealthCheck(ReplicaID)   {}
func (printer) Gossip([]byte)           {}
func (printer) WatchDiscovery()         {}

// Where the registry tells sizes, the larger replica bears more.
func TestNominalSizesWeigh(t *testing.T) {
	s := settings()
	s.WeightKind = WeightNominal
	m := fleet(2)
	m[1].Weight = 3
	b, rec := startBalancer(t, s, m...)
	count := map[ReplicaID]int{}
	for i := range RequestID(80) {
		count[dispatched(b, rec, 101*second, testRequest(i))]++
	}
	if count[2] < 50 || count[1] < 10 {
		t.Fatalf("sent %v to replicas of sizes 1 and 3", count)
	}
}

func TestReportsOfEveryShape(t *testing.T) {
	for name, report := range map[string]LoadReport{
		"memory":   {Has: HasMemory, MemoryShare: 0.5},
		"util":     {Has: HasUtilization, Utilization: 0.5},
		"inflight": {Has: HasInFlight, InFlight: 9},
		"queue":    {Has: HasQueued, Queued: 9},
		"unread":   {Has: HasPrefillBacklog, PrefillBacklogK: 20},
	} {
		b, rec := startBalancer(t, settings(), fleet(2)...)
		dispatched(b, rec, 101*second, testRequest(1))
		b.applyReport(101*second, b.rows[0], report)
		if b.rows[0].reportedTokens <= 0 || b.rows[0].reportedAt != 101*second {
			t.Errorf("%s: held %v", name, b.rows[0].reportedTokens)
		}
	}
	b, _ := startBalancer(t, settings(), fleet(1)...)
	b.applyReport(101*second, b.rows[0], LoadReport{})
	if b.rows[0].reportedAt != -1 {
		t.Error("an absent report was dated")
	}
}

// Live weights are reports that all gateways get: a lower one, more is held.
func TestLiveWeightsAreReports(t *testing.T) {
	s := settings()
	s.WeightKind = WeightLive
	m := fleet(3)
	b, _ := startBalancer(t, s, m...)
	b.tokensPerLiveLoad = 1000
	m[1].Weight = 0.25
	b.ListChanged(101*second, EndpointList{Kind: ListDelta, Endpoints: m[1:2]})
	if row := b.rows[1]; row.reportedTokens != 3000 || row.reportedAt != 101*second {
		t.Fatalf("held %v at %v", row.reportedTokens, row.reportedAt)
	}
}

// Probes that peers do not share stay a part of the requests.
func TestHealthChecksStayWithinTheirCost(t *testing.T) {
	s := settings()
	s.MayHealthCheck, s.HealthCheckCost = true, 0.05
	b, rec := startBalancer(t, s, fleet(50)...)
	b.dispatchRate = 10
	probes := 0
	for now := 101 * second; now < 161*second; now += tickEvery {
		b.runHealthChecks(now)
		for _, p := range rec.take("probe") {
			probes++
			b.HealthCheckEnded(now, Outcome{Replica: p.to, Status: Served, Report: LoadReport{Has: HasMemory, MemoryShare: 0.1}})
		}
	}
	if cost := float64(probes) * s.HealthCheckCost / (10 * 60); probes == 0 || cost > 0.01 {
		t.Fatalf("%d probes cost %v points a request", probes, cost)
	}
}

// The advice to a refused client grows with what stands over its part of the
// limit, stays within its aim and the settings' maximum, and scatters.
func TestRetryAfter(t *testing.T) {
	s := settings()
	s.Classes = append(s.Classes, Class{Name: "bulk", LatencyObjective: 10 * second, Deadline: 30 * second, PriorityWeight: 1, Streaming: true})
	for _, c := range []struct {
		class       string
		open, limit float64
		least, most Micros
	}{
		{"chat", 0, 0, second / 8 * 3 / 4, second / 8 * 5 / 4},            // nothing says how long: soon
		{"chat", 20_000, 15_000, second / 4 * 3 / 4, second / 2 * 5 / 4},  // a quarter over, requests last 1 s
		{"chat", 90_000, 1_000, second / 2 * 3 / 4, second / 2 * 5 / 4},   // far over: half the aim
		{"bulk", 20_000, 15_000, 10 * second / 8 * 3 / 4, 2 * second},     // no sooner than an eighth of its aim
		{"bulk", 90_000, 1_000, 10 * second / 8 * 3 / 4, s.MaxRetryAfter}, // no later than the maximum
	} {
		b, _ := startBalancer(t, s, fleet(3)...)
		b.inFlightTokens, b.tokenLimit, b.meanWeightPerToken = c.open, c.limit, 1e-9
		req := &request{Request: testRequest(1), classIndex: b.classIndex[c.class], policy: b.policies[b.classIndex[c.class]], tenantIndex: -1}
		seen := map[Micros]bool{}
		for range 100 {
			d := b.retryAfter(req)
			if d < c.least || d > c.most {
				t.Fatalf("%+v: told to come back after %d", c, d)
			}
			seen[d] = true
		}
		if c.class == "chat" && len(seen) < 50 {
			t.Errorf("%+v: only %d different times of 100", c, len(seen))
		}
	}
	s.RetryAfter = false
	b, _ := startBalancer(t, s, fleet(1)...)
	if d := b.retryAfter(&request{Request: testRequest(1), policy: b.policies[0], tenantIndex: -1}); d != 0 {
		t.Errorf("advice %d where the wire has none", d)
	}
}

// A crossing costs a share of the request's worth, which is lost only once the
// first token is late: a little more load at home does not pay for it, much more does.
func TestCrossZoneCostFollowsTheLatencyObjective(t *testing.T) {
	for _, c := range []struct {
		name       string
		home, away float64 // held load by report
		learned    bool    // first-token times are known
		want       ReplicaID
	}{
		{"a little more at home stays home", 5600, 5000, true, 1},
		{"far more at home goes away", 20000, 5000, true, 2},
		{"nothing learned: the price as a factor", 6000, 5000, false, 2},
		{"first tokens at the aim: a crossing costs only its own", 5000, 4900, true, 2},
	} {
		s := settings()
		s.CrossZoneCost = 0.03
		members := fleet(2)
		members[1].Zone = "b"
		b, _ := startBalancer(t, s, members...)
		now := 200 * second
		b.meanLifetime, b.meanLoad = float64(10*second), 10000
		b.rows[0].reportedTokens, b.rows[1].reportedTokens = c.home, c.away
		for _, row := range b.rows {
			row.reportedAt, row.slowness = now, 1
		}
		first := 50_000.0 // first tokens in 0.25 s, 1 s of aim: a crossing weighs 0.03 x 3 x usual load
		if c.home-c.away < 200 {
			first = 800_000 // most of the aim is used up already
		}
		for x := 0.0; c.learned && x <= 4000; x += 1000 {
			b.firstTokenFit.add(x, first+100*x)
		}
		req := &request{Request: testRequest(1), policy: b.policies[0], tenantIndex: -1, avoidZone: -1}
		if got, _, _ := b.pick(now, req); got == nil || got.id != c.want {
			t.Errorf("%s: picked %v, want %d", c.name, got, c.want)
		}
	}
}

// Attempts that another gateway made count: a request that it lost, of which two were
// made, gets one more and no other.
func TestPriorAttemptsCount(t *testing.T) {
	b, rec := startBalancer(t, settings(), Endpoint{Replica: 1, Zone: "a", Kind: "k"}, Endpoint{Replica: 2, Zone: "a", Kind: "k"}, Endpoint{Replica: 3, Zone: "a", Kind: "k"})
	rec.take("")
	for spent, want := range []int{3, 2, 1, 0} {
		id := RequestID(spent + 1)
		b.RequestArrived(second, Request{ID: id, Class: "chat", TimeLeft: 4 * second, PromptTokens: 10, MaxTokens: 10, PriorAttempts: spent})
		got := 0
		for list := rec.take("dispatch"); len(list) > 0; list = rec.take("dispatch") {
			got++
			b.AttemptEnded(second, Outcome{ID: id, Attempt: got - 1, Replica: list[0].to, Status: ConnectFailed})
		}
		if got != want {
			t.Errorf("%d made elsewhere: %d more, expected %d", spent, got, want)
		}
		if b.requests[id] != nil {
			t.Errorf("%d made elsewhere: still in hand", spent)
		}
	}
}
