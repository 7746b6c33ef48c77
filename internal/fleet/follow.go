package fleet

import (
	"context"
	"slices"
	"time"

	"saffronyard.example/saffronyard/internal/replicatedlog"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// followLoop keeps the replica following the committed log until the node stops: this sender's own log if it is a voter, or else that of
// a voter that answers.
func (n *Node) followLoop() {
	for n.ctx.Err() == nil {
		if n.currentVoter() != nil {
			n.followOwnLog()
			continue
		}
		for _, name := range n.voterNames() {
			if n.ctx.Err() != nil || n.currentVoter() != nil {
				break
			}
			err := n.follow(name)
			n.log.Debug("fleet: stopped following a voter", "voter", name, "err", err)
			n.mu.Lock()
			if n.followed == name {
				n.followed = ""
			}
			n.mu.Unlock()
		}
		select {
		case <-n.ctx.Done():
		case <-time.After(heartbeatInterval / 2):
		}
	}
}

// followOwnLog follows this sender's own log while it is a voter.
func (n *Node) followOwnLog() {
	n.feed.follow(n.ctx, n.appliedIndex(), func(c *pb.LogChunk) bool {
		n.mu.Lock()
		n.receivedAt = n.cfg.Now()
		n.mu.Unlock()
		if n.currentVoter() == nil {
			return false
		}
		return isHeartbeat(c) || n.replica.Inbox.Put(n.ctx, replicatedlog.LogReceived{Chunk: c}) == nil
	})
}

func isHeartbeat(c *pb.LogChunk) bool { return len(c.Entries)+len(c.Snapshot) == 0 }

// appliedIndex is the index up to which the replica has applied the log.
func (n *Node) appliedIndex() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.replicaReport.index
}

// follow receives the committed log from a voter until the voter sends nothing for followTimeout, the stream ends, or this sender becomes a
// voter itself. In the last case the error is nil.
func (n *Node) follow(name string) error {
	client, err := n.conns.client(n.address(name))
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(n.ctx)
	defer stop()
	timeout := time.AfterFunc(followTimeout, stop)
	defer timeout.Stop()
	stream, err := client.Follow(ctx, &pb.FollowRequest{Cluster: n.cfg.Cluster, Name: n.cfg.Name, AfterIndex: n.appliedIndex()})
	if err != nil {
		return err
	}
	for {
		c, err := stream.Recv()
		if err != nil {
			return err
		}
		timeout.Reset(followTimeout)
		n.mu.Lock()
		n.followed, n.receivedAt = name, n.cfg.Now()
		n.mu.Unlock()
		if !isHeartbeat(c) {
			if err := n.replica.Inbox.Put(ctx, replicatedlog.LogReceived{Chunk: c}); err != nil {
				return err
			}
		}
		if n.currentVoter() != nil {
			return nil
		}
		n.startVoterIfAdded()
	}
}

// startVoterIfAdded starts a voter once this sender is a voter in the replicated state.
func (n *Node) startVoterIfAdded() {
	n.mu.Lock()
	added := n.store == nil && slices.ContainsFunc(n.replicaReport.voters, func(v *pb.Voter) bool { return v.Name == n.cfg.Name && !v.Removed })
	n.mu.Unlock()
	if !added {
		return
	}
	if err := n.startVoter(n.firstVoters()); err != nil {
		n.log.Error("fleet: can't start the voter of this sender", "err", err)
	}
}
