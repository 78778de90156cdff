package metrics

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"

	"archknot/internal/contract"
)

// OtherTeams is the team label of the sum of all teams that have no metrics of their own.
const OtherTeams = "_others"

// contractCollector collects the state of the teams' contracts.
type contractCollector struct {
	maxTeams int // bound on team labels, including OtherTeams
	source   Source
}

func contractDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("archknot_contract_"+name, help, append([]string{"team"}, labels...), nil)
}

var (
	requestsDesc        = contractDesc("requests_total", "Requests and further copies of them that the contract judged.", "verdict")
	requestedTokensDesc = contractDesc("asked_tokens_total", "What they were thought to take, in tokens at price 1.", "verdict")
	usedTokensDesc      = contractDesc("used_tokens_total", "What was used, as settled, in tokens at price 1.")
	borrowedTokensDesc  = contractDesc("borrowed_tokens_total", "What was taken of other teams' idle shares, in tokens at price 1.")
	levelDesc           = contractDesc("level_tokens", "What the team has saved up of its rate; below 0 it owes.")
	openChargesDesc     = contractDesc("open_charges", "Charges that are not settled yet.")
	quotaShareDesc      = contractDesc("part", "Which part of the contract this gateway holds.")
	budgetUsedDesc      = contractDesc("budget_used_tokens", "What was used in the period at hand.", "period")
	budgetLimitDesc     = contractDesc("budget_limit_tokens", "What may be used in the period at hand.", "period")
	contractsDesc       = prometheus.NewDesc("archknot_contracts", "Contracts in force.", nil, nil)
)

// Describe sends the descriptions of all contract metrics.
func (c *contractCollector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{requestsDesc, requestedTokensDesc, usedTokensDesc, borrowedTokensDesc, levelDesc, openChargesDesc, quotaShareDesc, budgetUsedDesc, budgetLimitDesc, contractsDesc} {
		ch <- d
	}
}

// Collect sends the metrics of each team up to the bound, and the sum of the remaining teams. If the source
// fails, it sends an invalid metric, so that the scrape fails.
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

// addAccount adds a team's counters, level and open charges to sum.
func addAccount(sum, a *contract.AccountStatus) {
	total, added := &sum.Counters, &a.Counters
	total.Admitted += added.Admitted
	total.OverQuota += added.OverQuota
	total.Rejected += added.Rejected
	total.AdmittedUnits += added.AdmittedUnits
	total.OverQuotaUnits += added.OverQuotaUnits
	total.RejectedUnits += added.RejectedUnits
	total.Borrowed += added.Borrowed
	total.Used += added.Used
	sum.Level += a.Level
	sum.OpenCharges += a.OpenCharges
}

// tokens converts units to tokens at price 1.
func tokens(u contract.Units) float64 { return float64(u) / float64(contract.Token) }

// emitTeam sends the metrics that both a single team and a sum of teams have.
func emitTeam(ch chan<- prometheus.Metric, a *contract.AccountStatus) {
	team := emitter{ch, []string{a.Team}}
	c := &a.Counters
	for _, v := range []struct {
		verdict  string
		requests int64
		units    contract.Units
	}{{"taken", c.Admitted, c.AdmittedUnits}, {"over", c.OverQuota, c.OverQuotaUnits}, {"refused", c.Rejected, c.RejectedUnits}} {
		team.counter(requestsDesc, float64(v.requests), v.verdict)
		team.counter(requestedTokensDesc, tokens(v.units), v.verdict)
	}
	team.counter(usedTokensDesc, tokens(c.Used))
	team.counter(borrowedTokensDesc, tokens(c.Borrowed))
	team.gauge(levelDesc, tokens(a.Level))
	team.gauge(openChargesDesc, float64(a.OpenCharges))
}

// emitBudgets sends the metrics that only a single team has: its quota share and its budgets.
func emitBudgets(ch chan<- prometheus.Metric, a *contract.AccountStatus) {
	team := emitter{ch, []string{a.Team}}
	team.gauge(quotaShareDesc, a.QuotaShare)
	for p := range a.Limit {
		if a.Limit[p] > 0 {
			period := contract.Period(p).String()
			team.gauge(budgetUsedDesc, tokens(a.Used[p]), period)
			team.gauge(budgetLimitDesc, tokens(a.Limit[p]), period)
		}
	}
}
