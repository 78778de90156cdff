// Package contract holds teams to what was agreed with them: a rate, floors for
// some classes, and budgets by period. It charges an estimate when a request is
// taken and settles by what was used. It is free of I/O and clocks; see
// docs/design/contracts.md.
package contract

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
	"unicode/utf8"

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
	// Successor is the contract that takes this one's place at Until: it goes on
	// with the level, and with what was used in the periods at hand.
	Successor string
	// Surge, where above 0: a team that lately asked for more than so many times its
	// rate competes beyond it with all that it sends, floors apart, not only with
	// what is too much.
	Surge    float64
	NoBorrow bool    // nothing of what others leave idle
	Borrow   float64 // or at most so many units a second; 0: no bound
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
	Taken, Over, Refused                int64 // at full worth, beyond the rate, not at all
	TakenUnits, OverUnits, RefusedUnits Units
	Borrowed                            Units // of what others left idle
	Used                                Units // as settled
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
		for _, word := range append(append([]string{t.Team, t.Successor}, t.Tenants...), t.Classes...) {
			if !utf8.ValidString(word) || len(word) > maxName {
				return bad("name %q: expected UTF-8, at most %d bytes", word, maxName)
			}
		}
		if !(t.Surge >= 0) {
			return bad("surge: expected 0 or more")
		}
		if !(t.Borrow >= 0) {
			return bad("borrow: expected 0 or more")
		}
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
	return checkSuccessors(terms)
}

// maxName bounds names of teams, tenants and classes, in bytes.
const maxName = 256

