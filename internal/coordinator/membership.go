package coordinator

import (
	"encoding/binary"
	"fmt"

	"google.golang.org/protobuf/proto"

	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// maxParticipants is how many take part at the most.
const maxParticipants = 2000

// Machine is the roster as the fleet agrees on it. The same commands in the same order make the same state everywhere.
type Machine struct{ state *pb.MembershipState }

// NewMachine makes the state before the first command: nobody takes part.
func NewMachine() *Machine { return &Machine{&pb.MembershipState{}} }

// State is what is agreed; it is read only, and holds until the next command.
func (m *Machine) State() *pb.MembershipState { return m.state }

// Apply carries out a command at its index of the log. Each makes a new state, so that who has the old one may go on reading it.
func (m *Machine) Apply(index uint64, body []byte) (result []byte, refused string, err error) {
	c := &pb.MembershipCommand{}
	if err := proto.Unmarshal(body, c); err != nil {
		return nil, "", fmt.Errorf("a command on the roster can't be read: %w", err)
	}
	s := m.state
	switch w := c.GetCommand().(type) {
	case *pb.MembershipCommand_Propose:
		switch {
		case s.NextEpoch != 0:
			return nil, fmt.Sprintf("roster %d is about to begin", s.NextEpoch), nil
		case w.Propose.GetBaseEpoch() != s.Epoch:
			return nil, fmt.Sprintf("it follows roster %d; roster %d is in force", w.Propose.GetBaseEpoch(), s.Epoch), nil
		case len(w.Propose.GetParticipants()) > maxParticipants:
			return nil, fmt.Sprintf("%d take part; %d are the most", len(w.Propose.GetParticipants()), maxParticipants), nil
		}
		seen := map[string]bool{}
		for _, p := range w.Propose.GetParticipants() {
			if p.GetName() == "" || seen[p.GetName()] {
				return nil, fmt.Sprintf("%q takes part twice, or has no name", p.GetName()), nil
			}
			seen[p.GetName()] = true
		}
		m.state = &pb.MembershipState{Epoch: s.Epoch, StartIndex: s.StartIndex, Participants: s.Participants, NextEpoch: s.Epoch + 1, FenceIndex: index, NextParticipants: w.Propose.GetParticipants(), DrawnQuotas: s.DrawnQuotas}
		return nil, "", nil
	case *pb.MembershipCommand_Activate:
		if s.NextEpoch == 0 || s.NextEpoch != w.Activate.GetEpoch() {
			return nil, fmt.Sprintf("roster %d is not about to begin", w.Activate.GetEpoch()), nil
		}
		m.state = &pb.MembershipState{Epoch: s.NextEpoch, StartIndex: index, Participants: s.NextParticipants, DrawnQuotas: s.DrawnQuotas}
		return nil, "", nil
	}
	if w, ok := c.GetCommand().(*pb.MembershipCommand_Draw); ok {
		units, refused := m.drawQuota(w.Draw)
		return binary.AppendVarint(nil, units), refused, nil
	}
	return nil, "", fmt.Errorf("a command on the roster is of a sort that this program does not know")
}

// Snapshot is the whole state.
func (m *Machine) Snapshot() ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(m.state)
}

// Restore puts the state in place of what is held.
func (m *Machine) Restore(raw []byte) error {
	s := &pb.MembershipState{}
	if err := proto.Unmarshal(raw, s); err != nil {
		return fmt.Errorf("the roster can't be read: %w", err)
	}
	m.state = s
	return nil
}
