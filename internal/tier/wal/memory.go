package wal

import (
	"errors"
	"io"
	"io/fs"
	"math/rand/v2"
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
func (m *Memory) Ops() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ops
}

// FailAt makes the n-th operation from now (1 is the next) fail once with err. A write that fails has written half; a sync
// that fails has lost what it should have kept, though the process goes on seeing it.
func (m *Memory) FailAt(n int, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failAt, m.failBy, m.sticks = m.ops+n, err, false
}

// FailFrom is like FailAt, but from there on, until Recover, all operations fail that create, rename or write, and syncs
// that have something written to carry, as on a full disk; opening, reading, listing, removing and truncating go on.
func (m *Memory) FailFrom(n int, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failAt, m.failBy, m.sticks = m.ops+n, err, true
}

// Recover ends what FailAt and FailFrom began.
func (m *Memory) Recover() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failAt, m.failBy, m.sticks = 0, nil, false
}

// StallSync makes each sync of a file hang until release is called.
func (m *Memory) StallSync() (release func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	stall := make(chan struct{})
	m.stall = stall
	return sync.OnceFunc(func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.stall == stall {
			m.stall = nil
		}
		close(stall)
	})
}

// DieAt makes the n-th operation from now, and all that follow, fail with ErrDead without any effect, but for a write, of which half is done.
func (m *Memory) DieAt(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dieAt = m.ops + n
}

// Kill ends the process without a loss: handles are dead, files stay as they were seen.
func (m *Memory) Kill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.restart()
}

// Wipe ends the process and leaves an empty disk.
func (m *Memory) Wipe() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.restart()
	clear(m.live)
	clear(m.disk)
	clear(m.dirs)
	m.naming = nil
}

// Crash is a loss of power. Of what was not synced, each write is there, missing or torn, and each change of names up to
// some place is done or undone; now and then, and always with a nil rng, all of it is gone.
func (m *Memory) Crash(rng *rand.Rand) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.restart()
	if rng != nil && rng.IntN(4) == 0 {
		rng = nil
	}
	if rng != nil {
		for _, n := range m.naming[:rng.IntN(len(m.naming)+1)] {
			m.settle(n)
		}
	}
	m.naming = nil
	m.live = map[string]*inode{}
	seen := map[*inode]bool{}
	names := make([]string, 0, len(m.disk))
	for name := range m.disk {
		names = append(names, name)
	}
	slices.Sort(names) // one seed, one outcome
	for _, name := range names {
		node := m.disk[name]
		m.live[name] = node
		if !seen[node] {
			seen[node] = true
			node.crash(rng)
		}
	}
}

// restart begins another life of the process. The lock is held.
func (m *Memory) restart() {
	m.life++
	m.dead, m.dieAt, m.failAt, m.failBy, m.sticks = false, 0, 0, nil, false
}

// settle makes one change of names last.
func (m *Memory) settle(n naming) {
	if n.from != "" && m.disk[n.from] == n.node {
		delete(m.disk, n.from)
	}
	if n.to != "" {
		m.disk[n.to] = n.node
	}
}

// crash leaves what lasts of a file.
func (n *inode) crash(rng *rand.Rand) {
	data := n.disk
	if rng != nil {
		for _, c := range n.pending {
			switch rng.IntN(3) {
			case 0:
				data = c.apply(data)
			case 1: // missing
			case 2:
				for _, part := range c.tear(rng) {
					data = part.apply(data)
				}
			}
		}
	}
	n.live, n.disk, n.pending = slices.Clone(data), slices.Clone(data), nil
}

// dirty tells whether bytes that were written and are still part of the file wait for a sync.
func (n *inode) dirty() bool {
	return slices.ContainsFunc(n.pending, func(c change) bool { return !c.cut && c.at < int64(len(n.live)) })
}

// tear gives what a torn change leaves: a beginning, or a beginning and an end.
func (c change) tear(rng *rand.Rand) []change {
	if c.cut || len(c.data) == 0 {
		return nil
	}
	i := rng.IntN(len(c.data))
	parts := []change{{at: c.at, data: c.data[:i]}}
	if rng.IntN(2) == 0 {
		j := i + rng.IntN(len(c.data)-i)
		parts = append(parts, change{at: c.at + int64(j), data: c.data[j:]})
	}
	return parts
}

// apply gives the bytes after the change. What was given isn't touched.
func (c change) apply(to []byte) []byte {
	if c.cut {
		if c.at <= int64(len(to)) {
			return to[:c.at:c.at]
		}
		return append(slices.Clone(to), make([]byte, c.at-int64(len(to)))...)
	}
	if len(c.data) == 0 {
		return to
	}
	out := make([]byte, max(int64(len(to)), c.at+int64(len(c.data))))
	copy(out, to)
	copy(out[c.at:], c.data)
	return out
}

// step counts one operation and gives its error. The lock is held.
func (m *Memory) step() error {
	m.ops++
	if m.dead || m.ops == m.dieAt {
		m.dead = true
		return ErrDead
	}
	if m.ops == m.failAt {
		return m.failBy
	}
	return nil
}

// stepChange is step for an operation that needs room or a disk that takes writes. The lock is held.
func (m *Memory) stepChange() error {
	if err := m.step(); err != nil {
		return err
	}
	if m.sticks && m.ops > m.failAt {
		return m.failBy
	}
	return nil
}

func missing(op, name string) error {
	return &fs.PathError{Op: op, Path: name, Err: fs.ErrNotExist}
}

