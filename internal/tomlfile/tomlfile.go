// Package tomlfile reads TOML files strictly: every error names the file, and the line where there is one.
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Span is a time as a file states it: "400ms", "2.5s", "5m". It is not negative.
type Span time.Duration

// UnmarshalText reads a span.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no time such as \"400ms\", \"2.5s\" or \"5m\"", text)
	}
	if d < 0 {
		return fmt.Errorf("%q is negative", text)
	}
	*s = Span(d)
	return nil
}

// MarshalText writes a span as a file states it.
func (s Span) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// D is the span as a duration.
func (s Span) D() time.Duration { return time.Duration(s) }

// Decode reads a file's text into a struct. A key that it has not is an error; path is for errors.
func Decode(path string, raw []byte, into any) error {
	err := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields().Decode(into)
	var missing *toml.StrictMissingError
	var bad *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &missing) && len(missing.Errors) > 0:
		row, _ := missing.Errors[0].Position()
		return fmt.Errorf("%s:%d: unknown key %q", path, row, strings.Join(missing.Errors[0].Key(), "."))
	case errors.As(err, &bad):
		row, _ := bad.Position()
		return fmt.Errorf("%s:%d: %s", path, row, strings.TrimPrefix(bad.Error(), "toml: "))
	}
	return fmt.Errorf("%s: %w", path, err)
}
