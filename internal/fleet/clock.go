package fleet

import (
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Now is the machine's time since it was started, the time in which it slept included: a lease goes on while a machine does
// not. (CLOCK_MONOTONIC, which package time goes by, stands still then.)
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(fmt.Sprintf("the machine's clock: %v", err)) // it has had one since Linux 2.6.39
	}
	return time.Duration(ts.Nano())
}

// coarseClock is Now without a call of the kernel, looked up again once a second: what the machine slept since then is missing.
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
