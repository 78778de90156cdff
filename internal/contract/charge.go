package contract

import (
	"math"

	"archknot/balancer"
)

// Taking: what a request is charged, admitted by, or refused for.

// Charge charges a request, or a further copy of one, to its team, unless its
// contract refuses it. The charge must be settled once.
func (b *Ledger) Charge(now balancer.Micros, tenant, class string, u Usage, c *Charge) Verdict {
	*c = Charge{}
	b.advance(now)
	a := b.accountFor(tenant, class)
	if a == nil {
		switch {
		case b.settings.UnknownTenantWeight < 0:
			return Verdict{Rejected: true, Reason: ReasonNoContract}
		case b.settings.UnknownTenantWeight < 1 && !b.excess.admit(float64((&Terms{}).priceOf(class).cost(u))):
			return Verdict{Rejected: true, Reason: ReasonOverRate, RetryAfter: limiterRetryAfter}
		}
		return Verdict{PriorityWeight: b.settings.UnknownTenantWeight}
	}
	if !a.inForce(b.latestUnix) {
		v := Verdict{Rejected: true, Reason: ReasonNotInForce}
		if a.terms.From > b.latestUnix {
			v.RetryAfter = a.terms.From - b.latestUnix
		}
		return a.reject(v, 0)
	}
	b.accrue(a)
	a.rollPeriods(b.latestUnix, b.settings.Location)
	b.inheritUsage(a)
	price := a.terms.priceOf(class)
	cost := price.cost(u)
	all := fleetWide(cost, a.quotaShare)
	v := Verdict{PriorityWeight: a.priorityWeight()}
	for i := range a.terms.Budgets {
		g := &a.terms.Budgets[i]
		n := &a.periods[g.Period]
		if g.Hard > 0 && n.used+all > g.Hard {
			return a.reject(Verdict{Rejected: true, Reason: ReasonBudgetSpent, RetryAfter: n.end - b.latestUnix}, cost)
		}
		if g.Hard > 0 && b.settings.Strict && b.settings.ReserveFraction > 0 && n.used+all > n.durable {
			b.queueCheckpoint(a)
			return a.reject(Verdict{Rejected: true, Reason: ReasonBalanceNotStored, RetryAfter: notStoredRetryAfter}, cost)
		}
		if g.Soft > 0 && n.used+all > g.Soft {
			v.PriorityWeight, v.OverQuota = a.terms.OverQuotaWeight, true
		}
	}
	fromFloor := math.Min(math.Max(0, a.floorLevels[class]), float64(cost))
	rest, beyond := float64(cost)-fromFloor, false
	if a.recordDemand(b.now, cost) && rest > 0 {
		v.PriorityWeight, v.OverQuota, fromFloor, rest, beyond = a.terms.OverQuotaWeight, true, 0, 0, true
	} else if rest > math.Max(0, a.level) {
		// Beyond what it has: from what idle shares left, or beyond the rate.
		short := rest - math.Max(0, a.level)
		if short <= b.borrowPool && !a.terms.NoBorrow && (a.terms.Borrow == 0 || short <= a.borrowAllowance) {
			b.borrowPool -= short
			a.level += short
			a.borrowAllowance -= short
			a.counters.Borrowed += Units(short)
		} else if a.terms.Hard {
			return a.reject(Verdict{Rejected: true, Reason: ReasonOverRate, RetryAfter: balancer.Micros(short / (a.terms.Rate * a.quotaShare) * 1e6)}, cost)
		} else {
			// It competes beyond the rate, and takes nothing of what the rate earns:
			// else a surge would keep its own team from its share.
			v.PriorityWeight, v.OverQuota, fromFloor, rest, beyond = a.terms.OverQuotaWeight, true, 0, 0, true
		}
	}
	if v.OverQuota && !b.excess.admit(float64(cost)) {
		return a.reject(Verdict{Rejected: true, Reason: ReasonOverRate, RetryAfter: limiterRetryAfter}, cost)
	}
	if fromFloor > 0 {
		a.floorLevels[class] -= fromFloor
	}
	a.level -= rest
	var begun [periodCount]balancer.Micros
	for p := range a.periods {
		a.periods[p].used += all
		begun[p] = a.periods[p].start
	}
	*c = Charge{Estimate: u, account: a, class: class, price: price, units: cost, overQuota: beyond, periodStarts: begun, quotaShare: a.quotaShare}
	a.openCharges++
	if v.OverQuota {
		a.counters.OverQuota++
		a.counters.OverQuotaUnits += cost
	} else {
		a.counters.Admitted++
		a.counters.AdmittedUnits += cost
	}
	b.recordNotices(a)
	b.queueCheckpoint(a)
	return v
}

// notStoredRetryAfter is when a strict book expects the store to have caught up.
const notStoredRetryAfter balancer.Micros = 1_000_000

func (a *account) reject(v Verdict, cost Units) Verdict {
	a.counters.Rejected++
	a.counters.RejectedUnits += cost
	return v
}

func (a *account) priorityWeight() float64 {
	if a.terms.PriorityWeight == 0 {
		return 1
	}
	return a.terms.PriorityWeight
}
