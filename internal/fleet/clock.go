package fleet

import (
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Now is the time since the machine was started, including time in which it was suspended, because leases expire meanwhile. It reads
// CLOCK_BOOTTIME; package time uses CLOCK_MONOTONIC, which does not advance while the machine is suspended.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(fmt.Sprintf("the machine's clock: %v", err)) // CLOCK_BOOTTIME exists since Linux 2.6.39
	}
	return time.Duration(ts.Nano())
}

// coarseClock returns a clock that calls Now once a second and makes no system call in between. Its result does not include
// time in which the machine was suspended since the last such call.
func coarseClock() func() time.Duration {
	type mark struct {
		at  time.Time
		now time.Duration
	}
	var last atomic.Pointer[mark]
	return func() time.Duration {
		m := last.Load()
		if m != nil {
			if d := time.Since(m.at); d < time.Second {
				return m.now + d
			}
		}
		m = &mark{time.Now(), Now()}
		last.Store(m)
		return m.now
	}
}
