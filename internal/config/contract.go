package config

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"archknot/internal/contract"
)

// Contracts configures the contracts of teams: the section [contracts] holds the common
// settings, a section [contract TEAM] the terms of each team.
type Contracts struct {
	TimeZone            string        // of the days and quarters of budgets
	BorrowPool          time.Duration // capacity of the pool for borrowing, as time at the sum of all rates
	UnknownTenantWeight float64       // priority weight of tenants without a contract; below 0: they are rejected
	Teams               []contract.Terms

	StorePath       string  // "": balances are not stored
	ReserveFraction float64 // of a budget, stored as used in advance
	Strict          bool    // reject usage that the store has not yet recorded
	Split           string  // strategy that divides quotas among gateways: "whole", "equal", "front" or "alone"
	Gateways        int     // number of gateways, for the strategy "equal"
}

// LedgerSettings returns the settings of the ledger. Without a store, ReserveFraction
// and Strict do not apply.
func (c *Contracts) LedgerSettings() contract.Settings {
	s := contract.Settings{Location: c.Location(), BorrowPoolSeconds: c.BorrowPool.Seconds(), UnknownTenantWeight: c.UnknownTenantWeight}
	if c.StorePath != "" {
		s.ReserveFraction, s.Strict = c.ReserveFraction, c.Strict
	}
	return s
}

// Location returns the time zone of days and quarters, or UTC if TimeZone is unknown.
func (c *Contracts) Location() *time.Location {
	location, err := time.LoadLocation(c.TimeZone)
	if err != nil {
		return time.UTC // unreachable for a loaded file: timeZoneKey validates the name
	}
	return location
}

// defaultOverQuotaWeight is the priority weight factor beyond the rate of a contract
// that does not set `over`.
const defaultOverQuotaWeight = 0.05

// contractKey is one key of a section [contract TEAM].
type contractKey struct {
	name       string
	repeatable bool // may be set more than once
	set        func(t *contract.Terms, words []string) error
}

// contractKeys are all keys of a section [contract TEAM]. Rates, bursts and budgets
// are in tokens at price 1.
var contractKeys = []contractKey{
	{name: "tenants", set: func(t *contract.Terms, words []string) error { return setNames(&t.Tenants, words) }},
	{name: "classes", set: func(t *contract.Terms, words []string) error { return setNames(&t.Classes, words) }},
	{name: "rate", set: setRate},
	{name: "burst", set: setBurst},
	{name: "worth", set: func(t *contract.Terms, words []string) error { return setNumber(&t.PriorityWeight, words) }},
	{name: "over", set: func(t *contract.Terms, words []string) error { return setNumber(&t.OverQuotaWeight, words) }},
	{name: "hard", set: setHard},
	{name: "price", repeatable: true, set: setPrice},
	{name: "floor", repeatable: true, set: setFloor},
	{name: "budget", repeatable: true, set: setBudget},
	{name: "from", set: func(t *contract.Terms, words []string) error { return setTime(&t.From, words) }},
	{name: "until", set: func(t *contract.Terms, words []string) error { return setTime(&t.Until, words) }},
	{name: "successor", set: setSuccessor},
	{name: "borrow", set: setBorrow},
	{name: "surge", set: func(t *contract.Terms, words []string) error { return setNumber(&t.SurgeFactor, words) }},
}

// contractKeyIndex returns the index of a key in contractKeys, -1 if it is unknown.
func contractKeyIndex(name string) int {
	return slices.IndexFunc(contractKeys, func(k contractKey) bool { return k.name == name })
}

// isRepeatable reports whether a key of a contract may be set more than once.
func isRepeatable(name string) bool {
	i := contractKeyIndex(name)
	return i >= 0 && contractKeys[i].repeatable
}

func contractKeyNames() []string {
	names := make([]string, len(contractKeys))
	for i := range contractKeys {
		names[i] = contractKeys[i].name
	}
	return names
}

// applyEntry sets one key of a section [contract TEAM], or adds an error to r. seen holds
// the entries of the keys set so far, by full name.
func (c *Contracts) applyEntry(r *reader, e entry, seen map[string]entry) {
	if e.label == "" {
		r.addProblem(e.file, e.sectionPos, contractSection, "expected [contract TEAM]")
		return
	}
	fullName := contractSection + " " + e.label + "." + e.setting.Key
	i := contractKeyIndex(e.setting.Key)
	if i < 0 {
		r.addProblem(e.file, e.setting.Pos, fullName, "unknown key%s", suggestWord(e.setting.Key, contractKeyNames()))
		return
	}
	key := &contractKeys[i]
	if earlier, found := seen[fullName]; found && !key.repeatable {
		r.addProblem(e.file, e.setting.Pos, fullName, "given already at %s:%d", earlier.file, earlier.setting.Pos.Line)
		return
	}
	seen[fullName] = e
	if err := key.set(c.team(e.label), e.setting.words()); err != nil {
		r.addProblem(e.file, e.setting.valuePos(), fullName, "%v", err)
	}
}

// team returns the contract of a team, adding one with the defaults if it is new.
func (c *Contracts) team(name string) *contract.Terms {
	i := slices.IndexFunc(c.Teams, func(t contract.Terms) bool { return t.Team == name })
	if i < 0 {
		i = len(c.Teams)
		c.Teams = append(c.Teams, contract.Terms{Team: name, OverQuotaWeight: defaultOverQuotaWeight})
	}
	return &c.Teams[i]
}

