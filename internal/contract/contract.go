// Package contract holds teams to what was agreed with them: a rate, floors for
// some classes, and budgets by period. It charges an estimate when a request is
// taken and settles by what was used. It is free of I/O and clocks; see
// docs/design/contracts.md.
package contract

import (
	"math"
	"time"

	"archknot/choice"
)

// Units are thousandths of a token's work at price 1.
type Units = int64

// Use is what a request took, or is thought to take.
type Use struct{ Read, Made int }

// Charge is one request, or one copy of it, on the books. The caller has it, so
// that a charge takes no memory of its own.
type Charge struct {
	acct    *account // nil: nothing was charged, or it is settled
	Thought Use      // what it was made for
	class   string
	price   Price // it was made under
	units   Units
	beyond  bool                   // the rate: its level is not touched
	periods [periods]choice.Micros // that it was charged in, by their beginnings
	part    float64                // of the contract that was this gateway's
}

// Open tells whether something was charged that is not settled.
func (c *Charge) Open() bool { return c.acct != nil }

// Used is what a request, or a copy, used by how it ended: what never ran nothing,
// and what may have run and told nothing its estimate.
func (c *Charge) Used(s choice.Status, prompt, kept, tokens int) Use {
	switch {
	case s.NeverRan():
		return Use{}
	case s == choice.Served && tokens > 0:
		return Use{max(0, prompt-kept), tokens}
	}
	return c.Thought
}

// Verdict is what a team's contract says of a request.
type Verdict struct {
	Refuse     bool
	Reason     string        // for machines: one of the words below
	RetryAfter choice.Micros // where waiting helps; 0: it does not
	Worth      float64       // the factor that it competes with
	Over       bool          // it competes beyond the rate, or beyond a soft limit
}

// Reasons.
const (
	OverRate   = "over_rate"
	OverBudget = "budget_spent"
	NoContract = "no_contract"
	NotValid   = "contract_not_valid"
	NotKept    = "balance_not_kept" // the store is behind, and the book is strict
)

// Settings of a Book.
type Settings struct {
	Zone *time.Location // of days and quarters
	// Pool is how many seconds of all rates together idle shares may save up for
	// others to borrow.
	Pool float64
	// Unknown is the worth of a tenant that has no contract; below 0 it is refused.
	Unknown float64
	// Reserve is which part of a budget the store is told as used before it is: what
	// a kill may cost. 0: nothing is kept.
	Reserve float64
	// Strict refuses what the store does not yet know as used, so that also a disk
	// that fails and a kill give no budget twice.
	Strict bool
}

// Book has the accounts of all teams.
type Book struct {
	s        Settings
	accounts []*account
	byTenant map[string][]*account
	pool     float64 // units that idle shares left
	poolMost float64
	at       choice.Micros
	unix     choice.Micros // that at stands for
	swept    choice.Micros
	latest   choice.Micros // the latest Unix time seen: periods do not go back with the clock
	means    map[string]*mean
	notices  []Notice
	due      []*account // whose balances must be written
	written  uint64     // number of the last checkpoint handed out
	rates    float64    // of all contracts' parts, units a second
	gate     gate
}

// mean is what a class's answers were lately.
type mean struct{ made float64 }

type account struct {
	t         Terms
	no        int           // its place among the accounts
	at        choice.Micros // it has earned up to then
	level     float64       // units saved up; below 0: owed
	floors    map[string]float64
	floorsOf  []string // the classes that have floors, in order: sums must come out alike in each run
	asking    float64  // units a second, lately
	asked     float64  // units asked for since the last step
	askedAt   choice.Micros
	mayBorrow float64 // units of its bound on borrowing, up to a second's
	part      float64 // of the contract that is this gateway's: 1 where it is alone
	spans     [periods]span
	open      int // charges not settled
	covers    map[string]bool
	next      *account      // its successor
	before    *account      // whose successor it is
	renewed   bool          // it has taken the place of the one before
	retired   bool          // no longer agreed; charges on it are still settled
	waits     bool          // its balance is due to be written
	wants     choice.Micros // till then it lends nothing: the fleet has turned it away
	count     Count
}

