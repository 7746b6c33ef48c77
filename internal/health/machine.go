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
	maxReasonBytes = 500 // bytes of a reason
	// MaxTTL is how long a verdict may last that is not said again.
	MaxTTL = 10 * time.Minute
)

// Machine is the verdicts as the fleet agrees on them. The same commands in the same order make the same state everywhere.
type Machine struct {
	state *pb.HealthState
	epoch func() uint64 // of the roster that is in force at this place of the log
}

// NewMachine makes the state before the first command.
func NewMachine(epoch func() uint64) *Machine { return &Machine{&pb.HealthState{}, epoch} }

// State is what is agreed; it is read only, and holds until the next command.
func (m *Machine) State() *pb.HealthState { return m.state }

// StatusOf is the verdict on a destination, a person's or another; nil if there is none.
func StatusOf(s *pb.HealthState, destination uint32, person bool) *pb.HealthStatus {
	i := search(s, destination, person)
	if i < len(s.GetStatuses()) && matches(s.Statuses[i], destination, person) {
		return s.Statuses[i]
	}
	return nil
}

func matches(v *pb.HealthStatus, destination uint32, person bool) bool {
	return v.Destination == destination && (Kind(v.Kind) == KindSuspended) == person
}

// search is the place of a verdict, or where it would stand: by destination, a person's behind the other.
func search(s *pb.HealthState, destination uint32, person bool) int {
	i, _ := slices.BinarySearchFunc(s.GetStatuses(), destination, func(v *pb.HealthStatus, d uint32) int {
		if v.Destination != d {
			return cmp.Compare(v.Destination, d)
		}
		if (Kind(v.Kind) == KindSuspended) == person {
			return 0
		}
		if person {
			return -1
		}
		return 1
	})
	return i
}

// Apply carries out a command at its index of the log. Each makes a new state, so that who has the old one may go on reading it.
func (m *Machine) Apply(index uint64, body []byte) (result []byte, refused string, err error) {
	c := &pb.HealthCommand{}
	if err := proto.Unmarshal(body, c); err != nil {
		return nil, "", fmt.Errorf("a verdict can't be read: %w", err)
	}
	switch w := c.GetCommand().(type) {
	case *pb.HealthCommand_Set:
		return nil, m.set(index, w.Set), nil
	case *pb.HealthCommand_Clear:
		return nil, m.clear(w.Clear), nil
	}
	return nil, "", fmt.Errorf("a verdict is of a sort that this program does not know")
}

// checkBase says why a word on a verdict does not count: it was given by what has changed meanwhile.
func (m *Machine) checkBase(destination uint32, person bool, epoch, base uint64) (was *pb.HealthStatus, refused string) {
	was = StatusOf(m.state, destination, person)
	switch {
	case !person && epoch != m.epoch():
		return was, fmt.Sprintf("it was given under roster %d, and roster %d is in force", epoch, m.epoch())
	case !person && base != was.GetUpdateIndex():
		return was, fmt.Sprintf("it follows the verdict of entry %d, and that of entry %d stands", base, was.GetUpdateIndex())
	}
	return was, ""
}

func (m *Machine) set(index uint64, p *pb.SetHealth) (refused string) {
	sort, person := Kind(p.Kind), Kind(p.Kind) == KindSuspended
	was, refused := m.checkBase(p.Destination, person, p.Epoch, p.BaseIndex)
	ttl := time.Duration(p.TtlUs) * time.Microsecond
	switch {
	case refused != "":
		return refused
	case sort != KindEjected && sort != KindWarmingUp && sort != KindSuspended:
		return fmt.Sprintf("a verdict of %v is none", sort)
	case person != (ttl == 0) || ttl < 0 || ttl > MaxTTL:
		return fmt.Sprintf("it lasts %v: a person's lasts until it is lifted, any other up to %v", ttl, MaxTTL)
	case len(p.Reason) > maxReasonBytes:
		return fmt.Sprintf("why has %d bytes; %d are the most", len(p.Reason), maxReasonBytes)
	case person && was != nil:
		return fmt.Sprintf("%s has suspended destination %d already: %s", was.Author, p.Destination, was.Reason)
	case was == nil && len(m.state.Statuses) >= maxStatuses:
		return fmt.Sprintf("there are %d verdicts, which is the most", maxStatuses)
	}
	v := &pb.HealthStatus{Destination: p.Destination, Kind: p.Kind, UpdateIndex: index, StartIndex: index, Epoch: p.Epoch, Author: p.Author, Reason: p.Reason, TtlUs: p.TtlUs}
	all := slices.Clone(m.state.Statuses)
	i := search(m.state, p.Destination, person)
	if was != nil {
		if was.Kind == p.Kind {
			v.StartIndex = was.StartIndex
		}
		all[i] = v
	} else {
		all = slices.Insert(all, i, v)
	}
	m.state = &pb.HealthState{Statuses: all}
	return ""
}

func (m *Machine) clear(l *pb.ClearHealth) (refused string) {
	was, refused := m.checkBase(l.Destination, l.ByOperator, l.Epoch, l.BaseIndex)
	if refused != "" {
		return refused
	}
	if was == nil {
		return fmt.Sprintf("there is no such verdict on destination %d", l.Destination)
	}
	all := slices.Clone(m.state.Statuses)
	i := search(m.state, l.Destination, l.ByOperator)
	m.state = &pb.HealthState{Statuses: slices.Delete(all, i, i+1)}
	return ""
}

// Snapshot is the whole state.
func (m *Machine) Snapshot() ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(m.state)
}

// Restore puts the state in place of what is held.
func (m *Machine) Restore(raw []byte) error {
	s := &pb.HealthState{}
	if err := proto.Unmarshal(raw, s); err != nil {
		return fmt.Errorf("the verdicts can't be read: %w", err)
	}
	m.state = s
	return nil
}
