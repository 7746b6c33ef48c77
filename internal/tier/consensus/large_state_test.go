package consensus

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newLargeWorld is a settled group whose state takes so long to be copied from one machine to another.
func newLargeWorld(t *testing.T, seed uint64, losses int, copyTime time.Duration) *world {
	t.Helper()
	const part, parts = 64 << 10, 16
	w := newWorld(seed, 2*losses+1, losses)
	w.transferRate = int(float64(part*parts) / (1.5 * copyTime.Seconds()))
	w.boot()
	w.run(5 * time.Second)
	for n := range parts {
		l := w.leader()
		assert.Assert(t, l != nil, w.tail())
		key := fmt.Sprint("part", n)
		w.token++
		w.waiting[w.token] = &operation{key: key, began: w.now, site: l}
		l.step(putRequest{w.token, l.m.primary.view.Epoch, map[string][]byte{key: bytes.Repeat([]byte("x"), part)}})
		w.run(w.now + 50*time.Millisecond)
	}
	assert.Assert(t, len(w.acked) == parts, w.tail())
	w.rate = int(float64(part*parts) / copyTime.Seconds())
	return w
}

// A copy that takes longer than a call may else take comes to its end: a backup that was lost is replaced, a member that was
// restarted catches up, and after the loss of the leader another leads.
func TestStateTransfer_LargeStateOverSlowLink(t *testing.T) {
	seeds := seedsOr(6)
	if testing.Short() || raced {
		seeds = 2
	}
	for _, losses := range []int{1, 2} {
		for _, copyTime := range []time.Duration{400 * time.Millisecond, 2 * time.Second, 6 * time.Second} {
			var served, settled time.Duration
			for seed := range uint64(seeds) {
				w := newLargeWorld(t, seed, losses, copyTime)
				limit := 4*copyTime + 3*w.window
				w.readings(w.now + 40*time.Second)
				leader := w.leader()
				for _, s := range w.sites { // a backup is restarted
					if s != leader && isNamedIn(leader.m.primary.view, s.m.Folder) {
						s.stop(false)
						w.startWithin(s, time.Second)
						break
					}
				}
				w.timeToService(limit)
				settled = max(settled, w.timeToRedundancy(limit))
				if leader = w.leader(); leader != nil && len(w.faults) == 0 { // the leader is lost, and comes back empty
					leader.wipe()
					w.startWithin(leader, time.Second)
					served = max(served, w.timeToService(limit))
					settled = max(settled, w.timeToRedundancy(limit))
				}
				assert.Assert(t, len(w.faults) == 0, "losses %d, copies of %v, seed %d: %v\n%s", losses, copyTime, seed, w.faults, w.tail())
			}
			t.Logf("%d losses, copies of %v: %v until something is acknowledged, %v until the next loss is borne", losses, copyTime, served, settled)
		}
	}
}