// Open opens an existing file.
func (m *Memory) Open(name string) (Handle, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.step(); err != nil {
		return nil, err
	}
	node := m.live[name]
	if node == nil {
		return nil, missing("open", name)
	}
	return &memoryFile{m: m, node: node, life: m.life}, nil
}

// Create makes an empty file or empties one.
func (m *Memory) Create(name string) (Handle, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.stepChange(); err != nil {
		return nil, err
	}
	if !m.dirs[filepath.Dir(name)] {
		return nil, missing("create", name)
	}
	node := m.live[name]
	if node == nil {
		node = &inode{}
		m.live[name] = node
		m.naming = append(m.naming, naming{to: name, node: node})
	} else {
		node.change(change{cut: true})
	}
	return &memoryFile{m: m, node: node, life: m.life}, nil
}

// Rename replaces to by from.
func (m *Memory) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.stepChange(); err != nil {
		return err
	}
	node := m.live[from]
	if node == nil {
		return missing("rename", from)
	}
	delete(m.live, from)
	m.live[to] = node
	m.naming = append(m.naming, naming{from: from, to: to, node: node})
	return nil
}

// Remove removes a file.
func (m *Memory) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.step(); err != nil {
		return err
	}
	node := m.live[name]
	if node == nil {
		return missing("remove", name)
	}
	delete(m.live, name)
	m.naming = append(m.naming, naming{from: name, node: node})
	return nil
}

// List gives the sorted names of the files in a folder.
func (m *Memory) List(dir string) ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.step(); err != nil {
		return nil, err
	}
	if !m.dirs[filepath.Clean(dir)] {
		return nil, missing("list", dir)
	}
	var names []string
	for name := range m.live {
		if filepath.Dir(name) == filepath.Clean(dir) {
			names = append(names, filepath.Base(name))
		}
	}
	slices.SortFunc(names, strings.Compare)
	return names, nil
}

// SyncDir makes the names of a folder last.
func (m *Memory) SyncDir(dir string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.step(); err != nil {
		return err
	}
	dir = filepath.Clean(dir)
	m.naming = slices.DeleteFunc(m.naming, func(n naming) bool {
		if filepath.Dir(n.from+n.to) != dir && filepath.Dir(n.from) != dir && filepath.Dir(n.to) != dir {
			return false
		}
		m.settle(n)
		return true
	})
	return nil
}

// MkdirAll makes a folder that lasts.
func (m *Memory) MkdirAll(dir string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.stepChange(); err != nil {
		return err
	}
	for dir = filepath.Clean(dir); !m.dirs[dir]; dir = filepath.Dir(dir) {
		m.dirs[dir] = true
	}
	return nil
}

// change applies a change to what the process sees.
func (n *inode) change(c change) {
	n.pending = append(n.pending, c)
	n.live = c.apply(n.live)
}

// waitStall returns once syncs are not, or no longer, stalled.
func (m *Memory) waitStall() {
	m.mu.Lock()
	stall := m.stall
	m.mu.Unlock()
	if stall != nil {
		<-stall
	}
}

// memoryFile is one open file of a Memory.
type memoryFile struct {
	m      *Memory
	node   *inode
	life   int
	closed bool
}

// step counts one operation on the file. The lock is held.
func (file *memoryFile) step(next func() error) error {
	switch {
	case file.life != file.m.life:
		return ErrDead
	case file.closed:
		return fs.ErrClosed
	}
	return next()
}

func (file *memoryFile) ReadAt(p []byte, off int64) (int, error) {
	file.m.mu.Lock()
	defer file.m.mu.Unlock()
	if err := file.step(file.m.step); err != nil {
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
	file.m.mu.Lock()
	defer file.m.mu.Unlock()
	was := file.m.dead
	err := file.step(file.m.stepChange)
	n := len(p)
	if err != nil {
		n /= 2
	}
	if was || file.life != file.m.life || file.closed {
		return 0, err
	}
	file.node.change(change{at: off, data: slices.Clone(p[:n])})
	return n, err
}

func (file *memoryFile) Truncate(size int64) error {
	file.m.mu.Lock()
	defer file.m.mu.Unlock()
	if err := file.step(file.m.step); err != nil {
		return err
	}
	file.node.change(change{at: size, cut: true})
	return nil
}

func (file *memoryFile) Sync() error {
	file.m.waitStall()
	file.m.mu.Lock()
	defer file.m.mu.Unlock()
	next := file.m.step
	if file.node.dirty() {
		next = file.m.stepChange
	}
	if err := file.step(next); err != nil {
		if !file.m.dead && file.life == file.m.life && !file.closed {
			file.node.pending = nil // pages are marked clean though they never reached the disk
		}
		return err
	}
	for _, c := range file.node.pending {
		file.node.disk = c.apply(file.node.disk)
	}
	file.node.pending = nil
	// A new file lasts with its own sync.
	for i, n := range file.m.naming {
		if n.node == file.node && n.from == "" {
			file.m.settle(n)
			file.m.naming = slices.Delete(file.m.naming, i, i+1)
			break
		}
	}
	return nil
}

func (file *memoryFile) Size() (int64, error) {
	file.m.mu.Lock()
	defer file.m.mu.Unlock()
	if file.life != file.m.life {
		return 0, ErrDead
	}
	return int64(len(file.node.live)), nil
}

func (file *memoryFile) Close() error {
	file.m.mu.Lock()
	defer file.m.mu.Unlock()
	file.closed = true
	return nil
}
