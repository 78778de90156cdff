package contract

import (
	"math"

	"archknot/balancer"
)

// accrueAllInterval is how often all accounts are credited, so that units beyond the
// burst of idle accounts reach the pool. An account that is charged is credited at once.
const accrueAllInterval balancer.Micros = 100_000

func inSeconds(span balancer.Micros) float64 { return float64(span) / 1e6 }

// advance moves the ledger's clock forward. A time that is not later than the last one
// changes nothing, so that no time span is credited twice.
func (l *Ledger) advance(now balancer.Micros) {
	if now <= l.now {
		return
	}
	l.unixNow += now - l.now
	l.now = now
	l.latestUnix = max(l.latestUnix, l.unixNow)
	l.excess.refill(now, l.totalRate)
	if now-l.lastAccrueAll >= accrueAllInterval {
		l.accrueAll()
	}
}

func (l *Ledger) accrueAll() {
	l.lastAccrueAll = l.now
	for _, a := range l.accounts {
		l.accrue(a)
	}
}

// accrue credits an account for the time since the last credit, floors first. Units
// beyond the burst go to the pool.
func (l *Ledger) accrue(a *account) {
	if l.now <= a.accruedAt {
		return
	}
	elapsed := inSeconds(l.now - a.accruedAt)
	a.accruedAt = l.now
	remainder := a.terms.Rate * a.quotaShare * elapsed
	for _, class := range a.floorClasses {
		rate := a.terms.Floors[class] * a.quotaShare
		credit := math.Max(0, math.Min(rate*elapsed, rate-a.floorLevels[class])) // a floor accumulates at most one second of its rate
		a.floorLevels[class] += credit
		remainder -= credit
	}
	if a.terms.MaxBorrowRate > 0 {
		limit := a.terms.MaxBorrowRate * a.quotaShare
		a.borrowAllowance = math.Min(limit, a.borrowAllowance+limit*elapsed)
	}
	if !a.inForce(l.latestUnix) { // a contract that is not in force does not fill the pool either
		return
	}
	capacity := a.burst() - a.level
	a.level += math.Min(remainder, capacity)
	if remainder > capacity && l.now >= a.noLendingUntil {
		l.borrowPool = math.Min(l.borrowPoolMax, l.borrowPool+remainder-capacity)
	}
}

// inheritUsage copies the level and adds the usage of a predecessor that has ended to
// its successor, once.
func (l *Ledger) inheritUsage(a *account) {
	predecessor := a.predecessor
	if a.inherited || predecessor == nil || predecessor.inForce(l.latestUnix) {
		return
	}
	a.inherited = true
	l.accrue(predecessor)
	predecessor.rollPeriods(l.latestUnix, l.settings.Location)
	a.level = math.Min(a.burst(), predecessor.level)
	for i := range a.periods {
		a.periods[i].used += predecessor.periods[i].used
		a.periods[i].noticesSent = predecessor.periods[i].noticesSent
	}
	l.queueCheckpoint(a)
}
