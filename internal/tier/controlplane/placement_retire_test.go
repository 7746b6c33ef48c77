package controlplane

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// wipe replaces a machine by an empty one: of the same name, or of another.
func (w *placementModel) wipe(m *modelMachine, renamed bool) {
	for i := range w.facts {
		delete(w.facts[i], m.folder)
	}
	m.incarnations++
	if renamed {
		m.node = fmt.Sprint(m.node, "r")
	}
	m.folder, m.known, m.up = fmt.Sprint(m.node, ".", m.incarnations), nil, true
}

// retire takes the order to empty a machine.
func (w *placementModel) retire(m *modelMachine) {
	w.partitionMap = proto.Clone(w.partitionMap).(*tierv1.PartitionMap)
	w.partitionMap.Retiring = append(w.partitionMap.Retiring, m.node)
}

// step gives all machines the newest map, lets them sync, and gives control what was reported. It returns whether the map has changed.
func (w *placementModel) step() bool {
	for _, m := range w.machines {
		m.receiveMap(w)
	}
	for _, m := range w.machines {
		for i := range w.partitionMap.Partitions {
			w.syncReplica(m, i)
			w.acknowledge(m, i)
		}
	}
	w.now = w.now.Add(stepTime)
	changed := w.assign(w.input())
	w.reports = nil
	return changed
}

// retireCompletes returns the steps after which an order to retire is completed, or false after limit.
func (w *placementModel) retireCompletes(m *modelMachine, limit int) (int, bool) {
	for n := range limit {
		if lifecycleState(w.partitionMap, m.node, w.tolerance.Losses) == "completed" {
			return n, true
		}
		w.step()
	}
	return limit, false
}

// TestPlacement_RetireCompletesAfterOtherLosses plays losses, wipes and replacements in turn, then orders one machine to be emptied while at
// most as many others as may be lost are away: down for good, or alive to control and out of reach of the turn stores.
func TestPlacement_RetireCompletesAfterOtherLosses(t *testing.T) {
	const limit = int(60 * time.Second / stepTime)
	const seeds = 60
	worst, late := 0, 0
	for seed := range uint64(seeds) {
		r := rand.New(rand.NewPCG(seed, 7))
		losses := 1 + r.IntN(2)
		w := newModel(t, r, 2*losses+2+r.IntN(2), 3, FaultTolerance{losses, byNode})
		w.assign(w.input())
		w.runUntilStable()
		for range r.IntN(6) {
			m := w.machines[r.IntN(len(w.machines))]
			switch r.IntN(3) {
			case 0:
				w.tracef("%s is wiped", m.node)
				w.wipe(m, false)
			case 1:
				w.tracef("%s is replaced by another", m.node)
				w.wipe(m, true)
			case 2:
				w.tracef("%s stops and comes back", m.node)
				m.up, m.known = false, nil
				for range r.IntN(4) {
					w.step()
				}
				m.up = true
			}
			w.runUntilStable()
		}
		order := r.Perm(len(w.machines))
		retired := w.machines[order[0]]
		for range r.IntN(3) { // the last loss may not be made good yet
			w.step()
		}
		for _, i := range order[1 : 1+losses] {
			m := w.machines[i]
			switch r.IntN(3) {
			case 0:
				w.tracef("%s goes down for good", m.node)
				m.up, m.known = false, nil
			case 1:
				w.tracef("%s is out of the others' reach", m.node)
				m.unreachable = true
			}
		}
		w.tracef("%s is to be emptied", retired.node)
		w.retire(retired)
		n, ended := w.retireCompletes(retired, limit)
		if worst = max(worst, n); !ended {
			late++
			t.Errorf("seed %d: %v", seed, w.trace)
		}
		if ended {
			w.checkRetired(retired)
		}
	}
	t.Logf("worst %v, %d of %d later than %v", time.Duration(worst)*stepTime, late, seeds, time.Duration(limit)*stepTime)
}

// checkRetired holds a completed order against what the machines hold: each partition has its replicas, whole and elsewhere.
func (w *placementModel) checkRetired(m *modelMachine) {
	w.t.Helper()
	for i, p := range w.partitionMap.Partitions {
		held := 0
		for _, folder := range replicaFolders(p) {
			assert.Assert(w.t, folder != m.folder)
			if w.complete(i, folder) {
				held++
			}
		}
		assert.Assert(w.t, held > w.tolerance.Losses, "partition %d: completed with %d whole copies elsewhere\n%v", i, held, w.trace)
	}
	assert.Assert(w.t, slices.Contains(w.partitionMap.Retiring, m.node))
}
