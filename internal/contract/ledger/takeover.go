package ledger

import (
	"archknot/internal/contract"
)

// In an upgrade the old process has the database open until it ends. The new one starts from a copy of the balances,
// and its first write adds the usage that the old process has stored since then.

// usageSince returns the usage of each team that now has and before lacks.
func usageSince(before, now []contract.Balance) map[string]contract.Balance {
	earlier := make(map[string]contract.Balance, len(before))
	for _, balance := range before {
		earlier[balance.Team] = balance
	}
	usage := map[string]contract.Balance{}
	for _, balance := range now {
		since := contract.Balance{Team: balance.Team, PeriodStarts: balance.PeriodStarts, Used: balance.Used}
		previous := earlier[balance.Team]
		for period := range since.Used {
			if previous.PeriodStarts[period] == since.PeriodStarts[period] {
				since.Used[period] -= previous.Used[period]
			}
		}
		if since.Used != (contract.Balance{}).Used {
			usage[balance.Team] = since
		}
	}
	return usage
}

// addUsage adds usage to a balance, for the periods that are the same.
func addUsage(balance, usage contract.Balance) contract.Balance {
	for period := range balance.Used {
		if balance.PeriodStarts[period] == usage.PeriodStarts[period] {
			balance.Used[period] = max(0, balance.Used[period]+usage.Used[period])
		}
	}
	return balance
}

// HasInheritedUsage reports whether the store has usage of the process before that the caller's ledger lacks.
func (s *Store) HasInheritedUsage() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.inherited) > 0
}

// TakeInheritedUsage adds that usage to the balances of the caller's ledger. The caller replaces the ledger by one with
// these balances before it writes again, because the store no longer adds the usage itself.
func (s *Store) TakeInheritedUsage(balances []contract.Balance) []contract.Balance {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := make([]contract.Balance, len(balances))
	for i, balance := range balances {
		sum[i] = addUsage(balance, s.inherited[balance.Team])
	}
	s.inherited = nil
	return sum
}
