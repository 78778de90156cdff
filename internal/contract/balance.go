package contract

import (
	"cmp"
	"slices"

	"archknot/balancer"
	pb "archknot/internal/contract/contractpb"
)

// Balances are written ahead of use. A balance contains the usage of a budget plus a
// reserve, and is written again when half of the reserve is used up. After a kill the
// stored usage counts as used. A kill thus costs a team at most the reserve, and grants
// no part of the budget twice as long as the disk writes a balance before the team has
// used the second half of the reserve. A strict ledger waits for the disk.

// Balance is the stored state of one team's account. Its usage counts as used after a
// restart.
type Balance struct {
	Team         string
	PeriodStarts [periodCount]balancer.Micros
	Used         [periodCount]Units
	Level        float64 // meaningful only if Clean
	Clean        bool    // written at a graceful shutdown: exact usage, without a reserve
	LatestUnix   balancer.Micros
}

// ToProto returns the stored form of a balance.
func (b *Balance) ToProto() *pb.Balance {
	m := &pb.Balance{Team: b.Team, Level: b.Level, Clean: b.Clean, LatestUs: b.LatestUnix}
	for i := range b.Used {
		m.Spans = append(m.Spans, &pb.Balance_Span{Period: uint32(i), BegunUs: b.PeriodStarts[i], Used: b.Used[i]})
	}
	return m
}

// BalanceFromProto decodes a balance. Unknown kinds of periods are skipped, and negative
// usage is read as 0.
func BalanceFromProto(m *pb.Balance) Balance {
	b := Balance{Team: m.GetTeam(), Level: m.GetLevel(), Clean: m.GetClean(), LatestUnix: m.GetLatestUs()}
	for _, span := range m.GetSpans() {
		if i := span.GetPeriod(); i < periodCount {
			b.PeriodStarts[i], b.Used[i] = span.GetBegunUs(), max(0, span.GetUsed())
		}
	}
	return b
}

// reserveFor returns the reserve of a budget, at least one token.
func (l *Ledger) reserveFor(budget *Budget) Units {
	return max(Token, Units(float64(budget.limit())*l.settings.ReserveFraction))
}

// queueCheckpoint queues an account for the next checkpoint if less than half of the
// reserve that was last submitted is left in one of its budgets.
func (l *Ledger) queueCheckpoint(a *account) {
	if l.settings.ReserveFraction <= 0 || a.checkpointQueued {
		return
	}
	for i := range a.terms.Budgets {
		budget := &a.terms.Budgets[i]
		period := &a.periods[budget.Period]
		if period.used+l.reserveFor(budget)/2 > period.submitted {
			l.enqueue(a)
			return
		}
	}
}

func (l *Ledger) enqueue(a *account) {
	a.checkpointQueued = true
	l.checkpointQueue = append(l.checkpointQueue, a)
}

// CheckpointDue reports whether balances must be written.
func (l *Ledger) CheckpointDue() bool { return len(l.checkpointQueue) > 0 }

// Checkpoint returns the balances that must be written, reserves included, and the number
// to pass to CheckpointDone when the write has ended.
func (l *Ledger) Checkpoint() (number uint64, balances []Balance) {
	l.lastCheckpoint++
	balances = make([]Balance, 0, len(l.checkpointQueue))
	slices.SortFunc(l.checkpointQueue, func(x, y *account) int { return cmp.Compare(x.index, y.index) })
	for _, a := range l.checkpointQueue {
		a.checkpointQueued = false
		if a.retired {
			continue
		}
		l.submit(a)
		balances = append(balances, a.balance(l.latestUnix))
	}
	l.checkpointQueue = l.checkpointQueue[:0]
	return l.lastCheckpoint, balances
}

// submit sets the usage that the current checkpoint contains for an account: the actual
// usage plus the reserve, capped at a hard limit.
func (l *Ledger) submit(a *account) {
	a.rollPeriods(l.latestUnix, l.settings.Location)
	for i := range a.terms.Budgets {
		budget := &a.terms.Budgets[i]
		period := &a.periods[budget.Period]
		period.checkpoint = l.lastCheckpoint
		period.submitted = period.used + l.reserveFor(budget)
		if budget.Hard > 0 {
			period.submitted = min(period.submitted, max(period.used, budget.Hard))
		}
	}
}

