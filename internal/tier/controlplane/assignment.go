package controlplane

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"saffronyard.example/saffronyard/internal/tier/settings"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// partitionCount is the number of partitions, fixed when the map is first made. It is a multiple of what a few turn stores
// share evenly, and small enough for the map to be pushed whole.
const partitionCount = 32

// concurrentMoveDivisor is the part of the partitions that move, or change their primary, at a time.
const concurrentMoveDivisor = 8

// FaultTolerance tells how many copies there are beside the primary, and what they must not share.
type FaultTolerance struct {
	Losses int                            // to be borne at once
	Domain func(*tierv1.StoreNode) string // what is lost as one
}

// faultToleranceOf derives the spread from the losses to be borne.
func faultToleranceOf(s settings.Settings) FaultTolerance {
	d := func(k *tierv1.StoreNode) string { return k.Node }
	switch {
	case s.LoseRegions > 0:
		d = func(k *tierv1.StoreNode) string { return k.Region }
	case s.LoseZones > 0:
		d = func(k *tierv1.StoreNode) string { return k.Zone }
	}
	return FaultTolerance{Losses: s.Losses(), Domain: d}
}

// Report is a turn store's report, From by its folder, that a copy holds all that was acknowledged, synced on its disk.
type Report struct {
	From    string
	Replica *tierv1.SyncedReplica
}

// Input is what the partition map is made from, beside the map before.
type Input struct {
	FaultTolerance
	Alive           map[string]*tierv1.StoreNode // by folder; those whose disk is not sound are not among them
	Draining        map[string]bool              // of these: SIGTERM was heard
	Reports         []Report
	Slow            map[uint32]bool // partitions with a copy under way for longer than usual
	Stalled         map[uint32]bool // of these: it is time to try other turn stores
	RecentlyExpired map[string]bool // folders of turn stores whose sessions lapsed less than the wait (reducePart) ago
	GraceOver       bool            // whoever is not alive is lost; else it may only not have come yet
	MayCreate       bool            // the first map may be made
	MayMove         bool            // copies and primaries may move only to make shares even
	RequiredMoves   int             // partitions that have to move at a time for orders to retire to end in time (retirePace)
}

// Assign brings the partition map in line with the turn stores that are alive, and tells whether anything changed. It is pure:
// the map before is not modified. It gives up no copy that may be the last of what was acknowledged: only a synced copy becomes
// primary, and no synced copy is dropped in favour of an unsynced one, unless its disk is gone or its turn store is lost
// and the losses are within Spread.Losses. Each change of a partition's primary or backups raises its epoch by one.
func Assign(before *tierv1.PartitionMap, in Input) (after *tierv1.PartitionMap, changed bool) {
	m := &tierv1.PartitionMap{}
	if before != nil {
		m = proto.Clone(before).(*tierv1.PartitionMap)
	}
	a := &assignment{Input: in, m: m}
	a.observeNodes()
	a.recordSurplus()
	if len(m.Partitions) == 0 {
		if !in.MayCreate || !a.createFirstMap() {
			a.pruneNodes()
			if before == nil || proto.Equal(m, before) {
				return before, false
			}
			return m, true
		}
	}
	a.applyReports()
	a.lostDomains = a.countLost()
	a.countSlow()
	for i, p := range m.Partitions {
		a.repair(p, a.Stalled[uint32(i)])
	}
	if a.GraceOver && a.MayMove {
		a.rebalance()
	}
	a.pruneNodes()
	for i, p := range m.Partitions {
		if before != nil && i < len(before.Partitions) {
			advanceEpoch(p, before.Partitions[i])
		}
	}
	if before != nil && proto.Equal(m, before) {
		return before, false
	}
	return m, true
}

// advanceEpoch raises the epoch of a partition whose primary or backups have changed, and notes in it from which epoch on each
// copy under way has been a member.
func advanceEpoch(p, before *tierv1.Partition) {
	if !sameReplicas(p, before) {
		p.Epoch = before.Epoch + 1
	}
	for _, c := range p.Backups {
		old := findBackup(before, c.Folder)
		switch {
		case c.Synced:
			c.Since = 0
		case old != nil && !old.Synced:
			c.Since = old.Since
		default:
			c.Since = p.Epoch
		}
	}
}

func sameReplicas(a, b *tierv1.Partition) bool {
	if len(a.RecoverFrom) > 0 && !slices.Equal(a.RecoverFrom, b.RecoverFrom) {
		return false // the primary begins its term anew
	}
	return a.Primary == b.Primary && slices.EqualFunc(a.Backups, b.Backups, func(x, y *tierv1.Replica) bool { return x.Folder == y.Folder })
}

