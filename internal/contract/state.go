package contract

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"archknot/balancer"
	pb "archknot/internal/contract/contractpb"
)

// What of a book others keep: its whole state for captures, and balances for a
// store that survives a kill.

// ToProto is a contract in the form of captures, of the store and of a stream.
func (t *Terms) ToProto() *pb.Terms {
	out := &pb.Terms{Team: t.Team, Tenants: t.Tenants, Classes: t.Classes, Rate: t.Rate, Burst: t.Burst, Worth: t.PriorityWeight, Over: t.OverQuotaWeight,
		Hard: t.Hard, FromUs: t.From, UntilUs: t.Until, Successor: t.Successor, NoBorrow: t.NoBorrow, Borrow: t.Borrow, Surge: t.Surge}
	for _, class := range slices.Sorted(maps.Keys(t.Prices)) {
		out.Prices = append(out.Prices, &pb.Terms_Price{Class: class, Read: t.Prices[class].PromptToken, Made: t.Prices[class].OutputToken})
	}
	for _, class := range slices.Sorted(maps.Keys(t.Floors)) {
		out.Floors = append(out.Floors, &pb.Terms_Floor{Class: class, Rate: t.Floors[class]})
	}
	for _, g := range t.Budgets {
		out.Budgets = append(out.Budgets, &pb.Terms_Budget{Period: uint32(g.Period), Soft: g.Soft, Hard: g.Hard})
	}
	return out
}

// TermsFromProto is the contract of a message; Check tells what is wrong with it.
func TermsFromProto(m *pb.Terms) Terms {
	t := Terms{Team: m.GetTeam(), Tenants: m.GetTenants(), Classes: m.GetClasses(), Rate: m.GetRate(), Burst: m.GetBurst(), PriorityWeight: m.GetWorth(),
		OverQuotaWeight: m.GetOver(), Hard: m.GetHard(), From: m.GetFromUs(), Until: m.GetUntilUs(), Successor: m.GetSuccessor(), NoBorrow: m.GetNoBorrow(),
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
		t.Budgets = append(t.Budgets, Budget{Period(min(g.Period, periodCount)), g.Soft, g.Hard})
	}
	return t
}

// MarshalAgreement is what was put in force, for a capture. fresh says that a new book
// began with it, and with the balances.
func MarshalAgreement(s Settings, terms []Terms, unix balancer.Micros, fresh bool, resumed []Balance) []byte {
	m := &pb.Agreed{Zone: s.locationName(), PoolS: s.BorrowPoolSeconds, Unknown: s.UnknownTenantWeight, Reserve: s.ReserveFraction, Strict: s.Strict, UnixUs: unix, Fresh: fresh}
	for i := range terms {
		m.Terms = append(m.Terms, terms[i].ToProto())
	}
	for i := range resumed {
		m.Resumed = append(m.Resumed, resumed[i].ToProto())
	}
	return mustMarshal(m)
}

func (s *Settings) locationName() string {
	if s.Location == nil {
		return "UTC"
	}
	return s.Location.String()
}

// Agreement is what a capture says was put in force.
type Agreement struct {
	Settings  Settings
	Terms     []Terms
	Unix      balancer.Micros
	NewLedger bool
	Balances  []Balance
}

// UnmarshalAgreement reads it.
func UnmarshalAgreement(text []byte) (*Agreement, error) {
	var m pb.Agreed
	if err := proto.Unmarshal(text, &m); err != nil {
		return nil, fmt.Errorf("contracts: %w", err)
	}
	zone, err := time.LoadLocation(m.Zone)
	if err != nil {
		return nil, fmt.Errorf("contracts: %w", err)
	}
	a := &Agreement{Settings: Settings{Location: zone, BorrowPoolSeconds: m.PoolS, UnknownTenantWeight: m.Unknown, ReserveFraction: m.Reserve, Strict: m.Strict}, Unix: m.UnixUs, NewLedger: m.Fresh}
	for _, t := range m.Terms {
		a.Terms = append(a.Terms, TermsFromProto(t))
	}
	for _, r := range m.Resumed {
		a.Balances = append(a.Balances, BalanceFromProto(r))
	}
	return a, nil
}

func mustMarshal(m proto.Message) []byte {
	text, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(err) // names were checked to be UTF-8; nothing else can fail
	}
	return text
}

// OpenCharge is a charge that is not settled, under the key that its owner knows it by.
type OpenCharge struct {
	Key    uint64
	Charge *Charge
}

