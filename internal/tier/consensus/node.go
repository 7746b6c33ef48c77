package consensus

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"saffronyard.example/saffronyard/internal/tier/wal"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// Config is what a node is opened with.
type Config struct {
	Self      *tierv1.Member // node, zone, region and internal address; the folder is this package's
	Seeds     []string       // internal addresses of the seeds
	Bootstrap bool           // the whole system starts for the first time
	Losses    int            // to be borne at the same time
	Dir       string
	FS        wal.FS

	ContactWindow, Heartbeat, SyncTime time.Duration

	Dial func(address string) tierv1.Election
	Log  *log.Logger // nil: silent

	StateLimit int // bytes of the control state, the same at all processes; 0: the constant of that name
}

// Node is a control-plane process's part in the control state. It implements Store.
type Node struct {
	config Config
	timing timing
	clock  func() time.Duration // since the start of the process

	// Of the loop alone.
	file    *wal.File // nil until the folder could be opened
	replica *replica  // nil while the disk fails
	storage    storageStatus
	clients map[string]tierv1.Election

	mu        sync.Mutex
	inbox     []event
	stopped   bool
	token     uint64
	replies   map[uint64]chan proto.Message
	outcomes  map[uint64]chan outcome
	published publishedState
	changed   chan struct{}

	wake chan struct{}
}

// leads tells whether the process may act as primary at a time: its lease counts, or there is nobody else to ask.
func (view *publishedState) leads(now, fresh time.Duration) bool {
	return view.primary && (view.withoutBackups || now-view.leaseStart < fresh)
}

var _ Store = (*Node)(nil)

// fileName is the file of the control state in its folder.
const fileName = "control"

// Open reads the folder, or makes it: then its identity is synced before anything is answered. A disk that fails, also one
// that is full, is no error: Run tries on until it works (see DiskError), and until then Self has no folder. Errors are
// those of the configuration and of a file that is not this program's.
func Open(config Config) (*Node, error) {
	if config.Self == nil || config.Self.Address == "" || config.Dial == nil || config.FS == nil || config.ContactWindow <= 0 {
		return nil, errorx.IllegalArgument.New("consensus: self, dial, file system and contact window are needed")
	}
	start := time.Now()
	return open(config, func() time.Duration { return time.Since(start) })
}

// open is Open with a clock of the caller's.
func open(config Config, clock func() time.Duration) (*Node, error) {
	n := &Node{config: config, timing: newTiming(config.ContactWindow, config.Heartbeat), clock: clock,
		replies: make(map[uint64]chan proto.Message), outcomes: make(map[uint64]chan outcome), changed: make(chan struct{}),
		wake: make(chan struct{}, 1), clients: make(map[string]tierv1.Election)}
	n.published = publishedState{self: proto.CloneOf(config.Self), members: []*tierv1.Member{config.Self}}
	if err := n.openReplica(); err != nil {
		if !isDiskError(err) {
			return nil, err
		}
		n.failDisk(err)
		return n, nil
	}
	n.publish(false)
	return n, nil
}

// now is a steady time that goes on while the process is paused, but not while the whole machine sleeps.
func (node *Node) now() time.Duration { return node.clock() }

// Run steps the machine until the context ends. A disk that fails does not end it; a file that can no longer be read does.
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

// runOnce is one pass of the loop: it brings the disk back where that is due, then takes a step with all events that wait.
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

// nextStepAt is when the loop is due at the latest.
func (node *Node) nextStepAt() time.Duration {
	if node.replica == nil {
		return node.storage.retryAt
	}
	return node.replica.nextStepAt()
}

// perform carries out what a step wants, in its order. Where the disk fails, only the early calls have left.
func (node *Node) perform(ctx context.Context, out *actions) {
	for _, c := range out.unsyncedCalls {
		node.send(ctx, c)
	}
	err := node.write(out)
	if errorx.IsOfType(err, wal.TooLarge) {
		node.restartWithoutRecord(err)
		return
	}
	if err != nil {
		node.failDisk(err)
		return
	}
	node.publish(out.changed)
	for _, c := range out.calls {
		node.send(ctx, c)
	}
	node.mu.Lock()
	for _, r := range out.replies {
		if c := node.replies[r.token]; c != nil {
			delete(node.replies, r.token)
			c <- r.body
		}
	}
	for _, o := range out.outcomes {
		if c := node.outcomes[o.token]; c != nil {
			delete(node.outcomes, o.token)
			c <- o
		}
	}
	node.mu.Unlock()
	if node.config.Log != nil {
		for _, what := range out.transitions {
			node.config.Log.Info().Str("what", what).Uint64("promised", node.replica.preparedEpoch).
				Uint64("chosen", epochOf(node.replica.chosen)).Uint64("sequence", node.replica.sequence).Msg("control")
		}
	}
}

// post hands an event to the loop; false once it has ended, or while the disk fails.
func (node *Node) post(e event) bool {
	node.mu.Lock()
	defer node.mu.Unlock()
	return node.postLocked(e)
}

// postLocked is post under mu.
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

// stop ends the loop: pending callers are notified that the outcome is unknown.
func (node *Node) stop() {
	node.mu.Lock()
	defer node.mu.Unlock()
	node.stopped = true
	node.published.primary = false
	node.endCallers()
	if node.file != nil {
		_ = node.file.Close()
	}
}

// await posts an event with a token of its own and waits for the outcome; ErrUnknown where ctx ends first.
func (node *Node) await(ctx context.Context, as func(token uint64) event) (uint64, error) {
	c := make(chan outcome, 1)
	node.mu.Lock()
	node.token++
	token := node.token
	node.outcomes[token] = c
	if !node.postLocked(as(token)) {
		delete(node.outcomes, token)
		node.mu.Unlock()
		return 0, ErrNotPrimary
	}
	node.mu.Unlock()
	select {
	case o := <-c:
		return o.sequence, o.err
	case <-ctx.Done():
		node.mu.Lock()
		delete(node.outcomes, token)
		node.mu.Unlock()
		return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, ctx.Err())
	}
}

// Put implements Store.
func (node *Node) Put(ctx context.Context, epoch uint64, sets map[string][]byte) (uint64, error) {
	sets = maps.Clone(sets)
	return node.await(ctx, func(token uint64) event { return putRequest{token, epoch, sets} })
}

// Confirm implements Store. The lease is asked again at the moment of the answer: a process that was paused after its round
// trip finds that it is late.
func (node *Node) Confirm(ctx context.Context, epoch uint64) error {
	if _, err := node.await(ctx, func(token uint64) event { return confirmRequest{token, epoch} }); err != nil {
		return err
	}
	if _, ok := node.Primary(); !ok {
		return ErrNotPrimary
	}
	return nil
}

// requestLimit bounds the body of a call, in bytes: what fits no record of the file is not read to its end.
const requestLimit = wal.MaxRecord

// Handler serves Election.
func (node *Node) Handler() http.Handler {
	return http.MaxBytesHandler(tierv1.NewElectionServer(server{node}), requestLimit)
}
