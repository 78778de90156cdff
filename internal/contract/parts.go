package contract

import (
	"maps"
	"math"
	"slices"
	"time"

	"archknot/choice"
)

// This gateway's parts of the contracts, and the terms that it has agreed to.

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
