package consensus

import (
	"github.com/joomcode/errorx"

	"saffronyard.example/saffronyard/internal/tier/wal"
)

// A disk failure does not end the node. While the disk fails there is no replica: the node neither leads nor prepares, accepts or writes
// anything. Callers of the service get Unavailable, Put and Confirm return ErrNotPrimary, and the other methods (View, Members, Get)
// return what was published last. When the disk works again the replica is built from the file, as after a restart.
const (
	// The first retry follows one heartbeat interval after the failure; the backoff doubles up to maxDiskBackoff intervals. A failure at
	// least diskBackoffReset intervals after the last recovery starts with the first backoff again.
	maxDiskBackoff   = 16
	diskBackoffReset = 40
)

// isDiskError reports whether an error may be transient: one of the disk, not one of a file that this program cannot read.
func isDiskError(err error) bool {
	return errorx.IsOfType(err, wal.IO) || errorx.IsOfType(err, wal.Broken) || errorx.IsOfType(err, wal.NoSpace)
}

// failDisk drops the replica: leadership, proposals and calls end as after a power loss. recoverDisk is retried with backoff.
func (node *Node) failDisk(err error) {
	node.dropReplica()
	now := node.now()
	switch {
	case node.storage.backoff == 0 || node.storage.failure == nil && now-node.storage.usableSince >= diskBackoffReset*node.timing.heartbeatInterval:
		node.storage.backoff = node.timing.heartbeatInterval
	default:
		node.storage.backoff = min(2*node.storage.backoff, maxDiskBackoff*node.timing.heartbeatInterval)
	}
	node.storage.retryAt = now + node.storage.backoff
	first := node.storage.failure == nil
	node.storage.failure = err
	if !first {
		return
	}
	node.mu.Lock()
	node.published.primary, node.published.primaryHint, node.published.health = false, "", Health{Disk: err, Losses: node.config.Losses, Tolerates: ToleranceUnknown}
	node.inbox = nil
	node.failPending()
	node.mu.Unlock()
	node.config.Log.Error().Str("event", "disk_failed").Str("file", fileName).Err(err).Msg("disk failed")
}

// recoverDisk tries to open the file again. It returns only errors that are not transient.
func (node *Node) recoverDisk() error {
	before := node.storage.failure
	if err := node.openReplica(); err != nil {
		if !isDiskError(err) {
			return err
		}
		node.failDisk(err)
		return nil
	}
	node.storage.failure, node.storage.usableSince = nil, node.now()
	node.publish(true)
	node.config.Log.Info().Str("event", "disk_recovered").Str("file", fileName).Str("folder", node.replica.Folder).
		Uint64("sequence", node.replica.sequence).Str("cause", before.Error()).Msg("disk recovered")
	return nil
}

// restartWithoutRecord recovers after the file rejected a record as too large. Nothing of the step was written, but calls that do not wait
// for the disk have been sent, so the replica is built again from the file, as after a restart. The disk works and is not reported as
// failing. The replica produces no such record by itself, see StateLimit.
func (node *Node) restartWithoutRecord(err error) {
	node.config.Log.Error().Str("event", "record_refused").Str("file", fileName).Err(err).Msg("file rejected a record as too large")
	node.dropReplica()
	node.mu.Lock()
	node.inbox = nil
	node.failPending()
	node.mu.Unlock()
	if err := node.openReplica(); err != nil {
		node.failDisk(err)
		return
	}
	node.publish(true)
}

// dropReplica discards the replica. Its last call ID is saved, so that late results of its calls match no call of the next replica.
func (node *Node) dropReplica() {
	if node.replica == nil {
		return
	}
	node.storage.lastCallID = node.replica.lastCallID
	node.replica = nil
}

// failPending ends all pending operations with ErrOutcomeUnknown and closes the channels of all pending replies. The caller must hold
// node.mu.
func (node *Node) failPending() {
	for token, waiter := range node.outcomes {
		delete(node.outcomes, token)
		waiter <- outcome{token, 0, ErrOutcomeUnknown}
	}
	for token, waiter := range node.replies {
		delete(node.replies, token)
		close(waiter)
	}
	close(node.changed)
	node.changed = make(chan struct{})
}
