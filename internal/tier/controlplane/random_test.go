package controlplane

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// TestRandomEvents lets machines stop, be cut off, be out of each other's reach, lose their disks, leave, come, be retired and
// then be taken away, sessions lapse, and reports come late, in any order, with no more lost at a time than is borne when disks
// are. It checks after each step that nothing acknowledged is given up, and that all is served when all have returned.
func TestRandomEvents(t *testing.T) {
	for seed := range uint64(20) {
		playRandomEvents(t, plant{}, seed)
	}
}

// playRandomEvents is one play of TestRandomEvents.
func playRandomEvents(t reporter, planted plant, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 1))
	losses := 1 + r.IntN(2)
	n := losses + 1 + r.IntN(4)
	spread := FaultTolerance{losses, byNode}
	if r.IntN(3) == 0 {
		spread.Domain = byZone
	}
	w := newPlantedWorld(t, planted, r, n, 3, spread)
	w.assign(w.input())
	w.settle()
	hurt := map[*machine]bool{} // since all was at rest
	var late []Report           // that come again
	for range 150 {
		m := w.machines[r.IntN(len(w.machines))]
		switch r.IntN(12) {
		case 0:
			w.note("%s stops", m.node)
			m.up, m.knows = false, nil
			hurt[m] = true
		case 1, 2:
			w.note("%s starts", m.node)
			m.up, m.leaving = true, false
		case 3:
			w.note("%s cut %v", m.node, !m.cut)
			m.cut = !m.cut
			hurt[m] = true
		case 4:
			if hurt[m] = true; len(hurt) > losses {
				break
			}
			w.note("%s loses its disk", m.node)
			w.wipe(m, false)
		case 5:
			w.note("%s leaves", m.node)
			m.leaving = true
			hurt[m] = true
		case 6:
			if len(w.machines) < 8 && r.IntN(4) == 0 {
				w.note("another")
				w.add(n, 3)
				n++
			}
		case 7:
			stay := 0
			for _, one := range w.machines {
				if one != m && one.up && !one.cut && !one.leaving && !slices.Contains(w.m.Retiring, one.node) {
					stay++
				}
			}
			if w.takeAway(m) {
				delete(hurt, m)
				break
			}
			if stay > losses && !slices.Contains(w.m.Retiring, m.node) && r.IntN(4) == 0 {
				w.note("%s is to be emptied", m.node)
				w.m = proto.Clone(w.m).(*tierv1.PartitionMap)
				w.m.Retiring = append(w.m.Retiring, m.node)
			}
		case 9:
			w.note("%s deaf %v", m.node, !m.deaf)
			m.deaf = !m.deaf
			hurt[m] = true
		case 8:
			for _, one := range w.machines {
				one.up, one.cut, one.leaving, one.deaf = true, false, false, false
			}
			w.note("all return")
			w.settle()
			w.allServed()
			w.even(false)
			clear(hurt)
		case 10:
			if len(hurt) == 0 { // a lapse is no loss, but it is not waited for beside one
				w.lapseBriefly(m)
			}
		case 11:
			w.note("%d reports come late", len(late))
			w.reports, late = append(w.reports, late...), slices.Clone(w.reports)
		}
		w.now = w.now.Add(time.Duration(r.IntN(8)) * stepTime)
		for range 3 {
			w.machines[r.IntN(len(w.machines))].hear(w)
		}
		for range 12 {
			w.copy(w.machines[r.IntN(len(w.machines))], r.IntN(partitionCount))
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
		one.up, one.cut, one.leaving, one.deaf = true, false, false, false
	}
	w.settle()
	w.allServed()
	w.even(false)
}

// lapseBriefly has the session of a machine lapse, and the others go on without it, until it is back within the wait.
func (w *world) lapseBriefly(m *machine) {
	w.note("%s lapses", m.node)
	in := w.lapse(m)
	w.assign(in)
	for range w.r.IntN(len(w.machines) + 1) {
		w.machines[w.r.IntN(len(w.machines))].hear(w)
	}
	for range w.r.IntN(2 * partitionCount) {
		w.acknowledge(w.machines[w.r.IntN(len(w.machines))], w.r.IntN(partitionCount))
	}
	m.cut = false
}

// takeAway takes a machine that control has told to be empty away for good, with its disk.
func (w *world) takeAway(m *machine) bool {
	if !slices.Contains(w.m.Retiring, m.node) || lifecycleState(w.m, m.node, w.spread.Losses) != retireCompleted {
		return false
	}
	w.note("%s is taken away", m.node)
	w.m = proto.CloneOf(w.m)
	w.m.Retired = append(w.m.Retired, newlyRetired(w.m, w.spread.Losses)...)
	for i := range w.holds {
		delete(w.holds[i], m.folder)
	}
	w.machines = slices.DeleteFunc(w.machines, func(one *machine) bool { return one == m })
	return true
}
