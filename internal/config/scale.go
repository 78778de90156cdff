package config

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// scaledKey is a key whose value is proportional to the size of a fleet.
type scaledKey struct {
	name  string
	isInt bool
}

// scaledKeys are the scaled keys, by section.
var scaledKeys = map[string]scaledKey{
	"traffic":  {name: "rate"},
	"workers":  {name: "count", isInt: true},
	runSection: {name: "gateways", isInt: true},
}

// maxScale is the maximum factor of ScalePlan.
const maxScale = 1e6

// ScalePlan returns the text of a plan for a fleet that is factor times as large. It
// multiplies the request rates and the numbers of replicas and gateways, also where a
// variant or a workload sets them, so that the load of each replica stays the same. The
// number of shared prefixes is not scaled, nor is the number of gateways if keepGateways
// is set. Plans with includes are rejected.
func ScalePlan(text string, factor float64, keepGateways bool) (string, error) {
	if !(factor > 0 && factor <= maxScale) {
		return "", fmt.Errorf("times %v: expected above 0 and at most 1000000", factor)
	}
	s := planScaler{factor: factor, keepGateways: keepGateways, hasScaledKey: true}
	for i, line := range strings.Split(strings.TrimRight(text, "\n"), "\n") {
		code, _, _ := strings.Cut(line, "#")
		if fields := strings.Fields(code); len(fields) > 0 && fields[0] == includeKey {
			return "", fmt.Errorf("line %d: include is not supported: merge the plan into one file first", i+1)
		}
		s.line(line)
	}
	s.endSection()
	if !s.hasRunSection {
		s.section, s.hasScaledKey = runSection, false
		s.out.WriteString("[" + runSection + "]\n")
		s.endSection()
	}
	return s.out.String(), errors.Join(s.errs...)
}

// planScaler scales a plan line by line.
type planScaler struct {
	factor        float64
	keepGateways  bool
	out           strings.Builder
	section       string // section of the current line
	hasScaledKey  bool   // the section sets its scaled key
	hasRunSection bool
	errs          []error
}

// line appends one line to the output, with the value of a scaled key multiplied.
func (s *planScaler) line(line string) {
	code, comment, _ := strings.Cut(line, "#")
	if comment != "" {
		comment = " #" + comment
	}
	fields := strings.Fields(code)
	switch {
	case len(fields) > 0 && strings.HasPrefix(fields[0], "["):
		s.endSection()
		s.section, _, _ = strings.Cut(strings.Trim(strings.TrimSpace(code), "[] "), " ")
		s.hasScaledKey = false
		s.hasRunSection = s.hasRunSection || s.section == runSection
	case len(fields) == 2 && scaledKeys[s.section].name == fields[0]:
		s.hasScaledKey = true
		line = fields[0] + " " + s.scaleValue(s.section, fields[1]) + comment
	case len(fields) == 3 && fields[0] == "set":
		target := strings.Split(fields[1], ".")
		if key, ok := scaledKeys[target[0]]; ok && target[len(target)-1] == key.name {
			line = fields[0] + " " + fields[1] + " " + s.scaleValue(target[0], fields[2]) + comment
		}
	}
	s.out.WriteString(line + "\n")
}

// endSection adds the scaled key to a section that leaves it at its default.
func (s *planScaler) endSection() {
	key, ok := scaledKeys[s.section]
	if ok && !s.hasScaledKey {
		s.out.WriteString(key.name + " " + s.scaleValue(s.section, planDefault(s.section, key.name)) + "\n")
	}
}

// scaleValue multiplies the value of a section's scaled key. Integers are rounded to at
// least 1.
func (s *planScaler) scaleValue(section, value string) string {
	if section == runSection && s.keepGateways {
		return value
	}
	key := scaledKeys[section]
	v, err := strconv.ParseFloat(value, 64)
	if err != nil {
		s.errs = append(s.errs, fmt.Errorf("%s.%s: expected a number, got %q", section, key.name, value))
		return ""
	}
	v *= s.factor
	if key.isInt {
		v = math.Max(1, math.Round(v))
	}
	return strconv.FormatFloat(v, 'f', -1, 64)
}

// planDefault returns the default of a key of a plan's section.
func planDefault(section, name string) string {
	label := "any"
	if isUnlabelledSection(section) {
		label = ""
	}
	b := specBuilder{spec: defaultSpec()}
	keys := b.sectionKeys(section, label)
	return keys[slices.IndexFunc(keys, func(k keySpec) bool { return k.name == name })].defaultText
}
