package wal

import (
	"io"
	"io/fs"
	"slices"
)

// memoryFile is one open file of a Memory.
type memoryFile struct {
	memory *Memory
	node   *inode
	life   int
	closed bool
}

// step counts one operation on the file. The lock is held.
func (file *memoryFile) step(next func() error) error {
	switch {
	case file.life != file.memory.life:
		return ErrDead
	case file.closed:
		return fs.ErrClosed
	}
	return next()
}

func (file *memoryFile) ReadAt(p []byte, off int64) (int, error) {
	file.memory.mu.Lock()
	defer file.memory.mu.Unlock()
	if err := file.step(file.memory.step); err != nil {
		return 0, err
	}
	if off >= int64(len(file.node.live)) {
		return 0, io.EOF
	}
	n := copy(p, file.node.live[off:])
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

func (file *memoryFile) WriteAt(p []byte, off int64) (int, error) {
	file.memory.mu.Lock()
	defer file.memory.mu.Unlock()
	was := file.memory.dead
	err := file.step(file.memory.stepChange)
	n := len(p)
	if err != nil {
		n /= 2
	}
	if was || file.life != file.memory.life || file.closed {
		return 0, err
	}
	file.node.change(change{at: off, data: slices.Clone(p[:n])})
	return n, err
}

func (file *memoryFile) Truncate(size int64) error {
	file.memory.mu.Lock()
	defer file.memory.mu.Unlock()
	if err := file.step(file.memory.step); err != nil {
		return err
	}
	file.node.change(change{at: size, cut: true})
	return nil
}

func (file *memoryFile) Sync() error {
	file.memory.waitStall()
	file.memory.mu.Lock()
	defer file.memory.mu.Unlock()
	next := file.memory.step
	if file.node.dirty() {
		next = file.memory.stepChange
	}
	if err := file.step(next); err != nil {
		if !file.memory.dead && file.life == file.memory.life && !file.closed {
			file.node.pending = nil // pages are marked clean though they never reached the disk
		}
		return err
	}
	for _, c := range file.node.pending {
		file.node.disk = c.apply(file.node.disk)
	}
	file.node.pending = nil
	// A new file lasts with its own sync.
	for i, n := range file.memory.naming {
		if n.node == file.node && n.from == "" {
			file.memory.settle(n)
			file.memory.naming = slices.Delete(file.memory.naming, i, i+1)
			break
		}
	}
	return nil
}

func (file *memoryFile) Size() (int64, error) {
	file.memory.mu.Lock()
	defer file.memory.mu.Unlock()
	if file.life != file.memory.life {
		return 0, ErrDead
	}
	return int64(len(file.node.live)), nil
}

func (file *memoryFile) Close() error {
	file.memory.mu.Lock()
	defer file.memory.mu.Unlock()
	file.closed = true
	return nil
}
