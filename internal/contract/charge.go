package contract

import (
	"math"

	"archknot/balancer"
)

// Units measure work: one unit is a thousandth of the cost of a token at price 1.
type Units = int64

// Usage is the work of a request, estimated or actual.
type Usage struct{ PromptTokens, OutputTokens int }

// Charge is the ledger entry of one attempt, open from Ledger.Charge to Ledger.Settle.
// The caller owns it, so that charging does not allocate.
type Charge struct {
	account      *account // nil: nothing was charged, or the charge is settled
	Estimate     Usage    // the usage that was charged
	class        string
	price        Price // at the time of the charge
	units        Units
	overQuota    bool                         // admitted beyond the rate, so that it was not taken off the account's level
	periodStarts [periodCount]balancer.Micros // starts of the periods that it was charged to
	quotaShare   float64                      // the account's quotaShare at the time of the charge
}

// Open reports whether the charge was made and is not settled yet.
func (c *Charge) Open() bool { return c.account != nil }

// ActualUsage returns the usage of an attempt by its final status: none if the attempt
// never ran, and the estimate if it may have run but did not report its tokens. cached is
// the number of prompt tokens that the replica had in its cache; they are not charged.
func (c *Charge) ActualUsage(status balancer.Status, prompt, cached, tokens int) Usage {
	switch {
	case status.NeverRan():
		return Usage{}
	case status == balancer.Served && tokens > 0:
		return Usage{PromptTokens: max(0, prompt-cached), OutputTokens: tokens}
	}
	return c.Estimate
}

// Verdict is the decision of a team's contract on a request.
type Verdict struct {
	Rejected       bool
	Reason         string          // one of the Reason constants, if rejected
	RetryAfter     balancer.Micros // how long to wait before a retry; 0: a retry does not help
	PriorityWeight float64         // factor on the priority of the request's class
	OverQuota      bool            // admitted beyond the rate or beyond a soft limit
}

// Reasons of a rejection, as sent to clients.
const (
	ReasonOverRate         = "over_rate"
	ReasonBudgetSpent      = "budget_spent"
	ReasonNoContract       = "no_contract"
	ReasonNotInForce       = "contract_not_valid"
	ReasonBalanceNotStored = "balance_not_kept" // a strict ledger has not stored the balance yet
)

// notStoredRetryAfter is the retry delay of requests that a strict ledger rejects until
// its store has written the balance.
const notStoredRetryAfter balancer.Micros = 1_000_000

// Charge decides on a request, or on a further attempt of a request, and charges it to
// its team unless the contract rejects it. It resets charge first. Each open charge must
// be settled once.
func (l *Ledger) Charge(now balancer.Micros, tenant, class string, estimate Usage, charge *Charge) Verdict {
	*charge = Charge{}
	l.advance(now)
	a := l.accountFor(tenant, class)
	if a == nil {
		return l.decideUnknownTenant(class, estimate)
	}
	if !a.inForce(l.latestUnix) {
		return a.rejectNotInForce(l.latestUnix)
	}
	l.accrue(a)
	a.rollPeriods(l.latestUnix, l.settings.Location)
	l.inheritUsage(a)
	price := a.terms.priceOf(class)
	cost := price.cost(estimate)
	verdict := l.checkBudgets(a, fleetWide(cost, a.quotaShare))
	if verdict.Rejected {
		return a.reject(verdict, cost)
	}
	funds, shortfall := l.fund(a, class, cost)
	if shortfall > 0 {
		retryAfter := balancer.Micros(shortfall / (a.terms.Rate * a.quotaShare) * 1e6)
		return a.reject(Verdict{Rejected: true, Reason: ReasonOverRate, RetryAfter: retryAfter}, cost)
	}
	if funds.overQuota {
		verdict.PriorityWeight, verdict.OverQuota = a.terms.OverQuotaWeight, true
	}
	if verdict.OverQuota && !l.excess.admit(float64(cost)) {
		return a.reject(Verdict{Rejected: true, Reason: ReasonOverRate, RetryAfter: limiterRetryAfter}, cost)
	}
	*charge = Charge{Estimate: estimate, class: class, price: price, units: cost, overQuota: funds.overQuota}
	a.recordCharge(charge, funds, verdict.OverQuota)
	l.recordNotices(a)
	l.queueCheckpoint(a)
	return verdict
}

