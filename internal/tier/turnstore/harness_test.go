package turnstore

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/wal"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

const parts = 2

// fault is what happens to one message.
type fault int

const (
	sound         fault = iota
	lostRequest         // the receiver never sees it
	lostReply           // it is served, and nobody hears the answer
	doubled             // it comes twice
	held                // it comes once more, after everything else
	senderDies          // it is served, the sender loses power
	receiverDies        // served and synced, then the receiver loses power before it answers
	receiverDumb        // the receiver loses power before it serves
	receiverWiped       // the receiver's disk is gone before it serves
	senderLost          // the sender's disk is gone before it goes out
	faults
)

// node is a machine of the test.
type node struct {
	name      string
	disk      *wal.Memory
	turnstore *TurnStore
	down      bool
	cut       bool // nobody reaches it, and it reaches nobody
	dark      bool // who calls it hears nothing until its time is over
}

// cluster is turn stores with a network in memory, and the control state's map.
type cluster struct {
	t      reporter
	plant  plant
	rng    *rand.Rand
	mu     sync.Mutex
	nodes  map[string]*node
	names  []string
	m      *tierv1.PartitionMap
	calls  int
	at     int // number of the message that the fault hits; 0: none
	fault  fault
	struck chan struct{} // closed when the fault has hit
	late   []func()
	clock  time.Time
	ctx    context.Context
}

func newCluster(t reporter, names ...string) *cluster {
	return newPlantedCluster(t, plant{}, names...)
}

// newPlantedCluster is newCluster with a planted fault.
func newPlantedCluster(t reporter, p plant, names ...string) *cluster {
	c := &cluster{t: t, plant: p, rng: rand.New(rand.NewPCG(1, 2)), nodes: map[string]*node{}, names: names, struck: make(chan struct{}),
		clock: time.Now(), ctx: context.Background()}
	for _, n := range names {
		c.nodes[n] = &node{name: n, disk: wal.NewMemory()}
		c.start(n)
	}
	t.Cleanup(func() {
		for _, n := range names {
			c.nodes[n].turnstore.Close()
		}
	})
	return c
}

func (c *cluster) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clock
}

func (c *cluster) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clock = c.clock.Add(d)
}

func (c *cluster) start(name string) {
	n := c.nodes[name]
	v, err := Open(Config{Node: name, Dir: "/data", FS: c.files(n.disk), Now: c.now, ReplyTimeout: 40 * time.Millisecond,
		RequestTimeout: 250 * time.Millisecond, Log: &log.Logger{Writer: log.IOWriter{Writer: io.Discard}},
		Dial: func(addr string) tierv1.TurnStore { return &wire{c: c, from: name, to: addr} }})
	assert.NilError(c.t, err)
	c.mu.Lock()
	n.turnstore, n.down = v, false
	m := c.told()
	c.mu.Unlock()
	if m != nil {
		v.Apply(m)
	}
}

// crash is a loss of power, or of the disk as well.
func (c *cluster) crash(name string, wipe bool) {
	c.mu.Lock()
	n := c.nodes[name]
	n.down = true
	v := n.turnstore
	if wipe {
		n.disk.Wipe()
	} else {
		n.disk.Crash(c.rng)
	}
	c.mu.Unlock()
	go v.Close() // may be called from one of its own calls
}

func (c *cluster) restart(name string) {
	c.nodes[name].turnstore.Close()
	c.start(name)
}

// assign makes the next map: all partitions have this primary and these backups; "?" before a name: not synced.
func (c *cluster) assign(primary string, backups ...string) {
	c.mu.Lock()
	m := &tierv1.PartitionMap{Version: 1}
	if c.m != nil {
		m.Version = c.m.Version + 1
	}
	for _, name := range c.names {
		m.StoreNodes = append(m.StoreNodes, &tierv1.StoreNode{Folder: c.nodes[name].turnstore.Folder(), Node: name, Address: name})
	}
	for range parts {
		p := &tierv1.Partition{Epoch: m.Version, Primary: c.nodes[primary].turnstore.Folder()}
		for _, b := range backups {
			synced := b[0] != '?'
			if !synced {
				b = b[1:]
			}
			p.Backups = append(p.Backups, &tierv1.Replica{Folder: c.nodes[b].turnstore.Folder(), Synced: synced})
		}
		m.Partitions = append(m.Partitions, p)
	}
	c.m = m
	c.mu.Unlock()
}

