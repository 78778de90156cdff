package contract

import (
	"fmt"
	"slices"
	"unicode/utf8"
)

const (
	// maxNameBytes bounds the length of the names of teams, tenants and classes.
	maxNameBytes = 256
	// maxRate bounds a rate, in units per second.
	maxRate = 1e15
)

// TermsError reports a contract with invalid terms, by its team.
type TermsError struct {
	Team    string
	Problem string
}

// Error returns the team and the problem.
func (e *TermsError) Error() string { return fmt.Sprintf("contract %q: %s", e.Team, e.Problem) }

func (t *Terms) invalid(format string, args ...any) error {
	return &TermsError{Team: t.Team, Problem: fmt.Sprintf(format, args...)}
}

// ValidateTerms returns a TermsError for the first contract of a list that is invalid by
// itself or together with the others.
func ValidateTerms(terms []Terms) error {
	teams := map[string]bool{}
	for i := range terms {
		t := &terms[i]
		if t.Team == "" || teams[t.Team] {
			return t.invalid("no name, or two contracts of it")
		}
		teams[t.Team] = true
		if err := t.validate(); err != nil {
			return err
		}
	}
	return validateSuccessors(terms)
}

// validate checks one contract without regard to the others.
func (t *Terms) validate() error {
	for _, check := range []func() error{t.validateNumbers, t.validateNames, t.validateSurge, t.validateFloors, t.validatePrices, t.validateBudgets} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (t *Terms) validateNumbers() error {
	switch {
	case len(t.Tenants) == 0:
		return t.invalid("no tenants")
	case !(t.Rate > 0 && t.Rate < maxRate):
		return t.invalid("rate: expected above 0")
	case t.Burst < 0 || t.PriorityWeight < 0 || t.OverQuotaWeight < 0:
		return t.invalid("burst, worth, over: expected 0 or more")
	case t.Until != 0 && t.Until <= t.From:
		return t.invalid("it ends before it begins")
	}
	return nil
}

func (t *Terms) validateNames() error {
	for _, name := range slices.Concat([]string{t.Team, t.Successor}, t.Tenants, t.Classes) {
		if !utf8.ValidString(name) || len(name) > maxNameBytes {
			return t.invalid("name %q: expected UTF-8, at most %d bytes", name, maxNameBytes)
		}
	}
	return nil
}

func (t *Terms) validateSurge() error {
	if !(t.SurgeFactor >= 0) {
		return t.invalid("surge: expected 0 or more")
	}
	if !(t.MaxBorrowRate >= 0) {
		return t.invalid("borrow: expected 0 or more")
	}
	return nil
}

func (t *Terms) validateFloors() error {
	sum := 0.0
	for class, floor := range t.Floors {
		covered := len(t.Classes) == 0 || slices.Contains(t.Classes, class)
		if !(floor >= 0) || !covered {
			return t.invalid("floor of %q: expected 0 or more, of a class that it covers", class)
		}
		sum += floor
	}
	if sum > t.Rate {
		return t.invalid("the floors sum to %g, over the rate %g", sum, t.Rate)
	}
	return nil
}

func (t *Terms) validatePrices() error {
	for class, price := range t.Prices {
		if !(price.PromptToken >= 0 && price.OutputToken >= 0) {
			return t.invalid("price of %q: expected 0 or more", class)
		}
	}
	return nil
}

func (t *Terms) validateBudgets() error {
	var seen [periodCount]bool
	for _, budget := range t.Budgets {
		if budget.Period < periodCount && seen[budget.Period] {
			return t.invalid("two budgets by %s", budget.Period)
		}
		seen[min(budget.Period, Quarter)] = true
		softAboveHard := budget.Hard > 0 && budget.Soft > budget.Hard
		if budget.Soft < 0 || budget.Hard < 0 || softAboveHard || budget.Period > Quarter {
			return t.invalid("budget by %s: soft %d, hard %d", budget.Period, budget.Soft, budget.Hard)
		}
	}
	return nil
}

// validateSuccessors checks that each successor is in force when its predecessor ends, and
// has only one predecessor.
func validateSuccessors(terms []Terms) error {
	byTeam := map[string]*Terms{}
	for i := range terms {
		byTeam[terms[i].Team] = &terms[i]
	}
	predecessors := map[string]string{} // by successor
	for i := range terms {
		t := &terms[i]
		if t.Successor == "" {
			continue
		}
		if err := t.validateSuccessor(byTeam[t.Successor]); err != nil {
			return err
		}
		if other := predecessors[t.Successor]; other != "" {
			return t.invalid("%q is the successor of %q already", t.Successor, other)
		}
		predecessors[t.Successor] = t.Team
	}
	return nil
}

// validateSuccessor checks a contract against its successor, which is nil if no contract
// has that name.
func (t *Terms) validateSuccessor(successor *Terms) error {
	switch {
	case successor == nil || successor == t:
		return t.invalid("successor %q: no other contract of that name", t.Successor)
	case t.Until == 0:
		return t.invalid("successor %q: expected an end (until)", t.Successor)
	case successor.From > t.Until:
		return t.invalid("successor %q begins after the end", t.Successor)
	case successor.Until != 0 && successor.Until <= t.Until:
		return t.invalid("successor %q ends no later", t.Successor)
	}
	return nil
}
