package cli

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"archknot/balancer"
	"archknot/internal/capture"
)

// runCommand runs a command and returns its exit code and output.
func runCommand(args ...string) (code int, out, errOut string) {
	var a, b bytes.Buffer
	code = Main(args, &a, &b, func(string) string { return "" })
	return code, a.String(), b.String()
}

// discardSink discards the balancer's actions.
type discardSink struct{}

func (discardSink) Dispatch(balancer.RequestID, balancer.ReplicaID, balancer.Micros) {}
func (discardSink) Shed(balancer.RequestID, balancer.Micros)                         {}
func (discardSink) Fail(balancer.RequestID)                                          {}
func (discardSink) Cancel(balancer.RequestID, int)                                   {}
func (discardSink) SetTimer(balancer.Micros, uint64)                                 {}
func (discardSink) HealthCheck(balancer.ReplicaID)                                   {}
func (discardSink) Gossip([]byte)                                                    {}
func (discardSink) WatchDiscovery()                                                  {}

// writeSmallCapture writes a capture of 100 requests and returns its directory.
func writeSmallCapture(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	b, err := balancer.New(balancer.Settings{Gateways: 1, Zone: "a", MaxAttempts: 3, Tick: 2000, MayCancel: true,
		Classes: []balancer.Class{{Name: "chat", LatencyObjective: 1e6, Deadline: 4e6, PriorityWeight: 1, Streaming: true}}}, 3, discardSink{})
	if err != nil {
		t.Fatal(err)
	}
	w, err := capture.NewWriter(capture.WriterOptions{Directory: dir, Gateway: "g", BlockWhenFull: true, MaxBytes: 1 << 30, MaxAge: time.Hour})
	if err != nil {
		t.Fatal(err)
	}
	r := capture.NewRecorder(1000, b, nil, discardSink{}, w, capture.Host{RequestName: func(id balancer.RequestID) string { return "req" + string(rune('a'+id%26)) }},
		capture.Options{CheckpointInterval: 10 * time.Second, BlockSize: 4096, FlushInterval: time.Second, SegmentSize: 1 << 20, SegmentAge: time.Hour})
	r.Start(1000)
	r.ListChanged(1000, balancer.EndpointList{Kind: balancer.ListFull, Endpoints: []balancer.Endpoint{{Replica: 1, Zone: "a"}, {Replica: 2, Zone: "a"}}})
	for i := range balancer.RequestID(100) {
		now := 2000 + balancer.Micros(i)*500_000
		r.RequestArrived(now, balancer.Request{ID: i + 1, Class: "chat", TimeLeft: 4e6, PromptTokens: 500})
		r.FirstToken(now+1000, balancer.Outcome{ID: i + 1, Replica: 1, Elapsed: 1000})
		r.AttemptEnded(now+2000, balancer.Outcome{ID: i + 1, Replica: 1, Status: balancer.Served, Elapsed: 2000, Final: true})
	}
	r.Close()
	w.Close()
	return dir
}

