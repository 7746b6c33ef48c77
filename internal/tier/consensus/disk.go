package consensus

import (
	"crypto/rand"
	"encoding/hex"
	"slices"
	"time"

	"github.com/joomcode/errorx"
	"github.com/twitchtv/twirp"

	"dockshift.example/dockshift/internal/tier/wal"
)

// A disk that fails is a state of the node, not its end. While it lasts there is no machine: no leadership, no promise, no
// accept, no write taken. Callers get Unavailable, Put and Confirm ErrNotPrimary, and what is only shown (Record, Members,
// Get) stays as it was. When the disk works again the machine is built from the file, as after a restart.
const (
	// The first attempt to go on comes a heartbeat after the failure; the span between two attempts doubles up to
	// diskRetryMax heartbeats. A failure diskHealthy heartbeats after the last recovery begins anew.
	diskRetryMax = 16
	diskHealthy  = 40

	// The file is written anew when it is rewriteFactor times as long as it was after the last time, and rewriteSlack more.
	// After a rewrite that failed the next is tried when it has grown by rewriteSlack.
	rewriteFactor = 4
	rewriteSlack  = 256 << 10 // bytes
)

// disk is what the loop knows of the disk.
type disk struct {
	err       error         // nil: usable
	retryAt   time.Duration // of the next attempt
	retryWait time.Duration
	since     time.Duration // when it last became usable
	rewriteAt int64         // size at which the file is written anew
	hadFolder bool          // this process had an identity on disk: a folder made later is not of the first start
	lastCall  uint64        // the newest call of former machines: a late answer to one must not meet a call of another
}

// isDiskError tells errors that may pass from those of a file that this program cannot read.
func isDiskError(err error) bool {
	return errorx.IsOfType(err, wal.IO) || errorx.IsOfType(err, wal.Broken) || errorx.IsOfType(err, wal.NoRoom)
}

// openDisk reads the file, or makes it and the identity, and builds the machine from it. An error of the disk may pass.
func (n *Node) openDisk() error {
	var d durable
	if err := n.replayFile(&d); err != nil {
		return err
	}
	if d.Folder == "" {
		if err := n.makeIdentity(&d); err != nil {
			return errorx.Decorate(err, "consensus: make the folder")
		}
	}
	n.disk.hadFolder = true
	n.disk.rewriteAt = rewriteFactor*n.file.Size() + rewriteSlack
	m := newMachine(d, n.config.Self, n.config.Seeds, n.config.Losses, n.timing, uint64(time.Now().UnixNano()))
	m.resume(n.now(), n.disk.lastCall)
	if n.config.StateLimit > 0 {
		m.stateLimit = n.config.StateLimit
	}
	n.machine = m
	return nil
}

// replayFile opens or reopens the file. Where only room is missing, a rewrite to the bare state may make some.
func (n *Node) replayFile(d *durable) error {
	if n.file == nil {
		file, err := wal.Open(n.config.FS, n.config.Dir, fileName, d.replay)
		if err != nil {
			return errorx.Decorate(err, "consensus: open")
		}
		n.file = file
		return nil
	}
	err := n.file.Reopen(d.replay)
	if errorx.IsOfType(err, wal.NoRoom) && d.Folder != "" && n.rewrite(d) == nil {
		return nil
	}
	if err != nil {
		return errorx.Decorate(err, "consensus: reopen")
	}
	return nil
}

// makeIdentity draws a folder and syncs it.
func (n *Node) makeIdentity(d *durable) error {
	var b [16]byte
	rand.Read(b[:])
	d.identity = identity{Folder: hex.EncodeToString(b[:]), Seeds: n.config.Seeds,
		Genesis: n.config.Bootstrap && !n.disk.hadFolder && slices.Contains(n.config.Seeds, n.config.Self.Address)}
	if err := n.file.Append(encodeIdentity(d.identity)); err != nil {
		return err
	}
	return n.file.Sync()
}

// rewrite replaces the file by the records of a state.
func (n *Node) rewrite(d *durable) error {
	return n.file.Rewrite(func(add func([]byte) error) error {
		for _, r := range d.snapshot() {
			if err := add(r); err != nil {
				return err
			}
		}
		return nil
	})
}

