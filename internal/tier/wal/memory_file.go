package wal

import (
	"io"
	"io/fs"
	"slices"
)

// memoryFile is one open file of a Memory.
type memoryFile struct {
	memory      *Memory
	node        *inode
	incarnation int
	closed      bool
}

// operation counts one operation on the file by calling count, and returns its error or that of an unusable handle. The lock is
// held.
func (file *memoryFile) operation(count func() error) error {
	switch {
	case file.incarnation != file.memory.incarnation:
		return ErrDead
	case file.closed:
		return fs.ErrClosed
	}
	return count()
}

// ReadAt implements Handle.
func (file *memoryFile) ReadAt(p []byte, off int64) (int, error) {
	file.memory.mu.Lock()
	defer file.memory.mu.Unlock()
	if err := file.operation(file.memory.operation); err != nil {
		return 0, err
	}
	if off >= int64(len(file.node.visible)) {
		return 0, io.EOF
	}
	n := copy(p, file.node.visible[off:])
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

// WriteAt implements Handle. A failing write writes half of its data, unless the process was dead already.
func (file *memoryFile) WriteAt(p []byte, off int64) (int, error) {
	file.memory.mu.Lock()
	defer file.memory.mu.Unlock()
	wasDead := file.memory.dead
	err := file.operation(file.memory.changingOperation)
	n := len(p)
	if err != nil {
		n /= 2
	}
	if wasDead || file.incarnation != file.memory.incarnation || file.closed {
		return 0, err
	}
	file.node.record(contentChange{offset: off, data: slices.Clone(p[:n])})
	return n, err
}

// Truncate implements Handle.
func (file *memoryFile) Truncate(size int64) error {
	file.memory.mu.Lock()
	defer file.memory.mu.Unlock()
	if err := file.operation(file.memory.operation); err != nil {
		return err
	}
	file.node.record(contentChange{offset: size, truncate: true})
	return nil
}

// Sync implements Handle.
func (file *memoryFile) Sync() error {
	file.memory.waitStall()
	file.memory.mu.Lock()
	defer file.memory.mu.Unlock()
	count := file.memory.operation
	if file.node.dirty() {
		count = file.memory.changingOperation
	}
	if err := file.operation(count); err != nil {
		if !file.memory.dead && file.incarnation == file.memory.incarnation && !file.closed {
			file.node.pending = nil // pages are marked clean though they never reached the disk
		}
		return err
	}
	for _, pending := range file.node.pending {
		file.node.durable = pending.apply(file.node.durable)
	}
	file.node.pending = nil
	return nil
}

// Size implements Handle. It is not counted as an operation.
func (file *memoryFile) Size() (int64, error) {
	file.memory.mu.Lock()
	defer file.memory.mu.Unlock()
	if file.incarnation != file.memory.incarnation {
		return 0, ErrDead
	}
	return int64(len(file.node.visible)), nil
}

// Close implements Handle. It is not counted as an operation.
func (file *memoryFile) Close() error {
	file.memory.mu.Lock()
	defer file.memory.mu.Unlock()
	file.closed = true
	return nil
}
