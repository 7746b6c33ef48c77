// Package replicatedlog is what all senders of a fleet agree on: a log that a few of them, the voters, keep by raft
// (go.etcd.io/raft), and the state that its entries make, the same at each who has come as far.
//
// State, Core and Copy are free of I/O and clocks: they are given events with the time and give actions, in the order in which
// they are to be carried out. What stands on the disk and what goes over the network is package fleet's.
package replicatedlog

import (
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
