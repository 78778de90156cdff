package metrics

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"

	"archknot/internal/contract"
)

// OtherTeams is the team label of the sum over the teams past the bound.
const OtherTeams = "_others"

// contractCollector collects the state of the teams' contracts.
type contractCollector struct {
	maxTeams int // with metrics of their own, OtherTeams included
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

// Describe sends the descriptions of all metrics of contracts.
func (c *contractCollector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{requestsDesc, askedDesc, usedDesc, borrowedDesc, levelDesc, openChargesDesc, shareDesc, budgetUsedDesc, budgetLimitDesc, contractsDesc} {
		ch <- d
	}
}

// Collect sends the metrics of each team up to the bound, and the sum of the others.
func (c *contractCollector) Collect(ch chan<- prometheus.Metric) {
	ctx, cancel := context.WithTimeout(context.Background(), scrapeTimeout)
	defer cancel()
	accounts, err := c.source.Accounts(ctx)
	if err != nil {
		ch <- prometheus.NewInvalidMetric(contractsDesc, err)
		return
	}
	emitter{ch, nil}.gauge(contractsDesc, float64(len(accounts)))
	others := contract.AccountStatus{Team: OtherTeams}
	for i := range accounts {
		if len(accounts) > c.maxTeams && i >= c.maxTeams-1 {
			addAccount(&others, &accounts[i])
			continue
		}
		emitTeam(ch, &accounts[i])
		emitBudgets(ch, &accounts[i])
	}
	if len(accounts) > c.maxTeams {
		emitTeam(ch, &others)
	}
}

// addAccount adds one team's counters, level and open charges to a sum.
func addAccount(sum, a *contract.AccountStatus) {
	c, o := &sum.Counters, &a.Counters
	c.Admitted += o.Admitted
	c.OverQuota += o.OverQuota
	c.Rejected += o.Rejected
	c.AdmittedUnits += o.AdmittedUnits
	c.OverQuotaUnits += o.OverQuotaUnits
	c.RejectedUnits += o.RejectedUnits
	c.Borrowed += o.Borrowed
	c.Used += o.Used
	sum.Level += a.Level
	sum.Open += a.Open
}

// tokens converts units to tokens at price 1.
func tokens(u contract.Units) float64 { return float64(u) / float64(contract.Token) }

// emitTeam sends what one team's metrics and those of a sum of teams have in common.
func emitTeam(ch chan<- prometheus.Metric, a *contract.AccountStatus) {
	team := emitter{ch, []string{a.Team}}
	c := &a.Counters
	for _, v := range []struct {
		verdict  string
		requests int64
		units    contract.Units
	}{{"taken", c.Admitted, c.AdmittedUnits}, {"over", c.OverQuota, c.OverQuotaUnits}, {"refused", c.Rejected, c.RejectedUnits}} {
		team.counter(requestsDesc, float64(v.requests), v.verdict)
		team.counter(askedDesc, tokens(v.units), v.verdict)
	}
	team.counter(usedDesc, tokens(c.Used))
	team.counter(borrowedDesc, tokens(c.Borrowed))
	team.gauge(levelDesc, tokens(a.Level))
	team.gauge(openChargesDesc, float64(a.Open))
}

// emitBudgets sends what only a single team has: its share and its budgets.
func emitBudgets(ch chan<- prometheus.Metric, a *contract.AccountStatus) {
	team := emitter{ch, []string{a.Team}}
	team.gauge(shareDesc, a.QuotaShare)
	for p := range a.Limit {
		if a.Limit[p] > 0 {
			period := contract.Period(p).String()
			team.gauge(budgetUsedDesc, tokens(a.Used[p]), period)
			team.gauge(budgetLimitDesc, tokens(a.Limit[p]), period)
		}
	}
}
