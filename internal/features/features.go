// Package features reads the operators' own file, which turns on functions of the sender beyond the platform's configuration. A function
// that the file does not name is off, or has the sender's default settings.
package features

import (
	"fmt"
	"os"
	"time"

	"saffronyard.example/saffronyard/internal/knowledge"
	"saffronyard.example/saffronyard/internal/tomlfile"
)

// Features is the content of the file. A nil field is a table that the file does not have.
type Features struct {
	Quiet    *Quiet    `toml:"quiet"`
	Events   *Events   `toml:"events"`
	Delivery *Delivery `toml:"delivery"`

	Undelivered *Undelivered `toml:"undelivered"`
	Knowledge   *Knowledge   `toml:"knowledge"`
	Peers       *Peers       `toml:"peers"`
	DNS         *DNS         `toml:"dns"`
	Work        *Work        `toml:"work"`
	Fleet       *Fleet       `toml:"fleet"`
}

// Knowledge is the snapshot of the sender's observations of receivers, which a restarted process loads.
type Knowledge struct {
	Every tomlfile.Span `toml:"every"` // interval between snapshots; from 500ms to 1h, default 2s
	Bytes int64         `toml:"bytes"` // maximum size of a snapshot; twice as much is used while one is written; default 131072
}

// Quiet is the handling of destinations without traffic.
type Quiet struct {
	// FoldAfter is the time without traffic after which only a compact state of a destination is kept; from 1s to 24h.
	FoldAfter tomlfile.Span `toml:"fold_after"`
}

// Bounds of settings.
const (
	maxFileBytes   = 1 << 20 // of the operators' file
	maxDestination = 1<<16 - 1

	minFoldAfter = time.Second
	maxFoldAfter = 24 * time.Hour

	minSnapshotInterval = 500 * time.Millisecond
	maxSnapshotInterval = time.Hour

	maxBatchEvents = 1000
	maxBatchBytes  = 4 << 20
	maxDeadline    = 24 * time.Hour
)

// Load reads and checks a file. An error names the file, and the line and key if it concerns one; it is a *PositionError, a *SettingError,
// an error of package tomlfile, or that of reading the file.
func Load(path string) (*Features, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("features: %w", err)
	}
	return Parse(path, raw)
}

// Parse reads and checks the text of a file; path is the file's name for errors.
func Parse(path string, raw []byte) (*Features, error) {
	if len(raw) > maxFileBytes {
		return nil, settingError("%s: longer than %d bytes", path, maxFileBytes)
	}
	f := &Features{}
	if err := tomlfile.Decode(path, raw, f); err != nil {
		return nil, err
	}
	doc := document{path, raw}
	for _, check := range []func(document) error{f.Quiet.check, f.Events.check, f.Delivery.check, f.Knowledge.check, f.Peers.check, f.Fleet.check, f.DNS.check, f.Work.check} {
		if err := check(doc); err != nil {
			return nil, err
		}
	}
	if err := f.Undelivered.check(doc, f.Work != nil); err != nil {
		return nil, err
	}
	return f, nil
}

// check validates the table and fills in its defaults; without the table it does nothing. The check methods of all tables do the same.
func (q *Quiet) check(doc document) error {
	if q == nil {
		return nil
	}
	if after := q.FoldAfter.D(); after < minFoldAfter || after > maxFoldAfter {
		return doc.errorAt("quiet", 0, "fold_after", "quiet.fold_after = %v is not from %v to %v", after, minFoldAfter, maxFoldAfter)
	}
	return nil
}

func (k *Knowledge) check(doc document) error {
	if k == nil {
		return nil
	}
	setDefault(&k.Every, tomlfile.Span(2*time.Second))
	setDefault(&k.Bytes, 128<<10)
	if every := k.Every.D(); every < minSnapshotInterval || every > maxSnapshotInterval {
		return doc.errorAt("knowledge", 0, "every", "knowledge.every = %v is not from %v to %v", every, minSnapshotInterval, maxSnapshotInterval)
	}
	if k.Bytes < knowledge.MinSnapshotBytes || k.Bytes > knowledge.MaxSnapshotBytes {
		return doc.errorAt("knowledge", 0, "bytes", "knowledge.bytes = %d is not from %d to %d", k.Bytes, knowledge.MinSnapshotBytes, knowledge.MaxSnapshotBytes)
	}
	return nil
}

// setDefault sets a setting to its default if the setting is zero: the file omits it or sets it to zero.
func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}
