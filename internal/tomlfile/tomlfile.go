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

// SpanError reports a text that is not a Span.
type SpanError struct {
	Text     string
	Negative bool // the text is a duration below 0
}

// Error names the text.
func (e *SpanError) Error() string {
	if e.Negative {
		return fmt.Sprintf("%q is negative", e.Text)
	}
	return fmt.Sprintf("%q is no time such as \"400ms\", \"2.5s\" or \"5m\"", e.Text)
}

// SyntaxError reports a file that is not TOML, has an unknown key, or has a value of the wrong type.
type SyntaxError struct {
	Path   string
	Line   int // from 1
	Detail string
}

// Error returns "path:line: detail".
func (e *SyntaxError) Error() string { return fmt.Sprintf("%s:%d: %s", e.Path, e.Line, e.Detail) }

// Span is a duration as a file states it: "400ms", "2.5s", "5m". It is not negative.
type Span time.Duration

// UnmarshalText reads a span; any other text is a *SpanError.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return &SpanError{Text: string(text)}
	}
	if d < 0 {
		return &SpanError{Text: string(text), Negative: true}
	}
	*s = Span(d)
	return nil
}

// MarshalText writes a span as a file states it.
func (s Span) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// D returns the span as a duration.
func (s Span) D() time.Duration { return time.Duration(s) }

// Decode decodes a file's text into a struct. A key that the struct lacks is an error; errors in the text are *SyntaxError. path is the
// file's name for errors.
func Decode(path string, raw []byte, into any) error {
	err := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields().Decode(into)
	var missing *toml.StrictMissingError
	var bad *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &missing) && len(missing.Errors) > 0:
		row, _ := missing.Errors[0].Position()
		return &SyntaxError{Path: path, Line: row, Detail: fmt.Sprintf("unknown key %q", strings.Join(missing.Errors[0].Key(), "."))}
	case errors.As(err, &bad):
		row, _ := bad.Position()
		return &SyntaxError{Path: path, Line: row, Detail: strings.TrimPrefix(bad.Error(), "toml: ")}
	}
	return fmt.Errorf("%s: %w", path, err)
}
