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

// StoredLog is what a voter's folder holds.
type StoredLog struct {
	HardState *raftpb.HardState
	ConfState *raftpb.ConfState // if there is no snapshot yet: the first voters
	Snapshot  *raftpb.Snapshot  // nil: none
	Entries   []*raftpb.Entry   // behind the snapshot's place in the log, or behind Base
	BaseIndex uint64            // index before the first of Entries
	BaseTerm  uint64
}

// Position is what hello goes by.
func (s *StoredLog) Position() StoredPosition {
	f := StoredPosition{Term: s.HardState.GetTerm(), Vote: s.HardState.GetVote(), LastIndex: s.BaseIndex, LastTerm: s.BaseTerm}
	if n := len(s.Entries); n > 0 {
		f.LastIndex, f.LastTerm = s.Entries[n-1].GetIndex(), s.Entries[n-1].GetTerm()
	}
	return f
}

// Events of a Core.
type (
	// MessageReceived is a message of another voter.
	MessageReceived struct{ Message *raftpb.Message }
	// CommandSubmitted is a command; it is answered when the log has it.
	CommandSubmitted struct {
		ReplyTo uint64
		Command *pb.Command
	}
	// LeaseRequested is a question for a lease.
	LeaseRequested struct {
		ReplyTo uint64
		Request *pb.LeaseRequest
	}
	// HandshakeRequested is another voter's.
	HandshakeRequested struct {
		ReplyTo uint64
		VoterID uint64
	}
	// VoterChangeRequested changes who keeps the log, by a joint change: those added are told everything before they count.
	VoterChangeRequested struct {
		ReplyTo uint64
		Command *pb.Command // of KindVoters
	}
	// PeerUnreachable is that messages to a voter are lost.
	PeerUnreachable struct{ VoterID uint64 }
	// LeadershipTransferRequested lets another voter lead, before a planned stop.
	LeadershipTransferRequested struct{}
)

// Actions of a Core, to be carried out in their order.
type (
	// Persist goes to the disk, and is there before anything behind it is done.
	Persist struct {
		HardState  *raftpb.HardState
		ConfState  *raftpb.ConfState
		Entries    []*raftpb.Entry
		Snapshot   *raftpb.Snapshot
		CompactTo  uint64 // entries up to here go
		ReplaceLog bool   // the snapshot came from another voter: all entries go
	}
	// SendMessage goes to another voter.
	SendMessage struct{ Message *raftpb.Message }
	// Reply is for who asked.
	Reply struct {
		To    uint64
		Value any // *pb.SubmitReply, *pb.AskReply, *pb.HelloReply, or an error
	}
	// Committed is what is agreed now, for those that follow.
	Committed struct {
		Entries  []*pb.Entry
		Snapshot []byte // in place of all before it
	}
	// Status is how the voter stands.
	Status struct {
		Leader       uint64 // 0: none is known
		IsLeader     bool
		Term         uint64
		AppliedIndex uint64
		Voters       []uint64
		WaitingOn    []fleetpolicy.PendingSender // of the open change, at the one that leads
		Leases       []lease.ActiveLease         // at the one that leads
	}
)

// ErrNotLeader is that another voter leads, or none does.
var ErrNotLeader = errors.New("another voter leads, or none does")

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

// proposeOwn hands in a command of the leader's own.
func (c *Voter) proposeOwn(kind uint32, p proto.Message) {
	body, err := proto.Marshal(p)
	mustSucceed(err)
	raw, err := proto.Marshal(&pb.Command{Kind: kind, Body: body})
	mustSucceed(err)
	c.node.Propose(raw) // what is dropped is given again
}

// stepMembership hands in who takes part in rosters, as leases come and lapse.
func (c *Voter) stepMembership(now time.Duration) {
	var here []coordinator.Participant
	for _, h := range c.status.Leases {
		if at := c.addresses[h.HolderID]; at != "" {
			here = append(here, coordinator.Participant{HolderID: h.HolderID, Address: at})
		}
	}
	if len(c.addresses) > 2*len(c.status.Leases)+16 { // of those that have gone
		maps.DeleteFunc(c.addresses, func(w lease.HolderID, _ string) bool {
			return !slices.ContainsFunc(c.status.Leases, func(h lease.ActiveLease) bool { return h.HolderID == w })
		})
	}
	if cmd := c.membershipCoordinator.Step(now, c.membership.State(), c.granter, here); cmd != nil && c.state.CheckKind(KindMembership) == "" {
		c.proposeOwn(KindMembership, cmd)
		c.processReady(now)
	}
}

// transferLeadership gives the lead to the voter that has most of the log.
func (c *Voter) transferLeadership() {
	if !c.isLeader() {
		return
	}
	best, match := uint64(0), uint64(0)
	for id, p := range c.node.Status().Progress {
		if id != c.id && !p.IsLearner && p.RecentActive && p.Match >= match {
			best, match = id, p.Match
		}
	}
	if best != 0 {
		c.node.TransferLeader(best)
	}
}

