package coordinator

import (
	"cmp"
	"slices"
	"time"

	"saffronyard.example/saffronyard/internal/lease"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// Participant is a candidate for the next membership: a process that holds a lease.
type Participant struct {
	lease.HolderID
	Address string
}

const (
	minStableTime  = time.Second // from a membership to the next proposal, as a sender that restarts is two changes
	resendInterval = time.Second // after which a command that the log does not show is proposed again, as it may have been lost with a leader
)

// Coordinator decides at the leader which membership comes next and when it becomes active. Its decisions are proposals: they count when the
// log applies them, and only if the state is then what the coordinator took it for. The zero value is ready; a new leader begins a new one.
type Coordinator struct {
	epoch       uint64 // that was seen last
	activeSince time.Duration
	sentAt      time.Duration
	sentStep    uint64 // that was proposed last: twice its epoch, and one more for its activation
}

// Step returns the command to propose now; nil if there is none. candidates hold a lease and have an address, the one whose lease expires
// last first.
func (c *Coordinator) Step(now time.Duration, s *pb.MembershipState, g *lease.Granter, candidates []Participant) *pb.MembershipCommand {
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
	// While there may be leases of an earlier leader it is not known who holds one.
	if g.InGracePeriod(now) || s.GetEpoch() > 0 && now-c.activeSince < minStableTime {
		return nil
	}
	next := newestIncarnations(candidates)
	if equalParticipants(next, s.GetParticipants()) {
		return nil
	}
	return send(2*(s.GetEpoch()+1), &pb.MembershipCommand{Command: &pb.MembershipCommand_Propose{Propose: &pb.ProposeMembership{BaseEpoch: s.GetEpoch(), Participants: next}}})
}

// MayGrant reports whether a holder that acts at an index may be granted a lease: while a membership is proposed, only once it acts under the
// proposal. Otherwise a holder whose requests arrive while no reply reaches it would hold up the activation without end.
func MayGrant(actingIndex uint64, s *pb.MembershipState) bool {
	return s.GetNextEpoch() == 0 || actingIndex >= s.GetFenceIndex()
}

// newestIncarnations are the candidates by name, one process of each: of two the one that comes first, whose lease was renewed last.
func newestIncarnations(candidates []Participant) []*pb.Participant {
	seen := map[string]bool{}
	all := make([]*pb.Participant, 0, len(candidates))
	for _, p := range candidates {
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
