package undelivered

import (
	"errors"
	"fmt"
	"time"
)

// Errors that callers distinguish.
var (
	// ErrNewerVersion reports a file that a later version of the program wrote.
	ErrNewerVersion = errors.New("the file was written by a newer version")
	// ErrNotAStore reports a bbolt file with other content.
	ErrNotAStore = errors.New("the file is not a store of undelivered messages")
	// ErrNoResolution reports a resolution without an author or a reason.
	ErrNoResolution = errors.New("undelivered: settling needs who does so and why")
)

// VersionError reports a file whose layout has a version that does not exist.
type VersionError struct{ Version int64 }

// Error names the version.
func (e *VersionError) Error() string {
	return fmt.Sprintf("the file has the invalid version %d", e.Version)
}

// CorruptError reports a store whose content is inconsistent.
type CorruptError struct{ detail string }

func corrupt(format string, args ...any) error {
	return &CorruptError{detail: fmt.Sprintf(format, args...)}
}

// Error describes the inconsistency.
func (e *CorruptError) Error() string { return e.detail }

// NotFoundError reports an entry that is not in the store.
type NotFoundError struct{ Key Key }

// Error names the entry.
func (e *NotFoundError) Error() string { return fmt.Sprintf("entry %s is not there", e.Key) }

// StateError reports an entry that can't be resolved in its current state.
type StateError struct {
	Key        Key
	State      State  // Resending or Resolved
	ResolvedBy string // of a resolved one
	ResolvedAt int64  // Unix nanoseconds
}

// Error names the state, and for a resolved entry who resolved it and when.
func (e *StateError) Error() string {
	if e.State == Resending {
		return fmt.Sprintf("entry %s is on its way", e.Key)
	}
	return fmt.Sprintf("entry %s was settled by %s at %s", e.Key, e.ResolvedBy, time.Unix(0, e.ResolvedAt).UTC().Format(time.RFC3339))
}

// ParseError reports a text that is not the name of an entry, or not that of a reason.
type ParseError struct{ detail string }

func parseError(format string, args ...any) error {
	return &ParseError{detail: fmt.Sprintf(format, args...)}
}

// Error says what was expected.
func (e *ParseError) Error() string { return e.detail }

// RuleError reports an invalid rule.
type RuleError struct{ detail string }

func ruleError(format string, args ...any) error {
	return &RuleError{detail: fmt.Sprintf(format, args...)}
}

// Error names the rule and what is wrong with it.
func (e *RuleError) Error() string { return e.detail }

// RemoteError reports a request that a running sender rejected.
type RemoteError struct{ Message string }

// Error includes the text of the sender's response.
func (e *RemoteError) Error() string {
	return "undelivered: the sender rejected the request: " + e.Message
}
