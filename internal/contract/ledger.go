// Package contract holds teams to what was agreed with them: a rate, floors for
// some classes, and budgets by period. It charges an estimate when a request is
// taken and settles by what was used. It is free of I/O and clocks; see
// docs/design/contracts.md.
package contract

import (
	"math"
	"time"

	"archknot/balancer"
)

// Units are thousandths of a token's work at price 1.
type Units = int64

// Usage is what a request took, or is thought to take.
type Usage struct{ PromptTokens, OutputTokens int }

// Charge is one request, or one copy of it, on the books. The caller has it, so
// that a charge takes no memory of its own.
type Charge struct {
	account      *account // nil: nothing was charged, or it is settled
	Estimate     Usage    // what it was made for
	class        string
	price        Price // it was made under
	units        Units
	overQuota    bool                         // the rate: its level is not touched
	periodStarts [periodCount]balancer.Micros // that it was charged in, by their beginnings
	quotaShare   float64                      // of the contract that was this gateway's
}

// Open tells whether something was charged that is not settled.
func (c *Charge) Open() bool { return c.account != nil }

// ActualUsage is what a request, or a copy, used by how it ended: what never ran nothing,
// and what may have run and told nothing its estimate.
func (c *Charge) ActualUsage(s balancer.Status, prompt, kept, tokens int) Usage {
	switch {
	case s.NeverRan():
		return Usage{}
	case s == balancer.Served && tokens > 0:
		return Usage{max(0, prompt-kept), tokens}
	}
	return c.Estimate
}

// Verdict is what a team's contract says of a request.
type Verdict struct {
	Rejected       bool
	Reason         string          // for machines: one of the words below
	RetryAfter     balancer.Micros // where waiting helps; 0: it does not
	PriorityWeight float64         // the factor that it competes with
	OverQuota      bool            // it competes beyond the rate, or beyond a soft limit
}

// Reasons.
const (
	ReasonOverRate         = "over_rate"
	ReasonBudgetSpent      = "budget_spent"
	ReasonNoContract       = "no_contract"
	ReasonNotInForce       = "contract_not_valid"
	ReasonBalanceNotStored = "balance_not_kept" // the store is behind, and the book is strict
)

// Settings of a Book.
type Settings struct {
	Location *time.Location // of days and quarters
	// BorrowPoolSeconds is how many seconds of all rates together idle shares may save up for
	// others to borrow.
	BorrowPoolSeconds float64
	// UnknownTenantWeight is the worth of a tenant that has no contract; below 0 it is refused.
	UnknownTenantWeight float64
	// ReserveFraction is which part of a budget the store is told as used before it is: what
	// a kill may cost. 0: nothing is kept.
	ReserveFraction float64
	// Strict refuses what the store does not yet know as used, so that also a disk
	// that fails and a kill give no budget twice.
	Strict bool
}

// Ledger has the accounts of all teams.
type Ledger struct {
	settings        Settings
	accounts        []*account
	byTenant        map[string][]*account
	borrowPool      float64 // units that idle shares left
	borrowPoolMax   float64
	now             balancer.Micros
	unixNow         balancer.Micros // that at stands for
	lastAccrueAll   balancer.Micros
	latestUnix      balancer.Micros // the latest Unix time seen: periods do not go back with the clock
	outputMeans     map[string]*outputMean
	notices         []BudgetNotice
	checkpointQueue []*account // whose balances must be written
	lastCheckpoint  uint64     // number of the last checkpoint handed out
	totalRate       float64    // of all contracts' parts, units a second
	excess          excessLimiter
}

// outputMean is what a class's answers were lately.
type outputMean struct{ tokens float64 }

type account struct {
	terms             Terms
	index             int             // its place among the accounts
	accruedAt         balancer.Micros // it has earned up to then
	level             float64         // units saved up; below 0: owed
	floorLevels       map[string]float64
	floorClasses      []string // the classes that have floors, in order: sums must come out alike in each run
	demandRate        float64  // units a second, lately
	demandSinceUpdate float64  // units asked for since the last step
	demandUpdatedAt   balancer.Micros
	borrowAllowance   float64 // units of its bound on borrowing, up to a second's
	quotaShare        float64 // of the contract that is this gateway's: 1 where it is alone
	periods           [periodCount]periodUsage
	openCharges       int // charges not settled
	coveredClasses    map[string]bool
	successor         *account        // its successor
	predecessor       *account        // whose successor it is
	inherited         bool            // it has taken the place of the one before
	retired           bool            // no longer agreed; charges on it are still settled
	checkpointQueued  bool            // its balance is due to be written
	noLendingUntil    balancer.Micros // till then it lends nothing: the fleet has turned it away
	counters          Counters
}

