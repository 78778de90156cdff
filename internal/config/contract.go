package config

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"archknot/internal/contract"
)

// Contracts are the teams' agreements: [contract TEAM] sections.
type Contracts struct {
	TimeZone            string // of days and quarters
	BorrowPool          time.Duration
	UnknownTenantWeight float64 // the worth of tenants without one; below 0 they are refused
	Teams               []contract.Terms

	StorePath       string // "": balances are not kept
	ReserveFraction float64
	Strict          bool
	Split           string
	Gateways        int
}

// LedgerSettings are the book's.
func (c *Contracts) LedgerSettings() contract.Settings {
	s := contract.Settings{Location: c.Location(), BorrowPoolSeconds: c.BorrowPool.Seconds(), UnknownTenantWeight: c.UnknownTenantWeight}
	if c.StorePath != "" {
		s.ReserveFraction, s.Strict = c.ReserveFraction, c.Strict
	}
	return s
}

// Location is the zone's.
func (c *Contracts) Location() *time.Location {
	l, err := time.LoadLocation(c.TimeZone)
	if err != nil {
		return time.UTC // the zone was checked when it was read
	}
	return l
}

// contractKeys are what may stand in a [contract TEAM] section. Those in repeats
// may stand more than once.
var (
	contractKeys           = []string{"tenants", "classes", "rate", "burst", "worth", "over", "hard", "price", "floor", "budget", "from", "until", "successor", "borrow", "surge"}
	repeatableContractKeys = []string{"price", "floor", "budget"}
)

// setContractKey enters one key of a team's contract. Rates, bursts and budgets are
// in tokens at price 1.
func setContractKey(t *contract.Terms, key string, words []string) error {
	need := func(n int, form string) error {
		if len(words) != n {
			return fmt.Errorf("expected %s, got %d words", form, len(words))
		}
		return nil
	}
	tokens := func(s string) (float64, error) {
		v, err := strconv.ParseFloat(s, 64)
		if err != nil || !(v >= 0 && v <= 1e12) {
			return 0, fmt.Errorf("expected tokens, 0 or more, got %q", s)
		}
		return v, nil
	}
	number := func(to *float64) error {
		if err := need(1, "one number"); err != nil {
			return err
		}
		v, err := strconv.ParseFloat(words[0], 64)
		if err != nil || !(v >= 0 && v <= 1e6) {
			return fmt.Errorf("expected a number, 0 or more, got %q", words[0])
		}
		*to = v
		return nil
	}
	switch key {
	case "tenants", "classes":
		if len(words) == 0 {
			return fmt.Errorf("expected one name or more")
		}
		if key == "tenants" {
			t.Tenants = words
		} else {
			t.Classes = words
		}
		return nil
	case "rate", "burst":
		if err := need(1, "one number of tokens"); err != nil {
			return err
		}
		v, err := tokens(words[0])
		if key == "rate" {
			t.Rate = v * float64(contract.Token)
		} else {
			t.Burst = contract.Units(v) * contract.Token
		}
		return err
	case "worth":
		return number(&t.PriorityWeight)
	case "over":
		return number(&t.OverQuotaWeight)
	case "surge":
		return number(&t.Surge)
	case "hard":
		if err := need(1, "on or off"); err != nil {
			return err
		}
		if words[0] != "on" && words[0] != "off" {
			return fmt.Errorf("expected on or off, got %q", words[0])
		}
		t.Hard = words[0] == "on"
		return nil
	case "successor":
		if err := need(1, "a contract's name"); err != nil {
			return err
		}
		t.Successor = words[0]
		return nil
	case "borrow":
		if err := need(1, "any, none, or tokens a second"); err != nil {
			return err
		}
		switch words[0] {
		case "any", "none":
			t.NoBorrow = words[0] == "none"
			return nil
		}
		v, err := tokens(words[0])
		if err == nil && v == 0 {
			return fmt.Errorf("expected any, none, or tokens a second above 0")
		}
		t.Borrow = v * float64(contract.Token)
		return err
	case "price":
		if err := need(3, "a class, the price of a token read and of one made"); err != nil {
			return err
		}
		read, err := tokens(words[1])
		if err != nil {
			return err
		}
		made, err := tokens(words[2])
		if t.Prices == nil {
			t.Prices = map[string]contract.Price{}
		}
		t.Prices[words[0]] = contract.Price{PromptToken: read, OutputToken: made}
		return err
	case "floor":
		if err := need(2, "a class and tokens a second"); err != nil {
			return err
		}
		v, err := tokens(words[1])
		if t.Floors == nil {
			t.Floors = map[string]float64{}
		}
		t.Floors[words[0]] = v * float64(contract.Token)
		return err
	case "budget":
		if err := need(3, "hour, day or quarter, the soft limit and the hard one"); err != nil {
			return err
		}
		p := slices.Index([]string{"hour", "day", "quarter"}, words[0])
		if p < 0 {
			return fmt.Errorf("expected hour, day or quarter, got %q", words[0])
		}
		soft, err := tokens(words[1])
		if err != nil {
			return err
		}
		hard, err := tokens(words[2])
		t.Budgets = append(t.Budgets, contract.Budget{Period: contract.Period(p), Soft: contract.Units(soft) * contract.Token, Hard: contract.Units(hard) * contract.Token})
		return err
	default: // from, until
		if err := need(1, "a time such as 2026-07-01T00:00:00+10:00"); err != nil {
			return err
		}
		at, err := time.Parse(time.RFC3339, words[0])
		if err != nil {
			return fmt.Errorf("expected a time such as 2026-07-01T00:00:00+10:00, got %q", words[0])
		}
		if key == "from" {
			t.From = at.UnixMicro()
		} else {
			t.Until = at.UnixMicro()
		}
		return nil
	}
}

