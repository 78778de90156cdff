package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"archknot/internal/contract"
)

func writeFile(t *testing.T, dir, name, text string) string {
	t.Helper()
	p := filepath.Join(dir, name)
	if err := os.WriteFile(p, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return p
}

func TestLoad(t *testing.T) {
	dir := t.TempDir()
	writeFile(t, dir, "more.conf", "[incident]\nunserved 25% # a share\nover 20s\n")
	p := writeFile(t, dir, "a.conf", `
# a comment
[capture]   # and one here
record on
directory "/var/a b/#1"
checkpoint 30s
include more.conf
segment-size 2MiB
[control]
socket /run/x.sock
[contracts]
zone Australia/Hobart
[contract island-tax]
tenants island-tax "old name"
rate 4000
burst 8000
price agent 1 2.5
price chat 1 1
floor agent 300
budget hour 0 1000000
budget quarter 5000 9000
borrow 50
successor next
[contract next]
tenants next
rate 1
borrow none
surge 1.25
from 2027-07-01T00:00:00+10:00
[contract island-tax]
until 2027-07-01T00:00:00+10:00
`)
	c, err := Load(p)
	if err != nil {
		t.Fatal(err)
	}
	want := Default()
	want.File = p
	want.Capture.Record, want.Capture.Directory, want.Capture.CheckpointInterval, want.Capture.SegmentSize = true, "/var/a b/#1", 30*time.Second, 2<<20
	want.Control.Socket = "/run/x.sock"
	want.Incident.UnservedFraction, want.Incident.EvaluationWindow, want.Incident.Directory = 0.25, 20*time.Second, "/var/a b/#1/incidents"
	want.Contracts.TimeZone = "Australia/Hobart"
	want.Contracts.Teams = []contract.Terms{{Team: "island-tax", Tenants: []string{"island-tax", "old name"}, Rate: 4e6, Burst: 8e6, OverQuotaWeight: 0.05,
		Prices: map[string]contract.Price{"agent": {PromptToken: 1, OutputToken: 2.5}, "chat": {PromptToken: 1, OutputToken: 1}}, Floors: map[string]float64{"agent": 3e5},
		Budgets: []contract.Budget{{Period: contract.Hour, Hard: 1e9}, {Period: contract.Quarter, Soft: 5e6, Hard: 9e6}},
		Until:   time.Date(2027, 6, 30, 14, 0, 0, 0, time.UTC).UnixMicro(), MaxBorrowRate: 5e4, Successor: "next"},
		{Team: "next", Tenants: []string{"next"}, Rate: 1e3, OverQuotaWeight: 0.05, NoBorrow: true, SurgeFactor: 1.25, From: time.Date(2027, 6, 30, 14, 0, 0, 0, time.UTC).UnixMicro()}}
	if diff := cmp.Diff(want, c); diff != "" {
		t.Error(diff)
	}
	// The text of the settings loads to the same settings.
	text := writeFile(t, dir, "shown.conf", c.Text(true))
	again, err := Load(text)
	if err != nil {
		t.Fatal(err)
	}
	if again.File = p; !cmp.Equal(c, again) {
		t.Error(cmp.Diff(c, again))
	}
	if c, err := Load(""); err != nil || c.Capture.Record {
		t.Errorf("Load without a file: %v, %v", c, err)
	}
}

// Load reports all errors of a file and its includes, each with its file, line and column.
func TestProblems(t *testing.T) {
	dir := t.TempDir()
	writeFile(t, dir, "loop.conf", "include a.conf\n")
	p := writeFile(t, dir, "a.conf", `stray 1
[captur]
x 1
[capture]
recrod on
checkpoint soon
checkpoint
checkpoint 5s 6s
keep-size 1MiB
keep-size 1MiB
queue 1
segment-size 5 parsecs
directory "open
[log
level loud
[incident]
unserved 140%
include loop.conf
include none.conf
[control label]
socket x
[contract]
rate 1
[contract x]
rate soon
budget week 1 2
floor agent
hard maybe
prices a 1 1
`)
	_, err := Load(p)
	if err == nil {
		t.Fatal("Load accepted a file with errors")
	}
	got := strings.ReplaceAll(err.Error(), dir+"/", "")
	want := []string{
		`a.conf:1:1: stray: outside a section`,
		`a.conf:3:1: captur.x: no section [captur]; did you mean capture?`,
		`a.conf:5:1: capture.recrod: unknown key; did you mean record?`,
		`a.conf:6:12: capture.checkpoint: expected a duration such as 30s or 5m, got "soon"`,
		`a.conf:7:1: capture.checkpoint: given already at `,
		`a.conf:8:1: capture.checkpoint: given already at `,
		`a.conf:10:1: capture.keep-size: given already at `,
		`a.conf:11:7: capture.queue: expected 2 to 1024, got 1`,
		`a.conf:12:14: capture.segment-size: expected one value (size), got 2`,
		`a.conf:13:11: unterminated quote or unexpected character`,
		`a.conf:14:5: expected [section]`,
		`a.conf:17:10: incident.unserved: expected 0% to 100%, got 140%`,
		`loop.conf:1:1: include: a.conf: include cycle through`,
		`a.conf:19:1: include: none.conf: no such file or directory`,
		`a.conf:20:1: control: section takes no label`,
		`a.conf:22:1: contract: expected [contract TEAM]`,
		`a.conf:25:6: contract x.rate: expected a number of tokens from 0 to 1e12, got "soon"`,
		`a.conf:26:8: contract x.budget: expected hour, day or quarter, got "week"`,
		`a.conf:27:7: contract x.floor: expected a class and tokens a second, got 1 words`,
		`a.conf:28:6: contract x.hard: expected on or off`,
		`a.conf:29:1: contract x.prices: unknown key; did you mean price?`,
	}
	for _, w := range want {
		if !strings.Contains(got, w) {
			t.Errorf("error not reported: %s", w)
		}
	}
	if t.Failed() {
		t.Log(got)
	}
}

func TestValidate(t *testing.T) {
	dir := t.TempDir()
	for text, want := range map[string]string{
		"[capture]\nrecord on\n":                         "capture.directory: missing",
		"[capture]\nsegment-size 8MiB\nkeep-size 9MiB\n": "a.conf:2:1: capture.segment-size: expected at most half of keep-size",
		"[capture]\nkeep-age 1m\n":                       "capture.segment-age: expected at most half of keep-age",
		"[incident]\nwindow 1h\n":                        "incident.window: expected at most capture.keep-age",
		"[subset]\nmost 5\n":                             "a.conf:2:1: subset.most: expected 0, or 16 or more, got 5",
		"[subset]\nmost -1\n":                            "subset.most: expected 0 to 100000",
		"[subset]\nremote 2\n":                           "subset.remote: expected 0% to 100%",
		"[subset]\nindex -2\n":                           "subset.index: expected -1 to",
		"[subset]\nleast 2\n":                            "subset.least: unknown key",
	} {
		if _, err := Load(writeFile(t, dir, "a.conf", text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

func FuzzLoad(f *testing.F) {
	f.Add("[capture]\nrecord on # x\n")
	f.Add("include \"*\"\n[a \"b\"]\nk v\n")
	f.Fuzz(func(t *testing.T, text string) {
		p := writeFile(t, t.TempDir(), "f.conf", strings.ReplaceAll(text, "include", "exclude"))
		c, err := Load(p)
		if (c == nil) == (err == nil) {
			t.Fatal(c, err)
		}
	})
}
