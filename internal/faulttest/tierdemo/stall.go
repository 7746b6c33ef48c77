package tierdemo

import (
	"context"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// stallInterval is the interval of the measurements, and the duration above which a stall is recorded.
const stallInterval = 100 * time.Millisecond

// stallMeter measures how long the machine itself delays the demo: by waits for the processor, and by waits for fsync.
// Rules with a time bound are not checked during a stall.
type stallMeter struct {
	mu           sync.Mutex
	measuredFrom time.Time     // start of the current measurement; zero: none
	allowed      time.Duration // time that the measured operation takes without a stall
	processor    time.Duration // longest wait for the processor
	disk         time.Duration // longest fsync
	stalls       []stall       // stalls longer than stallInterval
}

// stall is one delay by the machine.
type stall struct {
	ended    time.Time
	duration time.Duration
}

// run measures until ctx ends. It writes to a file in dir.
func (meter *stallMeter) run(ctx context.Context, dir string) error {
	file, err := os.Create(filepath.Join(dir, "stall"))
	if err != nil {
		return err
	}
	defer file.Close()
	for ctx.Err() == nil {
		meter.begin(stallInterval)
		sleep(ctx, stallInterval)
		meter.end(&meter.processor)
		meter.begin(0)
		if _, err := file.WriteAt([]byte{1}, 0); err != nil {
			return err
		}
		if err := file.Sync(); err != nil {
			return err
		}
		meter.end(&meter.disk)
	}
	return nil
}

// begin starts a measurement of an operation that takes the time allowed without a stall.
func (meter *stallMeter) begin(allowed time.Duration) {
	meter.mu.Lock()
	defer meter.mu.Unlock()
	meter.measuredFrom, meter.allowed = time.Now(), allowed
}

// end ends the measurement and updates the longest stall of its kind.
func (meter *stallMeter) end(longest *time.Duration) {
	meter.mu.Lock()
	defer meter.mu.Unlock()
	took := time.Since(meter.measuredFrom) - meter.allowed
	*longest = max(*longest, took)
	if took > stallInterval {
		meter.stalls = append(meter.stalls, stall{time.Now(), took})
	}
	meter.measuredFrom = time.Time{}
}

// longestSince returns the longest stall that ended after since or is still in progress.
func (meter *stallMeter) longestSince(since time.Time) (worst time.Duration) {
	meter.mu.Lock()
	defer meter.mu.Unlock()
	for _, recorded := range meter.stalls {
		if recorded.ended.After(since) {
			worst = max(worst, recorded.duration)
		}
	}
	if !meter.measuredFrom.IsZero() {
		worst = max(worst, time.Since(meter.measuredFrom)-meter.allowed)
	}
	return worst
}

// longest returns the longest wait for the processor and for fsync.
func (meter *stallMeter) longest() (processor, disk time.Duration) {
	meter.mu.Lock()
	defer meter.mu.Unlock()
	return meter.processor, meter.disk
}
