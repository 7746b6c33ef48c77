// Package coordinator is which processes of the fleet take part in what is shared out among them, one of them being in charge of each
// thing: a limit, say. It is free of I/O and of clocks.
//
// A roster has an epoch. The next one comes in two steps, each an entry of the log. With the first it is known: from there on whoever
// was in charge of something that moves does nothing more about it. Once nobody may act any more who does not know that (a fence on
// the leases, as of a change of the policy), the second one begins it. So at no moment are two in charge of one thing, whichever
// processes are cut off, paused or dead; and the new one knows that all the old one did was done before it began.
package coordinator

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
	"google.golang.org/protobuf/proto"

	"saffronyard.example/saffronyard/internal/lease"
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

// maxDrawnQuotas is of how many quotas it is kept what was drawn.
const maxDrawnQuotas = 20_000

// drawQuota gives units of a day's quota, as far as there are any. A day that is over does not come back, whatever calendar asks.
func (m *Machine) drawQuota(d *pb.DrawQuota) (units int64, refused string) {
	s := m.state
	if d.GetEpoch() != s.Epoch {
		return 0, fmt.Sprintf("it was drawn under roster %d, and roster %d is in force", d.GetEpoch(), s.Epoch)
	}
	i, known := slices.BinarySearchFunc(s.DrawnQuotas, d.GetKey(), func(o *pb.DrawnQuota, key string) int { return cmp.Compare(o.Key, key) })
	is := &pb.DrawnQuota{Key: d.GetKey(), Period: d.GetPeriod()}
	if known {
		switch was := s.DrawnQuotas[i]; {
		case d.GetPeriod() < was.Period:
			return 0, fmt.Sprintf("day %d is over; it is day %d", d.GetPeriod(), was.Period)
		case d.GetPeriod() == was.Period:
			is.Units = was.Units
		}
	} else if len(s.DrawnQuotas) >= maxDrawnQuotas {
		return 0, fmt.Sprintf("%d quotas are kept, which is the most", maxDrawnQuotas)
	}
	units = min(d.GetUnits(), d.GetLimit()-is.Units)
	if units <= 0 {
		return 0, fmt.Sprintf("all %d of day %d are drawn", d.GetLimit(), d.GetPeriod())
	}
	is.Units += units
	drawn := slices.Clone(s.DrawnQuotas)
	if known {
		drawn[i] = is
	} else {
		drawn = slices.Insert(drawn, i, is)
	}
	m.state = &pb.MembershipState{Epoch: s.Epoch, StartIndex: s.StartIndex, Participants: s.Participants, NextEpoch: s.NextEpoch, FenceIndex: s.FenceIndex, NextParticipants: s.NextParticipants, DrawnQuotas: drawn}
	return units, ""
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

// Ownership says who is in charge of what, among some who take part.
type Ownership struct {
	participants map[string]*pb.Participant
	hash         *rendezvous.Rendezvous
}

// NewOwnership makes it. A process that takes the place of another of its name has the same things.
func NewOwnership(parts []*pb.Participant) *Ownership {
	c := &Ownership{participants: map[string]*pb.Participant{}}
	var names []string
	for _, p := range parts {
		c.participants[p.Name] = p
		names = append(names, p.Name)
	}
	slices.Sort(names)
	c.hash = rendezvous.New(names, xxhash.Sum64String)
	return c
}

// Owner is who is in charge of a thing; nil if nobody takes part.
func (c *Ownership) Owner(thing string) *pb.Participant {
	if c == nil || len(c.participants) == 0 {
		return nil
	}
	return c.participants[c.hash.Lookup(thing)]
}

// Includes reports whether a process is among them.
func (c *Ownership) Includes(w lease.HolderID) bool {
	if c == nil {
		return false
	}
	p := c.participants[w.Name]
	return p != nil && p.Incarnation == w.Incarnation
}

// Participant is one that wants to take part: it holds a lease.
type Participant struct {
	lease.HolderID
	Address string
}

const (
	minStableTime  = time.Second // a roster stands so long before the next is proposed: one that restarts is two changes
	resendInterval = time.Second // a step that the log does not show is given again: it may have been lost with a change of leader
)

// Coordinator says, at the voter that leads, which roster comes next, and when it begins. What it decides is a command like any
// other: it counts when the log has it, and only if the roster is then where the coordinator took it to be.
type Coordinator struct {
	epoch       uint64 // as seen last
	activeSince time.Duration
	sentAt      time.Duration
	sentStep    uint64 // that was proposed: its epoch, twice, and one more for its begin
}

// Step gives the next command; nil while there is none. here are those that hold a lease and have an address, the one
// whose lease lapses last first.
func (c *Coordinator) Step(now time.Duration, s *pb.MembershipState, g *lease.Granter, here []Participant) *pb.MembershipCommand {
	if s.GetEpoch() != c.epoch || c.activeSince == 0 {
		c.epoch, c.activeSince = s.GetEpoch(), now
	}
	send := func(what uint64, r *pb.MembershipCommand) *pb.MembershipCommand {
		if c.sentStep == what && now-c.sentAt < resendInterval {
			return nil
		}
		c.sentStep, c.sentAt = what, now
		return r
	}
	if s.GetNextEpoch() != 0 {
		if len(g.LeasesBelow(s.GetFenceIndex(), now)) > 0 {
			return nil
		}
		return send(2*s.NextEpoch+1, &pb.MembershipCommand{Command: &pb.MembershipCommand_Activate{Activate: &pb.ActivateMembership{Epoch: s.NextEpoch}}})
	}
	// While there may be leases of an earlier leader it is not known who is here.
	if g.InGracePeriod(now) || s.GetEpoch() > 0 && now-c.activeSince < minStableTime {
		return nil
	}
	next := newestIncarnations(here)
	if equalParticipants(next, s.GetParticipants()) {
		return nil
	}
	return send(2*(s.GetEpoch()+1), &pb.MembershipCommand{Command: &pb.MembershipCommand_Propose{Propose: &pb.ProposeMembership{BaseEpoch: s.GetEpoch(), Participants: next}}})
}

// MayGrant reports whether one who acts at an index is granted a lease while a roster is coming: once it knows of it. Otherwise one whose
// questions arrive while no answer reaches it would have its lease counted on and on.
func MayGrant(acts uint64, s *pb.MembershipState) bool {
	return s.GetNextEpoch() == 0 || acts >= s.GetFenceIndex()
}

// newestIncarnations are those that are here, one process of each name: of two the one whose lease lapses last, as it was renewed last, which
// comes first.
func newestIncarnations(here []Participant) []*pb.Participant {
	seen := map[string]bool{}
	all := make([]*pb.Participant, 0, len(here))
	for _, p := range here {
		if !seen[p.Name] {
			seen[p.Name] = true
			all = append(all, &pb.Participant{Name: p.Name, Incarnation: p.Incarnation, Address: p.Address})
		}
	}
	slices.SortFunc(all, func(a, b *pb.Participant) int { return cmp.Compare(a.Name, b.Name) })
	return all[:min(len(all), maxParticipants)]
}

func equalParticipants(a, b []*pb.Participant) bool {
	return slices.EqualFunc(a, b, func(x, y *pb.Participant) bool {
		return x.Name == y.Name && x.Incarnation == y.Incarnation && x.Address == y.Address
	})
}
