// Package features reads the operators' own file: what the sender does beyond the platform's configuration. All
// of it is off, or at the sender's own value, unless the file names it.
package features

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Span is a time as the file states it: "90s", "5m".
type Span time.Duration

// UnmarshalText reads a time.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no time such as \"90s\" or \"5m\"", text)
	}
	*s = Span(d)
	return nil
}

// Features is what the file names.
type Features struct {
	Quiet *Quiet `toml:"quiet"`
}

// Quiet is how destinations without traffic are remembered.
type Quiet struct {
	// FoldAfter is how long a destination is quiet before it is remembered in short; from 1s to 24h.
	FoldAfter Span `toml:"fold_after"`
}

const (
	foldLeast = time.Second
	foldMost  = 24 * time.Hour
	maxFile   = 1 << 20
)

// Load reads a file. An error names the file, and the line and key where there is one.
func Load(path string) (*Features, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("features: %w", err)
	}
	return Parse(path, raw)
}

// Parse reads a file's text; path is for its errors.
func Parse(path string, raw []byte) (*Features, error) {
	if len(raw) > maxFile {
		return nil, fmt.Errorf("%s: longer than %d bytes", path, maxFile)
	}
	f := &Features{}
	if err := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields().Decode(f); err != nil {
		var missing *toml.StrictMissingError
		if errors.As(err, &missing) && len(missing.Errors) > 0 {
			row, _ := missing.Errors[0].Position()
			return nil, fmt.Errorf("%s:%d: unknown key %q", path, row, strings.Join(missing.Errors[0].Key(), "."))
		}
		var bad *toml.DecodeError
		if errors.As(err, &bad) {
			row, _ := bad.Position()
			return nil, fmt.Errorf("%s:%d: %s", path, row, strings.TrimPrefix(bad.Error(), "toml: "))
		}
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if q := f.Quiet; q != nil {
		if d := time.Duration(q.FoldAfter); d < foldLeast || d > foldMost {
			return nil, fmt.Errorf("%s:%d: quiet.fold_after = %v is not from %v to %v", path, line(raw, "quiet", "fold_after"), d, foldLeast, foldMost)
		}
	}
	return f, nil
}

// line finds where a key of a table stands, or the table's header if it is not there.
func line(raw []byte, table, key string) int {
	at, in := 1, false
	for i, text := range strings.Split(string(raw), "\n") {
		text = strings.TrimSpace(text)
		if strings.HasPrefix(text, "[") {
			if in = strings.HasPrefix(text, "["+table+"]"); in {
				at = i + 1
			}
		}
		if rest, ok := strings.CutPrefix(text, key); ok && in && strings.HasPrefix(strings.TrimSpace(rest), "=") {
			return i + 1
		}
	}
	return at
}

// Lines says what is on, a line each.
func (f *Features) Lines() []string {
	if f.Quiet == nil {
		return []string{"nothing is on: the sender does as without the file"}
	}
	return []string{fmt.Sprintf("quiet: destinations fold after %v", time.Duration(f.Quiet.FoldAfter))}
}
