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
			model := newModel(t, nil, n, 3, FaultTolerance{losses, byNode})
			assert.Assert(t, model.assign(model.input()))
			assert.Equal(t, len(model.partitionMap.Partitions), partitionCount)
			model.assertBalanced(false)
			assert.Equal(t, model.runUntilStable(), 0, "a stable map was changed")
		}
	}
}

func TestAssign_NoMapBeforeEnoughStoresOrDelay(t *testing.T) {
	model := newModel(t, nil, 1, 1, FaultTolerance{1, byNode})
	model.assign(model.input())
	assert.Equal(t, len(model.partitionMap.GetPartitions()), 0)
	model.add(1, 1)
	in := model.input()
	in.MayCreate = false
	model.assign(in)
	assert.Equal(t, len(model.partitionMap.GetPartitions()), 0)
	model.assign(model.input())
	assert.Equal(t, len(model.partitionMap.Partitions), partitionCount)
}

func TestAssign_ReplicasInDifferentDomains(t *testing.T) {
	model := newModel(t, nil, 7, 3, FaultTolerance{1, byZone})
	model.assign(model.input())
	model.assertBalanced(true)
	model.machines[0].up = false
	model.runUntilStable()
	model.assertBalanced(true)
	model.machines[0].up = true
	model.runUntilStable()
	model.assertBalanced(true)
}

func TestAssign_NoStoreLostWithinGrace(t *testing.T) {
	model := newModel(t, nil, 3, 3, FaultTolerance{1, byNode})
	model.assign(model.input())
	model.machines[1].up = false
	in := model.input()
	in.GraceOver = false
	assert.Assert(t, !model.assign(in))
}

func TestAssign_UnsyncedReplicaNeverBecomesPrimary(t *testing.T) {
	model := newModel(t, nil, 3, 3, FaultTolerance{1, byNode})
	model.assign(model.input())
	model.machines[0].up = false
	model.assign(model.input()) // the two remaining machines have unsynced replicas of each other's partitions
	model.machines[1].up = false
	model.assign(model.input())
	model.assign(model.input())
	for _, p := range model.partitionMap.Partitions {
		if p.Primary == model.machines[2].folder {
			continue
		}
		assert.Equal(t, p.Primary, model.machines[1].folder)
	}
	model.machines[1].up = true
	model.machines[0].up = true
	model.runUntilStable()
	model.assertBalanced(false)
}

func TestAssign_OneLostStoreBlocksNothing(t *testing.T) {
	model := newModel(t, nil, 2, 2, FaultTolerance{1, byNode})
	model.assign(model.input())
	model.machines[0].up = false
	model.runUntilStable()
	for _, p := range model.partitionMap.Partitions {
		assert.Equal(t, p.Primary, model.machines[1].folder)
		assert.Equal(t, len(p.Backups), 0)
	}
	model.machines[0].up = true
	model.runUntilStable()
	model.assertBalanced(false)
}

func TestAssign_MoreLossesThanToleratedBlock(t *testing.T) {
	model := newModel(t, nil, 3, 3, FaultTolerance{1, byNode})
	model.assign(model.input())
	model.machines[0].up, model.machines[1].up = false, false
	model.assign(model.input())
	for i, p := range model.partitionMap.Partitions {
		all := replicaFolders(p)
		assert.Assert(t, len(all) == 2, "partition %d: %v", i, p)
	}
}

func TestAssign_NewFolderReplacesOld(t *testing.T) {
	model := newModel(t, nil, 3, 3, FaultTolerance{1, byNode})
	model.assign(model.input())
	model.machines[0].folder = "n0.2"
	in := model.input()
	in.GraceOver = false // the old folder can't come back, so the grace does not apply
	model.assign(in)
	for _, p := range model.partitionMap.Partitions {
		assert.Assert(t, !slices.Contains(replicaFolders(p), "n0.1"))
	}
	assert.Assert(t, !slices.ContainsFunc(model.partitionMap.StoreNodes, func(k *tierv1.StoreNode) bool { return k.Folder == "n0.1" }))
	model.runUntilStable()
	model.assertBalanced(false)
}

func TestAssign_RetiringStoreIsEmptied(t *testing.T) {
	model := newModel(t, nil, 3, 3, FaultTolerance{1, byNode})
	model.assign(model.input())
	model.partitionMap.Retiring = append(model.partitionMap.Retiring, "n1")
	assert.Equal(t, lifecycleState(model.partitionMap, "n1", 1), "in_progress")
	for range 1000 {
		model.assign(model.input())
		syncing := 0
		for i, p := range model.partitionMap.Partitions {
			if slices.ContainsFunc(p.Backups, func(c *tierv1.Replica) bool { return !c.Synced }) {
				syncing++
			}
			synced := 0
			for _, folder := range replicaFolders(p) {
				if model.complete(i, folder) {
					synced++
				}
			}
			assert.Assert(t, synced >= 2, "partition %d has fewer synced replicas than before", i)
		}
		assert.Assert(t, syncing <= partitionCount/concurrentMoveDivisor)
		model.reports = nil
		for _, m := range model.machines {
			m.receiveMap(model)
			for i := range model.partitionMap.Partitions {
				model.syncReplica(m, i)
			}
		}
		if lifecycleState(model.partitionMap, "n1", 1) == "completed" {
			break
		}
	}
	assert.Equal(t, lifecycleState(model.partitionMap, "n1", 1), "completed")
	model.runUntilStable()
	model.assertBalanced(false)
	model.machines[1].up = false
	model.runUntilStable()
	assert.Assert(t, !slices.ContainsFunc(model.partitionMap.StoreNodes, func(k *tierv1.StoreNode) bool { return k.Node == "n1" }))
	assert.Equal(t, lifecycleState(model.partitionMap, "n1", 1), "completed")
}

