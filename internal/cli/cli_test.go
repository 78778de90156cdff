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

// run runs a command and returns its exit code and what it printed.
func run(args ...string) (code int, out, errOut string) {
	var a, b bytes.Buffer
	code = Main(args, &a, &b, func(string) string { return "" })
	return code, a.String(), b.String()
}

type nowhere struct{}

func (nowhere) Dispatch(balancer.RequestID, balancer.ReplicaID, balancer.Micros) {}
func (nowhere) Shed(balancer.RequestID, balancer.Micros)                         {}
func (nowhere) Fail(balancer.RequestID)                                          {}
func (nowhere) Cancel(balancer.RequestID, int)                                   {}
func (nowhere) SetTimer(balancer.Micros, uint64)                                 {}
func (nowhere) HealthCheck(balancer.ReplicaID)                                   {}
func (nowhere) Gossip([]byte)                                                    {}
func (nowhere) WatchDiscovery()                                                  {}

// small makes a capture of a hundred requests.
func small(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	b, err := balancer.New(balancer.Settings{Gateways: 1, Zone: "a", MaxAttempts: 3, Tick: 2000, MayCancel: true,
		Classes: []balancer.Class{{Name: "chat", LatencyObjective: 1e6, Deadline: 4e6, PriorityWeight: 1, Streaming: true}}}, 3, nowhere{})
	if err != nil {
		t.Fatal(err)
	}
	w, err := capture.NewWriter(capture.WriterOptions{Directory: dir, Gateway: "g", BlockWhenFull: true, MaxBytes: 1 << 30, MaxAge: time.Hour})
	if err != nil {
		t.Fatal(err)
	}
	r := capture.NewRecorder(1000, b, nil, nowhere{}, w, capture.Host{RequestName: func(id balancer.RequestID) string { return "req" + string(rune('a'+id%26)) }},
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

func TestExitCodesAndOutput(t *testing.T) {
	dir := small(t)
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
		{"--help", Good, "capture explain"},
		{"replay --help", Good, "Example:"},
		{"serve --help", Good, "Example:"},
		{"nonsense", Wrong, "unexpected argument"},
		{"fleet fit " + dir, Good, "not told: retries"},
		{"fleet fit " + dir + " --plan", Good, "[traffic"},
		{"fleet fit " + cut, Wrong, ""},
		{"fleet scale " + plan + " --times 10", Good, "rate 250"},
		{"fleet scale " + plan + " --times 0", Wrong, "times 0"},
		{"replay", Wrong, "expected"},
		{"version", Good, "archknot"},
		{"config check " + good, Good, "good"},
		{"config check " + bad, No, "bad.conf:2:1: log.levle: unknown key; did you mean level?"},
		{"config check --json " + bad, No, `"line": 2`},
		{"config check nowhere.conf", No, "no such file"},
		{"config show " + good, Good, "level warn"},
		{"config show " + bad, Wrong, "levle"},
		{"config diff " + good, No, `log.level: "warn", "info"`},
		{"config diff " + good + " " + good, Good, ""},
		{"config status", Wrong, "no socket"},
		{"config history --socket /nowhere/x", Wrong, "no gateway answers"},
		{"config rollback --socket /nowhere/x", Wrong, "no gateway answers"},
		{"capture info " + dir, Good, "100 files"},
		{"capture verify " + dir, Good, "events=302 missing=0"},
		{"capture verify " + bad, Wrong, "not a capture"},
		{"capture dump --where kind==arrived --from +10s --exact " + dir, Good, "arrived request=req"},
		{"capture dump --json --where kind==checkpoint " + dir, Good, `"state":{`},
		{"capture dump --where (( " + dir, Wrong, "filter"},
		{"capture dump --from soon " + dir, Wrong, "expected +30s"},
		{"capture explain reqc " + dir, Good, "chose "},
		{"capture explain nobody " + dir, No, "not in the capture"},
		{"capture cut --from +20s --to +30s " + dir + " " + cut, Good, "events="},
		{"capture save --socket /nowhere/x", Wrong, "no gateway answers"},
		{"capture save", Wrong, "no socket"},
		{"replay " + dir, Good, "differ=0 gaps=0"},
		{"replay " + cut, Good, "differ=0 gaps=0"},
		{"replay --json " + dir, Good, `"differ": 0`},
		{"replay --emit " + dir, Good, "dispatch req"},
		{"replay --step reqc " + dir, Good, "chose "},
		{"replay --perturb all " + dir, Good, "faults=0"},
		{"replay --perturb odd " + dir, Wrong, "no perturbation"},
		{"replay nowhere", Wrong, "no such file"},
		{"config check " + teams, Good, "good"},
		{"contracts list " + teams, Good, "quarter 0/30,000"},
		{"contracts list --json " + teams, Good, `"Team": "all"`},
		{"contracts list", Wrong, "no socket"},
		{"experiment run " + plan + " --out " + results, Good, "runs=8"},
		{"experiment run " + plan + " --out " + results, Good, "runs=8"},
		{"experiment run " + teams + " --out " + results, Wrong, "0 workers"},
		{"experiment report " + results + " --html " + page + " --csv " + cut + ".csv", Good, "worth_in_time"},
		{"experiment report --json " + results, Good, `"pairs": 4`},
		{"experiment report nowhere", Wrong, "no such file"},
		{"experiment gate --bound 1 " + results, Good, "good"},
		{"experiment gate --figure attempts_a_request --bound 0.0001 --base one " + results, No, "may be worse"},
		{"experiment gate --figure odd " + results, Wrong, "no figure"},
		{"experiment one " + plan + " --variant one --seed 2", Good, `"first_ms"`},
		{"fleet emulate " + plan + " --registry 0.0.0.0:0", Wrong, "loopback"},
		{"fleet emulate " + plan + " --registry 127.0.0.1:0 --gateway 127.0.0.1:1 --settle 0s --workload odd", Wrong, "not in the plan"},
		{"experiment one " + plan + " --variant none", Wrong, "there are base, one"},
		{"contracts show x " + teams, Good, "successor all"},
		{"contracts show nobody " + teams, No, "no contract"},
		{"contracts show x --socket /nowhere/x", Wrong, "no gateway answers"},
		{"contracts simulate " + dir + " --config " + teams, Good, "budget_spent"},
		{"contracts simulate --json " + dir + " --config " + teams, Good, `"requests": 100`},
		{"contracts simulate " + dir + " --config " + good, Wrong, "no contracts in it"},
		{"contracts simulate " + dir, Wrong, "--config"},
		{"contracts report " + dir + " --config " + teams + " --out " + page, Good, page},
		{"contracts report " + dir + " --config " + teams + " --out /nowhere/x/y", Wrong, "nowhere"},
	} {
		code, out, errOut := run(strings.Fields(c.args)...)
		if c.args[:4] == "capt" && strings.Contains(c.args, "info") {
			c.want = "checkpoints"
		}
		if code != c.code || !strings.Contains(out+errOut, c.want) {
			t.Errorf("archknot %s: exit code %d, wanted %d and %q:\n%s%s", c.args, code, c.code, c.want, out, errOut)
		}
	}
}

// Every command has an example in its help.
func TestHelpHasExamples(t *testing.T) {
	for _, c := range []string{"serve", "config check", "config show", "config diff", "config status", "config history", "config rollback", "capture info", "capture verify", "capture dump", "capture cut",
		"capture explain", "capture save", "replay", "version", "contracts list", "contracts show", "contracts simulate", "contracts report", "experiment run",
		"experiment report", "experiment gate", "experiment one", "fleet emulate"} {
		if code, out, _ := run(append(strings.Fields(c), "--help")...); code != Good || !strings.Contains(out, "Example") {
			t.Errorf("%s: %d\n%s", c, code, out)
		}
	}
}

// Differences that are meant are accepted by a command, and others are not.
func TestAccept(t *testing.T) {
	dir := small(t)
	files, _ := filepath.Glob(filepath.Join(dir, "*.akcap"))
	changed := filepath.Join(t.TempDir(), "changed.akcap")
	if err := capture.RewriteHeader(files[0], changed, capture.ChangeSettings(func(s *balancer.Settings) { s.Tick = 3000 })); err != nil {
		t.Fatal(err)
	}
	if code, out, _ := run("replay", changed); code != No || !strings.Contains(out, "kind timer: 100") {
		t.Fatalf("%d\n%s", code, out)
	}
	if code, _, _ := run("replay", "--accept", changed); code != Good {
		t.Fatal("not accepted")
	}
	if code, out, _ := run("replay", changed); code != Good || !strings.Contains(out, "as accepted") {
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
	if code, out, _ := run("replay", changed); code != No || !strings.Contains(out, "not as accepted") {
		t.Errorf("%d\n%s", code, out)
	}
}
