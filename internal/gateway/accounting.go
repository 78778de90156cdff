package gateway

import (
	"log/slog"

	"archknot/balancer"
	"archknot/internal/capture"
	"archknot/internal/contract"
	"archknot/internal/contract/split"
	"archknot/internal/endpoint"
	"archknot/internal/inflight"
)

const (
	// quotaShareInterval is how often the gateway recomputes its shares of the teams' quotas.
	quotaShareInterval balancer.Micros = 1_000_000
	// ledgerErrorInterval is the minimum time between log lines about failed ledger writes.
	ledgerErrorInterval balancer.Micros = 10_000_000
	// minPriorityWeight replaces a priority weight of 0, which the decision module takes for a
	// request without a contract.
	minPriorityWeight = 1e-6
)

// contractAccounting charges requests to their teams' contracts. Without contracts it admits all
// requests. The event loop owns it.
type contractAccounting struct {
	ledger           *contract.Ledger       // nil: no contracts
	recordedLedger   capture.ContractLedger // the ledger, or the recorder that wraps it
	fileContracts    *Contracts             // from the configuration file; nil: none
	versionContracts []contract.Terms       // from a configuration version, replacing the file's; nil: none
	quotaShares      quotaShareState
	checkpointing    bool            // a checkpoint of the balances is being written
	errorLoggedAt    balancer.Micros // when a failed checkpoint was last logged
}

// contracts returns the contracts to apply: the file's, with the teams of the configuration
// version in place of the file's if the version has contracts.
func (a *contractAccounting) contracts() Contracts {
	c := Contracts{}
	if a.fileContracts != nil {
		c = *a.fileContracts
	}
	if a.versionContracts != nil {
		c.Teams = a.versionContracts
	}
	return c
}

// close ends accounting: from then on no contracts apply.
func (a *contractAccounting) close() {
	a.ledger, a.recordedLedger, a.quotaShares = nil, nil, quotaShareState{}
	a.checkpointing, a.errorLoggedAt = false, 0
}

// charge charges the estimated usage of an attempt.
func (a *contractAccounting) charge(now balancer.Micros, r *inflight.Request, attempt int, c *contract.Charge) contract.Verdict {
	return a.recordedLedger.Charge(now, &r.BalancerRequest, attempt, c)
}

// admit charges a request to its team's contract. An admitted request gets the priority of the
// contract; otherwise answer is the rejection.
func (a *contractAccounting) admit(now balancer.Micros, r *inflight.Request) (answer inflight.Action, admitted bool) {
	if a.ledger == nil {
		return inflight.Action{}, true
	}
	verdict := a.charge(now, r, 0, &r.Charge)
	a.logBudgetNotices()
	if verdict.Rejected && r.BalancerRequest.PriorAttempts > 0 {
		// The gateway that served the request before had admitted it: it continues, at the lowest
		// priority.
		r.BalancerRequest.PriorityFactor = minPriorityWeight
		return inflight.Action{}, true
	}
	if verdict.Rejected {
		return inflight.Action{Kind: inflight.ActionDeny, Reason: verdict.Reason, RetryAfter: verdict.RetryAfter}, false
	}
	r.BalancerRequest.PriorityFactor = max(minPriorityWeight, verdict.PriorityWeight)
	r.OverQuota = verdict.OverQuota
	r.EstimatedUse = r.Charge.Estimate
	return inflight.Action{}, true
}

// chargeAttempt assigns an attempt its charge: the first attempt takes over the request's charge,
// any other is charged separately. It returns false if the budget does not allow the attempt.
func (a *contractAccounting) chargeAttempt(now balancer.Micros, attempt *inflight.Attempt) bool {
	if a.ledger == nil {
		return true
	}
	r := attempt.Request
	if attempt.Index == 0 {
		attempt.Charge, r.Charge = r.Charge, contract.Charge{}
		return true
	}
	return !a.charge(now, r, attempt.Index, &attempt.Charge).Rejected
}

// settleAttempt replaces an attempt's estimated charge with its actual usage.
func (a *contractAccounting) settleAttempt(now balancer.Micros, e *attemptEnded) {
	if a.ledger == nil {
		return
	}
	attempt, r := e.attempt, e.attempt.Request
	usage := attempt.Charge.ActualUsage(e.status, r.BalancerRequest.PromptTokens, e.cachedTokens, e.outputTokens)
	a.recordedLedger.Settle(now, r.ID, attempt.Index, &attempt.Charge, usage, e.status == balancer.Served)
	a.logBudgetNotices()
}