func TestAssign_DrainingPrimaryFailsOver(t *testing.T) {
	model := newModel(t, nil, 3, 3, FaultTolerance{1, byNode})
	model.assign(model.input())
	model.machines[2].draining = true
	model.assign(model.input())
	for _, p := range model.partitionMap.Partitions {
		assert.Assert(t, p.Primary != model.machines[2].folder)
		dropped := findBackup(p, model.machines[2].folder) == nil
		assert.Equal(t, len(p.Backups), map[bool]int{true: 1, false: 2}[dropped], "the draining store must stay a backup until its replacement is added: %v", p)
	}
	model.runUntilStable()
	for i, p := range model.partitionMap.Partitions {
		assert.Assert(t, !slices.Contains(replicaFolders(p), model.machines[2].folder), "partition %d", i)
		assert.Equal(t, len(p.Backups), 1)
		assert.Assert(t, p.Backups[0].Synced)
	}
}

// Without a replacement, a draining turn store keeps its replicas as a backup until it has stopped.
func TestAssign_DrainingStoreWithoutReplacementStaysBackup(t *testing.T) {
	model := newModel(t, nil, 2, 2, FaultTolerance{1, byNode})
	model.assign(model.input())
	model.machines[1].draining = true
	model.runUntilStable()
	for _, p := range model.partitionMap.Partitions {
		assert.Equal(t, p.Primary, model.machines[0].folder)
		assert.Equal(t, len(p.Backups), 1)
	}
}

// A turn store with a failing disk counts as lost until it no longer reports the failure.
func TestAssign_FailingDiskCountsAsLost(t *testing.T) {
	model := newModel(t, nil, 3, 3, FaultTolerance{1, byNode})
	model.assign(model.input())
	model.machines[1].diskUnsound = true
	for range 100 {
		if !model.step() {
			break
		}
	}
	for _, p := range model.partitionMap.Partitions {
		assert.Assert(t, !slices.Contains(replicaFolders(p), model.machines[1].folder), "%v", p)
		assert.Equal(t, len(p.Backups), 1)
		assert.Assert(t, p.Backups[0].Synced)
	}
	model.machines[1].diskUnsound = false
	model.runUntilStable()
	model.assertBalanced(false)
}

// The last replica of a partition stays its primary though its disk fails, as no other has everything that was acknowledged.
func TestAssign_LastReplicaOnFailingDiskStaysPrimary(t *testing.T) {
	model := newModel(t, nil, 2, 2, FaultTolerance{1, byNode})
	model.assign(model.input())
	model.machines[0].up = false
	model.runUntilStable()
	model.machines[1].diskUnsound = true
	model.machines[0].up = true
	model.assign(model.input())
	for _, p := range model.partitionMap.Partitions {
		assert.Equal(t, p.Primary, model.machines[1].folder)
	}
	model.machines[1].diskUnsound = false
	model.runUntilStable()
	model.assertBalanced(false)
}

func TestAssign_NewStoreFilledGradually(t *testing.T) {
	model := newModel(t, nil, 3, 3, FaultTolerance{1, byNode})
	model.assign(model.input())
	model.add(3, 3)
	model.assign(model.input())
	extra := 0
	for _, p := range model.partitionMap.Partitions {
		extra += len(p.Backups) - 1
	}
	assert.Equal(t, extra, partitionCount/concurrentMoveDivisor)
	model.runUntilStable()
	model.assertBalanced(false)
}

func TestAssign_ReportsOfOtherEpochsOrStoresIgnored(t *testing.T) {
	model := newModel(t, nil, 3, 3, FaultTolerance{1, byNode})
	model.assign(model.input())
	model.machines[0].up = false
	model.assign(model.input())
	for i, p := range model.partitionMap.Partitions {
		for _, c := range p.Backups {
			if !c.Synced {
				model.reports = append(model.reports, []Report{
					{p.Primary, &tierv1.SyncedReplica{Partition: uint32(i), Epoch: p.Epoch - 1, Folder: c.Folder}},
					{c.Folder, &tierv1.SyncedReplica{Partition: uint32(i), Epoch: p.Epoch, Folder: c.Folder}},
					{p.Primary, &tierv1.SyncedReplica{Partition: uint32(i), Epoch: p.Epoch, Folder: "other"}},
					{p.Primary, &tierv1.SyncedReplica{Partition: 1 << 20, Epoch: p.Epoch, Folder: c.Folder}},
				}...)
			}
		}
	}
	assert.Assert(t, len(model.reports) > 0)
	assert.Assert(t, !model.assign(model.input()))
}
