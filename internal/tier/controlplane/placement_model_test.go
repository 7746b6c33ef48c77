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

// stepTime is what a step of the model takes, and stallTime when a replica being synced counts as slow.
const (
	stepTime  = 250 * time.Millisecond
	stallTime = 3 * time.Second
)

// modelMachine is a storage machine of the model.
type modelMachine struct {
	node, zone   string
	folder       string
	incarnations int
	up           bool // runs, and control hears it
	partitioned  bool // runs, and turn stores hear it, but control does not
	unreachable  bool // runs, and control hears it, but turn stores do not
	draining     bool
	diskUnsound  bool // reports to control that its disk is not sound
	known        []*tierv1.Partition
	observed     map[int]uint64 // by partition, the newest epoch that a primary has named
	recovered    map[int]uint64 // by partition, the epoch in which it has all facts of the backups that it was to recover from
}

// placementModel is a model of turn stores that acknowledge turns under the newest map that each has heard of.
type placementModel struct {
	t            reporter
	mutant       mutant
	random       *rand.Rand
	tolerance    FaultTolerance
	machines     []*modelMachine
	partitionMap *tierv1.PartitionMap
	acknowledged []*big.Int            // by partition, a bit for each acknowledged fact
	facts        []map[string]*big.Int // by partition and folder, the facts that it holds
	reports      []Report
	trace        []string
	stalls       stallTracker
	now          time.Time // virtual: a step of the model takes stepTime
}

func byZone(k *tierv1.StoreNode) string { return k.Zone }
func byNode(k *tierv1.StoreNode) string { return k.Node }

func newModel(t reporter, r *rand.Rand, n, zones int, spread FaultTolerance) *placementModel {
	return newMutantModel(t, mutant{}, r, n, zones, spread)
}

// newMutantModel is newModel with an injected fault.
func newMutantModel(t reporter, p mutant, r *rand.Rand, n, zones int, spread FaultTolerance) *placementModel {
	w := &placementModel{t: t, mutant: p, random: r, tolerance: spread}
	for i := range n {
		w.add(i, zones)
	}
	return w
}

func (w *placementModel) add(i, zones int) *modelMachine {
	m := &modelMachine{node: fmt.Sprint("n", i), zone: fmt.Sprint("z", i%zones), folder: fmt.Sprint("n", i, ".1"), incarnations: 1, up: true}
	w.machines = append(w.machines, m)
	return m
}

func (m *modelMachine) storeNode() *tierv1.StoreNode {
	return &tierv1.StoreNode{Folder: m.folder, Node: m.node, Address: m.node + ":1", Zone: m.zone}
}

func (w *placementModel) input() Input {
	in := Input{FaultTolerance: w.tolerance, Alive: map[string]*tierv1.StoreNode{}, Draining: map[string]bool{}, Reports: w.reports, GraceOver: true, MayCreate: true, MayMove: true}
	for _, m := range w.machines {
		if m.up && !m.partitioned && !m.diskUnsound {
			in.Alive[m.folder] = m.storeNode()
			if m.draining {
				in.Draining[m.folder] = true
			}
		}
	}
	in.Slow, in.Stalled = w.stalls.observe(w.now, stallTime, w.partitionMap, in.Alive)
	return in
}

func (w *placementModel) machine(folder string) *modelMachine {
	for _, m := range w.machines {
		if m.folder == folder {
			return m
		}
	}
	return nil
}

// assign makes the next map and checks what must hold between two.
func (w *placementModel) assign(in Input) bool {
	before := w.partitionMap
	kept := proto.Clone(before)
	next, changed := w.mutant.assigned(before, in)
	assert.Assert(w.t, proto.Equal(kept, before), "the map before was changed")
	if !changed {
		assert.Assert(w.t, next == before)
		return false
	}
	w.partitionMap = next
	for range len(next.Partitions) - len(w.acknowledged) {
		w.acknowledged = append(w.acknowledged, new(big.Int))
		w.facts = append(w.facts, map[string]*big.Int{})
	}
	w.check(before)
	return true
}

