package scaletest_test

import (
	"bytes"
	"context"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"archknot/internal/cli"
	"archknot/internal/config"
	"archknot/internal/scaletest"
)

// TestMain runs the program's own command line when a scale run starts the test binary as a gateway or a role.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && (os.Args[1] == "serve" || os.Args[1] == "drill") {
		cli.Exec()
	}
	os.Exit(m.Run())
}

// A small run measures all figures at each size. Hollow and real gateways receive the endpoint list in one
// chunk and then its changes, stay within their subsets, poll discovery and send attempts.
func TestSmallRun(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	p, err := config.LoadScaleRun("testdata/small.plan")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithTimeout(t.Context(), time.Minute)
	defer stop()
	res, err := scaletest.Run(ctx, p, scaletest.Options{})
	if err != nil {
		t.Fatal(err)
	}
	if len(res.Points) != 4 {
		t.Fatalf("%d points, want 4", len(res.Points))
	}
	for _, point := range res.Points {
		f := point.Figures
		for _, prefix := range []string{"", scaletest.RealPrefix} {
			if got := f[prefix+scaletest.GatewayAttempts]; got < 5 || got > 45 { // a Poisson count with mean 20 is outside once in 10,000
				t.Errorf("%+v %s: %.1f attempts per second, want 5 to 45 at a rate of 20", point.Size, prefix, got)
			}
			if got := f[prefix+scaletest.GatewaySubset]; got > 32 || got < 12 {
				t.Errorf("%+v %s: %.1f replicas in the subset, want 12 to 32", point.Size, prefix, got)
			}
			if f[prefix+scaletest.GatewayUnserved] > 0.5 || f[prefix+scaletest.GatewayBusy] <= 0 || f[prefix+scaletest.GatewayConns] <= 0 || f[prefix+scaletest.GatewayListBytes] <= 0 {
				t.Errorf("%+v %s: figure out of range: %v", point.Size, prefix, f)
			}
		}
		if f[scaletest.ChangePropagation] <= 0 || f[scaletest.ChangePropagation] > 4000 || f[scaletest.DiscoveryCalls] <= 0 || f[scaletest.ReplicaConns] <= 0 {
			t.Errorf("%+v: figure out of range: %v", point.Size, f)
		}
	}
	var out bytes.Buffer
	res.WriteTables(&out)
	for _, want := range []string{"gateway.attempts_per_s", "| figure | 40 x 3 | 80 x 3 | 80 x 2 | 80 x 4 |", "hollow beside real"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("tables do not contain %q:\n%s", want, out.String())
		}
	}
}

// FitSlopes returns the slope of a noisy line with an interval that contains it, and reports a curve as not
// linear. Compare reports figures that differ by half as not in agreement.
func TestFitSlopes(t *testing.T) {
	points := func(f func(n float64) float64) (out []scaletest.Point) {
		for _, n := range []int{100, 1000, 3000, 6000} {
			for repeat := range 2 {
				noise := 1 + 0.01*float64(2*repeat-1)
				out = append(out, scaletest.Point{Size: scaletest.Size{Replicas: n, Gateways: 20}, Varied: "replicas", Repeat: repeat,
					Figures: map[string]float64{"x": f(float64(n)) * noise, scaletest.RealPrefix + "x": f(float64(n)) * 1.5}})
			}
		}
		return out
	}
	straight := scaletest.FitSlopes(points(func(n float64) float64 { return 50 + 0.25*n }))
	if len(straight) != 2 || straight[1].Figure != "x" {
		t.Fatalf("%+v", straight)
	}
	if s := straight[1]; math.Abs(s.Slope-0.25) > 0.005 || s.Interval[0] > 0.25 || s.Interval[1] < 0.25 || !s.Linear || s.Points != 8 {
		t.Errorf("%+v", s)
	}
	if s := scaletest.FitSlopes(points(func(n float64) float64 { return n * n }))[1]; s.Linear {
		t.Errorf("a quadratic figure is reported as linear: %+v", s)
	}
	if c := scaletest.Compare(points(func(n float64) float64 { return n })); len(c) != 1 || c[0].Agrees || math.Abs(c[0].Ratio-2/3.0) > 0.01 {
		t.Errorf("comparison of hollow and real figures: %+v", c)
	}
}

// Each invalid plan is rejected with an error that names the key and the expected value, and `drill scale`
// exits with ExitError.
func TestPlansAreChecked(t *testing.T) {
	for text, want := range map[string]string{
		"[scale]\nreplicas 100 20\n":        "scale.replicas: expected 1 to 20 numbers, each larger",
		"[scale]\nreplicas 100 30000\n":     "scale.replicas: expected 1 to 20000",
		"[scale]\ngateways many\n":          "scale.gateways: expected whole numbers",
		"[scale]\nprocesses 500\n":          "scale.processes: expected 0 to 20",
		"[scale]\nframing odd\n":            "scale.framing: expected length, one-chunk, chunks, indented",
		"[scale]\nreplica 100\n":            "scale.replica: unknown key; did you mean replicas?",
		"[scale]\nmemory 1\n":               "scale.memory: expected 256",
		"[run]\nseed 1\n":                   "expected only a section [scale]",
		"[scale]\nfor 5ms\n":                "scale.for: expected 1s",
		"[scale]\nfor 5s\nfor 6s\n":         "scale.for: given already",
		"[scale]\nrate 20\nsubset 100 20\n": "scale.subset: expected one value",
	} {
		path := filepath.Join(t.TempDir(), "x.plan")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := config.LoadScaleRun(path); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
		out := bytes.Buffer{}
		if code := cli.Main([]string{"drill", "scale", path}, &out, &out, func(string) string { return "" }); code != cli.ExitError {
			t.Errorf("%q: exit code %d, want cli.ExitError", text, code)
		}
	}
}
