package controlplane

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

func TestAssign_FirstMapIsBalancedAndStable(t *testing.T) {
	for n := 2; n < 8; n++ {
		for losses := 0; losses < min(n, 3); losses++ {
			w := newModel(t, nil, n, 3, FaultTolerance{losses, byNode})
			assert.Assert(t, w.assign(w.input()))
			assert.Equal(t, len(w.partitionMap.Partitions), partitionCount)
			w.assertBalanced(false)
			assert.Equal(t, w.runUntilStable(), 0, "a map at rest was changed")
		}
	}
}

func TestAssign_NoMapBeforeEnoughStoresOrDelay(t *testing.T) {
	w := newModel(t, nil, 1, 1, FaultTolerance{1, byNode})
	w.assign(w.input())
	assert.Equal(t, len(w.partitionMap.GetPartitions()), 0)
	w.add(1, 1)
	in := w.input()
	in.MayCreate = false
	w.assign(in)
	assert.Equal(t, len(w.partitionMap.GetPartitions()), 0)
	w.assign(w.input())
	assert.Equal(t, len(w.partitionMap.Partitions), partitionCount)
}

func TestAssign_ReplicasInDifferentDomains(t *testing.T) {
	w := newModel(t, nil, 7, 3, FaultTolerance{1, byZone})
	w.assign(w.input())
	w.assertBalanced(true)
	w.machines[0].up = false
	w.runUntilStable()
	w.assertBalanced(true)
	w.machines[0].up = true
	w.runUntilStable()
	w.assertBalanced(true)
}

func TestAssign_NoStoreLostWithinGrace(t *testing.T) {
	w := newModel(t, nil, 3, 3, FaultTolerance{1, byNode})
	w.assign(w.input())
	w.machines[1].up = false
	in := w.input()
	in.GraceOver = false
	assert.Assert(t, !w.assign(in))
}

func TestAssign_UnsyncedReplicaNeverBecomesPrimary(t *testing.T) {
	w := newModel(t, nil, 3, 3, FaultTolerance{1, byNode})
	w.assign(w.input())
	w.machines[0].up = false
	w.assign(w.input()) // the two that are left have each other's replicas, unsynced
	w.machines[1].up = false
	w.assign(w.input())
	w.assign(w.input())
	for _, p := range w.partitionMap.Partitions {
		if p.Primary == w.machines[2].folder {
			continue
		}
		assert.Equal(t, p.Primary, w.machines[1].folder)
	}
	w.machines[1].up = true
	w.machines[0].up = true
	w.runUntilStable()
	w.assertBalanced(false)
}

func TestAssign_OneLostStoreBlocksNothing(t *testing.T) {
	w := newModel(t, nil, 2, 2, FaultTolerance{1, byNode})
	w.assign(w.input())
	w.machines[0].up = false
	w.runUntilStable()
	for _, p := range w.partitionMap.Partitions {
		assert.Equal(t, p.Primary, w.machines[1].folder)
		assert.Equal(t, len(p.Backups), 0)
	}
	w.machines[0].up = true
	w.runUntilStable()
	w.assertBalanced(false)
}

func TestAssign_MoreLossesThanToleratedBlock(t *testing.T) {
	w := newModel(t, nil, 3, 3, FaultTolerance{1, byNode})
	w.assign(w.input())
	w.machines[0].up, w.machines[1].up = false, false
	w.assign(w.input())
	for i, p := range w.partitionMap.Partitions {
		all := replicaFolders(p)
		assert.Assert(t, len(all) == 2, "partition %d: %v", i, p)
	}
}

func TestAssign_NewFolderReplacesOld(t *testing.T) {
	w := newModel(t, nil, 3, 3, FaultTolerance{1, byNode})
	w.assign(w.input())
	w.machines[0].folder = "n0.2"
	in := w.input()
	in.GraceOver = false // the old one can't come back: no grace is due
	w.assign(in)
	for _, p := range w.partitionMap.Partitions {
		assert.Assert(t, !slices.Contains(replicaFolders(p), "n0.1"))
	}
	assert.Assert(t, !slices.ContainsFunc(w.partitionMap.StoreNodes, func(k *tierv1.StoreNode) bool { return k.Folder == "n0.1" }))
	w.runUntilStable()
	w.assertBalanced(false)
}

