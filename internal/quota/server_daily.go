package quota

import (
	"time"

	"saffronyard.example/saffronyard/internal/lease"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// Draw is a request to the replicated log for units of a daily quota.
type Draw struct {
	Key    string
	Epoch  uint64
	Period int64
	Units  int64
	Limit  int64 // units of the quota in the period
}

// SetDay starts a day by this sender's calendar. Calendars that differ between senders are safe: the log rejects draws for an earlier day.
func (s *Server) SetDay(day int64) { s.day = max(s.day, day) }

// TakeDraws returns the draws to submit to the log since the last call.
func (s *Server) TakeDraws() []Draw {
	d := s.draws
	s.draws = nil
	return d
}

// AddDrawn adds the units that the log gave for a draw.
func (s *Server) AddDrawn(d Draw, units int64) {
	if p := s.dailyPools[d.Key]; p != nil && d.Epoch == s.Epoch() {
		p.AddDrawn(d.Period, units)
	}
}

// grantDaily processes a demand for a daily quota.
func (s *Server) grantDaily(limit Limit, id lease.HolderID, sequence uint64, d *pb.QuotaDemand, now time.Duration) (*pb.QuotaGrant, bool) {
	p := s.dailyPools[limit.Key]
	if p == nil {
		p = NewDailyPool(limit, s.terms)
		s.dailyPools[limit.Key] = p
	}
	p.limit = limit
	p.StartPeriod(s.day)
	g, draw, ok := p.Grant(id, Request{Sequence: sequence, Held: d.Held, Wanted: d.Wanted, MinUseful: d.MinUseful, Spent: d.Spent}, now)
	if draw > 0 {
		s.draws = append(s.draws, Draw{limit.Key, s.Epoch(), p.period, draw, limit.Units})
	}
	return &pb.QuotaGrant{Key: limit.Key, Units: g.Units, DurationUs: g.Duration.Microseconds(), LimitUnits: limit.Units}, ok
}