// changeVoters begins a joint change of voters. Its context tells their names and addresses.
func (c *Voter) changeVoters(e VoterChangeRequested) {
	if !c.isLeader() {
		c.emit(Reply{e.ReplyTo, ErrNotLeader})
		return
	}
	if done, ok := c.state.Outcome(e.Command.Session, e.Command.Sequence); ok { // its answer was lost
		c.emit(Reply{e.ReplyTo, &pb.SubmitReply{Index: done.Index, Result: done.Result, Rejection: done.Rejection}})
		return
	}
	v := &pb.VoterChange{}
	if err := proto.Unmarshal(e.Command.Body, v); err != nil {
		c.emit(Reply{e.ReplyTo, err})
		return
	}
	voters := map[uint64]bool{}
	for id := range c.node.Status().Config.Voters.IDs() {
		voters[id] = true
	}
	cc := &raftpb.ConfChangeV2{Transition: raftpb.ConfChangeTransitionAuto.Enum()}
	for _, a := range v.Add {
		switch was := c.state.voters[a.Id]; {
		case a.Id != VoterID(a.Name) || a.Name == "" || len(a.Name) > maxNameBytes:
			c.emit(Reply{e.ReplyTo, &pb.SubmitReply{Rejection: fmt.Sprintf("%q can't be a voter's name", a.Name)}})
			return
		case was != nil && was.Removed:
			c.emit(Reply{e.ReplyTo, &pb.SubmitReply{Rejection: a.Name + " was a voter and was removed: what it promised counts on, so a machine in its place needs a name of its own"}})
			return
		case voters[a.Id]:
			c.emit(Reply{e.ReplyTo, &pb.SubmitReply{Rejection: a.Name + " is a voter already"}})
			return
		}
		voters[a.Id] = true
		cc.Changes = append(cc.Changes, &raftpb.ConfChangeSingle{Type: raftpb.ConfChangeAddNode.Enum(), NodeId: new(a.Id)})
	}
	for _, name := range v.Remove {
		id := VoterID(name)
		if !voters[id] {
			c.emit(Reply{e.ReplyTo, &pb.SubmitReply{Rejection: fmt.Sprintf("%q is no voter", name)}})
			return
		}
		delete(voters, id)
		cc.Changes = append(cc.Changes, &raftpb.ConfChangeSingle{Type: raftpb.ConfChangeRemoveNode.Enum(), NodeId: new(id)})
	}
	if len(voters) == 0 || len(cc.Changes) == 0 {
		c.emit(Reply{e.ReplyTo, &pb.SubmitReply{Rejection: "a change of voters adds or removes some, and leaves one"}})
		return
	}
	var err error
	if cc.Context, err = proto.Marshal(e.Command); err == nil {
		err = c.node.ProposeConfChange(cc)
	}
	if err != nil {
		c.emit(Reply{e.ReplyTo, err})
		return
	}
	c.pendingCommands[[2]uint64{e.Command.Session, e.Command.Sequence}] = e.ReplyTo
}

// processReady takes from raft what it has for the disk, for others and for the state.
func (c *Voter) processReady(now time.Duration) {
	for {
		if len(c.pendingReads[c.lastRead+1]) > 0 && c.isLeader() {
			c.lastRead++
			c.node.ReadIndex(encodeReadID(c.lastRead))
		}
		if !c.node.HasReady() {
			return
		}
		rd := c.node.Ready()
		if rd.SoftState != nil {
			c.leadershipChanged(now)
		}
		if rd.Snapshot != nil && rd.Snapshot.GetMetadata().GetIndex() > 0 {
			c.restore(rd.Snapshot)
		}
		if !raft.IsEmptyHardState(rd.HardState) || len(rd.Entries) > 0 {
			mustSucceed(c.storage.Append(rd.Entries))
			if !raft.IsEmptyHardState(rd.HardState) {
				mustSucceed(c.storage.SetHardState(rd.HardState))
				c.hardState = rd.HardState
			}
			if rd.MustSync { // that more is committed is no promise: it goes along with the next one that is
				c.emit(Persist{HardState: c.hardState, Entries: rd.Entries})
			}
		}
		for _, m := range rd.Messages {
			c.emit(SendMessage{m})
		}
		c.apply(rd.CommittedEntries)
		for _, r := range rd.ReadStates {
			c.answerReads(now, decodeReadID(r.RequestCtx), r.Index)
		}
		c.node.Advance(rd)
		c.compact()
	}
}

func mustSucceed(err error) {
	if err != nil {
		panic(fmt.Sprintf("the fleet's log: %v", err))
	}
}

