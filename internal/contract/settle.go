package contract

import (
	"math"

	"archknot/balancer"
)

// Settle replaces the estimate of a charge by its actual usage, at the price that was valid
// at the time of the charge. If served, the answer was served to its end, and its length
// is included in later estimates of its class. Settle returns false, and does nothing, if
// the charge is not open.
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
		current = a.successor // the usage of the periods has moved to the successor
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

// clampLevel limits a level to the range from -burst to burst.
func (a *account) clampLevel(level float64) float64 {
	return math.Max(-a.burst(), math.Min(a.burst(), level))
}

// correctPeriods adds the difference of actual and estimated usage to the periods that the
// charge was made in. A period that has ended since keeps the estimate, because its usage
// has been reported already.
func (a *account) correctPeriods(charge *Charge, difference Units) {
	correction := fleetWide(difference, charge.quotaShare)
	for i := range a.periods {
		if period := &a.periods[i]; charge.periodStarts[i] == period.start {
			period.used = max(0, period.used+correction)
		}
	}
}

// RecordShed records that the fleet, not a contract, shed a request whose charges are all
// settled. Since a request within its rate competed at full priority, its estimate is
// taken off the level; otherwise a surge that is shed would continue to compete as if it
// were within its rate. Budgets do not change, because nothing ran. A request that was
// over quota has no effect.
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
