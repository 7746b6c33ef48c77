package quota

import (
	"slices"
	"time"

	"saffronyard.example/saffronyard/internal/coordinator"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// activeMembership is a membership and when this process first saw it active.
type activeMembership struct {
	epoch     uint64
	ownership *coordinator.Ownership
	startedAt time.Duration
}

const (
	maxMemberships   = 64               // memberships remembered for ownedSince
	observedLimitTTL = 30 * time.Minute // after which a receiver's reported limit is ignored
)

// SetMembership replaces the membership. It drops the state of limits that this sender does not own any more.
func (s *Server) SetMembership(m *pb.MembershipState, now time.Duration) {
	if n := len(s.memberships); n == 0 || s.memberships[n-1].epoch != m.GetEpoch() {
		if n > 0 && m.GetEpoch() != s.memberships[n-1].epoch+1 {
			s.memberships = nil // other senders may have been owners in the missed epochs
		}
		s.memberships = append(s.memberships, activeMembership{m.GetEpoch(), coordinator.NewOwnership(m.GetParticipants()), now})
		if n := len(s.memberships) - maxMemberships; n > 0 {
			s.memberships = slices.Delete(s.memberships, 0, n)
		}
		for key := range s.tables {
			if !s.owns(s.active().ownership, key) {
				delete(s.tables, key)
			}
		}
		for key := range s.dailyPools {
			if !s.owns(s.active().ownership, key) {
				delete(s.dailyPools, key)
			}
		}
	}
	s.nextOwnership = nil
	if m.GetNextEpoch() != 0 {
		s.nextOwnership = coordinator.NewOwnership(m.GetNextParticipants())
	}
}

func (s *Server) active() activeMembership { return s.memberships[len(s.memberships)-1] }

func (s *Server) owns(ownership *coordinator.Ownership, key string) bool {
	p := ownership.Owner(key)
	return p != nil && p.Name == s.me.Name && p.Incarnation == s.me.Incarnation
}

// ownedSince returns the time since which this sender has owned a limit without interruption, according to the remembered memberships.
func (s *Server) ownedSince(key string) time.Duration {
	at := s.active().startedAt
	for i := len(s.memberships) - 1; i > 0 && s.owns(s.memberships[i-1].ownership, key); i-- {
		at = s.memberships[i-1].startedAt
	}
	return at
}

// Epoch returns the active membership's epoch; 0 before the first membership.
func (s *Server) Epoch() uint64 {
	if len(s.memberships) == 0 {
		return 0
	}
	return s.active().epoch
}