// push brings the newest map to these nodes, or to all.
func (c *cluster) push(names ...string) {
	if len(names) == 0 {
		names = c.names
	}
	for _, n := range names {
		c.nodes[n].turnstore.Apply(c.told())
	}
}

// synced waits until a primary reports so many copies.
func (c *cluster) synced(name string, n int) {
	timeout := time.After(10 * time.Second)
	for {
		reports, changed := c.reports(name)
		if len(reports) >= n {
			return
		}
		select {
		case <-changed:
		case <-timeout:
			c.t.Fatalf("%s: %d of %d copies synced", name, len(reports), n)
		}
	}
}

// wire is a client that reaches a turn store through the network in memory.
type wire struct {
	c        *cluster
	from, to string
}

var errNet = errorx.IllegalState.New("no answer")

// carry serves one message, spoilt if it is the one to be spoilt.
func carry[Req, Rep proto.Message](w *wire, ctx context.Context, req Req, serve func(*TurnStore, context.Context, Req) (Rep, error)) (rep Rep, err error) {
	c := w.c
	req = proto.Clone(req).(Req)
	c.mu.Lock()
	c.calls++
	f := sound
	if c.calls == c.at {
		f = c.fault
		defer func() { close(c.struck) }()
	}
	to := c.nodes[w.to]
	off := func() bool { return to.down || to.cut || w.from != "" && (c.nodes[w.from].down || c.nodes[w.from].cut) }
	gone := off()
	dark := to.dark
	v := to.turnstore
	c.mu.Unlock()
	if dark {
		<-ctx.Done()
		return rep, errNet
	}
	if gone || f == lostRequest {
		return rep, errNet
	}
	switch f {
	case senderLost:
		if w.from != "" {
			c.crash(w.from, true)
		}
		return rep, errNet
	case receiverDumb, receiverWiped:
		c.crash(w.to, f == receiverWiped)
		return rep, errNet
	case doubled:
		_, _ = serve(v, ctx, proto.Clone(req).(Req))
	case held:
		again := proto.Clone(req).(Req)
		c.mu.Lock()
		c.late = append(c.late, func() { _, _ = serve(c.nodes[w.to].turnstore, context.Background(), again) })
		c.mu.Unlock()
	}
	rep, err = serve(v, ctx, req)
	if err == nil {
		rep = proto.Clone(rep).(Rep)
	}
	switch f {
	case lostReply:
		return rep, errNet
	case senderDies:
		if w.from != "" {
			c.crash(w.from, false)
		}
		return rep, errNet
	case receiverDies:
		c.crash(w.to, false)
		return rep, errNet
	}
	c.mu.Lock()
	gone = off()
	c.mu.Unlock()
	if gone {
		return rep, errNet
	}
	return rep, err
}

func (w *wire) Begin(ctx context.Context, r *tierv1.BeginRequest) (*tierv1.BeginReply, error) {
	return carry(w, ctx, r, (*TurnStore).Begin)
}
func (w *wire) Settle(ctx context.Context, r *tierv1.SettleRequest) (*tierv1.SettleReply, error) {
	return carry(w, ctx, r, (*TurnStore).Settle)
}
func (w *wire) Find(ctx context.Context, r *tierv1.FindRequest) (*tierv1.FindReply, error) {
	return carry(w, ctx, r, (*TurnStore).Find)
}
func (w *wire) Replicate(ctx context.Context, r *tierv1.ReplicateRequest) (*tierv1.ReplicateReply, error) {
	if w.c.plant.replicate != nil {
		return carry(w, ctx, r, w.c.plant.replicate(w.c))
	}
	return carry(w, ctx, r, (*TurnStore).Replicate)
}
func (w *wire) Held(ctx context.Context, r *tierv1.HeldRequest) (*tierv1.HeldReply, error) {
	if w.c.plant.held != nil {
		return carry(w, ctx, r, w.c.plant.held(w.c))
	}
	return carry(w, ctx, r, (*TurnStore).Held)
}
func (w *wire) Fetch(ctx context.Context, r *tierv1.FetchRequest) (*tierv1.FetchReply, error) {
	if w.c.plant.fetch != nil {
		return carry(w, ctx, r, w.c.plant.fetch(w.c))
	}
	return carry(w, ctx, r, (*TurnStore).Fetch)
}

