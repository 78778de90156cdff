// Package publicnames supports tests that hold the names others rely on: commands and flags, metrics,
// configuration keys, headers and paths, JSON fields. The names that the program has are compared with
// the lists in this package's testdata, so that a renamed Go identifier cannot change one unnoticed.
//
// No list is written by a test. A name is added to, or removed from, its list by hand, in the commit
// that changes what the program offers.
package publicnames

import (
	"encoding"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"runtime"
	"slices"
	"strings"
	"testing"
)

// Compare fails the test unless names, sorted and without duplicates, are those of the list testdata/list.txt.
func Compare(t *testing.T, list string, names []string) {
	t.Helper()
	_, source, _, _ := runtime.Caller(0)
	text, err := os.ReadFile(filepath.Join(filepath.Dir(source), "testdata", list+".txt"))
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
	if !slices.IsSorted(want) {
		t.Errorf("%s: the list is not sorted", list)
	}
	got := slices.Compact(slices.Sorted(slices.Values(names)))
	for _, name := range want {
		if _, found := slices.BinarySearch(got, name); !found {
			t.Errorf("%s: the program has lost %q", list, name)
		}
	}
	for _, name := range got {
		if !slices.Contains(want, name) {
			t.Errorf("%s: the program has %q, which is not on the list", list, name)
		}
	}
}

// JSONFields returns the paths of all fields that package encoding/json gives to a value of the type, each below root.
// Elements of slices, arrays and maps have the step "[]". An omitempty option is part of its field's name.
func JSONFields(root string, of reflect.Type) []string {
	return jsonFields(root, of, nil)
}

// Types that implement one of these have no fields in JSON.
var (
	jsonMarshaler = reflect.TypeFor[json.Marshaler]()
	textMarshaler = reflect.TypeFor[encoding.TextMarshaler]()
)

// jsonFields is JSONFields below a path; above are the types that contain the field.
func jsonFields(path string, of reflect.Type, above []reflect.Type) (names []string) {
	if of.Implements(jsonMarshaler) || of.Implements(textMarshaler) || slices.Contains(above, of) {
		return []string{path}
	}
	switch of.Kind() {
	case reflect.Pointer:
		return jsonFields(path, of.Elem(), above)
	case reflect.Slice, reflect.Array, reflect.Map:
		return jsonFields(path+"[]", of.Elem(), above)
	case reflect.Struct:
	default:
		return []string{path}
	}
	above = append(slices.Clone(above), of)
	for field := range of.Fields() {
		tag, options, _ := strings.Cut(field.Tag.Get("json"), ",")
		switch {
		case tag == "-" && options == "" || !field.IsExported() && !field.Anonymous:
			continue
		case field.Anonymous && tag == "":
			names = append(names, jsonFields(path, field.Type, above)...)
			continue
		case tag == "":
			tag = field.Name
		}
		if options != "" {
			options = "," + options
		}
		names = append(names, jsonFields(path+"."+tag+options, field.Type, above)...)
	}
	return names
}
