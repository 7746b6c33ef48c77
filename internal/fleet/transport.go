package fleet

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"saffronyard.example/saffronyard/internal/replicatedlog"
	"saffronyard.example/saffronyard/internal/worker"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// Limits of what senders say to each other.
const (
	messageMost  = 16 << 20               // bytes of one message: a snapshot is one
	outboxMost   = 1024                   // raft's messages that wait for one voter; raft sends again what is dropped
	beatTime     = 200 * time.Millisecond // a follower hears something at least this often
	silentTime   = 5 * beatTime           // or follows another voter
	connectMost  = time.Second            // between two attempts to connect
	followsMost  = 2000                   // that follow one voter
	passOnTime   = 5 * time.Second        // for a question that is passed on
	pingTime     = 10 * time.Second       // without a word a connection is tried
	pingPatience = 2 * time.Second
)

// wires are the connections to other voters, by address.
type wires struct {
	keys  *keyring
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

func newWires(keys *keyring) *wires { return &wires{keys: keys, conns: map[string]*grpc.ClientConn{}} }

func (w *wires) to(address string) (pb.FleetClient, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.conns[address]
	if c == nil {
		var err error
		c, err = grpc.NewClient("passthrough:///"+address, append(w.keys.client(), grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(messageMost), grpc.MaxCallSendMsgSize(messageMost)),
			grpc.WithDisableServiceConfig(), grpc.WithDisableRetry(),
			grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: connectMost}, MinConnectTimeout: connectMost}),
			grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingTime, Timeout: pingPatience}))...)
		if err != nil {
			return nil, fmt.Errorf("fleet: %s: %w", address, err)
		}
		w.conns[address] = c
	}
	return pb.NewFleetClient(c), nil
}

func (w *wires) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.conns {
		c.Close()
	}
}

// send keeps a stream to a voter and passes messages on.
func (n *Node) send(ctx context.Context, name string, ring *worker.RingBuffer[*raftpb.Message]) {
	for ctx.Err() == nil {
		err := n.stream(ctx, name, ring)
		if ctx.Err() == nil && n.core != nil {
			n.core.Inbox.Offer(replicatedlog.PeerUnreachable{VoterID: replicatedlog.VoterID(name)})
			n.log.Debug("fleet: a voter can't be reached", "voter", name, "err", err)
		}
		select {
		case <-time.After(beatTime / 2):
		case <-ctx.Done():
		}
	}
}

