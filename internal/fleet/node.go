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

// Config configures a sender's part in its fleet.
type Config struct {
	Name          string // unique in the fleet
	Cluster       string
	Listen        string  // host:port of a loopback address, as calls between senders are not encrypted
	Voters        []Voter // the first ones, the same in every sender's configuration, as this sender reaches them
	Folder        string  // see the package comment
	LeaseTerms    lease.Terms
	QuotaDuration time.Duration // of grants of a limit's units; 0: derived from the lease's
	Reach         []peers.Route // to senders that are not reached at their own address
	Keys          [][]byte      // of the fleet: the first authenticates this sender's calls, each is accepted; none: calls are not authenticated

	Settings fleetpolicy.Settings // of this sender: names that a policy may use

	// Replaced by tests; nil: the defaults.
	Now           func() time.Duration // monotonic, suspend included
	Disk          Disk
	QuotaGrace    func(time.Duration) time.Duration // maps the grace period of a new owner to the one that is used
	Today         func() int64                      // days since 1970, UTC
	GrantDuration func(time.Duration) time.Duration // maps the duration of a grant at its client to the one that is used
}

// Voter is the name and address of a sender that is a raft voter.
type Voter struct{ Name, Address string }

// voterWorker is the name of the voter's worker, as commands show it.
const voterWorker = "log"

const (
	voterInboxSize    = 8192
	replicaInboxSize  = 1024
	stallThreshold    = time.Second // a longer step of a worker is logged
	stopTimeout       = time.Second // for all workers to end
	handshakeInterval = 100 * time.Millisecond
	handshakeTimeout  = time.Second // of one call
)

// Node is a sender's part in the fleet. It is safe for concurrent use.
type Node struct {
	cfg         Config
	log         *slog.Logger
	incarnation uint64 // drawn at random
	addr        string // that it listens on
	gate        *Gate

	ctx        context.Context // of all background work; ended by stop
	stop       context.CancelFunc
	background sync.WaitGroup
	group      *worker.Group
	replica    *replicaActor
	quotas     *quotaNode
	server     *grpc.Server
	conns      *connections
	keys       *keyring
	feed       *feed
	peers      incarnations
	followers  atomic.Int64

	mu             sync.Mutex                    // guards what follows
	voter          *voterActor                   // nil: this sender is no voter, or has not completed its handshake
	storedPosition *replicatedlog.StoredPosition // of a voter's log as it started
	store          *store                        // nil: this sender is no voter
	replies        map[uint64]chan replicatedlog.Reply
	lastReply      uint64                                         // id
	outboxes       map[string]*worker.RingBuffer[*raftpb.Message] // to other voters
	status         replicatedlog.Status                           // of the voter
	voterFailure   string                                         // why it is no voter any more
	staleReason    string                                         // why the folder was found to be stale
	missingVoters  string                                         // whose answers to the handshake it waits for
	waitingOn      []*pb.PendingSender                            // senders that the open change waits for, from the leader's last lease reply
	replicaReport  replicaReport
	followed       string        // voter whose log is followed
	receivedAt     time.Duration // time of the last part of the log or heartbeat
	onChange       func()        // called when the view changes for some call, or whether any call may be begun
}

// Start starts a sender's part in the fleet. It returns at once; no call may be begun until a lease is granted. cfg must have passed Check.
func Start(cfg Config, log *slog.Logger) (*Node, error) {
	coarseNow := cfg.Now
	if cfg.Now == nil {
		cfg.Now, coarseNow = Now, coarseClock()
	}
	if cfg.Disk == nil {
		cfg.Disk = realDisk{}
	}
	if err := os.MkdirAll(cfg.Folder, 0o700); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	n := newNode(cfg, log, listener.Addr().String(), coarseNow)
	if err := n.start(listener); err != nil {
		n.stop()
		listener.Close()
		return nil, err
	}
	log.Info("fleet: started", "listen", n.addr, "cluster", cfg.Cluster, "voters", len(cfg.Voters), "lease", cfg.LeaseTerms.Duration)
	return n, nil
}

func newNode(cfg Config, log *slog.Logger, addr string, coarseNow func() time.Duration) *Node {
	n := &Node{cfg: cfg, log: log, addr: addr, incarnation: randomID(), gate: NewGate(cfg.Now), keys: &keyring{cluster: cfg.Cluster, keys: cfg.Keys},
		feed: newFeed(), peers: incarnations{current: map[string]uint64{}}, replies: map[uint64]chan replicatedlog.Reply{},
		outboxes: map[string]*worker.RingBuffer[*raftpb.Message]{}}
	n.gate.coarseNow = coarseNow
	n.conns = newConnections(n.keys)
	n.ctx, n.stop = context.WithCancel(context.Background())
	n.group = &worker.Group{Log: log, Clock: cfg.Now, StallThreshold: stallThreshold, OnExit: n.workerExited}
	n.server = grpc.NewServer(append(n.keys.serverOptions(), grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxSendMsgSize(maxMessageBytes))...)
	pb.RegisterFleetServer(n.server, &service{node: n})
	return n
}

// start starts the workers, the server and the follower.
func (n *Node) start(listener net.Listener) (err error) {
	if n.quotas, err = newQuotaNode(n); err != nil {
		return err
	}
	n.startReplica()
	n.quotas.start()
	if slices.ContainsFunc(n.cfg.Voters, func(v Voter) bool { return v.Name == n.cfg.Name }) || n.wasVoter() {
		if err := n.startVoter(n.firstVoters()); err != nil {
			return err
		}
	}
	n.goBackground(func(context.Context) {
		_ = n.server.Serve(listener) // it ends when Close stops the server
	})
	n.goBackground(func(context.Context) { n.followLoop() })
	return nil
}

// workerExited records that the voter's worker ended by itself; the replica then follows another voter.
func (n *Node) workerExited(name string, err error) {
	if name != voterWorker {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.voter, n.storedPosition, n.voterFailure = nil, nil, err.Error()
}

// randomID draws an id that is not 0.
func randomID() uint64 {
	var b [8]byte
	for {
		rand.Read(b[:]) // never fails
		if v := binary.LittleEndian.Uint64(b[:]); v != 0 {
			return v
		}
	}
}

// View returns the view that calls are checked against, and whether any call may be begun; nil before the first view.
func (n *Node) View() (v *fleetpolicy.View, mayAct bool) { return n.gate.View() }

// OnChange sets the function that is called, in a goroutine of the node, when the result of View changes for some call.
func (n *Node) OnChange(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.onChange = f
}

// Address is the address at which other senders reach this one.
func (n *Node) Address() string { return n.addr }

// Close stops the node and waits for its goroutines. A leader hands leadership over first; leases are left to expire.
func (n *Node) Close() error {
	if voter := n.currentVoter(); voter != nil {
		voter.Inbox.Offer(replicatedlog.LeadershipTransferRequested{})
		time.Sleep(2 * replicatedlog.Tick)
	}
	n.stop()
	n.server.Stop()
	err := n.group.Stop(stopTimeout)
	n.conns.close()
	n.background.Wait()
	if store := n.currentStore(); store != nil && err == nil {
		err = store.close()
	}
	return err
}
