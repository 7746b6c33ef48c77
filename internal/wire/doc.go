// Package wire is the codec of the simulator's wire (WIRE-saffronyard.md): it reads frames of events, writes frames of
// actions, and reads the settings that an instance is started with. It knows layouts only and decides nothing.
//
// Fields and records have the standard names of the field; the comments of Event, Endpoint and Reply give the page's
// words. All numbers are little-endian. Times on the wire are milliseconds of the simulator's clock.
//
// Errors are *FrameError, *RecordError (wrapping *LayoutError), *SettingError and *SettingsSyntaxError; their texts name
// what is wrong, and where. A Reply and a Settings are not for concurrent use.
package wire
