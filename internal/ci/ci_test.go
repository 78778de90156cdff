// Package ci has the test of the script that runs the tests.
package ci

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// What the list of known red tests may excuse, and what it may not: planted lists over a
// planted module with a red test.
func TestKnownRed(t *testing.T) {
	script, err := filepath.Abs("../../.ci/test")
	if err != nil {
		t.Fatal(err)
	}
	const planted = `package one

import "testing"

func TestGreen(t *testing.T) {}
func TestOther(t *testing.T) {}
func TestSkipped(t *testing.T) { t.Skip() }
func TestRed(t *testing.T) { t.Error("planted") }
`
	const form = "expected 'folder.TestName | command | seed N | what was seen | issue N'"
	entry := func(test string) string {
		return "one." + test + " | go test ./one | no seed | planted | issue 32"
	}
	for name, c := range map[string]struct {
		list   string // KNOWN-RED.txt; "-": there is none
		red    bool   // the module has the red test
		passes bool
		says   string
	}{
		"no list":                {"-", false, true, "ok"},
		"empty":                  {"\n", false, true, "ok"},
		"red and not listed":     {"-", true, false, "planted"},
		"red and listed":         {entry("TestRed") + "\n", true, true, "one TestRed fails, as listed"},
		"no newline":             {entry("TestRed"), true, true, "one TestRed fails, as listed"},
		"with a seed":            {strings.Replace(entry("TestRed"), "no seed", "seed 7", 1), true, true, "one TestRed fails, as listed"},
		"listed and passes":      {entry("TestGreen"), false, true, "one TestGreen passes now: take it off"},
		"listed and skipped":     {entry("TestSkipped"), false, true, "one TestSkipped not run"},
		"another one is red":     {entry("TestGreen"), true, false, "planted"},
		"no issue":               {strings.TrimSuffix(entry("TestRed"), " | issue 32"), true, false, form},
		"issue without a number": {strings.TrimSuffix(entry("TestRed"), "32"), true, false, form},
		"no command":             {strings.Replace(entry("TestRed"), "go test ./one", " ", 1), true, false, form},
		"no seed":                {strings.Replace(entry("TestRed"), " | no seed", "", 1), true, false, form},
		"seed without a number":  {strings.Replace(entry("TestRed"), "no seed", "seed", 1), true, false, form},
		"nothing seen":           {strings.Replace(entry("TestRed"), "planted", "", 1), true, false, form},
		"the earlier form":       {"one.TestRed, planted, 32\n", true, false, form},
		"no such test":           {entry("TestNone"), false, false, "there is no test TestNone"},
		"a part of a name":       {entry("TestRe"), true, false, "there is no test TestRe"},
		"no such folder":         {"two" + strings.TrimPrefix(entry("TestRed"), "one"), false, false, "there is no test TestRed in ./two"},
		"listed twice":           {strings.Repeat(entry("TestGreen")+"\n", 4), false, false, "listed twice: ./one TestGreen"},
		"several entries":        {entry("TestRed") + "\n" + entry("TestGreen"), true, true, "one TestGreen passes now: take it off"},
		"several, one not there": {entry("TestRed") + "\n" + entry("TestNone"), true, false, "there is no test TestNone"},
		"red beside the listed":  {entry("TestGreen") + "\n" + entry("TestOther"), true, false, "planted"},
		"not the name of a test": {entry("BenchmarkX"), false, false, form},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			write := func(file, text string) {
				if err := os.WriteFile(filepath.Join(dir, file), []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			if err := os.Mkdir(filepath.Join(dir, "one"), 0o700); err != nil {
				t.Fatal(err)
			}
			write("go.mod", "module planted\n\ngo 1.26\n")
			text := planted
			if !c.red {
				text = strings.ReplaceAll(text, `t.Error("planted")`, "")
			}
			write("one/one_test.go", text)
			if c.list != "-" {
				write("KNOWN-RED.txt", c.list)
			}
			cmd := exec.Command("bash", script, "./...")
			cmd.Dir = dir
			out, err := cmd.CombinedOutput()
			if (err == nil) != c.passes || !strings.Contains(string(out), c.says) {
				t.Errorf("passes %t, want %t and %q in:\n%s", err == nil, c.passes, c.says, out)
			}
		})
	}
}
