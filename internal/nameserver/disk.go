// Package nameserver holds zones and serves them: from files that are followed, from primaries, and by signed updates that
// are journalled before they are answered. It tells the sender where its members' names lead.
//
// What is decided stands in packages zone and membership; here is what reads, writes and listens.
package nameserver

import (
	"errors"
	"io/fs"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// disk is what the store and the followed files need of a file system; tests make it fail and die.
type disk interface {
	ReadFile(name string) ([]byte, error)
	Create(name string) (file, error)                   // new, or emptied
	Append(name string) (f file, size int64, err error) // what is there
	Rename(from, to string) error
	Exchange(a, b string) error // of two files that are there, in one step
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

// osDisk is the machine's.
type osDisk struct{}

func (osDisk) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

func (osDisk) Create(name string) (file, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
}

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

func (osDisk) Rename(from, to string) error { return os.Rename(from, to) }

func (osDisk) Exchange(a, b string) error {
	if err := unix.Renameat2(unix.AT_FDCWD, a, unix.AT_FDCWD, b, unix.RENAME_EXCHANGE); err != nil {
		return &os.LinkError{Op: "exchange", Old: a, New: b, Err: err}
	}
	return nil
}

func (osDisk) SyncDir(name string) error {
	d, err := os.Open(name)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

func (osDisk) ModTime(name string) (time.Time, error) {
	info, err := os.Stat(name)
	if err != nil {
		return time.Time{}, err
	}
	return info.ModTime(), nil
}

func (osDisk) Touch(name string, t time.Time) error { return os.Chtimes(name, t, t) }

// writeAtomically writes a file so that after a crash there is either what was there or all of this.
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
