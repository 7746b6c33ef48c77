package consensus

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/twitchtv/twirp"
	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/wal"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// network connects the nodes of one process by direct calls.
type network struct {
	mu    sync.Mutex
	nodes map[string]tierv1.Election
}

type networkClient struct {
	network *network
	address string
}

func (n *network) set(address string, r tierv1.Election) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[address] = r
}

func (w networkClient) node() (tierv1.Election, error) {
	w.network.mu.Lock()
	defer w.network.mu.Unlock()
	if r := w.network.nodes[w.address]; r != nil {
		return r, nil
	}
	return nil, twirp.NewError(twirp.Unavailable, "no process")
}

// forward passes a call to the node at the client's address.
func forward[Q, R any](ctx context.Context, w networkClient, method func(tierv1.Election, context.Context, *Q) (*R, error), request *Q) (*R, error) {
	node, err := w.node()
	if err != nil {
		return nil, err
	}
	return method(node, ctx, request)
}

func (w networkClient) Promise(ctx context.Context, request *tierv1.PrepareRequest) (*tierv1.PrepareReply, error) {
	return forward(ctx, w, tierv1.Election.Promise, request)
}

func (w networkClient) Accept(ctx context.Context, request *tierv1.AcceptRequest) (*tierv1.AcceptReply, error) {
	return forward(ctx, w, tierv1.Election.Accept, request)
}

func (w networkClient) Heartbeat(ctx context.Context, request *tierv1.HeartbeatRequest) (*tierv1.HeartbeatReply, error) {
	return forward(ctx, w, tierv1.Election.Heartbeat, request)
}

func (w networkClient) Write(ctx context.Context, request *tierv1.WriteRequest) (*tierv1.WriteReply, error) {
	return forward(ctx, w, tierv1.Election.Write, request)
}

func (w networkClient) Join(ctx context.Context, request *tierv1.JoinRequest) (*tierv1.JoinReply, error) {
	return forward(ctx, w, tierv1.Election.Join, request)
}

// runningNode is a node with its loop; end stops the loop and waits for it.
type runningNode struct {
	*Node
	end func()
}

type cluster struct {
	t       *testing.T
	network *network
	disks   map[string]*wal.Memory
	nodes   map[string]*runningNode
	limit   int // of the control state, in bytes; 0: StateLimit
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{t: t, network: &network{nodes: make(map[string]tierv1.Election)}, disks: make(map[string]*wal.Memory),
		nodes: make(map[string]*runningNode)}
	t.Cleanup(func() {
		for a := range c.nodes {
			c.stop(a)
		}
	})
	return c
}

func (c *cluster) start(address string, bootstrap bool) {
	if c.disks[address] == nil {
		c.disks[address] = wal.NewMemory()
	}
	n, err := Open(Config{Self: &tierv1.Member{Address: address, Node: address, Zone: "z" + address, Region: "r"},
		Seeds: []string{"a", "b", "c"}, Bootstrap: bootstrap, Losses: 1, Dir: "/data", FS: c.disks[address], StateLimit: c.limit,
		ContactWindow: 3 * time.Second, Heartbeat: 400 * time.Millisecond,
		Dial: func(to string) tierv1.Election { return networkClient{c.network, to} }})
	assert.NilError(c.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := n.Run(ctx); err != nil {
			c.t.Error(err)
		}
	}()
	c.nodes[address] = &runningNode{n, func() { cancel(); <-done }}
	c.network.set(address, server{n})
}

func (c *cluster) stop(address string) {
	c.network.set(address, nil)
	if n := c.nodes[address]; n != nil {
		delete(c.nodes, address)
		n.end()
	}
}

// primary waits until a node is primary with a valid lease, and returns it with its epoch.
func (c *cluster) primary() (*runningNode, uint64) {
	var found *runningNode
	var epoch uint64
	c.until("a primary", func() bool {
		for _, n := range c.nodes {
			if e, ok := n.Primary(); ok && e >= epoch {
				found, epoch = n, e
			}
		}
		return found != nil
	})
	return found, epoch
}

// until waits for a condition, which it checks at each change of a node and every 20 ms.
func (c *cluster) until(what string, ok func() bool) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	changed := make(chan struct{}, 1)
	for _, n := range c.nodes {
		go func() {
			for ctx.Err() == nil {
				select {
				case <-n.Changed():
				case <-ctx.Done():
				}
				select {
				case changed <- struct{}{}:
				default:
				}
			}
		}()
	}
	every := time.NewTicker(20 * time.Millisecond)
	defer every.Stop()
	for !ok() {
		select {
		case <-changed:
		case <-every.C:
		case <-ctx.Done():
			c.t.Fatalf("timed out waiting for %s", what)
		}
	}
}

func (c *cluster) put(key, value string) {
	c.t.Helper()
	c.until("a write", func() bool {
		n, epoch := c.primary()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_, err := n.Put(ctx, epoch, map[string][]byte{key: []byte(value)})
		return err == nil
	})
}

func (c *cluster) get(key string) string {
	n, epoch := c.primary()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c.until("a confirmation", func() bool {
		if n.Confirm(ctx, epoch) == nil {
			return true
		}
		n, epoch = c.primary()
		return false
	})
	v, _ := n.Get(key)
	return string(v)
}

