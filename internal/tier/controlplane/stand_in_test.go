package controlplane

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// whileEmptied gives three machines, one loss to be borne, and the first being emptied as the second falls silent for longer
// than is waited for.
func whileEmptied(t *testing.T) *world {
	w := newWorld(t, nil, 3, 3, FaultTolerance{1, byNode})
	w.assign(w.input())
	w.settle()
	w.retire(w.machines[0])
	w.step()
	w.machines[1].cut = true
	return w
}

// rests counts the partitions that have a copy on a machine.
func (w *world) rests(m *machine) (n int) {
	for _, p := range w.m.Partitions {
		if slices.Contains(replicaFolders(p), m.folder) {
			n++
		}
	}
	return n
}

// A machine that is being emptied takes the second copies where no other can, and is not empty before others have them.
func TestAMachineBeingEmptiedStandsIn(t *testing.T) {
	w := whileEmptied(t)
	emptied, silent, last := w.machines[0], w.machines[1], w.machines[2]
	w.assign(w.input())
	for i, p := range w.m.Partitions {
		assert.Equal(t, len(replicaFolders(p)), 2, "partition %d: %v", i, p)
		assert.Assert(t, slices.Contains(replicaFolders(p), emptied.folder) && slices.Contains(replicaFolders(p), last.folder), "partition %d: %v", i, p)
	}
	for range 5 {
		w.step()
	}
	assert.Equal(t, w.served(), partitionCount)
	assert.Equal(t, w.rests(emptied), partitionCount)
	assert.Equal(t, lifecycleState(w.m, emptied.node, w.spread.Losses), retireInProgress)

	silent.cut = false
	w.settle()
	assert.Equal(t, w.rests(emptied), 0)
	assert.Equal(t, lifecycleState(w.m, emptied.node, w.spread.Losses), retireCompleted)
	w.checkRetired(emptied)
	w.even(false)
}

// The machine that holds the only other copies is lost for good meanwhile: what was acknowledged is served by the one that is
// being emptied, though the silent one has not returned.
func TestALossWhileAMachineBeingEmptiedStandsIn(t *testing.T) {
	for _, synced := range []bool{true, false} {
		w := whileEmptied(t)
		w.assign(w.input())
		w.served() // in the epoch of the stand-ins
		if synced {
			for range 3 {
				w.step()
			}
			w.served()
		}
		w.wipe(w.machines[2], true)
		w.machines[1].cut = synced // copies under way cover what the silent one has not, and it the rest
		w.reports = nil
		w.settle()
		assert.Equal(t, w.served(), partitionCount, "synced: %v", synced)
	}
}

// A machine that was told to be empty may be taken away at any moment: it stands in for none.
func TestAnEmptiedMachineDoesNotStandIn(t *testing.T) {
	w := newWorld(t, nil, 3, 3, FaultTolerance{1, byNode})
	w.assign(w.input())
	w.settle()
	w.retire(w.machines[0])
	w.settle()
	w.m.Retired = newlyRetired(w.m, w.spread.Losses)
	assert.DeepEqual(t, w.m.Retired, []string{w.machines[0].node})
	w.machines[1].cut = true
	w.assign(w.input())
	assert.Equal(t, w.rests(w.machines[0]), 0)
}

// One that is being emptied and has heard SIGTERM does not stand in either, nor is it counted as a copy that stays.
func TestALeavingMachineDoesNotStandIn(t *testing.T) {
	w := whileEmptied(t)
	w.machines[0].leaving = true
	before := w.rests(w.machines[0])
	w.assign(w.input())
	assert.Equal(t, w.rests(w.machines[0]), before)
}

// Where a turn store stays, none that is being emptied gets a copy.
func TestATurnStoreThatStaysIsPreferred(t *testing.T) {
	w := newWorld(t, nil, 4, 4, FaultTolerance{1, byNode})
	w.assign(w.input())
	w.settle()
	w.retire(w.machines[0])
	for range 20 {
		before := slices.Clone(w.m.Partitions)
		w.machines[1].cut = true
		w.step()
		for i, p := range w.m.Partitions {
			had := slices.Contains(replicaFolders(before[i]), w.machines[0].folder)
			has := slices.ContainsFunc(p.Backups, func(c *tierv1.Replica) bool { return c.Folder == w.machines[0].folder })
			assert.Assert(t, had || !has, "partition %d: %v", i, p)
		}
	}
}