// applyEntry enters one line of a [contract TEAM] section.
func (c *Contracts) applyEntry(r *reader, e entry, seen map[string]entry) {
	if e.label == "" {
		r.addProblem(e.file, e.sectionPos, "contract", "expected [contract TEAM]")
		return
	}
	full := "contract " + e.label + "." + e.setting.Key
	if !slices.Contains(contractKeys, e.setting.Key) {
		r.addProblem(e.file, e.setting.Pos, full, "unknown key%s", suggestWord(e.setting.Key, contractKeys))
		return
	}
	if was, twice := seen[full]; twice && !slices.Contains(repeatableContractKeys, e.setting.Key) {
		r.addProblem(e.file, e.setting.Pos, full, "given already at %s:%d", was.file, was.setting.Pos.Line)
		return
	}
	seen[full] = e
	i := slices.IndexFunc(c.Teams, func(t contract.Terms) bool { return t.Team == e.label })
	if i < 0 {
		i = len(c.Teams)
		c.Teams = append(c.Teams, contract.Terms{Team: e.label, OverQuotaWeight: 0.05})
	}
	if err := setContractKey(&c.Teams[i], e.setting.Key, e.setting.words()); err != nil {
		r.addProblem(e.file, e.setting.valuePos(), full, "%v", err)
	}
}

// FormatContract is a contract in the form of a file.
func FormatContract(t *contract.Terms) string {
	var b strings.Builder
	quote := func(words []string) string {
		out := make([]string, len(words))
		for i, w := range words {
			if out[i] = w; strings.ContainsAny(w, " \t#\"[]") {
				out[i] = strconv.Quote(w)
			}
		}
		return strings.Join(out, " ")
	}
	token := float64(contract.Token)
	fmt.Fprintf(&b, "\n[contract %s]\ntenants %s\n", quote([]string{t.Team}), quote(t.Tenants))
	if len(t.Classes) > 0 {
		fmt.Fprintf(&b, "classes %s\n", quote(t.Classes))
	}
	fmt.Fprintf(&b, "rate %s\nburst %d\nworth %s\nover %s\n", formatFloat(t.Rate/token), t.Burst/contract.Token, formatFloat(t.PriorityWeight), formatFloat(t.OverQuotaWeight))
	if t.Hard {
		b.WriteString("hard on\n")
	}
	for _, class := range slices.Sorted(maps.Keys(t.Prices)) {
		fmt.Fprintf(&b, "price %s %s %s\n", quote([]string{class}), formatFloat(t.Prices[class].PromptToken), formatFloat(t.Prices[class].OutputToken))
	}
	for _, class := range slices.Sorted(maps.Keys(t.Floors)) {
		fmt.Fprintf(&b, "floor %s %s\n", quote([]string{class}), formatFloat(t.Floors[class]/token))
	}
	for _, g := range t.Budgets {
		fmt.Fprintf(&b, "budget %s %d %d\n", g.Period, g.Soft/contract.Token, g.Hard/contract.Token)
	}
	switch {
	case t.NoBorrow:
		b.WriteString("borrow none\n")
	case t.Borrow > 0:
		fmt.Fprintf(&b, "borrow %s\n", formatFloat(t.Borrow/token))
	}
	if t.Surge > 0 {
		fmt.Fprintf(&b, "surge %s\n", formatFloat(t.Surge))
	}
	if t.Successor != "" {
		fmt.Fprintf(&b, "successor %s\n", quote([]string{t.Successor}))
	}
	for _, at := range []struct {
		key string
		us  int64
	}{{"from", t.From}, {"until", t.Until}} {
		if at.us != 0 {
			fmt.Fprintf(&b, "%s %s\n", at.key, time.UnixMicro(at.us).UTC().Format(time.RFC3339))
		}
	}
	return b.String()
}
