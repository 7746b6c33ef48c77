package controlplane

import (
	"cmp"
	"maps"
	"slices"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// pickStore chooses a turn store for another replica of a partition, or for its primary if it has none yet; empty if there is
// none.
func (a *assignment) pickStore(p *tierv1.Partition) string { return a.pickStoreWhere(p, a.usable) }

// pickStoreWhere chooses among the eligible turn stores: the one with the fewest failure domain conflicts, then the fewest slow
// syncs, then the fewest replicas, then the fewest replicas of the partition in its zone. For a partition without a
// primary, the number of primaries is compared before everything else.
func (a *assignment) pickStoreWhere(p *tierv1.Partition, eligible func(folder string) bool) string {
	load, first := a.replicasByStore(), a.primariesByStore()
	all := replicaFolders(p)
	best := ""
	for _, folder := range slices.Sorted(maps.Keys(a.Alive)) {
		if !eligible(folder) || slices.Contains(all, folder) {
			continue
		}
		if best == "" {
			best = folder
			continue
		}
		order := cmp.Or(cmp.Compare(a.domainConflicts(all, folder), a.domainConflicts(all, best)),
			cmp.Compare(a.slowTargets[folder], a.slowTargets[best]), cmp.Compare(load[folder], load[best]),
			cmp.Compare(a.sameZone(all, folder), a.sameZone(all, best)))
		if p.Primary == "" {
			order = cmp.Or(cmp.Compare(first[folder], first[best]), order)
		}
		if order < 0 {
			best = folder
		}
	}
	return best
}

// pickReplacement chooses a turn store for a replica in place of one that is lost: one that is not departing, or else a
// substitute.
func (a *assignment) pickReplacement(p *tierv1.Partition) string {
	if next := a.pickStore(p); next != "" {
		return next
	}
	return a.pickSubstitute(p)
}

// pickSubstitute chooses a turn store that is being emptied for a replica of a partition that has fewer replicas than it should
// and no other turn store for one; empty if there is none, or no need for one. Like all replicas on such turn stores, the
// replica is dropped once enough others are synced; the order to empty the machine is not completed before.
func (a *assignment) pickSubstitute(p *tierv1.Partition) string {
	if a.aliveReplicas(p) > a.Losses || a.pickStore(p) != "" {
		return ""
	}
	return a.pickStoreWhere(p, a.canSubstitute)
}

// canSubstitute reports whether a turn store is being emptied, and may not be removed yet.
func (a *assignment) canSubstitute(folder string) bool {
	return a.alive(folder) && a.retiring(folder) && !a.draining(folder) && !slices.Contains(a.m.Retired, a.storeNodes[folder].Node)
}

// alternatives returns a replica's folder, and the folders that could replace it with the fewest failure domain conflicts.
func (a *assignment) alternatives(p *tierv1.Partition, folder string) []string {
	others := slices.DeleteFunc(replicaFolders(p), func(member string) bool { return member == folder })
	list, fewest := []string{folder}, -1
	for _, candidate := range slices.Sorted(maps.Keys(a.Alive)) {
		if !a.usable(candidate) || slices.Contains(others, candidate) || candidate == folder {
			continue
		}
		n := a.domainConflicts(others, candidate)
		if fewest < 0 || n < fewest {
			list, fewest = []string{folder}, n
		}
		if n == fewest {
			list = append(list, candidate)
		}
	}
	return list
}

// nextInCycle sorts a list and returns the item after a given one, and whether it has wrapped around to the first.
func nextInCycle(list []string, item string) (next string, wrapped bool) {
	slices.Sort(list)
	at := slices.Index(list, item) + 1
	return list[at%len(list)], at == len(list)
}

// domainConflicts counts the other folders that share a failure domain with a folder.
func (a *assignment) domainConflicts(folders []string, target string) int {
	n := 0
	for _, folder := range folders {
		if folder != target && folder != "" && a.domain(folder) == a.domain(target) {
			n++
		}
	}
	return n
}

// sameZone counts the other folders in the zone of a folder. Replicas are placed in different zones if all else is equal.
func (a *assignment) sameZone(folders []string, target string) int {
	n := 0
	for _, folder := range folders {
		if other := a.storeNodes[folder]; other != nil && folder != target && other.Zone == a.storeNodes[target].Zone {
			n++
		}
	}
	return n
}
