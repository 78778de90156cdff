package contract

import (
	"math"
	"time"

	"archknot/balancer"
)

// Settings hold for all contracts of a Ledger.
type Settings struct {
	Location *time.Location // time zone of days and quarters; nil: UTC
	// BorrowPoolSeconds bounds the pool that teams borrow from: it holds at most
	// what all rates together earn in this many seconds.
	BorrowPoolSeconds float64
	// UnknownTenantWeight is the priority weight of a tenant without a contract;
	// below 0 such tenants are rejected.
	UnknownTenantWeight float64
	// ReserveFraction is the part of a budget that is written to the store as used
	// before it is used: the most that a kill costs a team. 0: there is no store.
	ReserveFraction float64
	// Strict rejects requests beyond what the store already counts as used, so that
	// a failing disk together with a kill cannot grant a budget twice either.
	Strict bool
}

// withDefaults returns the settings with a location.
func (s Settings) withDefaults() Settings {
	if s.Location == nil {
		s.Location = time.UTC
	}
	return s
}

// Ledger holds the accounts of all teams. It is not safe for concurrent use.
type Ledger struct {
	settings        Settings
	accounts        []*account // in the order of the contracts
	byTenant        map[string][]*account
	borrowPool      float64 // units that idle accounts could not save up
	borrowPoolMax   float64
	now             balancer.Micros // on the caller's clock
	unixNow         balancer.Micros // Unix time at now
	lastAccrueAll   balancer.Micros
	latestUnix      balancer.Micros // the latest Unix time seen: periods do not go back with the clock
	outputMeans     map[string]*outputMean
	notices         []BudgetNotice
	checkpointQueue []*account // accounts whose balances must be written
	lastCheckpoint  uint64     // number of the last checkpoint
	totalRate       float64    // this gateway's shares of all rates, units a second
	excess          excessLimiter
}

// NewLedger creates a ledger with contracts in force. now is the time on the
// caller's clock that all later calls use, unix the Unix time at that moment. The
// error is a TermsError.
func NewLedger(s Settings, terms []Terms, now, unix balancer.Micros) (*Ledger, error) {
	l := &Ledger{
		settings:    s.withDefaults(),
		now:         now,
		unixNow:     unix,
		latestUnix:  unix,
		outputMeans: map[string]*outputMean{},
	}
	if err := l.ApplyTerms(now, terms); err != nil {
		return nil, err
	}
	return l, nil
}

// Settings returns the settings in force.
func (l *Ledger) Settings() Settings { return l.settings }

// Terms returns the contracts in force, in their order.
func (l *Ledger) Terms() []Terms {
	out := make([]Terms, len(l.accounts))
	for i, a := range l.accounts {
		out[i] = a.terms
	}
	return out
}

// Team returns the name of the team whose contract covers a tenant's class, if
// there is one.
func (l *Ledger) Team(tenant, class string) (string, bool) {
	a := l.accountFor(tenant, class)
	if a == nil {
		return "", false
	}
	return a.terms.Team, true
}

// accountFor returns the account that a tenant's class is charged to, nil if there
// is none. An account in force goes before one that is not, and a contract that has
// ended is replaced by its successor.
func (l *Ledger) accountFor(tenant, class string) *account {
	var first *account
	for _, a := range l.byTenant[tenant] {
		if !a.covers(class) {
			continue
		}
		for current := a; current != nil; current = current.successor {
			if current.inForce(l.latestUnix) {
				return current
			}
		}
		if first == nil {
			first = a
		}
	}
	return first
}

// outputMean is a moving average of the tokens of a class's answers.
type outputMean struct{ tokens float64 }

const (
	// maxOutputMeans bounds the classes whose answers are averaged.
	maxOutputMeans = 256
	// outputMeanWeight is the divisor of the weight that one answer has in the mean.
	outputMeanWeight = 32
	// firstOutputFraction is the divisor of a request's limit that is expected of a
	// class without answers yet.
	firstOutputFraction = 4
)

// Estimate returns the expected usage of a request: its prompt, and the recent mean
// of its class's answers, or a quarter of its limit while there are none.
func (l *Ledger) Estimate(class string, prompt, limit int) Usage {
	output := float64(limit) / firstOutputFraction
	if mean := l.outputMeans[class]; mean != nil {
		output = math.Min(float64(limit), mean.tokens)
	}
	return Usage{PromptTokens: prompt, OutputTokens: int(output)}
}

// observeOutput adds an answer to the mean of its class.
func (l *Ledger) observeOutput(class string, tokens int) {
	mean := l.outputMeans[class]
	if mean == nil {
		if len(l.outputMeans) >= maxOutputMeans {
			return
		}
		mean = &outputMean{tokens: float64(tokens)}
		l.outputMeans[class] = mean
	}
	mean.tokens += (float64(tokens) - mean.tokens) / outputMeanWeight
}

// AccountStatus is the state of a team's account, as operators see it.
type AccountStatus struct {
	Team       string                       `json:"Team"`
	Level      Units                        `json:"Level"`
	Open       int                          `json:"Open"`  // charges that are not settled
	Used       [periodCount]Units           `json:"Used"`  // by Period
	Ends       [periodCount]balancer.Micros `json:"Ends"`  // Unix time at which each period ends
	Limit      [periodCount]Units           `json:"Limit"` // the hard limit, else the soft one; 0: none
	QuotaShare float64                      `json:"Part"`  // this gateway's share of the contract
	InForce    bool                         `json:"Valid"`
	Counters   Counters                     `json:"Count"`
}

// Counters sum up what a team requested since its account was opened: requests and
// further attempts, and the units that they were estimated at.
type Counters struct {
	Admitted       int64 `json:"Taken"`   // with the contract's full priority weight
	OverQuota      int64 `json:"Over"`    // with the weight beyond the rate
	Rejected       int64 `json:"Refused"` // by the contract
	AdmittedUnits  Units `json:"TakenUnits"`
	OverQuotaUnits Units `json:"OverUnits"`
	RejectedUnits  Units `json:"RefusedUnits"`
	Borrowed       Units `json:"Borrowed"` // from the pool of what others left idle
	Used           Units `json:"Used"`     // as settled
}

// RequestedUnits returns all that was requested, in units.
func (c *Counters) RequestedUnits() Units {
	return c.AdmittedUnits + c.OverQuotaUnits + c.RejectedUnits
}

// Accounts returns the state of all accounts, in the order of the contracts.
func (l *Ledger) Accounts() []AccountStatus {
	out := make([]AccountStatus, len(l.accounts))
	for i, a := range l.accounts {
		out[i] = a.status(l.latestUnix)
	}
	return out
}
