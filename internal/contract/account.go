package contract

import (
	"math"
	"time"

	"archknot/balancer"
)

// account is the state of one contract at this gateway.
type account struct {
	terms             Terms
	index             int             // among the ledger's accounts
	accruedAt         balancer.Micros // its rate is credited up to this time
	level             float64         // units saved up; below 0: owed
	floorLevels       map[string]float64
	floorClasses      []string // the classes with floors, sorted: float sums must come out the same in each run
	demandRate        float64  // recent demand, units a second
	demandSinceUpdate float64  // units requested since demandUpdatedAt
	demandUpdatedAt   balancer.Micros
	borrowAllowance   float64 // units that it may borrow now: up to a second's, where the terms bound them
	quotaShare        float64 // this gateway's share of the contract; 1: it is the only one
	periods           [periodCount]periodUsage
	openCharges       int             // charges that are not settled
	coveredClasses    map[string]bool // nil: all
	successor         *account
	predecessor       *account
	inherited         bool            // it has replaced its predecessor
	retired           bool            // its contract is gone; charges on it are still settled
	checkpointQueued  bool            // its balance is in the ledger's checkpointQueue
	noLendingUntil    balancer.Micros // the pool gets nothing of it before, because the fleet shed its requests
	counters          Counters
}

// periodUsage is the usage of the current period of one kind.
type periodUsage struct {
	used        Units
	noticesSent uint8 // how many thresholds of noticePercents have been reported
	start, end  balancer.Micros
	submitted   Units  // usage in the last balance handed out to be written
	durable     Units  // usage in the last balance known to be written
	checkpoint  uint64 // number of the checkpoint that submitted went out with; 0: none is being written
}

// newAccount returns an account with a full burst and full floors.
func newAccount(t *Terms, now balancer.Micros) *account {
	a := &account{
		accruedAt:       now,
		demandUpdatedAt: now,
		level:           float64(t.Burst),
		floorLevels:     map[string]float64{},
		quotaShare:      1,
	}
	for class, rate := range t.Floors {
		a.floorLevels[class] = rate
	}
	return a
}

// covers reports whether the contract covers a class.
func (a *account) covers(class string) bool {
	return a.coveredClasses == nil || a.coveredClasses[class]
}

// inForce reports whether the contract is in force at a Unix time.
func (a *account) inForce(unix balancer.Micros) bool {
	return a.terms.From <= unix && (a.terms.Until == 0 || a.terms.Until > unix)
}

// priorityWeight returns the weight of requests within the rate.
func (a *account) priorityWeight() float64 {
	if a.terms.PriorityWeight == 0 {
		return 1
	}
	return a.terms.PriorityWeight
}

// burst returns what this gateway's share of the contract may save up. The random
// variation of traffic grows with the square root of its size: a burst cut as far
// as the rate would reject what the rate allows.
func (a *account) burst() float64 { return float64(a.terms.Burst) * math.Sqrt(a.quotaShare) }

// rollPeriods starts new periods in place of those that have ended at a Unix time.
func (a *account) rollPeriods(unix balancer.Micros, location *time.Location) {
	for kind := range Period(periodCount) {
		if period := &a.periods[kind]; unix >= period.end {
			*period = periodUsage{}
			period.start, period.end = kind.Bounds(unix, location)
		}
	}
}

// reject counts a rejected request and returns its verdict.
func (a *account) reject(v Verdict, cost Units) Verdict {
	a.counters.Rejected++
	a.counters.RejectedUnits += cost
	return v
}

// status returns the account's state as operators see it.
func (a *account) status(unix balancer.Micros) AccountStatus {
	status := AccountStatus{
		Team:       a.terms.Team,
		Level:      Units(a.level),
		Open:       a.openCharges,
		QuotaShare: a.quotaShare,
		InForce:    a.inForce(unix),
		Counters:   a.counters,
	}
	for i, period := range a.periods {
		status.Ends[i] = period.end
		if unix < period.end {
			status.Used[i] = period.used
		}
	}
	for i := range a.terms.Budgets {
		budget := &a.terms.Budgets[i]
		status.Limit[budget.Period] = budget.limit()
	}
	return status
}

// fleetWide extrapolates a gateway's usage to the entire fleet by the gateway's share of
// the contract.
func fleetWide(u Units, share float64) Units {
	if share == 1 {
		return u
	}
	return Units(math.Round(float64(u) / share))
}
