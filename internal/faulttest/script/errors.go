package script

import "fmt"

// InvalidError reports a part of a script that cannot be played.
type InvalidError struct {
	Where   string // file and entry, as in "day.toml: trouble 2"
	Problem string
}

// Error implements error.
func (e *InvalidError) Error() string { return e.Where + ": " + e.Problem }

// invalid makes an InvalidError from a format and its arguments.
func invalid(where, format string, args ...any) error {
	return &InvalidError{Where: where, Problem: fmt.Sprintf(format, args...)}
}
