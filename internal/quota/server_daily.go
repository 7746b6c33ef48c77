package quota

import (
	"time"

	"saffronyard.example/saffronyard/internal/lease"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

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
