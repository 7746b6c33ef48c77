package cli

import (
	"errors"
	"fmt"
	"strings"
)

// Errors that end a subcommand with exit code 1. Their texts are what operators see.
var (
	errNothingToCheck  = errors.New("nothing to check: name files")
	errInterrupted     = errors.New("interrupted")
	errNoProgramServed = errors.New("no program was served whole")
)

// flagError is an invalid value of a flag.
type flagError struct{ flag, problem string }

// Error implements error.
func (err flagError) Error() string { return "--" + err.flag + err.problem }

// findingsError is the number of checked files that have findings, which were printed.
type findingsError struct{ files, checked int }

// Error implements error.
func (err findingsError) Error() string {
	return fmt.Sprintf("%d of %d files have findings", err.files, err.checked)
}

// noAnswerError lists the processes that did not answer, each with its address and its error.
type noAnswerError struct {
	failed []string
	asked  int
}

// Error implements error.
func (err noAnswerError) Error() string {
	return fmt.Sprintf("%d of %d do not answer:\n  %s", len(err.failed), err.asked, strings.Join(err.failed, "\n  "))
}

// rulesBrokenError is the number of rules that a demo has found broken.
type rulesBrokenError int

// Error implements error.
func (err rulesBrokenError) Error() string { return fmt.Sprintf("%d rules were broken", int(err)) }

// seedsFailedError is the number of seeds whose scripts broke a rule.
type seedsFailedError struct{ failed, played uint64 }

// Error implements error.
func (err seedsFailedError) Error() string {
	return fmt.Sprintf("%d of %d seeds failed", err.failed, err.played)
}

// replayError is why a replayed script failed.
type replayError struct{ reason string }

// Error implements error.
func (err replayError) Error() string { return err.reason }
