package fit

import (
	"cmp"
	"fmt"
	"math"
	"strings"
)

// Plan returns the [traffic] sections of a plan with the estimates of the streams. Keys without an estimate
// are left out.
func Plan(streams []Stream) string {
	var b strings.Builder
	for i := range streams {
		streams[i].writeSection(&b, i+1)
	}
	return b.String()
}

// writeSection writes the stream's section. number makes the names of sections of the same class unique.
func (s *Stream) writeSection(b *strings.Builder, number int) {
	writeValue := func(key, format string, v Value) {
		if v.N > 0 {
			fmt.Fprintf(b, "%s "+format+"\n", key, v.Value)
		}
	}
	fmt.Fprintf(b, "[traffic %s-%d]\n", sectionName(s.Class), number)
	fmt.Fprintf(b, "class %s\n", s.Class)
	if s.Tenant != "" {
		fmt.Fprintf(b, "tenant %s\n", s.Tenant)
	}
	writeValue("rate", "%.4g", s.Rate)
	writeValue("turns", "%.4g", s.Turns)
	writeValue("think", "%.3fs", s.Think)
	writeValue("prompt", "%.0f", s.Prompt.atLeast(1))
	writeValue("answer", "%.0f", s.Answer.atLeast(1))
	writeValue("spread", "%.3f", s.Spread)
	if s.MaxTokens > 0 {
		fmt.Fprintf(b, "most %d\n", s.MaxTokens)
	}
	writeValue("prefixes", "%.0f", s.Prefixes)
	writeValue("shared", "%.0f", s.PrefixTokens)
	b.WriteString("\n")
}

// atLeast returns a copy of the estimate whose value is at least minimum.
func (v Value) atLeast(minimum float64) Value {
	v.Value = math.Max(minimum, v.Value)
	return v
}

// sectionName returns a class's name with every character that is not allowed in a section name replaced by
// a hyphen.
func sectionName(class string) string {
	allowed := strings.Map(func(r rune) rune {
		if r == '-' || r == '_' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' {
			return r
		}
		return '-'
	}, class)
	return cmp.Or(allowed, "traffic")
}
