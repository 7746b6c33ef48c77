package wal

import (
	"errors"
	"io/fs"

	"github.com/joomcode/errorx"
)

const (
	// ReopenRoom is how many bytes more must fit onto the disk before Reopen gives a file back to its user.
	ReopenRoom = 64 << 10

	retouchChunk = 1 << 20 // bytes of one write of retouch
	retouchTail  = 8 << 20 // bytes before the end of the records that Open writes again
)

// NoRoom is the type of the error of a Reopen that replayed the whole file and found it sound, but could not write
// ReopenRoom bytes more. The file stays broken. A Rewrite to less may still find room, and makes it usable.
var NoRoom = space.NewType("no_room")

// Reopen makes a broken file usable: the way back after an error of Append, Sync or Rewrite, without a restart.
//
// After a failed write or sync neither the tail of the file nor what the user holds in memory can be trusted: the system
// may show bytes that never reached the disk, and later syncs do not write them. Reopen opens the file by its name again,
// hands every record from the first on to replay, cuts off what is torn, and writes again and syncs all that no sync has
// covered. A user drops its state, calls Reopen with a replay that builds the state anew, and goes on from there, just as
// after a restart:
//
//	var next state
//	if err := file.Reopen(next.replay); err != nil {
//		return err // still broken: wait, then try again with another empty state
//	}
//	current = next
//
// What was not acknowledged by a nil Sync may or may not be among the records; what is among them is durable when Reopen
// returns nil. Until then the file refuses Append and Sync (type Broken) and Reopen may be called any number of times.
// Errors: IO where the disk fails, NoRoom where it has no room, Foreign, Misuse on a closed file, those of replay as they
// are. Nothing else may be called beside it, but for a Sync that is still under way; that one fails.
func (f *File) Reopen(replay func(record []byte) error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return Misuse.New("%s is closed", f.path)
	}
	if f.broken == nil {
		f.broken = Broken.New("reopen of %s is not complete", f.path)
	}
	if err := f.reopen(replay); err != nil {
		return err
	}
	f.broken = nil
	return nil
}

func (f *File) reopen(replay func([]byte) error) error {
	if err := f.fs.Remove(f.path + tempExt); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return IO.Wrap(err, "remove %s", f.path+tempExt)
	}
	next, err := f.fs.Open(f.path)
	if errors.Is(err, fs.ErrNotExist) {
		next, err = f.fs.Create(f.path)
		f.durable = 0
	}
	if err != nil {
		return IO.Wrap(err, "open %s", f.path)
	}
	_ = f.handle.Close()
	f.handle = next
	f.reopens++
	if err := f.load(replay, f.durable); err != nil {
		return err
	}
	return f.probe()
}

// probe writes ReopenRoom bytes behind the records and takes them away again. They are zeros, which are no record.
func (f *File) probe() error {
	_, err := f.handle.WriteAt(make([]byte, ReopenRoom), f.size)
	if err == nil {
		err = f.handle.Sync()
	}
	cut := f.handle.Truncate(f.size)
	if cut == nil {
		cut = f.handle.Sync()
	}
	switch {
	case cut != nil:
		return IO.Wrap(cut, "cut %s after a trial write", f.path)
	case err != nil:
		return NoRoom.Wrap(err, "write %d bytes more to %s", ReopenRoom, f.path)
	}
	return nil
}

// retouch writes the bytes from an offset up to the end of the records over themselves. A system that failed to write a
// page may hold it as clean: then only a new write makes the next sync carry it to the disk.
func (f *File) retouch(from int64) error {
	buffer := make([]byte, min(retouchChunk, max(0, f.size-from)))
	for at := from; at < f.size; {
		part := buffer[:min(int64(len(buffer)), f.size-at)]
		if n, err := f.handle.ReadAt(part, at); n < len(part) {
			return errorx.Decorate(IO.Wrap(err, "read"), "%s at %d", f.path, at)
		}
		if _, err := f.handle.WriteAt(part, at); err != nil {
			return IO.Wrap(err, "write %s again at %d", f.path, at)
		}
		at += int64(len(part))
	}
	return nil
}

// Err is nil where the file is usable, and otherwise the error that Append gives.
func (f *File) Err() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.usable()
}
