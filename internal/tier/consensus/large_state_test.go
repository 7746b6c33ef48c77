package consensus

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newLargeStateSimulation returns a stable group whose state takes transferTime to be transferred from one machine to another.
func newLargeStateSimulation(t *testing.T, seed uint64, losses int, transferTime time.Duration) *simulation {
	t.Helper()
	const part, parts = 64 << 10, 16
	w := newSimulation(seed, 2*losses+1, losses)
	w.transferRate = int(float64(part*parts) / (1.5 * transferTime.Seconds()))
	w.boot()
	w.runUntil(5 * time.Second)
	for n := range parts {
		l := w.newestPrimary()
		assert.Assert(t, l != nil, w.lastTrace())
		key := fmt.Sprint("part", n)
		w.token++
		w.pendingOperations[w.token] = &operation{key: key, began: w.now, site: l}
		l.step(putRequest{w.token, l.replica.primary.view.Epoch, map[string][]byte{key: bytes.Repeat([]byte("x"), part)}})
		w.runUntil(w.now + 50*time.Millisecond)
	}
	assert.Assert(t, len(w.acknowledged) == parts, w.lastTrace())
	w.rate = int(float64(part*parts) / transferTime.Seconds())
	return w
}

// A state transfer that takes longer than the time-out of other calls completes: a lost backup is replaced, a restarted member catches up,
// and after the loss of the primary another one leads.
func TestStateTransfer_LargeStateOverSlowLink(t *testing.T) {
	seeds := seedCount(6)
	if testing.Short() || raceDetector {
		seeds = 2
	}
	for _, losses := range []int{1, 2} {
		for _, transferTime := range []time.Duration{400 * time.Millisecond, 2 * time.Second, 6 * time.Second} {
			var served, settled time.Duration
			for seed := range uint64(seeds) {
				w := newLargeStateSimulation(t, seed, losses, transferTime)
				limit := 4*transferTime + 3*w.window
				w.leaseReadsUntil(w.now + 40*time.Second)
				leader := w.newestPrimary()
				for _, s := range w.sites { // a backup is restarted
					if s != leader && isNamedIn(leader.replica.primary.view, s.replica.Folder) {
						s.stop(false)
						w.startWithin(s, time.Second)
						break
					}
				}
				w.timeToService(limit)
				settled = max(settled, w.timeToRedundancy(limit))
				if leader = w.newestPrimary(); leader != nil && len(w.violations) == 0 { // the primary loses its disk and restarts
					leader.wipe()
					w.startWithin(leader, time.Second)
					served = max(served, w.timeToService(limit))
					settled = max(settled, w.timeToRedundancy(limit))
				}
				assert.Assert(t, len(w.violations) == 0, "losses %d, transfers of %v, seed %d: %v\n%s", losses, transferTime, seed, w.violations, w.lastTrace())
			}
			t.Logf("%d losses, transfers of %v: %v until a write is acknowledged, %v until the next loss is tolerated", losses, transferTime, served, settled)
		}
	}
}
