package replicatedlog

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"saffronyard.example/saffronyard/internal/coordinator"
	"saffronyard.example/saffronyard/internal/fleetpolicy"
	"saffronyard.example/saffronyard/internal/lease"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

const (
	// Tick is the step of raft's time. A leader is heard each tick; one that is not heard for ElectionTicks to twice as many is
	// replaced.
	Tick          = 50 * time.Millisecond
	ElectionTicks = 10

	snapshotInterval    = 5000    // entries between snapshots
	entriesKept         = 1000    // entries kept in front of one, for voters and followers that are a little behind
	maxMessageBytes     = 1 << 20 // bytes of entries in one message
	maxUncommittedBytes = 8 << 20 // bytes that a leader holds uncommitted; beyond that commands are turned away
	maxWaitingReported  = 20      // of those that a change waits for, to each who asks
	maxPendingReads     = 4096    // questions that wait to be confirmed
)

// Voter is a voter.
type Voter struct {
	id              uint64
	terms           lease.Terms
	start           StartState
	node            *raft.RawNode
	storage         *raft.MemoryStorage
	state           *State
	policy          *fleetpolicy.Machine
	membership      *coordinator.Machine
	confState       *raftpb.ConfState
	hardState       *raftpb.HardState // as of now; its commit may be ahead of the disk's
	compactedTo     uint64            // entries up to here are in no memory any more
	nextTick        time.Duration
	pendingCommands map[[2]uint64]uint64 // who waits for a command, by session and sequence

	// While it leads.
	granter               *lease.Granter
	policyCoordinator     *fleetpolicy.Coordinator
	membershipCoordinator *coordinator.Coordinator
	addresses             map[lease.HolderID]string   // where those who asked are reached
	pendingReads          map[uint64][]LeaseRequested // by the read that confirms them
	lastRead              uint64
	ledTerm               uint64 // term in which it led last

	actions []any
	status  Status
}

// NewVoter makes a voter that goes on from its folder. heard are the answers of all others to its hello; nil if somebody
// vouches for the folder, or there are no others.
func NewVoter(name string, stored *StoredLog, peers map[string]PeerState, terms lease.Terms, policy *fleetpolicy.Machine, log raft.Logger) (*Voter, StartState, error) {
	c := &Voter{id: VoterID(name), terms: terms, storage: raft.NewMemoryStorage(), policy: policy, pendingCommands: map[[2]uint64]uint64{}, pendingReads: map[uint64][]LeaseRequested{}}
	all, r, _ := machines(policy)
	c.state, c.membership = NewState(all), r
	c.start = reconcile(c.id, stored.Position(), peers)
	hard := &raftpb.HardState{Term: &c.start.Term, Vote: &c.start.Vote, Commit: new(stored.HardState.GetCommit())}
	c.confState = stored.ConfState
	base := &raftpb.Snapshot{Metadata: &raftpb.SnapshotMetadata{ConfState: c.confState, Index: &stored.BaseIndex, Term: &stored.BaseTerm}}
	applied := uint64(0)
	if stored.Snapshot != nil {
		if err := c.state.Restore(stored.Snapshot.Data); err != nil {
			return nil, c.start, err
		}
		applied = c.state.Index()
		c.confState = stored.Snapshot.GetMetadata().GetConfState()
		base.Metadata.ConfState = c.confState
	}
	if stored.BaseIndex > 0 || c.confState != nil {
		if err := c.storage.ApplySnapshot(base); err != nil {
			return nil, c.start, fmt.Errorf("the folder's log: %w", err)
		}
	}
	if err := c.storage.Append(stored.Entries); err != nil {
		return nil, c.start, fmt.Errorf("the folder's log: %w", err)
	}
	if stored.Snapshot != nil { // it lies within the entries that are kept
		if _, err := c.storage.CreateSnapshot(applied, c.confState, stored.Snapshot.Data); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
			return nil, c.start, fmt.Errorf("the folder's snapshot: %w", err)
		}
	}
	if err := c.storage.SetHardState(hard); err != nil {
		return nil, c.start, err
	}
	c.compactedTo = stored.BaseIndex
	var err error
	c.node, err = raft.NewRawNode(&raft.Config{ID: c.id, ElectionTick: ElectionTicks, HeartbeatTick: 1, Storage: c.storage, Applied: applied,
		MaxSizePerMsg: maxMessageBytes, MaxUncommittedEntriesSize: maxUncommittedBytes, MaxInflightMsgs: 256, CheckQuorum: true, PreVote: true,
		DisableProposalForwarding: true, Logger: log})
	if err != nil {
		return nil, c.start, fmt.Errorf("raft: %w", err)
	}
	c.hardState = hard
	c.emit(Persist{HardState: hard}) // the vote that is spent stands on the disk before the first word
	if applied > 0 {
		raw, err := c.state.Snapshot()
		if err != nil {
			return nil, c.start, err
		}
		c.emit(Committed{Snapshot: raw})
	}
	return c, c.start, nil
}

func (c *Voter) emit(a any) { c.actions = append(c.actions, a) }

