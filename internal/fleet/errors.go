package fleet

import (
	"errors"
	"fmt"
)

var (
	// ErrRejected reports that the fleet rejected a command: it changed nothing.
	ErrRejected = errors.New("refused")
	// ErrNewerFormat reports that a file was written by a newer program. The file is left unchanged.
	ErrNewerFormat = errors.New("the file was written by a newer program")
	// ErrNoVoterKnown reports that no voter's address is known.
	ErrNoVoterKnown = errors.New("no voter is known")
	// ErrStopping reports that the node is stopping.
	ErrStopping = errors.New("this sender is leaving")
)

// ConfigError reports an invalid configuration.
type ConfigError struct {
	Problem string
	Err     error // the cause; nil: there is no other error
}

// Error is the text that users and logs see.
func (e *ConfigError) Error() string { return "fleet: " + e.Problem }

// Unwrap gives the cause.
func (e *ConfigError) Unwrap() error { return e.Err }

func invalidConfig(format string, args ...any) error {
	return &ConfigError{Problem: fmt.Sprintf(format, args...)}
}

// invalidConfigBy is a ConfigError whose problem ends with its cause.
func invalidConfigBy(cause error, format string, args ...any) error {
	return &ConfigError{Problem: fmt.Sprintf(format, args...) + ": " + cause.Error(), Err: cause}
}

// ParameterError reports an invalid parameter of an operator's request.
type ParameterError struct {
	Problem string
	Err     error // the cause; nil: there is no other error
}

// Error is the text that users and logs see.
func (e *ParameterError) Error() string { return e.Problem }

// Unwrap gives the cause.
func (e *ParameterError) Unwrap() error { return e.Err }

func invalidParameter(format string, args ...any) error {
	return &ParameterError{Problem: fmt.Sprintf(format, args...)}
}

// NoAddressError reports that no address of a voter is known.
type NoAddressError struct{ Name string }

// Error is the text that users and logs see.
func (e *NoAddressError) Error() string { return fmt.Sprintf("no address of %s is known", e.Name) }

// ForeignFileError reports that a voter's file belongs to another cluster or sender.
type ForeignFileError struct {
	What      string // "cluster" or "name"
	Got, Want string
}

// Error is the text that users and logs see.
func (e *ForeignFileError) Error() string {
	return fmt.Sprintf("the file belongs to %s %q, not to %q", e.What, e.Got, e.Want)
}

// MissingEntryError reports that a voter's file lacks an entry, or has one that can't be decoded.
type MissingEntryError struct {
	Index uint64
	Err   error // the decoder's; nil: it is missing
}

// Error is the text that users and logs see.
func (e *MissingEntryError) Error() string {
	return fmt.Sprintf("entry %d can't be read, or is missing: %v", e.Index, e.Err)
}

// Unwrap gives the decoder's error.
func (e *MissingEntryError) Unwrap() error { return e.Err }
