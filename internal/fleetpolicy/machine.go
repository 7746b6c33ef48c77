package fleetpolicy

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"saffronyard.example/saffronyard/internal/coordinator"
	"saffronyard.example/saffronyard/internal/health"
	"saffronyard.example/saffronyard/internal/quota"
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

// View is what a sender goes by at one index of the log. It does not change.
type View struct {
	Index      uint64
	Version    uint64
	Policy     *Policy
	OpenChange uint64    // open; 0: none
	Suspended  *Affected // what that holds up; nil: nothing
	Unfit      error     // the policy can't be followed here: nothing is begun

	Membership *pb.MembershipState // who takes part in what is shared out by name
	Health     *pb.HealthState     // that stand here
	Rank       int                 // of this sender among those that have joined; -1: it has not
}

// Ownership says who is in charge of what is shared out by name.
func (v *View) Ownership() *coordinator.Ownership {
	return coordinator.NewOwnership(v.Membership.GetParticipants())
}

// View is the state as a sender with these settings goes by it.
func (m *Machine) View(index uint64, s Settings) *View {
	v := &View{Index: index, Version: m.state.Version, Policy: m.policy, Unfit: m.policy.CheckSettings(s)}
	if o := m.state.OpenChange; o != nil {
		v.OpenChange = o.Id
		if o.FreezeIndex != 0 {
			v.Suspended = AffectedBySwitch(m.policy, m.next)
		}
	}
	return v
}

// Allows reports whether a call is begun under the view; why is for who is told.
func (v *View) Allows(c Call) (ok bool, why string) {
	if v.Unfit != nil {
		return false, "the fleet's policy can't be followed here"
	}
	if v.Suspended.HasCall(c) {
		return false, "a change of the fleet's policy is about to take hold"
	}
	if s := health.StatusOf(v.Health, c.Destination, true); s != nil {
		return false, fmt.Sprintf("%s has suspended its destination", s.Author)
	}
	return v.Policy.Allows(c)
}

// HealthStatuses are those that stand; none of a view that is not known yet.
func (v *View) HealthStatuses() []*pb.HealthStatus {
	if v == nil {
		return nil
	}
	return v.Health.GetStatuses()
}

// IsOpen reports whether calls for a destination are begun at all, as long as nothing changes.
func (v *View) IsOpen(destination uint32) bool {
	return v.Policy.IsOpen(destination) && health.StatusOf(v.Health, destination, true) == nil
}

// healthLimit is the limit that a verdict puts on its destination: one call of the whole fleet now and then while it is out, and few that
// become more as it comes back.
func (v *View) healthLimit(destination uint32) (l quota.Limit, ok bool) {
	is := health.StatusOf(v.Health, destination, false)
	r, ruled := v.Policy.HealthRule(destination)
	if is == nil || !ruled {
		return l, false
	}
	l = quota.Limit{Key: fmt.Sprintf("destination %d, probes", destination), Units: 1, Span: r.ProbeInterval, TransitJitter: r.TransitJitter}
	if health.Kind(is.Kind) == health.KindWarmingUp {
		l = quota.Limit{Key: fmt.Sprintf("destination %d, return", destination), Units: r.InitialRate, Span: time.Second, TransitJitter: r.TransitJitter, SlowStartUnits: r.FullRate, SlowStartTime: r.SlowStart}
	}
	return l, true
}

// Limits are those of the policy and of verdicts, by key.
func (v *View) Limits() []quota.Limit {
	all := v.Policy.Limits()
	for _, is := range v.Health.GetStatuses() {
		if l, ok := v.healthLimit(is.Destination); ok && health.Kind(is.Kind) != health.KindSuspended {
			all = append(all, l)
		}
	}
	slices.SortFunc(all, func(a, b quota.Limit) int { return cmp.Compare(a.Key, b.Key) })
	return all
}

// Usages are the units that a call takes of each limit that it is under.
func (v *View) Usages(c Call) []quota.Usage {
	uses := v.Policy.Usages(c)
	if len(v.Health.GetStatuses()) > 0 {
		if l, ok := v.healthLimit(c.Destination); ok {
			uses = append(uses, quota.Usage{Key: l.Key, Units: 1})
		}
	}
	return uses
}

// RateLimits are the limits of calls that a destination is under by itself: what its calls are spread by.
func (v *View) RateLimits(destination uint32) (all []quota.Limit) {
	if l, ok := v.Policy.RateLimit(destination); ok {
		all = append(all, l)
	}
	if l, ok := v.healthLimit(destination); ok {
		all = append(all, l)
	}
	return all
}
