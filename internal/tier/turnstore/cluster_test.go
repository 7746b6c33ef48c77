package turnstore

import (
	"context"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/tiertest/observer"
	"saffronyard.example/saffronyard/internal/tier/wal"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

const partitionCount = 2

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
	unresponsive bool // calls to it end with their time-out
}

// cluster is turn stores with a network in memory, and the control plane's map.
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

// newClusterWith is newCluster with an injected fault.
func newClusterWith(t reporter, injected injection, names ...string) *cluster {
	c := &cluster{t: t, injection: injected, rng: rand.New(rand.NewPCG(1, 2)), nodes: map[string]*node{}, names: names, faultHit: make(chan struct{}),
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
		Dial: func(addr string) tierv1.TurnStore { return &transport{cluster: c, from: name, to: addr} }})
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
	for range partitionCount {
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

// synced waits until a primary reports so many replicas.
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
			c.t.Fatalf("%s: %d of %d replicas synced", name, len(reports), n)
		}
	}
}

// files returns the file system that a turn store works on.
func (c *cluster) files(disk wal.FS) wal.FS {
	if c.injection.files == nil {
		return disk
	}
	return c.injection.files(disk)
}

// publishedMap is the newest map as turn stores receive it. It is nil before the first one.
func (c *cluster) publishedMap() *tierv1.PartitionMap {
	if c.partitionMap == nil || c.injection.control == nil {
		return c.partitionMap
	}
	m := proto.CloneOf(c.partitionMap)
	c.injection.control(m)
	return m
}

// reports returns what a turn store reports to the control plane, and a channel that is closed when that changes.
func (c *cluster) reports(name string) ([]*tierv1.SyncedReplica, <-chan struct{}) {
	store := c.nodes[name].turnstore
	reports, changed := store.SyncedReplicas()
	if c.injection.reports != nil {
		reports = c.injection.reports(store)
	}
	return reports, changed
}

// armFault has a fault hit the message that is so many from now.
func (c *cluster) armFault(f fault, at int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault, c.faultAt = f, c.calls+at
}

// awaitFault waits until the fault has hit.
func (c *cluster) awaitFault() {
	c.t.Helper()
	select {
	case <-c.faultHit:
	case <-time.After(10 * time.Second):
		c.t.Fatal("the message that the fault is to hit is never sent")
	}
}

// keysAtPrimary returns the keys that the primary of a partition holds, in order.
func (c *cluster) keysAtPrimary(id uint32) (keys []string) {
	c.mu.Lock()
	folder := c.partitionMap.Partitions[id].Primary
	var primary *TurnStore
	for _, n := range c.nodes {
		if n.turnstore.Folder() == folder {
			primary = n.turnstore
		}
	}
	c.mu.Unlock()
	if primary == nil {
		return nil
	}
	primary.mu.Lock()
	defer primary.mu.Unlock()
	for _, e := range primary.state.partition(id).entries {
		keys = e.keys(keys)
	}
	slices.Sort(keys)
	return keys
}

// reporter is what the checks of this package report to: a test, or the observer of an injected fault.
type reporter = observer.Reporter
