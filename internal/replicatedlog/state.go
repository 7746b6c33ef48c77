// Package replicatedlog is what all senders of a fleet agree on: a log that a few of them, the voters, keep by raft
// (go.etcd.io/raft), and the state that its entries make, the same at each who has come as far.
//
// State, Core and Copy are free of I/O and clocks: they are given events with the time and give actions, in the order in which
// they are to be carried out. What stands on the disk and what goes over the network is package fleet's.
package replicatedlog

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"saffronyard.example/saffronyard/internal/coordinator"
	"saffronyard.example/saffronyard/internal/fleetpolicy"
	"saffronyard.example/saffronyard/internal/health"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// Kinds of command. A new one gets the next number, and a higher Speaks.
const (
	KindJoin       uint32 = 1
	KindLeave      uint32 = 2
	KindPolicy     uint32 = 3
	KindVoters     uint32 = 4 // with a change of raft's own
	KindMembership uint32 = 5
	KindHealth     uint32 = 6
)

// MaxCommandKind is up to which kind of command this program knows. A command of a higher kind is handed in only when all members
// speak it, and a program that meets one it does not know stops following the log.
const MaxCommandKind uint32 = 6

const (
	snapshotFormat  = 1
	maxSessions     = 1000    // of which the last result is remembered, those used last
	maxMembers      = 10_000  // that a fleet may have
	maxCommandBytes = 2 << 20 // bytes
	maxNameBytes    = 128     // bytes of a sender's name
)

// ErrUnknownCommand is that the log has a command of a kind that this program does not know. It must not go on as if it were not there.
var ErrUnknownCommand = errors.New("the fleet's log has a command that this program does not know: it needs a newer one")

// Machine is the part of the state that one kind of command works on. The same commands in the same order make the same state.
type Machine interface {
	// Apply carries out a command. refused says why it changed nothing; err is that it can't be read.
	Apply(index uint64, body []byte) (result []byte, refused string, err error)
	Snapshot() ([]byte, error)
	Restore([]byte) error
}

// State is the agreed state at an index.
type State struct {
	index, term uint64
	sessions    []*pb.Session // the one used last comes last
	members     map[string]*pb.Member
	voters      map[uint64]*pb.Voter
	machines    map[uint32]Machine
}

// Outcome is what became of a command.
type Outcome struct {
	Index     uint64
	Session   uint64
	Sequence  uint64
	Result    []byte
	Rejection string
}

// NewState makes the state before the first entry. machines are by kind.
func NewState(machines map[uint32]Machine) *State {
	return &State{members: map[string]*pb.Member{}, voters: map[uint64]*pb.Voter{}, machines: machines}
}

// machines are those of this program, that work on the policy given.
func machines(policy *fleetpolicy.Machine) (map[uint32]Machine, *coordinator.Machine, *health.Machine) {
	r := coordinator.NewMachine()
	v := health.NewMachine(func() uint64 { return r.State().GetEpoch() })
	return map[uint32]Machine{KindPolicy: policy, KindMembership: r, KindHealth: v}, r, v
}

// Index is how far the state has come.
func (s *State) Index() uint64 { return s.index }

// Apply carries out the entry behind the last one. An entry without a command counts all the same.
func (s *State) Apply(index, term uint64, raw []byte) (Outcome, error) {
	if index != s.index+1 {
		return Outcome{}, fmt.Errorf("entry %d can't follow entry %d", index, s.index)
	}
	done := Outcome{Index: index}
	if len(raw) > 0 {
		c := &pb.Command{}
		if err := proto.Unmarshal(raw, c); err != nil {
			return Outcome{}, fmt.Errorf("entry %d can't be read: %w", index, err)
		}
		var err error
		if done, err = s.applyCommand(index, c); err != nil {
			return Outcome{}, fmt.Errorf("entry %d: %w", index, err)
		}
	}
	s.index, s.term = index, term
	return done, nil
}

