package publicnames_test

import (
	"context"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"io/fs"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"go.etcd.io/bbolt"

	"archknot/balancer"
	"archknot/internal/capture"
	"archknot/internal/config"
	"archknot/internal/configversion"
	"archknot/internal/contract"
	"archknot/internal/contract/ledger"
	"archknot/internal/contractsim"
	"archknot/internal/controlstats"
	"archknot/internal/experiment"
	"archknot/internal/lifecycle"
	"archknot/internal/metrics"
	"archknot/internal/publicnames"
	"archknot/internal/replay"
	"archknot/internal/simwire"
	"archknot/internal/xdsclient"
)

// figuresSource has one metric of each kind.
type figuresSource struct{}

func (figuresSource) Accounts(context.Context) ([]contract.AccountStatus, error) {
	account := contract.AccountStatus{Team: "team"}
	for i := range account.Limit {
		account.Limit[i] = 1
	}
	return []contract.AccountStatus{account}, nil
}

func (figuresSource) Control(context.Context) (controlstats.Stats, error) {
	return controlstats.Stats{
		ClosedConnections: map[string]int64{"idle": 1}, Polls: map[string]int64{"silent": 1},
		OperatorCalls: []controlstats.OperatorCallCount{{Call: "ready", Accepted: true}, {Call: "ready"}},
	}, nil
}

// Metrics keep their names, labels and the labels' values.
func TestMetrics(t *testing.T) {
	w := httptest.NewRecorder()
	metrics.Handler(10, figuresSource{}).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	types := map[string]string{}
	var names []string
	for line := range strings.Lines(w.Body.String()) {
		if name, ok := strings.CutPrefix(line, "# TYPE "); ok {
			name, kind, _ := strings.Cut(strings.TrimSpace(name), " ")
			types[name] = kind
			continue
		}
		if !strings.HasPrefix(line, "archknot_") {
			continue // of the Go runtime, or a comment
		}
		series, _, _ := strings.Cut(line, " ")
		name, _, _ := strings.Cut(series, "{")
		names = append(names, types[name]+" "+series)
	}
	publicnames.Compare(t, "metrics", names)
}

// noSuchKey resembles no key, so that the error for it lists all known keys and suggests none.
const noSuchKey = "~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~"

// knownKeys returns the keys that the error for an unknown key lists.
func knownKeys(t *testing.T, load func(file string) error, text string) []string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "f")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	err := load(file)
	if err == nil {
		t.Fatalf("%q: no error", text)
	}
	_, known, ok := strings.Cut(err.Error(), "; known: ")
	if !ok {
		t.Fatalf("%q: %v", text, err)
	}
	known, _, _ = strings.Cut(known, "\n")
	return strings.Split(known, ", ")
}

func loadSettings(file string) error {
	_, err := config.Load(file)
	return err
}

func loadPlan(file string) error {
	_, err := config.LoadPlan(file)
	return err
}

func loadScaleRun(file string) error {
	_, err := config.LoadScaleRun(file)
	return err
}

// The settings file keeps its sections, keys, forms and defaults.
func TestSettingsFile(t *testing.T) {
	names := knownKeys(t, loadSettings, "["+noSuchKey+"]\n"+noSuchKey+" 1\n")
	for i, section := range names {
		names[i] = "[" + section + "]"
	}
	for _, s := range config.Default().Settings() {
		names = append(names, s.Section+"."+s.Key+" = "+s.Default+" ("+s.Type+")")
	}
	for _, key := range knownKeys(t, loadSettings, "[contract x]\n"+noSuchKey+" 1\n") {
		names = append(names, "contract."+key)
	}
	publicnames.Compare(t, "settings", names)
}

// Plan files keep their sections and keys, and so do plans of scale runs.
func TestPlanFiles(t *testing.T) {
	sections := knownKeys(t, loadPlan, "["+noSuchKey+"]\n"+noSuchKey+" 1\n")
	var names []string
	for _, section := range sections {
		names = append(names, "["+section+"]")
		var label string
		switch section {
		case "variant", "workload":
			continue // their keys are not in a table
		case "class", "contract", "fault", "strike", "tenant", "traffic", "workers":
			label = " x"
		}
		for _, key := range knownKeys(t, loadPlan, "["+section+label+"]\n"+noSuchKey+" 1\n") {
			names = append(names, section+"."+key)
		}
	}
	for _, key := range knownKeys(t, loadScaleRun, "[scale]\n"+noSuchKey+" 1\n") {
		names = append(names, "scale run "+key)
	}
	publicnames.Compare(t, "plans", names)
}

