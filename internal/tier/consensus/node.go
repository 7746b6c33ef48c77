package consensus

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"dockshift.example/dockshift/internal/tier/wal"
	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
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
}

// Node is a control-plane process's part in the control state. It implements Store.
type Node struct {
	config  Config
	file    *wal.File
	machine *machine // of the loop alone
	start   time.Time
	fresh   time.Duration

	mu       sync.Mutex
	inbox    []event
	stopped  bool
	token    uint64
	replies  map[uint64]chan proto.Message
	outcomes map[uint64]chan outcome
	view     view
	changed  chan struct{}

	wake    chan struct{}
	clients map[string]tierv1.Election
	base    int64 // size of the file after it was written anew
}

// view is what callers see of the machine, as of its last step that is on disk.
type view struct {
	epoch     uint64
	primary   bool
	alone     bool // no backups to be asked
	confirmed time.Duration
	data      map[string]*tierv1.Entry
	record    *tierv1.Record
	hint      string
	members   []*tierv1.Member
}

var _ Store = (*Node)(nil)

// fileName is the file of the control state in its folder.
const fileName = "control"

// Open reads the folder, or makes it: then its identity is synced before it returns.
func Open(config Config) (*Node, error) {
	if config.Self == nil || config.Self.Address == "" || config.Dial == nil || config.FS == nil || config.ContactWindow <= 0 {
		return nil, errorx.IllegalArgument.New("consensus: self, dial, file system and contact window are needed")
	}
	n := &Node{config: config, start: time.Now(), replies: make(map[uint64]chan proto.Message),
		outcomes: make(map[uint64]chan outcome), changed: make(chan struct{}), wake: make(chan struct{}, 1),
		clients: make(map[string]tierv1.Election)}
	var d durable
	file, err := wal.Open(config.FS, config.Dir, fileName, d.replay)
	if err != nil {
		return nil, errorx.Decorate(err, "consensus: open")
	}
	if d.Folder == "" {
		var b [16]byte
		rand.Read(b[:])
		d.identity = identity{Folder: hex.EncodeToString(b[:]), Seeds: config.Seeds,
			Genesis: config.Bootstrap && slices.Contains(config.Seeds, config.Self.Address)}
		if err = file.Append(encodeIdentity(d.identity)); err == nil {
			err = file.Sync()
		}
		if err != nil {
			file.Close()
			return nil, errorx.Decorate(err, "consensus: make the folder")
		}
	}
	n.file, n.base = file, file.Size()
	t := timings(config.ContactWindow, config.Heartbeat)
	n.fresh = t.fresh
	n.machine = newMachine(d, config.Self, config.Seeds, config.Losses, t, uint64(time.Now().UnixNano()))
	n.publish(false)
	return n, nil
}

func (n *Node) now() time.Duration { return time.Since(n.start) }

// Run steps the machine until the context ends or the disk fails.
func (n *Node) Run(ctx context.Context) error {
	defer n.stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-n.wake:
		}
		n.mu.Lock()
		events := n.inbox
		n.inbox = nil
		n.mu.Unlock()
		if err := n.do(ctx, n.machine.Step(n.now(), events...)); err != nil {
			return err
		}
		timer.Reset(max(n.machine.wake()-n.now(), time.Millisecond))
	}
}

// do carries out what a step wants, in its order.
func (n *Node) do(ctx context.Context, out *actions) error {
	for _, c := range out.early {
		n.send(ctx, c)
	}
	if len(out.records) > 0 {
		if err := n.file.Append(out.records...); err != nil {
			return errorx.Decorate(err, "consensus: append")
		}
		if out.sync {
			if err := n.file.Sync(); err != nil {
				return errorx.Decorate(err, "consensus: sync")
			}
		}
		if n.file.Size() > 4*n.base+256<<10 {
			if err := n.rewrite(); err != nil {
				return errorx.Decorate(err, "consensus: rewrite")
			}
		}
	}
	n.publish(out.changed)
	for _, c := range out.calls {
		n.send(ctx, c)
	}
	n.mu.Lock()
	for _, r := range out.replies {
		if c := n.replies[r.token]; c != nil {
			delete(n.replies, r.token)
			c <- r.body
		}
	}
	for _, o := range out.outcomes {
		if c := n.outcomes[o.token]; c != nil {
			delete(n.outcomes, o.token)
			c <- o
		}
	}
	n.mu.Unlock()
	if n.config.Log != nil {
		for _, what := range out.news {
			n.config.Log.Info().Str("what", what).Uint64("promised", n.machine.promised).
				Uint64("chosen", epochOf(n.machine.chosen)).Uint64("sequence", n.machine.sequence).Msg("control")
		}
	}
	return nil
}

