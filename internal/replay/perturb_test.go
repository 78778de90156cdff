package replay

import (
	"testing"
)

// Under each perturbation, every request gets one answer within the allowed attempts, the module's state stays bounded,
// and equal seeds give equal results.
func TestPerturb(t *testing.T) {
	run, _, _ := recordRun(t, 19, 1_780_000_000_000_000, 20)
	for _, kinds := range []string{"late", "void", "duplicate", "delay", "lost", "all"} {
		k, err := ParsePerturbations(kinds)
		if err != nil {
			t.Fatal(err)
		}
		var lines [2]string
		for i := range lines {
			res, err := Perturb(run, k, 4)
			if err != nil {
				t.Fatal(err)
			}
			lines[i] = res.Line()
			if len(res.Violations) > 0 || res.Served < 300 || res.Requests < 1000 {
				t.Errorf("%s: %s %v", kinds, res.Line(), res.Violations)
			}
			if res.Served+res.Shed+res.Failed+res.Disconnected != res.Requests {
				t.Errorf("%s: the answers do not add up: %s", kinds, res.Line())
			}
		}
		if lines[0] != lines[1] {
			t.Errorf("%s: equal seeds, %s and %s", kinds, lines[0], lines[1])
		}
	}
	if _, err := ParsePerturbations("late,odd"); err == nil {
		t.Error("an unknown perturbation was accepted")
	}
}

func FuzzOrder(f *testing.F) {
	f.Add(uint64(1), "all")
	f.Add(uint64(2), "late,duplicate")
	f.Fuzz(func(t *testing.T, seed uint64, kinds string) {
		k, err := ParsePerturbations(kinds)
		if err != nil {
			return
		}
		run, _, _ := recordRun(t, seed, 0, 3)
		if res, err := Perturb(run, k, seed); err != nil || len(res.Violations) > 0 {
			t.Fatal(res, err)
		}
	})
}
