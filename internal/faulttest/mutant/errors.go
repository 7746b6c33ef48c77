package mutant

import "fmt"

// UnknownFaultError reports the name of a fault that no mutant has.
type UnknownFaultError struct{ Fault Fault }

// Error implements error.
func (e *UnknownFaultError) Error() string {
	return fmt.Sprintf("no fault is called %q; there are %v", e.Fault, Faults())
}

// statusError reports an unsuccessful answer of discovery.
type statusError struct{ status string }

// Error implements error.
func (e *statusError) Error() string { return e.status }
