// Package wal implements a write-ahead log: an append-only file of checksummed records. A record is durable once a Sync that
// began after its Append has returned nil; what a power loss leaves of later records is cut off when the file is opened.
package wal

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io/fs"
	"path/filepath"
	"sync"

	"github.com/joomcode/errorx"
	"github.com/phuslu/log"
)

const (
	header    = "yardlog\x01" // magic and version
	headSize  = 8             // of a record: length and checksum, 4 bytes each, little endian
	tempExt   = ".tmp"
	bufferMax = 256 << 10 // bytes of a write buffer that are kept between calls

	// MaxRecord is the maximum size of a record, in bytes.
	MaxRecord = 64 << 20
)

var (
	space = errorx.NewNamespace("wal")
	// Broken is the type of errors of a file that refuses all but Reopen, Rewrite and Close, after a write or sync that failed.
	Broken = space.NewType("broken")
	// Foreign is the type of errors of a file that has another magic or version.
	Foreign = space.NewType("foreign")
	// Misuse is the type of errors of calls that can't be served: record too long, file closed.
	Misuse = space.NewType("misuse")
	// TooLarge is the type, a kind of Misuse, of the error that refuses a record over MaxRecord. Nothing was written, and
	// the file is as usable as before: this is no error of the disk.
	TooLarge = Misuse.NewSubtype("too_large")
	// IO is the type of errors of the disk.
	IO = space.NewType("io")

	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// File is an open write-ahead log. Append may run beside Sync; Rewrite runs alone.
type File struct {
	fs        FS
	dir, path string

	syncing sync.Mutex // one sync at a time: the system tells a failure to one caller only. Taken before mu.

	mu      sync.Mutex
	handle  Handle
	size    int64 // bytes, header included
	durable int64 // bytes at the beginning that a sync has covered; 0 where that is unknown
	reopens int   // how often Reopen took another handle
	broken  error
	closed  bool
	buffer  []byte
}

// Open opens the write-ahead log called name in dir, which is made if missing, and hands each record, in order, to replay (which may keep it).
// The first torn or damaged record ends the replay and is cut off with all that follows. What was replayed is on the disk
// when Open returns. An error of replay is returned as it is, and the file stays as it was.
func Open(files FS, dir, name string, replay func(record []byte) error) (*File, error) {
	f := &File{fs: files, dir: dir, path: filepath.Join(dir, name)}
	if err := files.MkdirAll(dir); err != nil {
		return nil, IO.Wrap(err, "make folder %s", dir)
	}
	if err := files.Remove(f.path + tempExt); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, IO.Wrap(err, "remove %s", f.path+tempExt)
	}
	var err error
	if f.handle, err = files.Open(f.path); errors.Is(err, fs.ErrNotExist) {
		f.handle, err = files.Create(f.path)
	}
	if err != nil {
		return nil, IO.Wrap(err, "open %s", f.path)
	}
	if err := f.load(replay, -1); err != nil {
		_ = f.handle.Close()
		return nil, err
	}
	return f, nil
}

// load replays the records, cuts the tail and makes sure that all that was read is durable: what stands at durable or
// behind it is written again. Where durable is negative the file is of another process, and retouchTail counts.
func (f *File) load(replay func([]byte) error, durable int64) error {
	total, err := f.handle.Size()
	if err != nil {
		return IO.Wrap(err, "size of %s", f.path)
	}
	whole, err := readHeader(f.handle, total)
	if err != nil {
		return errorx.Decorate(err, "%s", f.path)
	}
	if !whole {
		// The header is synced before the first record, so nothing was ever in here.
		if err := f.handle.Truncate(0); err != nil {
			return IO.Wrap(err, "empty %s", f.path)
		}
		if _, err := f.handle.WriteAt([]byte(header), 0); err != nil {
			return IO.Wrap(err, "write header of %s", f.path)
		}
		f.size = int64(len(header))
	} else {
		if f.size, err = scan(f.handle, total, replay); err != nil {
			return err
		}
		if durable < 0 {
			durable = f.size - retouchTail
		}
		if err := f.retouch(max(0, min(durable, f.size))); err != nil {
			return err
		}
		if f.size < total {
			log.Warn().Str("event", "wal_tail_cut").Str("file", f.path).Int64("kept", f.size).Int64("cut", total-f.size).Msg("torn tail of a file cut off")
			if err := f.handle.Truncate(f.size); err != nil {
				return IO.Wrap(err, "cut %s", f.path)
			}
		}
	}
	// Without these two a power loss could take back what this process replayed, or bring back a tail that was cut.
	if err := f.handle.Sync(); err != nil {
		return IO.Wrap(err, "sync %s", f.path)
	}
	if err := f.fs.SyncDir(f.dir); err != nil {
		return IO.Wrap(err, "sync folder %s", f.dir)
	}
	f.durable = f.size
	return nil
}

