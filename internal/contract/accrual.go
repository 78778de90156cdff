package contract

import (
	"math"

	"archknot/choice"
)

// What accounts earn as time goes by, and the pool of idle shares.

// sweepEvery is how often what idle accounts cannot hold goes to the pool. An
// account that is used earns at once.
const sweepEvery choice.Micros = 100_000

// refill moves the clock on. One that stood still, or was set back, moves nothing:
// nothing is earned twice.
func (b *Book) refill(now choice.Micros) {
	if now <= b.at {
		return
	}
	b.unix += now - b.at
	b.at = now
	b.latest = max(b.latest, b.unix)
	b.gate.earn(now, b.rates)
	if now-b.swept >= sweepEvery {
		b.sweep()
	}
}

func (b *Book) sweep() {
	b.swept = b.at
	for _, a := range b.accounts {
		b.earn(a)
	}
}

// earn gives an account what its rate earned since, floors first; what it cannot
// hold goes to the pool that others may borrow from.
func (b *Book) earn(a *account) {
	if b.at <= a.at {
		return
	}
	dt := float64(b.at-a.at) / 1e6
	a.at = b.at
	rest := a.t.Rate * a.part * dt
	for _, class := range a.floorsOf {
		f := a.t.Floors[class] * a.part
		got := math.Max(0, math.Min(f*dt, f-a.floors[class])) // a floor saves up one second
		a.floors[class] += got
		rest -= got
	}
	if a.t.Borrow > 0 {
		most := a.t.Borrow * a.part
		a.mayBorrow = math.Min(most, a.mayBorrow+most*dt)
	}
	if !a.valid(b.latest) { // it earns nothing for others either
		return
	}
	room := a.burst() - a.level
	a.level += math.Min(rest, room)
	if rest > room && b.at >= a.wants {
		b.pool = math.Min(b.poolMost, b.pool+rest-room)
	}
}

func (a *account) valid(unix choice.Micros) bool {
	return a.t.From <= unix && (a.t.Until == 0 || a.t.Until > unix)
}

// renew has a successor go on where the one before it ended.
func (b *Book) renew(a *account) {
	p := a.before
	if a.renewed || p == nil || p.valid(b.latest) {
		return
	}
	a.renewed = true
	b.earn(p)
	p.turn(b.latest, b.s.Zone)
	a.level = math.Min(a.burst(), p.level)
	for i := range a.spans {
		a.spans[i].used += p.spans[i].used
		a.spans[i].noticed = p.spans[i].noticed
	}
	b.mind(a)
}
