package nameserver

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/miekg/dns"

	"saffronyard.example/saffronyard/internal/membership"
	"saffronyard.example/saffronyard/internal/zone"
)

// zoneChanged records that some names of a zone have changed, or all.
func (s *Service) zoneChanged(z *managedZone, names []string, all bool) {
	s.mu.Lock()
	if all || len(names) > maxChangedNames {
		for i := range s.config.Members {
			s.staleMembers[i] = struct{}{}
		}
	} else {
		for _, n := range names {
			s.markStale(n, z.config.Name)
		}
	}
	notify := s.notifier
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	if notify != nil {
		notify.zoneChanged(z)
	}
}

// maxChangedNames bounds the changed names whose members are looked up; with more, all members are resolved again.
const maxChangedNames = 50

// markStale marks the members whose answers depend on a name that has changed. An added or removed name may also be a zone cut, a
// wildcard, or a closest encloser that hides a wildcard (RFC 4592 3.3): members below the name, or below a name between it and the
// zone's origin, are therefore marked too. The caller holds mu.
func (s *Service) markStale(name, origin string) {
	for i := range s.membersByName[name] {
		s.staleMembers[i] = struct{}{}
	}
	if name == origin { // each version changes the SOA, which does not affect other names
		return
	}
	top := name
	for up := name; up != origin && zone.Within(origin, up); {
		top = up
		off, end := dns.NextLabel(up, 0)
		if end {
			break
		}
		up = up[off:]
	}
	if strings.HasPrefix(top, "*.") { // a wildcard directly below the origin may apply to any name of the zone
		top = origin
	}
	for n, members := range s.membersByName {
		if zone.Within(top, n) {
			for i := range members {
				s.staleMembers[i] = struct{}{}
			}
		}
	}
}

// resolveStale resolves the stale members and returns the targets that change. The caller holds mu.
func (s *Service) resolveStale() []membership.Target {
	var observations []membership.Observation
	for i := range s.staleMembers {
		for _, n := range s.namesByMember[i] {
			delete(s.membersByName[n], i)
			if len(s.membersByName[n]) == 0 {
				delete(s.membersByName, n)
			}
		}
		a, names := membership.Resolve(s.findZone, &s.config.Members[i])
		s.namesByMember[i] = names
		for _, n := range names {
			if s.membersByName[n] == nil {
				s.membersByName[n] = map[int]struct{}{}
			}
			s.membersByName[n][i] = struct{}{}
		}
		observations = append(observations, membership.Observation{Member: i, Answer: a})
	}
	clear(s.staleMembers)
	slices.SortFunc(observations, func(a, b membership.Observation) int { return cmp.Compare(a.Member, b.Member) })
	return s.follower.Step(s.now(), observations)
}

// findZone returns the state of the zone that a name is in.
func (s *Service) findZone(name string) (membership.ZoneState, bool) {
	h := s.server.find(name)
	if h == nil {
		return membership.ZoneState{}, false
	}
	v := h.current.Load()
	return membership.ZoneState{Zone: v.Zone, Expired: v.expired}, true
}

// Follow calls onUpdate with each change of endpoints, until ctx ends.
func (s *Service) Follow(ctx context.Context, onUpdate func(membership.Update)) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		s.mu.Lock()
		targets := s.resolveStale()
		next := s.follower.Next()
		s.mu.Unlock()
		if len(targets) > 0 {
			onUpdate(membership.Update{Servers: targets})
		}
		timer.Reset(max(0, min(next-s.now(), time.Hour)))
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-timer.C:
		}
	}
}
