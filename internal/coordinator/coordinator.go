package coordinator

import (
	"cmp"
	"slices"
	"time"

	"saffronyard.example/saffronyard/internal/lease"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

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
