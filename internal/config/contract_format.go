package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"archknot/internal/contract"
)

// contractWriter writes the lines of a section [contract TEAM].
type contractWriter struct{ strings.Builder }

// FormatContract returns a contract as a section [contract TEAM] of a settings file,
// which loads to the same terms. Fractions of a second in From and Until are dropped.
func FormatContract(t *contract.Terms) string {
	var w contractWriter
	w.linef("\n[contract %s]", quoteWord(t.Team))
	w.linef("tenants %s", quoteWords(t.Tenants))
	if len(t.Classes) > 0 {
		w.linef("classes %s", quoteWords(t.Classes))
	}
	w.linef("rate %s", formatRate(t.Rate))
	w.linef("burst %d", t.Burst/contract.Token)
	w.linef("worth %s", formatFloat(t.PriorityWeight))
	w.linef("over %s", formatFloat(t.OverQuotaWeight))
	if t.Hard {
		w.linef("hard on")
	}
	for _, class := range slices.Sorted(maps.Keys(t.Prices)) {
		price := t.Prices[class]
		w.linef("price %s %s %s", quoteWord(class), formatFloat(price.PromptToken), formatFloat(price.OutputToken))
	}
	for _, class := range slices.Sorted(maps.Keys(t.Floors)) {
		w.linef("floor %s %s", quoteWord(class), formatRate(t.Floors[class]))
	}
	for _, budget := range t.Budgets {
		w.linef("budget %s %d %d", budget.Period, budget.Soft/contract.Token, budget.Hard/contract.Token)
	}
	w.writeOptional(t)
	return w.String()
}

// writeOptional writes the keys that are omitted at their defaults.
func (w *contractWriter) writeOptional(t *contract.Terms) {
	switch {
	case t.NoBorrow:
		w.linef("borrow none")
	case t.MaxBorrowRate > 0:
		w.linef("borrow %s", formatRate(t.MaxBorrowRate))
	}
	if t.SurgeFactor > 0 {
		w.linef("surge %s", formatFloat(t.SurgeFactor))
	}
	if t.Successor != "" {
		w.linef("successor %s", quoteWord(t.Successor))
	}
	w.writeTime("from", t.From)
	w.writeTime("until", t.Until)
}

// writeTime writes a Unix time in microseconds as RFC 3339 in UTC; it writes nothing for 0.
func (w *contractWriter) writeTime(key string, unix int64) {
	if unix != 0 {
		w.linef("%s %s", key, time.UnixMicro(unix).UTC().Format(time.RFC3339))
	}
}

func (w *contractWriter) linef(format string, args ...any) {
	fmt.Fprintf(w, format+"\n", args...)
}

// formatRate formats a rate in units per second as tokens per second.
func formatRate(units float64) string { return formatFloat(units / float64(contract.Token)) }

// quoteWords joins words with spaces, quoting each one that needs quotes in a file.
func quoteWords(words []string) string {
	quoted := make([]string, len(words))
	for i, word := range words {
		quoted[i] = quoteWord(word)
	}
	return strings.Join(quoted, " ")
}
