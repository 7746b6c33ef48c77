// Package virtualtime runs a function in a bubble of its own time, outside of a test. The clock of the bubble moves only when all
// its goroutines wait, so that an hour of timers takes moments.
//
// It is apart from its callers because it is the one package of the program that links the standard library's package
// testing: testing/synctest is the only public way into a bubble, and wants a testing.T. An empty one serves: neither
// flags are registered nor anything is printed.
package virtualtime

import (
	"fmt"
	"testing"
	"testing/synctest"
)

// PanicError is returned where the function panicked, or goroutines in its bubble wait for ever.
type PanicError struct{ Value any }

// Error implements error.
func (err PanicError) Error() string { return fmt.Sprintf("virtual time: %v", err.Value) }

// Run calls f in a bubble, and returns when f and all goroutines that it began have ended. An error is a
// PanicError.
func Run(f func()) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = PanicError{p}
		}
	}()
	var t testing.T
	synctest.Test(&t, func(*testing.T) { f() })
	return nil
}
