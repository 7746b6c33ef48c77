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
	minStableTime  = time.Second // from a membership to the next proposal, as a sender that restarts causes two changes
	resendInterval = time.Second // after which a command that was not applied is proposed again, as it may have been lost with a leader
)

// Coordinator decides at the leader on the next membership and on its activation. Its decisions are proposals: they take effect when the log
// applies them, and only if the state has not changed since the decision. The zero value is ready to use; each leader creates a new
// Coordinator.
type Coordinator struct {
	epoch       uint64 // last seen
	activeSince time.Duration
	sentAt      time.Duration
	sentStep    uint64 // last proposed step: twice the proposed epoch, plus one for its activation
}

// Step returns the command to propose now; nil if there is none. candidates must hold a lease and have an address; they are sorted by the
// expiry of their leases, the latest first.
func (c *Coordinator) Step(now time.Duration, s *pb.MembershipState, g *lease.Granter, candidates []Participant) *pb.MembershipCommand {
	if s.GetEpoch() != c.epoch || c.activeSince == 0 {
		c.epoch, c.activeSince = s.GetEpoch(), now
	}
	send := func(step uint64, r *pb.MembershipCommand) *pb.MembershipCommand {
		if c.sentStep == step && now-c.sentAt < resendInterval {
			return nil
		}
		c.sentStep, c.sentAt = step, now
		return r
	}
	if s.GetNextEpoch() != 0 {
		if len(g.LeasesBelow(s.GetFenceIndex(), now)) > 0 {
			return nil
		}
		return send(2*s.NextEpoch+1, &pb.MembershipCommand{Command: &pb.MembershipCommand_Activate{Activate: &pb.ActivateMembership{Epoch: s.NextEpoch}}})
	}
	// The holders of leases granted by an earlier leader are unknown.
	if g.InGracePeriod(now) || s.GetEpoch() > 0 && now-c.activeSince < minStableTime {
		return nil
	}
	next := newestIncarnations(candidates)
	if equalParticipants(next, s.GetParticipants()) {
		return nil
	}
	return send(2*(s.GetEpoch()+1), &pb.MembershipCommand{Command: &pb.MembershipCommand_Propose{Propose: &pb.ProposeMembership{BaseEpoch: s.GetEpoch(), Participants: next}}})
}

// MayGrant reports whether a holder that acts at an index may be granted a lease: while a membership is proposed, only once the holder acts
// under the proposal. Otherwise a holder whose requests arrive but which receives no replies would delay the activation forever.
func MayGrant(actingIndex uint64, s *pb.MembershipState) bool {
	return s.GetNextEpoch() == 0 || actingIndex >= s.GetFenceIndex()
}

// newestIncarnations returns the candidates sorted by name, with one process for each name: the first in candidates, whose lease was renewed
// last.
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
