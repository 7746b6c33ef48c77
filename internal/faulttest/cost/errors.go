package cost

import (
	"errors"
	"fmt"
)

var (
	errShortStat        = errors.New("the process's stat file has too few fields")
	errNothingDelivered = errors.New("cost: nothing was delivered")
	errNoDocument       = errors.New("the sender accepted no limits document")
)

// answerError reports an answer other than 202 to a message of the backlog.
type answerError struct{ message, status int }

// Error implements error.
func (e *answerError) Error() string {
	return fmt.Sprintf("cost: fill backlog: message %d was answered with status %d", e.message, e.status)
}

// noTimesError reports a process whose CPU time can't be read.
type noTimesError struct{ pid int }

// Error implements error.
func (e *noTimesError) Error() string {
	return fmt.Sprintf("cost: no CPU times found for process %d", e.pid)
}

// refusalError reports that the sender refused a request; text is the body of its answer.
type refusalError struct{ text string }

// Error implements error.
func (e *refusalError) Error() string { return e.text }
