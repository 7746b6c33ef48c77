package fleet

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"saffronyard.example/saffronyard/internal/fleetpolicy"
	"saffronyard.example/saffronyard/internal/replicatedlog"
	"saffronyard.example/saffronyard/internal/worker"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// wasVoter is whether the folder is a voter's, that was added to the first ones.
func (n *Node) wasVoter() bool {
	_, err := os.Stat(filepath.Join(n.cfg.Folder, logName))
	return err == nil
}

// firstVoters are those of the file: with them the log begins, also for one that is added later and goes through it from there.
func (n *Node) firstVoters() *raftpb.ConfState {
	conf := &raftpb.ConfState{}
	for _, v := range n.cfg.Voters {
		conf.Voters = append(conf.Voters, replicatedlog.VoterID(v.Name))
	}
	slices.Sort(conf.Voters)
	return conf
}

// startVoter opens the folder and, as soon as all others have answered, takes part.
func (n *Node) startVoter(first *raftpb.ConfState) error {
	s, err := openStore(n.cfg.Folder, n.cfg.Cluster, n.cfg.Name)
	if err != nil {
		return err
	}
	saved, err := s.load()
	if err != nil {
		s.close()
		return err
	}
	if saved.ConfState == nil {
		saved.ConfState = first
	}
	by, trusted, err := vouched(n.cfg.Folder)
	if err != nil {
		s.close()
		return fmt.Errorf("fleet: %w", err)
	}
	f := saved.Position()
	n.mu.Lock()
	n.store, n.storedPosition = s, &f
	n.mu.Unlock()
	n.background.Add(1)
	go func() {
		defer n.background.Done()
		var heard map[string]replicatedlog.PeerState
		if trusted {
			n.log.Warn("fleet: somebody vouches for the folder: the other voters' word is not waited for", "by", by)
			n.background.Add(1)
			go func() { // they hear of this process all the same, or would take its word for nobody's
				defer n.background.Done()
				n.handshake(saved)
			}()
		} else if heard = n.handshake(saved); heard == nil {
			return
		}
		policy := fleetpolicy.NewMachine()
		core, start, err := replicatedlog.NewVoter(n.cfg.Name, saved, heard, n.cfg.LeaseTerms, policy, raftLog{n.log})
		if err != nil {
			n.log.Error("fleet: this sender can't be a voter", "err", err)
			return
		}
		if start.StaleReason != "" {
			n.log.Error("fleet: the folder is older than what it has promised; it votes for nobody until it has caught up", "why", start.StaleReason)
		}
		d := &worker.Worker[any, any]{Name: voterWorker, Inbox: worker.NewRingBuffer[any](voterWorker, voterInboxSize, worker.Block, nil), Stepper: core, Execute: n.executeVoter}
		n.mu.Lock()
		n.voter, n.staleReason = d, start.StaleReason
		n.mu.Unlock()
		n.group.Start(d, worker.StopWorker)
	}()
	return nil
}

func (n *Node) currentVoter() *worker.Worker[any, any] {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.voter
}

// callVoter hands an event that is answered to the voter's log.
func (n *Node) callVoter(ctx context.Context, event func(to uint64) any) (any, error) {
	core := n.currentVoter()
	if core == nil {
		return nil, status.Error(codes.Unavailable, "this sender is no voter, or has not begun")
	}
	answer := make(chan any, 1)
	n.mu.Lock()
	n.lastReply++
	to := n.lastReply
	n.replies[to] = answer
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		delete(n.replies, to)
		n.mu.Unlock()
	}()
	if err := core.Inbox.Put(ctx, event(to)); err != nil {
		return nil, err
	}
	select {
	case v := <-answer:
		if err, bad := v.(error); bad {
			return nil, err
		}
		return v, nil
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	case <-n.ctx.Done():
		return nil, status.Error(codes.Unavailable, "this sender is leaving")
	}
}

// leaderClient is the way to the one that leads, as this voter knows.
func (n *Node) leaderClient() (pb.FleetClient, error) {
	n.mu.Lock()
	id := n.status.Leader
	n.mu.Unlock()
	name := n.nameOf(id)
	if id == 0 || name == n.cfg.Name {
		return nil, status.Error(codes.Unavailable, "no voter is known to lead")
	}
	address := n.address(name)
	if address == "" {
		return nil, status.Errorf(codes.Unavailable, "no address of %s is known, which leads", name)
	}
	return n.conns.client(address)
}

// executeVoter carries out what the voter's log wants done.
func (n *Node) executeVoter(_ context.Context, a any) error {
	switch a := a.(type) {
	case replicatedlog.Persist:
		if err := n.store.save(a); err != nil {
			return fmt.Errorf("fleet: the log can't be written, this voter takes part no longer: %w", err)
		}
		if a.Snapshot != nil {
			n.feed.compact(a.Snapshot.Data)
		}
	case replicatedlog.SendMessage:
		n.outbox(n.nameOf(a.Message.GetTo())).Offer(a.Message)
	case replicatedlog.Reply:
		n.mu.Lock()
		c := n.replies[a.To]
		delete(n.replies, a.To)
		n.mu.Unlock()
		if c != nil {
			c <- a.Value
		}
	case replicatedlog.Committed:
		n.feed.commit(a)
	case replicatedlog.Status:
		n.mu.Lock()
		was := n.status
		n.status = a
		n.mu.Unlock()
		if was.IsLeader != a.IsLeader || was.Leader != a.Leader {
			n.log.Info("fleet: the lead", "leads", a.IsLeader, "leader", n.nameOf(a.Leader), "term", a.Term)
		}
	}
	return nil
}

// outbox is what goes to one voter, in order; the oldest is dropped when it does not keep up.
func (n *Node) outbox(name string) *worker.RingBuffer[*raftpb.Message] {
	n.mu.Lock()
	defer n.mu.Unlock()
	b := n.outboxes[name]
	if b == nil {
		b = worker.NewRingBuffer[*raftpb.Message]("to "+name, outboxSize, worker.DropOldest, nil)
		n.outboxes[name] = b
		n.background.Add(1)
		go func() {
			defer n.background.Done()
			n.sendLoop(n.ctx, name, b)
		}()
	}
	return b
}
