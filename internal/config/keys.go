package config

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/agnivade/levenshtein"
	"github.com/dustin/go-humanize"

	"archknot/balancer"
)

// keySpec describes one key: its name, type, default and documentation. set parses the
// key's values into the variable that the key is bound to, get formats that variable.
type keySpec struct {
	name, valueType, defaultText, doc string
	set                               func(words []string) error
	get                               func() string
}

// pathType is the valueType of file paths and of network addresses.
const pathType = "path"

// mustSetDefault sets a key of a section to its default. It panics if the default is
// not a valid value.
func (k *keySpec) mustSetDefault(section string) {
	if err := k.set([]string{k.defaultText}); err != nil {
		panic(section + "." + k.name + ": invalid default: " + err.Error())
	}
}

// setDefaults sets all keys of a section that have a default.
func setDefaults(section string, keys []keySpec) {
	for i := range keys {
		if keys[i].defaultText != "" {
			keys[i].mustSetDefault(section)
		}
	}
}

func keyNames(keys []keySpec) []string {
	names := make([]string, len(keys))
	for i := range keys {
		names[i] = keys[i].name
	}
	return names
}

// newKey returns a key that takes exactly one value.
func newKey[T any](name, valueType string, to *T, defaultText, doc string, parse func(string) (T, error), format func(T) string) keySpec {
	set := func(words []string) error {
		if len(words) != 1 {
			return fmt.Errorf("expected one value (%s), got %d", valueType, len(words))
		}
		v, err := parse(words[0])
		if err != nil {
			return err
		}
		*to = v
		return nil
	}
	return keySpec{
		name:        name,
		valueType:   valueType,
		defaultText: defaultText,
		doc:         doc,
		set:         set,
		get:         func() string { return format(*to) },
	}
}

// checkRange returns an error unless minimum <= v <= maximum.
func checkRange[T cmp.Ordered](v, minimum, maximum T, format func(T) string) error {
	if v < minimum || v > maximum {
		return fmt.Errorf("expected %s to %s, got %s", format(minimum), format(maximum), format(v))
	}
	return nil
}

func identity(s string) string { return s }

func parseString(s string) (string, error) { return s, nil }

// pathKey returns the key of a path or an address, without a default.
func pathKey(name string, to *string, doc string) keySpec {
	return newKey(name, pathType, to, "", doc, parseString, identity)
}

// stringKey returns the key of an arbitrary name.
func stringKey(name string, to *string, defaultText, doc string) keySpec {
	return newKey(name, "name", to, defaultText, doc, parseString, identity)
}

// timeZoneKey returns the key of an IANA time zone name.
func timeZoneKey(name string, to *string, defaultText, doc string) keySpec {
	parse := func(s string) (string, error) {
		if _, err := time.LoadLocation(s); err != nil || s == "" {
			return "", fmt.Errorf("expected a time zone such as Australia/Hobart, got %q", s)
		}
		return s, nil
	}
	return newKey(name, "time zone", to, defaultText, doc, parse, identity)
}

// enumKey returns the key of a value that must be one of words.
func enumKey(name string, to *string, defaultText, doc string, words ...string) keySpec {
	parse := func(s string) (string, error) {
		if !slices.Contains(words, s) {
			return "", fmt.Errorf("expected %s, got %q%s", strings.Join(words, ", "), s, suggestWord(s, words))
		}
		return s, nil
	}
	return newKey(name, strings.Join(words, "|"), to, defaultText, doc, parse, identity)
}

// boolKey returns the key of a switch: on or off.
func boolKey(name string, to *bool, defaultText, doc string) keySpec {
	return newKey(name, "on|off", to, defaultText, doc, parseBool, formatBool)
}

func parseBool(s string) (bool, error) {
	switch s {
	case "on", "yes", "true":
		return true, nil
	case "off", "no", "false":
		return false, nil
	}
	return false, fmt.Errorf("expected on or off, got %q", s)
}

func formatBool(v bool) string {
	if v {
		return "on"
	}
	return "off"
}

// durationKey returns the key of a duration from minimum to maximum.
func durationKey(name string, to *time.Duration, defaultText string, minimum, maximum time.Duration, doc string) keySpec {
	parse := func(s string) (time.Duration, error) {
		v, err := time.ParseDuration(s)
		if err != nil {
			return 0, fmt.Errorf("expected a duration such as 30s or 5m, got %q", s)
		}
		return v, checkRange(v, minimum, maximum, formatDuration)
	}
	return newKey(name, "duration", to, defaultText, doc, parse, formatDuration)
}

