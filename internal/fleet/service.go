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

// Bounds of the calls between senders.
const (
	maxMessageBytes   = 16 << 20               // of one message, such as a snapshot
	outboxSize        = 1024                   // raft's messages to one voter; raft repeats messages that are dropped
	heartbeatInterval = 200 * time.Millisecond // of the log's stream to a follower
	followTimeout     = 5 * heartbeatInterval  // without a chunk, after which a follower follows another voter
	maxConnectBackoff = time.Second            // between two attempts to connect
	maxFollowers      = 2000                   // of one voter
	keepaliveInterval = 10 * time.Second       // without traffic, after which a connection is probed
	keepaliveTimeout  = 2 * time.Second        // for the probe's answer
)

// service serves the Fleet calls of other senders.
type service struct {
	pb.UnimplementedFleetServer
	node *Node
}

// checkCluster rejects callers of another fleet.
func (s *service) checkCluster(cluster string) error {
	if cluster != s.node.cfg.Cluster {
		return status.Errorf(codes.PermissionDenied, "this is cluster %q, not %q", s.node.cfg.Cluster, cluster)
	}
	return nil
}

// Raft receives the raft messages of one voter. A message of an incarnation before the voter's last handshake ends the stream. A message
// to an earlier incarnation of this sender is dropped: that incarnation may have given votes that this one has no record of.
func (s *service) Raft(from grpc.ClientStreamingServer[pb.RaftEnvelope, pb.Ack]) error {
	for {
		p, err := from.Recv()
		if err != nil {
			return err
		}
		if err := s.checkCluster(p.Cluster); err != nil {
			return err
		}
		voter := s.node.currentVoter()
		if voter == nil {
			return errNoVoter
		}
		if p.ToIncarnation != 0 && p.ToIncarnation != s.node.incarnation {
			continue
		}
		m := &raftpb.Message{}
		if err := proto.Unmarshal(p.Message, m); err != nil || m.GetFrom() != replicatedlog.VoterID(p.From) {
			return status.Errorf(codes.InvalidArgument, "a message that can't be read, or is not its sender's: %v", err)
		}
		// Raft repeats a message that a full inbox drops.
		if !s.node.peers.deliver(p.From, p.Incarnation, func() { voter.Inbox.Offer(replicatedlog.MessageReceived{Message: m}) }) {
			return status.Errorf(codes.Aborted, "%s has another process by now", p.From)
		}
	}
}

// Hello answers the handshake of a voter that starts: from now on messages of its earlier incarnations are dropped. While this voter has not
// completed its own handshake, it answers with its stored position.
func (s *service) Hello(ctx context.Context, r *pb.HelloRequest) (*pb.HelloReply, error) {
	if err := s.checkCluster(r.Cluster); err != nil {
		return nil, err
	}
	s.node.mu.Lock()
	stored, voter := s.node.storedPosition, s.node.voter
	s.node.mu.Unlock()
	if stored == nil {
		return nil, errNoVoter
	}
	s.node.peers.set(r.Name, r.Incarnation)
	if voter == nil {
		return &pb.HelloReply{Term: stored.Term, LastTerm: stored.LastTerm, LastIndex: stored.LastIndex, Starting: true}, nil
	}
	reply, err := s.node.callVoter(ctx, func(to uint64) replicatedlog.VoterEvent {
		return replicatedlog.HandshakeRequested{ReplyTo: to, VoterID: r.VoterId}
	})
	if err != nil {
		return nil, err
	}
	return reply.(*pb.HelloReply), nil
}

// Follow streams the committed log.
func (s *service) Follow(r *pb.FollowRequest, to grpc.ServerStreamingServer[pb.LogChunk]) error {
	if err := s.checkCluster(r.Cluster); err != nil {
		return err
	}
	if s.node.currentVoter() == nil {
		return errNoVoter
	}
	if s.node.followers.Add(1) > maxFollowers {
		s.node.followers.Add(-1)
		return status.Errorf(codes.ResourceExhausted, "%d follow this sender already", maxFollowers)
	}
	defer s.node.followers.Add(-1)
	var err error
	s.node.feed.follow(to.Context(), r.AfterIndex, func(c *pb.LogChunk) bool {
		err = to.Send(c)
		return err == nil
	})
	return err
}

// Ask grants a lease if this voter leads, or forwards the request to the leader, once.
func (s *service) Ask(ctx context.Context, r *pb.LeaseRequest) (*pb.LeaseReply, error) {
	if err := s.checkCluster(r.Cluster); err != nil {
		return nil, err
	}
	reply, err := s.node.callVoter(ctx, func(to uint64) replicatedlog.VoterEvent {
		return replicatedlog.LeaseRequested{ReplyTo: to, Request: r}
	})
	if errors.Is(err, replicatedlog.ErrNotLeader) && !r.Forwarded {
		leader, err := s.node.leaderClient()
		if err != nil {
			return nil, err
		}
		forwarded := proto.CloneOf(r)
		forwarded.Forwarded = true
		return leader.Ask(ctx, forwarded)
	}
	if err != nil {
		return nil, withCode(err)
	}
	return reply.(*pb.LeaseReply), nil
}

// Submit proposes a command if this voter leads, or forwards it to the leader, once.
func (s *service) Submit(ctx context.Context, r *pb.SubmitRequest) (*pb.SubmitReply, error) {
	if err := s.checkCluster(r.Cluster); err != nil {
		return nil, err
	}
	c := &pb.Command{}
	if err := proto.Unmarshal(r.Command, c); err != nil || c.Session == 0 {
		return nil, status.Errorf(codes.InvalidArgument, "a command that can't be read, or has no session: %v", err)
	}
	reply, err := s.node.callVoter(ctx, func(to uint64) replicatedlog.VoterEvent {
		if c.Kind == replicatedlog.KindVoters {
			return replicatedlog.VoterChangeRequested{ReplyTo: to, Command: c}
		}
		return replicatedlog.CommandSubmitted{ReplyTo: to, Command: c}
	})
	if errors.Is(err, replicatedlog.ErrNotLeader) && !r.Forwarded {
		leader, err := s.node.leaderClient()
		if err != nil {
			return nil, err
		}
		return leader.Submit(ctx, &pb.SubmitRequest{Cluster: r.Cluster, Command: r.Command, Forwarded: true})
	}
	if err != nil {
		return nil, withCode(err)
	}
	return reply.(*pb.SubmitReply), nil
}

// withCode gives ErrNotLeader the status code that makes callers try another voter.
func withCode(err error) error {
	if errors.Is(err, replicatedlog.ErrNotLeader) {
		return status.Error(codes.Unavailable, err.Error())
	}
	return err
}
