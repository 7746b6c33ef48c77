package coordinator

import (
	"encoding/binary"
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// maxParticipants is the maximum number of participants of a membership.
const maxParticipants = 2000

// ErrUnknownCommand reports a membership command of a type that this version does not implement. The caller must not continue as if the
// command had been applied.
var ErrUnknownCommand = errors.New("unknown type of membership command")

// DecodeError reports that a command or the state can't be decoded.
type DecodeError struct {
	What string
	Err  error
}

// Error implements error.
func (e *DecodeError) Error() string { return fmt.Sprintf("cannot decode %s: %v", e.What, e.Err) }

// Unwrap returns the decoder's error.
func (e *DecodeError) Unwrap() error { return e.Err }

// Machine is the replicated membership and the number of units drawn of daily quotas. It implements replicatedlog.Machine.
type Machine struct{ state *pb.MembershipState }

// NewMachine returns a machine with the state before the first command: without participants.
func NewMachine() *Machine { return &Machine{&pb.MembershipState{}} }

// State returns the current state. It is read-only and immutable: the next command creates a new one.
func (m *Machine) State() *pb.MembershipState { return m.state }

// Apply applies a command at its index of the log. It creates a new state, so that readers may continue to use the former one. The result of
// a draw is the number of units drawn, as a varint. The error is a *DecodeError or ErrUnknownCommand.
func (m *Machine) Apply(index uint64, body []byte) (result []byte, rejection string, err error) {
	c := &pb.MembershipCommand{}
	if err := proto.Unmarshal(body, c); err != nil {
		return nil, "", &DecodeError{What: "a membership command", Err: err}
	}
	switch c := c.GetCommand().(type) {
	case *pb.MembershipCommand_Propose:
		return nil, m.propose(index, c.Propose), nil
	case *pb.MembershipCommand_Activate:
		return nil, m.activate(index, c.Activate), nil
	case *pb.MembershipCommand_Draw:
		units, rejection := m.drawQuota(c.Draw)
		return binary.AppendVarint(nil, units), rejection, nil
	default:
		return nil, "", ErrUnknownCommand
	}
}

func (m *Machine) propose(index uint64, p *pb.ProposeMembership) (rejection string) {
	s := m.state
	switch {
	case s.NextEpoch != 0:
		return fmt.Sprintf("roster %d is about to begin", s.NextEpoch)
	case p.GetBaseEpoch() != s.Epoch:
		return fmt.Sprintf("it follows roster %d; roster %d is in force", p.GetBaseEpoch(), s.Epoch)
	case len(p.GetParticipants()) > maxParticipants:
		return fmt.Sprintf("%d take part; %d are the most", len(p.GetParticipants()), maxParticipants)
	}
	seen := map[string]bool{}
	for _, participant := range p.GetParticipants() {
		if participant.GetName() == "" || seen[participant.GetName()] {
			return fmt.Sprintf("%q takes part twice, or has no name", participant.GetName())
		}
		seen[participant.GetName()] = true
	}
	m.state = &pb.MembershipState{Epoch: s.Epoch, StartIndex: s.StartIndex, Participants: s.Participants, DrawnQuotas: s.DrawnQuotas,
		NextEpoch: s.Epoch + 1, FenceIndex: index, NextParticipants: p.GetParticipants()}
	return ""
}

func (m *Machine) activate(index uint64, a *pb.ActivateMembership) (rejection string) {
	s := m.state
	if s.NextEpoch == 0 || s.NextEpoch != a.GetEpoch() {
		return fmt.Sprintf("roster %d is not about to begin", a.GetEpoch())
	}
	m.state = &pb.MembershipState{Epoch: s.NextEpoch, StartIndex: index, Participants: s.NextParticipants, DrawnQuotas: s.DrawnQuotas}
	return ""
}

// Snapshot encodes the complete state; equal states have equal encodings.
func (m *Machine) Snapshot() ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(m.state)
}

// Restore replaces the state by a snapshot's; a nil snapshot gives the empty state. The error is a *DecodeError.
func (m *Machine) Restore(raw []byte) error {
	s := &pb.MembershipState{}
	if err := proto.Unmarshal(raw, s); err != nil {
		return &DecodeError{What: "the membership state", Err: err}
	}
	m.state = s
	return nil
}
