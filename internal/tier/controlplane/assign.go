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

// moveShare is the part of the partitions that move, or change their primary, at a time.
const moveShare = 8

// Spread tells how many copies there are beside the primary, and what they must not share.
type Spread struct {
	Losses int                            // to be borne at once
	Domain func(*tierv1.StoreNode) string // what is lost as one
}

// spreadOf derives the spread from the losses to be borne.
func spreadOf(s settings.Settings) Spread {
	d := func(k *tierv1.StoreNode) string { return k.Node }
	switch {
	case s.LoseRegions > 0:
		d = func(k *tierv1.StoreNode) string { return k.Region }
	case s.LoseZones > 0:
		d = func(k *tierv1.StoreNode) string { return k.Zone }
	}
	return Spread{Losses: s.Losses(), Domain: d}
}

// Report is a turn store's report, From by its folder, that a copy holds all that was acknowledged, synced on its disk.
type Report struct {
	From string
	Copy *tierv1.SyncedReplica
}

// Input is what the partition map is made from, beside the map before.
type Input struct {
	Spread
	Alive   map[string]*tierv1.StoreNode // by folder; those whose disk is not sound are not among them
	Leaving map[string]bool              // of these: SIGTERM was heard
	Reports []Report
	Slow    map[uint32]bool // partitions with a copy under way for longer than usual
	Stalled map[uint32]bool // of these: it is time to try other turn stores
	Lapsed  map[string]bool // folders of turn stores whose sessions lapsed less than the wait (reducePart) ago
	Certain bool            // whoever is not alive is lost; else it may only not have come yet
	Create  bool            // the first map may be made
	Move    bool            // copies and primaries may move only to make shares even
	Pace    int             // partitions that have to move at a time for orders to retire to end in time (retirePace)
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
	a.noteOutgoing()
	if len(m.Partitions) == 0 {
		if !in.Create || !a.create() {
			a.pruneNodes()
			if before == nil || proto.Equal(m, before) {
				return before, false
			}
			return m, true
		}
	}
	a.takeReports()
	a.lostDomains = a.countLost()
	a.countSlow()
	for i, p := range m.Partitions {
		a.repair(p, a.Stalled[uint32(i)])
	}
	if a.Certain && a.Move {
		a.rebalance()
	}
	a.pruneNodes()
	for i, p := range m.Partitions {
		if before != nil && i < len(before.Partitions) {
			number(p, before.Partitions[i])
		}
	}
	if before != nil && proto.Equal(m, before) {
		return before, false
	}
	return m, true
}

