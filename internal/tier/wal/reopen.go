package wal

import (
	"errors"
	"io/fs"
)

// ReopenFreeSpace is the free space on the disk that Reopen requires, in bytes.
const ReopenFreeSpace = 64 << 10

// Reopen makes a broken file usable, to recover from an error of Append, Sync or Rewrite without a restart.
//
// After a failed write or sync neither the tail of the file nor the caller's state in memory can be trusted: reads may return
// bytes that never reached the disk, and later syncs do not write them. Reopen opens the file by its name again, calls replay
// with every record from the first on, truncates a torn tail, and rewrites and syncs all bytes that no sync has covered. The
// caller drops its state, calls Reopen with a replay that rebuilds it, and continues as after a restart:
//
//	var next state
//	if err := file.Reopen(next.replay); err != nil {
//		return err // still broken: wait, then retry with another empty state
//	}
//	current = next
//
// Records that were not acknowledged by a nil Sync may or may not be replayed; all replayed records are durable when Reopen
// returns nil. Until then Append and Sync fail (type Broken), and Reopen may be called any number of times. Errors: IO if the
// disk fails, NoSpace if it is full, Foreign if the header does not match, Misuse on a closed file, and errors of replay
// unchanged. No other method may be called at the same time; a Sync that is still in progress fails.
func (file *File) Reopen(replay func(record []byte) error) error {
	file.mu.Lock()
	defer file.mu.Unlock()
	if file.closed {
		return Misuse.New("%s is closed", file.path)
	}
	if file.broken == nil {
		file.broken = Broken.New("reopen of %s is not complete", file.path)
	}
	if err := file.reopen(replay); err != nil {
		return err
	}
	file.broken = nil
	return nil
}

// reopen replaces the handle and loads the file. The lock is held.
func (file *File) reopen(replay func([]byte) error) error {
	if err := file.fs.Remove(file.path + tempSuffix); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return IO.Wrap(err, "remove %s", file.path+tempSuffix)
	}
	next, err := file.fs.Open(file.path)
	if errors.Is(err, fs.ErrNotExist) {
		next, err = file.fs.Create(file.path)
		file.durable = 0
	}
	if err != nil {
		return IO.Wrap(err, "open %s", file.path)
	}
	_ = file.handle.Close()
	file.handle = next
	file.reopens++
	if err := file.load(replay, file.durable); err != nil {
		return err
	}
	return file.checkFreeSpace()
}

// checkFreeSpace writes ReopenFreeSpace zeros after the records and truncates them. Zeros do not form a valid record.
func (file *File) checkFreeSpace() error {
	_, err := file.handle.WriteAt(make([]byte, ReopenFreeSpace), file.size)
	if err == nil {
		err = file.handle.Sync()
	}
	truncateErr := file.handle.Truncate(file.size)
	if truncateErr == nil {
		truncateErr = file.handle.Sync()
	}
	switch {
	case truncateErr != nil:
		return IO.Wrap(truncateErr, "truncate %s after a trial write", file.path)
	case err != nil:
		return NoSpace.Wrap(err, "write %d more bytes to %s", ReopenFreeSpace, file.path)
	}
	return nil
}

// Err returns nil where the file is usable, and otherwise the error that Append would return.
func (file *File) Err() error {
	file.mu.Lock()
	defer file.mu.Unlock()
	return file.usable()
}
