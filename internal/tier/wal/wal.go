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
	fileHeader       = "yardlog\x01" // magic and version
	recordHeaderSize = 8             // of a record: length and checksum, 4 bytes each, little endian
	tempSuffix       = ".tmp"
	maxKeptBuffer    = 256 << 10 // bytes of a write buffer that is kept between calls

	// MaxRecord is the maximum size of a record, in bytes.
	MaxRecord = 64 << 20
)

var (
	space = errorx.NewNamespace("wal")
	// Broken is the type of errors of a file that refuses all but Reopen, Rewrite and Close, after a write or sync that failed.
	Broken = space.NewType("broken")
	// Foreign is the type of errors of a file that has another magic or version.
	Foreign = space.NewType("foreign")
	// Misuse is the type of errors of calls that are not allowed: record too long, file closed.
	Misuse = space.NewType("misuse")
	// TooLarge is the type, a kind of Misuse, of the error that refuses a record over MaxRecord. Nothing was written, and
	// the file is as usable as before: this is no error of the disk.
	TooLarge = Misuse.NewSubtype("too_large")
	// IO is the type of errors of the disk.
	IO = space.NewType("io")

	checksumTable = crc32.MakeTable(crc32.Castagnoli)
)

// File is an open write-ahead log. Its methods may be called from any goroutine, but Rewrite and Reopen only while no Append
// runs.
type File struct {
	fs        FS
	dir, path string

	syncLock sync.Mutex // one sync at a time: the system reports a failure to one caller only. Taken before mu.

	mu          sync.Mutex
	handle      Handle
	size        int64 // bytes, header included
	durable     int64 // bytes at the beginning that a sync has covered; 0 where that is unknown
	reopens     int   // how often Reopen has replaced the handle
	broken      error
	closed      bool
	writeBuffer []byte
}

// Open opens the write-ahead log called name in dir, which is made if missing, and calls replay, which may be nil, with each
// record, in order; replay may keep the record. The first torn or damaged record ends the replay and is cut off with all that
// follows. What was replayed is durable when Open returns. An error of replay is returned as it is, and the file stays as it
// was.
func Open(files FS, dir, name string, replay func(record []byte) error) (*File, error) {
	file := &File{fs: files, dir: dir, path: filepath.Join(dir, name)}
	if err := files.MkdirAll(dir); err != nil {
		return nil, IO.Wrap(err, "make folder %s", dir)
	}
	if err := files.Remove(file.path + tempSuffix); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, IO.Wrap(err, "remove %s", file.path+tempSuffix)
	}
	var err error
	if file.handle, err = files.Open(file.path); errors.Is(err, fs.ErrNotExist) {
		file.handle, err = files.Create(file.path)
	}
	if err != nil {
		return nil, IO.Wrap(err, "open %s", file.path)
	}
	if err := file.load(replay, -1); err != nil {
		_ = file.handle.Close()
		return nil, err
	}
	return file, nil
}

// load replays the records, cuts off a torn tail and makes durable all that was read: the bytes from the offset durable on
// are written again. Where durable is negative the file was written by another process, and the last rewriteTailSize bytes are.
func (file *File) load(replay func([]byte) error, durable int64) error {
	total, err := file.handle.Size()
	if err != nil {
		return IO.Wrap(err, "size of %s", file.path)
	}
	whole, err := readHeader(file.handle, total)
	if err != nil {
		return errorx.Decorate(err, "%s", file.path)
	}
	if whole {
		err = file.loadRecords(replay, total, durable)
	} else {
		err = file.writeHeader()
	}
	if err != nil {
		return err
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

// writeHeader makes the file an empty log. The header is synced before the first record, so a file without a whole header
// never had one.
func (file *File) writeHeader() error {
	if err := file.handle.Truncate(0); err != nil {
		return IO.Wrap(err, "empty %s", file.path)
	}
	if _, err := file.handle.WriteAt([]byte(fileHeader), 0); err != nil {
		return IO.Wrap(err, "write header of %s", file.path)
	}
	file.size = int64(len(fileHeader))
	return nil
}

// loadRecords replays the records of a file of so many bytes, writes its tail again and cuts off what is torn; see load.
func (file *File) loadRecords(replay func([]byte) error, total, durable int64) (err error) {
	if file.size, err = readRecords(file.handle, total, replay); err != nil {
		return err
	}
	if durable < 0 {
		durable = file.size - rewriteTailSize
	}
	if err := file.rewriteTail(max(0, min(durable, file.size))); err != nil {
		return err
	}
	if file.size == total {
		return nil
	}
	log.Warn().Str("event", "wal_tail_cut").Str("file", file.path).Int64("kept", file.size).Int64("cut", total-file.size).Msg("torn tail of a file cut off")
	if err := file.handle.Truncate(file.size); err != nil {
		return IO.Wrap(err, "cut %s", file.path)
	}
	return nil
}

// appendRecord appends the stored form of a record.
func appendRecord(to, record []byte) []byte {
	var recordHeader [recordHeaderSize]byte
	binary.LittleEndian.PutUint32(recordHeader[:4], uint32(len(record)))
	sum := crc32.Update(crc32.Checksum(recordHeader[:4], checksumTable), checksumTable, record)
	binary.LittleEndian.PutUint32(recordHeader[4:], sum)
	return append(append(to, recordHeader[:]...), record...)
}

// usable returns the error that keeps the file from being used, or nil. The lock is held.
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

// Append appends records, in order, by one write. They are durable once a Sync that begins afterwards has returned nil.
// After an error of the disk (type Broken) it is unknown whether they are. A record over MaxRecord is refused (type
// TooLarge), and nothing is written.
func (file *File) Append(records ...[]byte) error {
	file.mu.Lock()
	defer file.mu.Unlock()
	if err := file.usable(); err != nil {
		return err
	}
	buffer := file.writeBuffer[:0]
	for _, record := range records {
		if len(record) > MaxRecord {
			return TooLarge.New("record of %d bytes, more than %d", len(record), MaxRecord)
		}
		buffer = appendRecord(buffer, record)
	}
	if file.writeBuffer = buffer; cap(buffer) > maxKeptBuffer {
		file.writeBuffer = nil
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
// After an error (type Broken) it is unknown whether the records since the last nil Sync are durable.
func (file *File) Sync() error {
	target, err := file.syncTarget()
	if err != nil {
		return err
	}
	file.syncLock.Lock()
	defer file.syncLock.Unlock()
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

// syncTarget returns the size up to which a sync that begins now must reach.
func (file *File) syncTarget() (int64, error) {
	file.mu.Lock()
	defer file.mu.Unlock()
	return file.size, file.usable()
}

// Size returns the size of the file in bytes.
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