// checker remembers what was answered.
type checker struct {
	c       *cluster
	kept    []string          // attempts whose turn was answered kept
	whole   map[string]string // previous by attempt
	granted map[string]uint64 // most of attempts answered OK, then the tokens they told
}

func newChecker(c *cluster) *checker {
	return &checker{c: c, whole: map[string]string{}, granted: map[string]uint64{}}
}

func (k *checker) begin(to string, r *tierv1.BeginRequest) tierv1.Verdict {
	w := &wire{c: k.c, to: to}
	reply, err := w.Begin(k.c.ctx, r)
	if err != nil {
		return tierv1.Verdict_VERDICT_UNSPECIFIED
	}
	if reply.Verdict == tierv1.Verdict_UNKNOWN {
		for _, a := range k.kept {
			assert.Assert(k.c.t, a != r.Previous, "kept turn %s is unknown", a)
		}
	}
	if reply.Verdict == tierv1.Verdict_OK {
		if _, again := k.granted[r.Attempt]; !again {
			k.granted[r.Attempt] = r.Most
		}
		if r.Limited {
			var sum uint64
			for _, n := range k.granted {
				sum += n
			}
			assert.Assert(k.c.t, sum <= r.Budget, "%d tokens granted of %d", sum, r.Budget)
		}
		if !r.ChainHeld {
			want := []string{}
			for a := r.Previous; a != ""; a = k.whole[a] {
				want = append([]string{a}, want...)
			}
			got := []string{}
			for _, t := range reply.Chain {
				got = append(got, t.Attempt)
				assert.Equal(k.c.t, string(t.Output), "out "+t.Attempt)
			}
			assert.DeepEqual(k.c.t, got, want)
		}
	}
	return reply.Verdict
}

func (k *checker) settle(to, program, attempt, previous string, tokens uint64) tierv1.Verdict {
	w := &wire{c: k.c, to: to}
	reply, err := w.Settle(k.c.ctx, &tierv1.SettleRequest{Program: program, Attempt: attempt, Kept: true, Tokens: tokens,
		Turn: turn(program, attempt, previous)})
	if err != nil {
		return tierv1.Verdict_VERDICT_UNSPECIFIED
	}
	if reply.Verdict == tierv1.Verdict_OK {
		k.kept = append(k.kept, attempt)
		k.whole[attempt] = previous
		k.granted[attempt] = tokens
	}
	return reply.Verdict
}

// sure begins again as long as the answer is BUSY.
func (k *checker) sure(to string, r *tierv1.BeginRequest) tierv1.Verdict {
	v := busy
	for range 100 {
		if v = k.begin(to, r); v != busy {
			break
		}
	}
	return v
}

func turn(program, attempt, previous string) *tierv1.Turn {
	return &tierv1.Turn{Attempt: attempt, Previous: previous, Program: program, Input: []byte("in " + attempt),
		Output: []byte("out " + attempt), RetentionMs: 60_000}
}

func ask(attempt, previous string) *tierv1.BeginRequest {
	return &tierv1.BeginRequest{Program: "p", Attempt: attempt, Previous: previous, Limited: true, Budget: 100, Most: 20,
		RetentionMs: 60_000}
}

func name(n int) string { return fmt.Sprintf("t%d", n) }
