package fleet

import (
	"context"
	"time"

	"saffronyard.example/saffronyard/internal/replicatedlog"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// followLoop keeps the copy following some voter: this sender's own log if it has one, or else one that answers.
func (n *Node) followLoop() {
	for n.ctx.Err() == nil {
		if n.currentVoter() != nil {
			n.feed.follow(n.ctx, n.appliedIndex(), heartbeats(), func(p *pb.LogChunk) bool {
				n.mu.Lock()
				n.heardAt = n.cfg.Now()
				n.mu.Unlock()
				return n.currentVoter() != nil && (len(p.Entries)+len(p.Snapshot) == 0 || n.replica.Inbox.Put(n.ctx, replicatedlog.LogReceived{Chunk: p}) == nil)
			})
			continue
		}
		names := n.voterNames()
		for _, name := range names {
			if n.ctx.Err() != nil || n.currentVoter() != nil {
				break
			}
			err := n.follow(name)
			n.log.Debug("fleet: follows no longer", "voter", name, "err", err)
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

func (n *Node) appliedIndex() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.replicaReport.index
}

// follow hears the committed log from a voter until that is silent, or this sender becomes one itself.
func (n *Node) follow(name string) error {
	client, err := n.conns.client(n.address(name))
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(n.ctx)
	defer stop()
	silent := time.AfterFunc(followTimeout, stop)
	defer silent.Stop()
	from, err := client.Follow(ctx, &pb.FollowRequest{Cluster: n.cfg.Cluster, Name: n.cfg.Name, AfterIndex: n.appliedIndex()})
	if err != nil {
		return err
	}
	for {
		p, err := from.Recv()
		if err != nil {
			return err
		}
		silent.Reset(followTimeout)
		n.mu.Lock()
		n.followed, n.heardAt = name, n.cfg.Now()
		n.mu.Unlock()
		if len(p.Entries)+len(p.Snapshot) > 0 {
			if err := n.replica.Inbox.Put(ctx, replicatedlog.LogReceived{Chunk: p}); err != nil {
				return err
			}
		}
		if n.currentVoter() != nil {
			return nil
		}
		n.startVoterIfAdded()
	}
}

// startVoterIfAdded begins a voter's part once the state says that this sender is one.
func (n *Node) startVoterIfAdded() {
	n.mu.Lock()
	is := n.store == nil
	if is {
		is = false
		for _, v := range n.replicaReport.voters {
			is = is || v.Name == n.cfg.Name && !v.Removed
		}
	}
	n.mu.Unlock()
	if is {
		if err := n.startVoter(n.firstVoters()); err != nil {
			n.log.Error("fleet: this sender can't be a voter", "err", err)
		}
	}
}
