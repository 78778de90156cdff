package contract

import (
	"math"

	"archknot/balancer"
)

// What accounts earn as time goes by, and the pool of idle shares.

// accrueAllInterval is how often what idle accounts cannot hold goes to the pool. An
// account that is used earns at once.
const accrueAllInterval balancer.Micros = 100_000

// advance moves the clock on. One that stood still, or was set back, moves nothing:
// nothing is earned twice.
func (b *Ledger) advance(now balancer.Micros) {
	if now <= b.now {
		return
	}
	b.unixNow += now - b.now
	b.now = now
	b.latestUnix = max(b.latestUnix, b.unixNow)
	b.excess.refill(now, b.totalRate)
	if now-b.lastAccrueAll >= accrueAllInterval {
		b.accrueAll()
	}
}

func (b *Ledger) accrueAll() {
	b.lastAccrueAll = b.now
	for _, a := range b.accounts {
		b.accrue(a)
	}
}

// accrue gives an account what its rate earned since, floors first; what it cannot
// hold goes to the pool that others may borrow from.
func (b *Ledger) accrue(a *account) {
	if b.now <= a.accruedAt {
		return
	}
	dt := float64(b.now-a.accruedAt) / 1e6
	a.accruedAt = b.now
	rest := a.terms.Rate * a.quotaShare * dt
	for _, class := range a.floorClasses {
		f := a.terms.Floors[class] * a.quotaShare
		got := math.Max(0, math.Min(f*dt, f-a.floorLevels[class])) // a floor saves up one second
		a.floorLevels[class] += got
		rest -= got
	}
	if a.terms.Borrow > 0 {
		most := a.terms.Borrow * a.quotaShare
		a.borrowAllowance = math.Min(most, a.borrowAllowance+most*dt)
	}
	if !a.inForce(b.latestUnix) { // it earns nothing for others either
		return
	}
	room := a.burst() - a.level
	a.level += math.Min(rest, room)
	if rest > room && b.now >= a.noLendingUntil {
		b.borrowPool = math.Min(b.borrowPoolMax, b.borrowPool+rest-room)
	}
}

func (a *account) inForce(unix balancer.Micros) bool {
	return a.terms.From <= unix && (a.terms.Until == 0 || a.terms.Until > unix)
}

// inheritUsage has a successor go on where the one before it ended.
func (b *Ledger) inheritUsage(a *account) {
	p := a.predecessor
	if a.inherited || p == nil || p.inForce(b.latestUnix) {
		return
	}
	a.inherited = true
	b.accrue(p)
	p.rollPeriods(b.latestUnix, b.settings.Location)
	a.level = math.Min(a.burst(), p.level)
	for i := range a.periods {
		a.periods[i].used += p.periods[i].used
		a.periods[i].noticesSent = p.periods[i].noticesSent
	}
	b.queueCheckpoint(a)
}
