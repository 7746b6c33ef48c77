package consensus

import (
	"github.com/joomcode/errorx"

	"saffronyard.example/saffronyard/internal/tier/wal"
)

// A disk that fails is a state of the node, not its end. While it lasts there is no replica: it neither leads nor prepares,
// accepts or writes anything. Callers of the service get Unavailable, Put and Confirm ErrNotPrimary, and what is only shown
// (View, Members, Get) stays as it was. When the disk works again the replica is built from the file, as after a restart.
const (
	// The first retry comes a heartbeat after the failure; the backoff doubles up to maxDiskBackoff heartbeats. A failure
	// diskBackoffReset heartbeats after the last recovery starts at the beginning.
	maxDiskBackoff   = 16
	diskBackoffReset = 40
)

// isDiskError reports whether an error may be transient: one of the disk, not one of a file that this program cannot read.
func isDiskError(err error) bool {
	return errorx.IsOfType(err, wal.IO) || errorx.IsOfType(err, wal.Broken) || errorx.IsOfType(err, wal.NoSpace)
}

// failDisk drops the replica: leadership, proposals and calls end as by a power loss. recoverDisk is tried with backoff.
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
	node.endCallers()
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

// restartWithoutRecord goes on after the file refused a record as too large. Nothing of the step was written, though calls that
// do not wait for the disk have left: the replica is built anew from the file, as after a restart. The disk is sound, and not
// reported as failing. The replica produces no such record by itself, see StateLimit.
func (node *Node) restartWithoutRecord(err error) {
	node.config.Log.Error().Str("event", "record_refused").Str("file", fileName).Err(err).Msg("file rejected a record as too large")
	node.dropReplica()
	node.mu.Lock()
	node.inbox = nil
	node.endCallers()
	node.mu.Unlock()
	if err := node.openReplica(); err != nil {
		node.failDisk(err)
		return
	}
	node.publish(true)
}

// dropReplica forgets the replica. Late results of its calls find no other.
func (node *Node) dropReplica() {
	if node.replica == nil {
		return
	}
	node.storage.lastCallID = node.replica.lastCallID
	node.replica = nil
}

// endCallers ends all that wait for the loop: their outcome is unknown. The lock is held.
func (node *Node) endCallers() {
	for token, caller := range node.outcomes {
		delete(node.outcomes, token)
		caller <- outcome{token, 0, ErrOutcomeUnknown}
	}
	for token, caller := range node.replies {
		delete(node.replies, token)
		close(caller)
	}
	close(node.changed)
	node.changed = make(chan struct{})
}
