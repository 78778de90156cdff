package contractsim_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"archknot/balancer"
	"archknot/internal/capture"
	"archknot/internal/contract"
	"archknot/internal/contractsim"
	"archknot/internal/contractsim/report"
)

// discardSink discards the decision module's actions.
type discardSink struct{ balancer.Sink }

func (discardSink) Dispatch(balancer.RequestID, balancer.ReplicaID, balancer.Micros) {}
func (discardSink) Shed(balancer.RequestID, balancer.Micros)                         {}
func (discardSink) Fail(balancer.RequestID)                                          {}
func (discardSink) Cancel(balancer.RequestID, int)                                   {}
func (discardSink) SetTimer(balancer.Micros, uint64)                                 {}
func (discardSink) HealthCheck(balancer.ReplicaID)                                   {}
func (discardSink) Gossip([]byte)                                                    {}
func (discardSink) WatchDiscovery()                                                  {}

// recordCapture records 10 s in which tenant a sends 20 requests per second and tenant b 5,
// each with 100 prompt tokens and 50 output tokens. The first attempts of a's requests whose
// ID is a multiple of 4 are shed, and the requests are retried.
func recordCapture(t *testing.T) *capture.Run {
	t.Helper()
	dir := t.TempDir()
	w, err := capture.NewWriter(capture.WriterOptions{Directory: dir, Gateway: "g", QueueLength: 8, BlockWhenFull: true, MaxBytes: 1 << 30, MaxAge: time.Hour})
	if err != nil {
		t.Fatal(err)
	}
	b, err := balancer.New(balancer.Settings{Gateways: 1, Zone: "z", Zones: []string{"z"}, Kinds: []string{"k"}, MaxAttempts: 3, Tick: 2000,
		Classes: []balancer.Class{{Name: "chat", LatencyObjective: 1e6, TokenObjective: 50_000, Deadline: 4e6, PriorityWeight: 1, Streaming: true}}}, 1, discardSink{})
	if err != nil {
		t.Fatal(err)
	}
	r := capture.NewRecorder(1000, b, nil, discardSink{}, w, capture.Host{}, capture.Options{CheckpointInterval: time.Minute, BlockSize: 4 << 10, FlushInterval: time.Second,
		SegmentSize: 1 << 20, SegmentAge: time.Hour})
	r.Start(1000)
	r.ListChanged(1000, balancer.EndpointList{Kind: balancer.ListFull, Version: 1, Endpoints: []balancer.Endpoint{{Replica: 1, Zone: "z", Kind: "k", Weight: 1}, {Replica: 2, Zone: "z", Kind: "k", Weight: 1}}})
	id := balancer.RequestID(0)
	for at := balancer.Micros(2000); at < 10_002_000; at += 50_000 {
		for _, tenant := range []string{"a", "b"} {
			if tenant == "b" && at%200_000 != 2000 {
				continue
			}
			id++
			r.RequestArrived(at, balancer.Request{ID: id, Class: "chat", Tenant: tenant, TimeLeft: 4e6, PromptTokens: 100, MaxTokens: 50})
			n := 0
			if tenant == "a" && id%4 == 0 {
				r.AttemptEnded(at+1000, balancer.Outcome{ID: id, Attempt: 0, Replica: 1, Status: balancer.Shed, Elapsed: 1000})
				n = 1
			}
			r.AttemptEnded(at+30_000, balancer.Outcome{ID: id, Attempt: n, Replica: 2, Status: balancer.Served, Elapsed: 20_000, Final: true, OutputTokens: 50})
		}
	}
	r.Close()
	w.Close()
	runs, err := capture.FindRuns(dir)
	if err != nil || len(runs) != 1 {
		t.Fatal(runs, err)
	}
	return runs[0]
}

// testTerms returns terms with a rate in tokens per second and a burst of one second.
func testTerms(name string, rate float64) contract.Terms {
	return contract.Terms{Team: name, Tenants: []string{name}, Rate: rate * float64(contract.Token), Burst: contract.Units(rate) * contract.Token, OverQuotaWeight: 0.05}
}

func TestSimulate(t *testing.T) {
	run := recordCapture(t)
	a, idle := testTerms("a", 1500), testTerms("idle", 10)
	a.Budgets = []contract.Budget{{Period: contract.Hour, Hard: 24_000 * contract.Token}}
	a.NoBorrow = true
	res, err := contractsim.Run(run, contractsim.Options{Settings: contract.Settings{BorrowPoolSeconds: 1, UnknownTenantWeight: 0.5}, Terms: []contract.Terms{a, idle}})
	if err != nil {
		t.Fatal(err)
	}
	if len(res.Teams) != 3 || res.Teams[2].Team != "" || res.Teams[1].Requests != 0 {
		t.Fatalf("%+v", res.Teams)
	}
	got, noContract := res.Teams[0], res.Teams[2]
	// Tenant a sends 200 requests of 150 tokens: 3,000 tokens per second, twice its rate.
	// The budget of 24,000 tokens allows about 160 requests.
	if got.Requests != 200 || got.Admitted < 85 || got.Admitted > 120 || got.Rejected["budget_spent"] < 30 || got.Rejected["budget_spent"] > 45 ||
		got.ServedThoughRejected != got.Rejected["budget_spent"] || got.Served != 200 || got.OverQuota+got.Admitted+got.Rejected["budget_spent"] != 200 {
		got.Series = nil
		t.Errorf("%+v", got)
	}
	if noContract.Requests != 50 || noContract.OverQuota != 50 || noContract.Served != 50 {
		t.Errorf("%+v", noContract)
	}
	if got.Used > 24_000 || got.Used < 22_000 || got.ExtraAttempts == 0 {
		t.Errorf("used %v tokens, %d extra attempts", got.Used, got.ExtraAttempts)
	}
	if n := len(res.Notices); n != 3 || res.Notices[2].Percent != 100 {
		t.Errorf("%+v", res.Notices)
	}
	sum := 0.0
	for _, p := range got.Series {
		sum += (p.FullWeight + p.OverQuota + p.Rejected) * res.To.Sub(res.From).Seconds() / float64(len(got.Series))
	}
	if sum < 25_000 || sum > 30_500 {
		t.Errorf("the series sums to %v tokens", sum)
	}
	// Options.From restricts the simulation to a part of the recording.
	part, err := contractsim.Run(run, contractsim.Options{Settings: contract.Settings{BorrowPoolSeconds: 1}, Terms: []contract.Terms{a}, From: run.Begin() + 5_000_000})
	if err != nil || part.Teams[0].Requests < 95 || part.Teams[0].Requests > 105 {
		t.Errorf("%v %+v", err, part)
	}
	if _, err := contractsim.Run(run, contractsim.Options{Terms: []contract.Terms{a}, From: run.End() + 60_000_000}); !errors.Is(err, contractsim.ErrEmptyInterval) {
		t.Error("Run did not return ErrEmptyInterval for an interval after the recording")
	}
	// The page shows teams, charts, reasons and notices, and escapes the names of teams.
	res.Teams[0].Team = "<script>a"
	var page strings.Builder
	if err := report.Write(&page, []*contractsim.Result{res}); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"&lt;script&gt;a", "<svg", "budget spent", "(no contract)", "80%"} {
		if !strings.Contains(page.String(), want) {
			t.Errorf("the page lacks %q", want)
		}
	}
	if strings.Contains(page.String(), "<script>") || strings.Contains(page.String(), "http://") && !strings.Contains(page.String(), "http://www.w3.org") {
		t.Error("the page has an unescaped script tag or an external URL")
	}
}
