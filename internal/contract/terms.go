package contract

import (
	"fmt"
	"math"
	"slices"
	"time"
	"unicode/utf8"

	"archknot/balancer"
)

// What a team is entitled to, and whether a set of terms can be kept.

// Token is one token at price 1.
const Token Units = 1000

// Price is what a token of a class costs, read from the prompt or made for the
// answer.
type Price struct {
	PromptToken float64 `json:"Read"`
	OutputToken float64 `json:"Made"`
}

// Terms are one contract.
type Terms struct {
	Team            string             `json:"Team"`
	Tenants         []string           `json:"Tenants"` // that it covers
	Classes         []string           `json:"Classes"` // that it covers; none: all
	Rate            float64            `json:"Rate"`    // units a second
	Burst           Units              `json:"Burst"`   // that may be saved up
	PriorityWeight  float64            `json:"Worth"`   // a factor on the class's worth; 0: 1
	OverQuotaWeight float64            `json:"Over"`    // the factor beyond the rate
	Hard            bool               `json:"Hard"`    // beyond the rate nothing is taken at all
	Prices          map[string]Price   `json:"Prices"`
	Floors          map[string]float64 `json:"Floors"` // units a second by class, that no other class of the team can take
	Budgets         []Budget           `json:"Budgets"`
	From            balancer.Micros    `json:"From"`  // Unix time from which it holds; 0: always has
	Until           balancer.Micros    `json:"Until"` // and until; 0: for good
	// Successor is the contract that takes this one's place at Until: it goes on
	// with the level, and with what was used in the periods at hand.
	Successor string `json:"Successor"`
	// Surge, where above 0: a team that lately asked for more than so many times its
	// rate competes beyond it with all that it sends, floors apart, not only with
	// what is too much.
	Surge    float64 `json:"Surge"`
	NoBorrow bool    `json:"NoBorrow"` // nothing of what others leave idle
	Borrow   float64 `json:"Borrow"`   // or at most so many units a second; 0: no bound
}

// Budget is what may be used in a period.
type Budget struct {
	Period Period `json:"Period"`
	Soft   Units  `json:"Soft"` // from here on requests compete as beyond the rate; 0: none
	Hard   Units  `json:"Hard"` // from here on they are refused; 0: none
}

// Period is a span of the calendar.
type Period uint8

const (
	Hour Period = iota
	Day
	Quarter // of the Australian business activity statement: July, October, January, April

	periodCount = 3
)

// Bounds gives the period that a moment lies in, in a zone. Days and quarters are
// the calendar's: a day with a change of the clock has 23 or 25 hours.
func (p Period) Bounds(unix balancer.Micros, zone *time.Location) (from, to balancer.Micros) {
	t := time.UnixMicro(unix).In(zone)
	var a, b time.Time
	switch p {
	case Hour: // of the time that passes: an hour that the clock has twice is two
		from = unix - floorMod(unix, time.Hour.Microseconds())
		return from, from + time.Hour.Microseconds()
	case Day:
		a = time.Date(t.Year(), t.Month(), t.Day(), 0, 0, 0, 0, zone)
		b = time.Date(t.Year(), t.Month(), t.Day()+1, 0, 0, 0, 0, zone)
	default:
		m := (t.Month()-1)/3*3 + 1
		a = time.Date(t.Year(), m, 1, 0, 0, 0, 0, zone)
		b = time.Date(t.Year(), m+3, 1, 0, 0, 0, 0, zone)
	}
	return a.UnixMicro(), b.UnixMicro()
}

func floorMod(a, b int64) int64 { return ((a % b) + b) % b }

func (p Period) String() string { return [...]string{"hour", "day", "quarter"}[min(p, 2)] }

