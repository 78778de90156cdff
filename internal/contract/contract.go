// Package contract holds teams to what was agreed with them: a rate, floors for
// some classes, and budgets by period. It charges an estimate when a request is
// taken and settles by what was used. It is free of I/O and clocks; see
// docs/design/contracts.md.
package contract

import (
	"fmt"
	"math"
	"slices"
	"time"

	"archknot/choice"
)

// Units are thousandths of a token's work at price 1.
type Units = int64

// Token is one token at price 1.
const Token Units = 1000

// Price is what a token of a class costs, read from the prompt or made for the
// answer.
type Price struct{ Read, Made float64 }

// Terms are one contract.
type Terms struct {
	Team    string
	Tenants []string // that it covers
	Classes []string // that it covers; none: all
	Rate    float64  // units a second
	Burst   Units    // that may be saved up
	Worth   float64  // a factor on the class's worth; 0: 1
	Over    float64  // the factor beyond the rate
	Hard    bool     // beyond the rate nothing is taken at all
	Prices  map[string]Price
	Floors  map[string]float64 // units a second by class, that no other class of the team can take
	Budgets []Budget
	From    choice.Micros // Unix time from which it holds; 0: always has
	Until   choice.Micros // and until; 0: for good
}

// Budget is what may be used in a period.
type Budget struct {
	Period Period
	Soft   Units // from here on requests compete as beyond the rate; 0: none
	Hard   Units // from here on they are refused; 0: none
}

// Period is a span of the calendar.
type Period uint8

const (
	Hour Period = iota
	Day
	Quarter // of the Australian business activity statement: July, October, January, April

	periods = 3
)

// Bounds gives the period that a moment lies in, in a zone. Days and quarters are
// the calendar's: a day with a change of the clock has 23 or 25 hours.
func (p Period) Bounds(unix choice.Micros, zone *time.Location) (from, to choice.Micros) {
	t := time.UnixMicro(unix).In(zone)
	var a, b time.Time
	switch p {
	case Hour: // of the time that passes: an hour that the clock has twice is two
		from = unix - mod(unix, time.Hour.Microseconds())
		return from, from + time.Hour.Microseconds()
	case Day:
		a = time.Date(t.Year(), t.Month(), t.Day(), 0, 0, 0, 0, zone)
		b = time.Date(t.Year(), t.Month(), t.Day()+1, 0, 0, 0, 0, zone)
	default:
		m := (t.Month()-1)/3*3 + 1
		a = time.Date(t.Year(), m, 1, 0, 0, 0, 0, zone)
		b = time.Date(t.Year(), m+3, 1, 0, 0, 0, 0, zone)
	}
	return a.UnixMicro(), b.UnixMicro()
}

func mod(a, b int64) int64 { return ((a % b) + b) % b }

func (p Period) String() string { return [...]string{"hour", "day", "quarter"}[min(p, 2)] }

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
}

// Verdict is what a team's contract says of a request.
type Verdict struct {
	Refuse     bool
	Reason     string        // for machines: one of the words below
	RetryAfter choice.Micros // where waiting helps; 0: it does not
	Worth      float64       // the factor that it competes with
}

// Reasons.
const (
	OverRate   = "over_rate"
	OverBudget = "budget_spent"
	NoContract = "no_contract"
	NotValid   = "contract_not_valid"
)

// Settings of a Book.
type Settings struct {
	Zone *time.Location // of days and quarters
	// Pool is how many seconds of all rates together idle shares may save up for
	// others to borrow.
	Pool float64
	// Unknown is the worth of a tenant that has no contract; below 0 it is refused.
	Unknown float64
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
}

// mean is what a class's answers were lately.
type mean struct{ made float64 }

type account struct {
	t       Terms
	at      choice.Micros // it has earned up to then
	level   float64       // units saved up; below 0: owed
	floors  map[string]float64
	used    [periods]Units // in the period at hand
	noticed [periods]uint8 // how many notices were given
	begun   [periods]choice.Micros
	ends    [periods]choice.Micros
	open    int // charges not settled
	covers  map[string]bool
	retired bool // no longer agreed; charges on it are still settled
}

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

