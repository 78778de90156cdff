package lifecycle

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// keyError is a setting that is wrong, named by its path in NODE_CONFIG, such as
// settings.requestClasses[1].targetUs.
type keyError struct{ key, reason string }

func (e *keyError) Error() string { return e.key + ": " + e.reason }

func newKeyError(key, format string, args ...any) error {
	return &keyError{key: key, reason: fmt.Sprintf(format, args...)}
}

// withPosition puts the file and the line and column of the key's value before an
// error that names a key, where the file holds that key; other errors pass.
func withPosition(path string, text []byte, err error) error {
	var k *keyError
	if !errors.As(err, &k) {
		return err
	}
	line, col, ok := locate(text, k.key)
	if !ok {
		return fmt.Errorf("%s: %w", path, err)
	}
	return fmt.Errorf("%s:%d:%d: %w", path, line, col, err)
}

// locate finds where the value of a dotted key with [n] indices begins in a JSON
// text: line and column from 1, the column in bytes.
func locate(text []byte, key string) (line, col int, ok bool) {
	dec := json.NewDecoder(bytes.NewReader(text))
	path := parseKeyPath(key)
	if path == nil {
		return 0, 0, false
	}
	at, ok := findValue(dec, text, path)
	if !ok {
		return 0, 0, false
	}
	before := text[:at]
	line = bytes.Count(before, []byte{'\n'}) + 1
	col = at - (bytes.LastIndexByte(before, '\n') + 1) + 1
	return line, col, true
}

// pathStep is one part of a key: a member's name, or an index where name is empty.
type pathStep struct {
	name  string
	index int
}

func parseKeyPath(key string) []pathStep {
	var out []pathStep
	for _, part := range strings.Split(key, ".") {
		name, rest, _ := strings.Cut(part, "[")
		out = append(out, pathStep{name: name, index: -1})
		for rest != "" {
			n, after, _ := strings.Cut(rest, "]")
			i, err := strconv.Atoi(n)
			if err != nil {
				return nil
			}
			out = append(out, pathStep{index: i})
			rest = strings.TrimPrefix(after, "[")
		}
	}
	return out
}

// findValue reads the value that comes next and returns the offset where the value at
// the steps begins.
func findValue(dec *json.Decoder, text []byte, path []pathStep) (int, bool) {
	if len(path) == 0 {
		at := int(dec.InputOffset())
		for at < len(text) && strings.IndexByte(" \t\r\n:,", text[at]) >= 0 {
			at++
		}
		return at, at < len(text)
	}
	tok, err := dec.Token()
	if err != nil {
		return 0, false
	}
	switch {
	case tok == json.Delim('{') && path[0].name != "":
		for dec.More() {
			name, err := dec.Token()
			if err != nil {
				return 0, false
			}
			if name == path[0].name {
				return findValue(dec, text, path[1:])
			}
			if skipValue(dec) != nil {
				return 0, false
			}
		}
	case tok == json.Delim('[') && path[0].name == "":
		for i := 0; dec.More(); i++ {
			if i == path[0].index {
				return findValue(dec, text, path[1:])
			}
			if skipValue(dec) != nil {
				return 0, false
			}
		}
	}
	return 0, false
}

// skipValue reads one whole value.
func skipValue(dec *json.Decoder) error {
	depth := 0
	for {
		tok, err := dec.Token()
		if err != nil {
			return err
		}
		switch tok {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
		if depth == 0 {
			return nil
		}
	}
}
