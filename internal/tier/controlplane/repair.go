package controlplane

import (
	"cmp"
	"slices"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// repair gives one partition a primary that is alive, and replicas on turn stores that are not departing, as far as such
// turn stores exist. If its sync is stalled, other turn stores are tried.
func (a *assignment) repair(p *tierv1.Partition, stalled bool) {
	if a.lost(p.Primary) || slices.ContainsFunc(p.RecoverFrom, a.lost) {
		if !a.failOver(p, a.alive) && !a.recoverPrimary(p) {
			return // a lost replica has to return: the others do not have everything that was acknowledged
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

// replaceLostBackups drops and retains the backups that are lost, and adds one on another turn store for each that is then
// missing. A lost backup stays if there is no other turn store and its return is awaited.
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

// addMissingReplicas adds replicas until enough are on turn stores that are not departing, and substitutes if there are too few
// such turn stores.
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

// awaitsReturn reports whether a partition that has no turn store for another replica keeps a lost one as its backup, and waits
// for it. It does so if more turn stores with replicas are lost than is tolerated. It also does so for a short time after a
// session has expired, as messages may have been lost rather than the turn store. Data that the other replicas acknowledged
// without the lost one would be lost if they were lost next, though no more losses occurred than are tolerated.
func (a *assignment) awaitsReturn(folder string) bool {
	if a.replaced[folder] {
		return false
	}
	return a.RecentlyExpired[folder] || a.lostDomains > a.Losses
}

// failOver makes a synced backup the primary, and the former primary a synced backup. It returns false if no synced backup is
// eligible.
func (a *assignment) failOver(p *tierv1.Partition, eligible func(folder string) bool) bool {
	load := a.primariesByStore()
	best := ""
	for _, c := range p.Backups {
		if !c.Synced || !eligible(c.Folder) {
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

// retarget tries other turn stores for a replica whose sync is stalled: the primary and the replica's turn store may be unable
// to reach each other, though both are alive. It tries all synced replicas as the primary in turn, and after all of them the
// next turn store for the replica: at most Losses + 1 primaries for each turn store. Only a synced replica becomes primary, and
// only unsynced replicas are replaced, so that no acknowledged data is dropped. A replaced replica is retained: apart from the
// primary it may be the only one with what was acknowledged while it was being synced.
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

// addReplica adds an unsynced replica: directly after a departing one, which it replaces, else as the last.
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

// trim drops the surplus replicas of a partition, once enough others are synced.
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

// dropReplica drops a replica. If it is the primary, it first makes another replica the primary, and returns false if none is
// eligible.
func (a *assignment) dropReplica(p *tierv1.Partition, folder string) bool {
	if folder == p.Primary && !a.failOver(p, a.usable) {
		return false
	}
	a.removeBackup(p, folder)
	return true
}

// surplusReplica returns the replica to drop when a partition has one too many: the one directly before its replacement. If the
// replacement is no longer known, it is the replica that shares its failure domain with the most others, then the one whose
// turn store has the most replicas.
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
