package fleet

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"log/slog"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/grpc"

	"saffronyard.example/saffronyard/internal/fleetpolicy"
	"saffronyard.example/saffronyard/internal/lease"
	"saffronyard.example/saffronyard/internal/peers"
	"saffronyard.example/saffronyard/internal/replicatedlog"
	"saffronyard.example/saffronyard/internal/worker"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// Config is how a sender takes part.
type Config struct {
	Name          string
	Cluster       string
	Listen        string  // host:port, a loopback one: what senders say to each other is not encrypted
	Voters        []Voter // the first ones, the same in every sender's file, as this sender reaches them
	Folder        string
	LeaseTerms    lease.Terms
	QuotaDuration time.Duration // how long units of a limit are lent for; 0: by the lease
	Reach         []peers.Route // of others that are not reached at their own address
	Keys          [][]byte      // of the fleet: the first is shown with each call, each is taken; none: nothing is shown

	Settings fleetpolicy.Settings // of this sender: what a policy may name

	// Seams: what tests put in place of the machine's.
	Now           func() time.Duration
	Disk          Disk
	QuotaGrace    func(time.Duration) time.Duration // how long a new authority waits, of how long it should
	Today         func() int64                      // of the calendar
	GrantDuration func(time.Duration) time.Duration // how long a loan lasts at its holder, of how long it should
}

// Voter is one that keeps the log.
type Voter struct{ Name, Address string }

const voterWorker = "log"

const (
	voterInboxSize    = 8192        // events that wait for the voter's log
	replicaInboxSize  = 1024        // for the copy
	stallThreshold    = time.Second // a step that takes longer is named
	stopTimeout       = time.Second // duties end within it
	handshakeInterval = 100 * time.Millisecond
	handshakeTimeout  = time.Second
)

// Node is a sender's part in the fleet.
type Node struct {
	cfg         Config
	log         *slog.Logger
	incarnation uint64
	gate        *Gate

	ctx        context.Context
	stop       context.CancelFunc
	group      *worker.Group
	quotas     *quotaNode
	server     *grpc.Server
	conns      *connections
	keys       *keyring
	feed       *feed
	peers      incarnations
	followers  atomic.Int64
	background sync.WaitGroup

	mu             sync.Mutex
	addr           string
	voter          *voterActor                   // nil: this sender is no voter, or has not heard the others yet
	storedPosition *replicatedlog.StoredPosition // of a voter
	store          *store
	replica        *replicaActor
	replies        map[uint64]chan replicatedlog.Reply
	lastReply      uint64                                         // reply
	outboxes       map[string]*worker.RingBuffer[*raftpb.Message] // to other voters
	status         replicatedlog.Status
	voterFailure   string              // why it is no voter any more
	staleReason    string              // why the folder was found to be old
	waitingOn      []*pb.PendingSender // for whom the open change waits, as the one that leads said last
	missingVoters  string              // for which voters this one waits before it takes part
	replicaReport  replicaReport
	followed       string        // voter that is followed
	receivedAt     time.Duration // a voter's word came last; a voter hears its own log
	onChange       func()        // that calls go by another view, or may or may not be begun at all
}

// Start lets a sender take part. It returns at once; nothing may be begun until a lease is there.
func Start(c Config, log *slog.Logger) (*Node, error) {
	rough := c.Now
	if c.Now == nil {
		c.Now, rough = Now, coarseClock()
	}
	if c.Disk == nil {
		c.Disk = realDisk{}
	}
	if err := os.MkdirAll(c.Folder, 0o700); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	n := &Node{cfg: c, log: log, incarnation: randomID(), gate: NewGate(c.Now), keys: &keyring{cluster: c.Cluster, keys: c.Keys}, feed: newFeed(), peers: incarnations{current: map[string]uint64{}},
		replies: map[uint64]chan replicatedlog.Reply{}, outboxes: map[string]*worker.RingBuffer[*raftpb.Message]{}, addr: l.Addr().String()}
	n.gate.coarseNow = rough
	n.conns = newConnections(n.keys)
	n.ctx, n.stop = context.WithCancel(context.Background())
	n.group = &worker.Group{Log: log, Clock: c.Now, StallThreshold: stallThreshold}
	n.group.OnExit = func(name string, err error) {
		n.mu.Lock()
		defer n.mu.Unlock()
		if name == voterWorker { // the copy goes on with another voter's word
			n.voter, n.storedPosition, n.voterFailure = nil, nil, err.Error()
		}
	}
	n.server = grpc.NewServer(append(n.keys.serverOptions(), grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxSendMsgSize(maxMessageBytes))...)
	pb.RegisterFleetServer(n.server, &service{node: n})
	if n.quotas, err = newQuotaNode(n); err != nil {
		n.stop()
		l.Close()
		return nil, err
	}
	n.startReplica()
	n.quotas.start()
	if slices.ContainsFunc(c.Voters, func(v Voter) bool { return v.Name == c.Name }) || n.wasVoter() {
		if err := n.startVoter(n.firstVoters()); err != nil {
			n.stop()
			l.Close()
			return nil, err
		}
	}
	n.background.Add(1)
	go func() {
		defer n.background.Done()
		n.server.Serve(l)
	}()
	n.background.Add(1)
	go func() {
		defer n.background.Done()
		n.followLoop()
	}()
	log.Info("fleet", "listen", n.addr, "cluster", c.Cluster, "voters", len(c.Voters), "lease", c.LeaseTerms.Duration)
	return n, nil
}

func randomID() uint64 {
	var b [8]byte
	for {
		rand.Read(b[:])
		if v := binary.LittleEndian.Uint64(b[:]); v != 0 {
			return v
		}
	}
}

// View is what calls go by, and whether any is begun at all; nil while nothing is known.
func (n *Node) View() (v *fleetpolicy.View, acts bool) { return n.gate.View() }

// OnChange has f called, in a goroutine of the fleet's, when either is another.
func (n *Node) OnChange(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.onChange = f
}

// Address is where others reach this sender.
func (n *Node) Address() string { return n.addr }

// Close ends it: another voter is given the lead first, and leases lapse by themselves.
func (n *Node) Close() error {
	if core := n.currentVoter(); core != nil {
		core.Inbox.Offer(replicatedlog.LeadershipTransferRequested{})
		time.Sleep(2 * replicatedlog.Tick)
	}
	n.stop()
	n.server.Stop()
	err := n.group.Stop(stopTimeout)
	n.conns.close()
	n.background.Wait()
	if n.store != nil && err == nil {
		err = n.store.close()
	}
	return err
}
