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

// fault is the kind of fault that is injected at one message.
type fault int

const (
	noFault           fault = iota
	lostRequest             // the request never arrives
	lostReply               // the request is served, and the reply never arrives
	duplicated              // the request arrives twice
	delayed                 // the request arrives a second time, after all other messages
	senderDies              // the request is served, and the sender loses power
	receiverDies            // the request is served and synced, and the receiver loses power before the reply
	receiverDiesFirst       // the receiver loses power before it serves the request
	receiverWiped           // the receiver loses its disk before it serves the request
	senderWiped             // the sender loses its disk before the request is sent
	faultCount
)

// node is a machine of the test.
type node struct {
	name         string
	disk         *wal.Memory
	turnstore    *TurnStore
	down         bool
	partitioned  bool // cut off from all other nodes, in both directions
	unresponsive bool // calls to it time out
}

// cluster is a set of turn stores on a network in memory, with the partition map of the control plane.
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

// crash is a power loss of a node, and with wipe the loss of its disk as well.
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
	go v.Close() // not awaited, as crash may run within a call that Close awaits
}

func (c *cluster) restart(name string) {
	c.nodes[name].turnstore.Close()
	c.start(name)
}

// assign makes the next map, in which all partitions have this primary and these backups. A backup with the prefix "?" is not synced.
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

// publish delivers the newest map to these nodes, or to all if none are given.
func (c *cluster) publish(names ...string) {
	if len(names) == 0 {
		names = c.names
	}
	for _, n := range names {
		c.nodes[n].turnstore.ApplyPartitionMap(c.publishedMap())
	}
}

// awaitSynced waits until a primary reports n replicas as synced.
func (c *cluster) awaitSynced(name string, n int) {
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

// publishedMap returns the newest map as turn stores receive it, or nil before the first one.
func (c *cluster) publishedMap() *tierv1.PartitionMap {
	if c.partitionMap == nil || c.injection.modifyMap == nil {
		return c.partitionMap
	}
	m := proto.CloneOf(c.partitionMap)
	c.injection.modifyMap(m)
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

// armFault makes a fault hit the at-th message from now.
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
		c.t.Fatal("the message that the fault should hit was never sent")
	}
}

// keysAtPrimary returns the sorted keys of the facts that the primary of a partition has.
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
