package controlplane

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// modelWhileRetiring returns three machines, one loss to be tolerated, and the first being emptied as the second becomes unresponsive for longer
// than is waited for.
func modelWhileRetiring(t *testing.T) *placementModel {
	w := newModel(t, nil, 3, 3, FaultTolerance{1, byNode})
	w.assign(w.input())
	w.runUntilStable()
	w.retire(w.machines[0])
	w.step()
	w.machines[1].partitioned = true
	return w
}

// countReplicas counts the partitions that have a replica on a machine.
func (w *placementModel) countReplicas(m *modelMachine) (n int) {
	for _, p := range w.partitionMap.Partitions {
		if slices.Contains(replicaFolders(p), m.folder) {
			n++
		}
	}
	return n
}

// A machine that is being emptied takes the second replicas where no other can, and is not empty before others have them.
func TestSubstitute_RetiringStoreTakesReplicas(t *testing.T) {
	w := modelWhileRetiring(t)
	emptied, silent, last := w.machines[0], w.machines[1], w.machines[2]
	w.assign(w.input())
	for i, p := range w.partitionMap.Partitions {
		assert.Equal(t, len(replicaFolders(p)), 2, "partition %d: %v", i, p)
		assert.Assert(t, slices.Contains(replicaFolders(p), emptied.folder) && slices.Contains(replicaFolders(p), last.folder), "partition %d: %v", i, p)
	}
	for range 5 {
		w.step()
	}
	assert.Equal(t, w.countServed(), partitionCount)
	assert.Equal(t, w.countReplicas(emptied), partitionCount)
	assert.Equal(t, lifecycleState(w.partitionMap, emptied.node, w.tolerance.Losses), retireInProgress)

	silent.partitioned = false
	w.runUntilStable()
	assert.Equal(t, w.countReplicas(emptied), 0)
	assert.Equal(t, lifecycleState(w.partitionMap, emptied.node, w.tolerance.Losses), retireCompleted)
	w.checkRetired(emptied)
	w.assertBalanced(false)
}

// The machine that holds the only other replicas is lost for good meanwhile: what was acknowledged is served by the one that is
// being emptied, though the unresponsive one has not returned.
func TestSubstitute_ServesAfterLoss(t *testing.T) {
	for _, synced := range []bool{true, false} {
		w := modelWhileRetiring(t)
		w.assign(w.input())
		w.countServed() // in the epoch of the substitutes
		if synced {
			for range 3 {
				w.step()
			}
			w.countServed()
		}
		w.wipe(w.machines[2], true)
		w.machines[1].partitioned = synced // replicas being synced cover what the unresponsive one has not, and it the rest
		w.reports = nil
		w.runUntilStable()
		assert.Equal(t, w.countServed(), partitionCount, "synced: %v", synced)
	}
}

// A machine that was reported empty may be removed at any moment: it is a substitute for none.
func TestSubstitute_NotEmptiedStore(t *testing.T) {
	w := newModel(t, nil, 3, 3, FaultTolerance{1, byNode})
	w.assign(w.input())
	w.runUntilStable()
	w.retire(w.machines[0])
	w.runUntilStable()
	w.partitionMap.Retired = newlyRetired(w.partitionMap, w.tolerance.Losses)
	assert.DeepEqual(t, w.partitionMap.Retired, []string{w.machines[0].node})
	w.machines[1].partitioned = true
	w.assign(w.input())
	assert.Equal(t, w.countReplicas(w.machines[0]), 0)
}

// One that is being emptied and is draining is no substitute either, nor is it counted as a replica that stays.
func TestSubstitute_NotDrainingStore(t *testing.T) {
	w := modelWhileRetiring(t)
	w.machines[0].draining = true
	before := w.countReplicas(w.machines[0])
	w.assign(w.input())
	assert.Equal(t, w.countReplicas(w.machines[0]), before)
}

// Where a turn store stays, none that is being emptied gets a replica.
func TestSubstitute_StayingStorePreferred(t *testing.T) {
	w := newModel(t, nil, 4, 4, FaultTolerance{1, byNode})
	w.assign(w.input())
	w.runUntilStable()
	w.retire(w.machines[0])
	for range 20 {
		before := slices.Clone(w.partitionMap.Partitions)
		w.machines[1].partitioned = true
		w.step()
		for i, p := range w.partitionMap.Partitions {
			had := slices.Contains(replicaFolders(before[i]), w.machines[0].folder)
			has := slices.ContainsFunc(p.Backups, func(c *tierv1.Replica) bool { return c.Folder == w.machines[0].folder })
			assert.Assert(t, had || !has, "partition %d: %v", i, p)
		}
	}
}
