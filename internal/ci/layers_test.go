package ci

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

const module = "archknot/"

// layers are the rows of docs/ARCHITECTURE.md, the lowest first. A package is of the row that names it
// or, if none does, the nearest folder above it.
var layers = [][]string{
	{"balancer"},
	{"internal/httpwire", "internal/simwire", "internal/connpool", "internal/sockets", "internal/controlstats", "internal/boltfile",
		"internal/asynclog", "internal/procstat", "internal/buildinfo"},
	{"internal/endpoint", "internal/inflight", "internal/subset", "internal/maintenance", "internal/takeover", "internal/membership",
		"internal/configversion", "internal/contract", "internal/capture", "internal/capturetrigger"},
	{"internal/replay", "internal/contractsim", "internal/fleet", "internal/siteforecast"},
	{"internal/gateway", "internal/peers", "internal/sibling", "internal/adminapi", "internal/controlsocket", "internal/metrics", "internal/xdsclient",
		"internal/syncpoint", "internal/fakes", "internal/config"},
	{"internal/lifecycle", "internal/experiment", "internal/faulttest", "internal/scaletest"},
	{"internal/cli"},
	{"cmd", "example", "internal/ci", "internal/publicnames"},
}

// layerOf returns the number of a folder's layer, -1 if it has none.
func layerOf(folder string) int {
	for ; folder != "."; folder = filepath.Dir(folder) {
		for i, layer := range layers {
			for _, name := range layer {
				if name == folder {
					return i
				}
			}
		}
	}
	return -1
}

// TestLayers holds the imports of all packages, without their tests, to the rows of docs/ARCHITECTURE.md.
func TestLayers(t *testing.T) {
	for _, root := range []string{"balancer", "internal", "cmd", "example"} {
		err := filepath.WalkDir(filepath.Join("../..", root), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
			if err != nil {
				return err
			}
			folder, err := filepath.Rel("../..", filepath.Dir(path))
			if err != nil {
				return err
			}
			layer := layerOf(folder)
			if layer < 0 {
				t.Errorf("%s is in no layer", folder)
			}
			for _, spec := range file.Imports {
				imported, err := strconv.Unquote(spec.Path.Value)
				if err != nil {
					return err
				}
				name, ours := strings.CutPrefix(imported, module)
				if ours && layerOf(name) > layer {
					t.Errorf("%s imports %s, which is in a higher layer", path, name)
				}
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}