// Each command returns the expected exit code and prints the expected text.
func TestExitCodesAndOutput(t *testing.T) {
	dir := writeSmallCapture(t)
	good, bad := filepath.Join(t.TempDir(), "good.conf"), filepath.Join(t.TempDir(), "bad.conf")
	os.WriteFile(good, []byte("[log]\nlevel warn\n"), 0o600)
	os.WriteFile(bad, []byte("[log]\nlevle warn\n"), 0o600)
	cut := filepath.Join(t.TempDir(), "cut.akcap")
	teams, page := filepath.Join(t.TempDir(), "teams.conf"), filepath.Join(t.TempDir(), "page.html")
	plan, results := filepath.Join(t.TempDir(), "a.plan"), filepath.Join(t.TempDir(), "results")
	os.WriteFile(plan, []byte("[run]\nfor 8s\nwarm 1s\nseeds 4\n[class chat]\naim 1s\n[workers k]\ncount 3\nslots 4\nqueue 4\n[traffic t]\nclass chat\nrate 25\n[variant base]\nbase\n[variant one]\nset gateway.attempts 1\n"), 0o600)
	os.WriteFile(teams, []byte("[contract all]\ntenants \"\"\nrate 100\nburst 5000\nbudget quarter 0 30000\nborrow none\n[contract x]\ntenants x\nrate 5\nuntil 2027-07-01T00:00:00Z\nsuccessor all\n"), 0o600)
	for _, c := range []struct {
		args string
		code int
		want string
	}{
		{"--help", ExitOK, "capture explain"},
		{"replay --help", ExitOK, "Example:"},
		{"serve --help", ExitOK, "Example:"},
		{"nonsense", ExitError, "unexpected argument"},
		{"fleet fit " + dir, ExitOK, "unknown: retries"},
		{"fleet fit " + dir + " --plan", ExitOK, "[traffic"},
		{"fleet fit " + cut, ExitError, ""},
		{"fleet scale " + plan + " --times 10", ExitOK, "rate 250"},
		{"fleet scale " + plan + " --times 0", ExitError, "times 0"},
		{"replay", ExitError, "expected"},
		{"version", ExitOK, "archknot"},
		{"config check " + good, ExitOK, "good"},
		{"config check " + bad, ExitNegative, "bad.conf:2:1: log.levle: unknown key; did you mean level?"},
		{"config check --json " + bad, ExitNegative, `"line": 2`},
		{"config check nowhere.conf", ExitNegative, "no such file"},
		{"config show " + good, ExitOK, "level warn"},
		{"config show " + bad, ExitError, "levle"},
		{"config diff " + good, ExitNegative, `log.level: "warn", "info"`},
		{"config diff " + good + " " + good, ExitOK, ""},
		{"config status", ExitError, "no socket"},
		{"config history --socket /nowhere/x", ExitError, "no gateway answers"},
		{"config rollback --socket /nowhere/x", ExitError, "no gateway answers"},
		{"capture info " + dir, ExitOK, "100 files"},
		{"capture verify " + dir, ExitOK, "events=302 missing=0"},
		{"capture verify " + bad, ExitError, "not a capture"},
		{"capture dump --where kind==arrived --from +10s --exact " + dir, ExitOK, "arrived request=req"},
		{"capture dump --json --where kind==checkpoint " + dir, ExitOK, `"state":{`},
		{"capture dump --where (( " + dir, ExitError, "filter"},
		{"capture dump --from soon " + dir, ExitError, "expected +30s"},
		{"capture explain reqc " + dir, ExitOK, "chose "},
		{"capture explain nobody " + dir, ExitNegative, "not in the capture"},
		{"capture cut --from +20s --to +30s " + dir + " " + cut, ExitOK, "events="},
		{"capture save --socket /nowhere/x", ExitError, "no gateway answers"},
		{"capture save", ExitError, "no socket"},
		{"replay " + dir, ExitOK, "differ=0 gaps=0"},
		{"replay " + cut, ExitOK, "differ=0 gaps=0"},
		{"replay --json " + dir, ExitOK, `"differ": 0`},
		{"replay --emit " + dir, ExitOK, "dispatch req"},
		{"replay --step reqc " + dir, ExitOK, "chose "},
		{"replay --perturb all " + dir, ExitOK, "faults=0"},
		{"replay --perturb odd " + dir, ExitError, "no perturbation"},
		{"replay nowhere", ExitError, "no such file"},
		{"config check " + teams, ExitOK, "good"},
		{"contracts list " + teams, ExitOK, "quarter 0/30,000"},
		{"contracts list --json " + teams, ExitOK, `"Team": "all"`},
		{"contracts list", ExitError, "no socket"},
		{"experiment run " + plan + " --out " + results, ExitOK, "runs=8"},
		{"experiment run " + plan + " --out " + results, ExitOK, "runs=8"},
		{"experiment run " + teams + " --out " + results, ExitError, "0 replicas"},
		{"experiment report " + results + " --html " + page + " --csv " + cut + ".csv", ExitOK, "worth_in_time"},
		{"experiment report --json " + results, ExitOK, `"pairs": 4`},
		{"experiment report nowhere", ExitError, "no such file"},
		{"experiment gate --bound 1 " + results, ExitOK, "good"},
		{"experiment gate --figure attempts_a_request --bound 0.0001 --base one " + results, ExitNegative, "may be worse"},
		{"experiment gate --figure odd " + results, ExitError, "no figure"},
		{"experiment one " + plan + " --variant one --seed 2", ExitOK, `"first_ms"`},
		{"fleet emulate " + plan + " --registry 0.0.0.0:0", ExitError, "loopback"},
		{"fleet emulate " + plan + " --registry 127.0.0.1:0 --gateway 127.0.0.1:1 --settle 0s --workload odd", ExitError, "not in the plan"},
		{"experiment one " + plan + " --variant none", ExitError, "there are base, one"},
		{"contracts show x " + teams, ExitOK, "successor all"},
		{"contracts show nobody " + teams, ExitNegative, "no contract"},
		{"contracts show x --socket /nowhere/x", ExitError, "no gateway answers"},
		{"contracts simulate " + dir + " --config " + teams, ExitOK, "budget_spent"},
		{"contracts simulate --json " + dir + " --config " + teams, ExitOK, `"requests": 100`},
		{"contracts simulate " + dir + " --config " + good, ExitError, "the settings have no contracts"},
		{"contracts simulate " + dir, ExitError, "--config"},
		{"contracts report " + dir + " --config " + teams + " --out " + page, ExitOK, page},
		{"contracts report " + dir + " --config " + teams + " --out /nowhere/x/y", ExitError, "nowhere"},
	} {
		code, out, errOut := runCommand(strings.Fields(c.args)...)
		if c.args[:4] == "capt" && strings.Contains(c.args, "info") {
			c.want = "checkpoints"
		}
		if code != c.code || !strings.Contains(out+errOut, c.want) {
			t.Errorf("archknot %s: exit code %d, wanted %d and %q:\n%s%s", c.args, code, c.code, c.want, out, errOut)
		}
	}
}

