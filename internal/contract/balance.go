package contract

import (
	"cmp"
	"slices"

	"archknot/balancer"
	pb "archknot/internal/contract/contractpb"
)

// Balances are written ahead of use: a balance counts a reserve on top of what is
// used of a budget, and is written again when half of the reserve is used up. What
// was written counts as used after a kill. So a kill costs a team at most the
// reserve of the budget, and grants none of the budget twice as long as the disk
// writes half a reserve in the time that the team takes to use one. A strict ledger
// waits for the disk.

// Balance is the stored usage of one team: what counts as used after a
// restart.
type Balance struct {
	Team         string
	PeriodStarts [periodCount]balancer.Micros
	Used         [periodCount]Units
	Level        float64 // if Clean
	Clean        bool    // written at a graceful shutdown: exact, without a reserve
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

// BalanceFromProto returns the balance of a message. Periods that this build does
// not know are skipped.
func BalanceFromProto(m *pb.Balance) Balance {
	b := Balance{Team: m.GetTeam(), Level: m.GetLevel(), Clean: m.GetClean(), LatestUnix: m.GetLatestUs()}
	for _, span := range m.GetSpans() {
		if i := span.GetPeriod(); i < periodCount {
			b.PeriodStarts[i], b.Used[i] = span.GetBegunUs(), max(0, span.GetUsed())
		}
	}
	return b
}

// reserveFor returns how much more than the usage of a budget is written.
func (l *Ledger) reserveFor(budget *Budget) Units {
	return max(Token, Units(float64(budget.limit())*l.settings.ReserveFraction))
}

// queueCheckpoint queues an account for the next checkpoint if one of its budgets
// has used up half of the reserve that was last written.
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

// enqueue adds an account to the next checkpoint.
func (l *Ledger) enqueue(a *account) {
	a.checkpointQueued = true
	l.checkpointQueue = append(l.checkpointQueue, a)
}

// CheckpointDue reports whether balances must be written.
func (l *Ledger) CheckpointDue() bool { return len(l.checkpointQueue) > 0 }

// Checkpoint returns the balances that are due, with their reserves, and a number
// to call CheckpointDone with once they are written.
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

// submit sets what the checkpoint that is being made counts as used. With the
// reserve it does not go beyond a hard limit.
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

// balance returns an account's balance with what was submitted.
func (a *account) balance(latestUnix balancer.Micros) Balance {
	b := Balance{Team: a.terms.Team, LatestUnix: latestUnix}
	for i := range a.periods {
		b.PeriodStarts[i], b.Used[i] = a.periods[i].start, max(a.periods[i].used, a.periods[i].submitted)
	}
	return b
}

// CheckpointDone reports that a checkpoint is written, or that writing it failed:
// then its balances are due again.
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

// UnstoredUsage returns the most units of any budget that a kill now would grant
// again.
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

// maxClockAhead is how far a stored time may lie ahead of the clock and be
// believed, so that a clock that was set back keeps the periods it knew. A time
// further ahead was wrong when it was stored.
const maxClockAhead balancer.Micros = 24 * 3600 * 1_000_000

// RestoreBalances continues stored balances in a new ledger: what is stored counts
// as used, if its period has not ended. After a kill levels begin at 0, so that no
// burst is granted twice. It returns how many balances belong to a contract.
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
			// Once it has begun, its balance includes what its predecessor used.
			a.inherited = !a.predecessor.inForce(l.latestUnix)
		}
		l.queueCheckpoint(a)
	}
	return restored
}

// restoreBalance continues a stored balance in an account.
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
