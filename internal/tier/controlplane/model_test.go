package controlplane

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
)

// stepTime is what a step of the model takes, and stallTime when a copy under way counts as slow.
const (
	stepTime  = 250 * time.Millisecond
	stallTime = 3 * time.Second
)

// machine is a storage machine of the model.
type machine struct {
	node, zone string
	folder     string
	lives      int
	up         bool // runs, and control hears it
	cut        bool // runs, and turn stores hear it, but control does not
	deaf       bool // runs, and control hears it, but turn stores do not
	leaving    bool
	knows      []*tierv1.Partition
}

// world is a model of turn stores that acknowledge turns under the newest map that each has heard of.
type world struct {
	t        *testing.T
	r        *rand.Rand
	spread   Spread
	machines []*machine
	m        *tierv1.PartitionMap
	full     []map[string]bool // by partition, the folders that have all that was acknowledged
	reports  []Report
	trace    []string
	stall    stallTracker
	now      time.Time // virtual: a step of the model takes stepTime
}

func byZone(k *tierv1.StoreNode) string { return k.Zone }
func byNode(k *tierv1.StoreNode) string { return k.Node }

func newWorld(t *testing.T, r *rand.Rand, n, zones int, spread Spread) *world {
	w := &world{t: t, r: r, spread: spread}
	for i := range n {
		w.add(i, zones)
	}
	return w
}

func (w *world) add(i, zones int) *machine {
	m := &machine{node: fmt.Sprint("n", i), zone: fmt.Sprint("z", i%zones), folder: fmt.Sprint("n", i, ".1"), lives: 1, up: true}
	w.machines = append(w.machines, m)
	return m
}

func (m *machine) storeNode() *tierv1.StoreNode {
	return &tierv1.StoreNode{Folder: m.folder, Node: m.node, Address: m.node + ":1", Zone: m.zone}
}

func (w *world) input() Input {
	in := Input{Spread: w.spread, Alive: map[string]*tierv1.StoreNode{}, Leaving: map[string]bool{}, Reports: w.reports, Certain: true, Create: true, Move: true}
	for _, m := range w.machines {
		if m.up && !m.cut {
			in.Alive[m.folder] = m.storeNode()
			if m.leaving {
				in.Leaving[m.folder] = true
			}
		}
	}
	in.Slow, in.Stalled = w.stall.observe(w.now, stallTime, w.m, in.Alive)
	return in
}

func (w *world) machine(folder string) *machine {
	for _, m := range w.machines {
		if m.folder == folder {
			return m
		}
	}
	return nil
}

// assign makes the next map and checks what must hold between two.
func (w *world) assign(in Input) bool {
	before := w.m
	kept := proto.Clone(before)
	next, changed := Assign(before, in)
	assert.Assert(w.t, proto.Equal(kept, before), "the map before was changed")
	if !changed {
		assert.Assert(w.t, next == before)
		return false
	}
	w.m = next
	if w.full == nil && len(next.Partitions) > 0 {
		for _, p := range next.Partitions {
			all := map[string]bool{}
			for _, folder := range members(p) {
				all[folder] = true
			}
			w.full = append(w.full, all)
		}
	}
	w.check(before)
	return true
}

func (w *world) check(before *tierv1.PartitionMap) {
	w.t.Helper()
	for i, p := range w.m.Partitions {
		all := members(p)
		if len(all) != len(slices.Compact(slices.Sorted(slices.Values(all)))) {
			w.t.Fatalf("a folder twice in %v\n%v", p, w.trace)
		}
		for _, folder := range all {
			c := backup(p, folder)
			wiped := w.machine(folder) == nil
			if !wiped && (c == nil || c.Synced) && !w.full[i][folder] {
				w.t.Fatalf("partition %d: %s is called whole and is not: %v\n%v", i, folder, p, w.trace)
			}
			if !slices.ContainsFunc(w.m.StoreNodes, func(k *tierv1.StoreNode) bool { return k.Folder == folder }) {
				w.t.Fatalf("no store node of %s", folder)
			}
		}
		if before == nil || len(before.Partitions) == 0 {
			continue
		}
		old, epoch := before.Partitions[i], before.Partitions[i].Epoch
		if old.Primary != p.Primary || !slices.Equal(members(old), all) {
			epoch++
		}
		if p.Epoch != epoch {
			w.t.Fatalf("partition %d: from %v to %v\n%v", i, old, p, w.trace)
		}
	}
}