func (n *Node) rewrite() error {
	err := n.file.Rewrite(func(add func([]byte) error) error {
		for _, r := range n.machine.snapshot() {
			if err := add(r); err != nil {
				return err
			}
		}
		return nil
	})
	n.base = n.file.Size()
	return err
}

func (n *Node) publish(changed bool) {
	m := n.machine
	v := view{record: m.chosen, hint: m.hint, members: m.members(), data: m.data}
	if r := m.primary; r != nil {
		v.primary, v.epoch, v.data, v.record = true, r.record.Epoch, r.visible, r.record
		v.alone, v.confirmed = len(r.record.Backups) == 0, m.confirmedAt()
	}
	n.mu.Lock()
	n.view = v
	if changed {
		close(n.changed)
		n.changed = make(chan struct{})
	}
	n.mu.Unlock()
}

// post hands an event to the loop; false once it has ended.
func (n *Node) post(e event) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.postLocked(e)
}

func (n *Node) postLocked(e event) bool {
	if n.stopped {
		return false
	}
	n.inbox = append(n.inbox, e)
	select {
	case n.wake <- struct{}{}:
	default:
	}
	return true
}

// stop ends the loop: pending callers are notified that the outcome is unknown.
func (n *Node) stop() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopped = true
	n.view.primary = false
	for t, c := range n.outcomes {
		delete(n.outcomes, t)
		c <- outcome{t, 0, ErrUnknown}
	}
	for t, c := range n.replies {
		delete(n.replies, t)
		close(c)
	}
	close(n.changed)
	n.changed = make(chan struct{})
	n.file.Close()
}

func (n *Node) wait(ctx context.Context, as func(token uint64) event) (uint64, error) {
	c := make(chan outcome, 1)
	n.mu.Lock()
	n.token++
	token := n.token
	n.outcomes[token] = c
	if !n.postLocked(as(token)) {
		delete(n.outcomes, token)
		n.mu.Unlock()
		return 0, ErrNotPrimary
	}
	n.mu.Unlock()
	select {
	case o := <-c:
		return o.sequence, o.err
	case <-ctx.Done():
		n.mu.Lock()
		delete(n.outcomes, token)
		n.mu.Unlock()
		return 0, fmt.Errorf("%w: %w", ErrUnknown, ctx.Err())
	}
}

// Put implements Store.
func (n *Node) Put(ctx context.Context, epoch uint64, sets map[string][]byte) (uint64, error) {
	sets = maps.Clone(sets)
	return n.wait(ctx, func(token uint64) event { return put{token, epoch, sets} })
}

// Confirm implements Store.
func (n *Node) Confirm(ctx context.Context, epoch uint64) error {
	_, err := n.wait(ctx, func(token uint64) event { return confirm{token, epoch} })
	return err
}

// Primary implements Store.
func (n *Node) Primary() (uint64, bool) {
	now := n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.epoch, n.view.primary && (n.view.alone || now-n.view.confirmed < n.fresh)
}

// Get implements Store.
func (n *Node) Get(key string) ([]byte, uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	e := n.view.data[key]
	return e.GetValue(), e.GetSequence()
}

// Changed implements Store.
func (n *Node) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// Hint implements Store.
func (n *Node) Hint() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.hint
}

// Record implements Store.
func (n *Node) Record() *tierv1.Record {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.record
}

// Members implements Store.
func (n *Node) Members() []*tierv1.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.members
}

// Self implements Store.
func (n *Node) Self() *tierv1.Member { return n.machine.self }

// Handler serves Election.
func (n *Node) Handler() http.Handler { return tierv1.NewElectionServer(server{n}) }
