// Package conf reads archknot's own settings: lines of `key value`, in sections,
// as classic daemons have them. This is the one place where they are read,
// checked and given defaults. What the platform tells a gateway (NODE_CONFIG) is
// not here but in package lifecycle.
package config

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// line is the grammar of one line. Lines are parsed one by one, so that one at
// fault does not hide the faults of those after it.
type line struct {
	Section *section `parser:"(  @@"`
	Setting *setting `parser:" | @@ )? Comment?"`
}

type section struct {
	Pos  lexer.Position
	Name string `parser:"'[' @Word"`
	// Label tells sections of one name apart: [team island-tax].
	Label *word `parser:"@@? ']'"`
}

type setting struct {
	Pos    lexer.Position
	Key    string  `parser:"@Word"`
	Values []*word `parser:"@@*"`
}

// words are the values as they stand.
func (s *setting) words() []string {
	out := make([]string, len(s.Values))
	for i, w := range s.Values {
		out[i] = w.Text
	}
	return out
}

// valuePos is where the values begin, or the key if there are none.
func (s *setting) valuePos() lexer.Position {
	if len(s.Values) > 0 {
		return s.Values[0].Pos
	}
	return s.Pos
}

type word struct {
	Pos  lexer.Position
	Text string `parser:"@(Word | String)"`
}

// parser is built at the first use: a gateway without a file never needs it.
var parser = sync.OnceValue(func() *participle.Parser[line] {
	return participle.MustBuild[line](
		participle.Lexer(lexer.MustSimple([]lexer.SimpleRule{
			{Name: "Comment", Pattern: `#.*`},
			{Name: "String", Pattern: `"(\\.|[^"\\])*"`},
			{Name: "Punct", Pattern: `[\[\]]`},
			{Name: "Word", Pattern: `[^\s"#\[\]][^\s"\]]*`},
			{Name: "space", Pattern: `[ \t\r]+`},
		})),
		participle.Unquote("String"), participle.Elide("space"))
})

// Problem is one fault of the settings.
type Problem struct {
	File         string
	Line, Column int
	Key          string // "" where the fault is no key's
	Message      string
}

func (p *Problem) Error() string {
	at := fmt.Sprintf("%s:%d:%d: ", p.File, p.Line, p.Column)
	if p.Line == 0 {
		at = p.File + ": "
	}
	if p.Key != "" {
		at += p.Key + ": "
	}
	return at + p.Message
}

// Problems are all faults found, in the order of the files' lines.
type Problems []*Problem

func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, one := range p {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}

// Bounds on what is read.
const (
	maxFileBytes = 1 << 20
	maxFileCount = 64
)

// entry is one setting with the section that it stands in.
type entry struct {
	section, label string
	sectionPos     lexer.Position
	setting        *setting
	file           string
}

// reader collects the settings of a file and of those it includes.
type reader struct {
	entries      []entry
	problems     Problems
	includeStack []string // the files being read, outermost first
	fileCount    int
}

func (r *reader) addProblem(file string, pos lexer.Position, key, format string, args ...any) {
	r.problems = append(r.problems, &Problem{File: file, Line: pos.Line, Column: pos.Column, Key: key, Message: fmt.Sprintf(format, args...)})
}

// readFile reads one file. Sections do not reach across files: an included file
// begins outside all sections, and the including one goes on in its own.
func (r *reader) readFile(path string, from string, at lexer.Position) {
	fail := func(format string, args ...any) {
		if from == "" {
			r.addProblem(path, lexer.Position{}, "", format, args...)
			return
		}
		r.addProblem(from, at, "include", "%s: "+format, append([]any{path}, args...)...)
	}
	clean, err := filepath.Abs(path)
	if err != nil {
		fail("%v", err)
		return
	}
	if resolved, err := filepath.EvalSymlinks(clean); err == nil {
		clean = resolved
	}
	for _, open := range r.includeStack {
		if open == clean {
			fail("includes itself, by way of %s", strings.Join(r.includeStack, ", "))
			return
		}
	}
	if r.fileCount++; r.fileCount > maxFileCount {
		fail("more than %d files", maxFileCount)
		return
	}
	text, err := readLimited(clean)
	if err != nil {
		fail("%v", err)
		return
	}
	r.includeStack = append(r.includeStack, clean)
	defer func() { r.includeStack = r.includeStack[:len(r.includeStack)-1] }()
	var in section
	for n, text := range strings.Split(text, "\n") {
		got, err := parser().ParseString(path, text)
		if err != nil {
			pos := lexer.Position{Line: n + 1, Column: 1}
			what := err.Error()
			var perr participle.Error
			if errors.As(err, &perr) {
				pos.Column, what = max(1, perr.Position().Column), plainMessage(perr.Message())
			}
			r.addProblem(path, pos, "", "%s", what)
			continue
		}
		switch {
		case got.Section != nil:
			in = *got.Section
			in.Pos.Line = n + 1
		case got.Setting != nil:
			s := got.Setting
			s.Pos.Line = n + 1
			for _, w := range s.Values {
				w.Pos.Line = n + 1
			}
			if s.Key == "include" {
				r.readIncluded(path, s)
				continue
			}
			e := entry{section: in.Name, sectionPos: in.Pos, setting: s, file: path}
			if in.Label != nil {
				e.label = in.Label.Text
			}
			r.entries = append(r.entries, e)
		}
	}
}

// readIncluded takes in the files that a pattern names, in the order of their names.
func (r *reader) readIncluded(from string, s *setting) {
	if len(s.Values) != 1 {
		r.addProblem(from, s.Pos, s.Key, "expected one path, got %d", len(s.Values))
		return
	}
	path := s.Values[0].Text
	if !filepath.IsAbs(path) {
		path = filepath.Join(filepath.Dir(from), path)
	}
	if !strings.ContainsAny(path, "*?[") {
		r.readFile(path, from, s.Pos)
		return
	}
	found, err := filepath.Glob(path)
	if err != nil {
		r.addProblem(from, s.Values[0].Pos, s.Key, "%s: %v", path, err)
		return
	}
	for _, f := range found {
		r.readFile(f, from, s.Pos)
	}
}

func readLimited(path string) (string, error) {
	f, err := os.Open(path)
	if err != nil {
		var perr *os.PathError
		if errors.As(err, &perr) {
			err = perr.Err
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

// plainMessage puts the parser's words into the operators'.
func plainMessage(what string) string {
	switch {
	case strings.HasPrefix(what, "invalid input text"), strings.Contains(what, "lexer:"):
		return "a quote that does not end, or a character that cannot stand here"
	case strings.Contains(what, `expected "]"`), strings.Contains(what, "sub-expression"):
		return "expected [section] or [section label]"
	}
	return what
}
