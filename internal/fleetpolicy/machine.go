package fleetpolicy

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

const (
	maxHistory      = 100     // finished changes that are kept
	maxHistoryBytes = 4 << 20 // of their documents: the oldest are dropped first, the one in force never

	// MaxStageTimeout bounds how long a proposal may wait to be staged everywhere.
	MaxStageTimeout = 10 * time.Minute
)

// Machine is the replicated policy and the change that is open. It implements replicatedlog.Machine.
type Machine struct {
	state *pb.PolicyState

	// Parsed from the state.
	policy, next *Policy
}

// NewMachine makes the state before the first command.
func NewMachine() *Machine { return &Machine{state: &pb.PolicyState{}, policy: Empty()} }

// State is the current state. It is read only, and valid until the next command.
func (m *Machine) State() *pb.PolicyState { return m.state }

// Apply applies a command at its index of the log. The error is a *DecodeError or ErrUnknownCommand.
func (m *Machine) Apply(index uint64, body []byte) (result []byte, rejection string, err error) {
	c := &pb.PolicyCommand{}
	if err := proto.Unmarshal(body, c); err != nil {
		return nil, "", &DecodeError{What: "a policy command", Err: err}
	}
	switch c := c.GetCommand().(type) {
	case *pb.PolicyCommand_Propose:
		return nil, m.propose(index, c.Propose), nil
	case *pb.PolicyCommand_Freeze:
		return nil, m.freeze(index, c.Freeze), nil
	case *pb.PolicyCommand_Commit:
		return nil, m.commit(index, c.Commit), nil
	case *pb.PolicyCommand_Abort:
		return nil, m.abort(index, c.Abort), nil
	default:
		return nil, "", ErrUnknownCommand
	}
}

// propose opens a change; its id is the index of its proposal.
func (m *Machine) propose(index uint64, p *pb.ProposePolicy) (rejection string) {
	s := m.state
	if s.OpenChange != nil {
		return fmt.Sprintf("change %d, proposed by %s, is under way", s.OpenChange.GetId(), s.OpenChange.GetAuthor())
	}
	if p.GetBaseVersion() != s.GetVersion() {
		return fmt.Sprintf("it was made from version %d; version %d is in force", p.GetBaseVersion(), s.GetVersion())
	}
	if timeout := time.Duration(p.GetStageTimeoutUs()) * time.Microsecond; timeout <= 0 || timeout > MaxStageTimeout {
		return fmt.Sprintf("it waits %v to be staged; up to %v is possible", timeout, MaxStageTimeout)
	}
	next, err := Parse("document", p.GetDocument())
	if err != nil {
		return err.Error()
	}
	m.next = next
	s.OpenChange = &pb.Change{Id: index, BaseVersion: p.GetBaseVersion(), Document: p.GetDocument(), Author: p.GetAuthor(), Reason: p.GetReason(),
		StageTimeoutUs: p.GetStageTimeoutUs(), RollbackTo: p.GetRollbackTo()}
	return ""
}

// freeze suspends the calls that the open change affects.
func (m *Machine) freeze(index uint64, step *pb.ChangeStep) (rejection string) {
	if rejection := m.checkStep(step); rejection != "" {
		return rejection
	}
	open := m.state.OpenChange
	if open.FreezeIndex != 0 {
		return fmt.Sprintf("change %d is frozen already", open.Id)
	}
	open.FreezeIndex = index
	return ""
}

// commit puts the open change in force.
func (m *Machine) commit(index uint64, step *pb.ChangeStep) (rejection string) {
	if rejection := m.checkStep(step); rejection != "" {
		return rejection
	}
	s := m.state
	open := s.OpenChange
	if open.FreezeIndex == 0 {
		return fmt.Sprintf("change %d is not frozen", open.Id)
	}
	s.Version, s.Document, s.StartIndex = s.Version+1, open.Document, index
	m.policy = m.next
	m.finish(&pb.FinishedChange{Id: open.Id, Version: s.Version, Author: open.Author, Reason: open.Reason, EndIndex: index, Document: open.Document})
	return ""
}

// abort ends the open change without effect.
func (m *Machine) abort(index uint64, step *pb.ChangeStep) (rejection string) {
	if rejection := m.checkStep(step); rejection != "" {
		return rejection
	}
	open := m.state.OpenChange
	m.finish(&pb.FinishedChange{Id: open.Id, Author: open.Author, Reason: open.Reason, AbortReason: step.GetReason(), EndIndex: index})
	return ""
}

// checkStep rejects a step of a change that is not the open one.
func (m *Machine) checkStep(s *pb.ChangeStep) string {
	if m.state.OpenChange == nil {
		return fmt.Sprintf("change %d is over", s.GetChangeId())
	}
	if m.state.OpenChange.Id != s.GetChangeId() {
		return fmt.Sprintf("change %d is over; change %d is under way", s.GetChangeId(), m.state.OpenChange.Id)
	}
	return ""
}

// finish moves the open change to the history, and drops the oldest documents and changes that exceed its bounds.
func (m *Machine) finish(p *pb.FinishedChange) {
	s := m.state
	s.OpenChange, m.next = nil, nil
	s.History = append(s.History, p)
	if n := len(s.History) - maxHistory; n > 0 {
		s.History = append(s.History[:0:0], s.History[n:]...)
	}
	free := maxHistoryBytes
	for i := len(s.History) - 1; i >= 0; i-- {
		if free -= len(s.History[i].Document); free < 0 && s.History[i].Version != s.Version {
			s.History[i].Document = nil
		}
	}
}

// Snapshot encodes the complete state; equal states have equal encodings.
func (m *Machine) Snapshot() ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(m.state)
}

// Restore replaces the state with a snapshot's; nil makes it empty. The error is a *DecodeError, or Parse's for a document.
func (m *Machine) Restore(raw []byte) error {
	s := &pb.PolicyState{}
	if err := proto.Unmarshal(raw, s); err != nil {
		return &DecodeError{What: "the policy's state", Err: err}
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

// Policy is the policy in force.
func (m *Machine) Policy() *Policy { return m.policy }

// Next is the policy of the open change; nil if none is open.
func (m *Machine) Next() *Policy { return m.next }
