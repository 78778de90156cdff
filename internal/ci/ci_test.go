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
func TestRed(t *testing.T) { t.Error("planted") }
`
	for name, c := range map[string]struct {
		list   string // KNOWN-RED.txt; "-": there is none
		red    bool   // the module has the red test
		passes bool
		says   string
	}{
		"no list":                {"-", false, true, "ok"},
		"empty":                  {"\n", false, true, "ok"},
		"red and not listed":     {"-", true, false, "planted"},
		"red and listed":         {"one.TestRed, planted, 32\n", true, true, "one TestRed fails, as listed"},
		"no newline":             {"one.TestRed, planted, 32", true, true, "one TestRed fails, as listed"},
		"listed and passes":      {"one.TestGreen, once red, 32\n", false, true, "one TestGreen passes now: take it off"},
		"another one is red":     {"one.TestGreen, once red, 32\n", true, false, "planted"},
		"no issue":               {"one.TestRed, planted\n", true, false, "expected 'folder.TestName, cause, issue'"},
		"no cause":               {"one.TestRed, , 32\n", true, false, "expected 'folder.TestName, cause, issue'"},
		"no such test":           {"one.TestNone, planted, 32\n", false, false, "there is no test TestNone"},
		"a part of a name":       {"one.TestRe, planted, 32\n", true, false, "there is no test TestRe"},
		"no such folder":         {"two.TestRed, planted, 32\n", false, false, "there is no test TestRed in ./two"},
		"four lines":             {strings.Repeat("one.TestGreen, planted, 32\n", 4), false, false, "4 lines; three at most"},
		"not the name of a test": {"one.BenchmarkX, planted, 32\n", false, false, "expected"},
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
