package contract

import (
	"math"
	"time"

	"archknot/balancer"
)

// account is the state of one contract at this gateway.
type account struct {
	terms             Terms
	index             int             // position in Ledger.accounts
	accruedAt         balancer.Micros // time up to which the rate is credited
	level             float64         // unused units; negative: units used in advance
	floorLevels       map[string]float64
	floorClasses      []string // keys of terms.Floors, sorted: floats are summed in the same order in each run
	demandRate        float64  // recent demand, in units per second
	demandSinceUpdate float64  // units requested since demandUpdatedAt
	demandUpdatedAt   balancer.Micros
	borrowAllowance   float64 // units that may be borrowed now, at most one second's worth; checked only if terms.Borrow is set
	quotaShare        float64 // this gateway's fraction of the contract; 1 if it is the only gateway
	periods           [periodCount]periodUsage
	openCharges       int             // charges not yet settled
	coveredClasses    map[string]bool // nil: all classes
	successor         *account
	predecessor       *account
	inherited         bool            // it has taken over the level and usage of its predecessor
	retired           bool            // its contract was removed; open charges are still settled
	checkpointQueued  bool            // it is in Ledger.checkpointQueue
	noLendingUntil    balancer.Micros // its unused units do not go to the pool before, because the fleet shed its requests
	counters          Counters
}

// periodUsage is the usage of the current period of one kind.
type periodUsage struct {
	used        Units
	noticesSent uint8 // number of thresholds of noticePercents already reported
	start, end  balancer.Micros
	submitted   Units  // usage in the last balance passed to the store
	durable     Units  // usage in the last balance that the store has written
	checkpoint  uint64 // number of the checkpoint that contains submitted; 0: no write is pending
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

// priorityWeight returns the priority weight of requests within the rate.
func (a *account) priorityWeight() float64 {
	if a.terms.PriorityWeight == 0 {
		return 1
	}
	return a.terms.PriorityWeight
}

// burst returns the burst of this gateway's quota share, in units. It scales with the
// square root of the share, as the random variation of traffic does: a burst scaled
// linearly would reject traffic that is within the rate.
func (a *account) burst() float64 { return float64(a.terms.Burst) * math.Sqrt(a.quotaShare) }

// rollPeriods replaces the periods that have ended at a Unix time by new ones.
func (a *account) rollPeriods(unix balancer.Micros, location *time.Location) {
	for kind := range Period(periodCount) {
		if period := &a.periods[kind]; unix >= period.end {
			*period = periodUsage{}
			period.start, period.end = kind.Bounds(unix, location)
		}
	}
}

// reject counts a rejected request and returns v.
func (a *account) reject(v Verdict, cost Units) Verdict {
	a.counters.Rejected++
	a.counters.RejectedUnits += cost
	return v
}

func (a *account) status(unix balancer.Micros) AccountStatus {
	status := AccountStatus{
		Team:        a.terms.Team,
		Level:       Units(a.level),
		OpenCharges: a.openCharges,
		QuotaShare:  a.quotaShare,
		InForce:     a.inForce(unix),
		Counters:    a.counters,
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

// fleetWide extrapolates a gateway's usage to the entire fleet by the gateway's quota
// share.
func fleetWide(u Units, share float64) Units {
	if share == 1 {
		return u
	}
	return Units(math.Round(float64(u) / share))
}
