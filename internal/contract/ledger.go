package contract

import (
	"math"
	"time"

	"archknot/balancer"
)

// Settings apply to all contracts of a Ledger.
type Settings struct {
	Location *time.Location // time zone of days and quarters; nil: UTC
	// BorrowPoolSeconds bounds the pool that teams borrow from, in seconds of the sum of
	// all rates.
	BorrowPoolSeconds float64
	// UnknownTenantWeight is the priority weight of tenants without a contract. If it is
	// negative, their requests are rejected.
	UnknownTenantWeight float64
	// ReserveFraction is the fraction of a budget that is stored as used before it is
	// used. A kill costs a team at most this fraction. 0: there is no store.
	ReserveFraction float64
	// Strict rejects requests beyond the stored usage of a hard budget, so that a kill
	// cannot grant the budget twice even if the disk fails.
	Strict bool
}

// withDefaults returns the settings with UTC if no location is set.
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
	borrowPool      float64 // units beyond the burst of idle accounts
	borrowPoolMax   float64
	now             balancer.Micros // on the caller's clock
	unixNow         balancer.Micros // Unix time at now
	lastAccrueAll   balancer.Micros
	latestUnix      balancer.Micros // the latest Unix time seen; it does not go back, so that no period starts again
	outputMeans     map[string]*outputMean
	notices         []BudgetNotice
	checkpointQueue []*account // accounts whose balances must be written
	lastCheckpoint  uint64
	totalRate       float64 // sum of this gateway's shares of all rates, in units per second
	excess          excessLimiter
}

// NewLedger creates a ledger with the given contracts. now is the current time on the
// clock that the caller uses in all later calls, and unix the current Unix time. The
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

// Terms returns the contracts in the order in which they were applied.
func (l *Ledger) Terms() []Terms {
	out := make([]Terms, len(l.accounts))
	for i, a := range l.accounts {
		out[i] = a.terms
	}
	return out
}

// Team returns the name of the team that requests of a tenant and class are charged to,
// and whether there is one.
func (l *Ledger) Team(tenant, class string) (string, bool) {
	a := l.accountFor(tenant, class)
	if a == nil {
		return "", false
	}
	return a.terms.Team, true
}

// accountFor returns the account that requests of a tenant and class are charged to, nil
// if there is none. It prefers contracts that are in force, and replaces a contract that
// is not in force by the first of its successors that is.
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

// outputMean is the moving average of the answer lengths of a class.
type outputMean struct{ tokens float64 }

const (
	// maxOutputMeans bounds the number of classes with a mean.
	maxOutputMeans = 256
	// outputMeanDivisor: one answer has a weight of 1/outputMeanDivisor in the mean.
	outputMeanDivisor = 32
	// firstOutputDivisor: the expected output of a class without answers yet is the
	// request's token limit divided by it.
	firstOutputDivisor = 4
)

// Estimate returns the expected usage of a request, in tokens: its prompt, and the mean
// answer length of its class, at most limit. While the class has no answers yet, the
// expected output is a quarter of limit.
func (l *Ledger) Estimate(class string, prompt, limit int) Usage {
	output := float64(limit) / firstOutputDivisor
	if mean := l.outputMeans[class]; mean != nil {
		output = math.Min(float64(limit), mean.tokens)
	}
	return Usage{PromptTokens: prompt, OutputTokens: int(output)}
}

// observeOutput adds the length of an answer to the mean of its class. Further classes
// beyond maxOutputMeans are ignored.
func (l *Ledger) observeOutput(class string, tokens int) {
	mean := l.outputMeans[class]
	if mean == nil {
		if len(l.outputMeans) >= maxOutputMeans {
			return
		}
		mean = &outputMean{tokens: float64(tokens)}
		l.outputMeans[class] = mean
	}
	mean.tokens += (float64(tokens) - mean.tokens) / outputMeanDivisor
}

// AccountStatus is the state of a team's account, as reported to operators.
type AccountStatus struct {
	Team        string                       `json:"Team"`
	Level       Units                        `json:"Level"`
	OpenCharges int                          `json:"Open"`  // charges not yet settled
	Used        [periodCount]Units           `json:"Used"`  // by Period
	Ends        [periodCount]balancer.Micros `json:"Ends"`  // Unix time at which each period ends
	Limit       [periodCount]Units           `json:"Limit"` // by Period, the hard limit, or the soft limit if there is no hard one; 0: no budget
	QuotaShare  float64                      `json:"Part"`  // this gateway's fraction of the contract
	InForce     bool                         `json:"Valid"`
	Counters    Counters                     `json:"Count"`
}

// Counters count a team's requests and further attempts, and their estimated units, since
// its account was created.
type Counters struct {
	Admitted       int64 `json:"Taken"`   // at the contract's full priority weight
	OverQuota      int64 `json:"Over"`    // admitted beyond the rate or a soft limit
	Rejected       int64 `json:"Refused"` // by the contract
	AdmittedUnits  Units `json:"TakenUnits"`
	OverQuotaUnits Units `json:"OverUnits"`
	RejectedUnits  Units `json:"RefusedUnits"`
	Borrowed       Units `json:"Borrowed"` // from the pool
	Used           Units `json:"Used"`     // actual usage of settled charges
}

// RequestedUnits returns the estimated units of all requests, rejected ones included.
func (c *Counters) RequestedUnits() Units {
	return c.AdmittedUnits + c.OverQuotaUnits + c.RejectedUnits
}

// Accounts returns the state of all accounts in the order of the contracts.
func (l *Ledger) Accounts() []AccountStatus {
	out := make([]AccountStatus, len(l.accounts))
	for i, a := range l.accounts {
		out[i] = a.status(l.latestUnix)
	}
	return out
}
