package turnstore

import (
	"context"
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// lastReplicaExtension is the fraction of its context's time by which AwaitHandover exceeds the deadline for the last synced replica
// of a partition.
const lastReplicaExtension = 0.5

// AwaitHandover returns when this turn store may stop after the control plane was notified that it is draining. That is at once if the
// newest partition map does not name this folder. Otherwise a newer map must have been received, in which this folder is no primary
// and no replica of its partitions is still being synced. AwaitHandover also returns when ctx ends. But if a partition has no synced
// replica elsewhere then, no other replica has all facts acknowledged there: AwaitHandover waits for at most half of the time that
// ctx had, or without a limit if ctx had no deadline.
func (store *TurnStore) AwaitHandover(ctx context.Context) {
	began := time.Now()
	extended, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if deadline, ok := ctx.Deadline(); ok {
		allowed := max(0, deadline.Sub(began))
		extended, cancel = context.WithDeadline(extended, deadline.Add(time.Duration(lastReplicaExtension*float64(allowed))))
		defer cancel()
	}
	store.mu.Lock()
	versionBefore := store.mapVersion
	store.mu.Unlock()
	ended := ctx.Done()
	for {
		store.mu.Lock()
		responsibility := responsibilityOf(store.partitionMap, store.folder)
		mapIsNewer := store.mapVersion > versionBefore
		changed := store.changed
		store.mu.Unlock()
		if responsibility.mayStop(mapIsNewer, ended == nil) {
			return
		}
		select {
		case <-changed:
		case <-ended:
			ended = nil
		case <-extended.Done():
			return
		case <-store.ctx.Done():
			return
		}
	}
}

// responsibility is the reason why a draining turn store is still needed. A greater one includes the smaller ones.
type responsibility int

const (
	notAssigned       responsibility = iota // it has no role in any partition
	backupOnly                              // it is a backup, and no replica is being synced to replace it
	requiredReplica                         // it is a primary, or a replica of one of its partitions is being synced
	lastSyncedReplica                       // a partition has no synced replica elsewhere
)

// mayStop reports whether a draining turn store with this responsibility may stop: mapIsNewer is set if a newer map has been
// received since AwaitHandover began, timedOut if the time for the handover has passed.
func (r responsibility) mayStop(mapIsNewer, timedOut bool) bool {
	switch r {
	case notAssigned:
		return true
	case backupOnly:
		return mapIsNewer || timedOut
	case requiredReplica:
		return timedOut
	case lastSyncedReplica:
	}
	return false
}

// responsibilityOf returns the greatest responsibility that a partition map, which may be nil, gives to a folder.
func responsibilityOf(m *tierv1.PartitionMap, folder string) responsibility {
	greatest := notAssigned
	for _, p := range m.GetPartitions() {
		assigned, synced := p.Primary == folder, p.Primary == folder
		syncedElsewhere, syncing := p.Primary != folder, false
		for _, backup := range p.Backups {
			switch {
			case backup.Folder == folder:
				assigned, synced = true, synced || backup.Synced
			case backup.Synced:
				syncedElsewhere = true
			default:
				syncing = true
			}
		}
		switch {
		case !assigned:
		case synced && !syncedElsewhere:
			return lastSyncedReplica
		case p.Primary == folder, syncing:
			greatest = max(greatest, requiredReplica)
		default:
			greatest = max(greatest, backupOnly)
		}
	}
	return greatest
}