// What is written as JSON to the control socket, in captures and in stores keeps its fields' names.
func TestJSONFields(t *testing.T) {
	var names []string
	for root, of := range map[string]reflect.Type{
		"capture settings":    reflect.TypeFor[balancer.Settings](),
		"capture manifest":    reflect.TypeFor[capture.Manifest](),
		"capture missing":     reflect.TypeFor[capture.MissingPart](),
		"config history":      reflect.TypeFor[xdsclient.HistoryEntry](),
		"control accounts":    reflect.TypeFor[contract.AccountStatus](),
		"control figures":     reflect.TypeFor[controlstats.Stats](),
		"control rollback":    reflect.TypeFor[lifecycle.RollbackRequest](),
		"control save":        reflect.TypeFor[lifecycle.SaveCaptureRequest](),
		"control save answer": reflect.TypeFor[lifecycle.SaveCaptureResponse](),
		"control status":      reflect.TypeFor[lifecycle.ConfigStatus](),
		"contracts":           reflect.TypeFor[contract.Terms](),
		"experiment record":   reflect.TypeFor[experiment.Record](),
		"experiment report":   reflect.TypeFor[experiment.Summary](),
		"settings shown":      reflect.TypeFor[config.Setting](),
		"simulator settings":  simwire.SettingsType(),
		"contracts simulated": reflect.TypeFor[contractsim.Result](),
		"replay builds":       reflect.TypeFor[replay.BuildComparison](),
		"replay difference":   reflect.TypeFor[replay.Difference](),
		"replay perturbed":    reflect.TypeFor[replay.PerturbResult](),
		"replay result":       reflect.TypeFor[replay.Result](),
	} {
		names = append(names, publicnames.JSONFields(root, of)...)
	}
	publicnames.Compare(t, "json", names)
}

// Stores keep their files, buckets and keys.
func TestStores(t *testing.T) {
	dir := t.TempDir()
	configurations, _, err := xdsclient.OpenStore(filepath.Join(dir, "configurations"))
	if err != nil {
		t.Fatal(err)
	}
	if err := configurations.SaveVersion(&configversion.Config{}, []configversion.Number{1}); err != nil {
		t.Fatal(err)
	}
	balances, _, err := ledger.Open(filepath.Join(dir, "balances"))
	if err != nil {
		t.Fatal(err)
	}
	results, _, err := experiment.OpenStore(dir, []byte("plan"))
	if err != nil {
		t.Fatal(err)
	}
	for _, store := range []io.Closer{configurations, balances, results} {
		if err := store.Close(); err != nil {
			t.Fatal(err)
		}
	}
	files, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, file := range files {
		names = append(names, storedNames(t, dir, file.Name())...)
	}
	publicnames.Compare(t, "stores", names)
}

// storedNames returns the buckets of a store's file, and their keys.
func storedNames(t *testing.T, dir, file string) (names []string) {
	t.Helper()
	db, err := bbolt.Open(filepath.Join(dir, file), 0o600, &bbolt.Options{ReadOnly: true})
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	err = db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(bucket []byte, b *bbolt.Bucket) error {
			names = append(names, file+" "+string(bucket))
			return b.ForEach(func(key, _ []byte) error {
				names = append(names, file+" "+string(bucket)+"."+string(key))
				return nil
			})
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}

// onTheWire finds headers, paths, environment variables and orders to the control socket in string literals.
var onTheWire = regexp.MustCompile(`\b(NODE|ARCHKNOT)_[A-Z_]+\b|\b[A-Z][a-z]+(-[A-Z][a-z]+)+\b|^([A-Z]+ )?/[A-Za-z0-9/_-]*$|^(capture|config|contracts)/[a-z]+$`)

// otherEnds are directories with the other ends of the connections, such as emulated replicas.
var otherEnds = []string{"fakes", "faulttest", "scaletest", "fleet", "experiment", "publicnames"}

// Headers, paths and environment variables that the program has as string literals stay.
func TestWireLiterals(t *testing.T) {
	var names []string
	for _, dir := range []string{"../../cmd/archknot", "../../internal", "../../balancer"} {
		err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
			switch {
			case err != nil:
				return err
			case entry.IsDir() && slices.Contains(otherEnds, entry.Name()):
				return fs.SkipDir
			case !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.HasSuffix(path, ".pb.go"):
				return nil
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				return err
			}
			names = append(names, literals(file)...)
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	publicnames.Compare(t, "wire", names)
}

// literals returns what onTheWire finds in a file.
func literals(file *ast.File) (names []string) {
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.ImportSpec:
			return false
		case *ast.BasicLit:
			if text, err := strconv.Unquote(n.Value); err == nil && n.Kind == token.STRING {
				names = append(names, onTheWire.FindAllString(text, -1)...)
			}
		}
		return true
	})
	return names
}

// The deployment's file keeps its keys.
func TestDeploymentFile(t *testing.T) {
	text, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for line := range strings.Lines(string(text)) {
		if key, _, ok := strings.Cut(line, "="); ok && !strings.HasPrefix(line, "#") {
			names = append(names, strings.TrimSpace(key))
		}
	}
	publicnames.Compare(t, "deployment", names)
}
