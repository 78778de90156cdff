package contract

import (
	"math"

	"archknot/choice"
)

// Settling what was used, and what was turned away.

// TurnedAway tells that the fleet, and not a contract, has turned away a request
// whose charges are all settled. Within the rate it had its chance at full worth:
// its estimate stays off the level, or a surge that is turned away would go on
// competing as if it were within its rate. Budgets are not touched: nothing ran.
func (b *Book) TurnedAway(now choice.Micros, tenant, class string, u Use, over bool) {
	b.refill(now)
	a := b.find(tenant, class)
	if a == nil || over {
		return
	}
	b.earn(a)
	a.level = math.Max(-a.burst(), a.level-float64(a.t.price(class).of(u)))
	a.wants = b.at + gateWait
	b.gate.cut(b.at)
}

// Settle puts what was used in the place of the estimate, on the terms that the
// charge was made under. A charge that was settled is settled: the second time
// does nothing, and tells so.
func (b *Book) Settle(now choice.Micros, c *Charge, used Use, served bool) bool {
	a := c.acct
	if a == nil {
		return false
	}
	c.acct = nil
	b.refill(now)
	if !a.retired {
		b.earn(a)
	}
	a.turn(b.latest, b.s.Zone)
	a.open--
	more := c.price.of(used) - c.units
	a.count.Used += c.units + more
	if !c.beyond {
		a.level = math.Max(-a.burst(), math.Min(a.burst(), a.level-float64(more)))
	}
	// A charge of a contract that has been followed by another is that one's now.
	on := a
	if a.next != nil && a.next.renewed {
		on = a.next
	}
	for p := range on.spans {
		// A period that has ended since keeps the estimate: its sum is told already.
		if n := &on.spans[p]; c.periods[p] == n.begun {
			n.used = max(0, n.used+whole(more, c.part))
		}
	}
	if !a.retired {
		b.mind(on)
	}
	if served && used.Made > 0 {
		m := b.means[c.class]
		if m == nil {
			if len(b.means) >= maxClasses {
				return true
			}
			m = &mean{made: float64(used.Made)}
			b.means[c.class] = m
		}
		m.made += (float64(used.Made) - m.made) / 32
	}
	return true
}

// maxClasses bounds the classes whose answers are remembered.
const maxClasses = 256
