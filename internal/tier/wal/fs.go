package wal

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
)

// FS is the part of a file system that a write-ahead log uses. Errors for missing names match fs.ErrNotExist.
type FS interface {
	// Open opens a file that exists, for reading and writing.
	Open(name string) (Handle, error)
	// Create creates an empty file, or empties an existing one.
	Create(name string) (Handle, error)
	// Rename renames a file, and replaces one that has the new name.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(name string) error
	// List returns the sorted names of the entries of a folder, without its path.
	List(dir string) ([]string, error)
	// SyncDir makes creations, renames and removals in a folder durable.
	SyncDir(dir string) error
	// MkdirAll creates a folder and its missing parents durably. An existing folder is no error.
	MkdirAll(dir string) error
}

// Handle is one open file. Offsets and sizes are in bytes.
type Handle interface {
	ReadAt(p []byte, off int64) (int, error)  // as io.ReaderAt
	WriteAt(p []byte, off int64) (int, error) // as io.WriterAt
	Truncate(size int64) error
	Sync() error // what was written before is durable once it has returned nil
	Size() (int64, error)
	Close() error
}

// OS is the file system of the machine.
type OS struct{}

// osFile is a Handle of the operating system.
type osFile struct{ *os.File }

// Size implements Handle.
func (file osFile) Size() (int64, error) {
	info, err := file.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// Open opens an existing file for reading and writing.
func (OS) Open(name string) (Handle, error) { return osOpen(name, os.O_RDWR) }

// Create makes an empty file.
func (OS) Create(name string) (Handle, error) { return osOpen(name, os.O_RDWR|os.O_CREATE|os.O_TRUNC) }

// osOpen opens a file with the flags of package os.
func osOpen(name string, flag int) (Handle, error) {
	file, err := os.OpenFile(name, flag, 0o600)
	if err != nil {
		return nil, err
	}
	return osFile{file}, nil
}

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (OS) Remove(name string) error { return os.Remove(name) }

// List implements FS.
func (OS) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, len(entries))
	for i, entry := range entries {
		names[i] = entry.Name()
	}
	return names, nil
}

// SyncDir syncs a folder.
func (OS) SyncDir(dir string) error {
	folder, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}

// MkdirAll creates the folder and its missing parents, and syncs the parent of each.
func (system OS) MkdirAll(dir string) error {
	switch info, err := os.Stat(dir); {
	case err == nil && info.IsDir():
		return nil
	case err == nil:
		return &fs.PathError{Op: "mkdir", Path: dir, Err: fs.ErrExist}
	case !errors.Is(err, fs.ErrNotExist):
		return err
	}
	parent := filepath.Dir(dir)
	if parent != dir {
		if err := system.MkdirAll(parent); err != nil {
			return err
		}
	}
	if err := os.Mkdir(dir, 0o700); err != nil && !errors.Is(err, fs.ErrExist) {
		return err
	}
	return system.SyncDir(parent)
}
