package controlplane

import (
	"slices"

	"dockshift.example/dockshift/internal/tier/settings"
	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
	"google.golang.org/protobuf/proto"
)

// partitionCount is the number of partitions, fixed when the map is first made. It is a multiple of what a few turn stores
// share evenly, and small enough for the map to be pushed whole.
const partitionCount = 32

// paceShare is the part of the partitions that move, or change their primary, at a time.
const paceShare = 8

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

// Report is the word of a turn store, From by its folder, that a copy is whole.
type Report struct {
	From string
	Copy *tierv1.SyncedCopy
}

// Input is what the turn store map is made from, beside the map before.
type Input struct {
	Spread
	Alive   map[string]*tierv1.StoreNode // by folder
	Leaving map[string]bool              // of these: SIGTERM was heard
	Reports []Report
	Certain bool // whoever is not alive is dead; else it may only not have come yet
	Create  bool // the first map may be made
	Move    bool // copies and primaries may move only to make shares even
}

// Assign brings the map in line with the turn stores, and tells whether anything changed. It gives up no copy that may be the
// last of what was acknowledged: a primary is followed only by a copy that is synced, and no synced copy is dropped in
// favour of one that is not, unless its disk is gone or it is dead and the losses are within what is to be borne. Each
// change of a partition's primary or backups raises its epoch by one.
func Assign(before *tierv1.PartitionMap, in Input) (after *tierv1.PartitionMap, changed bool) {
	m := &tierv1.PartitionMap{}
	if before != nil {
		m = proto.Clone(before).(*tierv1.PartitionMap)
	}
	a := &assignment{Input: in, m: m}
	a.know()
	a.remember()
	if len(m.Partitions) == 0 {
		if !in.Create || !a.create() {
			a.forget()
			if before == nil || proto.Equal(m, before) {
				return before, false
			}
			return m, true
		}
	}
	a.report()
	a.lost = a.countLost()
	for _, p := range m.Partitions {
		a.mend(p)
	}
	if a.Certain && a.Move {
		a.pace()
	}
	a.forget()
	for i, p := range m.Partitions {
		if before != nil && i < len(before.Partitions) && !sameCopies(p, before.Partitions[i]) {
			p.Epoch = before.Partitions[i].Epoch + 1
		}
	}
	if before != nil && proto.Equal(m, before) {
		return before, false
	}
	return m, true
}

func sameCopies(a, b *tierv1.Partition) bool {
	return a.Primary == b.Primary && slices.EqualFunc(a.Backups, b.Backups, func(x, y *tierv1.Copy) bool { return x.Folder == y.Folder })
}

// assignment is one run of Assign.
type assignment struct {
	Input
	m          *tierv1.PartitionMap
	storeNodes map[string]*tierv1.StoreNode // by folder
	gone       map[string]bool              // folders whose node has another one now
	victims    map[*tierv1.Partition]string // of those that had one copy too many, before reports were taken
	lost       int                          // domains with a dead turn store that has copies
}

// know takes in turn stores that are new, or whose address is, and finds the folders that are gone.
func (a *assignment) know() {
	a.storeNodes, a.gone = map[string]*tierv1.StoreNode{}, map[string]bool{}
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
			a.gone[one.Folder] = true
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

// forget drops store nodes without a copy that are gone, or that are not there any more after they were emptied.
func (a *assignment) forget() {
	used := map[string]bool{}
	for _, p := range a.m.Partitions {
		for _, folder := range members(p) {
			used[folder] = true
		}
	}
	a.m.StoreNodes = slices.DeleteFunc(a.m.StoreNodes, func(one *tierv1.StoreNode) bool {
		emptied := a.retiring(one.Folder) && a.dead(one.Folder)
		return !used[one.Folder] && (a.gone[one.Folder] || emptied)
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

// dead tells whether a turn store is called dead. One that is neither alive nor dead has not come yet.
func (a *assignment) dead(folder string) bool {
	return !a.alive(folder) && (a.Certain || a.gone[folder])
}

func (a *assignment) retiring(folder string) bool {
	one := a.storeNodes[folder]
	return one != nil && slices.Contains(a.m.Retiring, one.Node)
}

// usable tells whether a turn store may get new duties.
func (a *assignment) usable(folder string) bool {
	return a.alive(folder) && !a.retiring(folder) && !a.Leaving[folder]
}

func (a *assignment) domain(folder string) string {
	if one := a.storeNodes[folder]; one != nil {
		return a.Domain(one)
	}
	return folder
}

// countLost counts the domains in which a turn store that has copies is dead, and may yet return.
func (a *assignment) countLost() int {
	domains := map[string]bool{}
	for _, p := range a.m.Partitions {
		for _, folder := range members(p) {
			if a.dead(folder) && !a.gone[folder] {
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

func backup(p *tierv1.Partition, folder string) *tierv1.Copy {
	for _, c := range p.Backups {
		if c.Folder == folder {
			return c
		}
	}
	return nil
}

// report marks copies that the partition's primary has reported whole in this epoch.
func (a *assignment) report() {
	for _, r := range a.Reports {
		if int(r.Copy.Partition) >= len(a.m.Partitions) {
			continue
		}
		p := a.m.Partitions[r.Copy.Partition]
		if p.Epoch != r.Copy.Epoch || p.Primary != r.From {
			continue
		}
		if c := backup(p, r.Copy.Folder); c != nil {
			c.Synced = true
		}
	}
}

// remember notes which copies are on their way out: their successors may be whole in a moment.
func (a *assignment) remember() {
	a.victims = map[*tierv1.Partition]string{}
	for _, p := range a.m.Partitions {
		if a.staying(p) > a.Losses+1 {
			a.victims[p] = a.victim(p)
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
				p.Backups = append(p.Backups, &tierv1.Copy{Folder: next, Synced: true})
			}
		}
	}
	for range partitionCount * partitionCount { // as moves would make it even, but at once
		before := proto.Clone(a.m).(*tierv1.PartitionMap)
		a.pace()
		a.remember()
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
