package run

import (
	"errors"
	"fmt"
)

var (
	// ErrPark is returned by a slice, also wrapped, whose job is to be parked for an operator instead of being retried.
	ErrPark = errors.New("this waits for an operator")
	// ErrShuttingDown is a request to a runner that is closing or closed.
	ErrShuttingDown = errors.New("background work is ending")

	// errNotDone is the result of a check that finds that the slice which an earlier process was about to do was not done.
	errNotDone = errors.New("the slice was not done")
)

// UnknownKindError is a job of a kind that the runner does not do.
type UnknownKindError struct{ Kind string }

// Error names the kind.
func (e *UnknownKindError) Error() string { return fmt.Sprintf("there is no kind of work %q", e.Kind) }

// PanicError is a slice that panicked.
type PanicError struct {
	Value any
	Stack []byte
}

// Error has the value and the stack of the goroutine.
func (e *PanicError) Error() string { return fmt.Sprintf("panic: %v\n%s", e.Value, e.Stack) }
