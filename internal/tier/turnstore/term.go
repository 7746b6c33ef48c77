package turnstore

import (
	"context"
	"slices"
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// role is the role of this turn store in a partition, by the newest epoch that this process has observed. It is not stored.
type role struct {
	epoch           uint64    // newest epoch observed, in a map or in a request of another replica
	primary         string    // folder of the primary of that epoch; empty if unknown
	backup          bool      // this folder is a backup of that epoch
	term            *term     // not nil if this folder is or was the primary of that epoch
	unassignedSince time.Time // when the partition was assigned elsewhere; zero while it is assigned here
}

// term is the time in which this process is the primary of a partition in one epoch. TurnStore.mu guards it.
type term struct {
	id          uint64
	firstID     uint64 // ID of the first of the terms that this one continues without a gap
	epoch       uint64
	replicators []*replicator
	closed      chan struct{} // closed when the term ends
	ended       bool
	// pendingRecoveries is the number of backups from which the missing facts have yet to be pulled (Partition.RecoverFrom).
	pendingRecoveries int
	// unconfirmed is set until the control plane has confirmed the recovery. The partition is not served before, so that the control
	// plane can tell in which epochs facts can have been acknowledged.
	unconfirmed bool
	// primarySince is when this turn store could first answer as the primary: at the start of the first of the continued terms, or
	// when the recovery was confirmed.
	primarySince time.Time
}

// endTerm ends the current term, if any. The caller holds mu.
func (p *partition) endTerm() {
	if t := p.term; t != nil && !t.ended {
		t.ended = true
		close(t.closed)
		for _, r := range t.replicators {
			r.queue = nil
		}
	}
}

// markAssigned records that the partition is assigned to this turn store. The caller holds mu.
func (p *partition) markAssigned() { p.unassignedSince = time.Time{} }

// beginTerm begins a term: new facts are replicated to all backups, and the facts from before are synchronized with them, at first only
// with those to recover from. The caller holds mu.
func (store *TurnStore) beginTerm(p *partition, assignment *tierv1.Partition) {
	store.lastTermID++
	t := &term{id: store.lastTermID, firstID: store.lastTermID, epoch: assignment.Epoch, closed: make(chan struct{}), primarySince: store.cfg.Now()}
	for _, backup := range assignment.Backups {
		if backup.Folder == store.folder {
			continue
		}
		t.replicators = append(t.replicators, &replicator{store: store, partition: p, term: t, folder: backup.Folder, unsynced: !backup.Synced})
	}
	p.term = t
	t.unconfirmed = len(assignment.RecoverFrom) > 0
	for _, r := range t.replicators {
		r.recovering = slices.Contains(assignment.RecoverFrom, r.folder)
		if r.recovering {
			t.pendingRecoveries++
		}
	}
	store.startSynchronizations(t, func(r *replicator) bool { return t.pendingRecoveries == 0 || r.recovering })
}

// continuedTerm returns the current term if the next epoch of a partition continues it: this turn store was the primary without a
// gap, so it has received all releases. Otherwise it returns nil.
func (store *TurnStore) continuedTerm(p *partition, next *tierv1.Partition) *term {
	t := p.term
	if t == nil || t.ended || t.unconfirmed {
		return nil
	}
	if next.Primary != store.folder || next.Epoch != p.epoch+1 {
		return nil
	}
	return t
}

// continueFrom makes t a continuation of the previous term, which may be nil.
func (t *term) continueFrom(previous *term) {
	if previous != nil {
		t.firstID, t.primarySince = previous.firstID, previous.primarySince
	}
}

// servingPartition returns a partition with verdict OK if this turn store can answer for it as the primary; otherwise the verdict is MOVED
// if it is not the primary, or BUSY. The caller holds mu.
func (store *TurnStore) servingPartition(id uint32) (*partition, tierv1.Verdict) {
	if !store.hasMap || store.closed || !store.canWrite() {
		return nil, tierv1.Verdict_BUSY
	}
	p := store.state.partitions[id]
	if p == nil || p.term == nil || p.term.ended {
		return nil, tierv1.Verdict_MOVED
	}
	if p.term.unconfirmed {
		return nil, tierv1.Verdict_BUSY
	}
	return p, tierv1.Verdict_OK
}

// backupsSynchronized reports whether all backups have the facts from before the term.
func (t *term) backupsSynchronized() bool {
	return !slices.ContainsFunc(t.replicators, func(r *replicator) bool { return !r.synchronized })
}

// acknowledgement is the condition for sending a reply: its facts are synced here and acknowledged by all backups of the term.
type acknowledgement struct {
	term       *term
	logged     *logBatch           // nil: there is nothing to be synced
	replicated []*replicationBatch // one for each backup
}

// waitOutcome is how a wait for an acknowledgement ended.
type waitOutcome int

const (
	acknowledged waitOutcome = iota
	termEnded                // another turn store may be the primary now
	timedOut                 // the context ended
	diskFailed               // the facts could not be synced here
)

// wait waits until the facts are acknowledged by all backups and synced here, in that order. Without facts it confirms
// that this turn store is still the primary.
func (a *acknowledgement) wait(ctx context.Context) waitOutcome {
	for _, batch := range a.replicated {
		select {
		case <-batch.acknowledged: // takes precedence over the end of ctx
			continue
		default:
		}
		select {
		case <-batch.acknowledged:
		case <-a.term.closed:
			return termEnded
		case <-ctx.Done():
			return timedOut
		}
	}
	if a.logged == nil {
		return acknowledged
	}
	select {
	case <-a.logged.done:
		if a.logged.err != nil {
			return diskFailed
		}
		return acknowledged
	case <-ctx.Done():
		return timedOut
	}
}
