package contract

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"archknot/balancer"
	pb "archknot/internal/contract/contractpb"
)

// OpenCharge is a charge that is not settled yet, with the key by which its owner
// identifies it.
type OpenCharge struct {
	Key    uint64
	Charge *Charge
}

// retiredAccount is the index in a snapshot that stands for any account whose contract was
// removed.
const retiredAccount = -1

// Snapshot encodes the complete state of a ledger, without its terms, together with the
// open charges, which their owner passes. It modifies the slice. Equal states give equal
// bytes.
func (l *Ledger) Snapshot(open []OpenCharge) []byte {
	m := &pb.Book{
		Pool:     l.borrowPool,
		AtUs:     l.now,
		UnixUs:   l.unixNow,
		SweptUs:  l.lastAccrueAll,
		LatestUs: l.latestUnix,
		Written:  l.lastCheckpoint,
		Gate:     l.excess.toProto(),
	}
	for _, class := range slices.Sorted(maps.Keys(l.outputMeans)) {
		m.Means = append(m.Means, &pb.Book_Mean{Class: []byte(class), Made: l.outputMeans[class].tokens})
	}
	for _, a := range l.accounts {
		m.Accounts = append(m.Accounts, a.toProto())
	}
	open = slices.DeleteFunc(open, func(o OpenCharge) bool { return !o.Charge.Open() })
	slices.SortFunc(open, func(x, y OpenCharge) int { return cmp.Compare(x.Key, y.Key) })
	for _, o := range open {
		m.Open = append(m.Open, o.toProto())
	}
	return mustMarshal(m)
}

// Restore decodes a snapshot into a ledger, with the contracts that were in force when it
// was taken, and into the open charges by their keys.
func Restore(agreement *AppliedContracts, text []byte) (*Ledger, map[uint64]*Charge, error) {
	var m pb.Book
	if err := proto.Unmarshal(text, &m); err != nil {
		return nil, nil, fmt.Errorf("decode ledger snapshot: %w", err)
	}
	l, err := NewLedger(agreement.Settings, agreement.Terms, m.GetAtUs(), m.GetUnixUs())
	if err != nil {
		return nil, nil, fmt.Errorf("restore ledger snapshot: %w", err)
	}
	if len(m.GetAccounts()) != len(l.accounts) {
		return nil, nil, fmt.Errorf("restore ledger snapshot: found %d accounts, expected %d (one per contract)", len(m.GetAccounts()), len(l.accounts))
	}
	l.borrowPool, l.lastAccrueAll, l.latestUnix = m.GetPool(), m.GetSweptUs(), m.GetLatestUs()
	l.lastCheckpoint, l.checkpointQueue = m.GetWritten(), nil
	l.excess = limiterFromProto(m.GetGate())
	for _, mean := range m.GetMeans() {
		l.outputMeans[string(mean.GetClass())] = &outputMean{tokens: mean.GetMade()}
	}
	for i, a := range l.accounts {
		if err := a.restore(m.GetAccounts()[i]); err != nil {
			return nil, nil, fmt.Errorf("restore ledger snapshot: account %d: %w", i, err)
		}
		if a.checkpointQueued {
			l.checkpointQueue = append(l.checkpointQueue, a)
		}
	}
	l.recomputeTotals()
	charges, err := l.chargesFromProto(m.GetOpen())
	if err != nil {
		return nil, nil, fmt.Errorf("restore ledger snapshot: %w", err)
	}
	return l, charges, nil
}

func (e *excessLimiter) toProto() *pb.Book_Gate {
	return &pb.Book_Gate{
		On:    e.active,
		Rate:  e.rate,
		Level: e.level,
		Seen:  e.admittedRate,
		AtUs:  e.refilledAt,
		CutUs: e.decreasedAt,
		Goal:  e.slowStartTarget,
	}
}

func limiterFromProto(m *pb.Book_Gate) excessLimiter {
	return excessLimiter{
		active:          m.GetOn(),
		rate:            m.GetRate(),
		slowStartTarget: m.GetGoal(),
		level:           m.GetLevel(),
		admittedRate:    m.GetSeen(),
		refilledAt:      m.GetAtUs(),
		decreasedAt:     m.GetCutUs(),
	}
}

func (a *account) toProto() *pb.Book_Account {
	m := &pb.Book_Account{
		AtUs:         a.accruedAt,
		Level:        a.level,
		Open:         int64(a.openCharges),
		MayBorrow:    a.borrowAllowance,
		Part:         a.quotaShare,
		Renewed:      a.inherited,
		Taken:        a.counters.Admitted,
		Over:         a.counters.OverQuota,
		Refused:      a.counters.Rejected,
		TakenUnits:   a.counters.AdmittedUnits,
		OverUnits:    a.counters.OverQuotaUnits,
		RefusedUnits: a.counters.RejectedUnits,
		Borrowed:     a.counters.Borrowed,
		Used:         a.counters.Used,
		Waits:        a.checkpointQueued,
		WantsUs:      a.noLendingUntil,
		Asking:       a.demandRate,
		AskedUs:      a.demandUpdatedAt,
		Asked:        a.demandSinceUpdate,
	}
	for _, class := range slices.Sorted(maps.Keys(a.floorLevels)) {
		m.Floors = append(m.Floors, &pb.Book_Level{Class: class, Level: a.floorLevels[class]})
	}
	for i := range a.periods {
		m.Spans = append(m.Spans, a.periods[i].toProto())
	}
	return m
}

