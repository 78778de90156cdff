package replay

import (
	"strings"
	"testing"
)

func TestFilter(t *testing.T) {
	run, _, _ := recordRun(t, 20, 0, 10)
	count := func(text string) (n int) {
		t.Helper()
		f, err := ParseFilter(text)
		if err != nil {
			t.Fatal(err)
		}
		mustReplay(t, run, Options{OnStep: func(s *Step) {
			if f.Match(s.Names, s.Record, s.At-run.Begin()) {
				n++
			}
		}})
		return n
	}
	all := count("orders >= 0")
	arrived := count("kind == arrived")
	for text, want := range map[string]int{
		"not kind == arrived":                                     all - arrived,
		`kind == "arrived" or kind != arrived`:                    all,
		"kind == arrived and not (class == chat or class==agent)": count(`kind == arrived and class == "unknown"`),
		"kind == arrived and wait >= 2s":                          arrived,
		"kind == arrived and wait < 2000000":                      0,
		"at < 0s":                                                 0,
		`worker =~ "^s-10"`:                                       count(`worker == "s-1000" or worker == "s-1017" or worker == "s-1034" or worker == "s-1051" or worker == "s-1068" or worker =~ "s-108."`),
		"final":                                                   count("final == true"),
		"attempt >= 0 and kind == timer":                          0,
	} {
		if got := count(text); got != want {
			t.Errorf("%s: %d events, not %d", text, got, want)
		}
	}
	if count("elapsed > 300ms and status == served") == 0 || count("timer == deadline") == 0 || count("order == refuse") > all/2 {
		t.Error("matches too few or too many")
	}
	for text, want := range map[string]string{
		"clas == x": "no field \"clas\"", "elapsed > fast": "a time such as", "class > x": "is text", "attempt =~ 1": "is no text",
		"worker =~ \"(\"": "missing closing", "kind ==": "unexpected", "(kind": "unexpected", "final == 3": "true or false", "class == 3s": "with text",
	} {
		if _, err := ParseFilter(text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", text, err)
		}
	}
}
