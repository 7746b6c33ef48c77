package turnstore

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"saffronyard.example/saffronyard/internal/tier/wal"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// A turn store's disk may be full, failing or stuck: states of the process, not its end. While it is in one, the turn store
//
//   - answers BUSY, takes no facts as a backup, and confirms nothing;
//   - tells the state with its session (WatchRequest.disk), by which control takes it for lost: other synced copies become
//     the primaries, and other turn stores get copies; where it is the last holder, it is waited for;
//   - tries to open its write-ahead log again each second. Then it is what it would be after a restart: it holds what the
//     files hold, so all that it ever acknowledged; what it lacks comes by exchange with the primaries.
//
// One log line tells of each way: turnstore_disk_failed or turnstore_disk_stuck, and turnstore_disk_recovered.

// Errors of Reopen.
var (
	diskErrors = errorx.NewNamespace("turnstore")
	// DiskBusy is the type of the error of a Reopen while a write or sync has not returned.
	DiskBusy = diskErrors.NewType("disk_busy")
)

// currentDiskState tells how the disk is. The lock is held.
func (store *TurnStore) currentDiskState(now time.Time) tierv1.DiskState {
	switch {
	case store.commit.broken():
		return diskStateOf(store.commit.failure())
	case store.commit.writing(now) > store.cfg.WriteTimeout:
		return tierv1.DiskState_DISK_STUCK
	}
	return tierv1.DiskState_DISK_SOUND
}

// diskStateOf tells a disk that is full from one that fails otherwise.
func diskStateOf(failure error) tierv1.DiskState {
	if wal.Full(failure) {
		return tierv1.DiskState_DISK_FULL
	}
	return tierv1.DiskState_DISK_FAILING
}

// needsReopen tells whether a write or sync has failed, so that the write-ahead log is to be opened again.
func needsReopen(state tierv1.DiskState) bool {
	return state == tierv1.DiskState_DISK_FULL || state == tierv1.DiskState_DISK_FAILING
}

// canWrite tells whether facts can be synced. The lock is held.
func (store *TurnStore) canWrite() bool {
	return store.currentDiskState(store.cfg.Now()) == tierv1.DiskState_DISK_SOUND
}

// DiskState is the state of the disk as it was noted last. The channel that Synced gives is closed when it changes.
func (store *TurnStore) DiskState() tierv1.DiskState {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.diskState
}

// CheckDisk takes note of how the disk is: it logs a change, has it reported to control, and opens the write-ahead log of
// a broken disk again. Run calls it each second, and at once when a write fails.
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
		store.cfg.Log.Error().Str("event", "turnstore_disk_failed").Err(failure).Msg("")
	case tierv1.DiskState_DISK_STUCK:
		store.cfg.Log.Error().Str("event", "turnstore_disk_stuck").Dur("after", store.cfg.WriteTimeout).Msg("")
	default:
		store.cfg.Log.Info().Str("event", "turnstore_disk_recovered").Dur("after", lasted).Msg("")
	}
}

// Reopen opens the write-ahead log again after a failure, and drops from memory what is not in it: the tail of a file whose
// sync has failed is not trusted. All terms end; where the newest map has this folder as a primary, a new term begins, with
// an exchange with each backup. It is an error, of the disk or DiskBusy, where the disk still fails; nothing is changed then.
func (store *TurnStore) Reopen(now time.Time) error {
	store.maintenance.Lock()
	defer store.maintenance.Unlock()
	select {
	case <-store.commit.add().done:
	default:
		return DiskBusy.New("a write is under way")
	}
	next := newState()
	for i, file := range store.logFiles {
		if err := file.Reopen(next.replay(logFileNames[i], now)); err != nil {
			return err
		}
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	if store.closed {
		return wal.Misuse.New("the turn store is closed")
	}
	next.markReplayed(now)
	for id, p := range store.state.partitions {
		p.endTerm()
		fresh := next.partition(id)
		fresh.role = p.role // an epoch that was observed stays known
		fresh.term = nil
	}
	store.state = next
	store.activeFile = largest(store.logFiles)
	store.commit = newGroupCommitter(store.logFiles[store.activeFile], store.cfg.Now)
	for i, part := range store.partitionMap.GetPartitions() {
		p := next.partition(uint32(i))
		if p.epoch == part.Epoch && p.primary == store.folder && part.Primary == store.folder {
			store.beginTerm(p, part)
		}
	}
	return nil
}

// logFileNames are the names of the files that facts are written to in turn.
var logFileNames = [2]string{"facts-0", "facts-1"}

// largest is the index of the larger file, which is the one that was appended to last.
func largest(files [2]*wal.File) int {
	if files[1].Size() > files[0].Size() {
		return 1
	}
	return 0
}

// replay gives the function that takes in a file's records.
func (s *state) replay(file string, now time.Time) func(record []byte) error {
	return func(record []byte) error {
		fact := &tierv1.Fact{}
		if err := proto.Unmarshal(record, fact); err != nil {
			return errorx.Decorate(err, "%s: a record that is no fact", file)
		}
		s.add(fact, now)
		return nil
	}
}

// markReplayed notes that all entries come from the disk, at now, and that no partition is assigned as yet.
func (s *state) markReplayed(now time.Time) {
	for _, p := range s.partitions {
		for _, e := range p.entries {
			e.replayed = true
		}
		p.unassignedSince = now
	}
}

// Run drops what is past its time, keeps the write-ahead log short, and brings the disk back after failures, until ctx ends.
func (store *TurnStore) Run(ctx context.Context) error {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		failure := store.diskFailure()
		select {
		case <-ctx.Done():
			return nil
		case <-failure:
			store.CheckDisk(store.cfg.Now())
		case <-tick.C:
			store.CheckDisk(store.cfg.Now())
			store.RemoveExpired(store.cfg.Now())
			if err := store.Compact(ctx, false); err != nil && ctx.Err() == nil {
				store.cfg.Log.Warn().Str("event", "turnstore_compact_failed").Err(err).Msg("")
			}
		}
	}
}

// diskFailure is closed when the disk fails; nil while that is known already.
func (store *TurnStore) diskFailure() <-chan struct{} {
	store.mu.Lock()
	defer store.mu.Unlock()
	if needsReopen(store.diskState) {
		return nil
	}
	return store.commit.failed
}
