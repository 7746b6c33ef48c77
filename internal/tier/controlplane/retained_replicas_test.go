package controlplane

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// The sessions of two turn stores expire one after the other, and the first of them loses its disk before the replicas that
// were made meanwhile are synced: the second has what was acknowledged before, a replica being synced what came since.
func TestPlacement_LossAfterSessionExpiries(t *testing.T) {
	w := newModel(t, nil, 3, 3, FaultTolerance{1, byNode})
	w.assign(w.input())
	w.runUntilStable()
	serve := func() (served int) {
		for _, m := range w.machines {
			m.receiveMap(w)
		}
		for i := range w.partitionMap.Partitions {
			for _, m := range w.machines {
				if w.acknowledge(m, i) {
					served++
				}
			}
		}
		return served
	}
	first, second := w.machines[0], w.machines[1]
	first.partitioned = true
	assert.Assert(t, w.assign(w.input()))
	serve()
	first.partitioned, second.partitioned = false, true
	assert.Assert(t, w.assign(w.input()))
	serve()
	second.partitioned = false
	w.wipe(first, false)
	assert.Assert(t, w.assign(w.input()))
	w.reports = nil
	w.runUntilStable()
	assert.Equal(t, serve(), partitionCount)
	w.assertBalanced(false)
}

// Expiries of one session at a time, at any moment, and the loss of one disk: everything acknowledged is served again.
func TestPlacement_SessionExpiriesAreNoLosses(t *testing.T) {
	for seed := range uint64(40) {
		playSessionExpiries(t, mutant{}, seed)
	}
}

// playSessionExpiries is one play of TestLapsesAreNoLosses.
func playSessionExpiries(t reporter, fault mutant, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 7))
	w := newMutantModel(t, fault, r, 3+r.IntN(3), 3, FaultTolerance{1, byNode})
	w.assign(w.input())
	w.runUntilStable()
	for range 4 {
		loss := r.IntN(30)
		for step := range 30 {
			for _, m := range w.machines {
				m.partitioned = false
			}
			if m := w.machines[r.IntN(len(w.machines))]; step == loss {
				w.tracef("%s loses its disk", m.node)
				w.wipe(m, r.IntN(3) == 0)
			} else if r.IntN(2) == 0 {
				w.tracef("%s lapses", m.node)
				m.partitioned = true
			}
			w.assign(w.input())
			if r.IntN(2) == 0 {
				w.reports = nil
			}
			for range r.IntN(8) {
				w.machines[r.IntN(len(w.machines))].receiveMap(w)
			}
			for range r.IntN(40) {
				w.syncReplica(w.machines[r.IntN(len(w.machines))], r.IntN(partitionCount))
				w.acknowledge(w.machines[r.IntN(len(w.machines))], r.IntN(partitionCount))
			}
			w.check(nil)
		}
		for _, m := range w.machines {
			m.partitioned = false
		}
		w.reports = nil
		w.runUntilStable()
		w.assertAllServed()
		w.assertBalanced(false)
	}
}

// assertAllServed checks that each partition has a primary that acknowledges a turn.
func (w *placementModel) assertAllServed() {
	w.t.Helper()
	for i, p := range w.partitionMap.Partitions {
		primary := w.machine(p.Primary)
		assert.Assert(w.t, primary != nil && len(p.RecoverFrom) == 0, "partition %d has no primary: %v\n%v", i, p, w.trace)
		assert.Assert(w.t, w.acknowledge(primary, i), "partition %d does not serve: %v\n%v", i, p, w.trace)
	}
}

// A replica being synced makes no progress, and another turn store is tried for it; then the primary loses its disk. The replica that was
// given up has what was acknowledged while it was under way, and the one that had expired before what came earlier.
func TestPlacement_LossAfterStalledReplicaReplaced(t *testing.T) {
	w := newModel(t, nil, 4, 4, FaultTolerance{1, byNode})
	w.assign(w.input())
	w.runUntilStable()
	primary, lapsed := w.machines[0], w.machines[1]
	lapsed.partitioned = true
	assert.Assert(t, w.assign(w.input()))
	w.countServed()
	lapsed.partitioned = false
	in := w.input()
	in.Stalled = map[uint32]bool{}
	for i, p := range w.partitionMap.Partitions {
		in.Stalled[uint32(i)] = p.Primary == primary.folder && hasUnsynced(p)
	}
	in.Slow = in.Stalled
	for range 2 * (w.tolerance.Losses + 1) { // until other turn stores are tried for the replicas
		w.assign(in)
		w.countServed()
	}
	w.wipe(primary, false)
	w.reports = nil
	w.runUntilStable()
	w.assertAllServed()
	w.assertBalanced(false)
}

// What was retained is forgotten once enough replicas are synced, and with its disk.
func TestRetainedReplicas_Pruned(t *testing.T) {
	w := newModel(t, nil, 4, 4, FaultTolerance{1, byNode})
	w.assign(w.input())
	w.runUntilStable()
	retained := func() (n int) {
		for _, p := range w.partitionMap.Partitions {
			n += len(p.Retained)
		}
		return n
	}
	w.machines[0].partitioned = true
	w.assign(w.input())
	assert.Assert(t, retained() > 0)
	w.machines[0].partitioned = false
	w.wipe(w.machines[0], false)
	w.assign(w.input())
	assert.Equal(t, retained(), 0)
	w.runUntilStable()
	w.machines[1].partitioned = true
	w.assign(w.input())
	assert.Assert(t, retained() > 0)
	w.runUntilStable()
	assert.Equal(t, retained(), 0)
}
