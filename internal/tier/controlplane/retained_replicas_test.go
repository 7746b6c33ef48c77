package controlplane

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// The sessions of two turn stores expire one after the other, and the first of them loses its disk before the replicas that
// were added meanwhile are synced. The second has what was acknowledged before its session expired, and a replica being synced
// has what was acknowledged since.
func TestPlacement_LossAfterSessionExpiries(t *testing.T) {
	model := newModel(t, nil, 3, 3, FaultTolerance{1, byNode})
	model.assign(model.input())
	model.runUntilStable()
	serve := func() (served int) {
		for _, m := range model.machines {
			m.receiveMap(model)
		}
		for i := range model.partitionMap.Partitions {
			for _, m := range model.machines {
				if model.acknowledge(m, i) {
					served++
				}
			}
		}
		return served
	}
	first, second := model.machines[0], model.machines[1]
	first.partitioned = true
	assert.Assert(t, model.assign(model.input()))
	serve()
	first.partitioned, second.partitioned = false, true
	assert.Assert(t, model.assign(model.input()))
	serve()
	second.partitioned = false
	model.wipe(first, false)
	assert.Assert(t, model.assign(model.input()))
	model.reports = nil
	model.runUntilStable()
	assert.Equal(t, serve(), partitionCount)
	model.assertBalanced(false)
}

// After expiries of one session at a time, at any moment, and the loss of one disk, everything acknowledged is served again.
func TestPlacement_SessionExpiriesAreNoLosses(t *testing.T) {
	for seed := range uint64(40) {
		simulateSessionExpiries(t, mutant{}, seed)
	}
}

// simulateSessionExpiries is one run of TestPlacement_SessionExpiriesAreNoLosses.
func simulateSessionExpiries(t reporter, fault mutant, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 7))
	model := newMutantModel(t, fault, r, 3+r.IntN(3), 3, FaultTolerance{1, byNode})
	model.assign(model.input())
	model.runUntilStable()
	for range 4 {
		loss := r.IntN(30)
		for step := range 30 {
			for _, m := range model.machines {
				m.partitioned = false
			}
			if m := model.machines[r.IntN(len(model.machines))]; step == loss {
				model.tracef("%s loses its disk", m.node)
				model.wipe(m, r.IntN(3) == 0)
			} else if r.IntN(2) == 0 {
				model.tracef("the session of %s expires", m.node)
				m.partitioned = true
			}
			model.assign(model.input())
			if r.IntN(2) == 0 {
				model.reports = nil
			}
			for range r.IntN(8) {
				model.machines[r.IntN(len(model.machines))].receiveMap(model)
			}
			for range r.IntN(40) {
				model.syncReplica(model.machines[r.IntN(len(model.machines))], r.IntN(partitionCount))
				model.acknowledge(model.machines[r.IntN(len(model.machines))], r.IntN(partitionCount))
			}
			model.check(nil)
		}
		for _, m := range model.machines {
			m.partitioned = false
		}
		model.reports = nil
		model.runUntilStable()
		model.assertAllServed()
		model.assertBalanced(false)
	}
}

// assertAllServed checks that each partition has a primary that acknowledges a turn.
func (model *placementModel) assertAllServed() {
	model.t.Helper()
	for i, p := range model.partitionMap.Partitions {
		primary := model.machine(p.Primary)
		assert.Assert(model.t, primary != nil && len(p.RecoverFrom) == 0, "partition %d has no primary: %v\n%v", i, p, model.trace)
		assert.Assert(model.t, model.acknowledge(primary, i), "partition %d does not serve: %v\n%v", i, p, model.trace)
	}
}

// The sync of a replica stalls, and another turn store is tried for it; then the primary loses its disk. The replica that was
// replaced has what was acknowledged during its sync, and the one whose session had expired before has what was acknowledged
// earlier.
func TestPlacement_LossAfterStalledReplicaReplaced(t *testing.T) {
	model := newModel(t, nil, 4, 4, FaultTolerance{1, byNode})
	model.assign(model.input())
	model.runUntilStable()
	primary, expired := model.machines[0], model.machines[1]
	expired.partitioned = true
	assert.Assert(t, model.assign(model.input()))
	model.countServed()
	expired.partitioned = false
	in := model.input()
	in.Stalled = map[uint32]bool{}
	for i, p := range model.partitionMap.Partitions {
		in.Stalled[uint32(i)] = p.Primary == primary.folder && hasUnsynced(p)
	}
	in.Slow = in.Stalled
	for range 2 * (model.tolerance.Losses + 1) { // until other turn stores are tried for the replicas
		model.assign(in)
		model.countServed()
	}
	model.wipe(primary, false)
	model.reports = nil
	model.runUntilStable()
	model.assertAllServed()
	model.assertBalanced(false)
}

// Retained replicas are deleted once enough replicas are synced, or when their disks are lost.
func TestRetainedReplicas_Pruned(t *testing.T) {
	model := newModel(t, nil, 4, 4, FaultTolerance{1, byNode})
	model.assign(model.input())
	model.runUntilStable()
	retained := func() (n int) {
		for _, p := range model.partitionMap.Partitions {
			n += len(p.Retained)
		}
		return n
	}
	model.machines[0].partitioned = true
	model.assign(model.input())
	assert.Assert(t, retained() > 0)
	model.machines[0].partitioned = false
	model.wipe(model.machines[0], false)
	model.assign(model.input())
	assert.Equal(t, retained(), 0)
	model.runUntilStable()
	model.machines[1].partitioned = true
	model.assign(model.input())
	assert.Assert(t, retained() > 0)
	model.runUntilStable()
	assert.Equal(t, retained(), 0)
}
