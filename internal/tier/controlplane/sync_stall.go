package controlplane

import (
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// Attempts at a copy under way may take longer each time that attemptsPerDoubling of them have stalled, up to a bound.
const (
	attemptsPerDoubling = 3
	maxStallDoublings   = 4
)

// stallTracker observes how long copies are under way. It is pure: the time is passed in.
type stallTracker struct {
	attempts map[uint32]syncAttempt // by partition
}

// syncAttempt is a partition's copy under way.
type syncAttempt struct {
	epoch uint64    // of the partition
	first time.Time // since when a copy is under way
	since time.Time // since when it is in this epoch
	count int       // epochs in which it was
}

// observe tells which partitions have a copy under way for longer than usual, and at which of them it is time to try other
// turn stores: after usual, and after longer when that did not help, as a copy may just be large. Partitions without a
// primary that is alive are left out, as nothing can be done for them.
func (t *stallTracker) observe(now time.Time, usual time.Duration, m *tierv1.PartitionMap, alive map[string]*tierv1.StoreNode) (slow, stalled map[uint32]bool) {
	slow, stalled = map[uint32]bool{}, map[uint32]bool{}
	before := t.attempts
	t.attempts = map[uint32]syncAttempt{}
	for i, p := range m.GetPartitions() {
		id := uint32(i)
		if alive[p.Primary] == nil || !hasUnsynced(p) {
			continue
		}
		a, known := before[id]
		switch {
		case !known:
			a = syncAttempt{epoch: p.Epoch, first: now, since: now}
		case a.epoch != p.Epoch:
			a.epoch, a.since = p.Epoch, now
			a.count++
		}
		t.attempts[id] = a
		slow[id] = now.Sub(a.first) > usual
		stalled[id] = now.Sub(a.since) > usual<<min(a.count/attemptsPerDoubling, maxStallDoublings)
	}
	return slow, stalled
}

// hasUnsynced tells whether a partition has a copy under way.
func hasUnsynced(p *tierv1.Partition) bool {
	for _, c := range p.Backups {
		if !c.Synced {
			return true
		}
	}
	return false
}
