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
	pieceFacts    = 500              // in one piece
	pieceBytes    = 256 << 10        // of a piece that is taken in
	followersMost = 64               // that are told at once
	piecesASecond = 100              // taken in of one peer; beyond that it floods
	burstPieces   = 400              // at once: a first snapshot of 200,000 facts
	connectTime   = 2 * time.Second  // a peer is up within this
	silence       = 20 * time.Second // without a word, a ping is sent
	pingTime      = 5 * time.Second  // and answered within this, or the stream is over
)

// teller is what this sender tells: one for all that follow it.
type teller struct {
	pb.UnimplementedExchangeServer
	c   *Config
	now func() time.Duration

	mu      sync.Mutex
	telling *knowledge.Telling
	changed chan struct{} // closed with each change
	count   int           // of those that follow
}

func newTeller(c *Config, now func() time.Duration) *teller {
	return &teller{c: c, now: now, telling: knowledge.NewTelling(), changed: make(chan struct{})}
}

// update takes what this sender has seen by now: all of it, or some that is new.
func (t *teller) update(facts []knowledge.Fact, all bool, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	take := t.telling.Add
	if all {
		take = t.telling.Update
	}
	if take(facts, now) {
		close(t.changed)
		t.changed = make(chan struct{})
	}
}

func (t *teller) after(version uint64) (piece *pb.Piece, upTo uint64, newest uint64, changed chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	facts, upTo := t.telling.After(version, pieceFacts)
	now := t.now()
	piece = &pb.Piece{Life: t.c.Life, Version: upTo}
	for i := range facts {
		piece.Facts = append(piece.Facts, knowledge.Encode(&facts[i], now))
	}
	return piece, upTo, t.telling.Version(), t.changed
}

// Follow serves one that follows. A slow one holds up nobody: the stream's window fills, and it is told less often.
func (t *teller) Follow(req *pb.FollowRequest, to grpc.ServerStreamingServer[pb.Piece]) error {
	if req.GetCluster() != t.c.Cluster {
		return status.Errorf(codes.PermissionDenied, "this is cluster %q, not %q", t.c.Cluster, req.GetCluster())
	}
	if req.GetName() == t.c.Name {
		return status.Errorf(codes.AlreadyExists, "%q is this sender's name", t.c.Name)
	}
	t.mu.Lock()
	if t.count >= followersMost {
		t.mu.Unlock()
		return status.Errorf(codes.ResourceExhausted, "%d follow this sender already", followersMost)
	}
	t.count++
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		t.count--
		t.mu.Unlock()
	}()
	version := req.GetAfter()
	if req.GetAfterLife() != t.c.Life {
		version = 0
	}
	for first := true; ; first = false {
		piece, upTo, newest, changed := t.after(version)
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

// errFloods is that a peer tells more than any sound one has to.
var errFloods = errors.New("it sends more pieces than a sender has to tell")

// follow hears what one peer tells until that ends; heard is called with each piece. progress is how far it was heard,
// kept by the caller for the next time.
func follow(ctx context.Context, c *Config, m Member, now func() time.Duration, progress *progress, heard func([]knowledge.Fact) bool) error {
	conn, err := grpc.NewClient("passthrough:///"+m.Exchange, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(pieceBytes)), grpc.WithDisableServiceConfig(), grpc.WithDisableRetry(),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: silence, Timeout: pingTime}))
	if err != nil {
		return fmt.Errorf("peers: %s: %w", m.Name, err)
	}
	defer conn.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	up := time.AfterFunc(connectTime, cancel)
	stream, err := pb.NewExchangeClient(conn).Follow(ctx, &pb.FollowRequest{Cluster: c.Cluster, Name: c.Name, Life: c.Life,
		After: progress.version, AfterLife: progress.life})
	if err != nil {
		return fmt.Errorf("peers: %s: %w", m.Name, err)
	}
	room, at := float64(burstPieces), time.Now()
	for {
		piece, err := stream.Recv()
		if err != nil {
			return fmt.Errorf("peers: %s: %w", m.Name, err)
		}
		if !up.Stop() && ctx.Err() != nil {
			return fmt.Errorf("peers: %s: nothing came within %v", m.Name, connectTime)
		}
		t := time.Now()
		if room = min(burstPieces, room+t.Sub(at).Seconds()*piecesASecond) - 1; room < 0 {
			return fmt.Errorf("peers: %s: %w", m.Name, errFloods)
		}
		at = t
		source := knowledge.Source{Name: m.Name, Life: piece.GetLife()}
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
		progress.life, progress.version = piece.GetLife(), piece.GetVersion()
		progress.pieces++
	}
}

// progress is how far a peer was heard.
type progress struct {
	life, version uint64
	pieces        int
}