const (
	// maxTokens bounds rates, bursts, budgets, floors, borrowing and prices.
	maxTokens = 1e12
	// maxWeight bounds priority weights and the surge factor.
	maxWeight = 1e6
)

// expectWords returns an error unless there are n words; form describes them.
func expectWords(words []string, n int, form string) error {
	if len(words) != n {
		return fmt.Errorf("expected %s, got %d words", form, len(words))
	}
	return nil
}

// parseTokens parses a number of tokens from 0 to maxTokens.
func parseTokens(s string) (float64, error) {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || !(v >= 0 && v <= maxTokens) {
		return 0, fmt.Errorf("expected a number of tokens from 0 to 1e12, got %q", s)
	}
	return v, nil
}

// tokensToRate converts tokens per second to units per second.
func tokensToRate(tokens float64) float64 { return tokens * float64(contract.Token) }

// tokensToUnits converts tokens to units. A fraction of a token is dropped.
func tokensToUnits(tokens float64) contract.Units { return contract.Units(tokens) * contract.Token }

func setNames(to *[]string, words []string) error {
	if len(words) == 0 {
		return errors.New("expected at least one name")
	}
	*to = words
	return nil
}

func setNumber(to *float64, words []string) error {
	if err := expectWords(words, 1, "one number"); err != nil {
		return err
	}
	v, err := strconv.ParseFloat(words[0], 64)
	if err != nil || !(v >= 0 && v <= maxWeight) {
		return fmt.Errorf("expected a number from 0 to 1e6, got %q", words[0])
	}
	*to = v
	return nil
}

func setTime(to *int64, words []string) error {
	if err := expectWords(words, 1, "a time such as 2026-07-01T00:00:00+10:00"); err != nil {
		return err
	}
	at, err := time.Parse(time.RFC3339, words[0])
	if err != nil {
		return fmt.Errorf("expected a time such as 2026-07-01T00:00:00+10:00, got %q", words[0])
	}
	*to = at.UnixMicro()
	return nil
}

// parseSingleTokens parses a value that consists of one number of tokens.
func parseSingleTokens(words []string) (float64, error) {
	if err := expectWords(words, 1, "one number of tokens"); err != nil {
		return 0, err
	}
	return parseTokens(words[0])
}

func setRate(t *contract.Terms, words []string) error {
	tokens, err := parseSingleTokens(words)
	if err != nil {
		return err
	}
	t.Rate = tokensToRate(tokens)
	return nil
}

func setBurst(t *contract.Terms, words []string) error {
	tokens, err := parseSingleTokens(words)
	if err != nil {
		return err
	}
	t.Burst = tokensToUnits(tokens)
	return nil
}

func setHard(t *contract.Terms, words []string) error {
	if err := expectWords(words, 1, "on or off"); err != nil {
		return err
	}
	if words[0] != "on" && words[0] != "off" {
		return fmt.Errorf("expected on or off, got %q", words[0])
	}
	t.Hard = words[0] == "on"
	return nil
}

func setSuccessor(t *contract.Terms, words []string) error {
	if err := expectWords(words, 1, "a contract's name"); err != nil {
		return err
	}
	t.Successor = words[0]
	return nil
}

func setBorrow(t *contract.Terms, words []string) error {
	if err := expectWords(words, 1, "any, none or a number of tokens per second"); err != nil {
		return err
	}
	if words[0] == "any" || words[0] == "none" {
		t.NoBorrow = words[0] == "none"
		return nil
	}
	tokens, err := parseTokens(words[0])
	if err != nil {
		return err
	}
	if tokens == 0 {
		return errors.New("expected any, none or tokens per second above 0, got 0")
	}
	t.MaxBorrowRate = tokensToRate(tokens)
	return nil
}

func setPrice(t *contract.Terms, words []string) error {
	if err := expectWords(words, 3, "a class, the price of a prompt token and the price of an output token"); err != nil {
		return err
	}
	prompt, err := parseTokens(words[1])
	if err != nil {
		return err
	}
	output, err := parseTokens(words[2])
	if err != nil {
		return err
	}
	if t.Prices == nil {
		t.Prices = map[string]contract.Price{}
	}
	t.Prices[words[0]] = contract.Price{PromptToken: prompt, OutputToken: output}
	return nil
}

func setFloor(t *contract.Terms, words []string) error {
	if err := expectWords(words, 2, "a class and tokens a second"); err != nil {
		return err
	}
	tokens, err := parseTokens(words[1])
	if err != nil {
		return err
	}
	if t.Floors == nil {
		t.Floors = map[string]float64{}
	}
	t.Floors[words[0]] = tokensToRate(tokens)
	return nil
}

func setBudget(t *contract.Terms, words []string) error {
	if err := expectWords(words, 3, "a period (hour, day or quarter), a soft limit and a hard limit"); err != nil {
		return err
	}
	period, err := parsePeriod(words[0])
	if err != nil {
		return err
	}
	soft, err := parseTokens(words[1])
	if err != nil {
		return err
	}
	hard, err := parseTokens(words[2])
	if err != nil {
		return err
	}
	t.Budgets = append(t.Budgets, contract.Budget{Period: period, Soft: tokensToUnits(soft), Hard: tokensToUnits(hard)})
	return nil
}

func parsePeriod(word string) (contract.Period, error) {
	for _, period := range []contract.Period{contract.Hour, contract.Day, contract.Quarter} {
		if word == period.String() {
			return period, nil
		}
	}
	return 0, fmt.Errorf("expected hour, day or quarter, got %q", word)
}
