package fleetpolicy

import (
	"errors"
	"fmt"
)

// ErrUnknownCommand reports that a policy command is of a type that this program does not support. The program must not
// continue as if it had applied the command.
var ErrUnknownCommand = errors.New("a policy command is of a type that this program does not support")

// DecodeError reports that a command or the state can't be decoded.
type DecodeError struct {
	What string
	Err  error
}

// Error is the text that users and logs see.
func (e *DecodeError) Error() string { return fmt.Sprintf("%s can't be read: %v", e.What, e.Err) }

// Unwrap gives the decoder's error.
func (e *DecodeError) Unwrap() error { return e.Err }

// DocumentError reports a fault in a document to the operator who wrote it.
type DocumentError struct {
	Document string // name of the document or of a part of one; "": an enclosing error has it
	Problem  string
	Err      error // the underlying error; nil: there is none
}

// Error is the text that users and logs see.
func (e *DocumentError) Error() string {
	if e.Document == "" {
		return e.Problem
	}
	return e.Document + ": " + e.Problem
}

// Unwrap gives the cause.
func (e *DocumentError) Unwrap() error { return e.Err }

// invalid is a DocumentError without the document's name.
func invalid(format string, args ...any) error {
	return &DocumentError{Problem: fmt.Sprintf(format, args...)}
}

// invalidIn is a DocumentError of the named document, or of a part of one.
func invalidIn(document, format string, args ...any) error {
	return &DocumentError{Document: document, Problem: fmt.Sprintf(format, args...)}
}

// within attributes an error to the named document, or to a part of one.
func within(document string, err error) error {
	return &DocumentError{Document: document, Problem: err.Error(), Err: err}
}

// SettingsError reports that a policy names a class, tenant or kind that a sender's settings lack.
type SettingsError struct {
	What string // "class", "tenant" or "kind"
	Name string
	Has  []string // names of that kind that the settings have
}

// Error is the text that users and logs see.
func (e *SettingsError) Error() string {
	return fmt.Sprintf("%s %q is not in this sender's settings, which have %s", e.What, e.Name, quoted(e.Has))
}