// restore sets an account's state, apart from its terms, from a snapshot.
func (a *account) restore(m *pb.Book_Account) error {
	if share := m.GetPart(); len(m.GetSpans()) != periodCount || !(share > 0 && share <= 1) {
		return fmt.Errorf("found %d periods and quota share %v, expected one period per kind and a share above 0 and at most 1", len(m.GetSpans()), share)
	}
	a.accruedAt = m.GetAtUs()
	a.level = m.GetLevel()
	a.openCharges = int(m.GetOpen())
	a.borrowAllowance = m.GetMayBorrow()
	a.quotaShare = m.GetPart()
	a.inherited = m.GetRenewed()
	a.checkpointQueued = m.GetWaits()
	a.noLendingUntil = m.GetWantsUs()
	a.demandRate = m.GetAsking()
	a.demandUpdatedAt = m.GetAskedUs()
	a.demandSinceUpdate = m.GetAsked()
	a.counters = Counters{
		Admitted:       m.GetTaken(),
		OverQuota:      m.GetOver(),
		Rejected:       m.GetRefused(),
		AdmittedUnits:  m.GetTakenUnits(),
		OverQuotaUnits: m.GetOverUnits(),
		RejectedUnits:  m.GetRefusedUnits(),
		Borrowed:       m.GetBorrowed(),
		Used:           m.GetUsed(),
	}
	clear(a.floorLevels)
	for _, floor := range m.GetFloors() {
		a.floorLevels[floor.GetClass()] = floor.GetLevel()
	}
	for i, span := range m.GetSpans() {
		a.periods[i] = periodFromProto(span)
	}
	return nil
}

func (p *periodUsage) toProto() *pb.Book_Span {
	return &pb.Book_Span{
		Used:    p.used,
		Noticed: uint32(p.noticesSent),
		BegunUs: p.start,
		EndsUs:  p.end,
		Mark:    p.submitted,
		Kept:    p.durable,
		Handed:  p.checkpoint,
	}
}

func periodFromProto(m *pb.Book_Span) periodUsage {
	return periodUsage{
		used:        m.GetUsed(),
		noticesSent: uint8(m.GetNoticed()),
		start:       m.GetBegunUs(),
		end:         m.GetEndsUs(),
		submitted:   m.GetMark(),
		durable:     m.GetKept(),
		checkpoint:  m.GetHanded(),
	}
}

func (o *OpenCharge) toProto() *pb.Book_Open {
	c := o.Charge
	index := int64(c.account.index)
	if c.account.retired {
		index = retiredAccount
	}
	return &pb.Book_Open{
		Key:       o.Key,
		Account:   index,
		Class:     []byte(c.class),
		Read:      int64(c.Estimate.PromptTokens),
		Made:      int64(c.Estimate.OutputTokens),
		PriceRead: c.price.PromptToken,
		PriceMade: c.price.OutputToken,
		Units:     c.units,
		Beyond:    c.overQuota,
		PeriodsUs: c.periodStarts[:],
		Part:      c.quotaShare,
	}
}

// chargesFromProto decodes open charges and returns them by their keys.
func (l *Ledger) chargesFromProto(open []*pb.Book_Open) (map[uint64]*Charge, error) {
	charges := make(map[uint64]*Charge, len(open))
	for _, m := range open {
		index := m.GetAccount()
		if index >= int64(len(l.accounts)) || len(m.GetPeriodsUs()) != periodCount {
			return nil, fmt.Errorf("open charge on account %d: no such account, or not one period per kind", index)
		}
		c := &Charge{
			Estimate:     Usage{PromptTokens: int(m.GetRead()), OutputTokens: int(m.GetMade())},
			class:        string(m.GetClass()),
			price:        Price{PromptToken: m.GetPriceRead(), OutputToken: m.GetPriceMade()},
			units:        m.GetUnits(),
			overQuota:    m.GetBeyond(),
			periodStarts: [periodCount]balancer.Micros(m.GetPeriodsUs()),
			quotaShare:   m.GetPart(),
		}
		if index >= 0 {
			c.account = l.accounts[index]
		} else {
			c.account = &account{retired: true, quotaShare: 1}
		}
		charges[m.GetKey()] = c
	}
	return charges, nil
}
