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

// Run calls f in a bubble, and returns when f and all goroutines that it began have ended. The error tells of a panic of
// f, or of goroutines that wait for ever.
func Run(f func()) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("virtual time: %v", p)
		}
	}()
	var t testing.T
	synctest.Test(&t, func(*testing.T) { f() })
	return nil
}
