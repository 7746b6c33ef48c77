// Package wire is the codec of the simulator's wire (WIRE-saffronyard.md): it reads frames of events, writes frames of
// actions, and reads the settings that an instance is started with. It only encodes and decodes; it makes no decisions.
//
// Fields and records have the usual technical names; the comments of Event, Endpoint and Reply give the names in
// WIRE-saffronyard.md. All numbers are little-endian. Times on the wire are milliseconds of the simulator's clock.
//
// Errors are *FrameError, *RecordError (wrapping *LayoutError), *SettingError and *SettingsSyntaxError; their texts name
// the problem and its location. Reply and Settings are not safe for concurrent use.
package wire
