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

// A plan scaled by 10 has 10 times the request rate, replicas and gateways, also where the
// plan omits them and where a workload sets them. With keepGateways the number of gateways
// stays, and so do all other settings and the comments.
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
		keepGateways bool
		gateways     int
	}{{false, 30}, {true, 3}} {
		text, err := ScalePlan(smallPlan, 10, c.keepGateways)
		if err != nil {
			t.Fatal(err)
		}
		p := load(text)
		base := Variant{Name: "base"}
		unscaled, err := load(smallPlan).Spec(base, base, 1)
		if err != nil {
			t.Fatal(err)
		}
		scaled, err := p.Spec(base, base, 1)
		if err != nil {
			t.Fatal(err)
		}
		busy, err := p.Spec(base, p.Workloads[0], 1)
		if err != nil {
			t.Fatal(err)
		}
		if scaled.Gateways != c.gateways || scaled.Groups[0].Count != 40 || scaled.Groups[1].Count != 10 || scaled.Streams[0].RequestsPerSecond != 25 || busy.Streams[0].RequestsPerSecond != 70 {
			t.Errorf("%d gateways, %d and %d replicas, %v and %v a second", scaled.Gateways, scaled.Groups[0].Count, scaled.Groups[1].Count, scaled.Streams[0].RequestsPerSecond, busy.Streams[0].RequestsPerSecond)
		}
		if scaled.Duration != unscaled.Duration || busy.Streams[0].PromptTokens != 300 || scaled.Groups[1].Zone != "there" || !strings.Contains(text, "# a second") {
			t.Errorf("a setting or comment that is not scaled changed:\n%s", text)
		}
	}
	for _, invalidPlan := range []string{"[traffic t]\nrate many\n", "include other.plan\n"} {
		if _, err := ScalePlan(invalidPlan, 2, false); err == nil {
			t.Errorf("%q was scaled", invalidPlan)
		}
	}
	if _, err := ScalePlan(smallPlan, 0, false); err == nil {
		t.Error("a factor of 0 was accepted")
	}
}