// The help of every command includes an example.
func TestHelpHasExamples(t *testing.T) {
	for _, c := range []string{"serve", "config check", "config show", "config diff", "config status", "config history", "config rollback", "capture info", "capture verify", "capture dump", "capture cut",
		"capture explain", "capture save", "replay", "version", "contracts list", "contracts show", "contracts simulate", "contracts report", "experiment run",
		"experiment report", "experiment gate", "experiment one", "fleet emulate"} {
		if code, out, _ := runCommand(append(strings.Fields(c), "--help")...); code != ExitOK || !strings.Contains(out, "Example") {
			t.Errorf("%s: %d\n%s", c, code, out)
		}
	}
}

// replay --accept accepts the present differences of a capture. Different ones, found later, are reported again.
func TestAcceptedDifferences(t *testing.T) {
	dir := writeSmallCapture(t)
	files, _ := filepath.Glob(filepath.Join(dir, "*.akcap"))
	changed := filepath.Join(t.TempDir(), "changed.akcap")
	if err := capture.RewriteHeader(files[0], changed, capture.ChangeSettings(func(s *balancer.Settings) { s.Tick = 3000 })); err != nil {
		t.Fatal(err)
	}
	if code, out, _ := runCommand("replay", changed); code != ExitNegative || !strings.Contains(out, "kind timer: 100") {
		t.Fatalf("%d\n%s", code, out)
	}
	if code, _, _ := runCommand("replay", "--accept", changed); code != ExitOK {
		t.Fatal("not accepted")
	}
	if code, out, _ := runCommand("replay", changed); code != ExitOK || !strings.Contains(out, "as accepted") {
		t.Fatalf("%d\n%s", code, out)
	}
	accepted := strings.TrimSuffix(changed, ".akcap") + ".accepted"
	var a map[string]any
	text, err := os.ReadFile(accepted)
	if err != nil || json.Unmarshal(text, &a) != nil || a["differ"] != 100.0 {
		t.Fatalf("%s %v", text, err)
	}
	if err := capture.RewriteHeader(files[0], changed, capture.ChangeSettings(func(s *balancer.Settings) { s.Tick = 4000 })); err != nil {
		t.Fatal(err)
	}
	if code, out, _ := runCommand("replay", changed); code != ExitNegative || !strings.Contains(out, "not as accepted") {
		t.Errorf("%d\n%s", code, out)
	}
}
