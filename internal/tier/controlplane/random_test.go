package controlplane

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
	"google.golang.org/protobuf/proto"
)

// TestRandomEvents lets machines stop, be cut off, be out of each other's reach, lose their disks, leave, come and be retired in any order, with no more
// lost at a time than is borne when disks are, and checks after each step that nothing acknowledged is given up.
func TestRandomEvents(t *testing.T) {
	for seed := range uint64(6) {
		playRandomEvents(t, plant{}, seed)
	}
}

// playRandomEvents is one play of TestRandomEvents.
func playRandomEvents(t reporter, planted plant, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 1))
	losses := 1 + r.IntN(2)
	n := losses + 1 + r.IntN(4)
	spread := Spread{losses, byNode}
	if r.IntN(3) == 0 {
		spread.Domain = byZone
	}
	w := newPlantedWorld(t, planted, r, n, 3, spread)
	w.assign(w.input())
	w.settle()
	hurt := map[*machine]bool{} // since all was at rest
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
				w.add(len(w.machines), 3)
			}
		case 7:
			stay := 0
			for _, one := range w.machines {
				if one != m && one.up && !one.cut && !one.leaving && !slices.Contains(w.m.Retiring, one.node) {
					stay++
				}
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
			w.even(false)
			clear(hurt)
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
		in.Certain = r.IntN(4) > 0
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
	w.even(false)
}
