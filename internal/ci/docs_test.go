package ci

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

var (
	codeSpan     = regexp.MustCompile("`([^`\n]+)`")
	repoPath     = regexp.MustCompile(`^(?:internal|balancer|cmd|example|deploy|scripts|testdata|docs)/[\w./*-]+$`)
	qualified    = regexp.MustCompile(`^([a-z]\w*)\.([A-Z]\w*)$`)
	methodOrTest = regexp.MustCompile(`^(?:([A-Z]\w*)\.([A-Za-z]\w*)|(Test[A-Z]\w*|Benchmark[A-Z]\w*))$`)
	goFile       = regexp.MustCompile(`^\w+\.go$`)
	anyGoFile    = regexp.MustCompile(`[\w./-]*\w\.go\b`)
	codeEntry    = regexp.MustCompile(`^(\w+)(?:: ((?:\w+, )*\w+))?(?: \([^|]*\))?$`)
	camelCase    = regexp.MustCompile(`^[a-z]+[a-z0-9]*[A-Z]\w*$`)
	testName     = regexp.MustCompile(`\b(?:Test|Benchmark)[A-Z]\w*\b`)
	link         = regexp.MustCompile(`\]\(([^)#:\s]+)(?:#[^)]*)?\)`)
	logLine      = regexp.MustCompile(`^\| ((?:` + "`[a-z_]+`" + `(?:, )?)+)`)
)

// declared has the names that the tree's Go files declare.
type declared struct {
	inPackage map[string]map[string]bool // top-level names by package name
	members   map[string]map[string]bool // methods and fields by type name
	methods   map[string]map[string]bool // methods by package name
	files     map[string]bool            // base names of Go files and their paths from the root
	idents    map[string]bool            // all identifiers
	literals  map[string]bool            // string literals
	text      strings.Builder            // all of them
}

func declarations(t *testing.T) *declared {
	t.Helper()
	d := &declared{inPackage: map[string]map[string]bool{}, members: map[string]map[string]bool{},
		methods: map[string]map[string]bool{}, files: map[string]bool{}, idents: map[string]bool{}, literals: map[string]bool{}}
	for _, root := range []string{"balancer", "internal", "cmd", "example"} {
		err := filepath.WalkDir(filepath.Join("../..", root), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				return err
			}
			d.files[entry.Name()] = true
			d.files[strings.TrimPrefix(path, "../../")] = true
			d.addFile(file)
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return d
}

func (d *declared) addFile(file *ast.File) {
	pkg := strings.TrimSuffix(file.Name.Name, "_test")
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.FuncDecl:
			if n.Recv == nil {
				add(d.inPackage, pkg, n.Name.Name)
			} else {
				add(d.members, receiver(n), n.Name.Name)
				add(d.methods, pkg, n.Name.Name)
			}
		case *ast.TypeSpec:
			add(d.inPackage, pkg, n.Name.Name)
			d.addMembers(n)
		case *ast.ValueSpec:
			for _, name := range n.Names {
				add(d.inPackage, pkg, name.Name)
			}
		case *ast.Ident:
			d.idents[n.Name] = true
		case *ast.BasicLit:
			if n.Kind == token.STRING {
				d.literals[strings.Trim(n.Value, "\"`")] = true
				d.text.WriteString(n.Value)
			}
		}
		return true
	})
}

func (d *declared) addMembers(spec *ast.TypeSpec) {
	var fields *ast.FieldList
	switch body := spec.Type.(type) {
	case *ast.StructType:
		fields = body.Fields
	case *ast.InterfaceType:
		fields = body.Methods
	default:
		return
	}
	for _, field := range fields.List {
		for _, name := range field.Names {
			add(d.members, spec.Name.Name, name.Name)
		}
	}
}

func receiver(f *ast.FuncDecl) string {
	of := f.Recv.List[0].Type
	if star, ok := of.(*ast.StarExpr); ok {
		of = star.X
	}
	if index, ok := of.(*ast.IndexExpr); ok {
		of = index.X
	}
	name, ok := of.(*ast.Ident)
	if !ok {
		return ""
	}
	return name.Name
}