func TestNode_Cluster(t *testing.T) {
	c := newCluster(t)
	for _, a := range []string{"a", "b", "c"} {
		c.start(a, true)
	}
	c.put("k", "1")
	assert.Equal(t, c.get("k"), "1")

	// The process of the primary is killed: another primary serves what was acknowledged.
	first, epoch := c.primary()
	c.stop(first.Self().Address)
	c.disks[first.Self().Address].Kill()
	_, err := first.Put(context.Background(), epoch, map[string][]byte{"k": []byte("stale")})
	assert.ErrorIs(t, err, ErrNotPrimary)
	assert.Equal(t, c.get("k"), "1")
	c.put("k", "2")
	c.start(first.Self().Address, false)

	// The disk of the primary is lost: a new folder replaces the member.
	second, _ := c.primary()
	lost := second.Self()
	c.stop(lost.Address)
	c.disks[lost.Address].Wipe()
	assert.Equal(t, c.get("k"), "2")
	c.start(lost.Address, false)
	renewed := c.nodes[lost.Address].Self().Folder
	assert.Assert(t, renewed != lost.Folder)
	c.until("the new folder to be a member", func() bool {
		n, _ := c.primary()
		for _, v := range n.View().Members {
			if v.Folder == renewed {
				return len(n.View().Former) == 0
			}
		}
		return false
	})
	c.put("k", "3")

	// All nodes lose power.
	for _, a := range []string{"a", "b", "c"} {
		c.stop(a)
		c.disks[a].Crash(rand.New(rand.NewPCG(1, 2)))
	}
	for _, a := range []string{"a", "b", "c"} {
		c.start(a, false)
	}
	assert.Equal(t, c.get("k"), "3")
	n, epoch := c.primary()
	_, err = n.Put(context.Background(), epoch, map[string][]byte{"k": nil})
	assert.NilError(t, err)
	assert.Equal(t, c.get("k"), "")
}

// The file is rewritten when it has grown, and still has the same state.
func TestNode_RewritesFile(t *testing.T) {
	c := newCluster(t)
	for _, a := range []string{"a", "b", "c"} {
		c.start(a, true)
	}
	value := make([]byte, 64<<10)
	for i := range 12 {
		c.put("k", fmt.Sprint(i)+string(value))
	}
	n, _ := c.primary()
	a := n.Self().Address
	c.stop(a)
	assert.Assert(t, n.storage.rewriteAt > rewriteSlack && n.file.Size() < 12*64<<10, "%d", n.file.Size())
	var d durableState
	f, err := wal.Open(c.disks[a], "/data", fileName, d.replay)
	assert.NilError(t, err)
	assert.NilError(t, f.Close())
	assert.Equal(t, string(d.entries["k"].Value), "11"+string(value))
	assert.Equal(t, d.Folder, n.Self().Folder)
}

// The service can be called by Twirp over HTTP.
func TestNode_Handler(t *testing.T) {
	c := newCluster(t)
	c.start("a", true)
	s := httptest.NewServer(c.nodes["a"].Handler())
	defer s.Close()
	client := tierv1.NewElectionProtobufClient(s.URL, s.Client())
	a, err := client.Promise(context.Background(), &tierv1.PrepareRequest{Epoch: 0, From: &tierv1.Member{Folder: "x", Address: "b"}})
	assert.NilError(t, err)
	assert.Assert(t, a.Genesis && a.Prepared)
	assert.Equal(t, a.Self.Folder, c.nodes["a"].Self().Folder)
}

// A disk that fails at any operation of Open leaves a node without a folder, which replies to no call. The next process opens the disk
// without an error, and finds the folder if it was synced.
func TestOpen_PowerLossAtEachOperation(t *testing.T) {
	for at := 1; ; at++ {
		disk := wal.NewMemory()
		disk.DieAt(at)
		open := func() *Node {
			n, err := Open(Config{Self: &tierv1.Member{Address: "a"}, Seeds: []string{"a"}, Bootstrap: true, Losses: 0, Dir: "/data", FS: disk,
				ContactWindow: 3 * time.Second, Heartbeat: time.Second, Dial: func(string) tierv1.Election { return nil }})
			assert.NilError(t, err, "operation %d", at)
			return n
		}
		n := open()
		if n.DiskError() == nil {
			folder := n.Self().Folder
			assert.Assert(t, folder != "")
			disk.Crash(rand.New(rand.NewPCG(uint64(at), 1)))
			n = open()
			assert.NilError(t, n.DiskError())
			assert.Equal(t, n.Self().Folder, folder)
			return
		}
		assert.Equal(t, n.Self().Folder, "", "operation %d", at)
		_, err := (server{n}).Promise(context.Background(), &tierv1.PrepareRequest{Epoch: 1, From: &tierv1.Member{Folder: "x", Address: "b"}})
		assert.ErrorContains(t, err, "disk failed")
		disk.Crash(rand.New(rand.NewPCG(uint64(at), 1)))
		assert.NilError(t, open().DiskError(), "operation %d", at)
	}
}
