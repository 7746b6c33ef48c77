package turnstore

import (
	"time"

	"saffronyard.example/saffronyard/internal/tier/wal"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// A full, failing or stuck disk does not end the process. Until the disk recovers, the turn store
//
//   - answers BUSY, accepts no facts as a backup, and reports no replica as synced;
//   - reports the state with its session (WatchRequest.disk). The control plane then treats it as lost: other synced replicas become
//     the primaries, and other turn stores get replicas; if it has the last replica, the control plane waits for it;
//   - tries each second to reopen its write-ahead logs (Reopen). After that its state is as after a restart: it has all facts that it
//     ever acknowledged, and receives those that it lacks from the primaries by synchronization.
//
//	state            cause                                               ended by
//	DISK_SOUND       writes and syncs succeed
//	DISK_FULL        a write or sync failed for lack of space or quota   Reopen
//	DISK_FAILING     a write or sync failed for another reason           Reopen
//	DISK_STUCK       a write or sync has not returned for WriteTimeout   its return
//
// Each change of the state logs one event: turnstore_disk_failed or turnstore_disk_stuck, and turnstore_disk_recovered.

// currentDiskState returns the state of the disk. The caller holds mu.
func (store *TurnStore) currentDiskState(now time.Time) tierv1.DiskState {
	switch {
	case store.commit.broken():
		return diskStateOf(store.commit.failure())
	case store.commit.writeDuration(now) > store.cfg.WriteTimeout:
		return tierv1.DiskState_DISK_STUCK
	}
	return tierv1.DiskState_DISK_SOUND
}

// diskStateOf returns the state after a failed write or sync.
func diskStateOf(failure error) tierv1.DiskState {
	if wal.IsDiskFull(failure) {
		return tierv1.DiskState_DISK_FULL
	}
	return tierv1.DiskState_DISK_FAILING
}

// needsReopen reports whether the write-ahead logs have to be reopened in a state, as a write or sync has failed.
func needsReopen(state tierv1.DiskState) bool {
	return state == tierv1.DiskState_DISK_FULL || state == tierv1.DiskState_DISK_FAILING
}

// canWrite reports whether facts can be synced. The caller holds mu.
func (store *TurnStore) canWrite() bool {
	return store.currentDiskState(store.cfg.Now()) == tierv1.DiskState_DISK_SOUND
}

// DiskState returns the state of the disk as of the last CheckDisk. The channel of SyncedReplicas is closed when it changes.
func (store *TurnStore) DiskState() tierv1.DiskState {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.diskState
}

// CheckDisk updates DiskState and logs a change of it. If the disk has failed and the last CheckDisk found that already, it tries to
// reopen the write-ahead logs. Run calls it each second, and at once when a write fails.
func (store *TurnStore) CheckDisk(now time.Time) {
	store.mu.Lock()
	before, state := store.diskState, store.currentDiskState(now)
	failure := store.commit.failure()
	store.mu.Unlock()
	if needsReopen(state) && needsReopen(before) {
		if store.Reopen(now) != nil {
			return
		}
		state = tierv1.DiskState_DISK_SOUND
	}
	if state == before {
		return
	}
	store.mu.Lock()
	store.diskState = state
	if before == tierv1.DiskState_DISK_SOUND {
		store.diskSince = now
	}
	lasted := now.Sub(store.diskSince)
	store.notifyChanged()
	store.mu.Unlock()
	switch state {
	case tierv1.DiskState_DISK_FULL, tierv1.DiskState_DISK_FAILING:
		store.cfg.Log.Error().Str("event", "turnstore_disk_failed").Err(failure).Msg("a write to the disk has failed")
	case tierv1.DiskState_DISK_STUCK:
		store.cfg.Log.Error().Str("event", "turnstore_disk_stuck").Dur("after", store.cfg.WriteTimeout).Msg("a write to the disk has not returned")
	default:
		store.cfg.Log.Info().Str("event", "turnstore_disk_recovered").Dur("after", lasted).Msg("the disk can be written to again")
	}
}
