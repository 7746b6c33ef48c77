package health

import (
	"errors"
	"fmt"
)

// ErrUnknownCommand reports that a health command is of a type that this program does not know. It must not go on as if it had applied it.
var ErrUnknownCommand = errors.New("a verdict is of a sort that this program does not know")

// DecodeError reports that a command or the state can't be decoded.
type DecodeError struct {
	What string
	Err  error
}

// Error is the text that users and logs see.
func (e *DecodeError) Error() string { return fmt.Sprintf("%s can't be read: %v", e.What, e.Err) }

// Unwrap gives the decoder's error.
func (e *DecodeError) Unwrap() error { return e.Err }
