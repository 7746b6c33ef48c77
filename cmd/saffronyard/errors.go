package main

import "fmt"

// usageError marks an error in the words of a command: flags, arguments, or their number. The exit code is then 2.
type usageError struct{ error }

// inputError is a value that a command was given and can't use: an argument, a line of a zone update, a document. Its text names the
// value and is all that the operator sees.
type inputError struct{ text string }

func invalidInput(format string, args ...any) error {
	return &inputError{text: fmt.Sprintf(format, args...)}
}

// Error returns the text for the operator.
func (e *inputError) Error() string { return e.text }

// notFoundError is something that the operator named and that is not there.
type notFoundError struct{ text string }

func notFound(format string, args ...any) error {
	return &notFoundError{text: fmt.Sprintf(format, args...)}
}

// Error returns the text for the operator.
func (e *notFoundError) Error() string { return e.text }

// serverError is the refusal of a running sender or of a name server, in its own words.
type serverError struct{ text string }

// Error returns the text for the operator.
func (e *serverError) Error() string { return e.text }

// exitError is a command that has already told why it failed; only its exit code is left to pass on.
type exitError int

// Error returns the exit code in words; it is never printed.
func (e exitError) Error() string { return fmt.Sprintf("exit %d", int(e)) }
