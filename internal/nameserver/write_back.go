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
	told := map[*managedZone]string{}
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
				delete(told, z)
			case told[z] != err.Error():
				told[z] = err.Error()
				z.log.Warn("updates are not written into the zone's file; they are kept in the journal", "err", err)
			}
		}
	}
}

// writeFile writes updates back into the zone's file, and keeps what was there beside it. If the file was edited by hand since it was
// read, the edit is applied first. An edit at the very moment of writing is found, too: the two files are exchanged in one step, and what
// was there is looked at afterwards.
func (z *managedZone) writeFile() error {
	z.mu.Lock()
	defer z.mu.Unlock()
	for range writeAttempts {
		if !z.fileBehind {
			return nil
		}
		if err := z.loadFileLocked(); err != nil && !isNotExist(err) {
			return fmt.Errorf("the file is not written over what can't be read: %w", err)
		}
		edited, err := z.writeFileOnce()
		if err != nil || !edited {
			return err
		}
	}
	return errFileEditedTooOften
}

// errFileEditedTooOften is a file that was edited by hand during each of writeAttempts.
var errFileEditedTooOften = errors.New("the file is edited as often as it is written; it is written later")

// writeFileOnce writes the current version into the zone's file. edited reports that the file was edited at that moment, and that the
// edit has been applied to the zone. The caller holds mu.
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
	if isNotExist(err) { // the file was removed: it is there again
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
	z.log.Warn("the zone's file was edited while it was written: the edit is accepted")
	return true, z.applyConcurrentEdit(base, current.Zone, found, before)
}

// createBeside writes a file beside the zone's, with the zone file's permissions, so that whoever could read that can read this.
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

// applyConcurrentEdit applies an edit that was found in the file that was exchanged, which is now called name.
func (z *managedZone) applyConcurrentEdit(base, current *zone.Zone, text []byte, name string) error {
	read, err := z.parseFile(text)
	if err != nil {
		return fmt.Errorf("what was edited stands in %s: %w", name, err)
	}
	next, changed, err := zone.Rebase(base, read, current)
	if err != nil {
		return fmt.Errorf("what was edited stands in %s: %w", name, err)
	}
	if changed {
		if err := z.applyEdit(current, next); err != nil {
			return err
		}
		z.fileBehind = true
	}
	return nil
}
