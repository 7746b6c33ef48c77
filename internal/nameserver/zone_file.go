package nameserver

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"saffronyard.example/saffronyard/internal/zone"
)

var errNoFinalNewline = errors.New("the file does not end with a newline: it may still be being written")

// parseFile parses the text of the zone's file.
func (z *managedZone) parseFile(text []byte) (*zone.Zone, error) {
	switch {
	case len(text) > maxFileBytes:
		return nil, &FileError{File: z.config.File, Detail: fmt.Sprintf("the file is longer than %d bytes", maxFileBytes)}
	case len(bytes.TrimSpace(text)) == 0:
		return nil, &FileError{File: z.config.File, Detail: "the file is empty"}
	case text[len(text)-1] != '\n':
		return nil, fmt.Errorf("%s: %w", z.config.File, errNoFinalNewline)
	}
	root, err := os.OpenRoot(filepath.Dir(z.config.File))
	if err != nil {
		return nil, err
	}
	defer root.Close()
	files := root.FS()
	return zone.Parse(bytes.NewReader(text), z.config.Name, filepath.Base(z.config.File), files, z.maxRecords)
}

// loadFile reads the zone's file and accepts its changes. A file that is rejected changes nothing, and its error is logged once.
func (z *managedZone) loadFile() error {
	z.mu.Lock()
	defer z.mu.Unlock()
	err := z.loadFileLocked()
	switch {
	case err != nil && err.Error() != z.lastFault:
		z.lastFault = err.Error()
		if current := z.current.Load(); current.Zone != nil {
			z.log.Warn("the zone's file is not taken; what is held stays", "err", err, "serial", current.Serial())
		} else {
			z.log.Error("the zone's file is rejected, and there is no earlier version", "err", err)
		}
	case err == nil && z.lastFault != "":
		z.lastFault = ""
		z.log.Info("the zone's file is valid again", "serial", z.current.Load().Serial())
	}
	return err
}

func (z *managedZone) loadFileLocked() error {
	text, err := z.disk.ReadFile(z.config.File)
	if err != nil {
		return err
	}
	return z.acceptFile(text)
}

// acceptFile accepts the text of the file: as a new version, or, for a zone that updates change too, as edits of the current version.
func (z *managedZone) acceptFile(text []byte) error {
	if z.wroteFile && bytes.Equal(text, z.fileText) {
		return nil
	}
	read, err := z.parseFile(text)
	if err != nil {
		return err
	}
	current := z.current.Load()
	if current.Zone == nil || z.store == nil {
		return z.acceptAsZone(current, read, text)
	}
	// The zone is changed by updates too: the edits since fileBase are applied to the current version.
	next, changed, err := zone.Rebase(z.fileBase, read, current.Zone)
	if err != nil {
		return fmt.Errorf("%s: the edits conflict with the updates since: %w", z.config.File, err)
	}
	edited := zone.Diff(z.fileBase, read)
	if changed {
		if err := z.applyEdit(current.Zone, next); err != nil {
			return err
		}
		z.log.Info("manual edits of the zone's file accepted", "records", edited.Records(), "serial", next.Serial())
	}
	if edited.Records() > 0 {
		if err := z.store.writeBase(read); err != nil {
			return fmt.Errorf("the base version of the file can't be stored: %w", err)
		}
		z.fileBase = read
	}
	z.fileText, z.wroteFile = text, false
	z.fileBehind = zone.Diff(read, z.current.Load().Zone).Records() > 0
	return nil
}

// acceptAsZone accepts a file as a new version of the zone: the first version, or a version of a zone that only its file changes.
func (z *managedZone) acceptAsZone(current *version, read *zone.Zone, text []byte) error {
	next := read
	var deltas []*zone.Delta
	var changed []string
	if current.Zone != nil {
		var what zone.FileChange
		switch next, what = zone.NextVersion(current.Zone, read); what {
		case zone.Same:
			return nil
		case zone.Backwards:
			return &FileError{File: z.config.File, Detail: fmt.Sprintf("the serial %d is not newer than %d", read.Serial(), current.Serial())}
		case zone.Newer:
		case zone.SerialReused:
			z.log.Warn("the zone's file has other data under the same serial; the zone gets the next serial", "serial", next.Serial())
		}
		d := zone.Diff(current.Zone, next)
		deltas, changed = []*zone.Delta{d}, recordNames(d.Removed, d.Added)
	}
	if z.store != nil {
		if err := z.store.snapshot(next); err != nil {
			return fmt.Errorf("the zone can't be stored: %w", err)
		}
		if err := z.store.writeBase(read); err != nil {
			return fmt.Errorf("the base version of the file can't be stored: %w", err)
		}
		z.fileBase = read
	}
	z.fileText, z.wroteFile = text, false
	z.publish(next, deltas, changed, current.Zone == nil)
	z.log.Info("zone file accepted", "serial", next.Serial(), "records", next.Records())
	return nil
}

// applyEdit applies manual edits that were rebased on the current version.
func (z *managedZone) applyEdit(current, next *zone.Zone) error {
	d := zone.Diff(current, next)
	if err := z.change(d, next, recordNames(d.Removed, d.Added)); err != nil {
		return fmt.Errorf("the edit can't be journalled: %w", err)
	}
	return nil
}

func (z *managedZone) isFileBehind() bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.fileBehind
}