func (w *placementModel) check(before *tierv1.PartitionMap) {
	w.t.Helper()
	for i, p := range w.partitionMap.Partitions {
		all := replicaFolders(p)
		if len(all) != len(slices.Compact(slices.Sorted(slices.Values(all)))) {
			w.t.Fatalf("a folder twice in %v\n%v", p, w.trace)
		}
		for _, folder := range all {
			c := findBackup(p, folder)
			wiped := w.machine(folder) == nil
			if !wiped && (c != nil && c.Synced || c == nil && len(p.RecoverFrom) == 0) && !w.complete(i, folder) {
				w.t.Fatalf("partition %d: %s is called whole and is not: %v\n%v", i, folder, p, w.trace)
			}
			if !slices.ContainsFunc(w.partitionMap.StoreNodes, func(k *tierv1.StoreNode) bool { return k.Folder == folder }) {
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

// accepts tells whether a machine takes facts of an epoch. One that has just started takes none before it knows the map.
func (m *modelMachine) accepts(i int, epoch uint64) bool {
	return !m.unreachable && i < len(m.known) && max(m.known[i].Epoch, m.observed[i]) <= epoch
}

// accepts tells whether a machine takes facts of an epoch, with the fault that is injected.
func (w *placementModel) accepts(m *modelMachine, i int, epoch uint64) bool {
	return m.accepts(i, epoch) || w.mutant.acceptsStaleEpochs && !m.unreachable && i < len(m.known)
}

// observe has a machine know an epoch that another has named: it takes nothing of an older one any more.
func (m *modelMachine) observe(i int, epoch uint64) {
	if m.observed == nil {
		m.observed = map[int]uint64{}
	}
	m.observed[i] = max(m.observed[i], epoch)
}

// receiveMap gives a machine the newest map.
func (m *modelMachine) receiveMap(w *placementModel) {
	if m.up && !m.partitioned && w.partitionMap != nil {
		m.known = w.partitionMap.Partitions
	}
}

// acknowledge lets a machine acknowledge a turn of a partition, if those whom it knows as backups take it.
func (w *placementModel) acknowledge(m *modelMachine, i int) bool {
	if !m.up || m.unreachable || i >= len(m.known) || m.known[i].Primary != m.folder {
		return false
	}
	p := m.known[i]
	for _, c := range p.Backups {
		b := w.machine(c.Folder)
		if b == nil || !b.up || !w.accepts(b, i, p.Epoch) {
			return false
		}
	}
	if len(p.RecoverFrom) > 0 {
		return false // until control knows that it has recovered
	}
	assert.Assert(w.t, w.complete(i, m.folder), "partition %d: %s serves and is not whole\n%v", i, m.folder, w.trace)
	fact := new(big.Int).SetBit(new(big.Int), w.acknowledged[i].BitLen(), 1)
	w.acknowledged[i] = new(big.Int).Or(w.acknowledged[i], fact)
	for _, folder := range replicaFolders(p) {
		w.addFacts(i, folder, fact)
	}
	return true
}

// complete tells whether a folder holds all that was acknowledged of a partition.
func (w *placementModel) complete(i int, folder string) bool {
	if held := w.facts[i][folder]; held != nil {
		return held.Cmp(w.acknowledged[i]) == 0
	}
	return w.acknowledged[i].BitLen() == 0
}

// addFacts lets a folder hold facts.
func (w *placementModel) addFacts(i int, folder string, facts *big.Int) {
	held := w.facts[i][folder]
	if held == nil {
		held = new(big.Int)
	}
	w.facts[i][folder] = new(big.Int).Or(held, facts)
}

// syncReplica lets a machine bring a replica of a partition up to date, and report it.
func (w *placementModel) syncReplica(m *modelMachine, i int) {
	if !m.up || m.unreachable || i >= len(m.known) || m.known[i].Primary != m.folder {
		return
	}
	p := m.known[i]
	if m.recovered[i] != p.Epoch && !w.recover(m, i, p) {
		return
	}
	for _, c := range p.Backups {
		b := w.machine(c.Folder)
		if c.Synced || b == nil || !b.up || !w.accepts(b, i, p.Epoch) {
			continue
		}
		b.observe(i, p.Epoch)
		if !w.mutant.reportsEarly {
			w.exchangeFacts(i, m.folder, c.Folder)
		}
		if !m.partitioned {
			w.reports = append(w.reports, Report{m.folder, &tierv1.SyncedReplica{Partition: uint32(i), Epoch: p.Epoch, Folder: c.Folder}})
		}
	}
}

// exchangeFacts lets two folders hold the same facts.
func (w *placementModel) exchangeFacts(i int, one, other string) {
	for _, way := range [][2]string{{other, one}, {one, other}} {
		if facts := w.facts[i][way[0]]; facts != nil {
			w.addFacts(i, way[1], facts)
		}
	}
}

// recover lets a primary exchange facts with all that it is to recover from, if they are there.
func (w *placementModel) recover(m *modelMachine, i int, p *tierv1.Partition) bool {
	for _, folder := range p.RecoverFrom {
		if b := w.machine(folder); b == nil || !b.up || !w.accepts(b, i, p.Epoch) {
			return false
		}
	}
	for _, folder := range p.RecoverFrom {
		w.machine(folder).observe(i, p.Epoch)
		if !w.mutant.recoversNothing {
			w.exchangeFacts(i, m.folder, folder)
		}
	}
	if m.recovered == nil {
		m.recovered = map[int]uint64{}
	}
	m.recovered[i] = p.Epoch
	return true
}

// runUntilStable runs the model until nothing changes, and returns how many maps that took.
func (w *placementModel) runUntilStable() int {
	for n := range 2000 {
		for _, m := range w.machines {
			m.receiveMap(w)
		}
		for _, m := range w.machines {
			for i := range w.partitionMap.Partitions {
				w.syncReplica(m, i)
				w.acknowledge(m, i)
			}
		}
		if !w.assign(w.input()) {
			return n
		}
		w.reports = nil
	}
	w.t.Fatalf("no rest: %v\n%v", w.partitionMap, w.trace)
	return 0
}

// assertBalanced checks that replicas and primaries are balanced and replicas synced, on turn stores that stay.
func (w *placementModel) assertBalanced(strict bool) {
	w.t.Helper()
	copies, primaries := map[string]int{}, map[string]int{}
	for _, m := range w.machines {
		if m.up && !m.partitioned && !m.draining && !slices.Contains(w.partitionMap.Retiring, m.node) {
			copies[m.folder], primaries[m.folder] = 0, 0
		}
	}
	for i, p := range w.partitionMap.Partitions {
		assert.Equal(w.t, len(p.Backups), w.tolerance.Losses, "partition %d: %v", i, p)
		primaries[p.Primary]++
		domains := map[string]bool{}
		for _, folder := range replicaFolders(p) {
			_, stays := copies[folder]
			assert.Assert(w.t, stays, "partition %d: %s: %v of losses %d\n%v", i, folder, p, w.tolerance.Losses, w.trace)
			copies[folder]++
			c := findBackup(p, folder)
			assert.Assert(w.t, c == nil || c.Synced)
			domains[w.tolerance.Domain(w.machine(folder).storeNode())] = true
		}
		if strict {
			assert.Equal(w.t, len(domains), w.tolerance.Losses+1)
		}
	}
	span := func(of map[string]int) int {
		var all []int
		for _, n := range of {
			all = append(all, n)
		}
		return slices.Max(all) - slices.Min(all)
	}
	if w.tolerance.Domain(&tierv1.StoreNode{Node: "n"}) == "n" {
		assert.Assert(w.t, span(copies) <= 1, "copies %v", copies)
		assert.Assert(w.t, span(primaries) <= 1, "primaries %v\n%v", primaries, w.partitionMap)
	}
}

func (w *placementModel) tracef(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf(format, args...))
}
