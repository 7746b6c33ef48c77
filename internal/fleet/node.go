package fleet

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"golang.org/x/sys/unix"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

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

// Now is the machine's time since it was started, the time in which it slept included: a lease goes on while a machine does
// not. (CLOCK_MONOTONIC, which package time goes by, stands still then.)
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(fmt.Sprintf("the machine's clock: %v", err)) // it has had one since Linux 2.6.39
	}
	return time.Duration(ts.Nano())
}

// coarseClock is Now without a call of the kernel, looked up again once a second: what the machine slept since then is missing.
func coarseClock() func() time.Duration {
	type mark struct {
		at  time.Time
		now time.Duration
	}
	var last atomic.Pointer[mark]
	return func() time.Duration {
		m := last.Load()
		if m != nil {
			if d := time.Since(m.at); d < time.Second {
				return m.now + d
			}
		}
		m = &mark{time.Now(), Now()}
		last.Store(m)
		return m.now
	}
}

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
	voter          *worker.Worker[any, any]      // nil: this sender is no voter, or has not heard the others yet
	storedPosition *replicatedlog.StoredPosition // of a voter
	store          *store
	replica        *worker.Worker[any, any]
	replies        map[uint64]chan any
	lastReply      uint64                                         // reply
	outboxes       map[string]*worker.RingBuffer[*raftpb.Message] // to other voters
	status         replicatedlog.Status
	voterFailure   string              // why it is no voter any more
	staleReason    string              // why the folder was found to be old
	waitingOn      []*pb.PendingSender // for whom the open change waits, as the one that leads said last
	missingVoters  string              // for which voters this one waits before it takes part
	replicaReport  replicaReport
	followed       string        // voter that is followed
	heardAt        time.Duration // a voter's word came last; a voter hears its own log
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
		replies: map[uint64]chan any{}, outboxes: map[string]*worker.RingBuffer[*raftpb.Message]{}, addr: l.Addr().String()}
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
	pb.RegisterFleetServer(n.server, &service{n: n})
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

// wasVoter is whether the folder is a voter's, that was added to the first ones.
func (n *Node) wasVoter() bool {
	_, err := os.Stat(filepath.Join(n.cfg.Folder, logName))
	return err == nil
}

// firstVoters are those of the file: with them the log begins, also for one that is added later and goes through it from there.
func (n *Node) firstVoters() *raftpb.ConfState {
	conf := &raftpb.ConfState{}
	for _, v := range n.cfg.Voters {
		conf.Voters = append(conf.Voters, replicatedlog.VoterID(v.Name))
	}
	slices.Sort(conf.Voters)
	return conf
}

// startVoter opens the folder and, as soon as all others have answered, takes part.
func (n *Node) startVoter(first *raftpb.ConfState) error {
	s, err := openStore(n.cfg.Folder, n.cfg.Cluster, n.cfg.Name)
	if err != nil {
		return err
	}
	saved, err := s.load()
	if err != nil {
		s.close()
		return err
	}
	if saved.ConfState == nil {
		saved.ConfState = first
	}
	by, trusted, err := vouched(n.cfg.Folder)
	if err != nil {
		s.close()
		return fmt.Errorf("fleet: %w", err)
	}
	f := saved.Position()
	n.mu.Lock()
	n.store, n.storedPosition = s, &f
	n.mu.Unlock()
	n.background.Add(1)
	go func() {
		defer n.background.Done()
		var heard map[string]replicatedlog.PeerState
		if trusted {
			n.log.Warn("fleet: somebody vouches for the folder: the other voters' word is not waited for", "by", by)
			n.background.Add(1)
			go func() { // they hear of this process all the same, or would take its word for nobody's
				defer n.background.Done()
				n.handshake(saved)
			}()
		} else if heard = n.handshake(saved); heard == nil {
			return
		}
		policy := fleetpolicy.NewMachine()
		core, start, err := replicatedlog.NewVoter(n.cfg.Name, saved, heard, n.cfg.LeaseTerms, policy, raftLog{n.log})
		if err != nil {
			n.log.Error("fleet: this sender can't be a voter", "err", err)
			return
		}
		if start.StaleReason != "" {
			n.log.Error("fleet: the folder is older than what it has promised; it votes for nobody until it has caught up", "why", start.StaleReason)
		}
		d := &worker.Worker[any, any]{Name: voterWorker, Inbox: worker.NewRingBuffer[any](voterWorker, voterInboxSize, worker.Block, nil), Stepper: core, Execute: n.executeVoter}
		n.mu.Lock()
		n.voter, n.staleReason = d, start.StaleReason
		n.mu.Unlock()
		n.group.Start(d, worker.StopWorker)
	}()
	return nil
}

