package quota

import (
	"slices"
	"time"

	"saffronyard.example/saffronyard/internal/coordinator"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// activeMembership is a roster and when it began, as this process saw it.
type activeMembership struct {
	epoch     uint64
	ownership *coordinator.Ownership
	startedAt time.Duration
}

const (
	maxMemberships   = 64               // that are remembered
	observedLimitTTL = 30 * time.Minute // a receiver's word is gone by
)

// SetMembership takes over who takes part now.
func (l *Server) SetMembership(s *pb.MembershipState, now time.Duration) {
	if n := len(l.memberships); n == 0 || l.memberships[n-1].epoch != s.GetEpoch() {
		if n > 0 && s.GetEpoch() != l.memberships[n-1].epoch+1 {
			l.memberships = nil // others were in charge meanwhile, of nobody knows what
		}
		l.memberships = append(l.memberships, activeMembership{s.GetEpoch(), coordinator.NewOwnership(s.GetParticipants()), now})
		if n := len(l.memberships) - maxMemberships; n > 0 {
			l.memberships = slices.Delete(l.memberships, 0, n)
		}
		for key := range l.tables {
			if !l.owns(l.active().ownership, key) {
				delete(l.tables, key)
			}
		}
		for key := range l.dailyPools {
			if !l.owns(l.active().ownership, key) {
				delete(l.dailyPools, key)
			}
		}
	}
	l.nextOwnership = nil
	if s.GetNextEpoch() != 0 {
		l.nextOwnership = coordinator.NewOwnership(s.GetNextParticipants())
	}
}

func (l *Server) active() activeMembership { return l.memberships[len(l.memberships)-1] }

func (l *Server) owns(c *coordinator.Ownership, key string) bool {
	p := c.Owner(key)
	return p != nil && p.Name == l.me.Name && p.Incarnation == l.me.Incarnation
}

// ownedSince is from when it has been in charge of a limit without a break, as far as that is known.
func (l *Server) ownedSince(key string) time.Duration {
	at := l.active().startedAt
	for i := len(l.memberships) - 1; i > 0 && l.owns(l.memberships[i-1].ownership, key); i-- {
		at = l.memberships[i-1].startedAt
	}
	return at
}

// Epoch is of the roster that it goes by.
func (l *Server) Epoch() uint64 {
	if len(l.memberships) == 0 {
		return 0
	}
	return l.active().epoch
}
