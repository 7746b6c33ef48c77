package consensus

import (
	"sync"
	"time"
)

// A write or sync that does not return blocks the loop: the node neither replies nor sends heartbeats, and its peers depose it as if it
// were partitioned. stuckWrite makes this visible at the node itself: callers of Health, which run in other goroutines, see DiskStuck from
// writeStuckTimeout after the write began until it has returned.

// writeStuckTimeout is how long a write may take before the disk counts as stuck, the same as for turn stores.
const writeStuckTimeout = 2 * time.Second

// stuckWrite watches one write at a time. The zero value is ready for use.
type stuckWrite struct {
	mu    sync.Mutex
	timer *time.Timer // of the write in progress; nil: there is none
	stuck bool        // the write in progress has taken longer than writeStuckTimeout
}

// begin records that a write has begun. Unless end is called within writeStuckTimeout, onStuck is called, in a goroutine of its own.
func (w *stuckWrite) begin(onStuck func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var timer *time.Timer
	timer = time.AfterFunc(writeStuckTimeout, func() {
		w.mu.Lock()
		current := w.timer == timer
		w.stuck = w.stuck || current
		w.mu.Unlock()
		if current {
			onStuck()
		}
	})
	w.timer = timer
}

// end records that the write has returned, and reports whether it was stuck.
func (w *stuckWrite) end() (wasStuck bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
	wasStuck = w.stuck
	w.timer, w.stuck = nil, false
	return wasStuck
}

// isStuck reports whether a write has been in progress for longer than writeStuckTimeout.
func (w *stuckWrite) isStuck() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stuck
}