func (n *Node) stream(ctx context.Context, name string, ring *worker.RingBuffer[*raftpb.Message]) error {
	address := n.address(name)
	if address == "" {
		return fmt.Errorf("no address of %s is known", name)
	}
	client, err := n.wires.to(address)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	to, err := client.Raft(ctx)
	if err != nil {
		return err
	}
	ended := make(chan error, 1)
	go func() { ended <- to.RecvMsg(&pb.Ack{}) }()
	for {
		for _, m := range ring.Take(64) {
			raw, err := proto.Marshal(m)
			if err != nil {
				return err
			}
			if err := to.Send(&pb.RaftEnvelope{Cluster: n.c.Cluster, From: n.c.Name, Incarnation: n.life, ToIncarnation: n.lives.of(name), Message: raw}); err != nil {
				return <-ended
			}
		}
		select {
		case <-ring.Ready():
		case err := <-ended:
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// service is what others ask of this sender.
type service struct {
	pb.UnimplementedFleetServer
	n *Node
}

func (s *service) mine(cluster string) error {
	if cluster != s.n.c.Cluster {
		return status.Errorf(codes.PermissionDenied, "this is cluster %q, not %q", s.n.c.Cluster, cluster)
	}
	return nil
}

// Raft takes the messages of a voter. Those of a process before the one that said hello last are none.
func (s *service) Raft(from grpc.ClientStreamingServer[pb.RaftEnvelope, pb.Ack]) error {
	for {
		p, err := from.Recv()
		if err != nil {
			return err
		}
		if err := s.mine(p.Cluster); err != nil {
			return err
		}
		core := s.n.voter()
		if core == nil {
			return status.Error(codes.Unavailable, "this sender is no voter, or has not begun")
		}
		if p.ToIncarnation != 0 && p.ToIncarnation != s.n.life { // for the process before this one: what that promised this one may not know
			continue
		}
		m := &raftpb.Message{}
		if err := proto.Unmarshal(p.Message, m); err != nil || m.GetFrom() != replicatedlog.VoterID(p.From) {
			return status.Errorf(codes.InvalidArgument, "a message that can't be read, or is not its sender's: %v", err)
		}
		if !s.n.lives.pass(p.From, p.Incarnation, func() { core.Inbox.Offer(replicatedlog.MessageReceived{Message: m}) }) { // one that is dropped is sent again
			return status.Errorf(codes.Aborted, "%s has another process by now", p.From)
		}
	}
}

// Hello answers a voter that starts: from now on its earlier processes say nothing.
func (s *service) Hello(ctx context.Context, r *pb.HelloRequest) (*pb.HelloReply, error) {
	if err := s.mine(r.Cluster); err != nil {
		return nil, err
	}
	s.n.mu.Lock()
	folder, core := s.n.folder, s.n.core
	s.n.mu.Unlock()
	if folder == nil {
		return nil, status.Error(codes.Unavailable, "this sender is no voter, or has not begun")
	}
	s.n.lives.begin(r.Name, r.Incarnation)
	if core == nil { // it has not heard all others itself yet: what its folder has is what it can vouch for
		return &pb.HelloReply{Term: folder.Term, LastTerm: folder.LastTerm, LastIndex: folder.LastIndex, Starting: true}, nil
	}
	v, err := s.n.put(ctx, func(to uint64) any { return replicatedlog.HandshakeRequested{ReplyTo: to, VoterID: r.VoterId} })
	if err != nil {
		return nil, err
	}
	return v.(*pb.HelloReply), nil
}

// Follow tells the committed log.
func (s *service) Follow(r *pb.FollowRequest, to grpc.ServerStreamingServer[pb.LogChunk]) error {
	if err := s.mine(r.Cluster); err != nil {
		return err
	}
	if s.n.voter() == nil {
		return status.Error(codes.Unavailable, "this sender is no voter, or has not begun")
	}
	if s.n.follows.Add(1) > followsMost {
		s.n.follows.Add(-1)
		return status.Errorf(codes.ResourceExhausted, "%d follow this sender already", followsMost)
	}
	defer s.n.follows.Add(-1)
	var err error
	s.n.feed.follow(to.Context(), r.AfterIndex, beats(), func(p *pb.LogChunk) bool {
		err = to.Send(p)
		return err == nil
	})
	return err
}

// beats gives a word some time after it is asked for.
func beats() func() <-chan struct{} {
	return func() <-chan struct{} {
		c := make(chan struct{})
		time.AfterFunc(beatTime, func() { close(c) })
		return c
	}
}

// Ask grants a lease, if this sender leads, or asks the one that does.
func (s *service) Ask(ctx context.Context, r *pb.LeaseRequest) (*pb.LeaseReply, error) {
	if err := s.mine(r.Cluster); err != nil {
		return nil, err
	}
	v, err := s.n.put(ctx, func(to uint64) any { return replicatedlog.LeaseRequested{ReplyTo: to, Request: r} })
	if errors.Is(err, replicatedlog.ErrNotLeader) && !r.Forwarded {
		client, bad := s.n.leader()
		if bad != nil {
			return nil, bad
		}
		on := proto.Clone(r).(*pb.LeaseRequest)
		on.Forwarded = true
		return client.Ask(ctx, on)
	}
	if err != nil {
		return nil, coded(err)
	}
	return v.(*pb.LeaseReply), nil
}

// Submit takes a command in, if this sender leads, or passes it on to the one that does.
func (s *service) Submit(ctx context.Context, r *pb.SubmitRequest) (*pb.SubmitReply, error) {
	if err := s.mine(r.Cluster); err != nil {
		return nil, err
	}
	c := &pb.Command{}
	if err := proto.Unmarshal(r.Command, c); err != nil || c.Session == 0 {
		return nil, status.Errorf(codes.InvalidArgument, "a command that can't be read, or has no session: %v", err)
	}
	v, err := s.n.put(ctx, func(to uint64) any {
		if c.Kind == replicatedlog.KindVoters {
			return replicatedlog.VoterChangeRequested{ReplyTo: to, Command: c}
		}
		return replicatedlog.CommandSubmitted{ReplyTo: to, Command: c}
	})
	if errors.Is(err, replicatedlog.ErrNotLeader) && !r.Forwarded {
		client, bad := s.n.leader()
		if bad != nil {
			return nil, bad
		}
		return client.Submit(ctx, &pb.SubmitRequest{Cluster: r.Cluster, Command: r.Command, Forwarded: true})
	}
	if err != nil {
		return nil, coded(err)
	}
	return v.(*pb.SubmitReply), nil
}

func coded(err error) error {
	if errors.Is(err, replicatedlog.ErrNotLeader) {
		return status.Error(codes.Unavailable, err.Error())
	}
	return err
}

// lives are the processes of voters whose word counts.
type lives struct {
	mu sync.Mutex
	by map[string]uint64
}

// begin is that a process has said hello.
func (l *lives) begin(name string, life uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.by[name] = life
}

// pass lets a message in if it is of the process that said hello last, or of the first that is heard if none did. It is in
// before a hello that comes after it.
func (l *lives) pass(name string, life uint64, in func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if is, known := l.by[name]; !known {
		l.by[name] = life
	} else if is != life {
		return false
	}
	in()
	return true
}

// of is the process that is known; 0 if none is.
func (l *lives) of(name string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.by[name]
}
