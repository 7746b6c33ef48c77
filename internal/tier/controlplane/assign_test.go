package controlplane

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

func TestTheFirstMapIsEvenAndStays(t *testing.T) {
	for n := 2; n < 8; n++ {
		for losses := 0; losses < min(n, 3); losses++ {
			w := newWorld(t, nil, n, 3, FaultTolerance{losses, byNode})
			assert.Assert(t, w.assign(w.input()))
			assert.Equal(t, len(w.m.Partitions), partitionCount)
			w.even(false)
			assert.Equal(t, w.settle(), 0, "a map at rest was changed")
		}
	}
}

func TestNoMapBeforeThereAreEnoughOrTheyHaveSettled(t *testing.T) {
	w := newWorld(t, nil, 1, 1, FaultTolerance{1, byNode})
	w.assign(w.input())
	assert.Equal(t, len(w.m.GetPartitions()), 0)
	w.add(1, 1)
	in := w.input()
	in.MayCreate = false
	w.assign(in)
	assert.Equal(t, len(w.m.GetPartitions()), 0)
	w.assign(w.input())
	assert.Equal(t, len(w.m.Partitions), partitionCount)
}

func TestCopiesLieInDifferentDomains(t *testing.T) {
	w := newWorld(t, nil, 7, 3, FaultTolerance{1, byZone})
	w.assign(w.input())
	w.even(true)
	w.machines[0].up = false
	w.settle()
	w.even(true)
	w.machines[0].up = true
	w.settle()
	w.even(true)
}

func TestNobodyIsDeadBeforeTheGraceIsOver(t *testing.T) {
	w := newWorld(t, nil, 3, 3, FaultTolerance{1, byNode})
	w.assign(w.input())
	w.machines[1].up = false
	in := w.input()
	in.GraceOver = false
	assert.Assert(t, !w.assign(in))
}

func TestAnUnsyncedCopyNeverSucceeds(t *testing.T) {
	w := newWorld(t, nil, 3, 3, FaultTolerance{1, byNode})
	w.assign(w.input())
	w.machines[0].up = false
	w.assign(w.input()) // the two that are left have each other's copies, unsynced
	w.machines[1].up = false
	w.assign(w.input())
	w.assign(w.input())
	for _, p := range w.m.Partitions {
		if p.Primary == w.machines[2].folder {
			continue
		}
		assert.Equal(t, p.Primary, w.machines[1].folder)
	}
	w.machines[1].up = true
	w.machines[0].up = true
	w.settle()
	w.even(false)
}

func TestALostTurnStoreDoesNotBlockTwo(t *testing.T) {
	w := newWorld(t, nil, 2, 2, FaultTolerance{1, byNode})
	w.assign(w.input())
	w.machines[0].up = false
	w.settle()
	for _, p := range w.m.Partitions {
		assert.Equal(t, p.Primary, w.machines[1].folder)
		assert.Equal(t, len(p.Backups), 0)
	}
	w.machines[0].up = true
	w.settle()
	w.even(false)
}

func TestMoreLossesThanBorneBlock(t *testing.T) {
	w := newWorld(t, nil, 3, 3, FaultTolerance{1, byNode})
	w.assign(w.input())
	w.machines[0].up, w.machines[1].up = false, false
	w.assign(w.input())
	for i, p := range w.m.Partitions {
		all := replicaFolders(p)
		assert.Assert(t, len(all) == 2, "partition %d: %v", i, p)
	}
}

func TestANewFolderTakesThePlaceOfTheOld(t *testing.T) {
	w := newWorld(t, nil, 3, 3, FaultTolerance{1, byNode})
	w.assign(w.input())
	w.machines[0].folder = "n0.2"
	in := w.input()
	in.GraceOver = false // the old one can't come back: no grace is due
	w.assign(in)
	for _, p := range w.m.Partitions {
		assert.Assert(t, !slices.Contains(replicaFolders(p), "n0.1"))
	}
	assert.Assert(t, !slices.ContainsFunc(w.m.StoreNodes, func(k *tierv1.StoreNode) bool { return k.Folder == "n0.1" }))
	w.settle()
	w.even(false)
}

func TestARetiringTurnStoreIsEmptied(t *testing.T) {
	w := newWorld(t, nil, 3, 3, FaultTolerance{1, byNode})
	w.assign(w.input())
	w.m.Retiring = append(w.m.Retiring, "n1")
	assert.Equal(t, lifecycleState(w.m, "n1", 1), "in_progress")
	for range 1000 {
		w.assign(w.input())
		under := 0
		for i, p := range w.m.Partitions {
			if slices.ContainsFunc(p.Backups, func(c *tierv1.Replica) bool { return !c.Synced }) {
				under++
			}
			whole := 0
			for _, folder := range replicaFolders(p) {
				if w.whole(i, folder) {
					whole++
				}
			}
			assert.Assert(t, whole >= 2, "partition %d has fewer whole copies than before", i)
		}
		assert.Assert(t, under <= partitionCount/concurrentMoveDivisor)
		w.reports = nil
		for _, m := range w.machines {
			m.hear(w)
			for i := range w.m.Partitions {
				w.copy(m, i)
			}
		}
		if lifecycleState(w.m, "n1", 1) == "completed" {
			break
		}
	}
	assert.Equal(t, lifecycleState(w.m, "n1", 1), "completed")
	w.settle()
	w.even(false)
	w.machines[1].up = false
	w.settle()
	assert.Assert(t, !slices.ContainsFunc(w.m.StoreNodes, func(k *tierv1.StoreNode) bool { return k.Node == "n1" }))
	assert.Equal(t, lifecycleState(w.m, "n1", 1), "completed")
}

