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

	snapshotEvery = 5000    // entries between snapshots
	snapshotKeep  = 1000    // entries kept in front of one, for voters and followers that are a little behind
	messageMost   = 1 << 20 // bytes of entries in one message
	uncommitted   = 8 << 20 // bytes that a leader holds uncommitted; beyond that commands are turned away
	waitsTold     = 20      // of those that a change waits for, to each who asks
	asksMost      = 4096    // questions that wait to be confirmed
)

// Saved is what a voter's folder holds.
type Saved struct {
	Hard     *raftpb.HardState
	Conf     *raftpb.ConfState // if there is no snapshot yet: the first voters
	Snapshot *raftpb.Snapshot  // nil: none
	Entries  []*raftpb.Entry   // behind the snapshot's place in the log, or behind Base
	Base     uint64            // index before the first of Entries
	BaseTerm uint64
}

// Folder is what hello goes by.
func (s *Saved) Folder() Folder {
	f := Folder{Term: s.Hard.GetTerm(), Vote: s.Hard.GetVote(), Last: s.Base, LastTerm: s.BaseTerm}
	if n := len(s.Entries); n > 0 {
		f.Last, f.LastTerm = s.Entries[n-1].GetIndex(), s.Entries[n-1].GetTerm()
	}
	return f
}

// Events of a Core.
type (
	// Packet is a message of another voter.
	Packet struct{ Message *raftpb.Message }
	// Submit is a command; it is answered when the log has it.
	Submit struct {
		To      uint64
		Command *pb.Command
	}
	// Ask is a question for a lease.
	Ask struct {
		To      uint64
		Request *pb.LeaseRequest
	}
	// Hello is another voter's.
	Hello struct {
		To uint64
		ID uint64
	}
	// Voters changes who keeps the log, by a joint change: those added are told everything before they count.
	Voters struct {
		To      uint64
		Command *pb.Command // of KindVoters
	}
	// Unreachable is that messages to a voter are lost.
	Unreachable struct{ ID uint64 }
	// HandOn lets another voter lead, before a planned stop.
	HandOn struct{}
)

// Actions of a Core, to be carried out in their order.
type (
	// Save goes to the disk, and is there before anything behind it is done.
	Save struct {
		Hard     *raftpb.HardState
		Conf     *raftpb.ConfState
		Entries  []*raftpb.Entry
		Snapshot *raftpb.Snapshot
		Cut      uint64 // entries up to here go
		Whole    bool   // the snapshot came from another voter: all entries go
	}
	// Send goes to another voter.
	Send struct{ Message *raftpb.Message }
	// Answer is for who asked.
	Answer struct {
		To   uint64
		What any // *pb.SubmitReply, *pb.AskReply, *pb.HelloReply, or an error
	}
	// Commit is what is agreed now, for those that follow.
	Commit struct {
		Entries  []*pb.Entry
		Snapshot []byte // in place of all before it
	}
	// Status is how the voter stands.
	Status struct {
		Leader  uint64 // 0: none is known
		Leads   bool
		Term    uint64
		Applied uint64
		Voters  []uint64
		Waits   []fleetpolicy.Waiting // of the open change, at the one that leads
		Holds   []lease.Holding       // at the one that leads
	}
)

// ErrNotLeading is that another voter leads, or none does.
var ErrNotLeading = errors.New("another voter leads, or none does")

// Core is a voter.
type Core struct {
	id      uint64
	terms   lease.Terms
	start   Start
	rn      *raft.RawNode
	mem     *raft.MemoryStorage
	state   *State
	policy  *fleetpolicy.Machine
	roster  *coordinator.Machine
	conf    *raftpb.ConfState
	hard    *raftpb.HardState // as of now; its commit may be ahead of the disk's
	cut     uint64            // entries up to here are in no memory any more
	tick    time.Duration
	waiting map[[2]uint64]uint64 // who waits for a command, by session and sequence

	// While it leads.
	granter *lease.Granter
	coord   *fleetpolicy.Coordinator
	rosters *coordinator.Coordinator
	places  map[lease.Who]string // where those who asked are reached
	asks    map[uint64][]Ask     // by the read that confirms them
	read    uint64
	led     uint64 // term in which it led last

	actions []any
	status  Status
}

