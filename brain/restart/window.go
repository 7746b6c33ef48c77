package restart

import (
	"math"
	"time"
)

const (
	Share = 0.75 // of the slots that one destination stays under (design)
	fade  = 0.25 // of the window, by call served while less than half of it is in use
)

// Window is how many calls may be out at once at a destination. One of which nothing is known starts at a Size of 1,
// or where another start suits it better.
type Window struct {
	Size     float64
	halvedAt time.Duration
}

// Most is the largest window where there are so many slots: under three quarters of them.
func Most(slots int) float64 { return math.Ceil(Share*float64(slots)) - 1 }

// Room is how many calls may be out. A destination that fails, is slow or is silent keeps half of the most.
func (w *Window) Room(slots int, half bool) int {
	most := Most(slots)
	if half {
		most = math.Floor(most / 2)
	}
	return max(1, int(min(most, w.Size)))
}

// Served books a call served while so many others were out. A window that is not in use says nothing about what the
// destination bears: it grows in use only, and fades out of it, so that a destination that falls silent takes few
// slots before it is noticed.
func (w *Window) Served(others, slots int) {
	if used := float64(others + 1); 2*used >= w.Size {
		w.Grow(slots)
	} else {
		w.Size = max(2, w.Size-fade)
	}
}

// Grow widens the window by one.
func (w *Window) Grow(slots int) { w.Size = min(w.Size+1, max(1, Most(slots))) }

// Halve cuts the window, once for all calls that were out at the last cut.
func (w *Window) Halve(sent, now time.Duration) {
	if sent >= w.halvedAt {
		w.Size, w.halvedAt = max(1, w.Size/2), now
	}
}