// takes tells whether a machine takes facts of an epoch. One that has just started takes none before it knows the map.
func (m *machine) takes(i int, epoch uint64) bool {
	return !m.deaf && i < len(m.knows) && m.knows[i].Epoch <= epoch
}

// hear tells a machine the newest map.
func (m *machine) hear(w *world) {
	if m.up && !m.cut && w.m != nil {
		m.knows = w.m.Partitions
	}
}

// acknowledge lets a machine acknowledge a turn of a partition, if those whom it knows as backups take it.
func (w *world) acknowledge(m *machine, i int) bool {
	if !m.up || m.deaf || i >= len(m.knows) || m.knows[i].Primary != m.folder {
		return false
	}
	p := m.knows[i]
	for _, c := range p.Backups {
		b := w.machine(c.Folder)
		if b == nil || !b.up || !b.takes(i, p.Epoch) {
			return false
		}
	}
	all := members(p)
	assert.Assert(w.t, w.full[i][m.folder], "partition %d: %s serves and is not whole\n%v", i, m.folder, w.trace)
	for folder := range w.full[i] {
		if !slices.Contains(all, folder) {
			delete(w.full[i], folder)
		}
	}
	return true
}

// copy lets a machine bring a copy of a partition up to date, and report it.
func (w *world) copy(m *machine, i int) {
	if !m.up || m.deaf || i >= len(m.knows) || m.knows[i].Primary != m.folder {
		return
	}
	p := m.knows[i]
	for _, c := range p.Backups {
		b := w.machine(c.Folder)
		if c.Synced || b == nil || !b.up || !b.takes(i, p.Epoch) {
			continue
		}
		if w.full[i][m.folder] {
			w.full[i][c.Folder] = true
		}
		if !m.cut {
			w.reports = append(w.reports, Report{m.folder, &tierv1.SyncedCopy{Partition: uint32(i), Epoch: p.Epoch, Folder: c.Folder}})
		}
	}
}

// settle lets all that is up come to rest, and tells how many maps that took.
func (w *world) settle() int {
	for n := range 2000 {
		for _, m := range w.machines {
			m.hear(w)
		}
		for _, m := range w.machines {
			for i := range w.m.Partitions {
				w.copy(m, i)
				w.acknowledge(m, i)
			}
		}
		if !w.assign(w.input()) {
			return n
		}
		w.reports = nil
	}
	w.t.Fatalf("no rest: %v\n%v", w.m, w.trace)
	return 0
}

// even checks that shares are even and copies whole, on turn stores that stay.
func (w *world) even(strict bool) {
	w.t.Helper()
	copies, primaries := map[string]int{}, map[string]int{}
	for _, m := range w.machines {
		if m.up && !m.cut && !m.leaving && !slices.Contains(w.m.Retiring, m.node) {
			copies[m.folder], primaries[m.folder] = 0, 0
		}
	}
	for i, p := range w.m.Partitions {
		assert.Equal(w.t, len(p.Backups), w.spread.Losses, "partition %d: %v", i, p)
		primaries[p.Primary]++
		domains := map[string]bool{}
		for _, folder := range members(p) {
			_, stays := copies[folder]
			assert.Assert(w.t, stays, "partition %d: %s: %v of losses %d\n%v", i, folder, p, w.spread.Losses, w.trace)
			copies[folder]++
			c := backup(p, folder)
			assert.Assert(w.t, c == nil || c.Synced)
			domains[w.spread.Domain(w.machine(folder).storeNode())] = true
		}
		if strict {
			assert.Equal(w.t, len(domains), w.spread.Losses+1)
		}
	}
	span := func(of map[string]int) int {
		var all []int
		for _, n := range of {
			all = append(all, n)
		}
		return slices.Max(all) - slices.Min(all)
	}
	if w.spread.Domain(&tierv1.StoreNode{Node: "n"}) == "n" {
		assert.Assert(w.t, span(copies) <= 1, "copies %v", copies)
		assert.Assert(w.t, span(primaries) <= 1, "primaries %v\n%v", primaries, w.m)
	}
}

func (w *world) note(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf(format, args...))
}
