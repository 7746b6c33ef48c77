package wire

import "fmt"

// FrameError says that a frame is malformed, or that the input ends in it.
type FrameError struct {
	Part   string // "frame header" or "frame body"
	Reason string
	Err    error // of the input, if it could not be read
}

// Error implements error.
func (e *FrameError) Error() string { return e.Part + ": " + e.Reason }

// Unwrap returns the error of the input, if any.
func (e *FrameError) Unwrap() error { return e.Err }

// NotRead is the Code of a RecordError where the code of the record was not read, or there is no record.
const NotRead = -1

// RecordError says that a record of a frame is malformed, or that it makes no sense where it stands.
type RecordError struct {
	Index  int // of the record in its frame
	Offset int // of the record in the frame body, in bytes
	Code   int // of the record, NotRead if there was no room for it
	Err    error
}

// Error implements error.
func (e *RecordError) Error() string {
	if e.Code == NotRead {
		return fmt.Sprintf("record %d at offset %d: %v", e.Index, e.Offset, e.Err)
	}
	return fmt.Sprintf("record %d at offset %d (code %d): %v", e.Index, e.Offset, e.Code, e.Err)
}

// Unwrap returns what is wrong with the record.
func (e *RecordError) Unwrap() error { return e.Err }

// LayoutError is a record, or a frame, whose fields do not fit into its size or hold what they may not.
type LayoutError struct{ Reason string }

// Error implements error.
func (e *LayoutError) Error() string { return e.Reason }

// SettingError says that a setting has a value that cannot be read.
type SettingError struct {
	Key   string
	Value string
	Want  string // what it should be
}

// Error implements error.
func (e *SettingError) Error() string {
	return fmt.Sprintf("setting %s: %q is not %s", e.Key, e.Value, e.Want)
}

// SettingsSyntaxError says that a line of the settings is no path=value.
type SettingsSyntaxError struct{ Line int }

// Error implements error.
func (e *SettingsSyntaxError) Error() string {
	return fmt.Sprintf("settings line %d: no '='", e.Line)
}
