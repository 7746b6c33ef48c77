package restart

import (
	"math"
	"time"
)

const (
	// SlotShare is the share of the slots that one destination may use: the window stays below it.
	SlotShare = 0.75
	// idleShrink is how far the window shrinks with each call that is served while less than half of it is in use.
	idleShrink = 0.25
)

// Window limits how many calls may be in flight at a destination (congestion window: it grows by one with each success
// and is halved on a loss). For an unknown destination it starts at a Size of 1, or at another size that its owner sets.
type Window struct {
	Size     float64
	halvedAt time.Duration
}

// MaxWindow returns the maximum of the window for the given number of slots.
func MaxWindow(slots int) float64 { return math.Ceil(SlotShare*float64(slots)) - 1 }

// Limit returns how many calls may be in flight. With half, for a destination that fails, is slow or does not answer,
// the maximum is halved.
func (w *Window) Limit(slots int, half bool) int {
	maxSize := MaxWindow(slots)
	if half {
		maxSize = math.Floor(maxSize / 2)
	}
	return max(1, int(min(maxSize, w.Size)))
}

// RecordSuccess records a call that was served while the given number of others were in flight. A window that is not
// used says nothing about what the destination can take: it grows only while in use, and shrinks otherwise, so that few
// calls are lost at a destination that stops answering.
func (w *Window) RecordSuccess(others, slots int) {
	if used := float64(others + 1); 2*used >= w.Size {
		w.Grow(slots)
	} else {
		w.Size = max(2, w.Size-idleShrink)
	}
}

// Grow widens the window by one.
func (w *Window) Grow(slots int) { w.Size = min(w.Size+1, max(1, MaxWindow(slots))) }

// Halve halves the window for a call that was lost, once for all calls that were in flight at the last halving.
func (w *Window) Halve(sent, now time.Duration) {
	if sent >= w.halvedAt {
		w.Size, w.halvedAt = max(1, w.Size/2), now
	}
}
