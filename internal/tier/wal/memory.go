package wal

import (
	"errors"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"sync"
)

// ErrDead is what every operation gives after the place given to DieAt, until Crash, Kill or Wipe,
// and what handles opened before one of these give.
var ErrDead = errors.New("wal: process is dead")

// Memory is a file system in memory for tests, with what a disk forgets at a power loss. Safe for concurrent use.
type Memory struct {
	mu     sync.Mutex
	live   map[string]*inode // names as the process sees them
	disk   map[string]*inode // names as they are after a power loss
	dirs   map[string]bool
	naming []naming // of names, in order, not yet lasting
	life   int      // handles of an earlier life are dead
	ops    int
	failAt int
	failBy error
	sticks bool          // failures go on until Recover
	stall  chan struct{} // syncs wait until it is closed; nil: they don't
	dieAt  int
	dead   bool
}

// inode is one file: what the process sees, what lasts, and what was written in between.
type inode struct {
	live, disk []byte
	pending    []change
}

// change is one write at an offset or, without data, one cut to that length.
type change struct {
	at   int64
	data []byte
	cut  bool
}

// naming is one change of names: a creation (from empty), a rename or a removal (to empty).
type naming struct {
	from, to string
	node     *inode
}

// NewMemory gives an empty file system.
func NewMemory() *Memory {
	return &Memory{live: map[string]*inode{}, disk: map[string]*inode{}, dirs: map[string]bool{}}
}

// Ops gives the number of operations so far; each call of FS and Handle is one, Close and Size excepted.
func (memory *Memory) Ops() int {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	return memory.ops
}

// missing is the error of an operation on a name that is not there.
func missing(op, name string) error {
	return &fs.PathError{Op: op, Path: name, Err: fs.ErrNotExist}
}

// Open opens an existing file.
func (memory *Memory) Open(name string) (Handle, error) {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	if err := memory.step(); err != nil {
		return nil, err
	}
	node := memory.live[name]
	if node == nil {
		return nil, missing("open", name)
	}
	return &memoryFile{memory: memory, node: node, life: memory.life}, nil
}

// Create makes an empty file or empties one.
func (memory *Memory) Create(name string) (Handle, error) {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	if err := memory.stepChange(); err != nil {
		return nil, err
	}
	if !memory.dirs[filepath.Dir(name)] {
		return nil, missing("create", name)
	}
	node := memory.live[name]
	if node == nil {
		node = &inode{}
		memory.live[name] = node
		memory.naming = append(memory.naming, naming{to: name, node: node})
	} else {
		node.change(change{cut: true})
	}
	return &memoryFile{memory: memory, node: node, life: memory.life}, nil
}

// Rename replaces to by from.
func (memory *Memory) Rename(from, to string) error {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	if err := memory.stepChange(); err != nil {
		return err
	}
	node := memory.live[from]
	if node == nil {
		return missing("rename", from)
	}
	delete(memory.live, from)
	memory.live[to] = node
	memory.naming = append(memory.naming, naming{from: from, to: to, node: node})
	return nil
}

// Remove removes a file.
func (memory *Memory) Remove(name string) error {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	if err := memory.step(); err != nil {
		return err
	}
	node := memory.live[name]
	if node == nil {
		return missing("remove", name)
	}
	delete(memory.live, name)
	memory.naming = append(memory.naming, naming{from: name, node: node})
	return nil
}

// List gives the sorted names of the files in a folder.
func (memory *Memory) List(dir string) ([]string, error) {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	if err := memory.step(); err != nil {
		return nil, err
	}
	if !memory.dirs[filepath.Clean(dir)] {
		return nil, missing("list", dir)
	}
	var names []string
	for name := range memory.live {
		if filepath.Dir(name) == filepath.Clean(dir) {
			names = append(names, filepath.Base(name))
		}
	}
	slices.SortFunc(names, strings.Compare)
	return names, nil
}

// SyncDir makes the names of a folder last.
func (memory *Memory) SyncDir(dir string) error {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	if err := memory.step(); err != nil {
		return err
	}
	dir = filepath.Clean(dir)
	memory.naming = slices.DeleteFunc(memory.naming, func(n naming) bool {
		if filepath.Dir(n.from+n.to) != dir && filepath.Dir(n.from) != dir && filepath.Dir(n.to) != dir {
			return false
		}
		memory.settle(n)
		return true
	})
	return nil
}

// MkdirAll makes a folder that lasts.
func (memory *Memory) MkdirAll(dir string) error {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	if err := memory.stepChange(); err != nil {
		return err
	}
	for dir = filepath.Clean(dir); !memory.dirs[dir]; dir = filepath.Dir(dir) {
		memory.dirs[dir] = true
	}
	return nil
}

// change applies a change to what the process sees.
func (node *inode) change(c change) {
	node.pending = append(node.pending, c)
	node.live = c.apply(node.live)
}
