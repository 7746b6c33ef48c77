package fleet

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"saffronyard.example/saffronyard/internal/boltfile"
)

// Disk stores proposed policies; tests use one that fails.
type Disk interface {
	// Write writes a file atomically: all of it, synced, or nothing.
	Write(path string, data []byte) error
}

// realDisk is the machine's file system.
type realDisk struct{}

// Write writes a temporary file in the same directory, syncs it and renames it.
func (realDisk) Write(path string, data []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".new-")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	if _, err = f.Write(data); err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	if err := os.Rename(f.Name(), path); err != nil {
		return err
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

// Vouch records that an operator vouches for the folder of a stopped voter: that it is the newest. The voter's next process does not wait for the
// handshake's answers. The record is used once.
func Vouch(folder, by string) error {
	if _, err := os.Stat(filepath.Join(folder, logName)); err != nil {
		return fmt.Errorf("not the folder of a voter: %w", err)
	}
	s, err := boltfile.Open(filepath.Join(folder, logName), true)
	if err != nil {
		return err
	}
	if err := s.Close(); err != nil {
		return err
	}
	return realDisk{}.Write(filepath.Join(folder, vouchedName), []byte(by))
}

// takeVouch reads and removes the record that Vouch has written; ok is false if there is none.
func takeVouch(folder string) (by string, ok bool, err error) {
	path := filepath.Join(folder, vouchedName)
	raw, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return "", false, nil
	}
	if err == nil {
		err = os.Remove(path)
	}
	return string(raw), err == nil, err
}