// balance returns an account's balance with the submitted usage.
func (a *account) balance(latestUnix balancer.Micros) Balance {
	b := Balance{Team: a.terms.Team, LatestUnix: latestUnix}
	for i := range a.periods {
		b.PeriodStarts[i], b.Used[i] = a.periods[i].start, max(a.periods[i].used, a.periods[i].submitted)
	}
	return b
}

// CheckpointDone reports the result of writing a checkpoint. The balances of a failed
// write are queued again. Number 0 is ignored.
func (l *Ledger) CheckpointDone(number uint64, written bool) {
	if number == 0 {
		return
	}
	for _, a := range l.accounts {
		for i := range a.periods {
			period := &a.periods[i]
			if period.checkpoint != number {
				continue
			}
			period.checkpoint = 0
			if written {
				period.durable = period.submitted
				continue
			}
			period.submitted = period.durable
			if !a.checkpointQueued {
				l.enqueue(a)
			}
		}
	}
}

// UnstoredUsage returns the largest usage of any budget that is not stored yet, in units:
// a kill now would grant it a second time. It is 0 without a store.
func (l *Ledger) UnstoredUsage() (most Units) {
	if l.settings.ReserveFraction <= 0 {
		return 0
	}
	for _, a := range l.accounts {
		for i := range a.terms.Budgets {
			period := &a.periods[a.terms.Budgets[i].Period]
			most = max(most, period.used-period.durable)
		}
	}
	return most
}

// FinalBalances returns the exact balances of all accounts, for a graceful
// shutdown.
func (l *Ledger) FinalBalances() []Balance {
	balances := make([]Balance, 0, len(l.accounts))
	for _, a := range l.accounts {
		b := Balance{Team: a.terms.Team, LatestUnix: l.latestUnix, Clean: true, Level: a.level}
		for i := range a.periods {
			b.PeriodStarts[i], b.Used[i] = a.periods[i].start, a.periods[i].used
		}
		balances = append(balances, b)
	}
	return balances
}

// maxClockAhead is how far a stored time may be ahead of the clock to be used as the
// latest time, so that a clock that was set back does not start periods again. A time
// further ahead is taken to have been wrong when it was stored.
const maxClockAhead balancer.Micros = 24 * 3600 * 1_000_000

// RestoreBalances loads stored balances into a new ledger. Stored usage counts as used
// if its period has not ended. After a kill levels start at 0, so that no burst is
// granted twice. It returns the number of balances that belong to a contract.
func (l *Ledger) RestoreBalances(stored []Balance) (restored int) {
	byTeam := l.accountsByTeam()
	for i := range stored {
		latest := stored[i].LatestUnix
		if latest > l.latestUnix && latest-l.latestUnix <= maxClockAhead {
			l.latestUnix = latest
		}
	}
	for i := range stored {
		a := byTeam[stored[i].Team]
		if a == nil {
			continue
		}
		restored++
		a.rollPeriods(l.latestUnix, l.settings.Location)
		a.restoreBalance(&stored[i])
		if a.predecessor != nil {
			// If the predecessor has ended, the stored balance includes its usage.
			a.inherited = !a.predecessor.inForce(l.latestUnix)
		}
		l.queueCheckpoint(a)
	}
	return restored
}

// restoreBalance sets an account's level, and the usage of periods that have not ended.
func (a *account) restoreBalance(stored *Balance) {
	a.level = 0
	if stored.Clean {
		a.level = max(-a.burst(), min(a.burst(), stored.Level))
	}
	for i := range a.periods {
		if period := &a.periods[i]; period.start == stored.PeriodStarts[i] {
			period.used, period.submitted, period.durable = stored.Used[i], stored.Used[i], stored.Used[i]
		}
	}
}
