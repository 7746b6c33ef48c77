package health

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

const (
	maxStatuses    = 20_000
	maxReasonBytes = 500
	// MaxTTL bounds the TTL of a status that its owner sets.
	MaxTTL = 10 * time.Minute
)

// Machine is the replicated state of health statuses. It implements replicatedlog.Machine.
type Machine struct {
	state *pb.HealthState
	epoch func() uint64 // of the membership that is active at the current index of the log
}

// NewMachine returns a machine with the state before the first command. epoch returns the epoch of the membership that is active at the
// index being applied.
func NewMachine(epoch func() uint64) *Machine { return &Machine{&pb.HealthState{}, epoch} }

// State returns the current state. It is read-only and immutable: the next command creates a new one.
func (m *Machine) State() *pb.HealthState { return m.state }

// StatusOf returns the status of a destination that an operator or the owner has set; nil if there is none.
func StatusOf(s *pb.HealthState, destination uint32, byOperator bool) *pb.HealthStatus {
	i := search(s, destination, byOperator)
	if i < len(s.GetStatuses()) && matches(s.Statuses[i], destination, byOperator) {
		return s.Statuses[i]
	}
	return nil
}

func matches(v *pb.HealthStatus, destination uint32, byOperator bool) bool {
	return v.Destination == destination && (Kind(v.Kind) == KindSuspended) == byOperator
}

// search returns the index of a status, or the index at which to insert it. Statuses are sorted by destination; the operator's follows the
// owner's.
func search(s *pb.HealthState, destination uint32, byOperator bool) int {
	i, _ := slices.BinarySearchFunc(s.GetStatuses(), destination, func(v *pb.HealthStatus, d uint32) int {
		if v.Destination != d {
			return cmp.Compare(v.Destination, d)
		}
		if (Kind(v.Kind) == KindSuspended) == byOperator {
			return 0
		}
		if byOperator {
			return -1
		}
		return 1
	})
	return i
}

// Apply applies a command at its index of the log. It creates a new state, so that readers may continue to use the former one. The error is
// a *DecodeError or ErrUnknownCommand.
func (m *Machine) Apply(index uint64, body []byte) (result []byte, rejection string, err error) {
	c := &pb.HealthCommand{}
	if err := proto.Unmarshal(body, c); err != nil {
		return nil, "", &DecodeError{What: "a health command", Err: err}
	}
	switch w := c.GetCommand().(type) {
	case *pb.HealthCommand_Set:
		return nil, m.set(index, w.Set), nil
	case *pb.HealthCommand_Clear:
		return nil, m.clear(w.Clear), nil
	}
	return nil, "", ErrUnknownCommand
}

// checkBase rejects a command whose epoch or base status has been replaced meanwhile. current is the status that the command replaces; nil
// if there is none.
func (m *Machine) checkBase(destination uint32, byOperator bool, epoch, base uint64) (current *pb.HealthStatus, rejection string) {
	current = StatusOf(m.state, destination, byOperator)
	switch {
	case !byOperator && epoch != m.epoch():
		return current, fmt.Sprintf("it was given under roster %d, and roster %d is in force", epoch, m.epoch())
	case !byOperator && base != current.GetUpdateIndex():
		return current, fmt.Sprintf("it follows the verdict of entry %d, and that of entry %d stands", base, current.GetUpdateIndex())
	}
	return current, ""
}

func (m *Machine) set(index uint64, p *pb.SetHealth) (rejection string) {
	kind, byOperator := Kind(p.Kind), Kind(p.Kind) == KindSuspended
	current, rejection := m.checkBase(p.Destination, byOperator, p.Epoch, p.BaseIndex)
	ttl := time.Duration(p.TtlUs) * time.Microsecond
	switch {
	case rejection != "":
		return rejection
	case kind != KindEjected && kind != KindWarmingUp && kind != KindSuspended:
		return fmt.Sprintf("a verdict of %v is none", kind)
	case byOperator != (ttl == 0) || ttl < 0 || ttl > MaxTTL:
		return fmt.Sprintf("it lasts %v: a person's lasts until it is lifted, any other up to %v", ttl, MaxTTL)
	case len(p.Reason) > maxReasonBytes:
		return fmt.Sprintf("why has %d bytes; %d are the most", len(p.Reason), maxReasonBytes)
	case byOperator && current != nil:
		return fmt.Sprintf("%s has suspended destination %d already: %s", current.Author, p.Destination, current.Reason)
	case current == nil && len(m.state.Statuses) >= maxStatuses:
		return fmt.Sprintf("there are %d verdicts, which is the most", maxStatuses)
	}
	v := &pb.HealthStatus{Destination: p.Destination, Kind: p.Kind, UpdateIndex: index, StartIndex: index, Epoch: p.Epoch, Author: p.Author, Reason: p.Reason, TtlUs: p.TtlUs}
	all := slices.Clone(m.state.Statuses)
	i := search(m.state, p.Destination, byOperator)
	if current != nil {
		if current.Kind == p.Kind {
			v.StartIndex = current.StartIndex
		}
		all[i] = v
	} else {
		all = slices.Insert(all, i, v)
	}
	m.state = &pb.HealthState{Statuses: all}
	return ""
}

func (m *Machine) clear(l *pb.ClearHealth) (rejection string) {
	current, rejection := m.checkBase(l.Destination, l.ByOperator, l.Epoch, l.BaseIndex)
	if rejection != "" {
		return rejection
	}
	if current == nil {
		return fmt.Sprintf("there is no such verdict on destination %d", l.Destination)
	}
	all := slices.Clone(m.state.Statuses)
	i := search(m.state, l.Destination, l.ByOperator)
	m.state = &pb.HealthState{Statuses: slices.Delete(all, i, i+1)}
	return ""
}

// Snapshot encodes the complete state; equal states have equal encodings.
func (m *Machine) Snapshot() ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(m.state)
}

// Restore replaces the state by a snapshot's; a nil snapshot gives the empty state. The error is a *DecodeError.
func (m *Machine) Restore(raw []byte) error {
	s := &pb.HealthState{}
	if err := proto.Unmarshal(raw, s); err != nil {
		return &DecodeError{What: "the health state", Err: err}
	}
	m.state = s
	return nil
}
