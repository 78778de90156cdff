package contract

import (
	"math"

	"archknot/balancer"
)

// Settling what was used, and what was turned away.

// RecordShed tells that the fleet, and not a contract, has turned away a request
// whose charges are all settled. Within the rate it had its chance at full worth:
// its estimate stays off the level, or a surge that is turned away would go on
// competing as if it were within its rate. Budgets are not touched: nothing ran.
func (b *Ledger) RecordShed(now balancer.Micros, tenant, class string, u Usage, over bool) {
	b.advance(now)
	a := b.accountFor(tenant, class)
	if a == nil || over {
		return
	}
	b.accrue(a)
	a.level = math.Max(-a.burst(), a.level-float64(a.terms.priceOf(class).cost(u)))
	a.noLendingUntil = b.now + limiterRetryAfter
	b.excess.decrease(b.now)
}

// Settle puts what was used in the place of the estimate, on the terms that the
// charge was made under. A charge that was settled is settled: the second time
// does nothing, and tells so.
func (b *Ledger) Settle(now balancer.Micros, c *Charge, used Usage, served bool) bool {
	a := c.account
	if a == nil {
		return false
	}
	c.account = nil
	b.advance(now)
	if !a.retired {
		b.accrue(a)
	}
	a.rollPeriods(b.latestUnix, b.settings.Location)
	a.openCharges--
	more := c.price.cost(used) - c.units
	a.counters.Used += c.units + more
	if !c.overQuota {
		a.level = math.Max(-a.burst(), math.Min(a.burst(), a.level-float64(more)))
	}
	// A charge of a contract that has been followed by another is that one's now.
	on := a
	if a.successor != nil && a.successor.inherited {
		on = a.successor
	}
	for p := range on.periods {
		// A period that has ended since keeps the estimate: its sum is told already.
		if n := &on.periods[p]; c.periodStarts[p] == n.start {
			n.used = max(0, n.used+fleetWide(more, c.quotaShare))
		}
	}
	if !a.retired {
		b.queueCheckpoint(on)
	}
	if served && used.OutputTokens > 0 {
		m := b.outputMeans[c.class]
		if m == nil {
			if len(b.outputMeans) >= maxOutputMeans {
				return true
			}
			m = &outputMean{tokens: float64(used.OutputTokens)}
			b.outputMeans[c.class] = m
		}
		m.tokens += (float64(used.OutputTokens) - m.tokens) / 32
	}
	return true
}

// maxOutputMeans bounds the classes whose answers are remembered.
const maxOutputMeans = 256
