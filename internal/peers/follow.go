package peers

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"saffronyard.example/saffronyard/internal/knowledge"
	pb "saffronyard.example/saffronyard/proto/saffronyard/peers/v1"
)

// Reasons for which the follower ends a peer's stream.
var (
	errFlooding = errors.New("the peer exceeds the rate limit of chunks")
	errNoAnswer = errors.New("no chunk received")
)

// streamProgress is the last version received from a peer, with its incarnation, and the number of chunks received.
type streamProgress struct {
	incarnation, version uint64
	chunks               int
}

// subscription follows one peer.
type subscription struct {
	config   *Config
	peer     Member
	now      func() time.Duration        // the clock of the facts
	progress *streamProgress             // kept by the caller, so that the next stream resumes there
	onFacts  func([]knowledge.Fact) bool // called with each chunk; false ends the stream
}

// follow receives the peer's facts until the stream ends, and returns the reason. It ends the stream if no chunk arrives within
// connectTimeout, or if chunks exceed maxChunksPerSecond with a burst of maxChunkBurst.
func (s *subscription) follow(ctx context.Context) error {
	conn, err := grpc.NewClient("passthrough:///"+s.peer.Exchange, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxChunkBytes)), grpc.WithDisableServiceConfig(), grpc.WithDisableRetry(),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}))
	if err != nil {
		return s.failed(err)
	}
	defer conn.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	connectTimer := time.AfterFunc(connectTimeout, cancel)
	stream, err := pb.NewExchangeClient(conn).Follow(ctx, &pb.FollowRequest{Cluster: s.config.Cluster, Name: s.config.Name, Life: s.config.Incarnation,
		After: s.progress.version, AfterLife: s.progress.incarnation})
	if err != nil {
		return s.failed(err)
	}
	allowed, refilledAt := float64(maxChunkBurst), time.Now()
	for {
		chunk, err := stream.Recv()
		if err != nil {
			return s.failed(err)
		}
		if !connectTimer.Stop() && ctx.Err() != nil {
			return s.failed(fmt.Errorf("%w within %v", errNoAnswer, connectTimeout))
		}
		t := time.Now()
		if allowed = min(maxChunkBurst, allowed+t.Sub(refilledAt).Seconds()*maxChunksPerSecond) - 1; allowed < 0 {
			return s.failed(errFlooding)
		}
		refilledAt = t
		if !s.onFacts(s.decode(chunk)) {
			return ctx.Err()
		}
		s.progress.incarnation, s.progress.version = chunk.GetLife(), chunk.GetVersion()
		s.progress.chunks++
	}
}

// failed wraps an error with the peer's name.
func (s *subscription) failed(err error) error { return fmt.Errorf("peers: %s: %w", s.peer.Name, err) }

// decode decodes the facts of a chunk and drops those that Decode rejects, such as kinds unknown to this version.
func (s *subscription) decode(chunk *pb.Piece) []knowledge.Fact {
	source := knowledge.Source{Name: s.peer.Name, Incarnation: chunk.GetLife()}
	facts := make([]knowledge.Fact, 0, len(chunk.GetFacts()))
	now := s.now()
	for _, f := range chunk.GetFacts() {
		if fact, err := knowledge.Decode(f, source, now, 0); err == nil {
			facts = append(facts, fact)
		}
	}
	return facts
}
