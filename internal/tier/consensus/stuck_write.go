package consensus

import (
	"sync"
	"time"
)

// A write or sync that does not return holds up the loop: the node neither answers nor sends heartbeats, and its peers depose
// it as they would a machine that is cut off. stuckWrite is how it says so itself: callers of Health, whose goroutines go on,
// see DiskStuck from writeStuckTimeout after the write began until it has returned.

// writeStuckTimeout is how long a write may take before the disk counts as stuck, as for turn stores.
const writeStuckTimeout = 2 * time.Second

// stuckWrite watches one write at a time. The zero value is ready for use.
type stuckWrite struct {
	mu    sync.Mutex
	timer *time.Timer // of the write in progress; nil: there is none
	stuck bool        // the write in progress has taken longer than writeStuckTimeout
}

// begin notes that a write has begun. Unless end is called within writeStuckTimeout, onStuck is called, in a goroutine of its own.
func (w *stuckWrite) begin(onStuck func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var mine *time.Timer
	mine = time.AfterFunc(writeStuckTimeout, func() {
		w.mu.Lock()
		current := w.timer == mine
		w.stuck = w.stuck || current
		w.mu.Unlock()
		if current {
			onStuck()
		}
	})
	w.timer = mine
}

// end notes that the write has returned, and reports whether it was stuck.
func (w *stuckWrite) end() (wasStuck bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
	wasStuck = w.stuck
	w.timer, w.stuck = nil, false
	return wasStuck
}

// isStuck reports whether a write is in progress for longer than writeStuckTimeout.
func (w *stuckWrite) isStuck() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stuck
}
