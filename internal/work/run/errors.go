package run

import (
	"errors"
	"fmt"
)

var (
	// ErrPark is returned by a slice, also wrapped, to have its job parked for an operator instead of being retried.
	ErrPark = errors.New("the job waits for an operator")
	// ErrShuttingDown reports a request to a runner that is closing or closed.
	ErrShuttingDown = errors.New("background work is shutting down")

	// errNotDone reports that Kind.CheckDone found that a slice which an earlier process intended was not done.
	errNotDone = errors.New("the slice was not done")
)

// UnknownKindError reports a job of a kind that the runner does not have.
type UnknownKindError struct{ Kind string }

// Error names the kind.
func (e *UnknownKindError) Error() string { return fmt.Sprintf("unknown kind of work %q", e.Kind) }

// PanicError reports a slice that panicked.
type PanicError struct {
	Value any
	Stack []byte
}

// Error returns the panic value and the stack of the goroutine.
func (e *PanicError) Error() string { return fmt.Sprintf("panic: %v\n%s", e.Value, e.Stack) }
