package contract

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"archknot/choice"
	pb "archknot/internal/contract/contractpb"
)

// What of a book others keep: its whole state for captures, and balances for a
// store that survives a kill.

// Put is a contract in the form of captures, of the store and of a stream.
func (t *Terms) Put() *pb.Terms {
	out := &pb.Terms{Team: t.Team, Tenants: t.Tenants, Classes: t.Classes, Rate: t.Rate, Burst: t.Burst, Worth: t.Worth, Over: t.Over,
		Hard: t.Hard, FromUs: t.From, UntilUs: t.Until, Successor: t.Successor, NoBorrow: t.NoBorrow, Borrow: t.Borrow, Surge: t.Surge}
	for _, class := range slices.Sorted(maps.Keys(t.Prices)) {
		out.Prices = append(out.Prices, &pb.Terms_Price{Class: class, Read: t.Prices[class].Read, Made: t.Prices[class].Made})
	}
	for _, class := range slices.Sorted(maps.Keys(t.Floors)) {
		out.Floors = append(out.Floors, &pb.Terms_Floor{Class: class, Rate: t.Floors[class]})
	}
	for _, g := range t.Budgets {
		out.Budgets = append(out.Budgets, &pb.Terms_Budget{Period: uint32(g.Period), Soft: g.Soft, Hard: g.Hard})
	}
	return out
}

// GetTerms is the contract of a message; Check tells what is wrong with it.
func GetTerms(m *pb.Terms) Terms {
	t := Terms{Team: m.GetTeam(), Tenants: m.GetTenants(), Classes: m.GetClasses(), Rate: m.GetRate(), Burst: m.GetBurst(), Worth: m.GetWorth(),
		Over: m.GetOver(), Hard: m.GetHard(), From: m.GetFromUs(), Until: m.GetUntilUs(), Successor: m.GetSuccessor(), NoBorrow: m.GetNoBorrow(),
		Borrow: m.GetBorrow(), Surge: m.GetSurge()}
	for _, p := range m.GetPrices() {
		if t.Prices == nil {
			t.Prices = map[string]Price{}
		}
		t.Prices[p.Class] = Price{p.Read, p.Made}
	}
	for _, f := range m.GetFloors() {
		if t.Floors == nil {
			t.Floors = map[string]float64{}
		}
		t.Floors[f.Class] = f.Rate
	}
	for _, g := range m.GetBudgets() {
		t.Budgets = append(t.Budgets, Budget{Period(min(g.Period, periods)), g.Soft, g.Hard})
	}
	return t
}

// PutAgreed is what was put in force, for a capture. fresh says that a new book
// began with it, and with the balances.
func PutAgreed(s Settings, terms []Terms, unix choice.Micros, fresh bool, resumed []Balance) []byte {
	m := &pb.Agreed{Zone: s.zone(), PoolS: s.Pool, Unknown: s.Unknown, Reserve: s.Reserve, Strict: s.Strict, UnixUs: unix, Fresh: fresh}
	for i := range terms {
		m.Terms = append(m.Terms, terms[i].Put())
	}
	for i := range resumed {
		m.Resumed = append(m.Resumed, resumed[i].Put())
	}
	return marshal(m)
}

func (s *Settings) zone() string {
	if s.Zone == nil {
		return "UTC"
	}
	return s.Zone.String()
}

// Agreed is what a capture says was put in force.
type Agreed struct {
	Settings Settings
	Terms    []Terms
	Unix     choice.Micros
	Fresh    bool
	Resumed  []Balance
}

// GetAgreed reads it.
func GetAgreed(text []byte) (*Agreed, error) {
	var m pb.Agreed
	if err := proto.Unmarshal(text, &m); err != nil {
		return nil, fmt.Errorf("contracts: %w", err)
	}
	zone, err := time.LoadLocation(m.Zone)
	if err != nil {
		return nil, fmt.Errorf("contracts: %w", err)
	}
	a := &Agreed{Settings: Settings{Zone: zone, Pool: m.PoolS, Unknown: m.Unknown, Reserve: m.Reserve, Strict: m.Strict}, Unix: m.UnixUs, Fresh: m.Fresh}
	for _, t := range m.Terms {
		a.Terms = append(a.Terms, GetTerms(t))
	}
	for _, r := range m.Resumed {
		a.Resumed = append(a.Resumed, GetBalance(r))
	}
	return a, nil
}

