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
func (file *File) load(replay func([]byte) error, durable int64) error {
	total, err := file.handle.Size()
	if err != nil {
		return IO.Wrap(err, "size of %s", file.path)
	}
	whole, err := readHeader(file.handle, total)
	if err != nil {
		return errorx.Decorate(err, "%s", file.path)
	}
	if !whole {
		// The header is synced before the first record, so nothing was ever in here.
		if err := file.handle.Truncate(0); err != nil {
			return IO.Wrap(err, "empty %s", file.path)
		}
		if _, err := file.handle.WriteAt([]byte(header), 0); err != nil {
			return IO.Wrap(err, "write header of %s", file.path)
		}
		file.size = int64(len(header))
	} else {
		if file.size, err = scan(file.handle, total, replay); err != nil {
			return err
		}
		if durable < 0 {
			durable = file.size - retouchTail
		}
		if err := file.retouch(max(0, min(durable, file.size))); err != nil {
			return err
		}
		if file.size < total {
			log.Warn().Str("event", "wal_tail_cut").Str("file", file.path).Int64("kept", file.size).Int64("cut", total-file.size).Msg("torn tail of a file cut off")
			if err := file.handle.Truncate(file.size); err != nil {
				return IO.Wrap(err, "cut %s", file.path)
			}
		}
	}
	// Without these two a power loss could take back what this process replayed, or bring back a tail that was cut.
	if err := file.handle.Sync(); err != nil {
		return IO.Wrap(err, "sync %s", file.path)
	}
	if err := file.fs.SyncDir(file.dir); err != nil {
		return IO.Wrap(err, "sync folder %s", file.dir)
	}
	file.durable = file.size
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
func (file *File) usable() error {
	if file.closed {
		return Misuse.New("%s is closed", file.path)
	}
	return file.broken
}

// fail makes the file refuse everything until it has been reopened or rewritten. The lock is held.
func (file *File) fail(err error, what string) error {
	if file.broken == nil {
		file.broken = Broken.Wrap(err, "%s %s", what, file.path)
	}
	return file.broken
}

// Append adds records, in order, by one write. They last once a Sync that begins afterwards has returned nil.
// After an error of the disk (type Broken) their fate is unknown. A record over MaxRecord is refused (type
// TooLarge), and nothing is written.
func (file *File) Append(records ...[]byte) error {
	file.mu.Lock()
	defer file.mu.Unlock()
	if err := file.usable(); err != nil {
		return err
	}
	buffer := file.buffer[:0]
	for _, r := range records {
		if len(r) > MaxRecord {
			return TooLarge.New("record of %d bytes, more than %d", len(r), MaxRecord)
		}
		buffer = appendRecord(buffer, r)
	}
	if file.buffer = buffer; cap(buffer) > bufferMax {
		file.buffer = nil
	}
	if len(buffer) == 0 {
		return nil
	}
	if _, err := file.handle.WriteAt(buffer, file.size); err != nil {
		return file.fail(err, "write")
	}
	file.size += int64(len(buffer))
	return nil
}

// Sync makes all records durable whose Append returned before the call. Calls at the same time share a sync of the disk.
// After an error (type Broken) the fate of the records since the last nil Sync is unknown.
func (file *File) Sync() error {
	target, err := file.syncTarget()
	if err != nil {
		return err
	}
	file.syncing.Lock()
	defer file.syncing.Unlock()
	file.mu.Lock()
	if err := file.usable(); err != nil || file.durable >= target {
		file.mu.Unlock()
		return err
	}
	handle, size, reopens := file.handle, file.size, file.reopens
	file.mu.Unlock()
	err = handle.Sync()
	file.mu.Lock()
	defer file.mu.Unlock()
	switch {
	case file.closed:
		return Misuse.New("%s was closed during a sync", file.path)
	case file.handle != handle && err != nil:
		return IO.Wrap(err, "sync %s, replaced meanwhile", file.path) // the new file is sound
	case file.reopens != reopens:
		return IO.New("sync %s, reopened meanwhile", file.path)
	case file.handle != handle:
		return nil
	case err != nil:
		return file.fail(err, "sync")
	}
	file.durable = max(file.durable, size)
	return nil
}

// syncTarget gives the size up to which a sync that begins now must reach.
func (file *File) syncTarget() (int64, error) {
	file.mu.Lock()
	defer file.mu.Unlock()
	return file.size, file.usable()
}

// Size gives the bytes of the file.
func (file *File) Size() int64 {
	file.mu.Lock()
	defer file.mu.Unlock()
	return file.size
}

// Close closes the file without a sync. Closing twice is no error.
func (file *File) Close() error {
	file.mu.Lock()
	defer file.mu.Unlock()
	if file.closed {
		return nil
	}
	file.closed = true
	if err := file.handle.Close(); err != nil {
		return IO.Wrap(err, "close %s", file.path)
	}
	return nil
}
