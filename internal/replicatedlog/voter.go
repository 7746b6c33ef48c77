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
	// Tick is the step of raft's time, in which a leader sends heartbeats.
	Tick = 50 * time.Millisecond
	// ElectionTicks is the election time-out: a leader that is silent for so many to twice as many ticks is replaced.
	ElectionTicks = 10

	maxCatchUpTicks     = 2       // that one step makes up for after the voter stood still
	snapshotInterval    = 5000    // entries between snapshots
	retainedEntries     = 1000    // before a snapshot, for voters and followers that are a little behind
	maxMessageBytes     = 1 << 20 // of entries in one raft message
	maxUncommittedBytes = 8 << 20 // that a leader holds; beyond that commands are rejected
	maxInflightMessages = 256     // to one follower
	maxWaitingReported  = 20      // senders that a change waits for, in a lease reply
	maxPendingReads     = 4096    // lease requests that wait for the leader to be confirmed
)

// commandID is what tells commands of clients apart.
type commandID struct{ session, sequence uint64 }

// Voter is a raft voter as a state machine; see the package's comment for its contract. Only Step may be called once it runs.
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
	hardState       *raftpb.HardState // as of now; its commit index may be ahead of the stored one
	compactedTo     uint64            // entries up to here are in memory no more
	nextTick        time.Duration
	pendingCommands map[commandID]uint64 // whom to answer

	// Of a leader.
	granter               *lease.Granter // nil: it does not lead
	policyCoordinator     *fleetpolicy.Coordinator
	membershipCoordinator *coordinator.Coordinator
	addresses             map[lease.HolderID]string   // where those that asked are reached
	pendingReads          map[uint64][]LeaseRequested // by the linearizable read that confirms them
	lastRead              uint64
	ledTerm               uint64 // term in which it led last

	actions []VoterAction
	status  Status
}

// VoterConfig is what a voter starts from.
type VoterConfig struct {
	Name   string
	Stored *StoredLog
	Peers  map[string]PeerState // answers of all other voters to the handshake; nil: an operator vouches for Stored, or there are none
	Terms  lease.Terms
	Policy *fleetpolicy.Machine // empty; the voter's own from now on
	Logger raft.Logger          // of the raft library; nil: its default
}

// NewVoter makes a voter that goes on from what it has stored. Its first step persists the term and vote it starts with.
func NewVoter(cfg VoterConfig) (*Voter, StartState, error) {
	v := &Voter{id: VoterID(cfg.Name), terms: cfg.Terms, storage: raft.NewMemoryStorage(), policy: cfg.Policy,
		pendingCommands: map[commandID]uint64{}, pendingReads: map[uint64][]LeaseRequested{}}
	machines, membership, _ := newMachines(cfg.Policy)
	v.state, v.membership = NewState(machines), membership
	v.start = reconcile(v.id, cfg.Stored.Position(), cfg.Peers)
	v.hardState = &raftpb.HardState{Term: &v.start.Term, Vote: &v.start.Vote, Commit: new(cfg.Stored.HardState.GetCommit())}
	if err := v.load(cfg.Stored); err != nil {
		return nil, v.start, err
	}
	applied := v.state.Index()
	var err error
	v.node, err = raft.NewRawNode(&raft.Config{ID: v.id, ElectionTick: ElectionTicks, HeartbeatTick: 1, Storage: v.storage, Applied: applied,
		MaxSizePerMsg: maxMessageBytes, MaxUncommittedEntriesSize: maxUncommittedBytes, MaxInflightMsgs: maxInflightMessages, CheckQuorum: true, PreVote: true,
		DisableProposalForwarding: true, Logger: cfg.Logger})
	if err != nil {
		return nil, v.start, fmt.Errorf("raft: %w", err)
	}
	v.emit(Persist{HardState: v.hardState}) // the vote that is spent is on the disk before the first message
	if applied > 0 {
		raw, err := v.state.Snapshot()
		if err != nil {
			return nil, v.start, err
		}
		v.emit(Committed{Snapshot: raw})
	}
	return v, v.start, nil
}

// load fills state and raft's storage from what is stored.
func (v *Voter) load(stored *StoredLog) error {
	v.confState = stored.ConfState
	base := &raftpb.Snapshot{Metadata: &raftpb.SnapshotMetadata{ConfState: v.confState, Index: &stored.BaseIndex, Term: &stored.BaseTerm}}
	if stored.Snapshot != nil {
		if err := v.state.Restore(stored.Snapshot.Data); err != nil {
			return err
		}
		v.confState = stored.Snapshot.GetMetadata().GetConfState()
		base.Metadata.ConfState = v.confState
	}
	if stored.BaseIndex > 0 || v.confState != nil {
		if err := v.storage.ApplySnapshot(base); err != nil {
			return fmt.Errorf("the folder's log: %w", err)
		}
	}
	if err := v.storage.Append(stored.Entries); err != nil {
		return fmt.Errorf("the folder's log: %w", err)
	}
	if stored.Snapshot != nil { // it lies within the entries that are retained
		if _, err := v.storage.CreateSnapshot(v.state.Index(), v.confState, stored.Snapshot.Data); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
			return fmt.Errorf("the folder's snapshot: %w", err)
		}
	}
	v.compactedTo = stored.BaseIndex
	return v.storage.SetHardState(v.hardState)
}

func (v *Voter) emit(a VoterAction) { v.actions = append(v.actions, a) }

func (v *Voter) reply(to uint64, m proto.Message) { v.emit(Reply{To: to, Message: m}) }

func (v *Voter) replyError(to uint64, err error) { v.emit(Reply{To: to, Err: err}) }

// Step takes events in and returns what is to be done, and when it wants to be called at the latest. A log that can't be followed is a
// panic: the voter ends there.
func (v *Voter) Step(now time.Duration, events []VoterEvent) ([]VoterAction, time.Duration) {
	for _, e := range events {
		v.handle(e)
	}
	v.tick(now)
	v.processReady(now)
	v.stepLeader(now)
	basic := v.node.BasicStatus()
	v.status.Leader, v.status.IsLeader, v.status.Term, v.status.AppliedIndex = basic.Lead, v.isLeader(), basic.HardState.GetTerm(), v.state.Index()
	v.emit(v.status)
	v.status.Voters = slices.Sorted(maps.Keys(v.node.Status().Config.Voters.IDs()))
	actions := v.actions
	v.actions = nil
	return actions, v.nextTick
}

// tick moves raft's time on. After the voter stood still, for its disk perhaps, it makes up for a few ticks only: the rest was no
// silence of its peers. A voter whose log has not reached the handshake's minimum does not tick, so it is no candidate.
func (v *Voter) tick(now time.Duration) {
	if v.nextTick == 0 {
		v.nextTick = now
	}
	v.nextTick = max(v.nextTick, now-maxCatchUpTicks*Tick)
	for ; now >= v.nextTick; v.nextTick += Tick {
		if v.isLeader() || v.start.upToDate(v.lastEntry()) {
			v.node.Tick()
		}
	}
}

func (v *Voter) isLeader() bool { return v.node.BasicStatus().RaftState == raft.StateLeader }

// lastEntry is where the own log ends. Raft's storage always knows its last index and that entry's term.
func (v *Voter) lastEntry() (term, index uint64) {
	index, _ = v.storage.LastIndex()
	term, _ = v.storage.Term(index)
	return term, index
}

func (v *Voter) handle(event VoterEvent) {
	switch e := event.(type) {
	case MessageReceived:
		v.handleMessage(e.Message)
	case CommandSubmitted:
		v.submit(e)
	case LeaseRequested:
		v.handleLeaseRequest(e)
	case HandshakeRequested:
		v.handleHandshake(e)
	case VoterChangeRequested:
		v.changeVoters(e)
	case PeerUnreachable:
		v.node.ReportUnreachable(e.VoterID)
	case LeadershipTransferRequested:
		v.transferLeadership()
	}
}

// handleMessage passes a message on to raft, but for those that would have it vote for a log, or be a candidate with one, that ends
// before the handshake's minimum.
func (v *Voter) handleMessage(m *raftpb.Message) {
	switch m.GetType() {
	case raftpb.MsgVote, raftpb.MsgPreVote:
		if !v.start.upToDate(m.GetLogTerm(), m.GetIndex()) {
			return
		}
	case raftpb.MsgTimeoutNow:
		if !v.start.upToDate(v.lastEntry()) {
			return
		}
	default:
	}
	_ = v.node.Step(m) // raft drops what does not fit, as the network might have
}

func (v *Voter) handleHandshake(e HandshakeRequested) {
	reply := &pb.HelloReply{Term: v.node.BasicStatus().HardState.GetTerm()}
	reply.LastTerm, reply.LastIndex = v.lastEntry()
	if v.isLeader() {
		reply.MatchIndex = v.node.Status().Progress[e.VoterID].Match
	}
	v.reply(e.ReplyTo, reply)
}

// submit proposes a client's command.
func (v *Voter) submit(e CommandSubmitted) {
	if !v.isLeader() {
		v.replyError(e.ReplyTo, ErrNotLeader)
		return
	}
	if reason := v.state.CheckKind(e.Command.Kind); reason != "" {
		v.reply(e.ReplyTo, &pb.SubmitReply{Rejection: reason})
		return
	}
	if err := v.propose(e.Command); err != nil {
		v.replyError(e.ReplyTo, err)
		return
	}
	if e.Command.Session != 0 {
		v.pendingCommands[commandID{e.Command.Session, e.Command.Sequence}] = e.ReplyTo
	}
}

func (v *Voter) propose(c *pb.Command) error {
	raw, err := proto.Marshal(c)
	if err != nil {
		return err
	}
	if len(raw) > maxCommandBytes {
		return &CommandTooLargeError{Bytes: len(raw)}
	}
	err = v.node.Propose(raw)
	if errors.Is(err, raft.ErrProposalDropped) {
		return ErrNotLeader
	}
	return err
}