func marshal(m proto.Message) []byte {
	text, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(err) // names were checked to be UTF-8; nothing else can fail
	}
	return text
}

// Open is a charge that is not settled, under the key that its owner knows it by.
type Open struct {
	Key    uint64
	Charge *Charge
}

// Snapshot is the whole state of a book beside its terms, with the open charges
// that its owner has: the same bytes for the same state.
func (b *Book) Snapshot(open []Open) []byte {
	m := &pb.Book{Pool: b.pool, AtUs: b.at, UnixUs: b.unix, SweptUs: b.swept, LatestUs: b.latest, Written: b.written,
		Gate: &pb.Book_Gate{On: b.gate.on, Rate: b.gate.rate, Level: b.gate.level, Seen: b.gate.seen, AtUs: b.gate.at, CutUs: b.gate.cutAt, Goal: b.gate.goal}}
	for _, class := range slices.Sorted(maps.Keys(b.means)) {
		m.Means = append(m.Means, &pb.Book_Mean{Class: []byte(class), Made: b.means[class].made})
	}
	for _, a := range b.accounts {
		o := &pb.Book_Account{AtUs: a.at, Level: a.level, Open: int64(a.open), MayBorrow: a.mayBorrow, Part: a.part, Renewed: a.renewed,
			Taken: a.count.Taken, Over: a.count.Over, Refused: a.count.Refused, TakenUnits: a.count.TakenUnits, OverUnits: a.count.OverUnits,
			RefusedUnits: a.count.RefusedUnits, Borrowed: a.count.Borrowed, Used: a.count.Used, Waits: a.waits, WantsUs: a.wants, Asking: a.asking, AskedUs: a.askedAt, Asked: a.asked}
		for _, class := range slices.Sorted(maps.Keys(a.floors)) {
			o.Floors = append(o.Floors, &pb.Book_Level{Class: class, Level: a.floors[class]})
		}
		for p := range a.spans {
			n := &a.spans[p]
			o.Spans = append(o.Spans, &pb.Book_Span{Used: n.used, Noticed: uint32(n.noticed), BegunUs: n.begun, EndsUs: n.end,
				Mark: n.mark, Kept: n.kept, Handed: n.handed})
		}
		m.Accounts = append(m.Accounts, o)
	}
	open = slices.DeleteFunc(open, func(o Open) bool { return o.Charge.acct == nil })
	slices.SortFunc(open, func(x, y Open) int { return cmp.Compare(x.Key, y.Key) })
	for _, o := range open {
		c := o.Charge
		no := int64(c.acct.no)
		if c.acct.retired {
			no = -1
		}
		m.Open = append(m.Open, &pb.Book_Open{Key: o.Key, Account: no, Class: []byte(c.class), Read: int64(c.Thought.Read), Made: int64(c.Thought.Made),
			PriceRead: c.price.Read, PriceMade: c.price.Made, Units: c.units, Beyond: c.beyond, PeriodsUs: c.periods[:], Part: c.part})
	}
	return marshal(m)
}