// Snapshot is the whole state of a book beside its terms, with the open charges
// that its owner has: the same bytes for the same state.
func (b *Ledger) Snapshot(open []OpenCharge) []byte {
	m := &pb.Book{Pool: b.borrowPool, AtUs: b.now, UnixUs: b.unixNow, SweptUs: b.lastAccrueAll, LatestUs: b.latestUnix, Written: b.lastCheckpoint,
		Gate: &pb.Book_Gate{On: b.excess.active, Rate: b.excess.rate, Level: b.excess.level, Seen: b.excess.admittedRate, AtUs: b.excess.refilledAt, CutUs: b.excess.decreasedAt, Goal: b.excess.slowStartTarget}}
	for _, class := range slices.Sorted(maps.Keys(b.outputMeans)) {
		m.Means = append(m.Means, &pb.Book_Mean{Class: []byte(class), Made: b.outputMeans[class].tokens})
	}
	for _, a := range b.accounts {
		o := &pb.Book_Account{AtUs: a.accruedAt, Level: a.level, Open: int64(a.openCharges), MayBorrow: a.borrowAllowance, Part: a.quotaShare, Renewed: a.inherited,
			Taken: a.counters.Admitted, Over: a.counters.OverQuota, Refused: a.counters.Rejected, TakenUnits: a.counters.AdmittedUnits, OverUnits: a.counters.OverQuotaUnits,
			RefusedUnits: a.counters.RejectedUnits, Borrowed: a.counters.Borrowed, Used: a.counters.Used, Waits: a.checkpointQueued, WantsUs: a.noLendingUntil, Asking: a.demandRate, AskedUs: a.demandUpdatedAt, Asked: a.demandSinceUpdate}
		for _, class := range slices.Sorted(maps.Keys(a.floorLevels)) {
			o.Floors = append(o.Floors, &pb.Book_Level{Class: class, Level: a.floorLevels[class]})
		}
		for p := range a.periods {
			n := &a.periods[p]
			o.Spans = append(o.Spans, &pb.Book_Span{Used: n.used, Noticed: uint32(n.noticesSent), BegunUs: n.start, EndsUs: n.end,
				Mark: n.submitted, Kept: n.durable, Handed: n.checkpoint})
		}
		m.Accounts = append(m.Accounts, o)
	}
	open = slices.DeleteFunc(open, func(o OpenCharge) bool { return o.Charge.account == nil })
	slices.SortFunc(open, func(x, y OpenCharge) int { return cmp.Compare(x.Key, y.Key) })
	for _, o := range open {
		c := o.Charge
		no := int64(c.account.index)
		if c.account.retired {
			no = -1
		}
		m.Open = append(m.Open, &pb.Book_Open{Key: o.Key, Account: no, Class: []byte(c.class), Read: int64(c.Estimate.PromptTokens), Made: int64(c.Estimate.OutputTokens),
			PriceRead: c.price.PromptToken, PriceMade: c.price.OutputToken, Units: c.units, Beyond: c.overQuota, PeriodsUs: c.periodStarts[:], Part: c.quotaShare})
	}
	return mustMarshal(m)
}