// Check tells what is wrong with contracts.
func Check(terms []Terms) error {
	teams := map[string]bool{}
	for _, t := range terms {
		bad := func(format string, args ...any) error {
			return fmt.Errorf("contract %q: "+format, append([]any{t.Team}, args...)...)
		}
		switch {
		case t.Team == "" || teams[t.Team]:
			return bad("no name, or two contracts of it")
		case len(t.Tenants) == 0:
			return bad("no tenants")
		case !(t.Rate > 0 && t.Rate < 1e15):
			return bad("rate: expected above 0")
		case t.Burst < 0 || t.Worth < 0 || t.Over < 0:
			return bad("burst, worth, over: expected 0 or more")
		case t.Until != 0 && t.Until <= t.From:
			return bad("it ends before it begins")
		}
		teams[t.Team] = true
		floors := 0.0
		for class, f := range t.Floors {
			if !(f >= 0) || len(t.Classes) > 0 && !slices.Contains(t.Classes, class) {
				return bad("floor of %q: expected 0 or more, of a class that it covers", class)
			}
			floors += f
		}
		if floors > t.Rate {
			return bad("the floors sum to %g, over the rate %g", floors, t.Rate)
		}
		for class, p := range t.Prices {
			if !(p.Read >= 0 && p.Made >= 0) {
				return bad("price of %q: expected 0 or more", class)
			}
		}
		var seen [periods]bool
		for _, g := range t.Budgets {
			if g.Period < periods && seen[g.Period] {
				return bad("two budgets by %s", g.Period)
			}
			seen[min(g.Period, Quarter)] = true
			if g.Soft < 0 || g.Hard < 0 || g.Hard > 0 && g.Soft > g.Hard || g.Period > Quarter {
				return bad("budget by %s: soft %d, hard %d", g.Period, g.Soft, g.Hard)
			}
		}
	}
	return nil
}

// Agree puts contracts in force. A team that goes on keeps its level and what it
// used; what is open is settled on the account it was charged to.
func (b *Book) Agree(now choice.Micros, terms []Terms) error {
	if err := Check(terms); err != nil {
		return err
	}
	b.refill(now)
	b.sweep()
	old := map[string]*account{}
	for _, a := range b.accounts {
		old[a.t.Team] = a
	}
	b.accounts, b.byTenant, b.poolMost = nil, map[string][]*account{}, 0
	for _, t := range terms {
		a := old[t.Team]
		if a == nil {
			a = &account{at: b.at, level: float64(t.Burst), floors: map[string]float64{}}
			for class, f := range t.Floors {
				a.floors[class] = f
			}
		}
		delete(old, t.Team)
		a.agree(t)
		b.accounts = append(b.accounts, a)
		b.poolMost += t.Rate * b.s.Pool
		for _, name := range t.Tenants {
			b.byTenant[name] = append(b.byTenant[name], a)
		}
	}
	for _, a := range old {
		a.retired = true
	}
	b.pool = math.Min(b.pool, b.poolMost)
	return nil
}

// agree changes an account's terms. What was used in the periods at hand goes on.
func (a *account) agree(t Terms) {
	a.t, a.retired = t, false
	a.level = math.Min(a.level, float64(t.Burst))
	for class := range a.floors {
		if _, ok := t.Floors[class]; !ok {
			delete(a.floors, class)
		}
	}
	a.covers = nil
	if len(t.Classes) > 0 {
		a.covers = map[string]bool{}
		for _, c := range t.Classes {
			a.covers[c] = true
		}
	}
}

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
	rest := a.t.Rate * dt
	for class, f := range a.t.Floors {
		got := math.Min(f*dt, f-a.floors[class]) // a floor saves up one second
		a.floors[class] += got
		rest -= got
	}
	room := float64(a.t.Burst) - a.level
	a.level += math.Min(rest, room)
	if rest > room {
		b.pool = math.Min(b.poolMost, b.pool+rest-room)
	}
}

// find is the account of a tenant's class.
func (b *Book) find(tenant, class string) *account {
	for _, a := range b.byTenant[tenant] {
		if a.covers == nil || a.covers[class] {
			return a
		}
	}
	return nil
}

func (t *Terms) price(class string) Price {
	if p, ok := t.Prices[class]; ok {
		return p
	}
	return Price{1, 1}
}

func (p Price) of(u Use) Units {
	return Units(math.Round(float64(Token) * (p.Read*float64(u.Read) + p.Made*float64(u.Made))))
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
		if unix >= a.ends[p] {
			a.begun[p], a.ends[p] = p.Bounds(unix, zone)
			a.used[p], a.noticed[p] = 0, 0
		}
	}
}