// decideUnknownTenant decides on a request of a tenant without a contract. There is no
// account to charge.
func (l *Ledger) decideUnknownTenant(class string, estimate Usage) Verdict {
	weight := l.settings.UnknownTenantWeight
	if weight < 0 {
		return Verdict{Rejected: true, Reason: ReasonNoContract}
	}
	cost := (&Terms{}).priceOf(class).cost(estimate)
	if weight < 1 && !l.excess.admit(float64(cost)) {
		return Verdict{Rejected: true, Reason: ReasonOverRate, RetryAfter: limiterRetryAfter}
	}
	return Verdict{PriorityWeight: weight}
}

// rejectNotInForce rejects a request whose contract has not begun, or has ended without a
// successor in force.
func (a *account) rejectNotInForce(unix balancer.Micros) Verdict {
	verdict := Verdict{Rejected: true, Reason: ReasonNotInForce}
	if a.terms.From > unix {
		verdict.RetryAfter = a.terms.From - unix
	}
	return a.reject(verdict, 0)
}

// checkBudgets decides on a request by the budgets alone. cost is extrapolated to the
// entire fleet.
func (l *Ledger) checkBudgets(a *account, cost Units) Verdict {
	verdict := Verdict{PriorityWeight: a.priorityWeight()}
	waitsForStore := l.settings.Strict && l.settings.ReserveFraction > 0
	for i := range a.terms.Budgets {
		budget := &a.terms.Budgets[i]
		period := &a.periods[budget.Period]
		used := period.used + cost
		if budget.Hard > 0 && used > budget.Hard {
			return Verdict{Rejected: true, Reason: ReasonBudgetSpent, RetryAfter: period.end - l.latestUnix}
		}
		if budget.Hard > 0 && waitsForStore && used > period.durable {
			l.queueCheckpoint(a)
			return Verdict{Rejected: true, Reason: ReasonBalanceNotStored, RetryAfter: notStoredRetryAfter}
		}
		if budget.Soft > 0 && used > budget.Soft {
			verdict.PriorityWeight, verdict.OverQuota = a.terms.OverQuotaWeight, true
		}
	}
	return verdict
}

// funding is how a charge is divided between the floor of its class and the account's
// level, in units.
type funding struct {
	fromFloor float64
	fromLevel float64
	// overQuota: the charge is beyond the rate and takes nothing from floor or level.
	// Otherwise requests of a surge would use up the units of the team's own quota.
	overQuota bool
}

// fund takes the cost of a charge from the floor of its class, the level, and units
// borrowed from the pool, in this order; without enough units the charge is over quota.
// A shortfall above 0, in units, means that the contract is hard and rejects the request.
func (l *Ledger) fund(a *account, class string, cost Units) (funds funding, shortfall float64) {
	funds.fromFloor = math.Min(math.Max(0, a.floorLevels[class]), float64(cost))
	funds.fromLevel = float64(cost) - funds.fromFloor
	surging := a.recordDemand(l.now, cost)
	available := math.Max(0, a.level)
	missing := funds.fromLevel - available
	switch {
	case surging && funds.fromLevel > 0:
		return funding{overQuota: true}, 0
	case funds.fromLevel <= available:
		return funds, 0
	case l.borrow(a, missing):
		return funds, 0
	case a.terms.Hard:
		return funding{}, missing
	}
	return funding{overQuota: true}, 0
}

// borrow moves units from the pool to an account if the pool has enough and the contract
// allows it.
func (l *Ledger) borrow(a *account, units float64) bool {
	if units > l.borrowPool || a.terms.NoBorrow {
		return false
	}
	if a.terms.MaxBorrowRate != 0 && units > a.borrowAllowance {
		return false
	}
	l.borrowPool -= units
	a.level += units
	a.borrowAllowance -= units
	a.counters.Borrowed += Units(units)
	return true
}

// recordCharge records an admitted charge in its account.
func (a *account) recordCharge(charge *Charge, funds funding, overQuota bool) {
	if funds.fromFloor > 0 {
		a.floorLevels[charge.class] -= funds.fromFloor
	}
	a.level -= funds.fromLevel
	charge.account, charge.quotaShare = a, a.quotaShare
	cost := fleetWide(charge.units, a.quotaShare)
	for i := range a.periods {
		a.periods[i].used += cost
		charge.periodStarts[i] = a.periods[i].start
	}
	a.openCharges++
	if overQuota {
		a.counters.OverQuota++
		a.counters.OverQuotaUnits += charge.units
		return
	}
	a.counters.Admitted++
	a.counters.AdmittedUnits += charge.units
}