// Restore makes the book of a snapshot, and its open charges by their keys.
func Restore(a *Agreement, text []byte) (*Ledger, map[uint64]*Charge, error) {
	var m pb.Book
	if err := proto.Unmarshal(text, &m); err != nil {
		return nil, nil, fmt.Errorf("book: %w", err)
	}
	b, err := NewLedger(a.Settings, a.Terms, m.AtUs, m.UnixUs)
	if err != nil {
		return nil, nil, err
	}
	if len(m.Accounts) != len(b.accounts) {
		return nil, nil, fmt.Errorf("book: %d accounts of %d contracts", len(m.Accounts), len(b.accounts))
	}
	b.borrowPool, b.lastAccrueAll, b.latestUnix, b.lastCheckpoint, b.checkpointQueue = m.Pool, m.SweptUs, m.LatestUs, m.Written, nil
	b.excess = excessLimiter{m.GetGate().GetOn(), m.GetGate().GetRate(), m.GetGate().GetGoal(), m.GetGate().GetLevel(), m.GetGate().GetSeen(), m.GetGate().GetAtUs(), m.GetGate().GetCutUs()}
	for _, n := range m.Means {
		b.outputMeans[string(n.Class)] = &outputMean{n.Made}
	}
	for i, o := range m.Accounts {
		if len(o.Spans) != periodCount || !(o.Part > 0 && o.Part <= 1) {
			return nil, nil, fmt.Errorf("book: account %d: %d periods, part %v", i, len(o.Spans), o.Part)
		}
		a := b.accounts[i]
		a.accruedAt, a.level, a.openCharges, a.borrowAllowance, a.quotaShare, a.inherited = o.AtUs, o.Level, int(o.Open), o.MayBorrow, o.Part, o.Renewed
		a.counters = Counters{o.Taken, o.Over, o.Refused, o.TakenUnits, o.OverUnits, o.RefusedUnits, o.Borrowed, o.Used}
		a.noLendingUntil, a.demandRate, a.demandUpdatedAt, a.demandSinceUpdate = o.WantsUs, o.Asking, o.AskedUs, o.Asked
		if a.checkpointQueued = o.Waits; a.checkpointQueued {
			b.checkpointQueue = append(b.checkpointQueue, a)
		}
		clear(a.floorLevels)
		for _, f := range o.Floors {
			a.floorLevels[f.Class] = f.Level
		}
		for p, n := range o.Spans {
			a.periods[p] = periodUsage{used: n.Used, noticesSent: uint8(n.Noticed), start: n.BegunUs, end: n.EndsUs, submitted: n.Mark, durable: n.Kept, checkpoint: n.Handed}
		}
	}
	b.recomputeTotals()
	charges := map[uint64]*Charge{}
	for _, o := range m.Open {
		if o.Account >= int64(len(b.accounts)) || len(o.PeriodsUs) != periodCount {
			return nil, nil, fmt.Errorf("book: a charge on account %d", o.Account)
		}
		c := &Charge{Estimate: Usage{int(o.Read), int(o.Made)}, class: string(o.Class), price: Price{o.PriceRead, o.PriceMade}, units: o.Units,
			overQuota: o.Beyond, periodStarts: [periodCount]balancer.Micros(o.PeriodsUs), quotaShare: o.Part}
		if o.Account >= 0 {
			c.account = b.accounts[o.Account]
		} else {
			c.account = &account{retired: true, quotaShare: 1}
		}
		charges[o.Key] = c
	}
	return b, charges, nil
}

// Balance is what a store keeps of one team: what counts as used after a kill.
type Balance struct {
	Team         string
	PeriodStarts [periodCount]balancer.Micros
	Used         [periodCount]Units
	Level        float64 // where Clean
	Clean        bool    // written at an orderly end: exact
	LatestUnix   balancer.Micros
}

// ToProto is a balance in the store's form.
func (k *Balance) ToProto() *pb.Balance {
	m := &pb.Balance{Team: k.Team, Level: k.Level, Clean: k.Clean, LatestUs: k.LatestUnix}
	for p := range k.Used {
		m.Spans = append(m.Spans, &pb.Balance_Span{Period: uint32(p), BegunUs: k.PeriodStarts[p], Used: k.Used[p]})
	}
	return m
}

// BalanceFromProto is the balance of a message.
func BalanceFromProto(m *pb.Balance) Balance {
	k := Balance{Team: m.GetTeam(), Level: m.GetLevel(), Clean: m.GetClean(), LatestUnix: m.GetLatestUs()}
	for _, n := range m.GetSpans() {
		if n.Period < periodCount {
			k.PeriodStarts[n.Period], k.Used[n.Period] = n.BegunUs, max(0, n.Used)
		}
	}
	return k
}

// The store is told what is used before it is: a budget's use is written with a
// reserve on top, and written again when half of that is used up. After a kill
// what was written counts as used. So a kill costs a team at most the reserve of
// the budget, and gives none of it twice as long as the disk writes half a reserve
// within the time that the team takes to use one; a strict book waits for it.

// reserveFor is how much more than is used of a budget the store is told.
func (b *Ledger) reserveFor(g *Budget) Units {
	limit := g.Hard
	if limit == 0 {
		limit = g.Soft
	}
	return max(Token, Units(float64(limit)*b.settings.ReserveFraction))
}

// queueCheckpoint has an account written if one of its budgets is near what the store has.
func (b *Ledger) queueCheckpoint(a *account) {
	if b.settings.ReserveFraction <= 0 || a.checkpointQueued {
		return
	}
	for i := range a.terms.Budgets {
		n := &a.periods[a.terms.Budgets[i].Period]
		if n.used+b.reserveFor(&a.terms.Budgets[i])/2 > n.submitted {
			a.checkpointQueued = true
			b.checkpointQueue = append(b.checkpointQueue, a)
			return
		}
	}
}

// CheckpointDue tells whether balances must be written.
func (b *Ledger) CheckpointDue() bool { return len(b.checkpointQueue) > 0 }