// formatDuration formats a duration without trailing zero parts: 1h, not 1h0m0s.
func formatDuration(d time.Duration) string {
	s := strings.Replace(d.String(), "µs", "us", 1)
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

// convertedDurationKey returns the key of a duration that store converts and assigns.
func convertedDurationKey(name, defaultText string, minimum, maximum time.Duration, doc string, store func(time.Duration)) keySpec {
	var d time.Duration
	key := durationKey(name, &d, defaultText, minimum, maximum, doc)
	setDuration := key.set
	key.set = func(words []string) error {
		if err := setDuration(words); err != nil {
			return err
		}
		store(d)
		return nil
	}
	return key
}

// microsKey returns the key of a duration that is stored in whole microseconds.
func microsKey(name string, to *balancer.Micros, defaultText string, minimum, maximum time.Duration, doc string) keySpec {
	return convertedDurationKey(name, defaultText, minimum, maximum, doc, func(d time.Duration) { *to = d.Microseconds() })
}

// fractionalMicrosKey returns the key of a duration stored in fractional microseconds.
func fractionalMicrosKey(name string, to *float64, defaultText string, doc string) keySpec {
	return convertedDurationKey(name, defaultText, 0, time.Minute, doc, func(d time.Duration) { *to = float64(d.Nanoseconds()) / 1000 })
}

// secondsKey returns the key of a duration that is stored in seconds.
func secondsKey(name string, to *float64, defaultText, doc string) keySpec {
	return convertedDurationKey(name, defaultText, 0, 24*time.Hour, doc, func(d time.Duration) { *to = d.Seconds() })
}

// sizeKey returns the key of a size in bytes from minimum to maximum.
func sizeKey(name string, to *int64, defaultText string, minimum, maximum int64, doc string) keySpec {
	parse := func(s string) (int64, error) {
		v, err := humanize.ParseBytes(s)
		if err != nil || v > 1<<62 {
			return 0, fmt.Errorf("expected a size such as 64KiB or 8MiB, got %q", s)
		}
		return int64(v), checkRange(int64(v), minimum, maximum, formatSize)
	}
	return newKey(name, "size", to, defaultText, doc, parse, formatSize)
}

// formatSize formats a size in binary units such as MiB, rounded to whole units, or to
// tenths below 10.
func formatSize(v int64) string { return strings.ReplaceAll(humanize.IBytes(uint64(v)), " ", "") }

// intKey returns the key of an integer from minimum to maximum.
func intKey(name string, to *int, defaultText string, minimum, maximum int, doc string) keySpec {
	parse := func(s string) (int, error) {
		v, err := strconv.Atoi(s)
		if err != nil {
			return 0, fmt.Errorf("expected a whole number, got %q", s)
		}
		return v, checkRange(v, minimum, maximum, strconv.Itoa)
	}
	return newKey(name, "number", to, defaultText, doc, parse, strconv.Itoa)
}

const (
	// allIndices is the value of an indexKey that is set to allIndicesText.
	allIndices     = -1
	allIndicesText = "all"
)

// indexKey returns the key of an index from 0, or of all indices.
func indexKey(name string, to *int, doc string) keySpec {
	parse := func(s string) (int, error) {
		if s == allIndicesText {
			return allIndices, nil
		}
		v, err := strconv.Atoi(s)
		if err != nil || v < 0 {
			return 0, fmt.Errorf("expected all or an index from 0, got %q", s)
		}
		return v, nil
	}
	return newKey(name, "all|number", to, allIndicesText, doc, parse, strconv.Itoa)
}

// maxListLength is the maximum number of values of an intListKey.
const maxListLength = 20

// errNotIncreasing reports a list that is empty, too long or not strictly increasing.
var errNotIncreasing = errors.New("expected 1 to 20 numbers, each larger than the one before")

// intListKey returns the key of a strictly increasing list of integers, each from
// minimum to maximum.
func intListKey(name string, to *[]int, defaultText string, minimum, maximum int, doc string) keySpec {
	set := func(words []string) error {
		var list []int
		for _, word := range strings.Fields(strings.Join(words, " ")) {
			n, err := strconv.Atoi(word)
			if err != nil {
				return fmt.Errorf("expected whole numbers, got %q", word)
			}
			if err := checkRange(n, minimum, maximum, strconv.Itoa); err != nil {
				return err
			}
			list = append(list, n)
		}
		if len(list) == 0 || len(list) > maxListLength || !isIncreasing(list) {
			return errNotIncreasing
		}
		*to = list
		return nil
	}
	get := func() string {
		words := make([]string, len(*to))
		for i, n := range *to {
			words[i] = strconv.Itoa(n)
		}
		return strings.Join(words, " ")
	}
	return keySpec{name: name, valueType: "numbers", defaultText: defaultText, doc: doc, set: set, get: get}
}

// isIncreasing reports whether a list is strictly increasing.
func isIncreasing(list []int) bool {
	for i := 1; i < len(list); i++ {
		if list[i] <= list[i-1] {
			return false
		}
	}
	return true
}

// floatKey returns the key of a number from minimum to maximum.
func floatKey(name string, to *float64, defaultText string, minimum, maximum float64, doc string) keySpec {
	parse := func(s string) (float64, error) {
		v, err := strconv.ParseFloat(s, 64)
		if err != nil || math.IsNaN(v) {
			return 0, fmt.Errorf("expected a number, got %q", s)
		}
		return v, checkRange(v, minimum, maximum, formatFloat)
	}
	return newKey(name, "number", to, defaultText, doc, parse, formatFloat)
}

func formatFloat(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

// fractionKey returns the key of a fraction from 0 to 1, which may be set in percent.
func fractionKey(name string, to *float64, defaultText, doc string) keySpec {
	parse := func(s string) (float64, error) {
		text, percent := strings.CutSuffix(s, "%")
		v, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(v) {
			return 0, fmt.Errorf("expected a share such as 40%% or 0.4, got %q", s)
		}
		if percent {
			v /= 100
		}
		return v, checkRange(v, 0, 1, formatPercent)
	}
	return newKey(name, "share", to, defaultText, doc, parse, formatPercent)
}

func formatPercent(v float64) string { return formatFloat(v*100) + "%" }

// suggestWord returns the end of an error message about an unknown word: the closest
// known word by edit distance, or all known words if none is close.
func suggestWord(word string, known []string) string {
	closest, minDistance := "", len(word)/2+1
	for _, k := range known {
		if d := levenshtein.ComputeDistance(word, k); d < minDistance {
			closest, minDistance = k, d
		}
	}
	if closest == "" {
		return "; known: " + strings.Join(known, ", ")
	}
	return fmt.Sprintf("; did you mean %s?", closest)
}
