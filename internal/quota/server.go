package quota

import (
	"fmt"
	"time"

	"saffronyard.example/saffronyard/internal/coordinator"
	"saffronyard.example/saffronyard/internal/lease"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// Server is a sender as the authority of those limits that the roster puts it in charge of.
//
// It has to be told the roster and the limits as of a state that it may act by, at a moment at which its lease on that state lasts.
// A step that stands still after that moment does no harm: what it lends is counted from before it was asked, and whoever is in charge
// next waits for longer than that from a later moment on.
type Server struct {
	me             lease.HolderID
	terms          Terms
	limits         map[string]Limit
	nextOwnership  *coordinator.Ownership // nil: none is
	memberships    []activeMembership     // rosters, the one in force last
	tables         map[string]*GrantTable
	dailyPools     map[string]*DailyPool
	day            int64                    // as this sender's calendar has it
	draws          []Draw                   // that the log is to be asked for
	observedLimits map[string]observedLimit // what receivers tell of their limits
	slowStartAt    map[string]time.Duration // since when a limit that grows is there
	gracePeriod    func(time.Duration) time.Duration
}

type observedLimit struct {
	perSecond  float64
	observedAt time.Duration
}

// NewServer makes one that is in charge of nothing.
func NewServer(me lease.HolderID, t Terms) *Server {
	return &Server{me: me, terms: t, limits: map[string]Limit{}, tables: map[string]*GrantTable{}, dailyPools: map[string]*DailyPool{}, observedLimits: map[string]observedLimit{}, slowStartAt: map[string]time.Duration{}, gracePeriod: func(d time.Duration) time.Duration { return d }}
}

// OverrideGracePeriod has a test make a wrong authority, whose quiet is another.
func (l *Server) OverrideGracePeriod(quiet func(time.Duration) time.Duration) { l.gracePeriod = quiet }

// SetLimits takes over what is limited now.
func (l *Server) SetLimits(all []Limit, now time.Duration) {
	l.limits = make(map[string]Limit, len(all))
	for _, one := range all {
		l.limits[one.Key] = one
		if _, ok := l.slowStartAt[one.Key]; !ok && one.SlowStartUnits > 0 {
			l.slowStartAt[one.Key] = now
		}
	}
	for key := range l.slowStartAt {
		if l.limits[key].SlowStartUnits == 0 {
			delete(l.slowStartAt, key)
		}
	}
	for key, b := range l.tables {
		if one, ok := l.limits[key]; ok {
			b.SetLimit(l.adapted(one, b.limit.Units))
		} // else it is kept until what was lent has lapsed: the limit may come back
	}
}

// Grant answers a holder, by the roster and the limits told last. An error is that it is not for this sender, or not now.
func (l *Server) Grant(r *pb.QuotaRequest, now time.Duration) (*pb.QuotaReply, error) {
	if l.Epoch() != r.Epoch || r.ToIncarnation != l.me.Incarnation {
		return nil, fmt.Errorf("this sender goes by roster %d as process %x, the question by roster %d for %x", l.Epoch(), l.me.Incarnation, r.Epoch, r.ToIncarnation)
	}
	reply := &pb.QuotaReply{Epoch: r.Epoch}
	who := lease.HolderID{Name: r.Name, Incarnation: r.Incarnation}
	if !l.active().ownership.Includes(who) {
		return nil, fmt.Errorf("%s takes no part in roster %d with that process", r.Name, r.Epoch)
	}
	for _, a := range r.Demands {
		limit, known := l.limits[a.Key]
		if !known || !l.owns(l.active().ownership, a.Key) {
			continue
		}
		if l.nextOwnership != nil && !l.owns(l.nextOwnership, a.Key) {
			continue // it moves: nothing more is lent here
		}
		if limit.Kind == Daily {
			if lent, ok := l.grantDaily(limit, who, r.Sequence, a, now); ok {
				reply.Grants = append(reply.Grants, lent)
			}
			continue
		}
		if a.ObservedLimit > 0 {
			if t := (observedLimit{a.ObservedLimit, now - max(0, time.Duration(a.ObservedAgeUs)*time.Microsecond)}); t.observedAt >= l.observedLimits[a.Key].observedAt {
				l.observedLimits[a.Key] = t
			}
		}
		b := l.tables[a.Key]
		if b == nil {
			b = NewGrantTable(limit, l.terms, l.ownedSince(a.Key)+l.gracePeriod(l.terms.GracePeriod(limit)))
			l.tables[a.Key] = b
		}
		if is := l.effectiveLimit(limit, now); is != b.limit {
			b.SetLimit(is)
		}
		lent, ok := b.Grant(who, Request{Sequence: r.Sequence, Held: a.Held, Cooling: a.Cooling, CoolingTime: time.Duration(a.CoolingUs) * time.Microsecond, Wanted: a.Wanted, MinUseful: a.MinUseful, Spent: a.Spent}, now)
		if ok {
			reply.Grants = append(reply.Grants, &pb.QuotaGrant{Key: a.Key, Units: lent.Units, DurationUs: lent.Duration.Microseconds(), Rotating: lent.Rotating, RetryAfterUs: lent.RetryAfter.Microseconds(), LimitUnits: b.limit.Units})
		}
	}
	return reply, nil
}

// effectiveLimit is a limit with what its receiver tells, if it is one that learns: the lower of both.
func (l *Server) effectiveLimit(limit Limit, now time.Duration) Limit {
	if limit.SlowStartUnits > limit.Units && limit.SlowStartTime > 0 {
		grown := float64(limit.SlowStartUnits-limit.Units) * min(1, (now-l.slowStartAt[limit.Key]).Seconds()/limit.SlowStartTime.Seconds())
		limit.Units += int64(grown)
	}
	if t, ok := l.observedLimits[limit.Key]; ok && limit.Adaptive && now-t.observedAt < observedLimitTTL && t.perSecond > 0 {
		return l.adapted(limit, int64(t.perSecond*limit.Span.Seconds()))
	}
	return limit
}

func (l *Server) adapted(limit Limit, units int64) Limit {
	if limit.Adaptive {
		limit.Units = max(1, min(limit.Units, units))
	}
	return limit
}

// Prune forgets what says nothing any more, a few at a time.
func (l *Server) Prune(now time.Duration) {
	n := 0
	for key, b := range l.tables {
		if n++; n > 100 {
			return
		}
		if b.idle(now) {
			delete(l.tables, key)
		}
	}
}