// leadershipChanged is that it leads, or does no longer.
func (c *Voter) leadershipChanged(now time.Duration) {
	term := c.node.BasicStatus().HardState.GetTerm()
	if c.isLeader() {
		if c.granter == nil || c.ledTerm != term {
			c.granter, c.policyCoordinator, c.ledTerm = lease.NewGranter(c.terms, now), &fleetpolicy.Coordinator{}, term
			c.membershipCoordinator, c.addresses = &coordinator.Coordinator{}, map[lease.HolderID]string{}
		}
		return
	}
	c.granter, c.policyCoordinator = nil, nil
	for _, asks := range c.pendingReads {
		for _, a := range asks {
			c.emit(Reply{a.ReplyTo, ErrNotLeader})
		}
	}
	clear(c.pendingReads)
	for _, to := range c.pendingCommands { // whether the log has it nobody knows: it is asked again, and counts once
		c.emit(Reply{to, ErrNotLeader})
	}
	clear(c.pendingCommands)
}

// answerReads is that it surely led after these questions came, and the index that all who ask now must come to.
func (c *Voter) answerReads(now time.Duration, read, index uint64) {
	for _, a := range c.pendingReads[read] {
		if c.granter == nil {
			c.emit(Reply{a.ReplyTo, ErrNotLeader})
			continue
		}
		who := lease.HolderID{Name: a.Request.Name, Incarnation: a.Request.Incarnation}
		if !c.policyCoordinator.MayGrant(who, a.Request.ActingIndex, c.policy.State()) || !coordinator.MayGrant(a.Request.ActingIndex, c.membership.State()) {
			c.emit(Reply{a.ReplyTo, &pb.LeaseReply{RequiredIndex: index, WaitingOn: c.waitingOn()}}) // a lease of no length
			continue
		}
		need := c.granter.Grant(who, index, now)
		c.emit(Reply{a.ReplyTo, &pb.LeaseReply{RequiredIndex: need, DurationUs: c.terms.Duration.Microseconds(), WaitingOn: c.waitingOn()}})
	}
	delete(c.pendingReads, read)
}

// waitingOn are those that the open change waits for, the first few.
func (c *Voter) waitingOn() (all []*pb.PendingSender) {
	for _, w := range c.status.WaitingOn[:min(len(c.status.WaitingOn), maxWaitingReported)] {
		all = append(all, &pb.PendingSender{Name: w.Name, Reason: w.Reason, RemainingUs: w.Remaining.Microseconds()})
	}
	return all
}

func (c *Voter) restore(s *raftpb.Snapshot) {
	mustSucceed(c.state.Restore(s.Data))
	c.confState = s.GetMetadata().GetConfState()
	mustSucceed(c.storage.ApplySnapshot(s))
	c.compactedTo = s.GetMetadata().GetIndex()
	c.emit(Persist{HardState: c.hardState, Snapshot: s, CompactTo: c.compactedTo, ReplaceLog: true})
	c.emit(Committed{Snapshot: s.Data})
}

func (c *Voter) apply(entries []*raftpb.Entry) {
	var told []*pb.Entry
	for _, e := range entries {
		raw := e.Data
		if e.GetType() != raftpb.EntryNormal {
			raw = c.reconfigure(e)
		}
		done, err := c.state.Apply(e.GetIndex(), e.GetTerm(), raw)
		mustSucceed(err)
		if to, ok := c.pendingCommands[[2]uint64{done.Session, done.Sequence}]; ok && done.Session != 0 {
			delete(c.pendingCommands, [2]uint64{done.Session, done.Sequence})
			c.emit(Reply{to, &pb.SubmitReply{Index: done.Index, Result: done.Result, Rejection: done.Rejection}})
		}
		told = append(told, &pb.Entry{Index: e.GetIndex(), Term: e.GetTerm(), Command: raw})
	}
	if len(told) > 0 {
		c.emit(Committed{Entries: told})
	}
}

// reconfigure takes a change of voters over, and gives the command that says so in the state.
func (c *Voter) reconfigure(e *raftpb.Entry) []byte {
	cc := &raftpb.ConfChangeV2{}
	if e.GetType() == raftpb.EntryConfChange {
		one := &raftpb.ConfChange{}
		mustSucceed(proto.Unmarshal(e.Data, one))
		cc = one.AsV2()
	} else {
		mustSucceed(proto.Unmarshal(e.Data, cc))
	}
	c.confState = c.node.ApplyConfChange(cc)
	c.emit(Persist{ConfState: c.confState})
	return cc.Context
}

// compact takes a snapshot now and then, and lets go of what lies before it.
func (c *Voter) compact() {
	applied := c.state.Index()
	if applied < c.compactedTo+snapshotInterval+entriesKept {
		return
	}
	raw, err := c.state.Snapshot()
	mustSucceed(err)
	snap, err := c.storage.CreateSnapshot(applied, c.confState, raw)
	mustSucceed(err)
	c.compactedTo = applied - entriesKept
	mustSucceed(c.storage.Compact(c.compactedTo))
	c.emit(Persist{HardState: c.hardState, Snapshot: snap, CompactTo: c.compactedTo})
}

func encodeReadID(n uint64) []byte {
	b := make([]byte, 8)
	for i := range b {
		b[i] = byte(n >> (8 * i))
	}
	return b
}

func decodeReadID(b []byte) (n uint64) {
	for i, o := range b {
		n |= uint64(o) << (8 * i)
	}
	return n
}
