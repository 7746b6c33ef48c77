package simulation

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
)

// ErrVersion is returned for a script whose version is not ScriptVersion.
var ErrVersion = errors.New("simulation: unsupported script version")

// Write writes a script to a file, for Read.
func (s Script) Write(path string) error {
	body, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(body, '\n'), 0o644)
}

// Read reads a script from a file. The error joins all findings, each a ScriptError, or wraps ErrVersion.
func Read(path string) (Script, error) {
	var s Script
	body, err := os.ReadFile(path)
	if err != nil {
		return s, err
	}
	if err := json.Unmarshal(body, &s); err != nil {
		return s, fmt.Errorf("%s: %w", path, err)
	}
	if s.Version != ScriptVersion {
		return s, fmt.Errorf("%s: version %d, this program plays %d: %w", path, s.Version, ScriptVersion, ErrVersion)
	}
	if err := s.check(); err != nil {
		return s, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// ScriptError is one reason why a script can't be played.
type ScriptError struct{ Finding string }

// Error implements error.
func (err ScriptError) Error() string { return err.Finding }

// finding returns a ScriptError.
func finding(format string, args ...any) error { return ScriptError{fmt.Sprintf(format, args...)} }

// check returns all reasons why the script can't be played, each a ScriptError, or nil.
func (s Script) check() error {
	var found []error
	if s.Losses < 0 || s.Core < 2*s.Losses+1 || s.Stores < s.Losses+1 || s.Gateways < 1 {
		found = append(found, finding("%d core, %d turn stores, %d gateways are too few to tolerate %d losses", s.Core, s.Stores, s.Gateways, s.Losses))
	}
	switch s.Unit {
	case Machines:
	case Zones, Regions:
		if s.domains() < 2*s.Losses+1 {
			found = append(found, finding("%d %s are too few to tolerate %d losses", s.domains(), s.Unit, s.Losses))
		}
	default:
		found = append(found, finding("unknown unit %q", s.Unit))
	}
	for i, f := range s.Faults {
		if !slices.Contains(FaultKinds(), f.Kind) {
			found = append(found, finding("faults[%d]: unknown kind %q", i, f.Kind))
		}
		if s.Unit == Machines && slices.Contains(domainKinds, f.Kind) {
			found = append(found, finding("faults[%d]: kind %s requires the unit zones or regions", i, f.Kind))
		}
		if f.AtMS < 0 || f.DurationMS < 0 {
			found = append(found, finding("faults[%d]: negative time", i))
		}
	}
	return errors.Join(found...)
}
