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

// stepTime is the duration of a step of the model, and stallTime the time after which a replica being synced counts as slow.
const (
	stepTime  = 250 * time.Millisecond
	stallTime = 3 * time.Second
)

// modelMachine is a storage machine of the model.
type modelMachine struct {
	node, zone   string
	folder       string
	incarnations int
	up           bool // running
	partitioned  bool // reachable for turn stores, but not for the control plane
	unreachable  bool // reachable for the control plane, but not for turn stores
	draining     bool
	diskUnsound  bool // reports to the control plane that its disk is not sound
	received     []*tierv1.Partition
	observed     map[int]uint64 // by partition, the newest epoch that a primary has named
	recovered    map[int]uint64 // by partition, the epoch in which it has all facts of the backups that it was to recover from
}

// placementModel is a model of turn stores that acknowledge turns by the newest map that each has received.
type placementModel struct {
	t            reporter
	mutant       mutant
	random       *rand.Rand
	tolerance    FaultTolerance
	machines     []*modelMachine
	partitionMap *tierv1.PartitionMap
	acknowledged []*big.Int            // by partition, a bit for each acknowledged fact
	facts        []map[string]*big.Int // by partition and folder, the facts stored there
	reports      []Report
	trace        []string
	stalls       stallTracker
	now          time.Time // virtual: a step of the model takes stepTime
}

func byZone(k *tierv1.StoreNode) string { return k.Zone }
func byNode(k *tierv1.StoreNode) string { return k.Node }

func newModel(t reporter, r *rand.Rand, n, zones int, tolerance FaultTolerance) *placementModel {
	return newMutantModel(t, mutant{}, r, n, zones, tolerance)
}

// newMutantModel is newModel with an injected fault.
func newMutantModel(t reporter, fault mutant, r *rand.Rand, n, zones int, tolerance FaultTolerance) *placementModel {
	model := &placementModel{t: t, mutant: fault, random: r, tolerance: tolerance}
	for i := range n {
		model.add(i, zones)
	}
	return model
}

func (model *placementModel) add(i, zones int) *modelMachine {
	m := &modelMachine{node: fmt.Sprint("n", i), zone: fmt.Sprint("z", i%zones), folder: fmt.Sprint("n", i, ".1"), incarnations: 1, up: true}
	model.machines = append(model.machines, m)
	return m
}

func (m *modelMachine) storeNode() *tierv1.StoreNode {
	return &tierv1.StoreNode{Folder: m.folder, Node: m.node, Address: m.node + ":1", Zone: m.zone}
}

func (model *placementModel) input() Input {
	in := Input{FaultTolerance: model.tolerance, Alive: map[string]*tierv1.StoreNode{}, Draining: map[string]bool{}, Reports: model.reports, GraceOver: true, MayCreate: true, MayMove: true}
	for _, m := range model.machines {
		if m.up && !m.partitioned && !m.diskUnsound {
			in.Alive[m.folder] = m.storeNode()
			if m.draining {
				in.Draining[m.folder] = true
			}
		}
	}
	in.Slow, in.Stalled = model.stalls.observe(model.now, stallTime, model.partitionMap, in.Alive)
	return in
}

func (model *placementModel) machine(folder string) *modelMachine {
	for _, m := range model.machines {
		if m.folder == folder {
			return m
		}
	}
	return nil
}

// assign computes the next map, and checks the invariants between it and the previous one.
func (model *placementModel) assign(in Input) bool {
	before := model.partitionMap
	unchanged := proto.Clone(before)
	next, changed := model.mutant.runAssign(before, in)
	assert.Assert(model.t, proto.Equal(unchanged, before), "the previous map was modified")
	if !changed {
		assert.Assert(model.t, next == before)
		return false
	}
	model.partitionMap = next
	for range len(next.Partitions) - len(model.acknowledged) {
		model.acknowledged = append(model.acknowledged, new(big.Int))
		model.facts = append(model.facts, map[string]*big.Int{})
	}
	model.check(before)
	return true
}

