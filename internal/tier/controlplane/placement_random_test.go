package controlplane

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// TestPlacement_RandomEvents lets machines stop, be partitioned, be unreachable for each other, lose their disks, drain, join,
// be retired and then be removed, sessions expire, and reports arrive late, in random order. Disks are lost only while no more
// machines are affected than is tolerated. The test checks after each step that no acknowledged fact is dropped, and that all
// partitions are served when all machines have returned.
func TestPlacement_RandomEvents(t *testing.T) {
	for seed := range uint64(20) {
		simulateRandomEvents(t, mutant{}, seed)
	}
}

// simulateRandomEvents is one run of TestPlacement_RandomEvents.
func simulateRandomEvents(t reporter, fault mutant, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 1))
	losses := 1 + r.IntN(2)
	n := losses + 1 + r.IntN(4)
	tolerance := FaultTolerance{losses, byNode}
	if r.IntN(3) == 0 {
		tolerance.Domain = byZone
	}
	model := newMutantModel(t, fault, r, n, 3, tolerance)
	model.assign(model.input())
	model.runUntilStable()
	affected := map[*modelMachine]bool{} // machines affected since the map was last stable
	var delayed []Report                 // reports to be delivered again
	for range 150 {
		m := model.machines[r.IntN(len(model.machines))]
		switch r.IntN(12) {
		case 0:
			model.tracef("%s stops", m.node)
			m.up, m.received = false, nil
			affected[m] = true
		case 1, 2:
			model.tracef("%s starts", m.node)
			m.up, m.draining = true, false
		case 3:
			model.tracef("%s is partitioned: %v", m.node, !m.partitioned)
			m.partitioned = !m.partitioned
			affected[m] = true
		case 4:
			if affected[m] = true; len(affected) > losses {
				break
			}
			model.tracef("%s loses its disk", m.node)
			model.wipe(m, false)
		case 5:
			model.tracef("%s drains", m.node)
			m.draining = true
			affected[m] = true
		case 6:
			if len(model.machines) < 8 && r.IntN(4) == 0 {
				model.tracef("a machine joins")
				model.add(n, 3)
				n++
			}
		case 7:
			stay := 0
			for _, one := range model.machines {
				if one != m && one.up && !one.partitioned && !one.draining && !slices.Contains(model.partitionMap.Retiring, one.node) {
					stay++
				}
			}
			if model.removeRetired(m) {
				delete(affected, m)
				break
			}
			if stay > losses && !slices.Contains(model.partitionMap.Retiring, m.node) && r.IntN(4) == 0 {
				model.tracef("%s is to be emptied", m.node)
				model.partitionMap = proto.Clone(model.partitionMap).(*tierv1.PartitionMap)
				model.partitionMap.Retiring = append(model.partitionMap.Retiring, m.node)
			}
		case 9:
			model.tracef("%s is unreachable for turn stores: %v", m.node, !m.unreachable)
			m.unreachable = !m.unreachable
			affected[m] = true
		case 8:
			for _, one := range model.machines {
				one.up, one.partitioned, one.draining, one.unreachable = true, false, false, false
			}
			model.tracef("all return")
			model.runUntilStable()
			model.assertAllServed()
			model.assertBalanced(false)
			clear(affected)
		case 10:
			if len(affected) == 0 { // an expiry is not a loss, but Assign does not wait for the return during a loss
				model.expireBriefly(m)
			}
		case 11:
			model.tracef("%d reports come late", len(delayed))
			model.reports, delayed = append(model.reports, delayed...), slices.Clone(model.reports)
		}
		model.now = model.now.Add(time.Duration(r.IntN(8)) * stepTime)
		for range 3 {
			model.machines[r.IntN(len(model.machines))].receiveMap(model)
		}
		for range 12 {
			model.syncReplica(model.machines[r.IntN(len(model.machines))], r.IntN(partitionCount))
			model.acknowledge(model.machines[r.IntN(len(model.machines))], r.IntN(partitionCount))
		}
		in := model.input()
		in.GraceOver = r.IntN(4) > 0
		if r.IntN(2) == 0 {
			model.assign(in)
			if r.IntN(2) == 0 {
				model.reports = nil
			}
		}
		model.check(nil)
	}
	for _, one := range model.machines {
		one.up, one.partitioned, one.draining, one.unreachable = true, false, false, false
	}
	model.runUntilStable()
	model.assertAllServed()
	model.assertBalanced(false)
}

// expireBriefly lets the session of a machine expire, and the others go on without it, until it returns within the wait.
func (model *placementModel) expireBriefly(m *modelMachine) {
	model.tracef("the session of %s expires", m.node)
	in := model.expire(m)
	model.assign(in)
	for range model.random.IntN(len(model.machines) + 1) {
		model.machines[model.random.IntN(len(model.machines))].receiveMap(model)
	}
	for range model.random.IntN(2 * partitionCount) {
		model.acknowledge(model.machines[model.random.IntN(len(model.machines))], model.random.IntN(partitionCount))
	}
	m.partitioned = false
}

// removeRetired removes a machine that was reported empty, with its disk and for good.
func (model *placementModel) removeRetired(m *modelMachine) bool {
	if !slices.Contains(model.partitionMap.Retiring, m.node) || lifecycleState(model.partitionMap, m.node, model.tolerance.Losses) != retireCompleted {
		return false
	}
	model.tracef("%s is removed", m.node)
	model.partitionMap = proto.CloneOf(model.partitionMap)
	model.partitionMap.Retired = append(model.partitionMap.Retired, newlyRetired(model.partitionMap, model.tolerance.Losses)...)
	for i := range model.facts {
		delete(model.facts[i], m.folder)
	}
	model.machines = slices.DeleteFunc(model.machines, func(one *modelMachine) bool { return one == m })
	return true
}
