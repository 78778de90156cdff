package config

import (
	"fmt"
	"strings"
)

// SettingError is one error in a settings or plan file.
type SettingError struct {
	File         string
	Line, Column int    // from 1; 0: the error belongs to no line
	Key          string // "": the error belongs to no key
	Message      string
}

// Error returns `file:line:column: key: message`, without the parts that are not set.
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

// SettingErrors are all errors in a file and in the files that it includes.
type SettingErrors []*SettingError

// Error returns the errors, one per line.
func (e SettingErrors) Error() string {
	lines := make([]string, len(e))
	for i, err := range e {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}
