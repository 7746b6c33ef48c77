package cli

import (
	"errors"
	"fmt"
	"strings"
)

// Errors that end a subcommand with exit code 1. Their texts are what operators see.
var (
	errNothingToCheck  = errors.New("nothing to check: no files given")
	errInterrupted     = errors.New("interrupted")
	errNoProgramServed = errors.New("no program was served completely")
)

// flagError is an invalid value of a flag.
type flagError struct{ flag, problem string }

// Error implements error.
func (err flagError) Error() string { return "--" + err.flag + err.problem }

// findingsError reports how many of the checked files have findings. The findings are already printed.
type findingsError struct{ files, checked int }

// Error implements error.
func (err findingsError) Error() string {
	return fmt.Sprintf("%d of %d files have findings", err.files, err.checked)
}

// noAnswerError lists the processes that did not answer, each with its address and its error.
type noAnswerError struct {
	failed []string
	total  int
}

// Error implements error.
func (err noAnswerError) Error() string {
	return fmt.Sprintf("%d of %d processes do not answer:\n  %s", len(err.failed), err.total, strings.Join(err.failed, "\n  "))
}

// rulesBrokenError is the number of rules that were broken in a demo.
type rulesBrokenError int

// Error implements error.
func (err rulesBrokenError) Error() string { return fmt.Sprintf("%d rules were broken", int(err)) }

// seedsFailedError is the number of seeds that failed: a rule was broken or the simulator failed.
type seedsFailedError struct{ failed, played uint64 }

// Error implements error.
func (err seedsFailedError) Error() string {
	return fmt.Sprintf("%d of %d seeds failed", err.failed, err.played)
}

// replayError is why a replayed script failed.
type replayError struct{ reason string }

// Error implements error.
func (err replayError) Error() string { return err.reason }
