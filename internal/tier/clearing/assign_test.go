package clearing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
)

// machine is a storage machine of the model.
type machine struct {
	node, zone string
	folder     string
	lives      int
	up         bool // runs, and control hears it
	cut        bool // runs, and vaults hear it, but control does not
	leaving    bool
	empty      bool // was wiped, and is not yet known to be so
	knows      []*tierv1.Partition
}

// world is a model of vaults that acknowledge turns under the newest map that each has heard of.
type world struct {
	t        *testing.T
	r        *rand.Rand
	spread   Spread
	machines []*machine
	m        *tierv1.Vaults
	full     []map[string]bool // by partition, the folders that have all that was acknowledged
	reports  []Report
	trace    []string
}

func byZone(k *tierv1.Keeper) string { return k.Zone }
func byNode(k *tierv1.Keeper) string { return k.Node }

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

func (m *machine) keeper() *tierv1.Keeper {
	return &tierv1.Keeper{Folder: m.folder, Node: m.node, Address: m.node + ":1", Zone: m.zone}
}

func (w *world) input() Input {
	in := Input{Spread: w.spread, Alive: map[string]*tierv1.Keeper{}, Leaving: map[string]bool{}, Reports: w.reports, Certain: true, Create: true}
	for _, m := range w.machines {
		if m.up && !m.cut {
			in.Alive[m.folder] = m.keeper()
			if m.leaving {
				in.Leaving[m.folder] = true
			}
		}
	}
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

func (w *world) check(before *tierv1.Vaults) {
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
			if !slices.ContainsFunc(w.m.Keepers, func(k *tierv1.Keeper) bool { return k.Folder == folder }) {
				w.t.Fatalf("no keeper of %s", folder)
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
	return i < len(m.knows) && m.knows[i].Epoch <= epoch
}

// hear tells a machine the newest map.
func (m *machine) hear(w *world) {
	if m.up && !m.cut && w.m != nil {
		m.knows = w.m.Partitions
	}
}

// acknowledge lets a machine acknowledge a turn of a partition, if those whom it knows as backups take it.
func (w *world) acknowledge(m *machine, i int) bool {
	if !m.up || i >= len(m.knows) || m.knows[i].Primary != m.folder {
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
	if !m.up || i >= len(m.knows) || m.knows[i].Primary != m.folder {
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

// even checks that shares are even and copies whole, on vaults that stay.
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
			domains[w.spread.Domain(w.machine(folder).keeper())] = true
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
	if w.spread.Domain(&tierv1.Keeper{Node: "n"}) == "n" {
		assert.Assert(w.t, span(copies) <= 1, "copies %v", copies)
		assert.Assert(w.t, span(primaries) <= 1, "primaries %v\n%v", primaries, w.m)
	}
}

func (w *world) note(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf(format, args...))
}

func TestTheFirstMapIsEvenAndStays(t *testing.T) {
	for n := 2; n < 8; n++ {
		for losses := 0; losses < min(n, 3); losses++ {
			w := newWorld(t, nil, n, 3, Spread{losses, byNode})
			assert.Assert(t, w.assign(w.input()))
			assert.Equal(t, len(w.m.Partitions), partitionCount)
			w.even(false)
			assert.Equal(t, w.settle(), 0, "a map at rest was changed")
		}
	}
}

func TestNoMapBeforeThereAreEnoughOrTheyHaveSettled(t *testing.T) {
	w := newWorld(t, nil, 1, 1, Spread{1, byNode})
	w.assign(w.input())
	assert.Equal(t, len(w.m.GetPartitions()), 0)
	w.add(1, 1)
	in := w.input()
	in.Create = false
	w.assign(in)
	assert.Equal(t, len(w.m.GetPartitions()), 0)
	w.assign(w.input())
	assert.Equal(t, len(w.m.Partitions), partitionCount)
}

func TestCopiesLieInDifferentDomains(t *testing.T) {
	w := newWorld(t, nil, 7, 3, Spread{1, byZone})
	w.assign(w.input())
	w.even(true)
	w.machines[0].up = false
	w.settle()
	w.even(true)
	w.machines[0].up = true
	w.settle()
	w.even(true)
}

func TestNobodyIsDeadBeforeTheGraceIsOver(t *testing.T) {
	w := newWorld(t, nil, 3, 3, Spread{1, byNode})
	w.assign(w.input())
	w.machines[1].up = false
	in := w.input()
	in.Certain = false
	assert.Assert(t, !w.assign(in))
}

func TestAnUnsyncedCopyNeverSucceeds(t *testing.T) {
	w := newWorld(t, nil, 3, 3, Spread{1, byNode})
	w.assign(w.input())
	w.machines[0].up = false
	w.assign(w.input()) // the two that are left have each other's copies, unsynced
	w.machines[1].up = false
	w.assign(w.input())
	w.assign(w.input())
	for _, p := range w.m.Partitions {
		if p.Primary == w.machines[2].folder {
			continue
		}
		assert.Equal(t, p.Primary, w.machines[1].folder)
	}
	w.machines[1].up = true
	w.machines[0].up = true
	w.settle()
	w.even(false)
}

func TestALostVaultDoesNotBlockTwo(t *testing.T) {
	w := newWorld(t, nil, 2, 2, Spread{1, byNode})
	w.assign(w.input())
	w.machines[0].up = false
	w.settle()
	for _, p := range w.m.Partitions {
		assert.Equal(t, p.Primary, w.machines[1].folder)
		assert.Equal(t, len(p.Backups), 0)
	}
	w.machines[0].up = true
	w.settle()
	w.even(false)
}

func TestMoreLossesThanBorneBlock(t *testing.T) {
	w := newWorld(t, nil, 3, 3, Spread{1, byNode})
	w.assign(w.input())
	w.machines[0].up, w.machines[1].up = false, false
	w.assign(w.input())
	for i, p := range w.m.Partitions {
		all := members(p)
		assert.Assert(t, len(all) == 2, "partition %d: %v", i, p)
	}
}

func TestANewFolderTakesThePlaceOfTheOld(t *testing.T) {
	w := newWorld(t, nil, 3, 3, Spread{1, byNode})
	w.assign(w.input())
	w.machines[0].folder = "n0.2"
	in := w.input()
	in.Certain = false // the old one can't come back: no grace is due
	w.assign(in)
	for _, p := range w.m.Partitions {
		assert.Assert(t, !slices.Contains(members(p), "n0.1"))
	}
	assert.Assert(t, !slices.ContainsFunc(w.m.Keepers, func(k *tierv1.Keeper) bool { return k.Folder == "n0.1" }))
	w.settle()
	w.even(false)
}

func TestARetiringVaultIsEmptied(t *testing.T) {
	w := newWorld(t, nil, 3, 3, Spread{1, byNode})
	w.assign(w.input())
	w.m.Retiring = append(w.m.Retiring, "n1")
	assert.Equal(t, lifecycle(w.m, "n1", 1), "in_progress")
	for range 1000 {
		w.assign(w.input())
		under := 0
		for i, p := range w.m.Partitions {
			if slices.ContainsFunc(p.Backups, func(c *tierv1.Copy) bool { return !c.Synced }) {
				under++
			}
			whole := 0
			for _, folder := range members(p) {
				if w.full[i][folder] {
					whole++
				}
			}
			assert.Assert(t, whole >= 2, "partition %d has fewer whole copies than before", i)
		}
		assert.Assert(t, under <= partitionCount/paceShare)
		w.reports = nil
		for _, m := range w.machines {
			m.hear(w)
			for i := range w.m.Partitions {
				w.copy(m, i)
			}
		}
		if lifecycle(w.m, "n1", 1) == "completed" {
			break
		}
	}
	assert.Equal(t, lifecycle(w.m, "n1", 1), "completed")
	w.settle()
	w.even(false)
	w.machines[1].up = false
	w.settle()
	assert.Assert(t, !slices.ContainsFunc(w.m.Keepers, func(k *tierv1.Keeper) bool { return k.Node == "n1" }))
	assert.Equal(t, lifecycle(w.m, "n1", 1), "completed")
}

func TestALeavingPrimaryHandsOver(t *testing.T) {
	w := newWorld(t, nil, 3, 3, Spread{1, byNode})
	w.assign(w.input())
	w.machines[2].leaving = true
	w.assign(w.input())
	for _, p := range w.m.Partitions {
		assert.Assert(t, p.Primary != w.machines[2].folder)
		assert.Equal(t, len(p.Backups), 1)
	}
}

func TestAnAddedVaultGetsItsShareAPieceAtATime(t *testing.T) {
	w := newWorld(t, nil, 3, 3, Spread{1, byNode})
	w.assign(w.input())
	w.add(3, 3)
	w.assign(w.input())
	extra := 0
	for _, p := range w.m.Partitions {
		extra += len(p.Backups) - 1
	}
	assert.Equal(t, extra, partitionCount/paceShare)
	w.settle()
	w.even(false)
}

func TestReportsOfAnotherEpochOrOfOthersAreNotTaken(t *testing.T) {
	w := newWorld(t, nil, 3, 3, Spread{1, byNode})
	w.assign(w.input())
	w.machines[0].up = false
	w.assign(w.input())
	for i, p := range w.m.Partitions {
		for _, c := range p.Backups {
			if !c.Synced {
				for _, r := range []Report{
					{p.Primary, &tierv1.SyncedCopy{Partition: uint32(i), Epoch: p.Epoch - 1, Folder: c.Folder}},
					{c.Folder, &tierv1.SyncedCopy{Partition: uint32(i), Epoch: p.Epoch, Folder: c.Folder}},
					{p.Primary, &tierv1.SyncedCopy{Partition: uint32(i), Epoch: p.Epoch, Folder: "other"}},
					{p.Primary, &tierv1.SyncedCopy{Partition: 1 << 20, Epoch: p.Epoch, Folder: c.Folder}},
				} {
					w.reports = append(w.reports, r)
				}
			}
		}
	}
	assert.Assert(t, len(w.reports) > 0)
	assert.Assert(t, !w.assign(w.input()))
}

// TestRandomEvents lets machines stop, be cut off, lose their disks, leave, come and be retired in any order, with no more
// lost at a time than is borne when disks are, and checks after each step that nothing acknowledged is given up.
func TestRandomEvents(t *testing.T) {
	for seed := range uint64(12) {
		r := rand.New(rand.NewPCG(seed, 1))
		losses := 1 + r.IntN(2)
		n := losses + 1 + r.IntN(4)
		spread := Spread{losses, byNode}
		if r.IntN(3) == 0 {
			spread.Domain = byZone
		}
		w := newWorld(t, r, n, 3, spread)
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
				for i := range w.full {
					delete(w.full[i], m.folder)
				}
				m.lives++
				m.folder, m.knows, m.up = fmt.Sprint(m.node, ".", m.lives), nil, true
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
					w.m = proto.Clone(w.m).(*tierv1.Vaults)
					w.m.Retiring = append(w.m.Retiring, m.node)
				}
			case 8:
				for _, one := range w.machines {
					one.up, one.cut, one.leaving = true, false, false
				}
				w.note("all return")
				w.settle()
				w.even(false)
				clear(hurt)
			}
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
			one.up, one.cut, one.leaving = true, false, false
		}
		w.settle()
		w.even(false)
	}
}