// recordShed records that the module or the replicas had no capacity for a request. A request
// with an attempt that may have run does not count.
func (a *contractAccounting) recordShed(now balancer.Micros, r *inflight.Request) {
	if a.ledger == nil || r.BalancerRequest.PriorityFactor == 0 {
		return
	}
	for _, attempt := range r.Attempts {
		if !attempt.NeverRan {
			return
		}
	}
	a.recordedLedger.RecordShed(now, &r.BalancerRequest, r.EstimatedUse, r.OverQuota)
}

// releaseCharge settles, with no usage, a request's charge that no attempt has taken over.
func (a *contractAccounting) releaseCharge(now balancer.Micros, r *inflight.Request) {
	if a.ledger != nil {
		a.recordedLedger.Settle(now, r.ID, 0, &r.Charge, contract.Usage{}, false)
	}
}

// logBudgetNotices logs the budgets of which a half, four fifths or all has been used.
func (a *contractAccounting) logBudgetNotices() {
	for _, n := range a.ledger.TakeNotices() {
		slog.Info("contract_budget", "team", n.Team, "period", n.Period.String(), "percent", n.Percent,
			"used", n.Used/contract.Token, "limit", n.Limit/contract.Token)
	}
}

// checkpointWritten handles the result of writing a checkpoint to the store.
func (a *contractAccounting) checkpointWritten(now balancer.Micros, checkpoint uint64, err error) {
	a.checkpointing = false
	if a.ledger == nil {
		return
	}
	a.recordedLedger.CheckpointDone(now, checkpoint, err == nil)
	if err != nil && now-a.errorLoggedAt >= ledgerErrorInterval {
		a.errorLoggedAt = now
		slog.Error("contract_ledger_write_failed", "err", err, "unsaved_tokens", a.ledger.UnstoredUsage()/contract.Token)
	}
}

// updateQuotaShares recomputes the gateway's shares of the quotas, at most once per
// quotaShareInterval, and sets them in the ledger.
func (a *contractAccounting) updateQuotaShares(now balancer.Micros) {
	s := &a.quotaShares
	if s.splitter == nil || now-s.updatedAt < quotaShareInterval {
		return
	}
	accounts := a.ledger.Accounts()
	observed := split.Observation{Interval: now - s.updatedAt, OwnInFlight: s.ownInFlight, FleetInFlight: s.fleetInFlight}
	if len(s.lastCounts) != len(accounts) || s.updatedAt == 0 {
		s.lastCounts, observed.Interval = make([]contract.Counters, len(accounts)), 0
	}
	for i, terms := range a.ledger.Terms() {
		current, last := &accounts[i].Counters, &s.lastCounts[i]
		observed.Teams = append(observed.Teams, split.TeamUsage{
			Rate:      terms.Rate,
			Requested: float64(current.RequestedUnits() - last.RequestedUnits()),
			Used:      float64(current.Used - last.Used),
		})
		*last = *current
	}
	s.updatedAt, s.ownInFlight, s.fleetInFlight = now, 0, 0
	a.recordedLedger.SetQuotaShares(now, s.splitter.Shares(observed))
}

// quotaShareState is the input to the computation of the gateway's shares of the quotas: its
// fraction of the requests in flight at the replicas.
type quotaShareState struct {
	splitter                   split.Strategy // nil: this is the only gateway
	ownInFlight, fleetInFlight float64        // sums over the replicas' reports since the last update
	updatedAt                  balancer.Micros
	lastCounts                 []contract.Counters
}

// reset starts a new observation period with a new splitter, or without one if newSplitter is nil.
func (s *quotaShareState) reset(newSplitter func() split.Strategy) {
	s.splitter = nil
	if newSplitter != nil {
		s.splitter = newSplitter()
	}
	s.updatedAt, s.ownInFlight, s.fleetInFlight = 0, 0, 0
}

// recordReplicaLoad adds the requests that a replica reports as in flight or queued, and this
// gateway's own requests at that replica.
func (s *quotaShareState) recordReplicaLoad(replica *endpoint.Replica, report *balancer.LoadReport) {
	if s.splitter == nil || report.Has&balancer.HasInFlight == 0 {
		return
	}
	all := report.InFlight
	if report.Has&balancer.HasQueued != 0 {
		all += report.Queued
	}
	own := float64(replica.InFlight())
	s.ownInFlight += own
	// The report may be older than this gateway's latest requests.
	s.fleetInFlight += max(all, own)
}