// span is the period at hand of one kind.
type span struct {
	used       Units
	noticed    uint8 // how many notices were given
	begun, end choice.Micros
	mark       Units  // that was handed to the store as used
	kept       Units  // that the store has as used
	handed     uint64 // the checkpoint that has the mark
}

// Count is what a team asked for since the book was made: requests and further
// copies, and the units they were thought to take.
type Count struct {
	Taken        int64 `json:"Taken"` // at full worth, beyond the rate, not at all
	Over         int64 `json:"Over"`
	Refused      int64 `json:"Refused"`
	TakenUnits   Units `json:"TakenUnits"`
	OverUnits    Units `json:"OverUnits"`
	RefusedUnits Units `json:"RefusedUnits"`
	Borrowed     Units `json:"Borrowed"` // of what others left idle
	Used         Units `json:"Used"`     // as settled
}

// Asked is all that was asked for, in units.
func (c *Count) Asked() Units { return c.TakenUnits + c.OverUnits + c.RefusedUnits }

// New makes a book at a moment: the module's clock and the Unix time.
func New(s Settings, terms []Terms, now, unix choice.Micros) (*Book, error) {
	if s.Zone == nil {
		s.Zone = time.UTC
	}
	b := &Book{s: s, at: now, unix: unix, latest: unix, means: map[string]*mean{}}
	if err := b.Agree(now, terms); err != nil {
		return nil, err
	}
	return b, nil
}

// find is the account of a tenant's class: one that holds now before one that
// does not, and in the place of one that has ended its successor.
func (b *Book) find(tenant, class string) *account {
	var first *account
	for _, a := range b.byTenant[tenant] {
		if a.covers != nil && !a.covers[class] {
			continue
		}
		for n := a; n != nil; n = n.next {
			if n.valid(b.latest) {
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
func (b *Book) Team(tenant, class string) (string, bool) {
	a := b.find(tenant, class)
	if a == nil {
		return "", false
	}
	return a.t.Team, true
}

// Estimate is what a request is thought to use: its prompt, and what answers of
// its class were lately, or a quarter of its limit before any was seen.
func (b *Book) Estimate(class string, prompt, limit int) Use {
	made := float64(limit) / 4
	if m := b.means[class]; m != nil {
		made = math.Min(float64(limit), m.made)
	}
	return Use{prompt, int(made)}
}

// turn begins the periods that a moment lies in.
func (a *account) turn(unix choice.Micros, zone *time.Location) {
	for p := range Period(periods) {
		if n := &a.spans[p]; unix >= n.end {
			*n = span{}
			n.begun, n.end = p.Bounds(unix, zone)
		}
	}
}

// Settings are those that the book was made with.
func (b *Book) Settings() Settings { return b.s }

// Account is what a team's books say.
type Account struct {
	Team  string                 `json:"Team"`
	Level Units                  `json:"Level"`
	Open  int                    `json:"Open"`
	Used  [periods]Units         `json:"Used"` // by Period
	Ends  [periods]choice.Micros `json:"Ends"`
	Limit [periods]Units         `json:"Limit"` // hard, or else soft; 0: none
	Part  float64                `json:"Part"`  // of the contract that this gateway holds
	Valid bool                   `json:"Valid"`
	Count Count                  `json:"Count"`
}

// Accounts lists them, in the contracts' order.
func (b *Book) Accounts() []Account {
	out := make([]Account, len(b.accounts))
	for i, a := range b.accounts {
		o := &out[i]
		*o = Account{Team: a.t.Team, Level: Units(a.level), Open: a.open, Part: a.part, Valid: a.valid(b.latest), Count: a.count}
		for p, n := range a.spans {
			o.Ends[p] = n.end
			if b.latest < n.end {
				o.Used[p] = n.used
			}
		}
		for _, g := range a.t.Budgets {
			if o.Limit[g.Period] = g.Hard; g.Hard == 0 {
				o.Limit[g.Period] = g.Soft
			}
		}
	}
	return out
}

// Terms are the contracts in force, in their order.
func (b *Book) Terms() []Terms {
	out := make([]Terms, len(b.accounts))
	for i, a := range b.accounts {
		out[i] = a.t
	}
	return out
}
