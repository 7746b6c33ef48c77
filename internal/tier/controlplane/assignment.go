package controlplane

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"saffronyard.example/saffronyard/internal/tier/settings"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// partitionCount is the number of partitions, fixed when the map is first made. It divides evenly among a few turn stores, and
// is small enough for the whole map to be pushed to each session.
const partitionCount = 32

// concurrentMoveDivisor divides the number of partitions. The quotient is how many may move, or change their primary, at a time.
const concurrentMoveDivisor = 8

// FaultTolerance is the number of backups of each partition, and the failure domain that its replicas must not share.
type FaultTolerance struct {
	Losses int                            // simultaneous losses to tolerate, and so the number of backups of each partition
	Domain func(*tierv1.StoreNode) string // the failure domain of a turn store: the unit that is lost at once
}

// faultToleranceOf derives the fault tolerance from the settings. It uses the widest failure domain of which a loss is to be
// tolerated.
func faultToleranceOf(s settings.Settings) FaultTolerance {
	domain := func(store *tierv1.StoreNode) string { return store.Node }
	switch {
	case s.RegionFailures > 0:
		domain = func(store *tierv1.StoreNode) string { return store.Region }
	case s.ZoneFailures > 0:
		domain = func(store *tierv1.StoreNode) string { return store.Zone }
	}
	return FaultTolerance{Losses: s.Losses(), Domain: domain}
}

// Report is a primary's report that a replica of its partition has everything that was acknowledged, synced to disk.
type Report struct {
	From    string // folder of the primary
	Replica *tierv1.SyncedReplica
}

// Input is what Assign computes the partition map from, besides the previous map.
type Input struct {
	FaultTolerance
	Alive           map[string]*tierv1.StoreNode // by folder; without those whose disk is not sound
	Draining        map[string]bool              // by folder: turn stores that have been asked to shut down
	Reports         []Report
	Slow            map[uint32]bool // partitions with a replica that has been syncing for longer than usual
	Stalled         map[uint32]bool // partitions in Slow for which other turn stores are to be tried
	RecentlyExpired map[string]bool // folders of turn stores whose sessions expired less than the wait of lostReplicaWaitDivisor ago
	GraceOver       bool            // a turn store that is not alive is lost; during the grace it may still reconnect
	MayCreate       bool            // the first map may be made
	MayMove         bool            // replicas and primaries may move for the sake of balance alone
	RequiredMoves   int             // partitions that have to move at a time to meet the deadlines of retire orders, see requiredMoves
}

// Assign adapts the partition map to the turn stores that are alive, and returns whether anything changed. It is pure, and does
// not modify the previous map. It never drops a replica that may be the last one with acknowledged data: only a synced replica
// becomes primary, and no synced replica is dropped in favour of an unsynced one, unless its disk is gone, or its turn store is
// lost and the losses are within FaultTolerance.Losses. Each change of a partition's primary or backups raises its epoch by
// one.
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

// advanceEpoch raises the epoch of a partition whose primary or backups have changed, and records for each replica that is
// being synced the epoch in which it became a backup.
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

// sameReplicas reports whether a partition has the same primary and backups, and no new recovery.
func sameReplicas(a, b *tierv1.Partition) bool {
	if len(a.RecoverFrom) > 0 && !slices.Equal(a.RecoverFrom, b.RecoverFrom) {
		return false // the primary has to recover
	}
	return a.Primary == b.Primary && slices.EqualFunc(a.Backups, b.Backups, func(x, y *tierv1.Replica) bool { return x.Folder == y.Folder })
}

// assignment is one run of Assign. Its methods change m.
type assignment struct {
	Input
	m             *tierv1.PartitionMap
	storeNodes    map[string]*tierv1.StoreNode // by folder
	replaced      map[string]bool              // folders whose node now has another folder: their disks are lost
	surplusBefore map[*tierv1.Partition]string // by partition: the surplus replica to drop, as determined before the reports are applied
	slowTargets   map[string]int               // by folder: replicas being synced there in slow partitions
	slowSources   map[string]int               // by folder: slow partitions whose primary is there
	lostDomains   int                          // failure domains with a lost turn store that has replicas and may return
}

// observeNodes adds turn stores that are new to the map, updates those whose address has changed, and finds the folders that
// were replaced.
func (a *assignment) observeNodes() {
	a.storeNodes, a.replaced = map[string]*tierv1.StoreNode{}, map[string]bool{}
	nodes := map[string]string{}
	for folder, store := range a.Alive {
		nodes[store.Node] = folder
	}
	for i, store := range a.m.StoreNodes {
		if now := a.Alive[store.Folder]; now != nil {
			if !proto.Equal(now, store) {
				store = proto.Clone(now).(*tierv1.StoreNode)
				a.m.StoreNodes[i] = store
			}
		} else if other, ok := nodes[store.Node]; ok && other != store.Folder {
			a.replaced[store.Folder] = true
		}
		a.storeNodes[store.Folder] = store
	}
	for _, folder := range slices.Sorted(maps.Keys(a.Alive)) {
		if a.storeNodes[folder] == nil {
			store := proto.Clone(a.Alive[folder]).(*tierv1.StoreNode)
			a.storeNodes[folder] = store
			a.m.StoreNodes = append(a.m.StoreNodes, store)
		}
	}
}

// applyReports marks the replicas as synced that the partition's primary has reported as synced in the current epoch.
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
			p.RecoverFrom, p.AcknowledgedUntil = nil, 0 // a primary reports replicas only after it has recovered
		}
	}
}

// recordSurplus records which replicas are to be dropped. It must run before applyReports: a replica to be dropped is the one
// before its unsynced successor, and applyReports may mark the successor as synced.
func (a *assignment) recordSurplus() {
	a.surplusBefore = map[*tierv1.Partition]string{}
	for _, p := range a.m.Partitions {
		if a.stayingReplicas(p) > a.Losses+1 {
			a.surplusBefore[p] = a.surplusReplica(p)
		}
	}
}

// createFirstMap makes the first map, and returns false if there are too few turn stores. All replicas are synced, as they are
// empty.
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
	for range partitionCount * partitionCount { // balances the map as moves would, but in one step
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

// pruneNodes drops the turn stores without replicas whose folder was replaced, or that were emptied and are now lost.
func (a *assignment) pruneNodes() {
	used := map[string]bool{}
	for _, p := range a.m.Partitions {
		for _, folder := range replicaFolders(p) {
			used[folder] = true
		}
	}
	a.m.StoreNodes = slices.DeleteFunc(a.m.StoreNodes, func(store *tierv1.StoreNode) bool {
		emptied := a.retiring(store.Folder) && a.lost(store.Folder)
		return !used[store.Folder] && (a.replaced[store.Folder] || emptied)
	})
}
