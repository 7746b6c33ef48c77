package wal

const rewriteChunkSize = 64 << 10 // bytes of one write of a rewrite

// Rewrite replaces all records by those that write adds. They are durable when it returns nil, and a broken file is usable
// after that. If it fails before the new file has replaced the old one, the old one stays as it was; if it fails after
// that, the file is broken, and the next Open may find either of them. Append must not be called during it.
func (file *File) Rewrite(write func(add func(record []byte) error) error) error {
	file.mu.Lock()
	defer file.mu.Unlock()
	if file.closed {
		return Misuse.New("%s is closed", file.path)
	}
	temp := file.path + tempSuffix
	next, err := file.fs.Create(temp)
	if err != nil {
		return IO.Wrap(err, "create %s", temp)
	}
	size, err := writeNewFile(next, write)
	if err != nil {
		_ = next.Close()
		_ = file.fs.Remove(temp) // if it stays, the next Open removes it, or the next Rewrite empties it
		return err
	}
	if err := file.fs.Rename(temp, file.path); err != nil {
		_ = next.Close()
		file.durable = 0
		return file.fail(err, "rename")
	}
	if err := file.fs.SyncDir(file.dir); err != nil {
		_ = next.Close()
		file.durable = 0
		return file.fail(err, "sync folder of")
	}
	_ = file.handle.Close()
	file.handle, file.size, file.durable, file.broken = next, size, size, nil
	return nil
}

// writeNewFile writes header and records to a new file and syncs it.
func writeNewFile(handle Handle, write func(add func([]byte) error) error) (size int64, err error) {
	buffer := append(make([]byte, 0, rewriteChunkSize), fileHeader...)
	flush := func() error {
		if _, err := handle.WriteAt(buffer, size); err != nil {
			return IO.Wrap(err, "write new file")
		}
		size += int64(len(buffer))
		buffer = buffer[:0]
		return nil
	}
	var failed error // returned even if write ignores the error of add
	add := func(record []byte) error {
		if failed != nil {
			return failed
		}
		if len(record) > MaxRecord {
			failed = TooLarge.New("record of %d bytes exceeds the limit of %d", len(record), MaxRecord)
			return failed
		}
		if len(buffer) > 0 && len(buffer)+recordHeaderSize+len(record) > rewriteChunkSize {
			if failed = flush(); failed != nil {
				return failed
			}
		}
		buffer = appendRecord(buffer, record)
		return nil
	}
	if err := write(add); err != nil {
		return 0, err
	}
	if failed != nil {
		return 0, failed
	}
	if len(buffer) > 0 {
		if err := flush(); err != nil {
			return 0, err
		}
	}
	if err := handle.Sync(); err != nil {
		return 0, IO.Wrap(err, "sync new file")
	}
	return size, nil
}
