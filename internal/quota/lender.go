package quota

import (
	"fmt"
	"slices"
	"time"

	"saffronyard.example/saffronyard/internal/coordinator"
	"saffronyard.example/saffronyard/internal/lease"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// Lender is a sender as the authority of those limits that the roster puts it in charge of.
//
// It has to be told the roster and the limits as of a state that it may act by, at a moment at which its lease on that state lasts.
// A step that stands still after that moment does no harm: what it lends is counted from before it was asked, and whoever is in charge
// next waits for longer than that from a later moment on.
type Lender struct {
	me     lease.HolderID
	terms  Terms
	limits map[string]Limit
	coming *coordinator.Ownership // nil: none is
	begun  []begun                // rosters, the one in force last
	books  map[string]*Book
	pots   map[string]*Pot
	day    int64                    // as this sender's calendar has it
	draws  []Draw                   // that the log is to be asked for
	told   map[string]told          // what receivers tell of their limits
	heard  map[string]time.Duration // since when a limit that grows is there
	wait   func(time.Duration) time.Duration
}

// begun is a roster and when it began, as this process saw it.
type begun struct {
	epoch  uint64
	charge *coordinator.Ownership
	at     time.Duration
}

type told struct {
	perSecond float64
	at        time.Duration
}

const (
	rostersMost = 64               // that are remembered
	toldLasts   = 30 * time.Minute // a receiver's word is gone by
)

// NewLender makes one that is in charge of nothing.
func NewLender(me lease.HolderID, t Terms) *Lender {
	return &Lender{me: me, terms: t, limits: map[string]Limit{}, books: map[string]*Book{}, pots: map[string]*Pot{}, told: map[string]told{}, heard: map[string]time.Duration{}, wait: func(d time.Duration) time.Duration { return d }}
}

// Wrong has a test make a wrong authority, whose quiet is another.
func (l *Lender) Wrong(quiet func(time.Duration) time.Duration) { l.wait = quiet }

// Limits takes over what is limited now.
func (l *Lender) Limits(all []Limit, now time.Duration) {
	l.limits = make(map[string]Limit, len(all))
	for _, one := range all {
		l.limits[one.Key] = one
		if _, ok := l.heard[one.Key]; !ok && one.RampTo > 0 {
			l.heard[one.Key] = now
		}
	}
	for key := range l.heard {
		if l.limits[key].RampTo == 0 {
			delete(l.heard, key)
		}
	}
	for key, b := range l.books {
		if one, ok := l.limits[key]; ok {
			b.Change(l.effective(one, b.limit.Units))
		} // else it is kept until what was lent has lapsed: the limit may come back
	}
}

// Roster takes over who takes part now.
func (l *Lender) Roster(s *pb.MembershipState, now time.Duration) {
	if n := len(l.begun); n == 0 || l.begun[n-1].epoch != s.GetEpoch() {
		if n > 0 && s.GetEpoch() != l.begun[n-1].epoch+1 {
			l.begun = nil // others were in charge meanwhile, of nobody knows what
		}
		l.begun = append(l.begun, begun{s.GetEpoch(), coordinator.NewOwnership(s.GetParticipants()), now})
		if n := len(l.begun) - rostersMost; n > 0 {
			l.begun = slices.Delete(l.begun, 0, n)
		}
		for key := range l.books {
			if !l.mine(l.now().charge, key) {
				delete(l.books, key)
			}
		}
		for key := range l.pots {
			if !l.mine(l.now().charge, key) {
				delete(l.pots, key)
			}
		}
	}
	l.coming = nil
	if s.GetNextEpoch() != 0 {
		l.coming = coordinator.NewOwnership(s.GetNextParticipants())
	}
}

func (l *Lender) now() begun { return l.begun[len(l.begun)-1] }

func (l *Lender) mine(c *coordinator.Ownership, key string) bool {
	p := c.Owner(key)
	return p != nil && p.Name == l.me.Name && p.Incarnation == l.me.Incarnation
}

// since is from when it has been in charge of a limit without a break, as far as that is known.
func (l *Lender) since(key string) time.Duration {
	at := l.now().at
	for i := len(l.begun) - 1; i > 0 && l.mine(l.begun[i-1].charge, key); i-- {
		at = l.begun[i-1].at
	}
	return at
}

// Epoch is of the roster that it goes by.
func (l *Lender) Epoch() uint64 {
	if len(l.begun) == 0 {
		return 0
	}
	return l.now().epoch
}

// Lend answers a holder, by the roster and the limits told last. An error is that it is not for this sender, or not now.
func (l *Lender) Lend(r *pb.QuotaRequest, now time.Duration) (*pb.QuotaReply, error) {
	if l.Epoch() != r.Epoch || r.ToIncarnation != l.me.Incarnation {
		return nil, fmt.Errorf("this sender goes by roster %d as process %x, the question by roster %d for %x", l.Epoch(), l.me.Incarnation, r.Epoch, r.ToIncarnation)
	}
	reply := &pb.QuotaReply{Epoch: r.Epoch}
	who := lease.HolderID{Name: r.Name, Incarnation: r.Incarnation}
	if !l.now().charge.Includes(who) {
		return nil, fmt.Errorf("%s takes no part in roster %d with that process", r.Name, r.Epoch)
	}
	for _, a := range r.Demands {
		limit, known := l.limits[a.Key]
		if !known || !l.mine(l.now().charge, a.Key) {
			continue
		}
		if l.coming != nil && !l.mine(l.coming, a.Key) {
			continue // it moves: nothing more is lent here
		}
		if limit.Sort == Daily {
			if lent, ok := l.daily(limit, who, r.Sequence, a, now); ok {
				reply.Grants = append(reply.Grants, lent)
			}
			continue
		}
		if a.ObservedLimit > 0 {
			if t := (told{a.ObservedLimit, now - max(0, time.Duration(a.ObservedAgeUs)*time.Microsecond)}); t.at >= l.told[a.Key].at {
				l.told[a.Key] = t
			}
		}
		b := l.books[a.Key]
		if b == nil {
			b = NewBook(limit, l.terms, l.since(a.Key)+l.wait(l.terms.Quiet(limit)))
			l.books[a.Key] = b
		}
		if is := l.effectiveAt(limit, now); is != b.limit {
			b.Change(is)
		}
		lent, ok := b.Ask(who, Ask{Seq: r.Sequence, Holds: a.Held, Rests: a.Cooling, Left: time.Duration(a.CoolingUs) * time.Microsecond, Want: a.Wanted, Piece: a.MinUseful, Spent: a.Spent}, now)
		if ok {
			reply.Grants = append(reply.Grants, &pb.QuotaGrant{Key: a.Key, Units: lent.Units, DurationUs: lent.Length.Microseconds(), Rotating: lent.Turns, RetryAfterUs: lent.Again.Microseconds(), LimitUnits: b.limit.Units})
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
	Most   int64 // in the period
}

// Day begins a day, as this sender's calendar has it. Calendars that differ do no harm: the log lets no day come back.
func (l *Lender) Day(day int64) { l.day = max(l.day, day) }

// Draws are those that the log is to be asked for since it was looked last.
func (l *Lender) Draws() []Draw {
	d := l.draws
	l.draws = nil
	return d
}

// Drawn is what the log gave of one.
func (l *Lender) Drawn(d Draw, units int64) {
	if p := l.pots[d.Key]; p != nil && d.Epoch == l.Epoch() {
		p.Drawn(d.Period, units)
	}
}

// daily lends of a day's quota.
func (l *Lender) daily(limit Limit, who lease.HolderID, seq uint64, a *pb.QuotaDemand, now time.Duration) (*pb.QuotaGrant, bool) {
	p := l.pots[limit.Key]
	if p == nil {
		p = NewPot(limit, l.terms)
		l.pots[limit.Key] = p
	}
	p.limit = limit
	p.Begin(l.day)
	lent, draw, ok := p.Ask(who, Ask{Seq: seq, Holds: a.Held, Want: a.Wanted, Piece: a.MinUseful, Spent: a.Spent}, now)
	if draw > 0 {
		l.draws = append(l.draws, Draw{limit.Key, l.Epoch(), p.period, draw, limit.Units})
	}
	return &pb.QuotaGrant{Key: limit.Key, Units: lent.Units, DurationUs: lent.Length.Microseconds(), LimitUnits: limit.Units}, ok
}

// effectiveAt is a limit with what its receiver tells, if it is one that learns: the lower of both.
func (l *Lender) effectiveAt(limit Limit, now time.Duration) Limit {
	if limit.RampTo > limit.Units && limit.RampFor > 0 {
		grown := float64(limit.RampTo-limit.Units) * min(1, (now-l.heard[limit.Key]).Seconds()/limit.RampFor.Seconds())
		limit.Units += int64(grown)
	}
	if t, ok := l.told[limit.Key]; ok && limit.Learns && now-t.at < toldLasts && t.perSecond > 0 {
		return l.effective(limit, int64(t.perSecond*limit.Span.Seconds()))
	}
	return limit
}

func (l *Lender) effective(limit Limit, units int64) Limit {
	if limit.Learns {
		limit.Units = max(1, min(limit.Units, units))
	}
	return limit
}

// Tidy forgets what says nothing any more, a few at a time.
func (l *Lender) Tidy(now time.Duration) {
	n := 0
	for key, b := range l.books {
		if n++; n > 100 {
			return
		}
		if b.empty(now) {
			delete(l.books, key)
		}
	}
}

// Report is a limit as its authority has it.
type Report struct {
	Key   string
	Limit Limit
	Out   int64
	Quiet time.Duration // left
	Lines []Line
}

// Reports are of the limits that it has a book of, by key.
func (l *Lender) Reports(now time.Duration) []Report {
	var all []Report
	for key, b := range l.books {
		all = append(all, Report{key, b.limit, b.Out(now), max(0, b.quiet-now), b.Lines(now)})
	}
	for key, p := range l.pots {
		out := int64(0)
		for _, line := range p.Lines(now) {
			out += line.Units
		}
		all = append(all, Report{key, p.limit, out, 0, p.Lines(now)})
	}
	slices.SortFunc(all, func(a, b Report) int { return byKey(a.Limit, b.Limit) })
	return all
}
