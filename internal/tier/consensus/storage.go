package consensus

import (
	"crypto/rand"
	"encoding/hex"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"saffronyard.example/saffronyard/internal/tier/wal"
)

// fileName is the name of the control state's file in its folder.
const fileName = "control"

// The file is rewritten when its size reaches rewriteFactor times the size after the last rewrite, plus rewriteSlack. After a failed
// rewrite, the next one is tried when the file has grown by rewriteSlack.
const (
	rewriteFactor = 4
	rewriteSlack  = 256 << 10 // bytes
)

// storageStatus is the loop's state of the disk and the file.
type storageStatus struct {
	failure     error         // nil: usable
	retryAt     time.Duration // next attempt to recover
	backoff     time.Duration
	usableSince time.Duration
	rewriteAt   int64  // size in bytes at which the file is rewritten
	hadIdentity bool   // this process had an identity on disk, so a folder created later is not a genesis folder
	lastCallID  uint64 // last call ID of previous replicas: a late result must not be matched to a call of the next replica
}

// openReplica reads the file, or creates it with a new identity, and builds the replica from it. An error of the disk may be transient.
func (node *Node) openReplica() error {
	var state durableState
	if err := node.replayFile(&state); err != nil {
		return err
	}
	if state.Folder == "" {
		if err := node.makeIdentity(&state); err != nil {
			return errorx.Decorate(err, "consensus: create the folder")
		}
	}
	node.storage.hadIdentity = true
	node.storage.rewriteAt = rewriteFactor*node.file.Size() + rewriteSlack
	core := newReplica(state, replicaConfig{
		self: node.config.Self, seeds: node.config.Seeds, toleratedLosses: node.config.Losses, timing: node.timing, jitterSeed: uint64(time.Now().UnixNano()),
	})
	core.resume(node.now(), node.storage.lastCallID)
	if node.config.StateLimit > 0 {
		core.stateLimit = node.config.StateLimit
	}
	node.replica = core
	return nil
}

// replayFile opens or reopens the file. If reopening fails only for lack of space, a rewrite to the records of the current state may free
// some.
func (node *Node) replayFile(state *durableState) error {
	if node.file == nil {
		file, err := wal.Open(node.config.FS, node.config.Dir, fileName, state.replay)
		if err != nil {
			return errorx.Decorate(err, "consensus: open")
		}
		node.file = file
		return nil
	}
	err := node.file.Reopen(state.replay)
	if errorx.IsOfType(err, wal.NoSpace) && state.Folder != "" && node.rewrite(state) == nil {
		return nil
	}
	if err != nil {
		return errorx.Decorate(err, "consensus: reopen")
	}
	return nil
}

// makeIdentity generates the ID of a new folder and syncs it.
func (node *Node) makeIdentity(state *durableState) error {
	var b [16]byte
	rand.Read(b[:])
	state.identity = identity{Folder: hex.EncodeToString(b[:]), Seeds: node.config.Seeds,
		Genesis: node.config.Bootstrap && !node.storage.hadIdentity && slices.Contains(node.config.Seeds, node.config.Self.Address)}
	if err := node.file.Append(encodeIdentity(state.identity)); err != nil {
		return err
	}
	return node.file.Sync()
}

// write appends and syncs the records of a step. After an error, nothing that depends on them may leave the process.
func (node *Node) write(actions *actions) error {
	if len(actions.records) == 0 {
		return nil
	}
	node.stuckWrite.begin(node.logStuckWrite)
	defer node.endWrite()
	if err := node.file.Append(actions.records...); err != nil {
		return errorx.Decorate(err, "consensus: append")
	}
	if actions.sync {
		if err := node.file.Sync(); err != nil {
			return errorx.Decorate(err, "consensus: sync")
		}
	}
	return node.rewriteIfGrown()
}

// logStuckWrite logs that the write in progress is stuck.
func (node *Node) logStuckWrite() {
	node.config.Log.Error().Str("event", "disk_stuck").Str("file", fileName).Dur("for", writeStuckTimeout).Msg("write to the control state file is stuck")
}

// endWrite records that the write in progress has returned, and logs it if the write was stuck.
func (node *Node) endWrite() {
	if node.stuckWrite.end() {
		node.config.Log.Info().Str("event", "disk_released").Str("file", fileName).Msg("stuck write to the control state file returned")
	}
}

// rewriteIfGrown rewrites the file if it has grown enough. A rewrite that fails is an error only if it broke the file.
func (node *Node) rewriteIfGrown() error {
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

// rewrite replaces the file by the records of a state.
func (node *Node) rewrite(state *durableState) error {
	return node.file.Rewrite(func(add func([]byte) error) error {
		for _, record := range state.records() {
			if err := add(record); err != nil {
				return err
			}
		}
		return nil
	})
}
