package wal

import (
	"errors"
	"io/fs"
	"path/filepath"

	"github.com/joomcode/errorx"
	"github.com/phuslu/log"
)

const (
	rewriteTailChunk = 1 << 20 // bytes of one write of rewriteTail
	rewriteTailSize  = 8 << 20 // bytes at the end of the records that Open writes again
)

// Open opens the write-ahead log called name in dir, which is created if missing, and calls replay, which may be nil, with each
// record, in order; replay may keep the record. The first torn or damaged record ends the replay and is truncated with all that
// follows. What was replayed is durable when Open returns. An error of replay is returned unchanged, and the file is not
// modified.
func Open(files FS, dir, name string, replay func(record []byte) error) (*File, error) {
	file := &File{fs: files, dir: dir, path: filepath.Join(dir, name)}
	if err := files.MkdirAll(dir); err != nil {
		return nil, IO.Wrap(err, "create folder %s", dir)
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

// load replays the records, truncates a torn tail and makes durable all that was read: the bytes from the offset durable on are
// written again. A negative durable means that another process wrote the file: then the last rewriteTailSize bytes are written
// again.
func (file *File) load(replay func([]byte) error, durable int64) error {
	total, err := file.handle.Size()
	if err != nil {
		return IO.Wrap(err, "get size of %s", file.path)
	}
	complete, err := readHeader(file.handle, total)
	if err != nil {
		return errorx.Decorate(err, "%s", file.path)
	}
	if complete {
		err = file.loadRecords(replay, total, durable)
	} else {
		err = file.writeHeader()
	}
	if err != nil {
		return err
	}
	// Without these two syncs, a power loss could remove records that were replayed, or restore a tail that was truncated.
	if err := file.handle.Sync(); err != nil {
		return IO.Wrap(err, "sync %s", file.path)
	}
	if err := file.fs.SyncDir(file.dir); err != nil {
		return IO.Wrap(err, "sync folder %s", file.dir)
	}
	file.durable = file.size
	return nil
}

// writeHeader makes the file an empty log. The header is synced before the first record, so a file without a complete header
// has never had a record.
func (file *File) writeHeader() error {
	if err := file.handle.Truncate(0); err != nil {
		return IO.Wrap(err, "truncate %s before writing its header", file.path)
	}
	if _, err := file.handle.WriteAt([]byte(fileHeader), 0); err != nil {
		return IO.Wrap(err, "write header of %s", file.path)
	}
	file.size = int64(len(fileHeader))
	return nil
}

// loadRecords replays the records of a file of total bytes, writes its tail again and truncates what is torn; see load.
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
	log.Warn().Str("event", "wal_tail_cut").Str("file", file.path).Int64("kept_bytes", file.size).Int64("cut_bytes", total-file.size).Msg("truncated the torn tail of a file")
	if err := file.handle.Truncate(file.size); err != nil {
		return IO.Wrap(err, "truncate %s", file.path)
	}
	return nil
}

// rewriteTail reads the bytes from an offset up to the end of the records and writes them again. An operating system that
// failed to write a page may mark it as clean: then only a new write makes the next sync write it to the disk.
func (file *File) rewriteTail(from int64) error {
	buffer := make([]byte, min(rewriteTailChunk, max(0, file.size-from)))
	for at := from; at < file.size; {
		part := buffer[:min(int64(len(buffer)), file.size-at)]
		if n, err := file.handle.ReadAt(part, at); n < len(part) {
			return errorx.Decorate(IO.Wrap(err, "read"), "%s at %d", file.path, at)
		}
		if _, err := file.handle.WriteAt(part, at); err != nil {
			return IO.Wrap(err, "rewrite tail of %s at %d", file.path, at)
		}
		at += int64(len(part))
	}
	return nil
}
