package nameserver

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"saffronyard.example/saffronyard/internal/zone"
)

var errBeingWritten = errors.New("it does not end with a line end: it is still being written")

// parseFile parses a text of the zone's file.
func (z *managedZone) parseFile(text []byte) (*zone.Zone, error) {
	switch {
	case len(text) > maxFileBytes:
		return nil, &FileError{File: z.config.File, Detail: fmt.Sprintf("longer than %d bytes", maxFileBytes)}
	case len(bytes.TrimSpace(text)) == 0:
		return nil, &FileError{File: z.config.File, Detail: "it is empty"}
	case text[len(text)-1] != '\n':
		return nil, fmt.Errorf("%s: %w", z.config.File, errBeingWritten)
	}
	root, err := os.OpenRoot(filepath.Dir(z.config.File))
	if err != nil {
		return nil, err
	}
	defer root.Close()
	files := root.FS()
	return zone.Parse(bytes.NewReader(text), z.config.Name, filepath.Base(z.config.File), files, z.maxRecords)
}

// loadFile reads the zone's file and accepts what is new in it. A file that can't be accepted changes nothing, and is logged once.
func (z *managedZone) loadFile() error {
	z.mu.Lock()
	defer z.mu.Unlock()
	err := z.loadFileLocked()
	switch {
	case err != nil && err.Error() != z.lastFault:
		z.lastFault = err.Error()
		if held := z.current.Load(); held.Zone != nil {
			z.log.Warn("the zone's file is not taken; what is held stays", "err", err, "serial", held.Serial())
		} else {
			z.log.Error("the zone's file is not accepted, and there is no earlier version", "err", err)
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

// acceptFile accepts a text of the file: as the zone, or, for a zone that updates change too, as edits on the current version.
func (z *managedZone) acceptFile(text []byte) error {
	if z.wroteFile && bytes.Equal(text, z.fileText) {
		return nil
	}
	read, err := z.parseFile(text)
	if err != nil {
		return err
	}
	held := z.current.Load()
	if held.Zone == nil || z.store == nil {
		return z.acceptAsZone(held, read, text)
	}
	// A file that is updated, too: what was edited is put on what is held.
	next, changed, err := zone.Rebase(z.fileBase, read, held.Zone)
	if err != nil {
		return fmt.Errorf("%s: it does not go together with the updates since: %w", z.config.File, err)
	}
	edited := zone.Diff(z.fileBase, read)
	if changed {
		if err := z.applyEdit(held.Zone, next); err != nil {
			return err
		}
		z.log.Info("the zone's file was edited by hand", "records", edited.Records(), "serial", next.Serial())
	}
	if edited.Records() > 0 {
		if err := z.store.writeBase(read); err != nil {
			return fmt.Errorf("what the file holds can't be noted: %w", err)
		}
		z.fileBase = read
	}
	z.fileText, z.wroteFile = text, false
	z.fileBehind = zone.Diff(read, z.current.Load().Zone).Records() > 0
	return nil
}

// acceptAsZone accepts a file as the zone itself: a first version, or a zone that only its file changes.
func (z *managedZone) acceptAsZone(held *version, read *zone.Zone, text []byte) error {
	next := read
	var deltas []*zone.Delta
	var changed []string
	if held.Zone != nil {
		var what zone.FileChange
		switch next, what = zone.NextVersion(held.Zone, read); what {
		case zone.Same:
			return nil
		case zone.Backwards:
			return &FileError{File: z.config.File, Detail: fmt.Sprintf("its serial %d is not newer than %d", read.Serial(), held.Serial())}
		case zone.Newer:
		case zone.SerialReused:
			z.log.Warn("the zone's file has other data under the same serial: it is taken as the next one", "serial", next.Serial())
		}
		d := zone.Diff(held.Zone, next)
		deltas, changed = []*zone.Delta{d}, recordNames(d.Removed, d.Added)
	}
	if z.store != nil {
		if err := z.store.snapshot(next); err != nil {
			return fmt.Errorf("the zone can't be kept: %w", err)
		}
		if err := z.store.writeBase(read); err != nil {
			return fmt.Errorf("what the file holds can't be noted: %w", err)
		}
		z.fileBase = read
	}
	z.fileText, z.wroteFile = text, false
	z.publish(next, deltas, changed, held.Zone == nil)
	z.log.Info("zone file accepted", "serial", next.Serial(), "records", next.Records())
	return nil
}

// applyEdit is change for a hand edit that was rebased on the current version.
func (z *managedZone) applyEdit(held, next *zone.Zone) error {
	d := zone.Diff(held, next)
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