// NewCore makes a voter that goes on from its folder. heard are the answers of all others to its hello; nil if somebody
// vouches for the folder, or there are no others.
func NewCore(name string, saved *Saved, heard map[string]Heard, terms lease.Terms, policy *fleetpolicy.Machine, log raft.Logger) (*Core, Start, error) {
	c := &Core{id: VoterID(name), terms: terms, mem: raft.NewMemoryStorage(), policy: policy, waiting: map[[2]uint64]uint64{}, asks: map[uint64][]Ask{}}
	all, r, _ := machines(policy)
	c.state, c.roster = NewState(all), r
	c.start = begin(c.id, saved.Folder(), heard)
	hard := &raftpb.HardState{Term: &c.start.Term, Vote: &c.start.Vote, Commit: new(saved.Hard.GetCommit())}
	c.conf = saved.Conf
	base := &raftpb.Snapshot{Metadata: &raftpb.SnapshotMetadata{ConfState: c.conf, Index: &saved.Base, Term: &saved.BaseTerm}}
	applied := uint64(0)
	if saved.Snapshot != nil {
		if err := c.state.Restore(saved.Snapshot.Data); err != nil {
			return nil, c.start, err
		}
		applied = c.state.Index()
		c.conf = saved.Snapshot.GetMetadata().GetConfState()
		base.Metadata.ConfState = c.conf
	}
	if saved.Base > 0 || c.conf != nil {
		if err := c.mem.ApplySnapshot(base); err != nil {
			return nil, c.start, fmt.Errorf("the folder's log: %w", err)
		}
	}
	if err := c.mem.Append(saved.Entries); err != nil {
		return nil, c.start, fmt.Errorf("the folder's log: %w", err)
	}
	if saved.Snapshot != nil { // it lies within the entries that are kept
		if _, err := c.mem.CreateSnapshot(applied, c.conf, saved.Snapshot.Data); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
			return nil, c.start, fmt.Errorf("the folder's snapshot: %w", err)
		}
	}
	if err := c.mem.SetHardState(hard); err != nil {
		return nil, c.start, err
	}
	c.cut = saved.Base
	var err error
	c.rn, err = raft.NewRawNode(&raft.Config{ID: c.id, ElectionTick: ElectionTicks, HeartbeatTick: 1, Storage: c.mem, Applied: applied,
		MaxSizePerMsg: messageMost, MaxUncommittedEntriesSize: uncommitted, MaxInflightMsgs: 256, CheckQuorum: true, PreVote: true,
		DisableProposalForwarding: true, Logger: log})
	if err != nil {
		return nil, c.start, fmt.Errorf("raft: %w", err)
	}
	c.hard = hard
	c.do(Save{Hard: hard}) // the vote that is spent stands on the disk before the first word
	if applied > 0 {
		raw, err := c.state.Snapshot()
		if err != nil {
			return nil, c.start, err
		}
		c.do(Commit{Snapshot: raw})
	}
	return c, c.start, nil
}

func (c *Core) do(a any) { c.actions = append(c.actions, a) }

// Step takes events in and gives what is to be done. A log that can't be followed is a panic: the voter ends there.
func (c *Core) Step(now time.Duration, events []any) ([]any, time.Duration) {
	for _, e := range events {
		c.take(now, e)
	}
	if c.tick == 0 {
		c.tick = now
	}
	if most := now - 2*Tick; c.tick < most { // it stood still, for its disk perhaps: what it missed meanwhile is no silence of the others
		c.tick = most
	}
	for ; now >= c.tick; c.tick += Tick {
		// One that has not come to the bar does not stand; its time goes on as soon as it has.
		if c.leads() || c.start.over(c.last()) {
			c.rn.Tick()
		}
	}
	c.drive(now)
	if c.leads() && c.granter != nil {
		if cmd, waits := c.coord.Step(now, c.policy.State(), c.granter); cmd != nil {
			c.own(KindPolicy, cmd)
			c.drive(now)
		} else {
			c.status.Waits = waits
		}
		c.status.Holds = c.granter.Holders(now)
		c.comeAndGo(now)
	} else {
		c.status.Waits, c.status.Holds = nil, nil
	}
	basic := c.rn.BasicStatus()
	c.status.Leader, c.status.Leads, c.status.Term, c.status.Applied = basic.Lead, c.leads(), basic.HardState.GetTerm(), c.state.Index()
	c.do(c.status)
	c.status.Voters = slices.Sorted(maps.Keys(c.rn.Status().Config.Voters.IDs()))
	actions := c.actions
	c.actions = nil
	return actions, c.tick
}

func (c *Core) leads() bool { return c.rn.BasicStatus().RaftState == raft.StateLeader }

// last is where the own log ends.
func (c *Core) last() (term, index uint64) {
	index, _ = c.mem.LastIndex()
	term, _ = c.mem.Term(index)
	return term, index
}

