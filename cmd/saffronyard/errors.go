package main

import "fmt"

// usageError marks an invalid flag or argument of a command, or a wrong number of arguments. The exit code is then 2.
type usageError struct{ error }

// inputError is an invalid value in the input of a command: an argument, a line of a zone update, a document. Its text names the value
// and is the complete message for the operator.
type inputError struct{ text string }

func invalidInput(format string, args ...any) error {
	return &inputError{text: fmt.Sprintf(format, args...)}
}

// Error returns the text for the operator.
func (e *inputError) Error() string { return e.text }

// notFoundError reports that the item that the operator named does not exist.
type notFoundError struct{ text string }

func notFound(format string, args ...any) error {
	return &notFoundError{text: fmt.Sprintf(format, args...)}
}

// Error returns the text for the operator.
func (e *notFoundError) Error() string { return e.text }

// serverError reports that a running sender or a name server rejected a request; it contains the server's reason.
type serverError struct{ text string }

// Error returns the text for the operator.
func (e *serverError) Error() string { return e.text }

// exitError is the exit code of a command that has already printed why it failed.
type exitError int

// Error returns the exit code in words; it is never printed.
func (e exitError) Error() string { return fmt.Sprintf("exit %d", int(e)) }
