package choice

import (
	"fmt"
	"math"
	"strings"
	"testing"
)

// action is one recorded action of a Balancer.
type action struct {
	what  string
	id    RequestID
	to    ReplicaID
	n     int
	delay Micros
	token uint64
	body  []byte
}

type recorder struct{ acts []action }

func (r *recorder) Dispatch(id RequestID, to ReplicaID, cutAt Micros) {
	r.acts = append(r.acts, action{what: "dispatch", id: id, to: to, delay: cutAt})
}
func (r *recorder) Refuse(id RequestID, after Micros) {
	r.acts = append(r.acts, action{what: "refuse", id: id, delay: after})
}
func (r *recorder) Fail(id RequestID) { r.acts = append(r.acts, action{what: "fail", id: id}) }
func (r *recorder) Cancel(id RequestID, n int) {
	r.acts = append(r.acts, action{what: "cancel", id: id, n: n})
}
func (r *recorder) SetTimer(d Micros, token uint64) {
	r.acts = append(r.acts, action{what: "timer", delay: d, token: token})
}
func (r *recorder) Probe(to ReplicaID) { r.acts = append(r.acts, action{what: "probe", to: to}) }
func (r *recorder) TellPeers(b []byte) { r.acts = append(r.acts, action{what: "tell", body: b}) }
func (r *recorder) WatchRegistry()     { r.acts = append(r.acts, action{what: "watch"}) }

// take returns what was recorded of one kind and clears all.
func (r *recorder) take(what string) []action {
	var out []action
	for _, a := range r.acts {
		if a.what == what {
			out = append(out, a)
		}
	}
	r.acts = nil
	return out
}

const sec Micros = 1_000_000

func settings() Settings {
	return Settings{
		Gateways: 1, Zone: "a", Zones: []string{"a", "b"}, Kinds: []string{"k"},
		Classes:   []Class{{Name: "chat", Aim: sec, TokenAim: 50_000, Deadline: 4 * sec, Worth: 1, Stream: true}},
		ReportVia: ReportInline, Tick: 4000, MayCancel: true, SecondCopies: true, RetryAfter: true,
		MaxAttempts: 3, MaxRetryAfter: 2 * sec, StartCapacity: 0.12, FallMultiple: 4, ColdFor: 24 * sec,
		FallSpan: 2 * sec, ConnStreams: 1, ConnIdle: 30 * sec,
	}
}

func start(t *testing.T, s Settings, members ...Member) (*Balancer, *recorder) {
	t.Helper()
	rec := &recorder{}
	b, err := New(s, 7, rec)
	if err != nil {
		t.Fatal(err)
	}
	b.Start(100 * sec)
	b.ListChanged(100*sec, ServerList{Kind: ListSaved, Members: members})
	b.ListChanged(100*sec, ServerList{Kind: ListFull, Members: members})
	rec.acts = nil
	return b, rec
}

func fleet(n int) []Member {
	var out []Member
	for i := range n {
		out = append(out, Member{Replica: ReplicaID(i + 1), Weight: 1, Kind: "k", Zone: "a", Cell: int64(i)})
	}
	return out
}

