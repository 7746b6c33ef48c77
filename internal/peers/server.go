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

// factServer tells this sender's facts to all peers that follow it (gRPC service saffronyard.peers.v1.Exchange). mu guards
// what stands below it.
type factServer struct {
	pb.UnimplementedExchangeServer
	config *Config
	now    func() time.Duration

	mu        sync.Mutex
	changes   *knowledge.ChangeLog
	changed   chan struct{} // closed with each change
	followers int           // of those that follow
}

// newFactServer makes one that has nothing to tell yet. now is the clock of the facts.
func newFactServer(c *Config, now func() time.Duration) *factServer {
	return &factServer{config: c, now: now, changes: knowledge.NewChangeLog(), changed: make(chan struct{})}
}

// publish takes the facts that this sender has observed by now: all of them, or some that are new. Followers are woken if
// something is worth telling.
func (t *factServer) publish(facts []knowledge.Fact, all bool, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	apply := t.changes.Add
	if all {
		apply = t.changes.Update
	}
	if apply(facts, now) {
		close(t.changed)
		t.changed = make(chan struct{})
	}
}

// chunkAfter is the next chunk for a follower that has heard all up to a version: its facts, the version that it brings the
// follower to, the newest version, and a channel that is closed with the next change.
func (t *factServer) chunkAfter(version uint64) (chunk *pb.Piece, upTo uint64, newest uint64, changed chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	facts, upTo := t.changes.After(version, maxChunkFacts)
	now := t.now()
	chunk = &pb.Piece{Life: t.config.Incarnation, Version: upTo}
	for i := range facts {
		chunk.Facts = append(chunk.Facts, knowledge.Encode(&facts[i], now))
	}
	return chunk, upTo, t.changes.Version(), t.changed
}

// Follow serves one follower until its stream ends. It begins after the version that the follower has heard, if that was of
// this incarnation, else with all. A slow follower holds up nobody: the stream's window fills, and it is told less often.
func (t *factServer) Follow(req *pb.FollowRequest, stream grpc.ServerStreamingServer[pb.Piece]) error {
	if req.GetCluster() != t.config.Cluster {
		return status.Errorf(codes.PermissionDenied, "this is cluster %q, not %q", t.config.Cluster, req.GetCluster())
	}
	if req.GetName() == t.config.Name {
		return status.Errorf(codes.AlreadyExists, "%q is this sender's name", t.config.Name)
	}
	t.mu.Lock()
	if t.followers >= maxFollowers {
		t.mu.Unlock()
		return status.Errorf(codes.ResourceExhausted, "%d follow this sender already", maxFollowers)
	}
	t.followers++
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		t.followers--
		t.mu.Unlock()
	}()
	version := req.GetAfter()
	if req.GetAfterLife() != t.config.Incarnation {
		version = 0
	}
	for first := true; ; first = false {
		chunk, upTo, newest, changed := t.chunkAfter(version)
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
