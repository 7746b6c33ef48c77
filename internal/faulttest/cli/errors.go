package cli

import (
	"errors"
	"fmt"
)

var (
	// errUsage is a bad flag or script that has already been printed.
	errUsage = errors.New("usage")
	// errNoSender means that no program of the sender was found or could be built.
	errNoSender = errors.New("no sender: name it with -sender, put saffronyard beside this program, or start this in the sources' folder")
	// errNoJoin means that a day for the comparison of joining senders has none.
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
