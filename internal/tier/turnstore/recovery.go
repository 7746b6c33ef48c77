package turnstore

import (
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"saffronyard.example/saffronyard/internal/tier/wal"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// Types of errors of Reopen.
var (
	recoveryErrors = errorx.NewNamespace("turnstore")
	// DiskBusy is the type of the error of Reopen while a write or sync has not returned.
	DiskBusy = recoveryErrors.NewType("disk_busy")
	// Closed is the type of the error of Reopen after Close.
	Closed = recoveryErrors.NewType("closed")
)

// logFileNames are the names of the write-ahead logs that facts are written to.
var logFileNames = [2]string{"facts-0", "facts-1"}

// Reopen reopens the write-ahead logs after a failure and replaces the state by the facts in them, as the tail of a file whose sync
// has failed may not be on the disk. All terms end. Where the newest partition map names this folder as primary, a new term begins,
// so everything is synchronized with the backups. If the disk still fails, the error is one of package wal, DiskBusy or Closed, and
// the state has not changed.
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
		return Closed.New("the turn store is closed")
	}
	next.markReplayed(now)
	for id, p := range store.state.partitions {
		p.endTerm()
		fresh := next.partition(id)
		fresh.role = p.role // the observed epochs must not be lost
		fresh.term = nil
	}
	store.state = next
	store.activeFile = largest(store.logFiles)
	store.commit = newGroupCommitter(store.logFiles[store.activeFile], store.cfg.Now)
	for i, assignment := range store.partitionMap.GetPartitions() {
		p := next.partition(uint32(i))
		if p.epoch == assignment.Epoch && p.primary == store.folder && assignment.Primary == store.folder {
			store.beginTerm(p, assignment)
		}
	}
	return nil
}

// largest returns the index of the larger file, which is the one that was appended to last.
func largest(files [2]*wal.File) int {
	if files[1].Size() > files[0].Size() {
		return 1
	}
	return 0
}

// replay returns a function that adds the records of a file at the time now. Its errors are of records that cannot be decoded.
func (s *state) replay(file string, now time.Time) func(record []byte) error {
	return func(record []byte) error {
		fact := &tierv1.Fact{}
		if err := proto.Unmarshal(record, fact); err != nil {
			return errorx.Decorate(err, "%s: decode record as a fact", file)
		}
		s.add(fact, now)
		return nil
	}
}

// markReplayed records that all entries come from the disk, and that no partition is assigned yet.
func (s *state) markReplayed(now time.Time) {
	for _, p := range s.partitions {
		for _, e := range p.entries {
			e.replayed = true
		}
		p.unassignedSince = now
	}
}
