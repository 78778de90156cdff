package config

import (
	"strings"
	"sync"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// The parser's error messages contain the names of the grammar's types and fields.

// line is the grammar of one line. Each line is parsed separately, so that a syntax
// error does not hide the errors in later lines.
type line struct {
	Section *section `parser:"(  @@"`
	Setting *setting `parser:" | @@ )? Comment?"`
}

type section struct {
	Pos  lexer.Position
	Name string `parser:"'[' @Word"`
	// Label distinguishes sections of the same name: [contract island-tax].
	Label *word `parser:"@@? ']'"`
}

type setting struct {
	Pos    lexer.Position
	Key    string  `parser:"@Word"`
	Values []*word `parser:"@@*"`
}

type word struct {
	Pos  lexer.Position
	Text string `parser:"@(Word | String)"`
}

// words returns the texts of the values.
func (s *setting) words() []string {
	words := make([]string, len(s.Values))
	for i, value := range s.Values {
		words[i] = value.Text
	}
	return words
}

// valuePos returns the position of the first value, or of the key if there is none.
func (s *setting) valuePos() lexer.Position {
	if len(s.Values) > 0 {
		return s.Values[0].Pos
	}
	return s.Pos
}

// setLine sets the line number of a setting and its values. The parser receives single
// lines and always reports line 1.
func (s *setting) setLine(number int) {
	s.Pos.Line = number
	for _, value := range s.Values {
		value.Pos.Line = number
	}
}

// parser is built on first use, since a gateway without a settings file does not need it.
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

// needsQuotes reports whether a word must be quoted in a file.
func needsQuotes(word string) bool { return strings.ContainsAny(word, " \t#\"[]") }

// operatorMessage replaces parser messages that name internals of the grammar by
// messages for operators.
func operatorMessage(message string) string {
	switch {
	case strings.HasPrefix(message, "invalid input text"), strings.Contains(message, "lexer:"):
		return "unterminated quote or unexpected character"
	case strings.Contains(message, `expected "]"`), strings.Contains(message, "sub-expression"):
		return "expected [section] or [section label]"
	}
	return message
}
