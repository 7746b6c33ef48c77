package quota

import (
	"time"

	"saffronyard.example/saffronyard/internal/coordinator"
	"saffronyard.example/saffronyard/internal/lease"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// Server is a sender as the owner of some limits. It is stepped by one goroutine.
//
// Membership and limits are to be set as of a state under which the sender may act, at a moment at which its lease on that state lasts. A
// step that stands still after that moment does no harm: grants are counted from before their requests, and the next owner's grace period is
// longer than that and begins later.
type Server struct {
	me             lease.HolderID
	terms          Terms
	limits         map[string]Limit
	nextOwnership  *coordinator.Ownership // nil: no membership is proposed
	memberships    []activeMembership     // the active one last
	tables         map[string]*GrantTable
	dailyPools     map[string]*DailyPool
	day            int64                             // by this sender's calendar
	draws          []Draw                            // to ask of the log
	observedLimits map[string]observedLimit          // that receivers reported, by key
	slowStartAt    map[string]time.Duration          // when a limit that grows was first seen
	gracePeriod    func(time.Duration) time.Duration // identity; a test may replace it
}

// observedLimit is a limit that a receiver reported, in calls per second.
type observedLimit struct {
	perSecond  float64
	observedAt time.Duration
}

// NewServer makes a server that owns nothing yet.
func NewServer(me lease.HolderID, t Terms) *Server {
	return &Server{me: me, terms: t, limits: map[string]Limit{}, tables: map[string]*GrantTable{}, dailyPools: map[string]*DailyPool{}, observedLimits: map[string]observedLimit{}, slowStartAt: map[string]time.Duration{}, gracePeriod: func(d time.Duration) time.Duration { return d }}
}

// OverrideGracePeriod replaces how long the grace period is: fault injection for tests.
func (s *Server) OverrideGracePeriod(quiet func(time.Duration) time.Duration) { s.gracePeriod = quiet }

// SetLimits replaces the limits.
func (s *Server) SetLimits(all []Limit, now time.Duration) {
	s.limits = make(map[string]Limit, len(all))
	for _, one := range all {
		s.limits[one.Key] = one
		if _, ok := s.slowStartAt[one.Key]; !ok && one.SlowStartUnits > 0 {
			s.slowStartAt[one.Key] = now
		}
	}
	for key := range s.slowStartAt {
		if s.limits[key].SlowStartUnits == 0 {
			delete(s.slowStartAt, key)
		}
	}
	for key, b := range s.tables {
		if one, ok := s.limits[key]; ok {
			b.SetLimit(s.adapted(one, b.limit.Units))
		} // otherwise it is kept until its grants have expired: the limit may come back
	}
}

// Grant answers a client under the membership and the limits set last. The error is an *EpochError or a *NoParticipantError.
func (s *Server) Grant(r *pb.QuotaRequest, now time.Duration) (*pb.QuotaReply, error) {
	if s.Epoch() != r.Epoch || r.ToIncarnation != s.me.Incarnation {
		return nil, &EpochError{ServerEpoch: s.Epoch(), RequestEpoch: r.Epoch, ServerIncarnation: s.me.Incarnation, RequestIncarnation: r.ToIncarnation}
	}
	id := lease.HolderID{Name: r.Name, Incarnation: r.Incarnation}
	if !s.active().ownership.Includes(id) {
		return nil, &NoParticipantError{Name: r.Name, Epoch: r.Epoch}
	}
	reply := &pb.QuotaReply{Epoch: r.Epoch}
	for _, d := range r.Demands {
		limit, known := s.limits[d.Key]
		if !known || !s.owns(s.active().ownership, d.Key) {
			continue
		}
		if s.nextOwnership != nil && !s.owns(s.nextOwnership, d.Key) {
			continue // it moves to another owner
		}
		var grant *pb.QuotaGrant
		var ok bool
		if limit.Kind == Daily {
			grant, ok = s.grantDaily(limit, id, r.Sequence, d, now)
		} else {
			grant, ok = s.grantFromTable(limit, id, r.Sequence, d, now)
		}
		if ok {
			reply.Grants = append(reply.Grants, grant)
		}
	}
	return reply, nil
}

// grantFromTable answers a request for a limit of any kind but Daily.
func (s *Server) grantFromTable(limit Limit, id lease.HolderID, sequence uint64, d *pb.QuotaDemand, now time.Duration) (*pb.QuotaGrant, bool) {
	if d.ObservedLimit > 0 {
		observed := observedLimit{d.ObservedLimit, now - max(0, time.Duration(d.ObservedAgeUs)*time.Microsecond)}
		if observed.observedAt >= s.observedLimits[d.Key].observedAt {
			s.observedLimits[d.Key] = observed
		}
	}
	t := s.tables[d.Key]
	if t == nil {
		t = NewGrantTable(limit, s.terms, s.ownedSince(d.Key)+s.gracePeriod(s.terms.GracePeriod(limit)))
		s.tables[d.Key] = t
	}
	if effective := s.effectiveLimit(limit, now); effective != t.limit {
		t.SetLimit(effective)
	}
	g, ok := t.Grant(id, Request{Sequence: sequence, Held: d.Held, Cooling: d.Cooling, CoolingTime: time.Duration(d.CoolingUs) * time.Microsecond,
		Wanted: d.Wanted, MinUseful: d.MinUseful, Spent: d.Spent}, now)
	return &pb.QuotaGrant{Key: d.Key, Units: g.Units, DurationUs: g.Duration.Microseconds(), Rotating: g.Rotating, RetryAfterUs: g.RetryAfter.Microseconds(),
		LimitUnits: t.limit.Units}, ok
}

// effectiveLimit is a limit as it applies now: grown by its slow start, and lowered to what its receiver reported if it is adaptive.
func (s *Server) effectiveLimit(limit Limit, now time.Duration) Limit {
	if limit.SlowStartUnits > limit.Units && limit.SlowStartTime > 0 {
		grown := float64(limit.SlowStartUnits-limit.Units) * min(1, (now-s.slowStartAt[limit.Key]).Seconds()/limit.SlowStartTime.Seconds())
		limit.Units += int64(grown)
	}
	if t, ok := s.observedLimits[limit.Key]; ok && limit.Adaptive && now-t.observedAt < observedLimitTTL && t.perSecond > 0 {
		return s.adapted(limit, int64(t.perSecond*limit.Span.Seconds()))
	}
	return limit
}

func (s *Server) adapted(limit Limit, units int64) Limit {
	if limit.Adaptive {
		limit.Units = max(1, min(limit.Units, units))
	}
	return limit
}

// Prune drops idle tables, looking at a few at a time.
func (s *Server) Prune(now time.Duration) {
	n := 0
	for key, b := range s.tables {
		if n++; n > 100 {
			return
		}
		if b.idle(now) {
			delete(s.tables, key)
		}
	}
}
