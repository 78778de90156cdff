package contract

import (
	"maps"
	"math"
	"slices"

	"archknot/balancer"
)

// ApplyTerms puts contracts in force in place of the present ones. A team that has
// a contract already keeps its level and its usage; open charges are settled on the
// account that they were charged to. On an error, a TermsError, nothing changes.
func (l *Ledger) ApplyTerms(now balancer.Micros, terms []Terms) error {
	if err := ValidateTerms(terms); err != nil {
		return err
	}
	l.advance(now)
	l.accrueAll()
	previous := l.accountsByTeam()
	l.accounts, l.byTenant = nil, map[string][]*account{}
	for i := range terms {
		t := &terms[i]
		a := previous[t.Team]
		if a == nil {
			a = newAccount(t, l.now)
		}
		delete(previous, t.Team)
		l.addAccount(a, t)
	}
	l.linkSuccessors()
	for _, a := range previous {
		a.retired = true
	}
	l.recomputeTotals()
	return nil
}

// accountsByTeam indexes the accounts by the names of their teams.
func (l *Ledger) accountsByTeam() map[string]*account {
	byTeam := make(map[string]*account, len(l.accounts))
	for _, a := range l.accounts {
		byTeam[a.terms.Team] = a
	}
	return byTeam
}

// addAccount appends an account under its new terms.
func (l *Ledger) addAccount(a *account, t *Terms) {
	a.applyTerms(*t)
	a.index = len(l.accounts)
	a.successor, a.predecessor = nil, nil
	l.accounts = append(l.accounts, a)
	for _, tenant := range t.Tenants {
		l.byTenant[tenant] = append(l.byTenant[tenant], a)
	}
}

// linkSuccessors links each account to that of its successor, and starts the
// periods of all.
func (l *Ledger) linkSuccessors() {
	byTeam := l.accountsByTeam()
	for _, a := range l.accounts {
		if a.successor = byTeam[a.terms.Successor]; a.successor != nil {
			a.successor.predecessor = a
		}
		a.rollPeriods(l.latestUnix, l.settings.Location)
		l.queueCheckpoint(a)
	}
}

// applyTerms changes an account's terms. The usage of its periods stays.
func (a *account) applyTerms(t Terms) {
	a.terms, a.retired = t, false
	a.floorClasses = slices.Sorted(maps.Keys(t.Floors))
	a.level = math.Min(a.level, a.burst())
	for class := range a.floorLevels {
		if _, ok := t.Floors[class]; !ok {
			delete(a.floorLevels, class)
		}
	}
	a.coveredClasses = nil
	if len(t.Classes) > 0 {
		a.coveredClasses = make(map[string]bool, len(t.Classes))
		for _, class := range t.Classes {
			a.coveredClasses[class] = true
		}
	}
}

// ApplySettings puts other settings in force. Periods that have begun run to their
// end as they are.
func (l *Ledger) ApplySettings(s Settings) {
	l.settings = s.withDefaults()
	l.recomputeTotals()
}

// minQuotaShare is the smallest share of a contract that a gateway has.
const minQuotaShare = 1e-3

// SetQuotaShares sets this gateway's share of each contract, in their order: it has
// that share of the rate and of the floors, and takes its own usage for that share
// of the team's. Shares that are not from 0 to 1 are ignored, and so is a list of
// the wrong length.
func (l *Ledger) SetQuotaShares(now balancer.Micros, shares []float64) {
	if len(shares) != len(l.accounts) {
		return
	}
	l.advance(now)
	l.accrueAll()
	for i, a := range l.accounts {
		if share := shares[i]; share >= 0 && share <= 1 {
			a.quotaShare = math.Max(minQuotaShare, share)
			a.level = math.Min(a.level, a.burst())
		}
	}
	l.recomputeTotals()
}

// recomputeTotals sets the sum of the rates and the bound of the pool.
func (l *Ledger) recomputeTotals() {
	l.borrowPoolMax, l.totalRate = 0, 0
	for _, a := range l.accounts {
		l.totalRate += a.terms.Rate * a.quotaShare
		l.borrowPoolMax += a.terms.Rate * math.Sqrt(a.quotaShare) * l.settings.BorrowPoolSeconds
	}
	l.borrowPool = math.Min(l.borrowPool, l.borrowPoolMax)
}
