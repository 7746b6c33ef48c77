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

// activeMoves counts the partitions that are syncing a replica and are not slow, without those whose primary is not alive.
func (a *assignment) activeMoves() int {
	n := 0
	for i, p := range a.m.Partitions {
		if a.alive(p.Primary) && !a.Slow[uint32(i)] && hasUnsynced(p) {
			n++
		}
	}
	return n
}

// stable reports whether each partition has enough synced replicas, and none on a turn store that is departing or not alive.
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

// startMove adds a replica that replaces another one once it is synced. It prefers a move that separates replicas in the same
// failure domain to one that balances the turn stores, and returns false if there is no move to make.
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

// startSeparatingMove adds a replacement for a replica that shares its failure domain with more others than the replacement does.
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

// startBalancingMove moves a replica to a turn store that has at least two fewer, by adding its replacement there. usable is
// sorted by load.
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

// domainConflictsAfterMove counts the failure domain conflicts of a replica that replaces another.
func (a *assignment) domainConflictsAfterMove(all []string, from, to string) int {
	n := a.domainConflicts(all, to)
	if a.domain(from) == a.domain(to) {
		n--
	}
	return n
}

// addReplacement adds a replica directly after the one that it replaces.
func (a *assignment) addReplacement(p *tierv1.Partition, from, to string) {
	at := slices.Index(replicaFolders(p), from)
	p.Backups = slices.Insert(p.Backups, at, &tierv1.Replica{Folder: to})
}

// balancePrimary moves one primary from a turn store to one that has at least two fewer, if necessary by a chain of moves
// through other turn stores, whose number of primaries stays the same. It finds the chain by a breadth-first search over the
// synced backups, and returns false if there is none.
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
			p        *tierv1.Partition
			previous string
		}
		reached := map[string]step{start: {}}
		for queue := []string{start}; len(queue) > 0; queue = queue[1:] {
			at := queue[0]
			if load[start]-load[at] >= 2 {
				for at != start {
					s := reached[at]
					a.promote(s.p, at)
					at = s.previous
				}
				return true
			}
			for _, p := range a.m.Partitions {
				if p.Primary != at || a.stayingReplicas(p) != a.Losses+1 {
					continue
				}
				for _, c := range p.Backups {
					if _, seen := reached[c.Folder]; !seen && c.Synced && a.usable(c.Folder) {
						reached[c.Folder] = step{p, at}
						queue = append(queue, c.Folder)
					}
				}
			}
		}
	}
	return false
}
