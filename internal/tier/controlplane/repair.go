package controlplane

import (
	"cmp"
	"slices"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// repair gives one partition a primary that is alive, and its replicas on turn stores that stay, as far as there are any. Where
// its sync is stalled, other turn stores are tried.
func (a *assignment) repair(p *tierv1.Partition, stalled bool) {
	if a.lost(p.Primary) || slices.ContainsFunc(p.RecoverFrom, a.lost) {
		if !a.failOver(p, a.alive) && !a.recoverPrimary(p) {
			return // one of them has to return: no others have all that was acknowledged
		}
	}
	if a.draining(p.Primary) {
		a.failOver(p, a.usable)
	}
	if stalled && len(p.RecoverFrom) == 0 {
		a.retarget(p)
	}
	a.replaceLostBackups(p)
	a.addMissingReplicas(p)
	a.trim(p)
	a.pruneRetained(p)
}

// replaceLostBackups drops and retains the backups that are lost, and adds one elsewhere for each that is missing then. A lost
// one stays where there is no other turn store and its return is awaited.
func (a *assignment) replaceLostBackups(p *tierv1.Partition) {
	for _, lost := range slices.Clone(p.Backups) {
		if !a.lost(lost.Folder) {
			continue
		}
		before := slices.Clone(p.Backups)
		a.removeBackup(p, lost.Folder)
		if a.stayingReplicas(p) <= a.Losses {
			if next := a.pickReplacement(p); next != "" {
				p.Backups = append(p.Backups, &tierv1.Replica{Folder: next})
			} else if a.aliveReplicas(p) <= a.Losses && a.awaitsReturn(lost.Folder) {
				p.Backups = before
				continue
			}
		}
		a.retainReplica(p, lost.Folder, lost.Since) // the Since of a synced replica is 0
	}
}

// addMissingReplicas adds replicas until enough lie on turn stores that stay, and substitutes where there are too few of these.
func (a *assignment) addMissingReplicas(p *tierv1.Partition) {
	for a.stayingReplicas(p) <= a.Losses {
		// An order to retire is followed at the rate of moves, but a lost replica is replaced at once.
		if a.syncedReplicas(p) > a.Losses && !slices.ContainsFunc(replicaFolders(p), a.draining) && a.activeMoves() >= a.maxMoves() {
			break
		}
		next := a.pickStore(p)
		if next == "" {
			break
		}
		a.addReplica(p, next)
	}
	for next := a.pickSubstitute(p); next != ""; next = a.pickSubstitute(p) {
		p.Backups = append(p.Backups, &tierv1.Replica{Folder: next})
	}
}

// awaitsReturn tells whether a partition that has no turn store for another replica keeps a lost one as its backup, rather
// than go on without it. It does where more turn stores with replicas are lost than is tolerated. It also does for a moment
// after a session has expired: messages may have been lost, and the turn store not. What the others acknowledged without it
// would be lost with them, though no more are lost than is tolerated.
func (a *assignment) awaitsReturn(folder string) bool {
	if a.replaced[folder] {
		return false
	}
	return a.RecentlyExpired[folder] || a.lostDomains > a.Losses
}

// failOver makes a synced backup the primary, and the former primary a synced backup. It returns false where none may be it.
func (a *assignment) failOver(p *tierv1.Partition, may func(folder string) bool) bool {
	load := a.primariesByStore()
	best := ""
	for _, c := range p.Backups {
		if !c.Synced || !may(c.Folder) {
			continue
		}
		if best == "" || cmp.Or(
			cmp.Compare(a.slowSources[c.Folder], a.slowSources[best]),
			-compareBool(a.usable(c.Folder), a.usable(best)),
			cmp.Compare(load[c.Folder], load[best]),
			cmp.Compare(c.Folder, best)) < 0 {
			best = c.Folder
		}
	}
	if best == "" {
		return false
	}
	a.promote(p, best)
	return true
}

// promote makes a backup the primary, and the former primary a synced backup in its place.
func (a *assignment) promote(p *tierv1.Partition, folder string) {
	c := findBackup(p, folder)
	c.Folder, c.Synced, p.Primary = p.Primary, true, folder
}

// retarget tries other turn stores for a replica whose sync is stalled: its primary or the replica's turn store may be out of
// reach of the other, though both are alive. All synced replicas are tried as the primary in turn, and when each had its
// turn, the next turn store for the replica: at most Losses + 1 primaries for each. Only a synced replica becomes primary,
// and only unsynced ones are replaced, so that nothing is given up. One that is replaced is retained: what was acknowledged
// while it was being synced may be nowhere else but at the primary.
func (a *assignment) retarget(p *tierv1.Partition) {
	sources := []string{p.Primary}
	for _, c := range p.Backups {
		if c.Synced && a.alive(c.Folder) {
			sources = append(sources, c.Folder)
		}
	}
	source, wrapped := nextInCycle(sources, p.Primary)
	if source != p.Primary {
		a.promote(p, source)
	}
	if !wrapped {
		return
	}
	for _, c := range p.Backups {
		if c.Synced {
			continue
		}
		if next, _ := nextInCycle(a.alternatives(p, c.Folder), c.Folder); next != c.Folder {
			a.retainReplica(p, c.Folder, c.Since)
			c.Folder = next
		}
	}
}

// addReplica adds an unsynced replica: right behind a departing one, as the one that takes its place, else as the last.
func (a *assignment) addReplica(p *tierv1.Partition, folder string) {
	at := len(p.Backups)
	for i, member := range replicaFolders(p) {
		if a.departing(member) && (i == len(p.Backups) || p.Backups[i].Synced) {
			at = i
			break
		}
	}
	p.Backups = slices.Insert(p.Backups, at, &tierv1.Replica{Folder: folder})
}

// removeBackup removes the backup in a folder.
func (a *assignment) removeBackup(p *tierv1.Partition, folder string) {
	p.Backups = slices.DeleteFunc(p.Backups, func(c *tierv1.Replica) bool { return c.Folder == folder })
}

// trim drops the replicas that a partition has too many, once enough others are synced.
func (a *assignment) trim(p *tierv1.Partition) {
	enough := func(without string) bool {
		n := 0
		for _, folder := range replicaFolders(p) {
			if folder != without && a.synced(p, folder) && !a.departing(folder) {
				n++
			}
		}
		return n > a.Losses
	}
	for _, folder := range replicaFolders(p) {
		if a.departing(folder) && enough(folder) {
			a.dropReplica(p, folder)
		}
	}
	for a.stayingReplicas(p) > a.Losses+1 {
		victim := a.surplusReplica(p)
		if !enough(victim) || !a.dropReplica(p, victim) {
			break
		}
	}
}

// dropReplica drops a replica; if it is the primary, another becomes that first. It returns false where none may.
func (a *assignment) dropReplica(p *tierv1.Partition, folder string) bool {
	if folder == p.Primary && !a.failOver(p, a.usable) {
		return false
	}
	a.removeBackup(p, folder)
	return true
}

// surplusReplica returns the replica that is dropped when a partition has one too many: the one before that which takes its
// place. Where that is not known any more, it is the one that shares its failure domain with most others, then the one
// whose turn store has most replicas.
func (a *assignment) surplusReplica(p *tierv1.Partition) string {
	all := replicaFolders(p)
	for i, c := range p.Backups {
		if !c.Synced && !a.departing(all[i]) {
			return all[i]
		}
	}
	if v := a.surplusBefore[p]; slices.Contains(all, v) && !a.departing(v) {
		return v
	}
	load := map[string]int{}
	for _, other := range a.m.Partitions {
		for _, folder := range replicaFolders(other) {
			load[folder]++
		}
	}
	best, shared := "", 0
	for _, folder := range all {
		if a.departing(folder) {
			continue
		}
		n := a.domainConflicts(all, folder)
		if best == "" || cmp.Or(cmp.Compare(n, shared), cmp.Compare(load[folder], load[best])) > 0 {
			best, shared = folder, n
		}
	}
	return best
}