func (c *Core) take(now time.Duration, e any) {
	switch e := e.(type) {
	case Packet:
		m := e.Message
		switch m.GetType() {
		case raftpb.MsgVote, raftpb.MsgPreVote:
			if !c.start.over(m.GetLogTerm(), m.GetIndex()) {
				return
			}
		case raftpb.MsgTimeoutNow:
			if !c.start.over(c.last()) {
				return
			}
		}
		c.rn.Step(m) // what does not fit is dropped
	case Submit:
		c.submit(e)
	case Ask:
		if !c.leads() || c.granter == nil {
			c.do(Answer{e.To, ErrNotLeading})
			return
		}
		if len(c.asks) >= asksMost {
			c.do(Answer{e.To, errors.New("too many questions wait")})
			return
		}
		if m := c.state.Member(e.Request.Name); m.GetRemoved() {
			c.do(Answer{e.To, fmt.Errorf("%s was declared gone for good", m.Name)})
			return
		}
		who := lease.Who{Name: e.Request.Name, Life: e.Request.Incarnation}
		c.granter.Asked(who, e.Request.ActingIndex)
		if e.Request.Address != "" {
			c.places[who] = e.Request.Address
		}
		for _, s := range e.Request.Staged {
			c.coord.Told(who, s.ChangeId, s.Rejection)
		}
		c.asks[c.read+1] = append(c.asks[c.read+1], e)
	case Hello:
		reply := &pb.HelloReply{Term: c.rn.BasicStatus().HardState.GetTerm()}
		reply.LastTerm, reply.LastIndex = c.last()
		if c.leads() {
			reply.MatchIndex = c.rn.Status().Progress[e.ID].Match
		}
		c.do(Answer{e.To, reply})
	case Voters:
		c.change(e)
	case Unreachable:
		c.rn.ReportUnreachable(e.ID)
	case HandOn:
		c.handOn()
	}
}

func (c *Core) submit(e Submit) {
	if !c.leads() {
		c.do(Answer{e.To, ErrNotLeading})
		return
	}
	if why := c.state.Speak(e.Command.Kind); why != "" {
		c.do(Answer{e.To, &pb.SubmitReply{Rejection: why}})
		return
	}
	raw, err := proto.Marshal(e.Command)
	if err == nil && len(raw) > commandMost {
		err = fmt.Errorf("a command of %d bytes; %d are the most", len(raw), commandMost)
	}
	if err == nil {
		err = c.rn.Propose(raw)
	}
	if errors.Is(err, raft.ErrProposalDropped) {
		err = ErrNotLeading
	}
	if err != nil {
		c.do(Answer{e.To, err})
		return
	}
	if e.Command.Session != 0 {
		c.waiting[[2]uint64{e.Command.Session, e.Command.Sequence}] = e.To
	}
}

// own hands in a command of the leader's own.
func (c *Core) own(kind uint32, p proto.Message) {
	body, err := proto.Marshal(p)
	must(err)
	raw, err := proto.Marshal(&pb.Command{Kind: kind, Body: body})
	must(err)
	c.rn.Propose(raw) // what is dropped is given again
}

// comeAndGo hands in who takes part in rosters, as leases come and lapse.
func (c *Core) comeAndGo(now time.Duration) {
	var here []coordinator.Part
	for _, h := range c.status.Holds {
		if at := c.places[h.Who]; at != "" {
			here = append(here, coordinator.Part{Who: h.Who, Address: at})
		}
	}
	if len(c.places) > 2*len(c.status.Holds)+16 { // of those that have gone
		maps.DeleteFunc(c.places, func(w lease.Who, _ string) bool {
			return !slices.ContainsFunc(c.status.Holds, func(h lease.Holding) bool { return h.Who == w })
		})
	}
	if cmd := c.rosters.Step(now, c.roster.State(), c.granter, here); cmd != nil && c.state.Speak(KindRoster) == "" {
		c.own(KindRoster, cmd)
		c.drive(now)
	}
}

// handOn gives the lead to the voter that has most of the log.
func (c *Core) handOn() {
	if !c.leads() {
		return
	}
	best, match := uint64(0), uint64(0)
	for id, p := range c.rn.Status().Progress {
		if id != c.id && !p.IsLearner && p.RecentActive && p.Match >= match {
			best, match = id, p.Match
		}
	}
	if best != 0 {
		c.rn.TransferLeader(best)
	}
}

