package contract

import (
	"math"

	"archknot/balancer"
)

// Settle replaces the estimate of a charge by what was used, at the price of the
// time of the charge. served says that the answer was served to its end: its length then
// counts for estimates. It returns false, and does nothing, if there is nothing to
// settle or the charge is settled already.
func (l *Ledger) Settle(now balancer.Micros, charge *Charge, used Usage, served bool) bool {
	a := charge.account
	if a == nil {
		return false
	}
	charge.account = nil
	l.advance(now)
	if !a.retired {
		l.accrue(a)
	}
	a.rollPeriods(l.latestUnix, l.settings.Location)
	a.openCharges--
	difference := charge.price.cost(used) - charge.units
	a.counters.Used += charge.units + difference
	if !charge.overQuota {
		a.level = a.clampLevel(a.level - float64(difference))
	}
	current := a
	if a.successor != nil && a.successor.inherited {
		current = a.successor // it has taken over the charges of the periods
	}
	current.correctPeriods(charge, difference)
	if !a.retired {
		l.queueCheckpoint(current)
	}
	if served && used.OutputTokens > 0 {
		l.observeOutput(charge.class, used.OutputTokens)
	}
	return true
}

// clampLevel bounds a level to the burst, saved up or owed.
func (a *account) clampLevel(level float64) float64 {
	return math.Max(-a.burst(), math.Min(a.burst(), level))
}

// correctPeriods adds what a charge used beyond its estimate to the periods that it
// was charged in. A period that has ended since keeps the estimate: its sum has
// been reported already.
func (a *account) correctPeriods(charge *Charge, difference Units) {
	correction := fleetWide(difference, charge.quotaShare)
	for i := range a.periods {
		if period := &a.periods[i]; charge.periodStarts[i] == period.start {
			period.used = max(0, period.used+correction)
		}
	}
}

// RecordShed records that the fleet, and not a contract, shed a request whose
// charges are all settled. A request within its rate had its chance at full
// priority: its estimate is taken off the level, or a surge that is shed would go
// on competing as if it were within its rate. Budgets are not touched, because
// nothing ran.
func (l *Ledger) RecordShed(now balancer.Micros, tenant, class string, estimate Usage, overQuota bool) {
	l.advance(now)
	a := l.accountFor(tenant, class)
	if a == nil || overQuota {
		return
	}
	l.accrue(a)
	a.level = math.Max(-a.burst(), a.level-float64(a.terms.priceOf(class).cost(estimate)))
	a.noLendingUntil = l.now + limiterRetryAfter
	l.excess.decrease(l.now)
}
