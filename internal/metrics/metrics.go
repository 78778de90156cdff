// Package metrics serves a gateway's figures in the Prometheus form. Its listener
// is the operators': off unless the settings name an address.
package metrics

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"archknot/internal/contract"
	"archknot/internal/controlstats"
)

// Source tells the figures.
type Source interface {
	Accounts(ctx context.Context) ([]contract.AccountStatus, error)
	Control(ctx context.Context) (controlstats.Stats, error)
}

// scrapeTimeout bounds the time that figures may take.
const scrapeTimeout = 2 * time.Second

// Server serves /metrics until Close.
type Server struct{ http *http.Server }

// Listen opens the address. At most so many teams have figures of their own.
func Listen(addr string, teams int, from Source) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("metrics.listen: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", Handler(teams, from))
	s := &Server{&http.Server{Handler: mux, ReadTimeout: 5 * time.Second, WriteTimeout: 10 * time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: 8 << 10}}
	go s.http.Serve(l)
	return s, nil
}

// Close ends the server; a nil one is none.
func (s *Server) Close() {
	if s != nil {
		s.http.Close()
	}
}

// Handler serves the figures.
func Handler(teams int, from Source) http.Handler {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), &contractCollector{teams, from}, &controlCollector{from})
	return promhttp.HandlerFor(r, promhttp.HandlerOpts{MaxRequestsInFlight: 4, Timeout: scrapeTimeout * 2})
}

// OtherTeams is the label of the teams past the bound, summed up.
const OtherTeams = "_others"

type contractCollector struct {
	maxTeams int
	source   Source
}

func contractDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("archknot_contract_"+name, help, append([]string{"team"}, labels...), nil)
}

var (
	requestsDesc    = contractDesc("requests_total", "Requests and further copies of them that the contract judged.", "verdict")
	askedDesc       = contractDesc("asked_tokens_total", "What they were thought to take, in tokens at price 1.", "verdict")
	usedDesc        = contractDesc("used_tokens_total", "What was used, as settled, in tokens at price 1.")
	borrowedDesc    = contractDesc("borrowed_tokens_total", "What was taken of other teams' idle shares, in tokens at price 1.")
	levelDesc       = contractDesc("level_tokens", "What the team has saved up of its rate; below 0 it owes.")
	openChargesDesc = contractDesc("open_charges", "Charges that are not settled yet.")
	shareDesc       = contractDesc("part", "Which part of the contract this gateway holds.")
	budgetUsedDesc  = contractDesc("budget_used_tokens", "What was used in the period at hand.", "period")
	budgetLimitDesc = contractDesc("budget_limit_tokens", "What may be used in the period at hand.", "period")
	contractsDesc   = prometheus.NewDesc("archknot_contracts", "Contracts in force.", nil, nil)
)

func (a *contractCollector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{requestsDesc, askedDesc, usedDesc, borrowedDesc, levelDesc, openChargesDesc, shareDesc, budgetUsedDesc, budgetLimitDesc, contractsDesc} {
		ch <- d
	}
}

func (a *contractCollector) Collect(ch chan<- prometheus.Metric) {
	ctx, stop := context.WithTimeout(context.Background(), scrapeTimeout)
	defer stop()
	list, err := a.source.Accounts(ctx)
	if err != nil {
		ch <- prometheus.NewInvalidMetric(contractsDesc, err)
		return
	}
	ch <- prometheus.MustNewConstMetric(contractsDesc, prometheus.GaugeValue, float64(len(list)))
	token := float64(contract.Token)
	var rest contract.AccountStatus
	rest.Team = OtherTeams
	for i := range list {
		if len(list) > a.maxTeams && i >= a.maxTeams-1 {
			addAccount(&rest, &list[i])
			continue
		}
		emitTeam(ch, &list[i], token, true)
	}
	if len(list) > a.maxTeams {
		emitTeam(ch, &rest, token, false)
	}
}

func addAccount(to, a *contract.AccountStatus) {
	c, o := &to.Counters, &a.Counters
	c.Admitted, c.OverQuota, c.Rejected = c.Admitted+o.Admitted, c.OverQuota+o.OverQuota, c.Rejected+o.Rejected
	c.AdmittedUnits, c.OverQuotaUnits, c.RejectedUnits = c.AdmittedUnits+o.AdmittedUnits, c.OverQuotaUnits+o.OverQuotaUnits, c.RejectedUnits+o.RejectedUnits
	c.Borrowed, c.Used = c.Borrowed+o.Borrowed, c.Used+o.Used
	to.Level, to.Open = to.Level+a.Level, to.Open+a.Open
}

// emitTeam tells one team's figures; alone says that it is one team, with budgets.
func emitTeam(ch chan<- prometheus.Metric, a *contract.AccountStatus, token float64, alone bool) {
	count := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, v, append([]string{a.Team}, labels...)...)
	}
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, append([]string{a.Team}, labels...)...)
	}
	c := &a.Counters
	for _, v := range []struct {
		word  string
		n     int64
		units contract.Units
	}{{"taken", c.Admitted, c.AdmittedUnits}, {"over", c.OverQuota, c.OverQuotaUnits}, {"refused", c.Rejected, c.RejectedUnits}} {
		count(requestsDesc, float64(v.n), v.word)
		count(askedDesc, float64(v.units)/token, v.word)
	}
	count(usedDesc, float64(c.Used)/token)
	count(borrowedDesc, float64(c.Borrowed)/token)
	gauge(levelDesc, float64(a.Level)/token)
	gauge(openChargesDesc, float64(a.Open))
	if !alone {
		return
	}
	gauge(shareDesc, a.QuotaShare)
	for p := range a.Limit {
		if a.Limit[p] > 0 {
			word := contract.Period(p).String()
			gauge(budgetUsedDesc, float64(a.Used[p])/token, word)
			gauge(budgetLimitDesc, float64(a.Limit[p])/token, word)
		}
	}
}