func TestALeavingPrimaryHandsOver(t *testing.T) {
	w := newWorld(t, nil, 3, 3, FaultTolerance{1, byNode})
	w.assign(w.input())
	w.machines[2].leaving = true
	w.assign(w.input())
	for _, p := range w.m.Partitions {
		assert.Assert(t, p.Primary != w.machines[2].folder)
		left := findBackup(p, w.machines[2].folder) == nil
		assert.Equal(t, len(p.Backups), map[bool]int{true: 1, false: 2}[left], "a copy is made before it goes: %v", p)
	}
	w.settle()
	for i, p := range w.m.Partitions {
		assert.Assert(t, !slices.Contains(replicaFolders(p), w.machines[2].folder), "partition %d", i)
		assert.Equal(t, len(p.Backups), 1)
		assert.Assert(t, p.Backups[0].Synced)
	}
}

// Without a turn store to spare, the one that leaves keeps its copies as a backup until it has gone.
func TestALeavingTurnStoreWithoutASpare(t *testing.T) {
	w := newWorld(t, nil, 2, 2, FaultTolerance{1, byNode})
	w.assign(w.input())
	w.machines[1].leaving = true
	w.settle()
	for _, p := range w.m.Partitions {
		assert.Equal(t, p.Primary, w.machines[0].folder)
		assert.Equal(t, len(p.Backups), 1)
	}
}

// A store whose disk fails is passed over as if it were lost, and comes back by reporting it no more.
func TestAFailingDiskIsPassedOver(t *testing.T) {
	w := newWorld(t, nil, 3, 3, FaultTolerance{1, byNode})
	w.assign(w.input())
	w.machines[1].unsound = true
	for range 100 {
		if !w.step() {
			break
		}
	}
	for _, p := range w.m.Partitions {
		assert.Assert(t, !slices.Contains(replicaFolders(p), w.machines[1].folder), "%v", p)
		assert.Equal(t, len(p.Backups), 1)
		assert.Assert(t, p.Backups[0].Synced)
	}
	w.machines[1].unsound = false
	w.settle()
	w.even(false)
}

// The last holder of a partition stays its primary though its disk fails: nobody else has all that was acknowledged.
func TestAFailingLastHolderIsWaitedFor(t *testing.T) {
	w := newWorld(t, nil, 2, 2, FaultTolerance{1, byNode})
	w.assign(w.input())
	w.machines[0].up = false
	w.settle()
	w.machines[1].unsound = true
	w.machines[0].up = true
	w.assign(w.input())
	for _, p := range w.m.Partitions {
		assert.Equal(t, p.Primary, w.machines[1].folder)
	}
	w.machines[1].unsound = false
	w.settle()
	w.even(false)
}

func TestAnAddedTurnStoreGetsItsShareAPieceAtATime(t *testing.T) {
	w := newWorld(t, nil, 3, 3, FaultTolerance{1, byNode})
	w.assign(w.input())
	w.add(3, 3)
	w.assign(w.input())
	extra := 0
	for _, p := range w.m.Partitions {
		extra += len(p.Backups) - 1
	}
	assert.Equal(t, extra, partitionCount/concurrentMoveDivisor)
	w.settle()
	w.even(false)
}

func TestReportsOfAnotherEpochOrOfOthersAreNotTaken(t *testing.T) {
	w := newWorld(t, nil, 3, 3, FaultTolerance{1, byNode})
	w.assign(w.input())
	w.machines[0].up = false
	w.assign(w.input())
	for i, p := range w.m.Partitions {
		for _, c := range p.Backups {
			if !c.Synced {
				w.reports = append(w.reports, []Report{
					{p.Primary, &tierv1.SyncedReplica{Partition: uint32(i), Epoch: p.Epoch - 1, Folder: c.Folder}},
					{c.Folder, &tierv1.SyncedReplica{Partition: uint32(i), Epoch: p.Epoch, Folder: c.Folder}},
					{p.Primary, &tierv1.SyncedReplica{Partition: uint32(i), Epoch: p.Epoch, Folder: "other"}},
					{p.Primary, &tierv1.SyncedReplica{Partition: 1 << 20, Epoch: p.Epoch, Folder: c.Folder}},
				}...)
			}
		}
	}
	assert.Assert(t, len(w.reports) > 0)
	assert.Assert(t, !w.assign(w.input()))
}
