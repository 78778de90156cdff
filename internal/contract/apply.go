package contract

import (
	"maps"
	"math"
	"slices"

	"archknot/balancer"
)

// ApplyTerms replaces the contracts. A team that already has a contract keeps its level
// and its usage; open charges are settled on the account that they were charged to. The
// error is a TermsError, and then nothing has changed.
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

// linkSuccessors links each account to the account of its successor, starts the current
// periods of all accounts, and queues the checkpoints that are due.
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

// applyTerms replaces an account's terms. The usage of its periods is kept.
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

// ApplySettings replaces the settings. Periods that have begun keep their bounds, also
// if the time zone changes.
func (l *Ledger) ApplySettings(s Settings) {
	l.settings = s.withDefaults()
	l.recomputeTotals()
}

// minQuotaShare is the lower bound of a gateway's quota share. Rates and usage are divided
// by the share, so it must not be 0.
const minQuotaShare = 1e-3

// SetQuotaShares sets this gateway's fraction of each contract, in the order of the
// contracts. The gateway gets that fraction of the rate and of the floors, and assumes
// that its own usage is that fraction of the team's usage. A share outside 0 to 1 is
// ignored, and so is a list of the wrong length.
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

// recomputeTotals sets totalRate and borrowPoolMax.
func (l *Ledger) recomputeTotals() {
	l.borrowPoolMax, l.totalRate = 0, 0
	for _, a := range l.accounts {
		l.totalRate += a.terms.Rate * a.quotaShare
		l.borrowPoolMax += a.terms.Rate * math.Sqrt(a.quotaShare) * l.settings.BorrowPoolSeconds
	}
	l.borrowPool = math.Min(l.borrowPool, l.borrowPoolMax)
}