// periodUsage is the period at hand of one kind.
type periodUsage struct {
	used        Units
	noticesSent uint8 // how many notices were given
	start, end  balancer.Micros
	submitted   Units  // that was handed to the store as used
	durable     Units  // that the store has as used
	checkpoint  uint64 // the checkpoint that has the mark
}

// Counters is what a team asked for since the book was made: requests and further
// copies, and the units they were thought to take.
type Counters struct {
	Admitted       int64 `json:"Taken"` // at full worth, beyond the rate, not at all
	OverQuota      int64 `json:"Over"`
	Rejected       int64 `json:"Refused"`
	AdmittedUnits  Units `json:"TakenUnits"`
	OverQuotaUnits Units `json:"OverUnits"`
	RejectedUnits  Units `json:"RefusedUnits"`
	Borrowed       Units `json:"Borrowed"` // of what others left idle
	Used           Units `json:"Used"`     // as settled
}

// RequestedUnits is all that was asked for, in units.
func (c *Counters) RequestedUnits() Units {
	return c.AdmittedUnits + c.OverQuotaUnits + c.RejectedUnits
}

// NewLedger makes a book at a moment: the module's clock and the Unix time.
func NewLedger(s Settings, terms []Terms, now, unix balancer.Micros) (*Ledger, error) {
	if s.Location == nil {
		s.Location = time.UTC
	}
	b := &Ledger{settings: s, now: now, unixNow: unix, latestUnix: unix, outputMeans: map[string]*outputMean{}}
	if err := b.ApplyTerms(now, terms); err != nil {
		return nil, err
	}
	return b, nil
}

// accountFor is the account of a tenant's class: one that holds now before one that
// does not, and in the place of one that has ended its successor.
func (b *Ledger) accountFor(tenant, class string) *account {
	var first *account
	for _, a := range b.byTenant[tenant] {
		if a.coveredClasses != nil && !a.coveredClasses[class] {
			continue
		}
		for n := a; n != nil; n = n.successor {
			if n.inForce(b.latestUnix) {
				return n
			}
		}
		if first == nil {
			first = a
		}
	}
	return first
}

// Team is the team whose contract covers a tenant's class, if one does.
func (b *Ledger) Team(tenant, class string) (string, bool) {
	a := b.accountFor(tenant, class)
	if a == nil {
		return "", false
	}
	return a.terms.Team, true
}

// Estimate is what a request is thought to use: its prompt, and what answers of
// its class were lately, or a quarter of its limit before any was seen.
func (b *Ledger) Estimate(class string, prompt, limit int) Usage {
	made := float64(limit) / 4
	if m := b.outputMeans[class]; m != nil {
		made = math.Min(float64(limit), m.tokens)
	}
	return Usage{prompt, int(made)}
}

// rollPeriods begins the periods that a moment lies in.
func (a *account) rollPeriods(unix balancer.Micros, zone *time.Location) {
	for p := range Period(periodCount) {
		if n := &a.periods[p]; unix >= n.end {
			*n = periodUsage{}
			n.start, n.end = p.Bounds(unix, zone)
		}
	}
}

// Settings are those that the book was made with.
func (b *Ledger) Settings() Settings { return b.settings }

// AccountStatus is what a team's books say.
type AccountStatus struct {
	Team       string                       `json:"Team"`
	Level      Units                        `json:"Level"`
	Open       int                          `json:"Open"`
	Used       [periodCount]Units           `json:"Used"` // by Period
	Ends       [periodCount]balancer.Micros `json:"Ends"`
	Limit      [periodCount]Units           `json:"Limit"` // hard, or else soft; 0: none
	QuotaShare float64                      `json:"Part"`  // of the contract that this gateway holds
	InForce    bool                         `json:"Valid"`
	Counters   Counters                     `json:"Count"`
}

// Accounts lists them, in the contracts' order.
func (b *Ledger) Accounts() []AccountStatus {
	out := make([]AccountStatus, len(b.accounts))
	for i, a := range b.accounts {
		o := &out[i]
		*o = AccountStatus{Team: a.terms.Team, Level: Units(a.level), Open: a.openCharges, QuotaShare: a.quotaShare, InForce: a.inForce(b.latestUnix), Counters: a.counters}
		for p, n := range a.periods {
			o.Ends[p] = n.end
			if b.latestUnix < n.end {
				o.Used[p] = n.used
			}
		}
		for _, g := range a.terms.Budgets {
			if o.Limit[g.Period] = g.Hard; g.Hard == 0 {
				o.Limit[g.Period] = g.Soft
			}
		}
	}
	return out
}

// Terms are the contracts in force, in their order.
func (b *Ledger) Terms() []Terms {
	out := make([]Terms, len(b.accounts))
	for i, a := range b.accounts {
		out[i] = a.terms
	}
	return out
}
