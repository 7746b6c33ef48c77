package features

import (
	"errors"
	"fmt"
	"strings"
)

// SettingError is an invalid setting. Its text names the setting and the allowed values.
type SettingError struct {
	text  string
	cause error
}

func settingError(format string, args ...any) error {
	err := fmt.Errorf(format, args...)
	return &SettingError{text: err.Error(), cause: errors.Unwrap(err)}
}

// Error returns the text for the operator.
func (e *SettingError) Error() string { return e.text }

// Unwrap returns the error of the package that checked the setting; nil if it was checked here.
func (e *SettingError) Unwrap() error { return e.cause }

// PositionError is an error at a line of the operators' file.
type PositionError struct {
	Path string
	Line int // from 1
	Err  error
}

// Error returns "path:line: error".
func (e *PositionError) Error() string { return fmt.Sprintf("%s:%d: %v", e.Path, e.Line, e.Err) }

// Unwrap returns the error without its position.
func (e *PositionError) Unwrap() error { return e.Err }

// document is the text of the operators' file, in which errors are located.
type document struct {
	path string
	raw  []byte
}

// errorAt returns an error at a key of the n-th table of a name, counted from 0, or at the table's header if the table has no such key.
func (d document) errorAt(table string, n int, key, format string, args ...any) error {
	return &PositionError{Path: d.path, Line: d.line(table, n, key), Err: settingError(format, args...)}
}

// line returns the line, from 1, of a key of the n-th table of a name; if the table has no such key, the line of the table's header; if
// there is no such table, 1.
func (d document) line(table string, n int, key string) int {
	at, in := 1, false
	for i, text := range strings.Split(string(d.raw), "\n") {
		text = strings.TrimSpace(text)
		if strings.HasPrefix(text, "[") {
			if in {
				return at
			}
			if strings.HasPrefix(text, "["+table+"]") || strings.HasPrefix(text, "[["+table+"]]") {
				if in = n == 0; in {
					at = i + 1
				}
				n--
			}
		}
		if rest, ok := strings.CutPrefix(text, key); ok && in && key != "" && strings.HasPrefix(strings.TrimSpace(rest), "=") {
			return i + 1
		}
	}
	return at
}
