package fleet

import (
	"context"
	"fmt"
	"sync"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/protobuf/proto"

	"saffronyard.example/saffronyard/internal/replicatedlog"
	"saffronyard.example/saffronyard/internal/worker"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// connections are the gRPC connections to other senders, by address. It is safe for concurrent use.
type connections struct {
	keys  *keyring
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

func newConnections(keys *keyring) *connections {
	return &connections{keys: keys, conns: map[string]*grpc.ClientConn{}}
}

// client returns a client of the sender at an address. The connection is made at its first use, and again after it breaks.
func (c *connections) client(address string) (pb.FleetClient, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn := c.conns[address]
	if conn == nil {
		var err error
		conn, err = grpc.NewClient("passthrough:///"+address, append(c.keys.dialOptions(), grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
			grpc.WithDisableServiceConfig(), grpc.WithDisableRetry(),
			grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxConnectBackoff}, MinConnectTimeout: maxConnectBackoff}),
			grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}))...)
		if err != nil {
			return nil, fmt.Errorf("fleet: %s: %w", address, err)
		}
		c.conns[address] = conn
	}
	return pb.NewFleetClient(conn), nil
}

func (c *connections) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		conn.Close()
	}
}

// sendLoop keeps a stream open to a voter and sends the messages of its outbox, until ctx ends.
func (n *Node) sendLoop(ctx context.Context, name string, ring *worker.RingBuffer[*raftpb.Message]) {
	for ctx.Err() == nil {
		err := n.sendStream(ctx, name, ring)
		if voter := n.currentVoter(); ctx.Err() == nil && voter != nil {
			voter.Inbox.Offer(replicatedlog.PeerUnreachable{VoterID: replicatedlog.VoterID(name)})
			n.log.Debug("fleet: a voter is unreachable", "voter", name, "err", err)
		}
		select {
		case <-time.After(heartbeatInterval / 2):
		case <-ctx.Done():
		}
	}
}

func (n *Node) sendStream(ctx context.Context, name string, ring *worker.RingBuffer[*raftpb.Message]) error {
	address := n.address(name)
	if address == "" {
		return &NoAddressError{Name: name}
	}
	client, err := n.conns.client(address)
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
			if err := to.Send(&pb.RaftEnvelope{Cluster: n.cfg.Cluster, From: n.cfg.Name, Incarnation: n.incarnation, ToIncarnation: n.peers.get(name), Message: raw}); err != nil {
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
