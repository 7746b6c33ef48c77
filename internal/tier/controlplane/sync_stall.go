package controlplane

import (
	"slices"
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// The time allowed for an attempt to sync a replica doubles after each attemptsPerDoubling stalled attempts, up to a bound.
const (
	attemptsPerDoubling = 3
	maxStallDoublings   = 4
)

// stallTracker observes how long replicas have been syncing. It is pure: the time is passed in.
type stallTracker struct {
	attempts map[uint32]syncAttempt // by partition
}

// syncAttempt is a partition's attempt to sync a replica.
type syncAttempt struct {
	epoch uint64    // of the partition
	first time.Time // since when a replica has been syncing
	since time.Time // since when in the current epoch
	count int       // earlier epochs in which a replica was syncing
}

// observe returns the partitions that have been syncing a replica for longer than usual, and those for which other turn stores
// are to be tried: at first after usual, and later after a longer time, as the replica may just be large. Partitions without a
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

// hasUnsynced reports whether a partition has a replica that is being synced.
func hasUnsynced(p *tierv1.Partition) bool {
	return slices.ContainsFunc(p.Backups, func(replica *tierv1.Replica) bool { return !replica.Synced })
}
