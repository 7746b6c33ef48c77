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

	StateLimit int // bytes of the control state, the same at all processes; 0: the constant of that name
}

// Node is a control-plane process's part in the control state. It implements Store.
type Node struct {
	config Config
	timing timing
	clock  func() time.Duration // since the start of the process

	// Of the loop alone.
	file    *wal.File // nil until the folder could be opened
	machine *machine  // nil while the disk fails
	disk    disk
	clients map[string]tierv1.Election

	mu       sync.Mutex
	inbox    []event
	stopped  bool
	token    uint64
	replies  map[uint64]chan proto.Message
	outcomes map[uint64]chan outcome
	view     view
	changed  chan struct{}

	wake chan struct{}
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
	self      *tierv1.Member
	health    Health
}

// leads tells whether the process may act as primary at a time: its lease counts, or there is nobody else to ask.
func (v *view) leads(now, fresh time.Duration) bool {
	return v.primary && (v.alone || now-v.confirmed < fresh)
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

func open(config Config, clock func() time.Duration) (*Node, error) {
	n := &Node{config: config, timing: timings(config.ContactWindow, config.Heartbeat), clock: clock,
		replies: make(map[uint64]chan proto.Message), outcomes: make(map[uint64]chan outcome), changed: make(chan struct{}),
		wake: make(chan struct{}, 1), clients: make(map[string]tierv1.Election)}
	n.view = view{self: proto.CloneOf(config.Self), members: []*tierv1.Member{config.Self}}
	if err := n.openDisk(); err != nil {
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
func (n *Node) now() time.Duration { return n.clock() }

// Run steps the machine until the context ends. A disk that fails does not end it; a file that can no longer be read does.
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
		if err := n.turn(ctx); err != nil {
			return err
		}
		timer.Reset(max(n.nextWake()-n.now(), time.Millisecond))
	}
}

// turn is one pass of the loop: it brings the disk back where that is due, then takes a step with all events that wait.
func (n *Node) turn(ctx context.Context) error {
	if n.machine == nil && n.now() >= n.disk.retryAt {
		if err := n.retryDisk(); err != nil {
			return err
		}
	}
	if n.machine == nil {
		return nil
	}
	n.mu.Lock()
	events := n.inbox
	n.inbox = nil
	n.mu.Unlock()
	n.do(ctx, n.machine.Step(n.now(), events...))
	return nil
}

// nextWake is when the loop is due at the latest.
func (n *Node) nextWake() time.Duration {
	if n.machine == nil {
		return n.disk.retryAt
	}
	return n.machine.wake()
}

// do carries out what a step wants, in its order. Where the disk fails, only the early calls have left.
func (n *Node) do(ctx context.Context, out *actions) {
	for _, c := range out.early {
		n.send(ctx, c)
	}
	err := n.write(out)
	if errorx.IsOfType(err, wal.TooLarge) {
		n.refuseRecord(err)
		return
	}
	if err != nil {
		n.failDisk(err)
		return
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
}

func (n *Node) publish(changed bool) {
	m := n.machine
	v := view{record: m.chosen, hint: m.hint, members: m.members(), data: m.data, self: m.self, health: m.health()}
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

// post hands an event to the loop; false once it has ended, or while the disk fails.
func (n *Node) post(e event) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.postLocked(e)
}

func (n *Node) postLocked(e event) bool {
	if n.stopped || n.view.health.Disk != nil {
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
	n.endCallers()
	if n.file != nil {
		_ = n.file.Close()
	}
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

// Confirm implements Store. The lease is asked again at the moment of the answer: a process that was paused after its round
// trip finds that it is late.
func (n *Node) Confirm(ctx context.Context, epoch uint64) error {
	if _, err := n.wait(ctx, func(token uint64) event { return confirm{token, epoch} }); err != nil {
		return err
	}
	if _, ok := n.Primary(); !ok {
		return ErrNotPrimary
	}
	return nil
}

// Primary implements Store.
func (n *Node) Primary() (uint64, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.epoch, n.view.leads(n.now(), n.timing.fresh)
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
func (n *Node) Self() *tierv1.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.self
}

// requestLimit bounds the body of a call, in bytes: what fits no record of the file is not read to its end.
const requestLimit = wal.MaxRecord

// Handler serves Election.
func (n *Node) Handler() http.Handler {
	return http.MaxBytesHandler(tierv1.NewElectionServer(server{n}), requestLimit)
}
