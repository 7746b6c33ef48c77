package consensus

import (
	"context"
	"fmt"
	"io"
	"maps"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"saffronyard.example/saffronyard/internal/tier/wal"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// Config holds the parameters of Open.
type Config struct {
	Self      *tierv1.Member // node, zone, region and internal address; the folder is set by this package
	Seeds     []string       // internal addresses of the seeds
	Bootstrap bool           // this is the first start of the whole system
	Losses    int            // machines or disks that may be lost at the same time
	Dir       string         // folder of the control state
	FS        wal.FS

	ContactWindow time.Duration // all durations of the protocol are fractions of it
	Heartbeat     time.Duration // four times the maximum heartbeat interval; 0: bounded by the contact window only

	Dial func(address string) tierv1.Election // returns the client of the node at an internal address
	Log  *log.Logger                          // nil: no logging

	StateLimit int // of the control state in bytes, the same at all processes; 0: the constant StateLimit
}

// Node is the member that a control-plane process runs in the group that replicates the control state. Its methods are safe for concurrent
// use.
type Node struct {
	config Config
	timing timing
	clock  func() time.Duration // since the start of the process

	// Used only by the loop.
	file    *wal.File // nil until the folder could be opened
	replica *replica  // nil while the disk fails
	storage storageStatus
	clients map[string]tierv1.Election // by address

	stuckWrite stuckWrite // safe for concurrent use

	mu        sync.Mutex // guards the fields up to changed
	inbox     []event
	stopped   bool
	token     uint64 // last token issued
	replies   map[uint64]chan proto.Message
	outcomes  map[uint64]chan outcome
	published publishedState
	changed   chan struct{}

	wake chan struct{} // has an element while the inbox has new events
}

// Open reads the folder, or creates it and syncs its identity before the node replies to any call. A failing or full disk is not an error:
// Run retries until the disk works (see DiskError), and until then Self has no folder. Open returns an error for an invalid configuration
// and for a file that this program cannot read.
func Open(config Config) (*Node, error) {
	if config.Self == nil || config.Self.Address == "" || config.Dial == nil || config.FS == nil || config.ContactWindow <= 0 {
		return nil, errorx.IllegalArgument.New("consensus: Config needs Self with an address, Dial, FS and a positive ContactWindow")
	}
	start := time.Now()
	return open(config, func() time.Duration { return time.Since(start) })
}

// open is Open with an injected clock.
func open(config Config, clock func() time.Duration) (*Node, error) {
	if config.Log == nil {
		config.Log = &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}
	}
	node := &Node{
		config:   config,
		timing:   newTiming(config.ContactWindow, config.Heartbeat),
		clock:    clock,
		clients:  make(map[string]tierv1.Election),
		replies:  make(map[uint64]chan proto.Message),
		outcomes: make(map[uint64]chan outcome),
		changed:  make(chan struct{}),
		wake:     make(chan struct{}, 1),
	}
	node.published = publishedState{self: proto.CloneOf(config.Self), members: []*tierv1.Member{config.Self}}
	if err := node.openReplica(); err != nil {
		if !isDiskError(err) {
			return nil, err
		}
		node.failDisk(err)
		return node, nil
	}
	node.publish(false)
	return node, nil
}

// now returns a monotonic time that advances while the process is paused, but not while the whole machine is suspended.
func (node *Node) now() time.Duration { return node.clock() }

// Run steps the replica until ctx is done. A disk failure does not end Run; a file that can no longer be read does.
func (node *Node) Run(ctx context.Context) error {
	defer node.stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-node.wake:
		}
		if err := node.runOnce(ctx); err != nil {
			return err
		}
		timer.Reset(max(node.nextStepAt()-node.now(), time.Millisecond))
	}
}

// runOnce is one pass of the loop: it recovers the disk if that is due, then takes a step with all queued events.
func (node *Node) runOnce(ctx context.Context) error {
	if node.replica == nil && node.now() >= node.storage.retryAt {
		if err := node.recoverDisk(); err != nil {
			return err
		}
	}
	if node.replica == nil {
		return nil
	}
	node.mu.Lock()
	events := node.inbox
	node.inbox = nil
	node.mu.Unlock()
	node.perform(ctx, node.replica.Step(node.now(), events...))
	return nil
}