func add(to map[string]map[string]bool, key, name string) {
	if to[key] == nil {
		to[key] = map[string]bool{}
	}
	to[key][name] = true
}

// missing says what of a code span in the docs is not in the tree, "" if all is or nothing can be said.
func (d *declared) missing(span string) string {
	if repoPath.MatchString(span) {
		if found, err := filepath.Glob(filepath.Join("../..", span)); err != nil || len(found) == 0 {
			return "there is no such file"
		}
		return ""
	}
	if goFile.MatchString(span) && !d.files[span] {
		return "there is no such file"
	}
	if camelCase.MatchString(span) && !d.idents[span] && !strings.Contains(d.text.String(), span) {
		return "there is no such name"
	}
	if m := qualified.FindStringSubmatch(span); m != nil {
		if names, ok := d.inPackage[m[1]]; ok && !names[m[2]] {
			return "package " + m[1] + " declares no " + m[2]
		}
		return ""
	}
	m := methodOrTest.FindStringSubmatch(span)
	switch {
	case m == nil:
		return ""
	case m[3] != "":
		for _, names := range d.inPackage {
			if names[m[3]] {
				return ""
			}
		}
		return "there is no such test"
	}
	if members, ok := d.members[m[1]]; ok && !members[m[2]] {
		return "type " + m[1] + " has no " + m[2]
	}
	return ""
}

// missingFiles returns the Go files that a text names, in code spans or not, and that are not in the tree. A path
// may begin below internal.
func (d *declared) missingFiles(text string) (missing []string) {
	for _, name := range anyGoFile.FindAllString(text, -1) {
		if !d.files[name] && !d.files["internal/"+name] {
			missing = append(missing, name)
		}
	}
	return missing
}

// missingCode returns what of a cell of the code column in docs/conformance.md is not in the tree. A cell has entries
// such as "gateway: serve, relayStream (remark); balancer: mayShed", a path in backticks or "not served: why".
func (d *declared) missingCode(cell string) (missing []string) {
	if strings.HasPrefix(cell, "not served") || codeSpan.MatchString(cell) && codeSpan.FindString(cell) == cell {
		return nil
	}
	for entry := range strings.SplitSeq(cell, "; ") {
		m := codeEntry.FindStringSubmatch(entry)
		if m == nil || d.inPackage[m[1]] == nil {
			missing = append(missing, entry)
			continue
		}
		for name := range strings.SplitSeq(m[2], ", ") {
			if name != "" && !d.inPackage[m[1]][name] && !d.methods[m[1]][name] {
				missing = append(missing, m[1]+": "+name)
			}
		}
	}
	return missing
}

// isRecord reports whether a page is a record, which keeps the names of its time.
func isRecord(page string) bool {
	return strings.Contains(page, "docs/measurements/") || strings.Contains(page, "docs/incidents/")
}

