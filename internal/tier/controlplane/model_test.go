package controlplane

import (
	"fmt"
	"math/big"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
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
	unsound    bool // tells control that its disk is not sound
	knows      []*tierv1.Partition
	observed   map[int]uint64 // by partition, the newest epoch that a primary has named
	recovered  map[int]uint64 // by partition, the epoch in which it has all facts of the backups that it was to recover from
}

// world is a model of turn stores that acknowledge turns under the newest map that each has heard of.
type world struct {
	t        reporter
	plant    plant
	r        *rand.Rand
	spread   FaultTolerance
	machines []*machine
	m        *tierv1.PartitionMap
	acked    []*big.Int            // by partition, a bit for each acknowledged fact
	holds    []map[string]*big.Int // by partition and folder, the facts that it holds
	reports  []Report
	trace    []string
	stall    stallTracker
	now      time.Time // virtual: a step of the model takes stepTime
}

func byZone(k *tierv1.StoreNode) string { return k.Zone }
func byNode(k *tierv1.StoreNode) string { return k.Node }

func newWorld(t reporter, r *rand.Rand, n, zones int, spread FaultTolerance) *world {
	return newPlantedWorld(t, plant{}, r, n, zones, spread)
}

// newPlantedWorld is newWorld with a planted fault.
func newPlantedWorld(t reporter, p plant, r *rand.Rand, n, zones int, spread FaultTolerance) *world {
	w := &world{t: t, plant: p, r: r, spread: spread}
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
	in := Input{FaultTolerance: w.spread, Alive: map[string]*tierv1.StoreNode{}, Draining: map[string]bool{}, Reports: w.reports, GraceOver: true, MayCreate: true, MayMove: true}
	for _, m := range w.machines {
		if m.up && !m.cut && !m.unsound {
			in.Alive[m.folder] = m.storeNode()
			if m.leaving {
				in.Draining[m.folder] = true
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
	next, changed := w.plant.placed(before, in)
	assert.Assert(w.t, proto.Equal(kept, before), "the map before was changed")
	if !changed {
		assert.Assert(w.t, next == before)
		return false
	}
	w.m = next
	for range len(next.Partitions) - len(w.acked) {
		w.acked = append(w.acked, new(big.Int))
		w.holds = append(w.holds, map[string]*big.Int{})
	}
	w.check(before)
	return true
}

func (w *world) check(before *tierv1.PartitionMap) {
	w.t.Helper()
	for i, p := range w.m.Partitions {
		all := replicaFolders(p)
		if len(all) != len(slices.Compact(slices.Sorted(slices.Values(all)))) {
			w.t.Fatalf("a folder twice in %v\n%v", p, w.trace)
		}
		for _, folder := range all {
			c := findBackup(p, folder)
			wiped := w.machine(folder) == nil
			if !wiped && (c != nil && c.Synced || c == nil && len(p.RecoverFrom) == 0) && !w.whole(i, folder) {
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
		recoversAnew := len(p.RecoverFrom) > 0 && !slices.Equal(old.RecoverFrom, p.RecoverFrom) // in a term of its own
		if old.Primary != p.Primary || !slices.Equal(replicaFolders(old), all) || recoversAnew {
			epoch++
		}
		if p.Epoch != epoch {
			w.t.Fatalf("partition %d: from %v to %v\n%v", i, old, p, w.trace)
		}
	}
}

// takes tells whether a machine takes facts of an epoch. One that has just started takes none before it knows the map.
func (m *machine) takes(i int, epoch uint64) bool {
	return !m.deaf && i < len(m.knows) && max(m.knows[i].Epoch, m.observed[i]) <= epoch
}

// takes tells whether a machine takes facts of an epoch, with the fault that is planted.
func (w *world) takes(m *machine, i int, epoch uint64) bool {
	return m.takes(i, epoch) || w.plant.takesStale && !m.deaf && i < len(m.knows)
}

// observe has a machine know an epoch that another has named: it takes nothing of an older one any more.
func (m *machine) observe(i int, epoch uint64) {
	if m.observed == nil {
		m.observed = map[int]uint64{}
	}
	m.observed[i] = max(m.observed[i], epoch)
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
		if b == nil || !b.up || !w.takes(b, i, p.Epoch) {
			return false
		}
	}
	if len(p.RecoverFrom) > 0 {
		return false // until control knows that it has recovered
	}
	assert.Assert(w.t, w.whole(i, m.folder), "partition %d: %s serves and is not whole\n%v", i, m.folder, w.trace)
	fact := new(big.Int).SetBit(new(big.Int), w.acked[i].BitLen(), 1)
	w.acked[i] = new(big.Int).Or(w.acked[i], fact)
	for _, folder := range replicaFolders(p) {
		w.give(i, folder, fact)
	}
	return true
}

// whole tells whether a folder holds all that was acknowledged of a partition.
func (w *world) whole(i int, folder string) bool {
	if held := w.holds[i][folder]; held != nil {
		return held.Cmp(w.acked[i]) == 0
	}
	return w.acked[i].BitLen() == 0
}

// give lets a folder hold facts.
func (w *world) give(i int, folder string, facts *big.Int) {
	held := w.holds[i][folder]
	if held == nil {
		held = new(big.Int)
	}
	w.holds[i][folder] = new(big.Int).Or(held, facts)
}

// copy lets a machine bring a copy of a partition up to date, and report it.
func (w *world) copy(m *machine, i int) {
	if !m.up || m.deaf || i >= len(m.knows) || m.knows[i].Primary != m.folder {
		return
	}
	p := m.knows[i]
	if m.recovered[i] != p.Epoch && !w.recover(m, i, p) {
		return
	}
	for _, c := range p.Backups {
		b := w.machine(c.Folder)
		if c.Synced || b == nil || !b.up || !w.takes(b, i, p.Epoch) {
			continue
		}
		b.observe(i, p.Epoch)
		if !w.plant.reportsEarly {
			w.exchange(i, m.folder, c.Folder)
		}
		if !m.cut {
			w.reports = append(w.reports, Report{m.folder, &tierv1.SyncedReplica{Partition: uint32(i), Epoch: p.Epoch, Folder: c.Folder}})
		}
	}
}

// exchange lets two folders hold the same facts.
func (w *world) exchange(i int, one, other string) {
	for _, way := range [][2]string{{other, one}, {one, other}} {
		if facts := w.holds[i][way[0]]; facts != nil {
			w.give(i, way[1], facts)
		}
	}
}

// recover lets a primary exchange facts with all that it is to recover from, if they are there.
func (w *world) recover(m *machine, i int, p *tierv1.Partition) bool {
	for _, folder := range p.RecoverFrom {
		if b := w.machine(folder); b == nil || !b.up || !w.takes(b, i, p.Epoch) {
			return false
		}
	}
	for _, folder := range p.RecoverFrom {
		w.machine(folder).observe(i, p.Epoch)
		if !w.plant.recoversNothing {
			w.exchange(i, m.folder, folder)
		}
	}
	if m.recovered == nil {
		m.recovered = map[int]uint64{}
	}
	m.recovered[i] = p.Epoch
	return true
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
		for _, folder := range replicaFolders(p) {
			_, stays := copies[folder]
			assert.Assert(w.t, stays, "partition %d: %s: %v of losses %d\n%v", i, folder, p, w.spread.Losses, w.trace)
			copies[folder]++
			c := findBackup(p, folder)
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
