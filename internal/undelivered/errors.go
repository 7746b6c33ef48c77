package undelivered

import (
	"errors"
	"fmt"
	"time"
)

// Errors that callers tell apart.
var (
	// ErrNewerVersion is a file that a later version of the program wrote.
	ErrNewerVersion = errors.New("the file was written by a newer version")
	// ErrNotAStore is a bbolt file that holds something else.
	ErrNotAStore = errors.New("it is no store of undelivered messages")
	// ErrNoResolution is a resolution without an author or a reason.
	ErrNoResolution = errors.New("undelivered: settling needs who does so and why")
)

// VersionError is a file whose layout has a version that never was.
type VersionError struct{ Version int64 }

// Error names the version.
func (e *VersionError) Error() string { return fmt.Sprintf("it says version %d", e.Version) }

// CorruptError is a store whose parts contradict each other.
type CorruptError struct{ detail string }

func corrupt(format string, args ...any) error {
	return &CorruptError{detail: fmt.Sprintf(format, args...)}
}

// Error tells which parts do.
func (e *CorruptError) Error() string { return e.detail }

// NotFoundError is an entry that is not in the store.
type NotFoundError struct{ Key Key }

// Error names the entry.
func (e *NotFoundError) Error() string { return fmt.Sprintf("entry %s is not there", e.Key) }

// StateError is an entry that can't be resolved in the state that it is in.
type StateError struct {
	Key        Key
	State      State  // Resending or Resolved
	ResolvedBy string // of a resolved one
	ResolvedAt int64  // Unix nanoseconds
}

// Error tells the state, and of a resolved entry by whom and when.
func (e *StateError) Error() string {
	if e.State == Resending {
		return fmt.Sprintf("entry %s is on its way", e.Key)
	}
	return fmt.Sprintf("entry %s was settled by %s at %s", e.Key, e.ResolvedBy, time.Unix(0, e.ResolvedAt).UTC().Format(time.RFC3339))
}

// ParseError is a text that names no entry and no reason.
type ParseError struct{ detail string }

func parseError(format string, args ...any) error {
	return &ParseError{detail: fmt.Sprintf(format, args...)}
}

// Error tells what was expected.
func (e *ParseError) Error() string { return e.detail }

// RuleError is a rule that can't be as it is.
type RuleError struct{ detail string }

func ruleError(format string, args ...any) error {
	return &RuleError{detail: fmt.Sprintf(format, args...)}
}

// Error names the rule and what is wrong with it.
func (e *RuleError) Error() string { return e.detail }

// RemoteError is a running sender's refusal.
type RemoteError struct{ Message string }

// Error has the sender's own words.
func (e *RemoteError) Error() string { return "undelivered: the sender says: " + e.Message }