// change begins a joint change of voters. Its context tells their names and addresses.
func (c *Core) change(e Voters) {
	if !c.leads() {
		c.do(Answer{e.To, ErrNotLeading})
		return
	}
	if done, ok := c.state.Done(e.Command.Session, e.Command.Sequence); ok { // its answer was lost
		c.do(Answer{e.To, &pb.SubmitReply{Index: done.Index, Result: done.Result, Rejection: done.Refused}})
		return
	}
	v := &pb.VoterChange{}
	if err := proto.Unmarshal(e.Command.Body, v); err != nil {
		c.do(Answer{e.To, err})
		return
	}
	voters := map[uint64]bool{}
	for id := range c.rn.Status().Config.Voters.IDs() {
		voters[id] = true
	}
	cc := &raftpb.ConfChangeV2{Transition: raftpb.ConfChangeTransitionAuto.Enum()}
	for _, a := range v.Add {
		switch was := c.state.voters[a.Id]; {
		case a.Id != VoterID(a.Name) || a.Name == "" || len(a.Name) > nameMost:
			c.do(Answer{e.To, &pb.SubmitReply{Rejection: fmt.Sprintf("%q can't be a voter's name", a.Name)}})
			return
		case was != nil && was.Removed:
			c.do(Answer{e.To, &pb.SubmitReply{Rejection: a.Name + " was a voter and was removed: what it promised counts on, so a machine in its place needs a name of its own"}})
			return
		case voters[a.Id]:
			c.do(Answer{e.To, &pb.SubmitReply{Rejection: a.Name + " is a voter already"}})
			return
		}
		voters[a.Id] = true
		cc.Changes = append(cc.Changes, &raftpb.ConfChangeSingle{Type: raftpb.ConfChangeAddNode.Enum(), NodeId: new(a.Id)})
	}
	for _, name := range v.Remove {
		id := VoterID(name)
		if !voters[id] {
			c.do(Answer{e.To, &pb.SubmitReply{Rejection: fmt.Sprintf("%q is no voter", name)}})
			return
		}
		delete(voters, id)
		cc.Changes = append(cc.Changes, &raftpb.ConfChangeSingle{Type: raftpb.ConfChangeRemoveNode.Enum(), NodeId: new(id)})
	}
	if len(voters) == 0 || len(cc.Changes) == 0 {
		c.do(Answer{e.To, &pb.SubmitReply{Rejection: "a change of voters adds or removes some, and leaves one"}})
		return
	}
	var err error
	if cc.Context, err = proto.Marshal(e.Command); err == nil {
		err = c.rn.ProposeConfChange(cc)
	}
	if err != nil {
		c.do(Answer{e.To, err})
		return
	}
	c.waiting[[2]uint64{e.Command.Session, e.Command.Sequence}] = e.To
}

// drive takes from raft what it has for the disk, for others and for the state.
func (c *Core) drive(now time.Duration) {
	for {
		if len(c.asks[c.read+1]) > 0 && c.leads() {
			c.read++
			c.rn.ReadIndex(binaryID(c.read))
		}
		if !c.rn.HasReady() {
			return
		}
		rd := c.rn.Ready()
		if rd.SoftState != nil {
			c.turned(now)
		}
		if rd.Snapshot != nil && rd.Snapshot.GetMetadata().GetIndex() > 0 {
			c.restore(rd.Snapshot)
		}
		if !raft.IsEmptyHardState(rd.HardState) || len(rd.Entries) > 0 {
			must(c.mem.Append(rd.Entries))
			if !raft.IsEmptyHardState(rd.HardState) {
				must(c.mem.SetHardState(rd.HardState))
				c.hard = rd.HardState
			}
			if rd.MustSync { // that more is committed is no promise: it goes along with the next one that is
				c.do(Save{Hard: c.hard, Entries: rd.Entries})
			}
		}
		for _, m := range rd.Messages {
			c.do(Send{m})
		}
		c.apply(rd.CommittedEntries)
		for _, r := range rd.ReadStates {
			c.confirmed(now, idOf(r.RequestCtx), r.Index)
		}
		c.rn.Advance(rd)
		c.compact()
	}
}

func must(err error) {
	if err != nil {
		panic(fmt.Sprintf("the fleet's log: %v", err))
	}
}