func TestAssign_RetiringStoreIsEmptied(t *testing.T) {
	w := newModel(t, nil, 3, 3, FaultTolerance{1, byNode})
	w.assign(w.input())
	w.partitionMap.Retiring = append(w.partitionMap.Retiring, "n1")
	assert.Equal(t, lifecycleState(w.partitionMap, "n1", 1), "in_progress")
	for range 1000 {
		w.assign(w.input())
		under := 0
		for i, p := range w.partitionMap.Partitions {
			if slices.ContainsFunc(p.Backups, func(c *tierv1.Replica) bool { return !c.Synced }) {
				under++
			}
			whole := 0
			for _, folder := range replicaFolders(p) {
				if w.complete(i, folder) {
					whole++
				}
			}
			assert.Assert(t, whole >= 2, "partition %d has fewer whole copies than before", i)
		}
		assert.Assert(t, under <= partitionCount/concurrentMoveDivisor)
		w.reports = nil
		for _, m := range w.machines {
			m.receiveMap(w)
			for i := range w.partitionMap.Partitions {
				w.syncReplica(m, i)
			}
		}
		if lifecycleState(w.partitionMap, "n1", 1) == "completed" {
			break
		}
	}
	assert.Equal(t, lifecycleState(w.partitionMap, "n1", 1), "completed")
	w.runUntilStable()
	w.assertBalanced(false)
	w.machines[1].up = false
	w.runUntilStable()
	assert.Assert(t, !slices.ContainsFunc(w.partitionMap.StoreNodes, func(k *tierv1.StoreNode) bool { return k.Node == "n1" }))
	assert.Equal(t, lifecycleState(w.partitionMap, "n1", 1), "completed")
}

func TestAssign_DrainingPrimaryFailsOver(t *testing.T) {
	w := newModel(t, nil, 3, 3, FaultTolerance{1, byNode})
	w.assign(w.input())
	w.machines[2].draining = true
	w.assign(w.input())
	for _, p := range w.partitionMap.Partitions {
		assert.Assert(t, p.Primary != w.machines[2].folder)
		left := findBackup(p, w.machines[2].folder) == nil
		assert.Equal(t, len(p.Backups), map[bool]int{true: 1, false: 2}[left], "a copy is made before it goes: %v", p)
	}
	w.runUntilStable()
	for i, p := range w.partitionMap.Partitions {
		assert.Assert(t, !slices.Contains(replicaFolders(p), w.machines[2].folder), "partition %d", i)
		assert.Equal(t, len(p.Backups), 1)
		assert.Assert(t, p.Backups[0].Synced)
	}
}

// Without a turn store to spare, the one that drains keeps its replicas as a backup until it has gone.
func TestAssign_DrainingStoreWithoutReplacementStaysBackup(t *testing.T) {
	w := newModel(t, nil, 2, 2, FaultTolerance{1, byNode})
	w.assign(w.input())
	w.machines[1].draining = true
	w.runUntilStable()
	for _, p := range w.partitionMap.Partitions {
		assert.Equal(t, p.Primary, w.machines[0].folder)
		assert.Equal(t, len(p.Backups), 1)
	}
}

// A store whose disk fails is passed over as if it were lost, and comes back by reporting it no more.
func TestAssign_FailingDiskCountsAsLost(t *testing.T) {
	w := newModel(t, nil, 3, 3, FaultTolerance{1, byNode})
	w.assign(w.input())
	w.machines[1].diskUnsound = true
	for range 100 {
		if !w.step() {
			break
		}
	}
	for _, p := range w.partitionMap.Partitions {
		assert.Assert(t, !slices.Contains(replicaFolders(p), w.machines[1].folder), "%v", p)
		assert.Equal(t, len(p.Backups), 1)
		assert.Assert(t, p.Backups[0].Synced)
	}
	w.machines[1].diskUnsound = false
	w.runUntilStable()
	w.assertBalanced(false)
}

// The last holder of a partition stays its primary though its disk fails: nobody else has all that was acknowledged.
func TestAssign_LastReplicaOnFailingDiskStaysPrimary(t *testing.T) {
	w := newModel(t, nil, 2, 2, FaultTolerance{1, byNode})
	w.assign(w.input())
	w.machines[0].up = false
	w.runUntilStable()
	w.machines[1].diskUnsound = true
	w.machines[0].up = true
	w.assign(w.input())
	for _, p := range w.partitionMap.Partitions {
		assert.Equal(t, p.Primary, w.machines[1].folder)
	}
	w.machines[1].diskUnsound = false
	w.runUntilStable()
	w.assertBalanced(false)
}

func TestAssign_NewStoreFilledGradually(t *testing.T) {
	w := newModel(t, nil, 3, 3, FaultTolerance{1, byNode})
	w.assign(w.input())
	w.add(3, 3)
	w.assign(w.input())
	extra := 0
	for _, p := range w.partitionMap.Partitions {
		extra += len(p.Backups) - 1
	}
	assert.Equal(t, extra, partitionCount/concurrentMoveDivisor)
	w.runUntilStable()
	w.assertBalanced(false)
}

func TestAssign_ReportsOfOtherEpochsOrStoresIgnored(t *testing.T) {
	w := newModel(t, nil, 3, 3, FaultTolerance{1, byNode})
	w.assign(w.input())
	w.machines[0].up = false
	w.assign(w.input())
	for i, p := range w.partitionMap.Partitions {
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
