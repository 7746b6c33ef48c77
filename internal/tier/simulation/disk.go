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

// maxSyncTime is how long a sync takes at most.
const maxSyncTime = 9 * time.Millisecond

// disk is a machine's disk: a file system in memory that may be full or stuck. A process uses it through
// files, which end with the process.
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

// waitForSync lasts as long as a sync does, or until the process is over.
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

// files is the file system of a disk as one process has it.
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

// checkUsable returns the error that keeps the process from making or changing a file.
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
	temporary atomic.Bool // until its first sync, after which it takes the place of the file before it
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

// Sync takes its time. A file that is written anew is synced under a lock of its log, for which nobody may wait in virtual
// time: the first sync of such a file takes none.
func (h *handle) Sync() error {
	if !h.temporary.Swap(false) {
		h.files.waitForSync(h.files.processEnded)
	}
	if h.files.ended() {
		return wal.ErrDead
	}
	return h.Handle.Sync()
}
