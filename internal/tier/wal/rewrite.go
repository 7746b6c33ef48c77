package wal

const rewriteChunk = 64 << 10 // bytes of one write of a rewrite

// Rewrite replaces all records by those that write adds. They last when it returns nil, and a broken file is usable after that.
// When it fails before the new file took the place of the old one, the old one stands as it was; when it fails after
// that, the file is broken, and which of the two is found at the next Open is open. Append must not be called during it.
func (file *File) Rewrite(write func(add func(record []byte) error) error) error {
	file.mu.Lock()
	defer file.mu.Unlock()
	if file.closed {
		return Misuse.New("%s is closed", file.path)
	}
	temp := file.path + tempExt
	next, err := file.fs.Create(temp)
	if err != nil {
		return IO.Wrap(err, "create %s", temp)
	}
	size, err := fill(next, write)
	if err != nil {
		_ = next.Close()
		_ = file.fs.Remove(temp) // one that stays is removed by the next Open, or emptied by the next Rewrite
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

// fill writes header and records to a new file and syncs it.
func fill(h Handle, write func(add func([]byte) error) error) (size int64, err error) {
	buffer := append(make([]byte, 0, rewriteChunk), header...)
	flush := func() error {
		if _, err := h.WriteAt(buffer, size); err != nil {
			return IO.Wrap(err, "write new file")
		}
		size += int64(len(buffer))
		buffer = buffer[:0]
		return nil
	}
	var failed error // also where write swallows it
	add := func(record []byte) error {
		if failed != nil {
			return failed
		}
		if len(record) > MaxRecord {
			failed = TooLarge.New("record of %d bytes, more than %d", len(record), MaxRecord)
			return failed
		}
		if len(buffer) > 0 && len(buffer)+headSize+len(record) > rewriteChunk {
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
	if err := h.Sync(); err != nil {
		return 0, IO.Wrap(err, "sync new file")
	}
	return size, nil
}
