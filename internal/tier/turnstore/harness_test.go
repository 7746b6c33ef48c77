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
	noFault           fault = iota
	lostRequest             // the receiver never sees it
	lostReply               // it is served, and nobody hears the answer
	duplicated              // it comes twice
	delayed                 // it comes once more, after everything else
	senderDies              // it is served, the sender loses power
	receiverDies            // served and synced, then the receiver loses power before it answers
	receiverDiesFirst       // the receiver loses power before it serves
	receiverWiped           // the receiver's disk is gone before it serves
	senderWiped             // the sender's disk is gone before it goes out
	faults
)

// node is a machine of the test.
type node struct {
	name         string
	disk         *wal.Memory
	turnstore    *TurnStore
	down         bool
	partitioned  bool // nobody reaches it, and it reaches nobody
	unresponsive bool // who calls it hears nothing until its time is over
}

// cluster is turn stores with a network in memory, and the control state's map.
type cluster struct {
	t            reporter
	injection    injection
	rng          *rand.Rand
	mu           sync.Mutex
	nodes        map[string]*node
	names        []string
	partitionMap *tierv1.PartitionMap
	calls        int
	faultAt      int // number of the message that the fault hits; 0: none
	fault        fault
	faultHit     chan struct{} // closed when the fault has hit
	delayed      []func()
	clock        time.Time
	ctx          context.Context
}

func newCluster(t reporter, names ...string) *cluster {
	return newClusterWith(t, injection{}, names...)
}

// newClusterWith is newCluster with a planted fault.
func newClusterWith(t reporter, p injection, names ...string) *cluster {
	c := &cluster{t: t, injection: p, rng: rand.New(rand.NewPCG(1, 2)), nodes: map[string]*node{}, names: names, faultHit: make(chan struct{}),
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
		Dial: func(addr string) tierv1.TurnStore { return &transport{c: c, from: name, to: addr} }})
	assert.NilError(c.t, err)
	c.mu.Lock()
	n.turnstore, n.down = v, false
	m := c.publishedMap()
	c.mu.Unlock()
	if m != nil {
		v.ApplyPartitionMap(m)
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
	if c.partitionMap != nil {
		m.Version = c.partitionMap.Version + 1
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
	c.partitionMap = m
	c.mu.Unlock()
}

// publish brings the newest map to these nodes, or to all.
func (c *cluster) publish(names ...string) {
	if len(names) == 0 {
		names = c.names
	}
	for _, n := range names {
		c.nodes[n].turnstore.ApplyPartitionMap(c.publishedMap())
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

// transport is a client that reaches a turn store through the network in memory.
type transport struct {
	c        *cluster
	from, to string
}

var errNet = errorx.IllegalState.New("no answer")

// deliver serves one message, spoilt if it is the one to be spoilt.
func deliver[Req, Rep proto.Message](w *transport, ctx context.Context, req Req, serve func(*TurnStore, context.Context, Req) (Rep, error)) (rep Rep, err error) {
	c := w.c
	req = proto.Clone(req).(Req)
	c.mu.Lock()
	c.calls++
	f := noFault
	if c.calls == c.faultAt {
		f = c.fault
		defer func() { close(c.faultHit) }()
	}
	to := c.nodes[w.to]
	off := func() bool {
		return to.down || to.partitioned || w.from != "" && (c.nodes[w.from].down || c.nodes[w.from].partitioned)
	}
	gone := off()
	dark := to.unresponsive
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
	case senderWiped:
		if w.from != "" {
			c.crash(w.from, true)
		}
		return rep, errNet
	case receiverDiesFirst, receiverWiped:
		c.crash(w.to, f == receiverWiped)
		return rep, errNet
	case duplicated:
		_, _ = serve(v, ctx, proto.Clone(req).(Req))
	case delayed:
		again := proto.Clone(req).(Req)
		c.mu.Lock()
		c.delayed = append(c.delayed, func() { _, _ = serve(c.nodes[w.to].turnstore, context.Background(), again) })
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

func (w *transport) Begin(ctx context.Context, r *tierv1.BeginRequest) (*tierv1.BeginReply, error) {
	return deliver(w, ctx, r, (*TurnStore).Begin)
}

func (w *transport) Settle(ctx context.Context, r *tierv1.SettleRequest) (*tierv1.SettleReply, error) {
	return deliver(w, ctx, r, (*TurnStore).Settle)
}

func (w *transport) Find(ctx context.Context, r *tierv1.FindRequest) (*tierv1.FindReply, error) {
	return deliver(w, ctx, r, (*TurnStore).Find)
}

func (w *transport) Replicate(ctx context.Context, r *tierv1.ReplicateRequest) (*tierv1.ReplicateReply, error) {
	if w.c.injection.replicate != nil {
		return deliver(w, ctx, r, w.c.injection.replicate(w.c))
	}
	return deliver(w, ctx, r, (*TurnStore).Replicate)
}

func (w *transport) Held(ctx context.Context, r *tierv1.HeldRequest) (*tierv1.HeldReply, error) {
	if w.c.injection.held != nil {
		return deliver(w, ctx, r, w.c.injection.held(w.c))
	}
	return deliver(w, ctx, r, (*TurnStore).Held)
}

func (w *transport) Fetch(ctx context.Context, r *tierv1.FetchRequest) (*tierv1.FetchReply, error) {
	if w.c.injection.fetch != nil {
		return deliver(w, ctx, r, w.c.injection.fetch(w.c))
	}
	return deliver(w, ctx, r, (*TurnStore).Fetch)
}

// checker remembers what was answered.
type checker struct {
	c        *cluster
	stored   []string          // attempts whose turn was answered kept
	previous map[string]string // previous by attempt
	granted  map[string]uint64 // most of attempts answered OK, then the tokens they told
}

func newChecker(c *cluster) *checker {
	return &checker{c: c, previous: map[string]string{}, granted: map[string]uint64{}}
}

func (k *checker) begin(to string, r *tierv1.BeginRequest) tierv1.Verdict {
	w := &transport{c: k.c, to: to}
	reply, err := w.Begin(k.c.ctx, r)
	if err != nil {
		return tierv1.Verdict_VERDICT_UNSPECIFIED
	}
	if reply.Verdict == tierv1.Verdict_UNKNOWN {
		for _, a := range k.stored {
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
			for a := r.Previous; a != ""; a = k.previous[a] {
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
	w := &transport{c: k.c, to: to}
	reply, err := w.Settle(k.c.ctx, &tierv1.SettleRequest{Program: program, Attempt: attempt, Kept: true, Tokens: tokens,
		Turn: turn(program, attempt, previous)})
	if err != nil {
		return tierv1.Verdict_VERDICT_UNSPECIFIED
	}
	if reply.Verdict == tierv1.Verdict_OK {
		k.stored = append(k.stored, attempt)
		k.previous[attempt] = previous
		k.granted[attempt] = tokens
	}
	return reply.Verdict
}

// beginUntilCertain begins again as long as the answer is BUSY.
func (k *checker) beginUntilCertain(to string, r *tierv1.BeginRequest) tierv1.Verdict {
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
