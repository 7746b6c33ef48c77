package fleetpolicy

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

const (
	maxHistory      = 100     // changes that are remembered
	maxHistoryBytes = 4 << 20 // bytes of their documents: those of the oldest go first, the one in force never

	// MaxStageTimeout is how long a proposal may wait to be staged.
	MaxStageTimeout = 10 * time.Minute
)

// Machine is the policy as the fleet agrees on it. The same commands in the same order make the same state everywhere.
type Machine struct {
	state *pb.PolicyState

	// Made from the state, kept as parsing costs.
	policy, next *Policy
}

// NewMachine makes the state before the first command.
func NewMachine() *Machine { return &Machine{state: &pb.PolicyState{}, policy: Empty()} }

// State is what is agreed; it is read only, and holds until the next command.
func (m *Machine) State() *pb.PolicyState { return m.state }

// Apply carries out a command at its index of the log. refused says why it changed nothing; err is that this program can't read
// it, and must not go on as if it had.
func (m *Machine) Apply(index uint64, body []byte) (result []byte, refused string, err error) {
	c := &pb.PolicyCommand{}
	if err := proto.Unmarshal(body, c); err != nil {
		return nil, "", fmt.Errorf("a command on the policy can't be read: %w", err)
	}
	s := m.state
	switch w := c.GetCommand().(type) {
	case *pb.PolicyCommand_Propose:
		p := w.Propose
		if s.OpenChange != nil {
			return nil, fmt.Sprintf("change %d, proposed by %s, is under way", s.OpenChange.GetId(), s.OpenChange.GetAuthor()), nil
		}
		if p.GetBaseVersion() != s.GetVersion() {
			return nil, fmt.Sprintf("it was made from version %d; version %d is in force", p.GetBaseVersion(), s.GetVersion()), nil
		}
		if wait := time.Duration(p.GetStageTimeoutUs()) * time.Microsecond; wait <= 0 || wait > MaxStageTimeout {
			return nil, fmt.Sprintf("it waits %v to be staged; up to %v is possible", wait, MaxStageTimeout), nil
		}
		next, err := Parse("document", p.GetDocument())
		if err != nil {
			return nil, err.Error(), nil
		}
		m.next = next
		s.OpenChange = &pb.Change{Id: index, BaseVersion: p.GetBaseVersion(), Document: p.GetDocument(), Author: p.GetAuthor(), Reason: p.GetReason(), StageTimeoutUs: p.GetStageTimeoutUs(), RollbackTo: p.GetRollbackTo()}
		return nil, "", nil
	case *pb.PolicyCommand_Freeze:
		if refused := m.checkStep(w.Freeze); refused != "" {
			return nil, refused, nil
		}
		if s.OpenChange.FreezeIndex != 0 {
			return nil, fmt.Sprintf("change %d is frozen already", s.OpenChange.Id), nil
		}
		s.OpenChange.FreezeIndex = index
		return nil, "", nil
	case *pb.PolicyCommand_Commit:
		if refused := m.checkStep(w.Commit); refused != "" {
			return nil, refused, nil
		}
		if s.OpenChange.FreezeIndex == 0 {
			return nil, fmt.Sprintf("change %d is not frozen", s.OpenChange.Id), nil
		}
		open := s.OpenChange
		s.Version, s.Document, s.StartIndex = s.Version+1, open.Document, index
		m.policy = m.next
		m.finish(&pb.FinishedChange{Id: open.Id, Version: s.Version, Author: open.Author, Reason: open.Reason, EndIndex: index, Document: open.Document})
		return nil, "", nil
	case *pb.PolicyCommand_Abort:
		if refused := m.checkStep(w.Abort); refused != "" {
			return nil, refused, nil
		}
		open := s.OpenChange
		m.finish(&pb.FinishedChange{Id: open.Id, Author: open.Author, Reason: open.Reason, AbortReason: w.Abort.GetReason(), EndIndex: index})
		return nil, "", nil
	}
	return nil, "", fmt.Errorf("a command on the policy is of a sort that this program does not know")
}

// checkStep says why a step does not belong to the change that is open.
func (m *Machine) checkStep(s *pb.ChangeStep) string {
	if m.state.OpenChange == nil {
		return fmt.Sprintf("change %d is over", s.GetChangeId())
	}
	if m.state.OpenChange.Id != s.GetChangeId() {
		return fmt.Sprintf("change %d is over; change %d is under way", s.GetChangeId(), m.state.OpenChange.Id)
	}
	return ""
}

// finish ends the open change.
func (m *Machine) finish(p *pb.FinishedChange) {
	s := m.state
	s.OpenChange, m.next = nil, nil
	s.History = append(s.History, p)
	if n := len(s.History) - maxHistory; n > 0 {
		s.History = append(s.History[:0:0], s.History[n:]...)
	}
	room := maxHistoryBytes
	for i := len(s.History) - 1; i >= 0; i-- {
		if room -= len(s.History[i].Document); room < 0 && s.History[i].Version != s.Version {
			s.History[i].Document = nil
		}
	}
}

// Snapshot is the whole state.
func (m *Machine) Snapshot() ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(m.state)
}

// Restore puts the state in place of what is held.
func (m *Machine) Restore(raw []byte) error {
	s := &pb.PolicyState{}
	if err := proto.Unmarshal(raw, s); err != nil {
		return fmt.Errorf("the policy's state can't be read: %w", err)
	}
	policy, next := Empty(), (*Policy)(nil)
	var err error
	if s.Version > 0 {
		if policy, err = Parse("document in force", s.Document); err != nil {
			return err
		}
	}
	if s.OpenChange != nil {
		if next, err = Parse("document proposed", s.OpenChange.Document); err != nil {
			return err
		}
	}
	m.state, m.policy, m.next = s, policy, next
	return nil
}

// Policy is what is in force.
func (m *Machine) Policy() *Policy { return m.policy }

// Next is the policy that the open change would put in force; nil if none is open.
func (m *Machine) Next() *Policy { return m.next }
