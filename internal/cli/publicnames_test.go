package cli

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/alecthomas/kong"

	"archknot/internal/publicnames"
)

// The names, flags and arguments of commands do not change: scripts of operators use them.
func TestCommandsStay(t *testing.T) {
	parser, err := kong.New(&commands{}, kong.Name("archknot"), kong.Bind(&streams{}))
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	err = kong.Visit(parser.Model, func(node kong.Visitable, next kong.Next) error {
		switch n := node.(type) {
		case *kong.Command:
			names = append(names, fmt.Sprint(n.FullPath(), " ", n.Aliases))
			for _, f := range n.Flags {
				names = append(names, fmt.Sprintf("%s --%s env=%v default=%q enum=%q required=%v hidden=%v", n.FullPath(), f.Name, f.Envs, f.Default, f.Enum, f.Required, f.Hidden))
			}
			for i, p := range n.Positional {
				names = append(names, fmt.Sprintf("%s argument %d %s", n.FullPath(), i, p.Summary()))
			}
		}
		return next(nil)
	})
	if err != nil {
		t.Fatal(err)
	}
	publicnames.Compare(t, "commands", names)
}

// The field names in the JSON output of config check do not change.
func TestConfigCheckJSONStays(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.conf")
	if err := os.WriteFile(bad, []byte("[log]\nlevel loud\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	_, out, _ := runCommand("config", "check", "--json", bad)
	var got map[string]any
	if err := json.Unmarshal([]byte(out), &got); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	problems, _ := got["problems"].([]any)
	if len(got) != 2 || got["good"] != false || len(problems) != 1 {
		t.Fatalf("got %v", got)
	}
	problem, _ := problems[0].(map[string]any)
	for _, key := range []string{"file", "line", "column", "key", "what"} {
		if _, ok := problem[key]; !ok || len(problem) != 5 {
			t.Errorf("problem %v: want %s, and five keys", problem, key)
		}
	}
}

// The exit codes are 0 for success, 1 for a negative result and 2 for wrong usage.
func TestExitCodesStay(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.conf")
	if err := os.WriteFile(bad, []byte("[log]\nlevel loud\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		want int
		args []string
	}{{0, []string{"version"}}, {1, []string{"config", "check", bad}}, {2, []string{"nosuchcommand"}}} {
		if code, _, errOut := runCommand(c.args...); code != c.want {
			t.Errorf("%v: exit code %d, want %d: %s", c.args, code, c.want, errOut)
		}
	}
}