// write appends and syncs what a step wants on disk. After an error nothing of the step may leave the process.
func (n *Node) write(out *actions) error {
	if len(out.records) == 0 {
		return nil
	}
	if err := n.file.Append(out.records...); err != nil {
		return errorx.Decorate(err, "consensus: append")
	}
	if out.sync {
		if err := n.file.Sync(); err != nil {
			return errorx.Decorate(err, "consensus: sync")
		}
	}
	if n.file.Size() < n.disk.rewriteAt {
		return nil
	}
	if err := n.rewrite(&n.machine.durable); err != nil {
		if n.file.Err() != nil {
			return errorx.Decorate(err, "consensus: rewrite")
		}
		n.disk.rewriteAt = n.file.Size() + rewriteSlack // the old file is in use as before
		return nil
	}
	n.disk.rewriteAt = rewriteFactor*n.file.Size() + rewriteSlack
	return nil
}

// failDisk ends the machine: leadership, proposals and calls are gone as by a loss of power.
func (n *Node) failDisk(err error) {
	n.dropMachine()
	now := n.now()
	switch {
	case n.disk.retryWait == 0 || n.disk.err == nil && now-n.disk.since >= diskHealthy*n.timing.heartbeat:
		n.disk.retryWait = n.timing.heartbeat
	default:
		n.disk.retryWait = min(2*n.disk.retryWait, diskRetryMax*n.timing.heartbeat)
	}
	n.disk.retryAt = now + n.disk.retryWait
	first := n.disk.err == nil
	n.disk.err = err
	if !first {
		return
	}
	n.mu.Lock()
	n.view.primary, n.view.hint, n.view.health = false, "", Health{Disk: err, Losses: n.config.Losses, Tolerates: Unknown}
	n.inbox = nil
	n.endCallers()
	n.mu.Unlock()
	if n.config.Log != nil {
		n.config.Log.Error().Str("event", "disk_failed").Str("file", fileName).Err(err).Msg("disk failed: " + err.Error())
	}
}

// refuseRecord goes on after the file refused a record as too large. Nothing of the step was written, though early calls
// have left: the machine is built anew from the file, as after a restart. The disk is sound, and not reported as failing.
// The machine lets no such record come about by itself, see StateLimit.
func (n *Node) refuseRecord(err error) {
	if n.config.Log != nil {
		n.config.Log.Error().Str("event", "record_refused").Str("file", fileName).Err(err).Msg("record refused: " + err.Error())
	}
	n.dropMachine()
	n.mu.Lock()
	n.inbox = nil
	n.endCallers()
	n.mu.Unlock()
	if err := n.openDisk(); err != nil {
		n.failDisk(err)
		return
	}
	n.publish(true)
}

// dropMachine forgets the machine. Late answers to its calls will meet nobody.
func (n *Node) dropMachine() {
	if n.machine == nil {
		return
	}
	n.disk.lastCall = n.machine.nextID
	n.machine = nil
}

// retryDisk tries to go on. It returns only errors that cannot pass.
func (n *Node) retryDisk() error {
	before := n.disk.err
	if err := n.openDisk(); err != nil {
		if !isDiskError(err) {
			return err
		}
		n.failDisk(err)
		return nil
	}
	n.disk.err, n.disk.since = nil, n.now()
	n.publish(true)
	if n.config.Log != nil {
		n.config.Log.Info().Str("event", "disk_recovered").Str("file", fileName).Str("folder", n.machine.Folder).
			Uint64("sequence", n.machine.sequence).Msg("disk recovered from: " + before.Error())
	}
	return nil
}

// endCallers ends all who wait for the loop: their outcome is unknown. The lock is held.
func (n *Node) endCallers() {
	for token, c := range n.outcomes {
		delete(n.outcomes, token)
		c <- outcome{token, 0, ErrUnknown}
	}
	for token, c := range n.replies {
		delete(n.replies, token)
		close(c)
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

// unavailable is what a caller of the service gets from a node that has ended or whose disk fails.
func (n *Node) unavailable() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.view.health.Disk; err != nil {
		return twirp.NewError(twirp.Unavailable, "disk failed: "+err.Error())
	}
	return twirp.NewError(twirp.Unavailable, "ending")
}

// DiskError is nil while the disk can be written, and otherwise what failed.
func (n *Node) DiskError() error { return n.Health().Disk }