// appendRecord adds the stored form of a record.
func appendRecord(to, record []byte) []byte {
	var head [headSize]byte
	binary.LittleEndian.PutUint32(head[:4], uint32(len(record)))
	sum := crc32.Update(crc32.Checksum(head[:4], castagnoli), castagnoli, record)
	binary.LittleEndian.PutUint32(head[4:], sum)
	return append(append(to, head[:]...), record...)
}

// usable gives the error that keeps the file from being used. The lock is held.
func (f *File) usable() error {
	if f.closed {
		return Misuse.New("%s is closed", f.path)
	}
	return f.broken
}

// fail makes the file refuse everything until it has been reopened or rewritten. The lock is held.
func (f *File) fail(err error, what string) error {
	if f.broken == nil {
		f.broken = Broken.Wrap(err, "%s %s", what, f.path)
	}
	return f.broken
}

// Append adds records, in order, by one write. They last once a Sync that begins afterwards has returned nil.
// After an error of the disk (type Broken) their fate is unknown. A record over MaxRecord is refused (type
// TooLarge), and nothing is written.
func (f *File) Append(records ...[]byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.usable(); err != nil {
		return err
	}
	buffer := f.buffer[:0]
	for _, r := range records {
		if len(r) > MaxRecord {
			return TooLarge.New("record of %d bytes, more than %d", len(r), MaxRecord)
		}
		buffer = appendRecord(buffer, r)
	}
	if f.buffer = buffer; cap(buffer) > bufferMax {
		f.buffer = nil
	}
	if len(buffer) == 0 {
		return nil
	}
	if _, err := f.handle.WriteAt(buffer, f.size); err != nil {
		return f.fail(err, "write")
	}
	f.size += int64(len(buffer))
	return nil
}

// Sync makes all records durable whose Append returned before the call. Calls at the same time share a sync of the disk.
// After an error (type Broken) the fate of the records since the last nil Sync is unknown.
func (f *File) Sync() error {
	target, err := f.syncTarget()
	if err != nil {
		return err
	}
	f.syncing.Lock()
	defer f.syncing.Unlock()
	f.mu.Lock()
	if err := f.usable(); err != nil || f.durable >= target {
		f.mu.Unlock()
		return err
	}
	handle, size, reopens := f.handle, f.size, f.reopens
	f.mu.Unlock()
	err = handle.Sync()
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.closed:
		return Misuse.New("%s was closed during a sync", f.path)
	case f.handle != handle && err != nil:
		return IO.Wrap(err, "sync %s, replaced meanwhile", f.path) // the new file is sound
	case f.reopens != reopens:
		return IO.New("sync %s, reopened meanwhile", f.path)
	case f.handle != handle:
		return nil
	case err != nil:
		return f.fail(err, "sync")
	}
	f.durable = max(f.durable, size)
	return nil
}

// syncTarget gives the size up to which a sync that begins now must reach.
func (f *File) syncTarget() (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.size, f.usable()
}

// Size gives the bytes of the file.
func (f *File) Size() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.size
}

// Close closes the file without a sync. Closing twice is no error.
func (f *File) Close() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return nil
	}
	f.closed = true
	if err := f.handle.Close(); err != nil {
		return IO.Wrap(err, "close %s", f.path)
	}
	return nil
}
