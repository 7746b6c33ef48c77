package controlplane

import (
	"slices"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// replicaFolders are the folders of a partition, the primary first.
func replicaFolders(p *tierv1.Partition) []string {
	all := make([]string, 1, len(p.Backups)+1)
	all[0] = p.Primary
	for _, c := range p.Backups {
		all = append(all, c.Folder)
	}
	return all
}

func findBackup(p *tierv1.Partition, folder string) *tierv1.Replica {
	for _, c := range p.Backups {
		if c.Folder == folder {
			return c
		}
	}
	return nil
}

func (a *assignment) alive(folder string) bool { return a.Alive[folder] != nil }

// lost tells whether a turn store is called lost. One that is neither alive nor lost has not come yet.
func (a *assignment) lost(folder string) bool {
	return !a.alive(folder) && (a.GraceOver || a.replaced[folder])
}

// departing tells whether a turn store gives its copies up: it is to be emptied, or has heard SIGTERM.
func (a *assignment) departing(folder string) bool { return a.retiring(folder) || a.Draining[folder] }

func (a *assignment) retiring(folder string) bool {
	one := a.storeNodes[folder]
	return one != nil && slices.Contains(a.m.Retiring, one.Node)
}

// draining tells whether a turn store has heard SIGTERM: its time is short.
func (a *assignment) draining(folder string) bool { return a.Draining[folder] }

// usable tells whether a turn store may get new duties.
func (a *assignment) usable(folder string) bool {
	return a.alive(folder) && !a.departing(folder)
}

// synced tells whether a member of a partition is there and has all that was acknowledged.
func (a *assignment) synced(p *tierv1.Partition, folder string) bool {
	c := findBackup(p, folder)
	return a.alive(folder) && (folder == p.Primary && len(p.RecoverFrom) == 0 || c != nil && c.Synced)
}

func (a *assignment) domain(folder string) string {
	if one := a.storeNodes[folder]; one != nil {
		return a.Domain(one)
	}
	return folder
}

// aliveReplicas counts a partition's copies on turn stores that are alive and have not heard SIGTERM.
func (a *assignment) aliveReplicas(p *tierv1.Partition) int {
	n := 0
	for _, folder := range replicaFolders(p) {
		if a.alive(folder) && !a.draining(folder) {
			n++
		}
	}
	return n
}

// syncedReplicas counts a partition's synced copies on turn stores that are alive, departing ones included.
func (a *assignment) syncedReplicas(p *tierv1.Partition) int {
	n := 0
	for _, folder := range replicaFolders(p) {
		if a.synced(p, folder) {
			n++
		}
	}
	return n
}

// stayingReplicas counts a partition's copies on turn stores that are not departing.
func (a *assignment) stayingReplicas(p *tierv1.Partition) int {
	n := 0
	for _, folder := range replicaFolders(p) {
		if !a.departing(folder) {
			n++
		}
	}
	return n
}

// replicasByStore counts the copies of each usable turn store, those left out that are dropped when their successor is synced.
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

func (a *assignment) primariesByStore() map[string]int {
	load := map[string]int{}
	for _, p := range a.m.Partitions {
		load[p.Primary]++
	}
	return load
}

// countLost counts the domains in which a turn store that has copies is lost, and may yet return.
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

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return 1
	}
	return -1
}
