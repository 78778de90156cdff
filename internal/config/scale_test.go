package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const smallPlan = `# a fleet
[run]
for 30s
[class c]
aim 1s
[workers near]   # two of them
count 4
[workers far]
zone there
[traffic t]
class c
rate 2.5 # a second
[workload busy]
set traffic.t.rate 7
set traffic.t.prompt 300
`

// Ten times the fleet has ten times the requests, workers and gateways, also where the
// plan leaves them to their defaults and in what workloads set; the rest is as it was.
func TestScaledPlan(t *testing.T) {
	load := func(text string) *Plan {
		t.Helper()
		file := filepath.Join(t.TempDir(), "x.plan")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		p, err := LoadPlan(file)
		if err != nil {
			t.Fatalf("%v in\n%s", err, text)
		}
		return p
	}
	for _, c := range []struct {
		keep     bool
		gateways int
	}{{false, 30}, {true, 3}} {
		text, err := ScalePlan(smallPlan, 10, c.keep)
		if err != nil {
			t.Fatal(err)
		}
		p := load(text)
		base := Variant{Name: "base"}
		was, err := load(smallPlan).Spec(base, base, 1)
		if err != nil {
			t.Fatal(err)
		}
		s, err := p.Spec(base, base, 1)
		if err != nil {
			t.Fatal(err)
		}
		busy, err := p.Spec(base, p.Workloads[0], 1)
		if err != nil {
			t.Fatal(err)
		}
		if s.Gateways != c.gateways || s.Groups[0].Count != 40 || s.Groups[1].Count != 10 || s.Streams[0].RequestsPerSecond != 25 || busy.Streams[0].RequestsPerSecond != 70 {
			t.Errorf("%d gateways, %d and %d workers, %v and %v a second", s.Gateways, s.Groups[0].Count, s.Groups[1].Count, s.Streams[0].RequestsPerSecond, busy.Streams[0].RequestsPerSecond)
		}
		if s.Duration != was.Duration || busy.Streams[0].PromptTokens != 300 || s.Groups[1].Zone != "there" || !strings.Contains(text, "# a second") {
			t.Errorf("something else changed:\n%s", text)
		}
	}
	for _, bad := range []string{"[traffic t]\nrate many\n", "include other.plan\n"} {
		if _, err := ScalePlan(bad, 2, false); err == nil {
			t.Errorf("%q was scaled", bad)
		}
	}
	if _, err := ScalePlan(smallPlan, 0, false); err == nil {
		t.Error("scaled by nothing")
	}
}