// nextStepAt returns the latest time of the next loop pass.
func (node *Node) nextStepAt() time.Duration {
	if node.replica == nil {
		return node.storage.retryAt
	}
	return node.replica.nextStepAt()
}

// perform carries out the actions of a step, in their order. If the disk fails, only the calls that need not wait for the disk have been
// sent.
func (node *Node) perform(ctx context.Context, actions *actions) {
	for _, call := range actions.unsyncedCalls {
		node.send(ctx, call)
	}
	err := node.write(actions)
	if errorx.IsOfType(err, wal.TooLarge) {
		node.restartWithoutRecord(err)
		return
	}
	if err != nil {
		node.failDisk(err)
		return
	}
	node.publish(actions.changed)
	for _, call := range actions.calls {
		node.send(ctx, call)
	}
	node.mu.Lock()
	for _, reply := range actions.replies {
		if waiter := node.replies[reply.token]; waiter != nil {
			delete(node.replies, reply.token)
			waiter <- reply.body
		}
	}
	for _, ended := range actions.outcomes {
		if waiter := node.outcomes[ended.token]; waiter != nil {
			delete(node.outcomes, ended.token)
			waiter <- ended
		}
	}
	node.mu.Unlock()
	node.logTransitions(actions.transitions)
}

// logTransitions logs the changes of this node's role and of its proposals.
func (node *Node) logTransitions(transitions []transition) {
	for _, changed := range transitions {
		line := node.config.Log.Info().Str("event", "control")
		if changed.reason != "" {
			line = line.Str("reason", changed.reason)
		}
		line.Uint64("prepared", node.replica.preparedEpoch).Uint64("chosen", epochOf(node.replica.chosen)).
			Uint64("sequence", node.replica.sequence).Msg(changed.message)
	}
}

// post queues an event for the loop. It returns false once the loop has ended, and while the disk fails.
func (node *Node) post(e event) bool {
	node.mu.Lock()
	defer node.mu.Unlock()
	return node.postLocked(e)
}

// postLocked is post with the lock held.
func (node *Node) postLocked(e event) bool {
	if node.stopped || node.published.health.Disk != nil {
		return false
	}
	node.inbox = append(node.inbox, e)
	select {
	case node.wake <- struct{}{}:
	default:
	}
	return true
}

// stop marks the node as stopped, fails the pending operations with ErrOutcomeUnknown and closes the file.
func (node *Node) stop() {
	node.mu.Lock()
	defer node.mu.Unlock()
	node.stopped = true
	node.published.primary = false
	node.failPending()
	if node.file != nil {
		_ = node.file.Close()
	}
}

// await posts an event with a new token and waits for its outcome; ErrOutcomeUnknown if ctx ends first.
func (node *Node) await(ctx context.Context, newEvent func(token uint64) event) (uint64, error) {
	ended := make(chan outcome, 1)
	node.mu.Lock()
	node.token++
	token := node.token
	node.outcomes[token] = ended
	if !node.postLocked(newEvent(token)) {
		delete(node.outcomes, token)
		node.mu.Unlock()
		return 0, ErrNotPrimary
	}
	node.mu.Unlock()
	select {
	case result := <-ended:
		return result.sequence, result.err
	case <-ctx.Done():
		node.mu.Lock()
		delete(node.outcomes, token)
		node.mu.Unlock()
		return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, ctx.Err())
	}
}

// Put writes keys under an epoch and returns the sequence of the write; a key with an empty value is removed. It returns nil only when
// the write is synced here and at all backups. ErrNotPrimary: nothing was written, and the epoch is over. An error of type
// StateTooLarge: nothing was written, and the epoch continues. Any other error: the outcome is unknown.
func (node *Node) Put(ctx context.Context, epoch uint64, sets map[string][]byte) (uint64, error) {
	sets = maps.Clone(sets)
	return node.await(ctx, func(token uint64) event { return putRequest{token, epoch, sets} })
}

// Confirm makes a round trip to all backups that begins after the call, so that reads that follow it are linearizable. It returns
// ErrNotPrimary if the epoch is over. The lease is checked again after the round trip, because it may have expired while the process was
// paused.
func (node *Node) Confirm(ctx context.Context, epoch uint64) error {
	if _, err := node.await(ctx, func(token uint64) event { return confirmRequest{token, epoch} }); err != nil {
		return err
	}
	if _, ok := node.Primary(); !ok {
		return ErrNotPrimary
	}
	return nil
}
