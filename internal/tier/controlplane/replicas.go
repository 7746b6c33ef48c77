package controlplane

import (
	"slices"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// replicaFolders returns the folders of a partition's replicas, the primary first.
func replicaFolders(p *tierv1.Partition) []string {
	all := make([]string, 1, len(p.Backups)+1)
	all[0] = p.Primary
	for _, c := range p.Backups {
		all = append(all, c.Folder)
	}
	return all
}

// findBackup returns a partition's backup in a folder, nil if there is none.
func findBackup(p *tierv1.Partition, folder string) *tierv1.Replica {
	for _, c := range p.Backups {
		if c.Folder == folder {
			return c
		}
	}
	return nil
}

// alive reports whether a turn store is alive and its disk is sound.
func (a *assignment) alive(folder string) bool { return a.Alive[folder] != nil }

// lost reports whether a turn store counts as lost. A turn store that is neither alive nor lost has not reconnected since the
// takeover.
func (a *assignment) lost(folder string) bool {
	return !a.alive(folder) && (a.GraceOver || a.replaced[folder])
}

// departing reports whether a turn store is to give up its replicas: its machine is to be emptied, or it is draining.
func (a *assignment) departing(folder string) bool { return a.retiring(folder) || a.Draining[folder] }

// retiring reports whether a turn store's machine is to be emptied.
func (a *assignment) retiring(folder string) bool {
	store := a.storeNodes[folder]
	return store != nil && slices.Contains(a.m.Retiring, store.Node)
}

// draining reports whether a turn store has been asked to shut down, and has little time left.
func (a *assignment) draining(folder string) bool { return a.Draining[folder] }

// usable reports whether a turn store may get new replicas and primaries.
func (a *assignment) usable(folder string) bool {
	return a.alive(folder) && !a.departing(folder)
}

// synced reports whether a replica of a partition is alive and has everything that was acknowledged.
func (a *assignment) synced(p *tierv1.Partition, folder string) bool {
	c := findBackup(p, folder)
	return a.alive(folder) && (folder == p.Primary && len(p.RecoverFrom) == 0 || c != nil && c.Synced)
}

// domain returns the failure domain of a turn store; an unknown turn store is a domain of its own.
func (a *assignment) domain(folder string) string {
	if store := a.storeNodes[folder]; store != nil {
		return a.Domain(store)
	}
	return folder
}

// aliveReplicas counts a partition's replicas on turn stores that are alive and not draining.
func (a *assignment) aliveReplicas(p *tierv1.Partition) int {
	n := 0
	for _, folder := range replicaFolders(p) {
		if a.alive(folder) && !a.draining(folder) {
			n++
		}
	}
	return n
}

// syncedReplicas counts a partition's synced replicas on turn stores that are alive, departing ones included.
func (a *assignment) syncedReplicas(p *tierv1.Partition) int {
	n := 0
	for _, folder := range replicaFolders(p) {
		if a.synced(p, folder) {
			n++
		}
	}
	return n
}

// stayingReplicas counts a partition's replicas on turn stores that are not departing.
func (a *assignment) stayingReplicas(p *tierv1.Partition) int {
	n := 0
	for _, folder := range replicaFolders(p) {
		if !a.departing(folder) {
			n++
		}
	}
	return n
}

// replicasByStore counts the replicas of each usable turn store, without those that are dropped once their replacement is synced.
func (a *assignment) replicasByStore() map[string]int {
	load := map[string]int{}
	for folder := range a.Alive {
		if a.usable(folder) {
			load[folder] = 0
		}
	}
	for _, p := range a.m.Partitions {
		for _, folder := range replicaFolders(p) {
			if folder != "" {
				load[folder]++
			}
		}
	}
	for _, p := range a.m.Partitions {
		if a.stayingReplicas(p) > a.Losses+1 {
			load[a.surplusReplica(p)]--
		}
	}
	return load
}

// primariesByStore counts the primaries of each turn store.
func (a *assignment) primariesByStore() map[string]int {
	load := map[string]int{}
	for _, p := range a.m.Partitions {
		load[p.Primary]++
	}
	return load
}

// countLost counts the failure domains in which a turn store with replicas is lost, and may still return.
func (a *assignment) countLost() int {
	domains := map[string]bool{}
	for _, p := range a.m.Partitions {
		for _, folder := range replicaFolders(p) {
			if a.lost(folder) && !a.replaced[folder] {
				domains[a.domain(folder)] = true
			}
		}
	}
	return len(domains)
}

// countSlow counts, for each turn store, the slow partitions whose primary is there, and their replicas that are being synced
// there.
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

// compareBool orders false before true, as cmp.Compare would.
func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return 1
	}
	return -1
}
