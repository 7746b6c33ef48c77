package fleet

import (
	"context"
	"errors"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"saffronyard.example/saffronyard/internal/replicatedlog"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// Limits of what senders say to each other.
const (
	maxMessageBytes   = 16 << 20               // bytes of one message: a snapshot is one
	outboxSize        = 1024                   // raft's messages that wait for one voter; raft sends again what is dropped
	heartbeatInterval = 200 * time.Millisecond // a follower hears something at least this often
	followTimeout     = 5 * heartbeatInterval  // or follows another voter
	maxConnectBackoff = time.Second            // between two attempts to connect
	maxFollowers      = 2000                   // that follow one voter
	passOnTime        = 5 * time.Second        // for a question that is passed on
	keepaliveInterval = 10 * time.Second       // without a word a connection is tried
	keepaliveTimeout  = 2 * time.Second
)

// service is what others ask of this sender.
type service struct {
	pb.UnimplementedFleetServer
	n *Node
}

func (s *service) checkCluster(cluster string) error {
	if cluster != s.n.cfg.Cluster {
		return status.Errorf(codes.PermissionDenied, "this is cluster %q, not %q", s.n.cfg.Cluster, cluster)
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
		if err := s.checkCluster(p.Cluster); err != nil {
			return err
		}
		core := s.n.currentVoter()
		if core == nil {
			return status.Error(codes.Unavailable, "this sender is no voter, or has not begun")
		}
		if p.ToIncarnation != 0 && p.ToIncarnation != s.n.incarnation { // for the process before this one: what that promised this one may not know
			continue
		}
		m := &raftpb.Message{}
		if err := proto.Unmarshal(p.Message, m); err != nil || m.GetFrom() != replicatedlog.VoterID(p.From) {
			return status.Errorf(codes.InvalidArgument, "a message that can't be read, or is not its sender's: %v", err)
		}
		if !s.n.peers.deliver(p.From, p.Incarnation, func() { core.Inbox.Offer(replicatedlog.MessageReceived{Message: m}) }) { // one that is dropped is sent again
			return status.Errorf(codes.Aborted, "%s has another process by now", p.From)
		}
	}
}

// Hello answers a voter that starts: from now on its earlier processes say nothing.
func (s *service) Hello(ctx context.Context, r *pb.HelloRequest) (*pb.HelloReply, error) {
	if err := s.checkCluster(r.Cluster); err != nil {
		return nil, err
	}
	s.n.mu.Lock()
	folder, core := s.n.storedPosition, s.n.voter
	s.n.mu.Unlock()
	if folder == nil {
		return nil, status.Error(codes.Unavailable, "this sender is no voter, or has not begun")
	}
	s.n.peers.set(r.Name, r.Incarnation)
	if core == nil { // it has not heard all others itself yet: what its folder has is what it can vouch for
		return &pb.HelloReply{Term: folder.Term, LastTerm: folder.LastTerm, LastIndex: folder.LastIndex, Starting: true}, nil
	}
	v, err := s.n.callVoter(ctx, func(to uint64) any { return replicatedlog.HandshakeRequested{ReplyTo: to, VoterID: r.VoterId} })
	if err != nil {
		return nil, err
	}
	return v.(*pb.HelloReply), nil
}

// Follow tells the committed log.
func (s *service) Follow(r *pb.FollowRequest, to grpc.ServerStreamingServer[pb.LogChunk]) error {
	if err := s.checkCluster(r.Cluster); err != nil {
		return err
	}
	if s.n.currentVoter() == nil {
		return status.Error(codes.Unavailable, "this sender is no voter, or has not begun")
	}
	if s.n.followers.Add(1) > maxFollowers {
		s.n.followers.Add(-1)
		return status.Errorf(codes.ResourceExhausted, "%d follow this sender already", maxFollowers)
	}
	defer s.n.followers.Add(-1)
	var err error
	s.n.feed.follow(to.Context(), r.AfterIndex, heartbeats(), func(p *pb.LogChunk) bool {
		err = to.Send(p)
		return err == nil
	})
	return err
}

// heartbeats gives a word some time after it is asked for.
func heartbeats() func() <-chan struct{} {
	return func() <-chan struct{} {
		c := make(chan struct{})
		time.AfterFunc(heartbeatInterval, func() { close(c) })
		return c
	}
}

// Ask grants a lease, if this sender leads, or asks the one that does.
func (s *service) Ask(ctx context.Context, r *pb.LeaseRequest) (*pb.LeaseReply, error) {
	if err := s.checkCluster(r.Cluster); err != nil {
		return nil, err
	}
	v, err := s.n.callVoter(ctx, func(to uint64) any { return replicatedlog.LeaseRequested{ReplyTo: to, Request: r} })
	if errors.Is(err, replicatedlog.ErrNotLeader) && !r.Forwarded {
		client, bad := s.n.leaderClient()
		if bad != nil {
			return nil, bad
		}
		on := proto.Clone(r).(*pb.LeaseRequest)
		on.Forwarded = true
		return client.Ask(ctx, on)
	}
	if err != nil {
		return nil, withCode(err)
	}
	return v.(*pb.LeaseReply), nil
}

// Submit takes a command in, if this sender leads, or passes it on to the one that does.
func (s *service) Submit(ctx context.Context, r *pb.SubmitRequest) (*pb.SubmitReply, error) {
	if err := s.checkCluster(r.Cluster); err != nil {
		return nil, err
	}
	c := &pb.Command{}
	if err := proto.Unmarshal(r.Command, c); err != nil || c.Session == 0 {
		return nil, status.Errorf(codes.InvalidArgument, "a command that can't be read, or has no session: %v", err)
	}
	v, err := s.n.callVoter(ctx, func(to uint64) any {
		if c.Kind == replicatedlog.KindVoters {
			return replicatedlog.VoterChangeRequested{ReplyTo: to, Command: c}
		}
		return replicatedlog.CommandSubmitted{ReplyTo: to, Command: c}
	})
	if errors.Is(err, replicatedlog.ErrNotLeader) && !r.Forwarded {
		client, bad := s.n.leaderClient()
		if bad != nil {
			return nil, bad
		}
		return client.Submit(ctx, &pb.SubmitRequest{Cluster: r.Cluster, Command: r.Command, Forwarded: true})
	}
	if err != nil {
		return nil, withCode(err)
	}
	return v.(*pb.SubmitReply), nil
}

func withCode(err error) error {
	if errors.Is(err, replicatedlog.ErrNotLeader) {
		return status.Error(codes.Unavailable, err.Error())
	}
	return err
}