// Checkpoint is the balances that are due, with their reserves, and a number to
// tell Kept once they are written.
func (b *Ledger) Checkpoint() (uint64, []Balance) {
	b.lastCheckpoint++
	out := make([]Balance, 0, len(b.checkpointQueue))
	slices.SortFunc(b.checkpointQueue, func(x, y *account) int { return cmp.Compare(x.index, y.index) })
	for _, a := range b.checkpointQueue {
		a.checkpointQueued = false
		if a.retired {
			continue
		}
		a.rollPeriods(b.latestUnix, b.settings.Location)
		for i := range a.terms.Budgets {
			g := &a.terms.Budgets[i]
			n := &a.periods[g.Period]
			n.submitted, n.checkpoint = n.used+b.reserveFor(g), b.lastCheckpoint
			if g.Hard > 0 {
				n.submitted = min(n.submitted, max(n.used, g.Hard))
			}
		}
		out = append(out, a.balance(b.latestUnix))
	}
	b.checkpointQueue = b.checkpointQueue[:0]
	return b.lastCheckpoint, out
}

func (a *account) balance(latest balancer.Micros) Balance {
	k := Balance{Team: a.terms.Team, LatestUnix: latest}
	for p := range a.periods {
		k.PeriodStarts[p], k.Used[p] = a.periods[p].start, max(a.periods[p].used, a.periods[p].submitted)
	}
	return k
}

// CheckpointDone says that a checkpoint is written, or with false that it could not be: its
// balances are due again.
func (b *Ledger) CheckpointDone(number uint64, well bool) {
	for _, a := range b.accounts {
		for p := range a.periods {
			n := &a.periods[p]
			if n.checkpoint != number || number == 0 {
				continue
			}
			if n.checkpoint = 0; well {
				n.durable = n.submitted
				continue
			}
			if n.submitted = n.durable; !a.checkpointQueued {
				a.checkpointQueued = true
				b.checkpointQueue = append(b.checkpointQueue, a)
			}
		}
	}
}

// UnstoredUsage is the most units of any budget that a kill now would give again.
func (b *Ledger) UnstoredUsage() (most Units) {
	if b.settings.ReserveFraction <= 0 {
		return 0
	}
	for _, a := range b.accounts {
		for i := range a.terms.Budgets {
			n := &a.periods[a.terms.Budgets[i].Period]
			most = max(most, n.used-n.durable)
		}
	}
	return most
}

// FinalBalances is all balances as they are, for an orderly end.
func (b *Ledger) FinalBalances() []Balance {
	out := make([]Balance, 0, len(b.accounts))
	for _, a := range b.accounts {
		k := Balance{Team: a.terms.Team, LatestUnix: b.latestUnix, Clean: true, Level: a.level}
		for p := range a.periods {
			k.PeriodStarts[p], k.Used[p] = a.periods[p].start, a.periods[p].used
		}
		out = append(out, k)
	}
	return out
}

// maxClockAhead is by how much a stored time may lie ahead of the clock and be
// believed: a clock set back keeps the periods it knew. One further off was wrong
// when it was stored.
const maxClockAhead balancer.Micros = 24 * 3600 * 1_000_000

// RestoreBalances has a new book go on where stored balances end: what is stored counts as
// used, where its period has not ended. After a kill levels begin at nothing, so
// that no burst is had twice. It tells how many balances were taken up.
func (b *Ledger) RestoreBalances(stored []Balance) (n int) {
	byTeam := map[string]*account{}
	for _, a := range b.accounts {
		byTeam[a.terms.Team] = a
	}
	for i := range stored {
		if k := &stored[i]; k.LatestUnix > b.latestUnix && k.LatestUnix-b.latestUnix <= maxClockAhead {
			b.latestUnix = k.LatestUnix
		}
	}
	for i := range stored {
		k := &stored[i]
		a := byTeam[k.Team]
		if a == nil {
			continue
		}
		n++
		a.rollPeriods(b.latestUnix, b.settings.Location)
		a.level = 0
		if k.Clean {
			a.level = max(-a.burst(), min(a.burst(), k.Level))
		}
		for p := range a.periods {
			if s := &a.periods[p]; s.start == k.PeriodStarts[p] {
				s.used, s.submitted, s.durable = k.Used[p], k.Used[p], k.Used[p]
			}
		}
		if a.predecessor != nil { // what the one before it used is in it already, if it has begun
			a.inherited = !a.predecessor.inForce(b.latestUnix)
		}
		b.queueCheckpoint(a)
	}
	return n
}
