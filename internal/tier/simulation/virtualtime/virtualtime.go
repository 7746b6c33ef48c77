// Package virtualtime runs a function in a bubble of its own time, outside of a test. The clock of the bubble advances only when all
// its goroutines wait, so that an hour of timers takes moments.
//
// The package is separate from its callers because it is the only one of the program that links the standard library's package
// testing: testing/synctest is the only public way into a bubble, and requires a testing.T. A zero value suffices: no flags are
// registered, and nothing is printed.
package virtualtime

import (
	"fmt"
	"testing"
	"testing/synctest"
)

// PanicError is returned if the function panicked, or if the goroutines in its bubble are deadlocked.
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