// handshake asks all other voters that the folder names, until each has answered; nil if the node stops first.
func (n *Node) handshake(saved *replicatedlog.StoredLog) map[string]replicatedlog.PeerState {
	f, heard := saved.Position(), map[string]replicatedlog.PeerState{}
	conf := saved.ConfState
	if saved.Snapshot != nil {
		conf = saved.Snapshot.GetMetadata().GetConfState()
	}
	for {
		missing := ""
		ids := n.otherVoters(conf)
		var round sync.WaitGroup
		var mu sync.Mutex
		for _, id := range ids {
			name := n.nameOf(id)
			mu.Lock()
			_, done := heard[name]
			mu.Unlock()
			if done {
				continue
			}
			round.Add(1)
			go func() {
				defer round.Done()
				ctx, cancel := context.WithTimeout(n.ctx, handshakeTimeout)
				defer cancel()
				client, err := n.conns.client(n.address(name))
				var r *pb.HelloReply
				if err == nil {
					r, err = client.Hello(ctx, &pb.HelloRequest{Cluster: n.cfg.Cluster, Name: n.cfg.Name, Incarnation: n.incarnation, VoterId: replicatedlog.VoterID(n.cfg.Name), Term: f.Term, LastIndex: f.LastIndex})
				}
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					missing += " " + name
					return
				}
				heard[name] = replicatedlog.PeerState{Term: r.Term, LastTerm: r.LastTerm, LastIndex: r.LastIndex, MatchIndex: r.MatchIndex}
			}()
		}
		round.Wait()
		n.mu.Lock()
		n.missingVoters = missing
		n.mu.Unlock()
		if missing == "" {
			return heard
		}
		select {
		case <-n.ctx.Done():
			return nil
		case <-time.After(handshakeInterval):
		}
	}
}

// otherVoters are the other voters: those that the folder names and those that were added since, as far as the copy has come, but
// for those that were removed.
func (n *Node) otherVoters(conf *raftpb.ConfState) []uint64 {
	ids := slices.Concat(conf.GetVoters(), conf.GetVotersOutgoing())
	gone := []uint64{replicatedlog.VoterID(n.cfg.Name)}
	n.mu.Lock()
	for _, v := range n.replicaReport.voters {
		if v.Removed {
			gone = append(gone, v.Id)
		} else {
			ids = append(ids, v.Id)
		}
	}
	n.mu.Unlock()
	slices.Sort(ids)
	return slices.DeleteFunc(slices.Compact(ids), func(id uint64) bool { return slices.Contains(gone, id) })
}

