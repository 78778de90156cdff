package lifecycle

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// keyError reports an invalid value in NODE_CONFIG. Its key is a path such as
// settings.requestClasses[1].targetUs.
type keyError struct{ key, reason string }

// Error returns the key and the reason.
func (e *keyError) Error() string { return e.key + ": " + e.reason }

func newKeyError(key, format string, args ...any) error {
	return &keyError{key: key, reason: fmt.Sprintf(format, args...)}
}

// withPosition prefixes a keyError with the path of the file and, if the file has the key, the line and
// column of its value. Other errors are returned unchanged.
func withPosition(path string, text []byte, err error) error {
	var keyErr *keyError
	if !errors.As(err, &keyErr) {
		return err
	}
	line, column, ok := locate(text, keyErr.key)
	if !ok {
		return fmt.Errorf("%s: %w", path, err)
	}
	return fmt.Errorf("%s:%d:%d: %w", path, line, column, err)
}

// locate returns the line and column where the value of a key begins in a JSON text, see lineAndColumn.
// The key is a dotted path with [n] indices.
func locate(text []byte, key string) (line, column int, ok bool) {
	path := parseKeyPath(key)
	if path == nil {
		return 0, 0, false
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	offset, ok := findValue(decoder, text, path)
	if !ok {
		return 0, 0, false
	}
	line, column = lineAndColumn(text, offset)
	return line, column, true
}

// lineAndColumn returns the position of an offset in a text. Both begin with 1; the column counts bytes.
func lineAndColumn(text []byte, offset int) (line, column int) {
	before := text[:offset]
	line = bytes.Count(before, []byte{'\n'}) + 1
	lineStart := bytes.LastIndexByte(before, '\n') + 1
	return line, offset - lineStart + 1
}

// pathStep is one part of a key's path: a member's name, or an index if the name is empty.
type pathStep struct {
	name  string
	index int
}

// parseKeyPath splits a key into its steps; nil if an index is not a number.
func parseKeyPath(key string) []pathStep {
	var path []pathStep
	for _, part := range strings.Split(key, ".") {
		name, indices, _ := strings.Cut(part, "[")
		path = append(path, pathStep{name: name, index: -1})
		for indices != "" {
			number, remainder, _ := strings.Cut(indices, "]")
			index, err := strconv.Atoi(number)
			if err != nil {
				return nil
			}
			path = append(path, pathStep{index: index})
			indices = strings.TrimPrefix(remainder, "[")
		}
	}
	return path
}

// findValue reads the next value and returns the offset in the text where the value at the path begins.
func findValue(decoder *json.Decoder, text []byte, path []pathStep) (offset int, ok bool) {
	if len(path) == 0 {
		return nextValueOffset(decoder, text)
	}
	token, err := decoder.Token()
	if err != nil {
		return 0, false
	}
	switch {
	case token == json.Delim('{') && path[0].name != "":
		return findInObject(decoder, text, path)
	case token == json.Delim('[') && path[0].name == "":
		return findInArray(decoder, text, path)
	}
	return 0, false
}

// nextValueOffset returns the offset of the next value that the decoder will read, after white space and
// the separator.
func nextValueOffset(decoder *json.Decoder, text []byte) (offset int, ok bool) {
	offset = int(decoder.InputOffset())
	for offset < len(text) && strings.IndexByte(" \t\r\n:,", text[offset]) >= 0 {
		offset++
	}
	return offset, offset < len(text)
}

// findInObject continues findValue after the opening brace of an object.
func findInObject(decoder *json.Decoder, text []byte, path []pathStep) (offset int, ok bool) {
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			return 0, false
		}
		if name == path[0].name {
			return findValue(decoder, text, path[1:])
		}
		if skipValue(decoder) != nil {
			return 0, false
		}
	}
	return 0, false
}

// findInArray continues findValue after the opening bracket of an array.
func findInArray(decoder *json.Decoder, text []byte, path []pathStep) (offset int, ok bool) {
	for i := 0; decoder.More(); i++ {
		if i == path[0].index {
			return findValue(decoder, text, path[1:])
		}
		if skipValue(decoder) != nil {
			return 0, false
		}
	}
	return 0, false
}

// skipValue reads and discards one complete value.
func skipValue(decoder *json.Decoder) error {
	depth := 0
	for {
		token, err := decoder.Token()
		if err != nil {
			return err
		}
		switch token {
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
