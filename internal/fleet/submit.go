package fleet

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// Submit proposes a command and waits for its outcome, which may be a rejection. It retries until ctx ends; the command is applied at
// most once, however often it is sent. After an error that wraps ctx's, it is unknown whether the command is applied; ErrStopping means
// that the node stops.
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
		var reply *pb.SubmitReply
		err := n.callAnyVoter(ctx, func(ctx context.Context, client pb.FleetClient) (err error) {
			reply, err = client.Submit(ctx, &pb.SubmitRequest{Cluster: n.cfg.Cluster, Command: raw})
			return err
		})
		if err == nil {
			return reply, nil
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("whether it counts is not known: %w", errors.Join(err, ctx.Err()))
		case <-n.ctx.Done():
			return nil, ErrStopping
		case <-time.After(heartbeatInterval / 2):
		}
	}
}

// callAnyVoter calls the voters one after another until one answers. The error is that of the last call, or ErrNoVoterKnown if there was
// none; it is joined with ctx's error if ctx ends before all voters were called.
func (n *Node) callAnyVoter(ctx context.Context, call func(context.Context, pb.FleetClient) error) error {
	err := ErrNoVoterKnown
	for _, name := range n.voterNames() {
		if ctx.Err() != nil {
			return errors.Join(err, ctx.Err())
		}
		if err = n.callVoterAt(ctx, name, call); err == nil {
			return nil
		}
	}
	return err
}

func (n *Node) callVoterAt(ctx context.Context, name string, call func(context.Context, pb.FleetClient) error) error {
	address := n.address(name)
	if name == n.cfg.Name {
		address = n.addr
	}
	client, err := n.conns.client(address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, n.callTimeout())
	defer cancel()
	return call(ctx, client)
}

// callTimeout is the time-out of a call to one voter. It leaves time to call another voter before the next lease request is due.
func (n *Node) callTimeout() time.Duration {
	return max(n.cfg.LeaseTerms.Duration/6, 100*time.Millisecond)
}
