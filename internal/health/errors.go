package health

import (
	"errors"
	"fmt"
)

// ErrUnknownCommand reports a health command of a type that this version does not implement. The caller must not continue as if the command
// had been applied.
var ErrUnknownCommand = errors.New("unknown type of health command")

// DecodeError reports that a command or the state can't be decoded.
type DecodeError struct {
	What string
	Err  error
}

// Error implements error.
func (e *DecodeError) Error() string { return fmt.Sprintf("cannot decode %s: %v", e.What, e.Err) }

// Unwrap returns the decoder's error.
func (e *DecodeError) Unwrap() error { return e.Err }
