package metrics

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"archknot/internal/contract"
)

type source struct {
	list []contract.Account
	err  error
}

func (s *source) Accounts(context.Context) ([]contract.Account, error) { return s.list, s.err }

func account(i int) contract.Account {
	a := contract.Account{Team: fmt.Sprint("team", i), Level: 5 * contract.Token, Open: 2, Part: 0.25, Valid: true}
	a.Used[contract.Hour], a.Limit[contract.Hour] = 30*contract.Token, 100*contract.Token
	a.Count = contract.Count{Taken: 10, Over: 3, Refused: 1, TakenUnits: 100 * contract.Token, Used: 90 * contract.Token}
	return a
}

// However many teams there are, those with figures of their own are bounded, and
// the sums are of all.
func TestTeamsAreBounded(t *testing.T) {
	s := &source{}
	for i := range 10_000 {
		s.list = append(s.list, account(i))
	}
	r := prometheus.NewRegistry()
	r.MustRegister(&accounts{50, s})
	families, err := r.Gather()
	if err != nil {
		t.Fatal(err)
	}
	teams, taken := map[string]bool{}, 0.0
	for _, f := range families {
		for _, m := range f.Metric {
			for _, l := range m.Label {
				if l.GetName() == "team" {
					teams[l.GetValue()] = true
				}
				if f.GetName() == "archknot_contract_requests_total" && l.GetValue() == "taken" {
					taken += m.Counter.GetValue()
				}
			}
		}
	}
	if len(teams) != 50 || !teams[Others] || taken != 100_000 {
		t.Errorf("%d teams, %v taken", len(teams), taken)
	}
}

func TestFigures(t *testing.T) {
	s := &source{list: []contract.Account{account(1)}}
	want := `
# HELP archknot_contract_budget_used_tokens What was used in the period at hand.
# TYPE archknot_contract_budget_used_tokens gauge
archknot_contract_budget_used_tokens{period="hour",team="team1"} 30
# HELP archknot_contract_used_tokens_total What was used, as settled, in tokens at price 1.
# TYPE archknot_contract_used_tokens_total counter
archknot_contract_used_tokens_total{team="team1"} 90
`
	if err := testutil.CollectAndCompare(&accounts{50, s}, strings.NewReader(want), "archknot_contract_budget_used_tokens", "archknot_contract_used_tokens_total"); err != nil {
		t.Error(err)
	}
	if problems, err := testutil.CollectAndLint(&accounts{50, s}); err != nil || len(problems) > 0 {
		t.Error(problems, err)
	}
	// A gateway that does not answer is an error and no figures of nothing.
	s.err = errors.New("no answer")
	w := httptest.NewRecorder()
	Handler(50, s).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	if w.Code != http.StatusInternalServerError {
		t.Error(w.Code)
	}
}

func TestListen(t *testing.T) {
	s, err := Listen("127.0.0.1:0", 5, &source{})
	if err != nil {
		t.Fatal(err)
	}
	s.Close()
	if _, err := Listen("127.0.0.1:notaport", 5, &source{}); err == nil || !strings.Contains(err.Error(), "metrics.listen") {
		t.Error(err)
	}
	var none *Server
	none.Close()
}