// Restore makes the book of a snapshot, and its open charges by their keys.
func Restore(a *Agreed, text []byte) (*Book, map[uint64]*Charge, error) {
	var m pb.Book
	if err := proto.Unmarshal(text, &m); err != nil {
		return nil, nil, fmt.Errorf("book: %w", err)
	}
	b, err := New(a.Settings, a.Terms, m.AtUs, m.UnixUs)
	if err != nil {
		return nil, nil, err
	}
	if len(m.Accounts) != len(b.accounts) {
		return nil, nil, fmt.Errorf("book: %d accounts of %d contracts", len(m.Accounts), len(b.accounts))
	}
	b.pool, b.swept, b.latest, b.written, b.due = m.Pool, m.SweptUs, m.LatestUs, m.Written, nil
	b.gate = gate{m.GetGate().GetOn(), m.GetGate().GetRate(), m.GetGate().GetGoal(), m.GetGate().GetLevel(), m.GetGate().GetSeen(), m.GetGate().GetAtUs(), m.GetGate().GetCutUs()}
	for _, n := range m.Means {
		b.means[string(n.Class)] = &mean{n.Made}
	}
	for i, o := range m.Accounts {
		if len(o.Spans) != periods || !(o.Part > 0 && o.Part <= 1) {
			return nil, nil, fmt.Errorf("book: account %d: %d periods, part %v", i, len(o.Spans), o.Part)
		}
		a := b.accounts[i]
		a.at, a.level, a.open, a.mayBorrow, a.part, a.renewed = o.AtUs, o.Level, int(o.Open), o.MayBorrow, o.Part, o.Renewed
		a.count = Count{o.Taken, o.Over, o.Refused, o.TakenUnits, o.OverUnits, o.RefusedUnits, o.Borrowed, o.Used}
		a.wants, a.asking, a.askedAt, a.asked = o.WantsUs, o.Asking, o.AskedUs, o.Asked
		if a.waits = o.Waits; a.waits {
			b.due = append(b.due, a)
		}
		clear(a.floors)
		for _, f := range o.Floors {
			a.floors[f.Class] = f.Level
		}
		for p, n := range o.Spans {
			a.spans[p] = span{used: n.Used, noticed: uint8(n.Noticed), begun: n.BegunUs, end: n.EndsUs, mark: n.Mark, kept: n.Kept, handed: n.Handed}
		}
	}
	b.bound()
	charges := map[uint64]*Charge{}
	for _, o := range m.Open {
		if o.Account >= int64(len(b.accounts)) || len(o.PeriodsUs) != periods {
			return nil, nil, fmt.Errorf("book: a charge on account %d", o.Account)
		}
		c := &Charge{Thought: Use{int(o.Read), int(o.Made)}, class: string(o.Class), price: Price{o.PriceRead, o.PriceMade}, units: o.Units,
			beyond: o.Beyond, periods: [periods]choice.Micros(o.PeriodsUs), part: o.Part}
		if o.Account >= 0 {
			c.acct = b.accounts[o.Account]
		} else {
			c.acct = &account{retired: true, part: 1}
		}
		charges[o.Key] = c
	}
	return b, charges, nil
}

// Balance is what a store keeps of one team: what counts as used after a kill.
type Balance struct {
	Team   string
	Begun  [periods]choice.Micros
	Used   [periods]Units
	Level  float64 // where Clean
	Clean  bool    // written at an orderly end: exact
	Latest choice.Micros
}

// Put is a balance in the store's form.
func (k *Balance) Put() *pb.Balance {
	m := &pb.Balance{Team: k.Team, Level: k.Level, Clean: k.Clean, LatestUs: k.Latest}
	for p := range k.Used {
		m.Spans = append(m.Spans, &pb.Balance_Span{Period: uint32(p), BegunUs: k.Begun[p], Used: k.Used[p]})
	}
	return m
}

// GetBalance is the balance of a message.
func GetBalance(m *pb.Balance) Balance {
	k := Balance{Team: m.GetTeam(), Level: m.GetLevel(), Clean: m.GetClean(), Latest: m.GetLatestUs()}
	for _, n := range m.GetSpans() {
		if n.Period < periods {
			k.Begun[n.Period], k.Used[n.Period] = n.BegunUs, max(0, n.Used)
		}
	}
	return k
}

// The store is told what is used before it is: a budget's use is written with a
// reserve on top, and written again when half of that is used up. After a kill
// what was written counts as used. So a kill costs a team at most the reserve of
// the budget, and gives none of it twice as long as the disk writes half a reserve
// within the time that the team takes to use one; a strict book waits for it.

// reserve is how much more than is used of a budget the store is told.
func (b *Book) reserve(g *Budget) Units {
	limit := g.Hard
	if limit == 0 {
		limit = g.Soft
	}
	return max(Token, Units(float64(limit)*b.s.Reserve))
}

// mind has an account written if one of its budgets is near what the store has.
func (b *Book) mind(a *account) {
	if b.s.Reserve <= 0 || a.waits {
		return
	}
	for i := range a.t.Budgets {
		n := &a.spans[a.t.Budgets[i].Period]
		if n.used+b.reserve(&a.t.Budgets[i])/2 > n.mark {
			a.waits = true
			b.due = append(b.due, a)
			return
		}
	}
}

