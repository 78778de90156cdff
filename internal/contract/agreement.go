package contract

import (
	"maps"
	"math"
	"slices"
	"time"

	"archknot/balancer"
)

// This gateway's parts of the contracts, and the terms that it has agreed to.

// ApplyTerms puts contracts in force. A team that goes on keeps its level and what it
// used; what is open is settled on the account it was charged to.
func (b *Ledger) ApplyTerms(now balancer.Micros, terms []Terms) error {
	if err := ValidateTerms(terms); err != nil {
		return err
	}
	b.advance(now)
	b.accrueAll()
	old := map[string]*account{}
	for _, a := range b.accounts {
		old[a.terms.Team] = a
	}
	b.accounts, b.byTenant = nil, map[string][]*account{}
	byTeam := map[string]*account{}
	for _, t := range terms {
		a := old[t.Team]
		if a == nil {
			a = &account{accruedAt: b.now, demandUpdatedAt: b.now, level: float64(t.Burst), floorLevels: map[string]float64{}, quotaShare: 1}
			for class, f := range t.Floors {
				a.floorLevels[class] = f
			}
		}
		delete(old, t.Team)
		a.applyTerms(t)
		a.index, a.successor, a.predecessor = len(b.accounts), nil, nil
		b.accounts = append(b.accounts, a)
		byTeam[t.Team] = a
		for _, name := range t.Tenants {
			b.byTenant[name] = append(b.byTenant[name], a)
		}
	}
	for _, a := range b.accounts {
		if a.successor = byTeam[a.terms.Successor]; a.successor != nil {
			a.successor.predecessor = a
		}
		a.rollPeriods(b.latestUnix, b.settings.Location)
		b.queueCheckpoint(a)
	}
	for _, a := range old {
		a.retired = true
	}
	b.recomputeTotals()
	return nil
}

// recomputeTotals sets how much idle shares may save up.
func (b *Ledger) recomputeTotals() {
	b.borrowPoolMax, b.totalRate = 0, 0
	for _, a := range b.accounts {
		b.totalRate += a.terms.Rate * a.quotaShare
		b.borrowPoolMax += a.terms.Rate * math.Sqrt(a.quotaShare) * b.settings.BorrowPoolSeconds
	}
	b.borrowPool = math.Min(b.borrowPool, b.borrowPoolMax)
}

// minQuotaShare is the smallest part of a contract that a gateway holds.
const minQuotaShare = 1e-3

// SetQuotaShares tells which part of each contract, in their order, this gateway is to
// hold from now on: rates and floors are so much of the contract's, and
// what is used here stands for that part of what the team uses in all. Others than
// numbers from 0 to 1 change nothing.
func (b *Ledger) SetQuotaShares(now balancer.Micros, parts []float64) {
	if len(parts) != len(b.accounts) {
		return
	}
	b.advance(now)
	b.accrueAll()
	for i, a := range b.accounts {
		if p := parts[i]; p >= 0 && p <= 1 {
			a.quotaShare = math.Max(minQuotaShare, p)
			a.level = math.Min(a.level, a.burst())
		}
	}
	b.recomputeTotals()
}

// burst is what may be saved up of a part of a contract. The chance that traffic
// has grows with the square root of its size: a part of the burst that was as small
// as the part of the rate would turn away what the rate allows.
func (a *account) burst() float64 { return float64(a.terms.Burst) * math.Sqrt(a.quotaShare) }

// fleetWide is what units used here stand for in all.
func fleetWide(u Units, part float64) Units {
	if part == 1 {
		return u
	}
	return Units(math.Round(float64(u) / part))
}

// ApplySettings puts other settings in force: periods that have begun go on to their end.
func (b *Ledger) ApplySettings(s Settings) {
	if s.Location == nil {
		s.Location = time.UTC
	}
	b.settings = s
	b.recomputeTotals()
}

// applyTerms changes an account's terms. What was used in the periods at hand goes on.
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
		a.coveredClasses = map[string]bool{}
		for _, c := range t.Classes {
			a.coveredClasses[c] = true
		}
	}
}
