package config

import (
	"strings"
	"sync"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// The names of the types and fields of the grammar are part of the parser's error
// messages.

// line is the grammar of one line. Lines are parsed one by one, so that an error in
// one does not hide those of the lines after it.
type line struct {
	Section *section `parser:"(  @@"`
	Setting *setting `parser:" | @@ )? Comment?"`
}

type section struct {
	Pos  lexer.Position
	Name string `parser:"'[' @Word"`
	// Label distinguishes sections of one name: [contract island-tax].
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

// words returns the values.
func (s *setting) words() []string {
	words := make([]string, len(s.Values))
	for i, value := range s.Values {
		words[i] = value.Text
	}
	return words
}

// valuePos returns where the values begin, or the key if there are none.
func (s *setting) valuePos() lexer.Position {
	if len(s.Values) > 0 {
		return s.Values[0].Pos
	}
	return s.Pos
}

// setLine sets the line of a setting, which the parser always takes for the first.
func (s *setting) setLine(number int) {
	s.Pos.Line = number
	for _, value := range s.Values {
		value.Pos.Line = number
	}
}

// parser is built at its first use: a gateway without a file never needs it.
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

// operatorMessage replaces the parser's messages by ones for operators.
func operatorMessage(message string) string {
	switch {
	case strings.HasPrefix(message, "invalid input text"), strings.Contains(message, "lexer:"):
		return "a quote that does not end, or a character that cannot stand here"
	case strings.Contains(message, `expected "]"`), strings.Contains(message, "sub-expression"):
		return "expected [section] or [section label]"
	}
	return message
}
