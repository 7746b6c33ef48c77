package replicatedlog

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"saffronyard.example/saffronyard/internal/coordinator"
	"saffronyard.example/saffronyard/internal/fleetpolicy"
	"saffronyard.example/saffronyard/internal/health"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// Kinds of command. A new kind gets the next number, and MaxCommandKind grows with it.
const (
	KindJoin       uint32 = 1
	KindLeave      uint32 = 2
	KindPolicy     uint32 = 3
	KindVoters     uint32 = 4 // applied along with raft's own configuration change
	KindMembership uint32 = 5
	KindHealth     uint32 = 6
)

// MaxCommandKind is the highest kind of command that this program supports. A command is proposed only once the programs of all members
// support its kind, and a program that finds a command of an unsupported kind in the log stops applying the log.
const MaxCommandKind uint32 = 6

const (
	maxSessions     = 1000    // whose last outcome is kept; the least recently used is dropped first
	maxMembers      = 10_000  // of a fleet, removed ones included
	maxCommandBytes = 2 << 20 // of one encoded command
	maxNameBytes    = 128     // of a sender's name
)

// Machine is the part of the state that one kind of command works on. It is deterministic: the same commands in the same order make
// the same state at each sender.
type Machine interface {
	// Apply applies a command at its index of the log. A rejection is the reason why the command changed nothing; an error means
	// that the command can't be decoded, and then the log can't be applied any further.
	Apply(index uint64, body []byte) (result []byte, rejection string, err error)
	// Snapshot encodes the complete state; empty if no command was applied yet.
	Snapshot() ([]byte, error)
	// Restore replaces the state with one that Snapshot encoded; nil makes it empty.
	Restore([]byte) error
}

// State is the replicated state at an index. It is not safe for concurrent use.
type State struct {
	index, term uint64
	sessions    []*pb.Session // least recently used first
	members     map[string]*pb.Member
	voters      map[uint64]*pb.Voter // those added after the first ones, and all that were removed
	machines    map[uint32]Machine
}

// Outcome is the result of a command.
type Outcome struct {
	Index     uint64 // of the entry that decided it
	Session   uint64
	Sequence  uint64
	Result    []byte
	Rejection string // why it changed nothing; "" if it was applied
}

// NewState makes the state before the first entry, with the machines of each kind of command.
func NewState(machines map[uint32]Machine) *State {
	return &State{members: map[string]*pb.Member{}, voters: map[uint64]*pb.Voter{}, machines: machines}
}

// newMachines makes the machine of each kind of command; policy is that of KindPolicy.
func newMachines(policy *fleetpolicy.Machine) (map[uint32]Machine, *coordinator.Machine, *health.Machine) {
	membership := coordinator.NewMachine()
	statuses := health.NewMachine(func() uint64 { return membership.State().GetEpoch() })
	return map[uint32]Machine{KindPolicy: policy, KindMembership: membership, KindHealth: statuses}, membership, statuses
}

// Index is the index of the entry applied last; 0 before the first.
func (s *State) Index() uint64 { return s.index }

// Apply applies the entry that follows the last one. An entry without a command only advances the index. The error is a *GapError, a
// *DecodeError, one that wraps ErrUnknownCommand, or a machine's; the state must not be used any more after an error.
func (s *State) Apply(index, term uint64, raw []byte) (Outcome, error) {
	if index != s.index+1 {
		return Outcome{}, &GapError{Index: index, Applied: s.index}
	}
	outcome := Outcome{Index: index}
	if len(raw) > 0 {
		c := &pb.Command{}
		if err := proto.Unmarshal(raw, c); err != nil {
			return Outcome{}, &DecodeError{What: fmt.Sprintf("entry %d", index), Err: err}
		}
		var err error
		if outcome, err = s.applyCommand(index, c); err != nil {
			return Outcome{}, fmt.Errorf("entry %d: %w", index, err)
		}
	}
	s.index, s.term = index, term
	return outcome, nil
}

// applyCommand applies a command once, however often its session proposes it.
func (s *State) applyCommand(index uint64, c *pb.Command) (Outcome, error) {
	at := slices.IndexFunc(s.sessions, func(o *pb.Session) bool { return o.Id == c.Session })
	if c.Session != 0 && at >= 0 {
		if outcome, repeated := repeatedOutcome(s.sessions[at], c, index); repeated {
			return outcome, nil
		}
	}
	outcome, err := s.dispatch(index, c)
	if err != nil || c.Session == 0 {
		return outcome, err
	}
	if at >= 0 {
		s.sessions = slices.Delete(s.sessions, at, at+1)
	} else if len(s.sessions) >= maxSessions {
		s.sessions = slices.Delete(s.sessions, 0, 1)
	}
	s.sessions = append(s.sessions, &pb.Session{Id: c.Session, Sequence: c.Sequence, Result: outcome.Result, Rejection: outcome.Rejection, Index: index})
	return outcome, nil
}

// repeatedOutcome is the outcome of a command that its session has submitted before: the recorded outcome if it is the session's last
// command, whose reply was lost, or a rejection if it is an older one.
func repeatedOutcome(last *pb.Session, c *pb.Command, index uint64) (outcome Outcome, repeated bool) {
	switch {
	case c.Sequence == last.Sequence:
		return Outcome{Index: last.Index, Session: c.Session, Sequence: c.Sequence, Result: last.Result, Rejection: last.Rejection}, true
	case c.Sequence < last.Sequence:
		return Outcome{Index: index, Session: c.Session, Sequence: c.Sequence,
			Rejection: fmt.Sprintf("command %d of a session that has come to %d", c.Sequence, last.Sequence)}, true
	}
	return Outcome{}, false
}

// dispatch applies a command by its kind.
func (s *State) dispatch(index uint64, c *pb.Command) (Outcome, error) {
	outcome := Outcome{Index: index, Session: c.Session, Sequence: c.Sequence}
	var err error
	switch c.Kind {
	case KindJoin:
		outcome.Rejection, err = s.join(index, c.Body)
	case KindLeave:
		outcome.Rejection, err = s.leave(c.Body)
	case KindVoters:
		err = s.changeVoters(c.Body)
	default:
		m := s.machines[c.Kind]
		if m == nil {
			return outcome, fmt.Errorf("%w (kind %d; this program supports up to %d)", ErrUnknownCommand, c.Kind, MaxCommandKind)
		}
		outcome.Result, outcome.Rejection, err = m.Apply(index, c.Body)
	}
	return outcome, err
}

// Outcome is the outcome of a session's last command, if that command has the given sequence number.
func (s *State) Outcome(session, sequence uint64) (Outcome, bool) {
	for _, o := range s.sessions {
		if o.Id == session && o.Sequence == sequence {
			return Outcome{Index: o.Index, Session: session, Sequence: sequence, Result: o.Result, Rejection: o.Rejection}, true
		}
	}
	return Outcome{}, false
}
