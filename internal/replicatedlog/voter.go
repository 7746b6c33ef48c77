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
	// Tick is the length of a raft tick. A leader sends heartbeats at each tick.
	Tick = 50 * time.Millisecond
	// ElectionTicks is the minimum election time-out in ticks; each time-out is random, from this to twice as many ticks without a
	// message from the leader.
	ElectionTicks = 10

	maxCatchUpTicks     = 2       // that one step may run after the voter was stalled
	snapshotInterval    = 5000    // entries between snapshots
	retainedEntries     = 1000    // before a snapshot, for voters and followers that are a little behind
	maxMessageBytes     = 1 << 20 // of entries in one raft message
	maxUncommittedBytes = 8 << 20 // of entries at a leader; beyond that commands are rejected
	maxInflightMessages = 256     // to one follower
	maxWaitingReported  = 20      // senders that a change waits for, in a lease reply
	maxPendingReads     = 4096    // lease requests that wait for the leader to be confirmed
)

// commandID identifies a client's command.
type commandID struct{ session, sequence uint64 }

// Voter is a raft voter as a state machine; see the package comment for its contract. Once it runs, only Step may be called.
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
	compactedTo     uint64            // entries up to this index are no longer in memory
	nextTick        time.Duration
	pendingCommands map[commandID]uint64 // ReplyTo of the client that waits

	// Used while this voter leads.
	granter               *lease.Granter // nil: it does not lead
	policyCoordinator     *fleetpolicy.Coordinator
	membershipCoordinator *coordinator.Coordinator
	addresses             map[lease.HolderID]string   // of the senders that requested leases
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
	Peers  map[string]PeerState // answers of all other voters to the handshake; nil: an operator vouches for Stored, or there are no other voters
	Terms  lease.Terms
	Policy *fleetpolicy.Machine // empty; used only by the voter from now on
	Logger raft.Logger          // of the raft library; nil: its default
}

// NewVoter makes a voter that continues from its stored log. Its first step persists the term and vote that it starts with.
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
	v.emit(Persist{HardState: v.hardState}) // the start vote must be on the disk before the first message is sent
	if applied > 0 {
		raw, err := v.state.Snapshot()
		if err != nil {
			return nil, v.start, err
		}
		v.emit(Committed{Snapshot: raw})
	}
	return v, v.start, nil
}

// load fills the state and raft's storage from the stored log.
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
	if stored.Snapshot != nil { // its index lies within the retained entries
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

// Step handles events and returns the actions to carry out, and the latest time of the next call. It panics if the log can't be applied:
// the voter has to end then.
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

// tick advances raft's clock. After a stall of the voter, for example on its disk, it makes up for at most maxCatchUpTicks: the rest of
// that time must not count as time without messages from peers. A voter whose log has not reached the handshake's minimum does not tick,
// so it does not become a candidate.
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

// lastEntry is the term and index of this voter's last entry. Raft's in-memory storage always has both.
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

// handleMessage passes a message to raft. It drops vote requests of candidates whose log ends before the handshake's minimum, and
// requests to start an election while this voter's own log ends before it.
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
	_ = v.node.Step(m) // on an error raft has dropped the message, as the network might have
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
