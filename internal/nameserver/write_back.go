package nameserver

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"saffronyard.example/saffronyard/internal/zone"
)

// writeBack writes updates into the zones' files every writeBackInterval, until ctx ends.
func writeBack(ctx context.Context, zones []*managedZone) {
	every := time.NewTicker(writeBackInterval)
	defer every.Stop()
	logged := map[*managedZone]string{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-every.C:
		}
		for _, z := range zones {
			if !z.isFileBehind() {
				continue
			}
			err := z.writeFile()
			switch {
			case err == nil:
				delete(logged, z)
			case logged[z] != err.Error():
				logged[z] = err.Error()
				z.log.Warn("updates can't be written into the zone's file; they stay in the journal", "err", err)
			}
		}
	}
}

// writeFile writes updates back into the zone's file, and keeps the file's old content in a second file next to it. If the file was edited
// since it was read, the edit is applied first. An edit during the write is detected too: the two files are swapped atomically, and the
// old content is compared afterwards.
func (z *managedZone) writeFile() error {
	z.mu.Lock()
	defer z.mu.Unlock()
	for range writeAttempts {
		if !z.fileBehind {
			return nil
		}
		if err := z.loadFileLocked(); err != nil && !isNotExist(err) {
			return fmt.Errorf("the file can't be loaded and is not overwritten: %w", err)
		}
		edited, err := z.writeFileOnce()
		if err != nil || !edited {
			return err
		}
	}
	return errFileEditedTooOften
}

// errFileEditedTooOften reports a file that was edited during each of writeAttempts writes.
var errFileEditedTooOften = errors.New("the file was edited during each attempt to write it; the write is retried later")

// writeFileOnce writes the current version into the zone's file. edited reports that the file was edited during the write, and err is the
// error of applying that edit to the zone. The caller holds mu.
func (z *managedZone) writeFileOnce() (edited bool, err error) {
	current := z.current.Load()
	var text bytes.Buffer
	if err := current.Write(&text); err != nil {
		return false, err
	}
	before := z.config.File + ".before"
	if err := z.createBeside(before, text.Bytes()); err != nil {
		return false, err
	}
	expected := z.fileText
	err = z.disk.Exchange(before, z.config.File)
	if isNotExist(err) { // the zone's file was removed: it is created again
		expected, err = nil, z.disk.Rename(before, z.config.File)
	}
	if err != nil {
		return false, err
	}
	if err := z.disk.SyncDir(filepath.Dir(z.config.File)); err != nil {
		return false, err
	}
	if err := z.store.writeBase(current.Zone); err != nil {
		return false, err
	}
	base := z.fileBase
	z.fileBase, z.fileText, z.wroteFile, z.fileBehind = current.Zone, bytes.Clone(text.Bytes()), true, false
	if expected == nil {
		return false, nil
	}
	found, err := z.disk.ReadFile(before)
	if err != nil || bytes.Equal(found, expected) {
		return false, err
	}
	z.log.Warn("the zone's file was edited while it was written; the edit is being applied")
	return true, z.applyConcurrentEdit(base, current.Zone, found, before)
}

// createBeside writes a file next to the zone's file, with its permissions, so that the same users can read it.
func (z *managedZone) createBeside(name string, text []byte) error {
	f, err := z.disk.Create(name)
	if err != nil {
		return err
	}
	if _, err = f.Write(text); err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	if info, err := os.Stat(z.config.File); err == nil {
		return os.Chmod(name, info.Mode().Perm())
	}
	return nil
}

// applyConcurrentEdit applies an edit that was found in the old content of the zone's file, which is now in the file name.
func (z *managedZone) applyConcurrentEdit(base, current *zone.Zone, text []byte, name string) error {
	read, err := z.parseFile(text)
	if err != nil {
		return fmt.Errorf("the edited zone file, now in %s, can't be parsed: %w", name, err)
	}
	next, changed, err := zone.Rebase(base, read, current)
	if err != nil {
		return fmt.Errorf("the edits, now in %s, conflict with the updates since: %w", name, err)
	}
	if changed {
		if err := z.applyEdit(current, next); err != nil {
			return err
		}
		z.fileBehind = true
	}
	return nil
}