func (model *placementModel) check(before *tierv1.PartitionMap) {
	model.t.Helper()
	for i, p := range model.partitionMap.Partitions {
		all := replicaFolders(p)
		if len(all) != len(slices.Compact(slices.Sorted(slices.Values(all)))) {
			model.t.Fatalf("duplicate folder in %v\n%v", p, model.trace)
		}
		for _, folder := range all {
			c := findBackup(p, folder)
			wiped := model.machine(folder) == nil
			if !wiped && (c != nil && c.Synced || c == nil && len(p.RecoverFrom) == 0) && !model.complete(i, folder) {
				model.t.Fatalf("partition %d: %s is marked synced and is not complete: %v\n%v", i, folder, p, model.trace)
			}
			if !slices.ContainsFunc(model.partitionMap.StoreNodes, func(k *tierv1.StoreNode) bool { return k.Folder == folder }) {
				model.t.Fatalf("no store node of %s", folder)
			}
		}
		if before == nil || len(before.Partitions) == 0 {
			continue
		}
		old, epoch := before.Partitions[i], before.Partitions[i].Epoch
		recoversAnew := len(p.RecoverFrom) > 0 && !slices.Equal(old.RecoverFrom, p.RecoverFrom) // a recovery needs an epoch of its own
		if old.Primary != p.Primary || !slices.Equal(replicaFolders(old), all) || recoversAnew {
			epoch++
		}
		if p.Epoch != epoch {
			model.t.Fatalf("partition %d: wrong epoch after the change from %v to %v\n%v", i, old, p, model.trace)
		}
	}
}

// accepts reports whether a machine accepts facts of an epoch. A machine that has just started accepts none before it has
// received the map.
func (m *modelMachine) accepts(i int, epoch uint64) bool {
	return !m.unreachable && i < len(m.received) && max(m.received[i].Epoch, m.observed[i]) <= epoch
}

// accepts reports whether a machine accepts facts of an epoch, with the fault that is injected.
func (model *placementModel) accepts(m *modelMachine, i int, epoch uint64) bool {
	return m.accepts(i, epoch) || model.mutant.acceptsStaleEpochs && !m.unreachable && i < len(m.received)
}

// observe records an epoch that a primary has named: the machine accepts no facts of older epochs any more.
func (m *modelMachine) observe(i int, epoch uint64) {
	if m.observed == nil {
		m.observed = map[int]uint64{}
	}
	m.observed[i] = max(m.observed[i], epoch)
}

// receiveMap gives a machine the newest map.
func (m *modelMachine) receiveMap(model *placementModel) {
	if m.up && !m.partitioned && model.partitionMap != nil {
		m.received = model.partitionMap.Partitions
	}
}

// acknowledge lets a machine acknowledge a turn of a partition, if all backups in its map accept the turn.
func (model *placementModel) acknowledge(m *modelMachine, i int) bool {
	if !m.up || m.unreachable || i >= len(m.received) || m.received[i].Primary != m.folder {
		return false
	}
	p := m.received[i]
	for _, c := range p.Backups {
		b := model.machine(c.Folder)
		if b == nil || !b.up || !model.accepts(b, i, p.Epoch) {
			return false
		}
	}
	if len(p.RecoverFrom) > 0 {
		return false // until the control plane has received the report of the recovery
	}
	assert.Assert(model.t, model.complete(i, m.folder), "partition %d: %s serves and is not complete\n%v", i, m.folder, model.trace)
	fact := new(big.Int).SetBit(new(big.Int), model.acknowledged[i].BitLen(), 1)
	model.acknowledged[i] = new(big.Int).Or(model.acknowledged[i], fact)
	for _, folder := range replicaFolders(p) {
		model.addFacts(i, folder, fact)
	}
	return true
}

// complete reports whether a folder has all acknowledged facts of a partition.
func (model *placementModel) complete(i int, folder string) bool {
	if stored := model.facts[i][folder]; stored != nil {
		return stored.Cmp(model.acknowledged[i]) == 0
	}
	return model.acknowledged[i].BitLen() == 0
}

// addFacts adds facts to a folder.
func (model *placementModel) addFacts(i int, folder string, facts *big.Int) {
	stored := model.facts[i][folder]
	if stored == nil {
		stored = new(big.Int)
	}
	model.facts[i][folder] = new(big.Int).Or(stored, facts)
}