// Take charges a request, or a further copy of one, to its team, unless its
// contract refuses it. The charge must be settled once.
func (b *Book) Take(now choice.Micros, tenant, class string, u Use, c *Charge) Verdict {
	*c = Charge{}
	b.refill(now)
	a := b.find(tenant, class)
	if a == nil {
		if b.s.Unknown < 0 {
			return Verdict{Refuse: true, Reason: NoContract}
		}
		return Verdict{Worth: b.s.Unknown}
	}
	if a.t.From > b.latest || a.t.Until != 0 && a.t.Until <= b.latest {
		v := Verdict{Refuse: true, Reason: NotValid}
		if a.t.From > b.latest {
			v.RetryAfter = a.t.From - b.latest
		}
		return v
	}
	b.earn(a)
	a.turn(b.latest, b.s.Zone)
	price := a.t.price(class)
	cost := price.of(u)
	v := Verdict{Worth: a.worth()}
	for i := range a.t.Budgets {
		g := &a.t.Budgets[i]
		if g.Hard > 0 && a.used[g.Period]+cost > g.Hard {
			return Verdict{Refuse: true, Reason: OverBudget, RetryAfter: a.ends[g.Period] - b.latest}
		}
		if g.Soft > 0 && a.used[g.Period]+cost > g.Soft {
			v.Worth = a.t.Over
		}
	}
	fromFloor := math.Min(math.Max(0, a.floors[class]), float64(cost))
	rest, beyond := float64(cost)-fromFloor, false
	if rest > math.Max(0, a.level) {
		// Beyond what it has: from what idle shares left, or beyond the rate.
		short := rest - math.Max(0, a.level)
		if short <= b.pool {
			b.pool -= short
			a.level += short
		} else if a.t.Hard {
			return Verdict{Refuse: true, Reason: OverRate, RetryAfter: choice.Micros((short - b.pool) / a.t.Rate * 1e6)}
		} else {
			// It competes beyond the rate, and takes nothing of what the rate earns:
			// else a surge would keep its own team from its share.
			v.Worth, fromFloor, rest, beyond = a.t.Over, 0, 0, true
		}
	}
	if fromFloor > 0 {
		a.floors[class] -= fromFloor
	}
	a.level -= rest
	for p := range a.used {
		a.used[p] += cost
	}
	*c = Charge{Thought: u, acct: a, class: class, price: price, units: cost, beyond: beyond, periods: a.begun}
	a.open++
	b.notice(a)
	return v
}

func (a *account) worth() float64 {
	if a.t.Worth == 0 {
		return 1
	}
	return a.t.Worth
}

// Settle puts what was used in the place of the estimate, on the terms that the
// charge was made under. A charge that was settled is settled: the second time
// does nothing, and tells so.
func (b *Book) Settle(now choice.Micros, c *Charge, used Use, served bool) bool {
	a := c.acct
	if a == nil {
		return false
	}
	c.acct = nil
	b.refill(now)
	if !a.retired {
		b.earn(a)
	}
	a.turn(b.latest, b.s.Zone)
	a.open--
	more := c.price.of(used) - c.units
	if !c.beyond {
		a.level = math.Max(-float64(a.t.Burst), math.Min(float64(a.t.Burst), a.level-float64(more)))
	}
	for p := range a.used {
		// A period that has ended since keeps the estimate: its sum is told already.
		if c.periods[p] == a.begun[p] {
			a.used[p] = max(0, a.used[p]+more)
		}
	}
	if served && used.Made > 0 {
		m := b.means[c.class]
		if m == nil {
			if len(b.means) >= maxClasses {
				return true
			}
			m = &mean{made: float64(used.Made)}
			b.means[c.class] = m
		}
		m.made += (float64(used.Made) - m.made) / 32
	}
	return true
}

// maxClasses bounds the classes whose answers are remembered.
const maxClasses = 256

// Notice tells that a budget has come to a part of its limit.
type Notice struct {
	Team        string
	Period      Period
	Percent     int
	Used, Limit Units
}

var noticeAt = [...]int{50, 80, 100}

// notice looks whether an account's budgets have come to a further part; at most
// three a budget and period.
func (b *Book) notice(a *account) {
	for i := range a.t.Budgets {
		g := &a.t.Budgets[i]
		limit := g.Hard
		if limit == 0 {
			limit = g.Soft
		}
		for n := a.noticed[g.Period]; limit > 0 && int(n) < len(noticeAt) && a.used[g.Period]*100 >= limit*Units(noticeAt[n]); n++ {
			b.notices = append(b.notices, Notice{a.t.Team, g.Period, noticeAt[n], a.used[g.Period], limit})
			a.noticed[g.Period] = n + 1
		}
	}
}

// Notices are those since the last call.
func (b *Book) Notices() []Notice {
	n := b.notices
	b.notices = nil
	return n
}

// Settings are those that the book was made with.
func (b *Book) Settings() Settings { return b.s }

// Account is what a team's books say.
type Account struct {
	Team  string
	Level Units
	Open  int
	Used  [periods]Units // by Period
}

// Accounts lists them, in the contracts' order.
func (b *Book) Accounts() []Account {
	out := make([]Account, len(b.accounts))
	for i, a := range b.accounts {
		out[i] = Account{a.t.Team, Units(a.level), a.open, a.used}
	}
	return out
}
