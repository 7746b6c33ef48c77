package identity

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"
)

// Disk is the file that records go to; tests put one in place that fails.
type Disk interface {
	io.WriterAt
	io.Closer
}

// File keeps a table's entries on disk: a ring of records, each at the place that the table names, so that it never grows
// beyond the table's bound. A record that a kill leaves torn can't be read, and counts as not written. It does not sync, and
// is not for concurrent use.
type File struct {
	path        string
	table       *Table
	disk        Disk
	pending     []pendingWrite
	buf         []byte
	err         error     // of the last write
	lastRewrite time.Time // to write the file anew
}

// pendingWrite is a record that is not on the disk yet.
type pendingWrite struct {
	slot  int
	entry Entry
}

// MaxFileBytes is the most that the file of so many entries may take on the disk: the ring, and its copy while it is written
// anew.
func MaxFileBytes(maxEntries int) int64 { return 2 * int64(maxEntries) * RecordSize }

// Open reads a file into an empty table and writes it anew in its place. A kill in between leaves the old one whole. The error
// is a file that can't be read; a disk that can't be written is none: what was read counts, and Err says so until a write
// succeeds.
func Open(path string, t *Table, now time.Duration) (*File, error) {
	raw, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("ends of events: %w", err)
	}
	t.Load(now, raw)
	f := &File{path: path, table: t}
	f.rewrite()
	return f, nil
}

// rewrite writes the file anew. Where that fails the old one stays as it is: its places are not the table's, so nothing is
// added to it, and all that ends waits for a disk.
func (f *File) rewrite() {
	f.lastRewrite = time.Now()
	disk, err := writeTable(f.path, f.table)
	if err != nil {
		f.err = fmt.Errorf("ends of events: %w", err)
		return
	}
	f.disk, f.err, f.pending = disk, nil, nil // the table holds what was pending
}

// rewriteRetryInterval is the pause between two attempts to write the file anew.
const rewriteRetryInterval = 200 * time.Millisecond

// writeTable writes a table to a new file and puts it in the old one's place.
func writeTable(path string, t *Table) (*os.File, error) {
	disk, err := os.OpenFile(path+".new", os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	var buf []byte
	t.ForEach(func(_ int, e Entry) { buf = AppendRecord(buf, e) })
	if t.used != len(buf)/RecordSize { // a key that came again left a dead place behind: the records' places count
		buf = make([]byte, 0, t.used*RecordSize)
		next := 0
		t.ForEach(func(place int, e Entry) {
			buf = append(buf, make([]byte, (place-next)*RecordSize)...)
			buf = AppendRecord(buf, e)
			next = place + 1
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

// WrapDisk puts another disk in place; for tests.
func (f *File) WrapDisk(wrap func(Disk) Disk) { f.disk = wrap(f.disk) }

// Add takes an entry at its place; Flush writes it.
func (f *File) Add(place int, e Entry) { f.pending = append(f.pending, pendingWrite{place, e}) }

// Flush writes what was added, neighbours in one write. What fails is kept and tried again by the next Flush.
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
			f.err = fmt.Errorf("ends of events: %w", err)
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

// Err is why nothing can be written now; nil if it can.
func (f *File) Err() error { return f.err }

// Close writes what was added and closes the file.
func (f *File) Close() error {
	err := f.Flush()
	if f.disk != nil {
		err = errors.Join(err, f.disk.Close())
	}
	return err
}
