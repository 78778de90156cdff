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
	maxFileBytes = 1 << 20 // size limit of each file
	maxFileCount = 64      // limit on all files read, the including file counted
	// includeKey is the key that includes other files.
	includeKey = "include"
)

// noPosition is the position of an error that belongs to no line.
var noPosition lexer.Position

// entry is one setting together with its section and file.
type entry struct {
	section, label string
	sectionPos     lexer.Position
	setting        *setting
	file           string
}

// reader collects the settings and errors of a file and of its includes.
type reader struct {
	entries      []entry
	problems     SettingErrors
	includeStack []string // the files being read, outermost first
	fileCount    int
}

func (r *reader) addProblem(file string, pos lexer.Position, key, format string, args ...any) {
	r.problems = append(r.problems,
		&SettingError{File: file, Line: pos.Line, Column: pos.Column, Key: key, Message: fmt.Sprintf(format, args...)})
}

// err returns the collected errors as a SettingErrors, nil if there are none.
func (r *reader) err() error {
	if len(r.problems) == 0 {
		return nil
	}
	return r.problems
}

// readFile reads one file. includedFrom and pos give the include that refers to it;
// includedFrom is "" for the top-level file. Sections do not extend across files: an
// included file begins outside all sections, and the including file continues in its
// current section.
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

// open returns the text of a file and its absolute path without symbolic links. It
// returns an error for an include cycle and for more than maxFileCount files.
func (r *reader) open(path string) (text, resolved string, err error) {
	resolved, err = filepath.Abs(path)
	if err != nil {
		return "", "", err
	}
	if target, err := filepath.EvalSymlinks(resolved); err == nil {
		resolved = target
	}
	if slices.Contains(r.includeStack, resolved) {
		return "", "", fmt.Errorf("include cycle through %s", strings.Join(r.includeStack, ", "))
	}
	r.fileCount++
	if r.fileCount > maxFileCount {
		return "", "", fmt.Errorf("more than %d files in total", maxFileCount)
	}
	text, err = readLimited(resolved)
	return text, resolved, err
}

// addSyntaxError adds the parser's error for a line, with a message for operators.
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

// addSetting adds a setting to the entries. An include key reads the named files.
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

// readIncluded reads the file or the files that an include's path or glob pattern
// names, in lexical order. A relative path is relative to the including file. A
// pattern without matches is no error.
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

// readLimited reads a file of at most maxFileBytes. Its errors omit the path.
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
		err = fmt.Errorf("file larger than %d bytes", maxFileBytes)
	}
	return string(text), err
}

// assign sets the key that an entry names, or adds an error. fullName is the key's name
// with its section; seen holds the entries of the keys set so far, by full name.
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