// turned is that it leads, or does no longer.
func (c *Core) turned(now time.Duration) {
	term := c.rn.BasicStatus().HardState.GetTerm()
	if c.leads() {
		if c.granter == nil || c.led != term {
			c.granter, c.coord, c.led = lease.NewGranter(c.terms, now), &fleetpolicy.Coordinator{}, term
			c.rosters, c.places = &coordinator.Coordinator{}, map[lease.Who]string{}
		}
		return
	}
	c.granter, c.coord = nil, nil
	for _, asks := range c.asks {
		for _, a := range asks {
			c.do(Answer{a.To, ErrNotLeading})
		}
	}
	clear(c.asks)
	for _, to := range c.waiting { // whether the log has it nobody knows: it is asked again, and counts once
		c.do(Answer{to, ErrNotLeading})
	}
	clear(c.waiting)
}

// confirmed is that it surely led after these questions came, and the index that all who ask now must come to.
func (c *Core) confirmed(now time.Duration, read, index uint64) {
	for _, a := range c.asks[read] {
		if c.granter == nil {
			c.do(Answer{a.To, ErrNotLeading})
			continue
		}
		who := lease.Who{Name: a.Request.Name, Life: a.Request.Incarnation}
		if !c.coord.Grants(who, a.Request.ActingIndex, c.policy.State()) || !coordinator.Grants(a.Request.ActingIndex, c.roster.State()) {
			c.do(Answer{a.To, &pb.LeaseReply{RequiredIndex: index, WaitingOn: c.waits()}}) // a lease of no length
			continue
		}
		need := c.granter.Grant(who, index, now)
		c.do(Answer{a.To, &pb.LeaseReply{RequiredIndex: need, DurationUs: c.terms.Length.Microseconds(), WaitingOn: c.waits()}})
	}
	delete(c.asks, read)
}

// waits are those that the open change waits for, the first few.
func (c *Core) waits() (all []*pb.PendingSender) {
	for _, w := range c.status.Waits[:min(len(c.status.Waits), waitsTold)] {
		all = append(all, &pb.PendingSender{Name: w.Name, Reason: w.For, RemainingUs: w.Left.Microseconds()})
	}
	return all
}

func (c *Core) restore(s *raftpb.Snapshot) {
	must(c.state.Restore(s.Data))
	c.conf = s.GetMetadata().GetConfState()
	must(c.mem.ApplySnapshot(s))
	c.cut = s.GetMetadata().GetIndex()
	c.do(Save{Hard: c.hard, Snapshot: s, Cut: c.cut, Whole: true})
	c.do(Commit{Snapshot: s.Data})
}

func (c *Core) apply(entries []*raftpb.Entry) {
	var told []*pb.Entry
	for _, e := range entries {
		raw := e.Data
		if e.GetType() != raftpb.EntryNormal {
			raw = c.reconfigure(e)
		}
		done, err := c.state.Apply(e.GetIndex(), e.GetTerm(), raw)
		must(err)
		if to, ok := c.waiting[[2]uint64{done.Session, done.Sequence}]; ok && done.Session != 0 {
			delete(c.waiting, [2]uint64{done.Session, done.Sequence})
			c.do(Answer{to, &pb.SubmitReply{Index: done.Index, Result: done.Result, Rejection: done.Refused}})
		}
		told = append(told, &pb.Entry{Index: e.GetIndex(), Term: e.GetTerm(), Command: raw})
	}
	if len(told) > 0 {
		c.do(Commit{Entries: told})
	}
}

// reconfigure takes a change of voters over, and gives the command that says so in the state.
func (c *Core) reconfigure(e *raftpb.Entry) []byte {
	cc := &raftpb.ConfChangeV2{}
	if e.GetType() == raftpb.EntryConfChange {
		one := &raftpb.ConfChange{}
		must(proto.Unmarshal(e.Data, one))
		cc = one.AsV2()
	} else {
		must(proto.Unmarshal(e.Data, cc))
	}
	c.conf = c.rn.ApplyConfChange(cc)
	c.do(Save{Conf: c.conf})
	return cc.Context
}

// compact takes a snapshot now and then, and lets go of what lies before it.
func (c *Core) compact() {
	applied := c.state.Index()
	if applied < c.cut+snapshotEvery+snapshotKeep {
		return
	}
	raw, err := c.state.Snapshot()
	must(err)
	snap, err := c.mem.CreateSnapshot(applied, c.conf, raw)
	must(err)
	c.cut = applied - snapshotKeep
	must(c.mem.Compact(c.cut))
	c.do(Save{Hard: c.hard, Snapshot: snap, Cut: c.cut})
}

func binaryID(n uint64) []byte {
	b := make([]byte, 8)
	for i := range b {
		b[i] = byte(n >> (8 * i))
	}
	return b
}

func idOf(b []byte) (n uint64) {
	for i, o := range b {
		n |= uint64(o) << (8 * i)
	}
	return n
}
