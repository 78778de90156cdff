package config

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// scaledKeys are the keys that grow with a fleet, by section.
var scaledKeys = map[string]struct {
	key   string
	whole bool
}{"traffic": {"rate", false}, "workers": {"count", true}, "run": {"gateways", true}}

// planDefault is what a plan has where it does not say.
func planDefault(section, name string) string {
	label := "any"
	if slices.Contains(unlabelledSections, section) {
		label = ""
	}
	b := specBuilder{spec: defaultSpec()}
	keys := b.sectionKeys(section, label)
	return keys[slices.IndexFunc(keys, func(k keySpec) bool { return k.name == name })].defaultText
}

// ScalePlan is a plan's text for a fleet so many times as large: more requests a
// second, workers and gateways, with the same load for each worker. What a variant or a
// workload sets grows too. Beginnings that are shared stay as many. With
// keepGateways their number stays.
func ScalePlan(text string, times float64, keepGateways bool) (string, error) {
	if !(times > 0 && times <= 1e6) {
		return "", fmt.Errorf("times %v: expected above 0 and at most 1000000", times)
	}
	grow := func(section, value string) (string, error) {
		if section == "run" && keepGateways {
			return value, nil
		}
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return "", fmt.Errorf("%s.%s: expected a number, got %q", section, scaledKeys[section].key, value)
		}
		if v *= times; scaledKeys[section].whole {
			v = math.Max(1, math.Round(v))
		}
		return strconv.FormatFloat(v, 'f', -1, 64), nil
	}
	var out strings.Builder
	section, seen, sawRun := "", true, false
	var failed error
	end := func() { // what a section leaves to its default grows all the same
		if k, ok := scaledKeys[section]; ok && !seen {
			v, err := grow(section, planDefault(section, k.key))
			failed = errors.Join(failed, err)
			fmt.Fprintf(&out, "%s %s\n", k.key, v)
		}
	}
	for n, line := range strings.Split(strings.TrimRight(text, "\n"), "\n") {
		code, note, _ := strings.Cut(line, "#")
		f := strings.Fields(code)
		if note != "" {
			note = " #" + note
		}
		put := func(words ...string) { out.WriteString(strings.Join(words, " ") + note + "\n") }
		switch {
		case len(f) > 0 && strings.HasPrefix(f[0], "["):
			end()
			section, _, _ = strings.Cut(strings.Trim(strings.TrimSpace(code), "[] "), " ")
			seen, sawRun = false, sawRun || section == "run"
			out.WriteString(line + "\n")
		case len(f) >= 1 && f[0] == "include":
			return "", fmt.Errorf("line %d: include: write the plan into one file first", n+1)
		case len(f) == 2 && scaledKeys[section].key == f[0]:
			v, err := grow(section, f[1])
			failed = errors.Join(failed, err)
			seen = true
			put(f[0], v)
		case len(f) == 3 && f[0] == "set":
			parts := strings.Split(f[1], ".")
			if k, ok := scaledKeys[parts[0]]; ok && parts[len(parts)-1] == k.key {
				v, err := grow(parts[0], f[2])
				failed = errors.Join(failed, err)
				put(f[0], f[1], v)
				break
			}
			out.WriteString(line + "\n")
		default:
			out.WriteString(line + "\n")
		}
	}
	end()
	if !sawRun {
		section, seen = "run", false
		out.WriteString("[run]\n")
		end()
	}
	return out.String(), failed
}