// address is where a voter is reached: as the file says, or else as the one who added it did.
func (n *Node) address(name string) string {
	for _, v := range n.cfg.Voters {
		if v.Name == name {
			return v.Address
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, v := range n.replicaReport.voters {
		if v.Name == name && !v.Removed {
			return v.Address
		}
	}
	return ""
}

func (n *Node) nameOf(id uint64) string {
	for _, v := range n.cfg.Voters {
		if replicatedlog.VoterID(v.Name) == id {
			return v.Name
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, v := range n.replicaReport.voters {
		if v.Id == id {
			return v.Name
		}
	}
	return fmt.Sprintf("voter %x", id)
}

func (n *Node) currentVoter() *worker.Worker[any, any] {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.voter
}

// callVoter hands an event that is answered to the voter's log.
func (n *Node) callVoter(ctx context.Context, event func(to uint64) any) (any, error) {
	core := n.currentVoter()
	if core == nil {
		return nil, status.Error(codes.Unavailable, "this sender is no voter, or has not begun")
	}
	answer := make(chan any, 1)
	n.mu.Lock()
	n.lastReply++
	to := n.lastReply
	n.replies[to] = answer
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		delete(n.replies, to)
		n.mu.Unlock()
	}()
	if err := core.Inbox.Put(ctx, event(to)); err != nil {
		return nil, err
	}
	select {
	case v := <-answer:
		if err, bad := v.(error); bad {
			return nil, err
		}
		return v, nil
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	case <-n.ctx.Done():
		return nil, status.Error(codes.Unavailable, "this sender is leaving")
	}
}

// leaderClient is the way to the one that leads, as this voter knows.
func (n *Node) leaderClient() (pb.FleetClient, error) {
	n.mu.Lock()
	id := n.status.Leader
	n.mu.Unlock()
	name := n.nameOf(id)
	if id == 0 || name == n.cfg.Name {
		return nil, status.Error(codes.Unavailable, "no voter is known to lead")
	}
	address := n.address(name)
	if address == "" {
		return nil, status.Errorf(codes.Unavailable, "no address of %s is known, which leads", name)
	}
	return n.conns.client(address)
}

// executeVoter carries out what the voter's log wants done.
func (n *Node) executeVoter(_ context.Context, a any) error {
	switch a := a.(type) {
	case replicatedlog.Persist:
		if err := n.store.save(a); err != nil {
			return fmt.Errorf("fleet: the log can't be written, this voter takes part no longer: %w", err)
		}
		if a.Snapshot != nil {
			n.feed.compact(a.Snapshot.Data)
		}
	case replicatedlog.SendMessage:
		n.outbox(n.nameOf(a.Message.GetTo())).Offer(a.Message)
	case replicatedlog.Reply:
		n.mu.Lock()
		c := n.replies[a.To]
		delete(n.replies, a.To)
		n.mu.Unlock()
		if c != nil {
			c <- a.Value
		}
	case replicatedlog.Committed:
		n.feed.commit(a)
	case replicatedlog.Status:
		n.mu.Lock()
		was := n.status
		n.status = a
		n.mu.Unlock()
		if was.IsLeader != a.IsLeader || was.Leader != a.Leader {
			n.log.Info("fleet: the lead", "leads", a.IsLeader, "leader", n.nameOf(a.Leader), "term", a.Term)
		}
	}
	return nil
}

// outbox is what goes to one voter, in order; the oldest is dropped when it does not keep up.
func (n *Node) outbox(name string) *worker.RingBuffer[*raftpb.Message] {
	n.mu.Lock()
	defer n.mu.Unlock()
	b := n.outboxes[name]
	if b == nil {
		b = worker.NewRingBuffer[*raftpb.Message]("to "+name, outboxSize, worker.DropOldest, nil)
		n.outboxes[name] = b
		n.background.Add(1)
		go func() {
			defer n.background.Done()
			n.sendLoop(n.ctx, name, b)
		}()
	}
	return b
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

// Submit hands a command in and waits for what became of it. Asked again after a lost answer it counts once.
func (n *Node) Submit(ctx context.Context, kind uint32, body proto.Message) (*pb.SubmitReply, error) {
	raw, err := proto.Marshal(body)
	if err != nil {
		return nil, err
	}
	c := &pb.Command{Kind: kind, Session: randomID(), Sequence: 1, Body: raw}
	if raw, err = proto.Marshal(c); err != nil {
		return nil, err
	}
	for {
		var r *pb.SubmitReply
		err := n.callAnyVoter(ctx, func(ctx context.Context, client pb.FleetClient) error {
			var err error
			r, err = client.Submit(ctx, &pb.SubmitRequest{Cluster: n.cfg.Cluster, Command: raw})
			return err
		})
		if err == nil {
			return r, nil
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("whether it counts is not known: %w", errors.Join(err, ctx.Err()))
		case <-n.ctx.Done():
			return nil, errors.New("this sender is leaving")
		case <-time.After(heartbeatInterval / 2):
		}
	}
}

// callAnyVoter asks some voter, one after another until one answers.
func (n *Node) callAnyVoter(ctx context.Context, ask func(context.Context, pb.FleetClient) error) error {
	err := errors.New("no voter is known")
	for _, name := range n.voterNames() {
		if ctx.Err() != nil {
			return errors.Join(err, ctx.Err())
		}
		address := n.address(name)
		if name == n.cfg.Name {
			address = n.addr
		}
		client, bad := n.conns.client(address)
		if bad != nil {
			err = bad
			continue
		}
		try, cancel := context.WithTimeout(ctx, n.callTimeout())
		err = ask(try, client)
		cancel()
		if err == nil {
			return nil
		}
	}
	return err
}

// callTimeout is how long one voter is given: a question is asked of another before the next is due.
func (n *Node) callTimeout() time.Duration {
	return max(n.cfg.LeaseTerms.Duration/6, 100*time.Millisecond)
}

// voterNames are the voters in the order in which they are asked: this one if it is, then the one that is followed, then all.
func (n *Node) voterNames() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var names []string
	add := func(name string) {
		if name != "" && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	if n.voter != nil {
		add(n.cfg.Name)
	}
	add(n.followed)
	gone := map[string]bool{n.cfg.Name: true}
	for _, v := range n.replicaReport.voters {
		if v.Removed {
			gone[v.Name] = true
		}
	}
	for _, v := range n.cfg.Voters {
		if !gone[v.Name] {
			add(v.Name)
		}
	}
	for _, v := range n.replicaReport.voters {
		if !gone[v.Name] {
			add(v.Name)
		}
	}
	return names
}

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

// raftLog is the library's log: what it says goes to debug, and what it can't bear is a panic of the duty.
type raftLog struct{ log *slog.Logger }

func (l raftLog) Debug(v ...any)              { l.log.Debug("raft", "says", fmt.Sprint(v...)) }
func (l raftLog) Debugf(f string, v ...any)   { l.log.Debug("raft", "says", fmt.Sprintf(f, v...)) }
func (l raftLog) Info(v ...any)               { l.log.Debug("raft", "says", fmt.Sprint(v...)) }
func (l raftLog) Infof(f string, v ...any)    { l.log.Debug("raft", "says", fmt.Sprintf(f, v...)) }
func (l raftLog) Warning(v ...any)            { l.log.Debug("raft", "says", fmt.Sprint(v...)) }
func (l raftLog) Warningf(f string, v ...any) { l.log.Debug("raft", "says", fmt.Sprintf(f, v...)) }
func (l raftLog) Error(v ...any)              { l.log.Warn("raft", "says", fmt.Sprint(v...)) }
func (l raftLog) Errorf(f string, v ...any)   { l.log.Warn("raft", "says", fmt.Sprintf(f, v...)) }
func (l raftLog) Fatal(v ...any)              { panic(fmt.Sprint(v...)) }
func (l raftLog) Fatalf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }
func (l raftLog) Panic(v ...any)              { panic(fmt.Sprint(v...)) }
func (l raftLog) Panicf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }
