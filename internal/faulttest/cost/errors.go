package cost

import (
	"errors"
	"fmt"
)

var (
	errShortStat        = errors.New("a stat file that is too short")
	errNothingDelivered = errors.New("cost: nothing was delivered")
	errNoDocument       = errors.New("the sender takes no document")
)

// answerError is an answer to a message of the backlog that is not 202.
type answerError struct{ message, status int }

// Error implements error.
func (e *answerError) Error() string {
	return fmt.Sprintf("cost: holding: message %d is answered %d", e.message, e.status)
}

// noTimesError is a process whose processor time cannot be read.
type noTimesError struct{ pid int }

// Error implements error.
func (e *noTimesError) Error() string { return fmt.Sprintf("cost: process %d tells no times", e.pid) }

// refusalError is a sender's refusal of a document, in its own words.
type refusalError struct{ text string }

// Error implements error.
func (e *refusalError) Error() string { return e.text }
