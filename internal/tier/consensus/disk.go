package consensus

import (
	"crypto/rand"
	"encoding/hex"
	"slices"
	"time"

	"github.com/joomcode/errorx"
	"github.com/twitchtv/twirp"

	"saffronyard.example/saffronyard/internal/tier/wal"
)

// A disk that fails is a state of the node, not its end. While it lasts there is no machine: no leadership, no promise, no
// accept, no write taken. Callers get Unavailable, Put and Confirm ErrNotPrimary, and what is only shown (Record, Members,
// Get) stays as it was. When the disk works again the machine is built from the file, as after a restart.
const (
	// The first attempt to go on comes a heartbeat after the failure; the span between two attempts doubles up to
	// diskRetryMax heartbeats. A failure diskHealthy heartbeats after the last recovery begins anew.
	maxDiskBackoff   = 16
	diskBackoffReset = 40

	// The file is written anew when it is rewriteFactor times as long as it was after the last time, and rewriteSlack more.
	// After a rewrite that failed the next is tried when it has grown by rewriteSlack.
	rewriteFactor = 4
	rewriteSlack  = 256 << 10 // bytes
)

// storageStatus is what the loop knows of the disk.
type storageStatus struct {
	failure     error         // nil: usable
	retryAt     time.Duration // of the next attempt
	backoff     time.Duration
	usableSince time.Duration // when it last became usable
	rewriteAt   int64         // size at which the file is written anew
	hadIdentity bool          // this process had an identity on disk: a folder made later is not of the first start
	lastCallID  uint64        // the newest call of former machines: a late answer to one must not meet a call of another
}

// isDiskError tells errors that may pass from those of a file that this program cannot read.
func isDiskError(err error) bool {
	return errorx.IsOfType(err, wal.IO) || errorx.IsOfType(err, wal.Broken) || errorx.IsOfType(err, wal.NoRoom)
}

// openReplica reads the file, or makes it and the identity, and builds the machine from it. An error of the disk may pass.
func (node *Node) openReplica() error {
	var d durableState
	if err := node.replayFile(&d); err != nil {
		return err
	}
	if d.Folder == "" {
		if err := node.makeIdentity(&d); err != nil {
			return errorx.Decorate(err, "consensus: make the folder")
		}
	}
	node.storage.hadIdentity = true
	node.storage.rewriteAt = rewriteFactor*node.file.Size() + rewriteSlack
	m := newReplica(d, node.config.Self, node.config.Seeds, node.config.Losses, node.timing, uint64(time.Now().UnixNano()))
	m.resume(node.now(), node.storage.lastCallID)
	if node.config.StateLimit > 0 {
		m.stateLimit = node.config.StateLimit
	}
	node.replica = m
	return nil
}

// replayFile opens or reopens the file. Where only room is missing, a rewrite to the bare state may make some.
func (node *Node) replayFile(d *durableState) error {
	if node.file == nil {
		file, err := wal.Open(node.config.FS, node.config.Dir, fileName, d.replay)
		if err != nil {
			return errorx.Decorate(err, "consensus: open")
		}
		node.file = file
		return nil
	}
	err := node.file.Reopen(d.replay)
	if errorx.IsOfType(err, wal.NoRoom) && d.Folder != "" && node.rewrite(d) == nil {
		return nil
	}
	if err != nil {
		return errorx.Decorate(err, "consensus: reopen")
	}
	return nil
}

// makeIdentity draws a folder and syncs it.
func (node *Node) makeIdentity(d *durableState) error {
	var b [16]byte
	rand.Read(b[:])
	d.identity = identity{Folder: hex.EncodeToString(b[:]), Seeds: node.config.Seeds,
		Genesis: node.config.Bootstrap && !node.storage.hadIdentity && slices.Contains(node.config.Seeds, node.config.Self.Address)}
	if err := node.file.Append(encodeIdentity(d.identity)); err != nil {
		return err
	}
	return node.file.Sync()
}

// rewrite replaces the file by the records of a state.
func (node *Node) rewrite(d *durableState) error {
	return node.file.Rewrite(func(add func([]byte) error) error {
		for _, r := range d.records() {
			if err := add(r); err != nil {
				return err
			}
		}
		return nil
	})
}

// write appends and syncs what a step wants on disk. After an error nothing of the step may leave the process.
func (node *Node) write(out *actions) error {
	if len(out.records) == 0 {
		return nil
	}
	if err := node.file.Append(out.records...); err != nil {
		return errorx.Decorate(err, "consensus: append")
	}
	if out.sync {
		if err := node.file.Sync(); err != nil {
			return errorx.Decorate(err, "consensus: sync")
		}
	}
	if node.file.Size() < node.storage.rewriteAt {
		return nil
	}
	if err := node.rewrite(&node.replica.durableState); err != nil {
		if node.file.Err() != nil {
			return errorx.Decorate(err, "consensus: rewrite")
		}
		node.storage.rewriteAt = node.file.Size() + rewriteSlack // the old file is in use as before
		return nil
	}
	node.storage.rewriteAt = rewriteFactor*node.file.Size() + rewriteSlack
	return nil
}

// failDisk ends the machine: leadership, proposals and calls are gone as by a loss of power.
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
	if node.config.Log != nil {
		node.config.Log.Error().Str("event", "disk_failed").Str("file", fileName).Err(err).Msg("disk failed: " + err.Error())
	}
}

// restartWithoutRecord goes on after the file refused a record as too large. Nothing of the step was written, though early calls
// have left: the machine is built anew from the file, as after a restart. The disk is sound, and not reported as failing.
// The machine lets no such record come about by itself, see StateLimit.
func (node *Node) restartWithoutRecord(err error) {
	if node.config.Log != nil {
		node.config.Log.Error().Str("event", "record_refused").Str("file", fileName).Err(err).Msg("record refused: " + err.Error())
	}
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

// dropReplica forgets the machine. Late answers to its calls will meet nobody.
func (node *Node) dropReplica() {
	if node.replica == nil {
		return
	}
	node.storage.lastCallID = node.replica.lastCallID
	node.replica = nil
}

// recoverDisk tries to go on. It returns only errors that cannot pass.
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
	if node.config.Log != nil {
		node.config.Log.Info().Str("event", "disk_recovered").Str("file", fileName).Str("folder", node.replica.Folder).
			Uint64("sequence", node.replica.sequence).Msg("disk recovered from: " + before.Error())
	}
	return nil
}

// endCallers ends all who wait for the loop: their outcome is unknown. The lock is held.
func (node *Node) endCallers() {
	for token, c := range node.outcomes {
		delete(node.outcomes, token)
		c <- outcome{token, 0, ErrOutcomeUnknown}
	}
	for token, c := range node.replies {
		delete(node.replies, token)
		close(c)
	}
	close(node.changed)
	node.changed = make(chan struct{})
}

// unavailable is what a caller of the service gets from a node that has ended or whose disk fails.
func (node *Node) unavailable() error {
	node.mu.Lock()
	defer node.mu.Unlock()
	if err := node.published.health.Disk; err != nil {
		return twirp.NewError(twirp.Unavailable, "disk failed: "+err.Error())
	}
	return twirp.NewError(twirp.Unavailable, "ending")
}

// DiskError is nil while the disk can be written, and otherwise what failed.
func (node *Node) DiskError() error { return node.Health().Disk }