// assignment is one run of Assign.
type assignment struct {
	Input
	m             *tierv1.PartitionMap
	storeNodes    map[string]*tierv1.StoreNode // by folder
	replaced      map[string]bool              // folders whose node has another one now
	surplusBefore map[*tierv1.Partition]string // of those that had one copy too many, before reports were taken
	slowTargets   map[string]int               // by folder: copies under way there in slow partitions
	slowSources   map[string]int               // by folder: slow partitions that it is the primary of
	lostDomains   int                          // domains with a lost turn store that has copies
}

// observeNodes takes in turn stores that are new, or whose address is, and finds the folders that were replaced.
func (a *assignment) observeNodes() {
	a.storeNodes, a.replaced = map[string]*tierv1.StoreNode{}, map[string]bool{}
	nodes := map[string]string{}
	for folder, one := range a.Alive {
		nodes[one.Node] = folder
	}
	for i, one := range a.m.StoreNodes {
		if now := a.Alive[one.Folder]; now != nil {
			if !proto.Equal(now, one) {
				one = proto.Clone(now).(*tierv1.StoreNode)
				a.m.StoreNodes[i] = one
			}
		} else if other, ok := nodes[one.Node]; ok && other != one.Folder {
			a.replaced[one.Folder] = true
		}
		a.storeNodes[one.Folder] = one
	}
	for _, folder := range sortedKeys(a.Alive) {
		if a.storeNodes[folder] == nil {
			one := proto.Clone(a.Alive[folder]).(*tierv1.StoreNode)
			a.storeNodes[folder] = one
			a.m.StoreNodes = append(a.m.StoreNodes, one)
		}
	}
}

// applyReports marks copies that the partition's primary has reported synced in this epoch.
func (a *assignment) applyReports() {
	for _, r := range a.Reports {
		if int(r.Replica.Partition) >= len(a.m.Partitions) {
			continue
		}
		p := a.m.Partitions[r.Replica.Partition]
		if p.Epoch != r.Replica.Epoch || p.Primary != r.From {
			continue
		}
		if c := findBackup(p, r.Replica.Folder); c != nil {
			c.Synced, c.Since = true, 0
			p.RecoverFrom, p.AcknowledgedUntil = nil, 0 // it reports copies only when it has recovered
		}
	}
}

// recordSurplus notes which copies are to be dropped: their successors may be reported synced in this run.
func (a *assignment) recordSurplus() {
	a.surplusBefore = map[*tierv1.Partition]string{}
	for _, p := range a.m.Partitions {
		if a.stayingReplicas(p) > a.Losses+1 {
			a.surplusBefore[p] = a.surplusReplica(p)
		}
	}
}

// createFirstMap makes the first map. All copies are whole, as they are empty.
func (a *assignment) createFirstMap() bool {
	n := 0
	for folder := range a.Alive {
		if a.usable(folder) {
			n++
		}
	}
	if n < a.Losses+1 {
		return false
	}
	for range partitionCount {
		p := &tierv1.Partition{Epoch: 1}
		a.m.Partitions = append(a.m.Partitions, p)
		p.Primary = a.pickStore(p)
		for range a.Losses {
			if next := a.pickStore(p); next != "" {
				p.Backups = append(p.Backups, &tierv1.Replica{Folder: next, Synced: true})
			}
		}
	}
	for range partitionCount * partitionCount { // as moves would make it even, but at once
		before := proto.Clone(a.m).(*tierv1.PartitionMap)
		a.rebalance()
		a.recordSurplus()
		for _, p := range a.m.Partitions {
			for _, c := range p.Backups {
				c.Synced = true
			}
			a.trim(p)
		}
		if proto.Equal(before, a.m) {
			break
		}
	}
	return true
}

// pruneNodes drops store nodes without a copy whose folder was replaced, or that are lost after they were emptied.
func (a *assignment) pruneNodes() {
	used := map[string]bool{}
	for _, p := range a.m.Partitions {
		for _, folder := range replicaFolders(p) {
			used[folder] = true
		}
	}
	a.m.StoreNodes = slices.DeleteFunc(a.m.StoreNodes, func(one *tierv1.StoreNode) bool {
		emptied := a.retiring(one.Folder) && a.lost(one.Folder)
		return !used[one.Folder] && (a.replaced[one.Folder] || emptied)
	})
}
