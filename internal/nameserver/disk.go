package nameserver

import (
	"errors"
	"io/fs"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// disk is the part of a file system that the store and the zone files use. Tests replace it by one that simulates faults and crashes.
type disk interface {
	ReadFile(name string) ([]byte, error)
	Create(name string) (file, error)                   // an existing file is truncated
	Append(name string) (f file, size int64, err error) // the file must exist
	Rename(from, to string) error
	Exchange(a, b string) error // swaps two existing files atomically
	SyncDir(name string) error
	ModTime(name string) (time.Time, error)
	Touch(name string, t time.Time) error
}

type file interface {
	Write(b []byte) (int, error)
	Sync() error
	Truncate(size int64) error
	Close() error
}

// osDisk is the operating system's file system.
type osDisk struct{}

// ReadFile reads a file.
func (osDisk) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// Create creates or truncates a file that only its owner can read.
func (osDisk) Create(name string) (file, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
}

// Append opens an existing file for appending and returns its size in bytes.
func (osDisk) Append(name string) (file, int64, error) {
	f, err := os.OpenFile(name, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return nil, 0, err
	}
	info, err := f.Stat()
	if err != nil {
		return nil, 0, errors.Join(err, f.Close())
	}
	return f, info.Size(), nil
}

// Rename renames a file and replaces an existing file of the new name.
func (osDisk) Rename(from, to string) error { return os.Rename(from, to) }

// Exchange swaps two existing files atomically.
func (osDisk) Exchange(a, b string) error {
	if err := unix.Renameat2(unix.AT_FDCWD, a, unix.AT_FDCWD, b, unix.RENAME_EXCHANGE); err != nil {
		return &os.LinkError{Op: "exchange", Old: a, New: b, Err: err}
	}
	return nil
}

// SyncDir makes renames in a folder durable.
func (osDisk) SyncDir(name string) error {
	d, err := os.Open(name)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// ModTime returns a file's modification time.
func (osDisk) ModTime(name string) (time.Time, error) {
	info, err := os.Stat(name)
	if err != nil {
		return time.Time{}, err
	}
	return info.ModTime(), nil
}

// Touch sets a file's modification time.
func (osDisk) Touch(name string, t time.Time) error { return os.Chtimes(name, t, t) }

// writeAtomically replaces a file so that after a crash it has either its old content or its complete new content.
func writeAtomically(d disk, dir, name string, content []byte) error {
	tmp := name + ".new"
	f, err := d.Create(tmp)
	if err != nil {
		return err
	}
	_, err = f.Write(content)
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	if err := d.Rename(tmp, name); err != nil {
		return err
	}
	return d.SyncDir(dir)
}

func isNotExist(err error) bool { return errors.Is(err, fs.ErrNotExist) }
