package sender

import (
	"errors"
	"fmt"
	"time"
)

// ErrBusy is that the sender is leaving, or too busy to answer.
var ErrBusy = errors.New("the sender is leaving, or too busy")

// errJournalFull is that a message has no room in the journal, or that the disk takes nothing just now.
var errJournalFull = errors.New("no room in the journal")

// errSnapshotNotEncoded is that the last snapshot of knowledge could not be made.
var errSnapshotNotEncoded = errors.New("knowledge: it can't be written")

// errNoticesRejected is that discovery does not acknowledge a batch of notices.
var errNoticesRejected = errors.New("notices are answered")

// errOverloaded is a failure for which discovery has worked: it has more calls than it can answer in time.
var errOverloaded = errors.New("it has worked on the call in vain")

// ConfigError is a configuration that a sender can't run with.
type ConfigError struct {
	Part    string // what is wrong: "configuration" for the platform's file, else the table of the operators' file
	Problem string // in words; "" where Err tells it
	Err     error  // what caused it; nil if nothing did
}

// Error gives the part and the problem.
func (e *ConfigError) Error() string {
	if e.Err != nil {
		return e.Part + ": " + e.Err.Error()
	}
	return e.Part + ": " + e.Problem
}

// Unwrap gives the cause.
func (e *ConfigError) Unwrap() error { return e.Err }

// configError is a ConfigError whose problem is formatted.
func configError(part, format string, args ...any) error {
	return &ConfigError{Part: part, Problem: fmt.Sprintf(format, args...)}
}

// ResendError is why an undelivered message is not accepted once more; nothing of it is left then.
type ResendError struct{ Reason string }

// Error gives the reason.
func (e *ResendError) Error() string { return e.Reason }

// resendError is a ResendError whose reason is formatted.
func resendError(format string, args ...any) error {
	return &ResendError{fmt.Sprintf(format, args...)}
}

// listFormatError is an endpoint list that can't be read.
type listFormatError struct{ problem string }

// Error gives the problem.
func (e *listFormatError) Error() string { return e.problem }

// listStatusError is an answer of discovery's that is no list. It wraps errOverloaded if discovery took so long for it that it has
// worked on the call in vain.
type listStatusError struct {
	status string // the answer's, such as "503 Service Unavailable"
	took   time.Duration
}

// Error gives the status and the time.
func (e *listStatusError) Error() string {
	text := fmt.Sprintf("discovery answers %s after %v", e.status, e.took)
	if e.took >= overloadThreshold {
		return text + ": " + errOverloaded.Error()
	}
	return text
}

// Unwrap gives errOverloaded if it applies.
func (e *listStatusError) Unwrap() error {
	if e.took >= overloadThreshold {
		return errOverloaded
	}
	return nil
}

// identityError is an event's identity in a journal that can't be read.
type identityError struct{ text string }

// Error gives the text.
func (e *identityError) Error() string { return fmt.Sprintf("identity %q can't be read", e.text) }

// queryError is a query of the command line's that can't be read.
type queryError struct{ problem string }

// Error gives the problem.
func (e *queryError) Error() string { return e.problem }
