package restart

import (
	"math"
	"time"
)

const (
	Share = 0.75 // of the slots of a destination: the window stays below it
	fade  = 0.25 // of the window, per call served while less than half of the window is in use
)

// Window limits how many calls may be in flight at a destination. For an unknown destination it starts at a Size of 1, or at
// another size that its owner sets.
type Window struct {
	Size     float64
	halvedAt time.Duration
}

// Most is the maximum of the window for so many slots: below three quarters of them.
func Most(slots int) float64 { return math.Ceil(Share*float64(slots)) - 1 }

// Room is how many calls may be in flight. With half, for a destination that fails, is slow or is silent, the maximum is halved.
func (w *Window) Room(slots int, half bool) int {
	most := Most(slots)
	if half {
		most = math.Floor(most / 2)
	}
	return max(1, int(min(most, w.Size)))
}

// Served records a call that was served while so many others were in flight. A window that is not used says nothing about
// what the destination can take: it grows only while in use, and shrinks otherwise, so that few calls are lost at a
// destination that becomes silent.
func (w *Window) Served(others, slots int) {
	if used := float64(others + 1); 2*used >= w.Size {
		w.Grow(slots)
	} else {
		w.Size = max(2, w.Size-fade)
	}
}

// Grow widens the window by one.
func (w *Window) Grow(slots int) { w.Size = min(w.Size+1, max(1, Most(slots))) }

// Halve halves the window, once for all calls that were in flight at the last time.
func (w *Window) Halve(sent, now time.Duration) {
	if sent >= w.halvedAt {
		w.Size, w.halvedAt = max(1, w.Size/2), now
	}
}
