package turnstore

import (
	"slices"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// ApplyPartitionMap applies a partition map of the control plane: this turn store takes the roles that it gives to its folder. A map that
// is nil, or not newer than the last one, is ignored. The map must not be modified afterwards.
func (store *TurnStore) ApplyPartitionMap(partitionMap *tierv1.PartitionMap) {
	if partitionMap == nil {
		return
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	if store.closed || store.hasMap && partitionMap.Version <= store.mapVersion {
		return
	}
	store.hasMap, store.mapVersion, store.partitionMap = true, partitionMap.Version, partitionMap
	clear(store.storeNodes)
	for _, node := range partitionMap.StoreNodes {
		store.storeNodes[node.Folder] = node.Address
	}
	for address := range store.clients {
		if !slices.ContainsFunc(partitionMap.StoreNodes, func(node *tierv1.StoreNode) bool { return node.Address == address }) {
			delete(store.clients, address)
		}
	}
	for i, assignment := range partitionMap.Partitions {
		store.assign(store.state.partition(uint32(i)), assignment)
	}
	store.notifyChanged()
}

// assign takes the role in a partition from a map, unless a newer epoch has been observed. The caller holds mu.
func (store *TurnStore) assign(p *partition, assignment *tierv1.Partition) {
	if assignment.Epoch < p.epoch {
		return
	}
	if assignment.Epoch == p.epoch && p.term != nil {
		if p.term.unconfirmed && len(assignment.RecoverFrom) == 0 {
			p.term.unconfirmed, p.term.primarySince = false, store.cfg.Now()
		}
		for _, r := range p.term.replicators {
			r.unsynced = slices.ContainsFunc(assignment.Backups, func(b *tierv1.Replica) bool { return b.Folder == r.folder && !b.Synced })
		}
		return
	}
	continued := store.continuedTerm(p, assignment)
	p.endTerm()
	p.epoch, p.primary, p.term = assignment.Epoch, assignment.Primary, nil
	p.backup = slices.ContainsFunc(assignment.Backups, func(b *tierv1.Replica) bool { return b.Folder == store.folder })
	if p.primary == store.folder {
		store.beginTerm(p, assignment)
		p.term.continueFrom(continued)
	}
	retained := slices.ContainsFunc(assignment.Retained, func(r *tierv1.RetainedReplica) bool { return r.Folder == store.folder })
	switch {
	case p.primary == store.folder || p.backup || retained:
		p.markAssigned()
	case p.unassignedSince.IsZero():
		p.unassignedSince = store.cfg.Now()
	}
}

// observeEpoch records a newer epoch that another replica has reported. A term of this turn store ends. The caller holds mu.
func (store *TurnStore) observeEpoch(p *partition, epoch uint64, primary string) {
	p.endTerm()
	p.epoch, p.primary, p.backup, p.term = epoch, primary, true, nil
	p.markAssigned()
}

// notifyChanged closes the channel that SyncedReplicas returns. The caller holds mu.
func (store *TurnStore) notifyChanged() {
	close(store.changed)
	store.changed = make(chan struct{})
}

// SyncedReplicas returns the backups that are synchronized but listed as not synced in the map, of the partitions whose primary this
// turn store is. It returns none while the disk is not sound. The channel is closed when the result, the map, or the state of the
// disk changes.
func (store *TurnStore) SyncedReplicas() (reports []*tierv1.SyncedReplica, changed <-chan struct{}) {
	store.mu.Lock()
	defer store.mu.Unlock()
	if store.diskState != tierv1.DiskState_DISK_SOUND {
		return nil, store.changed
	}
	for _, p := range store.state.partitions {
		if p.term == nil || p.term.ended {
			continue
		}
		for _, r := range p.term.replicators {
			if r.unsynced && r.synchronized {
				reports = append(reports, &tierv1.SyncedReplica{Partition: p.id, Epoch: p.term.epoch, Folder: r.folder})
			}
		}
	}
	return reports, store.changed
}