func pages(t *testing.T) (out []string) {
	t.Helper()
	err := filepath.WalkDir("../../docs", func(path string, entry fs.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(path, ".md") {
			out = append(out, path)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return append(out, "../../README.md", "../../CHANGELOG.md", "../../example/README.md")
}

// TestDocsNameWhatIsThere holds the paths, Go names, tests and links that the docs quote against the tree.
func TestDocsNameWhatIsThere(t *testing.T) {
	d := declarations(t)
	for _, page := range pages(t) {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range codeSpan.FindAllStringSubmatch(string(text), -1) {
			if why := d.missing(strings.TrimSuffix(m[1], "()")); why != "" {
				t.Errorf("%s: `%s`: %s", page, m[1], why)
			}
		}
		for _, name := range testName.FindAllString(string(text), -1) {
			if why := d.missing(name); why != "" {
				t.Errorf("%s: %s: %s", page, name, why)
			}
		}
		if !isRecord(page) {
			for _, name := range d.missingFiles(string(text)) {
				t.Errorf("%s: %s: there is no such file", page, name)
			}
		}
		for _, m := range link.FindAllStringSubmatch(string(text), -1) {
			if _, err := os.Stat(filepath.Join(filepath.Dir(page), m[1])); err != nil {
				t.Errorf("%s: link to %s: %v", page, m[1], err)
			}
		}
	}
}

// TestConformanceNamesCode holds the code column of docs/conformance.md against the tree.
func TestConformanceNamesCode(t *testing.T) {
	d := declarations(t)
	text, err := os.ReadFile("../../docs/conformance.md")
	if err != nil {
		t.Fatal(err)
	}
	rows := 0
	for line := range strings.Lines(string(text)) {
		cells := strings.Split(line, " | ")
		if !strings.HasPrefix(line, "| ") || len(cells) < 3 || cells[1] == "code" || cells[1] == "---" {
			continue
		}
		rows++
		for _, name := range d.missingCode(cells[1]) {
			t.Errorf("%s: %q: there is no such package or name", cells[0], name)
		}
	}
	if rows < 40 {
		t.Errorf("%d rows of duties were read", rows)
	}
}

// TestDocsNameLogLines holds the first column of the tables of log lines against the program's text.
func TestDocsNameLogLines(t *testing.T) {
	d := declarations(t)
	for _, page := range pages(t) {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		inTable := false
		for line := range strings.Lines(string(text)) {
			switch {
			case strings.HasPrefix(line, "| `msg` |"), strings.HasPrefix(line, "| line (`msg`) |"):
				inTable = true
			case !strings.HasPrefix(line, "|"):
				inTable = false
			}
			m := logLine.FindStringSubmatch(line)
			if !inTable || m == nil || strings.HasPrefix(line, "| `msg` |") {
				continue
			}
			for _, name := range codeSpan.FindAllStringSubmatch(m[1], -1) {
				if !d.logs(name[1]) {
					t.Errorf("%s: no log line `%s` in the program", page, name[1])
				}
			}
		}
	}
}

// logs reports whether the program has a log line of that name. Some names are put together of two literals.
func (d *declared) logs(name string) bool {
	if d.literals[name] || strings.Contains(d.text.String(), "msg="+name+" ") {
		return true
	}
	parts := strings.SplitAfter(name, "_")
	for i := range parts {
		if d.literals[strings.Join(parts[:i], "")] && d.literals[strings.Join(parts[i:], "")] {
			return true
		}
	}
	return false
}

// TestDocNamesAreFound holds what the check of names finds and what it lets pass.
func TestDocNamesAreFound(t *testing.T) {
	d := declarations(t)
	for span, bad := range map[string]bool{"internal/ci/docs_test.go": false, "internal/none": true, "ci.TestLayers": false, "balancer.None": true,
		"TestDocNamesAreFound": false, "TestNone": true, "Balancer.Reconfigure": false, "Balancer.none": true, "http.Server": false,
		"docs_test.go": false, "noSuchName" + "AtAll": true, "goFile": false} {
		if why := d.missing(span); (why != "") != bad {
			t.Errorf("`%s`: %q", span, why)
		}
	}
	for text, bad := range map[string]bool{"see ci/docs_test.go, docs_test.go.": false, "internal/ci/docs_test.go": false,
		"see ci/none.go": true, "(none.go)": true, "wire/docs_test.go": true} {
		if names := d.missingFiles(text); (len(names) > 0) != bad {
			t.Errorf("%q: missing %q", text, names)
		}
	}
	for cell, bad := range map[string]bool{"ci: TestLayers, missingCode (a remark); balancer: mayShed": false, "boltfile; ledger": false,
		"not served: nothing": false, "`deploy/balancer.toml`": false, "ci: TestLayers, none": true, "none: TestLayers": true,
		"ci: TestLayers; none": true, "ci/docs_test.go missing": true} {
		if names := d.missingCode(cell); (len(names) > 0) != bad {
			t.Errorf("%q: missing %q", cell, names)
		}
	}
	if !slices.Contains(pages(t), "../../docs/on-call.md") {
		t.Error("docs/on-call.md is not read")
	}
}
