package fleet

import "errors"

// errNoFreePort means that each port that was tried had already been assigned to another process.
var errNoFreePort = errors.New("every port tried is already assigned")

// ProcessError reports a sender process that is not in the state that a step of the day needs.
type ProcessError struct {
	Sender  string // its name, as in the script
	Problem string
}

// Error implements error.
func (e *ProcessError) Error() string { return "sender " + e.Sender + " " + e.Problem }