// Step takes events in and gives what is to be done. A log that can't be followed is a panic: the voter ends there.
func (c *Voter) Step(now time.Duration, events []any) ([]any, time.Duration) {
	for _, e := range events {
		c.handle(now, e)
	}
	if c.nextTick == 0 {
		c.nextTick = now
	}
	if most := now - 2*Tick; c.nextTick < most { // it stood still, for its disk perhaps: what it missed meanwhile is no silence of the others
		c.nextTick = most
	}
	for ; now >= c.nextTick; c.nextTick += Tick {
		// One that has not come to the bar does not stand; its time goes on as soon as it has.
		if c.isLeader() || c.start.upToDate(c.lastEntry()) {
			c.node.Tick()
		}
	}
	c.processReady(now)
	if c.isLeader() && c.granter != nil {
		if cmd, waits := c.policyCoordinator.Step(now, c.policy.State(), c.granter); cmd != nil {
			c.proposeOwn(KindPolicy, cmd)
			c.processReady(now)
		} else {
			c.status.WaitingOn = waits
		}
		c.status.Leases = c.granter.ActiveLeases(now)
		c.stepMembership(now)
	} else {
		c.status.WaitingOn, c.status.Leases = nil, nil
	}
	basic := c.node.BasicStatus()
	c.status.Leader, c.status.IsLeader, c.status.Term, c.status.AppliedIndex = basic.Lead, c.isLeader(), basic.HardState.GetTerm(), c.state.Index()
	c.emit(c.status)
	c.status.Voters = slices.Sorted(maps.Keys(c.node.Status().Config.Voters.IDs()))
	actions := c.actions
	c.actions = nil
	return actions, c.nextTick
}

func (c *Voter) isLeader() bool { return c.node.BasicStatus().RaftState == raft.StateLeader }

// lastEntry is where the own log ends.
func (c *Voter) lastEntry() (term, index uint64) {
	index, _ = c.storage.LastIndex()
	term, _ = c.storage.Term(index)
	return term, index
}

func (c *Voter) handle(now time.Duration, e any) {
	switch e := e.(type) {
	case MessageReceived:
		m := e.Message
		switch m.GetType() {
		case raftpb.MsgVote, raftpb.MsgPreVote:
			if !c.start.upToDate(m.GetLogTerm(), m.GetIndex()) {
				return
			}
		case raftpb.MsgTimeoutNow:
			if !c.start.upToDate(c.lastEntry()) {
				return
			}
		}
		c.node.Step(m) // what does not fit is dropped
	case CommandSubmitted:
		c.submit(e)
	case LeaseRequested:
		if !c.isLeader() || c.granter == nil {
			c.emit(Reply{e.ReplyTo, ErrNotLeader})
			return
		}
		if len(c.pendingReads) >= maxPendingReads {
			c.emit(Reply{e.ReplyTo, errors.New("too many questions wait")})
			return
		}
		if m := c.state.Member(e.Request.Name); m.GetRemoved() {
			c.emit(Reply{e.ReplyTo, fmt.Errorf("%s was declared gone for good", m.Name)})
			return
		}
		who := lease.HolderID{Name: e.Request.Name, Incarnation: e.Request.Incarnation}
		c.granter.RecordRequest(who, e.Request.ActingIndex)
		if e.Request.Address != "" {
			c.addresses[who] = e.Request.Address
		}
		for _, s := range e.Request.Staged {
			c.policyCoordinator.RecordStaged(who, s.ChangeId, s.Rejection)
		}
		c.pendingReads[c.lastRead+1] = append(c.pendingReads[c.lastRead+1], e)
	case HandshakeRequested:
		reply := &pb.HelloReply{Term: c.node.BasicStatus().HardState.GetTerm()}
		reply.LastTerm, reply.LastIndex = c.lastEntry()
		if c.isLeader() {
			reply.MatchIndex = c.node.Status().Progress[e.VoterID].Match
		}
		c.emit(Reply{e.ReplyTo, reply})
	case VoterChangeRequested:
		c.changeVoters(e)
	case PeerUnreachable:
		c.node.ReportUnreachable(e.VoterID)
	case LeadershipTransferRequested:
		c.transferLeadership()
	}
}

func (c *Voter) submit(e CommandSubmitted) {
	if !c.isLeader() {
		c.emit(Reply{e.ReplyTo, ErrNotLeader})
		return
	}
	if why := c.state.CheckKind(e.Command.Kind); why != "" {
		c.emit(Reply{e.ReplyTo, &pb.SubmitReply{Rejection: why}})
		return
	}
	raw, err := proto.Marshal(e.Command)
	if err == nil && len(raw) > maxCommandBytes {
		err = fmt.Errorf("a command of %d bytes; %d are the most", len(raw), maxCommandBytes)
	}
	if err == nil {
		err = c.node.Propose(raw)
	}
	if errors.Is(err, raft.ErrProposalDropped) {
		err = ErrNotLeader
	}
	if err != nil {
		c.emit(Reply{e.ReplyTo, err})
		return
	}
	if e.Command.Session != 0 {
		c.pendingCommands[[2]uint64{e.Command.Session, e.Command.Sequence}] = e.ReplyTo
	}
}
