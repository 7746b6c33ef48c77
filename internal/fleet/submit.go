package fleet

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// Submit hands a command in and waits for what became of it. Asked again after a lost answer it counts once.
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
		var r *pb.SubmitReply
		err := n.callAnyVoter(ctx, func(ctx context.Context, client pb.FleetClient) error {
			var err error
			r, err = client.Submit(ctx, &pb.SubmitRequest{Cluster: n.cfg.Cluster, Command: raw})
			return err
		})
		if err == nil {
			return r, nil
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("whether it counts is not known: %w", errors.Join(err, ctx.Err()))
		case <-n.ctx.Done():
			return nil, errors.New("this sender is leaving")
		case <-time.After(heartbeatInterval / 2):
		}
	}
}

// callAnyVoter asks some voter, one after another until one answers.
func (n *Node) callAnyVoter(ctx context.Context, ask func(context.Context, pb.FleetClient) error) error {
	err := errors.New("no voter is known")
	for _, name := range n.voterNames() {
		if ctx.Err() != nil {
			return errors.Join(err, ctx.Err())
		}
		address := n.address(name)
		if name == n.cfg.Name {
			address = n.addr
		}
		client, bad := n.conns.client(address)
		if bad != nil {
			err = bad
			continue
		}
		try, cancel := context.WithTimeout(ctx, n.callTimeout())
		err = ask(try, client)
		cancel()
		if err == nil {
			return nil
		}
	}
	return err
}

// callTimeout is how long one voter is given: a question is asked of another before the next is due.
func (n *Node) callTimeout() time.Duration {
	return max(n.cfg.LeaseTerms.Duration/6, 100*time.Millisecond)
}