// Due tells whether balances must be written.
func (b *Book) Due() bool { return len(b.due) > 0 }

// Checkpoint is the balances that are due, with their reserves, and a number to
// tell Kept once they are written.
func (b *Book) Checkpoint() (uint64, []Balance) {
	b.written++
	out := make([]Balance, 0, len(b.due))
	slices.SortFunc(b.due, func(x, y *account) int { return cmp.Compare(x.no, y.no) })
	for _, a := range b.due {
		a.waits = false
		if a.retired {
			continue
		}
		a.turn(b.latest, b.s.Zone)
		for i := range a.t.Budgets {
			g := &a.t.Budgets[i]
			n := &a.spans[g.Period]
			n.mark, n.handed = n.used+b.reserve(g), b.written
			if g.Hard > 0 {
				n.mark = min(n.mark, max(n.used, g.Hard))
			}
		}
		out = append(out, a.balance(b.latest))
	}
	b.due = b.due[:0]
	return b.written, out
}

func (a *account) balance(latest choice.Micros) Balance {
	k := Balance{Team: a.t.Team, Latest: latest}
	for p := range a.spans {
		k.Begun[p], k.Used[p] = a.spans[p].begun, max(a.spans[p].used, a.spans[p].mark)
	}
	return k
}

// Kept says that a checkpoint is written, or with false that it could not be: its
// balances are due again.
func (b *Book) Kept(number uint64, well bool) {
	for _, a := range b.accounts {
		for p := range a.spans {
			n := &a.spans[p]
			if n.handed != number || number == 0 {
				continue
			}
			if n.handed = 0; well {
				n.kept = n.mark
				continue
			}
			if n.mark = n.kept; !a.waits {
				a.waits = true
				b.due = append(b.due, a)
			}
		}
	}
}

// Exposed is the most units of any budget that a kill now would give again.
func (b *Book) Exposed() (most Units) {
	if b.s.Reserve <= 0 {
		return 0
	}
	for _, a := range b.accounts {
		for i := range a.t.Budgets {
			n := &a.spans[a.t.Budgets[i].Period]
			most = max(most, n.used-n.kept)
		}
	}
	return most
}

// Final is all balances as they are, for an orderly end.
func (b *Book) Final() []Balance {
	out := make([]Balance, 0, len(b.accounts))
	for _, a := range b.accounts {
		k := Balance{Team: a.t.Team, Latest: b.latest, Clean: true, Level: a.level}
		for p := range a.spans {
			k.Begun[p], k.Used[p] = a.spans[p].begun, a.spans[p].used
		}
		out = append(out, k)
	}
	return out
}

// maxAhead is by how much a stored time may lie ahead of the clock and be
// believed: a clock set back keeps the periods it knew. One further off was wrong
// when it was stored.
const maxAhead choice.Micros = 24 * 3600 * 1_000_000

// Resume has a new book go on where stored balances end: what is stored counts as
// used, where its period has not ended. After a kill levels begin at nothing, so
// that no burst is had twice. It tells how many balances were taken up.
func (b *Book) Resume(stored []Balance) (n int) {
	byTeam := map[string]*account{}
	for _, a := range b.accounts {
		byTeam[a.t.Team] = a
	}
	for i := range stored {
		if k := &stored[i]; k.Latest > b.latest && k.Latest-b.latest <= maxAhead {
			b.latest = k.Latest
		}
	}
	for i := range stored {
		k := &stored[i]
		a := byTeam[k.Team]
		if a == nil {
			continue
		}
		n++
		a.turn(b.latest, b.s.Zone)
		a.level = 0
		if k.Clean {
			a.level = max(-a.burst(), min(a.burst(), k.Level))
		}
		for p := range a.spans {
			if s := &a.spans[p]; s.begun == k.Begun[p] {
				s.used, s.mark, s.kept = k.Used[p], k.Used[p], k.Used[p]
			}
		}
		if a.before != nil { // what the one before it used is in it already, if it has begun
			a.renewed = !a.before.valid(b.latest)
		}
		b.mind(a)
	}
	return n
}
