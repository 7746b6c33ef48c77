package controlplane

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// TestPlacement_RandomEvents lets machines stop, be partitioned, be out of each other's reach, lose their disks, leave, come, be retired and
// then be taken away, sessions expire, and reports come late, in any order, with no more lost at a time than is tolerated when disks
// are. It checks after each step that nothing acknowledged is given up, and that all is served when all have returned.
func TestPlacement_RandomEvents(t *testing.T) {
	for seed := range uint64(20) {
		playRandomEvents(t, mutant{}, seed)
	}
}

// playRandomEvents is one play of TestRandomEvents.
func playRandomEvents(t reporter, fault mutant, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 1))
	losses := 1 + r.IntN(2)
	n := losses + 1 + r.IntN(4)
	spread := FaultTolerance{losses, byNode}
	if r.IntN(3) == 0 {
		spread.Domain = byZone
	}
	w := newMutantModel(t, fault, r, n, 3, spread)
	w.assign(w.input())
	w.runUntilStable()
	hurt := map[*modelMachine]bool{} // since all was at rest
	var late []Report                // that come again
	for range 150 {
		m := w.machines[r.IntN(len(w.machines))]
		switch r.IntN(12) {
		case 0:
			w.tracef("%s stops", m.node)
			m.up, m.known = false, nil
			hurt[m] = true
		case 1, 2:
			w.tracef("%s starts", m.node)
			m.up, m.draining = true, false
		case 3:
			w.tracef("%s cut %v", m.node, !m.partitioned)
			m.partitioned = !m.partitioned
			hurt[m] = true
		case 4:
			if hurt[m] = true; len(hurt) > losses {
				break
			}
			w.tracef("%s loses its disk", m.node)
			w.wipe(m, false)
		case 5:
			w.tracef("%s leaves", m.node)
			m.draining = true
			hurt[m] = true
		case 6:
			if len(w.machines) < 8 && r.IntN(4) == 0 {
				w.tracef("another")
				w.add(n, 3)
				n++
			}
		case 7:
			stay := 0
			for _, one := range w.machines {
				if one != m && one.up && !one.partitioned && !one.draining && !slices.Contains(w.partitionMap.Retiring, one.node) {
					stay++
				}
			}
			if w.takeAway(m) {
				delete(hurt, m)
				break
			}
			if stay > losses && !slices.Contains(w.partitionMap.Retiring, m.node) && r.IntN(4) == 0 {
				w.tracef("%s is to be emptied", m.node)
				w.partitionMap = proto.Clone(w.partitionMap).(*tierv1.PartitionMap)
				w.partitionMap.Retiring = append(w.partitionMap.Retiring, m.node)
			}
		case 9:
			w.tracef("%s deaf %v", m.node, !m.unreachable)
			m.unreachable = !m.unreachable
			hurt[m] = true
		case 8:
			for _, one := range w.machines {
				one.up, one.partitioned, one.draining, one.unreachable = true, false, false, false
			}
			w.tracef("all return")
			w.runUntilStable()
			w.assertAllServed()
			w.assertBalanced(false)
			clear(hurt)
		case 10:
			if len(hurt) == 0 { // an expiry is no loss, but it is not waited for beside one
				w.expireBriefly(m)
			}
		case 11:
			w.tracef("%d reports come late", len(late))
			w.reports, late = append(w.reports, late...), slices.Clone(w.reports)
		}
		w.now = w.now.Add(time.Duration(r.IntN(8)) * stepTime)
		for range 3 {
			w.machines[r.IntN(len(w.machines))].receiveMap(w)
		}
		for range 12 {
			w.syncReplica(w.machines[r.IntN(len(w.machines))], r.IntN(partitionCount))
			w.acknowledge(w.machines[r.IntN(len(w.machines))], r.IntN(partitionCount))
		}
		in := w.input()
		in.GraceOver = r.IntN(4) > 0
		if r.IntN(2) == 0 {
			w.assign(in)
			if r.IntN(2) == 0 {
				w.reports = nil
			}
		}
		w.check(nil)
	}
	for _, one := range w.machines {
		one.up, one.partitioned, one.draining, one.unreachable = true, false, false, false
	}
	w.runUntilStable()
	w.assertAllServed()
	w.assertBalanced(false)
}

// expireBriefly has the session of a machine expire, and the others go on without it, until it is back within the wait.
func (w *placementModel) expireBriefly(m *modelMachine) {
	w.tracef("%s lapses", m.node)
	in := w.expire(m)
	w.assign(in)
	for range w.random.IntN(len(w.machines) + 1) {
		w.machines[w.random.IntN(len(w.machines))].receiveMap(w)
	}
	for range w.random.IntN(2 * partitionCount) {
		w.acknowledge(w.machines[w.random.IntN(len(w.machines))], w.random.IntN(partitionCount))
	}
	m.partitioned = false
}

// takeAway removes a machine that control has reported empty for good, with its disk.
func (w *placementModel) takeAway(m *modelMachine) bool {
	if !slices.Contains(w.partitionMap.Retiring, m.node) || lifecycleState(w.partitionMap, m.node, w.tolerance.Losses) != retireCompleted {
		return false
	}
	w.tracef("%s is taken away", m.node)
	w.partitionMap = proto.CloneOf(w.partitionMap)
	w.partitionMap.Retired = append(w.partitionMap.Retired, newlyRetired(w.partitionMap, w.tolerance.Losses)...)
	for i := range w.facts {
		delete(w.facts[i], m.folder)
	}
	w.machines = slices.DeleteFunc(w.machines, func(one *modelMachine) bool { return one == m })
	return true
}