// ValidateTerms tells what is wrong with contracts.
func ValidateTerms(terms []Terms) error {
	teams := map[string]bool{}
	for _, t := range terms {
		bad := func(format string, args ...any) error {
			return fmt.Errorf("contract %q: "+format, append([]any{t.Team}, args...)...)
		}
		switch {
		case t.Team == "" || teams[t.Team]:
			return bad("no name, or two contracts of it")
		case len(t.Tenants) == 0:
			return bad("no tenants")
		case !(t.Rate > 0 && t.Rate < 1e15):
			return bad("rate: expected above 0")
		case t.Burst < 0 || t.PriorityWeight < 0 || t.OverQuotaWeight < 0:
			return bad("burst, worth, over: expected 0 or more")
		case t.Until != 0 && t.Until <= t.From:
			return bad("it ends before it begins")
		}
		teams[t.Team] = true
		for _, word := range append(append([]string{t.Team, t.Successor}, t.Tenants...), t.Classes...) {
			if !utf8.ValidString(word) || len(word) > maxNameBytes {
				return bad("name %q: expected UTF-8, at most %d bytes", word, maxNameBytes)
			}
		}
		if !(t.Surge >= 0) {
			return bad("surge: expected 0 or more")
		}
		if !(t.Borrow >= 0) {
			return bad("borrow: expected 0 or more")
		}
		floors := 0.0
		for class, f := range t.Floors {
			if !(f >= 0) || len(t.Classes) > 0 && !slices.Contains(t.Classes, class) {
				return bad("floor of %q: expected 0 or more, of a class that it covers", class)
			}
			floors += f
		}
		if floors > t.Rate {
			return bad("the floors sum to %g, over the rate %g", floors, t.Rate)
		}
		for class, p := range t.Prices {
			if !(p.PromptToken >= 0 && p.OutputToken >= 0) {
				return bad("price of %q: expected 0 or more", class)
			}
		}
		var seen [periodCount]bool
		for _, g := range t.Budgets {
			if g.Period < periodCount && seen[g.Period] {
				return bad("two budgets by %s", g.Period)
			}
			seen[min(g.Period, Quarter)] = true
			if g.Soft < 0 || g.Hard < 0 || g.Hard > 0 && g.Soft > g.Hard || g.Period > Quarter {
				return bad("budget by %s: soft %d, hard %d", g.Period, g.Soft, g.Hard)
			}
		}
	}
	return validateSuccessors(terms)
}

// maxNameBytes bounds names of teams, tenants and classes, in bytes.
const maxNameBytes = 256

// validateSuccessors tells what is wrong with how contracts follow each other.
func validateSuccessors(terms []Terms) error {
	byTeam, heirs := map[string]*Terms{}, map[string]string{}
	for i := range terms {
		byTeam[terms[i].Team] = &terms[i]
	}
	for i := range terms {
		t := &terms[i]
		if t.Successor == "" {
			continue
		}
		next := byTeam[t.Successor]
		switch {
		case next == nil || next == t:
			return fmt.Errorf("contract %q: successor %q: no other contract of that name", t.Team, t.Successor)
		case t.Until == 0:
			return fmt.Errorf("contract %q: successor %q: expected an end (until)", t.Team, t.Successor)
		case next.From > t.Until:
			return fmt.Errorf("contract %q: successor %q begins after the end", t.Team, t.Successor)
		case next.Until != 0 && next.Until <= t.Until:
			return fmt.Errorf("contract %q: successor %q ends no later", t.Team, t.Successor)
		case heirs[t.Successor] != "":
			return fmt.Errorf("contract %q: %q is the successor of %q already", t.Team, t.Successor, heirs[t.Successor])
		}
		heirs[t.Successor] = t.Team
	}
	return nil
}

func (t *Terms) priceOf(class string) Price {
	if p, ok := t.Prices[class]; ok {
		return p
	}
	return Price{1, 1}
}

func (p Price) cost(u Usage) Units {
	return Units(math.Round(float64(Token) * (p.PromptToken*float64(u.PromptTokens) + p.OutputToken*float64(u.OutputTokens))))
}
