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

// wipe replaces a machine by an empty one, with the same name or another.
func (model *placementModel) wipe(m *modelMachine, renamed bool) {
	for i := range model.facts {
		delete(model.facts[i], m.folder)
	}
	m.incarnations++
	if renamed {
		m.node = fmt.Sprint(m.node, "r")
	}
	m.folder, m.received, m.up = fmt.Sprint(m.node, ".", m.incarnations), nil, true
}

// retire adds the order to empty a machine.
func (model *placementModel) retire(m *modelMachine) {
	model.partitionMap = proto.Clone(model.partitionMap).(*tierv1.PartitionMap)
	model.partitionMap.Retiring = append(model.partitionMap.Retiring, m.node)
}

// step gives all machines the newest map, lets them sync, and passes their reports to Assign. It returns whether the map has
// changed.
func (model *placementModel) step() bool {
	for _, m := range model.machines {
		m.receiveMap(model)
	}
	for _, m := range model.machines {
		for i := range model.partitionMap.Partitions {
			model.syncReplica(m, i)
			model.acknowledge(m, i)
		}
	}
	model.now = model.now.Add(stepTime)
	changed := model.assign(model.input())
	model.reports = nil
	return changed
}

// retireCompletes returns the number of steps after which an order to retire is completed, or false if that is not within limit.
func (model *placementModel) retireCompletes(m *modelMachine, limit int) (int, bool) {
	for n := range limit {
		if lifecycleState(model.partitionMap, m.node, model.tolerance.Losses) == "completed" {
			return n, true
		}
		model.step()
	}
	return limit, false
}

// TestPlacement_RetireCompletesAfterOtherLosses lets machines restart, be wiped and be replaced, and then orders one machine to
// be emptied while at most as many others as tolerated are lost: down for good, or alive at the control plane and unreachable
// for the other turn stores.
func TestPlacement_RetireCompletesAfterOtherLosses(t *testing.T) {
	const limit = int(60 * time.Second / stepTime)
	const seeds = 60
	worst, late := 0, 0
	for seed := range uint64(seeds) {
		r := rand.New(rand.NewPCG(seed, 7))
		losses := 1 + r.IntN(2)
		model := newModel(t, r, 2*losses+2+r.IntN(2), 3, FaultTolerance{losses, byNode})
		model.assign(model.input())
		model.runUntilStable()
		for range r.IntN(6) {
			m := model.machines[r.IntN(len(model.machines))]
			switch r.IntN(3) {
			case 0:
				model.tracef("%s is wiped", m.node)
				model.wipe(m, false)
			case 1:
				model.tracef("%s is replaced by another", m.node)
				model.wipe(m, true)
			case 2:
				model.tracef("%s stops and comes back", m.node)
				m.up, m.received = false, nil
				for range r.IntN(4) {
					model.step()
				}
				m.up = true
			}
			model.runUntilStable()
		}
		order := r.Perm(len(model.machines))
		retired := model.machines[order[0]]
		for range r.IntN(3) { // the last loss may not be repaired yet
			model.step()
		}
		for _, i := range order[1 : 1+losses] {
			m := model.machines[i]
			switch r.IntN(3) {
			case 0:
				model.tracef("%s goes down for good", m.node)
				m.up, m.received = false, nil
			case 1:
				model.tracef("%s is unreachable for the other turn stores", m.node)
				m.unreachable = true
			}
		}
		model.tracef("%s is to be emptied", retired.node)
		model.retire(retired)
		n, ended := model.retireCompletes(retired, limit)
		if worst = max(worst, n); !ended {
			late++
			t.Errorf("seed %d: %v", seed, model.trace)
		}
		if ended {
			model.checkRetired(retired)
		}
	}
	t.Logf("worst %v, %d of %d later than %v", time.Duration(worst)*stepTime, late, seeds, time.Duration(limit)*stepTime)
}

// checkRetired checks a completed order against the machines: each partition has enough replicas on other machines, and they
// are complete.
func (model *placementModel) checkRetired(m *modelMachine) {
	model.t.Helper()
	for i, p := range model.partitionMap.Partitions {
		complete := 0
		for _, folder := range replicaFolders(p) {
			assert.Assert(model.t, folder != m.folder)
			if model.complete(i, folder) {
				complete++
			}
		}
		assert.Assert(model.t, complete > model.tolerance.Losses, "partition %d: completed with %d complete replicas elsewhere\n%v", i, complete, model.trace)
	}
	assert.Assert(model.t, slices.Contains(model.partitionMap.Retiring, m.node))
}
