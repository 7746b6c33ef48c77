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
	"google.golang.org/protobuf/proto"

	"saffronyard.example/saffronyard/internal/fleetpolicy"
	"saffronyard.example/saffronyard/internal/replicatedlog"
	"saffronyard.example/saffronyard/internal/worker"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// voterActor runs a voter's state machine.
type voterActor = worker.Worker[replicatedlog.VoterEvent, replicatedlog.VoterAction]

// errNoVoter answers calls to a voter while this sender is not a voter, or has not completed its handshake.
var errNoVoter = status.Error(codes.Unavailable, "this sender is no voter, or has not begun")

// errStopping answers calls while this sender stops.
var errStopping = status.Error(codes.Unavailable, "this sender is leaving")

// wasVoter reports whether the folder has a voter's file. Such a sender is a voter even if it is not one of the first voters.
func (n *Node) wasVoter() bool {
	_, err := os.Stat(filepath.Join(n.cfg.Folder, logName))
	return err == nil
}

// firstVoters are the voters of the configuration file. The log begins with them, also at a voter that is added later, which applies the
// log from its beginning.
func (n *Node) firstVoters() *raftpb.ConfState {
	conf := &raftpb.ConfState{}
	for _, v := range n.cfg.Voters {
		conf.Voters = append(conf.Voters, replicatedlog.VoterID(v.Name))
	}
	slices.Sort(conf.Voters)
	return conf
}

// startVoter opens the stored log and, in the background, joins the voters as soon as the handshake is complete.
func (n *Node) startVoter(first *raftpb.ConfState) error {
	s, err := openStore(n.cfg.Folder, n.cfg.Cluster, n.cfg.Name)
	if err != nil {
		return err
	}
	stored, err := s.load()
	if err != nil {
		s.close()
		return err
	}
	if stored.ConfState == nil {
		stored.ConfState = first
	}
	by, vouched, err := takeVouch(n.cfg.Folder)
	if err != nil {
		s.close()
		return fmt.Errorf("fleet: %w", err)
	}
	position := stored.Position()
	n.mu.Lock()
	n.store, n.storedPosition = s, &position
	n.mu.Unlock()
	if vouched {
		n.log.Warn("fleet: an operator vouched for the folder; starting without the other voters' answers to the handshake", "by", by)
	}
	n.goBackground(func(context.Context) { n.runVoter(stored, vouched) })
	return nil
}

// runVoter completes the handshake and starts the voter's worker. With a vouched folder it does not wait for the handshake, but makes
// it in the background all the same: otherwise the peers would drop the messages of this incarnation.
func (n *Node) runVoter(stored *replicatedlog.StoredLog, vouched bool) {
	var peers map[string]replicatedlog.PeerState
	if vouched {
		n.goBackground(func(context.Context) { n.handshake(stored) })
	} else if peers = n.handshake(stored); peers == nil {
		return
	}
	v, start, err := replicatedlog.NewVoter(replicatedlog.VoterConfig{Name: n.cfg.Name, Stored: stored, Peers: peers, Terms: n.cfg.LeaseTerms,
		Policy: fleetpolicy.NewMachine(), Logger: raftLog{n.log}})
	if err != nil {
		n.log.Error("fleet: can't start the voter of this sender", "err", err)
		return
	}
	if start.StaleReason != "" {
		n.log.Error("fleet: the folder lacks entries that were acknowledged from it; the voter is no candidate until it has caught up", "why", start.StaleReason)
	}
	actor := &voterActor{Name: voterWorker, Inbox: worker.NewRingBuffer[replicatedlog.VoterEvent](voterWorker, voterInboxSize, worker.Block, nil), Stepper: v, Execute: n.executeVoter}
	n.mu.Lock()
	n.voter, n.staleReason = actor, start.StaleReason
	n.mu.Unlock()
	n.group.Start(actor, worker.StopWorker)
}

// currentVoter is the voter's worker; nil if this sender is no voter, or has not completed its handshake.
func (n *Node) currentVoter() *voterActor {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.voter
}

// currentStore is the stored log; nil if this sender is no voter.
func (n *Node) currentStore() *store {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.store
}

// callVoter puts an event into the voter's inbox and waits for its reply. The error is a gRPC status, the inbox's or the voter's own.
func (n *Node) callVoter(ctx context.Context, event func(replyTo uint64) replicatedlog.VoterEvent) (proto.Message, error) {
	voter := n.currentVoter()
	if voter == nil {
		return nil, errNoVoter
	}
	reply := make(chan replicatedlog.Reply, 1)
	n.mu.Lock()
	n.lastReply++
	to := n.lastReply
	n.replies[to] = reply
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		delete(n.replies, to)
		n.mu.Unlock()
	}()
	if err := voter.Inbox.Put(ctx, event(to)); err != nil {
		return nil, err
	}
	select {
	case r := <-reply:
		return r.Message, r.Err
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	case <-n.ctx.Done():
		return nil, errStopping
	}
}

// leaderClient returns a client of the leader according to this voter's status.
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

// executeVoter carries out an action of the voter. An error stops the voter for good, because it must not acknowledge what is not on the
// disk.
func (n *Node) executeVoter(_ context.Context, action replicatedlog.VoterAction) error {
	switch a := action.(type) {
	case replicatedlog.Persist:
		if err := n.store.save(a); err != nil {
			return fmt.Errorf("fleet: can't write the voter's log; the voter stops: %w", err)
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
			c <- a
		}
	case replicatedlog.Committed:
		n.feed.commit(a)
	case replicatedlog.Status:
		n.setVoterStatus(a)
	}
	return nil
}

func (n *Node) setVoterStatus(s replicatedlog.Status) {
	n.mu.Lock()
	former := n.status
	n.status = s
	n.mu.Unlock()
	if former.IsLeader != s.IsLeader || former.Leader != s.Leader {
		n.log.Info("fleet: the leader changed", "leads", s.IsLeader, "leader", n.nameOf(s.Leader), "term", s.Term)
	}
}

// outbox is the queue of messages to one voter, in order; the oldest is dropped when that voter does not keep up. The first call starts
// the goroutine that sends them.
func (n *Node) outbox(name string) *worker.RingBuffer[*raftpb.Message] {
	n.mu.Lock()
	defer n.mu.Unlock()
	b := n.outboxes[name]
	if b == nil {
		b = worker.NewRingBuffer[*raftpb.Message]("to "+name, outboxSize, worker.DropOldest, nil)
		n.outboxes[name] = b
		n.goBackground(func(ctx context.Context) { n.sendLoop(ctx, name, b) })
	}
	return b
}
