package config

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// scaledKey is a key that grows with a fleet.
type scaledKey struct {
	name  string
	isInt bool
}

// scaledKeys are the keys that grow with a fleet, by section.
var scaledKeys = map[string]scaledKey{
	"traffic":  {name: "rate"},
	"workers":  {name: "count", isInt: true},
	runSection: {name: "gateways", isInt: true},
}

// maxScale bounds the factor of ScalePlan.
const maxScale = 1e6

// ScalePlan returns a plan's text for a fleet that is so many times as large: more
// requests a second, replicas and gateways, with the same load for each replica.
// What a variant or a workload sets grows too. The number of shared prefixes stays,
// and with keepGateways the number of gateways.
func ScalePlan(text string, factor float64, keepGateways bool) (string, error) {
	if !(factor > 0 && factor <= maxScale) {
		return "", fmt.Errorf("times %v: expected above 0 and at most 1000000", factor)
	}
	s := planScaler{factor: factor, keepGateways: keepGateways, hasScaledKey: true}
	for i, line := range strings.Split(strings.TrimRight(text, "\n"), "\n") {
		code, _, _ := strings.Cut(line, "#")
		if fields := strings.Fields(code); len(fields) > 0 && fields[0] == includeKey {
			return "", fmt.Errorf("line %d: include: write the plan into one file first", i+1)
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
	section       string // of the current line
	hasScaledKey  bool   // the section's scaled key was given
	hasRunSection bool
	errs          []error
}

// line scales one line.
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

// endSection adds the scaled key that a section left at its default.
func (s *planScaler) endSection() {
	key, ok := scaledKeys[s.section]
	if ok && !s.hasScaledKey {
		s.out.WriteString(key.name + " " + s.scaleValue(s.section, planDefault(s.section, key.name)) + "\n")
	}
}

// scaleValue scales the value of a section's key.
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

// planDefault returns the default of a plan's key.
func planDefault(section, name string) string {
	label := "any"
	if isUnlabelledSection(section) {
		label = ""
	}
	b := specBuilder{spec: defaultSpec()}
	keys := b.sectionKeys(section, label)
	return keys[slices.IndexFunc(keys, func(k keySpec) bool { return k.name == name })].defaultText
}
