package turnstore

import (
	"context"
	"slices"
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// ApplyPartitionMap takes a map of the partitions. Older ones than those taken before are ignored.
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
	for _, k := range partitionMap.StoreNodes {
		store.storeNodes[k.Folder] = k.Address
	}
	for address := range store.clients {
		if !slices.ContainsFunc(partitionMap.StoreNodes, func(k *tierv1.StoreNode) bool { return k.Address == address }) {
			delete(store.clients, address)
		}
	}
	for i, part := range partitionMap.Partitions {
		store.assign(store.state.partition(uint32(i)), part)
	}
	store.notifyChanged()
}

// assign takes this turn store's role from the map, unless a newer epoch is known already.
func (store *TurnStore) assign(p *partition, part *tierv1.Partition) {
	if part.Epoch < p.epoch {
		return
	}
	if part.Epoch == p.epoch && p.term != nil {
		if p.term.unconfirmed && len(part.RecoverFrom) == 0 {
			p.term.unconfirmed, p.term.primarySince = false, store.cfg.Now()
		}
		for _, s := range p.term.replicators {
			s.unsynced = slices.ContainsFunc(part.Backups, func(c *tierv1.Replica) bool { return c.Folder == s.folder && !c.Synced })
		}
		return
	}
	continued := store.continuedTerm(p, part)
	p.endTerm()
	p.epoch, p.primary, p.term = part.Epoch, part.Primary, nil
	p.backup = slices.ContainsFunc(part.Backups, func(c *tierv1.Replica) bool { return c.Folder == store.folder })
	if p.primary == store.folder {
		store.beginTerm(p, part)
		p.term.continueFrom(continued)
	}
	retained := slices.ContainsFunc(part.Retained, func(c *tierv1.RetainedReplica) bool { return c.Folder == store.folder })
	switch {
	case p.primary == store.folder || p.backup || retained:
		p.markAssigned()
	case p.unassignedSince.IsZero():
		p.unassignedSince = store.cfg.Now()
	}
}

// beginTerm starts a term: facts added from now on go to all its backups, and what was there before is exchanged with them.
func (store *TurnStore) beginTerm(p *partition, part *tierv1.Partition) {
	store.lastTermID++
	t := &term{id: store.lastTermID, firstID: store.lastTermID, epoch: part.Epoch, closed: make(chan struct{}), primarySince: store.cfg.Now()}
	for _, c := range part.Backups {
		if c.Folder == store.folder {
			continue
		}
		s := &replicator{store: store, partition: p, term: t, folder: c.Folder, unsynced: !c.Synced}
		t.replicators = append(t.replicators, s)
	}
	p.term = t
	t.unconfirmed = len(part.RecoverFrom) > 0
	for _, s := range t.replicators {
		s.recovering = slices.Contains(part.RecoverFrom, s.folder)
		if s.recovering {
			t.pendingRecoveries++
		}
	}
	store.startSynchronizations(t, func(s *replicator) bool { return t.pendingRecoveries == 0 || s.recovering })
}

// startSynchronizations begins the exchange with those backups of a term that are picked. The lock is held.
func (store *TurnStore) startSynchronizations(t *term, selected func(*replicator) bool) {
	for _, s := range t.replicators {
		if selected(s) && !store.closed {
			store.background.Add(1)
			go s.synchronize()
		}
	}
}

// observeEpoch takes up a newer epoch that another copy has named: a term that this turn store holds ends. The lock is held.
func (store *TurnStore) observeEpoch(p *partition, epoch uint64, primary string) {
	p.endTerm()
	p.epoch, p.primary, p.backup, p.term = epoch, primary, true, nil
	p.markAssigned()
}

// markAssigned notes that the partition has a place here. The lock is held.
func (p *partition) markAssigned() { p.unassignedSince = time.Time{} }

// notifyChanged wakes those who wait for news of synced copies. The lock is held.
func (store *TurnStore) notifyChanged() {
	close(store.changed)
	store.changed = make(chan struct{})
}

// SyncedReplicas gives the copies that the map doesn't know to be synced, and that are now; none while the disk is not sound. The
// channel is closed when that, or the state of the disk, changes.
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
		for _, s := range p.term.replicators {
			if s.unsynced && s.synchronized {
				reports = append(reports, &tierv1.SyncedReplica{Partition: p.id, Epoch: p.term.epoch, Folder: s.folder})
			}
		}
	}
	return reports, store.changed
}

// lastReplicaExtension is how much longer than its context allows, as a part of that time, the last holder of a partition stays.
const lastReplicaExtension = 0.5

// AwaitHandover waits until this turn store may end after control was told that it leaves: control has made a map since, and no
// partition in the newest map has this folder as its primary, or has a copy under way that is to take this one's place.
// It returns when ctx is over all the same; but where a partition has no synced copy elsewhere then, it goes on for half of the
// time that ctx had, as this turn store is the last to hold what was acknowledged there.
func (store *TurnStore) AwaitHandover(ctx context.Context) {
	began := time.Now()
	last, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if deadline, ok := ctx.Deadline(); ok {
		allowed := max(0, deadline.Sub(began))
		last, cancel = context.WithDeadline(last, deadline.Add(time.Duration(lastReplicaExtension*float64(allowed))))
		defer cancel()
	}
	store.mu.Lock()
	before := store.mapVersion
	store.mu.Unlock()
	over := ctx.Done()
	for {
		store.mu.Lock()
		duty := responsibilityOf(store.partitionMap, store.folder)
		fresh := store.mapVersion > before
		changed := store.changed
		store.mu.Unlock()
		if duty.mayStop(fresh, over == nil) {
			return
		}
		select {
		case <-changed:
		case <-over:
			over = nil
		case <-last.Done():
			return
		case <-store.ctx.Done():
			return
		}
	}
}

// responsibility is what a folder is still needed for.
type responsibility int

const (
	notAssigned       responsibility = iota // no partition names it
	backupOnly                              // it is a backup, and no copy is under way to take its place
	requiredReplica                         // it is a primary, or a copy is under way in one of its partitions
	lastSyncedReplica                       // a partition has no synced copy elsewhere
)

// mayStop tells whether a turn store with this duty may end: fresh where control has made a map since it was told, late where
// the time that was given is over.
func (d responsibility) mayStop(mapIsNewer, timedOut bool) bool {
	switch d {
	case notAssigned:
		return true
	case backupOnly:
		return mapIsNewer || timedOut
	case requiredReplica:
		return timedOut
	}
	return false
}

// responsibilityOf gives the greatest duty that a partition map puts on a folder. A map that is not known puts none.
func responsibilityOf(m *tierv1.PartitionMap, folder string) responsibility {
	greatest := notAssigned
	for _, p := range m.GetPartitions() {
		own, elsewhere, underWay := p.Primary == folder, p.Primary != folder, false
		holds := own
		for _, c := range p.Backups {
			switch {
			case c.Folder == folder:
				own, holds = true, holds || c.Synced
			case c.Synced:
				elsewhere = true
			default:
				underWay = true
			}
		}
		switch {
		case !own:
		case holds && !elsewhere:
			return lastSyncedReplica
		case p.Primary == folder, underWay:
			greatest = max(greatest, requiredReplica)
		default:
			greatest = max(greatest, backupOnly)
		}
	}
	return greatest
}
