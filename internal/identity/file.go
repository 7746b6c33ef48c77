package identity

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"
)

// Disk is the file to which records are written. Tests substitute one that fails.
type Disk interface {
	io.WriterAt
	io.Closer
}

// File stores a table's entries on disk in a ring of records, each at the entry's index in the table, so that it never grows
// beyond the table's bound. A record torn by a kill fails its checksum and counts as not written. File does not sync, and
// is not safe for concurrent use.
type File struct {
	path        string
	table       *Table
	disk        Disk
	pending     []pendingWrite
	buf         []byte
	err         error     // of the last write
	lastRewrite time.Time // last attempt to rewrite the file
}

// pendingWrite is a record that is not on disk yet.
type pendingWrite struct {
	slot  int
	entry Entry
}

// MaxFileBytes returns the most disk space that the file of maxEntries may take, in bytes: the ring, and a copy while it is
// rewritten.
func MaxFileBytes(maxEntries int) int64 { return 2 * int64(maxEntries) * RecordSize }

// Open reads a file into an empty table and replaces it by a rewritten one. A kill in between leaves the old file intact. Open
// returns an error only if the file can't be read. If it can't be rewritten, the entries that were read are used, and Err returns
// the error until a write succeeds.
func Open(path string, t *Table, now time.Duration) (*File, error) {
	raw, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("event outcomes: %w", err)
	}
	t.Load(now, raw)
	f := &File{path: path, table: t}
	f.rewrite()
	return f, nil
}

// rewrite writes the whole table to a new file. If that fails the old file stays unchanged: its indices are not those of the table, so
// nothing may be added to it, and new entries stay pending until a rewrite succeeds.
func (f *File) rewrite() {
	f.lastRewrite = time.Now()
	disk, err := writeTable(f.path, f.table)
	if err != nil {
		f.err = fmt.Errorf("event outcomes: %w", err)
		return
	}
	f.disk, f.err, f.pending = disk, nil, nil // the table holds what was pending
}

// rewriteRetryInterval is the shortest time between two attempts to rewrite the file.
const rewriteRetryInterval = 200 * time.Millisecond

// writeTable writes a table to a new file and renames it over the old one.
func writeTable(path string, t *Table) (*os.File, error) {
	disk, err := os.OpenFile(path+".new", os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	var buf []byte
	t.ForEach(func(_ int, e Entry) { buf = AppendRecord(buf, e) })
	if t.used != len(buf)/RecordSize { // there are superseded slots: write a gap for each, as records must be at the index of their entry
		buf = make([]byte, 0, t.used*RecordSize)
		next := 0
		t.ForEach(func(index int, e Entry) {
			buf = append(buf, make([]byte, (index-next)*RecordSize)...)
			buf = AppendRecord(buf, e)
			next = index + 1
		})
	}
	_, err = disk.Write(buf)
	if err == nil {
		err = os.Rename(path+".new", path)
	}
	if err != nil {
		disk.Close()
		os.Remove(path + ".new")
		return nil, err
	}
	return disk, nil
}

// WrapDisk substitutes the disk, for tests.
func (f *File) WrapDisk(wrap func(Disk) Disk) { f.disk = wrap(f.disk) }

// Add adds an entry with its index to the pending writes; Flush writes it.
func (f *File) Add(index int, e Entry) { f.pending = append(f.pending, pendingWrite{index, e}) }

// Flush writes the pending entries, adjacent ones in one write. Entries that can't be written stay pending for the next Flush.
func (f *File) Flush() error {
	if f.disk == nil && time.Since(f.lastRewrite) >= rewriteRetryInterval {
		f.rewrite()
	}
	for len(f.pending) > 0 {
		if f.disk == nil {
			return f.err
		}
		n := 1
		for n < len(f.pending) && f.pending[n].slot == f.pending[n-1].slot+1 {
			n++
		}
		f.buf = f.buf[:0]
		for _, w := range f.pending[:n] {
			f.buf = AppendRecord(f.buf, w.entry)
		}
		if _, err := f.disk.WriteAt(f.buf, int64(f.pending[0].slot)*RecordSize); err != nil {
			f.err = fmt.Errorf("event outcomes: %w", err)
			return f.err
		}
		f.pending = f.pending[n:]
	}
	f.pending = nil
	if f.disk != nil {
		f.err = nil
	}
	return f.err
}

// Err returns the error of the last write, or nil if it succeeded.
func (f *File) Err() error { return f.err }

// Close writes the pending entries and closes the file.
func (f *File) Close() error {
	err := f.Flush()
	if f.disk != nil {
		err = errors.Join(err, f.disk.Close())
	}
	return err
}