// checkSuccessors tells what is wrong with how contracts follow each other.
func checkSuccessors(terms []Terms) error {
	byTeam, heirs := map[string]*Terms{}, map[string]string{}
	for i := range terms {
		byTeam[terms[i].Team] = &terms[i]
	}
	for i := range terms {
		t := &terms[i]
		if t.Successor == "" {
			continue
		}
		next := byTeam[t.Successor]
		switch {
		case next == nil || next == t:
			return fmt.Errorf("contract %q: successor %q: no other contract of that name", t.Team, t.Successor)
		case t.Until == 0:
			return fmt.Errorf("contract %q: successor %q: expected an end (until)", t.Team, t.Successor)
		case next.From > t.Until:
			return fmt.Errorf("contract %q: successor %q begins after the end", t.Team, t.Successor)
		case next.Until != 0 && next.Until <= t.Until:
			return fmt.Errorf("contract %q: successor %q ends no later", t.Team, t.Successor)
		case heirs[t.Successor] != "":
			return fmt.Errorf("contract %q: %q is the successor of %q already", t.Team, t.Successor, heirs[t.Successor])
		}
		heirs[t.Successor] = t.Team
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
	b.accounts, b.byTenant = nil, map[string][]*account{}
	byTeam := map[string]*account{}
	for _, t := range terms {
		a := old[t.Team]
		if a == nil {
			a = &account{at: b.at, askedAt: b.at, level: float64(t.Burst), floors: map[string]float64{}, part: 1}
			for class, f := range t.Floors {
				a.floors[class] = f
			}
		}
		delete(old, t.Team)
		a.agree(t)
		a.no, a.next, a.before = len(b.accounts), nil, nil
		b.accounts = append(b.accounts, a)
		byTeam[t.Team] = a
		for _, name := range t.Tenants {
			b.byTenant[name] = append(b.byTenant[name], a)
		}
	}
	for _, a := range b.accounts {
		if a.next = byTeam[a.t.Successor]; a.next != nil {
			a.next.before = a
		}
		a.turn(b.latest, b.s.Zone)
		b.mind(a)
	}
	for _, a := range old {
		a.retired = true
	}
	b.bound()
	return nil
}

// bound sets how much idle shares may save up.
func (b *Book) bound() {
	b.poolMost, b.rates = 0, 0
	for _, a := range b.accounts {
		b.rates += a.t.Rate * a.part
		b.poolMost += a.t.Rate * math.Sqrt(a.part) * b.s.Pool
	}
	b.pool = math.Min(b.pool, b.poolMost)
}

// leastPart is the smallest part of a contract that a gateway holds.
const leastPart = 1e-3

// SetParts tells which part of each contract, in their order, this gateway is to
// hold from now on: rates and floors are so much of the contract's, and
// what is used here stands for that part of what the team uses in all. Others than
// numbers from 0 to 1 change nothing.
func (b *Book) SetParts(now choice.Micros, parts []float64) {
	if len(parts) != len(b.accounts) {
		return
	}
	b.refill(now)
	b.sweep()
	for i, a := range b.accounts {
		if p := parts[i]; p >= 0 && p <= 1 {
			a.part = math.Max(leastPart, p)
			a.level = math.Min(a.level, a.burst())
		}
	}
	b.bound()
}

// burst is what may be saved up of a part of a contract. The chance that traffic
// has grows with the square root of its size: a part of the burst that was as small
// as the part of the rate would turn away what the rate allows.
func (a *account) burst() float64 { return float64(a.t.Burst) * math.Sqrt(a.part) }

// whole is what units used here stand for in all.
func whole(u Units, part float64) Units {
	if part == 1 {
		return u
	}
	return Units(math.Round(float64(u) / part))
}

// Adopt puts other settings in force: periods that have begun go on to their end.
func (b *Book) Adopt(s Settings) {
	if s.Zone == nil {
		s.Zone = time.UTC
	}
	b.s = s
	b.bound()
}

// agree changes an account's terms. What was used in the periods at hand goes on.
func (a *account) agree(t Terms) {
	a.t, a.retired = t, false
	a.floorsOf = slices.Sorted(maps.Keys(t.Floors))
	a.level = math.Min(a.level, a.burst())
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

// Team is the team whose contract covers a tenant's class, if one does.
func (b *Book) Team(tenant, class string) (string, bool) {
	a := b.find(tenant, class)
	if a == nil {
		return "", false
	}
	return a.t.Team, true
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
		if n := &a.spans[p]; unix >= n.end {
			*n = span{}
			n.begun, n.end = p.Bounds(unix, zone)
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
		switch {
		case b.s.Unknown < 0:
			return Verdict{Refuse: true, Reason: NoContract}
		case b.s.Unknown < 1 && !b.gate.let(float64((&Terms{}).price(class).of(u))):
			return Verdict{Refuse: true, Reason: OverRate, RetryAfter: gateWait}
		}
		return Verdict{Worth: b.s.Unknown}
	}
	if !a.valid(b.latest) {
		v := Verdict{Refuse: true, Reason: NotValid}
		if a.t.From > b.latest {
			v.RetryAfter = a.t.From - b.latest
		}
		return a.refused(v, 0)
	}
	b.earn(a)
	a.turn(b.latest, b.s.Zone)
	b.renew(a)
	price := a.t.price(class)
	cost := price.of(u)
	all := whole(cost, a.part)
	v := Verdict{Worth: a.worth()}
	for i := range a.t.Budgets {
		g := &a.t.Budgets[i]
		n := &a.spans[g.Period]
		if g.Hard > 0 && n.used+all > g.Hard {
			return a.refused(Verdict{Refuse: true, Reason: OverBudget, RetryAfter: n.end - b.latest}, cost)
		}
		if g.Hard > 0 && b.s.Strict && b.s.Reserve > 0 && n.used+all > n.kept {
			b.mind(a)
			return a.refused(Verdict{Refuse: true, Reason: NotKept, RetryAfter: notKeptWait}, cost)
		}
		if g.Soft > 0 && n.used+all > g.Soft {
			v.Worth, v.Over = a.t.Over, true
		}
	}
	fromFloor := math.Min(math.Max(0, a.floors[class]), float64(cost))
	rest, beyond := float64(cost)-fromFloor, false
	if a.surges(b.at, cost) && rest > 0 {
		v.Worth, v.Over, fromFloor, rest, beyond = a.t.Over, true, 0, 0, true
	} else if rest > math.Max(0, a.level) {
		// Beyond what it has: from what idle shares left, or beyond the rate.
		short := rest - math.Max(0, a.level)
		if short <= b.pool && !a.t.NoBorrow && (a.t.Borrow == 0 || short <= a.mayBorrow) {
			b.pool -= short
			a.level += short
			a.mayBorrow -= short
			a.count.Borrowed += Units(short)
		} else if a.t.Hard {
			return a.refused(Verdict{Refuse: true, Reason: OverRate, RetryAfter: choice.Micros(short / (a.t.Rate * a.part) * 1e6)}, cost)
		} else {
			// It competes beyond the rate, and takes nothing of what the rate earns:
			// else a surge would keep its own team from its share.
			v.Worth, v.Over, fromFloor, rest, beyond = a.t.Over, true, 0, 0, true
		}
	}
	if v.Over && !b.gate.let(float64(cost)) {
		return a.refused(Verdict{Refuse: true, Reason: OverRate, RetryAfter: gateWait}, cost)
	}
	if fromFloor > 0 {
		a.floors[class] -= fromFloor
	}
	a.level -= rest
	var begun [periods]choice.Micros
	for p := range a.spans {
		a.spans[p].used += all
		begun[p] = a.spans[p].begun
	}
	*c = Charge{Thought: u, acct: a, class: class, price: price, units: cost, beyond: beyond, periods: begun, part: a.part}
	a.open++
	if v.Over {
		a.count.Over++
		a.count.OverUnits += cost
	} else {
		a.count.Taken++
		a.count.TakenUnits += cost
	}
	b.notice(a)
	b.mind(a)
	return v
}

// surgeSpan is the time over which it is told what a team asks for, in seconds.
const surgeSpan = 8.0

// surgeStep is how often what a team asks for is averaged, where the host does not say.
const surgeStep choice.Micros = 1_000_000

// Step averages what teams ask for, up to now. A host that decides at moments of its
// own, as the decision module does at its ticks, has the book step along with them.
func (b *Book) Step(now choice.Micros) {
	b.refill(now)
	for _, a := range b.accounts {
		a.step(now)
	}
}

func (a *account) step(now choice.Micros) {
	dt := math.Max(1e-3, float64(now-a.askedAt)/1e6)
	a.asking += math.Min(1, dt/surgeSpan) * (a.asked/dt - a.asking)
	a.asked, a.askedAt = 0, now
}

// surges notes what is asked for, and tells whether it is lately too much.
func (a *account) surges(now choice.Micros, cost Units) bool {
	if a.t.Surge <= 0 {
		return false
	}
	if now-a.askedAt >= surgeStep {
		a.step(now)
	}
	a.asked += float64(cost)
	return a.asking > a.t.Surge*a.t.Rate*a.part
}

// notKeptWait is when a strict book expects the store to have caught up.
const notKeptWait choice.Micros = 1_000_000

func (a *account) refused(v Verdict, cost Units) Verdict {
	a.count.Refused++
	a.count.RefusedUnits += cost
	return v
}

func (a *account) worth() float64 {
	if a.t.Worth == 0 {
		return 1
	}
	return a.t.Worth
}

// gate bounds what is let in beyond contracts, once the fleet turns away what is
// within them: a slow start to half of what was too much (Jacobson, 1988), from there
// on an increase that grows with the time since the last cut (Ha, Rhee and Xu, "CUBIC",
// 2008), and multiplicative decrease for each time (Chiu and Jain, 1989). A fleet that serves all is never bounded.
type gate struct {
	on    bool
	rate  float64 // units a second beyond contracts
	goal  float64 // up to which the rate grows quickly
	level float64 // of them that may be let in now
	seen  float64 // units a second that were let in lately
	at    choice.Micros
	cutAt choice.Micros
}

const (
	gateWait  choice.Micros = 1_000_000 // the advice to those that it stops
	gateHold  choice.Micros = 300_000   // after a cut nothing is let in: what waits at the workers goes first
	gateFirst               = 0.01      // of all contracts' rates, that it begins with
	gateRise                = 0.002     // of all contracts' rates, in a second, beyond the goal
	gateOpen                = 2.0       // of all contracts' rates: from there on it bounds nothing
	gateCut                 = 0.85      // what stays of the rate
	gateSave                = 0.2       // seconds that may be saved up
)

func (g *gate) earn(now choice.Micros, rates float64) {
	dt := float64(now-g.at) / 1e6
	g.at = now
	g.seen /= 1 + dt
	if !g.on || now < g.cutAt+gateHold {
		return
	}
	if g.rate < g.goal {
		g.rate = math.Min(g.goal, g.rate+math.Max(g.rate, gateFirst*rates)*dt)
	} else {
		since := float64(now-g.cutAt) / 1e6 // the longer nothing was turned away, the quicker
		g.rate += gateRise * rates * dt * (1 + since*since/4)
	}
	if g.rate > gateOpen*rates {
		*g = gate{at: now, seen: g.seen}
		return
	}
	g.level = math.Min(gateSave*g.rate, g.level+g.rate*dt)
}

// let tells whether so many units beyond contracts may come in. What is dearer than
// all that may be saved up waits till that is there, and is owed then.
func (g *gate) let(cost float64) bool {
	if g.on {
		if g.level < math.Min(cost, gateSave*g.rate) || g.level <= 0 {
			return false
		}
		g.level -= cost
	}
	g.seen += cost
	return true
}

func (g *gate) cut(now choice.Micros) {
	if g.on && now < g.cutAt+gateHold {
		return // what was let in before still comes back
	}
	g.cutAt = now
	if g.on {
		g.goal = gateCut * math.Min(g.rate, 1.2*g.seen)
		g.rate = g.goal
	} else {
		g.on, g.goal, g.rate = true, g.seen/2, 0
	}
	g.level = 0
}

// TurnedAway tells that the fleet, and not a contract, has turned away a request
// whose charges are all settled. Within the rate it had its chance at full worth:
// its estimate stays off the level, or a surge that is turned away would go on
// competing as if it were within its rate. Budgets are not touched: nothing ran.
func (b *Book) TurnedAway(now choice.Micros, tenant, class string, u Use, over bool) {
	b.refill(now)
	a := b.find(tenant, class)
	if a == nil || over {
		return
	}
	b.earn(a)
	a.level = math.Max(-a.burst(), a.level-float64(a.t.price(class).of(u)))
	a.wants = b.at + gateWait
	b.gate.cut(b.at)
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
	a.count.Used += c.units + more
	if !c.beyond {
		a.level = math.Max(-a.burst(), math.Min(a.burst(), a.level-float64(more)))
	}
	// A charge of a contract that has been followed by another is that one's now.
	on := a
	if a.next != nil && a.next.renewed {
		on = a.next
	}
	for p := range on.spans {
		// A period that has ended since keeps the estimate: its sum is told already.
		if n := &on.spans[p]; c.periods[p] == n.begun {
			n.used = max(0, n.used+whole(more, c.part))
		}
	}
	if !a.retired {
		b.mind(on)
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
		p := &a.spans[g.Period]
		for limit > 0 && int(p.noticed) < len(noticeAt) && float64(p.used)*100 >= float64(limit)*float64(noticeAt[p.noticed]) {
			b.notices = append(b.notices, Notice{a.t.Team, g.Period, noticeAt[p.noticed], p.used, limit})
			p.noticed++
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
	Ends  [periods]choice.Micros
	Limit [periods]Units // hard, or else soft; 0: none
	Part  float64        // of the contract that this gateway holds
	Valid bool
	Count Count
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
