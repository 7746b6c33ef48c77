package controlplane

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// modelWhileRetiring returns a model of three machines with one loss to tolerate, in which the first is being emptied when the
// second becomes unresponsive for longer than the wait.
func modelWhileRetiring(t *testing.T) *placementModel {
	model := newModel(t, nil, 3, 3, FaultTolerance{1, byNode})
	model.assign(model.input())
	model.runUntilStable()
	model.retire(model.machines[0])
	model.step()
	model.machines[1].partitioned = true
	return model
}

// countReplicas counts the partitions that have a replica on a machine.
func (model *placementModel) countReplicas(m *modelMachine) (n int) {
	for _, p := range model.partitionMap.Partitions {
		if slices.Contains(replicaFolders(p), m.folder) {
			n++
		}
	}
	return n
}

// A machine that is being emptied takes second replicas if no other can, and does not count as empty before others have them.
func TestSubstitute_RetiringStoreTakesReplicas(t *testing.T) {
	model := modelWhileRetiring(t)
	emptied, unresponsive, last := model.machines[0], model.machines[1], model.machines[2]
	model.assign(model.input())
	for i, p := range model.partitionMap.Partitions {
		assert.Equal(t, len(replicaFolders(p)), 2, "partition %d: %v", i, p)
		assert.Assert(t, slices.Contains(replicaFolders(p), emptied.folder) && slices.Contains(replicaFolders(p), last.folder), "partition %d: %v", i, p)
	}
	for range 5 {
		model.step()
	}
	assert.Equal(t, model.countServed(), partitionCount)
	assert.Equal(t, model.countReplicas(emptied), partitionCount)
	assert.Equal(t, lifecycleState(model.partitionMap, emptied.node, model.tolerance.Losses), retireInProgress)

	unresponsive.partitioned = false
	model.runUntilStable()
	assert.Equal(t, model.countReplicas(emptied), 0)
	assert.Equal(t, lifecycleState(model.partitionMap, emptied.node, model.tolerance.Losses), retireCompleted)
	model.checkRetired(emptied)
	model.assertBalanced(false)
}

// The machine with the only other replicas is lost for good meanwhile: the machine that is being emptied serves what was
// acknowledged, though the unresponsive machine has not returned.
func TestSubstitute_ServesAfterLoss(t *testing.T) {
	for _, synced := range []bool{true, false} {
		model := modelWhileRetiring(t)
		model.assign(model.input())
		model.countServed() // in the epoch of the substitutes
		if synced {
			for range 3 {
				model.step()
			}
			model.countServed()
		}
		model.wipe(model.machines[2], true)
		model.machines[1].partitioned = synced // without sync, the unresponsive machine returns and has what the replicas being synced lack
		model.reports = nil
		model.runUntilStable()
		assert.Equal(t, model.countServed(), partitionCount, "synced: %v", synced)
	}
}

// A machine that was reported empty may be removed at any moment, and so must not be a substitute.
func TestSubstitute_NotEmptiedStore(t *testing.T) {
	model := newModel(t, nil, 3, 3, FaultTolerance{1, byNode})
	model.assign(model.input())
	model.runUntilStable()
	model.retire(model.machines[0])
	model.runUntilStable()
	model.partitionMap.Retired = newlyRetired(model.partitionMap, model.tolerance.Losses)
	assert.DeepEqual(t, model.partitionMap.Retired, []string{model.machines[0].node})
	model.machines[1].partitioned = true
	model.assign(model.input())
	assert.Equal(t, model.countReplicas(model.machines[0]), 0)
}

// A machine that is being emptied and is draining must not be a substitute either, and its replicas do not count as staying.
func TestSubstitute_NotDrainingStore(t *testing.T) {
	model := modelWhileRetiring(t)
	model.machines[0].draining = true
	before := model.countReplicas(model.machines[0])
	model.assign(model.input())
	assert.Equal(t, model.countReplicas(model.machines[0]), before)
}

// If another turn store can take a replica, none that is being emptied gets one.
func TestSubstitute_StayingStorePreferred(t *testing.T) {
	model := newModel(t, nil, 4, 4, FaultTolerance{1, byNode})
	model.assign(model.input())
	model.runUntilStable()
	model.retire(model.machines[0])
	for range 20 {
		before := slices.Clone(model.partitionMap.Partitions)
		model.machines[1].partitioned = true
		model.step()
		for i, p := range model.partitionMap.Partitions {
			had := slices.Contains(replicaFolders(before[i]), model.machines[0].folder)
			has := slices.ContainsFunc(p.Backups, func(c *tierv1.Replica) bool { return c.Folder == model.machines[0].folder })
			assert.Assert(t, had || !has, "partition %d: %v", i, p)
		}
	}
}
