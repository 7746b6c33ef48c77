package wire

import "fmt"

// FrameError reports that a frame is malformed, or that the input ends within it.
type FrameError struct {
	Part   string // "frame header" or "frame body"
	Reason string
	Err    error // of the input, if it could not be read
}

// Error implements error.
func (e *FrameError) Error() string { return e.Part + ": " + e.Reason }

// Unwrap returns the error of the input, if any.
func (e *FrameError) Unwrap() error { return e.Err }

// NotRead is the Code of a RecordError if the code of the record was not read, or there is no record.
const NotRead = -1

// RecordError reports that a record of a frame is malformed, or invalid at its position.
type RecordError struct {
	Index  int // of the record in its frame
	Offset int // of the record in the frame body, in bytes
	Code   int // of the record, or NotRead
	Err    error
}

// Error implements error.
func (e *RecordError) Error() string {
	if e.Code == NotRead {
		return fmt.Sprintf("record %d at offset %d: %v", e.Index, e.Offset, e.Err)
	}
	return fmt.Sprintf("record %d at offset %d (code %d): %v", e.Index, e.Offset, e.Code, e.Err)
}

// Unwrap returns the underlying error.
func (e *RecordError) Unwrap() error { return e.Err }

// LayoutError reports a record, or a frame, whose fields exceed its size or have invalid values.
type LayoutError struct{ Reason string }

// Error implements error.
func (e *LayoutError) Error() string { return e.Reason }

// SettingError reports a setting whose value cannot be read.
type SettingError struct {
	Key   string
	Value string
	Want  string // the expected form
}

// Error implements error.
func (e *SettingError) Error() string {
	return fmt.Sprintf("setting %s: %q is not %s", e.Key, e.Value, e.Want)
}

// SettingsSyntaxError reports a line of the settings that is not of the form path=value.
type SettingsSyntaxError struct{ Line int }

// Error implements error.
func (e *SettingsSyntaxError) Error() string {
	return fmt.Sprintf("settings line %d: no '='", e.Line)
}
