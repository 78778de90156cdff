package config

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

const (
	maxFileBytes = 1 << 20
	maxFileCount = 64
	// includeKey is the key that includes other files.
	includeKey = "include"
)

// noPosition is the position of an error that belongs to no line.
var noPosition lexer.Position

// entry is one setting with the section that it stands in.
type entry struct {
	section, label string
	sectionPos     lexer.Position
	setting        *setting
	file           string
}

// reader collects the settings, and the errors, of a file and of those it includes.
type reader struct {
	entries      []entry
	problems     SettingErrors
	includeStack []string // the files being read, outermost first
	fileCount    int
}

// addProblem adds an error.
func (r *reader) addProblem(file string, pos lexer.Position, key, format string, args ...any) {
	r.problems = append(r.problems,
		&SettingError{File: file, Line: pos.Line, Column: pos.Column, Key: key, Message: fmt.Sprintf(format, args...)})
}

// err returns the errors, nil if there are none.
func (r *reader) err() error {
	if len(r.problems) == 0 {
		return nil
	}
	return r.problems
}

// readFile reads one file; from is the file that includes it at a position, "" if
// none does. Sections do not extend across files: an included file begins outside
// all sections, and the including file continues in its own.
func (r *reader) readFile(path string, includedFrom string, pos lexer.Position) {
	text, resolved, err := r.open(path)
	if err != nil {
		if includedFrom == "" {
			r.addProblem(path, noPosition, "", "%v", err)
		} else {
			r.addProblem(includedFrom, pos, includeKey, "%s: %v", path, err)
		}
		return
	}
	r.includeStack = append(r.includeStack, resolved)
	defer func() { r.includeStack = r.includeStack[:len(r.includeStack)-1] }()
	var current section
	for i, text := range strings.Split(text, "\n") {
		number := i + 1
		parsed, err := parser().ParseString(path, text)
		if err != nil {
			r.addSyntaxError(path, number, err)
			continue
		}
		switch {
		case parsed.Section != nil:
			current = *parsed.Section
			current.Pos.Line = number
		case parsed.Setting != nil:
			parsed.Setting.setLine(number)
			r.addSetting(path, &current, parsed.Setting)
		}
	}
}

// open returns the text of a file and its path without symbolic links.
func (r *reader) open(path string) (text, resolved string, err error) {
	resolved, err = filepath.Abs(path)
	if err != nil {
		return "", "", err
	}
	if target, err := filepath.EvalSymlinks(resolved); err == nil {
		resolved = target
	}
	if slices.Contains(r.includeStack, resolved) {
		return "", "", fmt.Errorf("includes itself, by way of %s", strings.Join(r.includeStack, ", "))
	}
	r.fileCount++
	if r.fileCount > maxFileCount {
		return "", "", fmt.Errorf("more than %d files", maxFileCount)
	}
	text, err = readLimited(resolved)
	return text, resolved, err
}

// addSyntaxError adds the parser's error for a line.
func (r *reader) addSyntaxError(path string, number int, err error) {
	pos := lexer.Position{Line: number, Column: 1}
	message := err.Error()
	var syntax participle.Error
	if errors.As(err, &syntax) {
		pos.Column = max(1, syntax.Position().Column)
		message = operatorMessage(syntax.Message())
	}
	r.addProblem(path, pos, "", "%s", message)
}

// addSetting adds a setting of a file, or the files that it includes.
func (r *reader) addSetting(path string, in *section, s *setting) {
	if s.Key == includeKey {
		r.readIncluded(path, s)
		return
	}
	e := entry{section: in.Name, sectionPos: in.Pos, setting: s, file: path}
	if in.Label != nil {
		e.label = in.Label.Text
	}
	r.entries = append(r.entries, e)
}

// readIncluded reads the files that a pattern matches, in the order of their names.
// A relative path is relative to the including file.
func (r *reader) readIncluded(includedFrom string, s *setting) {
	if len(s.Values) != 1 {
		r.addProblem(includedFrom, s.Pos, s.Key, "expected one path, got %d", len(s.Values))
		return
	}
	path := s.Values[0].Text
	if !filepath.IsAbs(path) {
		path = filepath.Join(filepath.Dir(includedFrom), path)
	}
	if !strings.ContainsAny(path, "*?[") {
		r.readFile(path, includedFrom, s.Pos)
		return
	}
	matches, err := filepath.Glob(path)
	if err != nil {
		r.addProblem(includedFrom, s.Values[0].Pos, s.Key, "%s: %v", path, err)
		return
	}
	for _, match := range matches {
		r.readFile(match, includedFrom, s.Pos)
	}
}

// readLimited reads a file of at most maxFileBytes. Its errors do not repeat the path.
func readLimited(path string) (string, error) {
	f, err := os.Open(path)
	if err != nil {
		var pathErr *os.PathError
		if errors.As(err, &pathErr) {
			err = pathErr.Err
		}
		return "", err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err == nil && len(text) > maxFileBytes {
		err = fmt.Errorf("over %d bytes", maxFileBytes)
	}
	return string(text), err
}

// assign sets the key that an entry names, or adds the reason why it cannot be set.
// fullName is the key's name with its section; seen has the entries so far by these.
func (r *reader) assign(keys []keySpec, e entry, fullName string, seen map[string]entry) {
	i := slices.IndexFunc(keys, func(k keySpec) bool { return k.name == e.setting.Key })
	if i < 0 {
		r.addProblem(e.file, e.setting.Pos, fullName, "unknown key%s", suggestWord(e.setting.Key, keyNames(keys)))
		return
	}
	if earlier, found := seen[fullName]; found {
		r.addProblem(e.file, e.setting.Pos, fullName, "given already at %s:%d", earlier.file, earlier.setting.Pos.Line)
		return
	}
	seen[fullName] = e
	if err := keys[i].set(e.setting.words()); err != nil {
		r.addProblem(e.file, e.setting.valuePos(), fullName, "%v", err)
	}
}
