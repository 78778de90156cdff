package lifecycle

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Unknown keys are reported with their position, at each level. Keys that are ignored on purpose are not
// reported, nor keys inside the known endpoint list.
func TestUnknownKeysAreReported(t *testing.T) {
	text := strings.Replace(validConfig, `"name":"n3",`, `"name":"n3","Administrator":"x",
 "odd":{"a":1},`, 1)
	text = strings.Replace(text, `"peers":true}`, `"peers":true,"cpuUsPerS":1,"burst":{"x":[1]}}`, 1)
	text = strings.Replace(text, `"streamed":true`, `"streamed":true,"colour":"red"`, 1)
	text = strings.Replace(text, `"weight":1}`, `"weight":1,"unknown":2}`, 1)
	c, err := loadText(t, text, nil)
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, u := range c.ReportedUnknownKeys {
		got = append(got, fmt.Sprintf("%d:%d: %s", u.Line, u.Column, u.Key))
	}
	want := []string{"1:14: Administrator", "2:2: odd", "7:93: settings.limits.burst", "8:114: settings.requestClasses.colour"}
	if diff := cmp.Diff(want, got); diff != "" || c.UnknownKeyCount != len(want) {
		t.Errorf("%d keys\n%s", c.UnknownKeyCount, diff)
	}
	if c, err = loadText(t, validConfig, nil); err != nil || c.UnknownKeyCount != 0 {
		t.Errorf("of a known configuration: %v, %v", c.ReportedUnknownKeys, err)
	}
	// The number of reported keys is bounded.
	many := strings.Replace(validConfig, `"name"`, strings.Repeat(`"x":1,`, 100)+`"name"`, 1)
	if c, err = loadText(t, many, nil); err != nil || len(c.ReportedUnknownKeys) != maxReportedUnknownKeys || c.UnknownKeyCount != 100 {
		t.Errorf("%d of %d keys are reported, %v", len(c.ReportedUnknownKeys), c.UnknownKeyCount, err)
	}
}

// Each ignored key belongs to an object that the program knows, and has a reason.
func TestIgnoredKeysAreKnown(t *testing.T) {
	known := knownKeys()
	for _, u := range ignoredKeys {
		at, path := known, strings.Split(strings.ToLower(u.key), ".")
		for _, name := range path[:len(path)-1] {
			at = at[name]
		}
		if _, ok := at[path[len(path)-1]]; !ok || u.reason == "" {
			t.Errorf("%s: not in the tree, or without a reason", u.key)
		}
	}
}
