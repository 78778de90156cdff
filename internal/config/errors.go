package config

import (
	"fmt"
	"strings"
)

// SettingError is one error of a settings or plan file.
type SettingError struct {
	File         string
	Line, Column int    // from 1; 0: no line
	Key          string // "" if it is not about a key
	Message      string
}

// Error returns `file:line:column: key: what`, without the parts that are not known.
func (e *SettingError) Error() string {
	place := fmt.Sprintf("%s:%d:%d: ", e.File, e.Line, e.Column)
	if e.Line == 0 {
		place = e.File + ": "
	}
	if e.Key != "" {
		place += e.Key + ": "
	}
	return place + e.Message
}

// SettingErrors are all errors of a file and of those it includes, in the order of
// their lines.
type SettingErrors []*SettingError

// Error returns the errors, one a line.
func (e SettingErrors) Error() string {
	lines := make([]string, len(e))
	for i, err := range e {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}
