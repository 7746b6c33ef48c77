package cli

import (
	"errors"
	"fmt"
)

var (
	// errUsage means a bad flag or script whose error has already been printed.
	errUsage = errors.New("usage")
	// errNoSender means that the sender's program was not found and could not be built.
	errNoSender = errors.New("no sender program found: pass -sender, put saffronyard beside this program, or run this inside the source tree")
	// errNoJoin means that no sender joins on a day that is played to measure a joining sender.
	errNoJoin = errors.New("no sender joins on this day")
)

// argumentError reports arguments of a subcommand that it cannot use.
type argumentError struct{ problem string }

// Error implements error.
func (e *argumentError) Error() string { return e.problem }

// badArgument makes an argumentError from a format and its arguments.
func badArgument(format string, args ...any) error {
	return &argumentError{problem: fmt.Sprintf(format, args...)}
}
