package mutant

import "fmt"

// UnknownFaultError names a fault that no mutant has.
type UnknownFaultError struct{ Fault Fault }

// Error implements error.
func (e *UnknownFaultError) Error() string {
	return fmt.Sprintf("no fault is called %q; there are %v", e.Fault, Faults())
}

// statusError is an answer of discovery that is no success.
type statusError struct{ status string }

// Error implements error.
func (e *statusError) Error() string { return e.status }
