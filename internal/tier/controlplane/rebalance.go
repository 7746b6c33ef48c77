package controlplane

import (
	"cmp"
	"maps"
	"slices"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// maxMoves returns the number of partitions that may move at a time.
func (a *assignment) maxMoves() int {
	return max(1, len(a.m.Partitions)/concurrentMoveDivisor, a.RequiredMoves)
}

// activeMoves counts the partitions with a replica that is being synced, and is not slow.
func (a *assignment) activeMoves() int {
	n := 0
	for i, p := range a.m.Partitions {
		if a.alive(p.Primary) && !a.Slow[uint32(i)] && hasUnsynced(p) {
			n++
		}
	}
	return n
}

// stable tells whether each partition has enough synced replicas, and none on a turn store that departs or is not alive.
func (a *assignment) stable() bool {
	for _, p := range a.m.Partitions {
		n := 0
		for _, folder := range replicaFolders(p) {
			if a.departing(folder) || !a.alive(folder) {
				return false
			}
			if a.synced(p, folder) {
				n++
			}
		}
		if n <= a.Losses {
			return false
		}
	}
	return true
}

// rebalance balances replicas and primaries, a few partitions at a time.
func (a *assignment) rebalance() {
	if !a.stable() {
		return
	}
	for a.activeMoves() < a.maxMoves() && a.startMove() {
	}
	for range a.maxMoves() {
		if !a.balancePrimary() {
			return
		}
	}
}

// startMove adds a replica that, once synced, takes the place of another: one that parts replicas of the same failure domain,
// or else one that balances the turn stores. It returns false where there is none.
func (a *assignment) startMove() bool {
	load := a.replicasByStore()
	var usable []string // by load
	for _, folder := range slices.Sorted(maps.Keys(a.Alive)) {
		if a.usable(folder) {
			usable = append(usable, folder)
		}
	}
	slices.SortStableFunc(usable, func(x, y string) int { return cmp.Compare(load[x], load[y]) })
	return a.startSeparatingMove(usable) || a.startBalancingMove(usable, load)
}

// startSeparatingMove adds a replica in place of one that shares its failure domain with more others.
func (a *assignment) startSeparatingMove(usable []string) bool {
	for _, p := range a.m.Partitions {
		all := replicaFolders(p)
		if a.stayingReplicas(p) != a.Losses+1 {
			continue
		}
		for _, to := range usable {
			if slices.Contains(all, to) {
				continue
			}
			for _, from := range all {
				if a.domainConflicts(all, from) > a.domainConflictsAfterMove(all, from, to) {
					a.addReplacement(p, from, to)
					return true
				}
			}
		}
	}
	return false
}

// startBalancingMove adds a replica in place of one whose turn store has at least two more. usable is in the order of load.
func (a *assignment) startBalancingMove(usable []string, load map[string]int) bool {
	for i := len(usable) - 1; i > 0; i-- {
		for _, to := range usable[:i] {
			from := usable[i]
			if load[from]-load[to] < 2 {
				break
			}
			for _, p := range a.m.Partitions {
				all := replicaFolders(p)
				if a.stayingReplicas(p) == a.Losses+1 && slices.Contains(all, from) && !slices.Contains(all, to) &&
					a.domainConflictsAfterMove(all, from, to) <= a.domainConflicts(all, from) {
					a.addReplacement(p, from, to)
					return true
				}
			}
		}
	}
	return false
}

// domainConflictsAfterMove counts the conflicts of a replica that takes the place of another.
func (a *assignment) domainConflictsAfterMove(all []string, from, to string) int {
	n := a.domainConflicts(all, to)
	if a.domain(from) == a.domain(to) {
		n--
	}
	return n
}

// addReplacement adds a replica right behind the one whose place it takes.
func (a *assignment) addReplacement(p *tierv1.Partition, from, to string) {
	at := slices.Index(replicaFolders(p), from)
	p.Backups = slices.Insert(p.Backups, at, &tierv1.Replica{Folder: to})
}

// balancePrimary hands one primary on, from a turn store that has at least two more than another, if need be by way of others
// whose number stays the same: a breadth-first search over the synced backups. It returns false where there is no such way.
func (a *assignment) balancePrimary() bool {
	load := a.primariesByStore()
	var from []string
	for folder := range a.Alive {
		if a.usable(folder) {
			from = append(from, folder)
		}
	}
	slices.SortFunc(from, func(x, y string) int { return cmp.Or(cmp.Compare(load[y], load[x]), cmp.Compare(x, y)) })
	for _, start := range from {
		type step struct {
			p    *tierv1.Partition
			back string
		}
		came := map[string]step{start: {}}
		for queue := []string{start}; len(queue) > 0; queue = queue[1:] {
			at := queue[0]
			if load[start]-load[at] >= 2 {
				for at != start {
					s := came[at]
					a.promote(s.p, at)
					at = s.back
				}
				return true
			}
			for _, p := range a.m.Partitions {
				if p.Primary != at || a.stayingReplicas(p) != a.Losses+1 {
					continue
				}
				for _, c := range p.Backups {
					if _, seen := came[c.Folder]; !seen && c.Synced && a.usable(c.Folder) {
						came[c.Folder] = step{p, at}
						queue = append(queue, c.Folder)
					}
				}
			}
		}
	}
	return false
}