// syncReplica lets a primary sync the replicas of a partition that are not synced, and report them.
func (model *placementModel) syncReplica(m *modelMachine, i int) {
	if !m.up || m.unreachable || i >= len(m.received) || m.received[i].Primary != m.folder {
		return
	}
	p := m.received[i]
	if m.recovered[i] != p.Epoch && !model.recover(m, i, p) {
		return
	}
	for _, c := range p.Backups {
		b := model.machine(c.Folder)
		if c.Synced || b == nil || !b.up || !model.accepts(b, i, p.Epoch) {
			continue
		}
		b.observe(i, p.Epoch)
		if !model.mutant.reportsEarly {
			model.exchangeFacts(i, m.folder, c.Folder)
		}
		if !m.partitioned {
			model.reports = append(model.reports, Report{m.folder, &tierv1.SyncedReplica{Partition: uint32(i), Epoch: p.Epoch, Folder: c.Folder}})
		}
	}
}

// exchangeFacts copies facts between two folders, so that both have the same.
func (model *placementModel) exchangeFacts(i int, one, other string) {
	for _, way := range [][2]string{{other, one}, {one, other}} {
		if facts := model.facts[i][way[0]]; facts != nil {
			model.addFacts(i, way[1], facts)
		}
	}
}

// recover lets a primary exchange facts with all replicas that it is to recover from, and returns false if one is not available.
func (model *placementModel) recover(m *modelMachine, i int, p *tierv1.Partition) bool {
	for _, folder := range p.RecoverFrom {
		if b := model.machine(folder); b == nil || !b.up || !model.accepts(b, i, p.Epoch) {
			return false
		}
	}
	for _, folder := range p.RecoverFrom {
		model.machine(folder).observe(i, p.Epoch)
		if !model.mutant.recoversNothing {
			model.exchangeFacts(i, m.folder, folder)
		}
	}
	if m.recovered == nil {
		m.recovered = map[int]uint64{}
	}
	m.recovered[i] = p.Epoch
	return true
}

// runUntilStable runs the model until nothing changes, and returns the number of maps that it took.
func (model *placementModel) runUntilStable() int {
	for n := range 2000 {
		for _, m := range model.machines {
			m.receiveMap(model)
		}
		for _, m := range model.machines {
			for i := range model.partitionMap.Partitions {
				model.syncReplica(m, i)
				model.acknowledge(m, i)
			}
		}
		if !model.assign(model.input()) {
			return n
		}
		model.reports = nil
	}
	model.t.Fatalf("the map does not become stable: %v\n%v", model.partitionMap, model.trace)
	return 0
}

// assertBalanced checks that replicas and primaries are balanced and replicas synced, on turn stores that are not departing.
func (model *placementModel) assertBalanced(strict bool) {
	model.t.Helper()
	replicas, primaries := map[string]int{}, map[string]int{}
	for _, m := range model.machines {
		if m.up && !m.partitioned && !m.draining && !slices.Contains(model.partitionMap.Retiring, m.node) {
			replicas[m.folder], primaries[m.folder] = 0, 0
		}
	}
	for i, p := range model.partitionMap.Partitions {
		assert.Equal(model.t, len(p.Backups), model.tolerance.Losses, "partition %d: %v", i, p)
		primaries[p.Primary]++
		domains := map[string]bool{}
		for _, folder := range replicaFolders(p) {
			_, staying := replicas[folder]
			assert.Assert(model.t, staying, "partition %d: %s: %v of losses %d\n%v", i, folder, p, model.tolerance.Losses, model.trace)
			replicas[folder]++
			c := findBackup(p, folder)
			assert.Assert(model.t, c == nil || c.Synced)
			domains[model.tolerance.Domain(model.machine(folder).storeNode())] = true
		}
		if strict {
			assert.Equal(model.t, len(domains), model.tolerance.Losses+1)
		}
	}
	span := func(of map[string]int) int {
		var all []int
		for _, n := range of {
			all = append(all, n)
		}
		return slices.Max(all) - slices.Min(all)
	}
	if model.tolerance.Domain(&tierv1.StoreNode{Node: "n"}) == "n" {
		assert.Assert(model.t, span(replicas) <= 1, "replicas %v", replicas)
		assert.Assert(model.t, span(primaries) <= 1, "primaries %v\n%v", primaries, model.partitionMap)
	}
}

func (model *placementModel) tracef(format string, args ...any) {
	model.trace = append(model.trace, fmt.Sprintf(format, args...))
}
