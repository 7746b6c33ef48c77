package peers

import (
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"saffronyard.example/saffronyard/internal/knowledge"
	pb "saffronyard.example/saffronyard/proto/saffronyard/peers/v1"
)

// factServer sends this sender's facts to all peers that follow it (gRPC service saffronyard.peers.v1.Exchange). mu guards
// the fields below it.
type factServer struct {
	pb.UnimplementedExchangeServer
	config *Config
	now    func() time.Duration

	mu        sync.Mutex
	changes   *knowledge.ChangeLog
	changed   chan struct{} // closed with each change
	followers int           // streams being served
}

// newFactServer returns a factServer without facts. now is the clock of the facts.
func newFactServer(c *Config, now func() time.Duration) *factServer {
	return &factServer{config: c, now: now, changes: knowledge.NewChangeLog(), changed: make(chan struct{})}
}

// publish records facts that this sender has observed: with all, the complete set, else only some new ones. It wakes the followers
// if a change is significant.
func (s *factServer) publish(facts []knowledge.Fact, all bool, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	apply := s.changes.Add
	if all {
		apply = s.changes.Update
	}
	if apply(facts, now) {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// chunkAfter returns the next chunk for a follower that has received everything up to version, the version that the chunk brings
// the follower to, the newest version, and a channel that is closed with the next change.
func (s *factServer) chunkAfter(version uint64) (chunk *pb.Piece, upTo uint64, newest uint64, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	facts, upTo := s.changes.After(version, maxChunkFacts)
	now := s.now()
	chunk = &pb.Piece{Life: s.config.Incarnation, Version: upTo}
	for i := range facts {
		chunk.Facts = append(chunk.Facts, knowledge.Encode(&facts[i], now))
	}
	return chunk, upTo, s.changes.Version(), s.changed
}

// Follow serves one follower until its stream ends. It starts after the version that the follower has received, if that version is
// of this incarnation, else with all facts. A slow follower delays no other: its flow-control window fills, and it gets fewer
// updates.
func (s *factServer) Follow(req *pb.FollowRequest, stream grpc.ServerStreamingServer[pb.Piece]) error {
	if req.GetCluster() != s.config.Cluster {
		return status.Errorf(codes.PermissionDenied, "this is cluster %q, not %q", s.config.Cluster, req.GetCluster())
	}
	if req.GetName() == s.config.Name {
		return status.Errorf(codes.AlreadyExists, "%q is this sender's name", s.config.Name)
	}
	s.mu.Lock()
	if s.followers >= maxFollowers {
		s.mu.Unlock()
		return status.Errorf(codes.ResourceExhausted, "%d follow this sender already", maxFollowers)
	}
	s.followers++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.followers--
		s.mu.Unlock()
	}()
	version := req.GetAfter()
	if req.GetAfterLife() != s.config.Incarnation {
		version = 0
	}
	for first := true; ; first = false {
		chunk, upTo, newest, changed := s.chunkAfter(version)
		if first || upTo > version || len(chunk.Facts) > 0 {
			if err := stream.Send(chunk); err != nil {
				return err
			}
		}
		if version = upTo; version < newest {
			continue
		}
		select {
		case <-changed:
		case <-stream.Context().Done():
			return stream.Context().Err()
		}
	}
}