// number raises the epoch of a partition whose primary or backups have changed, and notes in it from which epoch on each
// copy under way has been a member.
func number(p, before *tierv1.Partition) {
	if !sameCopies(p, before) {
		p.Epoch = before.Epoch + 1
	}
	for _, c := range p.Backups {
		old := backup(before, c.Folder)
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

func sameCopies(a, b *tierv1.Partition) bool {
	if len(a.RecoverFrom) > 0 && !slices.Equal(a.RecoverFrom, b.RecoverFrom) {
		return false // the primary begins its term anew
	}
	return a.Primary == b.Primary && slices.EqualFunc(a.Backups, b.Backups, func(x, y *tierv1.Replica) bool { return x.Folder == y.Folder })
}

// assignment is one run of Assign.
type assignment struct {
	Input
	m           *tierv1.PartitionMap
	storeNodes  map[string]*tierv1.StoreNode // by folder
	replaced    map[string]bool              // folders whose node has another one now
	outgoing    map[*tierv1.Partition]string // of those that had one copy too many, before reports were taken
	slowTargets map[string]int               // by folder: copies under way there in slow partitions
	slowSources map[string]int               // by folder: slow partitions that it is the primary of
	lostDomains int                          // domains with a lost turn store that has copies
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
	for _, folder := range sorted(a.Alive) {
		if a.storeNodes[folder] == nil {
			one := proto.Clone(a.Alive[folder]).(*tierv1.StoreNode)
			a.storeNodes[folder] = one
			a.m.StoreNodes = append(a.m.StoreNodes, one)
		}
	}
}

// pruneNodes drops store nodes without a copy whose folder was replaced, or that are lost after they were emptied.
func (a *assignment) pruneNodes() {
	used := map[string]bool{}
	for _, p := range a.m.Partitions {
		for _, folder := range members(p) {
			used[folder] = true
		}
	}
	a.m.StoreNodes = slices.DeleteFunc(a.m.StoreNodes, func(one *tierv1.StoreNode) bool {
		emptied := a.retiring(one.Folder) && a.lost(one.Folder)
		return !used[one.Folder] && (a.replaced[one.Folder] || emptied)
	})
}

func sorted[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func (a *assignment) alive(folder string) bool { return a.Alive[folder] != nil }

// lost tells whether a turn store is called lost. One that is neither alive nor lost has not come yet.
func (a *assignment) lost(folder string) bool {
	return !a.alive(folder) && (a.Certain || a.replaced[folder])
}

// countSlow counts, for each turn store, the slow partitions that it is the primary of, and the copies under way there in such.
func (a *assignment) countSlow() {
	a.slowTargets, a.slowSources = map[string]int{}, map[string]int{}
	for i, p := range a.m.Partitions {
		if !a.Slow[uint32(i)] {
			continue
		}
		a.slowSources[p.Primary]++
		for _, c := range p.Backups {
			if !c.Synced {
				a.slowTargets[c.Folder]++
			}
		}
	}
}

// departing tells whether a turn store gives its copies up: it is to be emptied, or has heard SIGTERM.
func (a *assignment) departing(folder string) bool { return a.retiring(folder) || a.Leaving[folder] }

func (a *assignment) retiring(folder string) bool {
	one := a.storeNodes[folder]
	return one != nil && slices.Contains(a.m.Retiring, one.Node)
}

// usable tells whether a turn store may get new duties.
func (a *assignment) usable(folder string) bool {
	return a.alive(folder) && !a.departing(folder)
}

func (a *assignment) domain(folder string) string {
	if one := a.storeNodes[folder]; one != nil {
		return a.Domain(one)
	}
	return folder
}

// countLost counts the domains in which a turn store that has copies is lost, and may yet return.
func (a *assignment) countLost() int {
	domains := map[string]bool{}
	for _, p := range a.m.Partitions {
		for _, folder := range members(p) {
			if a.lost(folder) && !a.replaced[folder] {
				domains[a.domain(folder)] = true
			}
		}
	}
	return len(domains)
}

// members are the folders of a partition, the primary first.
func members(p *tierv1.Partition) []string {
	all := make([]string, 1, len(p.Backups)+1)
	all[0] = p.Primary
	for _, c := range p.Backups {
		all = append(all, c.Folder)
	}
	return all
}

func backup(p *tierv1.Partition, folder string) *tierv1.Replica {
	for _, c := range p.Backups {
		if c.Folder == folder {
			return c
		}
	}
	return nil
}

// takeReports marks copies that the partition's primary has reported synced in this epoch.
func (a *assignment) takeReports() {
	for _, r := range a.Reports {
		if int(r.Copy.Partition) >= len(a.m.Partitions) {
			continue
		}
		p := a.m.Partitions[r.Copy.Partition]
		if p.Epoch != r.Copy.Epoch || p.Primary != r.From {
			continue
		}
		if c := backup(p, r.Copy.Folder); c != nil {
			c.Synced, c.Since = true, 0
			p.RecoverFrom, p.AcknowledgedUntil = nil, 0 // it reports copies only when it has recovered
		}
	}
}

// noteOutgoing notes which copies are to be dropped: their successors may be reported synced in this run.
func (a *assignment) noteOutgoing() {
	a.outgoing = map[*tierv1.Partition]string{}
	for _, p := range a.m.Partitions {
		if a.stayingCopies(p) > a.Losses+1 {
			a.outgoing[p] = a.surplus(p)
		}
	}
}

// create makes the first map. All copies are whole, as they are empty.
func (a *assignment) create() bool {
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
		p.Primary = a.pick(p)
		for range a.Losses {
			if next := a.pick(p); next != "" {
				p.Backups = append(p.Backups, &tierv1.Replica{Folder: next, Synced: true})
			}
		}
	}
	for range partitionCount * partitionCount { // as moves would make it even, but at once
		before := proto.Clone(a.m).(*tierv1.PartitionMap)
		a.rebalance()
		a.noteOutgoing()
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
