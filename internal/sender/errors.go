package sender

import (
	"errors"
	"fmt"
	"time"
)

// ErrBusy says that the sender is shutting down or too busy to answer.
var ErrBusy = errors.New("the sender is shutting down or too busy")

// errJournalFull says that a message has no room in the journal, or that the disk accepts no writes at present.
var errJournalFull = errors.New("no room in the journal")

// errSnapshotNotEncoded says that the last snapshot of knowledge could not be encoded.
var errSnapshotNotEncoded = errors.New("knowledge: the snapshot could not be encoded")

// errNoticesRejected says that discovery has not acknowledged a batch of notices.
var errNoticesRejected = errors.New("discovery answered the notices with")

// errOverloaded says that discovery spent work on a call before rejecting it: discovery has more calls than it can answer in time.
var errOverloaded = errors.New("discovery is overloaded")

// ConfigError reports a configuration that a sender can't run with.
type ConfigError struct {
	Part    string // what is wrong: "configuration" for the platform's file, else the table of the operators' file
	Problem string // the reason; "" if Err has it
	Err     error  // the cause; nil if there is none
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

// ResendError says why an undelivered message was not accepted again. The sender has then stored nothing of the message.
type ResendError struct{ Reason string }

// Error gives the reason.
func (e *ResendError) Error() string { return e.Reason }

// resendError is a ResendError whose reason is formatted.
func resendError(format string, args ...any) error {
	return &ResendError{fmt.Sprintf(format, args...)}
}

// listFormatError reports an endpoint list that can't be decoded.
type listFormatError struct{ problem string }

// Error gives the problem.
func (e *listFormatError) Error() string { return e.problem }

// listStatusError reports an answer from discovery other than a list. It wraps errOverloaded if the answer took overloadThreshold or
// more, as discovery then spent work on a call that it rejected.
type listStatusError struct {
	status string // the answer's, such as "503 Service Unavailable"
	took   time.Duration
}

// Error gives the status and the time.
func (e *listStatusError) Error() string {
	text := fmt.Sprintf("discovery answered %s after %v", e.status, e.took)
	if e.took >= overloadThreshold {
		return text + ": " + errOverloaded.Error()
	}
	return text
}

// Unwrap gives errOverloaded if the answer took overloadThreshold or more, else nil.
func (e *listStatusError) Unwrap() error {
	if e.took >= overloadThreshold {
		return errOverloaded
	}
	return nil
}

// identityError reports an event's identity in the journal that can't be decoded.
type identityError struct{ text string }

// Error gives the text.
func (e *identityError) Error() string { return fmt.Sprintf("invalid event identity %q", e.text) }

// queryError reports an invalid query from the command line.
type queryError struct{ problem string }

// Error gives the problem.
func (e *queryError) Error() string { return e.problem }
