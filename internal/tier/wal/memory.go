package wal

import (
	"errors"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"sync"
)

// ErrDead is the error of every operation from the one selected by DieAt until Crash, Kill or Wipe, and of handles that were
// opened before one of these calls.
var ErrDead = errors.New("wal: process is dead")

// Memory is a file system in memory for tests. A power loss (Crash) has the effects that it may have on a disk. It is safe for
// concurrent use.
type Memory struct {
	mu               sync.Mutex
	visible          map[string]*inode // names as the process sees them
	durable          map[string]*inode // names as they are after a power loss
	dirs             map[string]bool
	nameChanges      []nameChange // not yet durable, in order
	incarnation      int          // of the process; handles of an earlier one fail with ErrDead
	operations       int
	failAt           int
	failError        error
	failPersistently bool          // changing operations fail from failAt until Recover
	stall            chan struct{} // syncs wait until it is closed; nil: they do not wait
	dieAt            int
	dead             bool
}

// inode is one file: what the process sees, what is durable, and the changes between the two.
type inode struct {
	visible, durable []byte
	pending          []contentChange
}

// contentChange is one write at an offset, or one truncation to that length.
type contentChange struct {
	offset   int64
	data     []byte
	truncate bool
}

// nameChange is a creation (from empty), a rename or a removal (to empty).
type nameChange struct {
	from, to string
	file     *inode
}

// NewMemory returns an empty file system.
func NewMemory() *Memory {
	return &Memory{visible: map[string]*inode{}, durable: map[string]*inode{}, dirs: map[string]bool{}}
}

// Operations returns the number of operations so far. Each call of a method of FS or Handle is one, except Close and Size.
func (memory *Memory) Operations() int {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	return memory.operations
}

// missing returns the error of an operation on a name that does not exist.
func missing(op, name string) error {
	return &fs.PathError{Op: op, Path: name, Err: fs.ErrNotExist}
}

// Open implements FS.
func (memory *Memory) Open(name string) (Handle, error) {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	if err := memory.operation(); err != nil {
		return nil, err
	}
	node := memory.visible[name]
	if node == nil {
		return nil, missing("open", name)
	}
	return &memoryFile{memory: memory, node: node, incarnation: memory.incarnation}, nil
}

// Create implements FS.
func (memory *Memory) Create(name string) (Handle, error) {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	if err := memory.changingOperation(); err != nil {
		return nil, err
	}
	if !memory.dirs[filepath.Dir(name)] {
		return nil, missing("create", name)
	}
	node := memory.visible[name]
	if node == nil {
		node = &inode{}
		memory.visible[name] = node
		memory.nameChanges = append(memory.nameChanges, nameChange{to: name, file: node})
	} else {
		node.record(contentChange{truncate: true})
	}
	return &memoryFile{memory: memory, node: node, incarnation: memory.incarnation}, nil
}

// Rename implements FS.
func (memory *Memory) Rename(from, to string) error {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	if err := memory.changingOperation(); err != nil {
		return err
	}
	node := memory.visible[from]
	if node == nil {
		return missing("rename", from)
	}
	delete(memory.visible, from)
	memory.visible[to] = node
	memory.nameChanges = append(memory.nameChanges, nameChange{from: from, to: to, file: node})
	return nil
}

// Remove implements FS.
func (memory *Memory) Remove(name string) error {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	if err := memory.operation(); err != nil {
		return err
	}
	node := memory.visible[name]
	if node == nil {
		return missing("remove", name)
	}
	delete(memory.visible, name)
	memory.nameChanges = append(memory.nameChanges, nameChange{from: name, file: node})
	return nil
}

// List implements FS. It lists files only.
func (memory *Memory) List(dir string) ([]string, error) {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	if err := memory.operation(); err != nil {
		return nil, err
	}
	if !memory.dirs[filepath.Clean(dir)] {
		return nil, missing("list", dir)
	}
	var names []string
	for name := range memory.visible {
		if filepath.Dir(name) == filepath.Clean(dir) {
			names = append(names, filepath.Base(name))
		}
	}
	slices.SortFunc(names, strings.Compare)
	return names, nil
}

// SyncDir implements FS.
func (memory *Memory) SyncDir(dir string) error {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	if err := memory.operation(); err != nil {
		return err
	}
	dir = filepath.Clean(dir)
	memory.nameChanges = slices.DeleteFunc(memory.nameChanges, func(change nameChange) bool {
		if filepath.Dir(change.from+change.to) != dir && filepath.Dir(change.from) != dir && filepath.Dir(change.to) != dir {
			return false
		}
		memory.makeDurable(change)
		return true
	})
	return nil
}

// MkdirAll implements FS.
func (memory *Memory) MkdirAll(dir string) error {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	if err := memory.changingOperation(); err != nil {
		return err
	}
	for dir = filepath.Clean(dir); !memory.dirs[dir]; dir = filepath.Dir(dir) {
		memory.dirs[dir] = true
	}
	return nil
}

// record applies a change to the visible content and adds it to the pending changes.
func (node *inode) record(written contentChange) {
	node.pending = append(node.pending, written)
	node.visible = written.apply(node.visible)
}
