package quota

import (
	"time"

	"saffronyard.example/saffronyard/internal/coordinator"
	"saffronyard.example/saffronyard/internal/lease"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// Server grants units of the limits that a sender owns. It is stepped by one goroutine.
//
// The caller must set membership and limits from a state under which the sender may act, at a moment at which its lease on that state has
// not expired. A step that is paused after that moment is safe: clients count grants from before their requests, and the next owner's grace
// period is longer than a grant and begins later.
type Server struct {
	me             lease.HolderID
	terms          Terms
	limits         map[string]Limit
	nextOwnership  *coordinator.Ownership // nil: no membership is proposed
	memberships    []activeMembership     // the active one last
	tables         map[string]*GrantTable
	dailyPools     map[string]*DailyPool
	day            int64                             // by this sender's calendar
	draws          []Draw                            // to submit to the log
	observedLimits map[string]observedLimit          // reported by receivers, by key
	slowStartAt    map[string]time.Duration          // when a limit with slow start was first seen, by key
	gracePeriod    func(time.Duration) time.Duration // the identity function; a test may replace it
}

// observedLimit is a limit reported by a receiver, in calls per second.
type observedLimit struct {
	perSecond  float64
	observedAt time.Duration
}

// NewServer returns a server without a membership or limits.
func NewServer(me lease.HolderID, t Terms) *Server {
	return &Server{me: me, terms: t, limits: map[string]Limit{}, tables: map[string]*GrantTable{}, dailyPools: map[string]*DailyPool{}, observedLimits: map[string]observedLimit{}, slowStartAt: map[string]time.Duration{}, gracePeriod: func(d time.Duration) time.Duration { return d }}
}

// OverrideGracePeriod replaces the length of the grace period. It injects faults in tests.
func (s *Server) OverrideGracePeriod(grace func(time.Duration) time.Duration) { s.gracePeriod = grace }

// SetLimits replaces the limits.
func (s *Server) SetLimits(all []Limit, now time.Duration) {
	s.limits = make(map[string]Limit, len(all))
	for _, limit := range all {
		s.limits[limit.Key] = limit
		if _, ok := s.slowStartAt[limit.Key]; !ok && limit.SlowStartUnits > 0 {
			s.slowStartAt[limit.Key] = now
		}
	}
	for key := range s.slowStartAt {
		if s.limits[key].SlowStartUnits == 0 {
			delete(s.slowStartAt, key)
		}
	}
	for key, t := range s.tables {
		if limit, ok := s.limits[key]; ok {
			t.SetLimit(s.adapted(limit, t.limit.Units))
		} // otherwise the table is kept until its grants have expired, as the limit may be added again
	}
}

// Grant processes a client's request under the membership and limits set last. The error is an *EpochError or a *NoParticipantError.
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
			continue // the limit is about to move to another owner
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

// grantFromTable processes a demand for a limit of any kind except Daily.
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

// effectiveLimit returns the limit that applies now: increased by its slow start and, if it is adaptive, lowered to the limit that its
// receiver reported.
func (s *Server) effectiveLimit(limit Limit, now time.Duration) Limit {
	if limit.SlowStartUnits > limit.Units && limit.SlowStartTime > 0 {
		grown := float64(limit.SlowStartUnits-limit.Units) * min(1, (now-s.slowStartAt[limit.Key]).Seconds()/limit.SlowStartTime.Seconds())
		limit.Units += int64(grown)
	}
	if observed, ok := s.observedLimits[limit.Key]; ok && limit.Adaptive && now-observed.observedAt < observedLimitTTL && observed.perSecond > 0 {
		return s.adapted(limit, int64(observed.perSecond*limit.Span.Seconds()))
	}
	return limit
}

func (s *Server) adapted(limit Limit, units int64) Limit {
	if limit.Adaptive {
		limit.Units = max(1, min(limit.Units, units))
	}
	return limit
}

// Prune drops idle tables, checking up to 100 per call.
func (s *Server) Prune(now time.Duration) {
	n := 0
	for key, t := range s.tables {
		if n++; n > 100 {
			return
		}
		if t.idle(now) {
			delete(s.tables, key)
		}
	}
}
