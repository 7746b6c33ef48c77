// Package wal implements a write-ahead log: an append-only file of checksummed records.
//
// A record is durable once a Sync that began after its Append has returned nil. A power loss may tear later records: Open
// truncates the file at the first torn or damaged one. A failed write or sync breaks the file until Reopen, which replays it,
// or Rewrite, which replaces all records (as a compaction does). The contents of records are opaque to the log.
//
// FS is the underlying file system: OS, or Memory, which tests and simulations use to inject faults and power losses.
package wal

import (
	"sync"
)

// MaxRecord is the maximum size of a record, in bytes.
const MaxRecord = 64 << 20

const (
	tempSuffix      = ".tmp"    // of the new file of a Rewrite
	maxReusedBuffer = 256 << 10 // maximum size of a write buffer that is reused by later calls, in bytes
)

// File is an open write-ahead log. Its methods may be called from any goroutine, but Rewrite and Reopen only while no Append
// runs.
type File struct {
	fs        FS
	dir, path string

	syncLock sync.Mutex // serializes syncs, as the operating system reports a failed sync to one caller only; taken before mu

	mu          sync.Mutex
	handle      Handle
	size        int64 // bytes, header included
	durable     int64 // length of the prefix that a sync has covered, in bytes; 0 if unknown
	reopens     int   // how often Reopen has replaced the handle
	broken      error
	closed      bool
	writeBuffer []byte
}

// usable returns the error that keeps the file from being used, or nil. The lock is held.
func (file *File) usable() error {
	if file.closed {
		return Misuse.New("%s is closed", file.path)
	}
	return file.broken
}

// fail marks the file as broken until it has been reopened or rewritten, and returns the error. The lock is held.
func (file *File) fail(err error, operation string) error {
	if file.broken == nil {
		file.broken = Broken.Wrap(err, "%s %s", operation, file.path)
	}
	return file.broken
}

// Append appends records, in order, by one write. They are durable once a Sync that begins afterwards has returned nil. After a
// disk error (type Broken) it is unknown whether they are durable. A record over MaxRecord is rejected (type TooLarge), and
// nothing is written.
func (file *File) Append(records ...[]byte) error {
	file.mu.Lock()
	defer file.mu.Unlock()
	if err := file.usable(); err != nil {
		return err
	}
	buffer := file.writeBuffer[:0]
	for _, record := range records {
		if len(record) > MaxRecord {
			return TooLarge.New("record of %d bytes exceeds the limit of %d", len(record), MaxRecord)
		}
		buffer = appendRecord(buffer, record)
	}
	if file.writeBuffer = buffer; cap(buffer) > maxReusedBuffer {
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

// Sync makes all records durable whose Append returned before the call. Concurrent calls share one sync of the disk. After an
// error (type Broken) it is unknown whether the records since the last nil Sync are durable.
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
		return IO.Wrap(err, "sync %s: file was replaced during the sync", file.path) // the new file is usable
	case file.reopens != reopens:
		return IO.New("sync %s: file was reopened during the sync", file.path)
	case file.handle != handle:
		return nil
	case err != nil:
		return file.fail(err, "sync")
	}
	file.durable = max(file.durable, size)
	return nil
}

// syncTarget returns the file size that a sync beginning now must cover, in bytes.
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