func (s *State) applyCommand(index uint64, c *pb.Command) (Outcome, error) {
	done := Outcome{Index: index, Session: c.Session, Sequence: c.Sequence}
	at := slices.IndexFunc(s.sessions, func(o *pb.Session) bool { return o.Id == c.Session })
	if c.Session != 0 && at >= 0 {
		o := s.sessions[at]
		switch {
		case c.Sequence == o.Sequence: // its answer was lost: it counts once
			done.Index, done.Result, done.Rejection = o.Index, o.Result, o.Rejection
			return done, nil
		case c.Sequence < o.Sequence:
			done.Rejection = fmt.Sprintf("command %d of a session that has come to %d", c.Sequence, o.Sequence)
			return done, nil
		}
	}
	var err error
	switch c.Kind {
	case KindJoin:
		done.Rejection, err = s.join(index, c.Body)
	case KindLeave:
		done.Rejection, err = s.leave(c.Body)
	case KindVoters:
		err = s.changeVoters(c.Body)
	default:
		m := s.machines[c.Kind]
		if m == nil {
			return done, fmt.Errorf("%w (kind %d; this one knows up to %d)", ErrUnknownCommand, c.Kind, MaxCommandKind)
		}
		done.Result, done.Rejection, err = m.Apply(index, c.Body)
	}
	if err != nil {
		return done, err
	}
	if c.Session != 0 {
		if at >= 0 {
			s.sessions = slices.Delete(s.sessions, at, at+1)
		} else if len(s.sessions) >= maxSessions {
			s.sessions = slices.Delete(s.sessions, 0, 1)
		}
		s.sessions = append(s.sessions, &pb.Session{Id: c.Session, Sequence: c.Sequence, Result: done.Result, Rejection: done.Rejection, Index: index})
	}
	return done, nil
}

// Outcome is what became of a session's last command, if it is that one.
func (s *State) Outcome(session, sequence uint64) (Outcome, bool) {
	for _, o := range s.sessions {
		if o.Id == session && o.Sequence == sequence {
			return Outcome{Index: o.Index, Session: session, Sequence: sequence, Result: o.Result, Rejection: o.Rejection}, true
		}
	}
	return Outcome{}, false
}

func (s *State) join(index uint64, body []byte) (refused string, err error) {
	j := &pb.Join{}
	if err := proto.Unmarshal(body, j); err != nil {
		return "", fmt.Errorf("a join can't be read: %w", err)
	}
	switch m := s.members[j.Name]; {
	case j.Name == "" || len(j.Name) > maxNameBytes:
		return fmt.Sprintf("a name has from 1 to %d bytes", maxNameBytes), nil
	case m != nil && m.Removed:
		return fmt.Sprintf("%s was declared gone for good: a machine that takes its place needs a name of its own", j.Name), nil
	case m == nil && len(s.members) >= maxMembers:
		return fmt.Sprintf("the fleet has %d members, which is the most", maxMembers), nil
	}
	if was := s.members[j.Name]; was != nil {
		index = was.JoinIndex
	}
	s.members[j.Name] = &pb.Member{Name: j.Name, MaxCommandKind: j.MaxCommandKind, JoinIndex: index}
	return "", nil
}

func (s *State) leave(body []byte) (refused string, err error) {
	l := &pb.Leave{}
	if err := proto.Unmarshal(body, l); err != nil {
		return "", fmt.Errorf("a leave can't be read: %w", err)
	}
	m := s.members[l.Name]
	if m == nil {
		return fmt.Sprintf("%q is no member", l.Name), nil
	}
	s.members[l.Name] = &pb.Member{Name: m.Name, MaxCommandKind: m.MaxCommandKind, Removed: true, JoinIndex: m.JoinIndex}
	return "", nil
}

// changeVoters books a change of voters. It was checked before it was handed in: raft has taken it over by now.
func (s *State) changeVoters(body []byte) error {
	v := &pb.VoterChange{}
	if err := proto.Unmarshal(body, v); err != nil {
		return fmt.Errorf("a change of voters can't be read: %w", err)
	}
	for _, a := range v.Add {
		s.voters[a.Id] = a
	}
	for _, name := range v.Remove {
		id := VoterID(name)
		s.voters[id] = &pb.Voter{Id: id, Name: name, Removed: true}
	}
	return nil
}

