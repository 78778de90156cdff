package contract

import (
	"math"

	"archknot/choice"
)

// Taking: what a request is charged, admitted by, or refused for.

// Take charges a request, or a further copy of one, to its team, unless its
// contract refuses it. The charge must be settled once.
func (b *Book) Take(now choice.Micros, tenant, class string, u Use, c *Charge) Verdict {
	*c = Charge{}
	b.refill(now)
	a := b.find(tenant, class)
	if a == nil {
		switch {
		case b.s.Unknown < 0:
			return Verdict{Refuse: true, Reason: NoContract}
		case b.s.Unknown < 1 && !b.gate.let(float64((&Terms{}).price(class).of(u))):
			return Verdict{Refuse: true, Reason: OverRate, RetryAfter: gateWait}
		}
		return Verdict{Worth: b.s.Unknown}
	}
	if !a.valid(b.latest) {
		v := Verdict{Refuse: true, Reason: NotValid}
		if a.t.From > b.latest {
			v.RetryAfter = a.t.From - b.latest
		}
		return a.refused(v, 0)
	}
	b.earn(a)
	a.turn(b.latest, b.s.Zone)
	b.renew(a)
	price := a.t.price(class)
	cost := price.of(u)
	all := whole(cost, a.part)
	v := Verdict{Worth: a.worth()}
	for i := range a.t.Budgets {
		g := &a.t.Budgets[i]
		n := &a.spans[g.Period]
		if g.Hard > 0 && n.used+all > g.Hard {
			return a.refused(Verdict{Refuse: true, Reason: OverBudget, RetryAfter: n.end - b.latest}, cost)
		}
		if g.Hard > 0 && b.s.Strict && b.s.Reserve > 0 && n.used+all > n.kept {
			b.mind(a)
			return a.refused(Verdict{Refuse: true, Reason: NotKept, RetryAfter: notKeptWait}, cost)
		}
		if g.Soft > 0 && n.used+all > g.Soft {
			v.Worth, v.Over = a.t.Over, true
		}
	}
	fromFloor := math.Min(math.Max(0, a.floors[class]), float64(cost))
	rest, beyond := float64(cost)-fromFloor, false
	if a.surges(b.at, cost) && rest > 0 {
		v.Worth, v.Over, fromFloor, rest, beyond = a.t.Over, true, 0, 0, true
	} else if rest > math.Max(0, a.level) {
		// Beyond what it has: from what idle shares left, or beyond the rate.
		short := rest - math.Max(0, a.level)
		if short <= b.pool && !a.t.NoBorrow && (a.t.Borrow == 0 || short <= a.mayBorrow) {
			b.pool -= short
			a.level += short
			a.mayBorrow -= short
			a.count.Borrowed += Units(short)
		} else if a.t.Hard {
			return a.refused(Verdict{Refuse: true, Reason: OverRate, RetryAfter: choice.Micros(short / (a.t.Rate * a.part) * 1e6)}, cost)
		} else {
			// It competes beyond the rate, and takes nothing of what the rate earns:
			// else a surge would keep its own team from its share.
			v.Worth, v.Over, fromFloor, rest, beyond = a.t.Over, true, 0, 0, true
		}
	}
	if v.Over && !b.gate.let(float64(cost)) {
		return a.refused(Verdict{Refuse: true, Reason: OverRate, RetryAfter: gateWait}, cost)
	}
	if fromFloor > 0 {
		a.floors[class] -= fromFloor
	}
	a.level -= rest
	var begun [periods]choice.Micros
	for p := range a.spans {
		a.spans[p].used += all
		begun[p] = a.spans[p].begun
	}
	*c = Charge{Thought: u, acct: a, class: class, price: price, units: cost, beyond: beyond, periods: begun, part: a.part}
	a.open++
	if v.Over {
		a.count.Over++
		a.count.OverUnits += cost
	} else {
		a.count.Taken++
		a.count.TakenUnits += cost
	}
	b.notice(a)
	b.mind(a)
	return v
}

// notKeptWait is when a strict book expects the store to have caught up.
const notKeptWait choice.Micros = 1_000_000

func (a *account) refused(v Verdict, cost Units) Verdict {
	a.count.Refused++
	a.count.RefusedUnits += cost
	return v
}

func (a *account) worth() float64 {
	if a.t.Worth == 0 {
		return 1
	}
	return a.t.Worth
}
