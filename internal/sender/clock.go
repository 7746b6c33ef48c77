package sender

import (
	"time"
)

// clock is the module's time source: Unix time as read at the start and advanced monotonically from there, so that times in the
// journal have the same meaning for the next process and a step of the wall clock moves no deadline.
type clock struct {
	start time.Time
	base  time.Duration
}

// newClock reads the wall clock.
func newClock() clock {
	now := time.Now()
	return clock{now, time.Duration(now.UnixNano())}
}

// now is the time since the Unix epoch.
func (c clock) now() time.Duration { return c.base + time.Since(c.start) }
