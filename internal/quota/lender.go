package quota

import (
	"fmt"
	"slices"
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

// activeMembership is a roster and when it began, as this process saw it.
type activeMembership struct {
	epoch     uint64
	ownership *coordinator.Ownership
	startedAt time.Duration
}

type observedLimit struct {
	perSecond  float64
	observedAt time.Duration
}

const (
	maxMemberships   = 64               // that are remembered
	observedLimitTTL = 30 * time.Minute // a receiver's word is gone by
)

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

// Draw is units of a day's quota that the log is asked for.
type Draw struct {
	Key    string
	Epoch  uint64
	Period int64
	Units  int64
	Limit  int64 // in the period
}

// SetDay begins a day, as this sender's calendar has it. Calendars that differ do no harm: the log lets no day come back.
func (l *Server) SetDay(day int64) { l.day = max(l.day, day) }

// TakeDraws are those that the log is to be asked for since it was looked last.
func (l *Server) TakeDraws() []Draw {
	d := l.draws
	l.draws = nil
	return d
}

// AddDrawn is what the log gave of one.
func (l *Server) AddDrawn(d Draw, units int64) {
	if p := l.dailyPools[d.Key]; p != nil && d.Epoch == l.Epoch() {
		p.AddDrawn(d.Period, units)
	}
}

// grantDaily lends of a day's quota.
func (l *Server) grantDaily(limit Limit, who lease.HolderID, seq uint64, a *pb.QuotaDemand, now time.Duration) (*pb.QuotaGrant, bool) {
	p := l.dailyPools[limit.Key]
	if p == nil {
		p = NewDailyPool(limit, l.terms)
		l.dailyPools[limit.Key] = p
	}
	p.limit = limit
	p.StartPeriod(l.day)
	lent, draw, ok := p.Grant(who, Request{Sequence: seq, Held: a.Held, Wanted: a.Wanted, MinUseful: a.MinUseful, Spent: a.Spent}, now)
	if draw > 0 {
		l.draws = append(l.draws, Draw{limit.Key, l.Epoch(), p.period, draw, limit.Units})
	}
	return &pb.QuotaGrant{Key: limit.Key, Units: lent.Units, DurationUs: lent.Duration.Microseconds(), LimitUnits: limit.Units}, ok
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

// Report is a limit as its authority has it.
type Report struct {
	Key            string
	Limit          Limit
	Outstanding    int64
	GraceRemaining time.Duration // left
	Clients        []ClientReport
}

// Reports are of the limits that it has a book of, by key.
func (l *Server) Reports(now time.Duration) []Report {
	var all []Report
	for key, b := range l.tables {
		all = append(all, Report{key, b.limit, b.Outstanding(now), max(0, b.graceUntil-now), b.Clients(now)})
	}
	for key, p := range l.dailyPools {
		out := int64(0)
		for _, line := range p.Clients(now) {
			out += line.Units
		}
		all = append(all, Report{key, p.limit, out, 0, p.Clients(now)})
	}
	slices.SortFunc(all, func(a, b Report) int { return byKey(a.Limit, b.Limit) })
	return all
}
