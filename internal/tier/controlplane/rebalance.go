package controlplane

import (
	"cmp"
	"slices"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// maxMoves is the number of partitions that may move at a time.
func (a *assignment) maxMoves() int {
	return max(1, len(a.m.Partitions)/concurrentMoveDivisor, a.RequiredMoves)
}

// activeMoves counts the partitions of which a copy is under way, and gets on.
func (a *assignment) activeMoves() int {
	n := 0
	for i, p := range a.m.Partitions {
		if a.alive(p.Primary) && !a.Slow[uint32(i)] && slices.ContainsFunc(p.Backups, func(c *tierv1.Replica) bool { return !c.Synced }) {
			n++
		}
	}
	return n
}

// stable tells whether each partition has its synced copies, on turn stores that stay, or is under way to another.
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

// rebalance makes copies and primaries even, a few partitions at a time.
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

// startMove begins a copy that, once whole, takes the place of another. It is one that parts copies of the same domain, or
// that makes the turn stores' shares more even.
func (a *assignment) startMove() bool {
	load := a.replicasByStore()
	var usable []string
	for _, folder := range sortedKeys(a.Alive) {
		if a.usable(folder) {
			usable = append(usable, folder)
		}
	}
	slices.SortStableFunc(usable, func(x, y string) int { return cmp.Compare(load[x], load[y]) })
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
					return a.addReplacement(p, from, to)
				}
			}
		}
	}
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
					return a.addReplacement(p, from, to)
				}
			}
		}
	}
	return false
}

// domainConflictsAfterMove counts the conflicts of one that takes the place of another.
func (a *assignment) domainConflictsAfterMove(all []string, from, to string) int {
	n := a.domainConflicts(all, to)
	if a.domain(from) == a.domain(to) {
		n--
	}
	return n
}

// addReplacement adds a copy right behind the one whose place it takes.
func (a *assignment) addReplacement(p *tierv1.Partition, from, to string) bool {
	at := slices.Index(replicaFolders(p), from)
	p.Backups = slices.Insert(p.Backups, at, &tierv1.Replica{Folder: to})
	return true
}

// balancePrimary hands one primary on, from a turn store that has at least two more than another, if need be by way of others whose
// number stays the same.
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
