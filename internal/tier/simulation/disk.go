package simulation

import (
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"saffronyard.example/saffronyard/internal/tier/wal"
)

// maxSyncTime bounds how long a sync takes.
const maxSyncTime = 9 * time.Millisecond

// disk is a machine's disk: a file system in memory that may be full or stuck. A process uses it through
// files, which fail once the process has ended.
type disk struct {
	*wal.Memory

	mu      sync.Mutex
	random  *rand.Rand
	full    bool
	stuck   bool
	changed chan struct{}
}

// newDisk returns an empty disk whose sync times are drawn from a seed.
func newDisk(seed uint64) *disk {
	return &disk{Memory: wal.NewMemory(), random: rand.New(rand.NewPCG(seed, 0xd15c)), changed: make(chan struct{})}
}

// set changes whether the disk is full or stuck.
func (d *disk) set(full, stuck bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full, d.stuck = full, stuck
	close(d.changed)
	d.changed = make(chan struct{})
}

// checkSpace returns ENOSPC where the disk is full.
func (d *disk) checkSpace() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.full {
		return syscall.ENOSPC
	}
	return nil
}

// waitForSync waits for the duration of a sync and then, while the disk is stuck, until the disk recovers or the process ends.
func (d *disk) waitForSync(processEnded <-chan struct{}) {
	d.mu.Lock()
	duration := time.Duration(d.random.Int64N(int64(maxSyncTime)))
	d.mu.Unlock()
	time.Sleep(duration)
	for {
		d.mu.Lock()
		stuck, changed := d.stuck, d.changed
		d.mu.Unlock()
		if !stuck {
			return
		}
		select {
		case <-changed:
		case <-processEnded:
			return
		}
	}
}

// files is the file system of a disk for one process.
type files struct {
	*disk
	processEnded <-chan struct{}
}

// ended reports whether the process has ended: it no longer uses the disk.
func (f files) ended() bool {
	select {
	case <-f.processEnded:
		return true
	default:
		return false
	}
}

// checkUsable returns the error that prevents the process from creating a file.
func (f files) checkUsable() error {
	if f.ended() {
		return wal.ErrDead
	}
	return f.checkSpace()
}

func (f files) handle(name string, h wal.Handle, err error) (wal.Handle, error) {
	if err != nil {
		return nil, err
	}
	opened := &handle{Handle: h, files: f}
	opened.temporary.Store(strings.HasSuffix(name, ".tmp"))
	return opened, nil
}

// Open implements wal.FS.
func (f files) Open(name string) (wal.Handle, error) {
	if f.ended() {
		return nil, wal.ErrDead
	}
	h, err := f.Memory.Open(name)
	return f.handle(name, h, err)
}

// Create implements wal.FS.
func (f files) Create(name string) (wal.Handle, error) {
	if err := f.checkUsable(); err != nil {
		return nil, err
	}
	h, err := f.Memory.Create(name)
	return f.handle(name, h, err)
}

// Rename implements wal.FS.
func (f files) Rename(from, to string) error {
	if f.ended() {
		return wal.ErrDead
	}
	return f.Memory.Rename(from, to)
}

// Remove implements wal.FS.
func (f files) Remove(name string) error {
	if f.ended() {
		return wal.ErrDead
	}
	return f.Memory.Remove(name)
}

// MkdirAll implements wal.FS.
func (f files) MkdirAll(dir string) error {
	if f.ended() {
		return wal.ErrDead
	}
	return f.Memory.MkdirAll(dir)
}

// handle is an open file.
type handle struct {
	wal.Handle
	files     files
	temporary atomic.Bool // true until the first sync, after which the file replaces the previous one
}

// WriteAt fails on a full disk, with half of the bytes written.
func (h *handle) WriteAt(p []byte, off int64) (int, error) {
	if h.files.ended() {
		return 0, wal.ErrDead
	}
	if err := h.files.checkSpace(); err != nil {
		n, _ := h.Handle.WriteAt(p[:len(p)/2], off)
		return n, err
	}
	return h.Handle.WriteAt(p, off)
}

// Sync takes virtual time, except for the first sync of a temporary file: a rewritten file is synced under a lock of its log, and no
// goroutine may wait for a lock in virtual time.
func (h *handle) Sync() error {
	if !h.temporary.Swap(false) {
		h.files.waitForSync(h.files.processEnded)
	}
	if h.files.ended() {
		return wal.ErrDead
	}
	return h.Handle.Sync()
}