func req(id RequestID) Request {
	return Request{ID: id, Class: "chat", TimeLeft: 4 * sec, PromptTokens: 1000, MaxTokens: 400}
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

func TestNewTellsWhatItCannotServe(t *testing.T) {
	for name, spoil := range map[string]func(*Settings){
		"self":     func(s *Settings) { s.Self = 1 },
		"classes":  func(s *Settings) { s.Classes = nil },
		"attempts": func(s *Settings) { s.MaxAttempts = 0 },
		"deadline": func(s *Settings) { s.Classes = []Class{{Name: "x"}} },
		"start":    func(s *Settings) { s.StartCapacity = 0 },
		"rules":    func(s *Settings) { s.FallSpan = -1 },
	} {
		s := settings()
		spoil(&s)
		if _, err := New(s, 1, &recorder{}); err == nil || !strings.HasPrefix(err.Error(), "choice: ") {
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
		{"an old full row is tried again", []rowState{{90000, 60 * sec, 0, 1}, {8000, 0, 0, 1}}, 1},
		{"an old empty row is no longer crowded", []rowState{{100, 60 * sec, 5000, 1}, {1000, 0, 0, 1}}, 2},
	} {
		b, _ := start(t, settings(), fleet(len(c.rows))...)
		now := 200 * sec
		b.lifetime, b.meanLoad = float64(10*sec), 10000
		for i, in := range c.rows {
			w := b.rows[i]
			w.held, w.charge, w.unseen, w.slow, w.reportAt = in.held, in.charge, in.charge, in.slow, now-in.age
			if in.age < 0 {
				w.reportAt = -1
			}
		}
		r := &request{Request: req(1), terms: b.terms[0], tenant: -1, avoidZone: -1}
		if got, _, _ := b.pick(now, r); got == nil || got.id != c.want {
			t.Errorf("%s: picked %v, want %d", c.name, got, c.want)
		}
	}
}

// The ledger: charged on dispatch, its reading part dropped with the first
// token, all of it at the end.
func TestLedger(t *testing.T) {
	b, rec := start(t, settings(), fleet(1)...)
	if dispatched(b, rec, 101*sec, req(1)) != 1 {
		t.Fatal("not sent")
	}
	w := b.rows[0]
	if want := readCost*1000 + 1000 + 100; w.charge != want {
		t.Fatalf("charge %v after the dispatch, want %v", w.charge, want)
	}
	b.FirstToken(102*sec, Outcome{ID: 1, Replica: 1, Elapsed: sec})
	if w.charge != 1100 {
		t.Fatalf("charge %v after the first token, want 1100", w.charge)
	}
	b.AttemptEnded(103*sec, Outcome{ID: 1, Replica: 1, Status: Served, Elapsed: 2 * sec, Final: true})
	if w.charge != 0 || len(w.open) != 0 || len(b.requests) != 0 {
		t.Fatalf("charge %v, %d open, %d requests after the end", w.charge, len(w.open), len(b.requests))
	}
}

// A report covers what was sent well before it, not what was sent just now.
func TestReportLag(t *testing.T) {
	b, rec := start(t, settings(), fleet(1)...)
	dispatched(b, rec, 101*sec, req(1))
	b.setHeld(101*sec+reportLag/2, b.rows[0], 5)
	if b.rows[0].unseen != b.rows[0].charge {
		t.Fatal("a young charge is taken for reported")
	}
	b.setHeld(101*sec+2*reportLag, b.rows[0], 5)
	if b.rows[0].unseen != 0 {
		t.Fatal("an old charge is counted beside the report")
	}
}

func TestRatioStartsAtFleetMeanAndFitsReplica(t *testing.T) {
	b, _ := start(t, settings(), fleet(2)...)
	b.meanHold = 1000
	rep := func(w *row, share float64) {
		b.report(101*sec, w, Report{Has: HasMemory | HasInFlight, MemoryShare: share, InFlight: 10})
	}
	rep(b.rows[0], 0.2)
	rep(b.rows[1], 0.2)
	if math.Abs(b.rows[1].held-10000) > 1 {
		t.Fatalf("held %v tokens by the fleet's ratio, want 10000", b.rows[1].held)
	}
	for range 200 {
		rep(b.rows[1], 0.4) // half the memory: the same requests take twice the share
	}
	if h := b.rows[1].held; math.Abs(h-10000) > 500 {
		t.Fatalf("held %v tokens by the replica's own ratio, want about 10000", h)
	}
}

// Guards against herding: with many gateways, each answers for its share of
// what a report shows, so one emptier replica does not draw every send.
func TestManyGatewaysDoNotCrowdTheEmptiest(t *testing.T) {
	s := settings()
	s.Gateways = 50
	b, _ := start(t, s, fleet(10)...)
	now := 101 * sec
	b.lifetime, b.meanLoad, b.meanHold, b.sendRate = float64(5*sec), 50000, 1100, 5
	for i, w := range b.rows {
		b.setHeld(now, w, 50000)
		if i == 3 {
			b.setHeld(now, w, 20000)
		}
	}
	hits := 0
	for i := range 40 {
		r := req(RequestID(i + 1))
		r.Session = mix(uint64(i)) // sessions with homes of their own
		w, _, _ := b.pick(now, &request{Request: r, terms: b.terms[0], tenant: -1, avoidZone: -1})
		if w.id == 4 {
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
	r := req(1)
	r.Session, r.PromptTokens = 0xabcdef, 6000
	var home ReplicaID
	for self := range 3 {
		s := settings()
		s.Self, s.Gateways = self, 3
		b, _ := start(t, s, fleet(8)...)
		w, kept, _ := b.pick(101*sec, &request{Request: r, terms: b.terms[0], tenant: -1, avoidZone: -1})
		if home != 0 && w.id != home || kept <= 0 {
			t.Fatalf("gateway %d picked %d (kept %v), another %d", self, w.id, kept, home)
		}
		home = w.id
		w.charge, w.unseen = 1e6, 1e6
		if w2, _, _ := b.pick(101*sec, &request{Request: r, terms: b.terms[0], tenant: -1, avoidZone: -1}); w2.id == home {
			t.Fatal("a jammed home is still picked")
		}
	}
}

func TestKeptMemoryIsBounded(t *testing.T) {
	b, rec := start(t, settings(), fleet(1)...)
	for i := range 3 * maxSessions {
		r := req(RequestID(i))
		r.Session, r.Prefix = uint64(i+1), uint64(i+1)
		b.RequestArrived(101*sec, r)
		b.AttemptEnded(101*sec, Outcome{ID: r.ID, Replica: 1, Status: Served, Final: true})
		rec.acts = nil
	}
	if len(b.sessions) > maxSessions || len(b.popular) > maxPrefixes || len(b.requests) != 0 {
		t.Fatalf("%d sessions, %d prefixes, %d requests", len(b.sessions), len(b.popular), len(b.requests))
	}
}

// A new connection costs points: of like replicas, one with an idle
// connection is taken.
func TestIdleConnectionPreferred(t *testing.T) {
	s := settings()
	s.PriceHandshake = 0.12
	b, rec := start(t, s, fleet(5)...)
	first := ReplicaID(4) // not the one that the scan's order would favour
	b.byID[first].conns, b.byID[first].usedAt = 1, 102*sec
	for i := range RequestID(5) {
		if got := dispatched(b, rec, 103*sec, req(i+2)); got != first {
			t.Fatalf("request %d opened a connection to %d beside the idle one to %d", i+2, got, first)
		}
		b.AttemptEnded(103*sec, Outcome{ID: i + 2, Replica: first, Status: Served, Final: true, Elapsed: sec})
	}
	if w := b.byID[first]; !b.connects(200*sec, w) {
		t.Fatal("the connection is believed open past its idle time")
	}
}

// First-token times scatter: only a replica that stands out is called slow.
func TestOwnSlownessMustStandOut(t *testing.T) {
	b, _ := start(t, settings(), fleet(2)...)
	now := 101 * sec
	for range 10 {
		b.noteSlow(now, b.rows[0], 1.4)
		b.noteSlow(now, b.rows[1], 6)
	}
	b.refresh(now)
	if b.rows[0].slow != 1 || b.rows[1].slow < 3 {
		t.Fatalf("slowness %v and %v", b.rows[0].slow, b.rows[1].slow)
	}
	b.refresh(now + slowFades)
	if b.rows[1].slow != 1 {
		t.Fatal("slowness never fades")
	}
}

// All slowing at once must not make the module shun everyone.
func TestSharedSlownessShunsNobody(t *testing.T) {
	b, rec := start(t, settings(), fleet(4)...)
	now := 101 * sec
	for range 50 {
		for _, w := range b.rows {
			b.noteSlow(now, w, 8)
		}
	}
	b.refresh(now)
	if dispatched(b, rec, now, req(1)) == 0 {
		t.Fatal("nothing sent while all are slow alike")
	}
}

func TestPeerReportsRoundTrip(t *testing.T) {
	a, _ := start(t, settings(), fleet(3)...)
	b, _ := start(t, settings(), fleet(3)...)
	a.setHeld(101*sec, a.rows[1], 12345)
	a.noteSlow(101*sec, a.rows[1], 2)
	b.PeerMessage(102*sec, 1, a.relay(nil, a.rows[1]))
	if w := b.rows[1]; w.reportAt != 102*sec || math.Abs(w.held-12345) > 900 || math.Abs(w.slowNum-2) > 0.2 {
		t.Fatalf("relayed row %+v", w)
	}
	b.PeerMessage(102*sec, 1, []byte("odd")) // cut short: harmless
	if b.rows[0].reportAt != -1 || b.rows[2].reportAt != -1 {
		t.Fatal("a message touched other rows")
	}
}

func TestProbesAreSharedAndRelayed(t *testing.T) {
	s := settings()
	s.ReportVia, s.MayProbe, s.MayTellPeers, s.Gateways = ReportOnProbe, true, true, 4
	owners := map[ReplicaID]int{}
	for self := range 4 {
		s.Self = self
		b, rec := start(t, s, fleet(20)...)
		b.probe(101 * sec)
		for _, p := range rec.take("probe") {
			owners[p.to]++
			b.ProbeEnded(102*sec, Outcome{Replica: p.to, Status: Served,
				Report: Report{Has: HasMemory, MemoryShare: 0.1}})
			if len(rec.take("tell")) != 1 {
				t.Fatal("a probed report was not relayed")
			}
		}
	}
	for _, m := range fleet(20) {
		if owners[m.Replica] != 1 {
			t.Fatalf("replica %d probed by %d gateways", m.Replica, owners[m.Replica])
		}
	}
}

func Example() {
	b, err := New(Settings{
		Gateways: 1, Zone: "a", MaxAttempts: 2, Tick: 1000,
		Classes: []Class{{Name: "chat", Aim: sec, Deadline: 4 * sec, Worth: 1, Stream: true}},
	}, 42, printer{})
	if err != nil {
		fmt.Println(err)
		return
	}
	now := Micros(0)
	b.Start(now)
	b.ListChanged(now, ServerList{Kind: ListFull, Members: []Member{{Replica: 7, Zone: "a"}}})
	b.RequestArrived(now, Request{ID: 1, Class: "chat", TimeLeft: 4 * sec, PromptTokens: 900, MaxTokens: 100})
	b.AttemptEnded(now+sec, Outcome{ID: 1, Replica: 7, Status: Served, Elapsed: sec, Final: true})
	// Output: send request 1 to replica 7
}

// printer is a Sink that prints dispatches; a node would act on all of these.
type printer struct{}

func (printer) Dispatch(id RequestID, to ReplicaID, _ Micros) {
	fmt.Printf("send request %d to replica %d\n", id, to)
}
func (printer) Refuse(RequestID, Micros) {}
func (printer) Fail(RequestID)           {}
func (printer) Cancel(RequestID, int)    {}
func (printer) SetTimer(Micros, uint64)  {}
func (printer) Probe(ReplicaID)          {}
func (printer) TellPeers([]byte)         {}
func (printer) WatchRegistry()           {}

// Where the registry tells sizes, the larger replica bears more.
func TestNominalSizesWeigh(t *testing.T) {
	s := settings()
	s.Weights = WeightNominal
	m := fleet(2)
	m[1].Weight = 3
	b, rec := start(t, s, m...)
	count := map[ReplicaID]int{}
	for i := range RequestID(80) {
		count[dispatched(b, rec, 101*sec, req(i))]++
	}
	if count[2] < 50 || count[1] < 10 {
		t.Fatalf("sent %v to replicas of sizes 1 and 3", count)
	}
}

func TestReportsOfEveryShape(t *testing.T) {
	for name, in := range map[string]Report{
		"memory":   {Has: HasMemory, MemoryShare: 0.5},
		"util":     {Has: HasUtil, Util: 0.5},
		"inflight": {Has: HasInFlight, InFlight: 9},
		"queue":    {Has: HasQueued, Queued: 9},
		"unread":   {Has: HasUnread, UnreadK: 20},
	} {
		b, rec := start(t, settings(), fleet(2)...)
		dispatched(b, rec, 101*sec, req(1))
		b.report(101*sec, b.rows[0], in)
		if b.rows[0].held <= 0 || b.rows[0].reportAt != 101*sec {
			t.Errorf("%s: held %v", name, b.rows[0].held)
		}
	}
	b, _ := start(t, settings(), fleet(1)...)
	b.report(101*sec, b.rows[0], Report{})
	if b.rows[0].reportAt != -1 {
		t.Error("an absent report was dated")
	}
}

// Live weights are reports that all gateways get: a lower one, more is held.
func TestLiveWeightsAreReports(t *testing.T) {
	s := settings()
	s.Weights = WeightLive
	m := fleet(3)
	b, _ := start(t, s, m...)
	b.liveScale = 1000
	m[1].Weight = 0.25
	b.ListChanged(101*sec, ServerList{Kind: ListDelta, Members: m[1:2]})
	if w := b.rows[1]; w.held != 3000 || w.reportAt != 101*sec {
		t.Fatalf("held %v at %v", w.held, w.reportAt)
	}
}

// Probes that peers do not share stay a part of the requests.
func TestProbesWithinTheirPrice(t *testing.T) {
	s := settings()
	s.MayProbe, s.PriceProbe = true, 0.05
	b, rec := start(t, s, fleet(50)...)
	b.sendRate = 10
	probes := 0
	for now := 101 * sec; now < 161*sec; now += tickEvery {
		b.probe(now)
		for _, p := range rec.take("probe") {
			probes++
			b.ProbeEnded(now, Outcome{Replica: p.to, Status: Served, Report: Report{Has: HasMemory, MemoryShare: 0.1}})
		}
	}
	if cost := float64(probes) * s.PriceProbe / (10 * 60); probes == 0 || cost > 0.01 {
		t.Fatalf("%d probes cost %v points a request", probes, cost)
	}
}

// The advice to a refused client grows with what stands over its part of the
// limit, stays within its aim and the settings' maximum, and scatters.
func TestRetryAfter(t *testing.T) {
	s := settings()
	s.Classes = append(s.Classes, Class{Name: "bulk", Aim: 10 * sec, Deadline: 30 * sec, Worth: 1, Stream: true})
	for _, c := range []struct {
		class       string
		open, limit float64
		least, most Micros
	}{
		{"chat", 0, 0, sec / 8 * 3 / 4, sec / 8 * 5 / 4},               // nothing says how long: soon
		{"chat", 20_000, 15_000, sec / 4 * 3 / 4, sec / 2 * 5 / 4},     // a quarter over, requests last 1 s
		{"chat", 90_000, 1_000, sec / 2 * 3 / 4, sec / 2 * 5 / 4},      // far over: half the aim
		{"bulk", 20_000, 15_000, 10 * sec / 8 * 3 / 4, 2 * sec},        // no sooner than an eighth of its aim
		{"bulk", 90_000, 1_000, 10 * sec / 8 * 3 / 4, s.MaxRetryAfter}, // no later than the maximum
	} {
		b, _ := start(t, s, fleet(3)...)
		b.openTokens, b.openLimit, b.worthPerToken = c.open, c.limit, 1e-9
		r := &request{Request: req(1), class: b.class[c.class], terms: b.terms[b.class[c.class]], tenant: -1}
		seen := map[Micros]bool{}
		for range 100 {
			d := b.retryAfter(r)
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
	b, _ := start(t, s, fleet(1)...)
	if d := b.retryAfter(&request{Request: req(1), terms: b.terms[0], tenant: -1}); d != 0 {
		t.Errorf("advice %d where the wire has none", d)
	}
}

// A crossing costs a share of the request's worth, which is lost only once the
// first token is late: a little more load at home does not pay for it, much more does.
func TestCrossingIsWeighedAgainstTheAim(t *testing.T) {
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
		s.PriceCrossZone = 0.03
		members := fleet(2)
		members[1].Zone = "b"
		b, _ := start(t, s, members...)
		now := 200 * sec
		b.lifetime, b.meanLoad = float64(10*sec), 10000
		b.rows[0].held, b.rows[1].held = c.home, c.away
		for _, w := range b.rows {
			w.reportAt, w.slow = now, 1
		}
		first := 50_000.0 // first tokens in 0.25 s, 1 s of aim: a crossing weighs 0.03 x 3 x usual load
		if c.home-c.away < 200 {
			first = 800_000 // most of the aim is used up already
		}
		for x := 0.0; c.learned && x <= 4000; x += 1000 {
			b.firstFit.add(x, first+100*x)
		}
		r := &request{Request: req(1), terms: b.terms[0], tenant: -1, avoidZone: -1}
		if got, _, _ := b.pick(now, r); got == nil || got.id != c.want {
			t.Errorf("%s: picked %v, want %d", c.name, got, c.want)
		}
	}
}

// Attempts that another gateway made count: a request that it lost, of which two were
// made, gets one more and no other.
func TestAttemptsMadeElsewhereCount(t *testing.T) {
	b, rec := start(t, settings(), Member{Replica: 1, Zone: "a", Kind: "k"}, Member{Replica: 2, Zone: "a", Kind: "k"}, Member{Replica: 3, Zone: "a", Kind: "k"})
	rec.take("")
	for spent, want := range []int{3, 2, 1, 0} {
		id := RequestID(spent + 1)
		b.RequestArrived(sec, Request{ID: id, Class: "chat", TimeLeft: 4 * sec, PromptTokens: 10, MaxTokens: 10, Spent: spent})
		got := 0
		for list := rec.take("dispatch"); len(list) > 0; list = rec.take("dispatch") {
			got++
			b.AttemptEnded(sec, Outcome{ID: id, Attempt: got - 1, Replica: list[0].to, Status: ConnectFailed})
		}
		if got != want {
			t.Errorf("%d made elsewhere: %d more, expected %d", spent, got, want)
		}
		if b.requests[id] != nil {
			t.Errorf("%d made elsewhere: still in hand", spent)
		}
	}
}