// Members are those that belong to the fleet, by name.
func (s *State) Members() []*pb.Member {
	all := make([]*pb.Member, 0, len(s.members))
	for _, m := range s.members {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b *pb.Member) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Member is one of them; nil if there is none of that name.
func (s *State) Member(name string) *pb.Member { return s.members[name] }

// Rank is how many joined before a member, also of those that have gone; -1 if it is none.
func (s *State) Rank(name string) int {
	m := s.members[name]
	if m == nil {
		return -1
	}
	before := 0
	for _, o := range s.members {
		if o.JoinIndex < m.JoinIndex || o.JoinIndex == m.JoinIndex && o.Name < m.Name { // of programs that did not note it yet: by name
			before++
		}
	}
	return before
}

// CheckKind says why a command of a kind may not be handed in yet; "" if it may.
func (s *State) CheckKind(kind uint32) string {
	for _, m := range s.Members() {
		if !m.Removed && m.MaxCommandKind < kind {
			return fmt.Sprintf("%s runs a program that does not know commands of kind %d: it knows up to %d", m.Name, kind, m.MaxCommandKind)
		}
	}
	return ""
}

// Voters are those that were added to the first ones, and all that were removed, by name.
func (s *State) Voters() []*pb.Voter {
	all := make([]*pb.Voter, 0, len(s.voters))
	for _, v := range s.voters {
		all = append(all, v)
	}
	slices.SortFunc(all, func(a, b *pb.Voter) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Snapshot is the whole state.
func (s *State) Snapshot() ([]byte, error) {
	snap := &pb.Snapshot{Format: snapshotFormat, Index: s.index, Term: s.term, Sessions: s.sessions, Members: s.Members(), Voters: s.Voters()}
	kinds := make([]uint32, 0, len(s.machines))
	for k := range s.machines {
		kinds = append(kinds, k)
	}
	slices.Sort(kinds)
	for _, k := range kinds {
		raw, err := s.machines[k].Snapshot()
		if err != nil {
			return nil, fmt.Errorf("snapshot: kind %d: %w", k, err)
		}
		if len(raw) == 0 {
			continue // untouched: a program that does not know it can take the snapshot
		}
		snap.Machines = append(snap.Machines, &pb.MachineState{Kind: k, State: raw})
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(snap)
}

// Restore puts a snapshot in place of the state.
func (s *State) Restore(raw []byte) error {
	snap := &pb.Snapshot{}
	if err := proto.Unmarshal(raw, snap); err != nil {
		return fmt.Errorf("the snapshot can't be read: %w", err)
	}
	if snap.Format != snapshotFormat {
		return fmt.Errorf("the snapshot is of format %d; this program reads %d", snap.Format, snapshotFormat)
	}
	for _, m := range s.machines {
		if err := m.Restore(nil); err != nil {
			return err
		}
	}
	for _, m := range snap.Machines {
		if s.machines[m.Kind] == nil {
			return fmt.Errorf("%w (its state has kind %d; this one knows up to %d)", ErrUnknownCommand, m.Kind, MaxCommandKind)
		}
		if err := s.machines[m.Kind].Restore(m.State); err != nil {
			return fmt.Errorf("snapshot: kind %d: %w", m.Kind, err)
		}
	}
	s.index, s.term, s.sessions = snap.Index, snap.Term, snap.Sessions
	s.members, s.voters = map[string]*pb.Member{}, map[uint64]*pb.Voter{}
	for _, m := range snap.Members {
		s.members[m.Name] = m
	}
	for _, v := range snap.Voters {
		s.voters[v.Id] = v
	}
	return nil
}

// SnapshotIndex is at which index a snapshot was taken; 0 if it can't be read.
func SnapshotIndex(raw []byte) uint64 {
	snap := &pb.Snapshot{}
	if proto.Unmarshal(raw, snap) != nil {
		return 0
	}
	return snap.Index
}
