package metrics

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"archknot/internal/contract"
	"archknot/internal/controlstats"
)

// fakeSource is a Source with fixed values.
type fakeSource struct {
	accounts []contract.AccountStatus
	control  controlstats.Stats
	err      error
}

func (s *fakeSource) Accounts(context.Context) ([]contract.AccountStatus, error) {
	return s.accounts, s.err
}

func (s *fakeSource) Control(context.Context) (controlstats.Stats, error) { return s.control, s.err }

// account returns the state of a team's contract.
func account(i int) contract.AccountStatus {
	a := contract.AccountStatus{Team: fmt.Sprint("team", i), Level: 5 * contract.Token, OpenCharges: 2, QuotaShare: 0.25, InForce: true}
	a.Used[contract.Hour], a.Limit[contract.Hour] = 30*contract.Token, 100*contract.Token
	a.Counters = contract.Counters{Admitted: 10, OverQuota: 3, Rejected: 1, AdmittedUnits: 100 * contract.Token, Used: 90 * contract.Token}
	return a
}

// The number of team labels is bounded, whatever the number of teams, and the metrics still
// include the counts of all teams.
func TestTeamLabelsAreBounded(t *testing.T) {
	s := &fakeSource{}
	for i := range 10_000 {
		s.accounts = append(s.accounts, account(i))
	}
	r := prometheus.NewRegistry()
	r.MustRegister(&contractCollector{50, s})
	families, err := r.Gather()
	if err != nil {
		t.Fatal(err)
	}
	teams, admitted := map[string]bool{}, 0.0
	for _, f := range families {
		for _, m := range f.Metric {
			for _, l := range m.Label {
				if l.GetName() == "team" {
					teams[l.GetValue()] = true
				}
				if f.GetName() == "archknot_contract_requests_total" && l.GetValue() == "taken" {
					admitted += m.Counter.GetValue()
				}
			}
		}
	}
	if len(teams) != 50 || !teams[OtherTeams] || admitted != 100_000 {
		t.Errorf("%d team labels, want 50 with OtherTeams; %v admitted, want 100000", len(teams), admitted)
	}
}

func TestContractMetrics(t *testing.T) {
	s := &fakeSource{accounts: []contract.AccountStatus{account(1)}}
	want := `
# HELP archknot_contract_budget_used_tokens What was used in the period at hand.
# TYPE archknot_contract_budget_used_tokens gauge
archknot_contract_budget_used_tokens{period="hour",team="team1"} 30
# HELP archknot_contract_used_tokens_total What was used, as settled, in tokens at price 1.
# TYPE archknot_contract_used_tokens_total counter
archknot_contract_used_tokens_total{team="team1"} 90
`
	if err := testutil.CollectAndCompare(&contractCollector{50, s}, strings.NewReader(want), "archknot_contract_budget_used_tokens", "archknot_contract_used_tokens_total"); err != nil {
		t.Error(err)
	}
	if problems, err := testutil.CollectAndLint(&contractCollector{50, s}); err != nil || len(problems) > 0 {
		t.Error(problems, err)
	}
	// If the gateway does not provide the values, the scrape fails; it does not return zeros.
	s.err = errors.New("no answer")
	w := httptest.NewRecorder()
	Handler(50, s).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	if w.Code != http.StatusInternalServerError {
		t.Error(w.Code)
	}
}

func TestListen(t *testing.T) {
	s, err := Listen("127.0.0.1:0", 5, &fakeSource{})
	if err != nil {
		t.Fatal(err)
	}
	s.Close()
	if _, err := Listen("127.0.0.1:notaport", 5, &fakeSource{}); err == nil || !strings.Contains(err.Error(), "metrics.listen") {
		t.Error(err)
	}
	var nilServer *Server
	nilServer.Close()
}

// The control plane statistics are exported under the expected names and labels.
func TestControlMetrics(t *testing.T) {
	s := &fakeSource{control: controlstats.Stats{Listed: 6000, Ready: 5990, Subset: 102, OutsideTargets: 64, Joined: 110, Left: 8, RejectedLists: 3, ListVersion: 41,
		Connections: 120, LoopBusy: 2500 * time.Millisecond, Reports: controlstats.ReportAge{WithReport: 40, WithoutReport: 2, Sum: 12 * time.Second}}}
	s.control.Traffic[controlstats.PurposeHealthCheck] = controlstats.Traffic{Calls: 70, ConnectionsOpened: 9, BytesIn: 10_000, BytesOut: 4000}
	got := map[string]float64{}
	r := prometheus.NewRegistry()
	r.MustRegister(&controlCollector{s})
	families, err := r.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		for _, m := range f.Metric {
			name := strings.TrimPrefix(f.GetName(), "archknot_control_")
			for _, l := range m.Label {
				name += " " + l.GetValue()
			}
			got[name] = m.Gauge.GetValue() + m.Counter.GetValue()
		}
	}
	for name, want := range map[string]float64{"replicas listed": 6000, "replicas ready": 5990, "replicas subset": 102, "replicas home": 64,
		"subset_moved_total in": 110, "subset_moved_total out": 8, "refused_lists_total": 3, "list_version": 41, "connections": 120,
		"decide_seconds_total": 2.5, "attempts_total known": 40, "attempts_total none": 2, "report_age_seconds_total": 12,
		"calls_total probe": 70, "opened_total probe": 9, "bytes_total probe in": 10_000, "bytes_total probe out": 4000, "calls_total discovery": 0} {
		if v, ok := got[name]; !ok || v != want {
			t.Errorf("%s: %v, want %v", name, v, want)
		}
	}
	s.err = errors.New("no answer")
	if _, err := r.Gather(); err == nil {
		t.Error("the scrape succeeds although the source fails")
	}
}
