package peers

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"saffronyard.example/saffronyard/internal/knowledge"
	pb "saffronyard.example/saffronyard/proto/saffronyard/peers/v1"
)

// Limits of the exchange. A peer can cost no more than these, whatever it does.
const (
	maxChunkFacts      = 500              // in one piece
	maxChunkBytes      = 256 << 10        // of a piece that is taken in
	maxFollowers       = 64               // that are told at once
	maxChunksPerSecond = 100              // taken in of one peer; beyond that it floods
	maxChunkBurst      = 400              // at once: a first snapshot of 200,000 facts
	connectTimeout     = 2 * time.Second  // a peer is up within this
	keepaliveInterval  = 20 * time.Second // without a word, a ping is sent
	keepaliveTimeout   = 5 * time.Second  // and answered within this, or the stream is over
)

// factServer is what this sender tells: one for all that follow it.
type factServer struct {
	pb.UnimplementedExchangeServer
	config *Config
	now    func() time.Duration

	mu        sync.Mutex
	changes   *knowledge.ChangeLog
	changed   chan struct{} // closed with each change
	followers int           // of those that follow
}

func newFactServer(c *Config, now func() time.Duration) *factServer {
	return &factServer{config: c, now: now, changes: knowledge.NewChangeLog(), changed: make(chan struct{})}
}

// publish takes what this sender has seen by now: all of it, or some that is new.
func (t *factServer) publish(facts []knowledge.Fact, all bool, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	take := t.changes.Add
	if all {
		take = t.changes.Update
	}
	if take(facts, now) {
		close(t.changed)
		t.changed = make(chan struct{})
	}
}

func (t *factServer) chunkAfter(version uint64) (piece *pb.Piece, upTo uint64, newest uint64, changed chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	facts, upTo := t.changes.After(version, maxChunkFacts)
	now := t.now()
	piece = &pb.Piece{Life: t.config.Incarnation, Version: upTo}
	for i := range facts {
		piece.Facts = append(piece.Facts, knowledge.Encode(&facts[i], now))
	}
	return piece, upTo, t.changes.Version(), t.changed
}

// Follow serves one that follows. A slow one holds up nobody: the stream's window fills, and it is told less often.
func (t *factServer) Follow(req *pb.FollowRequest, to grpc.ServerStreamingServer[pb.Piece]) error {
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
		piece, upTo, newest, changed := t.chunkAfter(version)
		if first || upTo > version || len(piece.Facts) > 0 {
			if err := to.Send(piece); err != nil {
				return err
			}
		}
		if version = upTo; version < newest {
			continue
		}
		select {
		case <-changed:
		case <-to.Context().Done():
			return to.Context().Err()
		}
	}
}

// errFlooding is that a peer tells more than any sound one has to.
var errFlooding = errors.New("it sends more pieces than a sender has to tell")

// followPeer hears what one peer tells until that ends; heard is called with each piece. progress is how far it was heard,
// kept by the caller for the next time.
func followPeer(ctx context.Context, c *Config, m Member, now func() time.Duration, progress *streamProgress, heard func([]knowledge.Fact) bool) error {
	conn, err := grpc.NewClient("passthrough:///"+m.Exchange, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxChunkBytes)), grpc.WithDisableServiceConfig(), grpc.WithDisableRetry(),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}))
	if err != nil {
		return fmt.Errorf("peers: %s: %w", m.Name, err)
	}
	defer conn.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	up := time.AfterFunc(connectTimeout, cancel)
	stream, err := pb.NewExchangeClient(conn).Follow(ctx, &pb.FollowRequest{Cluster: c.Cluster, Name: c.Name, Life: c.Incarnation,
		After: progress.version, AfterLife: progress.incarnation})
	if err != nil {
		return fmt.Errorf("peers: %s: %w", m.Name, err)
	}
	room, at := float64(maxChunkBurst), time.Now()
	for {
		piece, err := stream.Recv()
		if err != nil {
			return fmt.Errorf("peers: %s: %w", m.Name, err)
		}
		if !up.Stop() && ctx.Err() != nil {
			return fmt.Errorf("peers: %s: nothing came within %v", m.Name, connectTimeout)
		}
		t := time.Now()
		if room = min(maxChunkBurst, room+t.Sub(at).Seconds()*maxChunksPerSecond) - 1; room < 0 {
			return fmt.Errorf("peers: %s: %w", m.Name, errFlooding)
		}
		at = t
		source := knowledge.Source{Name: m.Name, Incarnation: piece.GetLife()}
		facts := make([]knowledge.Fact, 0, len(piece.GetFacts()))
		when := now()
		for _, f := range piece.GetFacts() {
			if got, err := knowledge.Decode(f, source, when, 0); err == nil {
				facts = append(facts, got)
			}
		}
		if !heard(facts) {
			return ctx.Err()
		}
		progress.incarnation, progress.version = piece.GetLife(), piece.GetVersion()
		progress.chunks++
	}
}

// streamProgress is how far a peer was heard.
type streamProgress struct {
	incarnation, version uint64
	chunks               int
}
